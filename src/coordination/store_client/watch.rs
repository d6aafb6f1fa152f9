//! Keeps the cache current: reads every record once, page by page, then
//! watches for changes from the revision of the first page on.
//!
//! Called on every membership tick, and by the dispatch of store answers. It
//! never writes to the store.

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

/// Longest that one watch request may wait for a change, in milliseconds.
const MAX_WATCH_WAIT_MS: u64 = 1000;

/// Pause after a watch that brought changes. It bounds the rate of watches
/// under load: the next one brings what came in the pause all at once.
const PAUSE_AFTER_EVENTS: Millis = Millis(80);

impl Core {
    /// Begins to read all records, or sends the next watch, if neither is under way.
    pub(crate) fn keep_cache_current(&mut self) {
        match self.store.sync {
            CacheSync::Unread => {
                self.store.sync = CacheSync::Loading;
                self.load_page(None, LoadProgress { seen: BTreeSet::new(), revision: None, since: self.now });
            }
            CacheSync::Loaded if self.now >= self.store.next_watch => {
                self.store.sync = CacheSync::Watching;
                self.send_watch();
            }
            CacheSync::Loading | CacheSync::Loaded | CacheSync::Watching => {}
        }
    }

    /// Asks for the page of records after the key `after`.
    fn load_page(&mut self, after: Option<String>, progress: LoadProgress) {
        self.store.charge_read(self.now);
        self.call_state(StoreRequest::List { prefix: ROOT.into(), after }, PendingRequest::Load(progress));
    }

    fn send_watch(&mut self) {
        self.store.charge_read(self.now);
        // A watch without events must end well before the last read is stale.
        let wait_ms = (self.timing.fresh.0 * 2 / 5).min(MAX_WATCH_WAIT_MS);
        let call = StoreRequest::Watch { prefix: ROOT.into(), after: self.cache.revision, wait_ms };
        self.call_state(call, PendingRequest::Watch);
    }

    /// Takes a page of records; the last one completes the load.
    pub(super) fn load_answer(&mut self, mut progress: LoadProgress, answer: StoreResponse) {
        let StoreResponse::Page(page) = answer else {
            self.store.sync = CacheSync::Unread;
            return self.store.pause(self.now);
        };
        // Changes made while the pages were read come again by the watch,
        // which begins at the first page's revision.
        let revision = *progress.revision.get_or_insert(page.revision);
        let last_key = page.items.last().map(|item| item.key.clone());
        for item in page.items {
            self.apply_record(&item.key, Some(item.value), item.version);
            progress.seen.insert(item.key);
        }
        match last_key {
            Some(after) if page.truncated => self.load_page(Some(after), progress),
            _ => self.finish_load(&progress, revision),
        }
    }

    /// All records have been read, as of the first page's revision.
    fn finish_load(&mut self, progress: &LoadProgress, revision: Revision) {
        self.cache.remove_missing(&progress.seen, revision);
        self.cache.revision = revision;
        self.store.sync = CacheSync::Loaded;
        // The first page is as old as when it was asked for, however long the others took.
        self.store.last_read = Some(progress.since);
        for shard in 0..self.shard_count {
            self.owner_changed(ShardId(shard));
        }
        self.activate_ready_shards();
        tracing::info!(records = progress.seen.len(), %revision, "loaded all records");
        self.milestone_reached(Milestone::RecordsRead);
    }

    /// Takes what a watch that was sent at `sent` brought.
    pub(super) fn watch_answer(&mut self, sent: MonotonicTime, answer: StoreResponse) {
        self.store.sync = CacheSync::Loaded;
        match answer {
            StoreResponse::WatchEvents(events) => self.take_watch_events(sent, events),
            StoreResponse::TooOld => self.store.sync = CacheSync::Unread,
            _ => self.store.pause(self.now),
        }
    }

    fn take_watch_events(&mut self, sent: MonotonicTime, WatchEvents { revision, events }: WatchEvents) {
        let pause = if events.is_empty() { Millis(0) } else { PAUSE_AFTER_EVENTS };
        self.store.next_watch = self.now + pause;
        self.cache.revision = self.cache.revision.max(revision);
        for event in events {
            match event {
                WatchEvent::Put { key, value, version } => self.apply_record(&key, Some(value), version),
                WatchEvent::Delete { key, version } => self.apply_record(&key, None, version),
            }
        }
        // The answer shows the records as of when it was asked for, or later.
        self.store.last_read = Some(self.store.last_read.map_or(sent, |at| at.max(sent)));
        self.activate_ready_shards();
        self.answer_ready_queries();
    }

    /// Takes a key's value as of a revision, or its absence, into the cache, and
    /// lets whoever goes by it act on the change.
    pub(super) fn apply_record(&mut self, key: &str, value: Option<Value>, at: Revision) {
        let change = self.cache.apply(key, value, at);
        self.changed(change);
    }

    /// Lets the concern that goes by a record act on its change.
    pub(crate) fn changed(&mut self, change: CacheChange) {
        match change {
            CacheChange::Owner(shard) => self.owner_changed(shard),
            CacheChange::Job(job, change) => self.job_changed(&job, change),
            CacheChange::Slice(job, _) => self.slice_changed(&job),
            CacheChange::LeaseProxy(shard) => self.lease_proxy_changed(shard),
            CacheChange::Fleet => self.fleet_changed(),
            CacheChange::Other => self.catalog_changed(),
            CacheChange::JobRemoved(job) => self.dependency_graph.record_removed(&job),
            CacheChange::Node(node) => self.node_changed(&node),
            CacheChange::Leader | CacheChange::Nothing => {}
        }
    }
}

#[cfg(test)]
mod tests;
