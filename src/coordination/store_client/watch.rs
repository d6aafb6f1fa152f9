//! Synchronizes the cache with the store: reads all records page by page, then
//! watches for changes after the revision of the first page.
//!
//! Called on every membership tick and by the dispatch of store responses. Does
//! not write to the store.

use crate::coordination::membership::startup::Milestone;
use crate::coordination::store_client::pending_requests::{LoadProgress, PendingRequest};
use crate::coordination::store_client::CacheSync;
use crate::coordination::Core;
use crate::protocol::state::{StoreRequest, StoreResponse, WatchEvent, WatchEvents};
use crate::storage::cache::CacheChange;
use crate::storage::records::ROOT;
use crate::units::{Millis, MonotonicTime, Revision, ShardId};
use serde_json::Value;
use std::collections::BTreeSet;

/// Upper bound on how long the store holds a watch request without changes.
const MAX_WATCH_WAIT_MS: u64 = 1000;

/// Delay between a watch response with changes and the next watch. It bounds the
/// rate of watches under load: the next response contains all changes made during
/// the delay.
const DELAY_AFTER_EVENTS: Millis = Millis(80);

impl Core {
    /// Starts reading all records, or sends the next watch if it is due. Does nothing while one of
    /// them is in flight.
    pub(crate) fn sync_cache(&mut self) {
        match self.store.sync {
            CacheSync::NotLoaded => {
                self.store.sync = CacheSync::Loading;
                self.load_page(None, LoadProgress { keys: BTreeSet::new(), revision: None, started_at: self.now });
            }
            CacheSync::Loaded if self.now >= self.store.next_watch_at => {
                self.store.sync = CacheSync::Watching;
                self.send_watch();
            }
            CacheSync::Loading | CacheSync::Loaded | CacheSync::Watching => {}
        }
    }

    /// Requests the page of records after the key `after`; `None` for the first page.
    fn load_page(&mut self, after: Option<String>, progress: LoadProgress) {
        self.store.charge_request(self.now);
        self.call_store(StoreRequest::List { prefix: ROOT.into(), after }, PendingRequest::Load(progress));
    }

    fn send_watch(&mut self) {
        self.store.charge_request(self.now);
        // A watch without events must return well before the last read counts as stale.
        let wait_ms = (self.timing.max_record_age.0 * 2 / 5).min(MAX_WATCH_WAIT_MS);
        let call = StoreRequest::Watch { prefix: ROOT.into(), after: self.cache.revision, wait_ms };
        self.call_store(call, PendingRequest::Watch);
    }

    /// Applies a page of records, and finishes the load after the last page.
    pub(super) fn handle_load_response(&mut self, mut progress: LoadProgress, response: StoreResponse) {
        let StoreResponse::Page(page) = response else {
            self.store.sync = CacheSync::NotLoaded;
            return self.store.back_off(self.now);
        };
        // The watch starts at the first page's revision, so it repeats all changes
        // that were made while the pages were read.
        let revision = *progress.revision.get_or_insert(page.revision);
        let last_key = page.items.last().map(|item| item.key.clone());
        for item in page.items {
            self.apply_record(&item.key, Some(item.value), item.version);
            progress.keys.insert(item.key);
        }
        match last_key {
            Some(after) if page.truncated => self.load_page(Some(after), progress),
            _ => self.finish_load(&progress, revision),
        }
    }

    /// Completes a read of all records, as of the first page's revision.
    fn finish_load(&mut self, progress: &LoadProgress, revision: Revision) {
        self.cache.remove_missing(&progress.keys, revision);
        self.cache.revision = revision;
        self.store.sync = CacheSync::Loaded;
        // Counts from the request for the first page: later pages may have taken long.
        self.store.last_read = Some(progress.started_at);
        for shard in 0..self.shard_count {
            self.owner_changed(ShardId(shard));
        }
        self.activate_ready_shards();
        tracing::info!(records = progress.keys.len(), %revision, "loaded all records");
        self.milestone_reached(Milestone::RecordsRead);
    }

    /// Handles the response to a watch that was sent at `sent_at`.
    pub(super) fn handle_watch_response(&mut self, sent_at: MonotonicTime, response: StoreResponse) {
        self.store.sync = CacheSync::Loaded;
        match response {
            StoreResponse::WatchEvents(events) => self.apply_watch_events(sent_at, events),
            StoreResponse::TooOld => self.store.sync = CacheSync::NotLoaded,
            _ => self.store.back_off(self.now),
        }
    }

    fn apply_watch_events(&mut self, sent_at: MonotonicTime, WatchEvents { revision, events }: WatchEvents) {
        let delay = if events.is_empty() { Millis(0) } else { DELAY_AFTER_EVENTS };
        self.store.next_watch_at = self.now + delay;
        self.cache.revision = self.cache.revision.max(revision);
        for event in events {
            match event {
                WatchEvent::Put { key, value, version } => self.apply_record(&key, Some(value), version),
                WatchEvent::Delete { key, version } => self.apply_record(&key, None, version),
            }
        }
        // The response contains every change made before the watch was sent.
        self.store.last_read = Some(self.store.last_read.map_or(sent_at, |at| at.max(sent_at)));
        self.activate_ready_shards();
        self.answer_ready_queries();
    }

    /// Applies a key's value at a revision to the cache (`None` if the key is absent)
    /// and handles the resulting change.
    pub(super) fn apply_record(&mut self, key: &str, value: Option<Value>, at: Revision) {
        let change = self.cache.apply(key, value, at);
        self.handle_cache_change(change);
    }

    /// Dispatches a change of the cache to the module that depends on the record.
    pub(crate) fn handle_cache_change(&mut self, change: CacheChange) {
        match change {
            CacheChange::Owner(shard) => self.owner_changed(shard),
            CacheChange::Job(job, change) => self.job_changed(&job, change),
            CacheChange::Slice(job, _) => self.slice_changed(&job),
            CacheChange::LeaseProxy(shard) => self.lease_proxy_changed(shard),
            CacheChange::Fleet => self.fleet_changed(),
            CacheChange::Other => self.catalog_changed(),
            CacheChange::JobRemoved(job) => self.dependency_graph.mark_record_removed(&job),
            CacheChange::Node(node) => self.node_changed(&node),
            CacheChange::Leader | CacheChange::Nothing => {}
        }
    }
}

#[cfg(test)]
mod tests;
