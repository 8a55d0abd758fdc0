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

/// What one dispatcher knows of one job.
#[derive(Debug, Clone)]
pub struct JobPlan {
    status: Vec<ChunkStatus>,
    looked_at: Option<clock::Moment>,
}

impl JobPlan {
    /// Nothing known of a job with so many chunks.
    pub fn new(chunks: usize) -> Self {
        Self {
            status: vec![ChunkStatus::Unknown; chunks],
            looked_at: None,
        }
    }

    /// Notes what became known of a chunk.
    pub fn note(&mut self, chunk: ids::ChunkIndex, status: ChunkStatus) {
        if let Some(known) = self.status.get_mut(chunk.0 as usize) {
            *known = status;
        }
    }

    /// Notes the states of all chunks; those without a state are free.
    pub fn note_all(
        &mut self,
        states: &collections::BTreeMap<u32, chunk::ChunkState>,
        own: &ids::InstanceId,
        now: clock::Moment,
    ) {
        self.looked_at = Some(now);
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
    pub fn note_look(&mut self, now: clock::Moment) {
        self.looked_at = Some(now);
    }

    /// Whether it is time to look at the job's chunks anew.
    pub fn wants_look(&self, first: bool, cancelling: bool, now: clock::Moment) -> bool {
        let pause = if first {
            FIRST_LOOK_PAUSE
        } else {
            OTHER_LOOK_PAUSE
        };
        let rested = self.looked_at.is_none_or(|at| now.since(at) >= pause);
        if cancelling {
            return rested && first;
        }
        // While preferred chunks are left to claim there is nothing to learn.
        let mine = self.status.contains(&ChunkStatus::Mine);
        rested && !mine
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
