//! How one attempt of a request ended.
//!
//! [`NotRunProof`] can only be made from evidence, so a false "not run" cannot
//! be written elsewhere.

use std::fmt;

use crate::error;

/// Evidence that an attempt did not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NotRunProof(NotRunReason);

/// Why an attempt cannot have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunReason {
    /// No connection was made.
    NeverConnected,
    /// The endpoint refused it.
    RefusedByEndpoint,
    /// Another endpoint than the expected one was there, and refused it.
    OtherEndpoint,
    /// It was given up before it was handed to a connection.
    NeverSent,
}

impl fmt::Display for NotRunReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NeverConnected => "no_connection",
            Self::RefusedByEndpoint => "endpoint_full",
            Self::OtherEndpoint => "other_endpoint",
            Self::NeverSent => "never_sent",
        })
    }
}

impl NotRunProof {
    /// No connection was made, so no byte was sent.
    pub fn never_connected(error: &awc::error::SendRequestError) -> Option<Self> {
        match error {
            awc::error::SendRequestError::Connect(awc::error::ConnectError::Disconnected) => None,
            awc::error::SendRequestError::Connect(_) => Some(Self(NotRunReason::NeverConnected)),
            _ => None,
        }
    }

    /// No connection was made, so no byte was sent.
    pub fn no_connection(_: &std::io::Error) -> Self {
        Self(NotRunReason::NeverConnected)
    }

    /// The endpoint's own word, as an adapter of its wire reads it.
    pub fn refused_by_endpoint() -> Self {
        Self(NotRunReason::RefusedByEndpoint)
    }

    /// The word of another endpoint, which has the address of the expected one.
    pub fn refused_by_other() -> Self {
        Self(NotRunReason::OtherEndpoint)
    }

    /// The endpoint's own word in the header [`crate::wire::RAN_HEADER`].
    pub fn refused_by(ran_header: Option<&str>) -> Option<Self> {
        (ran_header == Some("no")).then_some(Self(NotRunReason::RefusedByEndpoint))
    }

    /// The attempt was given up before it was handed to a connection.
    pub fn never_sent() -> Self {
        Self(NotRunReason::NeverSent)
    }

    /// Why it cannot have run.
    pub fn reason(&self) -> NotRunReason {
        self.0
    }
}

/// How an attempt ended.
#[derive(Debug)]
pub enum AttemptOutcome<T> {
    /// The whole answer, checked to belong to the attempt.
    Completed(T),
    /// It did not run.
    NotRun(NotRunProof),
    /// The endpoint answered that it failed.
    Failed(String),
    /// It may have run.
    Unknown(String),
}

impl<T> AttemptOutcome<T> {
    /// Whether another attempt is allowed for a request that is `repeatable` or not.
    pub fn may_retry(&self, repeatable: bool) -> bool {
        match self {
            Self::Completed(_) => false,
            Self::NotRun(_) => true,
            Self::Failed(_) | Self::Unknown(_) => repeatable,
        }
    }

    /// The final answer to give for the attempt, if it is not a success.
    pub fn into_result(self) -> error::ApiResult<T> {
        match self {
            Self::Completed(value) => Ok(value),
            Self::NotRun(_) => Err(error::ApiError::not_run(
                error::ErrorCode::Overloaded,
                "no endpoint took the request",
            )),
            Self::Failed(reason) => Err(error::ApiError::ran(
                error::ErrorCode::EndpointFailed,
                error::RanReport::Yes,
                reason,
            )),
            Self::Unknown(reason) => Err(error::ApiError::ran(
                error::ErrorCode::OutcomeUnknown,
                error::RanReport::Unknown,
                reason,
            )),
        }
    }
}
