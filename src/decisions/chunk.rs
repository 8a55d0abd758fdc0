//! State of one chunk of a batch job, and its updates.
//!
//! Each update is written on condition that the stored object still has the revision that the
//! update is based on. Of two holders, at most one can therefore commit. Exactly-once results
//! rest on this alone and need no clock.

use std::fmt;

use super::index_ranges;
use crate::{ids, invariant};

/// Number of lost holders after which the items of a chunk run one at a time.
pub const SINGLE_ITEM_AFTER_LOSSES: u32 = 3;

/// Unique identifier of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct ClaimId(pub String);

impl fmt::Display for ClaimId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::str::FromStr for ClaimId {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(text.to_owned()))
    }
}

/// Holder of a chunk.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ChunkHolder {
    /// Instance that holds the chunk.
    pub instance: ids::InstanceId,
    /// Claim under which it holds the chunk.
    pub claim: ClaimId,
}

/// Reference to a stored segment of results.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SegmentRef {
    /// Name of the segment, the last part of its key.
    pub name: String,
    /// Number of lines with a response; these come first.
    pub completed: u32,
    /// Number of lines with an error; these come last.
    pub failed: u32,
}

/// Stored state of a chunk.
///
/// Invariants: `settled` and each update to it are disjoint; the segments hold as many lines
/// as `settled` has indices; `epoch` only grows; all indices are below `items`.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ChunkState {
    /// Number of items in the chunk.
    pub items: u32,
    /// Number of claims so far.
    pub epoch: u32,
    /// Current holder, if any.
    pub holder: Option<ChunkHolder>,
    /// Number of holders that were lost while they held the chunk.
    pub losses: u32,
    /// Items with a result.
    pub settled: index_ranges::IndexRanges,
    /// Items that were sent or are about to be sent, and must not be sent again.
    pub intended: index_ranges::IndexRanges,
    /// Stored segments of results.
    pub segments: Vec<SegmentRef>,
}

/// Error of a commit whose claim no longer holds the chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the chunk is not held under this claim")]
pub struct ClaimLost;

/// Update with new results of a chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChunkCommit {
    /// Items whose results are in the segment.
    pub settled: index_ranges::IndexRanges,
    /// Segment with the results, if there are any.
    pub segment: Option<SegmentRef>,
    /// Items that are about to be sent and must not be sent again.
    pub intend: index_ranges::IndexRanges,
    /// Items that were intended under this claim and certainly did not run.
    pub withdraw: index_ranges::IndexRanges,
    /// Whether the holder releases the chunk.
    pub release: bool,
}

impl ChunkState {
    /// Creates the state of a chunk that was never claimed.
    pub fn fresh(items: u32) -> Self {
        Self {
            items,
            epoch: 0,
            holder: None,
            losses: 0,
            settled: index_ranges::IndexRanges::default(),
            intended: index_ranges::IndexRanges::default(),
            segments: Vec::new(),
        }
    }

    /// Returns whether all items have a result.
    pub fn is_done(&self) -> bool {
        self.settled.len() == self.items
    }

    /// Returns the items without a result.
    pub fn open_items(&self) -> index_ranges::IndexRanges {
        index_ranges::IndexRanges::below(self.items).minus(&self.settled)
    }

    /// Returns the items that an earlier holder may have run and that must not run again.
    pub fn unknown_items(&self) -> index_ranges::IndexRanges {
        self.intended.minus(&self.settled)
    }

    /// Returns whether items run one at a time, with each intent stored before the item is sent.
    pub fn runs_single_items(&self) -> bool {
        self.losses >= SINGLE_ITEM_AFTER_LOSSES
    }

    /// Returns the number of items with a response and the number of items with an error.
    pub fn counts(&self) -> (u32, u32) {
        let add = |(c, f), s: &SegmentRef| (c + s.completed, f + s.failed);
        self.segments.iter().fold((0, 0), add)
    }

    /// Returns the state after a claim by `holder`. A holder that is still set counts as lost.
    pub fn claimed(&self, holder: ChunkHolder) -> Self {
        let lost = u32::from(self.holder.is_some());
        Self {
            epoch: self.epoch + 1,
            holder: Some(holder),
            losses: self.losses + lost,
            ..self.clone()
        }
    }

    /// Returns the state after a commit under `claim`.
    ///
    /// # Errors
    /// The chunk is not held under `claim`.
    pub fn committed(&self, claim: &ClaimId, commit: &ChunkCommit) -> Result<Self, ClaimLost> {
        let holder = self.holder.as_ref().filter(|h| h.claim == *claim);
        if holder.is_none() {
            return Err(ClaimLost);
        }
        invariant::check("item_settled_once", !self.settled.overlaps(&commit.settled));
        invariant::check(
            "item_intended_once",
            !self.intended.overlaps(&commit.intend),
        );
        let mut next = self.clone();
        for index in commit.settled.iter() {
            next.settled.insert(index);
        }
        for index in commit.intend.iter() {
            next.intended.insert(index);
        }
        next.intended = next.intended.minus(&commit.withdraw);
        next.segments.extend(commit.segment.clone());
        if commit.release || next.is_done() {
            next.holder = None;
        }
        next.check();
        Ok(next)
    }

    fn check(&self) {
        let (completed, failed) = self.counts();
        let lines = completed + failed;
        invariant::check("segments_hold_settled_items", lines == self.settled.len());
        let below = self.settled.iter().all(|i| i < self.items);
        invariant::check("settled_items_exist", below);
    }
}

/// Returns the key of a chunk's state.
pub fn state_key(job: &ids::JobId, chunk: ids::ChunkIndex) -> String {
    format!("chunk/{job}/{chunk}")
}

/// Returns the key of a segment of results.
pub fn segment_key(job: &ids::JobId, chunk: ids::ChunkIndex, name: &str) -> String {
    format!("result/{job}/{chunk}/{name}")
}
