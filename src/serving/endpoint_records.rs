//! Records what the holders of slots observed at owned endpoints.

use super::context;
use crate::{decisions::endpoint_speed, ids};

/// Records a sign of life of an owned endpoint, which ends the doubt about it.
pub(super) fn record_life(
    context: &context::ProcessContext,
    endpoint: &ids::EndpointId,
    sign: &str,
) {
    let now = context.clock.now();
    let doubted = context.permits.borrow_mut().record_life(endpoint, now);
    if let Some(duration) = doubted {
        log::info!(
            "event=endpoint_trusted endpoint={endpoint} sign={sign} suspect_ms={}",
            duration.as_millis()
        );
    }
}

/// Records what was observed of a run at an owned endpoint.
pub(super) fn record_run(
    context: &context::ProcessContext,
    endpoint: &ids::EndpointId,
    observation: &endpoint_speed::RunObservation,
) {
    let now = context.clock.now();
    let mut permits = context.permits.borrow_mut();
    let change = permits.record_run(endpoint, observation, now);
    drop(permits);
    if let Some(change) = change {
        log::info!(
            "event=endpoint_speed endpoint={endpoint} service={} time_ratio={:.2} before={:.2} run=\"{observation:?}\"",
            change.service,
            change.now,
            change.before,
        );
    }
}
