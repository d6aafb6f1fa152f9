//! What experience teaches: machines' lifetimes, run times against estimates,
//! the size of jobs that must start at once, and what fails.

use crate::coordination::fleet::fault_attribution::FailureHistory;
use crate::coordination::scheduling::lifetimes::{Lifetime, LifetimeHistory};
use crate::coordination::scheduling::scoring::remaining;
use crate::coordination::shards::owned_shard::{Machine, OwnedShard, TaskKey};
use crate::coordination::Core;
use crate::storage::cache::Job;
use crate::storage::names::InternedName;
use crate::units::{Attempt, JobId, MachineId, Millis, MonotonicTime, ShardId};
use foldhash::fast::FixedState;
use std::collections::{BTreeMap, HashMap};

/// Kind, spot and zone: machines that share a history.
type Family = (String, bool, String);

/// How a class's run times compare with its owners' estimates.
#[derive(Debug)]
struct Ratio {
    /// Mean logarithm of actual over estimated time, and its weight.
    mean_ln: f64,
    weight: f64,
    /// The factor that follows from it.
    factor: f64,
}

/// What this node has learned since it started.
#[derive(Debug, Default)]
pub struct Estimates {
    histories: BTreeMap<Family, LifetimeHistory>,
    ratios: HashMap<InternedName, Ratio, FixedState>,
    /// Per class that must start at once: mean cores of a job, and weight.
    job_cpus: BTreeMap<String, (f64, f64)>,
    pub(in crate::coordination::fleet) failures: FailureHistory,
    /// The last failed attempt of each replica of a service.
    failed_attempts: BTreeMap<TaskKey, Attempt>,
}

impl Estimates {
    pub fn machine_gone(&mut self, machine: &Machine, now: MonotonicTime, lost: bool) {
        let family = (machine.kind.clone(), machine.spot, machine.zone.clone());
        let age_s = now.since(machine.born).as_secs();
        self.histories.entry(family).or_default().add(Lifetime { age_s, lost });
    }

    pub fn learn_ratio(&mut self, class: &InternedName, ratio: f64) {
        let first = Ratio { mean_ln: 0.0, weight: 3.0, factor: 1.0 };
        let entry = self.ratios.entry(class.clone()).or_insert(first);
        entry.mean_ln = (entry.mean_ln * entry.weight + ratio.clamp(0.1, 10.0).ln()) / (entry.weight + 1.0);
        entry.weight = (entry.weight + 1.0).min(100.0);
        entry.factor = entry.mean_ln.exp();
    }

    pub fn record_quick_start_job(&mut self, class: &str, cpus: f64) {
        let mean = self.job_cpus.entry(class.to_string()).or_insert((0.0, 0.0));
        mean.1 = (mean.1 + 1.0).min(30.0);
        mean.0 += (cpus - mean.0) / mean.1;
    }

    /// Cores of a usual job of each class that must start at once, in all.
    pub fn quick_start_cpus(&self) -> f64 {
        self.job_cpus.values().map(|mean| mean.0).sum()
    }

    /// Notes that a task of the job failed on the machine.
    pub(crate) fn record_failure(&mut self, job: &JobId, machine: &MachineId, now: MonotonicTime) {
        self.failures.record(job, machine, now);
    }

    /// The last attempt of a service's replica that failed.
    pub(crate) fn failed_attempt(&self, replica: &TaskKey) -> Option<Attempt> {
        self.failed_attempts.get(replica).copied()
    }

    /// How many replicas have a failed attempt.
    pub(crate) fn failed_attempt_count(&self) -> usize {
        self.failed_attempts.len()
    }

    /// Notes that an attempt of a service's replica failed.
    pub(crate) fn record_failed_attempt(&mut self, replica: TaskKey, attempt: Attempt) {
        self.failed_attempts.insert(replica, attempt);
    }

    /// Keeps the failed attempts of those replicas only.
    pub(crate) fn retain_failed_attempts(&mut self, keep: impl Fn(&TaskKey) -> bool) {
        self.failed_attempts.retain(|replica, _| keep(replica));
    }

    /// The owner's estimate, corrected by what its class has shown.
    pub fn run_time(&self, job: &Job) -> f64 {
        job.record.spec.estimated_run_s * self.ratios.get(&job.class).map_or(1.0, |r| r.factor)
    }

    /// The lifetimes of machines like this one, if any ended.
    pub fn history(&self, machine: &Machine) -> Option<&LifetimeHistory> {
        let alike = |f: &&Family| f.0 == machine.kind && f.1 == machine.spot && f.2 == machine.zone;
        // A handful of families: looked through faster than a key is made.
        self.histories.iter().find(|(family, _)| alike(family)).map(|(_, history)| history)
    }
}

impl Core {
    pub(crate) fn learn_run_time(&mut self, shard: ShardId, key: &TaskKey) {
        let Some(owned_shard) = self.owned_shards.get(&shard) else { return };
        let Some(started) = owned_shard.running_since.get(key) else { return };
        // A task that ran before we owned the shard began at a time unknown, and
        // one that ran while we stood still ended at a time unknown. Learned
        // from, a standstill of 20 s once made all later work seem half as long
        // again, and machines were rented for it.
        if started.since(owned_shard.owned_since) < Millis(3000) || *started < self.resumed_at {
            return;
        }
        let ran = self.now.since(*started).as_secs();
        let Some(job) = self.cache.jobs.get(&key.0) else { return };
        let (class, estimate) = (job.class.clone(), job.record.spec.estimated_run_s);
        if estimate > 0.0 && ran > 0.5 {
            self.estimates.learn_ratio(&class, ran / estimate);
        }
    }

    pub(crate) fn rebuild_histories(&mut self) {
        let mut up: BTreeMap<&Family, Vec<f64>> = self.estimates.histories.keys().map(|f| (f, vec![])).collect();
        for machine in self.owned_shards.values().flat_map(|m| m.machines.values()) {
            let alike = |f: &&&Family| f.0 == machine.kind && f.1 == machine.spot && f.2 == machine.zone;
            if let Some(family) = up.keys().find(alike).copied() {
                up.entry(family).or_default().push(self.now.since(machine.born).as_secs());
            }
        }
        let ages: Vec<Vec<f64>> = up.into_values().collect();
        for (history, ages) in self.estimates.histories.values_mut().zip(ages) {
            history.rebuild(&ages);
        }
    }

    /// Time a placed task still needs, its image included.
    pub(crate) fn remaining_s(&self, owned_shard: &OwnedShard, job: &Job, key: &TaskKey) -> f64 {
        self.remaining_s_of_run(owned_shard, self.estimates.run_time(job), key)
    }

    /// The same for a task whose run time is known already.
    pub(crate) fn remaining_s_of_run(&self, owned_shard: &OwnedShard, run_s: f64, key: &TaskKey) -> f64 {
        match owned_shard.running_since.get(key) {
            Some(at) => remaining(run_s, self.now.since(*at).as_secs()),
            None => run_s + 2.0,
        }
    }
}
