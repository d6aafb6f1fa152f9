//! What roll-outs need of a controller: the state service, users' calls on its
//! own core, and what all owners know of replicas.

use super::events::{Asked, Event};
use super::http::Client;
use super::peers::{replica_told, Asker};
use crate::coordination::{Ask, Reply};
use crate::protocol::peer;
use crate::protocol::state::{Change, Condition, Event as StateEvent, StateAnswer, StateCall, Txn};
use crate::protocol::users::{JobKind, JobSpec, JobState, Priority};
use crate::units::{JobRef, LeaseId as OurLease, Revision};
use std::net::SocketAddr;
use std::sync::mpsc::{sync_channel, SyncSender};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tillercleat_rollout::file;
use tillercleat_rollout::host::Site;
use tillercleat_rollout::ports::{Answer, Call, Commit, Item, JobFate, Order, ReplicaSeen, Standing};
use tillercleat_rollout::units::{JobId, LeaseId, Millis, Stamp};

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

    fn state_call(&self, call: &StateCall) -> StateAnswer {
        let kept = self.idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
        let mut client = kept.unwrap_or_else(|| Client::new(self.state));
        let (method, path, body) = call.request();
        let timeout = match call {
            StateCall::Watch { wait_ms, .. } => STATE_TIMEOUT + Duration::from_millis(*wait_ms),
            _ => STATE_TIMEOUT,
        };
        match client.call(method, &path, &body, timeout) {
            Ok((status, body)) => {
                let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
                if idle.len() < MOST_IDLE {
                    idle.push(client);
                }
                call.answer(status, &body)
            }
            Err(error) => {
                tracing::debug!("no answer from the state service: {error}");
                StateAnswer::Unknown
            }
        }
    }

    fn ask_core(&self, ask: Ask) -> Option<Reply> {
        let (to, told) = sync_channel(1);
        self.engine.try_send(Event::Asked(Asked::User(ask), to)).ok()?;
        told.recv_timeout(CORE_TIMEOUT).ok()
    }

    fn replicas(&self, jobs: &[JobId]) -> Vec<ReplicaSeen> {
        let ours: Vec<JobRef> = jobs.iter().map(|job| JobRef::new(&job.0)).collect();
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
            Call::Submit { job, order } => submit_answer(self.ask_core(Ask::Submit(Box::new(spec(job, order))))),
            Call::Withdraw { job } => withdraw_answer(self.ask_core(Ask::Cancel(JobRef::new(&job.0)))),
            Call::Replicas { jobs } => Answer::Replicas(self.replicas(jobs)),
            Call::Reach { addr } => Answer::Reached(self.peers.reach(addr.clone())),
            Call::Get { key } => state_answer(self.state_call(&StateCall::Get { key: key.clone() })),
            Call::List { prefix, after } => {
                state_answer(self.state_call(&StateCall::List { prefix: prefix.clone(), after: after.clone() }))
            }
            Call::Commit(commit) => state_answer(self.state_call(&StateCall::Txn(txn(commit)))),
            Call::Grant { ttl } => state_answer(self.state_call(&StateCall::Grant { ttl_ms: ttl.0 })),
            Call::Renew { lease } => state_answer(self.state_call(&StateCall::Renew { lease: OurLease(lease.0) })),
            Call::Watch { prefix, after, wait } => state_answer(self.state_call(&StateCall::Watch {
                prefix: prefix.clone(),
                after: Revision(after.0),
                wait_ms: wait.0,
            })),
        }
    }
}

fn txn(commit: &Commit) -> Txn {
    let conditions = commit.when.iter().map(|(key, at)| Condition { key: key.clone(), version: Revision(at.0) });
    let (key, value) = (commit.key.clone(), commit.value.clone());
    let change = match commit.lease {
        Some(lease) => Change::put_leased(key, value, OurLease(lease.0)),
        None => Change::put(key, value),
    };
    Txn { conditions: conditions.collect(), changes: vec![change] }
}

fn state_answer(answer: StateAnswer) -> Answer {
    let item =
        |item: crate::protocol::state::Item| Item { key: item.key, value: item.value, stamp: Stamp(item.version.0) };
    match answer {
        StateAnswer::Found(found) => Answer::Found(item(found)),
        StateAnswer::Missing(_) => Answer::Missing,
        StateAnswer::Page(page) => Answer::Page {
            items: page.items.into_iter().map(item).collect(),
            more: page.more,
            revision: Stamp(page.revision.0),
        },
        StateAnswer::Committed(at) => Answer::Committed(Stamp(at.0)),
        StateAnswer::Conflict(_) => Answer::Conflict,
        StateAnswer::Granted(lease) => Answer::Granted(LeaseId(lease.0)),
        StateAnswer::Renewed => Answer::Renewed,
        StateAnswer::LeaseGone => Answer::LeaseGone,
        StateAnswer::Events(news) => Answer::Changes {
            revision: Stamp(news.revision.0),
            changed: news
                .events
                .into_iter()
                .map(|event| match event {
                    StateEvent::Put { put, value, version } => (put, Some(value), Stamp(version.0)),
                    StateEvent::Delete { delete, version } => (delete, None, Stamp(version.0)),
                })
                .collect(),
        },
        StateAnswer::TooOld => Answer::TooOld,
        StateAnswer::Rejected(why) => {
            tracing::warn!("the state service rejects a call of roll-outs: {why}");
            Answer::Refused
        }
        StateAnswer::Refused => Answer::Refused,
        StateAnswer::Unknown => Answer::Unknown,
    }
}

/// A standing job as users submit it.
fn spec(id: &JobId, order: &Order) -> JobSpec {
    let job = &order.job;
    JobSpec {
        id: JobRef::new(&id.0),
        class: job.class.clone(),
        team: job.team.clone(),
        kind: JobKind::Standing,
        priority: match job.priority {
            file::Priority::Low => Priority::Low,
            file::Priority::Normal => Priority::Normal,
            file::Priority::High => Priority::High,
            file::Priority::Critical => Priority::Critical,
        },
        tasks: order.replicas,
        cpus: job.cpus,
        gpus: job.gpus,
        mem_gb: job.mem_gb,
        image: job.image.clone(),
        image_gb: job.image_gb,
        types: job.types.clone(),
        zone: order.zone.clone().or_else(|| job.zone.clone()),
        one_zone: false,
        apart: false,
        spot: job.spot,
        estimate_s: 0.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        awaits: vec![],
    }
}

fn fate(state: JobState) -> Answer {
    Answer::Job(match state {
        JobState::Queued | JobState::Running => JobFate::Known,
        JobState::Done | JobState::Cancelled => JobFate::Over,
    })
}

fn submit_answer(reply: Option<Reply>) -> Answer {
    match reply {
        Some(Reply::Job { state, .. }) => fate(state),
        Some(Reply::Problem { status: 400 | 422, reason, .. }) => Answer::Unacceptable(reason),
        Some(Reply::Problem { status: 429 | 503, .. }) => Answer::Refused,
        _ => Answer::Unknown,
    }
}

fn withdraw_answer(reply: Option<Reply>) -> Answer {
    match reply {
        Some(Reply::Job { state, .. }) => fate(state),
        Some(Reply::Problem { status: 404, .. }) => Answer::Job(JobFate::Unknown),
        Some(Reply::Problem { .. }) => Answer::Refused,
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
        replica: (JobId(told.job), told.index),
        attempt: told.attempt,
        standing,
        zone: told.zone,
        error: told.error,
        age: Millis(told.age_ms),
        token: told.token,
    }
}
