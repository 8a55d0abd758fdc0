//! Which items of the owned jobs may start now, the first to start first.

use std::{rc, time};

use super::{context, crash_guard, item_run, job_board, job_runner, open_job, route_table, wire};
use crate::{
    clock,
    decisions::{crash_ledger::CrashVerdict, item_order},
};

/// An item that may start now.
pub(super) struct ReadyItem {
    pub(super) job: open_job::SharedJob,
    pub(super) index: usize,
    pub(super) route: std::sync::Arc<route_table::Route>,
    key: item_order::StartKey,
}

/// How waiting items are ordered. Over capacity it brought 0.73 of the items in
/// time where the earliest due time first brought 0.52 (`jayhollow-bench placement`).
const ORDER: item_order::OrderPolicy = item_order::OrderPolicy::FeasibleFirst;

/// How often an item that is held back is looked at again: it may be cleared elsewhere,
/// or its retention may be over.
const HELD_LOOK: time::Duration = time::Duration::from_secs(5);

/// The items that may start now, the first to start first; gives up those that
/// cannot be done any more.
pub(super) fn ready_items(context: &rc::Rc<context::ProcessContext>) -> Vec<ReadyItem> {
    let mut ready = Vec::new();
    for job in open_jobs(context) {
        add_ready_items(context, &job, &mut ready);
    }
    // Looked at once for all: it is seldom, and costs a look at each known crash.
    if context.crashes.has_held() {
        ready.retain(|item| !is_held(context, &item.job, item.index));
    }
    ready.sort_by_key(|item| item.key);
    ready
}

/// The open jobs that this process owns, the one that is due first first.
fn open_jobs(context: &rc::Rc<context::ProcessContext>) -> Vec<open_job::SharedJob> {
    let mut jobs: Vec<_> = context
        .jobs
        .all()
        .into_iter()
        .filter(|job| !job.borrow().is_over())
        .filter(|job| is_run_here(context, job))
        .collect();
    for job in &jobs {
        job_board::learn_due(context, job);
    }
    jobs.sort_by_key(|job| job.borrow().due());
    jobs
}

/// Whether this process owns a job and knows what owners before it did.
///
/// While another owned it, it may have been ended and have got results.
fn is_run_here(context: &rc::Rc<context::ProcessContext>, job: &open_job::SharedJob) -> bool {
    use open_job::OwnerKnowledge as K;

    let owner = context.job_owner(&job.borrow().record.id);
    let is_owned = owner.as_ref() == Some(context.id());
    let mut open = job.borrow_mut();
    match open.knowledge {
        K::Current if is_owned => return true,
        K::Current => open.knowledge = K::Outdated,
        K::Outdated if is_owned => {
            open.knowledge = K::Reading;
            actix_rt::spawn(job_runner::take_results(context.clone(), job.clone()));
        }
        K::Outdated | K::Reading => {}
    }
    false
}

/// Adds the items of a job that may start now, and gives up those that cannot be done any more.
fn add_ready_items(
    context: &rc::Rc<context::ProcessContext>,
    job: &open_job::SharedJob,
    ready: &mut Vec<ReadyItem>,
) {
    let now = clock::BootInstant::now();
    let now_ms = clock::epoch_ms();
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

/// Whether an item is held back, as it crashes endpoints; it is looked at again later.
fn is_held(
    context: &rc::Rc<context::ProcessContext>,
    job: &open_job::SharedJob,
    index: usize,
) -> bool {
    let mut job = job.borrow_mut();
    let item = &job.record.items[index];
    let digest = item_run::item_digest(&job.record.host, item);
    let verdict = crash_guard::admit(context, digest, &item.id);
    let CrashVerdict::Quarantined(left) = verdict else {
        return false;
    };
    job.items[index].not_before = clock::BootInstant::now() + left.min(HELD_LOOK);
    true
}

fn start_key(
    context: &context::ProcessContext,
    job: &open_job::OpenJob,
    index: usize,
    route: &route_table::Route,
    now_ms: u64,
) -> item_order::StartKey {
    let spent = job.items[index].spent;
    let service = route.targets.first().map(|t| &t.service);
    let remaining_ms = service.map_or(0, |s| context.jobs.remaining_ms(s, spent));
    let timing = item_order::ItemTiming {
        due_ms: job.due(),
        remaining_ms,
    };
    ORDER.start_key(&timing, now_ms)
}

/// What the desired state says of an item.
enum ItemRoute {
    Found(std::sync::Arc<route_table::Route>),
    None,
    /// No desired state is known that is as new as the one which allowed the job.
    Unknown,
}

fn route_of(
    context: &context::ProcessContext,
    job: &open_job::SharedJob,
    index: usize,
) -> ItemRoute {
    let table = context.fleet.table();
    let job = job.borrow();
    // The job may be allowed, or go elsewhere, only by what is not known here yet.
    if !table.is_known() || table.version() < job.record.version {
        return ItemRoute::Unknown;
    }
    let path = &job.record.items[index].path;
    match table.find(&job.record.host, path) {
        Some(route) if route.kind == route_table::RouteKind::Batch => {
            ItemRoute::Found(route.clone())
        }
        _ => ItemRoute::None,
    }
}

fn give_up(
    context: &rc::Rc<context::ProcessContext>,
    job: &open_job::SharedJob,
    index: usize,
    reason: &str,
) {
    let id = job.borrow().record.items[index].id.clone();
    log::info!("event=item_given_up item={id} why=\"{reason}\"");
    context
        .metrics
        .batch_items
        .with_label_values(&["given_up"])
        .inc();
    job.borrow_mut().finish(index, wire::ItemState::GivenUp);
    job_board::commit(context, job);
}
