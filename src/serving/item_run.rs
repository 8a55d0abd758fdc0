//! Runs a batch item once at one endpoint.

use std::{cell, net, rc, time};

use futures::future;

use super::{
    attempt, connection, context, continuations, crash_guard, crash_trials, crash_watch, directory,
    endpoint_records, endpoint_reports, event_split, job_table, open_job, peers, start_check, wire,
};
use crate::{
    clock,
    decisions::{admission, item_order, retry},
    ids, outcome, protection,
};

/// Maximum wait for the response head of an item; the endpoint may queue the item for a
/// slot first.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_millis(1500);

/// Maximum time without a byte of an item's stream; an engine step takes 3 to 60 ms.
const EVENT_TIMEOUT: time::Duration = time::Duration::from_millis(600);

/// Maximum time without a complete event while other bytes arrive. Those that arrived during a
/// delay of the event loop are read first.
const MAX_EVENT_TIME: time::Duration = time::Duration::from_millis(2400);

/// Delay before a failed item is started again.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(150);

/// Delays between attempts while no endpoint accepts the item. Each attempt costs a
/// connection and a slot that online requests could use, and items have seconds to
/// spare.
const RETRY_DELAYS: retry::DelayRange = retry::DelayRange {
    first: RETRY_DELAY,
    last: time::Duration::from_millis(1200),
};

/// Maximum size of an item's output in bytes. A response to a reader holds about a megabyte of
/// results, so a longer output is no answer.
const MAX_OUTPUT_BYTES: usize = 1 << 20;

/// HTTP method of item requests.
const ITEM_METHOD: actix_http::Method = actix_http::Method::POST;

/// State of a run of one item at one endpoint.
pub(super) struct ItemRun {
    pub(super) context: rc::Rc<context::ProcessContext>,
    pub(super) job: open_job::SharedJob,
    pub(super) index: usize,
    pub(super) endpoint: rc::Rc<directory::EndpointEntry>,
    pub(super) number: admission::StreamNumber,
    /// Address of the owner that lent the slot, if it is another process.
    pub(super) lender: Option<net::SocketAddr>,
    pub(super) max_attempts: u32,
    /// Chain of runs that this run extends; the run stops if the item starts a new
    /// chain.
    pub(super) chain: u64,
    /// Why the item started when it did.
    pub(super) turn: item_order::StartTurn,
    /// Whether the response head has been received.
    pub(super) has_head: cell::Cell<bool>,
}

/// Outcome of a run of an item.
#[derive(Debug, Clone, PartialEq, Eq)]
enum RunEnd {
    Completed,
    /// The endpoint reports that the item can never succeed.
    Impossible,
    /// The endpoint failed to process the item.
    Failed,
    /// The stream broke, for the given reason; another run can resume it.
    Cut(String),
    /// The output is larger than a result may be, so it is no answer; another run starts over.
    Oversized,
    /// The endpoint did not start the item.
    NotRun(outcome::NotRunReason),
    /// The slot was reclaimed or the job ended.
    Preempted,
}

impl ItemRun {
    /// Runs the item until its stream ends or is cancelled, then records the outcome.
    pub(super) async fn run(self) {
        let key = (self.endpoint.id.clone(), self.number);
        let is_borrowed = self.lender.is_some();
        let started = clock::BootInstant::now();
        let cancelled = self.context.jobs.begin_stream(key.clone(), is_borrowed);
        self.job.borrow_mut().streams.insert(key.clone());
        let before = self.last_event();
        let started_at = self.context.clock.now();
        let trial = self.begin_trial();
        let end = {
            let work = self.stream(started_at);
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
            RunEnd::Cut(_) if self.last_event() == before => self.check_for_crash(started_at),
            RunEnd::Completed => {
                let parts = self.parts();
                crash_guard::record_parts_served(&self.context, &parts, started_at);
            }
            RunEnd::NotRun(_) | RunEnd::Preempted if self.last_event() == before => {
                if let Some(subject) = trial {
                    crash_trials::return_trial(&self.context, subject);
                }
            }
            RunEnd::Cut(_)
            | RunEnd::Oversized
            | RunEnd::NotRun(_)
            | RunEnd::Preempted
            | RunEnd::Impossible
            | RunEnd::Failed => {}
        }
        self.record_hold_time(started.elapsed(), &end);
        self.settle(end);
        self.context.jobs.work.notify_one();
    }

    /// Returns the parts of the item's prompt.
    fn parts(&self) -> Vec<ids::PartDigest> {
        let job = self.job.borrow();
        item_parts(&self.context, &job.record.items[self.index])
    }

    /// Uses up the trial that was granted to the item, if there is one; returns what it decides
    /// about.
    fn begin_trial(&self) -> Option<ids::CrashSubject> {
        let parts = attempt::part_subjects(&self.parts());
        let job = self.job.borrow();
        let item = &job.record.items[self.index].id;
        self.context.crashes.trials.begin_item(&parts, item)
    }

    fn digest(&self) -> ids::RequestDigest {
        let job = self.job.borrow();
        item_digest(&job.record.host, &job.record.items[self.index])
    }

    /// Returns the index of the last event received for the item.
    fn last_event(&self) -> Option<u64> {
        self.job.borrow().items[self.index].last_event
    }

    /// Checks whether the endpoint crashed during a run that produced no events.
    ///
    /// The parts of an item that produces events are not suspected: it runs for seconds, and
    /// often runs beside a request that does crash the endpoint. An item under which endpoints
    /// crash starts again later each time, as each crash ends all that runs there.
    fn check_for_crash(&self, begun: clock::MonotonicTime) {
        let run = crash_watch::InterruptedRun {
            digest: self.digest(),
            is_item: true,
            id: self.job.borrow().record.items[self.index].id.clone(),
            endpoint: self.endpoint.clone(),
            begun,
            has_head: self.has_head.get(),
            events: 0,
            parts: self.parts(),
            trial: None,
        };
        let (context, job, index) = (self.context.clone(), self.job.clone(), self.index);
        actix_rt::spawn(async move {
            if crash_watch::watch(context, run).await {
                job.borrow_mut().items[index].record_crash();
            }
        });
    }

    /// Adds the run's duration to the item's slot hold time, and records the total when
    /// the item completes.
    fn record_hold_time(&self, duration: time::Duration, end: &RunEnd) {
        let mut job = self.job.borrow_mut();
        let progress = &mut job.items[self.index];
        progress.spent += duration;
        if *end == RunEnd::Completed {
            let spent = progress.spent;
            self.context
                .jobs
                .record_hold_time(&self.endpoint.service, spent);
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

    /// Sends the item and appends the received events to its progress.
    async fn stream(&self, started_at: clock::MonotonicTime) -> RunEnd {
        use outcome::AttemptOutcome as O;

        let (request, resume_after) = match self.request() {
            Ok(request) => request,
            Err(reason) => {
                log::error!("event=item_unreadable why=\"{reason}\"");
                return RunEnd::Impossible;
            }
        };
        let terms = wire::AttemptTerms {
            endpoint: &self.endpoint.id,
            timeout: None,
            resume_after,
        };
        if resume_after.is_none() {
            start_check::check_beginning(&self.context, &self.endpoint).await;
        }
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
            O::Failed(reason) | O::Unknown(reason) => return RunEnd::Cut(reason),
        };
        self.has_head.set(true);
        let status = open.incoming.head.status.as_u16();
        match status {
            200..=299 => {
                let idle_limit = open.metadata.idle_limit;
                self.read_events(open.incoming, resume_after, idle_limit, started_at)
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
        let (uri, mut headers) = parse_item(item)?;
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
            parts: wire.prompt_prefix(&headers).parts().to_vec(),
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
        mut incoming: connection::IncomingResponse,
        resume_after: Option<u64>,
        idle_limit: Option<time::Duration>,
        started_at: clock::MonotonicTime,
    ) -> RunEnd {
        let mut splitter = event_split::EventSplitter::default();
        let mut last_event = resume_after;
        let mut events = 0;
        let mut output_bytes = self.job.borrow().items[self.index].output_bytes();
        let mut event_at = clock::BootInstant::now();
        loop {
            loop {
                match splitter.next_event() {
                    Ok(None) if event_at.elapsed() > MAX_EVENT_TIME => {
                        return RunEnd::Cut("no complete event arrived in time".into())
                    }
                    Ok(None) => break,
                    Ok(Some(event)) => {
                        event_at = clock::BootInstant::now();
                        if last_event.is_some_and(|last_event| event.id != last_event + 1) {
                            return RunEnd::Cut(format!("event {} after {last_event:?}", event.id));
                        }
                        if last_event == resume_after {
                            self.context.fleet.record_verified(&self.endpoint.id);
                            if resume_after.is_some() && !self.is_unchanged() {
                                return RunEnd::Cut(
                                    "the endpoint has other software by now".into(),
                                );
                            }
                        }
                        last_event = Some(event.id);
                        events += 1;
                        if events == crash_guard::PROOF_EVENTS {
                            let parts = self.parts();
                            crash_guard::record_parts_served(&self.context, &parts, started_at);
                        }
                        output_bytes += event.bytes.len();
                        if output_bytes > MAX_OUTPUT_BYTES {
                            return RunEnd::Oversized;
                        }
                        if !self.append_event(&event) {
                            return RunEnd::Preempted;
                        }
                    }
                    Err(e) => return RunEnd::Cut(e.to_string()),
                }
            }
            match tokio::time::timeout(EVENT_TIMEOUT, incoming.next_bytes()).await {
                Ok(Ok(Some(bytes))) => splitter.push(&bytes),
                Ok(Ok(None)) if splitter.has_partial_event() => {
                    return RunEnd::Cut("the stream ended in the middle of an event".into())
                }
                Ok(Ok(None)) => break,
                Ok(Err(e)) => return RunEnd::Cut(e.to_string()),
                Err(_) => return RunEnd::Cut("no event arrived within the timeout".into()),
            }
        }
        let is_resumed = resume_after.is_some();
        let is_empty = events == 0;
        if is_empty
            && !crash_watch::is_empty_stream_complete(&incoming, &self.endpoint, is_resumed).await
        {
            return RunEnd::Cut("the connection ended before the first event".into());
        }
        if let Some(connection) = incoming.into_connection() {
            self.context.pool.put(connection, idle_limit);
        }
        RunEnd::Completed
    }

    /// Returns whether the endpoint is not listed with another start or software by now.
    fn is_unchanged(&self) -> bool {
        let directory = self.context.fleet.directory.borrow();
        let listed = directory.entry(&self.endpoint.id);
        listed.is_none_or(|listed| {
            listed.started == self.endpoint.started && listed.software == self.endpoint.software
        })
    }

    /// Appends an event to the item and returns whether the item still needs this run.
    fn append_event(&self, event: &event_split::RawEvent) -> bool {
        let mut job = self.job.borrow_mut();
        if job.ended {
            return false;
        }
        let progress = &mut job.items[self.index];
        if !progress.is_run_by(self.chain) {
            return false;
        }
        progress.record_event();
        if progress.events.is_empty() {
            progress.software = continuations::certain_software(&self.context, &self.endpoint);
        }
        progress.events.push(event.data());
        progress.last_event = Some(event.id);
        true
    }

    /// Updates the health of the endpoint from the outcome and reports it to the slot's
    /// grantor.
    fn report_endpoint(&self, end: &RunEnd) {
        let context = &self.context;
        let observation = match end {
            RunEnd::Completed => {
                let mut loads = context.loads.borrow_mut();
                loads.health.record_success(&self.endpoint.id);
                loads
                    .doubts
                    .record_life(&self.endpoint.id, context.clock.now());
                drop(loads);
                endpoint_records::record_life(context, &self.endpoint.id, "served");
                let mut permits = context.permits.borrow_mut();
                return permits.record_served(&self.endpoint.id);
            }
            RunEnd::Cut(_) | RunEnd::Oversized => Some(endpoint_reports::failure(context, true)),
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
            RunEnd::Oversized => "oversized",
            RunEnd::NotRun(_) => "not_run",
            RunEnd::Preempted => "preempted",
        };
        self.context
            .metrics
            .batch_items
            .with_label_values(&[label])
            .inc();
        self.report_endpoint(&end);
        let mut job = self.job.borrow_mut();
        log::info!(
            "event=item_run job={} item={} workspace={} turn={} endpoint={} software={} end=\"{end:?}\" last_event={:?}",
            job.record.id,
            job.record.items[self.index].id,
            job.record.workspace.as_ref().map_or("-", |id| id.as_str()),
            self.turn.label(),
            self.endpoint.id,
            self.endpoint.software_label(),
            job.items[self.index].last_event,
        );
        if !job.items[self.index].is_run_by(self.chain) {
            return;
        }
        let progress = &mut job.items[self.index];
        progress.phase = open_job::ItemPhase::Waiting;
        progress.waiting_since = clock::BootInstant::now();
        match end {
            RunEnd::Completed => job.finish(self.index, wire::ItemState::Completed),
            RunEnd::Impossible => job.finish(self.index, wire::ItemState::GivenUp),
            RunEnd::Failed => {
                progress.failures += 1;
                progress.not_before = clock::BootInstant::now() + RETRY_DELAY;
                let spent = progress.failures >= self.max_attempts;
                if spent && !protection::is_disabled("item_attempts") {
                    job.finish(self.index, wire::ItemState::GivenUp);
                }
            }
            RunEnd::Cut(_) | RunEnd::NotRun(_) | RunEnd::Oversized => {
                let delay =
                    retry::backoff_delay(progress.empty_runs, &RETRY_DELAYS, &mut rand::rng());
                progress.empty_runs += 1;
                progress.not_before = clock::BootInstant::now() + delay;
                if end == RunEnd::Oversized {
                    progress.start_over();
                }
            }
            RunEnd::Preempted => {}
        }
        let pending = !job.pending.is_empty();
        drop(job);
        if pending {
            job_table::commit(&self.context, &self.job);
        }
    }
}

/// Returns the digest of an item's request, which is the same in every job that
/// contains the item.
pub(super) fn item_digest(host: &str, item: &wire::JobItem) -> ids::RequestDigest {
    ids::RequestDigest::of(ITEM_METHOD.as_str(), host, &item.path, &item.body)
}

/// Returns the parts of an item's prompt that other requests may share.
pub(super) fn item_parts(
    context: &context::ProcessContext,
    item: &wire::JobItem,
) -> Vec<ids::PartDigest> {
    let parsed = parse_item(item);
    let prefix = parsed.map(|(_, headers)| context.wire.prompt_prefix(&headers));
    prefix.map_or_else(|_| Vec::new(), |prefix| prefix.parts().to_vec())
}

/// Parses the path and headers of an item's request.
///
/// # Errors
/// Returns an error for anything that cannot be forwarded unchanged, since a request is
/// never modified.
pub fn parse_item(item: &wire::JobItem) -> Result<(actix_http::Uri, wire::HeaderMap), String> {
    let invalid = |what: &str| format!("item {}: {what} cannot be sent", item.id);
    let uri = actix_http::Uri::try_from(item.path.as_str());
    let uri = uri.map_err(|_| invalid("its path"))?;
    if !item.path.starts_with('/') {
        return Err(invalid("its path"));
    }
    let mut headers = wire::HeaderMap::new();
    for (name, value) in &item.headers {
        let header = actix_http::header::HeaderName::try_from(name.as_str());
        let header = header.map_err(|_| invalid("the name of a header"))?;
        let value = actix_http::header::HeaderValue::try_from(value.as_str());
        let value = value.map_err(|_| invalid("the value of a header"))?;
        headers.append(header, value);
    }
    Ok((uri, headers))
}
