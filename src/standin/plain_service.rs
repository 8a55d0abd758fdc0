//! Stand-in plain service: echoes what it is asked and counts the effects.

use std::{cell, collections, rc, sync, time};

use actix_http::{Method, StatusCode};
use futures::{future, FutureExt as _};

use crate::{http_server, wire};

/// Faults of a plain service, set through `POST /faults`.
#[derive(Debug, Clone, Default, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainFaults {
    /// Refuse every request before running it.
    pub refuse: bool,
    /// Delay of each answer after the effect, in milliseconds.
    pub delay_ms: u64,
}

#[derive(Default)]
struct PlainState {
    faults: PlainFaults,
    /// How often each body took effect.
    effects: collections::BTreeMap<String, u32>,
}

/// A plain service on one worker thread.
#[derive(Clone, Default)]
pub struct PlainStandin {
    state: rc::Rc<cell::RefCell<PlainState>>,
}

impl PlainStandin {
    async fn serve(self, mut request: actix_http::Request) -> http_server::HttpResponse {
        let path = request.path().to_owned();
        match (request.method().clone(), path.as_str()) {
            (Method::POST, "/faults") => {
                return match super::read_json(&mut request).await {
                    Ok(faults) => {
                        self.state.borrow_mut().faults = faults;
                        http_server::plain(StatusCode::OK, "set")
                    }
                    Err(response) => response,
                };
            }
            (Method::GET, "/effects") => {
                return http_server::json(StatusCode::OK, &self.state.borrow().effects);
            }
            _ => {}
        }
        let attempt = http_server::header(request.head(), wire::ATTEMPT_HEADER).map(str::to_owned);
        if self.state.borrow().faults.refuse {
            return actix_http::Response::build(StatusCode::SERVICE_UNAVAILABLE)
                .insert_header((wire::RAN_HEADER, "no"))
                .body("refused")
                .map_into_boxed_body();
        }
        let timeout = time::Duration::from_secs(10);
        let body = match http_server::read_body(&mut request, super::MAX_BODY_BYTES, timeout).await
        {
            Ok(body) => String::from_utf8_lossy(&body).into_owned(),
            Err(e) => return http_server::plain(StatusCode::BAD_REQUEST, e.to_string()),
        };
        let effect = format!("{path} {body}");
        *self.state.borrow_mut().effects.entry(effect).or_default() += 1;
        let delay = self.state.borrow().faults.delay_ms;
        if delay > 0 {
            actix_rt::time::sleep(time::Duration::from_millis(delay)).await;
        }
        let response = serde_json::json!({"path": path, "echo": body});
        let mut response = http_server::json(StatusCode::OK, &response);
        if let Some(value) = attempt.and_then(|a| a.parse().ok()) {
            let name = actix_http::header::HeaderName::from_static(wire::ATTEMPT_HEADER);
            response.headers_mut().insert(name, value);
        }
        response
    }
}

impl http_server::RequestHandler for PlainStandin {
    fn handle(
        &self,
        request: actix_http::Request,
    ) -> future::LocalBoxFuture<'static, http_server::HttpResponse> {
        self.clone().serve(request).boxed_local()
    }
}

/// Starts a plain service on `listen`.
///
/// # Errors
/// The address cannot be bound.
pub fn start(listen: &str) -> std::io::Result<http_server::ServerGuard> {
    let options = http_server::ServerOptions::named("plain-service");
    let factory: http_server::HandlerFactory =
        sync::Arc::new(|| rc::Rc::new(PlainStandin::default()));
    http_server::start(listen, options, factory)
}
