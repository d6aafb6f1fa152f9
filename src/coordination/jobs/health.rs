//! Health check: whether this controller can accept submissions.
//!
//! Called for the platform's health requests and by `membership::startup`. Does not change any state.

use crate::coordination::{Core, Refusal, Response};
use crate::units::{Millis, MonotonicTime, RequestId};

/// Maximum age of the last store answer for the store to count as reachable.
const MAX_STORE_ANSWER_AGE: Millis = Millis(3000);

impl Core {
    /// Answers a health check.
    pub(crate) fn check_health(&mut self, request: RequestId) {
        if self.can_accept_jobs() {
            self.respond(request, Response::Healthy);
        } else {
            self.refuse(request, Refusal::Starting);
        }
    }

    /// True if submissions can be validated and the store is reachable. An unreachable store is
    /// tolerated if no peer reaches it either, because no other controller could serve users better.
    pub(crate) fn can_accept_jobs(&self) -> bool {
        let store_reached = self.is_recent(self.store.last_response());
        self.store.is_loaded()
            && !self.catalog.is_empty()
            && (store_reached || self.membership.peers().no_peer_reaches_store(self.now))
    }

    fn is_recent(&self, at: Option<MonotonicTime>) -> bool {
        at.is_some_and(|at| self.now.since(at) < MAX_STORE_ANSWER_AGE)
    }
}

#[cfg(test)]
mod tests;
