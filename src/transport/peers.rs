//! What controllers tell one another, by gRPC: one thread with a runtime of
//! its own, which nothing else in the program sees.

use super::events::Event;
use crate::coordination::{Input, Replica, ReplicaState};
use crate::protocol::peer::peer_client::PeerClient;
use crate::protocol::peer::peer_server::{Peer, PeerServer};
use crate::protocol::peer::{
    PeerStatus, PeerStatusAck, ReachRequest, ReachResponse, ReplicasRequest, ReplicasResponse,
};
use crate::units::{JobId, Revision};
use std::net::SocketAddr;
use std::sync::mpsc::SyncSender;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tonic::transport::{Channel, Endpoint, Server};
use tonic::{Request, Response, Status};

const STACK: usize = 512 * 1024;
const TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a second opinion may take to connect.
const REACH_WITHIN: Duration = Duration::from_millis(1000);
/// Questions to peers under way at the same time.
const MOST_ASKED: usize = 32;

struct Ear {
    engine: SyncSender<Event>,
    /// Whether roll-outs are turned on here.
    rollouts: bool,
}

impl Ear {
    fn on(&self) -> Result<(), Status> {
        self.rollouts.then_some(()).ok_or_else(|| Status::unimplemented("roll-outs are off"))
    }
}

#[tonic::async_trait]
impl Peer for Ear {
    async fn tell(&self, request: Request<PeerStatus>) -> Result<Response<PeerStatusAck>, Status> {
        let status = request.into_inner();
        let revision = status.revision;
        self.engine
            .try_send(Event::Input(Input::PeerStatus(status)))
            .map_err(|_| Status::resource_exhausted("too much to do"))?;
        Ok(Response::new(PeerStatusAck { revision }))
    }

    async fn replicas(&self, request: Request<ReplicasRequest>) -> Result<Response<ReplicasResponse>, Status> {
        self.on()?;
        let jobs = request.into_inner().jobs.iter().map(|job| JobId::new(job)).collect();
        let (to, told) = tokio::sync::oneshot::channel();
        let answer = Box::new(move |replicas| drop(to.send(replicas)));
        self.engine
            .try_send(Event::Replicas(jobs, answer))
            .map_err(|_| Status::resource_exhausted("too much to do"))?;
        let replicas = told.await.map_err(|_| Status::unavailable("ending"))?;
        Ok(Response::new(ReplicasResponse { replicas: replicas.iter().map(replica_told).collect() }))
    }

    async fn reach(&self, request: Request<ReachRequest>) -> Result<Response<ReachResponse>, Status> {
        self.on()?;
        let addr: SocketAddr =
            request.into_inner().addr.parse().map_err(|_| Status::invalid_argument("not an address"))?;
        let connected = tokio::time::timeout(REACH_WITHIN, tokio::net::TcpStream::connect(addr)).await;
        // A refusal comes from the other end: it is reached.
        let refused = |e: &std::io::Error| e.kind() == std::io::ErrorKind::ConnectionRefused;
        let reached = connected.is_ok_and(|c| c.as_ref().map_or_else(refused, |_| true));
        Ok(Response::new(ReachResponse { reached }))
    }
}

/// A replica in the words of the protocol.
pub fn replica_told(replica: &Replica) -> crate::protocol::peer::Replica {
    use crate::protocol::peer::replica::State;
    let state = match replica.state {
        ReplicaState::Waiting => State::Waiting,
        ReplicaState::Placed => State::Placed,
        ReplicaState::Running => State::Running,
        ReplicaState::Leaving => State::Leaving,
        ReplicaState::Ended => State::Ended,
    };
    crate::protocol::peer::Replica {
        job: replica.job.to_string(),
        index: replica.index,
        attempt: replica.attempt.0,
        state: state.into(),
        addr: replica.addr.clone(),
        zone: replica.zone.clone(),
        failed_attempt: replica.error.map_or(0, |a| a.0),
        token: replica.token.0,
        age_ms: replica.age.0,
    }
}

/// A question to all other controllers.
enum PeerAsk {
    Replicas(Vec<String>, SyncSender<Vec<crate::protocol::peer::Replica>>),
    Reach(String, SyncSender<Option<bool>>),
}

/// Asks the other controllers, from any thread.
#[derive(Clone)]
pub struct Asker(tokio::sync::mpsc::Sender<PeerAsk>);

impl Asker {
    /// What the others' owners say of the replicas of these jobs.
    pub fn replicas(&self, jobs: Vec<String>) -> Vec<crate::protocol::peer::Replica> {
        let (to, told) = std::sync::mpsc::sync_channel(1);
        let sent = self.0.try_send(PeerAsk::Replicas(jobs, to)).is_ok();
        sent.then(|| told.recv_timeout(2 * TIMEOUT).ok()).flatten().unwrap_or_default()
    }

    /// Whether any of the others reaches the address; none: nobody said.
    pub fn reach(&self, addr: String) -> Option<bool> {
        let (to, told) = std::sync::mpsc::sync_channel(1);
        let sent = self.0.try_send(PeerAsk::Reach(addr, to)).is_ok();
        sent.then(|| told.recv_timeout(2 * TIMEOUT).ok()).flatten().flatten()
    }
}

/// Puts one question to all peers at once, and gathers what they say in time.
async fn gather<T: 'static, F>(clients: Vec<PeerClient<Channel>>, ask: impl Fn(PeerClient<Channel>) -> F) -> Vec<T>
where
    F: std::future::Future<Output = Result<Response<T>, Status>> + 'static,
{
    let mut answers = tokio::task::JoinSet::new();
    for client in clients {
        answers.spawn_local(tokio::time::timeout(TIMEOUT, ask(client)));
    }
    let mut told = vec![];
    while let Some(answer) = answers.join_next().await {
        if let Ok(Ok(Ok(answer))) = answer {
            told.push(answer.into_inner());
        }
    }
    told
}

async fn ask(clients: Vec<PeerClient<Channel>>, ask: PeerAsk) {
    match ask {
        PeerAsk::Replicas(jobs, to) => {
            let question = |mut client: PeerClient<Channel>| {
                let jobs = jobs.clone();
                async move { client.replicas(ReplicasRequest { jobs }).await }
            };
            let told = gather(clients, question).await;
            let _ = to.try_send(told.into_iter().flat_map(|t| t.replicas).collect());
        }
        PeerAsk::Reach(addr, to) => {
            let question = |mut client: PeerClient<Channel>| {
                let addr = addr.clone();
                async move { client.reach(ReachRequest { addr }).await }
            };
            let told = gather(clients, question).await;
            let _ = to.try_send((!told.is_empty()).then(|| told.iter().any(|t| t.reached)));
        }
    }
}

/// What is to be told: the newest whole note, and how far the records have
/// come since.
#[derive(Clone, Default)]
struct JobChange {
    /// Counts whole notes.
    number: u64,
    status: Arc<PeerStatus>,
    revision: u64,
}

/// Puts notes on their way to all peers.
pub struct Notes(watch::Sender<JobChange>);

impl Notes {
    pub fn tell(&self, status: PeerStatus) {
        self.0.send_modify(|news| {
            news.number += 1;
            news.revision = news.revision.max(status.revision);
            news.status = Arc::new(status);
        });
    }

    pub fn nudge(&self, revision: Revision) {
        self.0.send_modify(|news| news.revision = news.revision.max(revision.0));
    }
}

impl JobChange {
    /// The note for a peer that got the whole one of this number last: all of
    /// it only if it is new.
    fn after(&self, number: u64) -> PeerStatus {
        let whole = &*self.status;
        if self.number != number {
            return PeerStatus { revision: self.revision, ..whole.clone() };
        }
        PeerStatus {
            from: whole.from.clone(),
            revision: self.revision,
            state_reachable: whole.state_reachable,
            ..PeerStatus::default()
        }
    }
}

/// A client of a peer, which connects when it is first used.
fn client(addr: SocketAddr) -> Option<PeerClient<Channel>> {
    let endpoint = Endpoint::from_shared(format!("http://{addr}")).ok()?;
    let channel = endpoint
        .connect_timeout(Duration::from_millis(700))
        .timeout(TIMEOUT)
        .tcp_nodelay(true)
        .initial_stream_window_size(64 * 1024)
        .connect_lazy();
    Some(PeerClient::new(channel).max_decoding_message_size(256 * 1024))
}

/// Passes the newest note on to one peer; notes that another one overtakes
/// are not sent.
async fn talk(addr: SocketAddr, mut client: PeerClient<Channel>, mut notes: watch::Receiver<JobChange>) {
    let mut heard = 0;
    while notes.changed().await.is_ok() {
        let news = notes.borrow_and_update().clone();
        if news.number == 0 {
            // Nothing to say yet about this node.
            continue;
        }
        let told = tokio::time::timeout(TIMEOUT, client.tell(news.after(heard))).await;
        if matches!(told, Ok(Ok(_))) {
            heard = news.number;
        } else {
            tracing::debug!("{addr} does not hear us");
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }
}

/// Starts the thread; what is told to the first of the returned goes to all
/// peers, and the second asks them.
pub fn start(
    listen: SocketAddr,
    peers: Vec<SocketAddr>,
    engine: SyncSender<Event>,
    rollouts: bool,
) -> std::io::Result<(Notes, Asker)> {
    let (notes, told) = watch::channel(JobChange::default());
    let (asker, mut asked) = tokio::sync::mpsc::channel(MOST_ASKED);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().enable_time().build()?;
    std::thread::Builder::new().name("peers".into()).stack_size(STACK).spawn(move || {
        let local = tokio::task::LocalSet::new();
        local.block_on(&runtime, async move {
            let clients: Vec<_> = peers.into_iter().filter_map(|addr| Some((addr, client(addr)?))).collect();
            for (addr, client) in &clients {
                tokio::task::spawn_local(talk(*addr, client.clone(), told.clone()));
            }
            tokio::task::spawn_local(async move {
                while let Some(question) = asked.recv().await {
                    let clients = clients.iter().map(|(_, client)| client.clone()).collect();
                    tokio::task::spawn_local(ask(clients, question));
                }
            });
            loop {
                let ear =
                    PeerServer::new(Ear { engine: engine.clone(), rollouts }).max_decoding_message_size(256 * 1024);
                let served = Server::builder()
                    .concurrency_limit_per_connection(4)
                    .timeout(TIMEOUT)
                    .add_service(ear)
                    .serve(listen)
                    .await;
                tracing::error!("the listener for peers ended: {served:?}");
                tokio::time::sleep(Duration::from_millis(500)).await;
            }
        });
    })?;
    Ok((Notes(notes), Asker(asker)))
}

#[cfg(test)]
mod tests;
