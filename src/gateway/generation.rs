//! Generation requests: `/v1/chat/completions` and `/v1/completions`.

use std::{sync, time};

use super::{admit, caller_request, context, stream_relay, whole_call};
use crate::{decisions::routing, error, http_server, platform, wire};

/// Serves a generation request, with a single response or a stream of events.
///
/// # Errors
/// Returns the error for the caller if the request is invalid or refused, or its attempts failed.
pub async fn serve(
    context: &sync::Arc<context::GatewayContext>,
    client: &awc::Client,
    terms: caller_request::CallerTerms,
    mut request: actix_http::Request,
) -> error::ApiResult<http_server::HttpResponse> {
    let limits = &context.settings.callers.limits;
    let timeout = time::Duration::from_millis(limits.body_timeout_ms);
    let body = caller_request::read_body(&mut request, limits.body_bytes, timeout).await?;
    let generation_request: wire::GenerationRequest = caller_request::parse_json(&body)?;
    check_request(&generation_request, request.path(), context)?;
    let slot = admit::admit(context, &terms)?;
    let call = whole_call::WholeCall {
        affinity: routing::affinity_key(
            &generation_request.model,
            &generation_request.prompt_text(),
        ),
        service: generation_request.model,
        kind: platform::EndpointKind::Engine,
        method: actix_http::Method::POST,
        path: request.path().to_owned(),
        content_type: "application/json".into(),
        body,
        repeatable: !terms.forbids_repeat,
    };
    if generation_request.stream {
        return stream_relay::serve(context, client, terms, call, slot).await;
    }
    let response = whole_call::run_measured(context, client, &terms, call).await?;
    drop(slot);
    Ok(whole_call::to_http(&response))
}

/// Maximum number of tokens that a request may ask for.
const MAX_RESPONSE_TOKENS: u32 = 1_000_000;

fn check_request(
    generation_request: &wire::GenerationRequest,
    path: &str,
    context: &context::GatewayContext,
) -> error::ApiResult<()> {
    let invalid = |message: &str| {
        let code = error::ErrorCode::InvalidRequest;
        Err(error::ApiError::not_run(code, message))
    };
    if wire::is_chat(path) && generation_request.messages.is_empty() {
        return invalid("the body at 'messages': found none, at least one is needed");
    }
    if !wire::is_chat(path) && generation_request.prompt.is_none() {
        return invalid("the body at 'prompt': a text is needed");
    }
    if !(1..=MAX_RESPONSE_TOKENS).contains(&generation_request.token_limit()) {
        return invalid("the body at 'max_tokens': 1 to 1000000 are allowed");
    }
    if !context
        .fleet
        .snapshot()
        .bundle
        .has_model(&generation_request.model)
    {
        let message = format!("no such model: '{}'", generation_request.model);
        return Err(error::ApiError::not_run(
            error::ErrorCode::NotFound,
            message,
        ));
    }
    Ok(())
}
