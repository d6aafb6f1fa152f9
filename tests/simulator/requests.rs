//! Requests that controllers have not answered yet, and to whom the answers go.

use super::probes::ProbeSubmission;
use super::users::UserRequest;
use super::SimulatedCluster;
use std::collections::BTreeMap;
use tillercleat::coordination::Response;
use tillercleat::units::RequestId;

/// Who waits for an answer.
pub(super) enum PendingRequest {
    User(UserRequest),
    Probe(ProbeSubmission),
    /// The worker, and the number of its heartbeat (0 of a stray one).
    Heartbeat {
        worker: usize,
        number: u64,
    },
}

/// Requests by the node that received them.
#[derive(Default)]
pub(super) struct PendingRequests {
    last_id: u64,
    requests: BTreeMap<(usize, RequestId), PendingRequest>,
}

impl PendingRequests {
    /// An id that no request had before.
    pub(super) fn new_id(&mut self) -> RequestId {
        self.last_id += 1;
        RequestId(self.last_id)
    }

    /// Notes a request to a node, and gives it an id.
    pub(super) fn add(&mut self, node: usize, request: PendingRequest) -> RequestId {
        let id = self.new_id();
        self.insert(node, id, request);
        id
    }

    pub(super) fn insert(&mut self, node: usize, id: RequestId, request: PendingRequest) {
        self.requests.insert((node, id), request);
    }

    fn take(&mut self, node: usize, id: RequestId) -> Option<PendingRequest> {
        self.requests.remove(&(node, id))
    }

    /// Removes all requests to a node, in order of their ids.
    pub(super) fn take_all_of(&mut self, node: usize) -> Vec<PendingRequest> {
        let (taken, kept): (BTreeMap<_, _>, _) =
            std::mem::take(&mut self.requests).into_iter().partition(|((to, _), _)| *to == node);
        self.requests = kept;
        taken.into_values().collect()
    }
}

impl SimulatedCluster {
    /// Brings a controller's answer to whoever asked.
    pub(super) fn route_response(&mut self, node: usize, id: RequestId, response: Response) {
        match self.requests.take(node, id) {
            Some(PendingRequest::User(request)) => self.user_answered(request, response),
            Some(PendingRequest::Probe(probe)) => self.probe_answered(probe, response),
            Some(PendingRequest::Heartbeat { worker, number }) => self.send_answer(node, worker, number, response),
            None => {}
        }
    }
}
