//! RPC interface between processes: probes, slots, fleet state and jobs.
//!
//! Messages are hints. Everything that must be durable or exclusive is in the store.

use std::{net, num, time};

use tokio::sync::oneshot;

use super::{
    directory, evacuations, job_records, members, route_table, state_snapshot, stream_origins,
    wire, workspaces::limit_messages,
};
use crate::{
    decisions::{admission, crash_ledger, endpoint_doubt, endpoint_speed, health, liveness},
    ids,
};

/// Heartbeat that a process exchanges with a peer in each probe.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct HeartbeatMessage {
    /// Name of the process.
    pub id: ids::InstanceId,
    /// Run of the process.
    pub run: ids::RunNumber,
    /// Address at which it serves peers. A process that the store rejects may not know it
    /// from the member records.
    pub address: net::SocketAddr,
    /// Whether it is draining.
    pub leaving: bool,
    /// Version of its desired state.
    pub version: route_table::StateVersion,
    /// Revision of its list of endpoints, see
    /// [`super::fleet_model::FleetModel::revision`].
    pub revision: u64,
    /// Digest of its list of endpoints.
    pub digest: u64,
    /// Evacuated failure domains known to the process.
    pub evacuations: evacuations::EvacuationSet,
    /// Beat of the process.
    pub beat: liveness::BeatNumber,
    /// Whether the response is to contain the beats of other dispatchers.
    pub wants_beats: bool,
    /// Latest beats of dispatchers: its own if it is one, and in some heartbeats those of
    /// others.
    pub beats: Vec<BeatMessage>,
    /// Whether it receives heartbeats of a dispatcher.
    pub hears_dispatchers: bool,
    /// Whether it watches the store itself and the store responds.
    pub follows_store: bool,
    /// Digest of its member records.
    pub members: u64,
    /// Revision of the store that its member records reflect.
    pub members_revision: u64,
    /// Revision of its records about requests that crash endpoints.
    pub crashes: u64,
    /// Free online slots at the endpoints that it owns.
    #[serde(rename = "rooms")]
    pub free_slots: Vec<FreeSlotReport>,
    /// Time of creation by the clock of the process.
    pub stamp: limit_messages::ClockStamp,
    /// Usage report for the token pools of the receiver.
    pub deposit: Option<limit_messages::ShareDeposit>,
}

/// Free slots of an owner for one service.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct FreeSlotReport {
    /// The service.
    pub service: ids::ServiceName,
    /// Number of free online slots.
    pub free_slots: u32,
    /// Number of its slots for the service, with those that are held.
    pub slots: u32,
    /// Mean time for which a request holds a slot, in milliseconds; `None` before the first
    /// run.
    pub hold_ms: Option<num::NonZeroU32>,
}

/// Beat of a process in a heartbeat. Relative to the beat of the sender it takes a third of
/// the bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct BeatMessage {
    /// The process.
    pub member: liveness::MemberHash,
    /// Beat of the sender minus that of the process.
    pub lag: i64,
    /// State of the process at its beat.
    pub state: liveness::BeatState,
}

impl HeartbeatMessage {
    /// Returns the beats that the heartbeat carries.
    pub fn member_beats(&self) -> impl Iterator<Item = liveness::MemberBeat> + '_ {
        self.beats.iter().map(|beat| liveness::MemberBeat {
            member: beat.member,
            beat: liveness::BeatNumber(self.beat.0.wrapping_sub(beat.lag as u64)),
            state: beat.state,
        })
    }
}

/// Request for a slot for an online request.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct OnlineSlotRequest {
    /// Number of the permit, chosen at random by the requester.
    pub number: admission::PermitNumber,
    /// Run of the requester.
    pub holder: ids::InstanceRun,
    /// Failure domain of the requester.
    pub domain: ids::DomainName,
    /// Name of the service.
    pub service: ids::ServiceName,
    /// Endpoints to exclude.
    pub tried: Vec<ids::EndpointId>,
    /// Software version at which the stream goes on; `None` for any.
    pub software: Option<ids::SoftwareVersion>,
    /// Whether a queue slot of a full endpoint is acceptable.
    pub may_queue: bool,
    /// How long the request may wait in a queue and still be on time.
    pub wait: time::Duration,
    /// Whether the request may run only once.
    pub single_attempt: bool,
    /// Which endpoints with failures the request accepts.
    pub use_of_suspects: endpoint_doubt::SuspectUse,
    /// Ticket for the wait queue of the owner. Without one the request waits, if at all, in
    /// the queue of an endpoint.
    pub ticket: Option<QueueTicket>,
}

impl OnlineSlotRequest {
    /// Returns whether the request may not run at an endpoint.
    pub fn excludes(&self, entry: &directory::EndpointEntry) -> bool {
        self.tried.contains(&entry.id) || !entry.continues(self.software.as_ref())
    }
}

/// Place of a request in the order of a wait queue.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct QueueTicket {
    /// Digest of the request, by which a retry is recognized.
    pub digest: ids::RequestDigest,
    /// Workspace that it is served for, if it has one.
    pub workspace: Option<ids::WorkspaceId>,
    /// Priority of the workspace or, without one, of the route; 0 is the highest.
    pub priority: u32,
    /// Remaining time of its caller.
    pub deadline: time::Duration,
}

/// Response of an owner to a slot request.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct OnlineSlotResponse {
    /// Endpoint of the slot; `None` if all are full.
    pub endpoint: Option<ids::EndpointId>,
    /// Whether the responder owns endpoints of the service. Processes may disagree on
    /// ownership for a moment when members change.
    pub owns: bool,
    /// Whether the request excludes all endpoints of the service that the responder owns.
    pub excludes_all: bool,
    /// Free online slots of the owner after this response.
    #[serde(rename = "room")]
    pub free_slots: u32,
    /// Free queue slots of its endpoints after this response, or for a request with a ticket
    /// those of the wait queue of the service.
    #[serde(rename = "queue_room")]
    pub free_queue_slots: u32,
    /// Whether only endpoints with failures, which the request does not accept, have a free
    /// slot.
    pub only_suspect: bool,
    /// Whether all endpoints of the service that the responder owns and the request does not
    /// exclude are suspect or ejected.
    pub all_suspect: bool,
    /// Whether the endpoint of the slot is suspect, so that the requester must report its
    /// first sign of life at once.
    pub is_probe: bool,
    /// Whether the slot is a place in the queue of the endpoint, whose slots are all held.
    pub is_staged: bool,
    /// Time after which the caller is expected to retry, if one was booked for it.
    pub retry_after: Option<time::Duration>,
}

/// Release of the slot of a permit.
#[derive(Debug, Clone, Copy, serde::Serialize, serde::Deserialize)]
pub struct SlotRelease {
    /// Number of the permit.
    pub number: admission::PermitNumber,
    /// Whether the endpoint served the request.
    pub is_served: bool,
    /// What the holder observed of the run, if the response arrived in part.
    pub observation: Option<endpoint_speed::RunObservation>,
}

/// Observation of an endpoint by the holder of a slot.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub enum EndpointObservation {
    /// The endpoint failed, or did not respond at all.
    Failed(health::FailureReport),
    /// The endpoint refused the request because it is full.
    Full,
    /// The endpoint refused a staged request because it is full.
    QueueFull,
    /// Another endpoint is at the address and refused the request.
    Misnamed,
    /// The endpoint responded that the request failed.
    Faulty(health::FailureReport),
    /// A response or an event is overdue; holds the observer.
    Overdue(ids::InstanceId),
    /// A response or an event is so late that it counts as a failure; the request waits on.
    Slow(health::FailureReport),
    /// The endpoint responds again after a report that it failed.
    Alive,
    /// The endpoint reports that work takes unusually long or short at present.
    Slowdown(endpoint_speed::SlowdownPercent),
}

/// Report of an observation to the owner of the endpoint.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct EndpointReport {
    /// Name of the endpoint.
    pub endpoint: ids::EndpointId,
    /// Start time of the observed run; an observation of another run does not apply.
    pub started: Option<ids::StartTime>,
    /// The observation.
    #[serde(rename = "news")]
    pub observation: EndpointObservation,
}

/// Request for batch slots.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct BatchSlotRequest {
    /// Number of this request, chosen at random by the requester.
    pub number: u64,
    /// Run of the requester.
    pub holder: ids::InstanceRun,
    /// Name of the service.
    pub service: ids::ServiceName,
    /// Number of slots that the requester can use.
    pub count: usize,
}

/// Batch slot at an endpoint of another owner.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct BorrowedSlot {
    /// Name of the endpoint.
    pub endpoint: ids::EndpointId,
    /// Number of the batch stream in the owner's ledger.
    pub number: admission::StreamNumber,
}

/// Part of the encoded progress of a job.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ProgressPart {
    /// Identifier of the job.
    pub job: ids::JobId,
    /// Random identifier that distinguishes the transfers of a job.
    pub transfer: u64,
    /// Number of bytes before this part.
    pub offset: usize,
    /// Total number of bytes in all parts.
    pub total: usize,
    /// Bytes of this part.
    pub bytes: Vec<u8>,
}

/// Outcome of a write to the store by a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum WriteOutcome {
    /// The write succeeded.
    Written,
    /// Nothing was written.
    Refused,
    /// The write may still take effect.
    Unknown,
}

/// Request for results of a job.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct ResultRequest {
    /// Identifier of the job.
    pub job: ids::JobId,
    /// Index of the first result to return.
    pub after: usize,
    /// How long to wait for a result to become available.
    pub wait: time::Duration,
}

/// Origin of a stream, sent to a process that keeps it.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct OriginMessage {
    /// The origin.
    pub record: stream_origins::OriginRecord,
    /// Whether the receiver passes it on to the holders of the stream.
    pub passes_on: bool,
}

/// Question for the origin of a stream.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct OriginQuery {
    /// The stream.
    pub key: ids::StreamKey,
    /// Whether the receiver asks the holders of the stream if it does not know the origin.
    pub passes_on: bool,
}

/// Answer to an [`OriginQuery`].
#[derive(Debug, Clone, Default, serde::Serialize, serde::Deserialize)]
pub struct OriginReply {
    /// The origin, if it is known.
    pub record: Option<stream_origins::OriginRecord>,
    /// Whether all processes that may know it have been asked.
    pub is_final: bool,
    /// Services whose endpoints have one software version, by a current list.
    pub sole: Vec<SoleSoftware>,
}

/// The only software version of a service's endpoints.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SoleSoftware {
    /// The software.
    pub software: directory::ServiceSoftware,
    /// For how long no other version has been listed; `None` for as long as the system exists.
    pub age: Option<time::Duration>,
}

/// RPC service of a process for its peers.
#[tarpc::service]
pub trait PeerService {
    /// Exchanges heartbeats.
    async fn probe(heartbeat: HeartbeatMessage) -> Option<HeartbeatMessage>;
    /// Requests a slot for an online request.
    async fn acquire(request: OnlineSlotRequest) -> Option<OnlineSlotResponse>;
    /// Releases a slot.
    async fn release(release: SlotRelease);
    /// Reports an observation of an endpoint.
    async fn report(report: EndpointReport);
    /// Reports a request during which an endpoint crashed, or that was served since.
    async fn crash_news(message: crash_ledger::CrashMessage);
    /// Requests all records about such requests.
    async fn crashes() -> Option<Vec<crash_ledger::CrashMessage>>;
    /// Requests a part of the desired state.
    async fn state_part(
        request: state_snapshot::StatePartRequest,
    ) -> Option<state_snapshot::StatePart>;
    /// Requests the changes of the list of endpoints since a revision, or the whole list
    /// if the revision is 0 or too old.
    async fn endpoints(since: u64) -> Option<directory::DirectoryUpdate>;
    /// Requests the member records that the peer has.
    async fn members() -> Option<Vec<members::MemberRecord>>;
    /// Hands off a job; returns whether it has already completed.
    async fn take_job(record: job_records::JobRecord) -> Option<bool>;
    /// Requests that an owner reads a job from the store and takes it over; returns
    /// whether it has already completed.
    async fn find_job(job: ids::JobId) -> Option<bool>;
    /// Sends a part of the progress of a job; returns whether it continues the previous
    /// parts.
    async fn keep_progress(part: ProgressPart) -> Option<bool>;
    /// Reads committed results.
    async fn read_results(request: ResultRequest) -> Option<wire::ResultPage>;
    /// Notifies the peer that a job was ended.
    async fn end_job(job: ids::JobId);
    /// Requests batch slots.
    async fn lend(request: BatchSlotRequest) -> Option<Vec<BorrowedSlot>>;
    /// Returns a borrowed batch slot.
    async fn give_back(slot: BorrowedSlot);
    /// Returns all slots lent for a request whose response was lost.
    async fn cancel_lent(number: u64);
    /// Preempts a batch stream so that an online request gets its slot.
    async fn preempt(slot: BorrowedSlot);
    /// Requests that the peer writes an accepted job to the store.
    async fn write_job(record: job_records::JobRecord) -> Option<WriteOutcome>;
    /// Requests that the peer writes the end of a job to the store.
    async fn write_end(job: ids::JobId) -> Option<WriteOutcome>;
    /// Requests tokens of a workspace from a quota server, or from a gateway that relays
    /// the request.
    async fn draw_tokens(
        request: limit_messages::TokenRequest,
    ) -> Option<limit_messages::TokenResponse>;
    /// Requests the trial of a request that is suspected of crashing endpoints; returns
    /// whether it is granted.
    async fn claim_trial(message: crash_ledger::CrashMessage) -> Option<bool>;
    /// Returns a trial that did not run.
    async fn return_trial(subject: ids::CrashSubject);
    /// Hands off a job that the sender has just created and sent to no other owner; returns
    /// whether it has already completed.
    async fn take_new_job(record: job_records::JobRecord) -> Option<bool>;
    /// Requests a slot on behalf of a peer that is cut off from the owners. A process that
    /// owns no endpoints responds so, and does not relay the request again.
    async fn acquire_relayed(request: OnlineSlotRequest) -> Option<OnlineSlotResponse>;
    /// Sends the origin of a stream; returns which services have one software version.
    async fn keep_origin(message: OriginMessage) -> Option<Vec<SoleSoftware>>;
    /// Asks for the origin of a stream.
    async fn find_origin(query: OriginQuery) -> Option<OriginReply>;
}

/// Incoming call of a peer and the channel for its response.
pub enum PeerCall {
    /// See [`PeerService::probe`].
    Probe(HeartbeatMessage, oneshot::Sender<HeartbeatMessage>),
    /// See [`PeerService::acquire`].
    Acquire(OnlineSlotRequest, oneshot::Sender<OnlineSlotResponse>),
    /// See [`PeerService::acquire_relayed`].
    AcquireRelayed(OnlineSlotRequest, oneshot::Sender<OnlineSlotResponse>),
    /// See [`PeerService::keep_origin`].
    KeepOrigin(OriginMessage, oneshot::Sender<Vec<SoleSoftware>>),
    /// See [`PeerService::find_origin`].
    FindOrigin(OriginQuery, oneshot::Sender<OriginReply>),
    /// See [`PeerService::release`].
    Release(SlotRelease),
    /// See [`PeerService::report`].
    Report(EndpointReport),
    /// See [`PeerService::crash_news`].
    CrashUpdate(crash_ledger::CrashMessage),
    /// See [`PeerService::crashes`].
    Crashes(oneshot::Sender<Vec<crash_ledger::CrashMessage>>),
    /// See [`PeerService::claim_trial`].
    ClaimTrial(crash_ledger::CrashMessage, oneshot::Sender<bool>),
    /// See [`PeerService::return_trial`].
    ReturnTrial(ids::CrashSubject),
    /// See [`PeerService::state_part`].
    StatePart(
        state_snapshot::StatePartRequest,
        oneshot::Sender<state_snapshot::StatePart>,
    ),
    /// See [`PeerService::endpoints`].
    Endpoints(u64, oneshot::Sender<directory::DirectoryUpdate>),
    /// See [`PeerService::members`].
    Members(oneshot::Sender<Vec<members::MemberRecord>>),
    /// See [`PeerService::take_job`] and [`PeerService::take_new_job`].
    TakeJob(
        job_records::JobRecord,
        job_records::JobOrigin,
        oneshot::Sender<bool>,
    ),
    /// See [`PeerService::find_job`].
    FindJob(ids::JobId, oneshot::Sender<bool>),
    /// See [`PeerService::keep_progress`].
    KeepProgress(ProgressPart, oneshot::Sender<bool>),
    /// See [`PeerService::read_results`].
    ReadResults(ResultRequest, oneshot::Sender<wire::ResultPage>),
    /// See [`PeerService::end_job`].
    EndJob(ids::JobId),
    /// See [`PeerService::lend`].
    Lend(BatchSlotRequest, oneshot::Sender<Vec<BorrowedSlot>>),
    /// See [`PeerService::give_back`].
    GiveBack(BorrowedSlot),
    /// See [`PeerService::cancel_lent`].
    CancelLent(u64),
    /// See [`PeerService::preempt`].
    Preempt(BorrowedSlot),
    /// See [`PeerService::write_job`].
    WriteJob(job_records::JobRecord, oneshot::Sender<WriteOutcome>),
    /// See [`PeerService::write_end`].
    WriteEnd(ids::JobId, oneshot::Sender<WriteOutcome>),
    /// See [`PeerService::draw_tokens`].
    DrawTokens(
        limit_messages::TokenRequest,
        oneshot::Sender<limit_messages::TokenResponse>,
    ),
}
