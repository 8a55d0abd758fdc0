//! Slots that this process holds for requests, and what it observes of the runs in them.

use std::{cell, rc};

use super::{
    context, directory, endpoint_reports,
    held_permit::{self, HeldPermit},
    peers,
};
use crate::{clock, decisions::endpoint_speed, outcome};

/// A slot that is held until this value is dropped.
pub struct HeldSlot {
    context: rc::Rc<context::ProcessContext>,
    /// The endpoint.
    pub endpoint: rc::Rc<directory::EndpointEntry>,
    permit: Option<HeldPermit>,
    is_served: cell::Cell<bool>,
    /// Whether the owner holds the endpoint suspect, so that a sign of life is reported
    /// before the release.
    is_doubted: cell::Cell<bool>,
    /// Whether all slots of the endpoint were held when it was granted, so that the run
    /// waits in the queue of the endpoint first.
    is_staged: bool,
    acquired_at: clock::MonotonicTime,
    progress: cell::Cell<RunProgress>,
}

/// State of an endpoint when a slot there was granted.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct GrantState {
    /// Whether its owner holds it suspect.
    pub(super) is_doubted: bool,
    /// Whether all its slots were held.
    pub(super) is_staged: bool,
}

/// Progress of the run in a slot.
#[derive(Debug, Clone, Copy, Default)]
struct RunProgress {
    /// Times of the first and the latest event.
    events_at: Option<(clock::MonotonicTime, clock::MonotonicTime)>,
    /// Number of events.
    events: u32,
    /// When a response that is no stream was complete.
    completed_at: Option<clock::MonotonicTime>,
    /// Slowdown that the endpoint reported, and when.
    slowdown: Option<(endpoint_speed::SlowdownPercent, clock::MonotonicTime)>,
}

impl HeldSlot {
    /// Holds a slot at an endpoint, by a permit if its owner granted it.
    ///
    pub(super) fn new(
        context: &rc::Rc<context::ProcessContext>,
        endpoint: rc::Rc<directory::EndpointEntry>,
        permit: Option<HeldPermit>,
        state: GrantState,
    ) -> Self {
        Self {
            context: context.clone(),
            endpoint,
            permit,
            is_served: cell::Cell::new(false),
            is_doubted: cell::Cell::new(state.is_doubted),
            is_staged: state.is_staged,
            acquired_at: context.clock.now(),
            progress: cell::Cell::default(),
        }
    }

    /// Returns when the slot was acquired.
    pub fn acquired_at(&self) -> clock::MonotonicTime {
        self.acquired_at
    }

    /// Returns whether the endpoint refused a staged request as full, which says nothing
    /// about the slots that become free there.
    pub fn is_refused_staging(&self, reason: outcome::NotRunReason) -> bool {
        self.is_staged && reason == outcome::NotRunReason::RefusedByEndpoint
    }

    /// Records that the endpoint served the request, or has begun its response.
    pub fn record_served(&self) {
        let mut loads = self.context.loads.borrow_mut();
        loads.health.record_success(&self.endpoint.id);
        drop(loads);
        self.record_life();
        if !self.is_served.replace(true) {
            self.context.fleet.record_verified(&self.endpoint.id);
            if self.is_staged {
                // The time in the queue of the endpoint is no part of the time to an event.
                return;
            }
            let mut firsts = self.context.first_estimates.borrow_mut();
            let first = firsts.entry(self.endpoint.service.clone()).or_default();
            first.record(self.context.clock.now().since(self.acquired_at));
        }
    }

    /// Records that the endpoint has responded; reports it if the owner doubts it.
    fn record_life(&self) {
        let now = self.context.clock.now();
        let mut loads = self.context.loads.borrow_mut();
        loads.doubts.record_life(&self.endpoint.id, now);
        drop(loads);
        if self.is_doubted.replace(false) {
            self.report(peers::EndpointObservation::Alive);
        }
    }

    /// Returns whether the request may still wait in the queue of the endpoint, so that a
    /// missing response says nothing about the endpoint.
    fn may_await_slot(&self) -> bool {
        self.is_staged && self.progress.get().events_at.is_none()
    }

    /// Records that a response or an event is overdue, and reports it to the owner.
    ///
    /// The endpoint counts as served only if it goes on.
    pub fn record_overdue(&self) {
        self.is_served.set(false);
        if self.may_await_slot() {
            return;
        }
        self.is_doubted.set(true);
        let observer = self.context.id().clone();
        self.report(peers::EndpointObservation::Overdue(observer));
    }

    /// Records that a response or an event is so late that it counts as a failure, and
    /// reports it to the owner. The request waits on.
    ///
    /// `is_silent` says that events stopped.
    pub fn record_slow(&self, is_silent: bool) {
        self.is_served.set(false);
        if self.may_await_slot() {
            return;
        }
        self.is_doubted.set(true);
        let report = endpoint_reports::report(&self.context, is_silent);
        self.report(peers::EndpointObservation::Slow(report));
    }

    /// Records that the endpoint responded that the request failed.
    pub fn record_fault(&self) {
        self.is_served.set(false);
        self.report(endpoint_reports::fault(&self.context));
    }

    /// Records that the endpoint makes progress after a failure was recorded.
    pub fn record_progress(&self) {
        if self.is_doubted.get() {
            self.record_life();
        }
        if !self.is_served.replace(true) {
            let mut loads = self.context.loads.borrow_mut();
            loads.health.record_success(&self.endpoint.id);
        }
    }

    /// Records an event of the response.
    pub fn record_event(&self) {
        let mut starts = self.context.unlisted_starts.borrow_mut();
        let now = self.context.clock.now();
        starts.record_life(&self.endpoint.id, self.acquired_at, now);
        drop(starts);
        let now = self.context.clock.now();
        let mut progress = self.progress.get();
        let first = progress.events_at.map_or(now, |(first, _)| first);
        progress.events_at = Some((first, now));
        progress.events += 1;
        self.progress.set(progress);
    }

    /// Records that a response that is no stream is complete.
    pub fn record_complete(&self) {
        let mut progress = self.progress.get();
        progress.completed_at = Some(self.context.clock.now());
        self.progress.set(progress);
    }

    /// Records the slowdown that the endpoint reported with its response, and tells the owner
    /// at once if it is unusual: it lasts only for a part of a run.
    pub fn record_slowdown(&self, percent: endpoint_speed::SlowdownPercent) {
        let mut progress = self.progress.get();
        progress.slowdown = Some((percent, self.context.clock.now()));
        self.progress.set(progress);
        if percent.is_unusual() {
            self.report(peers::EndpointObservation::Slowdown(percent));
        }
    }

    /// Returns what was observed of the run, if the response arrived at least in part.
    fn observation(&self) -> Option<endpoint_speed::RunObservation> {
        let progress = self.progress.get();
        let timing = match (progress.events_at, progress.completed_at) {
            (Some((first, last)), _) => endpoint_speed::RunTiming::Stream {
                first: first.since(self.acquired_at),
                gap: last.since(first) / progress.events.saturating_sub(1).max(1),
                events: progress.events,
            },
            (None, completed_at) => {
                endpoint_speed::RunTiming::Complete(completed_at?.since(self.acquired_at))
            }
        };
        if self.is_staged && timing.includes_queue() {
            return None;
        }
        let now = self.context.clock.now();
        let slowdown = progress.slowdown;
        let slowdown = slowdown.map(|(percent, at)| endpoint_speed::SlowdownReport {
            percent,
            age: now.since(at),
        });
        Some(endpoint_speed::RunObservation { timing, slowdown })
    }

    /// Records that the endpoint failed, and reports it to the owner.
    ///
    /// `is_silent` says that it gave no response at all.
    pub fn record_failed(&self, is_silent: bool) {
        self.is_served.set(false);
        self.is_doubted.set(true);
        self.report(endpoint_reports::failure(&self.context, is_silent));
    }

    /// Records that the endpoint did not run an attempt, and reports it to the owner.
    pub fn record_refused(&self, reason: outcome::NotRunReason) {
        self.is_served.set(false);
        endpoint_reports::count_refusal(&self.context, reason);
        if self.is_refused_staging(reason) {
            return self.report(peers::EndpointObservation::QueueFull);
        }
        if let Some(observation) = endpoint_reports::from_refusal(&self.context, reason) {
            self.report(observation);
        }
    }

    fn report(&self, observation: peers::EndpointObservation) {
        let grantor = match self.permit {
            None => endpoint_reports::SlotGrantor::NoOwner,
            Some(HeldPermit::Here(_)) => endpoint_reports::SlotGrantor::Local,
            Some(HeldPermit::Peer(owner, _)) => endpoint_reports::SlotGrantor::Peer(owner),
        };
        endpoint_reports::record(&self.context, &self.endpoint, grantor, observation);
    }
}

impl Drop for HeldSlot {
    fn drop(&mut self) {
        self.context.loads.borrow_mut().end(&self.endpoint.id);
        if let Some(permit) = self.permit {
            let is_served = self.is_served.get();
            let observation = self.observation().filter(|_| is_served);
            let release = |number| peers::SlotRelease {
                number,
                is_served,
                observation,
            };
            held_permit::send_release(&self.context, permit, release);
        }
    }
}
