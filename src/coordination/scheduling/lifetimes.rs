//! How long machines of a kind live: the history behind P_c.

use std::collections::VecDeque;

/// Lifetimes kept per kind and zone.
pub const WINDOW: usize = 200;

/// One machine's life: its length, and whether its end was a loss. Machines
/// still up or given back only show that they survived so long.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Lifetime {
    pub age_s: f64,
    pub lost: bool,
}

/// Survival of machines, estimated as Kaplan and Meier do, so that censored
/// lives count for as long as they were watched and no longer.
#[derive(Debug, Clone, Default)]
pub struct LifetimeHistory {
    ended: VecDeque<Lifetime>,
    /// Ages at which lives were lost, rising.
    steps: Vec<Step>,
    longest: f64,
}

/// The curve at an age at which a life was lost.
#[derive(Debug, Clone, Copy)]
struct Step {
    age_s: f64,
    /// The share that survives beyond it.
    share: f64,
    /// Sum of the shares lost so far, each times the age at which it was.
    lost_ages: f64,
}

impl LifetimeHistory {
    pub fn add(&mut self, life: Lifetime) {
        if self.ended.len() == WINDOW {
            self.ended.pop_front();
        }
        self.ended.push_back(life);
    }

    /// Rebuilds the curve from the ended lives and the ages of machines still up.
    pub fn rebuild(&mut self, still_up: &[f64]) {
        let mut lives: Vec<Lifetime> = self.ended.iter().copied().collect();
        lives.extend(still_up.iter().map(|&age_s| Lifetime { age_s, lost: false }));
        lives.sort_by(|a, b| a.age_s.total_cmp(&b.age_s));
        self.longest = lives.last().map_or(0.0, |l| l.age_s);
        self.steps.clear();
        let (mut share, mut lost_ages) = (1.0, 0.0);
        let total = lives.len();
        for (before, life) in lives.iter().enumerate() {
            if life.lost {
                let left = share * (1.0 - 1.0 / (total - before) as f64);
                lost_ages += (share - left) * life.age_s;
                share = left;
                self.steps.push(Step { age_s: life.age_s, share, lost_ages });
            }
        }
    }

    /// The age that half do not outlast, or, if more outlast all that ended,
    /// the highest age at which one did; none if none did.
    pub fn median(&self) -> Option<f64> {
        let half = self.steps.iter().find(|step| step.share <= 0.5 + 1e-9);
        half.or(self.steps.last()).map(|step| step.age_s)
    }

    /// Share surviving and sum of lost ages after so many steps.
    fn after(&self, steps: usize) -> (f64, f64) {
        steps.checked_sub(1).map_or((1.0, 0.0), |last| (self.steps[last].share, self.steps[last].lost_ages))
    }

    /// P(X > age).
    fn survival(&self, age: f64) -> f64 {
        self.after(self.steps.partition_point(|step| step.age_s <= age)).0
    }

    /// P(X > e + d | X > e); 1 with no history, or at an age past every lifetime.
    pub fn outlasts(&self, e: f64, d: f64) -> f64 {
        if self.steps.is_empty() || e >= self.longest {
            return 1.0;
        }
        let now = self.survival(e);
        if now <= 0.0 {
            return 1.0;
        }
        self.survival(e + d) / now
    }

    /// E(X - e | e < X < e + d): the time a loss within the task's run wastes.
    pub fn wasted(&self, e: f64, d: f64) -> f64 {
        let (before, ages_before) = self.after(self.steps.partition_point(|step| step.age_s <= e));
        let (beyond, ages_beyond) = self.after(self.steps.partition_point(|step| step.age_s < e + d));
        let mass = before - beyond;
        if mass > 0.0 {
            // Rounding must not lead beyond what the definition allows.
            ((ages_beyond - ages_before) / mass - e).clamp(0.0, d)
        } else {
            d / 2.0
        }
    }
}

#[cfg(test)]
mod tests;
