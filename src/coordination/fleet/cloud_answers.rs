//! Answers of the cloud, each handed to the module that made the call.

use crate::coordination::store_client::pending_requests::{PendingRequest, SentRequest};
use crate::coordination::{CloudResponse, Core};
use crate::units::{CallId, MachineId};

impl Core {
    /// Takes the answer to a call. A call that is not pending any more is ignored.
    pub(crate) fn handle_cloud_response(&mut self, id: CallId, answer: CloudResponse) {
        let Some(SentRequest { pending, .. }) = self.store.take_request(id) else { return };
        match (pending, answer) {
            (PendingRequest::Catalog, CloudResponse::Catalog(catalog)) => self.apply_catalog(catalog),
            (PendingRequest::List { seen }, answer) => self.list_answer(seen, answer),
            (PendingRequest::Rent(rental), answer) => self.rental_answer(rental, answer),
            (PendingRequest::Return(names), answer) => self.return_answer(names, &answer),
            // A catalog that could not be read is asked for again by and by.
            _ => tracing::debug!("ignored an answer of the cloud that does not suit its call"),
        }
    }

    /// Returns that failed are tried again in a later pass: the machines are still draining.
    fn return_answer(&mut self, names: Vec<MachineId>, answer: &CloudResponse) {
        self.fleet.returning = false;
        if !matches!(answer, CloudResponse::Returned) {
            return;
        }
        self.fleet.inventory.confirm_returns(names, self.now);
        self.write_fleet();
    }
}
