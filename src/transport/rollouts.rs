//! What roll-outs need of a controller: the state service, users' calls on its
//! own core, and what all owners know of replicas.

use super::events::{Asked, Event};
use super::http::Client;
use super::peers::{replica_told, Asker};
use crate::coordination::{ClientRequest, RefusalKind, Response};
use crate::protocol::peer;
use crate::protocol::state::{Change, Condition, StoreRequest, StoreResponse, Transaction, WatchEvent};
use crate::protocol::users::{JobKind, JobSpec, JobState, Priority};
use crate::units::{JobId, LeaseId as OurLease, Revision};
use std::net::SocketAddr;
use std::sync::mpsc::{sync_channel, SyncSender};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tillercleat_rollout::file;
use tillercleat_rollout::ports::{Answer, Call, Commit, Item, JobFate, Order, ReplicaSeen, Standing};
use tillercleat_rollout::runtime::Site;
use tillercleat_rollout::units::{JobId as RolloutJobId, LeaseId, Millis as RolloutMillis, Stamp};

const STATE_TIMEOUT: Duration = Duration::from_millis(1500);
const CORE_TIMEOUT: Duration = Duration::from_secs(5);

/// Connections to the state service kept open between calls.
const MOST_IDLE: usize = 6;

/// This controller, as roll-outs see it.
pub struct Controller {
    engine: SyncSender<Event>,
    peers: Asker,
    state: SocketAddr,
    idle: Mutex<Vec<Client>>,
}

impl Controller {
    pub fn new(engine: SyncSender<Event>, peers: Asker, state: SocketAddr) -> Controller {
        Controller { engine, peers, state, idle: Mutex::new(vec![]) }
    }

    fn state_call(&self, call: &StoreRequest) -> StoreResponse {
        let kept = self.idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
        let mut client = kept.unwrap_or_else(|| Client::new(self.state));
        let (method, path, body) = call.to_http();
        let timeout = match call {
            StoreRequest::Watch { wait_ms, .. } => STATE_TIMEOUT + Duration::from_millis(*wait_ms),
            _ => STATE_TIMEOUT,
        };
        match client.call(method, &path, &body, timeout) {
            Ok((status, body)) => {
                let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
                if idle.len() < MOST_IDLE {
                    idle.push(client);
                }
                call.parse_response(status, &body)
            }
            Err(error) => {
                tracing::debug!("no answer from the state service: {error}");
                StoreResponse::Unknown
            }
        }
    }

    fn ask_core(&self, ask: ClientRequest) -> Option<Response> {
        let (to, told) = sync_channel(1);
        self.engine.try_send(Event::Asked(Asked::User(ask), to)).ok()?;
        told.recv_timeout(CORE_TIMEOUT).ok()
    }

    fn replicas(&self, jobs: &[RolloutJobId]) -> Vec<ReplicaSeen> {
        let ours: Vec<JobId> = jobs.iter().map(|job| JobId::new(&job.0)).collect();
        let (to, told) = sync_channel(1);
        let answer = Box::new(move |replicas| drop(to.try_send(replicas)));
        let asked = self.engine.try_send(Event::Replicas(ours, answer)).is_ok();
        let mut all = self.peers.replicas(jobs.iter().map(|job| job.0.clone()).collect());
        if let Some(own) = asked.then(|| told.recv_timeout(CORE_TIMEOUT).ok()).flatten() {
            all.extend(own.iter().map(replica_told));
        }
        all.into_iter().map(seen).collect()
    }
}

impl Site for Controller {
    fn call(&self, call: &Call) -> Answer {
        match call {
            Call::Submit { job, order } => {
                submit_answer(self.ask_core(ClientRequest::Submit(Box::new(spec(job, order)))))
            }
            Call::Withdraw { job } => withdraw_answer(self.ask_core(ClientRequest::Cancel(JobId::new(&job.0)))),
            Call::Replicas { jobs } => Answer::Replicas(self.replicas(jobs)),
            Call::Reach { addr } => Answer::Reached(self.peers.reach(addr.clone())),
            Call::Get { key } => state_answer(self.state_call(&StoreRequest::Get { key: key.clone() })),
            Call::List { prefix, after } => {
                state_answer(self.state_call(&StoreRequest::List { prefix: prefix.clone(), after: after.clone() }))
            }
            Call::Commit(commit) => state_answer(self.state_call(&StoreRequest::Transaction(transaction(commit)))),
            Call::Grant { ttl } => state_answer(self.state_call(&StoreRequest::GrantLease { ttl_ms: ttl.0 })),
            Call::Renew { lease } => {
                state_answer(self.state_call(&StoreRequest::RenewLease { lease: OurLease(lease.0) }))
            }
            Call::Watch { prefix, after, wait } => state_answer(self.state_call(&StoreRequest::Watch {
                prefix: prefix.clone(),
                after: Revision(after.0),
                wait_ms: wait.0,
            })),
        }
    }
}

fn transaction(commit: &Commit) -> Transaction {
    let conditions = commit.when.iter().map(|(key, at)| Condition { key: key.clone(), version: Revision(at.0) });
    let (key, value) = (commit.key.clone(), commit.value.clone());
    let change = match commit.lease {
        Some(lease) => Change::put_leased(key, value, OurLease(lease.0)),
        None => Change::put(key, value),
    };
    Transaction { conditions: conditions.collect(), changes: vec![change] }
}

fn state_answer(answer: StoreResponse) -> Answer {
    let item =
        |item: crate::protocol::state::Item| Item { key: item.key, value: item.value, stamp: Stamp(item.version.0) };
    match answer {
        StoreResponse::Found(found) => Answer::Found(item(found)),
        StoreResponse::Missing(_) => Answer::Missing,
        StoreResponse::Page(page) => Answer::Page {
            items: page.items.into_iter().map(item).collect(),
            more: page.truncated,
            revision: Stamp(page.revision.0),
        },
        StoreResponse::Committed(at) => Answer::Committed(Stamp(at.0)),
        StoreResponse::Conflict(_) => Answer::Conflict,
        StoreResponse::LeaseGranted(lease) => Answer::Granted(LeaseId(lease.0)),
        StoreResponse::LeaseRenewed => Answer::Renewed,
        StoreResponse::LeaseGone => Answer::LeaseGone,
        StoreResponse::WatchEvents(news) => Answer::Changes {
            revision: Stamp(news.revision.0),
            changed: news
                .events
                .into_iter()
                .map(|event| match event {
                    WatchEvent::Put { key, value, version } => (key, Some(value), Stamp(version.0)),
                    WatchEvent::Delete { key, version } => (key, None, Stamp(version.0)),
                })
                .collect(),
        },
        StoreResponse::TooOld => Answer::TooOld,
        StoreResponse::Invalid(why) => {
            tracing::warn!("the state service rejects a call of roll-outs: {why}");
            Answer::Refused
        }
        StoreResponse::Unavailable => Answer::Refused,
        StoreResponse::Unknown => Answer::Unknown,
    }
}

/// A standing job as users submit it.
fn spec(id: &RolloutJobId, order: &Order) -> JobSpec {
    let job = &order.job;
    JobSpec {
        id: JobId::new(&id.0),
        class: job.class.clone(),
        team: job.team.clone(),
        kind: JobKind::Standing,
        priority: match job.priority {
            file::Priority::Low => Priority::Low,
            file::Priority::Normal => Priority::Normal,
            file::Priority::High => Priority::High,
            file::Priority::Critical => Priority::Critical,
        },
        task_count: order.replicas,
        cpus: job.cpus,
        gpus: job.gpus,
        mem_gb: job.mem_gb,
        image: job.image.clone(),
        image_gb: job.image_gb,
        types: job.types.clone(),
        zone: order.zone.clone().or_else(|| job.zone.clone()),
        one_zone: false,
        apart: false,
        spot_allowed: job.spot,
        estimated_run_s: 0.0,
        checkpoint_interval_s: 0.0,
        checkpoint_save_s: 0.0,
        deadline_s: None,
        dependencies: vec![],
    }
}

fn fate(state: JobState) -> Answer {
    Answer::Job(match state {
        JobState::Queued | JobState::Running => JobFate::Known,
        JobState::Done | JobState::Cancelled => JobFate::Over,
    })
}

fn submit_answer(response: Option<Response>) -> Answer {
    match response {
        Some(Response::Job { state, .. }) => fate(state),
        Some(Response::Error(refusal)) => match refusal.kind() {
            RefusalKind::BadRequest | RefusalKind::Unprocessable => Answer::Unacceptable(refusal.to_string()),
            RefusalKind::Unavailable => Answer::Refused,
            RefusalKind::NotFound => Answer::Unknown,
        },
        _ => Answer::Unknown,
    }
}

fn withdraw_answer(response: Option<Response>) -> Answer {
    match response {
        Some(Response::Job { state, .. }) => fate(state),
        Some(Response::Error(refusal)) if refusal.kind() == RefusalKind::NotFound => Answer::Job(JobFate::Unknown),
        Some(Response::Error(_)) => Answer::Refused,
        _ => Answer::Unknown,
    }
}

/// A replica as roll-outs see it: its machine's address without a port.
fn seen(told: peer::Replica) -> ReplicaSeen {
    use peer::replica::State;
    let standing = match told.state() {
        State::Waiting => Standing::Waiting,
        State::Placed => Standing::Placed,
        State::Running => Standing::Running,
        State::Leaving => Standing::Leaving,
        State::Ended => Standing::Ended,
    };
    ReplicaSeen {
        host: told.addr.parse::<SocketAddr>().map(|a| a.ip().to_string()).unwrap_or_default(),
        replica: (RolloutJobId(told.job), told.index),
        attempt: told.attempt,
        standing,
        zone: told.zone,
        error: told.failed_attempt,
        age: RolloutMillis(told.age_ms),
        token: told.token,
    }
}
