//! Chunks of a batch job: claims, commits, crashes, pauses, lost and late answers.

use std::{collections, sync, time};

use rand::{rngs, Rng as _};

use super::{Protection, SoakWorld, WorldTally};
use crate::{
    batch_item, clock,
    decisions::{chunk, job},
    dispatcher::chunk_work,
    ids, store,
};

const CHUNKS: usize = 3;
const ITEMS: u32 = 8;
const DISPATCHERS: usize = 3;
const SERVICE: &str = "print";
/// Items with an index below this may run once only.
const ONCE_BELOW: u32 = 3;

/// A chunk's object and its segments, as the object service holds them.
#[derive(Default)]
struct StoredChunk {
    revision: u64,
    state: Option<chunk::ChunkState>,
    /// Items that each segment settles.
    segments: collections::BTreeMap<String, Vec<u32>>,
}

/// A write on its way to the object service; it arrives whatever became of its sender.
struct FlyingWrite {
    /// Tells writes apart, so that an answer goes to what it answers.
    serial: u64,
    dispatcher: usize,
    /// Life of the dispatcher that sent it; an answer to an earlier life is not heard.
    life: u64,
    chunk: usize,
    condition: Option<u64>,
    state: chunk::ChunkState,
    segment: Option<(String, Vec<u32>)>,
}

/// What a dispatcher waits for.
enum Waiting {
    /// The answer to a claim.
    Claim(usize, chunk::ClaimId),
    /// The answer to a commit.
    Commit(usize, Box<chunk_work::PlannedCommit>),
}

#[derive(Default)]
struct SimDispatcher {
    life: u64,
    paused: bool,
    chunks: collections::BTreeMap<usize, chunk_work::ChunkWork>,
    running: Vec<(usize, chunk_work::PendingItem)>,
    waiting: Option<Waiting>,
    /// The write whose answer it waits for.
    waits_for: u64,
}

/// Several dispatchers on one job after another.
pub struct ChunkWorld {
    without: Option<Protection>,
    tally: WorldTally,
    now: clock::MonotonicTime,
    job: sync::Arc<job::JobManifest>,
    jobs: u64,
    claims: u64,
    serial: u64,
    stored: Vec<StoredChunk>,
    dispatchers: Vec<SimDispatcher>,
    flying: Vec<FlyingWrite>,
    /// How often each item took effect.
    effects: collections::HashMap<(usize, u32), u32>,
}

impl ChunkWorld {
    /// A world, with a protection taken out if wanted.
    pub fn new(without: Option<Protection>) -> Self {
        let mut world = Self {
            without,
            tally: WorldTally::default(),
            now: clock::MonotonicTime(1),
            job: sync::Arc::new(new_job(0)),
            jobs: 0,
            claims: 0,
            serial: 0,
            stored: Vec::new(),
            dispatchers: (0..DISPATCHERS).map(|_| SimDispatcher::default()).collect(),
            flying: Vec::new(),
            effects: collections::HashMap::new(),
        };
        world.begin_job();
        world
    }

    fn lacks(&self, protection: Protection) -> bool {
        self.without == Some(protection)
    }

    fn begin_job(&mut self) {
        self.jobs += 1;
        self.job = sync::Arc::new(new_job(self.jobs));
        self.stored = (0..CHUNKS).map(|_| StoredChunk::default()).collect();
        self.flying.clear();
        self.effects.clear();
        for dispatcher in &mut self.dispatchers {
            let life = dispatcher.life + 1;
            *dispatcher = SimDispatcher {
                life,
                ..SimDispatcher::default()
            };
        }
    }

    /// Reads a chunk and sends a claim, as an observer who takes its holder for gone.
    fn claim(&mut self, number: usize, chunk: usize) {
        let dispatcher = &self.dispatchers[number];
        if dispatcher.waiting.is_some() || dispatcher.chunks.contains_key(&chunk) {
            return;
        }
        let stored = &self.stored[chunk];
        let state = stored
            .state
            .clone()
            .unwrap_or_else(|| chunk::ChunkState::fresh(ITEMS));
        if state.is_done() {
            return;
        }
        if state.holder.is_some() {
            self.tally.fault("claim_over_holder");
        }
        self.claims += 1;
        let claim = chunk::ClaimId(format!("c{}", self.claims));
        let holder = chunk::ChunkHolder {
            instance: instance(number),
            claim: claim.clone(),
        };
        let condition = Some(stored.revision).filter(|_| !self.lacks(Protection::ClaimCondition));
        self.serial += 1;
        self.dispatchers[number].waits_for = self.serial;
        self.flying.push(FlyingWrite {
            serial: self.serial,
            dispatcher: number,
            life: self.dispatchers[number].life,
            chunk,
            condition,
            state: state.claimed(holder),
            segment: None,
        });
        self.dispatchers[number].waiting = Some(Waiting::Claim(chunk, claim));
    }

    /// Sends what a chunk in hand has to commit.
    fn commit(&mut self, number: usize, chunk: usize) {
        if self.dispatchers[number].waiting.is_some() {
            return;
        }
        let Some(work) = self.dispatchers[number].chunks.get_mut(&chunk) else {
            return;
        };
        let Some(planned) = work.plan_commit(self.now, time::Duration::from_micros(50)) else {
            return;
        };
        self.send_commit(number, chunk, &planned);
        let waiting = Waiting::Commit(chunk, Box::new(planned));
        self.dispatchers[number].waiting = Some(waiting);
    }

    fn send_commit(&mut self, number: usize, chunk: usize, planned: &chunk_work::PlannedCommit) {
        let lacks_name = self.lacks(Protection::SegmentName);
        let segment = planned.commit.segment.as_ref().map(|segment| {
            let items: Vec<u32> = planned.commit.settled.iter().collect();
            let name = if lacks_name {
                "1".to_owned()
            } else {
                segment.name.clone()
            };
            (name, items)
        });
        let condition = Some(planned.revision.0);
        self.serial += 1;
        self.dispatchers[number].waits_for = self.serial;
        self.flying.push(FlyingWrite {
            serial: self.serial,
            dispatcher: number,
            life: self.dispatchers[number].life,
            chunk,
            condition: condition.filter(|_| !self.lacks(Protection::CommitCondition)),
            state: planned.next.clone(),
            segment,
        });
    }

    /// Lets one write arrive: early, late, with its answer or without.
    fn arrive(&mut self, rng: &mut rngs::SmallRng) {
        if self.flying.is_empty() {
            return;
        }
        let write = self.flying.remove(rng.random_range(0..self.flying.len()));
        if rng.random_bool(0.05) {
            self.tally.fault("write_lost");
            return self.respond(&write, None);
        }
        if let Some((name, items)) = &write.segment {
            let segments = &mut self.stored[write.chunk].segments;
            segments.insert(name.clone(), items.clone());
        }
        let stored = &mut self.stored[write.chunk];
        let holds = write
            .condition
            .is_none_or(|revision| revision == stored.revision);
        if holds {
            stored.revision += 1;
            stored.state = Some(write.state.clone());
        }
        let lost = rng.random_bool(0.1);
        if lost {
            self.tally.fault("answer_lost");
        }
        self.respond(&write, (!lost).then_some(holds));
        if rng.random_bool(0.02) {
            self.tally.fault("write_repeated");
            self.flying.push(write);
        }
    }

    /// Gives an answer to the sender, if it still listens; `None` is a lost one.
    fn respond(&mut self, write: &FlyingWrite, outcome: Option<bool>) {
        let number = write.dispatcher;
        let dispatcher = &mut self.dispatchers[number];
        if dispatcher.life != write.life || dispatcher.waits_for != write.serial {
            return;
        }
        let Some(waiting) = dispatcher.waiting.take() else {
            return;
        };
        // A lost answer, and a conflict that may be with the own earlier try, are read back.
        let read_back = outcome != Some(true) && !self.lacks(Protection::ReadBack);
        let took_effect = match outcome {
            Some(true) => true,
            _ if read_back => self.stored[write.chunk].state.as_ref() == Some(&write.state),
            _ => false,
        };
        match waiting {
            Waiting::Claim(chunk, claim) if took_effect => self.take_chunk(number, chunk, claim),
            // A claim that was not won is let go.
            Waiting::Claim(..) => {}
            Waiting::Commit(chunk, planned) if took_effect => {
                self.record_committed(number, chunk, &planned);
            }
            Waiting::Commit(chunk, planned) => {
                let same = self.stored[chunk].revision == planned.revision.0;
                let lost_for_good = outcome == Some(false) || !same;
                if self.lacks(Protection::ReadBack) && outcome.is_none() {
                    // Without reading back, an unknown write is planned anew on the newest state.
                    self.tally.fault("blind_retry");
                    let revision = self.stored[chunk].revision;
                    let work = self.dispatchers[number].chunks.get_mut(&chunk);
                    if let Some(work) = work {
                        work.record_uncommitted(store::ObjectRevision(revision));
                    }
                } else if lost_for_good {
                    self.lose_chunk(number, chunk);
                } else {
                    self.send_commit(number, chunk, &planned);
                    self.dispatchers[number].waiting = Some(Waiting::Commit(chunk, planned));
                }
            }
        }
    }

    fn take_chunk(&mut self, number: usize, chunk: usize, claim: chunk::ClaimId) {
        let stored = &self.stored[chunk];
        let Some(state) = stored.state.clone() else {
            return;
        };
        let mut state = state;
        if self.lacks(Protection::UnknownNotRerun) {
            state.intended = crate::decisions::index_ranges::IndexRanges::default();
        }
        let lacks_intent = self.lacks(Protection::Intent);
        let claimed = chunk_work::ClaimedChunk {
            job: self.job.clone(),
            index: ids::ChunkIndex(chunk as u32),
            claim,
            state,
            revision: store::ObjectRevision(stored.revision),
            items: (0..ITEMS).map(new_item).collect(),
        };
        let terms_of = |item: &batch_item::BatchItem| chunk_work::ItemTerms {
            may_repeat: lacks_intent || item.repeatable != Some(false),
            is_served: true,
        };
        let work = chunk_work::ChunkWork::new(claimed, terms_of, self.now);
        self.dispatchers[number].chunks.insert(chunk, work);
    }

    fn record_committed(
        &mut self,
        number: usize,
        chunk: usize,
        planned: &chunk_work::PlannedCommit,
    ) {
        let revision = store::ObjectRevision(self.stored[chunk].revision);
        let dispatcher = &mut self.dispatchers[number];
        let Some(work) = dispatcher.chunks.get_mut(&chunk) else {
            return;
        };
        if !work.record_committed(planned, revision, self.now) {
            self.lose_chunk(number, chunk);
        }
    }

    fn lose_chunk(&mut self, number: usize, chunk: usize) {
        let dispatcher = &mut self.dispatchers[number];
        dispatcher.chunks.remove(&chunk);
        dispatcher.running.retain(|(c, _)| *c != chunk);
    }

    fn start_item(&mut self, number: usize, chunk: usize) {
        let service = SERVICE.parse().expect("the name is valid");
        let dispatcher = &mut self.dispatchers[number];
        let Some(work) = dispatcher.chunks.get_mut(&chunk) else {
            return;
        };
        let Some(pending) = work.take_next(&service) else {
            return;
        };
        // The effect takes place as the item is sent, whatever comes after.
        let effects = self.effects.entry((chunk, pending.index)).or_default();
        *effects += 1;
        let (count, once) = (*effects, pending.index < ONCE_BELOW);
        dispatcher.running.push((chunk, pending));
        self.tally.check(!once || count <= 1, || {
            format!("an item that may run once took effect {count} times")
        });
    }

    fn end_item(&mut self, number: usize, rng: &mut rngs::SmallRng) {
        let dispatcher = &mut self.dispatchers[number];
        if dispatcher.running.is_empty() {
            return;
        }
        let at = rng.random_range(0..dispatcher.running.len());
        let (chunk, pending) = dispatcher.running.remove(at);
        let Some(work) = dispatcher.chunks.get_mut(&chunk) else {
            return;
        };
        if work.may_repeat(pending.index) && pending.index >= ONCE_BELOW && rng.random_bool(0.2) {
            self.tally.fault("item_preempted");
            return work.put_back(pending);
        }
        let response = batch_item::ItemResponse {
            status_code: 200,
            request_id: "r".into(),
            body: serde_json::Value::Null,
        };
        let custom_id = work.item(pending.index).custom_id.clone();
        work.settle(
            pending.index,
            &batch_item::ItemResult::answered(&custom_id, response),
        );
    }

    /// Checks what is stored; begins another job when all is done.
    fn check_stored(&mut self) {
        let mut done = 0;
        for (number, stored) in self.stored.iter().enumerate() {
            let Some(state) = &stored.state else {
                continue;
            };
            done += usize::from(state.is_done());
            let mut lines = collections::BTreeMap::<u32, u32>::new();
            for segment in &state.segments {
                let lacks_name = self.without == Some(Protection::SegmentName);
                let name = if lacks_name {
                    "1"
                } else {
                    segment.name.as_str()
                };
                for item in stored.segments.get(name).into_iter().flatten() {
                    *lines.entry(*item).or_default() += 1;
                }
            }
            for item in state.settled.iter() {
                let count = lines.get(&item).copied().unwrap_or(0);
                self.tally.check(count == 1, || {
                    format!("item {item} of chunk {number} has {count} results")
                });
            }
            let extra = lines.keys().find(|i| !state.settled.contains(**i));
            self.tally
                .check(extra.is_none(), || "a result of an item without one".into());
        }
        if done == CHUNKS {
            self.tally.end("job");
            self.begin_job();
        }
    }
}

impl SoakWorld for ChunkWorld {
    fn name(&self) -> &'static str {
        "chunks"
    }

    fn step(&mut self, rng: &mut rngs::SmallRng) {
        self.now = self.now + time::Duration::from_micros(10);
        let number = rng.random_range(0..DISPATCHERS);
        let chunk = rng.random_range(0..CHUNKS);
        let event = rng.random_range(0..1000);
        if event < 250 {
            return self.arrive(rng);
        }
        if event < 254 {
            let dispatcher = &mut self.dispatchers[number];
            if dispatcher.paused {
                dispatcher.paused = false;
            } else if event == 250 {
                dispatcher.paused = true;
                self.tally.fault("pause");
            }
            return;
        }
        if event < 255 {
            self.tally.fault("crash");
            let life = self.dispatchers[number].life + 1;
            self.dispatchers[number] = SimDispatcher {
                life,
                ..SimDispatcher::default()
            };
            return;
        }
        if self.dispatchers[number].paused {
            return;
        }
        match event {
            255..320 => {
                let free = self.stored[chunk]
                    .state
                    .as_ref()
                    .is_none_or(|s| s.holder.is_none());
                if free || rng.random_bool(0.05) {
                    self.claim(number, chunk);
                }
            }
            320..550 => self.start_item(number, chunk),
            550..800 => self.end_item(number, rng),
            800..998 => self.commit(number, chunk),
            _ => {
                if rng.random_bool(0.1) {
                    self.tally.fault("handed_back");
                    if let Some(work) = self.dispatchers[number].chunks.get_mut(&chunk) {
                        work.release();
                    }
                }
            }
        }
        self.check_stored();
    }

    fn tally(&self) -> &WorldTally {
        &self.tally
    }
}

fn instance(number: usize) -> ids::InstanceId {
    ids::InstanceId::try_from(format!("d{number}")).expect("the name is valid")
}

fn new_item(index: u32) -> batch_item::BatchItem {
    batch_item::BatchItem {
        custom_id: format!("i{index}"),
        method: "POST".into(),
        url: format!("/services/{SERVICE}/x"),
        body: serde_json::json!({}),
        repeatable: Some(index >= ONCE_BELOW),
    }
}

fn new_job(number: u64) -> job::JobManifest {
    job::JobManifest {
        id: ids::JobId::try_from(format!("job-{number}")).expect("the name is valid"),
        workspace: "w".parse().expect("the name is valid"),
        input_file: "f".parse().expect("the name is valid"),
        path: format!("/services/{SERVICE}"),
        services: vec![SERVICE.parse().expect("the name is valid")],
        items: ITEMS * CHUNKS as u32,
        chunk_items: vec![ITEMS; CHUNKS],
        created_at: 0,
        due_at: 1,
        completion_window: "1s".into(),
        metadata: collections::BTreeMap::new(),
        digest: String::new(),
        cancelling_at: None,
    }
}
