//! Snapshots of the desired state for transfer between processes: encoded once, sent in
//! parts.
//!
//! This module performs no I/O; [`super::state_transfer`] transfers the parts.

use std::{cell, collections, fmt, io::Read as _, io::Write as _};

use flate2::{read, write};
use xxhash_rust::xxh3;

use super::route_table;

/// Size of a part in bytes.
///
/// Other messages on the link wait for one part at most: 2.2 ms at 30 Mbit/s, while the
/// response to a slot request must arrive within 40 ms.
pub const PART_BYTES: usize = 8 << 10;

/// Largest size of a state in bytes, both compressed and uncompressed; larger ones are
/// rejected. The store accepts one megabyte of JSON, which takes about half of that in
/// this encoding.
const MAX_STATE_BYTES: usize = 8 << 20;

/// Bounds of the number of cached snapshots and of their total size in bytes. A state
/// with 4,000 routes takes about 0.1 MB; the newest is cached in any case.
const MAX_SNAPSHOTS: usize = 16;
const MAX_SNAPSHOT_BYTES: usize = 4 << 20;

/// Digest of the encoded bytes, which distinguishes different encodings of one version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CopyDigest(u64);

impl fmt::Display for CopyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies the snapshot of a transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CopyId {
    /// Version of the state.
    pub version: route_table::StateVersion,
    /// Digest of the encoded bytes.
    pub digest: CopyDigest,
    /// Total number of encoded bytes.
    pub total: usize,
}

/// A request for a part of the desired state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum StatePartRequest {
    /// The first part of the newest state.
    First,
    /// The part of a snapshot that begins at this byte offset.
    Next(CopyId, usize),
}

/// A part of the desired state.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StatePart {
    /// Snapshot that the part belongs to; it differs from the requested one if that is no
    /// longer cached.
    pub copy: CopyId,
    /// Offset of the first byte.
    pub offset: usize,
    /// Bytes of the part.
    pub bytes: Vec<u8>,
}

/// Error of encoding or decoding a state.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    /// The state cannot be serialised or deserialised.
    #[error("the state cannot be encoded or decoded: {0}")]
    Malformed(#[from] postcard::Error),
    /// The compressed bytes are damaged.
    #[error("the bytes cannot be decompressed: {0}")]
    Damaged(#[from] std::io::Error),
    /// The bytes do not match the announced digest.
    #[error("the digest of the bytes differs from the announced one")]
    OtherDigest,
    /// The state exceeds the size limit.
    #[error("the state is larger than {MAX_STATE_BYTES} bytes")]
    TooLarge,
}

/// Encoded state and its identifier.
#[derive(Debug, Clone)]
struct EncodedSnapshot {
    id: CopyId,
    bytes: bytes::Bytes,
}

impl EncodedSnapshot {
    fn encode(state: &route_table::DesiredState) -> Result<Self, SnapshotError> {
        let plain = postcard::to_stdvec(state)?;
        // 4,249 routes with random names, 0.31 MB: the fast level gives 93 KB in 1.4 ms,
        // the best level 91 KB in 24 ms.
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

/// Cache of the snapshots that a process sends to its peers.
///
/// A transfer continues with the snapshot that it started with. Otherwise no transfer
/// would complete while new versions arrive faster than a transfer takes.
#[derive(Debug, Default)]
pub struct SnapshotCache {
    /// Ordered by use, the most recent one last.
    snapshots: cell::RefCell<collections::VecDeque<EncodedSnapshot>>,
}

impl SnapshotCache {
    /// Returns the requested part, or the first part of the newest state if the snapshot
    /// is no longer cached.
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

    /// Finds a snapshot and marks it as the most recently used.
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

/// Result of adding a part.
#[derive(Debug)]
pub enum PartOutcome {
    /// The part was added, and more are needed.
    Added,
    /// The part was the last one; the state is complete.
    Complete(route_table::DesiredState),
    /// The part belongs to another snapshot or offset and was not added.
    Mismatched(StatePart),
    /// The part or the complete state is invalid. An invalid complete state discards all
    /// parts received so far.
    Invalid(SnapshotError),
}

/// Desired state that is received part by part, from one peer or several.
///
/// Invariant: `bytes` is a proper prefix of the snapshot `id`.
#[derive(Debug, Default)]
pub struct IncomingSnapshot {
    id: Option<CopyId>,
    bytes: Vec<u8>,
}

impl IncomingSnapshot {
    /// Returns the next part to request.
    pub fn next_request(&self) -> StatePartRequest {
        match self.id {
            Some(id) => StatePartRequest::Next(id, self.bytes.len()),
            None => StatePartRequest::First,
        }
    }

    /// Returns the version of the state that is being received.
    pub fn version(&self) -> Option<route_table::StateVersion> {
        self.id.map(|id| id.version)
    }

    /// Discards all parts received so far.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Adds a part. A part of another snapshot is accepted only after [`Self::clear`].
    pub fn add(&mut self, part: StatePart) -> PartOutcome {
        if part.copy.total > MAX_STATE_BYTES {
            return PartOutcome::Invalid(SnapshotError::TooLarge);
        }
        let id = *self.id.get_or_insert(part.copy);
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
