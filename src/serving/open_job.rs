//! State of a job in this process: its items, its results, and what is committed.

use std::{cell, collections, rc, time};

use tokio::sync::watch;

use super::{
    directory, job_budget, job_checkpoints, job_records, job_table::StreamKey, progress_transfer,
    result_parts, wire,
};
use crate::{clock, ids, store};

/// Delay before results are committed, while their job has time left: this much per job
/// owner, within the minimum and the maximum below.
///
/// A commit costs a store call. Losing an owner loses the work since its last commit,
/// which is a smaller share of all work the more owners there are.
const DELAY_PER_OWNER: time::Duration = time::Duration::from_millis(400);
const MIN_COMMIT_DELAY: time::Duration = time::Duration::from_millis(1500);
const MAX_COMMIT_DELAY: time::Duration = time::Duration::from_millis(4000);

/// Commit delay for a job that is nearly due.
const NEARLY_DUE_COMMIT_DELAY: time::Duration = time::Duration::from_millis(100);

/// Time before the due time from which a job counts as nearly due, in milliseconds.
const NEARLY_DUE_MS: u64 = 4000;

/// Maximum size of the encoded results in one response to a reader.
const PAGE_SIZE: store::ValueSize = store::ValueSize(900_000);

/// Minimum number of events that a late checkpoint must add to replace a run that has
/// already started over: the next run reads its prompt again, which takes 5 to 30 ms,
/// and an event takes 5 to 60 ms.
const MIN_EVENT_GAIN: usize = 5;

/// Delay of an item under which an endpoint crashed before its first event; it doubles with
/// each further crash.
///
/// A crashed endpoint is back within seconds, and an item that crashes endpoints itself, against
/// expectation, crashes one in [`MAX_CRASH_DELAY`].
const FIRST_CRASH_DELAY: time::Duration = time::Duration::from_millis(600);
const MAX_CRASH_DELAY: time::Duration = time::Duration::from_secs(5);
const MAX_CRASH_GROWTH: u32 = 4;

/// Number of replicated events that marks an item whose result the receiver has.
const RESULT_REPLICATED: usize = usize::MAX;

/// Phase of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ItemPhase {
    /// May be started.
    Waiting,
    /// Has a running stream.
    Running,
    /// Has a result.
    Done,
}

/// Progress of one item.
#[derive(Debug, Clone)]
pub struct ItemProgress {
    /// Current phase.
    pub phase: ItemPhase,
    /// Data of the events so far.
    pub events: Vec<String>,
    /// Index of the last event.
    pub last_event: Option<u64>,
    /// Software that wrote `events`, if it is known. The item goes on there only.
    pub software: Option<directory::ServiceSoftware>,
    /// When the last run ended.
    pub waiting_since: clock::BootInstant,
    /// Number of runs that an endpoint ended with a failure of its own.
    pub failures: u32,
    /// Total time for which the item's runs have held slots.
    pub spent: time::Duration,
    /// Identifier of the uninterrupted chain of runs that produced `events`. Resuming
    /// from a checkpoint starts a new chain, because the process that sent the
    /// checkpoint may extend the old one.
    chain: u64,
    /// Number of events that the replica peer has.
    pub(super) replicated_events: usize,
    /// Number of consecutive runs without an event.
    pub(super) empty_runs: u32,
    /// Number of endpoints that crashed under it since its last event.
    crashes: u32,
    /// Earliest time of the next start.
    pub not_before: clock::BootInstant,
}

impl ItemProgress {
    /// Returns the chain of runs that currently produces the events.
    pub fn chain(&self) -> u64 {
        self.chain
    }

    /// Returns whether the item is running in the given chain.
    pub fn is_run_by(&self, chain: u64) -> bool {
        self.phase == ItemPhase::Running && self.chain == chain
    }

    /// Returns whether the item starts over at an endpoint where it cannot go on. `is_listed` says
    /// whether any endpoint has the software that wrote its events.
    ///
    /// It waits for one for at most as long as its work so far took.
    pub fn starts_over(&self, is_listed: bool) -> bool {
        let has_waited = self.waiting_since.elapsed() >= self.spent;
        self.software.is_none() || !is_listed || has_waited
    }

    /// Returns whether the events so far are of the software of an endpoint.
    pub fn continues_at(&self, endpoint: &directory::EndpointEntry) -> bool {
        let software = endpoint.service_software();
        self.events.is_empty() || (software.is_some() && software == self.software)
    }

    /// Drops the events so far; the next run begins a new chain.
    pub fn start_over(&mut self) {
        self.events.clear();
        self.last_event = None;
        self.software = None;
        self.chain = rand::random();
        self.replicated_events = 0;
        self.spent = time::Duration::ZERO;
    }

    /// Records that the endpoint of its last run crashed, and delays its next one.
    pub(super) fn record_crash(&mut self) {
        let growth = 1 << self.crashes.min(MAX_CRASH_GROWTH);
        let delay = (FIRST_CRASH_DELAY * growth).min(MAX_CRASH_DELAY);
        self.crashes += 1;
        self.not_before = self.not_before.max(clock::BootInstant::now() + delay);
    }

    /// Records that its run brought an event.
    pub(super) fn record_event(&mut self) {
        self.empty_runs = 0;
        self.crashes = 0;
    }

    /// Returns whether the item may start now.
    pub fn is_ready(&self, now: clock::BootInstant) -> bool {
        self.phase == ItemPhase::Waiting && self.not_before <= now
    }

    /// Returns the size of the output so far, in bytes.
    pub(super) fn output_bytes(&self) -> usize {
        self.events.iter().map(|event| event.len() + 1).sum()
    }

    /// Returns the progress beyond the events that the receiver has, if there is any.
    fn checkpoint(
        &self,
        index: usize,
        received_events: usize,
    ) -> Option<job_checkpoints::ItemCheckpoint> {
        let update = self
            .events
            .get(received_events..)
            .filter(|update| !update.is_empty())?;
        Some(job_checkpoints::ItemCheckpoint {
            index,
            chain: self.chain,
            skipped: received_events,
            events: update.to_vec(),
            state: None,
            last_event: self.last_event,
            software: self.software.clone(),
            failures: self.failures,
            spent: self.spent,
        })
    }

    pub(super) fn new() -> Self {
        Self {
            phase: ItemPhase::Waiting,
            events: Vec::new(),
            last_event: None,
            software: None,
            waiting_since: clock::BootInstant::now(),
            failures: 0,
            spent: time::Duration::ZERO,
            chain: rand::random(),
            replicated_events: 0,
            empty_runs: 0,
            crashes: 0,
            not_before: clock::BootInstant::now(),
        }
    }
}

/// What an owner knows about the work of previous owners.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerKnowledge {
    /// Another process may own the job, end it and append results.
    Outdated,
    /// The store is being read.
    Reading,
    /// Everything is known since this process became the owner.
    Current,
}

/// State of a job in this process.
///
/// Invariants: `committed` holds the results of the first `parts` parts in the store,
/// in order; an item appears at most once in `committed` and `pending` together.
pub struct OpenJob {
    /// Submitted job.
    pub record: rc::Rc<job_records::JobRecord>,
    /// Estimated memory of the record.
    pub(super) record_bytes: usize,
    /// Results that are in the store.
    pub committed: Vec<wire::ItemResult>,
    /// Number of parts in the store that contain them.
    pub parts: usize,
    /// Results that are not in the store yet.
    pub pending: Vec<wire::ItemResult>,
    /// Result of which the last parts in the store hold some fragments.
    partial: Option<result_parts::PartialResult>,
    /// Progress of each item.
    pub items: Vec<ItemProgress>,
    /// Running streams of the items.
    pub streams: collections::HashSet<StreamKey>,
    /// Whether the caller ended the job.
    pub ended: bool,
    /// Due time of all results, in milliseconds since the epoch, once known.
    pub due_ms: Option<u64>,
    /// Whether the results in the store have been read.
    pub is_loaded: bool,
    /// Knowledge of the work of earlier owners; items run only while it is current.
    pub knowledge: OwnerKnowledge,
    pub(super) committing: bool,
    /// Peer that holds a replica of the items' progress.
    replica_peer: Option<ids::InstanceId>,
    /// When the last read of all results in the store began, or a new job was taken, which has
    /// none. All results up to then are in `committed`.
    pub(super) read_at: Option<clock::BootInstant>,
    pub(super) changed: watch::Sender<usize>,
}

/// Job shared between tasks of the process.
pub type SharedJob = rc::Rc<cell::RefCell<OpenJob>>;

impl OpenJob {
    pub(super) fn new(record: job_records::JobRecord, due_ms: Option<u64>) -> Self {
        let items = record.items.iter().map(|_| ItemProgress::new()).collect();
        Self {
            record_bytes: job_budget::item_bytes(&record.items),
            record: rc::Rc::new(record),
            committed: Vec::new(),
            parts: 0,
            pending: Vec::new(),
            partial: None,
            items,
            streams: collections::HashSet::new(),
            ended: false,
            due_ms,
            is_loaded: false,
            knowledge: OwnerKnowledge::Outdated,
            committing: false,
            replica_peer: None,
            read_at: None,
            changed: watch::Sender::new(0),
        }
    }

    /// Returns the due time in milliseconds since the epoch, or `u64::MAX` if unknown.
    pub fn due(&self) -> u64 {
        self.due_ms.unwrap_or(u64::MAX)
    }

    /// Returns whether all results are in the store or the job was ended.
    pub fn is_finished(&self) -> bool {
        self.ended || self.is_complete()
    }

    /// Returns whether all results are known here, so that none can be added.
    ///
    /// An ended job may have more results in the store: those of other owners, or of one that
    /// learns of the end late.
    pub fn is_complete(&self) -> bool {
        self.committed.len() >= self.record.items.len()
    }

    /// Applies the next result part of the store.
    pub(super) fn apply_part(&mut self, part: result_parts::ResultPart) {
        let assembled = part
            .fragment
            .and_then(|fragment| result_parts::assemble(&mut self.partial, fragment));
        for result in part.results.into_iter().chain(assembled) {
            if !self.apply_result(&result) {
                let (job, item) = (&self.record.id, &result.id);
                log::warn!(
                    "event=result_foreign job={job} part={} item={item}",
                    self.parts
                );
                continue;
            }
            self.committed.push(result);
        }
        self.parts += 1;
        self.changed.send_replace(self.committed.len());
    }

    /// Marks an item as done by a result in the store and returns whether the result
    /// counts. A result for an unknown item, or a second one, comes from a foreign
    /// writer.
    fn apply_result(&mut self, result: &wire::ItemResult) -> bool {
        let items = &self.record.items;
        let Some(index) = items.iter().position(|i| i.id == result.id) else {
            return false;
        };
        let before = self.pending.len();
        self.pending.retain(|p| p.id != result.id);
        let was_pending = self.pending.len() < before;
        let progress = &mut self.items[index];
        let was_done = progress.phase == ItemPhase::Done;
        progress.phase = ItemPhase::Done;
        progress.events = Vec::new();
        was_pending || !was_done
    }

    /// Adds the result of an item that this process ran.
    pub fn finish(&mut self, index: usize, state: wire::ItemState) {
        let progress = &mut self.items[index];
        if progress.phase == ItemPhase::Done {
            return;
        }
        progress.phase = ItemPhase::Done;
        let events = std::mem::take(&mut progress.events);
        let output = match state {
            wire::ItemState::Completed => events.join("\n"),
            wire::ItemState::GivenUp => String::new(),
        };
        let id = self.record.items[index].id.clone();
        self.pending.push(wire::ItemResult { id, state, output });
    }

    /// Returns the progress of each item beyond the events that the receiver has, and
    /// the results that are not in the store yet.
    pub fn checkpoint(
        &self,
        received_events: impl Fn(&ItemProgress) -> usize,
    ) -> job_checkpoints::JobCheckpoint {
        let items = self.items.iter().enumerate();
        let update = items.filter_map(|(index, item)| match item.phase {
            ItemPhase::Done => self.result_checkpoint(index, received_events(item)),
            _ => item.checkpoint(index, received_events(item)),
        });
        job_checkpoints::JobCheckpoint {
            job: self.record.id.clone(),
            items: update.collect(),
        }
    }

    /// Returns the result of an item, unless the store or the receiver has it.
    fn result_checkpoint(
        &self,
        index: usize,
        received_events: usize,
    ) -> Option<job_checkpoints::ItemCheckpoint> {
        let item = &self.items[index];
        if received_events == RESULT_REPLICATED {
            return None;
        }
        let id = &self.record.items[index].id;
        let result = self.pending.iter().find(|result| result.id == *id)?;
        Some(job_checkpoints::ItemCheckpoint {
            index,
            chain: item.chain,
            skipped: 0,
            events: vec![result.output.clone()],
            state: Some(result.state),
            last_event: item.last_event,
            software: item.software.clone(),
            failures: item.failures,
            spent: item.spent,
        })
    }

    /// Sets the peer that receives the progress of the items from now on.
    pub(super) fn set_replica_peer(&mut self, peer: &ids::InstanceId) {
        if self.replica_peer.as_ref() == Some(peer) {
            return;
        }
        self.replica_peer = Some(peer.clone());
        for item in &mut self.items {
            item.replicated_events = 0;
        }
    }

    /// Removes and returns the peer that received the progress.
    pub(super) fn take_replica_peer(&mut self) -> Option<ids::InstanceId> {
        self.replica_peer.take()
    }

    /// Returns the progress that the replica peer does not have yet.
    pub(super) fn unreplicated(&self) -> job_checkpoints::JobCheckpoint {
        self.checkpoint(|item| item.replicated_events)
    }

    /// Records the outcome of sending a checkpoint. Without a response, the next update
    /// starts from the same position; if the peer could not use it, the next one is
    /// complete.
    pub(super) fn record_replication(
        &mut self,
        peer: &ids::InstanceId,
        sent: &[job_checkpoints::SentItem],
        outcome: progress_transfer::SendOutcome,
    ) {
        use progress_transfer::SendOutcome as O;

        if self.replica_peer.as_ref() != Some(peer) {
            return;
        }
        for sent in sent {
            let Some(item) = self.items.get_mut(sent.index) else {
                continue;
            };
            if item.chain != sent.chain {
                continue;
            }
            item.replicated_events = match outcome {
                O::Kept if sent.is_result => RESULT_REPLICATED,
                O::Kept => sent.events,
                O::Unfit => 0,
                O::Unknown => continue,
            };
        }
    }

    /// Resumes an item from a checkpoint that is further advanced and returns whether
    /// it did. A run that started in the meantime stops at its next event.
    pub fn resume_from(&mut self, from: job_checkpoints::ItemCheckpoint) -> bool {
        let index = from.index;
        let Some(item) = self.items.get_mut(index) else {
            return false;
        };
        let min_events = match item.phase {
            ItemPhase::Waiting => item.events.len() + 1,
            ItemPhase::Running => item.events.len() + MIN_EVENT_GAIN,
            ItemPhase::Done => return false,
        };
        let is_further = from.state.is_some() || from.events.len() >= min_events;
        let is_usable = from.state.is_some() || from.software.is_some();
        if !is_further || !is_usable || from.skipped > 0 {
            return false;
        }
        item.phase = ItemPhase::Waiting;
        item.events = from.events;
        item.chain = rand::random();
        item.replicated_events = 0;
        item.last_event = from.last_event;
        item.software = from.software;
        item.waiting_since = clock::BootInstant::now();
        item.failures = item.failures.max(from.failures);
        item.spent = item.spent.max(from.spent);
        if let Some(state) = from.state {
            self.finish(index, state);
        }
        true
    }

    /// Returns the committed results from a position on, up to `PAGE_SIZE` but at least
    /// one if there is any.
    pub(super) fn page(&self, after: usize) -> wire::ResultPage {
        let mut size = store::ValueSize::default();
        let rest = self.committed.iter().skip(after);
        let results = rest.take_while(|result| {
            let first = size == store::ValueSize::default();
            size.0 += store::encoded_size(*result).0 + 64;
            first || size <= PAGE_SIZE
        });
        let results: Vec<_> = results.cloned().collect();
        wire::ResultPage {
            total: self.record.items.len(),
            next: after + results.len(),
            results,
        }
    }

    /// Estimates the memory that the bodies and committed results take, in bytes.
    pub(super) fn bytes(&self) -> usize {
        let results = self.committed.iter().map(|r| r.output.len() + 100);
        self.record_bytes + results.sum::<usize>()
    }

    /// Returns the next part to commit.
    pub(super) fn next_part(&self, limit: result_parts::PartLimit) -> result_parts::ResultPart {
        limit.next_part(self.committed.len(), &self.pending, self.partial.as_ref())
    }

    /// Returns how long results are collected before a commit, for a number of job
    /// owners.
    pub(super) fn commit_delay(&self, owners: usize) -> time::Duration {
        let all_done = self.items.iter().all(|i| i.phase == ItemPhase::Done);
        if all_done {
            return time::Duration::ZERO;
        }
        match self.due().saturating_sub(clock::epoch_ms()) < NEARLY_DUE_MS {
            true => NEARLY_DUE_COMMIT_DELAY,
            false => (DELAY_PER_OWNER * owners as u32).clamp(MIN_COMMIT_DELAY, MAX_COMMIT_DELAY),
        }
    }
}
