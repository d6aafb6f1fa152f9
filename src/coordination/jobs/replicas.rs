//! Placement and state of the replicas of services.
//!
//! The roll-out driver reads this through the transport. It does not affect scheduling decisions.

use crate::coordination::shards::owned_shard::{Machine, OwnedShard, TaskKey};
use crate::coordination::Core;
use crate::protocol::users::JobKind;
use crate::protocol::workers::TaskState;
use crate::storage::records::TaskRecord;
use crate::units::{Attempt, FencingToken, JobId, Millis, ShardId};

/// Maximum number of replicas whose last failed attempt is remembered.
const MAX_RECORDED_FAILURES: usize = 4096;

/// State of a replica, as known to the owner of its shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaState {
    /// Pending: certainly on no machine.
    Waiting,
    /// Assigned to a machine that has not reported it as running yet; possibly on that machine.
    Placed,
    /// Reported as running by its machine, and not being stopped.
    Running,
    /// Being stopped, or running on a machine with a termination notice.
    Leaving,
    /// Exited without being stopped, and will not be restarted.
    Ended,
}

/// One replica of a service, as the owner of its shard sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replica {
    /// Id of the service's job.
    pub job: JobId,
    /// Index of the replica within its job, counted from zero.
    pub index: u32,
    /// Number of the current attempt to run the replica; zero if it has ended.
    pub attempt: Attempt,
    /// State by the shard's records and the last heartbeat of the machine.
    pub state: ReplicaState,
    /// Address of the worker; empty while the replica is not on a known machine.
    pub addr: String,
    /// Zone of the machine; empty while the replica is not on a known machine.
    pub zone: String,
    /// Time since the machine's last heartbeat; the maximum value while the replica is not on a known
    /// machine whose worker has seen the owner's fencing token.
    pub heartbeat_age: Millis,
    /// The last attempt known to have failed by a fault of the replica itself, if any.
    pub failed_attempt: Option<Attempt>,
    /// Fencing token of the shard owner. If two owners report the replica, the higher token wins.
    pub token: FencingToken,
}

impl Core {
    /// Returns the replicas of the given services in the shards that this node owns. Skips ended
    /// services and jobs that are not services.
    pub fn replicas(&self, jobs: &[JobId]) -> Vec<Replica> {
        let mut found = vec![];
        for (id, job) in jobs.iter().filter_map(|id| Some((id, self.cache.jobs.get(id)?))) {
            if job.record.spec.kind != JobKind::Service || job.record.outcome.is_some() {
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
            heartbeat_age: machine.map_or(Millis(u64::MAX), |machine| self.age_of_newest_heartbeat(machine)),
            failed_attempt: self.estimates.failed_attempt(&key),
            token: owned_shard.token,
            job: key.0,
        })
    }

    /// Returns the time since the machine's newest heartbeat arrived. Returns the maximum value until the worker has seen this
    /// owner's fencing token: the heartbeat may be a late one of an earlier epoch.
    fn age_of_newest_heartbeat(&self, machine: &Machine) -> Millis {
        if machine.token_acknowledged {
            self.now.since(machine.last_heartbeat)
        } else {
            Millis(u64::MAX)
        }
    }

    /// Records a failed attempt of a task, if the task is a replica of a service.
    pub(crate) fn record_replica_failure(&mut self, key: &TaskKey, attempt: Attempt) {
        let service = self.cache.jobs.get(&key.0).is_some_and(|job| job.record.spec.kind == JobKind::Service);
        if service && self.estimates.failed_attempt_count() < MAX_RECORDED_FAILURES {
            self.estimates.record_failed_attempt(key.clone(), attempt);
        }
    }

    /// Discards the recorded failures of services that have ended.
    pub(crate) fn forget_replica_failures(&mut self) {
        let cache = &self.cache;
        let open = |key: &TaskKey| cache.jobs.get(&key.0).is_some_and(|job| job.record.outcome.is_none());
        self.estimates.retain_failed_attempts(open);
    }
}

/// Returns the state of a replica assigned to a machine, according to the machine's last heartbeat.
fn placed_replica_state(
    owned_shard: &OwnedShard,
    machine: Option<&Machine>,
    key: &TaskKey,
    attempt: Attempt,
) -> ReplicaState {
    let reported =
        machine.and_then(|machine| machine.reported_tasks.get(key)).filter(|reported| reported.attempt == attempt);
    let leaving =
        owned_shard.stopping.contains_key(key) || machine.is_some_and(|machine| machine.termination_at.is_some());
    match reported.map(|reported| reported.state) {
        Some(TaskState::Running) if leaving => ReplicaState::Leaving,
        Some(TaskState::Saving) => ReplicaState::Leaving,
        Some(TaskState::Running) => ReplicaState::Running,
        _ => ReplicaState::Placed,
    }
}

#[cfg(test)]
mod tests;
