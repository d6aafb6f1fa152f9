//! A controller's share of a rate limit, as a token bucket
//! that holds one second's worth.
//!
//! [`super::StoreClient`] owns two, for requests and for changed keys, and the
//! fleet one for calls on the cloud.

use crate::units::MonotonicTime;

/// A token bucket that may go into debt by as much as it holds.
#[derive(Debug, Clone)]
pub(crate) struct RateLimiter {
    rate_per_s: f64,
    /// Tokens that are left; negative on credit.
    available: f64,
    /// When tokens were last added.
    refilled_at: MonotonicTime,
}

impl RateLimiter {
    /// A full bucket to which this many tokens are added a second.
    pub(crate) fn new(rate_per_s: f64) -> Self {
        RateLimiter { rate_per_s, available: rate_per_s, refilled_at: MonotonicTime(0) }
    }

    /// Tokens a second, which is also what the bucket holds.
    pub(crate) fn rate_per_s(&self) -> f64 {
        self.rate_per_s
    }

    /// Takes `cost` tokens if that many are left; false if not.
    pub(crate) fn try_take(&mut self, now: MonotonicTime, cost: f64) -> bool {
        self.refill(now);
        let is_enough = self.available >= cost;
        if is_enough {
            self.available -= cost;
        }
        is_enough
    }

    /// Takes `cost` tokens even on credit: for what cannot wait, such as fencing.
    pub(crate) fn take_on_credit(&mut self, now: MonotonicTime, cost: f64) {
        self.refill(now);
        self.available = (self.available - cost).max(-self.rate_per_s);
    }

    /// Tokens that are left; negative on credit.
    pub(crate) fn available(&mut self, now: MonotonicTime) -> f64 {
        self.refill(now);
        self.available
    }

    fn refill(&mut self, now: MonotonicTime) {
        self.available =
            (self.available + self.rate_per_s * now.since(self.refilled_at).as_secs()).min(self.rate_per_s);
        self.refilled_at = self.refilled_at.max(now);
    }
}
