//! Looks up archived jobs that waiting jobs depend on.
//!
//! The dependency graph lists the dependencies with unknown state. They are read from the archive one
//! at a time, round-robin, until each is found. Called at each tick; never writes to the store.

use crate::coordination::store_client::pending_requests::PendingRequest;
use crate::coordination::Core;
use crate::protocol::state::{StoreRequest, StoreResponse};
use crate::storage::records::archived_job_key;
use crate::units::{JobId, Millis, MonotonicTime};

/// Delay before the next look-up after one that returned no readable archive record.
const RETRY_PAUSE: Millis = Millis(500);

/// State of the dependency look-ups, of which at most one is in flight.
#[derive(Debug, Default)]
pub(crate) struct DependencyLookups {
    in_flight: bool,
    /// The most recently looked-up job; the next look-up takes the one after it in id order.
    last: Option<JobId>,
    not_before: MonotonicTime,
}

impl DependencyLookups {
    fn may_start(&self, now: MonotonicTime) -> bool {
        !self.in_flight && now >= self.not_before
    }

    fn start(&mut self, id: &JobId) {
        self.in_flight = true;
        self.last = Some(id.clone());
    }

    fn finish(&mut self) {
        self.in_flight = false;
    }

    fn pause(&mut self, now: MonotonicTime) {
        self.not_before = now + RETRY_PAUSE;
    }
}

impl Core {
    /// Reads the next dependency with unknown state from the archive.
    pub(crate) fn look_up_unknown_dependencies(&mut self) {
        if !self.store.is_loaded() || !self.dependency_lookups.may_start(self.now) || !self.store.may_send(self.now) {
            return;
        }
        let next = self.dependency_graph.next_unknown(self.dependency_lookups.last.as_ref());
        let Some(id) = next.cloned() else { return };
        self.dependency_lookups.start(&id);
        self.store.charge_request(self.now);
        self.call_store(StoreRequest::Get { key: archived_job_key(&id) }, PendingRequest::DependencyLookUp(id));
    }

    /// Handles the response to a dependency look-up: records the outcome in the dependency graph, or
    /// delays the next look-up if there is none.
    pub(crate) fn handle_dependency_lookup(&mut self, id: JobId, answer: StoreResponse) {
        self.dependency_lookups.finish();
        match self.cache_archived_job(&id, answer) {
            Some(record) => {
                self.dependency_graph.mark_ended(&id, record.outcome);
                self.dependency_release.request();
            }
            None => self.dependency_lookups.pause(self.now),
        }
    }
}

#[cfg(test)]
mod tests;
