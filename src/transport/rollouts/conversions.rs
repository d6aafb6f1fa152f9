//! Converts between the types of this crate and those of `tillercleat_rollout`, which does not depend on
//! this crate. Pure functions.

use crate::coordination::{RefusalKind, Response};
use crate::protocol::peer;
use crate::protocol::state::{self, Change, Condition, StoreResponse, Transaction, WatchEvent};
use crate::protocol::users::{JobKind, JobSpec, JobState, Priority};
use crate::units::{JobId, LeaseId, Revision};
use serde_json::Value;
use std::net::SocketAddr;
use tillercleat_rollout::file;
use tillercleat_rollout::ports::{Answer, Commit, Item, JobStatus, JobSubmission, ObservedReplica, ReplicaState};
use tillercleat_rollout::units::{
    JobId as RolloutJobId, LeaseId as RolloutLeaseId, Millis as RolloutMillis, Revision as RolloutRevision,
};

/// The store transaction that writes a roll-out's record only if the keys in the conditions are unchanged.
pub fn transaction(commit: &Commit) -> Transaction {
    let conditions = commit.conditions.iter().map(|(key, at)| Condition { key: key.clone(), version: Revision(at.0) });
    let (key, value) = (commit.key.clone(), commit.value.clone());
    let change = match commit.lease {
        Some(lease) => Change::put_leased(key, value, LeaseId(lease.0)),
        None => Change::put(key, value),
    };
    Transaction { conditions: conditions.collect(), changes: vec![change] }
}

/// Converts a response from the store.
pub fn store_answer(answer: StoreResponse) -> Answer {
    match answer {
        StoreResponse::Found(found) => Answer::Found(item(found)),
        StoreResponse::Missing(_) => Answer::Missing,
        StoreResponse::Page(page) => Answer::Page {
            items: page.items.into_iter().map(item).collect(),
            more: page.truncated,
            revision: RolloutRevision(page.revision.0),
        },
        StoreResponse::Committed(at) => Answer::Committed(RolloutRevision(at.0)),
        StoreResponse::Conflict(_) => Answer::Conflict,
        StoreResponse::LeaseGranted(lease) => Answer::Granted(RolloutLeaseId(lease.0)),
        StoreResponse::LeaseRenewed => Answer::Renewed,
        StoreResponse::LeaseGone => Answer::LeaseGone,
        StoreResponse::WatchEvents(changes) => Answer::Changes {
            revision: RolloutRevision(changes.revision.0),
            changed: changes.events.into_iter().map(change).collect(),
        },
        StoreResponse::TooOld => Answer::TooOld,
        StoreResponse::Invalid(reason) => {
            tracing::warn!(%reason, "the store rejected a call of roll-outs");
            Answer::Refused
        }
        StoreResponse::Unavailable => Answer::Refused,
        StoreResponse::Unknown => Answer::Unknown,
    }
}

fn item(item: state::Item) -> Item {
    Item { key: item.key, value: item.value, revision: RolloutRevision(item.version.0) }
}

/// Key, value (none if deleted) and version of a key reported by a watch.
fn change(event: WatchEvent) -> (String, Option<Value>, RolloutRevision) {
    match event {
        WatchEvent::Put { key, value, version } => (key, Some(value), RolloutRevision(version.0)),
        WatchEvent::Delete { key, version } => (key, None, RolloutRevision(version.0)),
    }
}

/// The job specification for one group of replicas, equivalent to a user's submission.
pub fn job_spec(id: &RolloutJobId, submission: &JobSubmission) -> JobSpec {
    let job = &submission.job;
    JobSpec {
        id: JobId::new(&id.0),
        class: job.class.clone(),
        team: job.team.clone(),
        kind: JobKind::Service,
        priority: match job.priority {
            file::Priority::Low => Priority::Low,
            file::Priority::Normal => Priority::Normal,
            file::Priority::High => Priority::High,
            file::Priority::Critical => Priority::Critical,
        },
        task_count: submission.replicas,
        cpus: job.cpus,
        gpus: job.gpus,
        mem_gb: job.mem_gb,
        image: job.image.clone(),
        image_gb: job.image_gb,
        types: job.types.clone(),
        zone: submission.zone.clone().or_else(|| job.zone.clone()),
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

fn job_fate(state: JobState) -> Answer {
    Answer::Job(match state {
        JobState::Queued | JobState::Running => JobStatus::Accepted,
        JobState::Done | JobState::Cancelled => JobStatus::Ended,
    })
}

/// Converts the response to a submission. Without a response the outcome is unknown: the core may still
/// accept the job.
pub fn submission_answer(response: Option<Response>) -> Answer {
    match response {
        Some(Response::Job { state, .. }) => job_fate(state),
        Some(Response::Error(refusal)) => match refusal.kind() {
            RefusalKind::BadRequest | RefusalKind::Unprocessable => Answer::Unacceptable(refusal.to_string()),
            RefusalKind::Unavailable => Answer::Refused,
            RefusalKind::NotFound => Answer::Unknown,
        },
        _ => Answer::Unknown,
    }
}

/// Converts the response to a cancellation. Without a response the outcome is unknown: the core may still
/// cancel the job.
pub fn cancellation_answer(response: Option<Response>) -> Answer {
    match response {
        Some(Response::Job { state, .. }) => job_fate(state),
        Some(Response::Error(refusal)) if refusal.kind() == RefusalKind::NotFound => Answer::Job(JobStatus::Unknown),
        Some(Response::Error(_)) => Answer::Refused,
        _ => Answer::Unknown,
    }
}

/// Converts a replica reported by its shard's owner. `host` is the address of its machine without the port;
/// empty if the address is unknown.
pub fn observed_replica(replica: peer::Replica) -> ObservedReplica {
    use peer::replica::State;
    let replica_state = match replica.state() {
        State::Waiting => ReplicaState::Pending,
        State::Placed => ReplicaState::Starting,
        State::Running => ReplicaState::Running,
        State::Leaving => ReplicaState::Terminating,
        State::Ended => ReplicaState::Ended,
    };
    ObservedReplica {
        host: replica.addr.parse::<SocketAddr>().map(|addr| addr.ip().to_string()).unwrap_or_default(),
        replica: (RolloutJobId(replica.job), replica.index),
        attempt: replica.attempt,
        state: replica_state,
        zone: replica.zone,
        failed_attempt: replica.failed_attempt,
        heartbeat_age: RolloutMillis(replica.age_ms),
        token: replica.token,
    }
}
