//! Notifies the owners of jobs of their ends.

use std::{net, rc, time};

use super::{context, peer_links};
use crate::{clock, ids};

/// Timeout of the acknowledgement of a job's end. A round trip takes 1 to 4 ms, so a longer
/// wait means that the connection is silent or its peer is lost.
const END_ACK_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// Time for which an owner is notified of the end of a job. One that is away for longer reads
/// the end marks when it is back.
const END_NOTICE_TIME: time::Duration = time::Duration::from_secs(5);

/// Notifies the processes that may run a job of its end: all owners in a small fleet, and the
/// first few for this job in a large one.
pub(super) fn notify_owners(context: &rc::Rc<context::ProcessContext>, job: &ids::JobId) {
    let candidates = context.job_candidates(job).into_iter();
    for owner in candidates.filter(|owner| owner != context.id()) {
        let address = context.members.borrow().address_of(&owner);
        if let Some(address) = address {
            actix_rt::spawn(deliver_end(context.clone(), owner, address, job.clone()));
        }
    }
}

/// Notifies an owner of the end of a job until it acknowledges, each time on a new connection
/// if the last one has fallen silent.
async fn deliver_end(
    context: rc::Rc<context::ProcessContext>,
    owner: ids::InstanceId,
    address: net::SocketAddr,
    job: ids::JobId,
) {
    let started_at = clock::BootInstant::now();
    for attempt in 1.. {
        let sent = context.links.end_job(address, job.clone(), END_ACK_TIMEOUT);
        let outcome = sent.await;
        let ms = started_at.elapsed().as_millis();
        match outcome {
            Ok(()) => {
                log::info!("event=end_delivered job={job} owner={owner} attempt={attempt} ms={ms}");
                return;
            }
            Err(e) => log::info!(
                "event=end_undelivered job={job} owner={owner} attempt={attempt} ms={ms} why=\"{e}\""
            ),
        }
        if started_at.elapsed() >= END_NOTICE_TIME {
            return;
        }
        if outcome == Err(peer_links::PeerError::TimedOut) {
            context.links.close_if_silent(address);
        }
        actix_rt::time::sleep(peer_links::RECONNECT_DELAY).await;
    }
}
