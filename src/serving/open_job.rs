//! A job in this process: its items, its results, what is committed.

use std::{cell, collections, rc, time};

use tokio::sync::watch;

use super::{job_board::StreamKey, job_checkpoints, job_records, progress_transfer, wire};
use crate::{clock, ids};

/// How long results are gathered before they are committed, while their job has
/// time: so long for each owner, between the least and the most.
///
/// A commit costs a call of the store, and a lost owner the work since its last
/// one, which is the smaller a part of all the more owners there are.
const GATHER_PER_OWNER: time::Duration = time::Duration::from_millis(400);
const LEAST_GATHER: time::Duration = time::Duration::from_millis(1500);
const MOST_GATHER: time::Duration = time::Duration::from_millis(4000);

/// The same for a job that is nearly due.
const GATHER_DUE: time::Duration = time::Duration::from_millis(100);

/// Time before a job is due from which it counts as nearly due.
const NEARLY_DUE_MS: u64 = 4000;

/// Bytes of results in one part; an object of the store holds a megabyte of JSON.
const PART_BYTES: usize = 600_000;

/// Bytes of results in one answer to a reader.
const PAGE_BYTES: usize = 900_000;

/// Events that must be gained for a run that began anew to be given up for a
/// checkpoint that came late: the next run reads its prompt again, 5 to 30 ms,
/// and an event takes 5 to 60 ms.
const LEAST_GAIN: usize = 5;

/// Stands for the events of an item whose result its reader has.
const RESULT_TOLD: usize = usize::MAX;

/// How far an item is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ItemPhase {
    /// It may start.
    Waiting,
    /// A stream of it runs.
    Running,
    /// Its result is there.
    Done,
}

/// The work on one item.
#[derive(Debug, Clone)]
pub struct ItemProgress {
    /// How far it is.
    pub phase: ItemPhase,
    /// Data of its events so far.
    pub events: Vec<String>,
    /// Index of its last event.
    pub last_event: Option<u64>,
    /// Runs that the endpoint ended with a failure of its own.
    pub failures: u32,
    /// How long its runs held places so far.
    pub spent: time::Duration,
    /// Names the unbroken chain of runs that made `events`. A chain that goes on
    /// from a checkpoint is a new one: the process that told the checkpoint may
    /// go on with the old one too.
    chain: u64,
    /// Events that the process after the owner has as well.
    pub(super) backed_up: usize,
    /// Runs in a row that brought no event.
    pub(super) fruitless: u32,
    /// When it may start again.
    pub not_before: clock::BootInstant,
}

impl ItemProgress {
    /// The chain of runs that makes its events now.
    pub fn chain(&self) -> u64 {
        self.chain
    }

    /// Whether a run of a chain goes on with the item.
    pub fn is_run_by(&self, chain: u64) -> bool {
        self.phase == ItemPhase::Running && self.chain == chain
    }

    /// Whether it may start now.
    pub fn is_ready(&self, now: clock::BootInstant) -> bool {
        self.phase == ItemPhase::Waiting && self.not_before <= now
    }

    /// The progress beyond what its reader has, if there is any.
    fn checkpoint(&self, index: usize, known: usize) -> Option<job_checkpoints::ItemCheckpoint> {
        let update = self
            .events
            .get(known..)
            .filter(|update| !update.is_empty())?;
        Some(job_checkpoints::ItemCheckpoint {
            index,
            chain: self.chain,
            skipped: known,
            events: update.to_vec(),
            state: None,
            last_event: self.last_event,
            failures: self.failures,
            spent: self.spent,
        })
    }

    pub(super) fn new() -> Self {
        Self {
            phase: ItemPhase::Waiting,
            events: Vec::new(),
            last_event: None,
            failures: 0,
            spent: time::Duration::ZERO,
            chain: rand::random(),
            backed_up: 0,
            fruitless: 0,
            not_before: clock::BootInstant::now(),
        }
    }
}

/// What an owner knows of the work of the owners before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerKnowledge {
    /// Another process may own the job, end it and append results.
    Outdated,
    /// The store is being read.
    Reading,
    /// All is known since this process came to own the job.
    Current,
}

/// A job in this process.
///
/// Invariants: `committed` is what the first `parts` parts of the store hold,
/// in order; an item is in `committed` and `pending` together at most once.
pub struct OpenJob {
    /// Its submission.
    pub record: rc::Rc<job_records::JobRecord>,
    /// Results that are in the store.
    pub committed: Vec<wire::ItemResult>,
    /// Parts of the store that hold them.
    pub parts: usize,
    /// Results that are not in the store yet.
    pub pending: Vec<wire::ItemResult>,
    /// The work on each item.
    pub items: Vec<ItemProgress>,
    /// Streams of its items that run.
    pub streams: collections::HashSet<StreamKey>,
    /// Whether its caller ended it.
    pub ended: bool,
    /// When all results are due, in milliseconds since the epoch, once that is known.
    pub due_ms: Option<u64>,
    /// Whether the results in the store were read.
    pub is_known: bool,
    /// How far this process knows what earlier owners did; nothing runs before.
    pub knowledge: OwnerKnowledge,
    pub(super) committing: bool,
    /// Who has the progress of the items as well.
    backup: Option<ids::InstanceId>,
    pub(super) read_at: Option<clock::BootInstant>,
    pub(super) changed: watch::Sender<usize>,
}

/// A job that parts of the process share.
pub type SharedJob = rc::Rc<cell::RefCell<OpenJob>>;

impl OpenJob {
    pub(super) fn new(record: job_records::JobRecord, due_ms: Option<u64>) -> Self {
        let items = record.items.iter().map(|_| ItemProgress::new()).collect();
        Self {
            record: rc::Rc::new(record),
            committed: Vec::new(),
            parts: 0,
            pending: Vec::new(),
            items,
            streams: collections::HashSet::new(),
            ended: false,
            due_ms,
            is_known: false,
            knowledge: OwnerKnowledge::Outdated,
            committing: false,
            backup: None,
            read_at: None,
            changed: watch::Sender::new(0),
        }
    }

    /// When it is due, in milliseconds since the epoch; never while that is not known.
    pub fn due(&self) -> u64 {
        self.due_ms.unwrap_or(u64::MAX)
    }

    /// Whether all results are in the store, or the job was ended.
    pub fn is_over(&self) -> bool {
        self.ended || self.committed.len() >= self.record.items.len()
    }

    /// Takes a part that is in the store.
    pub(super) fn take_part(&mut self, part: job_records::ResultPart) {
        for result in part.results {
            if !self.take_result(&result) {
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

    /// Ends the work on an item that has a result in the store; says whether the result
    /// counts: that of another job's item, or a second one, is of another writer.
    fn take_result(&mut self, result: &wire::ItemResult) -> bool {
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

    /// Takes the result of an item that this process ran.
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

    /// The progress of the items beyond what their reader has of each, and the
    /// results that are not in the store yet.
    pub fn checkpoint(
        &self,
        known: impl Fn(&ItemProgress) -> usize,
    ) -> job_checkpoints::JobCheckpoint {
        let items = self.items.iter().enumerate();
        let update = items.filter_map(|(index, item)| match item.phase {
            ItemPhase::Done => self.result_checkpoint(index, known(item)),
            _ => item.checkpoint(index, known(item)),
        });
        job_checkpoints::JobCheckpoint {
            job: self.record.id.clone(),
            items: update.collect(),
        }
    }

    /// The result of an item, unless it is in the store or its reader has it.
    fn result_checkpoint(
        &self,
        index: usize,
        known: usize,
    ) -> Option<job_checkpoints::ItemCheckpoint> {
        let item = &self.items[index];
        if known == RESULT_TOLD {
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
            failures: item.failures,
            spent: item.spent,
        })
    }

    /// Says who is told the progress of the items from now on.
    pub(super) fn set_backup(&mut self, peer: &ids::InstanceId) {
        if self.backup.as_ref() == Some(peer) {
            return;
        }
        self.backup = Some(peer.clone());
        for item in &mut self.items {
            item.backed_up = 0;
        }
    }

    /// Who was told the progress, if anybody; from now on nobody is.
    pub(super) fn take_backup(&mut self) -> Option<ids::InstanceId> {
        self.backup.take()
    }

    /// The progress beyond what the peer has that backs it up.
    pub(super) fn unsaved(&self) -> job_checkpoints::JobCheckpoint {
        self.checkpoint(|item| item.backed_up)
    }

    /// Notes what came of a checkpoint that a peer was told. One that the peer did not
    /// answer is told again from where it was; what does not fit is told whole.
    pub(super) fn record_backed_up(
        &mut self,
        peer: &ids::InstanceId,
        sent: &[job_checkpoints::ToldItem],
        outcome: progress_transfer::ToldOutcome,
    ) {
        use progress_transfer::ToldOutcome as O;

        if self.backup.as_ref() != Some(peer) {
            return;
        }
        for sent in sent {
            let Some(item) = self.items.get_mut(sent.index) else {
                continue;
            };
            if item.chain != sent.chain {
                continue;
            }
            item.backed_up = match outcome {
                O::Kept if sent.is_result => RESULT_TOLD,
                O::Kept => sent.events,
                O::Unfit => 0,
                O::Unknown => continue,
            };
        }
    }

    /// Lets an item go on from a checkpoint, if that is further; says whether it
    /// does. A run of it that began meanwhile ends at its next event.
    pub fn go_on_from(&mut self, from: job_checkpoints::ItemCheckpoint) -> bool {
        let index = from.index;
        let Some(item) = self.items.get_mut(index) else {
            return false;
        };
        let least = match item.phase {
            ItemPhase::Waiting => item.events.len() + 1,
            ItemPhase::Running => item.events.len() + LEAST_GAIN,
            ItemPhase::Done => return false,
        };
        let is_further = from.state.is_some() || from.events.len() >= least;
        if !is_further || from.skipped > 0 {
            return false;
        }
        item.phase = ItemPhase::Waiting;
        item.events = from.events;
        item.chain = rand::random();
        item.backed_up = 0;
        item.last_event = from.last_event;
        item.failures = item.failures.max(from.failures);
        item.spent = item.spent.max(from.spent);
        if let Some(state) = from.state {
            self.finish(index, state);
        }
        true
    }

    pub(super) fn page(&self, after: usize) -> wire::ResultPage {
        let mut bytes = 0;
        let rest = self.committed.iter().skip(after);
        let results = rest.take_while(|result| {
            let first = bytes == 0;
            bytes += result.output.len() + result.id.len() + 64;
            first || bytes <= PAGE_BYTES
        });
        let results: Vec<_> = results.cloned().collect();
        wire::ResultPage {
            total: self.record.items.len(),
            next: after + results.len(),
            results,
        }
    }

    pub(super) fn bytes(&self) -> usize {
        let bodies = self.record.items.iter().map(|i| i.body.len() + 300);
        let results = self.committed.iter().map(|r| r.output.len() + 100);
        bodies.sum::<usize>() + results.sum::<usize>()
    }

    pub(super) fn next_part(&self) -> job_records::ResultPart {
        let mut bytes = 0;
        let fitting = self.pending.iter().take_while(|result| {
            let first = bytes == 0;
            bytes += result.output.len() + result.id.len() + 64;
            first || bytes <= PART_BYTES
        });
        job_records::ResultPart {
            start: self.committed.len(),
            results: fitting.cloned().collect(),
        }
    }

    /// How long results are gathered now, with so many owners of jobs.
    pub(super) fn gather_time(&self, owners: usize) -> time::Duration {
        let all_done = self.items.iter().all(|i| i.phase == ItemPhase::Done);
        if all_done {
            return time::Duration::ZERO;
        }
        match self.due().saturating_sub(clock::epoch_ms()) < NEARLY_DUE_MS {
            true => GATHER_DUE,
            false => (GATHER_PER_OWNER * owners as u32).clamp(LEAST_GATHER, MOST_GATHER),
        }
    }
}
