//! Names and identifiers, each a type of its own so that they cannot be mixed up.

use std::{borrow, fmt, num, str};

use xxhash_rust::xxh3;

/// Longest accepted identifier, in bytes.
pub const MAX_ID_BYTES: usize = 128;

/// What an identifier looks like, for schemas.
const ID_PATTERN: &str = "^[A-Za-z0-9._-]{1,128}$";

/// Why a text is not an identifier.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{kind} '{text}' is not valid: 1 to {MAX_ID_BYTES} of letters, digits, '.', '_', '-' are allowed")]
pub struct IdError {
    kind: &'static str,
    text: String,
}

fn check(kind: &'static str, text: &str) -> Result<(), IdError> {
    let fits = !text.is_empty() && text.len() <= MAX_ID_BYTES;
    let plain = text
        .bytes()
        .all(|b| b.is_ascii_alphanumeric() || b"._-".contains(&b));
    if fits && plain {
        return Ok(());
    }
    let text = text.chars().take(MAX_ID_BYTES).collect();
    Err(IdError { kind, text })
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl str::FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check(stringify!($name), text)?;
                Ok(Self(text.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                check(stringify!($name), &text)?;
                Ok(Self(text))
            }
        }

        impl schemars::JsonSchema for $name {
            fn schema_name() -> borrow::Cow<'static, str> {
                stringify!($name).into()
            }

            fn json_schema(_: &mut schemars::SchemaGenerator) -> schemars::Schema {
                schemars::json_schema!({"type": "string", "pattern": ID_PATTERN})
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0
            }
        }
    };
}

text_id!(
    /// Names a caller's workspace, the unit of authentication and limits.
    WorkspaceId
);
text_id!(
    /// Names a model or a plain service, whatever endpoints serve it.
    ServiceName
);
text_id!(
    /// Names one endpoint: a model engine or a replica of a plain service.
    EndpointId
);
text_id!(
    /// Names one process of this system.
    InstanceId
);
text_id!(
    /// Names a failure domain.
    DomainName
);
text_id!(
    /// Names a batch job.
    JobId
);
text_id!(
    /// Names an uploaded file.
    FileId
);
text_id!(
    /// Names one attempt of one request; echoed by endpoints.
    AttemptId
);

/// Index of a chunk in its file, from 0.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct ChunkIndex(pub u32);

impl fmt::Display for ChunkIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Padded, so that the order of keys is the order of chunks.
        write!(f, "{:06}", self.0)
    }
}

impl str::FromStr for ChunkIndex {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// Makes an identifier that no other process makes: `prefix` and 128 random bits.
pub fn unique(prefix: &str) -> String {
    format!("{prefix}-{}", uuid::Uuid::new_v4().simple())
}

/// When an endpoint started, in milliseconds since the epoch, by its own clock.
///
/// With its id it names one run of the endpoint: a later start holds nothing and
/// knows nothing of the one before.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct StartTime(pub u64);

impl fmt::Display for StartTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl str::FromStr for StartTime {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// One run of an endpoint, from its start to its end.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct EndpointRun {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// When it started, if its entry says so.
    pub started: Option<StartTime>,
}

impl fmt::Display for EndpointRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.started {
            Some(started) => write!(f, "{}@{started}", self.endpoint),
            None => write!(f, "{}", self.endpoint),
        }
    }
}

/// Tells the runs of an instance apart: drawn at random at each start, as clocks step.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct RunNumber(u64);

impl RunNumber {
    /// A number for a run that begins.
    pub fn random() -> Self {
        Self(rand::random())
    }
}

impl fmt::Display for RunNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl str::FromStr for RunNumber {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// One run of an instance, from its start to its end: the next one has nothing of what
/// this one held.
#[derive(Debug, Clone, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct InstanceRun {
    /// The instance.
    pub instance: InstanceId,
    /// Which of its runs.
    pub run: RunNumber,
}

impl fmt::Display for InstanceRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.instance, self.run)
    }
}

/// Tells requests apart by what they ask: equal for each try of one request, whoever
/// sends it and wherever it arrives.
///
/// 128 bits: of a billion requests two share one with a chance of 1 in 10^21.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestDigest(u128);

impl RequestDigest {
    /// The digest of a request.
    pub fn of(method: &str, host: &str, uri: &str, body: &[u8]) -> Self {
        let mut hasher = xxh3::Xxh3::new();
        for part in [method.as_bytes(), host.as_bytes(), uri.as_bytes(), body] {
            // With its length, so that what ends one part cannot begin the next.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest128())
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl str::FromStr for RequestDigest {
    type Err = num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

impl serde::Serialize for RequestDigest {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> serde::Deserialize<'de> for RequestDigest {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
