//! Finds out whether an endpoint ended under a run that was cut.
//!
//! A connection that breaks says nothing of the endpoint: it may have been reset on
//! the way. An endpoint has ended if nobody listens at its address any more, or if it
//! had begun to answer and is listed with another start soon afterwards.

use std::{io, rc, time};

use super::{connection, context, crash_guard, directory, endpoint_reports};
use crate::{clock, decisions::crash_ledger, ids};

/// Longest wait for the connection that asks whether somebody listens. A refusal comes
/// within a round trip, 1 to 4 ms; an opening packet that was dropped is sent again
/// after a second, and says nothing.
const LOOK_TIMEOUT: time::Duration = time::Duration::from_millis(150);
/// Pause between two looks: a process that ends closes its connections and its
/// listener one after the other, at once but not in one step.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Looks at an address. Each costs an endpoint that is well about 1 ms.
const LOOKS: u32 = 2;
/// How long an endpoint is watched that may have started again before it was looked at.
/// Endpoints are back some seconds after a crash, and show themselves within 1.2 s.
const RESTART_TIME: time::Duration = time::Duration::from_secs(10);

/// A run of a request that was cut.
#[derive(Debug, Clone)]
pub(super) struct CutRun {
    /// The request.
    pub(super) digest: ids::RequestDigest,
    /// Name of this try of it.
    pub(super) id: String,
    /// Where it ran.
    pub(super) endpoint: rc::Rc<directory::EndpointEntry>,
    /// When it was sent there.
    pub(super) begun: clock::MonotonicTime,
    /// Whether the endpoint had begun to answer.
    pub(super) has_head: bool,
}

/// What shows that an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndEvidence {
    /// Nobody listens at its address.
    Refused,
    /// It is listed with another start.
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

/// Looks, beside the request, whether the endpoint of a run that was cut has ended.
///
/// One that was leaving, or is not listed, ends as planned.
pub(super) fn begin(context: &rc::Rc<context::ProcessContext>, run: CutRun) {
    let directory = context.fleet.directory.borrow();
    let is_listed = directory.usable(&run.endpoint.id).is_some();
    drop(directory);
    if is_listed {
        actix_rt::spawn(watch(context.clone(), run));
    }
}

async fn watch(context: rc::Rc<context::ProcessContext>, run: CutRun) {
    let evidence = match has_listener(&run.endpoint).await {
        false => Some(EndEvidence::Refused),
        // Something else may have taken the connection for an endpoint that was gone.
        true if !run.has_head => None,
        true => {
            let watching = context.fleet.restarted(&run.endpoint);
            let seen = tokio::time::timeout(RESTART_TIME, watching).await;
            seen.is_ok().then_some(EndEvidence::StartedAgain)
        }
    };
    if let Some(evidence) = evidence {
        record_end(&context, &run, evidence);
    }
}

/// Whether somebody may listen at an endpoint's address.
async fn has_listener(endpoint: &directory::EndpointEntry) -> bool {
    for look in 1..=LOOKS {
        let opened = connection::EndpointConnection::open(endpoint.address, LOOK_TIMEOUT).await;
        if opened.is_err_and(|e| e.kind() == io::ErrorKind::ConnectionRefused) {
            return false;
        }
        if look < LOOKS {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }
    true
}

fn record_end(context: &rc::Rc<context::ProcessContext>, run: &CutRun, evidence: EndEvidence) {
    let endpoint = ids::EndpointRun {
        endpoint: run.endpoint.id.clone(),
        started: run.endpoint.started,
    };
    let crash = crash_ledger::CrashedRun {
        digest: run.digest,
        endpoint: endpoint.clone(),
        begun: run.begun,
    };
    let outcome = crash_guard::record_crash(context, &crash);
    let label = evidence.label();
    context.metrics.ended_runs.with_label_values(&[label]).inc();
    log::info!(
        "event=endpoint_ended endpoint={endpoint} request={} digest={} evidence={label} outcome=\"{outcome:?}\"",
        run.id,
        run.digest,
    );
    if evidence == EndEvidence::Refused {
        let observation = endpoint_reports::failure(context, true);
        let nobody = endpoint_reports::SlotGrantor::NoOwner;
        endpoint_reports::record(context, &run.endpoint, nobody, observation);
    }
}
