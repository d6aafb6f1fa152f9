//! Checks the ranges of settings after a file was parsed. Only the first value out of range is reported.

use super::error::InvalidValue;
use super::{Settings, Tuning};
use std::ops::RangeInclusive;

/// Minimum number of operations per store transaction that the controller needs.
const MIN_TXN_OPS: usize = 4;

/// Minimum number of file descriptors that the controller needs.
const MIN_FD_LIMIT: usize = 32;

/// Minimum time in seconds that a shard owner must be able to operate without the store: a watch without changes takes
/// one second, and its response part of the next.
const MIN_STORE_ISOLATION_S: f64 = 2.0;

const CYCLE_INTERVAL_RANGE_MS: RangeInclusive<u64> = 10..=10_000;
const SLICE_TASKS_RANGE: RangeInclusive<u32> = 1..=100;
const THREADS_RANGE: RangeInclusive<usize> = 32..=100_000;

/// Returns an error for `field` unless `valid` is true.
fn require(valid: bool, field: &'static str, problem: &'static str) -> Result<(), InvalidValue> {
    valid.then_some(()).ok_or(InvalidValue { field, problem })
}

/// True if the value is finite and greater than 0.
fn is_positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}

impl Settings {
    /// Checks the ranges of all values. For limits that will change, checks the current and the next values.
    pub(super) fn validate(&self) -> Result<(), InvalidValue> {
        let cluster = &self.cluster;
        let state = cluster.state.strictest();
        let positive = [
            ("cluster.workers.report_s", cluster.workers.report_s),
            ("cluster.workers.lease_s", cluster.workers.lease_s),
            ("cluster.workers.cancel_s", cluster.workers.cancel_s),
            ("cluster.state.rps", state.rps),
            ("cluster.state.write_rps", state.write_rps),
            ("cluster.state.value_kb", state.value_kb),
            ("cluster.cloud.rps", cluster.cloud.rps),
            ("cluster.quota.ram_mb", cluster.process_limits.ram_mb),
        ];
        for (field, value) in positive {
            require(is_positive(value), field, "must be above 0")?;
        }
        require(!self.node.is_empty(), "label", "is empty")?;
        require(state.txn_ops >= MIN_TXN_OPS, "cluster.state.txn_ops", "must be at least 4")?;
        require(cluster.process_limits.fd_limit >= MIN_FD_LIMIT, "cluster.quota.fd_limit", "must be at least 32")?;
        require(
            cluster.workers.store_isolation_limit_s() >= MIN_STORE_ISOLATION_S,
            "cluster.workers.cancel_s",
            "must exceed the sum of lease_s, report_s and 3 seconds, or no heartbeat could be answered",
        )
    }
}

impl Tuning {
    /// Checks the ranges of all values that have one.
    pub(super) fn validate(&self) -> Result<(), InvalidValue> {
        let cycle_interval_valid = CYCLE_INTERVAL_RANGE_MS.contains(&self.cycle_interval_ms);
        require(cycle_interval_valid, "round_ms", "must lie between 10 and 10000")?;
        require(SLICE_TASKS_RANGE.contains(&self.slice_tasks), "slice_tasks", "must lie between 1 and 100")?;
        require(self.min_idle_s.is_finite() && self.min_idle_s >= 0.0, "idle_s", "must be 0 or more")?;
        require(is_positive(self.starvation_limit_s), "begin_s", "must be above 0")?;
        require(THREADS_RANGE.contains(&self.threads), "threads", "must lie between 32 and 100000")?;
        require(self.max_placements_per_cycle > 0, "round_limit", "must be above 0")
    }
}
