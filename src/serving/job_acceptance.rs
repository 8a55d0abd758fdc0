//! Writes submissions and ends of jobs to the store, through a peer if the store
//! refuses this process.

use std::{net, rc, time};

use super::{
    context,
    job_records::{self, JobOrigin},
    peer_links, peers,
};
use crate::{clock, ids, store};

/// Maximum time to accept a job; the caller's remaining time may be shorter.
pub const ACCEPT_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Maximum number of peers tried for a write that the store refuses from this process.
const MAX_WRITERS: usize = 2;
/// Delay between attempts at a write whose outcome is unknown.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(150);

/// Outcome of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Acceptance {
    /// The job is in the store; `New` if this process created it.
    Accepted(JobOrigin),
    /// Nothing was written.
    Refused,
    /// The write may still take effect.
    Unknown,
}

impl Acceptance {
    /// Returns the name of the outcome in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Accepted(_) => "Accepted",
            Self::Refused => "Refused",
            Self::Unknown => "Unknown",
        }
    }
}

/// Writes a job, and retries until the outcome is certain or the deadline has passed.
pub async fn accept(
    context: &rc::Rc<context::ProcessContext>,
    record: &job_records::JobRecord,
    deadline: clock::BootInstant,
) -> Acceptance {
    let mut may_be_written = false;
    loop {
        let remaining = deadline.duration_since(clock::BootInstant::now());
        let writing = job_records::accept(context.store.as_ref(), record);
        match tokio::time::timeout(remaining, writing).await {
            // After an unclear attempt, an owner may have found the job already.
            Ok(Ok(true)) if !may_be_written => return Acceptance::Accepted(JobOrigin::New),
            Ok(Ok(_)) => return Acceptance::Accepted(JobOrigin::Stored),
            Ok(Err(store::StoreError::Unavailable(reason))) if !may_be_written => {
                log::info!(
                    "event=acceptance_refused job={} why=\"{reason}\"",
                    record.id
                );
                return accept_through_peer(context, record, deadline).await;
            }
            Ok(Err(store::StoreError::TooLarge)) => return Acceptance::Refused,
            Ok(Err(e)) => {
                may_be_written |= e == store::StoreError::Unknown;
                log::info!("event=acceptance_unclear job={} why=\"{e}\"", record.id);
            }
            Err(_) => return Acceptance::Unknown,
        }
        if clock::BootInstant::now() + RETRY_DELAY >= deadline {
            return Acceptance::Unknown;
        }
        actix_rt::time::sleep(RETRY_DELAY).await;
    }
}

/// Returns the peers that can write to the store on behalf of this process.
fn writer_peers(context: &context::ProcessContext) -> Vec<(ids::InstanceId, net::SocketAddr)> {
    let relays = context.relays();
    if !relays.is_empty() {
        let relays = relays.into_iter().take(MAX_WRITERS);
        return relays.map(|r| (r.id, r.address)).collect();
    }
    let members = context.members.borrow();
    let owners = context.owners();
    let others = owners.iter().filter(|o| o.id != *context.id());
    let addresses = others.filter_map(|o| Some((o.id.clone(), members.address_of(&o.id)?)));
    addresses.take(MAX_WRITERS).collect()
}

/// Writes a job through a peer after the store has refused this process.
async fn accept_through_peer(
    context: &rc::Rc<context::ProcessContext>,
    record: &job_records::JobRecord,
    deadline: clock::BootInstant,
) -> Acceptance {
    for (peer, address) in writer_peers(context) {
        let remaining = deadline.duration_since(clock::BootInstant::now());
        let outcome = context
            .links
            .write_job(address, record.clone(), remaining)
            .await;
        log::info!(
            "event=job_by_peer job={} peer={peer} outcome={outcome:?}",
            record.id
        );
        match outcome {
            Ok(peers::WriteOutcome::Written) => return Acceptance::Accepted(JobOrigin::Stored),
            Ok(peers::WriteOutcome::Refused) | Err(peer_links::PeerError::NotSent) => {}
            Ok(peers::WriteOutcome::Unknown) | Err(_) => return Acceptance::Unknown,
        }
    }
    Acceptance::Refused
}

/// Writes the end of a job through a peer and returns whether a peer has written it.
pub async fn end_through_peer(context: &rc::Rc<context::ProcessContext>, job: &ids::JobId) -> bool {
    for (peer, address) in writer_peers(context) {
        let outcome = context
            .links
            .write_end(address, job.clone(), ACCEPT_TIMEOUT)
            .await;
        log::info!("event=end_by_peer job={job} peer={peer} outcome={outcome:?}");
        if outcome == Ok(peers::WriteOutcome::Written) {
            return true;
        }
    }
    false
}
