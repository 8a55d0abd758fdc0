//! The attempts of a request: where the next one goes, and how each ended.

use std::{cell, rc, time};

use futures::future::{self, FutureExt as _};

use super::{attempt, connection, crash_watch, relay, search_pace, slots, slow_attempt, wire};
use crate::{clock, ids, outcome};

/// Attempts that did not run, beyond which a request that never ran is given
/// up, and the search of one that did pauses.
const MAX_NOT_RUN: u32 = 4;
/// Share of a route's objective after which a caller who was refused may come back.
const RETURN_SHARE: f64 = 1.0;

/// Attempts of one request so far.
#[derive(Default)]
pub(super) struct AttemptLog {
    /// Endpoints that were tried in this round of the search.
    pub(super) tried: Vec<ids::EndpointId>,
    /// The endpoint that was tried last.
    pub(super) last: Option<ids::EndpointId>,
    /// Attempts that ran or may have run.
    pub(super) ran: u32,
    /// Attempts that did not run.
    pub(super) not_run: u32,
    /// Of these, those since the search paused.
    refused: u32,
    pace: search_pace::SearchPace,
    /// Pace of the search while the present run is slow, once it was.
    pub(super) slow_pace: cell::Cell<Option<search_pace::SearchPace>>,
    /// Whether the present attempt went out on a kept connection.
    pub(super) is_kept: rc::Rc<cell::Cell<bool>>,
    /// When the machine of a slow endpoint was last asked for a connection.
    pub(super) checked_at: cell::Cell<Option<clock::BootInstant>>,
}

impl AttemptLog {
    /// Notes that an endpoint is tried.
    pub(super) fn begin(&mut self, id: &ids::EndpointId) {
        self.tried.push(id.clone());
        self.last = Some(id.clone());
        self.slow_pace.set(None);
        self.checked_at.set(None);
    }

    /// Notes the head of an answer: the next search begins anew.
    fn end_search(&mut self) {
        self.refused = 0;
        self.pace = search_pace::SearchPace::default();
        self.slow_pace.set(None);
    }
}

/// How to go on after an attempt without an answer.
pub(super) enum NextStep {
    Again,
    GiveUp(relay::FinalError),
}

/// An attempt that went out, and whose head is awaited.
pub(super) struct SentAttempt {
    pub(super) slot: slots::HeldSlot,
    pub(super) sending:
        future::LocalBoxFuture<'static, outcome::AttemptOutcome<attempt::OpenResponse>>,
}

/// The answer of an attempt, with the place that it holds.
pub(super) struct Answered {
    pub(super) slot: slots::HeldSlot,
    pub(super) open: attempt::OpenResponse,
}

impl relay::RequestRelay {
    /// The service of the next attempt.
    pub(super) fn choose_service(&self) -> Option<ids::ServiceName> {
        let targets = &self.request.route.targets;
        let total: u32 = targets.iter().map(|t| t.weight).sum();
        if total == 0 {
            return targets.first().map(|t| t.service.clone());
        }
        let mut point = rand::random_range(0..total);
        let chosen = targets.iter().find(|t| {
            let inside = point < t.weight;
            point = point.saturating_sub(t.weight);
            inside
        });
        chosen.map(|t| t.service.clone())
    }

    /// The next answer with a head, over as many attempts as are allowed.
    ///
    /// `sent` is an attempt that went out already, if there is one.
    pub(super) async fn next_answer(
        &mut self,
        mut sent: Option<Box<SentAttempt>>,
    ) -> Result<Answered, relay::FinalError> {
        loop {
            let current = match sent.take() {
                Some(current) => *current,
                None => {
                    let slot = self.find_slot().await?;
                    self.log.begin(&slot.endpoint.id);
                    self.start(slot, None)
                }
            };
            match self.answer_of(current).await {
                Ok(answered) => return Ok(answered),
                Err(NextStep::Again) => {}
                Err(NextStep::GiveUp(e)) => return Err(e),
            }
        }
    }

    /// A place for the next attempt.
    ///
    /// A request that has begun to run is not given up for want of a place
    /// while its caller waits; a new one is refused at once.
    async fn find_slot(&mut self) -> Result<slots::HeldSlot, relay::FinalError> {
        if self.log.ran > 0 && self.log.refused >= MAX_NOT_RUN {
            self.pause_search().await;
        }
        loop {
            if self.left().is_zero() {
                return Err(relay::FinalError::Late);
            }
            if self.log.ran > 0 && self.is_blamed() {
                let why = "endpoint after endpoint ended under it";
                return Err(relay::FinalError::Failed(why.into()));
            }
            match self.request_slot().await? {
                Ok(slot) => return Ok(slot),
                Err(why) if !self.may_search() => return Err(self.slot_unavailable(why)),
                Err(_) => {
                    self.log.tried.clear();
                    self.pause_search().await;
                }
            }
        }
    }

    /// Whether the request is held back, by what came of its own attempts as well.
    pub(super) fn is_blamed(&self) -> bool {
        let digest = self.request.forwarded.digest;
        self.context.crashes.is_blamed(digest)
    }

    async fn pause_search(&mut self) {
        self.log.refused = 0;
        let delay = self.log.pace.next_delay().min(self.left());
        tokio::time::sleep(delay).await;
    }

    async fn request_slot(
        &self,
    ) -> Result<Result<slots::HeldSlot, slots::SlotUnavailable>, relay::FinalError> {
        let service = self.choose_service();
        let none = || relay::FinalError::Failed("the route has no service".into());
        let service = service.ok_or_else(none)?;
        let tried = &self.log.tried;
        let request = slots::SlotParams {
            service: &service,
            tried,
            objective: self.request.route.objective,
        };
        // What has begun goes on, also where a new request would not begin.
        Ok(match self.log.ran > 0 {
            true => slots::any_slot(&self.context, &request).await,
            false => slots::acquire(&self.context, &request).await,
        })
    }

    /// Whether a request that has begun may still go on somewhere.
    fn may_search(&self) -> bool {
        let directory = self.context.fleet.directory.borrow();
        let targets = &self.request.route.targets;
        let is_listed = targets
            .iter()
            .any(|t| !directory.of_service(&t.service).is_empty());
        is_listed && self.log.ran > 0 && self.attempts_left() > 0
    }

    /// The final word if no place is left: true to what happened before.
    fn slot_unavailable(&self, why: slots::SlotUnavailable) -> relay::FinalError {
        if self.log.ran > 0 {
            return relay::FinalError::Failed(format!("an attempt failed, then: {why}"));
        }
        relay::FinalError::NotRun(
            self.request.route.objective.mul_f64(RETURN_SHARE),
            why.to_string(),
        )
    }

    /// An attempt at a place, on a connection that was made for it if there is
    /// one; it goes out when it is first awaited.
    pub(super) fn start(
        &self,
        slot: slots::HeldSlot,
        opened: Option<connection::EndpointConnection>,
    ) -> SentAttempt {
        let context = self.context.clone();
        let endpoint = slot.endpoint.clone();
        let forwarded = self.request.forwarded.clone();
        let (left, resume_after) = (self.left(), self.last_event);
        let is_kept = self.log.is_kept.clone();
        is_kept.set(false);
        let sending = async move {
            let terms = wire::AttemptTerms {
                endpoint: &endpoint.id,
                timeout: Some(left),
                resume_after,
            };
            attempt::send(
                &context, &endpoint, &forwarded, &terms, opened, &is_kept, left,
            )
            .await
        };
        let sending = sending.boxed_local();
        SentAttempt { slot, sending }
    }

    /// The answer of an attempt, or of another that goes on in its place.
    async fn answer_of(&mut self, mut sent: SentAttempt) -> Result<Answered, NextStep> {
        use outcome::AttemptOutcome as O;
        use slow_attempt::Waited as W;

        loop {
            let SentAttempt { slot, sending } = &mut sent;
            let awaited = slow_attempt::Awaited::Head;
            let outcome = match self.wait_or_move(slot, awaited, sending).await {
                W::Came(outcome) => outcome,
                W::Lost(waited) => O::Unknown(no_answer(waited)),
                W::Moved(next, waited) => {
                    self.log.ran += 1;
                    let id = sent.slot.endpoint.id.clone();
                    self.record_attempt(&id, "unknown", &no_answer(waited));
                    sent = *next;
                    continue;
                }
            };
            return self.classify(sent.slot, outcome);
        }
    }

    /// Counts how an attempt ended; on failure says how to go on.
    pub(super) fn classify(
        &mut self,
        slot: slots::HeldSlot,
        outcome: outcome::AttemptOutcome<attempt::OpenResponse>,
    ) -> Result<Answered, NextStep> {
        use outcome::AttemptOutcome as O;

        let endpoint = slot.endpoint.clone();
        match outcome {
            O::Completed(open) => {
                self.log.ran += 1;
                let status = open.incoming.head.status;
                let again = attempt::is_failure(status) && self.attempts_left() > 0;
                if attempt::is_failure(status) {
                    slot.record_failed(false);
                }
                if again && self.may_repeat() {
                    self.record_attempt(&endpoint.id, "failed", status.as_str());
                    return Err(NextStep::Again);
                }
                self.log.end_search();
                Ok(Answered { slot, open })
            }
            O::NotRun(proof) => {
                self.log.not_run += 1;
                self.log.refused += 1;
                let reason = proof.reason();
                self.record_attempt(&endpoint.id, "not_run", &reason.to_string());
                slot.record_refused(reason);
                if self.log.refused >= MAX_NOT_RUN && !self.may_search() {
                    return Err(NextStep::GiveUp(self.not_run()));
                }
                Err(NextStep::Again)
            }
            O::Failed(why) | O::Unknown(why) => {
                self.log.ran += 1;
                self.record_attempt(&endpoint.id, "unknown", &why);
                self.watch_end(&slot, false);
                // A full queue is silent too: only several in a row eject it.
                slot.record_failed(false);
                Err(self.after_unknown(why))
            }
        }
    }

    fn not_run(&self) -> relay::FinalError {
        if self.log.ran > 0 {
            return relay::FinalError::Failed("no endpoint took the next attempt".into());
        }
        let delay = self.request.route.objective.mul_f64(RETURN_SHARE);
        relay::FinalError::NotRun(delay, "no endpoint took the request".into())
    }

    /// How to go on after an attempt that may have run.
    pub(super) fn after_unknown(&self, why: String) -> NextStep {
        if self.left().is_zero() {
            return NextStep::GiveUp(relay::FinalError::Late);
        }
        if self.may_repeat() && self.attempts_left() > 0 {
            return NextStep::Again;
        }
        NextStep::GiveUp(relay::FinalError::Failed(why))
    }

    /// Notes an answer that broke off; whether its endpoint ended is found out beside it.
    pub(super) fn record_broken(&self, slot: &slots::HeldSlot, outcome: &str, why: &str) {
        self.record_attempt(&slot.endpoint.id, outcome, why);
        self.watch_end(slot, true);
    }

    /// Has it found out whether the endpoint of a broken attempt ended.
    fn watch_end(&self, slot: &slots::HeldSlot, has_head: bool) {
        let run = crash_watch::InterruptedRun {
            digest: self.request.forwarded.digest,
            id: self.request.terms.id.clone().unwrap_or_default(),
            endpoint: slot.endpoint.clone(),
            begun: slot.taken(),
            has_head,
        };
        crash_watch::start(&self.context, run);
    }

    /// One line and one count for an attempt that gave no answer.
    pub(super) fn record_attempt(&self, id: &ids::EndpointId, outcome: &str, why: &str) {
        self.context
            .metrics
            .attempts
            .with_label_values(&[outcome])
            .inc();
        log::info!(
            "event=attempt request={} digest={} route={} endpoint={id} outcome={outcome} why=\"{why}\" ran={} left_ms={}",
            self.request.terms.id.as_deref().unwrap_or("-"),
            self.request.forwarded.digest,
            self.request.route.name,
            self.log.ran,
            self.left().as_millis(),
        );
    }
}

fn no_answer(waited: time::Duration) -> String {
    format!("no answer within {} ms", waited.as_millis())
}
