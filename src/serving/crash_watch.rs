//! Detects whether an endpoint ended during a run whose connection broke.
//!
//! A broken connection alone is no evidence, as it may have been reset on the way. An
//! endpoint has ended if nothing listens at its address any more, or if it had begun to
//! respond and is listed with another start time soon afterwards.

use std::{fmt, io, rc, time};

use super::{attempt, connection, context, crash_guard, crash_trials, directory, endpoint_reports};
use crate::{clock, decisions::crash_ledger, ids};

/// Timeout of a probe connection. A refusal arrives within a round trip, 1 to 4 ms. A lost
/// SYN packet is sent again only after a second, so a timeout is no evidence.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(150);
/// Interval between two probes: a process that ends closes its connections and its
/// listener shortly after each other, but not atomically.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Number of probes of an address. Each costs a healthy endpoint about 1 ms.
const PROBE_COUNT: u32 = 2;
/// Time for which to watch for another start of an endpoint that may have restarted before
/// the first probe. Endpoints are back some seconds after a crash and listed within 1.2 s.
const RESTART_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// A run of a request whose connection broke.
#[derive(Debug, Clone)]
pub(super) struct InterruptedRun {
    /// Digest of the request.
    pub(super) digest: ids::RequestDigest,
    /// Whether it is an item of a job, which is never the cause by itself.
    pub(super) is_item: bool,
    /// ID of the request in this try.
    pub(super) id: String,
    /// Endpoint that ran the request.
    pub(super) endpoint: rc::Rc<directory::EndpointEntry>,
    /// Time at which the request was sent to the endpoint.
    pub(super) begun: clock::MonotonicTime,
    /// Whether the head of a response had arrived.
    pub(super) has_head: bool,
    /// Number of events that the run had brought.
    pub(super) events: u64,
    /// Parts of its prompt that other requests may share.
    pub(super) parts: Vec<ids::PartDigest>,
    /// What the run was the trial of, if it was one of a caller's request.
    pub(super) trial: Option<ids::CrashSubject>,
}

impl InterruptedRun {
    /// Returns what the end of the endpoint is attributed to.
    ///
    /// A part crashes an endpoint that begins to write an answer on it, so it is not the cause
    /// once the answer goes on.
    fn suspects(&self) -> Vec<ids::CrashSubject> {
        let has_proof = self.events >= crash_guard::PROOF_EVENTS;
        match (self.is_item, has_proof) {
            (false, false) => attempt::crash_subjects(self.digest, &self.parts),
            (false, true) => vec![self.digest.into()],
            (true, false) => attempt::part_subjects(&self.parts),
            (true, true) => Vec::new(),
        }
    }
}

/// Evidence that an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndEvidence {
    /// Its address refuses connections.
    Refused,
    /// It is listed with another start time.
    StartedAgain,
}

impl EndEvidence {
    fn label(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::StartedAgain => "started_again",
        }
    }
}

/// Starts a task that checks whether the endpoint of an interrupted run has ended.
pub(super) fn start(context: &rc::Rc<context::ProcessContext>, run: InterruptedRun) {
    actix_rt::spawn(watch(context.clone(), run));
}

/// Checks whether the endpoint of an interrupted run has ended, and records it; returns whether
/// it has.
///
/// An endpoint that was leaving or is not listed ends as planned and is not checked.
pub(super) async fn watch(context: rc::Rc<context::ProcessContext>, run: InterruptedRun) -> bool {
    if !attempt::is_usable(&context, &run.endpoint) {
        return false;
    }
    let evidence = match has_listener(&run.endpoint).await {
        false => Some(EndEvidence::Refused),
        // Without a response, a proxy may have accepted the connection for a dead endpoint.
        true if !run.has_head => None,
        true => {
            let restart_future = context.fleet.restarted(&run.endpoint);
            let restart = tokio::time::timeout(RESTART_TIMEOUT, restart_future).await;
            restart.is_ok().then_some(EndEvidence::StartedAgain)
        }
    };
    if let Some(evidence) = evidence {
        record_end(&context, &run, evidence);
    }
    evidence.is_some()
}

/// Returns whether a stream that brought no event is complete.
///
/// One that ends with its connection may be that of an endpoint that crashed. Only a resumed
/// stream may have no events left, from an endpoint that still listens.
pub(super) async fn is_empty_stream_complete(
    incoming: &connection::IncomingResponse,
    endpoint: &directory::EndpointEntry,
    is_resumed: bool,
) -> bool {
    !incoming.is_until_close() || (is_resumed && has_listener(endpoint).await)
}

/// Returns whether a process may be listening at an endpoint's address.
async fn has_listener(endpoint: &directory::EndpointEntry) -> bool {
    for probe in 1..=PROBE_COUNT {
        let opened = connection::EndpointConnection::open(endpoint.address, PROBE_TIMEOUT).await;
        if opened.is_err_and(|e| e.kind() == io::ErrorKind::ConnectionRefused) {
            return false;
        }
        if probe < PROBE_COUNT {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }
    true
}

/// Formats values for a log line.
fn list(values: &[impl fmt::Display]) -> String {
    let texts: Vec<_> = values.iter().map(ToString::to_string).collect();
    match texts.is_empty() {
        true => "-".to_owned(),
        false => texts.join(","),
    }
}

fn record_end(
    context: &rc::Rc<context::ProcessContext>,
    run: &InterruptedRun,
    evidence: EndEvidence,
) {
    let endpoint = ids::EndpointRun {
        endpoint: run.endpoint.id.clone(),
        started: run.endpoint.started,
    };
    let mut outcomes = Vec::new();
    for subject in run.suspects() {
        let crash = crash_ledger::CrashedRun {
            subject,
            endpoint: endpoint.clone(),
            sent_at: run.begun,
        };
        let outcome = match evidence {
            EndEvidence::StartedAgain if context.crashes.has_ended_before(&crash) => {
                crash_ledger::CrashOutcome::Gone
            }
            EndEvidence::StartedAgain | EndEvidence::Refused => {
                crash_guard::record_crash(context, &crash)
            }
        };
        if run.trial == Some(subject) && outcome == crash_ledger::CrashOutcome::Gone {
            // The trial proves nothing, and nobody else reports its outcome.
            crash_trials::return_trial(context, subject);
        }
        outcomes.push(outcome);
    }
    let label = evidence.label();
    context.metrics.ended_runs.with_label_values(&[label]).inc();
    log::info!(
        "event=endpoint_ended endpoint={endpoint} request={} digest={} evidence={label} outcome=\"{}\" events={} parts={}",
        run.id,
        run.digest,
        list(&outcomes),
        run.events,
        list(&run.parts.iter().map(|part| ids::CrashSubject::from(*part)).collect::<Vec<_>>()),
    );
    if evidence == EndEvidence::Refused {
        let observation = endpoint_reports::failure(context, true);
        let grantor = endpoint_reports::SlotGrantor::NoOwner;
        endpoint_reports::record(context, &run.endpoint, grantor, observation);
    }
}
