//! Messages between gateways and quota servers.

use crate::{
    clock,
    decisions::rate_limits::{share_clock, start_credit, token_pools},
    ids,
};

/// Time by the monotonic clock of the process that made the stamp.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ClockStamp(u64);

impl ClockStamp {
    /// Creates the stamp of a time of this process.
    pub fn of(time: clock::MonotonicTime) -> Self {
        Self(time.0)
    }

    /// Returns the time of a stamp that this process made.
    pub fn time(self) -> clock::MonotonicTime {
        clock::MonotonicTime(self.0)
    }
}

/// A gateway's share of all limits over a time, for the pools of one quota server.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ShareDeposit {
    /// Number of the deposit, unique within the gateway's run.
    pub number: share_clock::DepositNumber,
    /// Share of time that is deposited.
    pub time: share_clock::ShareTime,
    /// Set of the quota servers that the gateway knows.
    pub view: share_clock::QuotaServerView,
    /// Run of the quota server that made the stamp.
    pub run: ids::RunNumber,
    /// Latest stamp of the quota server that the gateway has received.
    pub stamp: ClockStamp,
    /// Start credit of the gateway, in the first deposit of its run with the quota server.
    pub start_credit: Option<start_credit::GatewayFraction>,
}

/// A request for tokens of a workspace.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TokenRequest {
    /// Workspace whose tokens are requested.
    pub workspace: ids::WorkspaceId,
    /// Maximum number of tokens to grant.
    pub wanted: u32,
}

/// Response to a request for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum TokenResponse {
    /// Number of granted tokens, at least one.
    Tokens(u32),
    /// No token was granted; the next is available after this time in milliseconds.
    Empty(u32),
    /// The process is no quota server of the workspace, or knows no limit of it.
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
