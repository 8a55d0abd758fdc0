//! What a process does when its machine was suspended for a while.
//!
//! Ages and deadlines are by a clock that counts on meanwhile ([`clock::BootInstant`]).
//! Timers of the runtime do not: what waits for one is woken here, and looks at the
//! clock again.

use std::{rc, time};

use super::{context, fleet_source};
use crate::clock;

/// How often it is looked whether the machine was suspended. A request whose caller has
/// left meanwhile holds its place for so long at most.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Notices suspensions, and has all that is outdated by them looked at again.
pub(super) async fn follow(context: rc::Rc<context::ProcessContext>) {
    let mut gauge = clock::SuspensionGauge::default();
    loop {
        actix_rt::time::sleep(POLL_INTERVAL).await;
        let Some(duration) = gauge.take() else {
            continue;
        };
        log::warn!("event=suspended ms={}", duration.as_millis());
        context.wakes.send_modify(|count| *count += 1);
        // Watches that were under way may have ended at the store without a word.
        context.fleet.apply(fleet_source::FleetUpdate::Recovered);
        context.members_changed.notify_one();
    }
}

/// Resolves when a time is over, though the machine is suspended meanwhile.
///
/// `left` tells how much of it is left, by a clock that counts on.
pub(super) async fn sleep_remaining(
    context: &context::ProcessContext,
    remaining: impl Fn() -> time::Duration,
) {
    let mut wakes = context.wakes.subscribe();
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
