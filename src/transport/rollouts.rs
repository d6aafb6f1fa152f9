//! What roll-outs need of a controller: the store, submissions and cancellations on this controller's own
//! core, and what the owners of all shards know of replicas. Called by the threads of `tillercleat_rollout`,
//! which wait for each answer; every call has a deadline.

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

/// How long this controller's core may take to answer.
const CORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Connections to the store that are kept open between calls.
const MAX_IDLE_CLIENTS: usize = 6;

/// This controller, as roll-outs see it.
pub struct ControllerSite {
    events: EventSender,
    peers: PeerQueries,
    store: SocketAddr,
    idle_clients: Mutex<Vec<Client>>,
}

impl ControllerSite {
    /// A site that asks the event loop, the peers and the store at this address.
    pub fn new(events: EventSender, peers: PeerQueries, store: SocketAddr) -> ControllerSite {
        ControllerSite { events, peers, store, idle_clients: Mutex::new(vec![]) }
    }

    /// Locked only to take a client or put one back, never during a call.
    fn idle_clients(&self) -> MutexGuard<'_, Vec<Client>> {
        self.idle_clients.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn call_store(&self, call: &StoreRequest) -> Answer {
        let idle = self.idle_clients().pop();
        let mut client = idle.unwrap_or_else(|| Client::new(self.store));
        match send_store_call(&mut client, call) {
            Ok(answer) => {
                self.keep(client);
                store_answer(answer)
            }
            Err(error) => {
                tracing::debug!(%error, "no answer from the store to a call of roll-outs");
                store_answer(StoreResponse::Unknown)
            }
        }
    }

    fn keep(&self, client: Client) {
        let mut idle = self.idle_clients();
        if idle.len() < MAX_IDLE_CLIENTS {
            idle.push(client);
        }
    }

    /// The core's response; none if it is overloaded or takes too long.
    fn ask_core(&self, request: ClientRequest) -> Option<Response> {
        let (response_sender, response) = sync_channel(1);
        let event = Event::Request { request: IncomingRequest::Client(request), response_sender };
        if self.events.try_send(event).is_err() {
            tracing::debug!("the event loop has no room for a request of roll-outs");
            return None;
        }
        let response = response.recv_timeout(CORE_TIMEOUT);
        response.inspect_err(|error| tracing::debug!(%error, "no response to a request of roll-outs")).ok()
    }

    /// What all owners know of the replicas of these jobs. Peers are asked while the core answers.
    fn replicas(&self, jobs: &[RolloutJobId]) -> Vec<ObservedReplica> {
        let (reply_sender, reply) = sync_channel(1);
        let reply_to = Box::new(move |replicas: Vec<Replica>| drop(reply_sender.try_send(replicas)));
        let own_jobs = jobs.iter().map(|job| JobId::new(&job.0)).collect();
        let asked = self.events.try_send(Event::ReplicaQuery { jobs: own_jobs, reply: reply_to }).is_ok();
        let mut replicas = self.peers.replicas(jobs.iter().map(|job| job.0.clone()).collect());
        match asked.then(|| reply.recv_timeout(CORE_TIMEOUT)) {
            Some(Ok(own)) => replicas.extend(own.iter().map(replica_message)),
            Some(Err(_)) | None => tracing::debug!("the event loop did not answer a query for replicas"),
        }
        replicas.into_iter().map(observed_replica).collect()
    }
}

impl ControllerApi for ControllerSite {
    fn call(&self, call: &Call) -> Answer {
        match call {
            Call::Submit { job, submission } => {
                submission_answer(self.ask_core(ClientRequest::Submit(Box::new(job_spec(job, submission)))))
            }
            Call::Withdraw { job } => cancellation_answer(self.ask_core(ClientRequest::Cancel(JobId::new(&job.0)))),
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
