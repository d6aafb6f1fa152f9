//! The expected completion of a task on a machine, as pure functions.

use crate::coordination::scheduling::lifetimes::LifetimeHistory;

/// What a task would meet on a machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prospect {
    /// The machine's age now.
    pub age_s: f64,
    /// Estimated wait until the task can run there (room, image).
    pub wait_s: f64,
    /// Estimated run time.
    pub run_s: f64,
    /// Progress between checkpoints; 0 if a loss costs everything.
    pub checkpoint_interval_s: f64,
}

/// P_c with P_s = 1: the chance that the machine outlasts the task.
pub fn completion_chance(history: &LifetimeHistory, age_s: f64, run_s: f64) -> f64 {
    const SHRINK_CHANCE: f64 = 1.0;
    1.0 - SHRINK_CHANCE * (1.0 - history.outlasts(age_s, run_s))
}

/// R: expected completion on a machine that has just come up, restarts on
/// machines like it included.
pub fn fresh_start(history: &LifetimeHistory, run_s: f64) -> f64 {
    let p = completion_chance(history, 0.0, run_s).max(0.02);
    run_s + (1.0 - p) / p * history.wasted(0.0, run_s)
}

/// E = a + p·d + (1 − p)·(w + R).
pub fn expected_completion(history: &LifetimeHistory, prospect: Prospect) -> f64 {
    let Prospect { age_s, wait_s, run_s, checkpoint_interval_s } = prospect;
    let age_then = age_s + wait_s;
    let p = completion_chance(history, age_then, run_s);
    if p >= 1.0 {
        return wait_s + run_s;
    }
    let wasted = history.wasted(age_then, run_s);
    let (lost, again) = if checkpoint_interval_s > 0.0 {
        // What was saved need not run again.
        (wasted, run_s - (wasted - checkpoint_interval_s).max(0.0))
    } else {
        (wasted, run_s)
    };
    wait_s + p * run_s + (1.0 - p) * (lost + fresh_start(history, again))
}

/// Time a running task still needs: past its estimate it is taken to end at
/// twice its elapsed time.
pub fn remaining(estimated_run_s: f64, elapsed_s: f64) -> f64 {
    if elapsed_s < estimated_run_s {
        estimated_run_s - elapsed_s
    } else {
        elapsed_s
    }
}

#[cfg(test)]
mod tests;
