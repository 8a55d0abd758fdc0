//! Waits for an endpoint that is slow: it is left only for a place in hand elsewhere.
//!
//! An endpoint whose connection is open may be at work, and its silence is no
//! reason to end an answer. After a while a place at another endpoint is
//! asked for while the first answer is waited for on; whatever comes first counts.
//! Only a free slot will do, as a queue may be slower still, but for two cases:
//! the endpoint's machine takes no connection, or not even a head came for long.

use std::{rc, time};

use futures::future::{self, FutureExt as _};

use super::{attempt, attempt_flow, connection, context, directory, relay, search_pace, slots};
use crate::{clock, ids, outcome};

/// Part of an objective after which a silent attempt is taken for slow.
const SILENCE_SHARE: f64 = 0.8;
/// Part of the longest pause between events after which a stream is taken for slow.
const GAP_SHARE: f64 = 0.5;
/// How long a slow run is kept, unread, for the word of the endpoint that is to go on.
///
/// Guards a run against being given up for an endpoint that refuses. A refusal
/// takes a round trip, 1 to 4 ms, and its turn on busy processors. Two runs of
/// one request at once must last for less than 400 ms; this is a quarter of it.
const HANDOVER_TIME: time::Duration = time::Duration::from_millis(100);

/// How many times as long as for a free slot a head is waited for until a place in a
/// queue elsewhere will do: no work is seen to be lost, and a kept connection may be silent for good.
const QUEUE_WAITS: u32 = 2;
/// Least time between two connections that ask whether a slow endpoint's machine
/// is there. Each costs the endpoint about 1 ms; a run may be slow at each event.
const CHECK_PAUSE: time::Duration = time::Duration::from_secs(1);

/// How long bytes of a run may be on their way after its endpoint is known to have
/// started again: the list is told later than the fastest link brings them, and a
/// stream whose events still come, 60 ms apart at most, is not ended by its list.
const LAST_BYTES_TIME: time::Duration = time::Duration::from_millis(150);

/// What is awaited of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Awaited {
    /// The head of its answer.
    Head,
    /// The first event of a stream.
    FirstEvent,
    /// The next event of a stream.
    NextEvent,
}

/// How a wait for an endpoint ended.
pub(super) enum Waited<T> {
    /// What was awaited came, or the connection broke.
    Came(T),
    /// Another endpoint goes on, the slow one is to be left now; with the time waited.
    Moved(Box<attempt_flow::SentAttempt>, time::Duration),
    /// The caller's time is over, or the endpoint is gone; with the time waited.
    Lost(time::Duration),
}

impl relay::RequestRelay {
    /// Time after which an endpoint is taken for slow; none if no other may go on.
    fn slow_after(&self, awaited: Awaited) -> Option<time::Duration> {
        let (duration, share) = match awaited {
            Awaited::NextEvent => (self.request.route.gap_objective?, GAP_SHARE),
            _ => (self.request.route.objective, SILENCE_SHARE),
        };
        self.may_move(awaited).then(|| duration.mul_f64(share))
    }

    /// Whether one more attempt may run beside what ran so far.
    fn may_move(&self, awaited: Awaited) -> bool {
        // An attempt counts as run from its head on.
        let least = match awaited {
            Awaited::Head => 2,
            Awaited::FirstEvent | Awaited::NextEvent => 1,
        };
        self.attempts_left() >= least && !self.is_blamed()
    }

    /// Waits for an endpoint to the end of the caller's time, or until another goes on.
    pub(super) async fn wait_or_move<T>(
        &mut self,
        slot: &slots::HeldSlot,
        awaited: Awaited,
        waiting: impl future::Future<Output = T>,
    ) -> Waited<T> {
        let begun = clock::BootInstant::now();
        tokio::pin!(waiting);
        let Some(slow_after) = self.slow_after(awaited) else {
            return self.wait_alone(slot, awaited, waiting).await;
        };
        let slow_after = slow_after.min(self.left());
        if let Ok(done) = tokio::time::timeout(slow_after, &mut waiting).await {
            return Waited::Came(done);
        }
        self.record_slow(slot, awaited, slow_after);
        let mut search = SlowSearch::new(slot, &self.log);
        if awaited == Awaited::Head {
            search.queue_from = Some(begun + slow_after * QUEUE_WAITS);
            search.may_be_silent = self.log.is_kept.get();
        }
        let gone = machine_gone(slot.endpoint.clone(), self.left(), self.begin_check());
        let ended = run_ended(self.context.clone(), slot.endpoint.clone());
        tokio::pin!(gone, ended);
        while self.may_move(awaited) {
            tokio::select! {
                biased;
                done = &mut waiting => return Waited::Came(done),
                () = self.sleep_remaining() => return Waited::Lost(begun.elapsed()),
                () = &mut gone => return Waited::Lost(begun.elapsed()),
                () = &mut ended => return Waited::Lost(begun.elapsed()),
                found = search.next_slot(self) => {
                    search.passed_over.push(found.slot.endpoint.id.clone());
                    if let Some(sent) = self.hand_over(found).await {
                        return Waited::Moved(Box::new(sent), begun.elapsed());
                    }
                }
            }
        }
        tokio::select! {
            biased;
            done = waiting => Waited::Came(done),
            () = self.sleep_remaining() => Waited::Lost(begun.elapsed()),
        }
    }

    /// Whether the machine of a slow endpoint is to be asked for a connection.
    fn begin_check(&self) -> bool {
        let now = clock::BootInstant::now();
        let checked_at = self.log.checked_at.get();
        let is_due = checked_at.is_none_or(|at| now.duration_since(at) >= CHECK_PAUSE);
        if is_due {
            self.log.checked_at.set(Some(now));
        }
        is_due
    }

    /// Waits for the only endpoint that may run the request.
    async fn wait_alone<T>(
        &self,
        slot: &slots::HeldSlot,
        awaited: Awaited,
        waiting: impl future::Future<Output = T>,
    ) -> Waited<T> {
        let begun = clock::BootInstant::now();
        let waiting = async {
            match awaited {
                Awaited::NextEvent => waiting.await,
                _ => self.suspecting(slot, waiting).await,
            }
        };
        tokio::select! {
            biased;
            done = waiting => Waited::Came(done),
            () = self.sleep_remaining() => Waited::Lost(begun.elapsed()),
            () = run_ended(self.context.clone(), slot.endpoint.clone()) => {
                Waited::Lost(begun.elapsed())
            }
        }
    }

    /// Notes a run that is slow for the first time; the owner hears of it.
    ///
    /// A run whose every event is late would else be told of with each.
    fn record_slow(&self, slot: &slots::HeldSlot, awaited: Awaited, waited: time::Duration) {
        if self.log.slow_pace.get().is_some() {
            return;
        }
        log::info!(
            "event=endpoint_slow request={} endpoint={} awaited={awaited:?} waited_ms={} left_ms={}",
            self.request.terms.id.as_deref().unwrap_or("-"),
            slot.endpoint.id,
            waited.as_millis(),
            self.left().as_millis(),
        );
        if awaited == Awaited::Head {
            // A kept connection may be silent for good, and others with it.
            self.context.pool.forget(slot.endpoint.address);
        }
        slot.record_failed(awaited == Awaited::NextEvent);
    }

    /// Sends the request to the next endpoint; gives the attempt unless it failed at once.
    ///
    /// The slow run is not read meanwhile: its events still count if this fails,
    /// and none of them goes out twice if it does not.
    async fn hand_over(&mut self, found: FoundSlot) -> Option<attempt_flow::SentAttempt> {
        let opened = match found.connection {
            Ok(opened) => opened,
            Err(proof) => {
                let told = outcome::AttemptOutcome::NotRun(proof);
                self.record_not_moved(found.slot, told);
                return None;
            }
        };
        let id = found.slot.endpoint.id.clone();
        let mut sent = self.start(found.slot, Some(opened));
        let timeout = HANDOVER_TIME.min(self.left());
        let told = tokio::time::timeout(timeout, &mut sent.sending).await;
        match told {
            Ok(outcome) if !self.goes_on(&outcome) => {
                self.record_not_moved(sent.slot, outcome);
                return None;
            }
            Ok(outcome) => sent.sending = future::ready(outcome).boxed_local(),
            Err(_) => {}
        }
        self.log.begin(&id);
        Some(sent)
    }

    /// Whether an attempt goes on with the request.
    fn goes_on(&self, told: &outcome::AttemptOutcome<attempt::OpenResponse>) -> bool {
        let outcome::AttemptOutcome::Completed(open) = told else {
            return false;
        };
        let status = open.incoming.head.status;
        status.is_success() || (!self.started && !attempt::is_failure(status))
    }

    /// Counts an attempt that does not go on, as any other.
    fn record_not_moved(
        &mut self,
        slot: slots::HeldSlot,
        told: outcome::AttemptOutcome<attempt::OpenResponse>,
    ) {
        if let Ok(answered) = self.classify(slot, told) {
            let status = answered.open.incoming.head.status;
            self.record_attempt(&answered.slot.endpoint.id, "failed", status.as_str());
        }
    }
}

/// A place elsewhere, and the connection to its endpoint.
///
/// It is made before the slow run is put aside, and always anew: a kept one
/// may be silent, and so be worse than the slow run.
struct FoundSlot {
    slot: slots::HeldSlot,
    connection: Result<connection::EndpointConnection, outcome::NotRunProof>,
}

/// The search for a place elsewhere while an endpoint is slow.
struct SlowSearch {
    slow: ids::EndpointId,
    /// Endpoints that are not asked for in this round.
    passed_over: Vec<ids::EndpointId>,
    /// From when on a place in a queue will do, if ever.
    queue_from: Option<clock::BootInstant>,
    /// Whether the connection of the slow run may be silent for good: it was kept.
    may_be_silent: bool,
}

impl SlowSearch {
    fn new(slot: &slots::HeldSlot, log: &attempt_flow::AttemptLog) -> Self {
        Self {
            slow: slot.endpoint.id.clone(),
            passed_over: log.tried.clone(),
            queue_from: None,
            may_be_silent: false,
        }
    }

    /// The next place, whenever there is one.
    async fn next_slot(&mut self, relay: &relay::RequestRelay) -> FoundSlot {
        loop {
            Self::delay(relay).await;
            let Some(slot) = self.send_request(relay).await else {
                // Those that refused or failed may take it in the next round.
                self.passed_over = vec![self.slow.clone()];
                continue;
            };
            let connection = attempt::connect(&slot.endpoint, relay.left()).await;
            return FoundSlot { slot, connection };
        }
    }

    /// Pauses, but before the first place that is asked for in a run.
    ///
    /// A run that is slow at each event brings its answer: it asks no more often.
    async fn delay(relay: &relay::RequestRelay) {
        let Some(mut pace) = relay.log.slow_pace.get() else {
            relay
                .log
                .slow_pace
                .set(Some(search_pace::SearchPace::default()));
            return;
        };
        let delay = pace.next_delay().min(relay.left());
        relay.log.slow_pace.set(Some(pace));
        tokio::time::sleep(delay).await;
    }

    /// Asks once. An answer that comes too late is taken, and its place given back.
    async fn send_request(&self, relay: &relay::RequestRelay) -> Option<slots::HeldSlot> {
        let service = relay.choose_service()?;
        let may_queue = self
            .queue_from
            .is_some_and(|at| at <= clock::BootInstant::now());
        let mut tried = self.passed_over.clone();
        if !self.has_others(relay, &service) {
            // A new connection to the same endpoint will do where the kept one may be
            // silent: else its caller would wait for nothing to the end of its time.
            if !may_queue || !self.may_be_silent {
                return None;
            }
            tried.clear();
        }
        let context = rc::Rc::clone(&relay.context);
        let objective = relay.request.route.objective;
        let asking = actix_rt::spawn(async move {
            let request = slots::SlotParams {
                service: &service,
                tried: &tried,
                objective,
            };
            match may_queue {
                true => slots::any_slot(&context, &request).await,
                false => free_slot(&context, &request).await,
            }
        });
        match asking.await {
            Ok(slot) => slot.ok(),
            Err(e) => {
                log::warn!("event=place_unasked why=\"{e}\"");
                None
            }
        }
    }

    /// Whether the service has an endpoint that was not passed over.
    fn has_others(&self, relay: &relay::RequestRelay, service: &ids::ServiceName) -> bool {
        let directory = relay.context.fleet.directory.borrow();
        let listed = directory.of_service(service);
        listed.iter().any(|e| !self.passed_over.contains(&e.id))
    }
}

/// Resolves when the machine of a slow endpoint takes no connection: its silence
/// is for good, and even a place in a queue elsewhere is better.
async fn machine_gone(
    endpoint: rc::Rc<directory::EndpointEntry>,
    left: time::Duration,
    is_due: bool,
) {
    if is_due {
        if let Err(proof) = attempt::connect(&endpoint, left).await {
            log::info!(
                "event=endpoint_gone endpoint={} why=\"{proof:?}\"",
                endpoint.id
            );
            return;
        }
    }
    future::pending().await
}

/// Resolves a moment after the endpoint is listed with another start than the one that
/// has the request: nothing of it comes any more but what is on its way.
async fn run_ended(
    context: rc::Rc<context::ProcessContext>,
    endpoint: rc::Rc<directory::EndpointEntry>,
) {
    context.fleet.restarted(&endpoint).await;
    tokio::time::sleep(LAST_BYTES_TIME).await;
    log::info!(
        "event=run_ended endpoint={} why=\"it started again\"",
        endpoint.id
    );
}

/// Finds a free slot, not a queue, for a request that is at work elsewhere.
///
/// This process's own counts are used only while it hears no owner: one that
/// is heard but late has a bad link between, as may the slow endpoint have.
async fn free_slot(
    context: &rc::Rc<context::ProcessContext>,
    request: &slots::SlotParams<'_>,
) -> Result<slots::HeldSlot, slots::SlotUnavailable> {
    let owners = slots::owner_order(context, request.service);
    if !owners.is_empty() {
        let asked = slots::request_slot(context, request, &owners).await;
        return asked.map_err(|_| slots::SlotUnavailable::Full);
    }
    if !context.relays().is_empty() {
        let asked = slots::request_from_relay(context, request, false).await;
        return asked.ok_or(slots::SlotUnavailable::Full);
    }
    slots::go_ahead(context, request.service, request.tried)
}
