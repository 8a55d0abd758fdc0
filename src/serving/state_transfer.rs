//! Fetches a newer desired state from peers: one transfer at a time, in parts.
//!
//! A timeout for the whole would have to know how large the state is and how
//! narrow the link; transfers that it ends fill the link without any use. Here
//! it bounds one part, what has come is kept over failures, and nothing is
//! asked for twice.

use std::{cell, net, rc, time};

use rand::seq::IndexedRandom as _;

use super::{context, fleet_source, peer_links, single_flight, state_snapshot};
use crate::clock;

/// Longest wait for a part; it takes 2 ms of a link of 30 Mbit/s, and 270 ms of
/// one that carries 30 KB/s.
const PART_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// A peer whose part took longer is left for another that has the state: a
/// slowed process would make a transfer of 15 parts last for seconds. A part
/// takes 4 to 8 ms where nothing is slow.
const SLOW_PART_THRESHOLD: time::Duration = time::Duration::from_millis(100);

/// Peers that may fail in a row, and copies that may be begun anew, before the
/// transfer waits for the next heartbeat, 250 ms at most.
const MAX_FAILURES: u32 = 3;

/// What a process keeps for transfers of the desired state.
#[derive(Debug, Default)]
pub struct StateTransfer {
    /// Copies for peers.
    pub cache: state_snapshot::SnapshotCache,
    incoming: cell::RefCell<state_snapshot::IncomingSnapshot>,
    flight: single_flight::SingleFlight,
}

/// How a transfer goes on after a part.
enum NextStep {
    /// With this peer.
    From(net::SocketAddr),
    /// Not at all, for now.
    Stop,
}

/// A transfer under way.
struct TransferRun {
    context: rc::Rc<context::ProcessContext>,
    started_at: clock::BootInstant,
    parts: u32,
    failures: u32,
    /// The peer that gave the latest part.
    source: Option<net::SocketAddr>,
    /// Whether only the source is asked: others do not have the copy that is coming in.
    is_pinned: bool,
    /// Copies that were begun anew, as no peer had the one that was coming in.
    restarts: u32,
}

/// Fetches the desired state, beginning with a peer that said it has a newer one.
///
/// Does nothing while a transfer is under way.
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

    /// Drops what came of a state that is not newer any more.
    fn drop_outdated(&self) {
        let known = self.context.fleet.table().version();
        let mut incoming = self.incoming();
        if incoming.version().is_some_and(|version| version <= known) {
            incoming.clear();
        }
    }

    /// Asks a peer for one part.
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

    /// A part of another copy: goes back to the peer that has the copy that is
    /// coming in; if there is none, the other copy is taken.
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

    /// Goes on with another peer, if there is one.
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

    /// The same peer, or after a slow part another one.
    fn next_peer(&self, peer: net::SocketAddr, duration: time::Duration) -> net::SocketAddr {
        if duration < SLOW_PART_THRESHOLD || self.is_pinned {
            return peer;
        }
        self.other_peer(peer).unwrap_or(peer)
    }

    /// A live peer with a newer state, other than this one.
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
