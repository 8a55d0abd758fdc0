//! Runs the items of owned jobs in the places that online requests leave.

use std::{collections, rc, time};

use super::{
    directory, item_run, job_board, job_records, job_upkeep, open_job, peers, process, route_table,
    wire,
};
use crate::{
    decisions::{admission, item_order},
    ids,
};

/// How often it is looked for work without a word of it.
const IDLE_LOOK: time::Duration = time::Duration::from_millis(200);

/// Least time between two rounds over the waiting items: each looks at all of
/// them, and a place comes free every few milliseconds under load.
const ROUND_PAUSE: time::Duration = time::Duration::from_millis(5);

/// Longest wait for an owner that may lend places.
const LOAN_TIMEOUT: time::Duration = time::Duration::from_millis(100);

/// Pause between two rounds of asking for places.
const LOAN_PAUSE: time::Duration = time::Duration::from_millis(60);

/// Owners that are asked in one round.
const LENDERS_ASKED: usize = 4;

/// Places that one owner is asked for at once.
const MAX_LOAN: usize = 16;

/// Starts the duties of a runner.
pub fn start(context: &rc::Rc<process::ProcessContext>) {
    actix_rt::spawn(run_items(context.clone()));
    actix_rt::spawn(job_upkeep::adopt_jobs(context.clone()));
    actix_rt::spawn(job_upkeep::watch_ends(context.clone()));
    actix_rt::spawn(job_upkeep::remove_old_jobs(context.clone()));
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
    // An older one may have been ended, or have results of an earlier owner.
    if age <= FRESH_JOB_MS && context.jobs.is_ended(&id) == Some(false) {
        let mut job = job.borrow_mut();
        job.is_known = true;
        job.knowledge = open_job::OwnerKnowledge::Current;
    }
    context.jobs.work.notify_one();
    false
}

/// Age up to which a job is taken to have no results: no item is done so soon.
const FRESH_JOB_MS: u64 = 300;

/// Learns what earlier owners did, until the store answers; nothing runs before.
async fn take_results(context: rc::Rc<process::ProcessContext>, job: open_job::SharedJob) {
    while let Err(e) = job_board::learn(&context, &job).await {
        let id = job.borrow().record.id.clone();
        log::warn!("event=job_unlearned job={id} why=\"{e}\"");
        actix_rt::time::sleep(job_upkeep::STORE_PAUSE).await;
    }
    job.borrow_mut().knowledge = open_job::OwnerKnowledge::Current;
    context.jobs.work.notify_one();
}

/// Ends a job: its streams stop, and nothing of it starts any more.
pub fn end_job(context: &rc::Rc<process::ProcessContext>, id: &ids::JobId) {
    // Another owner may hand the job over later.
    context.jobs.note_end(id);
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
        actix_rt::time::sleep(ROUND_PAUSE).await;
        let looked = context.jobs.work.notified();
        if tokio::time::timeout(IDLE_LOOK, looked).await.is_err() {
            log::trace!("event=idle_look");
        }
    }
}

fn start_items(context: &rc::Rc<process::ProcessContext>) {
    let mut full = collections::HashMap::new();
    for item in ready_items(context) {
        start_item(context, &item, &mut full);
    }
    for (service, waiting) in full {
        borrow_places(context, service, waiting);
    }
}

/// An item that may start now.
struct ReadyItem {
    job: open_job::SharedJob,
    index: usize,
    route: std::sync::Arc<route_table::Route>,
    key: item_order::StartKey,
}

/// How waiting items are ordered. Over capacity it brought 0.73 of the items in
/// time where the earliest due time first brought 0.52 (`jayhollow-bench placement`).
const ORDER: item_order::OrderPolicy = item_order::OrderPolicy::FeasibleFirst;

/// The items that may start now, the first to start first; gives up those that
/// cannot be done any more.
fn ready_items(context: &rc::Rc<process::ProcessContext>) -> Vec<ReadyItem> {
    let mut ready = Vec::new();
    for job in open_jobs(context) {
        add_ready_items(context, &job, &mut ready);
    }
    ready.sort_by_key(|item| item.key);
    ready
}

/// The open jobs that this process owns, the one that is due first first.
fn open_jobs(context: &rc::Rc<process::ProcessContext>) -> Vec<open_job::SharedJob> {
    let mut jobs: Vec<_> = context
        .jobs
        .all()
        .into_iter()
        .filter(|job| !job.borrow().is_over())
        .filter(|job| is_run_here(context, job))
        .collect();
    jobs.sort_by_key(|job| job.borrow().due_ms);
    jobs
}

/// Whether this process owns a job and knows what owners before it did.
///
/// While another owned it, it may have been ended and have got results.
fn is_run_here(context: &rc::Rc<process::ProcessContext>, job: &open_job::SharedJob) -> bool {
    use open_job::OwnerKnowledge as K;

    let owner = context.job_owner(&job.borrow().record.id);
    let is_owned = owner.as_ref() == Some(context.id());
    let mut open = job.borrow_mut();
    match open.knowledge {
        K::Current if is_owned => return true,
        K::Current => open.knowledge = K::Outdated,
        K::Outdated if is_owned => {
            open.knowledge = K::Reading;
            actix_rt::spawn(take_results(context.clone(), job.clone()));
        }
        K::Outdated | K::Reading => {}
    }
    false
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
                    use_loans(&context, address, loans);
                }
                Err(e) => log::debug!("event=loan_failed owner={} why=\"{e}\"", owner.id),
            }
        }
        actix_rt::time::sleep(LOAN_PAUSE).await;
        context.jobs.borrowing.set(false);
    });
}

/// Starts the first waiting items in lent places; gives the places left over back.
fn use_loans(
    context: &rc::Rc<process::ProcessContext>,
    lender: std::net::SocketAddr,
    loans: Vec<peers::StreamLoan>,
) {
    let mut ready = ready_items(context);
    for loan in loans {
        let endpoint = context
            .fleet
            .directory
            .borrow()
            .usable(&loan.endpoint)
            .cloned();
        let fitting = endpoint.as_ref().and_then(|e| {
            let goes_there = |item: &ReadyItem| is_target(&item.route, &e.service);
            ready.iter().position(goes_there)
        });
        let (Some(endpoint), Some(position)) = (endpoint, fitting) else {
            context.links.give_back(lender, loan);
            continue;
        };
        let place = StreamPlace {
            endpoint,
            number: loan.number,
            lender: Some(lender),
        };
        begin_run(context, &ready.remove(position), place);
    }
}

fn is_target(route: &route_table::Route, service: &ids::ServiceName) -> bool {
    let mut targets = route.targets.iter();
    targets.any(|t| t.service == *service && t.weight > 0)
}

/// Adds the items of a job that may start now, and gives up those that cannot be done any more.
fn add_ready_items(
    context: &rc::Rc<process::ProcessContext>,
    job: &open_job::SharedJob,
    ready: &mut Vec<ReadyItem>,
) {
    let now = time::Instant::now();
    let now_ms = job_records::epoch_ms();
    let count = job.borrow().items.len();
    for index in 0..count {
        if !job.borrow().items[index].is_ready(now) {
            continue;
        }
        match route_of(context, job, index) {
            ItemRoute::None => give_up(context, job, index, "its route is gone"),
            ItemRoute::Unknown => {}
            ItemRoute::Found(route) => {
                let age = now_ms.saturating_sub(job.borrow().record.submitted_ms);
                if age > route.retention.as_millis() as u64 {
                    give_up(context, job, index, "its retention is over");
                    continue;
                }
                let key = start_key(context, &job.borrow(), index, &route, now_ms);
                let job = job.clone();
                ready.push(ReadyItem {
                    job,
                    index,
                    route,
                    key,
                });
            }
        }
    }
}

fn start_key(
    context: &process::ProcessContext,
    job: &open_job::OpenJob,
    index: usize,
    route: &route_table::Route,
    now_ms: u64,
) -> item_order::StartKey {
    let spent = job.items[index].spent;
    let service = route.targets.first().map(|t| &t.service);
    let remaining_ms = service.map_or(0, |s| context.jobs.remaining_ms(s, spent));
    let outlook = item_order::ItemOutlook {
        due_ms: job.due_ms,
        remaining_ms,
    };
    ORDER.start_key(&outlook, now_ms)
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
    job: &open_job::SharedJob,
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

/// Starts an item if a place is free; services without places go into `full`,
/// with the number of items that wait for them.
fn start_item(
    context: &rc::Rc<process::ProcessContext>,
    item: &ReadyItem,
    full: &mut collections::HashMap<ids::ServiceName, usize>,
) {
    let targets = &item.route.targets;
    let total: u32 = targets.iter().map(|t| t.weight.max(1)).sum();
    let mut point = rand::random_range(0..total.max(1));
    let target = targets.iter().find(|t| {
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
    let place = StreamPlace {
        endpoint,
        number,
        lender: None,
    };
    begin_run(context, item, place);
}

/// A place for a batch stream.
struct StreamPlace {
    endpoint: rc::Rc<directory::EndpointEntry>,
    number: admission::StreamNumber,
    /// The owner that lent it, if it is another process.
    lender: Option<std::net::SocketAddr>,
}

fn begin_run(context: &rc::Rc<process::ProcessContext>, item: &ReadyItem, place: StreamPlace) {
    item.job.borrow_mut().items[item.index].phase = open_job::ItemPhase::Running;
    let run = item_run::ItemRun {
        context: context.clone(),
        job: item.job.clone(),
        index: item.index,
        endpoint: place.endpoint,
        number: place.number,
        lender: place.lender,
        max_attempts: item.route.max_attempts,
    };
    actix_rt::spawn(run.run());
}

fn give_up(
    context: &rc::Rc<process::ProcessContext>,
    job: &open_job::SharedJob,
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
