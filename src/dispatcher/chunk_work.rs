//! State of a held chunk: waiting and running items, uncommitted results and the next commit.

use std::{collections, rc, sync, time};

use crate::{
    batch_item, clock,
    decisions::{chunk, index_ranges, job},
    ids, invariant, store,
};

/// Maximum number of intents in one commit, unless the items of the chunk run one at a time.
const MAX_INTENTS_PER_COMMIT: usize = 32;
/// Size of uncommitted results, in bytes, from which they are committed at once.
const FULL_SEGMENT_BYTES: usize = 512 << 10;
/// Maximum size of a result line in bytes; a larger response is replaced by an error.
pub const MAX_RESULT_BYTES: usize = 400 << 10;

/// Rules of the active bundle for an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ItemTerms {
    /// Whether it may run more than once.
    pub may_repeat: bool,
    /// Whether the bundle has its model or service.
    pub is_served: bool,
}

/// A waiting item, with the state from its earlier attempts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PendingItem {
    /// Index of the item in the chunk.
    pub index: u32,
    /// Text received from earlier streams; the next one continues it.
    pub text: String,
    /// Number of failed attempts.
    pub attempts: u32,
}

struct ItemLine {
    index: u32,
    line: Vec<u8>,
    has_response: bool,
}

/// A commit that is ready to be written.
pub struct PlannedCommit {
    /// Revision that the stored state must have when the commit is written.
    pub revision: store::ObjectRevision,
    /// The commit; it references a segment if there are results.
    pub commit: chunk::ChunkCommit,
    /// State of the chunk after the commit.
    pub next: chunk::ChunkState,
    /// Contents of the segment.
    pub lines: bytes::Bytes,
}

/// A chunk whose claim is stored, with its items.
pub struct ClaimedChunk {
    /// Job of the chunk.
    pub job: sync::Arc<job::JobManifest>,
    /// Index of the chunk in the job.
    pub index: ids::ChunkIndex,
    /// Claim under which the chunk is held.
    pub claim: chunk::ClaimId,
    /// Stored state of the chunk.
    pub state: chunk::ChunkState,
    /// Revision of the stored state.
    pub revision: store::ObjectRevision,
    /// Items of the chunk, in order.
    pub items: Vec<batch_item::BatchItem>,
}

/// A chunk that this dispatcher holds.
///
/// Invariants: an item is in at most one of `pending`, running, `uncommitted` and
/// `state.settled`; `state` is the state stored at `revision`.
pub struct ChunkWork {
    /// Job of the chunk.
    pub job: sync::Arc<job::JobManifest>,
    /// Index of the chunk in the job.
    pub index: ids::ChunkIndex,
    claim: chunk::ClaimId,
    state: chunk::ChunkState,
    revision: store::ObjectRevision,
    items: Vec<rc::Rc<batch_item::BatchItem>>,
    run_once: Vec<bool>,
    pending: collections::VecDeque<PendingItem>,
    running: collections::BTreeSet<u32>,
    uncommitted: Vec<ItemLine>,
    uncommitted_bytes: usize,
    committing: bool,
    intent_requested: bool,
    release_requested: bool,
    segments_made: u32,
    committed_at: clock::MonotonicTime,
}

impl ChunkWork {
    /// Creates the state of a chunk that was just claimed.
    ///
    /// Items that an earlier holder may have run and items whose model or service is not
    /// served get an error at once; the others wait to run.
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
        let one_at_a_time = state.runs_single_items();
        let terms: Vec<_> = items.iter().map(terms_of).collect();
        let run_once = terms
            .iter()
            .map(|t| one_at_a_time || !t.may_repeat)
            .collect();
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
            run_once,
            pending,
            running: collections::BTreeSet::new(),
            uncommitted: Vec::new(),
            uncommitted_bytes: 0,
            committing: false,
            intent_requested: false,
            release_requested: false,
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

    /// Returns the item at an index.
    pub fn item(&self, index: u32) -> rc::Rc<batch_item::BatchItem> {
        self.items[index as usize].clone()
    }

    /// Returns the number of waiting items.
    pub fn waiting(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether an item may run more than once.
    pub fn may_repeat(&self, index: u32) -> bool {
        !self.run_once[index as usize]
    }

    /// Takes the next item for a service that is ready to run.
    ///
    /// If an item for the service lacks only a stored intent, the next commit stores one.
    pub fn take_next(&mut self, service: &ids::ServiceName) -> Option<PendingItem> {
        if self.release_requested {
            return None;
        }
        let mut ready = None;
        for (at, pending) in self.pending.iter().enumerate() {
            let item = &self.items[pending.index as usize];
            if item.service().as_ref() != Ok(service) {
                continue;
            }
            let intended = self.state.intended.contains(pending.index);
            if self.run_once[pending.index as usize] && !intended {
                self.intent_requested = true;
                continue;
            }
            ready = Some(at);
            break;
        }
        let pending = self.pending.remove(ready?)?;
        if self.state.runs_single_items() && !self.running.is_empty() {
            // If this item crashes the endpoint, no other item of the chunk may fail with it.
            self.pending.push_front(pending);
            return None;
        }
        invariant::check(
            "item_runs_once_at_a_time",
            self.running.insert(pending.index),
        );
        Some(pending)
    }

    /// Puts an item that was preempted or was not started at the front of the queue.
    pub fn put_back(&mut self, pending: PendingItem) {
        self.running.remove(&pending.index);
        self.pending.push_front(pending);
    }

    /// Puts an item at the end of the queue, so that other items run before its next attempt.
    pub fn put_last(&mut self, pending: PendingItem) {
        self.running.remove(&pending.index);
        self.pending.push_back(pending);
    }

    /// Records an item's result; one that exceeds `MAX_RESULT_BYTES` becomes an error.
    pub fn settle(&mut self, index: u32, result: &batch_item::ItemResult) {
        self.running.remove(&index);
        let line = result.line();
        if line.len() > MAX_RESULT_BYTES {
            let code = batch_item::ItemErrorCode::AnswerTooLarge;
            return self.settle_failed(index, code, "the answer is too large to be stored");
        }
        self.uncommitted_bytes += line.len();
        self.uncommitted.push(ItemLine {
            index,
            line,
            has_response: result.error.is_none(),
        });
    }

    /// Records an error as the result of an item.
    pub fn settle_failed(&mut self, index: u32, code: batch_item::ItemErrorCode, reason: &str) {
        let custom_id = self.items[index as usize].custom_id.clone();
        let result = batch_item::ItemResult::failed(&custom_id, code, reason);
        self.settle(index, &result);
    }

    /// Starts to release the chunk: no more items start, and a commit releases it once
    /// none are running.
    pub fn release(&mut self) {
        self.release_requested = true;
    }

    /// Returns whether any items are running.
    pub fn is_running(&self) -> bool {
        !self.running.is_empty()
    }

    fn is_complete(&self) -> bool {
        self.state.settled.len() as usize + self.uncommitted.len() == self.state.items as usize
    }

    /// Returns the commit to write now, if one is due and none is being written.
    pub fn plan_commit(
        &mut self,
        now: clock::MonotonicTime,
        commit_after: time::Duration,
    ) -> Option<PlannedCommit> {
        if self.committing {
            return None;
        }
        let release = self.release_requested && self.running.is_empty();
        let full = self.uncommitted_bytes >= FULL_SEGMENT_BYTES;
        let overdue = !self.uncommitted.is_empty() && now.since(self.committed_at) >= commit_after;
        let intend = self.next_intents();
        if !(release || full || overdue || self.is_complete() || !intend.is_empty()) {
            return None;
        }
        Some(self.make_commit(intend, release))
    }

    /// Returns the next items whose intents are to be stored, if an intent was requested and no
    /// items are running.
    fn next_intents(&self) -> index_ranges::IndexRanges {
        let waits = self.intent_requested && !self.release_requested && self.running.is_empty();
        if !waits {
            return index_ranges::IndexRanges::default();
        }
        let group = if self.state.runs_single_items() {
            1
        } else {
            MAX_INTENTS_PER_COMMIT
        };
        self.pending
            .iter()
            .map(|p| p.index)
            .filter(|i| self.run_once[*i as usize] && !self.state.intended.contains(*i))
            .take(group)
            .collect()
    }

    fn make_commit(&mut self, intend: index_ranges::IndexRanges, release: bool) -> PlannedCommit {
        self.uncommitted.sort_by_key(|l| !l.has_response);
        let settled: index_ranges::IndexRanges = self.uncommitted.iter().map(|l| l.index).collect();
        let completed = self.uncommitted.iter().filter(|l| l.has_response).count() as u32;
        let failed = self.uncommitted.len() as u32 - completed;
        let lines: Vec<u8> = self
            .uncommitted
            .iter()
            .flat_map(|l| l.line.iter().copied())
            .collect();
        let segment = (!self.uncommitted.is_empty()).then(|| {
            self.segments_made += 1;
            chunk::SegmentRef {
                name: format!("{}-{}-{}", self.state.epoch, self.segments_made, self.claim),
                completed,
                failed,
            }
        });
        // No items run at a release, so intended items without a result cannot have run.
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
        // `state` is always held under this claim until it is released.
        let next = next.expect("the chunk is held under this claim");
        self.committing = true;
        PlannedCommit {
            revision: self.revision,
            commit,
            next,
            lines: lines.into(),
        }
    }

    /// Records that a planned commit was written.
    ///
    /// Returns whether the chunk is still held.
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
        self.intent_requested = false;
        self.uncommitted
            .retain(|l| !planned.commit.settled.contains(l.index));
        self.uncommitted_bytes = self.uncommitted.iter().map(|l| l.line.len()).sum();
        self.state.holder.is_some()
    }

    /// Records that a planned commit was abandoned; the next one is planned on `revision`.
    pub fn record_uncommitted(&mut self, revision: store::ObjectRevision) {
        self.committing = false;
        self.revision = revision;
    }

    /// Returns whether all items have stored results.
    pub fn is_done(&self) -> bool {
        self.state.is_done()
    }
}
