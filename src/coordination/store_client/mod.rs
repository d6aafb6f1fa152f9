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
const RETRY_DELAY: Millis = Millis(250);

/// Where the cache stands between a first read of all records and the watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CacheSync {
    /// The records have to be read in full, for the first time or again.
    NotLoaded,
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
    next_watch_at: MonotonicTime,
    /// Not before this time is the store tried again after a refusal.
    backoff_until: MonotonicTime,
    /// When the newest successful read of all records was sent.
    last_read: Option<MonotonicTime>,
    last_response: Option<MonotonicTime>,
    /// This controller's share of the limit on requests.
    request_limiter: RateLimiter,
    /// This controller's share of the limit on changes to keys.
    write_limiter: RateLimiter,
    /// Keys that a transaction in flight changes.
    busy_keys: BTreeSet<String>,
    /// Keys whose values did not fit, each logged once.
    too_large: BTreeSet<String>,
    unresolved: UnresolvedTransactions,
}

impl StoreClient {
    /// A client that has sent nothing yet, with its share of the store's limits
    /// in requests and in changed keys a second.
    pub(crate) fn new(requests_per_s: f64, writes_per_s: f64) -> StoreClient {
        StoreClient {
            last_call: 0,
            pending_requests: BTreeMap::new(),
            sync: CacheSync::NotLoaded,
            next_watch_at: MonotonicTime(0),
            backoff_until: MonotonicTime(0),
            last_read: None,
            last_response: None,
            request_limiter: RateLimiter::new(requests_per_s),
            write_limiter: RateLimiter::new(writes_per_s),
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
        now >= self.backoff_until
    }

    /// Holds requests back for a moment after a refusal.
    pub(crate) fn back_off(&mut self, now: MonotonicTime) {
        self.backoff_until = now + RETRY_DELAY;
    }

    /// When the newest successful read of all records was sent: the cache shows
    /// every change that was made before.
    pub(crate) fn last_read(&self) -> Option<MonotonicTime> {
        self.last_read
    }

    /// When the store last answered anything but a refusal.
    pub(crate) fn last_response(&self) -> Option<MonotonicTime> {
        self.last_response
    }

    /// Lets the next watch be sent at once: there is something new to read.
    pub(crate) fn request_watch_now(&mut self, now: MonotonicTime) {
        self.next_watch_at = now;
    }

    /// Numbers a request that is about to be sent, and keeps what its answer is for.
    pub(crate) fn register(&mut self, pending: PendingRequest, now: MonotonicTime) -> CallId {
        self.last_call += 1;
        let id = CallId(self.last_call);
        self.pending_requests.insert(id, SentRequest { pending, sent_at: now });
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
    pub(crate) fn charge_request(&mut self, now: MonotonicTime) {
        self.request_limiter.take_on_credit(now, 1.0);
    }

    /// Charges a transaction with this many changes, on credit if need be.
    pub(crate) fn charge_transaction(&mut self, now: MonotonicTime, changes: usize) {
        self.request_limiter.take_on_credit(now, 1.0);
        self.write_limiter.take_on_credit(now, changes as f64);
    }

    /// Charges this many requests if the share of the limit allows them now.
    pub(crate) fn try_charge_requests(&mut self, now: MonotonicTime, requests: f64) -> bool {
        self.request_limiter.try_take(now, requests)
    }

    /// True if the requests that may be sent now are fewer than this many
    /// seconds' worth; negative when sending on credit.
    pub(crate) fn request_budget_below(&mut self, now: MonotonicTime, seconds: f64) -> bool {
        self.request_limiter.available(now) < seconds * self.request_limiter.rate_per_s()
    }

    /// True if the changes that may be sent now are more than this many seconds' worth.
    pub(crate) fn write_budget_above(&mut self, now: MonotonicTime, seconds: f64) -> bool {
        self.write_limiter.available(now) > seconds * self.write_limiter.rate_per_s()
    }

    /// How many changes may be sent now; negative when sending on credit.
    pub(crate) fn write_budget(&mut self, now: MonotonicTime) -> f64 {
        self.write_limiter.available(now)
    }

    /// This controller's share of the limit, in changes a second.
    pub(crate) fn writes_per_s(&self) -> f64 {
        self.write_limiter.rate_per_s()
    }
}

#[cfg(test)]
mod tests;
