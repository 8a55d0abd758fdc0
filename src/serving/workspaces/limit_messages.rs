//! What gateways and the keepers of pools say to each other.

use crate::{
    clock,
    decisions::rate_limits::{share_clock, token_pools},
    ids,
};

/// A moment by the clock of the process that made the stamp.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ClockStamp(u64);

impl ClockStamp {
    /// The stamp of a moment.
    pub fn of(moment: clock::MonotonicTime) -> Self {
        Self(moment.0)
    }

    /// The moment of a stamp of this process.
    pub fn moment(self) -> clock::MonotonicTime {
        clock::MonotonicTime(self.0)
    }
}

/// A gateway's share of all limits over a time, for the pools of one keeper.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ShareDeposit {
    /// Tells it from the others of the gateway's run.
    pub number: share_clock::DepositNumber,
    /// The share.
    pub time: share_clock::ShareTime,
    /// The keepers that the gateway knows.
    pub view: share_clock::QuotaServerView,
    /// The run of the keeper that made the stamp.
    pub run: ids::RunNumber,
    /// The latest stamp of the keeper that the gateway has read.
    pub stamp: ClockStamp,
}

/// A request for tokens of a workspace.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TokenRequest {
    /// The workspace.
    pub workspace: ids::WorkspaceId,
    /// Tokens that can be used.
    pub wanted: u32,
}

/// The answer to a request for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum TokenResponse {
    /// So many tokens, at least one.
    Tokens(u32),
    /// None; there is one again after so many milliseconds.
    Empty(u32),
    /// The process keeps no pool of the workspace, or knows no limit of it.
    NotKeeper,
}

impl From<token_pools::TokenGrant> for TokenResponse {
    fn from(grant: token_pools::TokenGrant) -> Self {
        match grant {
            token_pools::TokenGrant::Tokens(count) => Self::Tokens(count),
            token_pools::TokenGrant::Empty(wait) => {
                Self::Empty(u32::try_from(wait.as_millis()).unwrap_or(u32::MAX))
            }
            token_pools::TokenGrant::NotQuotaServer => Self::NotKeeper,
        }
    }
}
