//! The desired state as it goes between processes: encoded once, told in parts.
//!
//! All of it is plain values. [`super::state_transfer`] carries the parts.

use std::{cell, collections, fmt, io::Read as _, io::Write as _};

use flate2::{read, write};
use xxhash_rust::xxh3;

use super::route_table;

/// Bytes of a part.
///
/// Other messages on the link wait for one part at most: 2.2 ms at 30 Mbit/s,
/// where the answer to a request for a place has 40 ms.
pub const PART_BYTES: usize = 8 << 10;

/// Largest state, encoded and as plain bytes; what claims more is refused. The
/// store takes a megabyte of JSON, which is about half of that here.
const MAX_STATE_BYTES: usize = 8 << 20;

/// Most copies that are kept for transfers under way, and most bytes of them
/// together. A state with 4,000 routes has about 0.1 MB; the newest is kept in
/// any case.
const MAX_SNAPSHOTS: usize = 16;
const MAX_SNAPSHOT_BYTES: usize = 4 << 20;

/// Tells copies of one version apart that were encoded in different ways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CopyDigest(u64);

impl fmt::Display for CopyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Which copy a transfer is of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CopyId {
    /// Version of the state.
    pub version: route_table::StateVersion,
    /// Digest of the encoded bytes.
    pub digest: CopyDigest,
    /// Encoded bytes in all.
    pub total: usize,
}

/// A request for a part of the desired state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum StatePartRequest {
    /// The first part of the newest state.
    First,
    /// The part of a copy that begins at this byte.
    Next(CopyId, usize),
}

/// A part of the desired state.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StatePart {
    /// The copy; another one than asked for, if that is not kept any more.
    pub copy: CopyId,
    /// Where the bytes begin.
    pub offset: usize,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// Why a state cannot be encoded or read.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// The state cannot be encoded or read.
    #[error("the state cannot be carried: {0}")]
    Malformed(#[from] postcard::Error),
    /// The bytes do not inflate.
    #[error("the bytes do not inflate: {0}")]
    Damaged(#[from] std::io::Error),
    /// The bytes are not those that were announced.
    #[error("the bytes have another digest than was announced")]
    OtherDigest,
    /// It is larger than a state may be.
    #[error("the state is larger than {MAX_STATE_BYTES} bytes")]
    TooLarge,
}

/// An encoded state.
#[derive(Debug, Clone)]
struct EncodedSnapshot {
    id: CopyId,
    bytes: bytes::Bytes,
}

impl EncodedSnapshot {
    fn encode(state: &route_table::DesiredState) -> Result<Self, SnapshotError> {
        let plain = postcard::to_stdvec(state)?;
        // 4,249 routes with random names, 0.31 MB: 93 KB in 1.4 ms. The best
        // level gives 91 KB in 24 ms.
        let mut compressed = write::DeflateEncoder::new(Vec::new(), flate2::Compression::fast());
        compressed.write_all(&plain)?;
        let bytes = compressed.finish()?;
        let id = CopyId {
            version: state.version,
            digest: CopyDigest(xxh3::xxh3_64(&bytes)),
            total: bytes.len(),
        };
        let bytes = bytes.into();
        Ok(Self { id, bytes })
    }

    fn part(&self, offset: usize) -> StatePart {
        let from = offset.min(self.bytes.len());
        let to = (from + PART_BYTES).min(self.bytes.len());
        StatePart {
            copy: self.id,
            offset: from,
            bytes: self.bytes[from..to].to_vec(),
        }
    }
}

fn decode(id: &CopyId, compressed: &[u8]) -> Result<route_table::DesiredState, SnapshotError> {
    if CopyDigest(xxh3::xxh3_64(compressed)) != id.digest {
        return Err(SnapshotError::OtherDigest);
    }
    let mut plain = Vec::new();
    let bound = MAX_STATE_BYTES as u64 + 1;
    let mut inflated = read::DeflateDecoder::new(compressed).take(bound);
    inflated.read_to_end(&mut plain)?;
    if plain.len() > MAX_STATE_BYTES {
        return Err(SnapshotError::TooLarge);
    }
    Ok(postcard::from_bytes(&plain)?)
}

/// The copies that a process tells its peers.
///
/// A transfer that has begun is brought to its end with the copy that it began
/// with: where versions come faster than transfers end, none would end else.
#[derive(Debug, Default)]
pub struct SnapshotCache {
    /// The most recently used last.
    snapshots: cell::RefCell<collections::VecDeque<EncodedSnapshot>>,
}

impl SnapshotCache {
    /// The part that was asked for, or the first one of the newest state.
    ///
    /// # Errors
    /// The state cannot be encoded.
    pub fn part(
        &self,
        request: StatePartRequest,
        newest: &route_table::DesiredState,
    ) -> Result<StatePart, SnapshotError> {
        if let StatePartRequest::Next(id, offset) = request {
            if let Some(snapshot) = self.find(|snapshot| snapshot.id == id) {
                return Ok(snapshot.part(offset));
            }
        }
        if let Some(snapshot) = self.find(|snapshot| snapshot.id.version == newest.version) {
            return Ok(snapshot.part(0));
        }
        let snapshot = EncodedSnapshot::encode(newest)?;
        let first = snapshot.part(0);
        self.insert(snapshot);
        Ok(first)
    }

    /// Finds a copy, and counts it as used.
    fn find(&self, is_wanted: impl Fn(&EncodedSnapshot) -> bool) -> Option<EncodedSnapshot> {
        let mut snapshots = self.snapshots.borrow_mut();
        let index = snapshots.iter().position(is_wanted)?;
        let snapshot = snapshots.remove(index)?;
        snapshots.push_back(snapshot.clone());
        Some(snapshot)
    }

    fn insert(&self, snapshot: EncodedSnapshot) {
        let mut snapshots = self.snapshots.borrow_mut();
        snapshots.push_back(snapshot);
        let bytes = |snapshots: &collections::VecDeque<EncodedSnapshot>| -> usize {
            snapshots.iter().map(|snapshot| snapshot.bytes.len()).sum()
        };
        while snapshots.len() > MAX_SNAPSHOTS
            || (snapshots.len() > 1 && bytes(&snapshots) > MAX_SNAPSHOT_BYTES)
        {
            snapshots.pop_front();
        }
    }
}

/// What a part came to.
#[derive(Debug)]
pub enum PartOutcome {
    /// It was added, and more are to come.
    Added,
    /// It was the last one.
    Complete(route_table::DesiredState),
    /// It belongs to another copy, or another place: nothing was added.
    Mismatched(StatePart),
    /// It is of no use, and nor is what was there before.
    Invalid(SnapshotError),
}

/// A desired state that is coming in, part by part, from one peer or several.
///
/// Invariant: `bytes` are the first bytes of `copy`, and not all of them.
#[derive(Debug, Default)]
pub struct IncomingSnapshot {
    copy: Option<CopyId>,
    bytes: Vec<u8>,
}

impl IncomingSnapshot {
    /// What to ask for next.
    pub fn next_request(&self) -> StatePartRequest {
        match self.copy {
            Some(id) => StatePartRequest::Next(id, self.bytes.len()),
            None => StatePartRequest::First,
        }
    }

    /// Version of the state that is coming in.
    pub fn version(&self) -> Option<route_table::StateVersion> {
        self.copy.map(|id| id.version)
    }

    /// Forgets what came so far.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Adds a part; the first one of another copy only after [`Self::clear`].
    pub fn add(&mut self, part: StatePart) -> PartOutcome {
        if part.copy.total > MAX_STATE_BYTES {
            return PartOutcome::Invalid(SnapshotError::TooLarge);
        }
        let id = *self.copy.get_or_insert(part.copy);
        let is_next = part.copy == id && part.offset == self.bytes.len();
        let left = id.total.saturating_sub(self.bytes.len());
        if !is_next || part.bytes.is_empty() || part.bytes.len() > left {
            return PartOutcome::Mismatched(part);
        }
        self.bytes.extend_from_slice(&part.bytes);
        if self.bytes.len() < id.total {
            return PartOutcome::Added;
        }
        let compressed = std::mem::take(self).bytes;
        match decode(&id, &compressed) {
            Ok(state) => PartOutcome::Complete(state),
            Err(e) => PartOutcome::Invalid(e),
        }
    }
}
