//! Client of the store: tracks requests in flight, this controller's share of
//! the store's rate limits, the age of the cache, keys with a write in flight,
//! and transactions with an unknown outcome.
//!
//! [`StoreClient`] owns that state. The submodules build requests from the
//! core's state and handle responses. Other modules of the core check here
//! whether they may send a request, and charge it to the rate limits.

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

/// Backoff after the store refused a request or did not respond.
const RETRY_DELAY: Millis = Millis(250);

/// Progress of the cache from the initial read of all records to the watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CacheSync {
    /// A full read of the records has to start: initially, after a failed read of a page, or because
    /// the watch fell too far behind.
    NotLoaded,
    /// Pages of records are being read.
    Loading,
    /// All records have been read; no watch is in flight.
    Loaded,
    /// A watch for later changes is in flight.
    Watching,
}

/// Requests in flight, rate limits and cache progress of this controller. Calls
/// to the cloud share the numbering of calls and the table of pending requests.
#[derive(Debug)]
pub(crate) struct StoreClient {
    last_call: u64,
    pending_requests: BTreeMap<CallId, SentRequest>,
    sync: CacheSync,
    /// Earliest time of the next watch.
    next_watch_at: MonotonicTime,
    /// Earliest time of the next request after a refusal.
    backoff_until: MonotonicTime,
    /// When the newest successful read of all records was sent.
    last_read: Option<MonotonicTime>,
    last_response: Option<MonotonicTime>,
    /// This controller's share of the store's limit on requests.
    request_limiter: RateLimiter,
    /// This controller's share of the store's limit on changed keys.
    write_limiter: RateLimiter,
    /// Keys with a change in flight.
    busy_keys: BTreeSet<String>,
    /// Keys whose values exceeded the store's size limit; each is logged once.
    too_large: BTreeSet<String>,
    unresolved: UnresolvedTransactions,
}

impl StoreClient {
    /// Creates a client with its share of the store's limits, in requests and in
    /// changed keys per second.
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

    /// True after all records have been read. False again if the watch falls too far behind.
    pub(crate) fn is_loaded(&self) -> bool {
        matches!(self.sync, CacheSync::Loaded | CacheSync::Watching)
    }

    /// False during the backoff after a refused request.
    pub(crate) fn may_send(&self, now: MonotonicTime) -> bool {
        now >= self.backoff_until
    }

    /// Starts the backoff after a refused request.
    pub(crate) fn back_off(&mut self, now: MonotonicTime) {
        self.backoff_until = now + RETRY_DELAY;
    }

    /// When the newest successful read of all records was sent. The cache
    /// contains every change made before that time.
    pub(crate) fn last_read(&self) -> Option<MonotonicTime> {
        self.last_read
    }

    /// When the store last responded with something other than a refusal.
    pub(crate) fn last_response(&self) -> Option<MonotonicTime> {
        self.last_response
    }

    /// Makes the next watch due now, because there is something new to read.
    pub(crate) fn request_watch_now(&mut self, now: MonotonicTime) {
        self.next_watch_at = now;
    }

    /// Assigns an id to a request that is about to be sent and stores its context until the response.
    pub(crate) fn register(&mut self, pending: PendingRequest, now: MonotonicTime) -> CallId {
        self.last_call += 1;
        let id = CallId(self.last_call);
        self.pending_requests.insert(id, SentRequest { pending, sent_at: now });
        id
    }

    /// Removes and returns the context of a request. `None` if its response was handled before.
    pub(crate) fn take_request(&mut self, id: CallId) -> Option<SentRequest> {
        self.pending_requests.remove(&id)
    }

    /// True while a transaction of this controller that changes the key is in flight.
    pub(crate) fn is_key_busy(&self, key: &str) -> bool {
        self.busy_keys.contains(key)
    }

    /// Reserves the key, so that no other transaction of this controller changes it until
    /// [`Self::release_key`].
    pub(crate) fn reserve_key(&mut self, key: &str) {
        self.busy_keys.insert(key.into());
    }

    /// Releases the key after the transaction that changed it has ended.
    pub(crate) fn release_key(&mut self, key: &str) {
        self.busy_keys.remove(key);
    }

    /// Charges one request, going into debt if the share is used up.
    pub(crate) fn charge_request(&mut self, now: MonotonicTime) {
        self.request_limiter.take_on_credit(now, 1.0);
    }

    /// Charges a transaction with this many changes, going into debt if the share is used up.
    pub(crate) fn charge_transaction(&mut self, now: MonotonicTime, changes: usize) {
        self.request_limiter.take_on_credit(now, 1.0);
        self.write_limiter.take_on_credit(now, changes as f64);
    }

    /// Charges this many requests if the share allows them now; false if not.
    pub(crate) fn try_charge_requests(&mut self, now: MonotonicTime, requests: f64) -> bool {
        self.request_limiter.try_take(now, requests)
    }

    /// True if the remaining request budget is below this many seconds of the
    /// request rate. A negative value stands for a debt.
    pub(crate) fn request_budget_below(&mut self, now: MonotonicTime, seconds: f64) -> bool {
        self.request_limiter.available(now) < seconds * self.request_limiter.rate_per_s()
    }

    /// True if the remaining write budget is above this many seconds of the write rate. A
    /// negative value stands for a debt.
    pub(crate) fn write_budget_above(&mut self, now: MonotonicTime, seconds: f64) -> bool {
        self.write_limiter.available(now) > seconds * self.write_limiter.rate_per_s()
    }

    /// Number of changes that may be sent now; negative in debt.
    pub(crate) fn write_budget(&mut self, now: MonotonicTime) -> f64 {
        self.write_limiter.available(now)
    }

    /// This controller's share of the write limit, in changed keys per second.
    pub(crate) fn writes_per_s(&self) -> f64 {
        self.write_limiter.rate_per_s()
    }
}

#[cfg(test)]
mod tests;
