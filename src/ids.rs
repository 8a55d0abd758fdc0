//! Names and identifiers, each with its own type so that they cannot be confused.

use std::{borrow, fmt, marker, num, str, sync};

use xxhash_rust::xxh3;

/// Maximum length of an identifier, in bytes.
pub const MAX_ID_BYTES: usize = 128;

/// Pattern for identifiers in JSON schemas.
const ID_PATTERN: &str = "^[A-Za-z0-9._-]{1,128}$";

/// Pattern for words in JSON schemas.
const WORD_PATTERN: &str = "^[!-~]{1,128}$";

/// Error for text that is not a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{kind} '{text}' is not valid: 1 to {MAX_ID_BYTES} of {allowed} are allowed")]
pub struct IdError {
    kind: &'static str,
    text: String,
    allowed: &'static str,
}

fn check(kind: &'static str, text: &str) -> Result<(), IdError> {
    let is_plain = |b: u8| b.is_ascii_alphanumeric() || b"._-".contains(&b);
    check_bytes(kind, text, "letters, digits, '.', '_', '-'", is_plain)
}

/// Checks a word that others chose, which is kept as it is.
fn check_word(kind: &'static str, text: &str) -> Result<(), IdError> {
    let is_visible = |b: u8| b.is_ascii_graphic();
    check_bytes(kind, text, "visible ASCII characters", is_visible)
}

fn check_bytes(
    kind: &'static str,
    text: &str,
    allowed: &'static str,
    is_allowed: impl Fn(u8) -> bool,
) -> Result<(), IdError> {
    let fits = !text.is_empty() && text.len() <= MAX_ID_BYTES;
    if fits && text.bytes().all(is_allowed) {
        return Ok(());
    }
    let text = text.chars().take(MAX_ID_BYTES).collect();
    Err(IdError {
        kind,
        text,
        allowed,
    })
}

/// Reads an identifier without a copy of its text in between.
struct TextVisitor<T>(marker::PhantomData<T>);

impl<T: str::FromStr<Err = IdError>> serde::de::Visitor<'_> for TextVisitor<T> {
    type Value = T;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an identifier")
    }

    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<T, E> {
        text.parse().map_err(E::custom)
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        text_id!($(#[$doc])* $name, check, ID_PATTERN);
    };
    ($(#[$doc:meta])* $name:ident, $check:path, $pattern:expr) => {
        $(#[$doc])*
        ///
        /// Copies share their text.
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(sync::Arc<str>);

        impl $name {
            /// Returns the identifier as text.
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
                $check(stringify!($name), text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                text.parse()
            }
        }

        impl serde::Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                deserializer.deserialize_str(TextVisitor::<Self>(marker::PhantomData))
            }
        }

        impl schemars::JsonSchema for $name {
            fn schema_name() -> borrow::Cow<'static, str> {
                stringify!($name).into()
            }

            fn json_schema(_: &mut schemars::SchemaGenerator) -> schemars::Schema {
                schemars::json_schema!({"type": "string", "pattern": $pattern})
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.as_str().to_owned()
            }
        }
    };
}

text_id!(
    /// Identifier of a caller's workspace, the unit of authentication and limits.
    WorkspaceId
);
text_id!(
    /// Name of a model or plain service, independent of the endpoints that serve it.
    ServiceName
);
text_id!(
    /// Identifier of an endpoint: a model engine or a replica of a plain service.
    EndpointId
);
text_id!(
    /// Identifier of an instance: one gateway or dispatcher process.
    InstanceId
);
text_id!(
    /// Name of a failure domain.
    DomainName
);
text_id!(
    /// Identifier of a batch job.
    JobId
);
text_id!(
    /// Identifier of an uploaded file.
    FileId
);
text_id!(
    /// Identifier of one attempt of a request; endpoints echo it.
    AttemptId
);

text_id!(
    /// Version of the software that an endpoint runs. Versions have no order.
    SoftwareVersion,
    check_word,
    WORD_PATTERN
);
text_id!(
    /// Name of a caller's request, unique to each of its tries.
    RequestName,
    check_word,
    WORD_PATTERN
);

/// Zero-based index of a chunk in its file.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct ChunkIndex(pub u32);

impl fmt::Display for ChunkIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Zero-padded, so that keys sort in chunk order.
        write!(f, "{:06}", self.0)
    }
}

impl str::FromStr for ChunkIndex {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// Generates a unique identifier from `prefix` and a random UUID (version 4).
pub fn unique(prefix: &str) -> String {
    format!("{prefix}-{}", uuid::Uuid::new_v4().simple())
}

/// Start time of an endpoint by its own clock, in milliseconds since the Unix epoch.
///
/// Together with the endpoint identifier, it identifies one run of the endpoint: no
/// requests or other state survive a restart.
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

/// Identifier of one run of an endpoint, from start to exit.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct EndpointRun {
    /// Endpoint identifier.
    pub endpoint: EndpointId,
    /// Start time of the run, if the endpoint entry contains it.
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

/// Random number that identifies a run of an instance.
///
/// Start times would be ambiguous, because clocks can be set back.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct RunNumber(u64);

impl RunNumber {
    /// Generates the number of a new run.
    pub fn random() -> Self {
        Self(rand::random())
    }

    /// Returns the low half of the number, which is enough to tell successive runs apart.
    pub fn low_bits(self) -> u32 {
        self.0 as u32
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

/// Identifier of one run of an instance, from start to exit.
///
/// A new run keeps nothing that the previous one held.
#[derive(Debug, Clone, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct InstanceRun {
    /// Instance identifier.
    pub instance: InstanceId,
    /// Number of the run.
    pub run: RunNumber,
}

impl fmt::Display for InstanceRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.instance, self.run)
    }
}

/// Implements the conversions of a digest to and from its hexadecimal text.
macro_rules! hex_digest {
    ($name:ident) => {
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        impl str::FromStr for $name {
            type Err = num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                u128::from_str_radix(text, 16).map(Self)
            }
        }

        impl serde::Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = String::deserialize(deserializer)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

/// Digest of the content of a request.
///
/// All attempts of a request have the same digest, regardless of the sender and of the
/// instance that receives them.
///
/// With 128 bits, the probability of a collision among a billion requests is about 1 in
/// 10^21.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestDigest(u128);

impl RequestDigest {
    /// Computes the digest of a request.
    pub fn of(method: &str, host: &str, uri: &str, body: &[u8]) -> Self {
        let mut hasher = xxh3::Xxh3::new();
        for part in [method.as_bytes(), host.as_bytes(), uri.as_bytes(), body] {
            // The length prefix keeps different splits of the same bytes distinct.
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest128())
    }
}

hex_digest!(RequestDigest);

/// Digest of a part that prompts share, for the model that reads it.
///
/// Parts are named by their content, so requests of all callers that share a part have the
/// same digest for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartDigest(u128);

impl PartDigest {
    /// Computes the digest of the part `id` of prompts for a model.
    pub fn of(model: &str, id: &str) -> Self {
        let mut hasher = xxh3::Xxh3::new();
        hasher.update(&(model.len() as u64).to_le_bytes());
        hasher.update(model.as_bytes());
        hasher.update(id.as_bytes());
        Self(hasher.digest128())
    }
}

hex_digest!(PartDigest);

/// What crashes of endpoints are attributed to: a request, by its content, or a part that
/// prompts share.
///
/// Both are written in the same form, so processes that know no parts pass them on. A subject
/// that begins with `PART_TAG` is a part; of requests one in four billion does so by chance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashSubject(u128);

impl CrashSubject {
    const PART_TAG: u32 = 0x7061_7274;
    const TAG_SHIFT: u32 = u128::BITS - u32::BITS;

    /// Returns whether it is a part of prompts.
    pub fn is_part(self) -> bool {
        self.0 >> Self::TAG_SHIFT == u128::from(Self::PART_TAG)
    }

    /// Returns the name of its kind for log lines.
    pub fn kind(self) -> &'static str {
        match self.is_part() {
            true => "part",
            false => "request",
        }
    }
}

impl From<RequestDigest> for CrashSubject {
    fn from(digest: RequestDigest) -> Self {
        Self(digest.0)
    }
}

impl From<PartDigest> for CrashSubject {
    fn from(digest: PartDigest) -> Self {
        let tag = u128::from(Self::PART_TAG) << Self::TAG_SHIFT;
        Self(digest.0 << u32::BITS >> u32::BITS | tag)
    }
}

hex_digest!(CrashSubject);

/// Digest of the name under which a stream began and of the workspace that it is served for.
///
/// A collision has the same probability as that of two [`RequestDigest`]s.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamKey(u128);

impl StreamKey {
    /// Returns the key of no stream.
    pub fn random() -> Self {
        Self(rand::random())
    }

    /// Computes the key of the stream whose first event was sent to the request `name`.
    pub fn of(workspace: Option<&WorkspaceId>, name: &RequestName) -> Self {
        let mut hasher = xxh3::Xxh3::new();
        for part in [workspace.map_or("", WorkspaceId::as_str), name.as_str()] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        Self(hasher.digest128())
    }
}

hex_digest!(StreamKey);
