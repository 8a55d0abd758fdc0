//! Outcome of one attempt of a request.
//!
//! A [`NotRunProof`] can be created only by its own functions, each of which requires
//! evidence, so that no other code can wrongly report "not run".

use std::fmt;

use crate::error;

/// Proof that an attempt did not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NotRunProof(NotRunReason);

/// Reason why an attempt cannot have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunReason {
    /// No connection was established.
    NeverConnected,
    /// The endpoint rejected the attempt.
    RefusedByEndpoint,
    /// A different endpoint was at the address and rejected the attempt.
    OtherEndpoint,
    /// The attempt was abandoned before it was passed to a connection.
    NeverSent,
    /// The connection was closed before any byte of the attempt was written.
    ClosedBeforeSend,
    /// The endpoint has started again since it was chosen, and was not sent the attempt.
    StartedAgain,
    /// The endpoint did not confirm its start, and was not sent the attempt.
    StartUnconfirmed,
}

impl fmt::Display for NotRunReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NeverConnected => "no_connection",
            Self::RefusedByEndpoint => "endpoint_full",
            Self::OtherEndpoint => "other_endpoint",
            Self::NeverSent => "never_sent",
            Self::ClosedBeforeSend => "closed_before_send",
            Self::StartedAgain => "started_again",
            Self::StartUnconfirmed => "start_unconfirmed",
        })
    }
}

impl NotRunProof {
    /// Returns a proof if no connection was established, so that no byte was sent.
    pub fn never_connected(error: &awc::error::SendRequestError) -> Option<Self> {
        match error {
            awc::error::SendRequestError::Connect(awc::error::ConnectError::Disconnected) => None,
            awc::error::SendRequestError::Connect(_) => Some(Self(NotRunReason::NeverConnected)),
            _ => None,
        }
    }

    /// Creates a proof from a connection error, after which no byte was sent.
    pub fn no_connection(_: &std::io::Error) -> Self {
        Self(NotRunReason::NeverConnected)
    }

    /// Creates a proof from the error of a connection on which no byte was written.
    pub fn closed_before_send(_: &std::io::Error) -> Self {
        Self(NotRunReason::ClosedBeforeSend)
    }

    /// Creates a proof from a rejection by the endpoint, as decoded by a protocol adapter.
    pub fn refused_by_endpoint() -> Self {
        Self(NotRunReason::RefusedByEndpoint)
    }

    /// Creates a proof from a rejection by a different endpoint at the expected address.
    pub fn refused_by_other() -> Self {
        Self(NotRunReason::OtherEndpoint)
    }

    /// Returns a proof if the header [`crate::wire::RAN_HEADER`] reports that the endpoint
    /// rejected the attempt before running it.
    pub fn refused_by(ran_header: Option<&str>) -> Option<Self> {
        (ran_header == Some("no")).then_some(Self(NotRunReason::RefusedByEndpoint))
    }

    /// Creates a proof for an attempt abandoned before it was passed to a connection.
    pub fn never_sent() -> Self {
        Self(NotRunReason::NeverSent)
    }

    /// Creates a proof for an attempt that was not sent, as the endpoint has started again.
    pub fn started_again() -> Self {
        Self(NotRunReason::StartedAgain)
    }

    /// Creates a proof for an attempt that was not sent, as the endpoint did not confirm its
    /// start.
    pub fn start_unconfirmed() -> Self {
        Self(NotRunReason::StartUnconfirmed)
    }

    /// Returns the reason why the attempt cannot have run.
    pub fn reason(&self) -> NotRunReason {
        self.0
    }
}

/// Outcome of an attempt.
#[derive(Debug)]
pub enum AttemptOutcome<T> {
    /// The attempt completed, and the response was checked to belong to it.
    Completed(T),
    /// The attempt did not run.
    NotRun(NotRunProof),
    /// The endpoint reported a failure.
    Failed(String),
    /// The attempt may have run.
    Unknown(String),
}

impl<T> AttemptOutcome<T> {
    /// Returns whether another attempt is allowed, given whether the request is `repeatable`.
    pub fn may_retry(&self, repeatable: bool) -> bool {
        match self {
            Self::Completed(_) => false,
            Self::NotRun(_) => true,
            Self::Failed(_) | Self::Unknown(_) => repeatable,
        }
    }

    /// Converts the outcome into the result for the caller if there is no further attempt.
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
