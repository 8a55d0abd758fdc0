//! Writes submissions and ends of jobs, through a peer where the store refuses this process.

use std::{net, rc, time};

use super::{context, job_records, peer_links, peers};
use crate::{clock, ids, store};

/// Longest time for the acceptance of a job, within the caller's remaining time.
pub const ACCEPT_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Peers that are asked to write what the store does not take from this process.
const PEERS_ASKED: usize = 2;
/// Pause between tries of a write whose outcome is not known.
const ACCEPT_RETRY: time::Duration = time::Duration::from_millis(150);

/// What is known of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acceptance {
    /// It is in the store.
    Accepted,
    /// It is certain that nothing was written.
    Refused,
    /// A write may still take effect.
    Unknown,
}

/// Writes a job until its acceptance is certain or the time is over.
pub async fn accept(
    context: &rc::Rc<context::ProcessContext>,
    record: &job_records::JobRecord,
    until: clock::BootInstant,
) -> Acceptance {
    let mut unknown = false;
    loop {
        let left = until.duration_since(clock::BootInstant::now());
        let writing = job_records::accept(context.store.as_ref(), record);
        match tokio::time::timeout(left, writing).await {
            Ok(Ok(())) => return Acceptance::Accepted,
            Ok(Err(store::StoreError::Unavailable(reason))) if !unknown => {
                log::info!(
                    "event=acceptance_refused job={} why=\"{reason}\"",
                    record.id
                );
                return accept_by_peer(context, record, until).await;
            }
            Ok(Err(store::StoreError::TooLarge)) => return Acceptance::Refused,
            Ok(Err(e)) => {
                unknown |= e == store::StoreError::Unknown;
                log::info!("event=acceptance_unclear job={} why=\"{e}\"", record.id);
            }
            Err(_) => return Acceptance::Unknown,
        }
        if clock::BootInstant::now() + ACCEPT_RETRY >= until {
            return Acceptance::Unknown;
        }
        actix_rt::time::sleep(ACCEPT_RETRY).await;
    }
}

/// Peers that may write what the store does not take from this process.
fn writers(context: &context::ProcessContext) -> Vec<(ids::InstanceId, net::SocketAddr)> {
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
    context: &rc::Rc<context::ProcessContext>,
    record: &job_records::JobRecord,
    until: clock::BootInstant,
) -> Acceptance {
    for (peer, address) in writers(context) {
        let left = until.duration_since(clock::BootInstant::now());
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
pub async fn end_by_peer(context: &rc::Rc<context::ProcessContext>, job: &ids::JobId) -> bool {
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
