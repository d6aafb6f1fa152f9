//! Where the replicas of services are and how they fare.
//!
//! Read by the roll-out driver, through the transport. Nothing here changes what the core decides.

use crate::coordination::shards::owned_shard::{Machine, OwnedShard, TaskKey};
use crate::coordination::Core;
use crate::protocol::users::JobKind;
use crate::protocol::workers::TaskState;
use crate::storage::records::TaskRecord;
use crate::units::{Attempt, FencingToken, JobId, Millis, ShardId};

/// The most replicas whose failures are remembered.
const MAX_FAILURES: usize = 4096;

/// What an owner knows of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaState {
    /// On no machine for certain.
    Waiting,
    /// Assigned to a machine that is not known to run it yet.
    Placed,
    /// Running on its machine.
    Running,
    /// Being stopped, or on a machine about to be taken away.
    Leaving,
    /// Ended by itself, for good.
    Ended,
}

/// One replica of a service, as the owner of its shard sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replica {
    /// The service's job.
    pub job: JobId,
    /// Which of the job's replicas, from zero.
    pub index: u32,
    /// Which attempt to run it.
    pub attempt: Attempt,
    /// How it fares.
    pub state: ReplicaState,
    /// The worker's address; empty while the replica is on no known machine.
    pub addr: String,
    /// The machine's zone; empty while the replica is on no known machine.
    pub zone: String,
    /// How long ago its machine's last heartbeat came.
    pub age: Millis,
    /// The last attempt known to have failed by its own fault.
    pub error: Option<Attempt>,
    /// The owner's fencing token: of two owners' answers, that with the higher one counts.
    pub token: FencingToken,
}

impl Core {
    /// The replicas of these jobs that are in shards that this node owns.
    pub fn replicas(&self, jobs: &[JobId]) -> Vec<Replica> {
        let mut found = vec![];
        for (id, job) in jobs.iter().filter_map(|id| Some((id, self.cache.jobs.get(id)?))) {
            if job.record.spec.kind != JobKind::Standing || job.record.outcome.is_some() {
                continue;
            }
            for index in 0..job.record.spec.task_count {
                let key = (id.clone(), index);
                if let Some(location) = self.locate_task(&key) {
                    let shard = location.shard;
                    found.extend(self.replica(key, shard));
                }
            }
        }
        found
    }

    fn replica(&self, key: TaskKey, shard: ShardId) -> Option<Replica> {
        let owned_shard = self.owned_shards.get(&shard).filter(|owned_shard| owned_shard.ready)?;
        let record = self.desired_task(&key)?;
        let (attempt, state, machine) = match record {
            TaskRecord::Pending(attempt) => (*attempt, ReplicaState::Waiting, None),
            TaskRecord::Done => (Attempt(0), ReplicaState::Ended, None),
            TaskRecord::Placed(attempt, machine) => {
                let machine = owned_shard.machines.get(machine);
                (*attempt, placed_replica_state(owned_shard, machine, &key, *attempt), machine)
            }
        };
        Some(Replica {
            index: key.1,
            attempt,
            state,
            addr: machine.map(|machine| machine.addr.clone()).unwrap_or_default(),
            zone: machine.map(|machine| machine.zone.clone()).unwrap_or_default(),
            age: machine.map_or(Millis(u64::MAX), |machine| self.now.since(machine.last_heartbeat)),
            error: self.estimates.failed_attempt(&key),
            token: owned_shard.token,
            job: key.0,
        })
    }

    /// Notes that an attempt of a task failed, if the task is a service's replica.
    pub(crate) fn record_replica_failure(&mut self, key: &TaskKey, attempt: Attempt) {
        let service = self.cache.jobs.get(&key.0).is_some_and(|job| job.record.spec.kind == JobKind::Standing);
        if service && self.estimates.failed_attempt_count() < MAX_FAILURES {
            self.estimates.record_failed_attempt(key.clone(), attempt);
        }
    }

    /// Forgets the failures of services that have ended.
    pub(crate) fn forget_replica_failures(&mut self) {
        let cache = &self.cache;
        let open = |key: &TaskKey| cache.jobs.get(&key.0).is_some_and(|job| job.record.outcome.is_none());
        self.estimates.retain_failed_attempts(open);
    }
}

/// The state of a replica that is assigned to a machine, by the machine's last heartbeat.
fn placed_replica_state(
    owned_shard: &OwnedShard,
    machine: Option<&Machine>,
    key: &TaskKey,
    attempt: Attempt,
) -> ReplicaState {
    let reported =
        machine.and_then(|machine| machine.reported_tasks.get(key)).filter(|reported| reported.attempt == attempt);
    let leaving = owned_shard.stopping.contains_key(key) || machine.is_some_and(|machine| machine.notice.is_some());
    match reported.map(|reported| reported.state) {
        Some(TaskState::Running) if leaving => ReplicaState::Leaving,
        Some(TaskState::Saving) => ReplicaState::Leaving,
        Some(TaskState::Running) => ReplicaState::Running,
        _ => ReplicaState::Placed,
    }
}
