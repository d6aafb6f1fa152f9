//! How long machines of one kind live: a survival curve estimated from those seen.
//!
//! The fleet's estimates keep one history for each machine type, zone and spot or not, and
//! one for provisioning times; scoring asks them. Knows no single machine and no clock: ages
//! come from the callers. See docs/DESIGN.md for why this estimate is used.

use std::collections::VecDeque;

/// The most ended lives that a history keeps; the oldest is forgotten first.
pub const MAX_ENDED_LIFETIMES: usize = 200;

/// Rounding errors by which a share of one half may be exceeded.
const SHARE_TOLERANCE: f64 = 1e-9;

/// The life of one machine, as far as it was seen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Lifetime {
    /// Age in seconds at which it was lost or last seen.
    pub age_s: f64,
    /// The machine was lost. If not, it was given back or is still up: the life is censored,
    /// and shows only that it lasted so long.
    pub lost: bool,
}

/// The lives of similar machines and the Kaplan-Meier estimate of their survival, in which
/// censored lives count for as long as they were seen and no longer.
#[derive(Debug, Clone, Default)]
pub struct LifetimeHistory {
    ended: VecDeque<Lifetime>,
    /// The curve: one step for each lost life, by rising age.
    steps: Vec<SurvivalStep>,
    /// The highest age of any life, in seconds.
    max_age_s: f64,
}

/// The survival curve from the age at which one life was lost.
#[derive(Debug, Clone, Copy)]
struct SurvivalStep {
    age_s: f64,
    survival: SurvivalPoint,
}

/// A point of the survival curve.
#[derive(Debug, Clone, Copy)]
struct SurvivalPoint {
    /// The share of machines that survive it: P(X > age).
    share: f64,
    /// The shares lost until then, each times the age of its loss, summed: E(X; X <= age).
    weighted_loss_age_s: f64,
}

impl SurvivalPoint {
    /// Before the first loss.
    const START: SurvivalPoint = SurvivalPoint { share: 1.0, weighted_loss_age_s: 0.0 };
}

impl LifetimeHistory {
    /// Adds a life that has ended. The curve follows with the next `rebuild`.
    pub fn add(&mut self, lifetime: Lifetime) {
        if self.ended.len() == MAX_ENDED_LIFETIMES {
            self.ended.pop_front();
        }
        self.ended.push_back(lifetime);
    }

    /// Rebuilds the curve from the ended lives and the ages in seconds of machines still up.
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

    /// The age in seconds that half do not outlast, or, if more outlast all that were lost,
    /// the highest age at which one was; none if none was.
    pub fn median(&self) -> Option<f64> {
        let half = self.steps.iter().find(|step| step.survival.share <= 0.5 + SHARE_TOLERANCE);
        half.or(self.steps.last()).map(|step| step.age_s)
    }

    /// P(X > e + d given X > e): the probability that a machine of the age `age_s` lives
    /// `run_s` longer. 1 with no history, or at an age past every lifetime seen.
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

    /// E(X - e given e < X < e + d): the seconds that a task has run when its machine, of the
    /// age `age_s` at its start, is lost within `run_s`. Half the run time if none was ever
    /// lost at such an age.
    pub fn expected_loss_s(&self, age_s: f64, run_s: f64) -> f64 {
        let start = self.point_at(age_s);
        let end = self.point_before(age_s + run_s);
        let lost_share = start.share - end.share;
        if lost_share > 0.0 {
            // Rounding must not lead beyond what the definition allows.
            ((end.weighted_loss_age_s - start.weighted_loss_age_s) / lost_share - age_s).clamp(0.0, run_s)
        } else {
            run_s / 2.0
        }
    }

    /// The curve at an age, losses at that age included.
    fn point_at(&self, age_s: f64) -> SurvivalPoint {
        self.point_after(self.steps.partition_point(|step| step.age_s <= age_s))
    }

    /// The curve at an age, without losses at that age.
    fn point_before(&self, age_s: f64) -> SurvivalPoint {
        self.point_after(self.steps.partition_point(|step| step.age_s < age_s))
    }

    fn point_after(&self, steps: usize) -> SurvivalPoint {
        steps.checked_sub(1).map_or(SurvivalPoint::START, |last| self.steps[last].survival)
    }
}

#[cfg(test)]
mod tests;
