//! What all parts of a process share.

use std::{cell, collections, net, num, path, rc, sync, time};

use tokio::sync::watch;

use super::{
    checkpoint_file, connection_pool, crash_guard, fleet_model, fleet_source, job_board,
    job_checkpoints, members, peer_links, peers, permits, progress_transfer, selection,
    single_flight, state_transfer, wire,
    workspaces::{limit_messages, limiter},
};
use crate::{
    clock,
    decisions::{
        admission, ownership, queue_limit,
        rate_limits::{rate_limit, share_clock, token_pools},
    },
    ids, metrics, store,
};

/// Kind of the records in which processes show themselves.
pub const MEMBER_KIND: &str = "members";

/// Places asked for on behalf of peers that are remembered until their release.
const MAX_RELAYED: num::NonZeroUsize = num::NonZeroUsize::new(4096).expect("it is not zero");

/// Part of the grace after which a stopping process refuses new requests: those
/// that it takes must end before the grace does.
const REFUSE_SHARE: f64 = 0.35;

/// Age up to which heartbeats are told again: a process of a large fleet is
/// probed some hundred times a second.
const MAX_HEARTBEAT_AGE: time::Duration = time::Duration::from_millis(20);

/// How a process is run.
#[derive(Debug, Clone)]
pub struct ProcessOptions {
    /// How it shows itself to its peers.
    pub member: members::MemberRecord,
    /// Where it listens for its peers.
    pub internal: net::SocketAddr,
    /// Where callers connect, if they do.
    pub front: Option<net::SocketAddr>,
    /// Where readiness is asked for, if it is.
    pub readiness: Option<net::SocketAddr>,
    /// Where metrics are served, if they are.
    pub metrics: Option<net::SocketAddr>,
    /// Time from the request to stop to the end, at most.
    pub grace: time::Duration,
    /// Folder on the instance's disk, if it has one.
    pub data_folder: Option<path::PathBuf>,
    /// How far windows of requests may lie above the limits of workspaces.
    pub tolerance: rate_limit::LimitTolerance,
}

/// The borders of a process.
pub struct ProcessBorders {
    /// The words of the wire.
    pub wire: rc::Rc<dyn wire::WireAdapter>,
    /// The store.
    pub store: sync::Arc<dyn store::ObjectStore>,
    /// Where views come from.
    pub source: rc::Rc<dyn fleet_source::FleetSource>,
    /// The clock.
    pub clock: sync::Arc<dyn clock::MonotonicClock>,
}

/// Progress of jobs that the process before this one kept on disk.
pub(super) struct KeptProgress {
    /// The progress.
    pub(super) board: job_checkpoints::CheckpointBoard,
    /// Where it is kept on, on an instance with a disk.
    pub(super) file: Option<checkpoint_file::CheckpointFile>,
}

/// What all parts of a process share.
pub struct ProcessContext {
    /// This run of the process.
    pub run: ids::InstanceRun,
    /// How it is run.
    pub options: ProcessOptions,
    /// The words of the wire.
    pub wire: rc::Rc<dyn wire::WireAdapter>,
    /// The store.
    pub store: sync::Arc<dyn store::ObjectStore>,
    /// Where views come from.
    pub source: rc::Rc<dyn fleet_source::FleetSource>,
    /// The clock.
    pub clock: sync::Arc<dyn clock::MonotonicClock>,
    /// Counters and histograms.
    pub metrics: metrics::MetricSet,
    /// Desired state and endpoints.
    pub fleet: rc::Rc<fleet_model::FleetModel>,
    /// Idle connections to endpoints.
    pub pool: connection_pool::ConnectionPool,
    /// Loads and health of endpoints.
    pub loads: cell::RefCell<selection::LoadBoard>,
    /// The other processes.
    pub members: cell::RefCell<members::MemberTable>,
    /// Links to them.
    pub links: peer_links::PeerLinks,
    /// Places at owned endpoints.
    pub permits: cell::RefCell<permits::PermitBoard>,
    /// Jobs that are run or read here.
    pub jobs: job_board::JobBoard,
    /// Progress of jobs that other processes run.
    pub checkpoints: job_checkpoints::CheckpointBoard,
    /// Progress of jobs that run here, on its way to peers.
    pub(super) progress_queue: progress_transfer::ProgressQueue,
    /// Where the progress of jobs that run here goes, on an instance with a disk.
    pub(super) checkpoint_file: Option<checkpoint_file::CheckpointFile>,
    /// Who may own endpoints and jobs now.
    pub(super) owners: cell::RefCell<rc::Rc<Vec<ownership::OwnerCandidate>>>,
    /// Places that owners said they could give.
    pub free_slots: cell::RefCell<collections::HashMap<(ids::InstanceId, ids::ServiceName), u32>>,
    /// How soon first events of a service come.
    pub firsts: cell::RefCell<collections::HashMap<ids::ServiceName, queue_limit::FirstEstimate>>,
    /// What it said of itself last, and when.
    last_heartbeat: cell::RefCell<Option<(clock::MonotonicTime, peers::HeartbeatMessage)>>,
    /// Change of the list of endpoints up to which it is worked out what is owned.
    pub(super) owned_at: cell::Cell<Option<u64>>,
    /// Whether the members were read from the store.
    pub(super) members_known: cell::Cell<bool>,
    /// Told when records of members were learned.
    pub(super) members_changed: tokio::sync::Notify,
    /// When a peer was asked for the members.
    pub(super) members_requested_at: cell::Cell<Option<clock::MonotonicTime>>,
    /// Requests that crash endpoints.
    pub(super) crashes: crash_guard::CrashGuard,
    /// Desired states on their way from and to peers.
    pub(super) state_transfer: state_transfer::StateTransfer,
    /// Whether a peer is being asked for its list of endpoints.
    pub(super) endpoints_fetch: single_flight::SingleFlight,
    /// Owners of places that were asked for on behalf of a peer that is cut off.
    pub relayed: cell::RefCell<lru::LruCache<admission::PermitNumber, net::SocketAddr>>,
    /// Whether this instance is to be emptied.
    pub(super) retiring: cell::Cell<bool>,
    /// When the process was asked to stop.
    pub(super) stop_begun: cell::Cell<Option<clock::BootInstant>>,
    /// When the process began.
    pub(super) begun: clock::MonotonicTime,
    /// Since when a peer has had a newer list of endpoints, and the own number of it then.
    pub(super) differing_since: cell::Cell<Option<(clock::MonotonicTime, u64)>>,
    /// Counts the times that the machine was suspended.
    pub(super) wakes: watch::Sender<u64>,
    /// Whether the process was asked to stop.
    pub stopping: watch::Sender<bool>,
    /// Requests of callers under way.
    pub active: cell::Cell<usize>,
    /// Tokens for the requests of workspaces with limits.
    pub limiter: limiter::Limiter,
    /// Pools of such tokens that this process keeps.
    pub pools: cell::RefCell<token_pools::PoolTable>,
    /// The own share of all limits, as far as it is not deposited.
    pub(super) shares: cell::RefCell<share_clock::ShareClock>,
    /// The latest stamps of peers, and their runs.
    pub(super) stamps: cell::RefCell<PeerStamps>,
    /// Connections of callers on which a part of an answer waits to be sent.
    pub(super) waiting_answers: rc::Rc<cell::Cell<usize>>,
}

/// The latest stamp of each peer, and its run.
type PeerStamps =
    collections::HashMap<ids::InstanceId, (ids::RunNumber, limit_messages::ClockStamp)>;

impl ProcessContext {
    /// The state of a process that begins.
    pub(super) fn new(
        options: ProcessOptions,
        borders: ProcessBorders,
        progress: KeptProgress,
    ) -> Self {
        let begun = borders.clock.now();
        let pools =
            token_pools::PoolTable::new(options.member.id.clone(), options.tolerance, begun);
        let run = ids::InstanceRun {
            instance: options.member.id.clone(),
            run: ids::RunNumber::random(),
        };
        Self {
            run,
            fleet: rc::Rc::new(fleet_model::FleetModel::new(borders.clock.clone())),
            options,
            wire: borders.wire,
            store: borders.store,
            source: borders.source,
            clock: borders.clock,
            metrics: metrics::MetricSet::default(),
            pool: connection_pool::ConnectionPool::default(),
            loads: cell::RefCell::default(),
            members: cell::RefCell::default(),
            links: peer_links::PeerLinks::default(),
            permits: cell::RefCell::default(),
            jobs: job_board::JobBoard::default(),
            checkpoints: progress.board,
            progress_queue: progress_transfer::ProgressQueue::default(),
            checkpoint_file: progress.file,
            owners: cell::RefCell::default(),
            free_slots: cell::RefCell::default(),
            firsts: cell::RefCell::default(),
            last_heartbeat: cell::RefCell::default(),
            owned_at: cell::Cell::new(None),
            members_known: cell::Cell::new(false),
            members_changed: tokio::sync::Notify::new(),
            members_requested_at: cell::Cell::new(None),
            limiter: limiter::Limiter::default(),
            pools: cell::RefCell::new(pools),
            shares: cell::RefCell::default(),
            stamps: cell::RefCell::default(),
            crashes: crash_guard::CrashGuard::default(),
            state_transfer: state_transfer::StateTransfer::default(),
            endpoints_fetch: single_flight::SingleFlight::default(),
            relayed: cell::RefCell::new(lru::LruCache::new(MAX_RELAYED)),
            retiring: cell::Cell::new(false),
            stop_begun: cell::Cell::new(None),
            begun,
            differing_since: cell::Cell::new(None),
            wakes: watch::Sender::new(0),
            stopping: watch::Sender::new(false),
            active: cell::Cell::new(0),
            waiting_answers: rc::Rc::default(),
        }
    }

    /// The owners of endpoints and jobs.
    pub fn owners(&self) -> rc::Rc<Vec<ownership::OwnerCandidate>> {
        self.owners.borrow().clone()
    }

    /// The name of this process.
    pub fn id(&self) -> &ids::InstanceId {
        &self.options.member.id
    }

    /// Its failure domain.
    pub fn domain(&self) -> &ids::DomainName {
        &self.options.member.domain
    }

    /// Whether it was asked to stop.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Whether it hands its work back, for a stop or as the instance is to be emptied.
    pub fn is_leaving(&self) -> bool {
        self.is_stopping() || self.retiring.get()
    }

    /// Whether new requests are refused, as they might not end before the process does.
    pub fn refuses_requests(&self) -> bool {
        let refuse_after = self.options.grace.mul_f64(REFUSE_SHARE);
        let begun = self.stop_begun.get();
        begun.is_some_and(|begun| begun.elapsed() > refuse_after)
    }

    /// Whether new connections are welcome.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.fleet.is_known()
    }

    /// Whether no request is under way, and no answer waits for a slow caller.
    pub(super) fn is_idle(&self) -> bool {
        self.active.get() == 0 && self.waiting_answers.get() == 0
    }

    /// How long the process has run.
    pub fn age(&self) -> time::Duration {
        self.clock.now().since(self.begun)
    }

    /// Whether a process answers this process itself.
    pub fn receives_from(&self, id: &ids::InstanceId) -> bool {
        self.members.borrow().receives_from(id, self.clock.now())
    }

    /// Gateways through which a process that is cut off reaches the owners.
    pub fn relays(&self) -> Vec<members::MemberRecord> {
        self.members.borrow().relays(self.clock.now())
    }

    /// The owner of a job among the live processes.
    pub fn job_owner(&self, job: &ids::JobId) -> Option<ids::InstanceId> {
        let owners = self.owners();
        let best = owners
            .iter()
            .max_by_key(|c| ownership::weight(c.id.as_str(), job.as_str()));
        best.map(|c| c.id.clone())
    }

    /// What it says of itself at each probe; made anew when it is some milliseconds old.
    pub fn heartbeat(&self) -> peers::HeartbeatMessage {
        let now = self.clock.now();
        if let Some((at, heartbeat)) = &*self.last_heartbeat.borrow() {
            if now.since(*at) < MAX_HEARTBEAT_AGE && heartbeat.leaving == self.is_leaving() {
                return heartbeat.clone();
            }
        }
        let heartbeat = self.make_heartbeat(now);
        *self.last_heartbeat.borrow_mut() = Some((now, heartbeat.clone()));
        heartbeat
    }

    fn make_heartbeat(&self, now: clock::MonotonicTime) -> peers::HeartbeatMessage {
        let members = self.members.borrow();
        let heard = members.live_dispatchers(now);
        peers::HeartbeatMessage {
            id: self.id().clone(),
            run: self.run.run,
            address: self.options.member.address,
            leaving: self.is_leaving(),
            version: self.fleet.table().version(),
            revision: self.fleet.revision(),
            digest: self.fleet.digest(),
            receives_from: heard.iter().map(members::MemberHash::of).collect(),
            follows_store: self.fleet.is_following() && self.members_known.get(),
            members: members.digest(&self.options.member),
            crashes: self.crashes.number(),
            free_slots: self.permits.borrow().free_slots(),
            stamp: limit_messages::ClockStamp::of(now),
            deposit: None,
        }
    }
}
