//! The progress of a job on its way between two processes, in parts.
//!
//! Told in one message it had to come over within one timeout, and was told anew
//! and whole when it did not: a link that was slow for it once carried nothing
//! else from then on. Now one transfer goes to a peer at a time, in parts, and a
//! part that is late is told again, not the whole.

use std::{cell, collections, net, rc, time};

use super::{context, job_checkpoints, open_job, peer_links, state_snapshot};
use crate::{clock, ids};

/// Longest wait for the answer to a part: 8 KB take 2 ms of a link of 30 Mbit/s,
/// and 270 ms of one that carries 30 KB/s.
const PART_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// How often a part is told before the transfer is given up: the peer is likely
/// lost by then, 1.5 s, and another one will be told.
const PART_TRIES: u32 = 3;

/// Longest wait for a link to the peer: one that has just started has none to
/// this process yet, and a link that failed is made anew after 200 ms.
const REACH_TIMEOUT: time::Duration = time::Duration::from_millis(600);

/// Most bytes of one transfer; what claims more is refused. A job of 200 items
/// with results of 10 KB has 2 MB.
const MAX_TRANSFER_BYTES: usize = 8 << 20;

/// Most bytes of transfers under way to this process. The one that was heard of
/// least recently is dropped beyond, and begins anew.
const MAX_INCOMING_BYTES: usize = 8 << 20;

/// Time after which a transfer that is heard of no more is dropped: above the
/// time in which its sender gives it up.
const INCOMING_FOR: time::Duration = time::Duration::from_secs(5);

/// A part of the encoded progress of a job.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ProgressPart {
    /// The job.
    pub job: ids::JobId,
    /// Tells the transfers of a job apart; made by the sender at random.
    pub transfer: u64,
    /// Bytes before this part.
    pub offset: usize,
    /// Bytes of all parts.
    pub total: usize,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// Cuts the progress of a job into parts, in order.
///
/// # Errors
/// The progress cannot be encoded.
pub fn cut(progress: &job_checkpoints::JobCheckpoint) -> Result<Vec<ProgressPart>, String> {
    let encoded = postcard::to_stdvec(progress).map_err(|e| e.to_string())?;
    let transfer = rand::random();
    let chunks = encoded.chunks(state_snapshot::PART_BYTES).enumerate();
    let parts = chunks.map(|(number, bytes)| ProgressPart {
        job: progress.job.clone(),
        transfer,
        offset: number * state_snapshot::PART_BYTES,
        total: encoded.len(),
        bytes: bytes.to_vec(),
    });
    Ok(parts.collect())
}

/// What came of a part at its receiver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartOutcome {
    /// More are to come.
    Partial,
    /// It was the last: the progress is whole.
    Whole(job_checkpoints::JobCheckpoint),
    /// It does not fit to what came before, or cannot be read.
    Unfit,
}

/// A transfer of which parts have come.
#[derive(Debug)]
struct IncomingTransfer {
    transfer: u64,
    bytes: Vec<u8>,
    heard_at: clock::BootInstant,
}

/// Transfers to this process that are under way.
///
/// Invariant: the bytes of a transfer are a prefix of its encoded progress.
#[derive(Debug, Default)]
pub struct ProgressInbox {
    incoming: collections::HashMap<ids::JobId, IncomingTransfer>,
}

impl ProgressInbox {
    /// Takes a part; one that came before is taken again.
    pub fn take(&mut self, part: ProgressPart) -> PartOutcome {
        self.trim();
        if part.total > MAX_TRANSFER_BYTES {
            return PartOutcome::Unfit;
        }
        let job = part.job.clone();
        let known = self.incoming.remove(&job);
        let known = known.filter(|known| known.transfer == part.transfer);
        let mut bytes = known.map_or_else(Vec::new, |known| known.bytes);
        if part.offset > bytes.len() {
            return PartOutcome::Unfit;
        }
        bytes.truncate(part.offset);
        bytes.extend_from_slice(&part.bytes);
        if bytes.len() < part.total {
            let incoming = IncomingTransfer {
                transfer: part.transfer,
                bytes,
                heard_at: clock::BootInstant::now(),
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

    /// Drops what is old, and what is beyond the bound of bytes.
    fn trim(&mut self) {
        self.incoming
            .retain(|_, known| known.heard_at.elapsed() < INCOMING_FOR);
        while self.bytes() > MAX_INCOMING_BYTES {
            let oldest = self.incoming.iter().min_by_key(|(_, known)| known.heard_at);
            let Some(oldest) = oldest.map(|(job, _)| job.clone()) else {
                return;
            };
            log::info!("event=progress_dropped job={oldest} why=\"too much is under way\"");
            self.incoming.remove(&oldest);
        }
    }

    fn bytes(&self) -> usize {
        self.incoming.values().map(|known| known.bytes.len()).sum()
    }
}

/// What came of progress that was told to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ToldOutcome {
    /// The peer keeps it.
    Kept,
    /// It does not fit to what the peer has: it needs all of it.
    Unfit,
    /// No answer came: the peer may keep it, and is told the same again.
    Unknown,
}

/// Tells a peer the progress of a job.
pub(super) async fn tell(
    links: &peer_links::PeerLinks,
    peer: net::SocketAddr,
    progress: &job_checkpoints::JobCheckpoint,
) -> ToldOutcome {
    let parts = match cut(progress) {
        Ok(parts) => parts,
        Err(reason) => {
            log::error!(
                "event=progress_untold job={} why=\"{reason}\"",
                progress.job
            );
            return ToldOutcome::Unknown;
        }
    };
    for part in parts {
        match tell_part(links, peer, &part).await {
            Ok(true) => {}
            Ok(false) => return ToldOutcome::Unfit,
            Err(e) => {
                log::info!(
                    "event=progress_untold job={} peer={peer} offset={} total={} why=\"{e}\"",
                    part.job,
                    part.offset,
                    part.total
                );
                return ToldOutcome::Unknown;
            }
        }
    }
    ToldOutcome::Kept
}

/// Tells a part until it is answered; says whether it fits.
async fn tell_part(
    links: &peer_links::PeerLinks,
    peer: net::SocketAddr,
    part: &ProgressPart,
) -> Result<bool, peer_links::PeerError> {
    let mut tries = 1;
    loop {
        links.connect_within(peer, REACH_TIMEOUT).await;
        let sent = links.keep_progress(peer, part.clone(), PART_TIMEOUT).await;
        if sent.is_ok() || tries >= PART_TRIES {
            return sent;
        }
        tries += 1;
    }
}

/// Jobs whose progress waits to be told, by peer.
///
/// Invariant: a peer stands here while, and only while, it is being told.
#[derive(Debug, Default)]
pub struct ProgressQueue {
    waiting:
        cell::RefCell<collections::HashMap<ids::InstanceId, collections::VecDeque<ids::JobId>>>,
}

impl ProgressQueue {
    /// Adds a job for a peer; says whether somebody has to begin telling the peer.
    fn add(&self, peer: &ids::InstanceId, job: ids::JobId) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        let is_first = !waiting.contains_key(peer);
        let jobs = waiting.entry(peer.clone()).or_default();
        if !jobs.contains(&job) {
            jobs.push_back(job);
        }
        is_first
    }

    /// The next job for a peer; nothing, and the peer is told no more, after the last.
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

/// Has a peer be told what it does not have yet of a job, after what waits already.
pub(super) fn enqueue(
    context: &rc::Rc<context::ProcessContext>,
    peer: &ids::InstanceId,
    job: &open_job::SharedJob,
) {
    let id = job.borrow().record.id.clone();
    if context.progress_queue.add(peer, id) {
        actix_rt::spawn(tell_waiting(context.clone(), peer.clone()));
    }
}

/// Tells a peer the progress of all jobs that wait for it, one after the other.
async fn tell_waiting(context: rc::Rc<context::ProcessContext>, peer: ids::InstanceId) {
    while let Some(id) = context.progress_queue.next(&peer) {
        let address = context.members.borrow().address_of(&peer);
        let job = context.jobs.get(&id);
        if let (Some(address), Some(job)) = (address, job) {
            tell_job(&context, &peer, address, &job).await;
        }
    }
}

/// Tells a peer what it does not have yet of one job.
async fn tell_job(
    context: &context::ProcessContext,
    peer: &ids::InstanceId,
    address: net::SocketAddr,
    job: &open_job::SharedJob,
) {
    let update = job.borrow().unsaved();
    if update.items.is_empty() {
        return;
    }
    let sent: Vec<_> = update
        .items
        .iter()
        .map(job_checkpoints::ToldItem::of)
        .collect();
    let outcome = tell(&context.links, address, &update).await;
    job.borrow_mut().record_backed_up(peer, &sent, outcome);
}
