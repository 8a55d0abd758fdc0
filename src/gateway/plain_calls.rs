//! Requests to plain services: `/services/{service}/{path}`.

use std::{sync, time};

use super::{admit, caller_request, context, whole_call};
use crate::{error, http_server, ids, platform};

/// Splits `/services/{service}/{path}` into the service and the path at the service.
pub fn split_path(path: &str) -> Option<(&str, String)> {
    let rest = path.strip_prefix("/services/")?;
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    Some((service, format!("/{path}")))
}

/// Forwards a request to a plain service.
///
/// # Errors
/// Returns the error for the caller if the service is unknown, the request is refused, or its
/// attempts failed.
pub async fn serve(
    context: &sync::Arc<context::GatewayContext>,
    client: &awc::Client,
    terms: &caller_request::CallerTerms,
    mut request: actix_http::Request,
) -> error::ApiResult<http_server::HttpResponse> {
    let limits = &context.settings.callers.limits;
    let timeout = time::Duration::from_millis(limits.body_timeout_ms);
    let body = caller_request::read_body(&mut request, limits.body_bytes, timeout).await?;
    let bundle = context.fleet.snapshot().bundle.clone();
    let not_found = || {
        let message = "no such plain service";
        error::ApiError::not_run(error::ErrorCode::NotFound, message)
    };
    let (name, mut path) = split_path(request.path()).ok_or_else(not_found)?;
    let name: ids::ServiceName = name.parse().map_err(|_| not_found())?;
    let spec = bundle.service(&name).ok_or_else(not_found)?;
    if let Some(query) = request.uri().query() {
        path = format!("{path}?{query}");
    }
    let is_safe_method = matches!(
        *request.method(),
        actix_http::Method::GET | actix_http::Method::HEAD
    );
    let content_type = http_server::header(request.head(), "content-type");
    let call = whole_call::WholeCall {
        service: name,
        kind: platform::EndpointKind::Plain,
        affinity: 0,
        method: request.method().clone(),
        path,
        content_type: content_type
            .unwrap_or("application/octet-stream")
            .to_owned(),
        body,
        repeatable: !terms.forbids_repeat && (is_safe_method || spec.repeatable),
    };
    let _slot = admit::admit(context, terms)?;
    let response = whole_call::run_measured(context, client, terms, call).await?;
    Ok(whole_call::to_http(&response))
}
