//! Callers' calls about jobs: submission, results, item bodies, end.

use std::{cell, collections, rc, time};

use actix_http::{header, StatusCode};

use super::{item_run, job_board, job_records, peer_links, peers, process, route_table, wire};
use crate::{http_server, ids, store};

/// Longest time for the acceptance of a job, within the caller's patience.
const ACCEPT_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Peers that are asked to write what the store does not take from this process.
const PEERS_ASKED: usize = 2;
/// Pause between tries of a write whose outcome is not known.
const ACCEPT_RETRY: time::Duration = time::Duration::from_millis(150);
/// When a refused caller may come back.
const REFUSED_PAUSE: &str = "0.5";
/// Time an owner is given beyond the wait that the caller asked for.
const OWNER_SPARE: time::Duration = time::Duration::from_millis(250);
/// Longest wait for an owner to take a job over.
const HAND_OVER_TIMEOUT: time::Duration = time::Duration::from_millis(500);
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
    asked: time::Instant,
}

thread_local! {
    /// Jobs accepted by this process.
    static SPONSORED: cell::RefCell<collections::HashMap<ids::JobId, SponsoredJob>> =
        cell::RefCell::default();
}

/// Accepts a job.
pub async fn submit(
    context: &rc::Rc<process::ProcessContext>,
    route: &route_table::Route,
    terms: &wire::CallerTerms,
    body: bytes::Bytes,
    arrived: time::Instant,
) -> http_server::HttpAnswer {
    let id = terms.id.as_deref().map(str::parse::<ids::JobId>);
    let Some(Ok(id)) = id else {
        return http_server::plain(StatusCode::BAD_REQUEST, "the job has no valid name\n");
    };
    let items = context.wire.job_items(&body).and_then(|items| {
        items
            .iter()
            .try_for_each(|i| item_run::read_item(i).map(drop))?;
        Ok(items)
    });
    let items = match items {
        Ok(items) => items,
        Err(why) => {
            log::info!("event=job_invalid job={id} why=\"{why}\"");
            return http_server::plain(StatusCode::BAD_REQUEST, format!("{why}\n"));
        }
    };
    drop(body);
    let record = job_records::JobRecord {
        id: id.clone(),
        host: route.host.clone(),
        submitted_ms: job_records::epoch_ms(),
        items,
    };
    let patience = terms.patience.unwrap_or(ACCEPT_TIMEOUT).min(ACCEPT_TIMEOUT);
    let accepted = accept(context, &record, arrived + patience).await;
    let spent = arrived.elapsed();
    log::info!(
        "event=job_submitted job={id} items={} outcome={accepted:?} ms={}",
        record.items.len(),
        spent.as_millis()
    );
    let metrics = &context.metrics;
    metrics.observe(&metrics.whole_answer, &route.name, "batch", spent);
    match accepted {
        Acceptance::Accepted => {
            sponsor(context, rc::Rc::new(record));
            http_server::plain(StatusCode::ACCEPTED, "")
        }
        Acceptance::Refused => refused("the job was not accepted and will not run\n"),
        Acceptance::Unknown => http_server::plain(
            StatusCode::GATEWAY_TIMEOUT,
            "the job may have been accepted: submit it again\n",
        ),
    }
}

fn refused(why: &'static str) -> http_server::HttpAnswer {
    actix_http::Response::build(StatusCode::SERVICE_UNAVAILABLE)
        .insert_header((header::RETRY_AFTER, REFUSED_PAUSE))
        .body(why)
        .map_into_boxed_body()
}

/// What is known of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Acceptance {
    Accepted,
    /// It is certain that nothing was written.
    Refused,
    /// A write may still take effect.
    Unknown,
}

/// Writes a job until its acceptance is certain or the time is over.
async fn accept(
    context: &rc::Rc<process::ProcessContext>,
    record: &job_records::JobRecord,
    until: time::Instant,
) -> Acceptance {
    let mut unknown = false;
    loop {
        let left = until.saturating_duration_since(time::Instant::now());
        let writing = job_records::accept(context.store.as_ref(), record);
        match tokio::time::timeout(left, writing).await {
            Ok(Ok(())) => return Acceptance::Accepted,
            Ok(Err(store::StoreError::Unavailable(why))) if !unknown => {
                log::info!("event=acceptance_refused job={} why=\"{why}\"", record.id);
                return accept_by_peer(context, record, until).await;
            }
            Ok(Err(store::StoreError::TooLarge)) => return Acceptance::Refused,
            Ok(Err(e)) => {
                unknown |= e == store::StoreError::Unknown;
                log::info!("event=acceptance_unclear job={} why=\"{e}\"", record.id);
            }
            Err(_) => return Acceptance::Unknown,
        }
        if time::Instant::now() + ACCEPT_RETRY >= until {
            return Acceptance::Unknown;
        }
        actix_rt::time::sleep(ACCEPT_RETRY).await;
    }
}

/// Peers that may write what the store does not take from this process.
fn writers(context: &process::ProcessContext) -> Vec<(ids::InstanceId, std::net::SocketAddr)> {
    let relays = context.relays();
    if !relays.is_empty() {
        let relays = relays.into_iter().take(PEERS_ASKED);
        return relays.map(|r| (r.id, r.address)).collect();
    }
    let members = context.members.borrow();
    let owners = context.owners();
    let others = owners.iter().filter(|o| o.id != *context.id());
    let found = others.filter_map(|o| Some((o.id.clone(), members.address_of(&o.id)?)));
    found.take(PEERS_ASKED).collect()
}

/// Has a peer write a job that the store does not take from this process.
async fn accept_by_peer(
    context: &rc::Rc<process::ProcessContext>,
    record: &job_records::JobRecord,
    until: time::Instant,
) -> Acceptance {
    for (peer, address) in writers(context) {
        let left = until.saturating_duration_since(time::Instant::now());
        let written = context.links.write_job(address, record.clone(), left).await;
        log::info!(
            "event=job_by_peer job={} peer={peer} outcome={written:?}",
            record.id
        );
        match written {
            Ok(peers::WriteOutcome::Written) => return Acceptance::Accepted,
            Ok(peers::WriteOutcome::Refused) | Err(peer_links::PeerError::NotSent) => {}
            Ok(peers::WriteOutcome::Unknown) | Err(_) => return Acceptance::Unknown,
        }
    }
    Acceptance::Refused
}

/// Has a peer write the end of a job; says whether it did.
async fn end_by_peer(context: &rc::Rc<process::ProcessContext>, job: &ids::JobId) -> bool {
    for (peer, address) in writers(context) {
        let written = context
            .links
            .write_end(address, job.clone(), ACCEPT_TIMEOUT)
            .await;
        log::info!("event=end_by_peer job={job} peer={peer} outcome={written:?}");
        if written == Ok(peers::WriteOutcome::Written) {
            return true;
        }
    }
    false
}

/// Watches over a job until its owner has it, and hands it over anew if the owner is lost.
pub fn sponsor(context: &rc::Rc<process::ProcessContext>, record: rc::Rc<job_records::JobRecord>) {
    let id = record.id.clone();
    let first = SPONSORED.with_borrow_mut(|jobs| {
        let first = jobs.is_empty();
        if jobs.len() < MAX_SPONSORED {
            let sponsored = SponsoredJob {
                record,
                owner: None,
                asked: time::Instant::now(),
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

async fn keep_sponsoring(context: rc::Rc<process::ProcessContext>) {
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

async fn hand_over(context: rc::Rc<process::ProcessContext>, id: ids::JobId) {
    let Some(owner) = context.job_owner(&id) else {
        return;
    };
    let due = SPONSORED.with_borrow(|jobs| {
        let job = jobs.get(&id)?;
        let same = job.owner.as_ref() == Some(&owner);
        (!same || job.asked.elapsed() > ASK_AGAIN).then(|| job.record.clone())
    });
    let Some(record) = due else { return };
    let over = if owner == *context.id() {
        Some(super::job_runner::take_job(&context, (*record).clone()))
    } else {
        let address = context.members.borrow().address_of(&owner);
        let Some(address) = address else { return };
        let record = (*record).clone();
        let told = context
            .links
            .take_job(address, record, HAND_OVER_TIMEOUT)
            .await;
        told.inspect_err(|e| log::info!("event=job_untaken job={id} owner={owner} why=\"{e}\""))
            .ok()
    };
    let Some(over) = over else { return };
    SPONSORED.with_borrow_mut(|jobs| {
        if over {
            jobs.remove(&id);
        } else if let Some(job) = jobs.get_mut(&id) {
            job.owner = Some(owner);
            job.asked = time::Instant::now();
        }
    });
}

/// Answers a call about a job.
pub async fn answer(
    context: &rc::Rc<process::ProcessContext>,
    call: wire::JobCall,
) -> http_server::HttpAnswer {
    match call {
        wire::JobCall::Read { job, after, wait } => read(context, job, after, wait).await,
        wire::JobCall::ItemBody { job, item } => item_body(context, &job, &item).await,
        wire::JobCall::End { job } => end(context, &job).await,
    }
}

/// Reads results for a caller.
async fn read(
    context: &rc::Rc<process::ProcessContext>,
    job: ids::JobId,
    after: usize,
    wait: time::Duration,
) -> http_server::HttpAnswer {
    let ask = peers::ResultAsk { job, after, wait };
    match read_page(context, &ask).await {
        Ok(Some(page)) => page_answer(context, &page),
        Ok(None) => http_server::plain(StatusCode::NOT_FOUND, "there is no such job\n"),
        Err(e) => {
            log::info!(
                "event=results_unsure job={} after={after} why=\"{e}\"",
                ask.job
            );
            refused("the results cannot be read now\n")
        }
    }
}

/// Reads results: from the owner, or from the store if the owner does not answer.
///
/// # Errors
/// The store does not answer either.
pub async fn read_page(
    context: &rc::Rc<process::ProcessContext>,
    ask: &peers::ResultAsk,
) -> store::StoreResult<Option<wire::ResultPage>> {
    if let Some(page) = read_from_owner(context, ask).await {
        return Ok(Some(page));
    }
    job_board::read_results(context, ask).await
}

/// The process that has a job's results at hand: its owner, or a way to it.
fn reader_of(
    context: &process::ProcessContext,
    job: &ids::JobId,
) -> Option<(ids::InstanceId, std::net::SocketAddr)> {
    let owner = context.job_owner(job)?;
    if owner == *context.id() {
        return None;
    }
    if !context.hears(&owner) {
        let relay = context.relays().into_iter().next()?;
        return Some((relay.id, relay.address));
    }
    let address = context.members.borrow().address_of(&owner)?;
    Some((owner, address))
}

async fn read_from_owner(
    context: &rc::Rc<process::ProcessContext>,
    ask: &peers::ResultAsk,
) -> Option<wire::ResultPage> {
    let (owner, address) = reader_of(context, &ask.job)?;
    let patience = ask.wait + OWNER_SPARE;
    let answer = context
        .links
        .read_results(address, ask.clone(), patience)
        .await;
    answer
        .inspect_err(|e| {
            log::info!(
                "event=owner_unread job={} owner={owner} why=\"{e}\"",
                ask.job
            )
        })
        .ok()
}

fn page_answer(
    context: &process::ProcessContext,
    page: &wire::ResultPage,
) -> http_server::HttpAnswer {
    actix_http::Response::build(StatusCode::OK)
        .insert_header((header::CONTENT_TYPE, "application/json"))
        .body(context.wire.result_page(page))
        .map_into_boxed_body()
}

async fn item_body(
    context: &rc::Rc<process::ProcessContext>,
    job: &ids::JobId,
    item: &str,
) -> http_server::HttpAnswer {
    let sponsored = SPONSORED.with_borrow(|jobs| jobs.get(job).map(|j| j.record.clone()));
    let record = match sponsored {
        Some(record) => Ok(Some((*record).clone())),
        None => match context.jobs.get(job) {
            Some(job) => Ok(Some((*job.borrow().record).clone())),
            None => job_records::read_job(context.store.as_ref(), job).await,
        },
    };
    match record {
        Ok(Some(record)) => match record.items.into_iter().find(|i| i.id == item) {
            Some(item) => actix_http::Response::build(StatusCode::OK)
                .body(item.body)
                .map_into_boxed_body(),
            None => http_server::plain(StatusCode::NOT_FOUND, "the job has no such item\n"),
        },
        Ok(None) => http_server::plain(StatusCode::NOT_FOUND, "there is no such job\n"),
        Err(e) => {
            log::info!("event=item_unread job={job} why=\"{e}\"");
            refused("the item cannot be read now\n")
        }
    }
}

/// Ends a job: certain once the store has the mark.
async fn end(
    context: &rc::Rc<process::ProcessContext>,
    job: &ids::JobId,
) -> http_server::HttpAnswer {
    if let Err(e) = job_records::end(context.store.as_ref(), job).await {
        log::info!("event=end_unwritten job={job} why=\"{e}\"");
        if !end_by_peer(context, job).await {
            return refused("the job cannot be ended now\n");
        }
    }
    log::info!("event=end_accepted job={job}");
    tell_end(context, job);
    http_server::plain(StatusCode::OK, "")
}

/// Tells this process and the owners that a job was ended.
pub fn tell_end(context: &rc::Rc<process::ProcessContext>, job: &ids::JobId) {
    SPONSORED.with_borrow_mut(|jobs| jobs.remove(job));
    super::job_runner::end_job(context, job);
    for owner in context.owners().iter() {
        let address = context.members.borrow().address_of(&owner.id);
        if let Some(address) = address {
            context.links.end_job(address, job.clone());
        }
    }
}
