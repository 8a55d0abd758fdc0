//! Planning on the batch thread: which chunks to claim, which jobs to look at.

use std::{cell, rc, sync, time};

use futures::FutureExt as _;

use super::{batch_runner, claims, job_close};
use crate::{
    clock,
    decisions::{job, job_plan, ownership},
    fleet, ids, wire,
};

/// Pause between plans while too little work is in hand.
const LOW_PLAN_PAUSE: time::Duration = time::Duration::from_millis(10);
/// Pause between plans otherwise.
const PLAN_PAUSE: time::Duration = time::Duration::from_millis(200);
/// Looks at jobs under way at once.
const MAX_LOOKS: usize = 4;
/// Claims under way at once.
const MAX_CLAIMS: usize = 4;

impl batch_runner::BatchRunner {
    /// Claims chunks while too little waits, and looks at jobs that may have ended.
    pub(super) fn plan_jobs(
        &self,
        snapshot: &sync::Arc<fleet::FleetSnapshot>,
        now: clock::MonotonicTime,
    ) {
        if !self.is_time_to_plan(now) {
            return;
        }
        let services = self.context.board.services();
        let mut jobs: Vec<&job::JobManifest> = snapshot
            .jobs
            .values()
            .map(|j| j.as_ref())
            .filter(|j| j.services.iter().any(|s| services.contains(s)))
            .collect();
        let mut state = self.state.borrow_mut();
        state.order.retain_active(&jobs);
        state.order.sort(&mut jobs, wire::created());
        drop(state);
        for job in jobs {
            let group = self.group_of(job);
            let first = group.first().is_some_and(|c| c.id == *self.context.id());
            if !group.iter().any(|c| c.id == *self.context.id()) {
                continue;
            }
            if job.cancelling_at.is_none() {
                self.claim_from(job, &group, snapshot, now);
            }
            self.look_at(job, first, now);
        }
    }

    /// Planning takes time in proportion to the active jobs: seldom if enough work is in hand.
    fn is_time_to_plan(&self, now: clock::MonotonicTime) -> bool {
        let mut state = self.state.borrow_mut();
        let low = state.waiting_items() < self.context.settings.batch.low_water_items;
        let delay = if low { LOW_PLAN_PAUSE } else { PLAN_PAUSE };
        if now.since(state.planned_at) < delay {
            return false;
        }
        state.planned_at = now;
        true
    }

    /// The dispatchers that work on a job: owners of endpoints that serve it.
    fn group_of(&self, job: &job::JobManifest) -> rc::Rc<Vec<ownership::OwnerCandidate>> {
        let epoch = self.context.board.epoch();
        let mut state = self.state.borrow_mut();
        let known = state.groups.get(&job.id).filter(|(at, _)| *at == epoch);
        if let Some((_, group)) = known {
            return group.clone();
        }
        let owners = self.context.board.owners_of(&job.services);
        let group = job_plan::group(&job.id, job.chunk_items.len(), owners);
        let group = rc::Rc::new(group);
        state.groups.insert(job.id.clone(), (epoch, group.clone()));
        group
    }

    fn claim_from(
        &self,
        job: &job::JobManifest,
        group: &[ownership::OwnerCandidate],
        snapshot: &fleet::FleetSnapshot,
        now: clock::MonotonicTime,
    ) {
        loop {
            let mut state = self.state.borrow_mut();
            let batch = &self.context.settings.batch;
            let enough = state.waiting_items() >= batch.low_water_items
                || state.chunks.len() + state.claiming.len() >= batch.max_chunks
                || state.claiming.len() >= MAX_CLAIMS
                || now < state.claim_again_at;
            if enough {
                return;
            }
            let chunks = job.chunk_items.len();
            let plan = state
                .plans
                .entry(job.id.clone())
                .or_insert_with(|| job_plan::JobPlan::new(chunks));
            let is_live = |id: &ids::InstanceId| snapshot.is_live(id);
            let Some(index) = plan.next_chunk(&job.id, self.context.id(), group, is_live) else {
                return;
            };
            plan.record(index, job_plan::ChunkStatus::Mine);
            state.claiming.insert((job.id.clone(), index));
            drop(state);
            let Some(job) = snapshot.jobs.get(&job.id).cloned() else {
                return;
            };
            actix_rt::spawn(self.clone().run_claim(job, index));
        }
    }

    async fn run_claim(self, job: sync::Arc<job::JobManifest>, index: ids::ChunkIndex) {
        let key = (job.id.clone(), index);
        let outcome = claims::claim(&self.context, job, index).await;
        let mut state = self.state.borrow_mut();
        state.claiming.remove(&key);
        let status = match outcome {
            claims::ClaimOutcome::Claimed(mut work) => {
                let snapshot = self.context.fleet.snapshot();
                let job = snapshot.jobs.get(&key.0);
                if state.stop.is_some() || job.is_none_or(|j| j.cancelling_at.is_some()) {
                    work.release();
                }
                let work = rc::Rc::new(cell::RefCell::new(*work));
                state.chunks.insert(key.clone(), work);
                let mut held = self.context.held.lock().unwrap_or_else(|e| e.into_inner());
                held.insert(key.clone());
                job_plan::ChunkStatus::Mine
            }
            claims::ClaimOutcome::Done => job_plan::ChunkStatus::Done,
            claims::ClaimOutcome::Held(holder) => job_plan::ChunkStatus::Held(holder),
            claims::ClaimOutcome::Failed(e) => {
                log::warn!("event=claim_failed job={} chunk={index} why=\"{e}\"", key.0);
                state.claim_again_at = self.context.clock.now() + batch_runner::STORE_PAUSE;
                job_plan::ChunkStatus::Unknown
            }
        };
        if let Some(plan) = state.plans.get_mut(&key.0) {
            plan.record(index, status);
        }
        drop(state);
        self.wake.notify_one();
    }

    /// Reads a job's chunks when that may tell something new; the first ends the job.
    fn look_at(&self, job: &job::JobManifest, first: bool, now: clock::MonotonicTime) {
        let mut state = self.state.borrow_mut();
        if state.looking.len() >= MAX_LOOKS {
            return;
        }
        let terms = job_plan::PollTerms {
            first,
            cancelling: job.cancelling_at.is_some(),
            starving: state.waiting_items() < self.context.settings.batch.low_water_items,
        };
        let chunks = job.chunk_items.len();
        let plan = state
            .plans
            .entry(job.id.clone())
            .or_insert_with(|| job_plan::JobPlan::new(chunks));
        if !plan.is_poll_due(terms, now) {
            return;
        }
        if !state.looking.insert(job.id.clone()) {
            return;
        }
        let runner = self.clone();
        let job = job.clone();
        let looking = async move {
            let looked = job_close::look(&runner.context, &job, first).await;
            let mut state = runner.state.borrow_mut();
            state.looking.remove(&job.id);
            let now = runner.context.clock.now();
            if let Some(plan) = state.plans.get_mut(&job.id) {
                match looked {
                    Ok(chunks) => plan.record_all(&chunks, runner.context.id(), now),
                    Err(e) => {
                        plan.record_failed_poll(now);
                        log::warn!("event=look_failed job={} why=\"{e}\"", job.id);
                    }
                }
            }
            drop(state);
            runner.wake.notify_one();
        };
        actix_rt::spawn(looking.boxed_local());
    }
}
