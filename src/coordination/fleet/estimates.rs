//! Statistics that this process has collected since it started: lifetimes of machines, run times
//! relative to their estimates, the size of jobs that must start at once, and failures of jobs and
//! replicas.
//!
//! Heartbeats and changes of the cache update them; scheduling, demand and jobs read them. They are
//! not stored: a new owner starts without them.

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

/// Initial weight of the users' estimates, in observations.
const ESTIMATE_PRIOR_WEIGHT: f64 = 3.0;

/// Upper bound on the weight of past observations in a mean of run times, in observations.
const MAX_RUN_TIME_WEIGHT: f64 = 100.0;

/// Bounds to which ratios of actual to estimated run time are clamped.
const MIN_RUN_TIME_RATIO: f64 = 0.1;
const MAX_RUN_TIME_RATIO: f64 = 10.0;

/// Upper bound on the weight of past jobs in a mean of job sizes, in jobs.
const MAX_JOB_SIZE_WEIGHT: f64 = 30.0;

/// A task first seen running within this time after ownership began may have started before that.
const UNKNOWN_START_WINDOW: Millis = Millis(3000);

/// Shorter run times are not used to correct estimates.
const MIN_LEARNED_RUN_S: f64 = 0.5;

/// Assumed time from the placement of a task until it runs.
const TASK_START_S: f64 = 2.0;

/// Machines of the same type, price model and zone, which share a history of lifetimes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct MachineFamily {
    machine_type: String,
    spot: bool,
    zone: String,
}

impl MachineFamily {
    fn of(machine: &Machine) -> MachineFamily {
        MachineFamily { machine_type: machine.machine_type.clone(), spot: machine.spot, zone: machine.zone.clone() }
    }

    fn includes(&self, machine: &Machine) -> bool {
        self.spot == machine.spot && self.machine_type == machine.machine_type && self.zone == machine.zone
    }
}

/// Ratio of actual to estimated run times of a class.
#[derive(Debug)]
struct RunTimeRatio {
    /// Mean natural logarithm of actual over estimated time.
    mean_ln: f64,
    /// Weight of the mean, in observations.
    weight: f64,
    /// Correction factor for estimates: the exponential of `mean_ln`.
    factor: f64,
}

impl RunTimeRatio {
    fn uncorrected() -> RunTimeRatio {
        RunTimeRatio { mean_ln: 0.0, weight: ESTIMATE_PRIOR_WEIGHT, factor: 1.0 }
    }

    fn add(&mut self, ratio: f64) {
        let ratio_ln = ratio.clamp(MIN_RUN_TIME_RATIO, MAX_RUN_TIME_RATIO).ln();
        self.mean_ln = (self.mean_ln * self.weight + ratio_ln) / (self.weight + 1.0);
        self.weight = (self.weight + 1.0).min(MAX_RUN_TIME_WEIGHT);
        self.factor = self.mean_ln.exp();
    }
}

/// Moving average of the size of a class's jobs, in cores.
#[derive(Debug, Default)]
struct MeanCpus {
    cpus: f64,
    weight: f64,
}

impl MeanCpus {
    fn add(&mut self, cpus: f64) {
        self.weight = (self.weight + 1.0).min(MAX_JOB_SIZE_WEIGHT);
        self.cpus += (cpus - self.cpus) / self.weight;
    }
}

/// Statistics that this process has collected since it started.
#[derive(Debug, Default)]
pub(crate) struct Estimates {
    lifetimes: BTreeMap<MachineFamily, LifetimeHistory>,
    run_time_ratios: HashMap<InternedName, RunTimeRatio, FixedState>,
    /// Mean job size of each class that must start at once.
    quick_start_jobs: BTreeMap<String, MeanCpus>,
    pub(super) failures: FailureHistory,
    /// Latest failed attempt of each replica of a service.
    failed_attempts: BTreeMap<TaskKey, Attempt>,
}

impl Estimates {
    /// Records the lifetime of a machine that is gone; `lost` is false if it was returned.
    pub(crate) fn record_lifetime(&mut self, machine: &Machine, now: MonotonicTime, lost: bool) {
        let age_s = now.since(machine.started_at).as_secs();
        self.lifetimes.entry(MachineFamily::of(machine)).or_default().add(Lifetime { age_s, lost });
    }

    /// Records the size of a job of a class that must start at once, in cores of all its tasks.
    pub(crate) fn record_quick_start_job(&mut self, class: &str, cpus: f64) {
        self.quick_start_jobs.entry(class.to_string()).or_default().add(cpus);
    }

    /// Sums the mean job sizes, in cores, of all classes that must start at once.
    pub(crate) fn quick_start_cpus(&self) -> f64 {
        self.quick_start_jobs.values().map(|mean| mean.cpus).sum()
    }

    /// Records that a task of the job failed on the machine.
    pub(crate) fn record_failure(&mut self, job: &JobId, machine: &MachineId, now: MonotonicTime) {
        self.failures.record(job, machine, now);
    }

    /// Returns the latest failed attempt of a service's replica.
    pub(crate) fn failed_attempt(&self, replica: &TaskKey) -> Option<Attempt> {
        self.failed_attempts.get(replica).copied()
    }

    /// Number of replicas with a failed attempt.
    pub(crate) fn failed_attempt_count(&self) -> usize {
        self.failed_attempts.len()
    }

    /// Records a failed attempt of a service's replica.
    pub(crate) fn record_failed_attempt(&mut self, replica: TaskKey, attempt: Attempt) {
        self.failed_attempts.insert(replica, attempt);
    }

    /// Keeps only the failed attempts of replicas for which `keep` returns true.
    pub(crate) fn retain_failed_attempts(&mut self, keep: impl Fn(&TaskKey) -> bool) {
        self.failed_attempts.retain(|replica, _| keep(replica));
    }

    /// Expected run time in seconds of a task of the job: the user's estimate times the correction
    /// factor of its class.
    pub(crate) fn expected_run_s(&self, job: &Job) -> f64 {
        let factor = self.run_time_ratios.get(&job.class).map_or(1.0, |ratio| ratio.factor);
        job.record.spec.estimated_run_s * factor
    }

    /// Returns the lifetimes of machines of the same family, if any of them is gone.
    pub(crate) fn history(&self, machine: &Machine) -> Option<&LifetimeHistory> {
        // There are few families: a linear search is faster than building a key.
        self.lifetimes.iter().find(|(family, _)| family.includes(machine)).map(|(_, history)| history)
    }

    fn learn_ratio(&mut self, class: &InternedName, ratio: f64) {
        self.run_time_ratios.entry(class.clone()).or_insert_with(RunTimeRatio::uncorrected).add(ratio);
    }
}

impl Core {
    /// Updates the run-time ratio of the class of a task that has just succeeded.
    pub(crate) fn learn_run_time(&mut self, shard: ShardId, key: &TaskKey) {
        let Some(owned_shard) = self.owned_shards.get(&shard) else { return };
        let Some(started) = owned_shard.running_since.get(key) else { return };
        // The start time is unknown if the task ran before this node owned the shard, and the end time
        // is unknown if it ran while this process was suspended. Learning from a 20 s suspension once
        // raised all later estimates by half, and machines were rented for them.
        if started.since(owned_shard.owned_since) < UNKNOWN_START_WINDOW || *started < self.resumed_at {
            return;
        }
        let ran_s = self.now.since(*started).as_secs();
        let Some(job) = self.cache.jobs.get(&key.0) else { return };
        let (class, estimated_s) = (job.class.clone(), job.record.spec.estimated_run_s);
        if estimated_s > 0.0 && ran_s > MIN_LEARNED_RUN_S {
            self.estimates.learn_ratio(&class, ran_s / estimated_s);
        }
    }

    /// Rebuilds the lifetime histories of all families, with the machines that are up now as censored
    /// observations.
    pub(crate) fn rebuild_histories(&mut self) {
        for (family, history) in &mut self.estimates.lifetimes {
            let machines = self.owned_shards.values().flat_map(|shard| shard.machines.values());
            let alike = machines.filter(|machine| family.includes(machine));
            let ages: Vec<f64> = alike.map(|machine| self.now.since(machine.started_at).as_secs()).collect();
            history.rebuild(&ages);
        }
    }

    /// Remaining time in seconds of a placed task, including its start if it does not run yet.
    pub(crate) fn remaining_s(&self, owned_shard: &OwnedShard, job: &Job, key: &TaskKey) -> f64 {
        self.remaining_s_of_run(owned_shard, self.estimates.expected_run_s(job), key)
    }

    /// Like `remaining_s`, for an expected run time that the caller has computed already.
    pub(crate) fn remaining_s_of_run(&self, owned_shard: &OwnedShard, run_s: f64, key: &TaskKey) -> f64 {
        match owned_shard.running_since.get(key) {
            Some(at) => remaining_run_s(run_s, self.now.since(*at).as_secs()),
            None => run_s + TASK_START_S,
        }
    }
}
