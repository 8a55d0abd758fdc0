//! Which chunk of a job a dispatcher claims next, and when it looks at the job anew.

use std::{collections, time};

use super::{chunk, ownership};
use crate::{clock, ids};

/// What a dispatcher knows of a chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChunkStatus {
    /// Nothing yet.
    Unknown,
    /// Nobody holds it.
    Free,
    /// This dispatcher holds it.
    Mine,
    /// Another instance holds it.
    Held(ids::InstanceId),
    /// All its items have results.
    Done,
}

/// Chunks for each dispatcher of a job's group.
///
/// One keeps every owner busy on a job of medium size; four left two thirds of
/// the engines without batch work in the first harm run.
const CHUNKS_PER_MEMBER: usize = 1;
/// Dispatchers in a group at least, so that one may be lost.
const MIN_GROUP: usize = 2;
/// Pause between looks at a job by the first of its group.
const FIRST_LOOK_PAUSE: time::Duration = time::Duration::from_secs(1);
/// Pause between looks at a job by the others.
const OTHER_LOOK_PAUSE: time::Duration = time::Duration::from_secs(8);

/// The dispatchers that work on a job: few for a small job, more for a large one.
///
/// The first of the group also ends the job.
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

/// Pause between looks by the first without any other reason.
const SPARE_LOOK_PAUSE: time::Duration = time::Duration::from_secs(60);

/// What speaks for a look at a job.
#[derive(Debug, Clone, Copy)]
pub struct LookTerms {
    /// The dispatcher is the first of the job's group.
    pub first: bool,
    /// The job's cancellation was asked for.
    pub cancelling: bool,
    /// The dispatcher has too little work in hand.
    pub starving: bool,
}

/// What one dispatcher knows of one job.
#[derive(Debug, Clone)]
pub struct JobPlan {
    status: Vec<ChunkStatus>,
    looked_at: Option<clock::MonotonicTime>,
    /// The last chunk in hand was done, and the job was not looked at since.
    finished_own: bool,
}

impl JobPlan {
    /// Nothing known of a job with so many chunks.
    pub fn new(chunks: usize) -> Self {
        Self {
            status: vec![ChunkStatus::Unknown; chunks],
            looked_at: None,
            finished_own: false,
        }
    }

    /// Notes what became known of a chunk.
    pub fn record(&mut self, chunk: ids::ChunkIndex, status: ChunkStatus) {
        if let Some(known) = self.status.get_mut(chunk.0 as usize) {
            *known = status;
        }
    }

    /// Notes the states of all chunks; those without a state are free.
    pub fn record_all(
        &mut self,
        states: &collections::BTreeMap<u32, chunk::ChunkState>,
        own: &ids::InstanceId,
        now: clock::MonotonicTime,
    ) {
        self.looked_at = Some(now);
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

    /// Notes a look that told nothing.
    pub fn record_look(&mut self, now: clock::MonotonicTime) {
        self.looked_at = Some(now);
        self.finished_own = false;
    }

    /// Notes that a chunk in hand was done; the last one asks for a look.
    pub fn record_done(&mut self, chunk: ids::ChunkIndex) {
        self.record(chunk, ChunkStatus::Done);
        self.finished_own = !self.status.contains(&ChunkStatus::Mine);
    }

    /// Whether it is time to look at the job's chunks anew.
    ///
    /// A look is a list of the object service. With thousands of jobs waiting
    /// most must not be looked at: only where that may end the job, or give
    /// work to a dispatcher that lacks it.
    pub fn wants_look(&self, terms: LookTerms, now: clock::MonotonicTime) -> bool {
        let rested = |delay| self.looked_at.is_none_or(|at| now.since(at) >= delay);
        if terms.cancelling {
            return terms.first && rested(FIRST_LOOK_PAUSE);
        }
        if self.finished_own {
            return true;
        }
        if self.status.contains(&ChunkStatus::Mine) {
            return false;
        }
        let settled = |s: &ChunkStatus| matches!(s, ChunkStatus::Held(_) | ChunkStatus::Done);
        if terms.first && self.status.iter().all(settled) && rested(FIRST_LOOK_PAUSE) {
            return true;
        }
        let delay = if terms.first {
            FIRST_LOOK_PAUSE
        } else {
            OTHER_LOOK_PAUSE
        };
        let starved = terms.starving && rested(delay);
        // Whoever did the last chunk may have been lost before it ended the job.
        starved || (terms.first && rested(SPARE_LOOK_PAUSE))
    }

    /// The chunk to claim next, if any.
    pub fn next_chunk(
        &self,
        job: &ids::JobId,
        own: &ids::InstanceId,
        group: &[ownership::OwnerCandidate],
        is_live: impl Fn(&ids::InstanceId) -> bool,
    ) -> Option<ids::ChunkIndex> {
        let open = |s: &ChunkStatus| match s {
            ChunkStatus::Unknown | ChunkStatus::Free => true,
            ChunkStatus::Held(holder) => !is_live(holder),
            ChunkStatus::Mine | ChunkStatus::Done => false,
        };
        let indices = self.status.iter().enumerate().filter(|(_, s)| open(s));
        let indices: Vec<ids::ChunkIndex> =
            indices.map(|(i, _)| ids::ChunkIndex(i as u32)).collect();
        let preferred = indices
            .iter()
            .find(|i| ownership::chunk_rank(own, job, **i, group) == 0)
            .copied();
        // Chunks that others prefer are left to them until this job was looked at.
        preferred.or_else(|| {
            let seen =
                |i: &&ids::ChunkIndex| !matches!(self.status[i.0 as usize], ChunkStatus::Unknown);
            indices.iter().find(seen).copied()
        })
    }
}

fn status_of(state: &chunk::ChunkState, own: &ids::InstanceId) -> ChunkStatus {
    if state.is_done() {
        return ChunkStatus::Done;
    }
    match &state.holder {
        // A claim of this instance that is not in hand is one of an earlier process.
        Some(holder) if holder.instance != *own => ChunkStatus::Held(holder.instance.clone()),
        _ => ChunkStatus::Free,
    }
}
