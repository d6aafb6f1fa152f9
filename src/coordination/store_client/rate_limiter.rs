//! A controller's share of a rate limit, as a token bucket
//! that holds one second's worth.
//!
//! [`super::StoreClient`] owns two, for requests and for changed keys, and the
//! fleet one for calls on the cloud.

use crate::units::MonotonicTime;

/// A token bucket that may go into debt by as much as it holds.
#[derive(Debug, Clone)]
pub(crate) struct RateLimiter {
    per_s: f64,
    /// Tokens that are left; negative on credit.
    level: f64,
    /// When tokens were last added.
    refilled_at: MonotonicTime,
}

impl RateLimiter {
    /// A full bucket to which this many tokens are added a second.
    pub(crate) fn new(per_s: f64) -> Self {
        RateLimiter { per_s, level: per_s, refilled_at: MonotonicTime(0) }
    }

    /// Tokens a second, which is also what the bucket holds.
    pub(crate) fn per_s(&self) -> f64 {
        self.per_s
    }

    /// Takes `cost` tokens if that many are left; false if not.
    pub(crate) fn try_take(&mut self, now: MonotonicTime, cost: f64) -> bool {
        self.refill(now);
        let is_enough = self.level >= cost;
        if is_enough {
            self.level -= cost;
        }
        is_enough
    }

    /// Takes `cost` tokens even on credit: for what cannot wait, such as fencing.
    pub(crate) fn take_on_credit(&mut self, now: MonotonicTime, cost: f64) {
        self.refill(now);
        self.level = (self.level - cost).max(-self.per_s);
    }

    /// Tokens that are left; negative on credit.
    pub(crate) fn level(&mut self, now: MonotonicTime) -> f64 {
        self.refill(now);
        self.level
    }

    fn refill(&mut self, now: MonotonicTime) {
        self.level = (self.level + self.per_s * now.since(self.refilled_at).as_secs()).min(self.per_s);
        self.refilled_at = self.refilled_at.max(now);
    }
}
