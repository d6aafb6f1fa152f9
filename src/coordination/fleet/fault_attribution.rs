//! Whose fault a failure is: the job's or the machine's.
//!
//! A job submitted with a mistake fails on every machine until its user cancels
//! it; a faulty machine fails every task. Told apart by what else happens: a
//! job of which any task was done is sound, and a machine that fails several
//! sound jobs is faulty. A job that failed on several machines while none of
//! its tasks was ever done is suspect: it is tried with one task at a time,
//! less and less often, claims no guarantee and makes nobody rent.

use crate::coordination::{Core, Peer};
use crate::units::{JobId, MachineId, Millis, MonotonicTime, ShardId};
use std::collections::{BTreeMap, BTreeSet};

/// Machines that a job must fail on, with nothing done, to be suspect.
const SUSPECT_AFTER: usize = 3;

/// Sound jobs that a machine must fail to be faulty.
const FAULTY_AFTER: usize = 2;

/// Pauses between tries of a suspect job: from the first, doubled, to the last.
const FIRST_PAUSE_S: f64 = 5.0;
const LAST_PAUSE_S: f64 = 60.0;

/// How long a machine rests that failed several jobs nothing is known of.
const REST: Millis = Millis(5000);

/// How long failures that never came again are remembered.
const FORGET_AFTER: Millis = Millis(600_000);

#[derive(Debug)]
struct JobFailures {
    machines: BTreeSet<MachineId>,
    pause_s: f64,
    retry_at: MonotonicTime,
    last: MonotonicTime,
}

/// Jobs that failed lately, as seen by this node.
#[derive(Debug, Default)]
pub struct FailureHistory {
    jobs: BTreeMap<JobId, JobFailures>,
}

impl FailureHistory {
    pub fn record(&mut self, job: &JobId, machine: &MachineId, now: MonotonicTime) {
        let entry = self.jobs.entry(job.clone()).or_insert_with(|| JobFailures {
            machines: BTreeSet::new(),
            pause_s: FIRST_PAUSE_S,
            retry_at: now,
            last: now,
        });
        entry.last = now;
        entry.machines.insert(machine.clone());
        // Tasks that ran side by side and failed together count as one try.
        if entry.machines.len() >= SUSPECT_AFTER && now >= entry.retry_at {
            entry.retry_at = now + Millis::secs(entry.pause_s);
            entry.pause_s = (entry.pause_s * 2.0).min(LAST_PAUSE_S);
        }
    }

    /// Failures on a machine that proved faulty say nothing about jobs.
    pub fn forget_machine(&mut self, machine: &MachineId) {
        for failing in self.jobs.values_mut() {
            failing.machines.remove(machine);
        }
    }

    fn failed_on_several(&self, job: &JobId) -> bool {
        self.jobs.get(job).is_some_and(|f| f.machines.len() >= SUSPECT_AFTER)
    }

    fn in_backoff(&self, job: &JobId, now: MonotonicTime) -> bool {
        self.jobs.get(job).is_some_and(|f| now < f.retry_at)
    }

    fn forget(&mut self, now: MonotonicTime, over: impl Fn(&JobId) -> bool) {
        self.jobs.retain(|job, f| now.since(f.last) < FORGET_AFTER && !over(job));
    }
}

impl Core {
    /// True if a task of the job was ever done: then failures are not its fault.
    fn has_succeeded(&self, job: &JobId) -> bool {
        self.cache.jobs.get(job).is_some_and(|j| !j.holds_machines() || j.counts().0 > 0)
    }

    /// True if the job failed wherever it ran, as far as this node or another knows.
    pub(crate) fn fails_everywhere(&self, job: &JobId) -> bool {
        let told = |p: &Peer| p.status.as_ref().is_some_and(|n| n.failing_jobs.iter().any(|f| f == job.as_str()));
        (self.estimates.failures.failed_on_several(job) || self.peers.values().any(told)) && !self.has_succeeded(job)
    }

    /// A suspect job waits between tries, and for the end of the one it has.
    pub(crate) fn in_retry_backoff(&self, id: &JobId, job: &crate::storage::cache::Job) -> bool {
        self.fails_everywhere(id) && (self.estimates.failures.in_backoff(id, self.now) || job.has_placed_tasks())
    }

    /// Suspect jobs, to be told to the others: the leader rents for all.
    pub(crate) fn failing_jobs(&self) -> Vec<String> {
        let jobs = self.estimates.failures.jobs.keys();
        jobs.filter(|j| self.estimates.failures.failed_on_several(j) && !self.has_succeeded(j))
            .map(|j| j.to_string())
            .collect()
    }

    /// Decides whether failures on a machine are its own fault.
    pub(crate) fn update_faulty_machine(&mut self, shard: ShardId, name: &MachineId) {
        let Some(machine) = self.owned_shards.get(&shard).and_then(|m| m.machines.get(name)).filter(|m| !m.faulty)
        else {
            return;
        };
        let sound = machine.failed_jobs.keys().filter(|j| self.has_succeeded(j)).count();
        let unknown =
            machine.failed_jobs.keys().filter(|j| !self.has_succeeded(j) && !self.fails_everywhere(j)).count();
        let faulty = sound >= FAULTY_AFTER;
        let rests = sound + unknown >= FAULTY_AFTER;
        let until = self.now + REST;
        if let Some(machine) = self.owned_shards.get_mut(&shard).and_then(|m| m.machines.get_mut(name)) {
            machine.faulty = faulty;
            if rests {
                machine.cordoned_until = until;
            }
        }
        if faulty {
            tracing::info!("{name} fails sound jobs: it is faulty");
            self.estimates.failures.forget_machine(name);
        }
    }

    /// What was done meanwhile elsewhere may show that a machine is faulty.
    pub(crate) fn update_faulty_machines(&mut self) {
        let doubtful: Vec<(ShardId, MachineId)> = self
            .owned_shards
            .iter()
            .flat_map(|(shard, owned_shard)| owned_shard.machines.iter().map(move |(name, m)| (*shard, name, m)))
            .filter(|(_, _, m)| !m.faulty && m.failed_jobs.len() >= FAULTY_AFTER)
            .filter(|(_, _, m)| m.failed_jobs.keys().filter(|j| self.has_succeeded(j)).count() >= FAULTY_AFTER)
            .map(|(shard, name, _)| (shard, name.clone()))
            .collect();
        for (shard, name) in doubtful {
            self.update_faulty_machine(shard, &name);
        }
        let cache = &self.cache;
        let ended = |job: &JobId| cache.jobs.get(job).is_none_or(|j| j.record.end.is_some());
        self.estimates.failures.forget(self.now, ended);
        for machine in self.owned_shards.values_mut().flat_map(|m| m.machines.values_mut()) {
            let cancelled =
                |job: &JobId| cache.final_state(job) == Some(crate::storage::records::JobOutcome::Cancelled);
            machine.failed_jobs.retain(|job, _| !cancelled(job));
        }
    }
}

#[cfg(test)]
mod tests;
