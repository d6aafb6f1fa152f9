//! What this process has learned since it started: lifetimes of machines, run times compared with
//! their estimates, the size of jobs that must start at once, and which jobs and replicas failed.
//!
//! Fed by heartbeats and by changes of the cache, asked by scheduling, demand and jobs. Nothing of it
//! is stored: a new owner learns anew.

use crate::coordination::fleet::fault_attribution::FailureHistory;
use crate::coordination::scheduling::lifetimes::{Lifetime, LifetimeHistory};
use crate::coordination::scheduling::scoring::remaining_run_s;
use crate::coordination::shards::owned_shard::{Machine, OwnedShard, TaskKey};
use crate::coordination::Core;
use crate::storage::cache::Job;
use crate::storage::names::InternedName;
use crate::units::{Attempt, JobId, MachineId, Millis, MonotonicTime, ShardId};
use foldhash::fast::FixedState;
use std::collections::{BTreeMap, HashMap};

/// How many observations the users' estimates count for in the beginning.
const ESTIMATE_WEIGHT: f64 = 3.0;

/// The most observations that a mean of run times remembers.
const MOST_RUN_TIMES: f64 = 100.0;

/// Ratios of actual to estimated time beyond these count as these.
const LEAST_RATIO: f64 = 0.1;
const GREATEST_RATIO: f64 = 10.0;

/// The most jobs that a mean of sizes remembers.
const MOST_JOB_SIZES: f64 = 30.0;

/// Tasks seen running this soon after ownership began may have started before it.
const UNKNOWN_START: Millis = Millis(3000);

/// Run times below this are not learned from.
const LEAST_RUN_S: f64 = 0.5;

/// What a placed task takes until it runs.
const START_S: f64 = 2.0;

/// Machines that share a history of lifetimes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct MachineFamily {
    kind: String,
    spot: bool,
    zone: String,
}

impl MachineFamily {
    fn of(machine: &Machine) -> MachineFamily {
        MachineFamily { kind: machine.kind.clone(), spot: machine.spot, zone: machine.zone.clone() }
    }

    fn includes(&self, machine: &Machine) -> bool {
        self.spot == machine.spot && self.kind == machine.kind && self.zone == machine.zone
    }
}

/// How a class's run times compare with its users' estimates.
#[derive(Debug)]
struct RunTimeRatio {
    /// Mean logarithm of actual over estimated time, and its weight.
    mean_ln: f64,
    weight: f64,
    /// The factor that follows from it.
    factor: f64,
}

impl RunTimeRatio {
    fn unknown() -> RunTimeRatio {
        RunTimeRatio { mean_ln: 0.0, weight: ESTIMATE_WEIGHT, factor: 1.0 }
    }

    fn add(&mut self, ratio: f64) {
        let ratio_ln = ratio.clamp(LEAST_RATIO, GREATEST_RATIO).ln();
        self.mean_ln = (self.mean_ln * self.weight + ratio_ln) / (self.weight + 1.0);
        self.weight = (self.weight + 1.0).min(MOST_RUN_TIMES);
        self.factor = self.mean_ln.exp();
    }
}

/// The mean size of a class's jobs, which forgets old ones.
#[derive(Debug, Default)]
struct MeanCpus {
    cpus: f64,
    weight: f64,
}

impl MeanCpus {
    fn add(&mut self, cpus: f64) {
        self.weight = (self.weight + 1.0).min(MOST_JOB_SIZES);
        self.cpus += (cpus - self.cpus) / self.weight;
    }
}

/// What this process has learned since it started.
#[derive(Debug, Default)]
pub(crate) struct Estimates {
    lifetimes: BTreeMap<MachineFamily, LifetimeHistory>,
    run_time_ratios: HashMap<InternedName, RunTimeRatio, FixedState>,
    /// By class that must start at once.
    quick_start_jobs: BTreeMap<String, MeanCpus>,
    pub(super) failures: FailureHistory,
    /// The last failed attempt of each replica of a service.
    failed_attempts: BTreeMap<TaskKey, Attempt>,
}

impl Estimates {
    /// Notes that a machine is gone, and whether it was lost rather than returned.
    pub(crate) fn machine_gone(&mut self, machine: &Machine, now: MonotonicTime, lost: bool) {
        let age_s = now.since(machine.born).as_secs();
        self.lifetimes.entry(MachineFamily::of(machine)).or_default().add(Lifetime { age_s, lost });
    }

    /// Notes the size of a job of a class that must start at once, in cores of all its tasks.
    pub(crate) fn record_quick_start_job(&mut self, class: &str, cpus: f64) {
        self.quick_start_jobs.entry(class.to_string()).or_default().add(cpus);
    }

    /// Cores of a usual job of each class that must start at once, in all.
    pub(crate) fn quick_start_cpus(&self) -> f64 {
        self.quick_start_jobs.values().map(|mean| mean.cpus).sum()
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

    /// The run time in seconds of a task of the job: its user's estimate, corrected by what its class
    /// has shown.
    pub(crate) fn run_time(&self, job: &Job) -> f64 {
        let factor = self.run_time_ratios.get(&job.class).map_or(1.0, |ratio| ratio.factor);
        job.record.spec.estimated_run_s * factor
    }

    /// The lifetimes of machines like this one, if any ended.
    pub(crate) fn history(&self, machine: &Machine) -> Option<&LifetimeHistory> {
        // A handful of families: looked through faster than a key is made.
        self.lifetimes.iter().find(|(family, _)| family.includes(machine)).map(|(_, history)| history)
    }

    fn learn_ratio(&mut self, class: &InternedName, ratio: f64) {
        self.run_time_ratios.entry(class.clone()).or_insert_with(RunTimeRatio::unknown).add(ratio);
    }
}

impl Core {
    /// Learns from the run time of a task that has just ended well.
    pub(crate) fn learn_run_time(&mut self, shard: ShardId, key: &TaskKey) {
        let Some(owned_shard) = self.owned_shards.get(&shard) else { return };
        let Some(started) = owned_shard.running_since.get(key) else { return };
        // A task that ran before this node owned the shard began at an unknown time, and one that ran
        // while this process did not ended at an unknown time. A pause of 20 s that was learned from
        // once made all later work seem half as long again, and machines were rented for it.
        if started.since(owned_shard.owned_since) < UNKNOWN_START || *started < self.resumed_at {
            return;
        }
        let ran_s = self.now.since(*started).as_secs();
        let Some(job) = self.cache.jobs.get(&key.0) else { return };
        let (class, estimated_s) = (job.class.clone(), job.record.spec.estimated_run_s);
        if estimated_s > 0.0 && ran_s > LEAST_RUN_S {
            self.estimates.learn_ratio(&class, ran_s / estimated_s);
        }
    }

    /// Rebuilds the lifetimes of all families, with the machines that are up now as censored.
    pub(crate) fn rebuild_histories(&mut self) {
        for (family, history) in &mut self.estimates.lifetimes {
            let machines = self.owned_shards.values().flat_map(|shard| shard.machines.values());
            let alike = machines.filter(|machine| family.includes(machine));
            let ages: Vec<f64> = alike.map(|machine| self.now.since(machine.born).as_secs()).collect();
            history.rebuild(&ages);
        }
    }

    /// Seconds that a placed task still needs, with the time to start it.
    pub(crate) fn remaining_s(&self, owned_shard: &OwnedShard, job: &Job, key: &TaskKey) -> f64 {
        self.remaining_s_of_run(owned_shard, self.estimates.run_time(job), key)
    }

    /// The same for a task whose run time is known already.
    pub(crate) fn remaining_s_of_run(&self, owned_shard: &OwnedShard, run_s: f64, key: &TaskKey) -> f64 {
        match owned_shard.running_since.get(key) {
            Some(at) => remaining_run_s(run_s, self.now.since(*at).as_secs()),
            None => run_s + START_S,
        }
    }
}
