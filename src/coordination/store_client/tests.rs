//! What tests of other parts set and read of the client's state.

use super::*;

impl StoreClient {
    /// All records were read, and no watch is in flight.
    pub(crate) fn set_loaded(&mut self) {
        self.sync = CacheSync::Loaded;
    }

    pub(crate) fn set_last_read(&mut self, at: MonotonicTime) {
        self.last_read = Some(at);
    }

    pub(crate) fn set_last_response(&mut self, at: MonotonicTime) {
        self.last_response = Some(at);
    }

    /// Ends the pause after a refusal.
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
