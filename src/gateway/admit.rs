//! Admission of a workspace's request at this gateway.

use std::sync;

use super::{caller_request, context};
use crate::{decisions::workspace_limit, error, ids};

/// Held slot of a workspace's share of concurrent requests; released on drop.
pub struct WorkspaceSlot {
    context: sync::Arc<context::GatewayContext>,
    workspace: ids::WorkspaceId,
}

impl Drop for WorkspaceSlot {
    fn drop(&mut self) {
        self.context.limits().end(&self.workspace);
    }
}

/// Acquires a slot of the workspace's share at this gateway for a request.
///
/// # Errors
/// Returns `LimitReached` if the workspace has used up its share; for a rate limit, the error
/// carries the time after which to retry.
pub fn admit(
    context: &sync::Arc<context::GatewayContext>,
    terms: &caller_request::CallerTerms,
) -> error::ApiResult<WorkspaceSlot> {
    let gateways = context.fleet.snapshot().gateway_count();
    let workspace = &terms.workspace;
    let share = workspace_limit::WorkspaceShare::of_fleet(
        workspace.max_concurrency,
        workspace.max_requests_per_second,
        gateways,
    );
    let now = context.clock.now();
    let begun = context.limits().begin(&workspace.id, share, now);
    match begun {
        Ok(()) => Ok(WorkspaceSlot {
            context: context.clone(),
            workspace: workspace.id.clone(),
        }),
        Err(refusal) => Err(limit_error(refusal)),
    }
}

fn limit_error(refusal: workspace_limit::LimitRefusal) -> error::ApiError {
    let code = error::ErrorCode::LimitReached;
    match refusal {
        workspace_limit::LimitRefusal::Concurrency => {
            error::ApiError::not_run(code, "the workspace has too many requests at once")
        }
        workspace_limit::LimitRefusal::Rate(wait) => {
            let message = "the workspace has too many requests a second";
            let mut error = error::ApiError::not_run(code, message);
            // The Retry-After header takes whole seconds.
            let seconds = wait.as_secs_f64().ceil().max(1.0);
            error.retry_after = Some(std::time::Duration::from_secs(seconds as u64));
            error
        }
    }
}
