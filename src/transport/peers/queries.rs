//! Questions to all other controllers at once. Asked from any thread, which waits for the answers; carried
//! out on the peers' thread. What a peer does not answer in time is left out.

use super::{Client, MESSAGE_TIMEOUT};
use crate::protocol::peer::{
    ReachRequest, ReachResponse, Replica as ReplicaMessage, ReplicasRequest, ReplicasResponse,
};
use std::future::Future;
use std::sync::mpsc::{sync_channel, SyncSender};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tonic::{Response, Status};

/// Questions that may wait for the peers' thread; more are not asked.
const MAX_QUEUED_QUERIES: usize = 32;

/// How long the asking thread waits: the peers' own deadline comes first.
const ANSWER_TIMEOUT: Duration = MESSAGE_TIMEOUT.saturating_mul(2);

/// A question to all peers, and where the answer goes.
pub(super) enum PeerQuery {
    /// The replicas of these jobs in the shards that peers own.
    Replicas { jobs: Vec<String>, reply: SyncSender<Vec<ReplicaMessage>> },
    /// Whether any peer reaches the address; none: no peer answered.
    Reach { addr: String, reply: SyncSender<Option<bool>> },
}

/// Asks all other controllers; cheap to clone.
#[derive(Clone)]
pub struct PeerQueries(mpsc::Sender<PeerQuery>);

impl PeerQueries {
    /// A handle, and the queue that [`serve_queries`] takes.
    pub(super) fn new() -> (PeerQueries, mpsc::Receiver<PeerQuery>) {
        let (sender, queue) = mpsc::channel(MAX_QUEUED_QUERIES);
        (PeerQueries(sender), queue)
    }

    /// The replicas of these jobs in the shards that other controllers own. Blocks for at
    /// most three seconds; replicas of controllers that don't answer are missing.
    pub fn replicas(&self, jobs: Vec<String>) -> Vec<ReplicaMessage> {
        self.ask(|reply| PeerQuery::Replicas { jobs, reply }).unwrap_or_default()
    }

    /// Whether any other controller reaches the address; none: no controller
    /// answered. Blocks for at most three seconds.
    pub fn can_reach(&self, addr: String) -> Option<bool> {
        self.ask(|reply| PeerQuery::Reach { addr, reply }).flatten()
    }

    /// Puts a question and waits for the answer; none if there are too many or the time is over.
    fn ask<T>(&self, query: impl FnOnce(SyncSender<T>) -> PeerQuery) -> Option<T> {
        let (reply, answer) = sync_channel(1);
        if self.0.try_send(query(reply)).is_err() {
            tracing::debug!("did not ask the peers: too many queries are under way");
            return None;
        }
        let answer = answer.recv_timeout(ANSWER_TIMEOUT);
        answer.inspect_err(|error| tracing::debug!(%error, "no answer to a query of the peers")).ok()
    }
}

/// Carries out queries, each by itself, until all handles are gone.
pub(super) async fn serve_queries(clients: Vec<Client>, mut queue: mpsc::Receiver<PeerQuery>) {
    while let Some(query) = queue.recv().await {
        tokio::task::spawn_local(answer(clients.clone(), query));
    }
}

/// Asks all peers one question and replies with what they say together.
async fn answer(clients: Vec<Client>, query: PeerQuery) {
    match query {
        PeerQuery::Replicas { jobs, reply } => {
            let responses = ask_all(clients, |client| ask_replicas(client, jobs.clone())).await;
            send_answer(&reply, responses.into_iter().flat_map(|response| response.replicas).collect());
        }
        PeerQuery::Reach { addr, reply } => {
            let responses = ask_all(clients, |client| ask_reach(client, addr.clone())).await;
            let reached = responses.iter().any(|response| response.reached);
            send_answer(&reply, (!responses.is_empty()).then_some(reached));
        }
    }
}

/// Hands an answer to the asking thread, which may have stopped waiting.
fn send_answer<T>(reply: &SyncSender<T>, answer: T) {
    if reply.try_send(answer).is_err() {
        tracing::debug!("dropped the answer to a query of the peers: it came too late");
    }
}

async fn ask_replicas(mut client: Client, jobs: Vec<String>) -> Result<Response<ReplicasResponse>, Status> {
    client.replicas(ReplicasRequest { jobs }).await
}

async fn ask_reach(mut client: Client, addr: String) -> Result<Response<ReachResponse>, Status> {
    client.reach(ReachRequest { addr }).await
}

/// Sends a request to all peers at once and collects the responses that come in time.
async fn ask_all<T, F>(clients: Vec<Client>, ask: impl Fn(Client) -> F) -> Vec<T>
where
    T: 'static,
    F: Future<Output = Result<Response<T>, Status>> + 'static,
{
    let mut requests = JoinSet::new();
    for client in clients {
        requests.spawn_local(tokio::time::timeout(MESSAGE_TIMEOUT, ask(client)));
    }
    let mut responses = vec![];
    while let Some(finished) = requests.join_next().await {
        match finished {
            Ok(Ok(Ok(response))) => responses.push(response.into_inner()),
            Ok(Ok(Err(status))) => tracing::debug!(%status, "a peer did not answer a query"),
            Ok(Err(_)) => tracing::debug!("a peer did not answer a query in time"),
            Err(error) => tracing::error!(%error, "a query of a peer failed"),
        }
    }
    responses
}
