//! Shares the origins of streams between processes.
//!
//! The process that relays the first event of a stream sends its origin to two holders, which
//! follow from the key of the stream. Whoever is to resume the stream asks them. While the
//! endpoints of the service have several software versions, the event goes on to the caller
//! once a holder has confirmed; while they have one, it does not wait, as nobody has to ask.
//!
//! In a large fleet a process is linked to a few dispatchers only; one of them passes
//! messages and questions on.

use std::{collections, net, rc, time};

use futures::{stream, StreamExt as _};

use super::{
    context, continuations, directory, origin_file, peers, queried_owners, start_check,
    stream_origins,
};
use crate::{
    clock,
    decisions::{origin_holders, ownership, version_history},
    ids,
};

/// Timeout of a message to a process that passes it on or may have to connect first.
const EXCHANGE_TIMEOUT: time::Duration = time::Duration::from_millis(80);

/// Maximum number of unshared origins that are sent at once.
const MAX_SHARED_AT_ONCE: usize = 64;

/// Duration after which a stream has ended or is not resumed any more, in route timeouts:
/// callers make a few tries, each of which ends with the timeout.
const LIFETIME_TIMEOUTS: u32 = 4;
/// Minimum of this duration.
const MIN_LIFETIME: time::Duration = time::Duration::from_secs(20);

/// Result of a search for the origin of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum FoundOrigin {
    /// It is known, from `source`.
    Known {
        record: stream_origins::OriginRecord,
        source: &'static str,
    },
    /// None of the processes that may know it does.
    Unknown,
    /// Some process that may know it has not answered.
    Unanswered,
}

/// Returns the software version that all streams of a service began at, if it is sure that
/// there was no other for as long as a stream lasts whose tries end after `timeout`.
pub(super) fn sure_version(
    context: &context::ProcessContext,
    service: &ids::ServiceName,
    timeout: time::Duration,
) -> Option<ids::SoftwareVersion> {
    if !is_list_current(context) || continuations::has_unlisted_start(context, service) {
        return None;
    }
    let lifetime = (timeout * LIFETIME_TIMEOUTS).max(MIN_LIFETIME);
    let directory = context.fleet.directory.borrow();
    let sole = directory.versions().sole(service)?;
    let age = context.clock.now().since(sole.since);
    (age >= lifetime).then(|| sole.version.clone())
}

/// Returns whether the list of endpoints is that of the fleet: it comes from the store, or from
/// peers in touch.
fn is_list_current(context: &context::ProcessContext) -> bool {
    let now = context.clock.now();
    let members = context.members.borrow();
    let is_alone = members.is_empty() && context.members_known.get();
    context.fleet.is_following() || is_alone || members.live(now).next().is_some()
}

/// Returns the services whose endpoints have one software version, by a current list.
pub(super) fn sole_software(context: &context::ProcessContext) -> Vec<peers::SoleSoftware> {
    if !is_list_current(context) {
        return Vec::new();
    }
    let now = context.clock.now();
    let directory = context.fleet.directory.borrow();
    let all = directory.versions().all_sole();
    let all = all.map(|(service, sole)| peers::SoleSoftware {
        software: directory::ServiceSoftware {
            service: service.clone(),
            version: sole.version.clone(),
        },
        age: (sole.since > clock::MonotonicTime::default()).then(|| now.since(sole.since)),
    });
    all.collect()
}

/// Extends the history of the software versions by what a peer knows.
fn inherit_versions(context: &context::ProcessContext, sole: Vec<peers::SoleSoftware>) {
    let now = context.clock.now();
    let mut directory = context.fleet.directory.borrow_mut();
    for peers::SoleSoftware { software, age } in sole {
        let earlier = version_history::SoleVersion {
            version: software.version,
            since: age.map_or_else(clock::MonotonicTime::default, |age| now.before(age)),
        };
        if directory
            .versions_mut()
            .inherit(&software.service, &earlier)
        {
            log::info!(
                "event=software_sole service={} software={} age_ms={} told_by=peer",
                software.service,
                earlier.version,
                age.map_or(-1, |age| age.as_millis() as i64)
            );
        }
    }
}

/// Keeps an origin that a peer sent, and passes it on to the holders if it asks for that.
pub(super) fn keep(context: &rc::Rc<context::ProcessContext>, message: peers::OriginMessage) {
    let peers::OriginMessage { record, passes_on } = message;
    let key = record.key;
    store(context, record.clone(), stream_origins::OriginReach::Shared);
    if !passes_on {
        return;
    }
    for (id, address) in holders(context, key) {
        let message = peers::OriginMessage {
            record: record.clone(),
            passes_on: false,
        };
        let context = context.clone();
        actix_rt::spawn(async move {
            let sent = context
                .links
                .keep_origin(address, message, EXCHANGE_TIMEOUT);
            if let Err(e) = sent.await {
                log::info!("event=origin_unkept stream={key} holder={id} why=\"{e}\"");
            }
        });
    }
}

/// Keeps an origin here, and on the disk if there is one.
fn store(
    context: &context::ProcessContext,
    record: stream_origins::OriginRecord,
    reach: stream_origins::OriginReach,
) {
    let is_shared = reach == stream_origins::OriginReach::Shared;
    if let Some(file) = context.origin_file.as_ref().filter(|_| is_shared) {
        let line = origin_file::OriginLine::Stream {
            key: record.key,
            origin: record.origin.clone(),
            expires_ms: clock::epoch_ms() + record.remaining.as_millis() as u64,
        };
        if !file.append(line) {
            log::debug!("event=origin_unwritten stream={}", record.key);
        }
    }
    context.origins.borrow_mut().insert(record, reach);
}

/// Records the origin of a stream whose first event has just come from an endpoint, and sends it
/// to its holders.
///
/// Waits until one of them keeps it if the service has several versions. The wait is bounded:
/// without a holder, only this process can resume the stream.
pub(super) async fn record(
    context: &rc::Rc<context::ProcessContext>,
    endpoint: &rc::Rc<directory::EndpointEntry>,
    record: stream_origins::OriginRecord,
    timeout: time::Duration,
) {
    let (key, software) = (record.key, record.origin.software.clone());
    let is_sure = sure_version(context, &software.service, timeout).is_some();
    store(
        context,
        record.clone(),
        stream_origins::OriginReach::Unshared,
    );
    let mut targets = targets(context, key);
    if is_sure && targets.iter().any(|target| target.passes_on) {
        // One relay reaches both holders. The second one only shortens the wait.
        targets.truncate(1);
    }
    let sharing = share_checked(context.clone(), endpoint.clone(), record, targets);
    let mut sharing = actix_rt::spawn(sharing);
    let counters = &context.metrics.stream_origins;
    if is_sure {
        return counters.with_label_values(&["unawaited"]).inc();
    }
    let shared = tokio::time::timeout(queried_owners::OWNER_TIMEOUT, &mut sharing).await;
    let outcome = match shared {
        Ok(Ok(true)) => "shared",
        Ok(_) => "unshared",
        Err(_) => "late",
    };
    counters.with_label_values(&[outcome]).inc();
    if outcome != "shared" {
        log::info!("event=origin_unshared stream={key} software={software} outcome={outcome}");
    }
}

/// Shares the origin of a stream that has just begun at an endpoint, with what the endpoint says of
/// its start.
async fn share_checked(
    context: rc::Rc<context::ProcessContext>,
    endpoint: rc::Rc<directory::EndpointEntry>,
    mut record: stream_origins::OriginRecord,
    targets: Vec<ExchangeTarget>,
) -> bool {
    start_check::check_beginning(&context, &endpoint).await;
    if continuations::is_unlisted(&context, &endpoint) {
        record.origin.is_unlisted = true;
        let (key, software) = (record.key, &record.origin.software);
        log::info!("event=origin_unlisted stream={key} software={software}");
        let reach = stream_origins::OriginReach::Unshared;
        context.origins.borrow_mut().insert(record.clone(), reach);
    }
    share(context, record, targets).await
}

/// Sends an origin to its holders; returns once one of them keeps it, or none does.
async fn share(
    context: rc::Rc<context::ProcessContext>,
    record: stream_origins::OriginRecord,
    targets: Vec<ExchangeTarget>,
) -> bool {
    let key = record.key;
    let sending = targets.into_iter().map(|target| {
        let context = context.clone();
        let message = peers::OriginMessage {
            record: record.clone(),
            passes_on: target.passes_on,
        };
        // Goes on after the first confirmation, so that both holders get it.
        actix_rt::spawn(async move {
            let sent = context
                .links
                .keep_origin(target.address, message, EXCHANGE_TIMEOUT);
            match sent.await {
                Ok(sole) => {
                    inherit_versions(&context, sole);
                    context.origins.borrow_mut().set_shared(key);
                    true
                }
                Err(e) => {
                    log::info!(
                        "event=origin_unkept stream={key} holder={} why=\"{e}\"",
                        target.id
                    );
                    false
                }
            }
        })
    });
    let mut sending: stream::FuturesUnordered<_> = sending.collect();
    while let Some(sent) = sending.next().await {
        if matches!(sent, Ok(true)) {
            return true;
        }
    }
    false
}

/// A process to which a message about a stream is sent.
struct ExchangeTarget {
    id: ids::InstanceId,
    address: net::SocketAddr,
    /// Whether it passes the message on to the holders.
    passes_on: bool,
}

/// Returns the processes to which this one sends messages about a stream: its holders, or a
/// process that can reach them.
fn targets(context: &context::ProcessContext, key: ids::StreamKey) -> Vec<ExchangeTarget> {
    let relays = context.relays();
    let is_large = context.members.borrow().is_large();
    if relays.is_empty() && !is_large {
        let holders = holders(context, key).into_iter();
        let holders = holders.map(|(id, address)| ExchangeTarget {
            id,
            address,
            passes_on: false,
        });
        return holders.collect();
    }
    let relays = relays.iter().map(|relay| ownership::OwnerCandidate {
        id: relay.id.clone(),
        domain: relay.domain.clone(),
    });
    let mut candidates: Vec<_> = relays.collect();
    if candidates.is_empty() {
        let subset = context.subset();
        candidates = (*context.owners()).clone();
        candidates.retain(|owner| subset.contains(&owner.id) && context.receives_from(&owner.id));
    }
    let chosen = origin_holders::choose(key, &candidates);
    let members = context.members.borrow();
    let chosen = chosen.filter_map(|candidate| {
        Some(ExchangeTarget {
            id: candidate.id.clone(),
            address: members.address_of(&candidate.id)?,
            passes_on: true,
        })
    });
    chosen.collect()
}

/// Returns the other processes that are to keep the origin of a stream: among those that are
/// listed, and among those that live.
fn holders(
    context: &context::ProcessContext,
    key: ids::StreamKey,
) -> Vec<(ids::InstanceId, net::SocketAddr)> {
    let live = context.owners();
    let members = context.members.borrow();
    let mut listed = members.dispatchers();
    // The table of members does not hold this process itself.
    listed.extend(live.iter().find(|owner| owner.id == *context.id()).cloned());
    let chosen = origin_holders::choose(key, &live).chain(origin_holders::choose(key, &listed));
    let chosen = chosen.map(|candidate| &candidate.id);
    let mut chosen: Vec<_> = chosen.filter(|id| *id != context.id()).cloned().collect();
    chosen.sort();
    chosen.dedup();
    let addresses = chosen.into_iter().filter_map(|id| {
        let address = members.address_of(&id)?;
        Some((id, address))
    });
    addresses.collect()
}

/// Answers the question of a peer for the origin of a stream.
pub(super) async fn find(
    context: &rc::Rc<context::ProcessContext>,
    query: &peers::OriginQuery,
) -> peers::OriginReply {
    let own = context.origins.borrow_mut().get(query.key);
    let found = match own {
        None if query.passes_on => {
            ask(context, holders(context, query.key), query.key, false).await
        }
        own => peers::OriginReply {
            record: own,
            is_final: true,
            sole: Vec::new(),
        },
    };
    peers::OriginReply {
        sole: sole_software(context),
        ..found
    }
}

/// Searches for the origin of a stream, here first and then at its holders.
pub(super) async fn search(
    context: &rc::Rc<context::ProcessContext>,
    key: ids::StreamKey,
) -> FoundOrigin {
    if let Some(record) = context.origins.borrow_mut().get(key) {
        let source = "own";
        return FoundOrigin::Known { record, source };
    }
    let targets = targets(context, key);
    let passes_on = targets.iter().any(|target| target.passes_on);
    let addresses = targets.into_iter().map(|t| (t.id, t.address)).collect();
    let reply = ask(context, addresses, key, passes_on).await;
    match reply.record {
        Some(record) => {
            let reach = stream_origins::OriginReach::Shared;
            context.origins.borrow_mut().insert(record.clone(), reach);
            let source = "holder";
            FoundOrigin::Known { record, source }
        }
        None if reply.is_final => FoundOrigin::Unknown,
        None => FoundOrigin::Unanswered,
    }
}

/// Asks processes for the origin of a stream; the first one that knows it decides.
async fn ask(
    context: &rc::Rc<context::ProcessContext>,
    processes: Vec<(ids::InstanceId, net::SocketAddr)>,
    key: ids::StreamKey,
    passes_on: bool,
) -> peers::OriginReply {
    let timeout = match passes_on {
        true => EXCHANGE_TIMEOUT * 2,
        false => EXCHANGE_TIMEOUT,
    };
    let is_owner = context.owners().iter().any(|o| o.id == *context.id());
    let mut is_final = is_owner || !processes.is_empty();
    let asking = processes.into_iter().map(|(id, address)| async move {
        let query = peers::OriginQuery { key, passes_on };
        let reply = context.links.find_origin(address, query, timeout).await;
        (id, reply)
    });
    let mut asking: stream::FuturesUnordered<_> = asking.collect();
    while let Some((id, reply)) = asking.next().await {
        match reply {
            Ok(reply) => {
                inherit_versions(context, reply.sole);
                if reply.record.is_some() {
                    return peers::OriginReply {
                        record: reply.record,
                        is_final: true,
                        sole: Vec::new(),
                    };
                }
                is_final &= reply.is_final;
            }
            Err(e) => {
                log::info!("event=origin_unanswered stream={key} holder={id} why=\"{e}\"");
                is_final = false;
            }
        }
    }
    peers::OriginReply {
        record: None,
        is_final,
        sole: Vec::new(),
    }
}

/// Sends the unshared origins of services that have just got several software versions.
///
/// They are sent again each second as well, but a kill may come first.
pub(super) fn share_mixed(context: &rc::Rc<context::ProcessContext>) {
    let mixed = context.fleet.directory.borrow_mut().take_mixed();
    if !mixed.is_empty() {
        share_unshared(context, mixed.into_iter().collect());
    }
}

/// Drops expired origins, sends those that no holder has confirmed, and notes on the disk which
/// services have one software version.
pub(super) fn sweep(context: &rc::Rc<context::ProcessContext>) {
    context.origins.borrow_mut().expire();
    let table = context.fleet.table();
    let services = table.state().services.iter();
    share_unshared(context, services.map(|spec| spec.name.clone()).collect());
    if let Some(file) = &context.origin_file {
        let sole = sole_lines(context);
        write_versions(context, file, sole);
    }
}

fn share_unshared(
    context: &rc::Rc<context::ProcessContext>,
    services: collections::HashSet<ids::ServiceName>,
) {
    let origins = context.origins.borrow();
    let records = origins.unshared(&services, MAX_SHARED_AT_ONCE);
    drop(origins);
    for record in records {
        let targets = targets(context, record.key);
        actix_rt::spawn(share(context.clone(), record, targets));
    }
}

/// Notes on the disk which services have one software version, if that has changed.
pub(super) fn note_versions(context: &context::ProcessContext) {
    let Some(file) = &context.origin_file else {
        return;
    };
    let sole = sole_lines(context);
    let versions = |lines: &[origin_file::SoleVersionLine]| -> Vec<_> {
        let versions = lines.iter().map(|l| (l.service.clone(), l.version.clone()));
        versions.collect()
    };
    if versions(&sole) != versions(&context.noted_versions.borrow()) {
        write_versions(context, file, sole);
    }
}

fn write_versions(
    context: &context::ProcessContext,
    file: &origin_file::OriginFile,
    sole: Vec<origin_file::SoleVersionLine>,
) {
    *context.noted_versions.borrow_mut() = sole.clone();
    let at_ms = clock::epoch_ms();
    if !file.append(origin_file::OriginLine::Versions { at_ms, sole }) {
        log::debug!("event=software_versions_unwritten");
    }
}

/// Returns which services have one software version now, with times that mean the same after
/// a restart.
fn sole_lines(context: &context::ProcessContext) -> Vec<origin_file::SoleVersionLine> {
    let now_ms = clock::epoch_ms();
    let sole = sole_software(context).into_iter();
    let sole = sole.map(|sole| origin_file::SoleVersionLine {
        service: sole.software.service,
        version: sole.software.version,
        since_ms: match sole.age {
            Some(age) => now_ms.saturating_sub(age.as_millis() as u64).max(1),
            None => 0,
        },
    });
    let mut lines: Vec<_> = sole.collect();
    lines.sort_by(|a, b| a.service.cmp(&b.service));
    lines
}
