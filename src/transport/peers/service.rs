//! The gRPC service that other controllers call. Status messages and replica queries are passed to the
//! event loop without blocking; if its queue is full, the peer's request is refused.

use super::{MAX_MESSAGE_BYTES, MESSAGE_TIMEOUT};
use crate::coordination::{Input, Replica, ReplicaState};
use crate::protocol::peer::peer_server::{Peer, PeerServer};
use crate::protocol::peer::replica::State;
use crate::protocol::peer::{
    PeerStatus, PeerStatusAck, ReachRequest, ReachResponse, Replica as ReplicaMessage, ReplicasRequest,
    ReplicasResponse,
};
use crate::transport::events::{Event, EventSender};
use crate::units::JobId;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tonic::transport::Server;
use tonic::{Request, Response, Status};

/// Deadline for connecting in a reachability check that a peer requested.
const REACH_TIMEOUT: Duration = Duration::from_millis(1000);

/// Maximum number of requests served at the same time on one connection of a peer.
const MAX_CONCURRENT_REQUESTS: usize = 4;

/// Delay before listening again after the listener failed.
const LISTEN_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The gRPC service of this controller.
#[derive(Clone)]
pub struct PeerService {
    events: EventSender,
    rollouts_enabled: bool,
}

impl PeerService {
    /// Creates a service that passes requests to the event loop.
    pub fn new(events: EventSender, rollouts_enabled: bool) -> PeerService {
        PeerService { events, rollouts_enabled }
    }

    /// Serves peers until the process ends. Listens again if the listener fails.
    pub async fn serve(self, listen: SocketAddr) {
        loop {
            let service = PeerServer::new(self.clone()).max_decoding_message_size(MAX_MESSAGE_BYTES);
            let result = Server::builder()
                .concurrency_limit_per_connection(MAX_CONCURRENT_REQUESTS)
                .timeout(MESSAGE_TIMEOUT)
                .add_service(service)
                .serve(listen)
                .await;
            tracing::error!(addr = %listen, result = ?result, "listener for peers ended; retrying");
            tokio::time::sleep(LISTEN_RETRY_DELAY).await;
        }
    }

    fn require_rollouts(&self) -> Result<(), Status> {
        self.rollouts_enabled.then_some(()).ok_or_else(|| Status::unimplemented("roll-outs are off"))
    }

    /// Queues an event for the event loop; fails if the queue is full.
    fn queue(&self, event: Event) -> Result<(), Status> {
        self.events.try_send(event).map_err(|_| Status::resource_exhausted("too much to do"))
    }
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn tell(&self, request: Request<PeerStatus>) -> Result<Response<PeerStatusAck>, Status> {
        let status = request.into_inner();
        let revision = status.revision;
        self.queue(Event::Input(Input::PeerStatus(status)))?;
        Ok(Response::new(PeerStatusAck { revision }))
    }

    async fn replicas(&self, request: Request<ReplicasRequest>) -> Result<Response<ReplicasResponse>, Status> {
        self.require_rollouts()?;
        let jobs = request.into_inner().jobs.iter().map(|job| JobId::new(job)).collect();
        let (reply_sender, reply) = oneshot::channel();
        // Fails only if the peer's deadline has passed and this request was cancelled.
        let reply_to = Box::new(move |replicas| drop(reply_sender.send(replicas)));
        self.queue(Event::ReplicaQuery { jobs, reply: reply_to })?;
        let replicas: Vec<Replica> = reply.await.map_err(|_| Status::unavailable("ending"))?;
        Ok(Response::new(ReplicasResponse { replicas: replicas.iter().map(replica_message).collect() }))
    }

    async fn reach(&self, request: Request<ReachRequest>) -> Result<Response<ReachResponse>, Status> {
        self.require_rollouts()?;
        let addr: SocketAddr =
            request.into_inner().addr.parse().map_err(|_| Status::invalid_argument("not an address"))?;
        let reached = match tokio::time::timeout(REACH_TIMEOUT, TcpStream::connect(addr)).await {
            Ok(Ok(_)) => true,
            // A refused connection shows that the host is reachable.
            Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
            Err(_) => false,
        };
        Ok(Response::new(ReachResponse { reached }))
    }
}

/// Converts a replica to the message that controllers exchange.
pub fn replica_message(replica: &Replica) -> ReplicaMessage {
    let state = match replica.state {
        ReplicaState::Waiting => State::Waiting,
        ReplicaState::Placed => State::Placed,
        ReplicaState::Running => State::Running,
        ReplicaState::Leaving => State::Leaving,
        ReplicaState::Ended => State::Ended,
    };
    ReplicaMessage {
        job: replica.job.to_string(),
        index: replica.index,
        attempt: replica.attempt.0,
        state: state.into(),
        addr: replica.addr.clone(),
        zone: replica.zone.clone(),
        failed_attempt: replica.failed_attempt.map_or(0, |attempt| attempt.0),
        token: replica.token.0,
        age_ms: replica.heartbeat_age.0,
    }
}
