//! Small stand-ins of the outside systems, for tests, benches and `jayhollow dev`.

pub mod engine;
pub mod engine_model;
mod engine_state;
pub mod engine_terms;
pub mod objects;
pub mod plain_service;

use std::time;

use actix_http::StatusCode;

use crate::{http_server, settings};

/// Largest body a stand-in reads, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Reads a JSON body; a bad one becomes the answer to give.
async fn read_json<T: serde::de::DeserializeOwned>(
    request: &mut actix_http::Request,
) -> Result<T, http_server::HttpResponse> {
    let timeout = time::Duration::from_secs(10);
    let body = http_server::read_body(request, MAX_BODY_BYTES, timeout)
        .await
        .map_err(|e| http_server::plain(StatusCode::BAD_REQUEST, e.to_string()))?;
    serde_json::from_slice(&body)
        .map_err(|e| http_server::plain(StatusCode::BAD_REQUEST, e.to_string()))
}

/// Starts the stand-in that the settings describe.
///
/// # Errors
/// The address cannot be bound.
pub fn start(
    settings: settings::standin::StandinSettings,
) -> std::io::Result<http_server::ServerGuard> {
    use settings::standin::StandinSettings as S;
    match settings {
        S::Objects { listen, endpoints } => objects::start(&listen.to_string(), endpoints, None),
        S::Engine { listen, options } => engine::start(&listen.to_string(), options),
        S::Plain { listen } => plain_service::start(&listen.to_string()),
    }
}
