//! Names and identifiers, each a type of its own so that they cannot be mixed up.

use std::{borrow, fmt, str};

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
