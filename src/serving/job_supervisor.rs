//! Supervises the jobs that this process accepted until their owners have finished
//! them.

use std::{cell, collections, rc, time};

use super::{context, job_budget, job_records, job_runner};
use crate::{clock, ids};

/// Maximum wait for an owner to adopt a job.
const HANDOFF_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Number of attempts to send the whole record of a job; after that, its owner is only
/// asked to read it from the store. The record of a job with 200 items can reach a
/// megabyte. Over a slow link it would be resent again and again and block everything
/// else, whereas a read from the store continues for as long as data arrives.
const MAX_RECORD_ATTEMPTS: u32 = 2;
/// Interval at which the owners of supervised jobs are checked.
const SUPERVISION_INTERVAL: time::Duration = time::Duration::from_millis(400);
/// Maximum number of jobs that a process supervises; others rely on their owners
/// searching the store.
const MAX_SUPERVISED: usize = 1000;
/// Interval at which an owner is asked whether a job is finished.
const STATUS_INTERVAL: time::Duration = time::Duration::from_secs(6);

/// Job that was accepted here and is not known to be finished.
struct SupervisedJob {
    record: rc::Rc<job_records::JobRecord>,
    /// `Stored` once the job has been sent to an owner.
    origin: job_records::JobOrigin,
    owner: Option<ids::InstanceId>,
    confirmed_at: clock::BootInstant,
    /// Number of consecutive hand-off attempts without a response.
    retries: u32,
    /// Whether a hand-off is in progress.
    is_in_flight: bool,
    /// Memory of the record.
    _reserved: job_budget::AcceptedBytes,
}

thread_local! {
    /// Jobs accepted by this process.
    static SUPERVISED: cell::RefCell<collections::HashMap<ids::JobId, SupervisedJob>> =
        cell::RefCell::default();
}

/// Supervises a job until it is finished, and hands it off again if its owner changes.
pub fn supervise(
    context: &rc::Rc<context::ProcessContext>,
    record: rc::Rc<job_records::JobRecord>,
    origin: job_records::JobOrigin,
    reserved: job_budget::AcceptedBytes,
) {
    let id = record.id.clone();
    let first = SUPERVISED.with_borrow_mut(|jobs| {
        let first = jobs.is_empty();
        if jobs.len() < MAX_SUPERVISED {
            let supervised = SupervisedJob {
                record,
                origin,
                owner: None,
                confirmed_at: clock::BootInstant::now(),
                retries: 0,
                is_in_flight: false,
                _reserved: reserved,
            };
            jobs.entry(id.clone()).or_insert(supervised);
        }
        first
    });
    actix_rt::spawn(hand_off(context.clone(), id));
    if first {
        actix_rt::spawn(run_supervisor(context.clone()));
    }
}

async fn run_supervisor(context: rc::Rc<context::ProcessContext>) {
    loop {
        actix_rt::time::sleep(SUPERVISION_INTERVAL).await;
        let ids: Vec<_> = SUPERVISED.with_borrow(|jobs| jobs.keys().cloned().collect());
        if ids.is_empty() {
            return;
        }
        for id in ids {
            hand_off(context.clone(), id).await;
        }
    }
}

/// Hands a job off to its owner, unless the owner has confirmed it recently.
async fn hand_off(context: rc::Rc<context::ProcessContext>, id: ids::JobId) {
    let Some(owner) = context.job_owner(&id) else {
        return;
    };
    let due = SUPERVISED.with_borrow_mut(|jobs| {
        let job = jobs.get_mut(&id)?;
        let same = job.owner.as_ref() == Some(&owner);
        let is_due = !job.is_in_flight && (!same || job.confirmed_at.elapsed() > STATUS_INTERVAL);
        job.is_in_flight |= is_due;
        is_due.then(|| JobHandoff {
            record: job.record.clone(),
            origin: std::mem::replace(&mut job.origin, job_records::JobOrigin::Stored),
            retries: job.retries,
        })
    });
    let Some(handoff) = due else { return };
    let finished = send_to_owner(&context, &owner, &handoff).await;
    SUPERVISED.with_borrow_mut(|jobs| {
        let Some(job) = jobs.get_mut(&id) else { return };
        job.is_in_flight = false;
        match finished {
            Some(true) => drop(jobs.remove(&id)),
            Some(false) => {
                job.retries = 0;
                job.owner = Some(owner);
                job.confirmed_at = clock::BootInstant::now();
            }
            None => job.retries += 1,
        }
    });
}

/// One attempt to hand off a job.
struct JobHandoff {
    record: rc::Rc<job_records::JobRecord>,
    origin: job_records::JobOrigin,
    /// Number of attempts without a response before this one.
    retries: u32,
}

/// Sends a job to its owner and returns whether the job is already finished, or `None`
/// without a response.
async fn send_to_owner(
    context: &rc::Rc<context::ProcessContext>,
    owner: &ids::InstanceId,
    handoff: &JobHandoff,
) -> Option<bool> {
    let JobHandoff {
        record,
        origin,
        retries,
    } = handoff;
    if owner == context.id() {
        return job_runner::adopt_job(context, (**record).clone(), *origin);
    }
    let address = context.members.borrow().address_of(owner)?;
    let id = &record.id;
    let links = &context.links;
    let record = (**record).clone();
    let sent = match (origin, *retries < MAX_RECORD_ATTEMPTS) {
        (job_records::JobOrigin::New, _) => {
            links.take_new_job(address, record, HANDOFF_TIMEOUT).await
        }
        (job_records::JobOrigin::Stored, true) => {
            links.take_job(address, record, HANDOFF_TIMEOUT).await
        }
        (job_records::JobOrigin::Stored, false) => {
            links.find_job(address, id.clone(), HANDOFF_TIMEOUT).await
        }
    };
    sent.inspect_err(|e| {
        log::info!("event=job_untaken job={id} owner={owner} tries={retries} why=\"{e}\"");
    })
    .ok()
}

/// Returns the record of a job that this process supervises.
pub fn find_record(job: &ids::JobId) -> Option<rc::Rc<job_records::JobRecord>> {
    SUPERVISED.with_borrow(|jobs| jobs.get(job).map(|j| j.record.clone()))
}

/// Stops supervising a job.
pub fn forget(job: &ids::JobId) {
    SUPERVISED.with_borrow_mut(|jobs| jobs.remove(job));
}
