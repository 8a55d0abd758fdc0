//! Start credits: tokens that a quota server credits once after a restart of all processes.
//!
//! Pools are empty after such a restart, as the tokens of the time before may have been spent
//! just before it. A part of the tolerance of the limits covers tokens that callers would
//! otherwise lack ([`super::rate_limit::RateLimit::start_credit`]). It may be used only once in a
//! window, also by runs of the quota server that follow one another.

use std::{fmt, time};

use crate::clock;

/// Fraction of the gateways that one gateway is.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize)]
pub struct GatewayFraction(f32);

impl GatewayFraction {
    /// Returns the fraction that is one of `gateways`.
    pub fn of(gateways: usize) -> Self {
        Self((1.0 / gateways.max(1) as f64) as f32)
    }

    /// Returns the fraction: from 0 to 1 whatever was received, and 0 for what is no number.
    pub fn value(self) -> f64 {
        match f64::from(self.0) {
            value if value > 0.0 => value.min(1.0),
            _ => 0.0,
        }
    }
}

/// Wall-clock time in milliseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EpochMs(pub u64);

/// Content of the start record on the disk of a quota server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartRecord {
    /// There is none.
    Missing,
    /// It cannot be read, or is not valid.
    Unreadable,
    /// Latest start of a run that may have accepted start credits.
    StartedAt(EpochMs),
}

/// Reason for which a quota server accepts no start credit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartCreditDenial {
    /// The process has no disk, or the settings hold no tolerance.
    NoDisk,
    /// The record has not been read and written yet; start credits are held.
    RecordPending,
    /// There is no record of an earlier run.
    NoRecord,
    /// The record cannot be read.
    RecordUnreadable,
    /// The record names a time in the future.
    RecordInFuture,
    /// An earlier run may have accepted start credits a short time ago.
    RecentStart,
    /// The record of this run could not be written.
    RecordUnwritten,
    /// This run is older than one window.
    RunTooOld,
    /// The list of quota servers is not complete yet.
    ListUnknown,
    /// The list of quota servers has changed since it was complete.
    ListChanged,
    /// The whole start credit has been accepted.
    UsedUp,
}

impl StartCreditDenial {
    /// Returns the name in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoDisk => "no_disk",
            Self::RecordPending => "record_pending",
            Self::NoRecord => "no_record",
            Self::RecordUnreadable => "record_unreadable",
            Self::RecordInFuture => "record_in_future",
            Self::RecentStart => "recent_start",
            Self::RecordUnwritten => "record_unwritten",
            Self::RunTooOld => "run_too_old",
            Self::ListUnknown => "list_unknown",
            Self::ListChanged => "list_changed",
            Self::UsedUp => "used_up",
        }
    }
}

impl fmt::Display for StartCreditDenial {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// What became of the start credit of a gateway.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum StartCreditOutcome {
    /// This fraction of the whole start credit is accepted.
    Accepted(f64),
    /// It waits for the start record to be read and written.
    Held,
    /// It is denied.
    Denied(StartCreditDenial),
}

impl StartCreditOutcome {
    /// Returns the name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Accepted(_) => "accepted",
            Self::Held => "held",
            Self::Denied(reason) => reason.name(),
        }
    }
}

/// What a starting quota server does with its start record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordDecision {
    /// Whether this run may accept start credits once its record is written.
    pub permission: Result<(), StartCreditDenial>,
    /// Whether the record is to be replaced by one of this run.
    pub writes: bool,
}

/// Number of windows between a recorded start and one that may accept start credits: a run
/// accepts them in its first window, a whole window and the time for which they deepen the
/// pools must lie between two acceptances, and the rest is for a wall clock that jumps ahead.
const MIN_WINDOWS_BETWEEN_STARTS: u32 = 3;

/// Decides on the start record that a process finds at its start.
///
/// A run that is denied for a recent start leaves the record as it is, so that it always names
/// the latest run that may have accepted start credits. All other records are replaced: without
/// a usable one, this run accepts nothing, but a later one may.
pub fn decide_on_record(
    found: StartRecord,
    now: EpochMs,
    window: time::Duration,
) -> RecordDecision {
    let denied = |reason| RecordDecision {
        permission: Err(reason),
        writes: true,
    };
    match found {
        StartRecord::Missing => denied(StartCreditDenial::NoRecord),
        StartRecord::Unreadable => denied(StartCreditDenial::RecordUnreadable),
        StartRecord::StartedAt(started_at) if started_at > now => {
            denied(StartCreditDenial::RecordInFuture)
        }
        StartRecord::StartedAt(started_at) => {
            let passed = time::Duration::from_millis(now.0 - started_at.0);
            match passed > window * MIN_WINDOWS_BETWEEN_STARTS {
                true => RecordDecision {
                    permission: Ok(()),
                    writes: true,
                },
                false => RecordDecision {
                    permission: Err(StartCreditDenial::RecentStart),
                    writes: false,
                },
            }
        }
    }
}

/// Start credits accepted by one run of a quota server.
///
/// Invariant: at most one whole start credit is accepted, all of it in the first window of the
/// run and under one list of quota servers.
#[derive(Debug, Clone)]
pub struct StartCreditGate {
    permission: Result<(), StartCreditDenial>,
    closes_at: clock::MonotonicTime,
    accepted: f64,
    /// Fraction that waits for the start record: the first deposits arrive within milliseconds,
    /// and the write of a record takes some.
    held: f64,
}

impl StartCreditGate {
    /// Creates the gate of a process that never accepts start credits.
    pub fn closed() -> Self {
        Self {
            permission: Err(StartCreditDenial::NoDisk),
            closes_at: clock::MonotonicTime::default(),
            accepted: 0.0,
            held: 0.0,
        }
    }

    /// Creates the gate of a run that started at `started_at` and reads its start record.
    pub fn starting_at(started_at: clock::MonotonicTime, window: time::Duration) -> Self {
        Self {
            permission: Err(StartCreditDenial::RecordPending),
            closes_at: started_at + window,
            accepted: 0.0,
            held: 0.0,
        }
    }

    /// Records the permission that follows from the start record, and returns what became of
    /// the start credits that waited for it. Later permissions, and those after the gate was
    /// closed, are ignored.
    pub fn set_permission(
        &mut self,
        permission: Result<(), StartCreditDenial>,
        now: clock::MonotonicTime,
    ) -> Option<StartCreditOutcome> {
        if self.permission == Err(StartCreditDenial::RecordPending) {
            self.permission = permission;
        }
        let held = std::mem::take(&mut self.held);
        (held > 0.0).then(|| self.accept_fraction(held, now))
    }

    /// Accepts no further start credits in this run.
    pub fn close(&mut self, reason: StartCreditDenial) {
        if matches!(
            self.permission,
            Ok(()) | Err(StartCreditDenial::RecordPending)
        ) {
            self.permission = Err(reason);
        }
    }

    /// Accepts, holds or denies the start credit of one gateway.
    pub fn accept(
        &mut self,
        fraction: GatewayFraction,
        now: clock::MonotonicTime,
    ) -> StartCreditOutcome {
        self.accept_fraction(fraction.value(), now)
    }

    fn accept_fraction(&mut self, fraction: f64, now: clock::MonotonicTime) -> StartCreditOutcome {
        if now > self.closes_at {
            self.close(StartCreditDenial::RunTooOld);
        }
        let room = 1.0 - self.accepted - self.held;
        let fraction = fraction.min(room);
        match self.permission {
            Ok(()) | Err(StartCreditDenial::RecordPending) if fraction <= 0.0 => {
                StartCreditOutcome::Denied(StartCreditDenial::UsedUp)
            }
            Err(StartCreditDenial::RecordPending) => {
                self.held += fraction;
                StartCreditOutcome::Held
            }
            Err(reason) => StartCreditOutcome::Denied(reason),
            Ok(()) => {
                self.accepted += fraction;
                StartCreditOutcome::Accepted(fraction)
            }
        }
    }
}
