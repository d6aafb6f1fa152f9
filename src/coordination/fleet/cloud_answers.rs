//! Dispatches each answer of the cloud to the module that made the call.

use crate::coordination::store_client::pending_requests::{PendingRequest, SentRequest};
use crate::coordination::{CloudResponse, Core};
use crate::units::{CallId, MachineId};

impl Core {
    /// Handles the answer to a call. Ignores answers to calls that are no longer pending.
    pub(crate) fn handle_cloud_response(&mut self, id: CallId, answer: CloudResponse) {
        let Some(SentRequest { pending, .. }) = self.store.take_request(id) else { return };
        match (pending, answer) {
            (PendingRequest::Catalog, CloudResponse::Catalog(catalog)) => self.apply_catalog(catalog),
            (PendingRequest::List { seen }, answer) => self.handle_list_response(seen, answer),
            (PendingRequest::Rent(rental), answer) => self.handle_rental_response(rental, answer),
            (PendingRequest::Return(names), answer) => self.handle_return_response(names, &answer),
            // A failed catalog request is repeated when the next refresh is due.
            _ => tracing::debug!("ignored a cloud answer that does not match its call"),
        }
    }

    /// Handles the answer to a return request. A later pass retries a failed one, because its
    /// machines are still draining.
    fn handle_return_response(&mut self, names: Vec<MachineId>, answer: &CloudResponse) {
        self.fleet.returning = false;
        if !matches!(answer, CloudResponse::Returned) {
            return;
        }
        self.fleet.inventory.confirm_returns(names, self.now);
        self.write_fleet_record();
    }
}
