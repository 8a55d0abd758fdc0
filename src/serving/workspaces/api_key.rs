//! API keys of requests, represented by digests.

use std::{fmt, num, str};

use sha2::Digest as _;

/// Number of hexadecimal digits of a digest that are logged.
const ABBREVIATED_DIGITS: usize = 12;

/// Digest of an API key: the first 128 bits of its SHA-256.
///
/// Keys themselves are neither stored nor compared. The time to compare digests depends
/// only on the digests, which do not reveal the key.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct KeyDigest(u128);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        let hash = sha2::Sha256::digest(key);
        let first = hash.first_chunk().expect("a hash has 32 bytes");
        Self(u128::from_be_bytes(*first))
    }

    /// Returns the first digits of the digest, for logs.
    pub fn abbreviated(&self) -> String {
        let mut text = self.to_string();
        text.truncate(ABBREVIATED_DIGITS);
        text
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.abbreviated())
    }
}

impl str::FromStr for KeyDigest {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

/// Credentials of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PresentedKey {
    /// The request has no credentials.
    #[default]
    Missing,
    /// There is more than one authorization header, or it lacks the expected scheme or a key.
    Malformed,
    /// Digest of the key.
    Key(KeyDigest),
}

impl fmt::Display for PresentedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing => f.write_str("missing"),
            Self::Malformed => f.write_str("malformed"),
            Self::Key(digest) => f.write_str(&digest.abbreviated()),
        }
    }
}
