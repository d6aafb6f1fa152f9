//! This controller as a client of the store: requests in flight, its share of
//! the store's rate limits, how current the cache is, keys that are being
//! written, and transactions whose outcome is not known.
//!
//! [`StoreClient`] owns that state. The files beside it build requests from the
//! core's state and act on answers; every other part of the core asks here
//! whether it may send, and charges what it sends.

pub(crate) mod pending_requests;
pub(crate) mod rate_limiter;
mod shard_writes;
mod transactions;
mod watch;
mod write_batch;

use crate::coordination::store_client::pending_requests::{PendingRequest, SentRequest};
use crate::coordination::store_client::rate_limiter::RateLimiter;
use crate::coordination::store_client::transactions::UnresolvedTransactions;
use crate::units::{CallId, Millis, MonotonicTime};
use std::collections::{BTreeMap, BTreeSet};

/// How long no request is sent after the store refused one or did not answer.
const RETRY_PAUSE: Millis = Millis(250);

/// Where the cache stands between a first read of all records and the watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CacheSync {
    /// The records have to be read in full, for the first time or again.
    Unread,
    /// Pages of records are being read.
    Loading,
    /// All records were read; no watch is in flight.
    Loaded,
    /// A watch for later changes is in flight.
    Watching,
}

/// The state of this controller's requests to the store (and to the cloud, as
/// far as numbering them and finding what an answer is for goes).
#[derive(Debug)]
pub(crate) struct StoreClient {
    last_call: u64,
    pending_requests: BTreeMap<CallId, SentRequest>,
    sync: CacheSync,
    /// Not before this time is the next watch sent.
    next_watch: MonotonicTime,
    /// Not before this time is the store tried again after a refusal.
    retry_at: MonotonicTime,
    /// When the newest successful read of all records was sent.
    last_read: Option<MonotonicTime>,
    last_answer: Option<MonotonicTime>,
    /// This controller's share of the limit on requests.
    reads: RateLimiter,
    /// This controller's share of the limit on changes to keys.
    writes: RateLimiter,
    /// Keys that a transaction in flight changes.
    busy_keys: BTreeSet<String>,
    /// Keys whose values did not fit, each logged once.
    too_large: BTreeSet<String>,
    unresolved: UnresolvedTransactions,
}

impl StoreClient {
    /// A client that has sent nothing yet, with its share of the store's limits
    /// in requests and in changed keys a second.
    pub(crate) fn new(reads_per_s: f64, writes_per_s: f64) -> StoreClient {
        StoreClient {
            last_call: 0,
            pending_requests: BTreeMap::new(),
            sync: CacheSync::Unread,
            next_watch: MonotonicTime(0),
            retry_at: MonotonicTime(0),
            last_read: None,
            last_answer: None,
            reads: RateLimiter::new(reads_per_s),
            writes: RateLimiter::new(writes_per_s),
            busy_keys: BTreeSet::new(),
            too_large: BTreeSet::new(),
            unresolved: UnresolvedTransactions::default(),
        }
    }

    /// True once all records have been read, until the watch falls too far behind.
    pub(crate) fn is_loaded(&self) -> bool {
        matches!(self.sync, CacheSync::Loaded | CacheSync::Watching)
    }

    /// False for a moment after the store refused a request.
    pub(crate) fn may_send(&self, now: MonotonicTime) -> bool {
        now >= self.retry_at
    }

    /// Holds requests back for a moment after a refusal.
    pub(crate) fn pause(&mut self, now: MonotonicTime) {
        self.retry_at = now + RETRY_PAUSE;
    }

    /// When the newest successful read of all records was sent: the cache shows
    /// every change that was made before.
    pub(crate) fn last_read(&self) -> Option<MonotonicTime> {
        self.last_read
    }

    /// When the store last answered anything but a refusal.
    pub(crate) fn last_answer(&self) -> Option<MonotonicTime> {
        self.last_answer
    }

    /// Lets the next watch be sent at once: there is something new to read.
    pub(crate) fn watch_at_once(&mut self, now: MonotonicTime) {
        self.next_watch = now;
    }

    /// Numbers a request that is about to be sent, and keeps what its answer is for.
    pub(crate) fn register(&mut self, what: PendingRequest, now: MonotonicTime) -> CallId {
        self.last_call += 1;
        let id = CallId(self.last_call);
        self.pending_requests.insert(id, SentRequest { what, sent: now });
        id
    }

    /// What the answer to a request is for; none if it was answered before.
    pub(crate) fn take_request(&mut self, id: CallId) -> Option<SentRequest> {
        self.pending_requests.remove(&id)
    }

    /// True while a transaction of this controller that changes the key is in flight.
    pub(crate) fn is_key_busy(&self, key: &str) -> bool {
        self.busy_keys.contains(key)
    }

    /// Keeps others of this controller from changing the key until [`Self::release_key`].
    pub(crate) fn reserve_key(&mut self, key: &str) {
        self.busy_keys.insert(key.into());
    }

    /// The transaction that changed the key is over.
    pub(crate) fn release_key(&mut self, key: &str) {
        self.busy_keys.remove(key);
    }

    /// Charges one request, on credit if need be.
    pub(crate) fn charge_read(&mut self, now: MonotonicTime) {
        self.reads.take_on_credit(now, 1.0);
    }

    /// Charges a transaction with this many changes, on credit if need be.
    pub(crate) fn charge_transaction(&mut self, now: MonotonicTime, changes: usize) {
        self.reads.take_on_credit(now, 1.0);
        self.writes.take_on_credit(now, changes as f64);
    }

    /// Charges this many requests if the share of the limit allows them now.
    pub(crate) fn try_charge_reads(&mut self, now: MonotonicTime, requests: f64) -> bool {
        self.reads.try_take(now, requests)
    }

    /// True if the requests that may be sent now are fewer than this many
    /// seconds' worth; negative when sending on credit.
    pub(crate) fn reads_below(&mut self, now: MonotonicTime, seconds: f64) -> bool {
        self.reads.level(now) < seconds * self.reads.per_s()
    }

    /// True if the changes that may be sent now are more than this many seconds' worth.
    pub(crate) fn writes_above(&mut self, now: MonotonicTime, seconds: f64) -> bool {
        self.writes.level(now) > seconds * self.writes.per_s()
    }

    /// How many changes may be sent now; negative when sending on credit.
    pub(crate) fn write_budget(&mut self, now: MonotonicTime) -> f64 {
        self.writes.level(now)
    }

    /// This controller's share of the limit, in changes a second.
    pub(crate) fn writes_per_s(&self) -> f64 {
        self.writes.per_s()
    }
}

#[cfg(test)]
mod tests;
