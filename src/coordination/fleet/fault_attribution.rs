//! Attribution of task failures to the job or to the machine.
//!
//! A job submitted with a mistake fails on every machine until its user cancels it; a faulty machine
//! fails every task. Other results tell them apart: a job is sound if any of its tasks succeeded, and a
//! machine is faulty if several sound jobs fail on it. A job fails everywhere if it failed on several
//! machines and none of its tasks ever succeeded: it is retried with one task at a time at growing
//! intervals, claims no guarantee and causes no rental.
//!
//! Heartbeats record failures; scheduling, demand and peer statuses read the result.

use crate::coordination::Core;
use crate::protocol::peer::PeerStatus;
use crate::storage::cache::Job;
use crate::storage::records::JobOutcome;
use crate::units::{JobId, MachineId, Millis, MonotonicTime, ShardId};
use std::collections::{BTreeMap, BTreeSet};

/// Number of machines on which a job without any success must have failed to count as failing
/// everywhere.
const FAILS_EVERYWHERE_MIN_MACHINES: usize = 3;

/// Number of sound jobs that must have failed on a machine for it to count as faulty.
const FAULTY_MIN_JOBS: usize = 2;

/// First retry delay of a job that fails everywhere; doubles with each retry.
const INITIAL_BACKOFF_S: f64 = 5.0;

/// Upper bound of the retry delay.
const MAX_BACKOFF_S: f64 = 60.0;

/// How long a machine gets no new tasks after enough jobs failed on it that are or may be sound.
const MACHINE_BACKOFF: Millis = Millis(5000);

/// How long the failures of a job are remembered after the latest one.
const FAILURE_RETENTION: Millis = Millis(600_000);

/// Failures of one job.
#[derive(Debug)]
struct JobFailures {
    machines: BTreeSet<MachineId>,
    /// Delay that follows the next retry, in seconds.
    backoff_s: f64,
    retry_at: MonotonicTime,
    last_failure_at: MonotonicTime,
}

impl JobFailures {
    fn new(now: MonotonicTime) -> JobFailures {
        JobFailures { machines: BTreeSet::new(), backoff_s: INITIAL_BACKOFF_S, retry_at: now, last_failure_at: now }
    }

    fn on_several_machines(&self) -> bool {
        self.machines.len() >= FAILS_EVERYWHERE_MIN_MACHINES
    }

    fn add(&mut self, machine: &MachineId, now: MonotonicTime) {
        self.last_failure_at = now;
        self.machines.insert(machine.clone());
        // Tasks that ran concurrently and failed together count as one attempt.
        if self.on_several_machines() && now >= self.retry_at {
            self.retry_at = now + Millis::from_secs(self.backoff_s);
            self.backoff_s = (self.backoff_s * 2.0).min(MAX_BACKOFF_S);
        }
    }
}

/// Recent failures of jobs, as observed by this process.
#[derive(Debug, Default)]
pub(super) struct FailureHistory {
    jobs: BTreeMap<JobId, JobFailures>,
}

impl FailureHistory {
    /// Records that a task of the job failed on the machine.
    pub(super) fn record(&mut self, job: &JobId, machine: &MachineId, now: MonotonicTime) {
        self.jobs.entry(job.clone()).or_insert_with(|| JobFailures::new(now)).add(machine, now);
    }

    /// Drops failures on a faulty machine: they are no evidence against the jobs.
    fn forget_machine(&mut self, machine: &MachineId) {
        for failures in self.jobs.values_mut() {
            failures.machines.remove(machine);
        }
    }

    fn failed_on_several(&self, job: &JobId) -> bool {
        self.jobs.get(job).is_some_and(JobFailures::on_several_machines)
    }

    fn in_backoff(&self, job: &JobId, now: MonotonicTime) -> bool {
        self.jobs.get(job).is_some_and(|failures| now < failures.retry_at)
    }

    fn prune(&mut self, now: MonotonicTime, has_ended: impl Fn(&JobId) -> bool) {
        self.jobs.retain(|job, failures| now.since(failures.last_failure_at) < FAILURE_RETENTION && !has_ended(job));
    }
}

impl Core {
    /// True if the job fails everywhere, as far as this node or a peer knows.
    pub(crate) fn fails_everywhere(&self, job: &JobId) -> bool {
        let reported = |status: &PeerStatus| status.failing_jobs.iter().any(|failing| failing == job.as_str());
        (self.estimates.failures.failed_on_several(job) || self.membership.peers().statuses().any(reported))
            && !self.has_succeeded(job)
    }

    /// True if a job that fails everywhere must wait: for the next retry, or for its one placed task to
    /// end.
    pub(crate) fn in_retry_backoff(&self, id: &JobId, job: &Job) -> bool {
        self.fails_everywhere(id) && (self.estimates.failures.in_backoff(id, self.now) || job.has_placed_tasks())
    }

    /// Returns the jobs that fail everywhere as observed by this process. They are broadcast to peers,
    /// because the leader rents for all shards.
    pub(crate) fn failing_jobs(&self) -> Vec<String> {
        let failures = &self.estimates.failures;
        let failing = failures.jobs.keys().filter(|job| failures.failed_on_several(job));
        failing.filter(|job| !self.has_succeeded(job)).map(|job| job.to_string()).collect()
    }

    /// Marks the machine as faulty if enough sound jobs failed on it, and cordons it for a while if
    /// enough jobs failed on it that are or may be sound.
    pub(crate) fn update_faulty_machine(&mut self, shard: ShardId, name: &MachineId) {
        let machine = self.owned_shards.get(&shard).and_then(|owned_shard| owned_shard.machines.get(name));
        let Some(machine) = machine.filter(|machine| !machine.faulty) else { return };
        let jobs = || machine.failed_jobs.keys();
        let sound = jobs().filter(|job| self.has_succeeded(job)).count();
        let unknown = jobs().filter(|job| !self.has_succeeded(job) && !self.fails_everywhere(job)).count();
        let faulty = sound >= FAULTY_MIN_JOBS;
        let needs_backoff = sound + unknown >= FAULTY_MIN_JOBS;
        let until = self.now + MACHINE_BACKOFF;
        let machine = self.owned_shards.get_mut(&shard).and_then(|owned_shard| owned_shard.machines.get_mut(name));
        if let Some(machine) = machine {
            machine.faulty = faulty;
            if needs_backoff {
                machine.cordoned_until = until;
            }
        }
        if faulty {
            tracing::info!(shard = %shard, machine = %name, "marked machine as faulty: it fails jobs that succeed elsewhere");
            self.estimates.failures.forget_machine(name);
        }
    }

    /// Re-evaluates all machines, since a success elsewhere may show that a failed job is sound, and
    /// drops failures that no longer matter.
    pub(crate) fn update_faulty_machines(&mut self) {
        for (shard, name) in self.newly_faulty_machines() {
            self.update_faulty_machine(shard, &name);
        }
        let cache = &self.cache;
        let has_ended = |job: &JobId| cache.jobs.get(job).is_none_or(|job| job.record.outcome.is_some());
        self.estimates.failures.prune(self.now, has_ended);
        let cancelled = |job: &JobId| cache.final_state(job) == Some(JobOutcome::Cancelled);
        for machine in self.owned_shards.values_mut().flat_map(|owned_shard| owned_shard.machines.values_mut()) {
            machine.failed_jobs.retain(|job, _| !cancelled(job));
        }
    }

    /// Returns the machines on which enough sound jobs failed and that are not marked as faulty yet.
    fn newly_faulty_machines(&self) -> Vec<(ShardId, MachineId)> {
        let mut faulty = vec![];
        for (shard, owned_shard) in &self.owned_shards {
            for (name, machine) in &owned_shard.machines {
                let is_candidate = !machine.faulty && machine.failed_jobs.len() >= FAULTY_MIN_JOBS;
                let sound_jobs = || machine.failed_jobs.keys().filter(|job| self.has_succeeded(job)).count();
                if is_candidate && sound_jobs() >= FAULTY_MIN_JOBS {
                    faulty.push((*shard, name.clone()));
                }
            }
        }
        faulty
    }

    /// True if a task of the job ever succeeded, which makes the job sound.
    fn has_succeeded(&self, job: &JobId) -> bool {
        self.cache.jobs.get(job).is_some_and(|job| !job.holds_machines() || job.done_and_placed().0 > 0)
    }
}

#[cfg(test)]
mod tests;
