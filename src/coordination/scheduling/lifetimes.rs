//! Survival curve of similar machines, estimated from their observed lifetimes.
//!
//! The fleet's estimates keep one history for each combination of machine type, zone and spot use,
//! and one for provisioning times; scoring queries them. A history has no clock and does not
//! identify machines: callers pass the ages. See docs/DESIGN.md for the choice of this estimator.

use std::collections::VecDeque;

/// Maximum number of ended lifetimes in a history; the oldest is dropped first.
pub const MAX_ENDED_LIFETIMES: usize = 200;

/// Tolerance for rounding errors when a share is compared with one half.
const SHARE_TOLERANCE: f64 = 1e-9;

/// Observed lifetime of one machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Lifetime {
    /// Age in seconds at which the machine was lost or last seen.
    pub age_s: f64,
    /// True if the machine was lost. Otherwise it was returned or is still up, and the lifetime is
    /// censored: it shows only a lower bound.
    pub lost: bool,
}

/// Lifetimes of similar machines and the Kaplan-Meier estimate of their survival. Censored
/// lifetimes count only up to the age at which the machine was last seen.
#[derive(Debug, Clone, Default)]
pub struct LifetimeHistory {
    ended: VecDeque<Lifetime>,
    /// Survival curve: one step per lost machine, by rising age.
    steps: Vec<SurvivalStep>,
    /// Highest age of any lifetime, in seconds.
    max_age_s: f64,
}

/// A step of the survival curve, at the age at which a machine was lost.
#[derive(Debug, Clone, Copy)]
struct SurvivalStep {
    age_s: f64,
    survival: SurvivalPoint,
}

/// A point of the survival curve.
#[derive(Debug, Clone, Copy)]
struct SurvivalPoint {
    /// Share of machines that survive this age: P(X > age).
    share: f64,
    /// Sum over the losses up to this age of the share lost times the age of the loss: E(X; X <=
    /// age).
    weighted_loss_age_s: f64,
}

impl SurvivalPoint {
    /// Point of the curve before the first loss.
    const START: SurvivalPoint = SurvivalPoint { share: 1.0, weighted_loss_age_s: 0.0 };
}

impl LifetimeHistory {
    /// Adds an ended lifetime. Call `rebuild` to update the curve.
    pub fn add(&mut self, lifetime: Lifetime) {
        if self.ended.len() == MAX_ENDED_LIFETIMES {
            self.ended.pop_front();
        }
        self.ended.push_back(lifetime);
    }

    /// Rebuilds the curve from the ended lifetimes and the ages in seconds of machines that are
    /// still up.
    pub fn rebuild(&mut self, ages_still_up_s: &[f64]) {
        let mut lifetimes: Vec<Lifetime> = self.ended.iter().copied().collect();
        lifetimes.extend(ages_still_up_s.iter().map(|&age_s| Lifetime { age_s, lost: false }));
        lifetimes.sort_by(|a, b| a.age_s.total_cmp(&b.age_s));
        self.max_age_s = lifetimes.last().map_or(0.0, |lifetime| lifetime.age_s);
        self.steps.clear();
        let SurvivalPoint { mut share, mut weighted_loss_age_s } = SurvivalPoint::START;
        for (index, lifetime) in lifetimes.iter().enumerate().filter(|(_, lifetime)| lifetime.lost) {
            let at_risk = lifetimes.len() - index;
            let share_left = share * (1.0 - 1.0 / at_risk as f64);
            weighted_loss_age_s += (share - share_left) * lifetime.age_s;
            share = share_left;
            self.steps
                .push(SurvivalStep { age_s: lifetime.age_s, survival: SurvivalPoint { share, weighted_loss_age_s } });
        }
    }

    /// Returns the median lifetime in seconds. If more than half of the machines outlast all lost
    /// ones, returns the highest age at which a machine was lost; `None` if none was.
    pub fn median(&self) -> Option<f64> {
        let half = self.steps.iter().find(|step| step.survival.share <= 0.5 + SHARE_TOLERANCE);
        half.or(self.steps.last()).map(|step| step.age_s)
    }

    /// P(X > e + d given X > e): returns the probability that a machine of age `age_s` survives
    /// `run_s` longer. 1 without history, or at an age past every observed lifetime.
    pub fn survival_probability(&self, age_s: f64, run_s: f64) -> f64 {
        if self.steps.is_empty() || age_s >= self.max_age_s {
            return 1.0;
        }
        let share_now = self.point_at(age_s).share;
        if share_now <= 0.0 {
            return 1.0;
        }
        self.point_at(age_s + run_s).share / share_now
    }

    /// E(X - e given e < X < e + d): returns the expected run time in seconds of a task when its
    /// machine, of age `age_s` at the task's start, is lost within `run_s`. Half the run time if no
    /// machine was lost in that range of ages.
    pub fn expected_loss_s(&self, age_s: f64, run_s: f64) -> f64 {
        let start = self.point_at(age_s);
        let end = self.point_before(age_s + run_s);
        let lost_share = start.share - end.share;
        if lost_share > 0.0 {
            // Keeps rounding errors within the range that the definition allows.
            ((end.weighted_loss_age_s - start.weighted_loss_age_s) / lost_share - age_s).clamp(0.0, run_s)
        } else {
            run_s / 2.0
        }
    }

    /// Returns the point of the curve at an age, including losses at that age.
    fn point_at(&self, age_s: f64) -> SurvivalPoint {
        self.point_after(self.steps.partition_point(|step| step.age_s <= age_s))
    }

    /// Returns the point of the curve at an age, excluding losses at that age.
    fn point_before(&self, age_s: f64) -> SurvivalPoint {
        self.point_after(self.steps.partition_point(|step| step.age_s < age_s))
    }

    fn point_after(&self, steps: usize) -> SurvivalPoint {
        steps.checked_sub(1).map_or(SurvivalPoint::START, |last| self.steps[last].survival)
    }
}

#[cfg(test)]
mod tests;
