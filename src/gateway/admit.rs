//! Admission of a workspace's request at this gateway.

use std::sync;

use super::{caller_request, context};
use crate::{decisions::workspace_limit, error, ids};

/// A request's place in its workspace's share; given back when dropped.
pub struct WorkspaceSlot {
    context: sync::Arc<context::GatewayContext>,
    workspace: ids::WorkspaceId,
}

impl Drop for WorkspaceSlot {
    fn drop(&mut self) {
        self.context.limits().end(&self.workspace);
    }
}

/// Takes a place for the request, or says when to come back.
///
/// # Errors
/// The workspace is over its share.
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
        Err(refusal) => Err(refused(refusal)),
    }
}

fn refused(refusal: workspace_limit::LimitRefusal) -> error::ApiError {
    let code = error::ErrorCode::LimitReached;
    match refusal {
        workspace_limit::LimitRefusal::Concurrency => {
            error::ApiError::not_run(code, "the workspace has too many requests at once")
        }
        workspace_limit::LimitRefusal::Rate(wait) => {
            let message = "the workspace has too many requests a second";
            let mut error = error::ApiError::not_run(code, message);
            // Whole seconds, at least one: that is what the header can say.
            let seconds = wait.as_secs_f64().ceil().max(1.0);
            error.retry_after = Some(std::time::Duration::from_secs(seconds as u64));
            error
        }
    }
}
