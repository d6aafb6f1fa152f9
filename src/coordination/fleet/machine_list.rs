//! Reads the cloud's list of machines, page by page, into the inventory.
//!
//! The list lags by up to `list_lag_s`, and a page may be older than the one read before it. A machine
//! is therefore removed only after it has been missing from the list for much longer than that.

use crate::coordination::store_client::pending_requests::PendingRequest;
use crate::coordination::{CloudCall, CloudResponse, Core};
use crate::protocol::cloud::ListedMachine;
use crate::units::{Millis, MonotonicTime};

/// Minimum time between the starts of two readings of the list.
const LIST_INTERVAL: Millis = Millis(2000);

/// An unlisted machine is kept for this many times the list's lag, plus the margin below.
const UNLISTED_RETENTION_LAG_FACTOR: f64 = 2.5;

/// Margin added to the time that an unlisted machine is kept.
const UNLISTED_RETENTION_MARGIN_S: f64 = 5.0;

/// Progress of reading the list.
#[derive(Debug, Default)]
pub(super) struct MachineListing {
    in_progress: bool,
    /// True if this process has read a full list since it started.
    completed_once: bool,
    started_at: MonotonicTime,
}

impl MachineListing {
    /// True if a full list has been read. Until then the rented machines are unknown.
    pub(super) fn is_complete(&self) -> bool {
        self.completed_once
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
        self.completed_once = true;
    }

    fn abort(&mut self) {
        self.in_progress = false;
    }
}

impl Core {
    /// Requests the first page of the list if a reading is due and the cloud's rate limit allows it.
    pub(super) fn refresh_machine_list(&mut self) {
        if self.fleet.listing.is_due(self.now) && self.take_cloud_call() {
            self.fleet.listing.start(self.now);
            self.call_cloud(CloudCall::List { after: None }, PendingRequest::List { seen: vec![] });
        }
    }

    /// Handles a page: requests the next one, or applies the list if it was the last. If a page fails,
    /// drops the list, which is later read again from the start.
    pub(super) fn handle_list_response(&mut self, mut seen: Vec<ListedMachine>, answer: CloudResponse) {
        let CloudResponse::Page(page) = answer else {
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
        let retention = Millis::from_secs(lag_s * UNLISTED_RETENTION_LAG_FACTOR + UNLISTED_RETENTION_MARGIN_S);
        self.fleet.inventory.forget_unlisted(self.now, retention);
    }
}
