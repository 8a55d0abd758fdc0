//! Monotonic time as a value, so that tests can control the time used for decisions.

use std::{fmt, ops, sync, time};

/// Point in monotonic time, in microseconds since a process-specific origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct MonotonicTime(pub u64);

impl MonotonicTime {
    /// Returns the time elapsed since `earlier`, or zero if it is later than `self`.
    pub fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time `duration` earlier, saturating at the origin.
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

/// Source of monotonic time.
pub trait MonotonicClock: Send + Sync {
    /// Returns the current time.
    fn now(&self) -> MonotonicTime;
}

/// Point in time on a clock that keeps counting while the machine is suspended.
///
/// The monotonic clock of the standard library stops during suspension. By that clock,
/// an outdated snapshot, connection or request deadline can still appear recent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(time::Duration);

impl BootInstant {
    /// Returns the current time.
    pub fn now() -> Self {
        let since_boot = nix::time::ClockId::CLOCK_BOOTTIME.now();
        Self(since_boot.map_or_else(|_| since_first_use(), time::Duration::from))
    }

    /// Returns the time elapsed since this point.
    pub fn elapsed(self) -> time::Duration {
        Self::now().duration_since(self)
    }

    /// Returns the time elapsed since `earlier`, or zero if it is later than `self`.
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

/// Returns the time since the first call, by the standard library's clock.
///
/// Fallback for kernels without `CLOCK_BOOTTIME`.
fn since_first_use() -> time::Duration {
    static FIRST: sync::OnceLock<time::Instant> = sync::OnceLock::new();
    FIRST.get_or_init(time::Instant::now).elapsed()
}

/// Gauge of the time that the machine spent suspended.
#[derive(Debug, Clone, Copy)]
pub struct SuspensionGauge {
    boot: BootInstant,
    monotonic: time::Instant,
}

impl Default for SuspensionGauge {
    fn default() -> Self {
        Self {
            boot: BootInstant::now(),
            monotonic: time::Instant::now(),
        }
    }
}

impl SuspensionGauge {
    /// Returns the time spent suspended since the last call, if any, and resets the gauge.
    pub fn take(&mut self) -> Option<time::Duration> {
        let boot_elapsed = self.boot.elapsed();
        let monotonic_elapsed = self.monotonic.elapsed();
        *self = Self::default();
        let suspended = boot_elapsed.saturating_sub(monotonic_elapsed);
        (suspended >= MIN_SUSPENSION).then_some(suspended)
    }
}

/// Minimum clock difference that counts as suspension.
///
/// Smaller differences can arise because the two clocks are read one after the other.
const MIN_SUSPENSION: time::Duration = time::Duration::from_millis(100);

/// Offset of the process start from the origin.
///
/// Leaves room to represent events that other processes observed before this one started.
const ORIGIN_OFFSET: time::Duration = time::Duration::from_secs(30 * 24 * 3600);

/// System clock that keeps counting while the machine is suspended.
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
        let since = ORIGIN_OFFSET + self.origin.elapsed();
        MonotonicTime(since.as_micros() as u64)
    }
}

/// Returns the current wall-clock time, in milliseconds since the Unix epoch.
pub fn epoch_ms() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}
