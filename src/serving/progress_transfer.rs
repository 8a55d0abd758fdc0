//! Transfers the progress of a job to another process, in parts.
//!
//! A single message had to arrive within one timeout and was resent as a whole if it
//! did not, so a link too slow for it could carry nothing else. Only one transfer
//! therefore runs to a peer at a time, and only the part that is late is sent again.

use std::{cell, collections, net, rc, time};

use super::{context, job_checkpoints, open_job, peer_links, peers, state_snapshot};
use crate::{clock, ids};

/// Maximum wait for the response to a part. 8 KB take 2 ms on a link of 30 Mbit/s and
/// 270 ms on a link of 30 KB/s.
const PART_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Attempts to send a part before the transfer is abandoned. After 1.5 s the peer is
/// probably lost, and another peer will receive the progress.
const MAX_PART_ATTEMPTS: u32 = 3;

/// Maximum wait for a link to the peer. A peer that has just started has no link to
/// this process yet, and a failed link is re-established after 200 ms.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(600);

/// Maximum size of one transfer, in bytes; larger ones are rejected. A job of 200 items
/// with results of 10 KB has 2 MB.
const MAX_TRANSFER_BYTES: usize = 8 << 20;

/// Maximum total size of incoming transfers, in bytes. Beyond the limit, the least
/// recently updated transfer is dropped and has to start over.
const MAX_INCOMING_BYTES: usize = 8 << 20;

/// Time without parts after which an incoming transfer is dropped. It exceeds the time
/// after which the sender abandons the transfer.
const INCOMING_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Splits the encoded progress of a job into parts, in order.
///
/// # Errors
/// Returns an error if the progress cannot be encoded.
pub fn split(
    progress: &job_checkpoints::JobCheckpoint,
) -> Result<Vec<peers::ProgressPart>, String> {
    let encoded = postcard::to_stdvec(progress).map_err(|e| e.to_string())?;
    let transfer = rand::random();
    let chunks = encoded.chunks(state_snapshot::PART_BYTES).enumerate();
    let parts = chunks.map(|(number, bytes)| peers::ProgressPart {
        job: progress.job.clone(),
        transfer,
        offset: number * state_snapshot::PART_BYTES,
        total: encoded.len(),
        bytes: bytes.to_vec(),
    });
    Ok(parts.collect())
}

/// Result of receiving a part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartOutcome {
    /// Further parts are missing.
    Partial,
    /// The last part arrived, and the progress is complete.
    Whole(job_checkpoints::JobCheckpoint),
    /// The part does not continue the transfer, is too large or cannot be decoded.
    Unfit,
}

/// Transfer that has been received in part.
#[derive(Debug)]
struct IncomingTransfer {
    transfer: u64,
    bytes: Vec<u8>,
    last_seen: clock::BootInstant,
}

/// Incoming transfers of this process.
///
/// Invariant: the bytes of a transfer are a prefix of its encoded progress.
#[derive(Debug, Default)]
pub struct ProgressInbox {
    incoming: collections::HashMap<ids::JobId, IncomingTransfer>,
}

impl ProgressInbox {
    /// Receives a part; a repeated part is accepted again.
    pub fn receive(&mut self, part: peers::ProgressPart) -> PartOutcome {
        self.trim();
        if part.total > MAX_TRANSFER_BYTES {
            return PartOutcome::Unfit;
        }
        let job = part.job.clone();
        let entry = self.incoming.remove(&job);
        let entry = entry.filter(|entry| entry.transfer == part.transfer);
        let mut bytes = entry.map_or_else(Vec::new, |entry| entry.bytes);
        if part.offset > bytes.len() {
            return PartOutcome::Unfit;
        }
        bytes.truncate(part.offset);
        bytes.extend_from_slice(&part.bytes);
        if bytes.len() < part.total {
            let incoming = IncomingTransfer {
                transfer: part.transfer,
                bytes,
                last_seen: clock::BootInstant::now(),
            };
            self.incoming.insert(job, incoming);
            return PartOutcome::Partial;
        }
        match postcard::from_bytes::<job_checkpoints::JobCheckpoint>(&bytes) {
            Ok(progress) if progress.job == job => PartOutcome::Whole(progress),
            Ok(_) => PartOutcome::Unfit,
            Err(e) => {
                log::warn!("event=progress_unreadable job={job} why=\"{e}\"");
                PartOutcome::Unfit
            }
        }
    }

    /// Drops expired transfers, and the least recently updated ones beyond
    /// `MAX_INCOMING_BYTES`.
    fn trim(&mut self) {
        self.incoming
            .retain(|_, entry| entry.last_seen.elapsed() < INCOMING_TIMEOUT);
        while self.bytes() > MAX_INCOMING_BYTES {
            let oldest = self
                .incoming
                .iter()
                .min_by_key(|(_, entry)| entry.last_seen);
            let Some(oldest) = oldest.map(|(job, _)| job.clone()) else {
                return;
            };
            log::info!("event=progress_dropped job={oldest} why=\"incoming transfers exceed the size limit\"");
            self.incoming.remove(&oldest);
        }
    }

    fn bytes(&self) -> usize {
        self.incoming.values().map(|entry| entry.bytes.len()).sum()
    }
}

/// Outcome of sending progress to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// The peer keeps the progress.
    Kept,
    /// The update does not continue what the peer has; it needs the complete progress.
    Unfit,
    /// No response arrived. The peer may have the progress, and receives it again.
    Unknown,
}

/// Sends the progress of a job to a peer.
pub(super) async fn send(
    links: &peer_links::PeerLinks,
    peer: net::SocketAddr,
    progress: &job_checkpoints::JobCheckpoint,
) -> SendOutcome {
    let parts = match split(progress) {
        Ok(parts) => parts,
        Err(reason) => {
            log::error!(
                "event=progress_untold job={} why=\"{reason}\"",
                progress.job
            );
            return SendOutcome::Unknown;
        }
    };
    for part in parts {
        match send_part(links, peer, &part).await {
            Ok(true) => {}
            Ok(false) => return SendOutcome::Unfit,
            Err(e) => {
                log::info!(
                    "event=progress_untold job={} peer={peer} offset={} total={} why=\"{e}\"",
                    part.job,
                    part.offset,
                    part.total
                );
                return SendOutcome::Unknown;
            }
        }
    }
    SendOutcome::Kept
}

/// Sends a part, with retries while no response arrives, and returns whether the peer
/// could use it.
async fn send_part(
    links: &peer_links::PeerLinks,
    peer: net::SocketAddr,
    part: &peers::ProgressPart,
) -> Result<bool, peer_links::PeerError> {
    let mut attempts = 1;
    loop {
        links.connect_within(peer, CONNECT_TIMEOUT).await;
        let sent = links.keep_progress(peer, part.clone(), PART_TIMEOUT).await;
        if sent.is_ok() || attempts >= MAX_PART_ATTEMPTS {
            return sent;
        }
        attempts += 1;
    }
}

/// Jobs whose progress is waiting to be sent, by peer.
///
/// Invariant: a peer has an entry exactly while a task sends to it.
#[derive(Debug, Default)]
pub struct ProgressQueue {
    waiting:
        cell::RefCell<collections::HashMap<ids::InstanceId, collections::VecDeque<ids::JobId>>>,
}

impl ProgressQueue {
    /// Adds a job for a peer and returns whether a task must be started to send to the
    /// peer.
    fn add(&self, peer: &ids::InstanceId, job: ids::JobId) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        let is_first = !waiting.contains_key(peer);
        let jobs = waiting.entry(peer.clone()).or_default();
        if !jobs.contains(&job) {
            jobs.push_back(job);
        }
        is_first
    }

    /// Returns the next job for a peer; after the last one, removes the entry and
    /// returns `None`.
    fn next(&self, peer: &ids::InstanceId) -> Option<ids::JobId> {
        let mut waiting = self.waiting.borrow_mut();
        let next = waiting
            .get_mut(peer)
            .and_then(collections::VecDeque::pop_front);
        if next.is_none() {
            waiting.remove(peer);
        }
        next
    }
}

/// Queues a job whose unreplicated progress is to be sent to a peer.
pub(super) fn enqueue(
    context: &rc::Rc<context::ProcessContext>,
    peer: &ids::InstanceId,
    job: &open_job::SharedJob,
) {
    let id = job.borrow().record.id.clone();
    if context.progress_queue.add(peer, id) {
        actix_rt::spawn(send_queued(context.clone(), peer.clone()));
    }
}

/// Sends the progress of all queued jobs to a peer, one after the other.
async fn send_queued(context: rc::Rc<context::ProcessContext>, peer: ids::InstanceId) {
    while let Some(id) = context.progress_queue.next(&peer) {
        let address = context.members.borrow().address_of(&peer);
        let job = context.jobs.get(&id);
        if let (Some(address), Some(job)) = (address, job) {
            send_job(&context, &peer, address, &job).await;
        }
    }
}

/// Sends the progress of one job that the peer does not have yet.
async fn send_job(
    context: &context::ProcessContext,
    peer: &ids::InstanceId,
    address: net::SocketAddr,
    job: &open_job::SharedJob,
) {
    let update = job.borrow().unreplicated();
    if update.items.is_empty() {
        return;
    }
    let sent: Vec<_> = update
        .items
        .iter()
        .map(job_checkpoints::SentItem::of)
        .collect();
    let outcome = send(&context.links, address, &update).await;
    job.borrow_mut().record_replication(peer, &sent, outcome);
}
