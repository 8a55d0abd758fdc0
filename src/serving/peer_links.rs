//! The side of a link that asks.

use std::{cell, collections, convert, io, net, rc, time};

use tokio::sync::oneshot;
use tokio_util::{codec::length_delimited, io as io_util};

use super::{
    directory, job_records, members,
    peers::{
        BatchSlotRequest, BorrowedSlot, EndpointReport, HeartbeatMessage, OnlineSlotRequest,
        OnlineSlotResponse, PeerServiceClient, ResultRequest, SlotRelease, WriteOutcome,
    },
    permits, progress_transfer, state_snapshot, wire,
    workspaces::limit_messages,
};
use crate::{clock, decisions::crash_ledger, ids};

/// Longest wait for a connection to a peer.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// How long nothing may come on a link before a probe without an answer ends it:
/// as long as a probe waits. A link that is busy with a large answer brings its
/// bytes meanwhile, and a new one would have to begin anew.
const LINK_IDLE_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Longest wait for a list of endpoints that comes on, a guard against one that
/// never ends: 1,600 endpoints, 87 KB, take 4.4 s at 20 KB/s.
const LIST_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Pause after a failed connection.
pub(super) const RECONNECT_DELAY: time::Duration = time::Duration::from_millis(200);

/// Largest message, in bytes: a job or its results with some spare.
const MAX_FRAME_BYTES: usize = 8 << 20;

pub(super) fn frames() -> length_delimited::Builder {
    let mut builder = length_delimited::LengthDelimitedCodec::builder();
    builder.max_frame_length(MAX_FRAME_BYTES);
    builder
}

/// Tells the links to one peer apart, as an old one may end beside a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LinkGeneration(u64);

/// A connection that is open.
struct OpenLink {
    generation: LinkGeneration,
    client: PeerServiceClient,
    /// When bytes came on it last; at first when it was made.
    last_received_at: rc::Rc<cell::Cell<clock::BootInstant>>,
    /// Dropped with the link: the end of this channel ends its task.
    _closing: oneshot::Sender<convert::Infallible>,
}

enum LinkState {
    Connected(OpenLink),
    Connecting(LinkGeneration),
    Failed(clock::BootInstant),
}

impl LinkState {
    fn failed() -> Self {
        Self::Failed(clock::BootInstant::now())
    }

    fn generation(&self) -> Option<LinkGeneration> {
        match self {
            Self::Connected(link) => Some(link.generation),
            Self::Connecting(generation) => Some(*generation),
            Self::Failed(_) => None,
        }
    }
}

type LinkTable = rc::Rc<cell::RefCell<collections::HashMap<net::SocketAddr, LinkState>>>;

/// Connections to peers, made when first needed.
#[derive(Clone, Default)]
pub struct PeerLinks {
    table: LinkTable,
    /// The generation of the latest link.
    latest: rc::Rc<cell::Cell<u64>>,
    /// Told when a connection was made or failed.
    connect_finished: rc::Rc<tokio::sync::Notify>,
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
fn deadline_in(timeout: time::Duration) -> tarpc::context::Context {
    let mut context = tarpc::context::current();
    context.deadline = time::Instant::now() + timeout;
    context
}

fn into_result<T>(response: Result<Option<T>, tarpc::client::RpcError>) -> Result<T, PeerError> {
    match response {
        Ok(Some(value)) => Ok(value),
        Err(tarpc::client::RpcError::DeadlineExceeded) => Err(PeerError::TimedOut),
        Ok(None) | Err(_) => Err(PeerError::Unreachable),
    }
}

/// Calls a peer, and says why there is no answer.
macro_rules! call_peer {
    ($links:expr, $peer:expr, $timeout:expr, $method:ident($($argument:expr),*)) => {{
        let client = $links.connected($peer).ok_or(PeerError::NotSent)?;
        into_result(client.$method(deadline_in($timeout), $($argument),*).await)
    }};
}

/// Tells a peer something that has no answer; what is lost is made up for otherwise.
macro_rules! notify_peer {
    ($links:expr, $peer:expr, $method:ident($argument:expr)) => {{
        let Some(client) = $links.connected($peer) else {
            return;
        };
        actix_rt::spawn(async move {
            let sent = client.$method(deadline_in(members::PEER_TIMEOUT), $argument);
            if let Err(e) = sent.await {
                log::debug!(
                    "event=message_lost kind={} why=\"{e}\"",
                    stringify!($method)
                );
            }
        });
    }};
}

/// Tells a peer something until it has heard it, or a permit would have expired.
///
/// Said twice it does no harm. A place that is held for nobody is missed by callers for
/// as long as a permit lives: sixteen of them fill a service of two endpoints.
macro_rules! notify_with_retry {
    ($links:expr, $peer:expr, $method:ident($argument:expr)) => {{
        let links = $links.clone();
        actix_rt::spawn(async move {
            let started_at = clock::BootInstant::now();
            loop {
                links.try_connect($peer).await;
                if let Some(client) = links.connected($peer) {
                    let sent =
                        client.$method(deadline_in(members::PEER_TIMEOUT), $argument.clone());
                    match sent.await {
                        Ok(()) => return,
                        Err(e) => log::debug!(
                            "event=message_lost kind={} why=\"{e}\"",
                            stringify!($method)
                        ),
                    }
                }
                if started_at.elapsed() >= permits::PERMIT_TTL {
                    return;
                }
                actix_rt::time::sleep(RECONNECT_DELAY).await;
            }
        });
    }};
}

impl PeerLinks {
    /// Exchanges heartbeats.
    ///
    /// # Errors
    /// The peer does not answer.
    pub async fn probe(
        &self,
        peer: net::SocketAddr,
        heartbeat: HeartbeatMessage,
        timeout: time::Duration,
    ) -> Result<HeartbeatMessage, PeerError> {
        call_peer!(self, peer, timeout, probe(heartbeat))
    }

    /// Draws tokens of a workspace from a keeper, or through a gateway that reaches it.
    ///
    /// # Errors
    /// The peer does not answer.
    pub async fn draw_tokens(
        &self,
        peer: net::SocketAddr,
        request: limit_messages::TokenRequest,
        timeout: time::Duration,
    ) -> Result<limit_messages::TokenResponse, PeerError> {
        call_peer!(self, peer, timeout, draw_tokens(request))
    }

    /// Asks an owner for a place.
    ///
    /// # Errors
    /// The peer does not answer.
    pub async fn acquire(
        &self,
        peer: net::SocketAddr,
        request: OnlineSlotRequest,
        timeout: time::Duration,
    ) -> Result<OnlineSlotResponse, PeerError> {
        call_peer!(self, peer, timeout, acquire(request))
    }

    /// Gives a place back, also where its owner is out of reach for a while: the place is
    /// held until it hears of it, or until the permit expires.
    pub fn release(&self, peer: net::SocketAddr, release: SlotRelease) {
        notify_with_retry!(self, peer, release(release));
    }

    /// Tells an owner of a failure at one of its endpoints.
    pub fn report(&self, peer: net::SocketAddr, report: EndpointReport) {
        notify_peer!(self, peer, report(report));
    }

    /// Tells an owner of a request under which an endpoint ended, or that was served since.
    pub fn crash_news(&self, peer: net::SocketAddr, update: crash_ledger::CrashUpdate) {
        notify_peer!(self, peer, crash_news(update));
    }

    /// Asks for all that a peer knows of such requests: up to 200 KB, which is waited for
    /// as long as it comes on.
    ///
    /// # Errors
    /// The peer does not answer.
    pub async fn crashes(
        &self,
        peer: net::SocketAddr,
        idle: time::Duration,
    ) -> Result<Vec<crash_ledger::CrashUpdate>, PeerError> {
        let request = async { call_peer!(self, peer, LIST_TIMEOUT, crashes()) };
        tokio::select! {
            response = request => response,
            () = self.wait_until_idle(peer, idle) => Err(PeerError::TimedOut),
        }
    }

    /// Asks for a part of the desired state.
    ///
    /// # Errors
    /// The peer does not answer, or knows no desired state.
    pub async fn state_part(
        &self,
        peer: net::SocketAddr,
        request: state_snapshot::StatePartRequest,
        timeout: time::Duration,
    ) -> Result<state_snapshot::StatePart, PeerError> {
        call_peer!(self, peer, timeout, state_part(request))
    }

    /// Asks for the list of endpoints, and waits as long as something comes on the
    /// link: the list may be as large as the link is busy.
    ///
    /// # Errors
    /// The peer does not answer.
    pub async fn endpoints(
        &self,
        peer: net::SocketAddr,
        idle: time::Duration,
    ) -> Result<directory::DirectorySnapshot, PeerError> {
        let request = async { call_peer!(self, peer, LIST_TIMEOUT, endpoints()) };
        tokio::select! {
            response = request => response,
            () = self.wait_until_idle(peer, idle) => Err(PeerError::TimedOut),
        }
    }

    /// Asks for the processes that a peer knows.
    ///
    /// # Errors
    /// The peer does not answer.
    pub async fn members(
        &self,
        peer: net::SocketAddr,
        timeout: time::Duration,
    ) -> Result<Vec<members::MemberRecord>, PeerError> {
        call_peer!(self, peer, timeout, members())
    }

    /// Hands a job over; says whether it is done already.
    ///
    /// # Errors
    /// The peer does not answer.
    pub async fn take_job(
        &self,
        peer: net::SocketAddr,
        record: job_records::JobRecord,
        timeout: time::Duration,
    ) -> Result<bool, PeerError> {
        call_peer!(self, peer, timeout, take_job(record))
    }

    /// Has an owner read a job from the store and take it over; says whether it is done
    /// already.
    ///
    /// # Errors
    /// The peer does not answer.
    pub async fn find_job(
        &self,
        peer: net::SocketAddr,
        job: ids::JobId,
        timeout: time::Duration,
    ) -> Result<bool, PeerError> {
        call_peer!(self, peer, timeout, find_job(job))
    }

    /// Hands a part of the progress of a job over; says whether it fits to what came before.
    ///
    /// # Errors
    /// The peer does not answer.
    pub async fn keep_progress(
        &self,
        peer: net::SocketAddr,
        part: progress_transfer::ProgressPart,
        timeout: time::Duration,
    ) -> Result<bool, PeerError> {
        call_peer!(self, peer, timeout, keep_progress(part))
    }

    /// Reads committed results.
    ///
    /// # Errors
    /// The peer does not answer.
    pub async fn read_results(
        &self,
        peer: net::SocketAddr,
        request: ResultRequest,
        timeout: time::Duration,
    ) -> Result<wire::ResultPage, PeerError> {
        call_peer!(self, peer, timeout, read_results(request))
    }

    /// Tells that a job was ended; the mark in the store says the same.
    pub fn end_job(&self, peer: net::SocketAddr, job: ids::JobId) {
        notify_peer!(self, peer, end_job(job));
    }

    /// Asks an owner for places for batch streams.
    ///
    /// # Errors
    /// The peer does not answer.
    pub async fn lend(
        &self,
        peer: net::SocketAddr,
        request: BatchSlotRequest,
        timeout: time::Duration,
    ) -> Result<Vec<BorrowedSlot>, PeerError> {
        call_peer!(self, peer, timeout, lend(request))
    }

    /// Gives a place of a batch stream back, also where its owner is out of reach for a while.
    pub fn give_back(&self, peer: net::SocketAddr, slot: BorrowedSlot) {
        notify_with_retry!(self, peer, give_back(slot));
    }

    /// Gives back what may have been lent to a question whose answer did not come.
    pub fn cancel_lent(&self, peer: net::SocketAddr, number: u64) {
        notify_with_retry!(self, peer, cancel_lent(number));
    }

    /// Takes a place of a batch stream back.
    pub fn preempt(&self, peer: net::SocketAddr, slot: BorrowedSlot) {
        notify_peer!(self, peer, preempt(slot));
    }

    /// Has a peer write an accepted job.
    ///
    /// # Errors
    /// The peer does not answer: it may write the job yet, unless it was never reached.
    pub async fn write_job(
        &self,
        peer: net::SocketAddr,
        record: job_records::JobRecord,
        timeout: time::Duration,
    ) -> Result<WriteOutcome, PeerError> {
        call_peer!(self, peer, timeout, write_job(record))
    }

    /// Has a peer write the end of a job.
    ///
    /// # Errors
    /// The peer does not answer: it may write the end yet.
    pub async fn write_end(
        &self,
        peer: net::SocketAddr,
        job: ids::JobId,
        timeout: time::Duration,
    ) -> Result<WriteOutcome, PeerError> {
        call_peer!(self, peer, timeout, write_end(job))
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
            Some(LinkState::Connected(link)) => return Some(link.client.clone()),
            Some(LinkState::Connecting(_)) => return None,
            Some(LinkState::Failed(at)) if at.elapsed() < RECONNECT_DELAY => return None,
            _ => {}
        }
        let generation = self.next_generation();
        table.insert(peer, LinkState::Connecting(generation));
        drop(table);
        actix_rt::spawn(connect(self.clone(), peer, generation));
        None
    }

    fn next_generation(&self) -> LinkGeneration {
        self.latest.set(self.latest.get() + 1);
        LinkGeneration(self.latest.get())
    }

    /// Ends once nothing has come on the link to a peer for so long, from now on.
    async fn wait_until_idle(&self, peer: net::SocketAddr, limit: time::Duration) {
        let mut last_received = clock::BootInstant::now();
        while last_received.elapsed() < limit {
            actix_rt::time::sleep(limit.saturating_sub(last_received.elapsed())).await;
            if let Some(LinkState::Connected(link)) = self.table.borrow().get(&peer) {
                last_received = last_received.max(link.last_received_at.get());
            }
        }
    }

    /// Begins to connect to a peer if there is need, and waits for the outcome.
    pub async fn try_connect(&self, peer: net::SocketAddr) {
        if self.connected(peer).is_some() {
            return;
        }
        let is_connecting = || {
            let table = self.table.borrow();
            matches!(table.get(&peer), Some(LinkState::Connecting(_)))
        };
        while is_connecting() {
            self.connect_finished.notified().await;
        }
    }

    /// Connects to a peer that is about to answer, as it has just started: says
    /// whether it does within a while.
    pub async fn connect_within(&self, peer: net::SocketAddr, timeout: time::Duration) -> bool {
        let started_at = clock::BootInstant::now();
        loop {
            self.try_connect(peer).await;
            if self.is_connected(peer) || started_at.elapsed() >= timeout {
                return self.is_connected(peer);
            }
            actix_rt::time::sleep(RECONNECT_DELAY / 4).await;
        }
    }

    /// Notes what became of a link, unless another has taken its place.
    fn record(&self, peer: net::SocketAddr, generation: LinkGeneration, state: LinkState) {
        let mut table = self.table.borrow_mut();
        let known = table.get(&peer).and_then(LinkState::generation);
        if known != Some(generation) {
            return;
        }
        table.insert(peer, state);
        drop(table);
        self.connect_finished.notify_waiters();
    }

    /// Ends the connection to a peer that left a probe without an answer, so that
    /// a new one is made; calls under way on it fail at once.
    ///
    /// A connection on which something else came meanwhile is kept, and so is one
    /// that was made after the probe went out.
    pub fn close_if_silent(&self, peer: net::SocketAddr) {
        let mut table = self.table.borrow_mut();
        let Some(LinkState::Connected(link)) = table.get(&peer) else {
            return;
        };
        let idle = link.last_received_at.get().elapsed();
        let generation = link.generation.0;
        if idle < LINK_IDLE_TIMEOUT {
            log::debug!("event=peer_link_busy peer={peer} generation={generation}");
            return;
        }
        let silent_ms = idle.as_millis();
        log::info!("event=peer_link_silent peer={peer} generation={generation} ms={silent_ms}");
        table.insert(peer, LinkState::failed());
    }
}

async fn open(peer: net::SocketAddr) -> io::Result<tokio::net::TcpStream> {
    let connecting = async {
        let socket = tokio::net::TcpStream::connect(peer).await?;
        socket.set_nodelay(true)?;
        Ok(socket)
    };
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
    connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// Makes a link and carries it, until it is lost or given up.
async fn connect(links: PeerLinks, peer: net::SocketAddr, generation: LinkGeneration) {
    let socket = match open(peer).await {
        Ok(socket) => socket,
        Err(e) => {
            log::debug!("event=peer_unreached peer={peer} why=\"{e}\"");
            return links.record(peer, generation, LinkState::failed());
        }
    };
    let last_received_at = rc::Rc::new(cell::Cell::new(clock::BootInstant::now()));
    let received_at = last_received_at.clone();
    let socket =
        io_util::InspectReader::new(socket, move |_| received_at.set(clock::BootInstant::now()));
    let codec = tarpc::tokio_serde::formats::Bincode::default();
    let transport = tarpc::serde_transport::new(frames().new_framed(socket), codec);
    let spawned = PeerServiceClient::new(tarpc::client::Config::default(), transport);
    let (closing, closed) = oneshot::channel();
    let link = OpenLink {
        generation,
        client: spawned.client,
        last_received_at,
        _closing: closing,
    };
    links.record(peer, generation, LinkState::Connected(link));
    tokio::select! {
        ended = spawned.dispatch => {
            log::info!("event=peer_link_lost peer={peer} why=\"{ended:?}\"");
            links.record(peer, generation, LinkState::failed());
        }
        // Given up; dropping the dispatch closes the socket.
        _ = closed => {}
    }
}
