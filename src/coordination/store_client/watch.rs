//! Keeps the cache current: reads every record once, page by page, then
//! watches for changes from the revision of the first page on.
//!
//! Called on every membership tick, and by the dispatch of store answers. It
//! never writes to the store.

use crate::coordination::membership::startup::Milestone;
use crate::coordination::store_client::pending_requests::PendingRequest;
use crate::coordination::Core;
use crate::protocol::state::{StateAnswer, StateCall, WatchEvent, WatchEvents};
use crate::storage::records::ROOT;
use crate::units::{Millis, MonotonicTime, Revision, ShardId};
use std::collections::BTreeSet;

/// Longest that one watch request may wait for a change, in milliseconds.
const MAX_WATCH_WAIT_MS: u64 = 1000;

/// Pause after a watch that brought changes. It bounds the rate of watches
/// under load: the next one brings what came in the pause all at once.
const PAUSE_AFTER_EVENTS: Millis = Millis(80);

/// How long no request is sent after the store refused one or did not answer.
const RETRY_PAUSE: Millis = Millis(250);

impl Core {
    /// Begins to read all records, or sends the next watch, if neither is under way.
    pub(crate) fn keep_cache_current(&mut self) {
        if !self.loaded {
            if !self.loading {
                self.loading = true;
                self.load_page(None, BTreeSet::new(), None, self.now);
            }
        } else if !self.watching && self.now >= self.next_watch {
            self.watching = true;
            self.send_watch();
        }
    }

    /// Asks for the page of records after the key `after`.
    fn load_page(
        &mut self,
        after: Option<String>,
        seen: BTreeSet<String>,
        first: Option<Revision>,
        since: MonotonicTime,
    ) {
        self.reads.force(self.now, 1.0);
        let what = PendingRequest::Load { seen, first, since };
        self.call_state(StateCall::List { prefix: ROOT.into(), after }, what);
    }

    fn send_watch(&mut self) {
        self.reads.force(self.now, 1.0);
        // A watch without events must end well before the last read is stale.
        let wait_ms = (self.timing.fresh.0 * 2 / 5).min(MAX_WATCH_WAIT_MS);
        let call = StateCall::Watch { prefix: ROOT.into(), after: self.cache.revision, wait_ms };
        self.call_state(call, PendingRequest::Watch);
    }

    /// Holds requests to the store back for a moment after a refusal.
    pub(crate) fn pause_state(&mut self) {
        self.retry_state_at = self.now + RETRY_PAUSE;
    }

    /// Takes a page of records; the last one completes the load.
    pub(crate) fn load_answer(
        &mut self,
        mut seen: BTreeSet<String>,
        first: Option<Revision>,
        since: MonotonicTime,
        answer: StateAnswer,
    ) {
        let StateAnswer::Page(page) = answer else {
            self.loading = false;
            return self.pause_state();
        };
        // Changes made while the pages were read come again by the watch,
        // which begins at the first page's revision.
        let first = first.unwrap_or(page.revision);
        let last = page.items.last().map(|i| i.key.clone());
        for item in page.items {
            let changed = self.cache.apply(&item.key, Some(item.value), item.version);
            seen.insert(item.key);
            self.changed(changed);
        }
        match last {
            Some(after) if page.more => self.load_page(Some(after), seen, Some(first), since),
            _ => self.finish_load(&seen, first, since),
        }
    }

    /// All records have been read, as of revision `first`, the first page's.
    fn finish_load(&mut self, seen: &BTreeSet<String>, first: Revision, since: MonotonicTime) {
        self.cache.forget_missing(seen, first);
        self.cache.revision = first;
        self.loading = false;
        self.loaded = true;
        // The first page is as old as when it was asked for, however long the others took.
        self.last_read = Some(since);
        for shard in 0..self.shard_count {
            self.owner_changed(ShardId(shard));
        }
        self.activate_ready_shards();
        tracing::info!("read {} records up to revision {first}", seen.len());
        self.milestone_reached(Milestone::RecordsRead);
    }

    /// Takes what a watch that was sent at `sent` brought.
    pub(crate) fn watch_answer(&mut self, sent: MonotonicTime, answer: StateAnswer) {
        self.watching = false;
        match answer {
            StateAnswer::WatchEvents(news) => self.take_watch_events(sent, news),
            StateAnswer::TooOld => self.loaded = false,
            _ => self.pause_state(),
        }
    }

    fn take_watch_events(&mut self, sent: MonotonicTime, news: WatchEvents) {
        let pause = if news.events.is_empty() { Millis(0) } else { PAUSE_AFTER_EVENTS };
        self.next_watch = self.now + pause;
        self.cache.revision = self.cache.revision.max(news.revision);
        for event in news.events {
            let changed = match event {
                WatchEvent::Put { put, value, version } => self.cache.apply(&put, Some(value), version),
                WatchEvent::Delete { delete, version } => self.cache.apply(&delete, None, version),
            };
            self.changed(changed);
        }
        // The answer shows the records as of when it was asked for, or later.
        self.last_read = Some(self.last_read.map_or(sent, |at| at.max(sent)));
        self.activate_ready_shards();
        self.answer_ready_queries();
    }
}

#[cfg(test)]
mod tests;
