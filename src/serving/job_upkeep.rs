//! Adopts the jobs that this process owns, watches for their ends, and removes old
//! ones.

use std::{collections, rc, time};

use super::{
    context, fleet_sync, job_checkpoints, job_ends, job_records, job_runner, job_table, members,
    open_job, owners, split_records,
};
use crate::{clock, ids, platform, store};

/// Delay after a change of owners before the store is searched for their jobs. The
/// gateways that accepted the jobs hand most of them off in the meantime.
const ADOPTION_DELAY: time::Duration = time::Duration::from_millis(700);

/// Process age from which the store is searched even if some listed dispatchers have not
/// responded to this process. Searching earlier would run their jobs a second time,
/// unless they are lost.
const STARTUP_TIMEOUT: time::Duration = time::Duration::from_millis(1500);

/// Interval at which a new process checks whether all dispatchers have responded.
const STARTUP_POLL_INTERVAL: time::Duration = time::Duration::from_millis(25);

/// Delay before a retry after the store did not respond.
pub(super) const STORE_RETRY_DELAY: time::Duration = time::Duration::from_millis(700);

/// Maximum duration of one watch request for end marks.
const WATCH_TIMEOUT: time::Duration = time::Duration::from_secs(25);

/// Half of the age, counted from submission, up to which finished jobs are kept for
/// late readers.
const RESULTS_RETENTION: time::Duration = time::Duration::from_secs(120);

/// Timeout of asking the owner of a job to read it from the store.
const OFFER_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Interval between searches for old jobs.
const REMOVAL_INTERVAL: time::Duration = time::Duration::from_secs(30);

/// Returns whether this process searches the store for jobs: all owners do in a small
/// fleet, and the first few for all others in a large one, as the jobs of a day hold many
/// megabytes.
fn is_job_lister(context: &context::ProcessContext) -> bool {
    let is_owner = context.owners().iter().any(|o| o.id == *context.id());
    match context.members.borrow().is_large() {
        true => is_owner && owners::is_first_listed(context),
        false => is_owner,
    }
}

/// Searches the store for jobs whenever the owners change.
pub(super) async fn adopt_jobs(context: rc::Rc<context::ProcessContext>) {
    let mut has_offered = false;
    let mut offered = collections::HashMap::new();
    loop {
        context.jobs.owners_changed.notified().await;
        wait_for_owners(&context).await;
        if !std::mem::replace(&mut has_offered, true) {
            // Spawned so that an unresponsive peer does not delay this process's own
            // jobs.
            actix_rt::spawn(job_checkpoints::offer_replicas(context.clone()));
        }
        if !is_job_lister(&context) {
            log::info!(
                "event=jobs_left_to_others owners={}",
                context.owners().len()
            );
            continue;
        }
        while let Err(e) = adopt_stored_jobs(&context, &mut offered).await {
            log::warn!("event=jobs_unread why=\"{e}\"");
            actix_rt::time::sleep(STORE_RETRY_DELAY).await;
        }
    }
}

/// Waits until the job owners are known and have been sent the jobs handed off to them.
///
/// If all processes have just started, no process hands off jobs, and every delay
/// leaves all jobs idle: with fixed delays the first jobs start 2.1 s after a joint
/// start, without them after 0.1 s.
async fn wait_for_owners(context: &rc::Rc<context::ProcessContext>) {
    // Without the members, this process would take itself for the owner of all jobs.
    while !owners::may_act(context) {
        actix_rt::time::sleep(STARTUP_POLL_INTERVAL).await;
    }
    if context.age() >= STARTUP_TIMEOUT {
        return actix_rt::time::sleep(ADOPTION_DELAY).await;
    }
    while context.age() < STARTUP_TIMEOUT && !receives_from_dispatchers(context) {
        actix_rt::time::sleep(STARTUP_POLL_INTERVAL).await;
    }
    owners::refresh_owners(context);
}

/// Returns whether a heartbeat or beat of every listed dispatcher was received.
fn receives_from_dispatchers(context: &context::ProcessContext) -> bool {
    let members = context.members.borrow();
    let mut dispatchers = members
        .records()
        .filter(|r| r.role == members::MemberRole::Dispatcher);
    context.members_known.get() && dispatchers.all(|r| members.was_heard(&r.id))
}

/// Adopts the stored jobs that this process owns. In a large fleet, tells the owners of the
/// others; `offered` holds the owner that was last told of each job.
///
/// # Errors
/// Returns an error if the store does not respond.
async fn adopt_stored_jobs(
    context: &rc::Rc<context::ProcessContext>,
    offered: &mut collections::HashMap<ids::JobId, ids::InstanceId>,
) -> store::StoreResult<()> {
    let is_large = context.members.borrow().is_large();
    let prefix = format!("{}/", job_records::JOB_KIND);
    let found = store::list_all(context.store.as_ref(), &prefix).await?;
    log::info!("event=jobs_listed count={}", found.len());
    for change in found {
        let Some(value) = change.value else { continue };
        let name = change.key.strip_prefix(&prefix).unwrap_or(&change.key);
        match job_records::decode_job(name, value.as_bytes()) {
            Ok(stored) => match context.job_owner(stored.id()) {
                Some(owner) if owner == *context.id() => adopt_record(context, stored).await?,
                Some(owner) if is_large => {
                    let id = stored.id();
                    let previous = offered.insert(id.clone(), owner.clone());
                    if previous.as_ref() != Some(&owner) {
                        offer_job(context, id, &owner).await;
                    }
                }
                _ => {}
            },
            Err(e) => log::warn!("event=job_unreadable key={} why=\"{e}\"", change.key),
        }
    }
    Ok(())
}

/// Adopts a job that was found in the store.
///
/// # Errors
/// Returns an error if the store does not respond.
async fn adopt_record(
    context: &rc::Rc<context::ProcessContext>,
    stored: job_records::StoredRecord,
) -> store::StoreResult<()> {
    let record = match stored {
        job_records::StoredRecord::Whole(record) => record,
        job_records::StoredRecord::Split(head) if context.jobs.get(&head.id).is_some() => {
            return Ok(())
        }
        job_records::StoredRecord::Split(head) => {
            let id = head.id.clone();
            match split_records::read_items(context.store.as_ref(), head).await {
                Err(store::StoreError::Corrupt(reason)) => {
                    log::warn!("event=job_unreadable job={id} why=\"{reason}\"");
                    return Ok(());
                }
                read => read?,
            }
        }
    };
    job_runner::adopt_job(context, record, job_records::JobOrigin::Stored);
    Ok(())
}

/// Asks the owner of a job to read it from the store.
async fn offer_job(context: &context::ProcessContext, job: &ids::JobId, owner: &ids::InstanceId) {
    let address = context.members.borrow().address_of(owner);
    let Some(address) = address else { return };
    context.links.try_connect(address).await;
    let sent = context.links.find_job(address, job.clone(), OFFER_TIMEOUT);
    if let Err(e) = sent.await {
        log::info!("event=job_untaken job={job} owner={owner} why=\"{e}\"");
    }
}

/// Watches the end marks of jobs.
pub(super) async fn watch_ends(context: rc::Rc<context::ProcessContext>) {
    let prefix = format!("{}/", job_records::END_KIND);
    let mut since = store::ObjectRevision(0);
    loop {
        let is_owner = context.owners().iter().any(|o| o.id == *context.id());
        if !is_owner {
            // Only owners receive new ends, so the marks known here would become
            // outdated.
            context.jobs.forget_ended();
            since = store::ObjectRevision(0);
        }
        if !is_owner || !context.fleet.is_reachable() {
            actix_rt::time::sleep(STORE_RETRY_DELAY).await;
            continue;
        }
        let response = context.store.watch(&[&prefix], since, WATCH_TIMEOUT);
        let response = tokio::select! {
            response = response => response,
            () = context.fleet.source_recovered() => continue,
            // The connection of this watch may have fallen silent.
            () = context.jobs.ends_missed.notified() => {
                since = context.jobs.ends_revision().unwrap_or(since);
                continue;
            }
        };
        match response {
            Ok(response) => {
                since = store::ObjectRevision(response.revision);
                apply_ends(&context, &prefix, response, job_runner::EndSource::Watch);
            }
            Err(e) => {
                context.jobs.forget_ended();
                since = store::ObjectRevision(0);
                log::info!("event=ends_unread why=\"{e}\"");
                actix_rt::time::sleep(STORE_RETRY_DELAY).await;
            }
        }
    }
}

/// Reads the end marks since the last ones that are known. One process does it for all, and
/// notifies the owners: their watches may have fallen silent, and the process that a caller
/// ended the job at may be lost.
pub(super) async fn read_ends(context: rc::Rc<context::ProcessContext>) {
    let Some(since) = context.jobs.ends_revision() else {
        // The watch reads all of them first.
        return;
    };
    let prefix = format!("{}/", job_records::END_KIND);
    let read = context
        .store
        .watch(&[&prefix], since, time::Duration::ZERO)
        .await;
    match read {
        Ok(response) => {
            let ended = apply_ends(&context, &prefix, response, job_runner::EndSource::Read);
            if ended > 0 {
                log::info!("event=ends_missed count={ended} since={since}");
                context.jobs.ends_missed.notify_one();
            }
        }
        Err(e) => log::info!(
            "event=refresh_failed kind={} why=\"{e}\"",
            job_records::END_KIND
        ),
    }
}

/// Ends the jobs whose end marks the store has sent; returns how many marks it had not sent
/// before.
fn apply_ends(
    context: &rc::Rc<context::ProcessContext>,
    prefix: &str,
    response: platform::WatchResponse,
    source: job_runner::EndSource,
) -> usize {
    let is_first = context.jobs.ends_revision().is_none();
    let revision = store::ObjectRevision(response.revision);
    let ended = response.changes.iter();
    let ended: Vec<_> = ended.filter_map(|c| ended_job(prefix, c)).collect();
    let new = context.jobs.record_ends(ended, revision);
    for id in &new {
        job_runner::end_job(context, id, source);
        // The first read brings the marks of all jobs so far.
        if !is_first && fleet_sync::is_refresher(context) {
            job_ends::notify_owners(context, id);
        }
    }
    new.len()
}

/// Returns the job that an end mark refers to; logs marks that cannot be read.
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

/// Removes old finished jobs that this process owns.
pub(super) async fn remove_old_jobs(context: rc::Rc<context::ProcessContext>) {
    loop {
        actix_rt::time::sleep(REMOVAL_INTERVAL).await;
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
    let (record, ended, age, finished) = {
        let job = job.borrow();
        let age = clock::epoch_ms().saturating_sub(job.record.submitted_ms);
        (
            job.record.clone(),
            job.ended,
            time::Duration::from_millis(age),
            job.is_finished(),
        )
    };
    let id = &record.id;
    let owned = context.job_owner(id).as_ref() == Some(context.id());
    if !owned || !finished || age < RESULTS_RETENTION * 2 {
        return Ok(());
    }
    // Parts that other owners have appended would stay in the store for good.
    job_table::refresh_results(context, job).await?;
    let parts = job.borrow().parts;
    job_records::remove(context.store.as_ref(), &record, parts, ended).await?;
    log::info!("event=old_job_removed job={id} age_s={}", age.as_secs());
    context.jobs.remove(id);
    Ok(())
}
