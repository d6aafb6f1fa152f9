//! Limits of one scheduling cycle: the number of machines scored, and the capacity promised to
//! waiting tasks.
//!
//! Each shard's cycle has its own limits. They keep the duration of a cycle from growing with the
//! number of machines times the number of pending jobs.

use crate::coordination::Core;

/// Number of machines that a cycle scores before it considers only jobs that can start now, if the
/// settings give the process no share of a core.
const DEFAULT_SCORES_PER_CYCLE: usize = 64_000;

/// Minimum of that number, however small the share of a core.
const MIN_SCORES_PER_CYCLE: usize = 8000;

/// Assumed processor time to score one machine, in seconds.
const SCORING_COST_S: f64 = 2e-7;

/// Maximum share of its processor time that the process spends on scores that start nothing.
const MAX_SCORING_SHARE: f64 = 0.5;

/// The cycle ends at this multiple of the number of scores at which jobs may no longer wait.
const HARD_LIMIT_FACTOR: usize = 3;

/// Minimum number of jobs that a cycle lets wait for busy machines, regardless of the cores
/// promised to them. Further jobs may only start at once, because the capacity that is released
/// soon belongs to the jobs before them.
const MIN_WAITING_JOBS: usize = 32;

/// Share of a shard's cores that may be promised to waiting jobs before [`MIN_WAITING_JOBS`]
/// becomes the limit.
const MAX_PROMISED_SHARE: f64 = 0.25;

/// Counts the machines that a cycle scores, against its limits.
pub(super) struct ScoreBudget {
    scored: usize,
    /// Number of scores from which jobs must start at once or not at all.
    soft_limit: usize,
}

impl ScoreBudget {
    /// Creates an unspent budget; `soft_limit` is a number of machines scored.
    pub fn new(soft_limit: usize) -> ScoreBudget {
        ScoreBudget { scored: 0, soft_limit }
    }

    /// Counts machines that were scored.
    pub fn spend(&mut self, scores: usize) {
        self.scored += scores;
    }

    /// True if machines may still be scored for jobs that cannot start now.
    pub fn allows_waiting(&self) -> bool {
        self.scored < self.soft_limit
    }

    /// True if the cycle must end.
    pub fn is_exhausted(&self) -> bool {
        self.scored >= HARD_LIMIT_FACTOR * self.soft_limit
    }
}

/// Capacity promised to waiting tasks in a cycle.
pub(super) struct PromisedCapacity {
    /// Cores of all candidate machines of the shard.
    shard_cpus: f64,
    promised_cpus: f64,
    waiting_jobs: usize,
}

impl PromisedCapacity {
    /// Creates the record for a shard of `shard_cpus` cores with nothing promised.
    pub fn new(shard_cpus: f64) -> PromisedCapacity {
        PromisedCapacity { shard_cpus, promised_cpus: 0.0, waiting_jobs: 0 }
    }

    /// True if one more job may wait.
    pub fn allows_waiting(&self) -> bool {
        self.promised_cpus < self.shard_cpus * MAX_PROMISED_SHARE || self.waiting_jobs < MIN_WAITING_JOBS
    }

    /// Adds the cores of a waiting task.
    pub fn promise(&mut self, cpus: f64) {
        self.promised_cpus += cpus;
    }

    /// Counts a job some of whose tasks found no capacity.
    pub fn add_waiting_job(&mut self) {
        self.waiting_jobs += 1;
    }

    /// Returns the cores promised so far.
    pub fn promised_cpus(&self) -> f64 {
        self.promised_cpus
    }

    /// Restores the promised cores after a gang was rolled back. The gang still counts as a waiting
    /// job.
    pub fn restore_promised_cpus(&mut self, promised_cpus: f64) {
        self.promised_cpus = promised_cpus;
    }
}

impl Core {
    /// Returns the number of machines that a cycle of one shard scores before it considers only
    /// jobs that can start now. Derived from the process's share of a core and the time between two
    /// cycles.
    pub(super) fn scores_per_cycle(&self) -> usize {
        let scores = self.settings.cluster.process_limits.cpu_share.map(|share| {
            let time_s = share * MAX_SCORING_SHARE * self.tuning.cycle_interval_ms as f64 / 1000.0;
            (time_s / SCORING_COST_S / self.owned_shards.len().max(1) as f64) as usize
        });
        scores.unwrap_or(DEFAULT_SCORES_PER_CYCLE).max(MIN_SCORES_PER_CYCLE)
    }
}
