//! Monotonic time as a value, so that decisions can be driven by tests.

use std::{fmt, ops, sync, time};

/// A point in monotonic time, in microseconds since an origin of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct MonotonicTime(pub u64);

impl MonotonicTime {
    /// Time since an earlier moment; zero if that one is later.
    pub fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The moment so long before; the origin if there was none.
    pub fn before(self, duration: time::Duration) -> Self {
        Self(self.0.saturating_sub(duration.as_micros() as u64))
    }
}

impl ops::Add<time::Duration> for MonotonicTime {
    type Output = Self;

    fn add(self, duration: time::Duration) -> Self {
        Self(self.0.saturating_add(duration.as_micros() as u64))
    }
}

impl fmt::Display for MonotonicTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}

/// Where the shells take the time from.
pub trait MonotonicClock: Send + Sync {
    /// The time now.
    fn now(&self) -> MonotonicTime;
}

/// A point in time by a clock that counts on while the machine is suspended.
///
/// The steady clock of the standard library stands still meanwhile: what it says is
/// young may be long outdated, as a view, a connection or what a caller still waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(time::Duration);

impl BootInstant {
    /// The time now.
    pub fn now() -> Self {
        let since_boot = nix::time::ClockId::CLOCK_BOOTTIME.now();
        Self(since_boot.map_or_else(|_| since_first_use(), time::Duration::from))
    }

    /// Time since then.
    pub fn elapsed(self) -> time::Duration {
        Self::now().duration_since(self)
    }

    /// Time since an earlier point; zero if that one is later.
    pub fn duration_since(self, earlier: Self) -> time::Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl ops::Add<time::Duration> for BootInstant {
    type Output = Self;

    fn add(self, duration: time::Duration) -> Self {
        Self(self.0.saturating_add(duration))
    }
}

/// The steady clock, where a kernel does not give the other one.
fn since_first_use() -> time::Duration {
    static FIRST: sync::OnceLock<time::Instant> = sync::OnceLock::new();
    FIRST.get_or_init(time::Instant::now).elapsed()
}

/// Tells how long the machine was suspended.
#[derive(Debug, Clone, Copy)]
pub struct SuspensionGauge {
    begun: BootInstant,
    steady: time::Instant,
}

impl Default for SuspensionGauge {
    fn default() -> Self {
        Self {
            begun: BootInstant::now(),
            steady: time::Instant::now(),
        }
    }
}

impl SuspensionGauge {
    /// Time since the last question in which the machine was suspended, if it was.
    pub fn take(&mut self) -> Option<time::Duration> {
        let passed = self.begun.elapsed();
        let counted = self.steady.elapsed();
        *self = Self::default();
        let lost = passed.saturating_sub(counted);
        (lost >= LEAST_SUSPENSION).then_some(lost)
    }
}

/// Differences of the two clocks up to this are of reading them one after the other.
const LEAST_SUSPENSION: time::Duration = time::Duration::from_millis(100);

/// Moments that lie before the start of a process, as what others saw before it.
const PAST: time::Duration = time::Duration::from_secs(30 * 24 * 3600);

/// The system's monotonic clock, which counts on while the machine is suspended.
pub struct SystemClock {
    origin: BootInstant,
}

impl Default for SystemClock {
    fn default() -> Self {
        Self {
            origin: BootInstant::now(),
        }
    }
}

impl MonotonicClock for SystemClock {
    fn now(&self) -> MonotonicTime {
        let since = PAST + self.origin.elapsed();
        MonotonicTime(since.as_micros() as u64)
    }
}

/// Milliseconds since the epoch.
pub fn epoch_ms() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}
