//! Accessors of the client's state for tests of other modules.

use super::*;

impl StoreClient {
    /// Marks all records as read, with no watch in flight.
    pub(crate) fn set_loaded(&mut self) {
        self.sync = CacheSync::Loaded;
    }

    pub(crate) fn set_last_read(&mut self, at: MonotonicTime) {
        self.last_read = Some(at);
    }

    pub(crate) fn set_last_response(&mut self, at: MonotonicTime) {
        self.last_response = Some(at);
    }

    /// Ends the backoff after a refusal.
    pub(crate) fn end_backoff(&mut self) {
        self.backoff_until = MonotonicTime(0);
    }

    pub(crate) fn last_call(&self) -> CallId {
        CallId(self.last_call)
    }

    pub(crate) fn has_no_busy_keys(&self) -> bool {
        self.busy_keys.is_empty()
    }
}
