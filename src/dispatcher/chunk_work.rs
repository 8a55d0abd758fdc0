//! A chunk in hand: what waits, what runs, what has results, what to commit next.

use std::{collections, rc, sync, time};

use crate::{
    batch_item, clock,
    decisions::{chunk, index_ranges, job},
    ids, invariant, store,
};

/// Items intended in one commit, unless the chunk is run carefully.
const INTENT_GROUP: usize = 32;
/// Bytes of results that are committed without waiting for the rest.
const FULL_SEGMENT_BYTES: usize = 512 << 10;
/// Largest line of a result; larger answers become errors.
pub const MAX_RESULT_BYTES: usize = 400 << 10;

/// What the bundle in force says of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ItemTerms {
    /// Whether it may run more than once.
    pub may_repeat: bool,
    /// Whether its model or service exists.
    pub is_served: bool,
}

/// An item that waits, and what an earlier attempt left of it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PendingItem {
    /// Index in the chunk.
    pub index: u32,
    /// Text that an earlier stream gave.
    pub text: String,
    /// Attempts that failed.
    pub attempts: u32,
}

struct ItemLine {
    index: u32,
    line: Vec<u8>,
    answered: bool,
}

/// What is to be written for a chunk.
pub struct PlannedCommit {
    /// Revision that the chunk's state must still have.
    pub revision: store::ObjectRevision,
    /// The commit; its segment is named here if there are results.
    pub commit: chunk::ChunkCommit,
    /// The state after it.
    pub next: chunk::ChunkState,
    /// The segment's lines.
    pub lines: bytes::Bytes,
}

/// A claim that was written, and the items that it is for.
pub struct ClaimedChunk {
    /// The job.
    pub job: sync::Arc<job::JobManifest>,
    /// The chunk.
    pub index: ids::ChunkIndex,
    /// The claim.
    pub claim: chunk::ClaimId,
    /// The state that is stored.
    pub state: chunk::ChunkState,
    /// The revision that it is stored at.
    pub revision: store::ObjectRevision,
    /// The items, in order.
    pub items: Vec<batch_item::BatchItem>,
}

/// A chunk that this dispatcher holds.
///
/// Invariants: an item is in at most one of `pending`, running, `fresh` and
/// `state.settled`; `state` is what is stored at `revision`.
pub struct ChunkWork {
    /// The job.
    pub job: sync::Arc<job::JobManifest>,
    /// The chunk.
    pub index: ids::ChunkIndex,
    claim: chunk::ClaimId,
    state: chunk::ChunkState,
    revision: store::ObjectRevision,
    items: Vec<rc::Rc<batch_item::BatchItem>>,
    once: Vec<bool>,
    pending: collections::VecDeque<PendingItem>,
    running: collections::BTreeSet<u32>,
    fresh: Vec<ItemLine>,
    fresh_bytes: usize,
    committing: bool,
    wants_intent: bool,
    wants_release: bool,
    segments_made: u32,
    committed_at: clock::MonotonicTime,
}

impl ChunkWork {
    /// A chunk that was just claimed.
    ///
    /// Items that nobody serves get their results at once, the others run.
    pub fn new(
        claimed: ClaimedChunk,
        terms_of: impl Fn(&batch_item::BatchItem) -> ItemTerms,
        now: clock::MonotonicTime,
    ) -> Self {
        let ClaimedChunk {
            job,
            index,
            claim,
            state,
            revision,
            items,
        } = claimed;
        let careful = state.runs_single_items();
        let terms: Vec<_> = items.iter().map(terms_of).collect();
        let once = terms.iter().map(|t| careful || !t.may_repeat).collect();
        let unknown = state.unknown_items();
        let open = state.open_items().minus(&unknown);
        let is_served = |index: &u32| terms[*index as usize].is_served;
        let unserved: Vec<u32> = open.iter().filter(|index| !is_served(index)).collect();
        let pending = open
            .iter()
            .filter(is_served)
            .map(|index| PendingItem {
                index,
                ..PendingItem::default()
            })
            .collect();
        let mut work = Self {
            job,
            index,
            claim,
            state,
            revision,
            items: items.into_iter().map(rc::Rc::new).collect(),
            once,
            pending,
            running: collections::BTreeSet::new(),
            fresh: Vec::new(),
            fresh_bytes: 0,
            committing: false,
            wants_intent: false,
            wants_release: false,
            segments_made: 0,
            committed_at: now,
        };
        for index in unknown.iter() {
            let message = "it may have run when its dispatcher was lost, and is not run again";
            let code = batch_item::ItemErrorCode::OutcomeUnknown;
            work.settle_failed(index, code, message);
        }
        for index in unserved {
            let code = batch_item::ItemErrorCode::NotFound;
            work.settle_failed(index, code, "its model or service is not served");
        }
        work
    }

    /// The item at an index.
    pub fn item(&self, index: u32) -> rc::Rc<batch_item::BatchItem> {
        self.items[index as usize].clone()
    }

    /// Items that wait.
    pub fn waiting(&self) -> usize {
        self.pending.len()
    }

    /// Whether an item may run more than once.
    pub fn may_repeat(&self, index: u32) -> bool {
        !self.once[index as usize]
    }

    /// Takes the next item for a service; asks for an intent if that is what is missing.
    pub fn take_next(&mut self, service: &ids::ServiceName) -> Option<PendingItem> {
        if self.wants_release {
            return None;
        }
        let mut ready = None;
        for (at, pending) in self.pending.iter().enumerate() {
            let item = &self.items[pending.index as usize];
            if item.service().as_ref() != Ok(service) {
                continue;
            }
            let intended = self.state.intended.contains(pending.index);
            if self.once[pending.index as usize] && !intended {
                self.wants_intent = true;
                continue;
            }
            ready = Some(at);
            break;
        }
        let pending = self.pending.remove(ready?)?;
        if self.state.runs_single_items() && !self.running.is_empty() {
            // One at a time: a suspect must not take others with it.
            self.pending.push_front(pending);
            return None;
        }
        invariant::check(
            "item_runs_once_at_a_time",
            self.running.insert(pending.index),
        );
        Some(pending)
    }

    /// Puts back an item whose stream was taken back or that did not run.
    pub fn put_back(&mut self, pending: PendingItem) {
        self.running.remove(&pending.index);
        self.pending.push_front(pending);
    }

    /// Puts an item that failed behind the others.
    pub fn put_last(&mut self, pending: PendingItem) {
        self.running.remove(&pending.index);
        self.pending.push_back(pending);
    }

    /// Notes an item's result.
    pub fn settle(&mut self, index: u32, result: &batch_item::ItemResult) {
        self.running.remove(&index);
        let line = result.line();
        if line.len() > MAX_RESULT_BYTES {
            let code = batch_item::ItemErrorCode::AnswerTooLarge;
            return self.settle_failed(index, code, "the answer is too large to be stored");
        }
        self.fresh_bytes += line.len();
        self.fresh.push(ItemLine {
            index,
            line,
            answered: result.error.is_none(),
        });
    }

    /// Notes that an item has no answer.
    pub fn settle_failed(&mut self, index: u32, code: batch_item::ItemErrorCode, reason: &str) {
        let custom_id = self.items[index as usize].custom_id.clone();
        let result = batch_item::ItemResult::failed(&custom_id, code, reason);
        self.settle(index, &result);
    }

    /// Begins to give the chunk up: nothing more starts.
    pub fn release(&mut self) {
        self.wants_release = true;
    }

    /// Whether items run now.
    pub fn is_running(&self) -> bool {
        !self.running.is_empty()
    }

    fn is_complete(&self) -> bool {
        self.state.settled.len() as usize + self.fresh.len() == self.state.items as usize
    }

    /// What to write now, if anything.
    pub fn plan_commit(
        &mut self,
        now: clock::MonotonicTime,
        commit_after: time::Duration,
    ) -> Option<PlannedCommit> {
        if self.committing {
            return None;
        }
        let release = self.wants_release && self.running.is_empty();
        let full = self.fresh_bytes >= FULL_SEGMENT_BYTES;
        let old = !self.fresh.is_empty() && now.since(self.committed_at) >= commit_after;
        let intend = self.next_intents();
        if !(release || full || old || self.is_complete() || !intend.is_empty()) {
            return None;
        }
        Some(self.make_commit(intend, release))
    }

    /// The next items to intend, if items wait for nothing else.
    fn next_intents(&self) -> index_ranges::IndexRanges {
        let waits = self.wants_intent && !self.wants_release && self.running.is_empty();
        if !waits {
            return index_ranges::IndexRanges::default();
        }
        let group = if self.state.runs_single_items() {
            1
        } else {
            INTENT_GROUP
        };
        self.pending
            .iter()
            .map(|p| p.index)
            .filter(|i| self.once[*i as usize] && !self.state.intended.contains(*i))
            .take(group)
            .collect()
    }

    fn make_commit(&mut self, intend: index_ranges::IndexRanges, release: bool) -> PlannedCommit {
        self.fresh.sort_by_key(|l| !l.answered);
        let settled: index_ranges::IndexRanges = self.fresh.iter().map(|l| l.index).collect();
        let completed = self.fresh.iter().filter(|l| l.answered).count() as u32;
        let failed = self.fresh.len() as u32 - completed;
        let lines: Vec<u8> = self
            .fresh
            .iter()
            .flat_map(|l| l.line.iter().copied())
            .collect();
        let segment = (!self.fresh.is_empty()).then(|| {
            self.segments_made += 1;
            chunk::SegmentRef {
                name: format!("{}-{}-{}", self.state.epoch, self.segments_made, self.claim),
                completed,
                failed,
            }
        });
        // Nothing runs at a release, so what was intended and has no result cannot have run.
        let withdraw = match release {
            true => self
                .state
                .intended
                .minus(&self.state.settled)
                .minus(&settled),
            false => index_ranges::IndexRanges::default(),
        };
        let commit = chunk::ChunkCommit {
            settled,
            segment,
            intend,
            withdraw,
            release,
        };
        let next = self.state.committed(&self.claim, &commit);
        // The state in hand is always held under this claim.
        let next = next.expect("a chunk in hand is held");
        self.committing = true;
        PlannedCommit {
            revision: self.revision,
            commit,
            next,
            lines: lines.into(),
        }
    }

    /// Notes that a planned commit was written.
    ///
    /// Gives whether the chunk is still in hand.
    pub fn record_committed(
        &mut self,
        planned: &PlannedCommit,
        revision: store::ObjectRevision,
        now: clock::MonotonicTime,
    ) -> bool {
        self.committing = false;
        self.committed_at = now;
        self.revision = revision;
        self.state = planned.next.clone();
        self.wants_intent = false;
        self.fresh
            .retain(|l| !planned.commit.settled.contains(l.index));
        self.fresh_bytes = self.fresh.iter().map(|l| l.line.len()).sum();
        self.state.holder.is_some()
    }

    /// Notes that a planned commit was given up; it is planned anew on `revision`.
    pub fn record_uncommitted(&mut self, revision: store::ObjectRevision) {
        self.committing = false;
        self.revision = revision;
    }

    /// Whether all items have results that are stored.
    pub fn is_done(&self) -> bool {
        self.state.is_done()
    }
}
