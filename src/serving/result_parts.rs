//! Splits the results of a job into parts that the store accepts.
//!
//! A part is an object, whose size the store limits as it is encoded. A result that exceeds the
//! limit alone is written as fragments, in consecutive parts.

use super::wire;
use crate::store;

/// Maximum size of an encoded part. Below the limit of the store, so that a part arrives within
/// the timeout of a write on a slow link.
const MAX_PART_SIZE: store::ValueSize = store::ValueSize(600_000);

/// Minimum to which the limit of a part is lowered when the store refuses smaller parts than it
/// states.
const MIN_PART_SIZE: store::ValueSize = store::ValueSize(4 << 10);

/// Size of the fields of a part besides its results, and of a fragment besides its text.
const PART_OVERHEAD: usize = 512;

/// Part of a job's results.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ResultPart {
    /// Position of the first result in the job's result sequence.
    pub start: usize,
    /// Results in this part.
    pub results: Vec<wire::ItemResult>,
    /// Fragment of a result that exceeds the limit of an object, instead of results.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fragment: Option<ResultFragment>,
}

/// Fragment of a result.
///
/// It continues the fragments in the parts before it. A process appends a part only after it has
/// read all earlier ones, so `offset` identifies what it continues even if two processes write
/// results of the same item in turn.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ResultFragment {
    /// Offset of the text in the output of the item, in bytes; 0 begins the result anew.
    pub offset: usize,
    /// Whether the result is complete with this fragment.
    pub is_last: bool,
    /// Item and state of the result, with the text of this fragment as its output.
    pub result: wire::ItemResult,
}

/// Result of which some fragments are in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartialResult(wire::ItemResult);

impl PartialResult {
    /// Returns the offset at which a result continues the stored fragments, if it does.
    fn continued_by(&self, result: &wire::ItemResult) -> Option<usize> {
        let Self(stored) = self;
        let is_same = stored.id == result.id && stored.state == result.state;
        let continues = is_same && result.output.starts_with(&stored.output);
        continues.then_some(stored.output.len())
    }
}

/// Adds a fragment to those before it; returns the result if it is complete.
///
/// A fragment that continues none of them is dropped: its item gets another result.
pub fn assemble(
    partial: &mut Option<PartialResult>,
    fragment: ResultFragment,
) -> Option<wire::ItemResult> {
    let ResultFragment {
        offset,
        is_last,
        result,
    } = fragment;
    let before = partial.take().filter(|_| offset > 0);
    let assembled = match (before, offset) {
        (_, 0) => result,
        (Some(PartialResult(mut stored)), _)
            if stored.id == result.id && stored.output.len() == offset =>
        {
            stored.output.push_str(&result.output);
            stored
        }
        _ => {
            log::warn!("event=fragment_foreign item={} offset={offset}", result.id);
            return None;
        }
    };
    match is_last {
        true => Some(assembled),
        false => {
            *partial = Some(PartialResult(assembled));
            None
        }
    }
}

/// Limit on the size of the parts of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartLimit(store::ValueSize);

impl PartLimit {
    /// Returns the limit for a store that accepts values of up to `max_value_size`.
    pub fn new(max_value_size: store::ValueSize) -> Self {
        Self(max_value_size.min(MAX_PART_SIZE).max(MIN_PART_SIZE))
    }

    /// Halves the limit, as the store has refused a part; returns whether it could be lowered.
    pub fn lower(&mut self) -> bool {
        let lowered = store::ValueSize(self.0 .0 / 2).max(MIN_PART_SIZE);
        std::mem::replace(&mut self.0, lowered) > lowered
    }

    fn content_bytes(self) -> usize {
        self.0 .0 - PART_OVERHEAD
    }

    /// Returns the next part with as many pending results as fit, or with the next fragment of
    /// the first one if it does not fit alone.
    pub fn next_part(
        self,
        start: usize,
        pending: &[wire::ItemResult],
        partial: Option<&PartialResult>,
    ) -> ResultPart {
        let mut left = self.content_bytes();
        let fitting = pending.iter().take_while(|result| {
            // One byte separates it from the next one.
            let size = store::encoded_size(*result).0 + 1;
            let fits = size <= left;
            left = left.saturating_sub(size);
            fits
        });
        let results: Vec<_> = fitting.cloned().collect();
        let fragment = match pending.first() {
            Some(first) if results.is_empty() => Some(self.next_fragment(first, partial)),
            _ => None,
        };
        ResultPart {
            start,
            results,
            fragment,
        }
    }

    fn next_fragment(
        self,
        result: &wire::ItemResult,
        partial: Option<&PartialResult>,
    ) -> ResultFragment {
        let offset = partial.and_then(|partial| partial.continued_by(result));
        let offset = offset.unwrap_or(0);
        let rest = &result.output[offset..];
        let mut fragment = wire::ItemResult {
            output: String::new(),
            ..result.clone()
        };
        let overhead = store::encoded_size(&fragment).0;
        let size = store::ValueSize(self.content_bytes().saturating_sub(overhead));
        let text = store::prefix_within(rest, size);
        fragment.output = text.to_owned();
        ResultFragment {
            offset,
            is_last: text.len() == rest.len(),
            result: fragment,
        }
    }
}
