//! Looks up archived jobs that waiting jobs depend on.
//!
//! The dependency graph says which jobs it knows nothing of. They are read from the archive one at a
//! time, in turn, until each is found. Called at each tick; never writes.

use crate::coordination::store_client::pending_requests::PendingRequest;
use crate::coordination::Core;
use crate::protocol::state::{StoreRequest, StoreResponse};
use crate::storage::records::archived_job_key;
use crate::units::{JobId, Millis, MonotonicTime};

/// Pause after a look-up that found nothing of a job that must be somewhere.
const RETRY_PAUSE: Millis = Millis(500);

/// The look-up in flight and the one after it.
#[derive(Debug, Default)]
pub(crate) struct DependencyLookups {
    in_flight: bool,
    /// The job that was looked up last.
    last: Option<JobId>,
    not_before: MonotonicTime,
}

impl DependencyLookups {
    fn may_start(&self, now: MonotonicTime) -> bool {
        !self.in_flight && now >= self.not_before
    }

    fn started(&mut self, id: &JobId) {
        self.in_flight = true;
        self.last = Some(id.clone());
    }

    fn ended(&mut self) {
        self.in_flight = false;
    }

    fn pause(&mut self, now: MonotonicTime) {
        self.not_before = now + RETRY_PAUSE;
    }
}

impl Core {
    /// Looks up the next job that the dependency graph knows nothing of.
    pub(crate) fn look_up_unknown_dependencies(&mut self) {
        if !self.store.is_loaded() || !self.dependency_lookups.may_start(self.now) || !self.store.may_send(self.now) {
            return;
        }
        let next = self.dependency_graph.next_unknown(self.dependency_lookups.last.as_ref());
        let Some(id) = next.cloned() else { return };
        self.dependency_lookups.started(&id);
        self.store.charge_read(self.now);
        self.call_state(StoreRequest::Get { key: archived_job_key(&id) }, PendingRequest::DependencyLookUp(id));
    }

    /// Takes the outcome of a job that was looked up into the dependency graph.
    pub(crate) fn dependency_looked_up(&mut self, id: JobId, answer: StoreResponse) {
        self.dependency_lookups.ended();
        match self.take_archived(&id, answer) {
            Some(record) => {
                self.dependency_graph.ended(&id, record.outcome);
                self.dependency_release.request();
            }
            None => self.dependency_lookups.pause(self.now),
        }
    }
}

#[cfg(test)]
mod tests;
