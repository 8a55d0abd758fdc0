//! State that all parts of a process share.

use std::{cell, collections, net, num, path, rc, sync, time};

use tokio::sync::watch;

use super::{
    checkpoint_file, connection_pool, crash_guard, fleet_model, fleet_source, job_budget,
    job_checkpoints, job_table, members, origin_file, peer_links, peers, permits,
    progress_transfer, selection, single_flight, slot_queue, state_transfer, stream_origins,
    unlisted_starts, wire,
    workspaces::{limit_messages, limiter},
};
use crate::{
    callers::{memory, table},
    clock,
    decisions::{
        admission, caller_budget, liveness, ownership, peer_subset, queue_limit,
        rate_limits::{rate_limit, share_clock, token_pools},
    },
    ids, metrics, store,
};

/// Kind of the records in the store with which processes announce themselves.
pub const MEMBER_KIND: &str = "members";

/// Maximum number of slots requested on behalf of peers that are tracked until their release.
const MAX_RELAYED_SLOTS: num::NonZeroUsize = num::NonZeroUsize::new(4096).expect("it is not zero");

/// Fraction of the grace period after which a stopping process refuses new requests, so
/// that those it has accepted end within the period.
const REFUSE_AFTER_FRACTION: f64 = 0.35;

/// Age up to which a heartbeat is reused: a process of a large fleet is probed some
/// hundred times a second.
const HEARTBEAT_MAX_AGE: time::Duration = time::Duration::from_millis(20);

/// Options of a process.
#[derive(Debug, Clone)]
pub struct ProcessOptions {
    /// Record with which the process announces itself to its peers.
    pub member: members::MemberRecord,
    /// Listen address for peers.
    pub internal: net::SocketAddr,
    /// Listen address for callers, if it serves any.
    pub front: Option<net::SocketAddr>,
    /// Listen address for readiness checks, if there are any.
    pub readiness: Option<net::SocketAddr>,
    /// Listen address for the metrics page, if it is served.
    pub metrics: Option<net::SocketAddr>,
    /// Grace period: the longest time from the stop signal to the end of the process.
    pub grace: time::Duration,
    /// Whether the system starts for the first time, so that no request was served before.
    pub is_first_start: bool,
    /// Directory on the instance's disk, if it has one.
    pub data_folder: Option<path::PathBuf>,
    /// Tolerance by which request counts may exceed the limits of workspaces.
    pub tolerance: rate_limit::LimitTolerance,
    /// Memory of the instance in bytes, if it is limited.
    pub memory_bytes: Option<usize>,
    /// Maximum number of open descriptors, if it is limited.
    pub max_descriptors: Option<u64>,
    /// Longest time in which a caller reads nothing of a response.
    pub caller_stall: time::Duration,
}

impl ProcessOptions {
    /// Returns the maximum number of connections of callers.
    pub(super) fn max_connections(&self) -> usize {
        caller_budget::max_connections(self.max_descriptors, self.memory_bytes)
    }

    /// Creates the account of what is held for callers.
    fn caller_memory(&self, metrics: &metrics::MetricSet) -> rc::Rc<memory::CallerMemory> {
        let closed = metrics.closed_connections.clone();
        let table = table::ConnectionTable::new(self.max_connections(), Some(closed));
        let limits = self
            .memory_bytes
            .map(caller_budget::MemoryLimits::of_instance);
        let shared = memory::SharedBudget::new(limits, &metrics.caller_budget_bytes);
        memory::CallerMemory::new(shared, table)
    }

    /// Returns whether the process keeps a start record: without a tolerance there is nothing
    /// to credit.
    pub(super) fn keeps_start_record(&self) -> bool {
        self.data_folder.is_some() && self.tolerance.has_margin()
    }
}

/// Implementations of the interfaces between a process and its platform.
pub struct ProcessAdapters {
    /// Wire format.
    pub wire: rc::Rc<dyn wire::WireAdapter>,
    /// Object store.
    pub store: sync::Arc<dyn store::ObjectStore>,
    /// Source of the desired state and the endpoint list.
    pub source: rc::Rc<dyn fleet_source::FleetSource>,
    /// Monotonic clock.
    pub clock: sync::Arc<dyn clock::MonotonicClock>,
}

/// What is restored from the disk of the previous process.
pub(super) struct RestoredState {
    /// Job progress.
    pub(super) progress: RestoredProgress,
    /// Origins of streams.
    pub(super) origins: origin_file::RestoredOrigins,
    /// File for further origins, if the instance has a disk.
    pub(super) origin_file: Option<origin_file::OriginFile>,
}

/// Job progress restored from the checkpoint file of the previous process.
pub(super) struct RestoredProgress {
    /// Restored progress by job.
    pub(super) board: job_checkpoints::CheckpointTable,
    /// File for further checkpoints, if the instance has a disk.
    pub(super) file: Option<checkpoint_file::CheckpointFile>,
}

/// State that all parts of a process share.
pub struct ProcessContext {
    /// Identity of this run of the process.
    pub run: ids::InstanceRun,
    /// Options of the process.
    pub options: ProcessOptions,
    /// Wire format.
    pub wire: rc::Rc<dyn wire::WireAdapter>,
    /// Object store.
    pub store: sync::Arc<dyn store::ObjectStore>,
    /// Source of the desired state and the endpoint list.
    pub source: rc::Rc<dyn fleet_source::FleetSource>,
    /// Monotonic clock.
    pub clock: sync::Arc<dyn clock::MonotonicClock>,
    /// Counters and histograms.
    pub metrics: metrics::MetricSet,
    /// Desired state and endpoints.
    pub fleet: rc::Rc<fleet_model::FleetModel>,
    /// Idle connections to endpoints.
    pub pool: connection_pool::ConnectionPool,
    /// Load and health of endpoints.
    pub loads: cell::RefCell<selection::LoadTable>,
    /// Table of the other processes.
    pub members: cell::RefCell<members::MemberTable>,
    /// Links to the other processes.
    pub links: peer_links::PeerLinks,
    /// Slots of owned endpoints.
    pub permits: cell::RefCell<permits::PermitTable>,
    /// Requests that wait for slots of owned endpoints.
    pub(super) slot_queues: cell::RefCell<slot_queue::SlotQueues>,
    /// Jobs that are run or read here.
    pub jobs: job_table::JobTable,
    /// Memory of the jobs that this process has accepted.
    pub(super) accepted_jobs: rc::Rc<job_budget::AcceptedJobs>,
    /// Endpoints that may have started again while the list shows their earlier start.
    pub(super) unlisted_starts: cell::RefCell<unlisted_starts::UnlistedStarts>,
    /// Origins of streams that this process keeps.
    pub(super) origins: cell::RefCell<stream_origins::OriginTable>,
    /// File for the origins of streams, if the instance has a disk.
    pub(super) origin_file: Option<origin_file::OriginFile>,
    /// Services with one software version that were last noted in that file.
    pub(super) noted_versions: cell::RefCell<Vec<origin_file::SoleVersionLine>>,
    /// Progress of jobs that other processes run.
    pub checkpoints: job_checkpoints::CheckpointTable,
    /// Progress of jobs that run here, queued for transfer to peers.
    pub(super) progress_queue: progress_transfer::ProgressQueue,
    /// Checkpoint file for the progress of jobs that run here, if the instance has a disk.
    pub(super) checkpoint_file: Option<checkpoint_file::CheckpointFile>,
    /// Processes that may currently own endpoints and jobs.
    pub(super) owners: cell::RefCell<rc::Rc<Vec<ownership::OwnerCandidate>>>,
    /// Free slots that owners have reported.
    pub free_slots: cell::RefCell<collections::HashMap<ids::InstanceId, OwnerSlots>>,
    /// When this process last got a permit from an owner outside its subset.
    pub(super) granted_at:
        cell::RefCell<collections::HashMap<ids::InstanceId, clock::MonotonicTime>>,
    /// Dispatchers that this process probes, and the members of which they were chosen.
    pub(super) subset: cell::RefCell<PeerSubset>,
    /// Time since which no live peer has watched the store.
    pub(super) unfollowed_since: cell::Cell<Option<clock::MonotonicTime>>,
    /// Estimates of the time to the first event by service.
    pub first_estimates:
        cell::RefCell<collections::HashMap<ids::ServiceName, queue_limit::FirstEventEstimate>>,
    /// Latest heartbeat of this process, and the time at which it was built.
    cached_heartbeat: cell::RefCell<Option<(clock::MonotonicTime, peers::HeartbeatMessage)>>,
    /// Change number of the endpoint list for which ownership was last computed.
    pub(super) owned_change_number: cell::Cell<Option<u64>>,
    /// Whether the member records have been read from the store.
    pub(super) members_known: cell::Cell<bool>,
    /// Notified when member records were received.
    pub(super) members_updated: tokio::sync::Notify,
    /// Time of the last request to a peer for the member records.
    pub(super) members_requested_at: cell::Cell<Option<clock::MonotonicTime>>,
    /// Record of requests that crash endpoints.
    pub(super) crashes: crash_guard::CrashGuard,
    /// Transfers of desired states from and to peers.
    pub(super) state_transfer: state_transfer::StateTransfer,
    /// Guard that allows one request at a time for a peer's endpoint list.
    pub(super) list_request: single_flight::SingleFlight,
    /// Addresses of the owners of slots requested on behalf of a peer that cannot reach them.
    pub relayed_slots: cell::RefCell<lru::LruCache<admission::PermitNumber, net::SocketAddr>>,
    /// Whether this instance is being retired.
    pub(super) retiring: cell::Cell<bool>,
    /// Time at which the process was asked to stop.
    pub(super) stop_started_at: cell::Cell<Option<clock::BootInstant>>,
    /// Start time of the process.
    pub(super) started_at: clock::MonotonicTime,
    /// Start time of the process by the clock that includes suspensions.
    pub(super) booted_at: clock::BootInstant,
    /// Outcomes of start credits that were logged in this run.
    pub(super) logged_start_credits: cell::RefCell<collections::HashSet<&'static str>>,
    /// Time of day at the start, in milliseconds since the epoch.
    started_ms: u64,
    /// Time since which a peer has had a newer endpoint list, and the own change number then.
    pub(super) differing_since: cell::Cell<Option<(clock::MonotonicTime, u64)>>,
    /// Number of suspensions of the machine.
    pub(super) suspensions: watch::Sender<u64>,
    /// Whether the process was asked to stop.
    pub stopping: watch::Sender<bool>,
    /// Number of callers' requests in progress.
    pub active: cell::Cell<usize>,
    /// Rate limiter for the requests of workspaces.
    pub limiter: limiter::Limiter,
    /// Token pools of this process as a quota server.
    pub pools: cell::RefCell<token_pools::PoolTable>,
    /// Share of this process in all limits that is not deposited yet.
    pub(super) shares: cell::RefCell<share_clock::ShareClock>,
    /// Latest clock stamps of peers.
    pub(super) stamps: cell::RefCell<PeerStamps>,
    /// Connections of callers, and bytes held for them.
    pub(super) caller_memory: rc::Rc<memory::CallerMemory>,
}

/// Free slots of an owner by service.
pub type OwnerSlots = collections::HashMap<ids::ServiceName, ReportedSlots>;

/// Free slots of an owner for one service, as last reported.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReportedSlots {
    /// Number of free slots.
    pub free_slots: u32,
    /// Number of slots, with those that are held.
    pub slots: u32,
    /// Mean time for which a request holds a slot, if it has reported one.
    pub hold_time: Option<time::Duration>,
}

impl From<&peers::FreeSlotReport> for ReportedSlots {
    fn from(report: &peers::FreeSlotReport) -> Self {
        let hold_time = report
            .hold_ms
            .map(|ms| time::Duration::from_millis(u64::from(ms.get())));
        Self {
            free_slots: report.free_slots,
            slots: report.slots,
            hold_time,
        }
    }
}

/// Dispatchers that a process probes.
#[derive(Debug, Default)]
pub(super) struct PeerSubset {
    /// Digest of the member records of which they were chosen.
    pub(super) members: Option<u64>,
    /// The dispatchers.
    pub(super) ids: rc::Rc<Vec<ids::InstanceId>>,
}

/// What the latest response of a peer to a probe says for deposits.
#[derive(Debug, Clone, Copy)]
pub(super) struct PeerStamp {
    /// Run of the peer.
    pub(super) run: ids::RunNumber,
    /// Its clock.
    pub(super) stamp: limit_messages::ClockStamp,
    /// Digest of its member records.
    pub(super) members: u64,
}

/// Latest stamp of each peer.
type PeerStamps = collections::HashMap<ids::InstanceId, PeerStamp>;

impl ProcessContext {
    /// Creates the state of a starting process.
    pub(super) fn new(
        options: ProcessOptions,
        adapters: ProcessAdapters,
        restored: RestoredState,
    ) -> Self {
        let RestoredState {
            progress,
            origins: restored_origins,
            origin_file,
        } = restored;
        let started_at = adapters.clock.now();
        let mut pools =
            token_pools::PoolTable::new(options.member.id.clone(), options.tolerance, started_at);
        if options.keeps_start_record() {
            pools.reserve_start_credits(started_at);
        }
        let run = ids::InstanceRun {
            instance: options.member.id.clone(),
            run: ids::RunNumber::random(),
        };
        let fleet = fleet_model::FleetModel::new(adapters.clock.clone());
        let mut directory = fleet.directory.borrow_mut();
        let history = directory.versions_mut();
        let is_first_start = options.is_first_start;
        if is_first_start {
            history.set_complete();
        }
        restored_origins.restore_versions(history, started_at);
        drop(directory);
        let mut origins = stream_origins::OriginTable::default();
        for record in restored_origins.origins {
            origins.insert(record, stream_origins::OriginReach::Shared);
        }
        let metrics = metrics::MetricSet::default();
        let caller_memory = options.caller_memory(&metrics);
        let job_limits = job_budget::JobLimits::of_instance(options.memory_bytes);
        Self {
            run,
            fleet: rc::Rc::new(fleet),
            options,
            wire: adapters.wire,
            store: adapters.store,
            source: adapters.source,
            clock: adapters.clock,
            metrics,
            pool: connection_pool::ConnectionPool::default(),
            loads: cell::RefCell::default(),
            members: cell::RefCell::default(),
            links: peer_links::PeerLinks::default(),
            permits: cell::RefCell::default(),
            slot_queues: cell::RefCell::default(),
            jobs: job_table::JobTable::new(job_limits),
            accepted_jobs: job_budget::AcceptedJobs::new(job_limits.accepted),
            unlisted_starts: cell::RefCell::new(unlisted_starts::UnlistedStarts::new(
                is_first_start,
            )),
            origins: cell::RefCell::new(origins),
            origin_file,
            noted_versions: cell::RefCell::default(),
            checkpoints: progress.board,
            progress_queue: progress_transfer::ProgressQueue::default(),
            checkpoint_file: progress.file,
            owners: cell::RefCell::default(),
            free_slots: cell::RefCell::default(),
            granted_at: cell::RefCell::default(),
            subset: cell::RefCell::default(),
            unfollowed_since: cell::Cell::new(None),
            first_estimates: cell::RefCell::default(),
            cached_heartbeat: cell::RefCell::default(),
            owned_change_number: cell::Cell::new(None),
            members_known: cell::Cell::new(false),
            members_updated: tokio::sync::Notify::new(),
            members_requested_at: cell::Cell::new(None),
            limiter: limiter::Limiter::default(),
            pools: cell::RefCell::new(pools),
            shares: cell::RefCell::new(share_clock::ShareClock::starting_at(started_at)),
            stamps: cell::RefCell::default(),
            crashes: crash_guard::CrashGuard::default(),
            state_transfer: state_transfer::StateTransfer::default(),
            list_request: single_flight::SingleFlight::default(),
            relayed_slots: cell::RefCell::new(lru::LruCache::new(MAX_RELAYED_SLOTS)),
            retiring: cell::Cell::new(false),
            stop_started_at: cell::Cell::new(None),
            started_at,
            booted_at: clock::BootInstant::now(),
            logged_start_credits: cell::RefCell::default(),
            started_ms: clock::epoch_ms(),
            differing_since: cell::Cell::new(None),
            suspensions: watch::Sender::new(0),
            stopping: watch::Sender::new(false),
            active: cell::Cell::new(0),
            caller_memory,
        }
    }

    /// Returns the owners of endpoints and jobs.
    pub fn owners(&self) -> rc::Rc<Vec<ownership::OwnerCandidate>> {
        self.owners.borrow().clone()
    }

    /// Returns the instance ID of this process.
    pub fn id(&self) -> &ids::InstanceId {
        &self.options.member.id
    }

    /// Returns the failure domain of this process.
    pub fn domain(&self) -> &ids::DomainName {
        &self.options.member.domain
    }

    /// Returns whether the process was asked to stop.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Returns the owned endpoints that are ejected for failures.
    pub fn ejected_endpoints(
        &self,
        permits: &permits::PermitTable,
        now: clock::MonotonicTime,
    ) -> collections::HashSet<ids::EndpointId> {
        let directory = self.fleet.directory.borrow();
        let listed = |service: &ids::ServiceName| directory.of_service(service).len();
        permits.ejected(&self.loads.borrow(), listed, now)
    }

    /// Returns whether the process is draining, for a stop or because its instance is retired.
    pub fn is_leaving(&self) -> bool {
        self.is_stopping() || self.retiring.get()
    }

    /// Returns whether new requests are refused because they might outlast the process.
    pub fn refuses_requests(&self) -> bool {
        let refuse_after = self.options.grace.mul_f64(REFUSE_AFTER_FRACTION);
        let started_at = self.stop_started_at.get();
        started_at.is_some_and(|started_at| started_at.elapsed() > refuse_after)
    }

    /// Returns whether the process is ready for new connections.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.fleet.is_known()
    }

    /// Returns whether no request is in progress and all response data has been sent.
    pub(super) fn is_idle(&self) -> bool {
        self.active.get() == 0 && self.caller_memory.table().unsent() == 0
    }

    /// Returns the time since the start of the process.
    pub fn age(&self) -> time::Duration {
        self.clock.now().since(self.started_at)
    }

    /// Returns whether a peer's heartbeats reach this process directly.
    pub fn receives_from(&self, id: &ids::InstanceId) -> bool {
        self.members.borrow().receives_from(id, self.clock.now())
    }

    /// Returns the dispatchers that this process probes.
    pub(super) fn subset(&self) -> rc::Rc<Vec<ids::InstanceId>> {
        let members = self.members.borrow();
        let own = &self.options.member;
        let digest = Some(members.digest(own));
        let mut subset = self.subset.borrow_mut();
        if subset.members != digest {
            let size = match own.role {
                members::MemberRole::Dispatcher => peer_subset::DISPATCHER_SUBSET,
                members::MemberRole::Gateway => peer_subset::GATEWAY_SUBSET,
            };
            let dispatchers = members.dispatchers();
            let own = ownership::OwnerCandidate {
                id: own.id.clone(),
                domain: own.domain.clone(),
            };
            subset.ids = rc::Rc::new(peer_subset::choose(&own, &dispatchers, size));
            subset.members = digest;
        }
        subset.ids.clone()
    }

    /// Returns the gateways that relay to the owners while this process cannot reach them.
    pub fn relays(&self) -> Vec<members::MemberRecord> {
        self.members.borrow().relays(self.clock.now())
    }

    /// Returns the live process that owns a job, if there is any.
    pub fn job_owner(&self, job: &ids::JobId) -> Option<ids::InstanceId> {
        let owners = self.owners();
        let owner = owners
            .iter()
            .max_by_key(|c| ownership::weight(c.id.as_str(), job.as_str()));
        owner.map(|c| c.id.clone())
    }

    /// Returns the live processes that own a job or may own it after others are lost, the
    /// owner first. Processes may disagree on the first one while members change.
    pub fn job_candidates(&self, job: &ids::JobId) -> Vec<ids::InstanceId> {
        let owners = self.owners();
        let mut weighted: Vec<_> = owners
            .iter()
            .map(|c| (ownership::weight(c.id.as_str(), job.as_str()), &c.id))
            .collect();
        weighted.sort_by(|(a, _), (b, _)| b.cmp(a));
        let candidates = weighted.into_iter().map(|(_, id)| id.clone());
        candidates.take(peer_subset::MAX_FULL_MESH).collect()
    }

    /// Returns the heartbeat of this process for a peer that wants the beats of other
    /// dispatchers or not. In a large fleet they are most of its bytes.
    pub fn heartbeat_for(&self, wants_beats: bool) -> peers::HeartbeatMessage {
        let mut heartbeat = self.heartbeat();
        if !wants_beats {
            let own = liveness::MemberHash::of(self.id());
            heartbeat.beats.retain(|beat| beat.member == own);
        }
        heartbeat
    }

    /// Returns the heartbeat of this process, which is rebuilt once it is some
    /// milliseconds old.
    fn heartbeat(&self) -> peers::HeartbeatMessage {
        let now = self.clock.now();
        if let Some((at, heartbeat)) = &*self.cached_heartbeat.borrow() {
            if now.since(*at) < HEARTBEAT_MAX_AGE && heartbeat.leaving == self.is_leaving() {
                return heartbeat.clone();
            }
        }
        let heartbeat = self.build_heartbeat(now);
        *self.cached_heartbeat.borrow_mut() = Some((now, heartbeat.clone()));
        heartbeat
    }

    fn beat(&self, now: clock::MonotonicTime) -> liveness::BeatNumber {
        let uptime = now.since(self.started_at).as_millis() as u64;
        liveness::BeatNumber(self.started_ms + uptime)
    }

    /// Returns the beats that a heartbeat passes on. In a large fleet gateways pass on none:
    /// the dispatchers have enough paths between them.
    fn passed_beats(
        &self,
        members: &members::MemberTable,
        own: liveness::BeatNumber,
        follows_store: bool,
        now: clock::MonotonicTime,
    ) -> Vec<peers::BeatMessage> {
        let is_dispatcher = self.options.member.role == members::MemberRole::Dispatcher;
        if !is_dispatcher && members.is_large() {
            return Vec::new();
        }
        let own_hash = liveness::MemberHash::of(self.id());
        let others = members.live_beats(now).into_iter();
        let others = others.filter(|beat| beat.member != own_hash);
        let beats = others.map(|known| peers::BeatMessage {
            member: known.member,
            lag: own.0.wrapping_sub(known.beat.0) as i64,
            state: known.state,
        });
        let own_beat = peers::BeatMessage {
            member: own_hash,
            lag: 0,
            state: liveness::BeatState {
                run: self.run.run.low_bits(),
                leaving: self.is_leaving(),
                follows_store,
            },
        };
        beats.chain(is_dispatcher.then_some(own_beat)).collect()
    }

    fn build_heartbeat(&self, now: clock::MonotonicTime) -> peers::HeartbeatMessage {
        let members = self.members.borrow();
        let beat = self.beat(now);
        let follows_store = self.fleet.is_following() && self.members_known.get();
        peers::HeartbeatMessage {
            id: self.id().clone(),
            run: self.run.run,
            address: self.options.member.address,
            leaving: self.is_leaving(),
            version: self.fleet.table().version(),
            revision: self.fleet.revision(),
            digest: self.fleet.digest(),
            evacuations: self.fleet.evacuations(),
            beat,
            wants_beats: true,
            beats: self.passed_beats(&members, beat, follows_store, now),
            hears_dispatchers: !members.live_dispatchers(now).is_empty(),
            follows_store,
            members: members.digest(&self.options.member),
            members_revision: members.revision(),
            crashes: self.crashes.state_digest(),
            free_slots: self.permits.borrow().free_slots(now),
            stamp: limit_messages::ClockStamp::of(now),
            deposit: None,
        }
    }
}
