//! The health check: whether this controller can accept submissions.
//!
//! Called for the platform's health requests and by `membership::startup`. Changes nothing.

use crate::coordination::{Core, Refusal, Response};
use crate::units::{Millis, MonotonicTime, RequestId};

/// How old the last answer of the store may be to count as recent.
const RECENT: Millis = Millis(3000);

impl Core {
    /// Answers a health check.
    pub(crate) fn check_health(&mut self, request: RequestId) {
        if self.can_accept_jobs() {
            self.respond(request, Response::Healthy);
        } else {
            self.refuse(request, Refusal::Starting);
        }
    }

    /// True if submissions can be validated and the store answers, or if no peer reaches the store
    /// either: users are then no better off at another controller.
    pub(crate) fn can_accept_jobs(&self) -> bool {
        let store_reached = self.is_recent(self.store.last_response());
        self.store.is_loaded()
            && !self.catalog.is_empty()
            && (store_reached || self.membership.peers().none_reaches_store(self.now))
    }

    fn is_recent(&self, at: Option<MonotonicTime>) -> bool {
        at.is_some_and(|at| self.now.since(at) < RECENT)
    }
}

#[cfg(test)]
mod tests;
