//! Set of item indices, stored as ranges to stay small when dense.

use std::fmt;

/// Set of indices as disjoint half-open ranges.
///
/// Invariant: ranges are sorted, not empty, and not adjacent to each other.
#[derive(Debug, Clone, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct IndexRanges(Vec<(u32, u32)>);

impl IndexRanges {
    /// Returns the set of all indices below `end`.
    pub fn below(end: u32) -> Self {
        if end == 0 {
            return Self::default();
        }
        Self(vec![(0, end)])
    }

    /// Returns the number of indices.
    pub fn len(&self) -> u32 {
        self.0.iter().map(|(start, end)| end - start).sum()
    }

    /// Returns whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether `index` is in the set.
    pub fn contains(&self, index: u32) -> bool {
        let after = self.0.partition_point(|(start, _)| *start <= index);
        after > 0 && index < self.0[after - 1].1
    }

    /// Adds an index; returns whether it was absent.
    pub fn insert(&mut self, index: u32) -> bool {
        if self.contains(index) {
            return false;
        }
        let at = self.0.partition_point(|(start, _)| *start <= index);
        let joins_left = at > 0 && self.0[at - 1].1 == index;
        let joins_right = at < self.0.len() && self.0[at].0 == index + 1;
        match (joins_left, joins_right) {
            (true, true) => {
                self.0[at - 1].1 = self.0[at].1;
                self.0.remove(at);
            }
            (true, false) => self.0[at - 1].1 = index + 1,
            (false, true) => self.0[at].0 = index,
            (false, false) => self.0.insert(at, (index, index + 1)),
        }
        true
    }

    /// Returns the indices in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> + '_ {
        self.0.iter().flat_map(|(start, end)| *start..*end)
    }

    /// Returns the indices of this set that are not in `other`.
    pub fn minus(&self, other: &Self) -> Self {
        self.iter().filter(|i| !other.contains(*i)).collect()
    }

    /// Returns whether the sets share an index.
    pub fn overlaps(&self, other: &Self) -> bool {
        self.iter().any(|i| other.contains(i))
    }
}

impl FromIterator<u32> for IndexRanges {
    fn from_iter<I: IntoIterator<Item = u32>>(indices: I) -> Self {
        let mut ranges = Self::default();
        for index in indices {
            ranges.insert(index);
        }
        ranges
    }
}

impl fmt::Display for IndexRanges {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, (start, end)) in self.0.iter().enumerate() {
            let comma = if i > 0 { "," } else { "" };
            write!(f, "{comma}{start}-{}", end - 1)?;
        }
        Ok(())
    }
}
