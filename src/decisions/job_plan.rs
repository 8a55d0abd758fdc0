//! Which chunk of a job a dispatcher claims next, and when it polls the job's chunk states.

use std::{collections, time};

use super::{chunk, ownership};
use crate::{clock, ids};

/// What a dispatcher knows about a chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChunkStatus {
    /// The state was not read yet.
    Unknown,
    /// No instance holds the chunk.
    Free,
    /// This dispatcher holds the chunk.
    Mine,
    /// Another instance holds the chunk.
    Held(ids::InstanceId),
    /// All items of the chunk have results.
    Done,
}

/// Chunks per dispatcher in a job's group.
///
/// With one, a medium-sized job occupies every owner; with four, two thirds of the engines
/// had no batch work in a run of `jayhollow-bench harm`.
const CHUNKS_PER_MEMBER: usize = 1;
/// Minimum number of dispatchers in a group, so that one may be lost.
const MIN_GROUP: usize = 2;
/// Interval at which the leader of a job's group, its first dispatcher, polls the job.
const LEADER_POLL_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Interval at which the other dispatchers of the group poll the job.
const MEMBER_POLL_INTERVAL: time::Duration = time::Duration::from_secs(8);

/// Selects the dispatchers that work on a job: one per `CHUNKS_PER_MEMBER` chunks, and at
/// least `MIN_GROUP`.
///
/// The first one is the leader, which also ends the job.
pub fn group(
    job: &ids::JobId,
    chunks: usize,
    mut candidates: Vec<ownership::OwnerCandidate>,
) -> Vec<ownership::OwnerCandidate> {
    let weight = |c: &ownership::OwnerCandidate| ownership::weight(c.id.as_str(), job.as_str());
    candidates.sort_by_cached_key(|c| std::cmp::Reverse(weight(c)));
    let size = chunks.div_ceil(CHUNKS_PER_MEMBER).max(MIN_GROUP);
    candidates.truncate(size);
    candidates
}

/// Interval at which the leader polls the job if nothing else requires it.
const FALLBACK_POLL_INTERVAL: time::Duration = time::Duration::from_secs(60);

/// Conditions that decide whether a job is polled.
#[derive(Debug, Clone, Copy)]
pub struct PollTerms {
    /// Whether the dispatcher is the leader of the job's group.
    pub first: bool,
    /// Whether cancellation of the job was requested.
    pub cancelling: bool,
    /// Whether the dispatcher has too little claimed work.
    pub starving: bool,
}

/// What one dispatcher knows about one job.
#[derive(Debug, Clone)]
pub struct JobPlan {
    status: Vec<ChunkStatus>,
    polled_at: Option<clock::MonotonicTime>,
    /// Whether the last chunk held by this dispatcher was done after the last poll.
    finished_own: bool,
}

impl JobPlan {
    /// Creates a plan for a job with `chunks` chunks of unknown state.
    pub fn new(chunks: usize) -> Self {
        Self {
            status: vec![ChunkStatus::Unknown; chunks],
            polled_at: None,
            finished_own: false,
        }
    }

    /// Records the status of a chunk.
    pub fn record(&mut self, chunk: ids::ChunkIndex, status: ChunkStatus) {
        if let Some(known) = self.status.get_mut(chunk.0 as usize) {
            *known = status;
        }
    }

    /// Records the states of all chunks; a chunk without a stored state is free.
    pub fn record_all(
        &mut self,
        states: &collections::BTreeMap<u32, chunk::ChunkState>,
        own: &ids::InstanceId,
        now: clock::MonotonicTime,
    ) {
        self.polled_at = Some(now);
        self.finished_own = false;
        for (index, known) in self.status.iter_mut().enumerate() {
            if *known == ChunkStatus::Mine {
                continue;
            }
            *known = match states.get(&(index as u32)) {
                None => ChunkStatus::Free,
                Some(state) => status_of(state, own),
            };
        }
    }

    /// Records a poll that failed.
    pub fn record_failed_poll(&mut self, now: clock::MonotonicTime) {
        self.polled_at = Some(now);
        self.finished_own = false;
    }

    /// Records that a chunk held by this dispatcher is done; if it holds no other, a poll is due.
    pub fn record_done(&mut self, chunk: ids::ChunkIndex) {
        self.record(chunk, ChunkStatus::Done);
        self.finished_own = !self.status.contains(&ChunkStatus::Mine);
    }

    /// Returns whether the job's chunk states are to be polled.
    ///
    /// A poll is a list call to the object service. With thousands of waiting jobs, most must not
    /// be polled: only where that may end the job, or give work to a dispatcher that has too
    /// little.
    pub fn is_poll_due(&self, terms: PollTerms, now: clock::MonotonicTime) -> bool {
        let has_elapsed = |delay| self.polled_at.is_none_or(|at| now.since(at) >= delay);
        if terms.cancelling {
            return terms.first && has_elapsed(LEADER_POLL_INTERVAL);
        }
        if self.finished_own {
            return true;
        }
        if self.status.contains(&ChunkStatus::Mine) {
            return false;
        }
        let settled = |s: &ChunkStatus| matches!(s, ChunkStatus::Held(_) | ChunkStatus::Done);
        if terms.first && self.status.iter().all(settled) && has_elapsed(LEADER_POLL_INTERVAL) {
            return true;
        }
        let delay = if terms.first {
            LEADER_POLL_INTERVAL
        } else {
            MEMBER_POLL_INTERVAL
        };
        let starved_poll = terms.starving && has_elapsed(delay);
        // The dispatcher that did the last chunk may have been lost before it ended the job.
        starved_poll || (terms.first && has_elapsed(FALLBACK_POLL_INTERVAL))
    }

    /// Returns the chunk to claim next, if any.
    pub fn next_chunk(
        &self,
        job: &ids::JobId,
        own: &ids::InstanceId,
        group: &[ownership::OwnerCandidate],
        is_live: impl Fn(&ids::InstanceId) -> bool,
    ) -> Option<ids::ChunkIndex> {
        let is_claimable = |s: &ChunkStatus| match s {
            ChunkStatus::Unknown | ChunkStatus::Free => true,
            ChunkStatus::Held(holder) => !is_live(holder),
            ChunkStatus::Mine | ChunkStatus::Done => false,
        };
        let indices = self
            .status
            .iter()
            .enumerate()
            .filter(|(_, s)| is_claimable(s));
        let indices: Vec<ids::ChunkIndex> =
            indices.map(|(i, _)| ids::ChunkIndex(i as u32)).collect();
        let preferred = indices
            .iter()
            .find(|i| ownership::chunk_rank(own, job, **i, group) == 0)
            .copied();
        // Chunks that rank another dispatcher first are left to it until this job was polled.
        preferred.or_else(|| {
            let is_known =
                |i: &&ids::ChunkIndex| !matches!(self.status[i.0 as usize], ChunkStatus::Unknown);
            indices.iter().find(is_known).copied()
        })
    }
}

fn status_of(state: &chunk::ChunkState, own: &ids::InstanceId) -> ChunkStatus {
    if state.is_done() {
        return ChunkStatus::Done;
    }
    match &state.holder {
        // A claim by this instance on a chunk that is not `Mine` was made by an earlier process.
        Some(holder) if holder.instance != *own => ChunkStatus::Held(holder.instance.clone()),
        _ => ChunkStatus::Free,
    }
}
