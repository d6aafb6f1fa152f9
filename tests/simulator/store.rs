//! The state service: conditional transactions, leases, watches and limits.

use std::collections::BTreeMap;
use tillercleat::protocol::state::{
    Change, Item, Page, StoreRequest, StoreResponse, Transaction, WatchEvent, WatchEvents,
};
use tillercleat::units::{LeaseId, Revision};

/// Refills with time, one second's worth at the most.
#[derive(Debug, Clone, Copy)]
pub struct Bucket {
    pub per_s: f64,
    level: f64,
    at: u64,
}

impl Bucket {
    pub fn new(per_s: f64) -> Bucket {
        Bucket { per_s, level: per_s, at: 0 }
    }

    fn take(&mut self, now: u64, cost: f64) -> bool {
        self.level = (self.level + self.per_s * now.saturating_sub(self.at) as f64 / 1000.0).min(self.per_s);
        self.at = self.at.max(now);
        let fits = self.level >= cost;
        if fits {
            self.level -= cost;
        }
        fits
    }
}

/// Changes that the state service remembers for watches.
const MOST_CHANGES: usize = 10_000;

#[derive(Default)]
pub struct StateService {
    pub revision: u64,
    pub rows: BTreeMap<String, (serde_json::Value, u64, Option<u64>)>,
    pub leases: BTreeMap<u64, (u64, u64)>,
    pub last_lease: u64,
    pub log: Vec<(u64, String, Option<serde_json::Value>)>,
    /// Limits on requests and on changes, if it keeps any.
    pub buckets: Option<(Bucket, Bucket)>,
    /// Calls refused for being too many.
    pub limited: usize,
    pub page: usize,
    /// The most bytes of a value, and changes of a transaction; conditions may
    /// be four times as many.
    pub most_bytes: usize,
    pub most_ops: usize,
    /// What was refused for its size, and how often: asked again unchanged, it
    /// is refused again.
    pub rejected: BTreeMap<String, usize>,
    /// Changes asked for and requests made, by second.
    pub writes: BTreeMap<u64, usize>,
    pub requests: BTreeMap<u64, usize>,
}

impl StateService {
    pub fn expire(&mut self, now: u64) {
        let ended: Vec<u64> = self.leases.iter().filter(|(_, l)| l.1 < now).map(|(id, _)| *id).collect();
        for lease in ended {
            self.leases.remove(&lease);
            let keys: Vec<String> =
                self.rows.iter().filter(|(_, r)| r.2 == Some(lease)).map(|(k, _)| k.clone()).collect();
            for key in keys {
                self.revision += 1;
                self.rows.remove(&key);
                self.log.push((self.revision, key, None));
            }
        }
    }

    fn transaction(&mut self, transaction: Transaction) -> StoreResponse {
        for change in &transaction.changes {
            if let Change::Put { lease: Some(lease), .. } = change {
                if !self.leases.contains_key(&lease.0) {
                    return StoreResponse::LeaseGone;
                }
            }
        }
        let too_large =
            |c: &Change| matches!(c, Change::Put { value, .. } if value.to_string().len() > self.most_bytes);
        let too_many = transaction.changes.len() > self.most_ops || transaction.conditions.len() > 4 * self.most_ops;
        if self.buckets.is_some() && (too_many || transaction.changes.iter().any(too_large)) {
            *self.rejected.entry(format!("{transaction:?}")).or_default() += 1;
            return StoreResponse::Invalid("too large".into());
        }
        let version = |key: &str| self.rows.get(key).map_or(0, |r| r.1);
        let failed: Vec<String> =
            transaction.conditions.iter().filter(|c| version(&c.key) != c.version.0).map(|c| c.key.clone()).collect();
        if !failed.is_empty() {
            return StoreResponse::Conflict(failed);
        }
        self.revision += 1;
        for change in transaction.changes {
            match change {
                Change::Put { key, value, lease } => {
                    self.log.push((self.revision, key.clone(), Some(value.clone())));
                    self.rows.insert(key, (value, self.revision, lease.map(|l| l.0)));
                }
                Change::Delete { key } => {
                    self.rows.remove(&key);
                    self.log.push((self.revision, key, None));
                }
            }
        }
        StoreResponse::Committed(Revision(self.revision))
    }

    pub fn run(&mut self, now: u64, call: StoreRequest) -> StoreResponse {
        self.expire(now);
        *self.requests.entry(now / 1000).or_default() += 1;
        let changes = if let StoreRequest::Transaction(transaction) = &call { transaction.changes.len() } else { 0 };
        if let Some((requests, writes)) = &mut self.buckets {
            if !requests.take(now, 1.0) || !writes.take(now, changes as f64) {
                self.limited += 1;
                return StoreResponse::Unavailable;
            }
        }
        match call {
            StoreRequest::Get { key } => match self.rows.get(&key) {
                Some((value, version, _)) => {
                    StoreResponse::Found(Item { key, value: value.clone(), version: Revision(*version) })
                }
                None => StoreResponse::Missing(Revision(self.revision)),
            },
            StoreRequest::List { prefix, after } => {
                let page = self.page.max(50);
                let from = std::ops::Bound::Excluded(after.unwrap_or_default());
                let rows = self.rows.range((from, std::ops::Bound::Unbounded)).filter(|(k, _)| k.starts_with(&prefix));
                let items: Vec<Item> = rows
                    .take(page + 1)
                    .map(|(k, r)| Item { key: k.clone(), value: r.0.clone(), version: Revision(r.1) })
                    .collect();
                let more = items.len() > page;
                StoreResponse::Page(Page {
                    items: items.into_iter().take(page).collect(),
                    truncated: more,
                    revision: Revision(self.revision),
                })
            }
            StoreRequest::Transaction(transaction) => {
                *self.writes.entry(now / 1000).or_default() += transaction.changes.len();
                self.transaction(transaction)
            }
            StoreRequest::GrantLease { ttl_ms } => {
                self.last_lease += 1;
                self.leases.insert(self.last_lease, (ttl_ms, now + ttl_ms));
                StoreResponse::LeaseGranted(LeaseId(self.last_lease))
            }
            StoreRequest::RenewLease { lease } => match self.leases.get_mut(&lease.0) {
                Some(entry) => {
                    entry.1 = now + entry.0;
                    StoreResponse::LeaseRenewed
                }
                None => StoreResponse::LeaseGone,
            },
            StoreRequest::Watch { after, .. } => {
                let from = self.log.partition_point(|e| e.0 <= after.0);
                if self.log.len() - from > MOST_CHANGES {
                    return StoreResponse::TooOld;
                }
                let events = self.log[from..].iter().map(|(at, key, value)| match value {
                    Some(value) => WatchEvent::Put { key: key.clone(), value: value.clone(), version: Revision(*at) },
                    None => WatchEvent::Delete { key: key.clone(), version: Revision(*at) },
                });
                StoreResponse::WatchEvents(WatchEvents { events: events.collect(), revision: Revision(self.revision) })
            }
        }
    }
}
