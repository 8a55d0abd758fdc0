//! Generation requests: `/v1/chat/completions` and `/v1/completions`.

use std::{sync, time};

use super::{admit, caller_request, context, stream_relay, whole_call};
use crate::{decisions::routing, error, http_server, platform, wire};

/// Answers a generation request, whole or as events.
///
/// # Errors
/// The final error to answer with.
pub async fn serve(
    context: &sync::Arc<context::GatewayContext>,
    client: &awc::Client,
    terms: caller_request::CallerTerms,
    mut request: actix_http::Request,
) -> error::ApiResult<http_server::HttpResponse> {
    let limits = &context.settings.callers.limits;
    let timeout = time::Duration::from_millis(limits.body_timeout_ms);
    let body = caller_request::read_body(&mut request, limits.body_bytes, timeout).await?;
    let wanted: wire::GenerationRequest = caller_request::parse_json(&body)?;
    check(&wanted, request.path(), context)?;
    let slot = admit::admit(context, &terms)?;
    let call = whole_call::WholeCall {
        affinity: routing::affinity_key(&wanted.model, &wanted.prompt_text()),
        service: wanted.model,
        kind: platform::EndpointKind::Engine,
        method: actix_http::Method::POST,
        path: request.path().to_owned(),
        content_type: "application/json".into(),
        body,
        repeatable: !terms.forbids_repeat,
    };
    if wanted.stream {
        return stream_relay::serve(context, client, terms, call, slot).await;
    }
    let response = whole_call::run_once(context, client, &terms, call).await?;
    drop(slot);
    Ok(whole_call::to_http(&response))
}

/// Most tokens that an answer may be asked to have.
const MAX_ANSWER_TOKENS: u32 = 1_000_000;

fn check(
    wanted: &wire::GenerationRequest,
    path: &str,
    context: &context::GatewayContext,
) -> error::ApiResult<()> {
    let invalid = |message: &str| {
        let code = error::ErrorCode::InvalidRequest;
        Err(error::ApiError::not_run(code, message))
    };
    if wire::is_chat(path) && wanted.messages.is_empty() {
        return invalid("the body at 'messages': found none, at least one is needed");
    }
    if !wire::is_chat(path) && wanted.prompt.is_none() {
        return invalid("the body at 'prompt': a text is needed");
    }
    if !(1..=MAX_ANSWER_TOKENS).contains(&wanted.token_limit()) {
        return invalid("the body at 'max_tokens': 1 to 1000000 are allowed");
    }
    if !context.fleet.snapshot().bundle.has_model(&wanted.model) {
        let message = format!("no such model: '{}'", wanted.model);
        return Err(error::ApiError::not_run(
            error::ErrorCode::NotFound,
            message,
        ));
    }
    Ok(())
}
