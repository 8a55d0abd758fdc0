//! Waits for a slow endpoint, and hands its request off only once another endpoint has a
//! slot for it.
//!
//! An endpoint whose connection is open may still be working, so a delay alone is no reason
//! to abort its response. After a while, a slot at another endpoint is requested while the
//! wait for the first one goes on; whichever comes first is used. Only a free slot
//! qualifies, as a queue may be slower still. There are two exceptions: the endpoint's host
//! accepts no connection, or the head of the response has not arrived for a long time.

use std::{rc, time};

use futures::future::{self, FutureExt as _};

use super::{
    attempt, attempt_flow, connection, context, directory, held_slot, queried_owners, relay,
    search_backoff, slot_requests, slots,
};
use crate::{clock, ids, outcome};

/// Share of the latency objective after which an attempt without a response is slow.
pub(super) const SILENCE_SHARE: f64 = 0.8;
/// Share of the longest allowed gap between events after which a stream is slow.
const GAP_SHARE: f64 = 0.5;
/// How long a slow run is kept, unread, until the next endpoint has accepted the request.
///
/// Keeps a run from being aborted for an endpoint that refuses. A refusal takes a round
/// trip of 1 to 4 ms, and longer on busy processors. Two runs of one request may overlap
/// for less than 400 ms; this is a quarter of it.
const HANDOFF_TIMEOUT: time::Duration = time::Duration::from_millis(100);

/// Multiple of the time to a slow head after which a slot in a queue elsewhere qualifies.
///
/// Without a head, no visible progress is lost by a handoff, and the pooled connection may be
/// dead.
const QUEUE_WAIT_FACTOR: u32 = 2;
/// Minimum interval between two test connections to the host of a slow endpoint.
///
/// Each costs the endpoint about 1 ms, and a run may be slow at each event.
const CHECK_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Grace time for the last bytes of a run after its endpoint is listed with a new start.
///
/// The list is updated after the fastest link delivers these bytes. A stream whose events
/// still arrive, at most 60 ms apart, must not be aborted by the update.
const LAST_BYTES_GRACE: time::Duration = time::Duration::from_millis(150);

/// The part of a response that is awaited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Awaited {
    /// The head of the response.
    Head,
    /// The first event of a stream.
    FirstEvent,
    /// The next event of a stream.
    NextEvent,
}

/// Result of a wait for an endpoint.
pub(super) enum Waited<T> {
    /// The awaited part arrived, or the connection broke.
    Done(T),
    /// Another endpoint has taken over and the slow one is to be abandoned; holds the time
    /// waited.
    HandedOff(Box<attempt_flow::SentAttempt>, time::Duration),
    /// The deadline passed, or the endpoint is gone; holds the time waited.
    Lost(time::Duration),
}

impl relay::RequestRelay {
    /// Returns the time after which an endpoint is slow, or `None` if no other may take over.
    fn slow_after(&self, awaited: Awaited) -> Option<time::Duration> {
        let (duration, share) = match awaited {
            Awaited::NextEvent => (self.request.route.gap_objective?, GAP_SHARE),
            _ => (self.request.route.objective, SILENCE_SHARE),
        };
        self.may_hand_off(awaited).then(|| duration.mul_f64(share))
    }

    /// Returns whether another attempt may run in addition to those so far.
    fn may_hand_off(&self, awaited: Awaited) -> bool {
        // An attempt is counted in `ran` only once its head has arrived.
        let needed = match awaited {
            Awaited::Head => 2,
            Awaited::FirstEvent | Awaited::NextEvent => 1,
        };
        self.attempts_left() >= needed && !self.is_blamed()
    }

    /// Waits for an endpoint until the deadline, or until another endpoint takes over.
    pub(super) async fn wait_or_hand_off<T>(
        &mut self,
        slot: &held_slot::HeldSlot,
        awaited: Awaited,
        waiting: impl future::Future<Output = T>,
    ) -> Waited<T> {
        let begun = clock::BootInstant::now();
        tokio::pin!(waiting);
        let Some(slow_after) = self.slow_after(awaited) else {
            return self.wait_without_handoff(slot, awaited, waiting).await;
        };
        let slow_after = slow_after.min(self.time_left());
        if let Ok(done) = tokio::time::timeout(slow_after, &mut waiting).await {
            return Waited::Done(done);
        }
        self.record_slow(slot, awaited, slow_after);
        let mut search = SlowSearch::new(slot, &self.log);
        if awaited == Awaited::Head {
            search.queue_from = Some(begun + slow_after * QUEUE_WAIT_FACTOR);
            search.may_be_dead = self.log.is_reused.get();
        }
        let unreachable =
            host_unreachable(slot.endpoint.clone(), self.time_left(), self.start_check());
        let restarted = endpoint_restarted(self.context.clone(), slot.endpoint.clone());
        tokio::pin!(unreachable, restarted);
        while self.may_hand_off(awaited) {
            tokio::select! {
                biased;
                done = &mut waiting => return Waited::Done(done),
                () = self.wait_for_deadline() => return Waited::Lost(begun.elapsed()),
                () = &mut unreachable => return Waited::Lost(begun.elapsed()),
                () = &mut restarted => return Waited::Lost(begun.elapsed()),
                found = search.next_slot(self) => {
                    search.excluded.push(found.slot.endpoint.id.clone());
                    if let Some(sent) = self.hand_off(found).await {
                        return Waited::HandedOff(Box::new(sent), begun.elapsed());
                    }
                }
            }
        }
        tokio::select! {
            biased;
            done = waiting => Waited::Done(done),
            () = self.wait_for_deadline() => Waited::Lost(begun.elapsed()),
        }
    }

    /// Returns whether a test connection to the host of a slow endpoint is due, and records
    /// it.
    fn start_check(&self) -> bool {
        let now = clock::BootInstant::now();
        let checked_at = self.log.checked_at.get();
        let is_due = checked_at.is_none_or(|at| now.duration_since(at) >= CHECK_INTERVAL);
        if is_due {
            self.log.checked_at.set(Some(now));
        }
        is_due
    }

    /// Waits for an endpoint whose request no other may take over.
    async fn wait_without_handoff<T>(
        &self,
        slot: &held_slot::HeldSlot,
        awaited: Awaited,
        waiting: impl future::Future<Output = T>,
    ) -> Waited<T> {
        let begun = clock::BootInstant::now();
        let waiting = async {
            match awaited {
                Awaited::NextEvent => self.report_if_overdue(slot, waiting).await,
                _ => self.report_if_slow(slot, waiting).await,
            }
        };
        tokio::select! {
            biased;
            done = waiting => Waited::Done(done),
            () = self.wait_for_deadline() => Waited::Lost(begun.elapsed()),
            () = endpoint_restarted(self.context.clone(), slot.endpoint.clone()) => {
                Waited::Lost(begun.elapsed())
            }
        }
    }

    /// Waits for the next event, and reports the endpoint while the event is overdue.
    async fn report_if_overdue<T>(
        &self,
        slot: &held_slot::HeldSlot,
        waiting: impl future::Future<Output = T>,
    ) -> T {
        tokio::pin!(waiting);
        let Some(gap) = self.request.route.gap_objective else {
            return waiting.await;
        };
        let overdue_after = gap.mul_f64(GAP_SHARE);
        if let Ok(done) = tokio::time::timeout(overdue_after, &mut waiting).await {
            return done;
        }
        log::info!(
            "event=event_overdue request={} endpoint={} silent_ms={}",
            self.request.terms.id.as_deref().unwrap_or("-"),
            slot.endpoint.id,
            overdue_after.as_millis()
        );
        slot.record_overdue();
        waiting.await
    }

    /// Logs and reports a slow run, unless it was slow before.
    ///
    /// Without this check, a run that is late with each event would be reported each time.
    fn record_slow(&self, slot: &held_slot::HeldSlot, awaited: Awaited, waited: time::Duration) {
        if self.log.slow_backoff.get().is_some() {
            return;
        }
        log::info!(
            "event=endpoint_slow request={} endpoint={} awaited={awaited:?} waited_ms={} left_ms={}",
            self.request.terms.id.as_deref().unwrap_or("-"),
            slot.endpoint.id,
            waited.as_millis(),
            self.time_left().as_millis(),
        );
        if awaited == Awaited::Head {
            // The pooled connection may be dead, and others to the same address with it.
            self.context.pool.close_idle(slot.endpoint.address);
        }
        slot.record_slow(awaited == Awaited::NextEvent);
    }

    /// Sends the request to the next endpoint; returns the attempt unless it failed at once.
    ///
    /// The slow run is not read meanwhile: its events are still used if the handoff fails,
    /// and no event is sent twice if it succeeds.
    async fn hand_off(&mut self, found: FoundSlot) -> Option<attempt_flow::SentAttempt> {
        let opened = match found.connection {
            Ok(opened) => opened,
            Err(proof) => {
                let outcome = outcome::AttemptOutcome::NotRun(proof);
                self.record_failed_handoff(found.slot, outcome);
                return None;
            }
        };
        let mut sent = self.start(found.slot, Some(opened));
        let timeout = HANDOFF_TIMEOUT.min(self.time_left());
        let result = tokio::time::timeout(timeout, &mut sent.sending).await;
        match result {
            Ok(outcome) if !self.is_accepted(&outcome) => {
                self.record_failed_handoff(sent.slot, outcome);
                return None;
            }
            Ok(outcome) => sent.sending = future::ready(outcome).boxed_local(),
            Err(_) => {}
        }
        self.log.record_start(&sent.slot);
        Some(sent)
    }

    /// Returns whether an endpoint accepted the request that is handed off to it.
    fn is_accepted(&self, outcome: &outcome::AttemptOutcome<attempt::OpenResponse>) -> bool {
        let outcome::AttemptOutcome::Completed(open) = outcome else {
            return false;
        };
        let status = open.incoming.head.status;
        status.is_success() || (!self.is_started && !attempt::is_failure(status))
    }

    /// Records an attempt that did not take over, as any other failed one.
    fn record_failed_handoff(
        &mut self,
        slot: held_slot::HeldSlot,
        outcome: outcome::AttemptOutcome<attempt::OpenResponse>,
    ) {
        if let Ok(responding) = self.classify(slot, outcome) {
            let status = responding.open.incoming.head.status;
            self.record_attempt(&responding.slot.endpoint.id, "failed", status.as_str());
        }
    }
}

/// A slot at another endpoint, and the connection to that endpoint.
///
/// The connection is opened while the slow run is still read. It is always a new one, as a
/// pooled connection may be dead.
struct FoundSlot {
    slot: held_slot::HeldSlot,
    connection: Result<connection::EndpointConnection, outcome::NotRunProof>,
}

/// The search for a slot at another endpoint while one is slow.
struct SlowSearch {
    slow: ids::EndpointId,
    /// Endpoints excluded in this round.
    excluded: Vec<ids::EndpointId>,
    /// Time from which a slot in a queue qualifies; `None` for never.
    queue_from: Option<clock::BootInstant>,
    /// Whether the slow run uses a pooled connection, which may be dead.
    may_be_dead: bool,
}

impl SlowSearch {
    fn new(slot: &held_slot::HeldSlot, log: &attempt_flow::AttemptLog) -> Self {
        Self {
            slow: slot.endpoint.id.clone(),
            excluded: log.tried.clone(),
            queue_from: None,
            may_be_dead: false,
        }
    }

    /// Waits for the next slot.
    async fn next_slot(&mut self, relay: &relay::RequestRelay) -> FoundSlot {
        loop {
            Self::back_off(relay).await;
            let Some(slot) = self.acquire_slot(relay).await else {
                // Endpoints that refused or failed may accept the request in the next round.
                self.excluded = vec![self.slow.clone()];
                continue;
            };
            let connection = attempt::connect(&slot.endpoint, relay.time_left()).await;
            return FoundSlot { slot, connection };
        }
    }

    /// Waits before a request for a slot, except before the first one of a run.
    ///
    /// The backoff is kept between events, so that a run that is slow at each event does not
    /// request slots more often.
    async fn back_off(relay: &relay::RequestRelay) {
        let Some(mut backoff) = relay.log.slow_backoff.get() else {
            relay
                .log
                .slow_backoff
                .set(Some(search_backoff::SearchBackoff::default()));
            return;
        };
        let delay = backoff.next_delay().min(relay.time_left());
        relay.log.slow_backoff.set(Some(backoff));
        tokio::time::sleep(delay).await;
    }

    /// Requests a slot once.
    ///
    /// The request is a task of its own, so that a late response is still received and its
    /// slot released.
    async fn acquire_slot(&self, relay: &relay::RequestRelay) -> Option<held_slot::HeldSlot> {
        relay.check_origin().await;
        let (service, software) = relay.slot_target().ok()?;
        let may_queue = self
            .queue_from
            .is_some_and(|at| at <= clock::BootInstant::now());
        let mut tried = self.excluded.clone();
        if !self.has_others(relay, &service, software.as_ref()) {
            // A new connection to the same endpoint qualifies if the pooled one may be
            // dead: otherwise the caller would wait in vain until its deadline.
            if !may_queue || !self.may_be_dead {
                return None;
            }
            tried.clear();
        }
        let context = rc::Rc::clone(&relay.context);
        let objective = relay.request.route.objective;
        let ticket = relay.queue_ticket();
        let acquiring = actix_rt::spawn(async move {
            let request = slot_requests::SlotParams {
                service: &service,
                tried: &tried,
                software: software.as_ref(),
                objective,
                // The request moves for good, and a suspect endpoint is no better.
                single_attempt: true,
                ticket: ticket.as_ref(),
            };
            match may_queue {
                true => slots::acquire_or_choose_locally(&context, &request).await,
                false => free_slot(&context, &request).await,
            }
        });
        match acquiring.await {
            Ok(slot) => slot.ok(),
            Err(e) => {
                log::warn!("event=place_unasked why=\"{e}\"");
                None
            }
        }
    }

    /// Returns whether the service has an endpoint that may go on with the request and is not
    /// excluded.
    fn has_others(
        &self,
        relay: &relay::RequestRelay,
        service: &ids::ServiceName,
        software: Option<&ids::SoftwareVersion>,
    ) -> bool {
        let directory = relay.context.fleet.directory.borrow();
        let listed = directory.of_version(service, software);
        listed.iter().any(|e| !self.excluded.contains(&e.id))
    }
}

/// Resolves if the host of a slow endpoint accepts no connection.
///
/// The endpoint will then not respond any more, and even a queue elsewhere is better.
async fn host_unreachable(
    endpoint: rc::Rc<directory::EndpointEntry>,
    timeout: time::Duration,
    is_due: bool,
) {
    if is_due {
        if let Err(proof) = attempt::connect(&endpoint, timeout).await {
            log::info!(
                "event=endpoint_gone endpoint={} why=\"{proof:?}\"",
                endpoint.id
            );
            return;
        }
    }
    future::pending().await
}

/// Resolves after the endpoint is listed with a new start.
///
/// The run that has the request has ended then; `LAST_BYTES_GRACE` is left for bytes that
/// are still in transit.
async fn endpoint_restarted(
    context: rc::Rc<context::ProcessContext>,
    endpoint: rc::Rc<directory::EndpointEntry>,
) {
    context.fleet.restarted(&endpoint).await;
    tokio::time::sleep(LAST_BYTES_GRACE).await;
    log::info!(
        "event=run_ended endpoint={} why=\"the endpoint restarted\"",
        endpoint.id
    );
}

/// Finds a free slot, not one in a queue, for a request that runs at a slow endpoint.
///
/// This process's own counts are used only while it receives no heartbeats from any owner.
/// An owner that is alive but slow to respond has a bad link, and so may the endpoint.
///
/// # Errors
/// There is no free slot.
async fn free_slot(
    context: &rc::Rc<context::ProcessContext>,
    request: &slot_requests::SlotParams<'_>,
) -> Result<held_slot::HeldSlot, slots::SlotUnavailable> {
    let owners = queried_owners::owner_order(context, request.service, request.software);
    if !owners.is_empty() {
        let result = slots::request_slot(context, request, &owners).await;
        return result.map_err(|_| slots::SlotUnavailable::Full);
    }
    if !context.relays().is_empty() {
        let result = slot_requests::request_from_relay(context, request, false).await;
        return result.ok_or(slots::SlotUnavailable::Full);
    }
    slots::choose_locally(context, request)
}
