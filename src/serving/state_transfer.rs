//! Fetches a newer desired state from peers: one transfer at a time, in parts.
//!
//! A timeout for the whole transfer would have to account for the size of the state and
//! the bandwidth of the link, and transfers that it aborts would fill the link in vain.
//! The timeout here applies to one part. Received parts are kept over failures, and none
//! is requested twice.

use std::{cell, net, rc, time};

use rand::seq::IndexedRandom as _;

use super::{context, fleet_source, peer_links, single_flight, state_snapshot};
use crate::clock;

/// Timeout of a part, which takes 2 ms on a link of 30 Mbit/s, and 270 ms on one of 30
/// KB/s.
const PART_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Duration of a part beyond which another peer that has the state is used. A slow
/// process would make a transfer of 15 parts take seconds; a part takes 4 to 8 ms
/// otherwise.
const SLOW_PART_THRESHOLD: time::Duration = time::Duration::from_millis(100);

/// Maximum number of consecutive failures, and of restarts with another snapshot. After
/// that, the transfer waits for the next heartbeat, 250 ms at most.
const MAX_FAILURES: u32 = 3;

/// State of the transfers of a process.
#[derive(Debug, Default)]
pub struct StateTransfer {
    /// Snapshots that are sent to peers.
    pub cache: state_snapshot::SnapshotCache,
    incoming: cell::RefCell<state_snapshot::IncomingSnapshot>,
    flight: single_flight::SingleFlight,
}

/// Next step of a transfer after a part.
enum NextStep {
    /// Requests the next part from this peer.
    From(net::SocketAddr),
    /// Stops until the next heartbeat of a peer with a newer state.
    Stop,
}

/// Transfer in progress.
struct TransferRun {
    context: rc::Rc<context::ProcessContext>,
    started_at: clock::BootInstant,
    parts: u32,
    failures: u32,
    /// Peer that sent the latest part.
    source: Option<net::SocketAddr>,
    /// Whether parts are requested from `source` alone, because other peers do not have
    /// the snapshot.
    is_pinned: bool,
    /// Number of restarts because no peer had the snapshot any more.
    restarts: u32,
}

/// Fetches the desired state, starting with a peer that reported a newer one.
///
/// Does nothing while a transfer is in progress.
pub(super) async fn fetch(context: rc::Rc<context::ProcessContext>, peer: net::SocketAddr) {
    let Some(_guard) = context.state_transfer.flight.begin() else {
        return;
    };
    let mut run = TransferRun {
        started_at: clock::BootInstant::now(),
        parts: 0,
        failures: 0,
        source: None,
        is_pinned: false,
        restarts: 0,
        context,
    };
    run.drop_outdated();
    let mut peer = peer;
    while let NextStep::From(next) = run.step(peer).await {
        peer = next;
    }
}

impl TransferRun {
    fn incoming(&self) -> cell::RefMut<'_, state_snapshot::IncomingSnapshot> {
        self.context.state_transfer.incoming.borrow_mut()
    }

    /// Discards the parts of a state that is no longer newer than the active one.
    fn drop_outdated(&self) {
        let known = self.context.fleet.table().version();
        let mut incoming = self.incoming();
        if incoming.version().is_some_and(|version| version <= known) {
            incoming.clear();
        }
    }

    /// Requests one part from a peer.
    async fn step(&mut self, peer: net::SocketAddr) -> NextStep {
        let links = self.context.links.clone();
        links.try_connect(peer).await;
        let request = self.incoming().next_request();
        let requested_at = clock::BootInstant::now();
        match links.state_part(peer, request, PART_TIMEOUT).await {
            Ok(part) => self.handle_part(peer, part, requested_at.elapsed()),
            Err(e) => self.switch_peer(peer, e),
        }
    }

    fn handle_part(
        &mut self,
        peer: net::SocketAddr,
        part: state_snapshot::StatePart,
        duration: time::Duration,
    ) -> NextStep {
        use state_snapshot::PartOutcome as O;

        self.count("state_taken", part.bytes.len());
        if part.copy.version <= self.context.fleet.table().version() {
            return NextStep::Stop;
        }
        let copy = part.copy;
        let added = self.incoming().add(part);
        match added {
            O::Added => {
                self.record_part(peer);
                NextStep::From(self.next_peer(peer, duration))
            }
            O::Complete(state) => {
                self.record_part(peer);
                self.apply_state(peer, copy, state);
                NextStep::Stop
            }
            O::Mismatched(part) => self.handle_mismatch(peer, part),
            O::Invalid(e) => {
                log::warn!("event=peer_state_unreadable peer={peer} copy={copy:?} why=\"{e}\"");
                self.incoming().clear();
                NextStep::Stop
            }
        }
    }

    fn record_part(&mut self, peer: net::SocketAddr) {
        self.parts += 1;
        self.failures = 0;
        self.source = Some(peer);
    }

    fn apply_state(
        &self,
        peer: net::SocketAddr,
        copy: state_snapshot::CopyId,
        state: super::route_table::DesiredState,
    ) {
        log::info!(
            "event=state_from_peer peer={peer} version={} bytes={} parts={} ms={}",
            copy.version,
            copy.total,
            self.parts,
            self.started_at.elapsed().as_millis()
        );
        let update = fleet_source::FleetUpdate::State(state);
        self.context.fleet.apply(update);
    }

    /// Handles a part of another snapshot: returns to the peer that has the snapshot in
    /// progress, or starts over with the other snapshot if there is none.
    fn handle_mismatch(
        &mut self,
        peer: net::SocketAddr,
        part: state_snapshot::StatePart,
    ) -> NextStep {
        if let Some(source) = self.source.filter(|source| *source != peer) {
            self.is_pinned = true;
            return NextStep::From(source);
        }
        self.incoming().clear();
        if part.offset > 0 || self.restarts >= MAX_FAILURES {
            return NextStep::Stop;
        }
        self.restarts += 1;
        let added = self.incoming().add(part);
        match added {
            state_snapshot::PartOutcome::Added => {
                self.record_part(peer);
                NextStep::From(peer)
            }
            _ => NextStep::Stop,
        }
    }

    /// Continues with another peer after a failure, if there is one.
    fn switch_peer(&mut self, peer: net::SocketAddr, reason: peer_links::PeerError) -> NextStep {
        self.count("state_missing", 0);
        log::info!("event=peer_state_missing peer={peer} why=\"{reason}\"");
        self.failures += 1;
        if self.source == Some(peer) {
            self.source = None;
            self.is_pinned = false;
        }
        if self.failures > MAX_FAILURES {
            return NextStep::Stop;
        }
        match self.other_peer(peer) {
            Some(other) => NextStep::From(other),
            None => NextStep::Stop,
        }
    }

    /// Returns the same peer, or another one after a slow part.
    fn next_peer(&self, peer: net::SocketAddr, duration: time::Duration) -> net::SocketAddr {
        if duration < SLOW_PART_THRESHOLD || self.is_pinned {
            return peer;
        }
        self.other_peer(peer).unwrap_or(peer)
    }

    /// Returns a random responding peer with a newer state, other than the given one.
    fn other_peer(&self, peer: net::SocketAddr) -> Option<net::SocketAddr> {
        let known = self.context.fleet.table().version();
        let now = self.context.clock.now();
        let members = self.context.members.borrow();
        let newer = members.addresses_with_newer_state(known, now);
        let others: Vec<_> = newer.filter(|address| *address != peer).collect();
        others.choose(&mut rand::rng()).copied()
    }

    fn count(&self, outcome: &str, bytes: usize) {
        let metrics = &self.context.metrics;
        metrics.view_reads.with_label_values(&[outcome]).inc();
        metrics.state_bytes.inc_by(bytes as u64);
    }
}
