//! One run of an item at one endpoint.

use std::{cell, net, rc, time};

use futures::future;

use super::{
    attempt, connection, context, crash_guard, crash_watch, directory, endpoint_reports,
    event_split, job_board, open_job, peers, wire,
};
use crate::{
    clock,
    decisions::{admission, retry},
    ids, outcome, protection,
};

/// Longest wait for the head of an item's answer; it may wait for a slot.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_millis(1500);

/// Longest pause between events of an item; the engine's steps take 3 to 60 ms.
const GAP_TIMEOUT: time::Duration = time::Duration::from_millis(600);

/// Pause before an item starts again after a failure.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(150);

/// Pauses of an item that no endpoint takes: while none is there, each try costs a
/// connection and a place that online requests could have. Items have seconds.
const RETRY_PACE: retry::DelayRange = retry::DelayRange {
    first: RETRY_PAUSE,
    last: time::Duration::from_millis(1200),
};

/// The method of each item.
const ITEM_METHOD: actix_http::Method = actix_http::Method::POST;

/// One run of an item at one endpoint.
pub(super) struct ItemRun {
    pub(super) context: rc::Rc<context::ProcessContext>,
    pub(super) job: open_job::SharedJob,
    pub(super) index: usize,
    pub(super) endpoint: rc::Rc<directory::EndpointEntry>,
    pub(super) number: admission::StreamNumber,
    /// The owner that lent the place, if it is another process.
    pub(super) lender: Option<net::SocketAddr>,
    pub(super) max_attempts: u32,
    /// The chain of runs that it goes on with; given up when the item gets another.
    pub(super) chain: u64,
    /// Whether the endpoint has begun to answer.
    pub(super) has_head: cell::Cell<bool>,
}

/// How a run of an item ended.
#[derive(Debug, Clone, PartialEq, Eq)]
enum RunEnd {
    Completed,
    /// The endpoint says that the item can never be done.
    Impossible,
    /// The endpoint failed at it.
    Failed,
    /// The stream broke; it goes on elsewhere.
    Cut(String),
    /// The endpoint did not take it.
    NotRun(outcome::NotRunReason),
    /// The place was taken back, or the job was ended.
    Preempted,
}

impl ItemRun {
    /// Runs the item to the end of the stream.
    pub(super) async fn run(self) {
        let key = (self.endpoint.id.clone(), self.number);
        let is_lent = self.lender.is_some();
        let begun = clock::BootInstant::now();
        let cancelled = self.context.jobs.begin_stream(key.clone(), is_lent);
        self.job.borrow_mut().streams.insert(key.clone());
        let before = self.last_event();
        let taken = self.context.clock.now();
        let end = {
            let work = self.stream();
            futures::pin_mut!(work);
            match future::select(work, cancelled).await {
                future::Either::Left((end, _)) => end,
                future::Either::Right(_) => RunEnd::Preempted,
            }
        };
        self.context.jobs.end_stream(&key);
        self.job.borrow_mut().streams.remove(&key);
        self.release_slot();
        match end {
            RunEnd::Cut(_) if self.last_event() == before => self.record_fruitless(taken),
            RunEnd::Completed | RunEnd::Impossible | RunEnd::Failed => {
                crash_guard::record_served(&self.context, self.digest());
            }
            RunEnd::Cut(_) | RunEnd::NotRun(_) | RunEnd::Preempted => {}
        }
        self.record_span(begun.elapsed(), &end);
        self.settle(end);
        self.context.jobs.work.notify_one();
    }

    fn digest(&self) -> ids::RequestDigest {
        let job = self.job.borrow();
        item_digest(&job.record.host, &job.record.items[self.index])
    }

    /// The last event that the item has.
    fn last_event(&self) -> Option<u64> {
        self.job.borrow().items[self.index].last_event
    }

    /// Has it looked at whether the endpoint ended under a run that brought nothing.
    ///
    /// An item that gets on is none that ends its endpoints: it runs for seconds, and
    /// is often beside one that does.
    fn record_fruitless(&self, begun: clock::MonotonicTime) {
        let run = crash_watch::CutRun {
            digest: self.digest(),
            id: self.job.borrow().record.items[self.index].id.clone(),
            endpoint: self.endpoint.clone(),
            begun,
            has_head: self.has_head.get(),
        };
        crash_watch::begin(&self.context, run);
    }

    /// Notes how long the run held its place, and at the item's end how long all did.
    fn record_span(&self, duration: time::Duration, end: &RunEnd) {
        let mut job = self.job.borrow_mut();
        let progress = &mut job.items[self.index];
        progress.spent += duration;
        if *end == RunEnd::Completed {
            let spent = progress.spent;
            self.context.jobs.record_span(&self.endpoint.service, spent);
        }
    }

    fn release_slot(&self) {
        let slot = peers::BorrowedSlot {
            endpoint: self.endpoint.id.clone(),
            number: self.number,
        };
        match self.lender {
            Some(lender) => self.context.links.give_back(lender, slot),
            None => {
                let mut permits = self.context.permits.borrow_mut();
                permits.end_batch(&slot.endpoint, slot.number);
            }
        }
    }

    /// Sends the item and reads its events into the job.
    async fn stream(&self) -> RunEnd {
        use outcome::AttemptOutcome as O;

        let (request, resume_after) = match self.request() {
            Ok(request) => request,
            Err(why) => {
                log::error!("event=item_unreadable why=\"{why}\"");
                return RunEnd::Impossible;
            }
        };
        let terms = wire::AttemptTerms {
            endpoint: &self.endpoint.id,
            timeout: None,
            resume_after,
        };
        let is_kept = cell::Cell::new(false);
        let sent = attempt::send(
            &self.context,
            &self.endpoint,
            &request,
            &terms,
            None,
            &is_kept,
            HEAD_TIMEOUT,
        );
        let open = match sent.await {
            O::Completed(open) => open,
            O::NotRun(proof) => return RunEnd::NotRun(proof.reason()),
            O::Failed(why) | O::Unknown(why) => return RunEnd::Cut(why),
        };
        self.has_head.set(true);
        let status = open.incoming.head.status.as_u16();
        match status {
            200..=299 => {
                self.read_events(open.incoming, resume_after, open.notes.idle_limit)
                    .await
            }
            422 => RunEnd::Impossible,
            500 => RunEnd::Failed,
            other => RunEnd::Cut(format!("status {other}")),
        }
    }

    fn request(&self) -> Result<(attempt::ForwardedRequest, Option<u64>), String> {
        let job = self.job.borrow();
        let item = &job.record.items[self.index];
        let (uri, mut headers) = read_item(item)?;
        let host = actix_http::header::HeaderValue::try_from(job.record.host.as_str());
        let host = host.map_err(|e| format!("the host of the job: {e}"))?;
        headers.insert(actix_http::header::HOST, host);
        let wire = &self.context.wire;
        let workspace = job.record.workspace.as_ref();
        let table = self.context.fleet.table();
        if workspace.is_some() || table.workspaces().is_required() {
            wire.write_workspace(&mut headers, workspace);
        }
        wire.write_item_id(&mut headers, &item.id);
        let request = attempt::ForwardedRequest {
            digest: item_digest(&job.record.host, item),
            method: ITEM_METHOD,
            uri,
            headers,
            body: item.body.clone(),
            id: Some(item.id.clone()),
            repeatable: true,
        };
        Ok((request, job.items[self.index].last_event))
    }

    async fn read_events(
        &self,
        mut incoming: connection::IncomingAnswer,
        resumed_after: Option<u64>,
        idle_limit: Option<time::Duration>,
    ) -> RunEnd {
        let mut splitter = event_split::EventSplitter::default();
        let mut last = resumed_after;
        loop {
            loop {
                match splitter.next_event() {
                    Ok(None) => break,
                    Ok(Some(event)) => {
                        if last.is_some_and(|last| event.id != last + 1) {
                            return RunEnd::Cut(format!("event {} after {last:?}", event.id));
                        }
                        if last == resumed_after {
                            self.context.fleet.record_verified(&self.endpoint.id);
                        }
                        last = Some(event.id);
                        if !self.take_event(&event) {
                            return RunEnd::Preempted;
                        }
                    }
                    Err(e) => return RunEnd::Cut(e.to_string()),
                }
            }
            match tokio::time::timeout(GAP_TIMEOUT, incoming.next_bytes()).await {
                Ok(Ok(Some(bytes))) => splitter.push(&bytes),
                Ok(Ok(None)) if splitter.has_rest() => {
                    return RunEnd::Cut("the stream ended within an event".into())
                }
                Ok(Ok(None)) => break,
                Ok(Err(e)) => return RunEnd::Cut(e.to_string()),
                Err(_) => return RunEnd::Cut("the endpoint was silent".into()),
            }
        }
        if let Some(connection) = incoming.into_connection() {
            self.context.pool.put(connection, idle_limit);
        }
        RunEnd::Completed
    }

    /// Adds an event to the item; says whether the item is still wanted.
    fn take_event(&self, event: &event_split::RawEvent) -> bool {
        let mut job = self.job.borrow_mut();
        if job.ended {
            return false;
        }
        let progress = &mut job.items[self.index];
        if !progress.is_run_by(self.chain) {
            return false;
        }
        progress.fruitless = 0;
        progress.events.push(event.data());
        progress.last_event = Some(event.id);
        true
    }

    /// Takes what the run says of its endpoint, and tells the owner of it.
    fn record_endpoint(&self, end: &RunEnd) {
        let context = &self.context;
        let observation = match end {
            RunEnd::Completed => {
                let mut loads = context.loads.borrow_mut();
                loads.health.record_success(&self.endpoint.id);
                drop(loads);
                let mut permits = context.permits.borrow_mut();
                return permits.record_served(&self.endpoint.id);
            }
            RunEnd::Cut(_) => Some(endpoint_reports::failure(context, true)),
            RunEnd::NotRun(reason) => {
                endpoint_reports::count_refusal(context, *reason);
                endpoint_reports::from_refusal(context, *reason)
            }
            RunEnd::Impossible | RunEnd::Failed | RunEnd::Preempted => None,
        };
        let grantor = match self.lender {
            None => endpoint_reports::SlotGrantor::Local,
            Some(lender) => endpoint_reports::SlotGrantor::Peer(lender),
        };
        if let Some(observation) = observation {
            endpoint_reports::record(context, &self.endpoint, grantor, observation);
        }
    }

    fn settle(&self, end: RunEnd) {
        let label = match &end {
            RunEnd::Completed => "completed",
            RunEnd::Impossible => "impossible",
            RunEnd::Failed => "failed",
            RunEnd::Cut(_) => "cut",
            RunEnd::NotRun(_) => "not_run",
            RunEnd::Preempted => "preempted",
        };
        self.context
            .metrics
            .batch_items
            .with_label_values(&[label])
            .inc();
        self.record_endpoint(&end);
        let mut job = self.job.borrow_mut();
        log::info!(
            "event=item_run job={} item={} endpoint={} end=\"{end:?}\" last_event={:?}",
            job.record.id,
            job.record.items[self.index].id,
            self.endpoint.id,
            job.items[self.index].last_event,
        );
        if !job.items[self.index].is_run_by(self.chain) {
            return;
        }
        let progress = &mut job.items[self.index];
        progress.phase = open_job::ItemPhase::Waiting;
        match end {
            RunEnd::Completed => job.finish(self.index, wire::ItemState::Completed),
            RunEnd::Impossible => job.finish(self.index, wire::ItemState::GivenUp),
            RunEnd::Failed => {
                progress.failures += 1;
                progress.not_before = clock::BootInstant::now() + RETRY_PAUSE;
                let spent = progress.failures >= self.max_attempts;
                if spent && !protection::is_disabled("item_attempts") {
                    job.finish(self.index, wire::ItemState::GivenUp);
                }
            }
            RunEnd::Cut(_) | RunEnd::NotRun(_) => {
                let delay = retry::backoff_delay(progress.fruitless, &RETRY_PACE, &mut rand::rng());
                progress.fruitless += 1;
                progress.not_before = clock::BootInstant::now() + delay;
            }
            RunEnd::Preempted => {}
        }
        let pending = !job.pending.is_empty();
        drop(job);
        if pending {
            job_board::commit(&self.context, &self.job);
        }
    }
}

/// What an item asks, the same in each job that it is submitted with.
pub(super) fn item_digest(host: &str, item: &wire::JobItem) -> ids::RequestDigest {
    ids::RequestDigest::of(ITEM_METHOD.as_str(), host, &item.path, &item.body)
}

/// Path and headers of an item's request, as they go to an endpoint.
///
/// # Errors
/// What cannot be sent as it is; a request is never sent otherwise than it was given.
pub fn read_item(item: &wire::JobItem) -> Result<(actix_http::Uri, wire::HeaderMap), String> {
    let unreadable = |what: &str| format!("item {}: {what} cannot be sent", item.id);
    let uri = actix_http::Uri::try_from(item.path.as_str());
    let uri = uri.map_err(|_| unreadable("its path"))?;
    if !item.path.starts_with('/') {
        return Err(unreadable("its path"));
    }
    let mut headers = wire::HeaderMap::new();
    for (name, value) in &item.headers {
        let header = actix_http::header::HeaderName::try_from(name.as_str());
        let header = header.map_err(|_| unreadable("the name of a header"))?;
        let value = actix_http::header::HeaderValue::try_from(value.as_str());
        let value = value.map_err(|_| unreadable("the value of a header"))?;
        headers.append(header, value);
    }
    Ok((uri, headers))
}
