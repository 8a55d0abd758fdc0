//! Wait queue of one service at one owner: which waiting request gets the next free slot.
//!
//! Order: priority, then fair queueing among workspaces (the one that holds fewer slots
//! first, then by start tags as in start-time fair queueing, Goyal, Vin and Cheng, 1996),
//! then the earliest deadline. Among equals, requests that return at the time they were
//! given go first; their workspace counts as holding [`RETURN_CREDIT`] slots less.
//!
//! A grant or a release costs the logarithm of the number of waiting requests. Only an
//! arrival computes the whole order, because it may delay every entry behind it.

use std::{collections, time};

use super::admission;
use crate::{clock, ids};

/// Number of consecutive grants to the highest waiting priority after which a lower one
/// gets a slot.
///
/// One grant in ten is enough that no priority starves, and delays the others by at most
/// a tenth of the time between two grants.
const GRANTS_BEFORE_LOWER: u32 = 9;

/// Number of held slots that a returning request does not count.
///
/// The slots of a workspace vary around their mean, and a return at a moment at which it
/// holds more would be refused again. With 0, 1 and 2, 83, 93 and 98 % of the returns in the
/// played load of `tests/wait_queue.rs` are served, and no other workspace gets less.
const RETURN_CREDIT: u32 = 2;

/// Flow in the sense of fair queueing: the requests of one workspace, or those without one.
type FlowKey = Option<ids::WorkspaceId>;

/// A waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueEntry {
    /// Number of the requested permit.
    pub number: admission::PermitNumber,
    /// Workspace of the request, if it has one.
    pub workspace: Option<ids::WorkspaceId>,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Deadline of the request.
    pub deadline: clock::MonotonicTime,
    /// Latest time of a grant that is still useful.
    pub grant_by: clock::MonotonicTime,
    /// Whether its caller was refused before and returns at its scheduled time.
    pub is_return: bool,
}

/// Capacity for which requests wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueCapacity {
    /// Mean time between two releases of a slot; `None` while it is unknown.
    pub spacing: Option<time::Duration>,
    /// Number of slots.
    pub slots: u32,
    /// Maximum number of waiting requests.
    pub limit: usize,
}

impl QueueCapacity {
    /// Returns the expected wait of a request with `ahead` others ahead of it.
    pub fn expected_wait(&self, ahead: usize) -> time::Duration {
        let turns = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        self.spacing.unwrap_or_default().saturating_mul(turns)
    }
}

/// Reason why a request may not wait, or not any longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueRefusal {
    /// Its turn is expected after the latest useful time of a grant.
    TooLate,
    /// More requests wait than the limit allows.
    Full,
}

/// A refused request and the inputs of the decision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusedEntry {
    /// The request.
    pub entry: QueueEntry,
    /// The reason.
    pub reason: QueueRefusal,
    /// Number of requests that would have been served before it.
    pub ahead: usize,
    /// Expected wait until its turn.
    pub expected: time::Duration,
}

/// Order of an entry within its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EntryRank {
    is_new: bool,
    deadline: clock::MonotonicTime,
    number: admission::PermitNumber,
}

impl EntryRank {
    fn of(entry: &QueueEntry) -> Self {
        Self {
            is_new: !entry.is_return,
            deadline: entry.deadline,
            number: entry.number,
        }
    }
}

/// Order of an entry among those of its priority; also that of a flow, by its first entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct FlowRank {
    /// Number of slots that the flow holds or gets before this entry, less the credit of a
    /// return.
    held: u32,
    is_new: bool,
    start_tag: u64,
    deadline: clock::MonotonicTime,
    number: admission::PermitNumber,
}

/// State of a flow over all priorities.
#[derive(Debug, Clone, Copy, Default)]
struct FlowState {
    held: u32,
    waiting: usize,
    /// Start tag of its next grant.
    start_tag: u64,
}

impl FlowState {
    /// Returns the rank of the entry that has `index` others of its flow before it.
    fn rank(&self, index: usize, entry: EntryRank) -> FlowRank {
        let credit = match entry.is_new {
            true => 0,
            false => RETURN_CREDIT,
        };
        FlowRank {
            held: (self.held + index as u32).saturating_sub(credit),
            is_new: entry.is_new,
            start_tag: self.start_tag + index as u64,
            deadline: entry.deadline,
            number: entry.number,
        }
    }
}

/// Entries of one flow within a priority; never empty.
#[derive(Debug)]
struct FlowLine {
    entries: collections::BTreeSet<EntryRank>,
    /// Rank under which the flow is in [`PriorityClass::order`].
    rank: FlowRank,
}

/// Waiting requests of one priority; never empty.
///
/// Invariant: `order` has one element for each line, with its rank.
#[derive(Debug, Default)]
struct PriorityClass {
    lines: collections::HashMap<FlowKey, FlowLine>,
    order: collections::BTreeMap<FlowRank, FlowKey>,
    waiting: usize,
    /// Number of the grant that this priority got last.
    last_grant: u64,
}

impl PriorityClass {
    /// Replaces the entry of a flow in the order after its state or its first entry changed.
    fn update_rank(&mut self, key: &FlowKey, flow: FlowState) {
        let Some(line) = self.lines.get_mut(key) else {
            return;
        };
        self.order.remove(&line.rank);
        let Some(first) = line.entries.first() else {
            self.lines.remove(key);
            return;
        };
        line.rank = flow.rank(0, *first);
        self.order.insert(line.rank, key.clone());
    }
}

/// Wait queue of one service at one owner.
///
/// Invariants: each entry is in one line of one class; `flows` has a state for each flow
/// that holds a slot or has an entry.
#[derive(Debug, Default)]
pub struct WaitQueue {
    entries: collections::HashMap<admission::PermitNumber, QueueEntry>,
    by_latest: collections::BTreeSet<(clock::MonotonicTime, admission::PermitNumber)>,
    classes: collections::BTreeMap<u32, PriorityClass>,
    flows: collections::HashMap<FlowKey, FlowState>,
    held: collections::HashMap<admission::PermitNumber, FlowKey>,
    /// Start tag of the latest grant.
    virtual_time: u64,
    grants: u64,
    /// Number of consecutive grants to the highest priority while a lower one waited.
    streak: u32,
}

/// Chooses the priority that gets the next grant, of `(priority, last grant)` in ascending
/// order.
fn choose_class(streak: u32, classes: impl Iterator<Item = (u32, u64)>) -> Option<u32> {
    let mut classes = classes;
    let (highest, _) = classes.next()?;
    if streak < GRANTS_BEFORE_LOWER {
        return Some(highest);
    }
    let longest_unserved = classes.min_by_key(|(_, last_grant)| *last_grant);
    Some(longest_unserved.map_or(highest, |(priority, _)| priority))
}

impl WaitQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether a request waits.
    pub fn contains(&self, number: admission::PermitNumber) -> bool {
        self.entries.contains_key(&number)
    }

    /// Returns the number of counted slots that a workspace holds.
    pub fn held_by(&self, workspace: &Option<ids::WorkspaceId>) -> u32 {
        self.flows.get(workspace).map_or(0, |flow| flow.held)
    }

    /// Returns the number of requests that wait with a priority as high as `priority` or
    /// higher.
    pub fn waiting_at(&self, priority: u32) -> usize {
        let classes = self.classes.range(..=priority);
        classes.map(|(_, class)| class.waiting).sum()
    }

    /// Adds a request and returns those that can no longer be served in time: the new one,
    /// or others that it overtakes.
    pub fn enqueue(
        &mut self,
        entry: QueueEntry,
        capacity: QueueCapacity,
        now: clock::MonotonicTime,
    ) -> Vec<RefusedEntry> {
        let key = entry.workspace.clone();
        let flow = self.flows.entry(key.clone()).or_default();
        if flow.waiting == 0 {
            flow.start_tag = flow.start_tag.max(self.virtual_time);
        }
        flow.waiting += 1;
        let flow = *flow;
        let rank = EntryRank::of(&entry);
        let class = self.classes.entry(entry.priority).or_default();
        class.waiting += 1;
        let line = class.lines.entry(key.clone()).or_insert_with(|| FlowLine {
            entries: collections::BTreeSet::new(),
            rank: flow.rank(0, rank),
        });
        line.entries.insert(rank);
        class.update_rank(&key, flow);
        self.by_latest.insert((entry.grant_by, entry.number));
        self.entries.insert(entry.number, entry);
        self.refuse_late(capacity, now)
    }

    /// Removes and returns the requests whose expected turn is too late.
    fn refuse_late(
        &mut self,
        capacity: QueueCapacity,
        now: clock::MonotonicTime,
    ) -> Vec<RefusedEntry> {
        let mut refused = Vec::new();
        let mut ahead = 0;
        for number in self.projected_order() {
            let Some(entry) = self.entries.get(&number) else {
                continue;
            };
            let expected = capacity.expected_wait(ahead);
            let reason = if now + expected > entry.grant_by {
                QueueRefusal::TooLate
            } else if ahead >= capacity.limit {
                QueueRefusal::Full
            } else {
                ahead += 1;
                continue;
            };
            refused.push(RefusedEntry {
                entry: entry.clone(),
                reason,
                ahead,
                expected,
            });
        }
        for refusal in &refused {
            self.remove(refusal.entry.number);
        }
        refused
    }

    /// Returns the waiting requests in the order in which they are served if no further one
    /// arrives and no slot is released by its holder's workspace.
    pub fn projected_order(&self) -> Vec<admission::PermitNumber> {
        let sorted_class = |class: &PriorityClass| {
            let mut ranks = Vec::with_capacity(class.waiting);
            for (key, line) in &class.lines {
                let flow = self.flows.get(key).copied().unwrap_or_default();
                let entries = line.entries.iter().enumerate();
                ranks.extend(entries.map(|(index, entry)| flow.rank(index, *entry)));
            }
            ranks.sort_unstable();
            collections::VecDeque::from(ranks)
        };
        let classes = self.classes.iter();
        let mut classes: collections::BTreeMap<_, _> = classes
            .map(|(priority, class)| (*priority, (class.last_grant, sorted_class(class))))
            .collect();
        let mut order = Vec::with_capacity(self.len());
        let (mut streak, mut grants) = (self.streak, self.grants);
        loop {
            let candidates = classes
                .iter()
                .map(|(priority, (last, _))| (*priority, *last));
            let Some(priority) = choose_class(streak, candidates) else {
                return order;
            };
            let is_highest = classes.keys().next() == Some(&priority);
            streak = next_streak(streak, is_highest, classes.len());
            grants += 1;
            let Some((last_grant, ranks)) = classes.get_mut(&priority) else {
                return order;
            };
            *last_grant = grants;
            order.extend(ranks.pop_front().map(|rank| rank.number));
            if ranks.is_empty() {
                classes.remove(&priority);
            }
        }
    }

    /// Returns up to `count` requests that may get the next free slot, the first one first:
    /// the first of each workspace, of the priority whose turn it is and then of the others.
    pub fn candidates(&self, count: usize) -> Vec<admission::PermitNumber> {
        let classes = self.classes.iter();
        let due = choose_class(
            self.streak,
            classes.map(|(p, class)| (*p, class.last_grant)),
        );
        let due = due.and_then(|priority| Some((priority, self.classes.get(&priority)?)));
        let others = self
            .classes
            .iter()
            .map(|(priority, class)| (*priority, class));
        let others = others.filter(|(priority, _)| due.is_none_or(|(due, _)| due != *priority));
        let classes = due.into_iter().chain(others);
        let firsts = classes.flat_map(|(_, class)| class.order.keys().map(|rank| rank.number));
        firsts.take(count).collect()
    }

    /// Removes a request that gets a slot and counts the slot for its workspace.
    pub fn grant(&mut self, number: admission::PermitNumber) -> Option<QueueEntry> {
        let priority = self.entries.get(&number)?.priority;
        let is_highest = self.classes.keys().next() == Some(&priority);
        self.streak = next_streak(self.streak, is_highest, self.classes.len());
        self.grants += 1;
        if let Some(class) = self.classes.get_mut(&priority) {
            class.last_grant = self.grants;
        }
        let key = self.entries.get(&number)?.workspace.clone();
        if let Some(flow) = self.flows.get_mut(&key) {
            self.virtual_time = self.virtual_time.max(flow.start_tag);
            flow.start_tag += 1;
        }
        self.record_grant(number, key);
        self.remove(number)
    }

    /// Counts a slot that a workspace holds.
    pub fn record_grant(
        &mut self,
        number: admission::PermitNumber,
        workspace: Option<ids::WorkspaceId>,
    ) {
        if self.held.insert(number, workspace.clone()).is_none() {
            self.flows.entry(workspace.clone()).or_default().held += 1;
            self.update_flow(&workspace);
        }
    }

    /// Counts the release of a slot; does nothing if the slot is not counted.
    pub fn record_release(&mut self, number: admission::PermitNumber) {
        let Some(key) = self.held.remove(&number) else {
            return;
        };
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.held = flow.held.saturating_sub(1);
        }
        self.update_flow(&key);
    }

    /// Discards the counted slots that are no longer held.
    pub fn retain_held(&mut self, is_held: impl Fn(admission::PermitNumber) -> bool) {
        let ended = self.held.keys().filter(|number| !is_held(**number));
        let ended: Vec<_> = ended.copied().collect();
        for number in ended {
            self.record_release(number);
        }
    }

    /// Removes a request; returns it if it was waiting.
    pub fn remove(&mut self, number: admission::PermitNumber) -> Option<QueueEntry> {
        let entry = self.entries.remove(&number)?;
        self.by_latest.remove(&(entry.grant_by, number));
        let key = &entry.workspace;
        if let Some(flow) = self.flows.get_mut(key) {
            flow.waiting = flow.waiting.saturating_sub(1);
        }
        if let Some(class) = self.classes.get_mut(&entry.priority) {
            class.waiting = class.waiting.saturating_sub(1);
            if let Some(line) = class.lines.get_mut(key) {
                line.entries.remove(&EntryRank::of(&entry));
            }
        }
        self.update_flow(key);
        self.classes.retain(|_, class| class.waiting > 0);
        Some(entry)
    }

    /// Removes and returns the requests for which a grant would be too late now.
    pub fn expire(&mut self, now: clock::MonotonicTime) -> Vec<QueueEntry> {
        let mut expired = Vec::new();
        while let Some((grant_by, number)) = self.by_latest.first().copied() {
            if grant_by >= now {
                break;
            }
            self.by_latest.pop_first();
            expired.extend(self.remove(number));
        }
        expired
    }

    /// Updates the order after the state of a flow changed.
    fn update_flow(&mut self, key: &FlowKey) {
        let Some(flow) = self.flows.get(key).copied() else {
            return;
        };
        for class in self.classes.values_mut() {
            class.update_rank(key, flow);
        }
        if flow.held == 0 && flow.waiting == 0 {
            self.flows.remove(key);
        }
    }
}

/// Returns the number of consecutive grants to the highest priority after the next grant.
fn next_streak(streak: u32, is_highest: bool, classes: usize) -> u32 {
    match is_highest && classes > 1 {
        true => streak + 1,
        false => 0,
    }
}
