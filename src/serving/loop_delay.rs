//! Reports delays of the event loop: the process was paused, or its machine overloaded.

use std::time;

use super::context;
use crate::clock;

/// Minimum delay that is reported; owners and peers treat a silence of this length as a loss.
const MIN_REPORTED: time::Duration = time::Duration::from_millis(250);

/// Timer that is expected to fire after an interval.
pub(super) struct ExpectedWakeup {
    due_at: clock::MonotonicTime,
}

impl ExpectedWakeup {
    /// Starts a timer of the interval.
    pub(super) fn after(context: &context::ProcessContext, interval: time::Duration) -> Self {
        Self {
            due_at: context.clock.now() + interval,
        }
    }

    /// Returns by how much the wake-up is late.
    pub(super) fn delay(&self, context: &context::ProcessContext) -> time::Duration {
        context.clock.now().since(self.due_at)
    }

    /// Logs and counts by how much the wake-up is late, if that is long.
    pub(super) fn report(&self, context: &context::ProcessContext) {
        let delay = self.delay(context);
        if delay < MIN_REPORTED {
            return;
        }
        log::info!("event=loop_delayed ms={}", delay.as_millis());
        context
            .metrics
            .loop_delay_ms
            .inc_by(delay.as_millis() as u64);
    }
}
