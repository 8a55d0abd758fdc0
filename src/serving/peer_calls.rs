//! Handles the calls of peers.

use std::{rc, time};

use tokio::sync::mpsc;

use super::{
    context, crash_guard, crash_trials, endpoint_records, endpoint_reports, fleet_sync, job_budget,
    job_calls, job_checkpoints, job_records, job_runner, job_supervisor, limit_links,
    origin_exchange, peers, slot_grants, slot_relay,
};
use crate::{decisions::endpoint_speed, ids, store};

/// Handles the calls of peers.
pub(super) async fn serve_peers(
    context: rc::Rc<context::ProcessContext>,
    mut calls: mpsc::Receiver<peers::PeerCall>,
) {
    while let Some(call) = calls.recv().await {
        handle_call(&context, call);
    }
}

/// Sends a response to a caller that may have disconnected.
fn reply<T>(sender: tokio::sync::oneshot::Sender<T>, value: T) {
    if sender.send(value).is_err() {
        log::debug!("event=peer_left_before_answer");
    }
}

fn handle_call(context: &rc::Rc<context::ProcessContext>, call: peers::PeerCall) {
    use peers::PeerCall as C;

    match call {
        C::Probe(heartbeat, sender) => {
            fleet_sync::receive_probe(context, &heartbeat);
            reply(sender, context.heartbeat_for(heartbeat.wants_beats));
        }
        C::Acquire(request, sender) => {
            let now = context.clock.now();
            let mut members = context.members.borrow_mut();
            members.record_contact(&request.holder, now);
            drop(members);
            let is_owner = context.owners().iter().any(|o| o.id == *context.id());
            if is_owner && slot_grants::may_wait(&request) {
                return wait_for_slot(context, request, sender);
            }
            if is_owner {
                return reply(sender, slot_grants::grant(context, &request));
            }
            let context = context.clone();
            actix_rt::spawn(async move {
                if let Some(response) = slot_relay::request_for_peer(&context, request).await {
                    reply(sender, response);
                }
            });
        }
        C::AcquireRelayed(request, sender) => {
            let now = context.clock.now();
            let mut members = context.members.borrow_mut();
            members.record_contact(&request.holder, now);
            drop(members);
            // Not relayed further: processes that have just started may each consider others
            // the owners, and a number that is passed on by several of them is granted twice.
            reply(sender, slot_grants::grant(context, &request));
        }
        C::KeepOrigin(message, sender) => {
            origin_exchange::keep(context, message);
            reply(sender, origin_exchange::sole_software(context));
        }
        C::FindOrigin(query, sender) => {
            let context = context.clone();
            actix_rt::spawn(async move {
                reply(sender, origin_exchange::find(&context, &query).await);
            });
        }
        C::Release(ended) => slot_grants::release(context, ended),
        C::Report(report) => apply_report(context, &report),
        C::CrashUpdate(message) => {
            crash_guard::apply_update(context, message);
        }
        C::Crashes(sender) => reply(sender, context.crashes.messages(context.clock.now())),
        C::ClaimTrial(message, sender) => reply(sender, crash_trials::grant(context, message)),
        C::ReturnTrial(subject) => crash_trials::cancel(context, subject),
        C::StatePart(request, sender) => {
            let table = context.fleet.table();
            if !table.is_known() {
                return;
            }
            match context.state_transfer.cache.part(request, table.state()) {
                Ok(part) => reply(sender, part),
                Err(e) => log::warn!("event=state_untold why=\"{e}\""),
            }
        }
        C::Endpoints(since, sender) => match context.fleet.may_send_list(since) {
            true => reply(sender, context.fleet.update_since(since)),
            false => log::debug!("event=whole_list_deferred since={since}"),
        },
        C::Members(sender) => {
            let members = context.members.borrow();
            let own = [&context.options.member];
            let records = members.records().chain(own).cloned().collect();
            drop(members);
            reply(sender, records);
        }
        C::TakeJob(record, origin, sender) => {
            if let Some(is_finished) = job_runner::adopt_job(context, record, origin) {
                reply(sender, is_finished);
            }
        }
        C::FindJob(job, sender) => {
            reply(sender, job_runner::adopt_stored_job(context, job));
        }
        C::KeepProgress(part, sender) => {
            reply(sender, job_checkpoints::receive_part(context, part));
        }
        C::ReadResults(request, sender) => {
            let context = context.clone();
            actix_rt::spawn(async move {
                match job_calls::read_page(&context, &request).await {
                    Ok(Some(page)) => reply(sender, page),
                    Ok(None) => log::info!("event=results_unknown job={}", request.job),
                    Err(e) => log::info!("event=results_unread job={} why=\"{e}\"", request.job),
                }
            });
        }
        C::EndJob(job) => job_runner::end_job(context, &job, job_runner::EndSource::Peer),
        C::Lend(request, sender) => {
            let now = context.clock.now();
            let mut members = context.members.borrow_mut();
            members.record_contact(&request.holder, now);
            drop(members);
            reply(sender, lend(context, &request));
        }
        C::GiveBack(slot) => {
            let mut permits = context.permits.borrow_mut();
            permits.end_batch(&slot.endpoint, slot.number);
            drop(permits);
            context.jobs.work.notify_one();
        }
        C::CancelLent(number) => {
            context.permits.borrow_mut().cancel_lent(number);
            context.jobs.work.notify_one();
        }
        C::Preempt(slot) => context.jobs.preempt(&slot.endpoint, slot.number),
        C::WriteJob(record, sender) => {
            let context = context.clone();
            let bytes = job_budget::item_bytes(&record.items);
            let Some(reserved) = context.accepted_jobs.reserve(bytes) else {
                log::info!("event=job_write_refused job={} bytes={bytes}", record.id);
                return reply(sender, peers::WriteOutcome::Refused);
            };
            actix_rt::spawn(async move {
                let written = job_records::accept(context.store.as_ref(), &record).await;
                reply(sender, write_outcome(&written));
                if written.is_ok() {
                    // The gateway that accepted the job sends it to an owner too.
                    let origin = job_records::JobOrigin::Stored;
                    job_supervisor::supervise(&context, rc::Rc::new(record), origin, reserved);
                }
            });
        }
        C::DrawTokens(request, sender) => {
            let is_owner = context.owners().iter().any(|o| o.id == *context.id());
            if is_owner {
                return reply(sender, limit_links::grant(context, &request));
            }
            let context = context.clone();
            actix_rt::spawn(async move {
                if let Some(response) = limit_links::draw_for_peer(&context, request).await {
                    reply(sender, response);
                }
            });
        }
        C::WriteEnd(job, sender) => {
            let context = context.clone();
            actix_rt::spawn(async move {
                let written = job_records::end(context.store.as_ref(), &job).await;
                reply(sender, write_outcome(&written));
                if written.is_ok() {
                    job_calls::notify_end(&context, &job);
                }
            });
        }
    }
}

/// Serves the call of a peer whose request may wait; stops when the peer no longer waits.
fn wait_for_slot(
    context: &rc::Rc<context::ProcessContext>,
    request: peers::OnlineSlotRequest,
    mut sender: tokio::sync::oneshot::Sender<peers::OnlineSlotResponse>,
) {
    let context = context.clone();
    actix_rt::spawn(async move {
        let response = tokio::select! {
            response = slot_grants::grant_or_wait(&context, &request) => Some(response),
            () = sender.closed() => None,
        };
        if let Some(response) = response {
            reply(sender, response);
        }
    });
}

/// Converts the result of a write to the store for a peer.
fn write_outcome<T>(written: &store::StoreResult<T>) -> peers::WriteOutcome {
    match written {
        Ok(_) => peers::WriteOutcome::Written,
        Err(store::StoreError::Unavailable(_) | store::StoreError::TooLarge) => {
            peers::WriteOutcome::Refused
        }
        Err(_) => peers::WriteOutcome::Unknown,
    }
}

/// Lends batch slots at owned endpoints.
fn lend(
    context: &context::ProcessContext,
    request: &peers::BatchSlotRequest,
) -> Vec<peers::BorrowedSlot> {
    if context.is_leaving() {
        return Vec::new();
    }
    let now = context.clock.now();
    let mut permits = context.permits.borrow_mut();
    let ejected = context.ejected_endpoints(&permits, now);
    let lent = permits.lend_batch(request, &ejected, now);
    let lent = lent.into_iter();
    let slots = lent.map(|(endpoint, number)| peers::BorrowedSlot { endpoint, number });
    slots.collect()
}

/// Records what an observation says about whether an owned endpoint is alive.
fn record_life_evidence(
    context: &context::ProcessContext,
    endpoint: &ids::EndpointId,
    observation: &peers::EndpointObservation,
) {
    let evidence = match endpoint_reports::life_evidence(observation) {
        endpoint_reports::LifeEvidence::Failed(evidence) => evidence,
        endpoint_reports::LifeEvidence::Alive => {
            return endpoint_records::record_life(context, endpoint, "reported")
        }
        endpoint_reports::LifeEvidence::None => return,
    };
    let reporter = match observation {
        peers::EndpointObservation::Failed(failure) | peers::EndpointObservation::Slow(failure) => {
            &failure.reporter
        }
        peers::EndpointObservation::Overdue(reporter) => reporter,
        _ => return,
    };
    let now = context.clock.now();
    if context
        .permits
        .borrow_mut()
        .record_failure(endpoint, evidence, now)
    {
        let label = evidence.label();
        context.metrics.doubts.with_label_values(&[label]).inc();
        log::info!(
            "event=endpoint_suspect endpoint={endpoint} evidence={label} reporter={reporter}"
        );
    }
}

/// Applies an observation that the holder of a slot reported.
pub fn apply_report(context: &context::ProcessContext, report: &peers::EndpointReport) {
    let peers::EndpointReport {
        endpoint,
        started,
        observation,
    } = report;
    let directory = context.fleet.directory.borrow();
    let is_outdated = directory.has_other_start(endpoint, *started);
    drop(directory);
    if is_outdated {
        log::info!("event=report_outdated endpoint={endpoint} news=\"{observation:?}\"");
        return;
    }
    record_life_evidence(context, endpoint, observation);
    let now = context.clock.now();
    if let peers::EndpointObservation::Failed(_) = observation {
        let mut starts = context.unlisted_starts.borrow_mut();
        starts.record_failure(endpoint, *started, now);
    }
    match observation {
        peers::EndpointObservation::Failed(failure)
        | peers::EndpointObservation::Slow(failure)
        | peers::EndpointObservation::Faulty(failure) => {
            let mut loads = context.loads.borrow_mut();
            if loads.record_peer_failure(endpoint, failure, now) {
                log::info!(
                    "event=endpoint_shunned endpoint={endpoint} last_reporter={} silent={}",
                    failure.reporter,
                    failure.is_silent
                );
            }
        }
        peers::EndpointObservation::Full => {
            context.permits.borrow_mut().record_refused(endpoint, now)
        }
        peers::EndpointObservation::QueueFull => {
            slot_grants::record_staging_refused(context, endpoint)
        }
        peers::EndpointObservation::Misnamed => {
            context.fleet.record_misidentified(endpoint, *started)
        }
        peers::EndpointObservation::Overdue(_) | peers::EndpointObservation::Alive => {}
        peers::EndpointObservation::Slowdown(percent) => {
            let report = endpoint_speed::SlowdownReport {
                percent: *percent,
                age: time::Duration::ZERO,
            };
            let mut permits = context.permits.borrow_mut();
            permits.record_slowdown(endpoint, report, now);
        }
    }
}
