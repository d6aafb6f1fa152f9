//! Token bucket for a controller's share of a rate limit. It holds at most the
//! tokens of one second.
//!
//! [`super::StoreClient`] owns two, for requests and for changed keys. The
//! fleet owns one for calls to the cloud.

use crate::units::MonotonicTime;

/// A token bucket whose debt is limited to its capacity.
#[derive(Debug, Clone)]
pub(crate) struct RateLimiter {
    rate_per_s: f64,
    /// Tokens left; negative in debt.
    available: f64,
    /// When tokens were last added.
    refilled_at: MonotonicTime,
}

impl RateLimiter {
    /// Creates a full bucket that gains this many tokens per second.
    pub(crate) fn new(rate_per_s: f64) -> Self {
        RateLimiter { rate_per_s, available: rate_per_s, refilled_at: MonotonicTime(0) }
    }

    /// Tokens added per second, which is also the bucket's capacity.
    pub(crate) fn rate_per_s(&self) -> f64 {
        self.rate_per_s
    }

    /// Takes `cost` tokens if that many are left. Otherwise takes none and returns false.
    pub(crate) fn try_take(&mut self, now: MonotonicTime, cost: f64) -> bool {
        self.refill(now);
        let is_enough = self.available >= cost;
        if is_enough {
            self.available -= cost;
        }
        is_enough
    }

    /// Takes `cost` tokens, going into debt if too few are left. For requests that cannot wait,
    /// such as fencing.
    pub(crate) fn take_on_credit(&mut self, now: MonotonicTime, cost: f64) {
        self.refill(now);
        self.available = (self.available - cost).max(-self.rate_per_s);
    }

    /// Returns the tokens left; negative in debt.
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
