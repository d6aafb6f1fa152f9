//! Where the replicas of services are and how they fare, for those who watch
//! over them. Nothing here changes what the core decides.

use crate::coordination::shards::owned_shard::TaskKey;
use crate::coordination::Core;
use crate::protocol::users::JobKind;
use crate::protocol::workers::TaskState;
use crate::storage::records::TaskRecord;
use crate::units::{Attempt, FencingToken, JobId, Millis, ShardId};

/// Replicas whose errors are remembered at the most.
const MOST_ERRORS: usize = 4096;

/// What an owner knows of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaState {
    /// On no machine for certain.
    Waiting,
    /// Given to a machine that does not run it yet, as far as known.
    Placed,
    Running,
    /// Being stopped, or on a machine about to be taken away.
    Leaving,
    /// Ended by itself, for good.
    Ended,
}

/// One replica of a service, as the owner of its shard sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replica {
    pub job: JobId,
    pub index: u32,
    pub attempt: Attempt,
    pub state: ReplicaState,
    /// The worker's address; empty while the replica is on no known machine.
    pub addr: String,
    pub zone: String,
    /// How long ago its machine reported.
    pub age: Millis,
    /// The last attempt known to have failed by its own doing.
    pub error: Option<Attempt>,
    /// Of two owners' answers, that with the higher token counts.
    pub token: FencingToken,
}

impl Core {
    /// The replicas of these jobs that are in shards of this node's own.
    pub fn replicas(&self, jobs: &[JobId]) -> Vec<Replica> {
        let mut found = vec![];
        for (id, job) in jobs.iter().filter_map(|id| Some((id, self.cache.jobs.get(id)?))) {
            let standing = job.record.spec.kind == JobKind::Standing && job.record.end.is_none();
            for index in 0..job.record.spec.task_count * u32::from(standing) {
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
        let machine_of = |record: &TaskRecord| match record {
            TaskRecord::Placed(_, machine) => owned_shard.machines.get(machine),
            _ => None,
        };
        let record = self.desired_task(&key)?;
        let machine = machine_of(record);
        let (attempt, state) = match record {
            TaskRecord::Pending(attempt) => (*attempt, ReplicaState::Waiting),
            TaskRecord::Done => (Attempt(0), ReplicaState::Ended),
            TaskRecord::Placed(attempt, _) => {
                let listed =
                    machine.and_then(|m| m.reported_tasks.get(&key)).filter(|l| l.attempt == *attempt).map(|l| l.state);
                let leaving = owned_shard.stopping.contains_key(&key) || machine.is_some_and(|m| m.notice.is_some());
                let state = match listed {
                    Some(TaskState::Running) if leaving => ReplicaState::Leaving,
                    Some(TaskState::Saving) => ReplicaState::Leaving,
                    Some(TaskState::Running) => ReplicaState::Running,
                    _ => ReplicaState::Placed,
                };
                (*attempt, state)
            }
        };
        Some(Replica {
            index: key.1,
            attempt,
            state,
            addr: machine.map(|m| m.addr.clone()).unwrap_or_default(),
            zone: machine.map(|m| m.zone.clone()).unwrap_or_default(),
            age: machine.map_or(Millis(u64::MAX), |m| self.now.since(m.last_heartbeat)),
            error: self.estimates.failed_attempt(&key),
            token: owned_shard.token,
            job: key.0,
        })
    }

    /// Remembers that an attempt of a service's replica failed.
    pub(crate) fn note_error(&mut self, key: &TaskKey, attempt: Attempt) {
        let standing = self.cache.jobs.get(&key.0).is_some_and(|j| j.record.spec.kind == JobKind::Standing);
        if standing && self.estimates.failed_attempt_count() < MOST_ERRORS {
            self.estimates.record_failed_attempt(key.clone(), attempt);
        }
    }

    pub(crate) fn forget_errors(&mut self) {
        let cache = &self.cache;
        self.estimates.retain_failed_attempts(|key| cache.jobs.get(&key.0).is_some_and(|j| j.record.end.is_none()));
    }
}
