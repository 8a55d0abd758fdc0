//! Stand-in model engine over HTTP: streams, resume, cancel, orders, load, faults.

use std::{cell, rc, sync, time};

use actix_http::{body, Method, StatusCode};
use futures::{future, stream, FutureExt as _, StreamExt as _};
use tokio::sync::mpsc;

use super::{engine_model, engine_state, engine_terms};
use crate::{http_server, wire};

/// Longest that a sequence is kept for a reader that may come back.
const KEEP_AFTER_CUT: time::Duration = time::Duration::from_millis(1000);

/// Asks which blocks of a prompt an engine can export.
#[derive(Debug, serde::Deserialize)]
struct KvQuery {
    prompt: String,
}

/// Blocks of a KV cache on their way between engines.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
struct KvBlocks {
    blocks: Vec<u64>,
}

/// A stand-in engine on one worker thread.
#[derive(Clone)]
pub struct EngineStandin {
    state: rc::Rc<cell::RefCell<engine_state::EngineState>>,
    work: rc::Rc<tokio::sync::Notify>,
}

impl EngineStandin {
    fn new(options: engine_terms::EngineOptions) -> Self {
        let state = engine_state::EngineState::new(options);
        let standin = Self {
            state: rc::Rc::new(cell::RefCell::new(state)),
            work: rc::Rc::new(tokio::sync::Notify::new()),
        };
        actix_rt::spawn(standin.clone().run_steps());
        standin
    }

    async fn run_steps(self) {
        loop {
            if self.state.borrow().model.is_idle() || self.state.borrow().faults.freeze {
                let delay = time::Duration::from_millis(20);
                let _ = actix_rt::time::timeout(delay, self.work.notified()).await;
                self.state.borrow_mut().update_report(0);
                continue;
            }
            let (duration, made) = self.state.borrow_mut().model.step();
            let factor = self.state.borrow().faults.slow_factor.max(1.0);
            actix_rt::time::sleep(duration.mul_f64(factor)).await;
            self.state.borrow_mut().deliver(made);
            self.state
                .borrow_mut()
                .update_report(duration.as_micros() as u64);
        }
    }

    async fn serve(self, mut request: actix_http::Request) -> http_server::HttpResponse {
        let path = request.path().to_owned();
        match (request.method().clone(), path.as_str()) {
            (Method::POST, "/v1/chat/completions" | "/v1/completions") => {
                self.generate(&mut request).await
            }
            (Method::GET, "/load") => {
                http_server::json(StatusCode::OK, &self.state.borrow().report)
            }
            (Method::POST, "/faults") => match super::read_json(&mut request).await {
                Ok(faults) => {
                    self.state.borrow_mut().faults = faults;
                    http_server::plain(StatusCode::OK, "set")
                }
                Err(response) => response,
            },
            (Method::POST, "/orders") => match super::read_json(&mut request).await {
                Ok(order) => self.state.borrow_mut().take_order(order),
                Err(response) => response,
            },
            (Method::GET, "/orders") => {
                http_server::json(StatusCode::OK, &self.state.borrow().order)
            }
            (Method::DELETE, path) if path.starts_with(wire::STREAMS_PATH) => {
                let attempt = &path[wire::STREAMS_PATH.len()..];
                self.state.borrow_mut().cancel(attempt);
                http_server::plain(StatusCode::OK, "cancelled")
            }
            (Method::GET, "/cache-events") => self.cache_events(&request).await,
            (Method::POST, "/kv/export") => match super::read_json::<KvQuery>(&mut request).await {
                Ok(query) => {
                    let blocks = self.state.borrow().model.export(&query.prompt);
                    http_server::json(StatusCode::OK, &KvBlocks { blocks })
                }
                Err(response) => response,
            },
            (Method::POST, "/kv/import") => {
                match super::read_json::<KvBlocks>(&mut request).await {
                    Ok(kv) => {
                        self.state.borrow_mut().model.import(&kv.blocks);
                        http_server::plain(StatusCode::OK, "imported")
                    }
                    Err(response) => response,
                }
            }
            (Method::GET, "/effects") => {
                let state = self.state.borrow();
                let most = state.effects.values().max().copied().unwrap_or(0);
                let seen = state.effects.len();
                let value =
                    serde_json::json!({"starts": state.starts, "prompts": seen, "most": most});
                http_server::json(StatusCode::OK, &value)
            }
            _ => http_server::plain(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    /// Cache events after a number: late, and with gaps.
    async fn cache_events(&self, request: &actix_http::Request) -> http_server::HttpResponse {
        let after = http_server::query(request.uri(), "after").and_then(|v| v.parse().ok());
        let events: Vec<engine_model::CacheEvent> = {
            let state = self.state.borrow();
            let gap = state.options.event_gap;
            let lost = |e: &&engine_model::CacheEvent| gap > 0 && e.number.is_multiple_of(gap);
            let events = state.model.events_after(after.unwrap_or(0));
            events.filter(|e| !lost(e)).copied().collect()
        };
        let lag = self.state.borrow().options.report_lag_ms;
        actix_rt::time::sleep(time::Duration::from_millis(lag)).await;
        http_server::json(StatusCode::OK, &events)
    }

    async fn generate(&self, request: &mut actix_http::Request) -> http_server::HttpResponse {
        let head = request.head();
        let attempt = http_server::header(head, wire::ATTEMPT_HEADER)
            .unwrap_or("")
            .to_owned();
        let resume = http_server::header(head, wire::RESUME_HEADER).and_then(|v| v.parse().ok());
        let keep = http_server::header(head, wire::KEEP_HEADER)
            .and_then(|v| v.parse().ok())
            .map_or(KEEP_AFTER_CUT, time::Duration::from_millis);
        let chat = wire::is_chat(request.path());
        let body: engine_state::EngineRequest = match super::read_json(request).await {
            Ok(body) => body,
            Err(response) => return response,
        };
        if self.state.borrow().faults.refuse {
            return refused();
        }
        let delay = self.state.borrow().faults.delay_ms;
        if delay > 0 {
            actix_rt::time::sleep(time::Duration::from_millis(delay)).await;
        }
        let prompt = body.request.prompt_text();
        let sender_name = self.state.borrow_mut().echo_name(&attempt);
        // A crossed answer is the right one to another request.
        let crossed = sender_name != attempt;
        let answered = if crossed {
            format!("another {prompt}")
        } else {
            prompt.clone()
        };
        let streamed = body.request.stream;
        let model = body.request.model.clone();
        let tokens: stream::LocalBoxStream<'static, Option<engine_model::MadeToken>> =
            if self.state.borrow().options.instant {
                instant_tokens(body.request.token_limit())
            } else {
                let opened = self
                    .state
                    .borrow_mut()
                    .open(&attempt, &prompt, &body, resume, keep);
                let Some(receiver) = opened else {
                    return http_server::plain(StatusCode::GONE, "the stream is gone");
                };
                self.work.notify_one();
                received(receiver)
            };
        if streamed {
            let events = tokens.map(move |token| match token {
                Some(token) => Ok(event(chat, &answered, model.as_str(), token)),
                None => Err(std::io::Error::other("cut")),
            });
            return actix_http::Response::build(StatusCode::OK)
                .insert_header(("content-type", "text/event-stream"))
                .insert_header((wire::ATTEMPT_HEADER, sender_name))
                .body(body::BodyStream::new(events))
                .map_into_boxed_body();
        }
        whole(chat, answered, model.as_str(), sender_name, tokens).await
    }
}

async fn whole(
    chat: bool,
    prompt: String,
    model: &str,
    sender_name: String,
    mut tokens: stream::LocalBoxStream<'static, Option<engine_model::MadeToken>>,
) -> http_server::HttpResponse {
    let mut text = String::new();
    while let Some(token) = tokens.next().await {
        match token {
            Some(token) => text.push_str(&engine_model::answer_token(&prompt, token.index)),
            None => return http_server::plain(StatusCode::BAD_GATEWAY, "died"),
        }
    }
    let count = engine_model::token_count(&prompt);
    let response = wire::full_response(chat, "gen-0", model, &text, count);
    let mut response = http_server::json(StatusCode::OK, &response);
    if let Ok(value) = sender_name.parse() {
        let name = actix_http::header::HeaderName::from_static(wire::ATTEMPT_HEADER);
        response.headers_mut().insert(name, value);
    }
    response
}

fn refused() -> http_server::HttpResponse {
    actix_http::Response::build(StatusCode::SERVICE_UNAVAILABLE)
        .insert_header((wire::RAN_HEADER, "no"))
        .body("refused")
        .map_into_boxed_body()
}

fn instant_tokens(limit: u32) -> stream::LocalBoxStream<'static, Option<engine_model::MadeToken>> {
    let tokens = (0..limit).map(move |index| {
        let last = index + 1 == limit;
        Some(engine_model::MadeToken {
            number: 0,
            index,
            last,
        })
    });
    stream::iter(tokens).boxed_local()
}

/// Tokens from the step loop; a stream that ends before its last token was cut.
fn received(
    receiver: mpsc::UnboundedReceiver<engine_model::MadeToken>,
) -> stream::LocalBoxStream<'static, Option<engine_model::MadeToken>> {
    stream::unfold((receiver, false), |(mut receiver, done)| async move {
        if done {
            return None;
        }
        match receiver.recv().await {
            Some(token) => Some((Some(token), (receiver, token.last))),
            None => Some((None, (receiver, true))),
        }
    })
    .boxed_local()
}

fn event(chat: bool, prompt: &str, model: &str, token: engine_model::MadeToken) -> bytes::Bytes {
    let text = engine_model::answer_token(prompt, token.index);
    let data = wire::stream_chunk(chat, "gen-0", model, &text, token.last);
    let end = if token.last { "data: [DONE]\n\n" } else { "" };
    format!("id: {}\ndata: {data}\n\n{end}", token.index).into()
}

impl http_server::RequestHandler for EngineStandin {
    fn handle(
        &self,
        request: actix_http::Request,
    ) -> future::LocalBoxFuture<'static, http_server::HttpResponse> {
        self.clone().serve(request).boxed_local()
    }
}

/// Starts an engine on `listen`.
///
/// # Errors
/// The address cannot be bound.
pub fn start(
    listen: &str,
    options: engine_terms::EngineOptions,
) -> std::io::Result<http_server::ServerGuard> {
    let server = http_server::ServerOptions::named("engine");
    let factory: http_server::HandlerFactory =
        sync::Arc::new(move || rc::Rc::new(EngineStandin::new(options.clone())));
    http_server::start(listen, server, factory)
}
