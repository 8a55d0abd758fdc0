//! Wait queues of this process as an owner: requests that wait for a slot of its endpoints,
//! and the return times of those that are refused.
//!
//! Used for requests with a ticket, which gateways attach if the desired state has
//! workspaces. The order is decided by [`wait_queue`], the return times by
//! [`return_schedule`]; [`super::slot_grants`] gives the slots to the requests.

use std::{collections, num, time};

use tokio::sync::oneshot;

use super::peers;
use crate::{
    clock,
    decisions::{admission, return_schedule, wait_queue},
    ids, protection,
};

/// Maximum number of return times that an owner remembers for each service.
const MAX_RETURNS: num::NonZeroUsize = num::NonZeroUsize::new(4096).expect("it is not zero");
/// Number of waiting requests that are tried for a free slot. The first one may exclude the
/// endpoint of the slot because it failed there.
const MAX_TRIED_ENTRIES: usize = 8;
/// Delay of a return from which on no later ones are booked: callers hardly ever have more
/// time left.
const MAX_DELAY: time::Duration = time::Duration::from_secs(10);
/// Resolution of `Retry-After`. Return times are rounded up to it, because a caller that
/// returns before its time is not recognized.
const RETRY_RESOLUTION: time::Duration = time::Duration::from_millis(10);

/// Why a waiting request got no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitRefusal {
    /// Its turn would come too late, or too many requests wait.
    Refused(wait_queue::QueueRefusal),
    /// Its turn did not come in time.
    Expired,
    /// This process no longer owns endpoints of the service, or stops.
    OwnerLost,
}

impl WaitRefusal {
    /// Returns the label of its metric series.
    pub fn label(self) -> &'static str {
        match self {
            Self::Refused(wait_queue::QueueRefusal::TooLate) => "too_late",
            Self::Refused(wait_queue::QueueRefusal::Full) => "full",
            Self::Expired => "expired",
            Self::OwnerLost => "owner_lost",
        }
    }
}

/// Outcome of the wait for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WaitOutcome {
    /// The request has a slot at this endpoint.
    Granted(ids::EndpointId),
    /// It has none; its caller may retry after the time, if one was booked.
    Refused(WaitRefusal, Option<time::Duration>),
}

/// A waiting request and the channel for its outcome.
#[derive(Debug)]
pub(super) struct WaitingRequest {
    /// The request.
    pub(super) request: peers::OnlineSlotRequest,
    /// Ticket of the request.
    pub(super) ticket: peers::QueueTicket,
    /// When it was added.
    pub(super) since: clock::MonotonicTime,
    /// Channel for its outcome.
    pub(super) outcome: oneshot::Sender<WaitOutcome>,
}

/// Wait queue and return times of one service.
#[derive(Debug)]
struct ServiceQueue {
    line: wait_queue::WaitQueue,
    returns: return_schedule::ReturnSchedule,
    /// First time at which the next return of a workspace may be booked.
    next_returns: collections::HashMap<Option<ids::WorkspaceId>, clock::MonotonicTime>,
}

impl Default for ServiceQueue {
    fn default() -> Self {
        Self {
            line: wait_queue::WaitQueue::default(),
            returns: return_schedule::ReturnSchedule::new(MAX_RETURNS),
            next_returns: collections::HashMap::new(),
        }
    }
}

impl ServiceQueue {
    /// Books a return time for a refused caller; `None` while hold times are unknown.
    ///
    /// The first possible time is the one at which the queue as it is now has been served.
    /// Returns of one workspace are no closer than the releases of the slots that it holds,
    /// because it gets slots no faster while others wait.
    fn book_return(
        &mut self,
        ticket: &peers::QueueTicket,
        capacity: wait_queue::QueueCapacity,
        now: clock::MonotonicTime,
    ) -> Option<time::Duration> {
        let spacing = capacity.spacing?;
        let held = self.line.held_by(&ticket.workspace).max(1);
        let own_spacing = spacing * capacity.slots / held;
        self.next_returns.retain(|_, next| *next > now);
        let next = self.next_returns.get(&ticket.workspace);
        let own_earliest = next.map_or(time::Duration::ZERO, |next| next.since(now));
        let earliest = own_earliest.max(capacity.expected_wait(self.line.len()));
        let delay = self.returns.book(ticket.digest, now, earliest, spacing);
        if delay < MAX_DELAY {
            let next = now + delay + own_spacing;
            self.next_returns.insert(ticket.workspace.clone(), next);
        }
        let steps = delay
            .as_millis()
            .div_ceil(RETRY_RESOLUTION.as_millis())
            .try_into()
            .unwrap_or(u32::MAX);
        Some(RETRY_RESOLUTION.saturating_mul(steps))
    }
}

/// A request that was removed from its queue, and the outcome to send.
pub(super) type EndedWait = (WaitingRequest, WaitOutcome);

/// Wait queues of all services.
///
/// Invariant: `waiting` has exactly the entries of all lines.
#[derive(Debug, Default)]
pub struct SlotQueues {
    services: collections::HashMap<ids::ServiceName, ServiceQueue>,
    waiting: collections::HashMap<admission::PermitNumber, WaitingRequest>,
}

impl SlotQueues {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns how many more requests like this one may wait.
    pub fn free_places(
        &self,
        request: &peers::OnlineSlotRequest,
        ticket: &peers::QueueTicket,
        capacity: wait_queue::QueueCapacity,
    ) -> u32 {
        let queue = self.services.get(&request.service);
        let ahead = queue.map_or(0, |queue| queue.line.waiting_at(ticket.priority));
        let in_time = match capacity.spacing {
            Some(spacing) if !spacing.is_zero() => {
                (request.wait.as_secs_f64() / spacing.as_secs_f64()) as usize
            }
            _ => capacity.limit,
        };
        let free_places = in_time.min(capacity.limit).saturating_sub(ahead);
        u32::try_from(free_places).unwrap_or(u32::MAX)
    }

    /// Adds a request with a ticket; returns the receiver of its outcome.
    ///
    /// The outcome is there at once if the request is refused.
    pub fn enqueue(
        &mut self,
        request: &peers::OnlineSlotRequest,
        ticket: &peers::QueueTicket,
        capacity: wait_queue::QueueCapacity,
        now: clock::MonotonicTime,
    ) -> EnqueuedWait {
        let (outcome, receiver) = oneshot::channel();
        let queue = self.services.entry(request.service.clone()).or_default();
        let is_return = queue.returns.redeem(ticket.digest, now);
        let wait = request.wait.min(ticket.deadline);
        let entry = wait_queue::QueueEntry {
            number: request.number,
            workspace: ticket.workspace.clone(),
            priority: ticket.priority,
            deadline: now + ticket.deadline,
            grant_by: now + wait,
            is_return: is_return && !protection::is_disabled("return_order"),
        };
        let mut ended = Vec::new();
        // A duplicate of a waiting request is not added.
        if !queue.line.contains(request.number) {
            let waiting = WaitingRequest {
                request: request.clone(),
                ticket: ticket.clone(),
                since: now,
                outcome,
            };
            self.waiting.insert(request.number, waiting);
            for refused in queue.line.enqueue(entry, capacity, now) {
                let Some(waiting) = self.waiting.remove(&refused.entry.number) else {
                    continue;
                };
                log::info!(
                    "event=slot_wait_late number={:016x} digest={} priority={} ahead={} expected_ms={} left_ms={} reason={:?}",
                    refused.entry.number,
                    waiting.ticket.digest,
                    refused.entry.priority,
                    refused.ahead,
                    refused.expected.as_millis(),
                    refused.entry.grant_by.since(now).as_millis(),
                    refused.reason,
                );
                let delay = queue.book_return(&waiting.ticket, capacity, now);
                let refusal = WaitRefusal::Refused(refused.reason);
                ended.push((waiting, WaitOutcome::Refused(refusal, delay)));
            }
        }
        EnqueuedWait {
            receiver,
            is_return,
            ended,
        }
    }

    /// Counts the slot of a granted request for its workspace.
    pub fn record_grant(&mut self, request: &peers::OnlineSlotRequest) {
        if let Some(ticket) = &request.ticket {
            let queue = self.services.entry(request.service.clone()).or_default();
            let workspace = ticket.workspace.clone();
            queue.line.record_grant(request.number, workspace);
        }
    }

    /// Grants a slot to a waiting request and counts it for its workspace; returns how long
    /// the request has waited, or `None` if its caller has left.
    pub fn grant(
        &mut self,
        service: &ids::ServiceName,
        number: admission::PermitNumber,
        endpoint: ids::EndpointId,
        now: clock::MonotonicTime,
    ) -> Option<time::Duration> {
        self.services.get_mut(service)?.line.grant(number)?;
        let waiting = self.waiting.remove(&number)?;
        let waited = now.since(waiting.since);
        let sent = waiting.outcome.send(WaitOutcome::Granted(endpoint));
        sent.ok().map(|()| waited)
    }

    /// Counts the release of a slot; returns whether requests wait for the service.
    pub fn record_release(
        &mut self,
        service: &ids::ServiceName,
        number: admission::PermitNumber,
    ) -> bool {
        let Some(queue) = self.services.get_mut(service) else {
            return false;
        };
        queue.line.record_release(number);
        !queue.line.is_empty()
    }

    /// Removes a request that no longer waits.
    pub(super) fn remove(&mut self, number: admission::PermitNumber) -> Option<WaitingRequest> {
        let waiting = self.waiting.remove(&number)?;
        if let Some(queue) = self.services.get_mut(&waiting.request.service) {
            queue.line.remove(number);
        }
        Some(waiting)
    }

    /// Removes a request whose turn did not come in time, and books a return time.
    pub fn expire(
        &mut self,
        number: admission::PermitNumber,
        capacity: wait_queue::QueueCapacity,
        now: clock::MonotonicTime,
    ) -> Option<(WaitOutcome, time::Duration)> {
        let waiting = self.remove(number)?;
        let queue = self.services.get_mut(&waiting.request.service)?;
        let delay = queue.book_return(&waiting.ticket, capacity, now);
        let outcome = WaitOutcome::Refused(WaitRefusal::Expired, delay);
        Some((outcome, now.since(waiting.since)))
    }

    /// Removes all requests for a service.
    pub(super) fn refuse_all(&mut self, service: &ids::ServiceName) -> Vec<EndedWait> {
        let of_service = self.waiting.iter();
        let of_service = of_service.filter(|(_, waiting)| waiting.request.service == *service);
        let numbers: Vec<_> = of_service.map(|(number, _)| *number).collect();
        let removed = numbers.into_iter().filter_map(|number| self.remove(number));
        let outcome = WaitOutcome::Refused(WaitRefusal::OwnerLost, None);
        removed.map(|waiting| (waiting, outcome.clone())).collect()
    }

    /// Returns a waiting request.
    pub(super) fn get(&self, number: admission::PermitNumber) -> Option<&WaitingRequest> {
        self.waiting.get(&number)
    }

    /// Discards the counted slots that are no longer held.
    pub(super) fn retain_held(&mut self, is_held: impl Fn(admission::PermitNumber) -> bool) {
        for queue in self.services.values_mut() {
            queue.line.retain_held(&is_held);
        }
    }

    /// Returns whether requests wait for a service.
    pub(super) fn is_awaited(&self, service: &ids::ServiceName) -> bool {
        let queue = self.services.get(service);
        queue.is_some_and(|queue| !queue.line.is_empty())
    }

    /// Returns the services for which requests wait.
    pub(super) fn waiting_services(&self) -> Vec<ids::ServiceName> {
        let services = self.services.iter();
        let services = services.filter(|(_, queue)| !queue.line.is_empty());
        services.map(|(service, _)| service.clone()).collect()
    }

    /// Returns the requests that may get the next free slot of a service, the first one
    /// first.
    pub fn candidates(&self, service: &ids::ServiceName) -> Vec<admission::PermitNumber> {
        let queue = self.services.get(service);
        let candidates = queue.map(|queue| queue.line.candidates(MAX_TRIED_ENTRIES));
        candidates.unwrap_or_default()
    }
}

/// A request that was added to a queue or refused at once.
#[derive(Debug)]
pub struct EnqueuedWait {
    /// Receiver of the outcome.
    pub receiver: oneshot::Receiver<WaitOutcome>,
    /// Whether its caller returns at its scheduled time.
    pub is_return: bool,
    /// Requests that are refused because of it, or itself.
    ended: Vec<EndedWait>,
}

impl EnqueuedWait {
    /// Sends the outcomes of the refused requests, and returns their numbers with their
    /// outcomes.
    pub fn send_refusals(&mut self) -> Vec<(admission::PermitNumber, WaitOutcome)> {
        let ended = self.ended.drain(..).map(|(waiting, outcome)| {
            let number = waiting.request.number;
            // A requester that has left needs no outcome.
            drop(waiting.outcome.send(outcome.clone()));
            (number, outcome)
        });
        ended.collect()
    }
}
