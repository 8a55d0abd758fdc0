//! Holds callers' requests that arrive before the process can serve.

use std::{cell, rc, time};

use super::{context, refusals};
use crate::{clock, decisions::start_hold, http_server, protection};

/// `Retry-After` of a request that a process refuses because it is about to stop.
///
/// It is short, as the next try goes to another process.
const STOP_RETRY_AFTER: time::Duration = time::Duration::from_millis(100);

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
    /// When it arrived.
    pub arrived: clock::BootInstant,
    /// Time for which its caller waits from the arrival.
    pub timeout: time::Duration,
    /// Size of its head, in bytes.
    pub bytes: usize,
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
    if context.fleet.is_known() {
        return Ok(());
    }
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
        start_hold::HoldVerdict::Refuse(delay) => {
            return Err(refuse_early(gate, context, &early, delay))
        }
    };
    let held = HeldRequest::begin(gate, request.bytes);
    let is_ready = is_known_within(context, hold).await;
    drop(held);
    let outcome = match is_ready {
        true => "ready",
        false => "expired",
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
    match is_ready {
        true => Ok(()),
        false => {
            let delay = start_hold::retry_after(context.age(), spread);
            Err(refuse_early(gate, context, &early, delay))
        }
    }
}

/// Waits until enough is known to serve, at most for the timeout. Returns whether it is.
async fn is_known_within(context: &context::ProcessContext, timeout: time::Duration) -> bool {
    let mut changes = context.fleet.subscribe();
    let known = async { while !context.fleet.is_known() && changes.changed().await.is_ok() {} };
    // Whether it timed out does not matter: what is known afterwards decides.
    drop(tokio::time::timeout(timeout, known).await);
    context.fleet.is_known()
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
