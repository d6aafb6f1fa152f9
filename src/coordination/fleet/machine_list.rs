//! Reading the cloud's list of machines, page by page, into the inventory.
//!
//! The list lags by as much as `list_lag_s`, and a page may be older than the one read before it:
//! a machine is forgotten only after lists have not named it for much longer than that.

use crate::coordination::store_client::pending_requests::PendingRequest;
use crate::coordination::{CloudAnswer, CloudCall, Core};
use crate::protocol::cloud::ListedMachine;
use crate::units::{Millis, MonotonicTime};

/// How long after the start of one list the next may be started.
const LIST_INTERVAL: Millis = Millis(2000);

/// A machine is forgotten after so many times the list's lag without being named, and some seconds.
const PATIENCE_LAGS: f64 = 2.5;
const PATIENCE_EXTRA_S: f64 = 5.0;

/// The progress of reading the list.
#[derive(Debug, Default)]
pub(super) struct MachineListing {
    in_progress: bool,
    /// A full list has been read since this process started.
    complete_once: bool,
    started_at: MonotonicTime,
}

impl MachineListing {
    /// True if a full list has been read: without it nobody knows what is rented.
    pub(super) fn is_complete(&self) -> bool {
        self.complete_once
    }

    fn is_due(&self, now: MonotonicTime) -> bool {
        !self.in_progress && now.since(self.started_at) >= LIST_INTERVAL
    }

    fn start(&mut self, now: MonotonicTime) {
        self.in_progress = true;
        self.started_at = now;
    }

    fn finish(&mut self) {
        self.in_progress = false;
        self.complete_once = true;
    }

    fn abort(&mut self) {
        self.in_progress = false;
    }
}

impl Core {
    /// Asks for the first page of the list if it is time to and the cloud's rate allows it.
    pub(super) fn refresh_machine_list(&mut self) {
        if self.fleet.listing.is_due(self.now) && self.take_cloud_call() {
            self.fleet.listing.start(self.now);
            self.call_cloud(CloudCall::List { after: None }, PendingRequest::List { seen: vec![] });
        }
    }

    /// Takes a page, and asks for the next one or applies the whole list. If a page fails, the list
    /// is dropped and read again from its start.
    pub(super) fn list_answer(&mut self, mut seen: Vec<ListedMachine>, answer: CloudAnswer) {
        let CloudAnswer::Page(page) = answer else {
            self.fleet.listing.abort();
            return;
        };
        seen.extend(page.machines);
        if let (true, Some(last)) = (page.truncated, seen.last()) {
            let call = CloudCall::List { after: Some(last.machine.clone()) };
            return self.call_cloud(call, PendingRequest::List { seen });
        }
        self.fleet.listing.finish();
        for listed in seen {
            self.fleet.inventory.apply_listed(listed, self.now);
        }
        let lag_s = self.settings.cluster.cloud.list_lag_s;
        let patience = Millis::from_secs(lag_s * PATIENCE_LAGS + PATIENCE_EXTRA_S);
        self.fleet.inventory.forget_unlisted(self.now, patience);
    }
}
