//! Runs the items of owned jobs in the places that online requests leave.

use std::{collections, rc, time};

use futures::future;

use super::{
    attempt, connection, directory, event_split, job_board, job_records, peers, process,
    route_table, wire,
};
use crate::{decisions::admission, ids, outcome, platform, store};

/// Longest wait for the head of an item's answer; it may wait for a slot.
const HEAD_PATIENCE: time::Duration = time::Duration::from_millis(1500);
/// Longest pause between events of an item; the engine's steps take 3 to 60 ms.
const GAP_PATIENCE: time::Duration = time::Duration::from_millis(600);
/// Pause before an item starts again after a failure.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(150);
/// How often it is looked for work without a word of it.
const IDLE_LOOK: time::Duration = time::Duration::from_millis(200);
/// Longest wait for an owner that may lend places.
const LOAN_TIMEOUT: time::Duration = time::Duration::from_millis(100);
/// Pause between two rounds of asking for places.
const LOAN_PAUSE: time::Duration = time::Duration::from_millis(60);
/// Owners that are asked in one round.
const LENDERS_ASKED: usize = 4;
/// Places that one owner is asked for at once.
const MAX_LOAN: usize = 16;
/// Wait after a change of owners before the store is searched for their jobs:
/// the gateways that accepted them hand most of them over first.
const ADOPT_PAUSE: time::Duration = time::Duration::from_millis(700);
/// Pause after the store did not answer.
const STORE_PAUSE: time::Duration = time::Duration::from_millis(700);
/// Longest wait of one watch for ended jobs.
const END_WAIT: time::Duration = time::Duration::from_secs(25);
/// How long results stay after a job's retention, for late readers.
const KEPT_AFTER: time::Duration = time::Duration::from_secs(120);
/// How often old jobs are looked for.
const REMOVE_PAUSE: time::Duration = time::Duration::from_secs(30);

/// Starts the duties of a runner.
pub fn start(context: &rc::Rc<process::ProcessContext>) {
    actix_rt::spawn(run_items(context.clone()));
    actix_rt::spawn(adopt_jobs(context.clone()));
    actix_rt::spawn(watch_ends(context.clone()));
    actix_rt::spawn(remove_old_jobs(context.clone()));
}

/// Takes a job over; says whether it is over already.
pub fn take_job(context: &rc::Rc<process::ProcessContext>, record: job_records::JobRecord) -> bool {
    if let Some(job) = context.jobs.get(&record.id) {
        return job.borrow().is_over();
    }
    let id = record.id.clone();
    let due_ms = job_board::due_of(context, &record);
    log::info!(
        "event=job_taken job={id} items={} due_ms={due_ms}",
        record.items.len()
    );
    let age = job_records::epoch_ms().saturating_sub(record.submitted_ms);
    let job = context.jobs.put(record, due_ms);
    if age > FRESH_JOB_MS {
        // It may have results of an earlier owner; a new one has none.
        actix_rt::spawn(take_results(context.clone(), id, job));
    } else {
        job.borrow_mut().is_known = true;
        context.jobs.work.notify_one();
    }
    false
}

/// Age up to which a job is taken to have no results: no item is done so soon.
const FRESH_JOB_MS: u64 = 300;

/// Learns what earlier owners did, until the store answers; nothing runs before.
async fn take_results(
    context: rc::Rc<process::ProcessContext>,
    id: ids::JobId,
    job: job_board::SharedJob,
) {
    while let Err(e) = job_board::learn(&context, &job).await {
        log::warn!("event=job_unlearned job={id} why=\"{e}\"");
        actix_rt::time::sleep(STORE_PAUSE).await;
    }
    context.jobs.work.notify_one();
}

/// Ends a job: its streams stop, and nothing of it starts any more.
pub fn end_job(context: &rc::Rc<process::ProcessContext>, id: &ids::JobId) {
    let Some(job) = context.jobs.get(id) else {
        return;
    };
    if std::mem::replace(&mut job.borrow_mut().ended, true) {
        return;
    }
    log::info!("event=job_ended job={id}");
    let streams = std::mem::take(&mut job.borrow_mut().streams);
    for (endpoint, number) in streams {
        context.jobs.preempt(&endpoint, number);
    }
    context.jobs.work.notify_one();
}

/// Starts items while there are places.
async fn run_items(context: rc::Rc<process::ProcessContext>) {
    loop {
        if !context.is_leaving() {
            start_items(&context);
        } else {
            context.jobs.preempt_all();
        }
        let looked = context.jobs.work.notified();
        if tokio::time::timeout(IDLE_LOOK, looked).await.is_err() {
            log::trace!("event=idle_look");
        }
    }
}

fn start_items(context: &rc::Rc<process::ProcessContext>) {
    let mut full = collections::HashMap::new();
    for job in open_jobs(context) {
        start_job_items(context, &job, &mut full);
    }
    for (service, waiting) in full {
        borrow_places(context, service, waiting);
    }
}

/// The open jobs that this process owns, the one that is due first first.
fn open_jobs(context: &rc::Rc<process::ProcessContext>) -> Vec<job_board::SharedJob> {
    let mut jobs: Vec<_> = context
        .jobs
        .all()
        .into_iter()
        .filter(|job| job.borrow().is_known && !job.borrow().is_over())
        .filter(|job| {
            let owner = context.job_owner(&job.borrow().record.id);
            owner.as_ref() == Some(context.id())
        })
        .collect();
    jobs.sort_by_key(|job| job.borrow().due_ms);
    jobs
}

/// Asks the other owners for places for items that wait here.
fn borrow_places(
    context: &rc::Rc<process::ProcessContext>,
    service: ids::ServiceName,
    waiting: usize,
) {
    if context.jobs.borrowing.replace(true) {
        return;
    }
    let context = context.clone();
    actix_rt::spawn(async move {
        let mut waiting = waiting;
        let mut owners = (*context.owners()).clone();
        owners.retain(|o| o.id != *context.id() && context.hears(&o.id));
        for i in (1..owners.len()).rev() {
            owners.swap(i, rand::random_range(0..=i));
        }
        for owner in owners.into_iter().take(LENDERS_ASKED) {
            if waiting == 0 {
                break;
            }
            let address = context.members.borrow().address_of(&owner.id);
            let Some(address) = address else { continue };
            let ask = peers::LoanAsk {
                instance: context.id().clone(),
                service: service.clone(),
                count: waiting.min(MAX_LOAN),
            };
            match context.links.lend(address, ask, LOAN_TIMEOUT).await {
                Ok(loans) => {
                    waiting = waiting.saturating_sub(loans.len());
                    for loan in loans {
                        use_loan(&context, address, loan);
                    }
                }
                Err(e) => log::debug!("event=loan_failed owner={} why=\"{e}\"", owner.id),
            }
        }
        actix_rt::time::sleep(LOAN_PAUSE).await;
        context.jobs.borrowing.set(false);
    });
}

/// Starts the first waiting item of the loan's service, or gives the place back.
fn use_loan(
    context: &rc::Rc<process::ProcessContext>,
    lender: std::net::SocketAddr,
    loan: peers::StreamLoan,
) {
    let endpoint = context
        .fleet
        .directory
        .borrow()
        .usable(&loan.endpoint)
        .cloned();
    let item = endpoint
        .as_ref()
        .and_then(|e| waiting_item(context, &e.service));
    let (Some(endpoint), Some((job, index, route))) = (endpoint, item) else {
        context.links.give_back(lender, loan);
        return;
    };
    job.borrow_mut().items[index].phase = job_board::ItemPhase::Running;
    let run = ItemRun {
        context: context.clone(),
        job,
        index,
        endpoint,
        number: loan.number,
        lender: Some(lender),
        max_attempts: route.max_attempts,
    };
    actix_rt::spawn(run.run());
}

/// The first item that waits for a place at a service.
fn waiting_item(
    context: &rc::Rc<process::ProcessContext>,
    service: &ids::ServiceName,
) -> Option<(
    job_board::SharedJob,
    usize,
    std::sync::Arc<route_table::Route>,
)> {
    let now = time::Instant::now();
    for job in open_jobs(context) {
        let count = job.borrow().items.len();
        let ready = (0..count).find(|index| job.borrow().items[*index].is_ready(now));
        let Some(index) = ready else { continue };
        if let ItemRoute::Found(route) = route_of(context, &job, index) {
            if route
                .targets
                .iter()
                .any(|t| t.service == *service && t.weight > 0)
            {
                return Some((job, index, route));
            }
        }
    }
    None
}

/// Starts what can be started of a job; services without places go into `full`,
/// with the number of items that wait for them.
fn start_job_items(
    context: &rc::Rc<process::ProcessContext>,
    job: &job_board::SharedJob,
    full: &mut collections::HashMap<ids::ServiceName, usize>,
) {
    let count = job.borrow().items.len();
    let now = time::Instant::now();
    for index in 0..count {
        if !job.borrow().items[index].is_ready(now) {
            continue;
        }
        match route_of(context, job, index) {
            ItemRoute::None => give_up(context, job, index, "its route is gone"),
            ItemRoute::Unknown => {}
            ItemRoute::Found(route) => {
                let late = {
                    let job = job.borrow();
                    let age = job_records::epoch_ms().saturating_sub(job.record.submitted_ms);
                    age > route.retention.as_millis() as u64
                };
                if late {
                    give_up(context, job, index, "its retention is over");
                    continue;
                }
                start_item(context, job, index, &route, full);
            }
        }
    }
}

/// What the desired state says of an item.
enum ItemRoute {
    Found(std::sync::Arc<route_table::Route>),
    None,
    /// No desired state is known.
    Unknown,
}

fn route_of(
    context: &process::ProcessContext,
    job: &job_board::SharedJob,
    index: usize,
) -> ItemRoute {
    let table = context.fleet.table();
    if !table.is_known() {
        return ItemRoute::Unknown;
    }
    let job = job.borrow();
    let path = &job.record.items[index].path;
    match table.find(&job.record.host, path) {
        Some(route) if route.kind == route_table::RouteKind::Batch => {
            ItemRoute::Found(route.clone())
        }
        _ => ItemRoute::None,
    }
}

fn start_item(
    context: &rc::Rc<process::ProcessContext>,
    job: &job_board::SharedJob,
    index: usize,
    route: &std::sync::Arc<route_table::Route>,
    full: &mut collections::HashMap<ids::ServiceName, usize>,
) {
    let total: u32 = route.targets.iter().map(|t| t.weight.max(1)).sum();
    let mut point = rand::random_range(0..total.max(1));
    let target = route.targets.iter().find(|t| {
        let inside = point < t.weight.max(1);
        point = point.saturating_sub(t.weight.max(1));
        inside
    });
    let Some(target) = target else { return };
    if let Some(waiting) = full.get_mut(&target.service) {
        *waiting += 1;
        return;
    }
    let now = context.clock.now();
    let place = {
        let mut permits = context.permits.borrow_mut();
        let shunned = context.loads.borrow().shunned(permits.owned(), now);
        permits.begin_batch(&target.service, &shunned, now)
    };
    let Some((endpoint, number)) = place else {
        full.insert(target.service.clone(), 1);
        return;
    };
    job.borrow_mut().items[index].phase = job_board::ItemPhase::Running;
    let run = ItemRun {
        context: context.clone(),
        job: job.clone(),
        index,
        endpoint,
        number,
        lender: None,
        max_attempts: route.max_attempts,
    };
    actix_rt::spawn(run.run());
}

fn give_up(
    context: &rc::Rc<process::ProcessContext>,
    job: &job_board::SharedJob,
    index: usize,
    why: &str,
) {
    let id = job.borrow().record.items[index].id.clone();
    log::info!("event=item_given_up item={id} why=\"{why}\"");
    context
        .metrics
        .batch_items
        .with_label_values(&["given_up"])
        .inc();
    job.borrow_mut().finish(index, wire::ItemState::GivenUp);
    job_board::commit(context, job);
}

/// One run of an item at one endpoint.
struct ItemRun {
    context: rc::Rc<process::ProcessContext>,
    job: job_board::SharedJob,
    index: usize,
    endpoint: rc::Rc<directory::EndpointEntry>,
    number: admission::StreamNumber,
    /// The owner that lent the place, if it is another process.
    lender: Option<std::net::SocketAddr>,
    max_attempts: u32,
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
    NotRun(bool),
    /// The place was taken back, or the job was ended.
    Preempted,
}

impl ItemRun {
    async fn run(self) {
        let key = (self.endpoint.id.clone(), self.number);
        let is_loan = self.lender.is_some();
        let cancelled = self.context.jobs.begin_stream(key.clone(), is_loan);
        self.job.borrow_mut().streams.insert(key.clone());
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
        self.leave_place();
        self.settle(end);
        self.context.jobs.work.notify_one();
    }

    fn leave_place(&self) {
        let loan = peers::StreamLoan {
            endpoint: self.endpoint.id.clone(),
            number: self.number,
        };
        match self.lender {
            Some(lender) => self.context.links.give_back(lender, loan),
            None => {
                let mut permits = self.context.permits.borrow_mut();
                permits.end_batch(&loan.endpoint, loan.number);
            }
        }
    }

    /// Sends the item and reads its events into the job.
    async fn stream(&self) -> RunEnd {
        use outcome::AttemptOutcome as O;

        let (request, resume_after) = self.request();
        let terms = wire::AttemptTerms {
            endpoint: &self.endpoint.id,
            patience: None,
            resume_after,
        };
        let sent = attempt::send(
            &self.context,
            &self.endpoint,
            &request,
            &terms,
            HEAD_PATIENCE,
        );
        let open = match sent.await {
            O::Completed(open) => open,
            O::NotRun(proof) => return RunEnd::NotRun(proof.is_refusal()),
            O::Failed(why) | O::Unknown(why) => return RunEnd::Cut(why),
        };
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

    fn request(&self) -> (attempt::ForwardedRequest, Option<u64>) {
        let job = self.job.borrow();
        let item = &job.record.items[self.index];
        let mut headers = wire::HeaderMap::new();
        for (name, value) in &item.headers {
            let name = actix_http::header::HeaderName::try_from(name.as_str());
            let value = actix_http::header::HeaderValue::try_from(value.as_str());
            match (name, value) {
                (Ok(name), Ok(value)) => headers.append(name, value),
                _ => log::warn!("event=item_header_dropped item={}", item.id),
            }
        }
        if let Ok(host) = actix_http::header::HeaderValue::try_from(job.record.host.as_str()) {
            headers.insert(actix_http::header::HOST, host);
        }
        self.context.wire.write_item_id(&mut headers, &item.id);
        let uri = actix_http::Uri::try_from(item.path.as_str()).unwrap_or_default();
        let request = attempt::ForwardedRequest {
            method: actix_http::Method::POST,
            uri,
            headers,
            body: item.body.clone(),
            id: Some(item.id.clone()),
            repeatable: true,
        };
        (request, job.items[self.index].last_event)
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
                        last = Some(event.id);
                        if !self.take_event(&event) {
                            return RunEnd::Preempted;
                        }
                    }
                    Err(e) => return RunEnd::Cut(e.to_string()),
                }
            }
            match tokio::time::timeout(GAP_PATIENCE, incoming.next_bytes()).await {
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
        if progress.phase != job_board::ItemPhase::Running {
            return false;
        }
        progress.events.push(event.data());
        progress.last_event = Some(event.id);
        true
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
        let now = self.context.clock.now();
        let mut loads = self.context.loads.borrow_mut();
        match &end {
            RunEnd::Completed => loads.health.note_success(&self.endpoint.id),
            RunEnd::Cut(_) | RunEnd::NotRun(false) => {
                loads.health.note_silence(&self.endpoint.id, now);
            }
            _ => {}
        }
        drop(loads);
        let mut job = self.job.borrow_mut();
        log::info!(
            "event=item_run job={} item={} endpoint={} end=\"{end:?}\" last_event={:?}",
            job.record.id,
            job.record.items[self.index].id,
            self.endpoint.id,
            job.items[self.index].last_event,
        );
        if job.items[self.index].phase != job_board::ItemPhase::Running {
            return;
        }
        let progress = &mut job.items[self.index];
        progress.phase = job_board::ItemPhase::Waiting;
        match end {
            RunEnd::Completed => job.finish(self.index, wire::ItemState::Completed),
            RunEnd::Impossible => job.finish(self.index, wire::ItemState::GivenUp),
            RunEnd::Failed => {
                progress.failures += 1;
                progress.not_before = time::Instant::now() + RETRY_PAUSE;
                if progress.failures >= self.max_attempts {
                    job.finish(self.index, wire::ItemState::GivenUp);
                }
            }
            RunEnd::Cut(_) | RunEnd::NotRun(_) => {
                progress.not_before = time::Instant::now() + RETRY_PAUSE;
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

/// Searches the store for jobs of this process whenever the owners change.
async fn adopt_jobs(context: rc::Rc<process::ProcessContext>) {
    loop {
        context.jobs.owners_changed.notified().await;
        actix_rt::time::sleep(ADOPT_PAUSE).await;
        let is_owner = context.owners().iter().any(|o| o.id == *context.id());
        if !is_owner {
            continue;
        }
        while let Err(e) = adopt(&context).await {
            log::warn!("event=jobs_unread why=\"{e}\"");
            actix_rt::time::sleep(STORE_PAUSE).await;
        }
    }
}

async fn adopt(context: &rc::Rc<process::ProcessContext>) -> store::StoreResult<()> {
    let prefix = format!("{}/", job_records::JOB_KIND);
    let found = store::list_all(context.store.as_ref(), &prefix).await?;
    log::info!("event=jobs_listed count={}", found.len());
    for change in found {
        let Some(value) = change.value else { continue };
        match serde_json::from_str::<job_records::JobRecord>(&value) {
            Ok(record) => {
                if context.job_owner(&record.id).as_ref() == Some(context.id()) {
                    take_job(context, record);
                }
            }
            Err(e) => log::warn!("event=job_unreadable key={} why=\"{e}\"", change.key),
        }
    }
    Ok(())
}

/// Follows the marks of ended jobs.
async fn watch_ends(context: rc::Rc<process::ProcessContext>) {
    let prefix = format!("{}/", job_records::END_KIND);
    let mut since = store::ObjectRevision(0);
    loop {
        let is_owner = context.owners().iter().any(|o| o.id == *context.id());
        if !is_owner || !context.fleet.is_reachable() {
            actix_rt::time::sleep(STORE_PAUSE).await;
            continue;
        }
        match context.store.watch(&[&prefix], since, END_WAIT).await {
            Ok(answer) => {
                since = store::ObjectRevision(answer.revision);
                let ended = answer.changes.iter();
                let ended: Vec<_> = ended.filter_map(|c| ended_job(&prefix, c)).collect();
                context.jobs.note_ended(ended.iter().cloned());
                for id in &ended {
                    end_job(&context, id);
                }
            }
            Err(e) => {
                context.jobs.forget_ended();
                since = store::ObjectRevision(0);
                log::info!("event=ends_unread why=\"{e}\"");
                actix_rt::time::sleep(STORE_PAUSE).await;
            }
        }
    }
}

/// The job that a new mark ends.
fn ended_job(prefix: &str, change: &platform::ObjectChange) -> Option<ids::JobId> {
    change.value.as_ref()?;
    let name = change.key.strip_prefix(prefix).unwrap_or(&change.key);
    name.parse()
        .inspect_err(|e| log::warn!("event=end_unreadable key={} why=\"{e}\"", change.key))
        .ok()
}

/// Removes owned jobs that nobody reads any more.
async fn remove_old_jobs(context: rc::Rc<process::ProcessContext>) {
    loop {
        actix_rt::time::sleep(REMOVE_PAUSE).await;
        for job in context.jobs.all() {
            if let Err(e) = remove_if_old(&context, &job).await {
                log::warn!("event=old_job_left why=\"{e}\"");
            }
        }
    }
}

async fn remove_if_old(
    context: &rc::Rc<process::ProcessContext>,
    job: &job_board::SharedJob,
) -> store::StoreResult<()> {
    let (id, parts, ended, age, over) = {
        let job = job.borrow();
        let age = job_records::epoch_ms().saturating_sub(job.record.submitted_ms);
        (
            job.record.id.clone(),
            job.parts,
            job.ended,
            time::Duration::from_millis(age),
            job.is_over(),
        )
    };
    let owned = context.job_owner(&id).as_ref() == Some(context.id());
    if !owned || !over || age < KEPT_AFTER * 2 {
        return Ok(());
    }
    job_records::remove(context.store.as_ref(), &id, parts, ended).await?;
    log::info!("event=old_job_removed job={id} age_s={}", age.as_secs());
    context.jobs.remove(&id);
    Ok(())
}
