//! Jobs that were accepted here, until their owners have done them.

use std::{cell, collections, rc, time};

use super::{context, job_records, job_runner};
use crate::{clock, ids};

/// Longest wait for an owner to take a job over.
const HAND_OVER_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Tries to hand a job over whole, after which its owner is told to read it from the
/// store. A job of 200 items may have a megabyte: over a link that is slow for it,
/// it would be sent again and again, and nothing else would come over beside it. The
/// store's answers are waited for as long as they come on.
const WHOLE_TRIES: u32 = 2;
/// How often the owners of accepted jobs are looked at.
const SPONSOR_PAUSE: time::Duration = time::Duration::from_millis(400);
/// Accepted jobs that one process watches over; others rely on the owners' own search.
const MAX_SPONSORED: usize = 1000;
/// How often an owner is asked whether a job is over.
const ASK_AGAIN: time::Duration = time::Duration::from_secs(6);

/// A job that was accepted here, until it is over.
struct SponsoredJob {
    record: rc::Rc<job_records::JobRecord>,
    owner: Option<ids::InstanceId>,
    asked: clock::BootInstant,
    /// Tries to hand it over in a row that were not answered.
    untaken: u32,
    /// Whether it is being handed over.
    is_told: bool,
}

thread_local! {
    /// Jobs accepted by this process.
    static SPONSORED: cell::RefCell<collections::HashMap<ids::JobId, SponsoredJob>> =
        cell::RefCell::default();
}

/// Watches over a job until its owner has it, and hands it over anew if the owner is lost.
pub fn sponsor(context: &rc::Rc<context::ProcessContext>, record: rc::Rc<job_records::JobRecord>) {
    let id = record.id.clone();
    let first = SPONSORED.with_borrow_mut(|jobs| {
        let first = jobs.is_empty();
        if jobs.len() < MAX_SPONSORED {
            let sponsored = SponsoredJob {
                record,
                owner: None,
                asked: clock::BootInstant::now(),
                untaken: 0,
                is_told: false,
            };
            jobs.entry(id.clone()).or_insert(sponsored);
        }
        first
    });
    actix_rt::spawn(hand_over(context.clone(), id));
    if first {
        actix_rt::spawn(keep_sponsoring(context.clone()));
    }
}

async fn keep_sponsoring(context: rc::Rc<context::ProcessContext>) {
    loop {
        actix_rt::time::sleep(SPONSOR_PAUSE).await;
        let ids: Vec<_> = SPONSORED.with_borrow(|jobs| jobs.keys().cloned().collect());
        if ids.is_empty() {
            return;
        }
        for id in ids {
            hand_over(context.clone(), id).await;
        }
    }
}

/// Hands a job over to its owner, unless that has it.
async fn hand_over(context: rc::Rc<context::ProcessContext>, id: ids::JobId) {
    let Some(owner) = context.job_owner(&id) else {
        return;
    };
    let due = SPONSORED.with_borrow_mut(|jobs| {
        let job = jobs.get_mut(&id)?;
        let same = job.owner.as_ref() == Some(&owner);
        let is_due = !job.is_told && (!same || job.asked.elapsed() > ASK_AGAIN);
        job.is_told |= is_due;
        is_due.then(|| (job.record.clone(), job.untaken))
    });
    let Some((record, untaken)) = due else { return };
    let over = tell_owner(&context, &owner, &record, untaken).await;
    SPONSORED.with_borrow_mut(|jobs| {
        let Some(job) = jobs.get_mut(&id) else { return };
        job.is_told = false;
        match over {
            Some(true) => drop(jobs.remove(&id)),
            Some(false) => {
                job.untaken = 0;
                job.owner = Some(owner);
                job.asked = clock::BootInstant::now();
            }
            None => job.untaken += 1,
        }
    });
}

/// Tells an owner of a job; says whether the job is over already, if it answers.
async fn tell_owner(
    context: &rc::Rc<context::ProcessContext>,
    owner: &ids::InstanceId,
    record: &rc::Rc<job_records::JobRecord>,
    untaken: u32,
) -> Option<bool> {
    if owner == context.id() {
        return Some(job_runner::take_job(context, (**record).clone()));
    }
    let address = context.members.borrow().address_of(owner)?;
    let id = &record.id;
    let links = &context.links;
    let sent = match untaken < WHOLE_TRIES {
        true => {
            let record = (**record).clone();
            links.take_job(address, record, HAND_OVER_TIMEOUT).await
        }
        false => links.find_job(address, id.clone(), HAND_OVER_TIMEOUT).await,
    };
    sent.inspect_err(|e| {
        log::info!("event=job_untaken job={id} owner={owner} tries={untaken} why=\"{e}\"");
    })
    .ok()
}

/// The record of a job that was accepted here.
pub fn record_of(job: &ids::JobId) -> Option<rc::Rc<job_records::JobRecord>> {
    SPONSORED.with_borrow(|jobs| jobs.get(job).map(|j| j.record.clone()))
}

/// Watches over a job no longer.
pub fn forget(job: &ids::JobId) {
    SPONSORED.with_borrow_mut(|jobs| jobs.remove(job));
}
