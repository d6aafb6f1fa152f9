//! The controller's interface for roll-outs: calls to the store, submissions and cancellations through this
//! controller's core, and queries for replicas in all shards. The threads of `tillercleat_rollout` call it
//! and block for each answer; every call has a deadline.

mod conversions;

use super::events::{Event, EventSender, IncomingRequest};
use super::external_clients::send_store_call;
use super::http::Client;
use super::peers::{replica_message, PeerQueries};
use crate::coordination::{ClientRequest, Replica, Response};
use crate::protocol::state::{StoreRequest, StoreResponse};
use crate::units::{JobId, LeaseId, Revision};
use conversions::{cancellation_answer, job_spec, observed_replica, store_answer, submission_answer, transaction};
use std::net::SocketAddr;
use std::sync::mpsc::sync_channel;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tillercleat_rollout::ports::{Answer, Call, ObservedReplica};
use tillercleat_rollout::runtime::ControllerApi;
use tillercleat_rollout::units::JobId as RolloutJobId;

/// Deadline for a response from this controller's core.
const CORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of connections to the store that are kept open between calls.
const MAX_IDLE_CLIENTS: usize = 6;

/// Executes the calls of roll-outs on this controller.
pub struct LocalController {
    events: EventSender,
    peers: PeerQueries,
    store: SocketAddr,
    idle_clients: Mutex<Vec<Client>>,
}

impl LocalController {
    /// Creates the interface from the event loop's queue, the peers and the address of the store.
    pub fn new(events: EventSender, peers: PeerQueries, store: SocketAddr) -> LocalController {
        LocalController { events, peers, store, idle_clients: Mutex::new(vec![]) }
    }

    /// Locks the idle clients. The lock is held only to take or return a client, not during a call.
    fn idle_clients(&self) -> MutexGuard<'_, Vec<Client>> {
        self.idle_clients.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn call_store(&self, call: &StoreRequest) -> Answer {
        let idle = self.idle_clients().pop();
        let mut client = idle.unwrap_or_else(|| Client::new(self.store));
        match send_store_call(&mut client, call) {
            Ok(answer) => {
                self.keep_idle(client);
                store_answer(answer)
            }
            Err(error) => {
                tracing::debug!(%error, "call to the store for roll-outs failed");
                store_answer(StoreResponse::Unknown)
            }
        }
    }

    fn keep_idle(&self, client: Client) {
        let mut idle = self.idle_clients();
        if idle.len() < MAX_IDLE_CLIENTS {
            idle.push(client);
        }
    }

    /// Returns the core's response; none if the event queue is full or the core does not respond in time.
    fn request_core(&self, request: ClientRequest) -> Option<Response> {
        let (response_sender, response) = sync_channel(1);
        let event = Event::Request { request: IncomingRequest::Client(request), response_sender };
        if self.events.try_send(event).is_err() {
            tracing::debug!("refused a request of roll-outs: the event queue is full");
            return None;
        }
        let response = response.recv_timeout(CORE_TIMEOUT);
        response
            .inspect_err(|error| tracing::debug!(%error, "no response from the core to a request of roll-outs"))
            .ok()
    }

    /// Returns the replicas of these jobs in all shards. The peers and the core are queried concurrently.
    fn replicas(&self, jobs: &[RolloutJobId]) -> Vec<ObservedReplica> {
        let (reply_sender, reply) = sync_channel(1);
        let reply_to = Box::new(move |replicas: Vec<Replica>| drop(reply_sender.try_send(replicas)));
        let own_jobs = jobs.iter().map(|job| JobId::new(&job.0)).collect();
        let asked = self.events.try_send(Event::ReplicaQuery { jobs: own_jobs, reply: reply_to }).is_ok();
        let mut replicas = self.peers.replicas(jobs.iter().map(|job| job.0.clone()).collect());
        match asked.then(|| reply.recv_timeout(CORE_TIMEOUT)) {
            Some(Ok(own)) => replicas.extend(own.iter().map(replica_message)),
            Some(Err(_)) | None => tracing::debug!("replica query to the event loop failed or timed out"),
        }
        replicas.into_iter().map(observed_replica).collect()
    }
}

impl ControllerApi for LocalController {
    fn call(&self, call: &Call) -> Answer {
        match call {
            Call::Submit { job, submission } => {
                submission_answer(self.request_core(ClientRequest::Submit(Box::new(job_spec(job, submission)))))
            }
            Call::Withdraw { job } => cancellation_answer(self.request_core(ClientRequest::Cancel(JobId::new(&job.0)))),
            Call::Replicas { jobs } => Answer::Replicas(self.replicas(jobs)),
            Call::Reach { addr } => Answer::Reached(self.peers.can_reach(addr.clone())),
            Call::Get { key } => self.call_store(&StoreRequest::Get { key: key.clone() }),
            Call::List { prefix, after } => {
                self.call_store(&StoreRequest::List { prefix: prefix.clone(), after: after.clone() })
            }
            Call::Commit(commit) => self.call_store(&StoreRequest::Transaction(transaction(commit))),
            Call::Grant { ttl } => self.call_store(&StoreRequest::GrantLease { ttl_ms: ttl.0 }),
            Call::Renew { lease } => self.call_store(&StoreRequest::RenewLease { lease: LeaseId(lease.0) }),
            Call::Watch { prefix, after, wait } => self.call_store(&StoreRequest::Watch {
                prefix: prefix.clone(),
                after: Revision(after.0),
                wait_ms: wait.0,
            }),
        }
    }
}
