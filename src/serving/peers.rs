//! Links between processes: probes, places, views, jobs.
//!
//! All of it is a hint. What must hold is kept by the store.

use std::{net, time};

use tokio::sync::oneshot;

use super::{
    directory, job_records, members, progress_transfer, route_table, state_snapshot, wire,
    workspaces::limit_messages,
};
use crate::{
    decisions::{admission, crash_ledger, health},
    ids,
};

/// What a process says of itself at each probe.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct HeartbeatMessage {
    /// The process.
    pub id: ids::InstanceId,
    /// Which of its runs this is.
    pub run: ids::RunNumber,
    /// Where it answers its peers: one that the store turns away may not know it.
    pub address: net::SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Version of its desired state.
    pub version: route_table::StateVersion,
    /// Number of its list of endpoints, see [`super::fleet_model::FleetModel::revision`].
    pub revision: u64,
    /// Digest of its list of endpoints.
    pub digest: u64,
    /// Dispatchers that it hears itself.
    #[serde(rename = "hears")]
    pub receives_from: Vec<members::MemberHash>,
    /// Whether it follows the store itself, and the store answers.
    pub follows_store: bool,
    /// Digest of the processes that it knows.
    pub members: u64,
    /// Number of what it knows of requests that crash endpoints.
    pub crashes: u64,
    /// Places for online requests at the endpoints that it owns, by service.
    #[serde(rename = "rooms")]
    pub free_slots: Vec<(ids::ServiceName, u32)>,
    /// When it was made, by the clock of the process.
    pub stamp: limit_messages::ClockStamp,
    /// For the pools of the process that it is said to.
    pub deposit: Option<limit_messages::ShareDeposit>,
}

/// A request for a place for an online request.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct OnlineSlotRequest {
    /// Number of the permit, made by the asker at random.
    pub number: admission::PermitNumber,
    /// The asker.
    pub holder: ids::InstanceRun,
    /// Its failure domain.
    pub domain: ids::DomainName,
    /// The service.
    pub service: ids::ServiceName,
    /// Endpoints that are not wanted.
    pub tried: Vec<ids::EndpointId>,
    /// Whether a place in the queue of a full endpoint is wanted as well.
    pub may_queue: bool,
    /// How long the request may wait in a queue and be in time.
    pub wait: time::Duration,
}

/// The owner's word on a place.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct OnlineSlotResponse {
    /// The endpoint, or nothing if all are full.
    pub endpoint: Option<ids::EndpointId>,
    /// Whether who answers owns endpoints of the service: views of that differ for a
    /// moment when processes come and go.
    pub owns: bool,
    /// Places that the owner could still give.
    #[serde(rename = "room")]
    pub free_slots: u32,
    /// Places in the queues of its endpoints that it could still give.
    #[serde(rename = "queue_room")]
    pub free_queue_slots: u32,
}

/// The end of a permit.
#[derive(Debug, Clone, Copy, serde::Serialize, serde::Deserialize)]
pub struct SlotRelease {
    /// Its number.
    pub number: admission::PermitNumber,
    /// Whether the endpoint served the request.
    pub is_served: bool,
}

/// What one who had a place at an endpoint saw there.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub enum EndpointObservation {
    /// It failed, or did not answer at all.
    Failed(health::FailureReport),
    /// It refused, as it has no room.
    Full,
    /// Another endpoint is at its address, and refused.
    Misnamed,
}

/// What was seen at an endpoint, told to its owner at once.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct EndpointReport {
    /// The endpoint.
    pub endpoint: ids::EndpointId,
    /// Its start: what was seen of another says nothing of the present one.
    pub started: Option<ids::StartTime>,
    /// What was seen there.
    #[serde(rename = "news")]
    pub observation: EndpointObservation,
}

/// A request for places for batch streams.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct BatchSlotRequest {
    /// Number of this question, made by the asker at random.
    pub number: u64,
    /// The asker.
    pub holder: ids::InstanceRun,
    /// The service.
    pub service: ids::ServiceName,
    /// Places that the asker can use.
    pub count: usize,
}

/// A batch stream at an endpoint of another owner.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct BorrowedSlot {
    /// The endpoint.
    pub endpoint: ids::EndpointId,
    /// Number of the stream in the owner's ledger.
    pub number: admission::StreamNumber,
}

/// What came of a job that a peer wrote to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum WriteOutcome {
    /// It is in the store.
    Written,
    /// It is certain that nothing was written.
    Refused,
    /// It may take effect yet.
    Unknown,
}

/// A request for results of a job.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct ResultRequest {
    /// The job.
    pub job: ids::JobId,
    /// First position wanted.
    pub after: usize,
    /// How long to wait for a result.
    pub wait: time::Duration,
}

/// What one process asks of another.
#[tarpc::service]
pub trait PeerService {
    /// Exchanges heartbeats.
    async fn probe(heartbeat: HeartbeatMessage) -> Option<HeartbeatMessage>;
    /// Asks for a place for an online request.
    async fn acquire(request: OnlineSlotRequest) -> Option<OnlineSlotResponse>;
    /// Gives a place back.
    async fn release(release: SlotRelease);
    /// Tells of a failure at an endpoint.
    async fn report(report: EndpointReport);
    /// Tells of a request under which an endpoint ended, or that was served since.
    async fn crash_news(update: crash_ledger::CrashUpdate);
    /// Asks for all that the peer knows of such requests.
    async fn crashes() -> Option<Vec<crash_ledger::CrashUpdate>>;
    /// Asks for a part of the desired state.
    async fn state_part(
        request: state_snapshot::StatePartRequest,
    ) -> Option<state_snapshot::StatePart>;
    /// Asks for the list of endpoints.
    async fn endpoints() -> Option<directory::DirectorySnapshot>;
    /// Asks for the processes that the peer knows.
    async fn members() -> Option<Vec<members::MemberRecord>>;
    /// Hands a job over; the answer says whether it is done already.
    async fn take_job(record: job_records::JobRecord) -> Option<bool>;
    /// Asks an owner to read a job from the store and take it over; the answer says
    /// whether it is done already.
    async fn find_job(job: ids::JobId) -> Option<bool>;
    /// Hands a part of the progress of a job over; the answer says whether it fits to what
    /// came before.
    async fn keep_progress(part: progress_transfer::ProgressPart) -> Option<bool>;
    /// Reads committed results.
    async fn read_results(request: ResultRequest) -> Option<wire::ResultPage>;
    /// Tells that a job was ended.
    async fn end_job(job: ids::JobId);
    /// Asks for places for batch streams.
    async fn lend(request: BatchSlotRequest) -> Option<Vec<BorrowedSlot>>;
    /// Gives a place of a batch stream back.
    async fn give_back(slot: BorrowedSlot);
    /// Gives all places back that were lent to a question whose answer did not come.
    async fn cancel_lent(number: u64);
    /// Takes a place of a batch stream back for an online request.
    async fn preempt(slot: BorrowedSlot);
    /// Asks a peer to write an accepted job to the store.
    async fn write_job(record: job_records::JobRecord) -> Option<WriteOutcome>;
    /// Asks a peer to write the end of a job to the store.
    async fn write_end(job: ids::JobId) -> Option<WriteOutcome>;
    /// Asks a keeper for tokens of a workspace, or a gateway to ask it.
    async fn draw_tokens(
        request: limit_messages::TokenRequest,
    ) -> Option<limit_messages::TokenResponse>;
}

/// A call of a peer, and where its answer goes.
pub enum PeerCall {
    /// See [`PeerService::probe`].
    Probe(HeartbeatMessage, oneshot::Sender<HeartbeatMessage>),
    /// See [`PeerService::acquire`].
    Acquire(OnlineSlotRequest, oneshot::Sender<OnlineSlotResponse>),
    /// See [`PeerService::release`].
    Release(SlotRelease),
    /// See [`PeerService::report`].
    Report(EndpointReport),
    /// See [`PeerService::crash_news`].
    CrashUpdate(crash_ledger::CrashUpdate),
    /// See [`PeerService::crashes`].
    Crashes(oneshot::Sender<Vec<crash_ledger::CrashUpdate>>),
    /// See [`PeerService::state_part`].
    StatePart(
        state_snapshot::StatePartRequest,
        oneshot::Sender<state_snapshot::StatePart>,
    ),
    /// See [`PeerService::endpoints`].
    Endpoints(oneshot::Sender<directory::DirectorySnapshot>),
    /// See [`PeerService::members`].
    Members(oneshot::Sender<Vec<members::MemberRecord>>),
    /// See [`PeerService::take_job`].
    TakeJob(job_records::JobRecord, oneshot::Sender<bool>),
    /// See [`PeerService::find_job`].
    FindJob(ids::JobId, oneshot::Sender<bool>),
    /// See [`PeerService::keep_progress`].
    KeepProgress(progress_transfer::ProgressPart, oneshot::Sender<bool>),
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
