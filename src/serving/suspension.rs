//! Handling of machine suspension.
//!
//! Ages and deadlines use a clock that includes the time of suspension
//! ([`clock::BootInstant`]). The timers of the runtime do not, so code that waits for one
//! is woken here and checks the clock again.

use std::{rc, time};

use super::{context, fleet_source};
use crate::clock;

/// Interval between two checks for a suspension. It bounds the time for which a request
/// whose client has disconnected meanwhile still holds its slot.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Detects suspensions and triggers a refresh of all state that may be outdated.
pub(super) async fn watch(context: rc::Rc<context::ProcessContext>) {
    let mut gauge = clock::SuspensionGauge::default();
    loop {
        actix_rt::time::sleep(POLL_INTERVAL).await;
        let Some(duration) = gauge.take() else {
            continue;
        };
        log::warn!("event=suspended ms={}", duration.as_millis());
        context.suspensions.send_modify(|count| *count += 1);
        // The store may have ended open watches without notice.
        context.fleet.apply(fleet_source::FleetUpdate::Recovered);
        context.members_updated.notify_one();
    }
}

/// Resolves when the remaining time is zero, even if the machine is suspended meanwhile.
///
/// `remaining` returns the time left by a clock that includes suspension.
pub(super) async fn sleep_remaining(
    context: &context::ProcessContext,
    remaining: impl Fn() -> time::Duration,
) {
    let mut wakes = context.suspensions.subscribe();
    loop {
        let duration = remaining();
        if duration.is_zero() {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(duration) => {}
            woken = wakes.changed() => if woken.is_err() {
                return tokio::time::sleep(remaining()).await;
            },
        }
    }
}
