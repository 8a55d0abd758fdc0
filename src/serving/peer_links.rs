//! The side of a link that asks.

use std::{cell, collections, io, net, rc, time};

use tokio_util::codec::length_delimited;

use super::{
    directory, job_checkpoints, job_records, members,
    peers::{
        EndpointReport, LoanAsk, PeerHello, PeerServiceClient, PlaceAnswer, PlaceAsk, PlaceRelease,
        ResultAsk, StreamLoan, WriteOutcome,
    },
    state_copy, wire,
};
use crate::ids;

/// Longest wait for a connection to a peer.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Pause after a failed connection.
pub(super) const RECONNECT_PAUSE: time::Duration = time::Duration::from_millis(200);

/// Largest message, in bytes: a job or its results with some spare.
const MAX_FRAME_BYTES: usize = 8 << 20;

pub(super) fn frames() -> length_delimited::Builder {
    let mut builder = length_delimited::LengthDelimitedCodec::builder();
    builder.max_frame_length(MAX_FRAME_BYTES);
    builder
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
    /// Told when a connection was made or failed.
    settled: rc::Rc<tokio::sync::Notify>,
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
    pub fn release(&self, peer: net::SocketAddr, release: PlaceRelease) {
        tell_peer!(self, peer, release(release));
    }

    /// Tells an owner of a failure at one of its endpoints.
    pub fn report(&self, peer: net::SocketAddr, report: EndpointReport) {
        tell_peer!(self, peer, report(report));
    }

    /// Asks for a part of the desired state.
    ///
    /// # Errors
    /// The peer does not answer, or knows no desired state.
    pub async fn state_part(
        &self,
        peer: net::SocketAddr,
        ask: state_copy::StatePartAsk,
        patience: time::Duration,
    ) -> Result<state_copy::StatePart, PeerError> {
        call_peer!(self, peer, patience, state_part(ask))
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

    /// Hands the progress of a job over; says whether it fits to what came before.
    ///
    /// # Errors
    /// The peer does not answer.
    pub async fn keep_progress(
        &self,
        peer: net::SocketAddr,
        news: job_checkpoints::JobCheckpoint,
        patience: time::Duration,
    ) -> Result<bool, PeerError> {
        call_peer!(self, peer, patience, keep_progress(news))
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
        actix_rt::spawn(connect(self.clone(), peer));
        None
    }

    /// Begins to connect to a peer if there is need, and waits for the outcome.
    pub async fn settle(&self, peer: net::SocketAddr) {
        if self.connected(peer).is_some() {
            return;
        }
        let is_connecting = || {
            let table = self.table.borrow();
            matches!(table.get(&peer), Some(LinkState::Connecting))
        };
        while is_connecting() {
            self.settled.notified().await;
        }
    }

    /// Connects to a peer that is about to answer, as it has just started: says
    /// whether it does within a while.
    pub async fn reach(&self, peer: net::SocketAddr, patience: time::Duration) -> bool {
        let begun = time::Instant::now();
        loop {
            self.settle(peer).await;
            if self.is_connected(peer) || begun.elapsed() >= patience {
                return self.is_connected(peer);
            }
            actix_rt::time::sleep(RECONNECT_PAUSE / 4).await;
        }
    }

    fn note(&self, peer: net::SocketAddr, state: LinkState) {
        self.table.borrow_mut().insert(peer, state);
        self.settled.notify_waiters();
    }

    /// Ends the connection to a peer that does not answer, so that a new one is made.
    pub fn forget(&self, peer: net::SocketAddr) {
        let failed = LinkState::Failed(time::Instant::now());
        self.table.borrow_mut().insert(peer, failed);
    }
}

async fn connect(links: PeerLinks, peer: net::SocketAddr) {
    let failed = || LinkState::Failed(time::Instant::now());
    let opening = async {
        let socket = tokio::net::TcpStream::connect(peer).await?;
        socket.set_nodelay(true)?;
        io::Result::Ok(socket)
    };
    let socket = match tokio::time::timeout(CONNECT_TIMEOUT, opening).await {
        Ok(Ok(socket)) => socket,
        _ => return links.note(peer, failed()),
    };
    let codec = tarpc::tokio_serde::formats::Bincode::default();
    let transport = tarpc::serde_transport::new(frames().new_framed(socket), codec);
    let new = PeerServiceClient::new(tarpc::client::Config::default(), transport);
    links.note(peer, LinkState::Connected(new.client));
    let ended = new.dispatch.await;
    log::info!("event=peer_link_lost peer={peer} why=\"{ended:?}\"");
    links.note(peer, failed());
}
