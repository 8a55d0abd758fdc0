//! Holds callers' requests that arrive before the process can serve.

use std::{cell, rc, time};

use super::{context, refusals, workspaces::api_key};
use crate::{clock, decisions::start_hold, http_server, ids, protection};

/// `Retry-After` of a request that a process refuses because it is about to stop.
///
/// It is short, as the next try goes to another process.
const STOP_RETRY_AFTER: time::Duration = time::Duration::from_millis(100);
/// Interval at which held requests check for a heartbeat of a quota server, which notifies
/// nobody.
const QUOTA_POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Requests held until the process can serve.
#[derive(Debug, Default)]
pub struct ReadinessGate {
    held: cell::Cell<start_hold::HeldLoad>,
}

/// A request at the gate.
#[derive(Debug, Clone, Copy)]
pub struct GateRequest<'a> {
    /// Request id that the caller gave.
    pub id: Option<&'a str>,
    /// API key that the caller presented.
    pub key: &'a api_key::PresentedKey,
    /// When it arrived.
    pub arrived: clock::BootInstant,
    /// Time for which its caller waits from the arrival.
    pub timeout: time::Duration,
    /// Size of its head, in bytes.
    pub bytes: usize,
}

/// What a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MissingState {
    /// The desired state, the endpoints or the evacuations.
    Fleet,
    /// The quota servers, one of which must check the limit of the request's workspace.
    QuotaServers,
}

/// Counts a held request until the guard is dropped, also when its caller leaves.
struct HeldRequest {
    gate: rc::Rc<ReadinessGate>,
    bytes: usize,
}

impl HeldRequest {
    fn begin(gate: &rc::Rc<ReadinessGate>, bytes: usize) -> Self {
        gate.held.set(gate.held.get().with(bytes));
        Self {
            gate: gate.clone(),
            bytes,
        }
    }
}

impl Drop for HeldRequest {
    fn drop(&mut self) {
        let held = &self.gate.held;
        held.set(held.get().without(self.bytes));
    }
}

/// Returns as soon as the process can serve the request.
///
/// # Errors
/// The refusal, if the process is about to stop or will not be ready in time. The request
/// has not run: only its head has been read.
pub async fn pass(
    gate: &rc::Rc<ReadinessGate>,
    context: &context::ProcessContext,
    request: GateRequest<'_>,
) -> Result<(), http_server::HttpResponse> {
    refuse_if_stopping(context)?;
    let Some(missing) = missing_state(context, request.key) else {
        return Ok(());
    };
    let early = start_hold::EarlyRequest {
        uptime: context.age(),
        remaining: request.timeout.saturating_sub(request.arrived.elapsed()),
        bytes: request.bytes,
    };
    let spread = rand::random();
    let verdict = match protection::is_disabled("start_hold") {
        true => start_hold::HoldVerdict::Refuse(STOP_RETRY_AFTER),
        false => start_hold::decide(&early, gate.held.get(), spread),
    };
    let hold = match verdict {
        start_hold::HoldVerdict::Hold(hold) => hold,
        // Only the limiter refuses a request whose limit cannot be checked.
        start_hold::HoldVerdict::Refuse(_) if missing == MissingState::QuotaServers => {
            return Ok(())
        }
        start_hold::HoldVerdict::Refuse(delay) => {
            return Err(refuse_early(gate, context, &early, delay))
        }
    };
    let held = HeldRequest::begin(gate, request.bytes);
    let missing = missing_after(context, request.key, hold).await;
    drop(held);
    let outcome = match missing {
        None => "ready",
        Some(MissingState::QuotaServers) => "no_quota_server",
        Some(MissingState::Fleet) => "expired",
    };
    let holds = &context.metrics.start_holds;
    holds.with_label_values(&[outcome]).inc();
    log::info!(
        "event=request_held_at_start request={} outcome={outcome} age_ms={} max_ms={} uptime_ms={}",
        request.id.unwrap_or("-"),
        request.arrived.elapsed().as_millis(),
        hold.as_millis(),
        context.age().as_millis()
    );
    refuse_if_stopping(context)?;
    match missing {
        None | Some(MissingState::QuotaServers) => Ok(()),
        Some(MissingState::Fleet) => {
            let delay = start_hold::retry_after(context.age(), spread);
            Err(refuse_early(gate, context, &early, delay))
        }
    }
}

/// Returns what is missing to serve a request with a key.
fn missing_state(
    context: &context::ProcessContext,
    key: &api_key::PresentedKey,
) -> Option<MissingState> {
    if !context.fleet.is_known() {
        return Some(MissingState::Fleet);
    }
    // A listed one without a heartbeat has no link yet, and requests to it would fail.
    let is_heard = |id: &ids::InstanceId| id == context.id() || context.receives_from(id);
    if context.shares.borrow().quota_servers().iter().any(is_heard) {
        return None;
    }
    let api_key::PresentedKey::Key(digest) = key else {
        return None;
    };
    let table = context.fleet.table();
    let workspace = table.workspaces().find(digest)?;
    workspace.limit.map(|_| MissingState::QuotaServers)
}

/// Waits until nothing is missing, at most for the timeout. Returns what still is.
async fn missing_after(
    context: &context::ProcessContext,
    key: &api_key::PresentedKey,
    timeout: time::Duration,
) -> Option<MissingState> {
    let mut changes = context.fleet.subscribe();
    let complete = async {
        while let Some(missing) = missing_state(context, key) {
            match missing {
                MissingState::Fleet if changes.changed().await.is_err() => return,
                MissingState::Fleet => {}
                MissingState::QuotaServers => actix_rt::time::sleep(QUOTA_POLL_INTERVAL).await,
            }
        }
    };
    // Whether it timed out does not matter: what is missing afterwards decides.
    drop(tokio::time::timeout(timeout, complete).await);
    missing_state(context, key)
}

fn refuse_if_stopping(context: &context::ProcessContext) -> Result<(), http_server::HttpResponse> {
    if !context.refuses_requests() {
        return Ok(());
    }
    Err(refusals::refuse_temporarily(
        "stopping",
        format!("uptime_ms={}", context.age().as_millis()),
        STOP_RETRY_AFTER,
        "this process is about to stop\n",
    ))
}

fn refuse_early(
    gate: &ReadinessGate,
    context: &context::ProcessContext,
    early: &start_hold::EarlyRequest,
    delay: time::Duration,
) -> http_server::HttpResponse {
    let held = gate.held.get();
    let inputs = format!(
        "uptime_ms={} arrived_at_ms={} left_ms={} bytes={} held={} held_bytes={} version={} endpoints={}",
        context.age().as_millis(),
        early.uptime.as_millis(),
        early.remaining.as_millis(),
        early.bytes,
        held.requests,
        held.bytes,
        context.fleet.table().version(),
        context.fleet.directory.borrow().len()
    );
    let body = "no desired state is known yet\n";
    refusals::refuse_temporarily("not_ready", inputs, delay, body)
}
