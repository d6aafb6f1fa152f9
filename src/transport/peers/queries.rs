//! Queries sent to all other controllers at once. The calling thread blocks for the result, while the
//! `peers` thread sends the requests. Peers that do not respond in time are left out of the result.

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

/// Maximum number of queries that wait for the `peers` thread; further queries are not sent.
const MAX_QUEUED_QUERIES: usize = 32;

/// How long the calling thread waits. Longer than the deadline of the requests to the peers, so that the
/// requests time out first.
const RESULT_TIMEOUT: Duration = MESSAGE_TIMEOUT.saturating_mul(2);

/// A query to all peers and the sender for its result.
pub(super) enum PeerQuery {
    /// Replicas of these jobs in the shards that the peers own.
    Replicas { jobs: Vec<String>, reply: SyncSender<Vec<ReplicaMessage>> },
    /// Whether any peer can connect to the address; none if no peer responded.
    Reach { addr: String, reply: SyncSender<Option<bool>> },
}

/// Handle for querying all other controllers; cheap to clone.
#[derive(Clone)]
pub struct PeerQueries(mpsc::Sender<PeerQuery>);

impl PeerQueries {
    /// Creates a handle and the queue that is passed to [`serve_queries`].
    pub(super) fn new() -> (PeerQueries, mpsc::Receiver<PeerQuery>) {
        let (sender, queue) = mpsc::channel(MAX_QUEUED_QUERIES);
        (PeerQueries(sender), queue)
    }

    /// Returns the replicas of these jobs in the shards that other controllers own. Blocks for at most
    /// three seconds. Replicas of controllers that don't respond are missing.
    pub fn replicas(&self, jobs: Vec<String>) -> Vec<ReplicaMessage> {
        self.run_query(|reply| PeerQuery::Replicas { jobs, reply }).unwrap_or_default()
    }

    /// Returns whether any other controller can connect to the address; none if no controller responded.
    /// Blocks for at most three seconds.
    pub fn can_reach(&self, addr: String) -> Option<bool> {
        self.run_query(|reply| PeerQuery::Reach { addr, reply }).flatten()
    }

    /// Queues a query and waits for its result; none if the queue is full or the query times out.
    fn run_query<T>(&self, query: impl FnOnce(SyncSender<T>) -> PeerQuery) -> Option<T> {
        let (reply, result) = sync_channel(1);
        if self.0.try_send(query(reply)).is_err() {
            tracing::debug!("did not query the peers: the queue of queries is full");
            return None;
        }
        let result = result.recv_timeout(RESULT_TIMEOUT);
        result.inspect_err(|error| tracing::debug!(%error, "no result for a peer query")).ok()
    }
}

/// Executes queries concurrently until all handles have been dropped.
pub(super) async fn serve_queries(clients: Vec<Client>, mut queue: mpsc::Receiver<PeerQuery>) {
    while let Some(query) = queue.recv().await {
        tokio::task::spawn_local(execute_query(clients.clone(), query));
    }
}

/// Sends one query to all peers and replies with their combined responses.
async fn execute_query(clients: Vec<Client>, query: PeerQuery) {
    match query {
        PeerQuery::Replicas { jobs, reply } => {
            let responses = request_all(clients, |client| request_replicas(client, jobs.clone())).await;
            send_result(&reply, responses.into_iter().flat_map(|response| response.replicas).collect());
        }
        PeerQuery::Reach { addr, reply } => {
            let responses = request_all(clients, |client| request_reach(client, addr.clone())).await;
            let reached = responses.iter().any(|response| response.reached);
            send_result(&reply, (!responses.is_empty()).then_some(reached));
        }
    }
}

/// Sends a result to the calling thread; drops it if that thread has timed out.
fn send_result<T>(reply: &SyncSender<T>, result: T) {
    if reply.try_send(result).is_err() {
        tracing::debug!("dropped the result of a peer query: the caller has timed out");
    }
}

async fn request_replicas(mut client: Client, jobs: Vec<String>) -> Result<Response<ReplicasResponse>, Status> {
    client.replicas(ReplicasRequest { jobs }).await
}

async fn request_reach(mut client: Client, addr: String) -> Result<Response<ReachResponse>, Status> {
    client.reach(ReachRequest { addr }).await
}

/// Sends a request to all peers concurrently and collects the responses that arrive in time.
async fn request_all<T, F>(clients: Vec<Client>, send_request: impl Fn(Client) -> F) -> Vec<T>
where
    T: 'static,
    F: Future<Output = Result<Response<T>, Status>> + 'static,
{
    let mut requests = JoinSet::new();
    for client in clients {
        requests.spawn_local(tokio::time::timeout(MESSAGE_TIMEOUT, send_request(client)));
    }
    let mut responses = vec![];
    while let Some(finished) = requests.join_next().await {
        match finished {
            Ok(Ok(Ok(response))) => responses.push(response.into_inner()),
            Ok(Ok(Err(status))) => tracing::debug!(%status, "a query to a peer failed"),
            Ok(Err(_)) => tracing::debug!("a query to a peer timed out"),
            Err(error) => tracing::error!(%error, "the task that queries a peer failed"),
        }
    }
    responses
}
