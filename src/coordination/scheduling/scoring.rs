//! The expected completion of a task on a machine, as pure functions.
//!
//! The method is that of docs/DESIGN.md ("Kept" and "Changed, and why"). With all times in
//! seconds, and X the lifetime of machines like the one looked at:
//!
//! | symbol | what it is | here |
//! |---|---|---|
//! | a | wait until the task can run on the machine | `PlacementTiming::wait_s` |
//! | d | run time of the task | `PlacementTiming::run_s` |
//! | e | age of the machine when the task starts: its age now + a | `start_age_s` |
//! | P_s | probability that a machine that ends takes the task with it: 1 | `LOSS_PROBABILITY` |
//! | P_c | probability that the task completes: 1 - P_s (1 - P(X > e + d given X > e)) | [`completion_probability`] |
//! | w | run time lost with the machine: E(X - e given e < X < e + d) | [`LifetimeHistory::expected_loss_s`] |
//! | R | expected completion on a machine that has just come up | [`fresh_machine_completion_s`] |
//! | E | expected completion: a + P_c d + (1 - P_c)(w + R) | [`expected_completion`] |
//!
//! The scheduling cycle ranks machines by E. No state is held here.

use crate::coordination::scheduling::lifetimes::LifetimeHistory;

/// P_s: machines here do not shrink, they end, and take their tasks with them.
const LOSS_PROBABILITY: f64 = 1.0;

/// The least P_c that R is computed with: it goes to infinity as P_c goes to 0.
const MIN_COMPLETION_PROBABILITY: f64 = 0.02;

/// What a task would meet on a machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementTiming {
    /// The machine's age now, in seconds.
    pub age_s: f64,
    /// Seconds until the task can run there: until there is capacity and the image is
    /// fetched.
    pub wait_s: f64,
    /// Estimated run time in seconds.
    pub run_s: f64,
    /// Seconds of progress between checkpoints; 0 if a loss costs everything.
    pub checkpoint_interval_s: f64,
}

/// P_c: the probability that a machine of the age `start_age_s` outlasts a task that runs for
/// `run_s`, between 0 and 1.
pub fn completion_probability(history: &LifetimeHistory, start_age_s: f64, run_s: f64) -> f64 {
    1.0 - LOSS_PROBABILITY * (1.0 - history.survival_probability(start_age_s, run_s))
}

/// R: expected seconds until a task is complete on a machine that has just come up, restarts
/// on further such machines included.
///
/// Each start is lost with probability 1 - P_c and then costs w, so R = d + w (1 - P_c) / P_c
/// (the sum of a geometric series).
pub fn fresh_machine_completion_s(history: &LifetimeHistory, run_s: f64) -> f64 {
    let p = completion_probability(history, 0.0, run_s).max(MIN_COMPLETION_PROBABILITY);
    run_s + (1.0 - p) / p * history.expected_loss_s(0.0, run_s)
}

/// E: expected seconds until a task is complete on a machine, which it may have to wait for
/// and which may be lost.
///
/// After a loss, the task starts again on a fresh machine, where it needs to run only for
/// what no checkpoint holds: progress beyond one checkpoint interval counts as saved.
pub fn expected_completion(history: &LifetimeHistory, timing: PlacementTiming) -> f64 {
    let PlacementTiming { age_s, wait_s, run_s, checkpoint_interval_s } = timing;
    let start_age_s = age_s + wait_s;
    let p = completion_probability(history, start_age_s, run_s);
    if p >= 1.0 {
        return wait_s + run_s;
    }
    let lost_s = history.expected_loss_s(start_age_s, run_s);
    let saved_s = if checkpoint_interval_s > 0.0 { (lost_s - checkpoint_interval_s).max(0.0) } else { 0.0 };
    wait_s + p * run_s + (1.0 - p) * (lost_s + fresh_machine_completion_s(history, run_s - saved_s))
}

/// Seconds that a running task still needs: what is left of its estimate, or, past that, as
/// long as it has run already.
pub fn remaining_run_s(estimated_run_s: f64, elapsed_s: f64) -> f64 {
    if elapsed_s < estimated_run_s {
        estimated_run_s - elapsed_s
    } else {
        elapsed_s
    }
}

#[cfg(test)]
mod tests;
