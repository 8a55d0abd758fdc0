//! Links between processes: probes, places, beliefs, jobs.
//!
//! All of it is a hint. What must hold is kept by the store.

use std::{cell, collections, io, net, rc, time};

use futures::StreamExt as _;
use tarpc::server::Channel as _;
use tokio::sync::{mpsc, oneshot};
use tokio_util::codec::length_delimited;

use super::{directory, job_records, members, route_table, wire};
use crate::{decisions::admission, ids};

/// Longest wait for a connection to a peer.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Pause after a failed connection.
const RECONNECT_PAUSE: time::Duration = time::Duration::from_millis(200);
/// Calls of peers that may wait for the process; beyond, peers wait.
const RING_CALLS: usize = 1024;
/// Largest message, in bytes: a job or its results with some spare.
const MAX_FRAME_BYTES: usize = 8 << 20;

/// What a process says of itself at each probe.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct PeerHello {
    /// The process.
    pub id: ids::InstanceId,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Version of its desired state.
    pub version: route_table::StateVersion,
    /// Revision of its list of endpoints.
    pub revision: u64,
    /// Digest of its list of endpoints.
    pub digest: u64,
    /// Dispatchers that it hears itself.
    pub hears: Vec<ids::InstanceId>,
    /// Whether it follows the store itself, and the store answers.
    pub follows_store: bool,
    /// Digest of the processes that it knows.
    pub members: u64,
    /// Places for online requests at the endpoints that it owns, by service.
    pub rooms: Vec<(ids::ServiceName, u32)>,
}

/// A wish for a place for an online request.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct PlaceAsk {
    /// Number of the permit, made by the asker at random.
    pub number: admission::PermitNumber,
    /// The asker.
    pub instance: ids::InstanceId,
    /// Its failure domain.
    pub domain: ids::DomainName,
    /// The service.
    pub service: ids::ServiceName,
    /// Endpoints that are not wanted.
    pub tried: Vec<ids::EndpointId>,
}

/// The owner's word on a place.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct PlaceAnswer {
    /// The endpoint, or nothing if all are full.
    pub endpoint: Option<ids::EndpointId>,
    /// Places that the owner could still give.
    pub room: u32,
}

/// A wish for places for batch streams.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct LoanAsk {
    /// The asker.
    pub instance: ids::InstanceId,
    /// The service.
    pub service: ids::ServiceName,
    /// Places that the asker can use.
    pub count: usize,
}

/// A batch stream at an endpoint of another owner.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StreamLoan {
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

/// A wish for results of a job.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct ResultAsk {
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
    /// Exchanges signs of life.
    async fn probe(hello: PeerHello) -> Option<PeerHello>;
    /// Asks for a place for an online request.
    async fn acquire(ask: PlaceAsk) -> Option<PlaceAnswer>;
    /// Gives a place back.
    async fn release(number: admission::PermitNumber);
    /// Asks for the desired state, as JSON.
    async fn desired_state() -> Option<String>;
    /// Asks for the list of endpoints.
    async fn endpoints() -> Option<directory::DirectoryCopy>;
    /// Asks for the processes that the peer knows.
    async fn members() -> Option<Vec<members::MemberRecord>>;
    /// Hands a job over; the answer says whether it is done already.
    async fn take_job(record: job_records::JobRecord) -> Option<bool>;
    /// Reads committed results.
    async fn read_results(ask: ResultAsk) -> Option<wire::ResultPage>;
    /// Tells that a job was ended.
    async fn end_job(job: ids::JobId);
    /// Asks for places for batch streams.
    async fn lend(ask: LoanAsk) -> Option<Vec<StreamLoan>>;
    /// Gives a place of a batch stream back.
    async fn give_back(loan: StreamLoan);
    /// Takes a place of a batch stream back for an online request.
    async fn preempt(loan: StreamLoan);
    /// Asks a peer to write an accepted job to the store.
    async fn write_job(record: job_records::JobRecord) -> Option<WriteOutcome>;
    /// Asks a peer to write the end of a job to the store.
    async fn write_end(job: ids::JobId) -> Option<WriteOutcome>;
}

/// A call of a peer, and where its answer goes.
pub enum PeerCall {
    /// See [`PeerService::probe`].
    Probe(PeerHello, oneshot::Sender<PeerHello>),
    /// See [`PeerService::acquire`].
    Acquire(PlaceAsk, oneshot::Sender<PlaceAnswer>),
    /// See [`PeerService::release`].
    Release(admission::PermitNumber),
    /// See [`PeerService::desired_state`].
    State(oneshot::Sender<String>),
    /// See [`PeerService::endpoints`].
    Endpoints(oneshot::Sender<directory::DirectoryCopy>),
    /// See [`PeerService::members`].
    Members(oneshot::Sender<Vec<members::MemberRecord>>),
    /// See [`PeerService::take_job`].
    TakeJob(job_records::JobRecord, oneshot::Sender<bool>),
    /// See [`PeerService::read_results`].
    ReadResults(ResultAsk, oneshot::Sender<wire::ResultPage>),
    /// See [`PeerService::end_job`].
    EndJob(ids::JobId),
    /// See [`PeerService::lend`].
    Lend(LoanAsk, oneshot::Sender<Vec<StreamLoan>>),
    /// See [`PeerService::give_back`].
    GiveBack(StreamLoan),
    /// See [`PeerService::preempt`].
    Preempt(StreamLoan),
    /// See [`PeerService::write_job`].
    WriteJob(job_records::JobRecord, oneshot::Sender<WriteOutcome>),
    /// See [`PeerService::write_end`].
    WriteEnd(ids::JobId, oneshot::Sender<WriteOutcome>),
}

/// Hands the calls of one peer to the process.
#[derive(Clone)]
struct PeerServer {
    ring: mpsc::Sender<PeerCall>,
}

impl PeerServer {
    /// Hands a call over and waits for its answer; nothing if the process ends.
    async fn ask<T>(&self, call: impl FnOnce(oneshot::Sender<T>) -> PeerCall) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.ring.send(call(reply)).await.ok()?;
        answer.await.ok()
    }

    /// Hands a message over that has no answer.
    async fn tell(&self, call: PeerCall) {
        if self.ring.send(call).await.is_err() {
            log::debug!("event=message_unheard");
        }
    }
}

impl PeerService for PeerServer {
    async fn probe(self, _: tarpc::context::Context, hello: PeerHello) -> Option<PeerHello> {
        self.ask(|reply| PeerCall::Probe(hello, reply)).await
    }

    async fn acquire(self, _: tarpc::context::Context, ask: PlaceAsk) -> Option<PlaceAnswer> {
        self.ask(|reply| PeerCall::Acquire(ask, reply)).await
    }

    async fn release(self, _: tarpc::context::Context, number: admission::PermitNumber) {
        self.tell(PeerCall::Release(number)).await;
    }

    async fn desired_state(self, _: tarpc::context::Context) -> Option<String> {
        self.ask(PeerCall::State).await
    }

    async fn endpoints(self, _: tarpc::context::Context) -> Option<directory::DirectoryCopy> {
        self.ask(PeerCall::Endpoints).await
    }

    async fn members(self, _: tarpc::context::Context) -> Option<Vec<members::MemberRecord>> {
        self.ask(PeerCall::Members).await
    }

    async fn take_job(
        self,
        _: tarpc::context::Context,
        record: job_records::JobRecord,
    ) -> Option<bool> {
        self.ask(|reply| PeerCall::TakeJob(record, reply)).await
    }

    async fn read_results(
        self,
        _: tarpc::context::Context,
        ask: ResultAsk,
    ) -> Option<wire::ResultPage> {
        self.ask(|reply| PeerCall::ReadResults(ask, reply)).await
    }

    async fn end_job(self, _: tarpc::context::Context, job: ids::JobId) {
        self.tell(PeerCall::EndJob(job)).await;
    }

    async fn lend(self, _: tarpc::context::Context, ask: LoanAsk) -> Option<Vec<StreamLoan>> {
        self.ask(|reply| PeerCall::Lend(ask, reply)).await
    }

    async fn give_back(self, _: tarpc::context::Context, loan: StreamLoan) {
        self.tell(PeerCall::GiveBack(loan)).await;
    }

    async fn preempt(self, _: tarpc::context::Context, loan: StreamLoan) {
        self.tell(PeerCall::Preempt(loan)).await;
    }

    async fn write_job(
        self,
        _: tarpc::context::Context,
        record: job_records::JobRecord,
    ) -> Option<WriteOutcome> {
        self.ask(|reply| PeerCall::WriteJob(record, reply)).await
    }

    async fn write_end(self, _: tarpc::context::Context, job: ids::JobId) -> Option<WriteOutcome> {
        self.ask(|reply| PeerCall::WriteEnd(job, reply)).await
    }
}

fn frames() -> length_delimited::Builder {
    let mut builder = length_delimited::LengthDelimitedCodec::builder();
    builder.max_frame_length(MAX_FRAME_BYTES);
    builder
}

/// Serves peers on this thread; the calls come out of the ring.
///
/// # Errors
/// The address cannot be bound.
pub fn serve(listen: net::SocketAddr) -> io::Result<mpsc::Receiver<PeerCall>> {
    let listener = net::TcpListener::bind(listen)?;
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let (ring, calls) = mpsc::channel(RING_CALLS);
    actix_rt::spawn(async move {
        while !ring.is_closed() {
            match listener.accept().await {
                Ok((socket, _)) => {
                    let server = PeerServer { ring: ring.clone() };
                    actix_rt::spawn(serve_peer(socket, server));
                }
                Err(e) => {
                    log::warn!("event=peer_accept_failed why=\"{e}\"");
                    actix_rt::time::sleep(RECONNECT_PAUSE).await;
                }
            }
        }
    });
    Ok(calls)
}

async fn serve_peer(socket: tokio::net::TcpStream, server: PeerServer) {
    if let Err(e) = socket.set_nodelay(true) {
        log::debug!("event=peer_socket why=\"{e}\"");
    }
    let codec = tarpc::tokio_serde::formats::Bincode::default();
    let transport = tarpc::serde_transport::new(frames().new_framed(socket), codec);
    tarpc::server::BaseChannel::with_defaults(transport)
        .execute(server.serve())
        .for_each(|answer| async {
            actix_rt::spawn(answer);
        })
        .await;
}

enum LinkState {
    Connected(PeerServiceClient),
    Connecting,
    Failed(time::Instant),
}

type LinkTable = rc::Rc<cell::RefCell<collections::HashMap<net::SocketAddr, LinkState>>>;

/// Connections to peers, made when first needed.
#[derive(Clone, Default)]
pub struct PeerLinks {
    table: LinkTable,
}

/// Why a peer gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// There is no connection now, so nothing was sent.
    #[error("there is no connection to the peer")]
    NotSent,
    /// The connection was lost before the answer.
    #[error("the peer cannot be reached")]
    Unreachable,
    /// The peer did not answer in time.
    #[error("the peer did not answer in time")]
    TimedOut,
}

/// Deadline of a call, from now.
fn within(patience: time::Duration) -> tarpc::context::Context {
    let mut context = tarpc::context::current();
    context.deadline = time::Instant::now() + patience;
    context
}

fn outcome<T>(answer: Result<Option<T>, tarpc::client::RpcError>) -> Result<T, PeerError> {
    match answer {
        Ok(Some(value)) => Ok(value),
        Err(tarpc::client::RpcError::DeadlineExceeded) => Err(PeerError::TimedOut),
        Ok(None) | Err(_) => Err(PeerError::Unreachable),
    }
}

/// Calls a peer, and says why there is no answer.
macro_rules! call_peer {
    ($links:expr, $peer:expr, $patience:expr, $method:ident($($argument:expr),*)) => {{
        let client = $links.connected($peer).ok_or(PeerError::NotSent)?;
        outcome(client.$method(within($patience), $($argument),*).await)
    }};
}

/// Tells a peer something that has no answer; what is lost is made up for otherwise.
macro_rules! tell_peer {
    ($links:expr, $peer:expr, $method:ident($argument:expr)) => {{
        let Some(client) = $links.connected($peer) else {
            return;
        };
        actix_rt::spawn(async move {
            let told = client.$method(within(members::PEER_SILENCE), $argument);
            if let Err(e) = told.await {
                log::debug!(
                    "event=message_lost kind={} why=\"{e}\"",
                    stringify!($method)
                );
            }
        });
    }};
}

impl PeerLinks {
    /// Exchanges signs of life.
    ///
    /// # Errors
    /// The peer does not answer.
    pub async fn probe(
        &self,
        peer: net::SocketAddr,
        hello: PeerHello,
        patience: time::Duration,
    ) -> Result<PeerHello, PeerError> {
        call_peer!(self, peer, patience, probe(hello))
    }

    /// Asks an owner for a place.
    ///
    /// # Errors
    /// The peer does not answer.
    pub async fn acquire(
        &self,
        peer: net::SocketAddr,
        ask: PlaceAsk,
        patience: time::Duration,
    ) -> Result<PlaceAnswer, PeerError> {
        call_peer!(self, peer, patience, acquire(ask))
    }

    /// Gives a place back; a lost message is made up for by the permit's expiry.
    pub fn release(&self, peer: net::SocketAddr, number: admission::PermitNumber) {
        tell_peer!(self, peer, release(number));
    }

    /// Asks for the desired state.
    ///
    /// # Errors
    /// The peer does not answer.
    pub async fn desired_state(
        &self,
        peer: net::SocketAddr,
        patience: time::Duration,
    ) -> Result<String, PeerError> {
        call_peer!(self, peer, patience, desired_state())
    }

    /// Asks for the list of endpoints.
    ///
    /// # Errors
    /// The peer does not answer.
    pub async fn endpoints(
        &self,
        peer: net::SocketAddr,
        patience: time::Duration,
    ) -> Result<directory::DirectoryCopy, PeerError> {
        call_peer!(self, peer, patience, endpoints())
    }

    /// Asks for the processes that a peer knows.
    ///
    /// # Errors
    /// The peer does not answer.
    pub async fn members(
        &self,
        peer: net::SocketAddr,
        patience: time::Duration,
    ) -> Result<Vec<members::MemberRecord>, PeerError> {
        call_peer!(self, peer, patience, members())
    }

    /// Hands a job over; says whether it is done already.
    ///
    /// # Errors
    /// The peer does not answer.
    pub async fn take_job(
        &self,
        peer: net::SocketAddr,
        record: job_records::JobRecord,
        patience: time::Duration,
    ) -> Result<bool, PeerError> {
        call_peer!(self, peer, patience, take_job(record))
    }

    /// Reads committed results.
    ///
    /// # Errors
    /// The peer does not answer.
    pub async fn read_results(
        &self,
        peer: net::SocketAddr,
        ask: ResultAsk,
        patience: time::Duration,
    ) -> Result<wire::ResultPage, PeerError> {
        call_peer!(self, peer, patience, read_results(ask))
    }

    /// Tells that a job was ended; the mark in the store says the same.
    pub fn end_job(&self, peer: net::SocketAddr, job: ids::JobId) {
        tell_peer!(self, peer, end_job(job));
    }

    /// Asks an owner for places for batch streams.
    ///
    /// # Errors
    /// The peer does not answer.
    pub async fn lend(
        &self,
        peer: net::SocketAddr,
        ask: LoanAsk,
        patience: time::Duration,
    ) -> Result<Vec<StreamLoan>, PeerError> {
        call_peer!(self, peer, patience, lend(ask))
    }

    /// Gives a place of a batch stream back.
    pub fn give_back(&self, peer: net::SocketAddr, loan: StreamLoan) {
        tell_peer!(self, peer, give_back(loan));
    }

    /// Takes a place of a batch stream back.
    pub fn preempt(&self, peer: net::SocketAddr, loan: StreamLoan) {
        tell_peer!(self, peer, preempt(loan));
    }

    /// Has a peer write an accepted job.
    ///
    /// # Errors
    /// The peer does not answer: it may write the job yet, unless it was never reached.
    pub async fn write_job(
        &self,
        peer: net::SocketAddr,
        record: job_records::JobRecord,
        patience: time::Duration,
    ) -> Result<WriteOutcome, PeerError> {
        call_peer!(self, peer, patience, write_job(record))
    }

    /// Has a peer write the end of a job.
    ///
    /// # Errors
    /// The peer does not answer: it may write the end yet.
    pub async fn write_end(
        &self,
        peer: net::SocketAddr,
        job: ids::JobId,
        patience: time::Duration,
    ) -> Result<WriteOutcome, PeerError> {
        call_peer!(self, peer, patience, write_end(job))
    }

    /// Whether there is a connection to a peer now.
    pub fn is_connected(&self, peer: net::SocketAddr) -> bool {
        matches!(
            self.table.borrow().get(&peer),
            Some(LinkState::Connected(_))
        )
    }

    /// The client of a connected peer; otherwise begins to connect.
    fn connected(&self, peer: net::SocketAddr) -> Option<PeerServiceClient> {
        let mut table = self.table.borrow_mut();
        match table.get(&peer) {
            Some(LinkState::Connected(client)) => return Some(client.clone()),
            Some(LinkState::Connecting) => return None,
            Some(LinkState::Failed(at)) if at.elapsed() < RECONNECT_PAUSE => return None,
            _ => {}
        }
        table.insert(peer, LinkState::Connecting);
        drop(table);
        actix_rt::spawn(connect(self.table.clone(), peer));
        None
    }

    /// Ends the connection to a peer that does not answer, so that a new one is made.
    pub fn forget(&self, peer: net::SocketAddr) {
        let failed = LinkState::Failed(time::Instant::now());
        self.table.borrow_mut().insert(peer, failed);
    }
}

async fn connect(table: LinkTable, peer: net::SocketAddr) {
    let opening = async {
        let socket = tokio::net::TcpStream::connect(peer).await?;
        socket.set_nodelay(true)?;
        io::Result::Ok(socket)
    };
    let socket = match tokio::time::timeout(CONNECT_TIMEOUT, opening).await {
        Ok(Ok(socket)) => socket,
        _ => {
            let failed = LinkState::Failed(time::Instant::now());
            table.borrow_mut().insert(peer, failed);
            return;
        }
    };
    let codec = tarpc::tokio_serde::formats::Bincode::default();
    let transport = tarpc::serde_transport::new(frames().new_framed(socket), codec);
    let new = PeerServiceClient::new(tarpc::client::Config::default(), transport);
    table
        .borrow_mut()
        .insert(peer, LinkState::Connected(new.client));
    let ended = new.dispatch.await;
    log::info!("event=peer_link_lost peer={peer} why=\"{ended:?}\"");
    let failed = LinkState::Failed(time::Instant::now());
    table.borrow_mut().insert(peer, failed);
}
