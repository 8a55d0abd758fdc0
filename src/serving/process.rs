//! One process of the system: its parts, its peers, its start and its stop.

use std::{cell, collections, io, net, num, rc, sync, time};

use tokio::sync::{mpsc, watch};

use super::{
    connection_pool, fleet_model, fleet_source, job_board, job_calls, job_records, job_runner,
    listener, members, metrics_page, peers, permits, places, selection, wire,
};
use crate::{
    clock,
    decisions::{admission, call_budget::CallClass, ownership},
    ids, metrics, store,
};

/// Kind of the records in which processes show themselves.
pub const MEMBER_KIND: &str = "members";
/// How often beliefs with an age are looked at.
const TICK: time::Duration = time::Duration::from_millis(50);
/// How often orders to empty an instance are looked at; also the least time in
/// which the peers learn that it is leaving.
const ORDER_LOOK: time::Duration = time::Duration::from_millis(600);
/// Places asked for on behalf of peers that are remembered until their release.
const MAX_RELAYED: num::NonZeroUsize = num::NonZeroUsize::new(4096).expect("it is not zero");
/// Owners that follow the store; the others learn from them by the probes.
///
/// One would do; with three the loss of two at once is not noticed.
const FOLLOWERS: usize = 3;
/// Time after its start before a gateway may own anything.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(3);
/// Part of the grace after which a stopping process refuses new requests: those
/// that it takes must end before the grace does.
const REFUSE_SHARE: f64 = 0.35;
/// Part of the grace after which a stopping process ends in any case.
const END_SHARE: f64 = 0.97;
/// Ticks between two sweeps of idle connections.
const SWEEP_TICKS: u32 = 20;
/// Longest wait for a peer's desired state or list.
const BELIEF_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Pause between two readings of the beliefs; a change is to be in force within 2 s.
const REFRESH_PAUSE: time::Duration = time::Duration::from_millis(600);
/// Every so many of these readings is of the list, the others of the desired state.
const LIST_ROUNDS: u32 = 3;
/// How long a peer's newer list must differ before the own one is read anew:
/// the own watch brings most changes at the same moment.
const MISSED_AFTER: time::Duration = time::Duration::from_millis(400);
/// Longest wait for the answer to a probe; a round trip takes 1 to 4 ms.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// Pause before the store is asked again for the members.
const MEMBER_RETRY: time::Duration = time::Duration::from_millis(500);
/// Longest wait of a watch of the members.
const MEMBER_WAIT: time::Duration = time::Duration::from_secs(25);
/// How often a stopping process looks whether its last request has ended.
const STOP_POLL: time::Duration = time::Duration::from_millis(20);

/// How a process is run.
#[derive(Debug, Clone)]
pub struct ProcessOptions {
    /// How it shows itself to its peers.
    pub member: members::MemberRecord,
    /// Where callers connect, if they do.
    pub front: Option<net::SocketAddr>,
    /// Where readiness is asked for, if it is.
    pub readiness: Option<net::SocketAddr>,
    /// Where metrics are served, if they are.
    pub metrics: Option<net::SocketAddr>,
    /// Time from the wish to stop to the end, at most.
    pub grace: time::Duration,
}

/// The borders of a process.
pub struct ProcessBorders {
    /// The words of the wire.
    pub wire: rc::Rc<dyn wire::WireAdapter>,
    /// The store.
    pub store: sync::Arc<dyn store::ObjectStore>,
    /// Where beliefs come from.
    pub source: rc::Rc<dyn fleet_source::FleetSource>,
    /// The clock.
    pub clock: sync::Arc<dyn clock::MonotonicClock>,
}

/// What all parts of a process share.
pub struct ProcessContext {
    /// How it is run.
    pub options: ProcessOptions,
    /// The words of the wire.
    pub wire: rc::Rc<dyn wire::WireAdapter>,
    /// The store.
    pub store: sync::Arc<dyn store::ObjectStore>,
    /// Where beliefs come from.
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
    pub links: peers::PeerLinks,
    /// Places at owned endpoints.
    pub permits: cell::RefCell<permits::PermitBoard>,
    /// Jobs that are run or read here.
    pub jobs: job_board::JobBoard,
    /// Who may own endpoints and jobs now.
    owners: cell::RefCell<rc::Rc<Vec<ownership::OwnerCandidate>>>,
    /// Places that owners said they could give.
    pub rooms: cell::RefCell<collections::HashMap<(ids::InstanceId, ids::ServiceName), u32>>,
    /// Owners of places that were asked for on behalf of a peer that is cut off.
    pub relayed: cell::RefCell<lru::LruCache<admission::PermitNumber, net::SocketAddr>>,
    /// Whether this instance is to be emptied.
    retiring: cell::Cell<bool>,
    /// When the process was asked to stop.
    stop_begun: cell::Cell<Option<time::Instant>>,
    /// When the process began.
    begun: clock::Moment,
    /// Since when a peer has had a newer list of endpoints.
    differing_since: cell::Cell<Option<clock::Moment>>,
    /// Whether the process was asked to stop.
    pub stopping: watch::Sender<bool>,
    /// Requests of callers under way.
    pub active: cell::Cell<usize>,
}

impl ProcessContext {
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

    /// Whether a process answers this process itself.
    pub fn hears(&self, id: &ids::InstanceId) -> bool {
        self.members.borrow().hears(id, self.clock.now())
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

    fn hello(&self) -> peers::PeerHello {
        peers::PeerHello {
            id: self.id().clone(),
            leaving: self.is_leaving(),
            version: self.fleet.table().version(),
            revision: self.fleet.revision(),
            digest: self.fleet.digest(),
            hears: self.members.borrow().heard_dispatchers(self.clock.now()),
            follows_store: self.fleet.is_following(),
            members: self.members.borrow().digest(&self.options.member),
            rooms: self.permits.borrow().rooms(),
        }
    }
}

/// Runs a process on this thread until `stop` says so and its last request ended.
///
/// # Errors
/// An address cannot be bound.
pub async fn run(
    options: ProcessOptions,
    borders: ProcessBorders,
    mut stop: mpsc::Receiver<()>,
) -> io::Result<()> {
    let calls = peers::serve(options.member.address)?;
    let begun = borders.clock.now();
    let context = rc::Rc::new(ProcessContext {
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
        links: peers::PeerLinks::default(),
        permits: cell::RefCell::default(),
        jobs: job_board::JobBoard::default(),
        owners: cell::RefCell::default(),
        rooms: cell::RefCell::default(),
        relayed: cell::RefCell::new(lru::LruCache::new(MAX_RELAYED)),
        retiring: cell::Cell::new(false),
        stop_begun: cell::Cell::new(None),
        begun,
        differing_since: cell::Cell::new(None),
        stopping: watch::Sender::new(false),
        active: cell::Cell::new(0),
    });
    log::info!(
        "event=started instance={} role={:?} domain={}",
        context.id(),
        context.options.member.role,
        context.domain()
    );
    listener::start(&context)?;
    metrics_page::start(&context)?;
    actix_rt::spawn(context.source.run(context.fleet.clone()));
    actix_rt::spawn(serve_peers(context.clone(), calls));
    actix_rt::spawn(watch_members(context.clone()));
    actix_rt::spawn(probe_peers(context.clone()));
    actix_rt::spawn(refresh_beliefs(context.clone()));
    actix_rt::spawn(tick(context.clone()));
    actix_rt::spawn(follow_orders(context.clone()));
    job_runner::start(&context);
    if stop.recv().await.is_none() {
        log::warn!("event=stop_channel_closed");
    }
    stop_gracefully(&context).await;
    Ok(())
}

/// Ends once the last request ended and all jobs are handed back, or the grace is over.
async fn stop_gracefully(context: &rc::Rc<ProcessContext>) {
    log::info!("event=stopping active={}", context.active.get());
    context.stopping.send_replace(true);
    refresh_owners(context);
    let begun = time::Instant::now();
    context.stop_begun.set(Some(begun));
    // The last moments are kept for the end itself.
    let patience = context.options.grace.mul_f64(END_SHARE);
    // Peers and the readiness check learn of it before the process is gone.
    let least = members::PROBE_PAUSE * 2;
    let record_gone = remove_member(context);
    tokio::pin!(record_gone);
    let mut removed = false;
    while begun.elapsed() < patience {
        let idle = context.active.get() == 0 && context.jobs.is_handed_back();
        if removed && idle && begun.elapsed() > least {
            break;
        }
        tokio::select! {
            () = &mut record_gone, if !removed => removed = true,
            () = actix_rt::time::sleep(STOP_POLL) => {}
        }
    }
    log::info!(
        "event=stopped active={} after_ms={}",
        context.active.get(),
        begun.elapsed().as_millis()
    );
}

async fn remove_member(context: &rc::Rc<ProcessContext>) {
    let key = format!("{MEMBER_KIND}/{}", context.id());
    let condition = store::WriteCondition::Always;
    if let Err(e) = context
        .store
        .remove(CallClass::Control, &key, condition)
        .await
    {
        log::info!("event=member_record_left why=\"{e}\"");
    }
}

/// Shows this process in the store, and follows the records of the others.
async fn watch_members(context: rc::Rc<ProcessContext>) {
    let key = format!("{MEMBER_KIND}/{}", context.id());
    let own = store::encode(&context.options.member);
    let always = store::WriteCondition::Always;
    while let Err(e) = context
        .store
        .put(CallClass::Control, &key, own.clone(), always)
        .await
    {
        log::warn!("event=member_record_unwritten why=\"{e}\"");
        actix_rt::time::sleep(MEMBER_RETRY).await;
    }
    let prefix = format!("{MEMBER_KIND}/");
    let mut since = store::ObjectRevision(0);
    while !context.is_stopping() {
        let through_peers = since.0 > 0 && !context.fleet.follows();
        if through_peers || !context.fleet.is_reachable() {
            actix_rt::time::sleep(MEMBER_RETRY).await;
            continue;
        }
        let answer = context.store.watch(&[&prefix], since, MEMBER_WAIT).await;
        match answer {
            Ok(answer) => {
                since = store::ObjectRevision(answer.revision);
                for change in answer.changes {
                    take_member(&context, &prefix, change);
                }
            }
            Err(e) => {
                log::info!("event=members_unread why=\"{e}\"");
                actix_rt::time::sleep(MEMBER_RETRY).await;
            }
        }
    }
}

fn take_member(
    context: &rc::Rc<ProcessContext>,
    prefix: &str,
    change: crate::platform::ObjectChange,
) {
    let name = change.key.strip_prefix(prefix).unwrap_or(&change.key);
    let mut members = context.members.borrow_mut();
    let Some(value) = change.value else {
        if let Ok(id) = name.parse() {
            log::info!("event=member_gone instance={name}");
            members.remove(&id);
        }
        return;
    };
    match serde_json::from_str::<members::MemberRecord>(&value) {
        Ok(record) if record.id == *context.id() => {}
        Ok(record) => {
            log::info!("event=member_listed instance={name} at={}", record.address);
            members.take(record);
        }
        Err(e) => log::warn!("event=member_unreadable instance={name} why=\"{e}\""),
    }
}

/// Probes the processes whose life matters here: dispatchers, or all where there is none.
async fn probe_peers(context: rc::Rc<ProcessContext>) {
    loop {
        for record in probed(&context) {
            actix_rt::spawn(probe(context.clone(), record));
        }
        actix_rt::time::sleep(members::PROBE_PAUSE).await;
    }
}

fn probed(context: &ProcessContext) -> Vec<members::MemberRecord> {
    let members = context.members.borrow();
    let dispatchers: Vec<_> = members
        .records()
        .filter(|r| r.role == members::MemberRole::Dispatcher)
        .cloned()
        .collect();
    let any_live = !members.heard_dispatchers(context.clock.now()).is_empty();
    let own_role = context.options.member.role;
    if any_live || own_role == members::MemberRole::Dispatcher {
        return dispatchers;
    }
    members.records().cloned().collect()
}

async fn probe(context: rc::Rc<ProcessContext>, record: members::MemberRecord) {
    let hello = context.hello();
    let answer = context
        .links
        .probe(record.address, hello, PROBE_TIMEOUT)
        .await;
    match answer {
        Ok(hello) if hello.id == record.id => {
            hear(&context, &hello);
            catch_up(&context, record.address, &hello).await;
        }
        Ok(hello) => log::warn!("event=peer_differs listed={} found={}", record.id, hello.id),
        Err(peers::PeerError::TimedOut) => context.links.forget(record.address),
        Err(peers::PeerError::Unreachable | peers::PeerError::NotSent) => {}
    }
}

fn hear(context: &ProcessContext, hello: &peers::PeerHello) {
    let now = context.clock.now();
    let signs = members::LifeSigns {
        leaving: hello.leaving,
        hears: hello.hears.clone(),
        follows_store: hello.follows_store,
    };
    let mut members = context.members.borrow_mut();
    members.note_heard(&hello.id, signs, now);
    let mut rooms = context.rooms.borrow_mut();
    for (service, room) in &hello.rooms {
        rooms.insert((hello.id.clone(), service.clone()), *room);
    }
}

/// Takes beliefs that a peer has newer than this process.
async fn catch_up(context: &ProcessContext, peer: net::SocketAddr, hello: &peers::PeerHello) {
    if hello.version > context.fleet.table().version() {
        match context.links.desired_state(peer, BELIEF_TIMEOUT).await {
            Ok(text) => match serde_json::from_str(&text) {
                Ok(state) => {
                    log::info!(
                        "event=state_from_peer peer={} version={}",
                        hello.id,
                        hello.version
                    );
                    context.fleet.take(fleet_source::FleetNews::State(state));
                }
                Err(e) => log::warn!("event=peer_state_unreadable peer={} why=\"{e}\"", hello.id),
            },
            Err(e) => log::info!("event=peer_state_missing peer={} why=\"{e}\"", hello.id),
        }
    }
    if !hello.follows_store {
        return;
    }
    if !context.fleet.follows() {
        learn_members(context, peer, hello).await;
    }
    if hello.digest == context.fleet.digest() || hello.revision <= context.fleet.revision() {
        context.differing_since.set(None);
        return;
    }
    if context.fleet.is_following() {
        read_missed(context).await;
        return;
    }
    match context.links.endpoints(peer, BELIEF_TIMEOUT).await {
        Ok(copy) => {
            let (id, revision) = (&hello.id, copy.revision);
            log::info!("event=endpoints_from_peer peer={id} revision={revision}");
            let news = fleet_source::FleetNews::PeerEndpoints(revision, copy.entries);
            context.fleet.take(news);
        }
        Err(e) => log::info!("event=peer_endpoints_missing peer={} why=\"{e}\"", hello.id),
    }
}

/// Takes the records of processes from a peer that follows the store.
async fn learn_members(context: &ProcessContext, peer: net::SocketAddr, hello: &peers::PeerHello) {
    let own = &context.options.member;
    if hello.members == context.members.borrow().digest(own) {
        return;
    }
    match context.links.members(peer, BELIEF_TIMEOUT).await {
        Ok(mut records) => {
            log::info!(
                "event=members_from_peer peer={} count={}",
                hello.id,
                records.len()
            );
            records.retain(|r| r.id != own.id);
            context.members.borrow_mut().replace(records);
        }
        Err(e) => log::info!("event=peer_members_missing peer={} why=\"{e}\"", hello.id),
    }
}

/// Reads the list anew when a peer has had a newer one for a while.
async fn read_missed(context: &ProcessContext) {
    let now = context.clock.now();
    match context.differing_since.get() {
        None => context.differing_since.set(Some(now)),
        Some(since) if now.since(since) < MISSED_AFTER => {}
        Some(_) => {
            context.differing_since.set(None);
            log::info!("event=endpoints_missed");
            let model = context.fleet.clone();
            let refresh = fleet_source::RefreshKind::Endpoints;
            context.source.refresh(refresh, model).await;
        }
    }
}

/// Reads the beliefs anew at a steady pace, on one process for all.
///
/// A watch may stay silent without being cut; the others learn of what is
/// found here by the probes.
async fn refresh_beliefs(context: rc::Rc<ProcessContext>) {
    let mut round = 0_u32;
    loop {
        actix_rt::time::sleep(REFRESH_PAUSE).await;
        let first = context.owners().first().map(|o| o.id.clone());
        let is_first = first.as_ref() == Some(context.id());
        if !is_first || !context.fleet.is_following() {
            continue;
        }
        round = round.wrapping_add(1);
        let what = match round.is_multiple_of(LIST_ROUNDS) {
            true => fleet_source::RefreshKind::Endpoints,
            false => fleet_source::RefreshKind::State,
        };
        context.source.refresh(what, context.fleet.clone()).await;
    }
}

/// Empties this instance when it is asked to, and answers for instances that are gone.
async fn follow_orders(context: rc::Rc<ProcessContext>) {
    let mut answered = collections::BTreeSet::new();
    loop {
        actix_rt::time::sleep(ORDER_LOOK).await;
        for id in context.fleet.retiring() {
            if answered.contains(&id) {
                continue;
            }
            if is_emptied(&context, &id) && context.source.report_emptied(id.clone()).await {
                log::info!("event=retirement_answered instance={id}");
                answered.insert(id);
            }
        }
    }
}

/// Whether an instance that is to be emptied holds nothing that is needed.
///
/// What lasts is in the store, so only work under way counts. For an instance
/// that does not answer any more, the first of the owners speaks.
fn is_emptied(context: &ProcessContext, id: &ids::InstanceId) -> bool {
    if id == context.id() {
        let told = context.retiring.replace(true);
        return told && context.jobs.is_handed_back() && context.permits.borrow().is_empty();
    }
    let is_lost = context.members.borrow().is_lost(id, context.clock.now());
    let is_first = context
        .owners()
        .first()
        .is_some_and(|o| o.id == *context.id());
    is_lost && is_first && is_settled(context)
}

/// Answers the calls of peers.
async fn serve_peers(context: rc::Rc<ProcessContext>, mut calls: mpsc::Receiver<peers::PeerCall>) {
    while let Some(call) = calls.recv().await {
        answer_peer(&context, call);
    }
}

/// Gives an answer to a caller that may have gone.
fn reply<T>(sender: tokio::sync::oneshot::Sender<T>, value: T) {
    if sender.send(value).is_err() {
        log::debug!("event=peer_left_before_answer");
    }
}

fn answer_peer(context: &rc::Rc<ProcessContext>, call: peers::PeerCall) {
    use peers::PeerCall as C;

    match call {
        C::Probe(hello, sender) => {
            hear(context, &hello);
            reply(sender, context.hello());
        }
        C::Acquire(ask, sender) => {
            let is_owner = context.owners().iter().any(|o| o.id == *context.id());
            if is_owner {
                return reply(sender, grant(context, &ask));
            }
            let context = context.clone();
            actix_rt::spawn(async move {
                if let Some(answer) = places::ask_for_peer(&context, ask).await {
                    reply(sender, answer);
                }
            });
        }
        C::Release(number) => release(context, number),
        C::State(sender) => {
            let table = context.fleet.table();
            let text = serde_json::to_string(table.state());
            match text {
                Ok(text) => reply(sender, text),
                Err(e) => log::warn!("event=state_untold why=\"{e}\""),
            }
        }
        C::Endpoints(sender) => reply(sender, context.fleet.copy()),
        C::Members(sender) => {
            let members = context.members.borrow();
            let own = [&context.options.member];
            let records = members.records().chain(own).cloned().collect();
            drop(members);
            reply(sender, records);
        }
        C::TakeJob(record, sender) => reply(sender, job_runner::take_job(context, record)),
        C::ReadResults(ask, sender) => {
            let context = context.clone();
            actix_rt::spawn(async move {
                match job_calls::read_page(&context, &ask).await {
                    Ok(Some(page)) => reply(sender, page),
                    Ok(None) => log::info!("event=results_unknown job={}", ask.job),
                    Err(e) => log::info!("event=results_unread job={} why=\"{e}\"", ask.job),
                }
            });
        }
        C::EndJob(job) => job_runner::end_job(context, &job),
        C::Lend(ask, sender) => reply(sender, lend(context, &ask)),
        C::GiveBack(loan) => {
            let mut permits = context.permits.borrow_mut();
            permits.end_batch(&loan.endpoint, loan.number);
            drop(permits);
            context.jobs.work.notify_one();
        }
        C::Preempt(loan) => context.jobs.preempt(&loan.endpoint, loan.number),
        C::WriteJob(record, sender) => {
            let context = context.clone();
            actix_rt::spawn(async move {
                let written = job_records::accept(context.store.as_ref(), &record).await;
                reply(sender, write_outcome(&written));
                if written.is_ok() {
                    job_calls::sponsor(&context, rc::Rc::new(record));
                }
            });
        }
        C::WriteEnd(job, sender) => {
            let context = context.clone();
            actix_rt::spawn(async move {
                let written = job_records::end(context.store.as_ref(), &job).await;
                reply(sender, write_outcome(&written));
                if written.is_ok() {
                    job_calls::tell_end(&context, &job);
                }
            });
        }
    }
}

/// What a write to the store came to, for a peer.
fn write_outcome(written: &store::StoreResult<()>) -> peers::WriteOutcome {
    match written {
        Ok(()) => peers::WriteOutcome::Written,
        Err(store::StoreError::Unavailable(_) | store::StoreError::TooLarge) => {
            peers::WriteOutcome::Refused
        }
        Err(_) => peers::WriteOutcome::Unknown,
    }
}

/// Lends places of batch streams at owned endpoints.
fn lend(context: &ProcessContext, ask: &peers::LoanAsk) -> Vec<peers::StreamLoan> {
    if context.is_leaving() {
        return Vec::new();
    }
    let now = context.clock.now();
    let mut permits = context.permits.borrow_mut();
    let shunned = context.loads.borrow().shunned(permits.owned(), now);
    let lent = permits.lend_batch(&ask.service, &shunned, &ask.instance, ask.count, now);
    let lent = lent.into_iter();
    let loans = lent.map(|(endpoint, number)| peers::StreamLoan { endpoint, number });
    loans.collect()
}

/// Gives a place at an owned endpoint, and takes batch streams back for it.
pub fn grant(context: &rc::Rc<ProcessContext>, ask: &peers::PlaceAsk) -> peers::PlaceAnswer {
    let now = context.clock.now();
    let mut permits = context.permits.borrow_mut();
    let shunned = context.loads.borrow().shunned(permits.owned(), now);
    let holder = (&ask.instance, &ask.domain);
    let granted = permits.acquire(&ask.service, &ask.tried, &shunned, holder, ask.number, now);
    let room = permits.online_room(&ask.service);
    drop(permits);
    let endpoint = granted.map(|place| {
        for stream in &place.preempted {
            preempt(context, &place.endpoint, *stream);
        }
        place.endpoint
    });
    peers::PlaceAnswer { endpoint, room }
}

/// Takes a batch stream back, of this process or of the peer that runs it.
fn preempt(context: &ProcessContext, endpoint: &ids::EndpointId, number: admission::StreamNumber) {
    context.metrics.preempted.inc();
    let borrower = context.permits.borrow_mut().borrower(endpoint, number);
    let Some(borrower) = borrower else {
        context.jobs.preempt(endpoint, number);
        return;
    };
    let address = context.members.borrow().address_of(&borrower);
    if let Some(address) = address {
        let endpoint = endpoint.clone();
        let loan = peers::StreamLoan { endpoint, number };
        context.links.preempt(address, loan);
    }
}

/// Takes a place back; batch work may use it.
pub fn release(context: &ProcessContext, number: admission::PermitNumber) {
    let released = context.permits.borrow_mut().release(number);
    if released.is_some() {
        context.jobs.work.notify_one();
        return;
    }
    let relayed = context.relayed.borrow_mut().pop(&number);
    if let Some(owner) = relayed {
        context.links.release(owner, number);
    }
}

/// Looks at what has an age: owners, lapsed entries, idle connections, permits.
async fn tick(context: rc::Rc<ProcessContext>) {
    let mut changes = context.fleet.subscribe();
    let mut ticks = 0_u32;
    loop {
        ticks = ticks.wrapping_add(1);
        context.fleet.expire();
        refresh_owners(&context);
        if ticks.is_multiple_of(SWEEP_TICKS) {
            let now = context.clock.now();
            context.pool.sweep();
            context.permits.borrow_mut().expire(now);
            release_lost(&context, now);
            let directory = context.fleet.directory.borrow();
            let listed = |id: &ids::EndpointId| directory.usable(id).is_some();
            context.loads.borrow_mut().retain(listed);
        }
        tokio::select! {
            () = actix_rt::time::sleep(TICK) => {}
            changed = changes.changed() => if changed.is_err() { return },
        }
    }
}

/// Whether this process follows the store: the first few owners do, and any
/// that hears none who does.
fn is_follower(context: &ProcessContext, now: clock::Moment) -> bool {
    let owners = context.owners();
    let mut first = owners.iter().take(FOLLOWERS);
    first.any(|o| o.id == *context.id()) || !context.members.borrow().hears_follower(now)
}

/// Whether the process runs for long enough to have heard its live peers.
fn is_settled(context: &ProcessContext) -> bool {
    context.clock.now().since(context.begun) > SETTLE_TIME
}

/// Ends what processes hold that have not been heard for a while.
fn release_lost(context: &ProcessContext, now: clock::Moment) {
    let members = context.members.borrow();
    let is_lost = |id: &ids::InstanceId| *id != *context.id() && members.is_lost(id, now);
    context.permits.borrow_mut().release_lost(is_lost);
}

/// Works out who owns what, and tells the parts that hang on it.
fn refresh_owners(context: &rc::Rc<ProcessContext>) {
    let now = context.clock.now();
    let own = (!context.is_leaving()).then_some(&context.options.member);
    // A gateway that has just started has not heard the dispatchers yet.
    let own = own.filter(|m| m.role == members::MemberRole::Dispatcher || is_settled(context));
    let owners = context.members.borrow().owners(own, now);
    let changed = **context.owners.borrow() != owners;
    if changed {
        let names: Vec<_> = owners.iter().map(|o| o.id.as_str()).collect();
        log::info!("event=owners now=\"{}\"", names.join(","));
        for lost in context.owners().iter().filter(|o| !owners.contains(o)) {
            context
                .rooms
                .borrow_mut()
                .retain(|(id, _), _| *id != lost.id);
        }
        *context.owners.borrow_mut() = rc::Rc::new(owners);
    }
    let directory = context.fleet.directory.borrow();
    let owners = context.owners();
    let owned = directory.entries().filter(|e| !e.leaving).filter(|e| {
        let owner = ownership::owner_of(&e.id, &e.domain, &owners);
        owner.is_some_and(|o| o.id == *context.id())
    });
    let owned: Vec<_> = owned.cloned().collect();
    drop(directory);
    let gone = context.permits.borrow_mut().set_owned(&owned);
    for endpoint in &gone {
        context.jobs.preempt_owned(endpoint);
    }
    context.jobs.work.notify_one();
    if changed {
        context.jobs.owners_changed.notify_one();
    }
    context.fleet.set_follows(is_follower(context, now));
}
