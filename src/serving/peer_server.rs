//! Server side of the links between processes.

use std::{io, net};

use futures::StreamExt as _;
use tarpc::server::Channel as _;
use tokio::sync::{mpsc, oneshot};

use super::{
    directory, job_records,
    job_records::JobOrigin,
    members,
    peer_links::{frames, RECONNECT_DELAY},
    peers::{
        BatchSlotRequest, BorrowedSlot, EndpointReport, HeartbeatMessage, OnlineSlotRequest,
        OnlineSlotResponse, OriginMessage, OriginQuery, OriginReply, PeerCall, PeerService,
        ProgressPart, ResultRequest, SlotRelease, SoleSoftware, WriteOutcome,
    },
    state_snapshot, wire,
    workspaces::limit_messages,
};
use crate::{decisions::crash_ledger, ids};

/// Capacity of the queue of incoming calls; when it is full, peers wait.
const CALL_QUEUE_CAPACITY: usize = 1024;

/// Passes the calls of one peer to the process.
#[derive(Clone)]
struct PeerServer {
    calls: mpsc::Sender<PeerCall>,
}

impl PeerServer {
    /// Passes a call to the process and waits for its response; `None` if the process
    /// ends.
    async fn send_request<T>(
        &self,
        call: impl FnOnce(oneshot::Sender<T>) -> PeerCall,
    ) -> Option<T> {
        let (reply, response) = oneshot::channel();
        self.calls.send(call(reply)).await.ok()?;
        response.await.ok()
    }

    /// Passes a message without a response to the process.
    async fn notify(&self, call: PeerCall) {
        if self.calls.send(call).await.is_err() {
            log::debug!("event=message_unheard");
        }
    }
}

impl PeerService for PeerServer {
    async fn probe(
        self,
        _: tarpc::context::Context,
        heartbeat: HeartbeatMessage,
    ) -> Option<HeartbeatMessage> {
        self.send_request(|reply| PeerCall::Probe(heartbeat, reply))
            .await
    }

    async fn acquire(
        self,
        _: tarpc::context::Context,
        request: OnlineSlotRequest,
    ) -> Option<OnlineSlotResponse> {
        self.send_request(|reply| PeerCall::Acquire(request, reply))
            .await
    }

    async fn acquire_relayed(
        self,
        _: tarpc::context::Context,
        request: OnlineSlotRequest,
    ) -> Option<OnlineSlotResponse> {
        self.send_request(|reply| PeerCall::AcquireRelayed(request, reply))
            .await
    }

    async fn release(self, _: tarpc::context::Context, release: SlotRelease) {
        self.notify(PeerCall::Release(release)).await;
    }

    async fn report(self, _: tarpc::context::Context, report: EndpointReport) {
        self.notify(PeerCall::Report(report)).await;
    }

    async fn state_part(
        self,
        _: tarpc::context::Context,
        request: state_snapshot::StatePartRequest,
    ) -> Option<state_snapshot::StatePart> {
        self.send_request(|reply| PeerCall::StatePart(request, reply))
            .await
    }

    async fn crash_news(self, _: tarpc::context::Context, message: crash_ledger::CrashMessage) {
        self.notify(PeerCall::CrashUpdate(message)).await;
    }

    async fn crashes(self, _: tarpc::context::Context) -> Option<Vec<crash_ledger::CrashMessage>> {
        self.send_request(PeerCall::Crashes).await
    }

    async fn endpoints(
        self,
        _: tarpc::context::Context,
        since: u64,
    ) -> Option<directory::DirectoryUpdate> {
        self.send_request(|reply| PeerCall::Endpoints(since, reply))
            .await
    }

    async fn members(self, _: tarpc::context::Context) -> Option<Vec<members::MemberRecord>> {
        self.send_request(PeerCall::Members).await
    }

    async fn take_job(
        self,
        _: tarpc::context::Context,
        record: job_records::JobRecord,
    ) -> Option<bool> {
        self.send_request(|reply| PeerCall::TakeJob(record, JobOrigin::Stored, reply))
            .await
    }

    async fn take_new_job(
        self,
        _: tarpc::context::Context,
        record: job_records::JobRecord,
    ) -> Option<bool> {
        self.send_request(|reply| PeerCall::TakeJob(record, JobOrigin::New, reply))
            .await
    }

    async fn find_job(self, _: tarpc::context::Context, job: ids::JobId) -> Option<bool> {
        self.send_request(|reply| PeerCall::FindJob(job, reply))
            .await
    }

    async fn keep_progress(self, _: tarpc::context::Context, part: ProgressPart) -> Option<bool> {
        self.send_request(|reply| PeerCall::KeepProgress(part, reply))
            .await
    }

    async fn read_results(
        self,
        _: tarpc::context::Context,
        request: ResultRequest,
    ) -> Option<wire::ResultPage> {
        self.send_request(|reply| PeerCall::ReadResults(request, reply))
            .await
    }

    async fn end_job(self, _: tarpc::context::Context, job: ids::JobId) {
        self.notify(PeerCall::EndJob(job)).await;
    }

    async fn lend(
        self,
        _: tarpc::context::Context,
        request: BatchSlotRequest,
    ) -> Option<Vec<BorrowedSlot>> {
        self.send_request(|reply| PeerCall::Lend(request, reply))
            .await
    }

    async fn give_back(self, _: tarpc::context::Context, slot: BorrowedSlot) {
        self.notify(PeerCall::GiveBack(slot)).await;
    }

    async fn cancel_lent(self, _: tarpc::context::Context, number: u64) {
        self.notify(PeerCall::CancelLent(number)).await;
    }

    async fn preempt(self, _: tarpc::context::Context, slot: BorrowedSlot) {
        self.notify(PeerCall::Preempt(slot)).await;
    }

    async fn write_job(
        self,
        _: tarpc::context::Context,
        record: job_records::JobRecord,
    ) -> Option<WriteOutcome> {
        self.send_request(|reply| PeerCall::WriteJob(record, reply))
            .await
    }

    async fn draw_tokens(
        self,
        _: tarpc::context::Context,
        request: limit_messages::TokenRequest,
    ) -> Option<limit_messages::TokenResponse> {
        self.send_request(|reply| PeerCall::DrawTokens(request, reply))
            .await
    }

    async fn claim_trial(
        self,
        _: tarpc::context::Context,
        message: crash_ledger::CrashMessage,
    ) -> Option<bool> {
        self.send_request(|reply| PeerCall::ClaimTrial(message, reply))
            .await
    }

    async fn return_trial(self, _: tarpc::context::Context, subject: ids::CrashSubject) {
        self.notify(PeerCall::ReturnTrial(subject)).await;
    }

    async fn keep_origin(
        self,
        _: tarpc::context::Context,
        message: OriginMessage,
    ) -> Option<Vec<SoleSoftware>> {
        self.send_request(|reply| PeerCall::KeepOrigin(message, reply))
            .await
    }

    async fn find_origin(
        self,
        _: tarpc::context::Context,
        query: OriginQuery,
    ) -> Option<OriginReply> {
        self.send_request(|reply| PeerCall::FindOrigin(query, reply))
            .await
    }

    async fn write_end(self, _: tarpc::context::Context, job: ids::JobId) -> Option<WriteOutcome> {
        self.send_request(|reply| PeerCall::WriteEnd(job, reply))
            .await
    }
}

/// Serves peers on this thread and returns the receiver of their calls.
///
/// # Errors
/// The address cannot be bound.
pub fn serve(listen: net::SocketAddr) -> io::Result<mpsc::Receiver<PeerCall>> {
    let listener = net::TcpListener::bind(listen)?;
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let (sender, calls) = mpsc::channel(CALL_QUEUE_CAPACITY);
    actix_rt::spawn(async move {
        while !sender.is_closed() {
            match listener.accept().await {
                Ok((socket, _)) => {
                    let server = PeerServer {
                        calls: sender.clone(),
                    };
                    actix_rt::spawn(serve_peer(socket, server));
                }
                Err(e) => {
                    log::warn!("event=peer_accept_failed why=\"{e}\"");
                    actix_rt::time::sleep(RECONNECT_DELAY).await;
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
        .for_each(|response| async {
            actix_rt::spawn(response);
        })
        .await;
}
