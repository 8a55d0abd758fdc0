//! Grants slots of owned endpoints, at once or to requests that wait for them.

use std::{borrow, collections, rc, time};

use tokio::sync::oneshot;

use super::{
    context, continuations, endpoint_records, peers, permits,
    slot_queue::{self, WaitOutcome, WaitRefusal},
    waiting_grants::{self, WaitGrant},
};
use crate::{
    clock,
    decisions::{admission, wait_queue},
    ids,
};

/// A kind of grant to a waiting request.
type GrantFunction = fn(
    &mut permits::PermitTable,
    &mut slot_queue::SlotQueues,
    &ids::ServiceName,
    &collections::HashSet<ids::EndpointId>,
    clock::MonotonicTime,
) -> Option<WaitGrant>;

/// Acquires a slot at an owned endpoint, preempting batch streams if necessary.
fn acquire(
    context: &context::ProcessContext,
    request: &peers::OnlineSlotRequest,
) -> Option<ids::EndpointId> {
    let now = context.clock.now();
    let mut permits = context.permits.borrow_mut();
    let ejected = context.ejected_endpoints(&permits, now);
    let granted = permits.acquire(request, &ejected, now);
    drop(permits);
    let slot = granted?;
    for stream in &slot.preempted {
        preempt(context, &slot.endpoint, *stream);
    }
    Some(slot.endpoint)
}

/// Returns a request that excludes the endpoints at which its stream may not go on by what
/// this owner knows.
fn with_exclusions<'a>(
    context: &context::ProcessContext,
    request: &'a peers::OnlineSlotRequest,
) -> borrow::Cow<'a, peers::OnlineSlotRequest> {
    let excluded = continuations::excluded(context, &request.service, request.software.as_ref());
    if excluded.is_empty() {
        return borrow::Cow::Borrowed(request);
    }
    let mut request = request.clone();
    request.tried.extend(excluded);
    borrow::Cow::Owned(request)
}

/// Grants a slot at an owned endpoint, preempting batch streams if necessary.
pub fn grant(
    context: &context::ProcessContext,
    request: &peers::OnlineSlotRequest,
) -> peers::OnlineSlotResponse {
    let request = &*with_exclusions(context, request);
    let now = context.clock.now();
    let endpoint = acquire(context, request);
    let permits = context.permits.borrow();
    let ejected = context.ejected_endpoints(&permits, now);
    let owns = permits.owns(&request.service);
    let excludes_all = permits.are_all_excluded(request);
    let all_suspect = permits.are_all_suspect(request, &ejected, now);
    let only_suspect = endpoint.is_none() && permits.has_only_suspect(request, &ejected, now);
    let is_suspect = |id: &ids::EndpointId| permits.is_suspect(id, now);
    let is_probe = endpoint.as_ref().is_some_and(is_suspect);
    let free_slots = permits.free_online_slots(&request.service, now);
    let free_queue_slots = match &request.ticket {
        None => permits.free_queue_slots(&request.service, request.wait, now),
        Some(ticket) => {
            let capacity = permits.queue_capacity(&request.service, now);
            let queues = context.slot_queues.borrow();
            queues.free_places(request, ticket, capacity)
        }
    };
    let denial = endpoint.is_none().then(|| permits.denial(request, now));
    drop(permits);
    if endpoint.is_some() {
        context.slot_queues.borrow_mut().record_grant(request);
    }
    if let Some(denial) = denial {
        log::info!(
            "event=place_denied service={} asker={} may_queue={} only_suspect={only_suspect} {denial}",
            request.service,
            request.holder,
            request.may_queue,
        );
    }
    if let Some(endpoint) = endpoint.as_ref().filter(|_| is_probe) {
        record_probe(context, request, endpoint);
    }
    peers::OnlineSlotResponse {
        endpoint,
        owns,
        excludes_all,
        free_slots,
        free_queue_slots,
        only_suspect,
        all_suspect,
        is_probe,
        is_staged: false,
        retry_after: None,
    }
}

/// Logs and counts a slot that is granted at a suspect endpoint.
fn record_probe(
    context: &context::ProcessContext,
    request: &peers::OnlineSlotRequest,
    endpoint: &ids::EndpointId,
) {
    let kind = match request.single_attempt {
        true => "single_attempt",
        false => "repeatable",
    };
    context.metrics.probes.with_label_values(&[kind]).inc();
    log::info!(
        "event=endpoint_probed endpoint={endpoint} asker={} kind={kind} use={:?}",
        request.holder,
        request.use_of_suspects,
    );
}

/// Preempts a batch stream that runs here or at the borrower of the slot.
fn preempt(
    context: &context::ProcessContext,
    endpoint: &ids::EndpointId,
    number: admission::StreamNumber,
) {
    context.metrics.preempted.inc();
    let borrower = context.permits.borrow_mut().borrower(endpoint, number);
    let Some(borrower) = borrower else {
        context.jobs.preempt(endpoint, number);
        return;
    };
    let address = context.members.borrow().address_of(&borrower);
    if let Some(address) = address {
        let endpoint = endpoint.clone();
        let slot = peers::BorrowedSlot { endpoint, number };
        context.links.preempt(address, slot);
    }
}

/// Releases a slot, which the first request in the wait queue gets, and without one batch
/// work. A release of a relayed permit is forwarded to the owner.
pub fn release(context: &context::ProcessContext, ended: peers::SlotRelease) {
    if withdraw(context, ended.number) {
        return;
    }
    let mut permits = context.permits.borrow_mut();
    let released = match ended.is_served {
        true => permits.release_served(ended.number, context.clock.now()),
        false => permits.release(ended.number),
    };
    drop(permits);
    if let Some(endpoint) = released {
        if ended.is_served {
            context.loads.borrow_mut().record_served(&endpoint);
            context.fleet.record_verified(&endpoint);
            endpoint_records::record_life(context, &endpoint, "served");
        }
        if let Some(observation) = &ended.observation {
            endpoint_records::record_run(context, &endpoint, observation);
        }
        record_release(context, &endpoint, ended.number);
        context.jobs.work.notify_one();
        return;
    }
    let relayed = context.relayed_slots.borrow_mut().pop(&ended.number);
    if let Some(owner) = relayed {
        context.links.release(owner, ended);
    }
}

/// Returns whether a request may wait in a wait queue.
pub(super) fn may_wait(request: &peers::OnlineSlotRequest) -> bool {
    request.may_queue && request.ticket.is_some()
}

/// Grants a slot, or waits until one is free, the wait is over or the request is refused.
///
/// If this future is dropped, the request stops waiting and holds no slot.
pub(super) async fn grant_or_wait(
    context: &rc::Rc<context::ProcessContext>,
    request: &peers::OnlineSlotRequest,
) -> peers::OnlineSlotResponse {
    let request = &*with_exclusions(context, request);
    let was_released = context
        .permits
        .borrow_mut()
        .take_early_release(request.number);
    let free_slot = peers::OnlineSlotRequest {
        may_queue: false,
        ..request.clone()
    };
    let mut response = match was_released {
        // The release came before the request, whose sender no longer waits.
        true => full_response(context, request),
        false => grant(context, &free_slot),
    };
    let is_full = response.endpoint.is_none() && response.owns && !response.excludes_all;
    let Some(ticket) = request.ticket.as_ref().filter(|_| is_full && !was_released) else {
        return response;
    };
    match wait_in_line(context, request, ticket).await {
        WaitOutcome::Granted(endpoint) => {
            let now = context.clock.now();
            let permits = context.permits.borrow();
            response.is_probe = permits.is_suspect(&endpoint, now);
            response.is_staged = permits.is_staged(request.number);
            drop(permits);
            response.only_suspect = false;
            response.endpoint = Some(endpoint);
        }
        WaitOutcome::Refused(reason, delay) => {
            response.owns = reason != WaitRefusal::OwnerLost;
            // The requester must learn of the booked time first.
            response.only_suspect = false;
            response.retry_after = delay;
        }
    }
    let now = context.clock.now();
    let permits = context.permits.borrow();
    response.free_slots = permits.free_online_slots(&request.service, now);
    response
}

/// Returns a response without a slot.
fn full_response(
    context: &context::ProcessContext,
    request: &peers::OnlineSlotRequest,
) -> peers::OnlineSlotResponse {
    peers::OnlineSlotResponse {
        endpoint: None,
        owns: context.permits.borrow().owns(&request.service),
        excludes_all: false,
        free_slots: 0,
        free_queue_slots: 0,
        only_suspect: false,
        all_suspect: false,
        is_probe: false,
        is_staged: false,
        retry_after: None,
    }
}

/// Waits in the queue of the service.
async fn wait_in_line(
    context: &rc::Rc<context::ProcessContext>,
    request: &peers::OnlineSlotRequest,
    ticket: &peers::QueueTicket,
) -> WaitOutcome {
    let now = context.clock.now();
    let capacity = {
        let permits = context.permits.borrow();
        permits.queue_capacity(&request.service, now)
    };
    let (mut enqueued, waiting) = {
        let mut queues = context.slot_queues.borrow_mut();
        let enqueued = queues.enqueue(request, ticket, capacity, now);
        (enqueued, queues.len())
    };
    let refused = enqueued.send_refusals();
    for (number, outcome) in &refused {
        record_outcome(context, *number, outcome, time::Duration::ZERO);
    }
    let mut waiting_slot = WaitingSlot {
        context: context.clone(),
        number: request.number,
        receiver: Some(enqueued.receiver),
    };
    if enqueued.is_return {
        count(context, "returned");
    }
    if refused.iter().all(|(number, _)| *number != request.number) {
        count(context, "queued");
        log::info!(
            "event=slot_wait number={:016x} digest={} service={} asker={} workspace={} priority={} returns={} wait_ms={} spacing_us={} waiting={waiting}",
            request.number,
            ticket.digest,
            request.service,
            request.holder,
            ticket.workspace.as_ref().map_or("-", |id| id.as_str()),
            ticket.priority,
            enqueued.is_return,
            request.wait.as_millis(),
            capacity.spacing.unwrap_or_default().as_micros(),
        );
    }
    serve_waiting(context, &request.service);
    let wait = request.wait.min(ticket.deadline);
    waiting_slot.outcome(wait, capacity).await
}

/// A request in a wait queue; stops waiting on drop.
///
/// A slot that was granted but not taken over is released on drop.
struct WaitingSlot {
    context: rc::Rc<context::ProcessContext>,
    number: admission::PermitNumber,
    /// Receiver of the outcome; `None` once the outcome was taken over.
    receiver: Option<oneshot::Receiver<WaitOutcome>>,
}

impl WaitingSlot {
    /// Waits for the outcome, for as long as the request may wait.
    async fn outcome(
        &mut self,
        wait: time::Duration,
        capacity: wait_queue::QueueCapacity,
    ) -> WaitOutcome {
        let lost = WaitOutcome::Refused(WaitRefusal::OwnerLost, None);
        let Some(receiver) = &mut self.receiver else {
            return lost;
        };
        let received = tokio::time::timeout(wait, &mut *receiver).await;
        let outcome = match received {
            Ok(outcome) => outcome.unwrap_or(lost),
            Err(_) => match receiver.try_recv() {
                Ok(outcome) => outcome,
                Err(_) => {
                    let now = self.context.clock.now();
                    let mut queues = self.context.slot_queues.borrow_mut();
                    let ended = queues.expire(self.number, capacity, now);
                    drop(queues);
                    ended.map_or(lost, |(outcome, waited)| {
                        record_outcome(&self.context, self.number, &outcome, waited);
                        outcome
                    })
                }
            },
        };
        self.receiver = None;
        outcome
    }
}

impl Drop for WaitingSlot {
    fn drop(&mut self) {
        let Some(mut receiver) = self.receiver.take() else {
            return;
        };
        if withdraw(&self.context, self.number) {
            return;
        }
        if let Ok(WaitOutcome::Granted(_)) = receiver.try_recv() {
            let ended = peers::SlotRelease {
                number: self.number,
                is_served: false,
                observation: None,
            };
            release(&self.context, ended);
        }
    }
}

/// Removes a request whose caller has left; returns whether it was waiting.
pub(super) fn withdraw(context: &context::ProcessContext, number: admission::PermitNumber) -> bool {
    let Some(waiting) = context.slot_queues.borrow_mut().remove(number) else {
        return false;
    };
    count(context, "left");
    log::info!(
        "event=slot_wait_left number={number:016x} digest={} waited_ms={}",
        waiting.ticket.digest,
        context.clock.now().since(waiting.since).as_millis()
    );
    true
}

/// Records the release of a slot, which the first waiting request gets.
pub(super) fn record_release(
    context: &context::ProcessContext,
    endpoint: &ids::EndpointId,
    number: admission::PermitNumber,
) {
    let service = context.permits.borrow().service_of(endpoint).cloned();
    let Some(service) = service else {
        return;
    };
    let mut queues = context.slot_queues.borrow_mut();
    let is_awaited = queues.record_release(&service, number);
    drop(queues);
    if is_awaited {
        serve_waiting(context, &service);
    }
}

/// Gives the free slots of a service to the waiting requests, and stages one request at each
/// endpoint that has none.
fn serve_waiting(context: &context::ProcessContext, service: &ids::ServiceName) {
    while grant_next(context, service, waiting_grants::grant_free_slot).is_some() {}
    while let Some(staged) = grant_next(context, service, waiting_grants::stage_request) {
        record_staged(context, service, &staged);
    }
}

/// Serves the next waiting request by a kind of grant.
fn grant_next(
    context: &context::ProcessContext,
    service: &ids::ServiceName,
    grant: GrantFunction,
) -> Option<WaitGrant> {
    let now = context.clock.now();
    let mut permits = context.permits.borrow_mut();
    let mut queues = context.slot_queues.borrow_mut();
    if !queues.is_awaited(service) {
        return None;
    }
    let ejected = context.ejected_endpoints(&permits, now);
    let granted = grant(&mut permits, &mut queues, service, &ejected, now)?;
    drop((permits, queues));
    for stream in &granted.slot.preempted {
        preempt(context, &granted.slot.endpoint, *stream);
    }
    if let Some(waited) = granted.waited {
        let outcome = WaitOutcome::Granted(granted.slot.endpoint.clone());
        record_outcome(context, granted.number, &outcome, waited);
    }
    Some(granted)
}

/// Logs and counts a staged request.
fn record_staged(
    context: &context::ProcessContext,
    service: &ids::ServiceName,
    staged: &WaitGrant,
) {
    let Some(waited) = staged.waited else {
        return;
    };
    count_staged(context, "staged");
    let permits = context.permits.borrow();
    let capacity = permits.queue_capacity(service, context.clock.now());
    let staged_count = permits.staged_count(service);
    drop(permits);
    log::info!(
        "event=request_staged number={:016x} service={service} endpoint={} spacing_us={} slots={} staged={} waited_ms={}",
        staged.number,
        staged.slot.endpoint,
        capacity.spacing.unwrap_or_default().as_micros(),
        capacity.slots,
        staged_count,
        waited.as_millis(),
    );
}

/// Records that an endpoint refused a staged request as full.
pub(super) fn record_staging_refused(
    context: &context::ProcessContext,
    endpoint: &ids::EndpointId,
) {
    let now = context.clock.now();
    let mut permits = context.permits.borrow_mut();
    permits.record_staging_refused(endpoint, now);
    drop(permits);
    count_staged(context, "refused");
    log::info!("event=staged_request_refused endpoint={endpoint}");
}

fn count_staged(context: &context::ProcessContext, outcome: &str) {
    let counters = &context.metrics.staged_requests;
    counters.with_label_values(&[outcome]).inc();
}

/// Refuses the requests for services that this process can no longer serve, and gives slots
/// that became free without a release to the others.
pub(super) fn refresh(context: &context::ProcessContext) {
    let services = context.slot_queues.borrow().waiting_services();
    for service in services {
        let is_served = !context.is_leaving() && context.permits.borrow().owns(&service);
        if is_served {
            serve_waiting(context, &service);
            continue;
        }
        let ended = context.slot_queues.borrow_mut().refuse_all(&service);
        let now = context.clock.now();
        for (waiting, outcome) in ended {
            let waited = now.since(waiting.since);
            record_outcome(context, waiting.request.number, &outcome, waited);
            // A requester that has left needs no outcome.
            drop(waiting.outcome.send(outcome));
        }
    }
}

/// Discards the counted slots that ended without a release, such as those of lost holders.
pub(super) fn forget_ended(context: &context::ProcessContext) {
    let permits = context.permits.borrow();
    let mut queues = context.slot_queues.borrow_mut();
    queues.retain_held(|number| permits.holds(number));
}

/// Logs and counts the outcome of a wait.
fn record_outcome(
    context: &context::ProcessContext,
    number: admission::PermitNumber,
    outcome: &WaitOutcome,
    waited: time::Duration,
) {
    let waited_ms = waited.as_millis();
    match outcome {
        WaitOutcome::Granted(endpoint) => {
            count(context, "granted");
            log::info!(
                "event=slot_wait_granted number={number:016x} endpoint={endpoint} waited_ms={waited_ms}"
            );
        }
        WaitOutcome::Refused(reason, delay) => {
            let label = reason.label();
            count(context, label);
            log::info!(
                "event=slot_wait_refused number={number:016x} reason={label} waited_ms={waited_ms} retry_after_ms={}",
                delay.map_or(-1, |delay| delay.as_millis() as i64)
            );
        }
    }
}

fn count(context: &context::ProcessContext, outcome: &str) {
    let counters = &context.metrics.slot_queue;
    counters.with_label_values(&[outcome]).inc();
}
