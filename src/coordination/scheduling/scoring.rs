//! Expected completion of a task on a machine, as pure functions.
//!
//! The method is described in docs/DESIGN.md ("Kept" and "Changed, and why"). All times are in
//! seconds; X is the lifetime of machines like the one being scored:
//!
//! | symbol | meaning | in the code |
//! |---|---|---|
//! | a | wait until the task can run on the machine | `PlacementTiming::wait_s` |
//! | d | run time of the task | `PlacementTiming::run_s` |
//! | e | age of the machine when the task starts: its age now + a | `start_age_s` |
//! | P_s | probability that a task is lost when its machine ends: 1 | `LOSS_PROBABILITY` |
//! | P_c | probability that the task completes: 1 - P_s (1 - P(X > e + d given X > e)) | [`completion_probability`] |
//! | w | run time lost with the machine: E(X - e given e < X < e + d) | [`LifetimeHistory::expected_loss_s`] |
//! | R | expected completion on a machine that has just come up | [`fresh_machine_completion_s`] |
//! | E | expected completion: a + P_c d + (1 - P_c)(w + R) | [`expected_completion`] |
//!
//! The scheduling cycle ranks machines by E. This module holds no state.

use crate::coordination::scheduling::lifetimes::LifetimeHistory;

/// P_s: when a machine ends, its tasks are always lost; machines do not shrink.
const LOSS_PROBABILITY: f64 = 1.0;

/// Minimum P_c used to compute R, which goes to infinity as P_c goes to 0.
const MIN_COMPLETION_PROBABILITY: f64 = 0.02;

/// Times of a task on a candidate machine, from which its expected completion is computed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementTiming {
    /// Current age of the machine, in seconds.
    pub age_s: f64,
    /// Seconds until the task can run on the machine: until there is capacity and the image is
    /// fetched.
    pub wait_s: f64,
    /// Estimated run time in seconds.
    pub run_s: f64,
    /// Run time between checkpoints, in seconds; 0 if the task writes none and a loss costs all
    /// progress.
    pub checkpoint_interval_s: f64,
}

/// P_c: returns the probability, between 0 and 1, that a machine of age `start_age_s` outlasts a
/// task that runs for `run_s`.
pub fn completion_probability(history: &LifetimeHistory, start_age_s: f64, run_s: f64) -> f64 {
    1.0 - LOSS_PROBABILITY * (1.0 - history.survival_probability(start_age_s, run_s))
}

/// R: returns the expected seconds until a task is complete on a machine that has just come up,
/// including restarts on further such machines.
///
/// Each attempt is lost with probability 1 - P_c and then costs w, so R = d + w (1 - P_c) / P_c
/// (the sum of a geometric series).
pub fn fresh_machine_completion_s(history: &LifetimeHistory, run_s: f64) -> f64 {
    let p = completion_probability(history, 0.0, run_s).max(MIN_COMPLETION_PROBABILITY);
    run_s + (1.0 - p) / p * history.expected_loss_s(0.0, run_s)
}

/// E: returns the expected seconds until a task is complete on a machine that may have to be waited
/// for and may be lost.
///
/// After a loss, the task restarts on a fresh machine, where it repeats only the work that no
/// checkpoint holds: progress beyond one checkpoint interval counts as saved.
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

/// Returns the seconds that a running task is expected to need still: the rest of its estimate or,
/// once that has passed, as long as it has already run.
pub fn remaining_run_s(estimated_run_s: f64, elapsed_s: f64) -> f64 {
    if elapsed_s < estimated_run_s {
        estimated_run_s - elapsed_s
    } else {
        elapsed_s
    }
}

#[cfg(test)]
mod tests;
