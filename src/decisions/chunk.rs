//! State of one chunk of a batch job, and the updates that are allowed.
//!
//! Each update is written under the condition that the object is still at the
//! revision it was made from. Of two holders at most one therefore commits:
//! that is the whole exactly-once argument, and it needs no clock.

use std::fmt;

use super::index_ranges;
use crate::{ids, invariant};

/// Losses of a holder after which items are run one by one.
pub const CAREFUL_AFTER_LOSSES: u32 = 3;

/// Names one claim; no two claims have the same.
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

/// Who holds a chunk.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ChunkHolder {
    /// The instance.
    pub instance: ids::InstanceId,
    /// Its claim.
    pub claim: ClaimId,
}

/// A stored segment of results.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SegmentRef {
    /// Key of the segment below the chunk's results.
    pub name: String,
    /// Lines with an answer; they come first.
    pub completed: u32,
    /// Lines with an error; they come last.
    pub failed: u32,
}

/// The state of a chunk as it is stored.
///
/// Invariants: `settled` and each update to it are disjoint; the segments hold
/// as many lines as `settled` has indices; `epoch` only grows; all indices are
/// below `items`.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ChunkState {
    /// Items in the chunk.
    pub items: u32,
    /// Number of the latest claim.
    pub epoch: u32,
    /// Who holds it, if anyone.
    pub holder: Option<ChunkHolder>,
    /// Holders that were lost with the chunk in hand.
    pub losses: u32,
    /// Items with a result.
    pub settled: index_ranges::IndexRanges,
    /// Items that must not be sent again: sent, or about to be.
    pub intended: index_ranges::IndexRanges,
    /// Where the results are.
    pub segments: Vec<SegmentRef>,
}

/// The chunk is no longer held under the claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the chunk is held under another claim")]
pub struct ClaimLost;

/// New results of a chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChunkCommit {
    /// Items that the segment settles.
    pub settled: index_ranges::IndexRanges,
    /// Where the results are; nothing if there are none.
    pub segment: Option<SegmentRef>,
    /// Items that are about to be sent and must not be sent again.
    pub intend: index_ranges::IndexRanges,
    /// Items that were intended under this claim and cannot have run.
    pub withdraw: index_ranges::IndexRanges,
    /// Whether the holder gives the chunk up.
    pub release: bool,
}

impl ChunkState {
    /// A chunk that nobody has held.
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

    /// Whether all items have a result.
    pub fn is_done(&self) -> bool {
        self.settled.len() == self.items
    }

    /// Items without a result.
    pub fn open_items(&self) -> index_ranges::IndexRanges {
        index_ranges::IndexRanges::below(self.items).minus(&self.settled)
    }

    /// Items that a former holder may have run and that must not run again.
    pub fn unknown_items(&self) -> index_ranges::IndexRanges {
        self.intended.minus(&self.settled)
    }

    /// Whether items are to be run one by one, each intended first.
    pub fn is_careful(&self) -> bool {
        self.losses >= CAREFUL_AFTER_LOSSES
    }

    /// Items answered, items failed.
    pub fn counts(&self) -> (u32, u32) {
        let add = |(c, f), s: &SegmentRef| (c + s.completed, f + s.failed);
        self.segments.iter().fold((0, 0), add)
    }

    /// The state after a claim by `holder`, who found the former holder gone or none.
    pub fn claimed(&self, holder: ChunkHolder) -> Self {
        let lost = u32::from(self.holder.is_some());
        Self {
            epoch: self.epoch + 1,
            holder: Some(holder),
            losses: self.losses + lost,
            ..self.clone()
        }
    }

    /// The state after a commit under `claim`.
    ///
    /// # Errors
    /// The chunk is held under another claim.
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

/// Key of a chunk's state.
pub fn state_key(job: &ids::JobId, chunk: ids::ChunkIndex) -> String {
    format!("chunk/{job}/{chunk}")
}

/// Key of a segment of results.
pub fn segment_key(job: &ids::JobId, chunk: ids::ChunkIndex, name: &str) -> String {
    format!("result/{job}/{chunk}/{name}")
}
