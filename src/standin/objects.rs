//! Stand-in of the platform's object service and of its list of endpoints.
//!
//! Objects live under `/objects/{key}` with an `ETag` of the store's revision
//! at which they last changed; `If-Match` and `If-None-Match: *` make an update
//! conditional. `/watch` waits for changes after a revision. `/endpoints` is
//! the lagging list of live and leaving endpoints.

use std::{cell, collections, io, path, rc, time};

use actix_http::{body, body::MessageBody as _, Method, StatusCode};
use futures::{future, FutureExt as _};

use crate::{http_server, platform};

/// Largest value the service holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// Most objects in one answer of a list or a watch.
const PAGE_ITEMS: usize = 1000;
/// Most bytes of values in one answer of a list or a watch.
const PAGE_BYTES: usize = 4 << 20;

/// Faults of the object service, set through `POST /faults`.
#[derive(Debug, Clone, Default, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObjectFaults {
    /// Refuse every call.
    pub out: bool,
    /// Delay of each call, in milliseconds.
    pub slow_ms: u64,
    /// Of each 100 writes, how many take effect and lose their answer.
    pub lost_answers: u32,
    /// Age of the list of endpoints, in milliseconds.
    pub list_lag_ms: u64,
    /// Writes allowed a second; 0 is no limit.
    pub writes_per_second: u32,
    /// Reads allowed a second, a waiting watch counted as one; 0 is no limit.
    pub reads_per_second: u32,
}

/// Calls counted since the start, read through `GET /stats`.
#[derive(Debug, Clone, Default, serde::Serialize, serde::Deserialize)]
pub struct ObjectStats {
    /// Writes that were served, conflicts included.
    pub writes: u64,
    /// Reads, lists and watches that were served.
    pub reads: u64,
    /// Calls refused for their rate.
    pub limited: u64,
    /// Bytes of bodies in answers.
    pub sent_bytes: u64,
    /// Objects held.
    pub objects: usize,
}

struct StoredObject {
    revision: u64,
    value: bytes::Bytes,
}

#[derive(Default)]
struct ObjectTable {
    revision: u64,
    objects: collections::BTreeMap<String, StoredObject>,
    /// Last revision of each removed key, for watches.
    removed: collections::BTreeMap<String, u64>,
    faults: ObjectFaults,
    stats: ObjectStats,
    endpoints: Vec<platform::EndpointRecord>,
    endpoints_revision: u64,
    /// The list before the newest change, and when that was.
    old_endpoints: Option<(time::Instant, Vec<platform::EndpointRecord>)>,
    second: u64,
    writes_now: u32,
    reads_now: u32,
}

impl ObjectTable {
    fn admit(&mut self, write: bool, second: u64) -> bool {
        if self.second != second {
            self.second = second;
            self.writes_now = 0;
            self.reads_now = 0;
        }
        let (now, limit, total) = if write {
            (
                &mut self.writes_now,
                self.faults.writes_per_second,
                &mut self.stats.writes,
            )
        } else {
            (
                &mut self.reads_now,
                self.faults.reads_per_second,
                &mut self.stats.reads,
            )
        };
        if limit > 0 && *now >= limit {
            self.stats.limited += 1;
            return false;
        }
        *now += 1;
        *total += 1;
        true
    }

    fn put(&mut self, key: &str, value: bytes::Bytes) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        self.removed.remove(key);
        self.objects
            .insert(key.to_owned(), StoredObject { revision, value });
        revision
    }

    fn remove(&mut self, key: &str) {
        self.revision += 1;
        self.objects.remove(key);
        self.removed.insert(key.to_owned(), self.revision);
    }

    /// Whether the conditions of a write hold for `key` now.
    fn condition_holds(&self, key: &str, condition: &WriteCondition) -> bool {
        let found = self.objects.get(key).map(|o| o.revision);
        match condition {
            WriteCondition::Always => true,
            WriteCondition::Absent => found.is_none(),
            WriteCondition::Match(revision) => found == Some(*revision),
        }
    }

    fn changes(&self, prefixes: &[String], since: u64) -> platform::WatchResponse {
        let wanted = |key: &String| prefixes.iter().any(|p| key.starts_with(p.as_str()));
        let mut changes: Vec<platform::ObjectChange> = self
            .objects
            .iter()
            .filter(|(key, object)| object.revision > since && wanted(key))
            .map(|(key, object)| platform::ObjectChange {
                key: key.clone(),
                revision: object.revision,
                value: Some(String::from_utf8_lossy(&object.value).into_owned()),
            })
            .collect();
        let removed = self
            .removed
            .iter()
            .filter(|(key, revision)| **revision > since && wanted(key))
            .map(|(key, revision)| platform::ObjectChange {
                key: key.clone(),
                revision: *revision,
                value: None,
            });
        changes.extend(removed);
        changes.sort_by_key(|change| change.revision);
        let more = changes.len() > PAGE_ITEMS;
        changes.truncate(PAGE_ITEMS);
        let revision = match changes.last() {
            Some(last) if more => last.revision,
            _ => self.revision,
        };
        platform::WatchResponse { revision, changes }
    }

    fn all(&self) -> Vec<platform::ObjectChange> {
        let change = |(key, object): (&String, &StoredObject)| platform::ObjectChange {
            key: key.clone(),
            revision: object.revision,
            value: Some(String::from_utf8_lossy(&object.value).into_owned()),
        };
        self.objects.iter().map(change).collect()
    }

    fn list(&self, prefix: &str, after: &str) -> platform::ListResponse {
        let mut response = platform::ListResponse::default();
        let mut size = 0;
        let range = self.objects.range(prefix.to_owned()..);
        for (key, object) in range.take_while(|(key, _)| key.starts_with(prefix)) {
            if key.as_str() <= after {
                continue;
            }
            size += object.value.len();
            if response.items.len() >= PAGE_ITEMS || size > PAGE_BYTES {
                response.more = true;
                break;
            }
            response.items.push(platform::ObjectChange {
                key: key.clone(),
                revision: object.revision,
                value: Some(String::from_utf8_lossy(&object.value).into_owned()),
            });
        }
        response
    }
}

enum WriteCondition {
    Always,
    Absent,
    Match(u64),
}

fn condition_of(head: &actix_http::RequestHead) -> Option<WriteCondition> {
    if http_server::header(head, "if-none-match") == Some("*") {
        return Some(WriteCondition::Absent);
    }
    match http_server::header(head, "if-match") {
        None => Some(WriteCondition::Always),
        Some(tag) => tag
            .trim_matches('"')
            .parse()
            .ok()
            .map(WriteCondition::Match),
    }
}

/// The object service on one worker thread.
#[derive(Clone)]
pub struct ObjectStandin {
    table: rc::Rc<cell::RefCell<ObjectTable>>,
    changed: rc::Rc<tokio::sync::Notify>,
    started: time::Instant,
}

impl ObjectStandin {
    fn new(endpoints: Vec<platform::EndpointRecord>) -> Self {
        let table = ObjectTable {
            endpoints,
            ..ObjectTable::default()
        };
        Self {
            table: rc::Rc::new(cell::RefCell::new(table)),
            changed: rc::Rc::new(tokio::sync::Notify::new()),
            started: time::Instant::now(),
        }
    }

    async fn serve(self, mut request: actix_http::Request) -> http_server::HttpResponse {
        let path = request.path().to_owned();
        match path.as_str() {
            "/faults" => return self.set_faults(&mut request).await,
            "/stats" => return http_server::json(StatusCode::OK, &self.stats()),
            "/endpoints" if request.method() == Method::POST => {
                return self.set_endpoints(&mut request).await
            }
            _ => {}
        }
        let slow = self.table.borrow().faults.slow_ms;
        if slow > 0 {
            actix_rt::time::sleep(time::Duration::from_millis(slow)).await;
        }
        if self.table.borrow().faults.out {
            return http_server::plain(StatusCode::SERVICE_UNAVAILABLE, "out");
        }
        let write = matches!(*request.method(), Method::PUT | Method::DELETE);
        let second = self.started.elapsed().as_secs();
        if !self.table.borrow_mut().admit(write, second) {
            return http_server::plain(StatusCode::TOO_MANY_REQUESTS, "rate");
        }
        let response = match path.as_str() {
            "/watch" => self.watch(&request).await,
            "/list" => self.list(&request),
            "/endpoints" => self.endpoints(&request),
            _ => match path.strip_prefix("/objects/") {
                Some(key) => self.object(key, &mut request).await,
                None => http_server::plain(StatusCode::NOT_FOUND, "no such path"),
            },
        };
        if let body::BodySize::Sized(bytes) = response.body().size() {
            self.table.borrow_mut().stats.sent_bytes += bytes;
        }
        response
    }

    fn stats(&self) -> ObjectStats {
        let table = self.table.borrow();
        ObjectStats {
            objects: table.objects.len(),
            ..table.stats.clone()
        }
    }

    async fn set_faults(&self, request: &mut actix_http::Request) -> http_server::HttpResponse {
        match super::read_json(request).await {
            Ok(faults) => {
                self.table.borrow_mut().faults = faults;
                http_server::plain(StatusCode::OK, "set")
            }
            Err(response) => response,
        }
    }

    async fn set_endpoints(&self, request: &mut actix_http::Request) -> http_server::HttpResponse {
        match super::read_json(request).await {
            Ok(endpoints) => {
                let mut table = self.table.borrow_mut();
                let old = std::mem::replace(&mut table.endpoints, endpoints);
                table.old_endpoints = Some((time::Instant::now(), old));
                table.endpoints_revision += 1;
                http_server::plain(StatusCode::OK, "set")
            }
            Err(response) => response,
        }
    }

    /// The list of endpoints, unless the caller has it already.
    fn endpoints(&self, request: &actix_http::Request) -> http_server::HttpResponse {
        let table = self.table.borrow();
        let lag = time::Duration::from_millis(table.faults.list_lag_ms);
        let old = table
            .old_endpoints
            .as_ref()
            .filter(|(at, _)| at.elapsed() < lag);
        let (revision, endpoints) = match old {
            Some((_, old)) => (table.endpoints_revision - 1, old),
            None => (table.endpoints_revision, &table.endpoints),
        };
        let tag = format!("\"{revision}\"");
        if http_server::header(request.head(), "if-none-match") == Some(tag.as_str()) {
            return http_server::plain(StatusCode::NOT_MODIFIED, "");
        }
        let text = serde_json::to_vec(endpoints).unwrap_or_default();
        tagged(StatusCode::OK, revision, text.into())
    }

    fn list(&self, request: &actix_http::Request) -> http_server::HttpResponse {
        let prefix = http_server::query(request.uri(), "prefix").unwrap_or_default();
        let after = http_server::query(request.uri(), "after").unwrap_or_default();
        let response = self.table.borrow().list(&prefix, &after);
        http_server::json(StatusCode::OK, &response)
    }

    async fn watch(&self, request: &actix_http::Request) -> http_server::HttpResponse {
        let number = |name| http_server::query(request.uri(), name).and_then(|v| v.parse().ok());
        let prefixes = http_server::query(request.uri(), "prefixes").unwrap_or_default();
        let prefixes: Vec<String> = prefixes.split(',').map(str::to_owned).collect();
        let since: u64 = number("since").unwrap_or(0);
        let wait = time::Duration::from_secs(number("wait").unwrap_or(30).min(60));
        let deadline = time::Instant::now() + wait;
        loop {
            let response = self.table.borrow().changes(&prefixes, since);
            let left = deadline.saturating_duration_since(time::Instant::now());
            if !response.changes.is_empty() || left.is_zero() {
                return http_server::json(StatusCode::OK, &response);
            }
            let _ = actix_rt::time::timeout(left, self.changed.notified()).await;
            if self.table.borrow().faults.out {
                return http_server::plain(StatusCode::SERVICE_UNAVAILABLE, "out");
            }
        }
    }

    async fn object(
        &self,
        key: &str,
        request: &mut actix_http::Request,
    ) -> http_server::HttpResponse {
        if request.method() == Method::GET {
            return self.get(key);
        }
        let Some(condition) = condition_of(request.head()) else {
            return http_server::plain(StatusCode::BAD_REQUEST, "If-Match is not a version");
        };
        let timeout = time::Duration::from_secs(10);
        let body = match http_server::read_body(request, MAX_VALUE_BYTES, timeout).await {
            Ok(body) => body,
            Err(e) => return http_server::plain(StatusCode::PAYLOAD_TOO_LARGE, e.to_string()),
        };
        let mut table = self.table.borrow_mut();
        if !table.condition_holds(key, &condition) {
            return http_server::plain(StatusCode::PRECONDITION_FAILED, "changed meanwhile");
        }
        let revision = if request.method() == Method::DELETE {
            table.remove(key);
            table.revision
        } else {
            table.put(key, body)
        };
        let lost = rand::random_range(0..100) < table.faults.lost_answers;
        drop(table);
        self.changed.notify_waiters();
        if lost {
            return http_server::plain(StatusCode::GATEWAY_TIMEOUT, "answer lost");
        }
        tagged(StatusCode::OK, revision, bytes::Bytes::new())
    }

    fn get(&self, key: &str) -> http_server::HttpResponse {
        let table = self.table.borrow();
        match table.objects.get(key) {
            Some(object) => tagged(StatusCode::OK, object.revision, object.value.clone()),
            None => http_server::plain(StatusCode::NOT_FOUND, "no such object"),
        }
    }
}

fn tagged(status: StatusCode, revision: u64, body: bytes::Bytes) -> http_server::HttpResponse {
    actix_http::Response::build(status)
        .insert_header(("etag", format!("\"{revision}\"")))
        .body(body)
        .map_into_boxed_body()
}

impl http_server::RequestHandler for ObjectStandin {
    fn handle(
        &self,
        request: actix_http::Request,
    ) -> future::LocalBoxFuture<'static, http_server::HttpResponse> {
        self.clone().serve(request).boxed_local()
    }
}

/// Pause between looks whether there is something to save.
const SAVE_PAUSE: time::Duration = time::Duration::from_millis(500);

fn read_file(file: &path::Path) -> io::Result<Vec<platform::ObjectChange>> {
    let text = std::fs::read(file)?;
    serde_json::from_slice(&text).map_err(io::Error::other)
}

impl ObjectStandin {
    /// Saves all objects to a file whenever something changed.
    async fn run_save(self, file: path::PathBuf) {
        let mut saved = self.table.borrow().revision;
        loop {
            actix_rt::time::sleep(SAVE_PAUSE).await;
            let revision = self.table.borrow().revision;
            if revision == saved {
                continue;
            }
            let items = self.table.borrow().all();
            let text = serde_json::to_vec(&items).unwrap_or_default();
            let fresh = file.with_extension("new");
            // Renamed when whole, so that a cut write leaves the older file.
            let written =
                std::fs::write(&fresh, text).and_then(|()| std::fs::rename(&fresh, &file));
            match written {
                Ok(()) => saved = revision,
                Err(e) => log::warn!("event=objects_unsaved why=\"{e}\""),
            }
        }
    }
}

/// Starts the object service on `listen` with a first list of endpoints.
///
/// With a `file` its objects outlast the process.
///
/// # Errors
/// The address cannot be bound.
pub fn start(
    listen: &str,
    endpoints: Vec<platform::EndpointRecord>,
    file: Option<path::PathBuf>,
) -> io::Result<http_server::ServerGuard> {
    let options = http_server::ServerOptions::named("objects");
    let saved = match &file {
        Some(file) if file.exists() => read_file(file)?,
        _ => Vec::new(),
    };
    let factory: http_server::HandlerFactory = std::sync::Arc::new(move || {
        let standin = ObjectStandin::new(endpoints.clone());
        for change in &saved {
            let value = change.value.clone().unwrap_or_default();
            standin.table.borrow_mut().put(&change.key, value.into());
        }
        if let Some(file) = file.clone() {
            actix_rt::spawn(standin.clone().run_save(file));
        }
        rc::Rc::new(standin)
    });
    http_server::start(listen, options, factory)
}
