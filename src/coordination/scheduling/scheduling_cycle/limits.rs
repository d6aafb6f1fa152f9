//! What bounds one scheduling cycle: machines scored, and tasks that are let wait.
//!
//! Owned by a shard's cycle. The length of a cycle must not grow with the number of machines
//! times that of pending jobs.

use crate::coordination::Core;

/// Machines that a cycle scores before it looks only at jobs with capacity now, if the
/// settings do not say what share of a core the process has.
const DEFAULT_SCORES_PER_CYCLE: usize = 64_000;

/// Machines that a cycle may score however small the share of a core.
const MIN_SCORES_PER_CYCLE: usize = 8000;

/// Processor time that scoring a machine is taken to need, in seconds; it is not measured at
/// run time.
const SCORING_COST_S: f64 = 2e-7;

/// The largest share of its processor time that the process spends on scores which start
/// nothing.
const MAX_SCORING_SHARE: f64 = 0.5;

/// After so many times the scores at which jobs may no longer wait, the cycle ends.
const HARD_LIMIT_FACTOR: usize = 3;

/// Jobs that a cycle lets wait for busy machines at least, however much they are promised.
/// Further jobs may only start at once: the capacity that comes free soon belongs to the jobs
/// before them.
const MIN_WAITING_JOBS: usize = 32;

/// The share of a shard's cores that a cycle promises to waiting jobs, beyond those of the
/// first [`MIN_WAITING_JOBS`].
const MAX_PROMISED_SHARE: f64 = 0.25;

/// How many machines a cycle may still score.
pub(super) struct ScoreBudget {
    scored: usize,
    /// From so many scores on, jobs may start at once or not at all.
    soft_limit: usize,
}

impl ScoreBudget {
    /// A budget of which nothing is spent; `soft_limit` is in machines scored.
    pub fn new(soft_limit: usize) -> ScoreBudget {
        ScoreBudget { scored: 0, soft_limit }
    }

    /// Counts machines that were scored.
    pub fn spend(&mut self, scores: usize) {
        self.scored += scores;
    }

    /// True if jobs may still be scored only to let them wait.
    pub fn allows_waiting(&self) -> bool {
        self.scored < self.soft_limit
    }

    /// True if the cycle has to end.
    pub fn is_exhausted(&self) -> bool {
        self.scored >= HARD_LIMIT_FACTOR * self.soft_limit
    }
}

/// Capacity that tasks were let wait for in a cycle.
pub(super) struct PromisedCapacity {
    /// Cores of all candidate machines of the shard.
    shard_cpus: f64,
    promised_cpus: f64,
    waiting_jobs: usize,
}

impl PromisedCapacity {
    /// Nothing promised yet of a shard with so many cores.
    pub fn new(shard_cpus: f64) -> PromisedCapacity {
        PromisedCapacity { shard_cpus, promised_cpus: 0.0, waiting_jobs: 0 }
    }

    /// True if one more job may be let wait.
    pub fn allows_waiting(&self) -> bool {
        self.promised_cpus < self.shard_cpus * MAX_PROMISED_SHARE || self.waiting_jobs < MIN_WAITING_JOBS
    }

    /// Counts a task that was let wait.
    pub fn promise(&mut self, cpus: f64) {
        self.promised_cpus += cpus;
    }

    /// Counts a job of which tasks found no capacity.
    pub fn add_waiting_job(&mut self) {
        self.waiting_jobs += 1;
    }

    /// Cores promised so far.
    pub fn promised_cpus(&self) -> f64 {
        self.promised_cpus
    }

    /// Takes back promises to a gang, which was counted as waiting all the same.
    pub fn restore_promised_cpus(&mut self, promised_cpus: f64) {
        self.promised_cpus = promised_cpus;
    }
}

impl Core {
    /// Machines that a cycle of one shard scores before it looks only at jobs with capacity
    /// now: what the process's share of a core can do between two cycles.
    pub(super) fn scores_per_cycle(&self) -> usize {
        let scores = self.settings.cluster.process_limits.cpu_share.map(|share| {
            let time_s = share * MAX_SCORING_SHARE * self.tuning.cycle_interval_ms as f64 / 1000.0;
            (time_s / SCORING_COST_S / self.owned_shards.len().max(1) as f64) as usize
        });
        scores.unwrap_or(DEFAULT_SCORES_PER_CYCLE).max(MIN_SCORES_PER_CYCLE)
    }
}
