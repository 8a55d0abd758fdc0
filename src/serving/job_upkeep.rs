//! Finds the jobs that this process owns, follows their ends, removes old ones.

use std::{rc, time};

use super::{context, job_checkpoints, job_records, job_runner, members, open_job, owners};
use crate::{clock, ids, platform, store};

/// Wait after a change of owners before the store is searched for their jobs:
/// the gateways that accepted them hand most of them over first.
const ADOPT_PAUSE: time::Duration = time::Duration::from_millis(700);

/// Age from which a process searches the store though it has not heard all
/// dispatchers that are listed: it would run their jobs a second time, unless
/// they are lost.
const ADOPT_AGE: time::Duration = time::Duration::from_millis(1500);

/// How often a process that has just started looks whether it heard them.
const ADOPT_LOOK: time::Duration = time::Duration::from_millis(25);

/// Pause after the store did not answer.
pub(super) const STORE_PAUSE: time::Duration = time::Duration::from_millis(700);

/// Longest wait of one watch for ended jobs.
const END_WAIT: time::Duration = time::Duration::from_secs(25);

/// How long results stay after a job's retention, for late readers.
const KEPT_AFTER: time::Duration = time::Duration::from_secs(120);

/// How often old jobs are looked for.
const REMOVE_PAUSE: time::Duration = time::Duration::from_secs(30);

/// Searches the store for jobs of this process whenever the owners change.
pub(super) async fn adopt_jobs(context: rc::Rc<context::ProcessContext>) {
    let mut has_offered = false;
    loop {
        context.jobs.owners_changed.notified().await;
        wait_for_owners(&context).await;
        if !std::mem::replace(&mut has_offered, true) {
            // A peer that does not answer must not hold the own jobs back.
            actix_rt::spawn(job_checkpoints::offer_kept(context.clone()));
        }
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

/// Waits until the owners of jobs are known, and handed over what they were handed.
///
/// Of a process that has just started, the others may have as well: then nobody
/// hands jobs over, and each moment is one of work on none of them: with fixed
/// pauses jobs begin 2.1 s after a start of all, without them after 0.1 s.
async fn wait_for_owners(context: &rc::Rc<context::ProcessContext>) {
    if context.age() >= ADOPT_AGE {
        return actix_rt::time::sleep(ADOPT_PAUSE).await;
    }
    while context.age() < ADOPT_AGE && !hears_dispatchers(context) {
        actix_rt::time::sleep(ADOPT_LOOK).await;
    }
    owners::refresh_owners(context);
}

/// Whether all dispatchers that are listed have answered this process.
fn hears_dispatchers(context: &context::ProcessContext) -> bool {
    let members = context.members.borrow();
    let mut dispatchers = members
        .records()
        .filter(|r| r.role == members::MemberRole::Dispatcher);
    context.members_known.get() && dispatchers.all(|r| members.was_seen(&r.id))
}

async fn adopt(context: &rc::Rc<context::ProcessContext>) -> store::StoreResult<()> {
    let prefix = format!("{}/", job_records::JOB_KIND);
    let found = store::list_all(context.store.as_ref(), &prefix).await?;
    log::info!("event=jobs_listed count={}", found.len());
    for change in found {
        let Some(value) = change.value else { continue };
        let name = change.key.strip_prefix(&prefix).unwrap_or(&change.key);
        match job_records::decode_job(name, value.as_bytes()) {
            Ok(record) => {
                if context.job_owner(&record.id).as_ref() == Some(context.id()) {
                    job_runner::take_job(context, record);
                }
            }
            Err(e) => log::warn!("event=job_unreadable key={} why=\"{e}\"", change.key),
        }
    }
    Ok(())
}

/// Follows the marks of ended jobs.
pub(super) async fn watch_ends(context: rc::Rc<context::ProcessContext>) {
    let prefix = format!("{}/", job_records::END_KIND);
    let mut since = store::ObjectRevision(0);
    loop {
        let is_owner = context.owners().iter().any(|o| o.id == *context.id());
        if !is_owner {
            // Others are told of new ends now, and the marks known here grow old.
            context.jobs.forget_ended();
            since = store::ObjectRevision(0);
        }
        if !is_owner || !context.fleet.is_reachable() {
            actix_rt::time::sleep(STORE_PAUSE).await;
            continue;
        }
        let response = context.store.watch(&[&prefix], since, END_WAIT);
        let response = tokio::select! {
            response = response => response,
            () = context.fleet.source_recovered() => continue,
        };
        match response {
            Ok(response) => {
                since = store::ObjectRevision(response.revision);
                let ended = response.changes.iter();
                let ended: Vec<_> = ended.filter_map(|c| ended_job(&prefix, c)).collect();
                context.jobs.record_ended(ended.iter().cloned());
                for id in &ended {
                    job_runner::end_job(&context, id);
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
    let value = change.value.as_ref()?;
    let name = change.key.strip_prefix(prefix).unwrap_or(&change.key);
    let mark = serde_json::from_str::<job_records::EndMark>(value);
    let ended = match mark {
        Ok(_) => name.parse().map_err(|e| format!("{e}")),
        Err(e) => Err(e.to_string()),
    };
    ended
        .inspect_err(|e| log::warn!("event=end_unreadable key={} why=\"{e}\"", change.key))
        .ok()
}

/// Removes owned jobs that nobody reads any more.
pub(super) async fn remove_old_jobs(context: rc::Rc<context::ProcessContext>) {
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
    context: &rc::Rc<context::ProcessContext>,
    job: &open_job::SharedJob,
) -> store::StoreResult<()> {
    let (id, parts, ended, age, over) = {
        let job = job.borrow();
        let age = clock::epoch_ms().saturating_sub(job.record.submitted_ms);
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
