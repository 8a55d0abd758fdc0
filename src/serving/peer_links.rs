//! Client side of the links between processes.

use std::{cell, collections, convert, io, net, rc, time};

use tokio::sync::oneshot;
use tokio_util::{codec::length_delimited, io as io_util};

use super::{
    directory, job_records, members,
    peers::{
        BatchSlotRequest, BorrowedSlot, EndpointReport, HeartbeatMessage, OnlineSlotRequest,
        OnlineSlotResponse, OriginMessage, OriginQuery, OriginReply, PeerServiceClient,
        ProgressPart, ResultRequest, SlotRelease, SoleSoftware, WriteOutcome,
    },
    permits, state_snapshot, wire,
    workspaces::limit_messages,
};
use crate::{clock, decisions::crash_ledger, ids};

/// Timeout of connecting to a peer.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Time without received bytes after which a probe timeout closes the link; it equals the
/// probe timeout. A link that is busy with a large response receives bytes meanwhile, and
/// a new link would have to start the transfer again.
const LINK_IDLE_TIMEOUT: time::Duration = time::Duration::from_millis(400);

/// Timeout of a list transfer that makes progress, as a bound for one that never ends:
/// 1,600 endpoints, 87 KB, take 4.4 s at 20 KB/s.
const LIST_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Delay after a failed connection.
pub(super) const RECONNECT_DELAY: time::Duration = time::Duration::from_millis(200);

/// Maximum size of a message in bytes: a job or its results with some reserve.
const MAX_FRAME_BYTES: usize = 8 << 20;

pub(super) fn frames() -> length_delimited::Builder {
    let mut builder = length_delimited::LengthDelimitedCodec::builder();
    builder.max_frame_length(MAX_FRAME_BYTES);
    builder
}

/// Distinguishes successive links to one peer, because an old one may end after its
/// successor was opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LinkGeneration(u64);

/// Open connection to a peer.
struct OpenLink {
    generation: LinkGeneration,
    client: PeerServiceClient,
    /// When bytes were last received; initially the time of connecting.
    last_received_at: rc::Rc<cell::Cell<clock::BootInstant>>,
    /// Closes the link's task when the link is dropped.
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

/// Connections to peers, opened on first use.
#[derive(Clone, Default)]
pub struct PeerLinks {
    table: LinkTable,
    /// Generation of the latest link.
    latest: rc::Rc<cell::Cell<u64>>,
    /// Notified when a connection attempt succeeds or fails.
    connect_finished: rc::Rc<tokio::sync::Notify>,
}

/// Error of a call to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// There is no connection, so nothing was sent.
    #[error("there is no connection to the peer")]
    NotSent,
    /// The connection was lost before the response.
    #[error("the peer cannot be reached")]
    Unreachable,
    /// The peer did not respond in time.
    #[error("the peer did not respond in time")]
    TimedOut,
}

/// Returns a call context with a deadline.
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

/// Calls a peer and returns its response or the error.
macro_rules! call_peer {
    ($links:expr, $peer:expr, $timeout:expr, $method:ident($($argument:expr),*)) => {{
        let client = $links.connected($peer).ok_or(PeerError::NotSent)?;
        into_result(client.$method(deadline_in($timeout), $($argument),*).await)
    }};
}

/// Like [`call_peer`], but connects first: in a large fleet a process is linked to a few
/// peers only, and the ones that it calls for a request are often others.
macro_rules! connect_and_call {
    ($links:expr, $peer:expr, $timeout:expr, $method:ident($($argument:expr),*)) => {{
        let context = deadline_in($timeout);
        $links.connect_before($peer, context.deadline).await;
        let client = $links.connected($peer).ok_or(PeerError::NotSent)?;
        into_result(client.$method(context, $($argument),*).await)
    }};
}

/// Sends a peer a message without a response. Lost messages are made up for by other
/// means, such as a timeout or a later read.
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

/// Sends a peer a message repeatedly until it is delivered or a permit would have
/// expired.
///
/// The messages are idempotent. A slot whose release is lost stays unavailable for the
/// TTL of a permit: sixteen of them fill a service of two endpoints.
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
    /// The peer does not respond.
    pub async fn probe(
        &self,
        peer: net::SocketAddr,
        heartbeat: HeartbeatMessage,
        timeout: time::Duration,
    ) -> Result<HeartbeatMessage, PeerError> {
        call_peer!(self, peer, timeout, probe(heartbeat))
    }

    /// Requests tokens of a workspace from a quota server, or from a gateway that can
    /// reach it.
    ///
    /// # Errors
    /// The peer does not respond.
    pub async fn draw_tokens(
        &self,
        peer: net::SocketAddr,
        request: limit_messages::TokenRequest,
        timeout: time::Duration,
    ) -> Result<limit_messages::TokenResponse, PeerError> {
        call_peer!(self, peer, timeout, draw_tokens(request))
    }

    /// Requests a slot from an owner.
    ///
    /// # Errors
    /// The peer does not respond.
    pub async fn acquire(
        &self,
        peer: net::SocketAddr,
        request: OnlineSlotRequest,
        timeout: time::Duration,
    ) -> Result<OnlineSlotResponse, PeerError> {
        connect_and_call!(self, peer, timeout, acquire(request))
    }

    /// Sends the origin of a stream; returns which services have one software version.
    ///
    /// # Errors
    /// The peer does not respond.
    pub async fn keep_origin(
        &self,
        peer: net::SocketAddr,
        message: OriginMessage,
        timeout: time::Duration,
    ) -> Result<Vec<SoleSoftware>, PeerError> {
        connect_and_call!(self, peer, timeout, keep_origin(message))
    }

    /// Asks for the origin of a stream.
    ///
    /// # Errors
    /// The peer does not respond.
    pub async fn find_origin(
        &self,
        peer: net::SocketAddr,
        query: OriginQuery,
        timeout: time::Duration,
    ) -> Result<OriginReply, PeerError> {
        connect_and_call!(self, peer, timeout, find_origin(query))
    }

    /// Requests a slot from an owner on behalf of a peer that is cut off from it.
    ///
    /// # Errors
    /// The peer does not respond.
    pub async fn acquire_relayed(
        &self,
        peer: net::SocketAddr,
        request: OnlineSlotRequest,
        timeout: time::Duration,
    ) -> Result<OnlineSlotResponse, PeerError> {
        connect_and_call!(self, peer, timeout, acquire_relayed(request))
    }

    /// Releases a slot, retrying while its owner is unreachable: the owner holds the slot
    /// until the release arrives or the permit expires.
    pub fn release(&self, peer: net::SocketAddr, release: SlotRelease) {
        notify_with_retry!(self, peer, release(release));
    }

    /// Reports an observation of an endpoint to its owner.
    pub fn report(&self, peer: net::SocketAddr, report: EndpointReport) {
        notify_peer!(self, peer, report(report));
    }

    /// Reports a request during which an endpoint crashed, or that was served since.
    pub fn crash_news(&self, peer: net::SocketAddr, message: crash_ledger::CrashMessage) {
        notify_peer!(self, peer, crash_news(message));
    }

    /// Requests the trial of a request that is suspected of crashing endpoints; returns
    /// whether it is granted.
    ///
    /// # Errors
    /// The peer does not respond.
    pub async fn claim_trial(
        &self,
        peer: net::SocketAddr,
        message: crash_ledger::CrashMessage,
        timeout: time::Duration,
    ) -> Result<bool, PeerError> {
        connect_and_call!(self, peer, timeout, claim_trial(message))
    }

    /// Returns a trial that did not run.
    pub fn return_trial(&self, peer: net::SocketAddr, subject: ids::CrashSubject) {
        notify_peer!(self, peer, return_trial(subject));
    }

    /// Requests all records about such requests: up to 200 KB, for which the call waits
    /// as long as bytes arrive.
    ///
    /// # Errors
    /// The peer does not respond.
    pub async fn crashes(
        &self,
        peer: net::SocketAddr,
        idle: time::Duration,
    ) -> Result<Vec<crash_ledger::CrashMessage>, PeerError> {
        let request = async { call_peer!(self, peer, LIST_TIMEOUT, crashes()) };
        tokio::select! {
            response = request => response,
            () = self.wait_until_idle(peer, idle) => Err(PeerError::TimedOut),
        }
    }

    /// Requests a part of the desired state.
    ///
    /// # Errors
    /// The peer does not respond, or has no desired state.
    pub async fn state_part(
        &self,
        peer: net::SocketAddr,
        request: state_snapshot::StatePartRequest,
        timeout: time::Duration,
    ) -> Result<state_snapshot::StatePart, PeerError> {
        call_peer!(self, peer, timeout, state_part(request))
    }

    /// Requests the changes of the list of endpoints since a revision, or the whole list,
    /// and waits as long as bytes arrive on the link: the list may be large, or the link
    /// busy.
    ///
    /// # Errors
    /// The peer does not respond, or sends whole lists to others just now.
    pub async fn endpoints(
        &self,
        peer: net::SocketAddr,
        since: u64,
        idle: time::Duration,
    ) -> Result<directory::DirectoryUpdate, PeerError> {
        let request = async { call_peer!(self, peer, LIST_TIMEOUT, endpoints(since)) };
        tokio::select! {
            response = request => response,
            () = self.wait_until_idle(peer, idle) => Err(PeerError::TimedOut),
        }
    }

    /// Requests the member records of a peer.
    ///
    /// # Errors
    /// The peer does not respond.
    pub async fn members(
        &self,
        peer: net::SocketAddr,
        timeout: time::Duration,
    ) -> Result<Vec<members::MemberRecord>, PeerError> {
        call_peer!(self, peer, timeout, members())
    }

    /// Hands off a job; returns whether it has already completed.
    ///
    /// # Errors
    /// The peer does not respond.
    pub async fn take_job(
        &self,
        peer: net::SocketAddr,
        record: job_records::JobRecord,
        timeout: time::Duration,
    ) -> Result<bool, PeerError> {
        connect_and_call!(self, peer, timeout, take_job(record))
    }

    /// Hands off a job that this process has just created and sent to no other owner;
    /// returns whether it has already completed.
    ///
    /// # Errors
    /// The peer does not respond.
    pub async fn take_new_job(
        &self,
        peer: net::SocketAddr,
        record: job_records::JobRecord,
        timeout: time::Duration,
    ) -> Result<bool, PeerError> {
        connect_and_call!(self, peer, timeout, take_new_job(record))
    }

    /// Requests that an owner reads a job from the store and takes it over; returns
    /// whether it has already completed.
    ///
    /// # Errors
    /// The peer does not respond.
    pub async fn find_job(
        &self,
        peer: net::SocketAddr,
        job: ids::JobId,
        timeout: time::Duration,
    ) -> Result<bool, PeerError> {
        call_peer!(self, peer, timeout, find_job(job))
    }

    /// Sends a part of the progress of a job; returns whether it continues the previous
    /// parts.
    ///
    /// # Errors
    /// The peer does not respond.
    pub async fn keep_progress(
        &self,
        peer: net::SocketAddr,
        part: ProgressPart,
        timeout: time::Duration,
    ) -> Result<bool, PeerError> {
        call_peer!(self, peer, timeout, keep_progress(part))
    }

    /// Reads committed results.
    ///
    /// # Errors
    /// The peer does not respond.
    pub async fn read_results(
        &self,
        peer: net::SocketAddr,
        request: ResultRequest,
        timeout: time::Duration,
    ) -> Result<wire::ResultPage, PeerError> {
        connect_and_call!(self, peer, timeout, read_results(request))
    }

    /// Notifies a peer that a job was ended, and waits for the acknowledgement.
    ///
    /// # Errors
    /// The peer does not respond.
    pub async fn end_job(
        &self,
        peer: net::SocketAddr,
        job: ids::JobId,
        timeout: time::Duration,
    ) -> Result<(), PeerError> {
        let context = deadline_in(timeout);
        self.connect_before(peer, context.deadline).await;
        let client = self.connected(peer).ok_or(PeerError::NotSent)?;
        into_result(client.end_job(context, job).await.map(Some))
    }

    /// Requests batch slots from an owner.
    ///
    /// # Errors
    /// The peer does not respond.
    pub async fn lend(
        &self,
        peer: net::SocketAddr,
        request: BatchSlotRequest,
        timeout: time::Duration,
    ) -> Result<Vec<BorrowedSlot>, PeerError> {
        connect_and_call!(self, peer, timeout, lend(request))
    }

    /// Returns a borrowed batch slot, retrying while its owner is unreachable.
    pub fn give_back(&self, peer: net::SocketAddr, slot: BorrowedSlot) {
        notify_with_retry!(self, peer, give_back(slot));
    }

    /// Returns the slots that may have been lent for a request whose response was lost.
    pub fn cancel_lent(&self, peer: net::SocketAddr, number: u64) {
        notify_with_retry!(self, peer, cancel_lent(number));
    }

    /// Preempts a batch stream, retrying while its owner is unreachable: until it ends, its
    /// endpoint has one request more than slots.
    pub fn preempt(&self, peer: net::SocketAddr, slot: BorrowedSlot) {
        notify_with_retry!(self, peer, preempt(slot));
    }

    /// Requests that a peer writes an accepted job.
    ///
    /// # Errors
    /// The peer does not respond. It may still write the job, unless nothing was sent.
    pub async fn write_job(
        &self,
        peer: net::SocketAddr,
        record: job_records::JobRecord,
        timeout: time::Duration,
    ) -> Result<WriteOutcome, PeerError> {
        call_peer!(self, peer, timeout, write_job(record))
    }

    /// Requests that a peer writes the end of a job.
    ///
    /// # Errors
    /// The peer does not respond. It may still write the end.
    pub async fn write_end(
        &self,
        peer: net::SocketAddr,
        job: ids::JobId,
        timeout: time::Duration,
    ) -> Result<WriteOutcome, PeerError> {
        call_peer!(self, peer, timeout, write_end(job))
    }

    /// Returns whether there is a connection to a peer.
    pub fn is_connected(&self, peer: net::SocketAddr) -> bool {
        matches!(
            self.table.borrow().get(&peer),
            Some(LinkState::Connected(_))
        )
    }

    /// Returns the client of a connected peer; otherwise starts to connect.
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

    /// Resolves when no bytes have been received from a peer for `limit`, counted from
    /// now.
    async fn wait_until_idle(&self, peer: net::SocketAddr, limit: time::Duration) {
        let mut last_received = clock::BootInstant::now();
        while last_received.elapsed() < limit {
            actix_rt::time::sleep(limit.saturating_sub(last_received.elapsed())).await;
            if let Some(LinkState::Connected(link)) = self.table.borrow().get(&peer) {
                last_received = last_received.max(link.last_received_at.get());
            }
        }
    }

    /// Connects to a peer if necessary, and waits for the outcome of the attempt.
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

    /// Connects to a peer if necessary, and gives up at a deadline.
    async fn connect_before(&self, peer: net::SocketAddr, deadline: time::Instant) {
        let connecting = self.try_connect(peer);
        if tokio::time::timeout_at(deadline.into(), connecting)
            .await
            .is_err()
        {
            log::debug!("event=peer_connection_awaited peer={peer}");
        }
    }

    /// Connects to a peer that is just starting, with retries. Returns whether it
    /// succeeds within the timeout.
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

    /// Records the new state of a link, unless a newer link has replaced it.
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

    /// Closes the connection to a peer that did not respond to a probe, so that a new one
    /// is opened; pending calls on it fail at once.
    ///
    /// A connection on which bytes arrived recently is kept, which includes one that was
    /// opened after the probe was sent.
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

/// Opens a link and drives it until it is lost or closed.
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
    let new_client = PeerServiceClient::new(tarpc::client::Config::default(), transport);
    let (closing, closed) = oneshot::channel();
    let link = OpenLink {
        generation,
        client: new_client.client,
        last_received_at,
        _closing: closing,
    };
    links.record(peer, generation, LinkState::Connected(link));
    tokio::select! {
        ended = new_client.dispatch => {
            log::info!("event=peer_link_lost peer={peer} why=\"{ended:?}\"");
            links.record(peer, generation, LinkState::failed());
        }
        // Closed locally; dropping the dispatch closes the socket.
        _ = closed => {}
    }
}
