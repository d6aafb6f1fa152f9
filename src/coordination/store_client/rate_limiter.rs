//! A node's share of a rate limit, as a token bucket.

use crate::units::MonotonicTime;

#[derive(Debug, Clone)]
pub struct RateLimiter {
    per_s: f64,
    level: f64,
    at: MonotonicTime,
}

impl RateLimiter {
    pub fn new(per_s: f64) -> Self {
        RateLimiter { per_s, level: per_s, at: MonotonicTime(0) }
    }

    pub fn per_s(&self) -> f64 {
        self.per_s
    }

    fn refill(&mut self, now: MonotonicTime) {
        self.level = (self.level + self.per_s * now.since(self.at).as_secs()).min(self.per_s);
        self.at = self.at.max(now);
    }

    /// Takes `cost` if that much is there.
    pub fn take(&mut self, now: MonotonicTime, cost: f64) -> bool {
        self.refill(now);
        let fits = self.level >= cost;
        if fits {
            self.level -= cost;
        }
        fits
    }

    /// Takes `cost` even on credit; for what cannot wait, such as fencing.
    pub fn force(&mut self, now: MonotonicTime, cost: f64) {
        self.refill(now);
        self.level = (self.level - cost).max(-self.per_s);
    }

    /// How much may be taken now.
    pub fn level(&mut self, now: MonotonicTime) -> f64 {
        self.refill(now);
        self.level
    }
}
