//! HTTP API of operators: bundles, graceful stops, and the state of the fleet.

use std::{sync, time};

use super::{caller_request, context, files};
use crate::{
    bundle,
    decisions::{bundle_steps, call_budget},
    error, fleet, http_server, ids, link,
    log_error::LogError as _,
    protection, settle, store,
};

/// Timeout for storing an operator's change.
const STEP_TIMEOUT: time::Duration = time::Duration::from_secs(8);
/// Maximum size of a bundle document, in bytes.
const MAX_BUNDLE_BYTES: usize = 32 << 20;
/// Maximum size of a stored part of a document, in bytes.
const MAX_PART_BYTES: usize = 900 << 10;
/// Header with the operator's name, for the bundle's history.
pub const OPERATOR_HEADER: &str = "x-operator";

/// Checks the operator's key and returns the operator's name.
fn authenticate(
    context: &context::GatewayContext,
    head: &actix_http::RequestHead,
) -> error::ApiResult<String> {
    let hash = caller_request::bearer(head)
        .map(bundle::hash_key)
        .unwrap_or_default();
    let known = &context.settings.operator_key_hashes;
    if !known.iter().any(|k| k.eq_ignore_ascii_case(&hash)) {
        return Err(error::ApiError::not_run(
            error::ErrorCode::InvalidApiKey,
            "the operator's key is missing or unknown",
        ));
    }
    Ok(http_server::header(head, OPERATOR_HEADER)
        .unwrap_or("operator")
        .to_owned())
}

/// Serves a request of an operator.
///
/// # Errors
/// Returns the error for the operator if the key or the request is invalid, the change conflicts
/// with the current state, or the object service cannot be reached.
pub async fn serve(
    context: &sync::Arc<context::GatewayContext>,
    mut request: actix_http::Request,
) -> error::ApiResult<http_server::HttpResponse> {
    let operator = authenticate(context, request.head())?;
    let path = request.path().to_owned();
    let method = request.method().clone();
    let value = match (method.as_str(), path.as_str()) {
        ("POST", "/operator/v1/bundles/check") => check(&mut request).await?,
        ("POST", "/operator/v1/bundles") => submit(context, &operator, &mut request).await?,
        ("POST", "/operator/v1/bundles/sign-off") => {
            let generation = requested_generation(&request)?;
            approve(context, &operator, generation).await?
        }
        ("POST", "/operator/v1/bundles/discard") => {
            let generation = requested_generation(&request)?;
            update_head(context, |head| head.discard(generation)).await?;
            serde_json::json!({"discarded": generation})
        }
        ("GET", "/operator/v1/bundles") => status(context).await?,
        ("GET", "/operator/v1/instances") => instances(context),
        _ => match (
            method.as_str(),
            path.strip_prefix("/operator/v1/instances/"),
        ) {
            ("POST", Some(rest)) => stop_instance(context, rest).await?,
            _ => return Err(not_found("no such path")),
        },
    };
    log::info!("event=operator_step operator={operator} path={path}");
    Ok(http_server::json(actix_http::StatusCode::OK, &value))
}

fn not_found(message: &str) -> error::ApiError {
    error::ApiError::not_run(error::ErrorCode::NotFound, message)
}

fn requested_generation(
    request: &actix_http::Request,
) -> error::ApiResult<bundle::BundleGeneration> {
    let text = http_server::query(request.uri(), "generation").unwrap_or_default();
    text.parse().map_err(|_| {
        let message = format!("generation: found '{text}', a number is needed");
        error::ApiError::not_run(error::ErrorCode::InvalidRequest, message)
    })
}

async fn read_document(
    request: &mut actix_http::Request,
) -> error::ApiResult<bundle::BundleDocument> {
    let timeout = time::Duration::from_secs(30);
    let body = caller_request::read_body(request, MAX_BUNDLE_BYTES, timeout).await?;
    caller_request::parse_json(&body)
}

async fn check(request: &mut actix_http::Request) -> error::ApiResult<serde_json::Value> {
    let faults = read_document(request).await?.faults();
    Ok(serde_json::json!({"valid": faults.is_empty(), "faults": faults}))
}

/// Reads the bundle head, and returns it with the condition for its update.
async fn read_head(
    store: &dyn store::ObjectStore,
) -> error::ApiResult<(bundle_steps::BundleHead, store::WriteCondition)> {
    let class = call_budget::CallClass::Control;
    let found = store.get(class, fleet::BUNDLE_HEAD_KEY).await;
    match found.map_err(|e| files::store_error(&e))? {
        None => Ok((
            bundle_steps::BundleHead::default(),
            store::WriteCondition::Absent,
        )),
        Some(object) => {
            let head = object.decode().map_err(|e| files::store_error(&e))?;
            Ok((head, store::WriteCondition::Match(object.revision)))
        }
    }
}

/// Updates the bundle head conditionally; after a concurrent update, reads it again and retries.
async fn update_head(
    context: &context::GatewayContext,
    next: impl Fn(
        &bundle_steps::BundleHead,
    ) -> Result<bundle_steps::BundleHead, bundle_steps::BundleConflict>,
) -> error::ApiResult<bundle_steps::BundleHead> {
    let deadline = time::Instant::now() + STEP_TIMEOUT;
    loop {
        let (head, condition) = read_head(context.store.as_ref()).await?;
        let updated = next(&head).map_err(|conflict| {
            let code = error::ErrorCode::IdempotencyConflict;
            error::ApiError::not_run(code, conflict.to_string())
        })?;
        let written = settle::put(
            context.store.as_ref(),
            call_budget::CallClass::Control,
            fleet::BUNDLE_HEAD_KEY,
            store::encode(&updated),
            match protection::is_disabled("bundle_condition") {
                true => store::WriteCondition::Always,
                false => condition,
            },
            deadline,
        )
        .await;
        match written {
            Ok(settle::SettledWrite::Done(_)) => return Ok(updated),
            Ok(settle::SettledWrite::Lost(_)) => continue,
            Err(e) => return Err(files::store_error(&e)),
        }
    }
}

async fn submit(
    context: &context::GatewayContext,
    operator: &str,
    request: &mut actix_http::Request,
) -> error::ApiResult<serde_json::Value> {
    let parent = http_server::query(request.uri(), "parent").and_then(|v| v.parse().ok());
    let document = read_document(request).await?;
    let faults = document.faults();
    if !faults.is_empty() {
        let listed: Vec<String> = faults
            .iter()
            .map(|f| format!("{}: {}", f.path, f.problem))
            .collect();
        let code = error::ErrorCode::InvalidRequest;
        return Err(error::ApiError::not_run(code, listed.join("; ")));
    }
    let parent = match parent {
        Some(parent) => parent,
        None => read_head(context.store.as_ref()).await?.0.generation(),
    };
    let name = ids::unique("doc");
    let parts = store_document(context, &name, &document).await?;
    let head = update_head(context, |head| head.propose(parent, operator, &name, parts)).await?;
    Ok(serde_json::json!({"draft": head.draft}))
}

async fn store_document(
    context: &context::GatewayContext,
    name: &str,
    document: &bundle::BundleDocument,
) -> error::ApiResult<u32> {
    let text = store::encode(document);
    let parts = text.chunks(MAX_PART_BYTES);
    let count = parts.len() as u32;
    for (index, part) in parts.enumerate() {
        let key = fleet::document_key(name, index as u32);
        let written = settle::put(
            context.store.as_ref(),
            call_budget::CallClass::Control,
            &key,
            bytes::Bytes::copy_from_slice(part),
            store::WriteCondition::Absent,
            time::Instant::now() + STEP_TIMEOUT,
        );
        written.await.map_err(|e| files::store_error(&e))?;
    }
    Ok(count)
}

async fn approve(
    context: &context::GatewayContext,
    operator: &str,
    generation: bundle::BundleGeneration,
) -> error::ApiResult<serde_json::Value> {
    let before = read_head(context.store.as_ref()).await?.0;
    // Read before the draft is accepted, so that peers get it even if the store fails afterwards.
    let draft = before.draft.filter(|d| d.generation == generation);
    let document = match &draft {
        Some(entry) => fleet::read_document(context.store.as_ref(), entry)
            .await
            .ok_or_log("document_unread"),
        None => None,
    };
    let head = update_head(context, |head| head.approve(generation, operator)).await?;
    if let Some(document) = document.filter(|_| !protection::is_disabled("push")) {
        push(context, generation, &document);
    }
    Ok(serde_json::json!({"accepted": head.accepted}))
}

/// Sends the accepted bundle to every live instance, including this one.
fn push(
    context: &context::GatewayContext,
    generation: bundle::BundleGeneration,
    document: &bundle::BundleDocument,
) {
    let Ok(document) = serde_json::to_string(document) else {
        return;
    };
    let offer = link::BundleOffer {
        generation,
        document,
    };
    context.fleet.offer_bundle(offer.clone());
    for record in context.fleet.snapshot().instances.values() {
        if record.id != context.settings.instance.id {
            context.link.offer_bundle(record.link, offer.clone());
        }
    }
}

async fn status(context: &context::GatewayContext) -> error::ApiResult<serde_json::Value> {
    let (head, _) = read_head(context.store.as_ref()).await?;
    let snapshot = context.fleet.snapshot();
    let target = head.generation();
    let lagging: Vec<_> = snapshot
        .instances
        .values()
        .filter(|r| r.generation < target)
        .map(|r| serde_json::json!({"id": r.id, "generation": r.generation}))
        .collect();
    let live = snapshot.instances.len();
    let rolling = head.accepted.as_ref().map(|a| a.step) == Some(bundle_steps::BundleStep::Rolling);
    let head = if rolling && lagging.is_empty() && live > 0 {
        let settle = |current: &bundle_steps::BundleHead| {
            // A newer bundle was signed off meanwhile; its own rollout must finish first.
            if current.generation() == target {
                return Ok(current.settle());
            }
            Ok(current.clone())
        };
        update_head(context, settle).await?
    } else {
        head
    };
    Ok(serde_json::json!({
        "accepted": head.accepted, "draft": head.draft,
        "live_instances": live, "in_force_at": live - lagging.len(), "lagging": lagging,
    }))
}

fn instances(context: &context::GatewayContext) -> serde_json::Value {
    let snapshot = context.fleet.snapshot();
    let list: Vec<_> = snapshot.instances.values().collect();
    serde_json::json!({"instances": list})
}

/// Handles `POST /operator/v1/instances/{id}/stop`: requests a graceful stop of an instance.
async fn stop_instance(
    context: &context::GatewayContext,
    rest: &str,
) -> error::ApiResult<serde_json::Value> {
    let id = rest
        .strip_suffix("/stop")
        .ok_or_else(|| not_found("no such path"))?;
    let snapshot = context.fleet.snapshot();
    let known = snapshot.instances.keys().find(|k| k.as_str() == id);
    let id = known.ok_or_else(|| not_found("no such live instance"))?;
    let key = format!("stop/{id}");
    let written = settle::put(
        context.store.as_ref(),
        call_budget::CallClass::Control,
        &key,
        store::encode(&ids::unique("stop")),
        store::WriteCondition::Always,
        time::Instant::now() + STEP_TIMEOUT,
    );
    written.await.map_err(|e| files::store_error(&e))?;
    Ok(serde_json::json!({"stopping": id}))
}
