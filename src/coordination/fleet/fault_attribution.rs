//! Whose fault a failed task is: its job's or its machine's.
//!
//! A job submitted with a mistake fails on every machine until its user cancels it; a faulty machine
//! fails every task. The two are distinguished by what else happens: a job of which any task succeeded is
//! sound, and a machine that fails several sound jobs is faulty. A job that failed on several machines
//! while none of its tasks ever succeeded fails everywhere: it is tried with one task at a time at
//! growing intervals, claims no guarantee and causes no rental.
//!
//! Heartbeats report failures; scheduling, demand and peer statuses ask.

use crate::coordination::Core;
use crate::protocol::peer::PeerStatus;
use crate::storage::cache::Job;
use crate::storage::records::JobOutcome;
use crate::units::{JobId, MachineId, Millis, MonotonicTime, ShardId};
use std::collections::{BTreeMap, BTreeSet};

/// Machines that a job must fail on, with nothing done, to count as failing everywhere.
const SEVERAL_MACHINES: usize = 3;

/// Sound jobs that a machine must fail to be faulty.
const FAULTY_AFTER: usize = 2;

/// The pause after the first try of a job that fails everywhere; doubled with each further try.
const FIRST_BACKOFF_S: f64 = 5.0;

/// The longest pause between tries.
const LONGEST_BACKOFF_S: f64 = 60.0;

/// How long a machine takes nothing new that failed several jobs of which it is not known yet
/// whether they run elsewhere.
const MACHINE_BACKOFF: Millis = Millis(5000);

/// How long failures that did not recur are remembered.
const FORGET_AFTER: Millis = Millis(600_000);

/// Failures of one job.
#[derive(Debug)]
struct JobFailures {
    machines: BTreeSet<MachineId>,
    /// The next pause between tries.
    backoff_s: f64,
    retry_at: MonotonicTime,
    last: MonotonicTime,
}

impl JobFailures {
    fn none(now: MonotonicTime) -> JobFailures {
        JobFailures { machines: BTreeSet::new(), backoff_s: FIRST_BACKOFF_S, retry_at: now, last: now }
    }

    fn on_several_machines(&self) -> bool {
        self.machines.len() >= SEVERAL_MACHINES
    }

    fn add(&mut self, machine: &MachineId, now: MonotonicTime) {
        self.last = now;
        self.machines.insert(machine.clone());
        // Tasks that ran side by side and failed together count as one try.
        if self.on_several_machines() && now >= self.retry_at {
            self.retry_at = now + Millis::from_secs(self.backoff_s);
            self.backoff_s = (self.backoff_s * 2.0).min(LONGEST_BACKOFF_S);
        }
    }
}

/// Jobs that failed of late, as seen by this process.
#[derive(Debug, Default)]
pub(super) struct FailureHistory {
    jobs: BTreeMap<JobId, JobFailures>,
}

impl FailureHistory {
    /// Notes that a task of the job failed on the machine.
    pub(super) fn record(&mut self, job: &JobId, machine: &MachineId, now: MonotonicTime) {
        self.jobs.entry(job.clone()).or_insert_with(|| JobFailures::none(now)).add(machine, now);
    }

    /// Drops failures on a machine that proved faulty: they say nothing of jobs.
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

    fn forget(&mut self, now: MonotonicTime, is_over: impl Fn(&JobId) -> bool) {
        self.jobs.retain(|job, failures| now.since(failures.last) < FORGET_AFTER && !is_over(job));
    }
}

impl Core {
    /// True if the job failed wherever it ran, as far as this node or a peer knows.
    pub(crate) fn fails_everywhere(&self, job: &JobId) -> bool {
        let reported = |status: &PeerStatus| status.failing_jobs.iter().any(|failing| failing == job.as_str());
        (self.estimates.failures.failed_on_several(job) || self.membership.peers().statuses().any(reported))
            && !self.has_succeeded(job)
    }

    /// True if a job that fails everywhere is to wait: between tries, and for the end of its one task.
    pub(crate) fn in_retry_backoff(&self, id: &JobId, job: &Job) -> bool {
        self.fails_everywhere(id) && (self.estimates.failures.in_backoff(id, self.now) || job.has_placed_tasks())
    }

    /// Jobs that failed wherever they ran as seen here. Broadcast to peers, because the leader rents for all shards.
    pub(crate) fn failing_jobs(&self) -> Vec<String> {
        let failures = &self.estimates.failures;
        let failing = failures.jobs.keys().filter(|job| failures.failed_on_several(job));
        failing.filter(|job| !self.has_succeeded(job)).map(|job| job.to_string()).collect()
    }

    /// Decides whether failures on a machine are its own fault.
    pub(crate) fn update_faulty_machine(&mut self, shard: ShardId, name: &MachineId) {
        let machine = self.owned_shards.get(&shard).and_then(|owned_shard| owned_shard.machines.get(name));
        let Some(machine) = machine.filter(|machine| !machine.faulty) else { return };
        let jobs = || machine.failed_jobs.keys();
        let sound = jobs().filter(|job| self.has_succeeded(job)).count();
        let unknown = jobs().filter(|job| !self.has_succeeded(job) && !self.fails_everywhere(job)).count();
        let faulty = sound >= FAULTY_AFTER;
        let backs_off = sound + unknown >= FAULTY_AFTER;
        let until = self.now + MACHINE_BACKOFF;
        let machine = self.owned_shards.get_mut(&shard).and_then(|owned_shard| owned_shard.machines.get_mut(name));
        if let Some(machine) = machine {
            machine.faulty = faulty;
            if backs_off {
                machine.cordoned_until = until;
            }
        }
        if faulty {
            tracing::info!(shard = %shard, machine = %name, "marked machine as faulty: it fails jobs that succeed elsewhere");
            self.estimates.failures.forget_machine(name);
        }
    }

    /// Judges all machines anew: a task that succeeded elsewhere may show that its job is sound.
    pub(crate) fn update_faulty_machines(&mut self) {
        for (shard, name) in self.newly_faulty_machines() {
            self.update_faulty_machine(shard, &name);
        }
        let cache = &self.cache;
        let ended = |job: &JobId| cache.jobs.get(job).is_none_or(|job| job.record.outcome.is_some());
        self.estimates.failures.forget(self.now, ended);
        let cancelled = |job: &JobId| cache.final_state(job) == Some(JobOutcome::Cancelled);
        for machine in self.owned_shards.values_mut().flat_map(|owned_shard| owned_shard.machines.values_mut()) {
            machine.failed_jobs.retain(|job, _| !cancelled(job));
        }
    }

    /// Machines that have failed enough sound jobs and are not marked as faulty yet.
    fn newly_faulty_machines(&self) -> Vec<(ShardId, MachineId)> {
        let mut faulty = vec![];
        for (shard, owned_shard) in &self.owned_shards {
            for (name, machine) in &owned_shard.machines {
                let doubtful = !machine.faulty && machine.failed_jobs.len() >= FAULTY_AFTER;
                let sound_jobs = || machine.failed_jobs.keys().filter(|job| self.has_succeeded(job)).count();
                if doubtful && sound_jobs() >= FAULTY_AFTER {
                    faulty.push((*shard, name.clone()));
                }
            }
        }
        faulty
    }

    /// True if a task of the job ever succeeded: then failures are not its fault.
    fn has_succeeded(&self, job: &JobId) -> bool {
        self.cache.jobs.get(job).is_some_and(|job| !job.holds_machines() || job.done_and_placed().0 > 0)
    }
}

#[cfg(test)]
mod tests;
