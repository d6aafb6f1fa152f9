//! The store: conditional transactions, leases, watches and limits, written from the protocol.
//! The simulated cluster calls it in virtual time; the loopback tests serve it over HTTP.

use serde_json::Value;
use std::collections::BTreeMap;
use std::ops::Bound;
use tillercleat::protocol::state::{
    Change, Item, Page, StoreRequest, StoreResponse, Transaction, WatchEvent, WatchEvents,
};
use tillercleat::units::{LeaseId, Revision};

/// Maximum number of changes between a watch's revision and the newest one; the store answers
/// `TooOld` beyond that.
const MAX_LOGGED_CHANGES: usize = 10_000;
/// Maximum number of conditions in a transaction for each change that the store allows.
const MAX_CONDITIONS_PER_CHANGE: usize = 4;

/// A token bucket that holds at most one second's worth of tokens.
#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    per_s: f64,
    level: f64,
    /// When it was last refilled (milliseconds).
    filled_at: u64,
}

impl TokenBucket {
    fn new(per_s: f64) -> TokenBucket {
        TokenBucket { per_s, level: per_s, filled_at: 0 }
    }

    fn take(&mut self, now: u64, cost: f64) -> bool {
        let elapsed_s = now.saturating_sub(self.filled_at) as f64 / 1000.0;
        self.level = (self.level + self.per_s * elapsed_s).min(self.per_s);
        self.filled_at = self.filled_at.max(now);
        let fits = self.level >= cost;
        if fits {
            self.level -= cost;
        }
        fits
    }
}

/// Limits on requests and on changes per second.
#[derive(Debug, Clone, Copy)]
struct RateLimits {
    requests: TokenBucket,
    changes: TokenBucket,
}

/// A value, the revision of its last change, and the lease that it is bound to.
struct Row {
    value: Value,
    version: u64,
    lease: Option<u64>,
}

struct Lease {
    ttl_ms: u64,
    expires_at: u64,
}

/// A change as watches report it; without a value it is a deletion.
struct LoggedChange {
    revision: u64,
    key: String,
    value: Option<Value>,
}

/// The store. Times are in milliseconds.
#[derive(Default)]
pub struct SimulatedStore {
    pub revision: u64,
    rows: BTreeMap<String, Row>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    log: Vec<LoggedChange>,
    /// Without rate limits, the size limits are not enforced either.
    rate_limits: Option<RateLimits>,
    /// Items on one page of a list; values below 50 count as 50.
    page_size: usize,
    pub max_value_bytes: usize,
    pub max_changes: usize,
    /// Calls refused by the rate limits.
    pub rate_limited_calls: usize,
    /// How often each transaction was rejected for its size. More than once means that a controller
    /// repeated a transaction that cannot succeed.
    pub rejected_transactions: BTreeMap<String, usize>,
    pub changes_by_second: BTreeMap<u64, usize>,
    pub requests_by_second: BTreeMap<u64, usize>,
}

impl SimulatedStore {
    /// Creates a store with these size limits. `max_value_bytes` and `max_changes` are enforced only
    /// once its rates are limited.
    pub fn with_sizes(page_size: usize, max_value_bytes: usize, max_changes: usize) -> SimulatedStore {
        let mut store = SimulatedStore::default();
        (store.page_size, store.max_value_bytes, store.max_changes) = (page_size, max_value_bytes, max_changes);
        store
    }

    /// Limits requests and changes per second, and enforces the size limits from now on.
    pub fn limit_rates(&mut self, requests_per_s: f64, changes_per_s: f64) {
        let (requests, changes) = (TokenBucket::new(requests_per_s), TokenBucket::new(changes_per_s));
        self.rate_limits = Some(RateLimits { requests, changes });
    }

    pub fn value(&self, key: &str) -> Option<&Value> {
        self.rows.get(key).map(|row| &row.value)
    }

    pub fn count_keys(&self, prefix: &str) -> usize {
        self.rows.keys().filter(|key| key.starts_with(prefix)).count()
    }

    /// Stores a value without a watch event.
    pub fn insert_without_event(&mut self, key: &str, value: Value, version: u64) {
        self.rows.insert(key.into(), Row { value, version, lease: None });
    }

    /// Removes expired leases and deletes the keys bound to them.
    pub fn expire_leases(&mut self, now: u64) {
        let expired: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| lease.expires_at < now).map(|(id, _)| *id).collect();
        for lease in expired {
            self.leases.remove(&lease);
            let keys: Vec<String> =
                self.rows.iter().filter(|(_, row)| row.lease == Some(lease)).map(|(key, _)| key.clone()).collect();
            for key in keys {
                self.revision += 1;
                self.rows.remove(&key);
                self.log_change(key, None);
            }
        }
    }

    /// Extends every lease to at least its full TTL after `from` (milliseconds).
    pub fn extend_leases(&mut self, from: u64) {
        for lease in self.leases.values_mut() {
            lease.expires_at = lease.expires_at.max(from + lease.ttl_ms);
        }
    }

    /// Executes a call and returns the answer.
    pub fn execute(&mut self, now: u64, call: StoreRequest) -> StoreResponse {
        self.expire_leases(now);
        *self.requests_by_second.entry(now / 1000).or_default() += 1;
        let changes = if let StoreRequest::Transaction(transaction) = &call { transaction.changes.len() } else { 0 };
        if !self.admit(now, changes) {
            self.rate_limited_calls += 1;
            return StoreResponse::Unavailable;
        }
        match call {
            StoreRequest::Get { key } => self.get(key),
            StoreRequest::List { prefix, after } => self.list(&prefix, after),
            StoreRequest::Transaction(transaction) => {
                *self.changes_by_second.entry(now / 1000).or_default() += changes;
                self.commit(transaction)
            }
            StoreRequest::GrantLease { ttl_ms } => {
                self.last_lease += 1;
                self.leases.insert(self.last_lease, Lease { ttl_ms, expires_at: now + ttl_ms });
                StoreResponse::LeaseGranted(LeaseId(self.last_lease))
            }
            StoreRequest::RenewLease { lease } => match self.leases.get_mut(&lease.0) {
                Some(lease) => {
                    lease.expires_at = now + lease.ttl_ms;
                    StoreResponse::LeaseRenewed
                }
                None => StoreResponse::LeaseGone,
            },
            StoreRequest::Watch { after, .. } => self.changes_after(after),
        }
    }

    /// Takes one request with `changes` changes from the rate limits; false if they refuse it.
    fn admit(&mut self, now: u64, changes: usize) -> bool {
        let Some(limits) = &mut self.rate_limits else { return true };
        limits.requests.take(now, 1.0) && limits.changes.take(now, changes as f64)
    }

    fn get(&self, key: String) -> StoreResponse {
        match self.rows.get(&key) {
            Some(row) => StoreResponse::Found(Item { key, value: row.value.clone(), version: Revision(row.version) }),
            None => StoreResponse::Missing(Revision(self.revision)),
        }
    }

    fn list(&self, prefix: &str, after: Option<String>) -> StoreResponse {
        let size = self.page_size.max(50);
        let rows = self.rows.range((Bound::Excluded(after.unwrap_or_default()), Bound::Unbounded));
        let mut items: Vec<Item> = rows
            .filter(|(key, _)| key.starts_with(prefix))
            .take(size + 1)
            .map(|(key, row)| Item { key: key.clone(), value: row.value.clone(), version: Revision(row.version) })
            .collect();
        let truncated = items.len() > size;
        items.truncate(size);
        StoreResponse::Page(Page { items, truncated, revision: Revision(self.revision) })
    }

    fn changes_after(&self, after: Revision) -> StoreResponse {
        let from = self.log.partition_point(|change| change.revision <= after.0);
        if self.log.len() - from > MAX_LOGGED_CHANGES {
            return StoreResponse::TooOld;
        }
        let events = self.log[from..].iter().map(|LoggedChange { revision, key, value }| match value {
            Some(value) => WatchEvent::Put { key: key.clone(), value: value.clone(), version: Revision(*revision) },
            None => WatchEvent::Delete { key: key.clone(), version: Revision(*revision) },
        });
        StoreResponse::WatchEvents(WatchEvents { events: events.collect(), revision: Revision(self.revision) })
    }

    fn commit(&mut self, transaction: Transaction) -> StoreResponse {
        if transaction.changes.iter().any(|change| self.has_expired_lease(change)) {
            return StoreResponse::LeaseGone;
        }
        if self.rate_limits.is_some() && self.is_too_large(&transaction) {
            *self.rejected_transactions.entry(format!("{transaction:?}")).or_default() += 1;
            return StoreResponse::Invalid("too large".into());
        }
        let version = |key: &str| self.rows.get(key).map_or(0, |row| row.version);
        let failed = transaction.conditions.iter().filter(|condition| version(&condition.key) != condition.version.0);
        let failed: Vec<String> = failed.map(|condition| condition.key.clone()).collect();
        if !failed.is_empty() {
            return StoreResponse::Conflict(failed);
        }
        self.revision += 1;
        transaction.changes.into_iter().for_each(|change| self.apply(change));
        StoreResponse::Committed(Revision(self.revision))
    }

    fn has_expired_lease(&self, change: &Change) -> bool {
        matches!(change, Change::Put { lease: Some(lease), .. } if !self.leases.contains_key(&lease.0))
    }

    fn is_too_large(&self, transaction: &Transaction) -> bool {
        let large_value = |change: &Change| matches!(change, Change::Put { value, .. } if value.to_string().len() > self.max_value_bytes);
        transaction.changes.len() > self.max_changes
            || transaction.conditions.len() > MAX_CONDITIONS_PER_CHANGE * self.max_changes
            || transaction.changes.iter().any(large_value)
    }

    fn apply(&mut self, change: Change) {
        match change {
            Change::Put { key, value, lease } => {
                self.log_change(key.clone(), Some(value.clone()));
                let lease = lease.map(|lease| lease.0);
                self.rows.insert(key, Row { value, version: self.revision, lease });
            }
            Change::Delete { key } => {
                self.rows.remove(&key);
                self.log_change(key, None);
            }
        }
    }

    fn log_change(&mut self, key: String, value: Option<Value>) {
        self.log.push(LoggedChange { revision: self.revision, key, value });
    }
}
