//! The attempts of a request: selects the endpoint of the next one and handles the
//! outcome of each.

use std::{cell, rc, time};

use futures::future::{self, FutureExt as _};

use super::{
    attempt, connection, continuations, crash_trials, crash_watch, held_slot, peers, relay,
    search_backoff, slot_requests, slots, slow_attempt, start_check, stream_resumption,
    unlisted_starts, wire,
};
use crate::{clock, ids, outcome, protection};

/// Number of consecutive attempts that did not run after which a request that has never
/// run is refused, and one that has run backs off before it searches on.
const MAX_NOT_RUN: u32 = 4;
/// `Retry-After` of a refused request, as a share of the route's latency objective.
const RETRY_AFTER_SHARE: f64 = 1.0;

/// Time for which the resume of a stream searches for a slot at its software version. In it the
/// list shows which version the endpoints have that have just failed.
const RESUME_SEARCH_TIME: time::Duration =
    unlisted_starts::LISTING_TIME.saturating_add(time::Duration::from_millis(200));

/// The attempts of one request so far.
#[derive(Default)]
pub(super) struct AttemptLog {
    /// Endpoints tried in the current round of the search.
    pub(super) tried: Vec<ids::EndpointId>,
    /// The endpoint tried last.
    pub(super) last: Option<ids::EndpointId>,
    /// Number of events that the current attempt has brought.
    pub(super) events: u64,
    /// When the slot of the current attempt was acquired.
    pub(super) acquired_at: clock::MonotonicTime,
    /// Number of attempts that ran or may have run.
    pub(super) ran: u32,
    /// Number of attempts that did not run.
    pub(super) not_run: u32,
    /// Number of attempts that did not run since the search last backed off.
    recent_not_run: u32,
    /// Backoff of the search after an attempt ended.
    backoff: search_backoff::SearchBackoff,
    /// Backoff of the search for a replacement of the current run; set once that run was slow.
    pub(super) slow_backoff: cell::Cell<Option<search_backoff::SearchBackoff>>,
    /// Whether the current attempt was sent on a pooled connection.
    pub(super) is_reused: rc::Rc<cell::Cell<bool>>,
    /// When a test connection to the host of a slow endpoint was last opened.
    pub(super) checked_at: cell::Cell<Option<clock::BootInstant>>,
}

impl AttemptLog {
    /// Records the start of an attempt at the endpoint of a slot.
    pub(super) fn record_start(&mut self, slot: &held_slot::HeldSlot) {
        let id = &slot.endpoint.id;
        self.tried.push(id.clone());
        self.last = Some(id.clone());
        self.acquired_at = slot.acquired_at();
        self.events = 0;
        self.slow_backoff.set(None);
        self.checked_at.set(None);
    }

    /// Resets the search state after the head of a response arrived.
    fn reset_search(&mut self) {
        self.recent_not_run = 0;
        self.backoff = search_backoff::SearchBackoff::default();
        self.slow_backoff.set(None);
    }
}

/// What to do after an attempt that gave no usable response.
pub(super) enum NextStep {
    Retry,
    GiveUp(relay::FinalError),
}

/// An attempt whose response head is awaited.
pub(super) struct SentAttempt {
    pub(super) slot: held_slot::HeldSlot,
    pub(super) sending:
        future::LocalBoxFuture<'static, outcome::AttemptOutcome<attempt::OpenResponse>>,
}

/// An attempt with a response, and the slot that it holds.
pub(super) struct RespondingAttempt {
    pub(super) slot: held_slot::HeldSlot,
    pub(super) open: attempt::OpenResponse,
}

impl relay::RequestRelay {
    /// Returns the service of the next attempt, and the software version at which a begun
    /// stream goes on.
    ///
    /// # Errors
    /// The stream can go on nowhere.
    pub(super) fn slot_target(
        &self,
    ) -> Result<(ids::ServiceName, Option<ids::SoftwareVersion>), relay::FinalError> {
        let Some(origin) = &self.origin else {
            let service = self.request.route.draw_service();
            let no_service = || relay::FinalError::Failed("the route has no service".into());
            return Ok((service.ok_or_else(no_service)?, None));
        };
        let software = &origin.software;
        let is_listed = continuations::has_endpoint(&self.context, software);
        let denial = match continuations::is_origin_certain(&self.context, origin) {
            false => stream_resumption::ResumeDenial::Unknown,
            true if !is_listed => stream_resumption::ResumeDenial::VersionGone,
            true => return Ok((software.service.clone(), Some(software.version.clone()))),
        };
        Err(self.not_resumable(denial))
    }

    /// Returns the final error of a stream that can go on nowhere.
    pub(super) fn not_resumable(
        &self,
        denial: stream_resumption::ResumeDenial,
    ) -> relay::FinalError {
        match self.log.ran > 0 {
            true => relay::FinalError::Failed(denial.to_string()),
            false => relay::FinalError::NotResumed(denial, denial.retry_after(&self.request.route)),
        }
    }

    /// Returns the next response, over as many attempts as are allowed.
    ///
    /// `sent` is an attempt that is already under way, if there is one.
    ///
    /// # Errors
    /// No attempt succeeded, or no further one is allowed.
    pub(super) async fn next_response(
        &mut self,
        mut sent: Option<Box<SentAttempt>>,
    ) -> Result<RespondingAttempt, relay::FinalError> {
        loop {
            let current = match sent.take() {
                Some(current) => *current,
                None => {
                    self.check_origin().await;
                    let slot = self.find_slot().await?;
                    self.log.record_start(&slot);
                    self.set_trial_run(true);
                    self.start(slot, None)
                }
            };
            match self.response_of(current).await {
                Ok(responding) => return Ok(responding),
                Err(NextStep::Retry) => {}
                Err(NextStep::GiveUp(e)) => return Err(e),
            }
        }
    }

    /// Checks, once, where a stream began that is to go on.
    pub(super) async fn check_origin(&self) {
        let Some(origin) = self.origin.as_ref().filter(|_| self.last_event.is_some()) else {
            return;
        };
        if !self.is_origin_checked.replace(true) {
            start_check::check_origin(&self.context, origin).await;
        }
    }

    /// Acquires a slot for the next attempt.
    ///
    /// For a request that has run, the search goes on until its deadline; a new request
    /// is refused at once if there is no slot.
    ///
    /// # Errors
    /// There is no slot, the deadline has passed, or the request is quarantined.
    async fn find_slot(&mut self) -> Result<held_slot::HeldSlot, relay::FinalError> {
        if self.log.recent_not_run >= MAX_NOT_RUN {
            self.back_off().await;
        }
        loop {
            if self.time_left().is_zero() {
                return Err(relay::FinalError::Late);
            }
            if self.log.ran > 0 && self.is_blamed() {
                let reason = "each endpoint that began to run the request crashed";
                return Err(relay::FinalError::Failed(reason.into()));
            }
            match self.request_slot().await? {
                // Endpoints may have crashed while the request waited for the slot.
                Ok(_) if self.log.ran == 0 && self.trial.is_none() && self.is_blamed() => {
                    self.pass_trial().await?;
                }
                Ok(slot) => return Ok(slot),
                Err(reason) if !self.may_search() => return Err(self.slot_unavailable(reason)),
                Err(_) => {
                    self.log.tried.clear();
                    self.back_off().await;
                }
            }
        }
    }

    /// Records for the trial that this request may be whether it has run or may have.
    fn set_trial_run(&self, has_run: bool) {
        if let Some(trial) = &self.trial {
            trial.set_run(has_run);
        }
    }

    /// Returns whether the request or a part of its prompt is quarantined, which its own
    /// attempts may have caused.
    pub(super) fn is_blamed(&self) -> bool {
        let crashes = &self.context.crashes;
        let mut subjects = self.subjects.iter();
        subjects.any(|subject| crashes.is_blamed(*subject))
    }

    /// Waits before the next round of the search.
    async fn back_off(&mut self) {
        self.log.recent_not_run = 0;
        let delay = self.log.backoff.next_delay().min(self.time_left());
        tokio::time::sleep(delay).await;
    }

    async fn request_slot(
        &self,
    ) -> Result<Result<held_slot::HeldSlot, slots::SlotUnavailable>, relay::FinalError> {
        let (service, software) = self.slot_target()?;
        let tried = &self.log.tried;
        let ticket = self.queue_ticket();
        let request = slot_requests::SlotParams {
            service: &service,
            tried,
            software: software.as_ref(),
            objective: self.request.route.objective,
            single_attempt: self.attempts_left() <= 1,
            ticket: ticket.as_ref(),
        };
        // A stream that goes on may exceed the capacity at which new requests are refused.
        Ok(match self.log.ran > 0 || self.origin.is_some() {
            true => slots::acquire_or_choose_locally(&self.context, &request).await,
            false => slots::acquire(&self.context, &request).await,
        })
    }

    /// Returns the ticket for the wait queue of an owner, if the desired state has workspaces
    /// that compete for slots.
    pub(super) fn queue_ticket(&self) -> Option<peers::QueueTicket> {
        let table = self.context.fleet.table();
        let workspaces = table.workspaces();
        if !workspaces.is_required() || protection::is_disabled("slot_line") {
            return None;
        }
        let workspace = self.request.workspace.clone();
        let spec = workspace.as_ref().and_then(|id| workspaces.get(id));
        let priority = spec.and_then(|spec| spec.priority);
        Some(peers::QueueTicket {
            digest: self.request.forwarded.digest,
            workspace,
            priority: priority.unwrap_or(self.request.route.priority),
            deadline: self.time_left(),
        })
    }

    /// Returns whether the search for an endpoint goes on although none has a slot: for a
    /// request that has run, and for a while for the resume of a stream.
    fn may_search(&self) -> bool {
        let is_recent = self.request.arrived.elapsed() < RESUME_SEARCH_TIME;
        let is_resume = self.origin.is_some() && is_recent;
        let may_go_on = (self.log.ran > 0 || is_resume) && self.attempts_left() > 0;
        let directory = self.context.fleet.directory.borrow();
        let mut targets = self.request.route.active_targets();
        let mut is_listed = || match &self.origin {
            Some(origin) => continuations::has_endpoint(&self.context, &origin.software),
            None => targets.any(|t| !directory.of_service(&t.service).is_empty()),
        };
        may_go_on && is_listed()
    }

    /// Returns the final error if no slot is left; it states whether an attempt has run.
    fn slot_unavailable(&self, reason: slots::SlotUnavailable) -> relay::FinalError {
        if self.log.ran > 0 {
            return relay::FinalError::Failed(format!("an attempt failed, then: {reason}"));
        }
        let delay = match reason {
            slots::SlotUnavailable::Booked(delay) => delay,
            slots::SlotUnavailable::Full | slots::SlotUnavailable::NoEndpoint => {
                self.request.route.objective.mul_f64(RETRY_AFTER_SHARE)
            }
        };
        relay::FinalError::NotRun(delay, reason.to_string())
    }

    /// Prepares an attempt on a slot; it is sent when it is first polled.
    ///
    /// `opened` is a connection opened for it, if there is one.
    pub(super) fn start(
        &self,
        slot: held_slot::HeldSlot,
        opened: Option<connection::EndpointConnection>,
    ) -> SentAttempt {
        let context = self.context.clone();
        let endpoint = slot.endpoint.clone();
        let forwarded = self.request.forwarded.clone();
        let (left, resume_after) = (self.time_left(), self.last_event);
        let is_reused = self.log.is_reused.clone();
        is_reused.set(false);
        let sending = async move {
            let terms = wire::AttemptTerms {
                endpoint: &endpoint.id,
                timeout: Some(left),
                resume_after,
            };
            attempt::send(
                &context, &endpoint, &forwarded, &terms, opened, &is_reused, left,
            )
            .await
        };
        let sending = sending.boxed_local();
        SentAttempt { slot, sending }
    }

    /// Waits for the response of an attempt, or of the one that it is handed off to.
    async fn response_of(&mut self, mut sent: SentAttempt) -> Result<RespondingAttempt, NextStep> {
        use outcome::AttemptOutcome as O;
        use slow_attempt::Waited as W;

        loop {
            let SentAttempt { slot, sending } = &mut sent;
            let awaited = slow_attempt::Awaited::Head;
            let outcome = match self.wait_or_hand_off(slot, awaited, sending).await {
                W::Done(outcome) => outcome,
                W::Lost(waited) => O::Unknown(no_response(waited)),
                W::HandedOff(next, waited) => {
                    self.log.ran += 1;
                    let id = sent.slot.endpoint.id.clone();
                    self.record_attempt(&id, "unknown", &no_response(waited));
                    sent = *next;
                    continue;
                }
            };
            return self.classify(sent.slot, outcome);
        }
    }

    /// Records the outcome of an attempt; returns what to do next if it failed.
    pub(super) fn classify(
        &mut self,
        slot: held_slot::HeldSlot,
        outcome: outcome::AttemptOutcome<attempt::OpenResponse>,
    ) -> Result<RespondingAttempt, NextStep> {
        use outcome::AttemptOutcome as O;

        let endpoint = slot.endpoint.clone();
        match outcome {
            O::Completed(open) => {
                self.log.ran += 1;
                if let Some(percent) = open.metadata.load.and_then(|load| load.slowdown) {
                    slot.record_slowdown(percent);
                }
                let status = open.incoming.head.status;
                let may_retry = attempt::is_failure(status) && self.attempts_left() > 0;
                // The head of a stream is no sign of life: its first event may never come.
                if attempt::is_failure(status) {
                    slot.record_fault();
                }
                if may_retry && self.may_repeat() {
                    self.record_attempt(&endpoint.id, "failed", status.as_str());
                    return Err(NextStep::Retry);
                }
                self.log.reset_search();
                Ok(RespondingAttempt { slot, open })
            }
            O::NotRun(proof) => {
                self.log.not_run += 1;
                self.log.recent_not_run += 1;
                self.set_trial_run(self.log.ran > 0);
                let reason = proof.reason();
                if slot.is_refused_staging(reason) {
                    // The endpoint qualifies once it has a free slot.
                    self.log.tried.retain(|id| *id != endpoint.id);
                }
                self.record_attempt(&endpoint.id, "not_run", &reason.to_string());
                slot.record_refused(reason);
                if self.log.recent_not_run >= MAX_NOT_RUN && !self.may_search() {
                    return Err(NextStep::GiveUp(self.not_run_error()));
                }
                Err(NextStep::Retry)
            }
            O::Failed(reason) | O::Unknown(reason) => {
                self.log.ran += 1;
                self.record_attempt(&endpoint.id, "unknown", &reason);
                self.watch_for_crash(&slot, false);
                // Not recorded as silent: an endpoint with a full queue gives no response
                // either. Only several such failures in a row eject it.
                slot.record_failed(false);
                Err(self.after_unknown(reason))
            }
        }
    }

    fn not_run_error(&self) -> relay::FinalError {
        if self.log.ran > 0 {
            return relay::FinalError::Failed("no endpoint accepted the next attempt".into());
        }
        let delay = self.request.route.objective.mul_f64(RETRY_AFTER_SHARE);
        relay::FinalError::NotRun(delay, "no endpoint accepted the request".into())
    }

    /// Returns what to do after an attempt that may have run.
    pub(super) fn after_unknown(&self, reason: String) -> NextStep {
        if self.time_left().is_zero() {
            return NextStep::GiveUp(relay::FinalError::Late);
        }
        if self.may_repeat() && self.attempts_left() > 0 {
            return NextStep::Retry;
        }
        NextStep::GiveUp(relay::FinalError::Failed(reason))
    }

    /// Records a truncated response, and starts a check whether its endpoint crashed.
    pub(super) fn record_truncated(&self, slot: &held_slot::HeldSlot, outcome: &str, reason: &str) {
        self.record_attempt(&slot.endpoint.id, outcome, reason);
        self.watch_for_crash(slot, true);
    }

    /// Starts a background check whether the endpoint of a failed attempt crashed.
    fn watch_for_crash(&self, slot: &held_slot::HeldSlot, has_head: bool) {
        let run = crash_watch::InterruptedRun {
            digest: self.request.forwarded.digest,
            is_item: false,
            id: self.request.terms.id.clone().unwrap_or_default(),
            endpoint: slot.endpoint.clone(),
            begun: slot.acquired_at(),
            has_head,
            events: self.log.events,
            parts: self.request.forwarded.parts.clone(),
            trial: self.trial.as_ref().map(crash_trials::TrialGuard::subject),
        };
        crash_watch::start(&self.context, run);
    }

    /// Logs and counts an attempt that gave no complete response.
    pub(super) fn record_attempt(&self, id: &ids::EndpointId, outcome: &str, reason: &str) {
        self.context
            .metrics
            .attempts
            .with_label_values(&[outcome])
            .inc();
        log::info!(
            "event=attempt request={} digest={} route={} endpoint={id} outcome={outcome} why=\"{reason}\" ran={} left_ms={} software={} last_event={}",
            self.request.terms.id.as_deref().unwrap_or("-"),
            self.request.forwarded.digest,
            self.request.route.name,
            self.log.ran,
            self.time_left().as_millis(),
            self.software_label(id),
            relay::event_label(self.last_event),
        );
    }

    /// Returns the listed software version of an endpoint for a log line.
    fn software_label(&self, id: &ids::EndpointId) -> String {
        let directory = self.context.fleet.directory.borrow();
        let entry = directory.entry(id);
        entry.map_or("-", |entry| entry.software_label()).to_owned()
    }
}

fn no_response(waited: time::Duration) -> String {
    format!("no response within {} ms", waited.as_millis())
}
