//! Requests that controllers have not answered yet, and the routing of the answers.

use super::probes::ProbeSubmission;
use super::users::UserRequest;
use super::SimulatedCluster;
use std::collections::BTreeMap;
use tillercleat::coordination::Response;
use tillercleat::units::RequestId;

/// A request that has not been answered yet, with the sender that waits for the answer.
pub(super) enum PendingRequest {
    User(UserRequest),
    Probe(ProbeSubmission),
    /// `number` is that of the worker's heartbeat, 0 for a stray one.
    Heartbeat {
        worker: usize,
        number: u64,
    },
}

/// Unanswered requests, keyed by the receiving node and the request id.
#[derive(Default)]
pub(super) struct PendingRequests {
    last_id: u64,
    requests: BTreeMap<(usize, RequestId), PendingRequest>,
}

impl PendingRequests {
    /// Returns an unused request id.
    pub(super) fn new_id(&mut self) -> RequestId {
        self.last_id += 1;
        RequestId(self.last_id)
    }

    /// Adds a request to a node and returns its new id.
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

    /// Removes and returns all requests to a node, ordered by id.
    pub(super) fn take_all_of(&mut self, node: usize) -> Vec<PendingRequest> {
        let (taken, kept): (BTreeMap<_, _>, _) =
            std::mem::take(&mut self.requests).into_iter().partition(|((to, _), _)| *to == node);
        self.requests = kept;
        taken.into_values().collect()
    }
}

impl SimulatedCluster {
    /// Passes a controller's response to the sender of the request.
    pub(super) fn route_response(&mut self, node: usize, id: RequestId, response: Response) {
        match self.requests.take(node, id) {
            Some(PendingRequest::User(request)) => self.handle_user_response(request, response),
            Some(PendingRequest::Probe(probe)) => self.handle_probe_response(probe, response),
            Some(PendingRequest::Heartbeat { worker, number }) => self.send_answer(node, worker, number, response),
            None => {}
        }
    }
}
