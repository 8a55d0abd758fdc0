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
const KEPT_COPIES: usize = 16;
const KEPT_BYTES: usize = 4 << 20;

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
pub enum CopyError {
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
struct StateCopy {
    id: CopyId,
    bytes: bytes::Bytes,
}

impl StateCopy {
    fn encode(state: &route_table::DesiredState) -> Result<Self, CopyError> {
        let plain = postcard::to_stdvec(state)?;
        // 4,249 routes with random names, 0.31 MB: 93 KB in 1.4 ms. The best
        // level gives 91 KB in 24 ms.
        let mut packed = write::DeflateEncoder::new(Vec::new(), flate2::Compression::fast());
        packed.write_all(&plain)?;
        let bytes = packed.finish()?;
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

fn decode(copy: &CopyId, packed: &[u8]) -> Result<route_table::DesiredState, CopyError> {
    if CopyDigest(xxh3::xxh3_64(packed)) != copy.digest {
        return Err(CopyError::OtherDigest);
    }
    let mut plain = Vec::new();
    let bound = MAX_STATE_BYTES as u64 + 1;
    let mut inflated = read::DeflateDecoder::new(packed).take(bound);
    inflated.read_to_end(&mut plain)?;
    if plain.len() > MAX_STATE_BYTES {
        return Err(CopyError::TooLarge);
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
    copies: cell::RefCell<collections::VecDeque<StateCopy>>,
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
    ) -> Result<StatePart, CopyError> {
        if let StatePartRequest::Next(id, offset) = request {
            if let Some(copy) = self.find(|copy| copy.id == id) {
                return Ok(copy.part(offset));
            }
        }
        if let Some(copy) = self.find(|copy| copy.id.version == newest.version) {
            return Ok(copy.part(0));
        }
        let copy = StateCopy::encode(newest)?;
        let first = copy.part(0);
        self.keep(copy);
        Ok(first)
    }

    /// Finds a copy, and counts it as used.
    fn find(&self, wanted: impl Fn(&StateCopy) -> bool) -> Option<StateCopy> {
        let mut copies = self.copies.borrow_mut();
        let slot = copies.iter().position(wanted)?;
        let copy = copies.remove(slot)?;
        copies.push_back(copy.clone());
        Some(copy)
    }

    fn keep(&self, copy: StateCopy) {
        let mut copies = self.copies.borrow_mut();
        copies.push_back(copy);
        let bytes = |copies: &collections::VecDeque<StateCopy>| -> usize {
            copies.iter().map(|copy| copy.bytes.len()).sum()
        };
        while copies.len() > KEPT_COPIES || (copies.len() > 1 && bytes(&copies) > KEPT_BYTES) {
            copies.pop_front();
        }
    }
}

/// What a part came to.
#[derive(Debug)]
pub enum PartOutcome {
    /// It was added, and more are to come.
    Added,
    /// It was the last one.
    Whole(route_table::DesiredState),
    /// It belongs to another copy, or another place: nothing was added.
    Unfit(StatePart),
    /// It is of no use, and nor is what was there before.
    Refused(CopyError),
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
            Some(copy) => StatePartRequest::Next(copy, self.bytes.len()),
            None => StatePartRequest::First,
        }
    }

    /// Version of the state that is coming in.
    pub fn version(&self) -> Option<route_table::StateVersion> {
        self.copy.map(|copy| copy.version)
    }

    /// Forgets what came so far.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Adds a part; the first one of another copy only after [`Self::clear`].
    pub fn add(&mut self, part: StatePart) -> PartOutcome {
        if part.copy.total > MAX_STATE_BYTES {
            return PartOutcome::Refused(CopyError::TooLarge);
        }
        let copy = *self.copy.get_or_insert(part.copy);
        let is_next = part.copy == copy && part.offset == self.bytes.len();
        let left = copy.total.saturating_sub(self.bytes.len());
        if !is_next || part.bytes.is_empty() || part.bytes.len() > left {
            return PartOutcome::Unfit(part);
        }
        self.bytes.extend_from_slice(&part.bytes);
        if self.bytes.len() < copy.total {
            return PartOutcome::Added;
        }
        let packed = std::mem::take(self).bytes;
        match decode(&copy, &packed) {
            Ok(state) => PartOutcome::Whole(state),
            Err(e) => PartOutcome::Refused(e),
        }
    }
}
