//! The state cache: a controller's in-memory replica of all durable records.
//!
//! It is updated by the initial load of all records, by the watch, by the
//! controller's own committed transactions and by single reads. Versions decide which
//! update is newer, so updates may arrive in any order. The cache sends nothing:
//! [`StateCache::apply`] returns what changed, and the core acts on it.

mod archived_jobs;
mod job;
mod slice;
mod versioned;

pub use job::{Job, JobChange};
pub use slice::Slice;
pub use versioned::Versioned;

use super::names::NameInterner;
use super::records;
use super::records::{
    ArchivedJob, FeatureLevelRecord, FleetRecord, JobOutcome, JobRecord, LeaseHolderRecord, NodeRecord, QuotaRecord,
    RecordError, RecordKey, SliceRecord,
};
use crate::protocol::cloud::Catalog;
use crate::units::{JobId, NodeName, Revision, ShardId};
use archived_jobs::ArchivedJobs;
use foldhash::fast::FixedState;
use indexmap::IndexMap;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// What an update changed in the cache.
#[derive(Debug, PartialEq)]
pub enum CacheChange {
    /// The update was not newer than the cached record, or could not be parsed.
    Nothing,
    /// The leader.
    Leader,
    /// The owner of a shard.
    Owner(ShardId),
    /// A controller's record: whether it holds a lease, or its feature level.
    Node(NodeName),
    /// The controllers that renew a shard's worker leases for its owner.
    LeaseProxy(ShardId),
    /// A job's record.
    Job(JobId, JobChange),
    /// A job's record was deleted, because the job was archived.
    JobRemoved(JobId),
    /// The record of a job's slice.
    Slice(JobId, usize),
    /// The fleet record.
    Fleet,
    /// The catalog, the feature level or a quota.
    Other,
}

/// A key's value as of revision `at`; none if the key is absent.
struct Update {
    value: Option<Value>,
    at: Revision,
}

impl Update {
    /// Parses the value; none if the key is absent.
    fn parse<T: DeserializeOwned>(self) -> Result<Option<T>, RecordError> {
        Ok(self.value.map(serde_json::from_value).transpose()?)
    }
}

/// The replica of all records below [`records::ROOT`].
#[derive(Debug, Default)]
pub struct StateCache {
    /// The cache holds all changes up to this revision.
    pub revision: Revision,
    /// Controllers by name; those that hold a lease have a record.
    pub nodes: BTreeMap<NodeName, Versioned<NodeRecord>>,
    /// Owners by shard.
    pub owners: BTreeMap<ShardId, Versioned<LeaseHolderRecord>>,
    /// The leader.
    pub leader: Versioned<LeaseHolderRecord>,
    /// Machine types that may be rented.
    pub catalog: Versioned<Catalog>,
    /// The fleet record, which the leader writes.
    pub fleet: Versioned<FleetRecord>,
    /// The enabled feature level.
    pub level: Versioned<FeatureLevelRecord>,
    /// Quotas by shard.
    pub quotas: BTreeMap<ShardId, Versioned<QuotaRecord>>,
    /// Controllers that renew a shard's worker leases for its owner.
    pub lease_proxies: BTreeMap<(ShardId, NodeName), Versioned<NodeRecord>>,
    /// All jobs with a record, in no particular order.
    pub jobs: IndexMap<JobId, Job, FixedState>,
    /// Jobs that may run, or that have slice records that are yet to be deleted.
    pub active: BTreeSet<JobId>,
    archived: ArchivedJobs,
    /// Interned classes, teams and images of jobs.
    pub names: NameInterner,
    /// Slice records that arrived before the record of their job.
    slices_without_job: BTreeMap<(JobId, usize), Versioned<SliceRecord>>,
}

impl StateCache {
    /// Applies the value of a key, or its absence, as of revision `at`. Logs a value
    /// that cannot be parsed and ignores it.
    pub fn apply(&mut self, key: &str, value: Option<Value>, at: Revision) -> CacheChange {
        let Some(record) = RecordKey::parse(key) else { return CacheChange::Nothing };
        self.apply_update(record, Update { value, at }).unwrap_or_else(|error| {
            tracing::error!(key, %error, "failed to parse a stored record");
            CacheChange::Nothing
        })
    }

    fn apply_update(&mut self, record: RecordKey, update: Update) -> Result<CacheChange, RecordError> {
        let at = update.at;
        let (is_new, change) = match record {
            RecordKey::Leader => (self.leader.apply_if_newer(at, update.parse()?), CacheChange::Leader),
            RecordKey::Catalog => (self.catalog.apply_if_newer(at, update.parse()?), CacheChange::Other),
            RecordKey::Fleet => (self.fleet.apply_if_newer(at, update.parse()?), CacheChange::Fleet),
            RecordKey::FeatureLevel => (self.level.apply_if_newer(at, update.parse()?), CacheChange::Other),
            RecordKey::Node(node) => {
                let record = update.parse()?;
                (self.nodes.entry(node.clone()).or_default().apply_if_newer(at, record), CacheChange::Node(node))
            }
            RecordKey::Owner(shard) => {
                let record = update.parse()?;
                (self.owners.entry(shard).or_default().apply_if_newer(at, record), CacheChange::Owner(shard))
            }
            RecordKey::LeaseProxy(shard, node) => {
                let record = update.parse()?;
                let proxy = self.lease_proxies.entry((shard, node)).or_default();
                (proxy.apply_if_newer(at, record), CacheChange::LeaseProxy(shard))
            }
            RecordKey::Quota(shard) => {
                let record = update.parse()?;
                (self.quotas.entry(shard).or_default().apply_if_newer(at, record), CacheChange::Other)
            }
            RecordKey::Job(job) => return self.apply_job(job, update),
            RecordKey::Slice(job, index) => return self.apply_slice(job, index, update),
        };
        Ok(if is_new { change } else { CacheChange::Nothing })
    }

    fn apply_job(&mut self, job: JobId, update: Update) -> Result<CacheChange, RecordError> {
        let at = update.at;
        Ok(match update.parse()? {
            Some(record) => match self.apply_job_record(&job, record, at) {
                Some(change) => CacheChange::Job(job, change),
                None => CacheChange::Nothing,
            },
            None if self.remove_job(&job, at) => CacheChange::JobRemoved(job),
            None => CacheChange::Nothing,
        })
    }

    fn apply_slice(&mut self, job: JobId, index: usize, update: Update) -> Result<CacheChange, RecordError> {
        let at = update.at;
        let cached_job = self.jobs.get_mut(&job).filter(|cached_job| index < cached_job.slices().len());
        // The watch also returns this node's own changes; they need not be parsed again.
        if cached_job.as_ref().is_some_and(|cached_job| at <= cached_job.slices()[index].durable().known_at) {
            return Ok(CacheChange::Nothing);
        }
        let record = update.parse()?;
        let is_new = match cached_job {
            Some(cached_job) => {
                cached_job.change_slice(index, |slice| slice.apply_if_newer(at, record)).unwrap_or(false)
            }
            None => self.slices_without_job.entry((job.clone(), index)).or_default().apply_if_newer(at, record),
        };
        self.update_active(&job);
        Ok(if is_new { CacheChange::Slice(job, index) } else { CacheChange::Nothing })
    }

    /// Applies a job's record; none if the cached record is as new.
    fn apply_job_record(&mut self, id: &JobId, record: JobRecord, at: Revision) -> Option<JobChange> {
        let names = &mut self.names;
        let early_slices = &mut self.slices_without_job;
        let job = self.jobs.entry(id.clone()).or_insert_with(|| Job::unread(&record, names));
        let change = job.apply_if_newer(record, at, |index| early_slices.remove(&(id.clone(), index)))?;
        self.update_active(id);
        Some(change)
    }

    /// Removes a job whose record was deleted because it was archived. Returns false if
    /// the job is not cached, or its record is as new as revision `at`.
    fn remove_job(&mut self, id: &JobId, at: Revision) -> bool {
        if self.jobs.get(id).is_none_or(|job| at <= job.version) {
            return false;
        }
        if let Some(job) = self.jobs.swap_remove(id) {
            self.active.remove(id);
            if let Some(outcome) = job.record.outcome {
                self.cache_archived(id, ArchivedJob { outcome, tasks: job.record.spec.task_count });
            }
        }
        true
    }

    /// Updates the set of active jobs. A job enters it when it may start, and leaves it
    /// when none of its tasks can be on a machine any more.
    fn update_active(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.is_active() {
            self.active.insert(id.clone());
        } else {
            self.active.remove(id);
        }
    }

    /// Removes records that a load of all records as of revision `at` did not find;
    /// `seen` are the keys that it found. Never removes the catalog, the fleet record or
    /// the feature level.
    pub fn remove_missing(&mut self, seen: &BTreeSet<String>, at: Revision) {
        let mut cached_keys: Vec<String> = vec![];
        cached_keys.extend(self.nodes.keys().map(records::node_key));
        cached_keys.extend(self.owners.keys().map(|&shard| records::owner_key(shard)));
        cached_keys.extend(self.quotas.keys().map(|&shard| records::quota_key(shard)));
        cached_keys.extend(self.lease_proxies.keys().map(|(shard, node)| records::lease_proxy_key(*shard, node)));
        cached_keys.push(records::LEADER_KEY.into());
        for (id, job) in &self.jobs {
            cached_keys.push(records::job_key(id));
            let stored = job.slices().iter().enumerate().filter(|(_, slice)| slice.record().is_some());
            cached_keys.extend(stored.map(|(index, _)| records::slice_key(id, index)));
        }
        for key in cached_keys.iter().filter(|key| !seen.contains(*key)) {
            self.apply(key, None, at);
        }
    }

    /// Caches an archived job. The cache is bounded and drops the oldest entries.
    pub fn cache_archived(&mut self, id: &JobId, record: ArchivedJob) {
        self.archived.insert(id, record);
    }

    /// Returns an archived job; none if it is not cached, in which case the store may
    /// still have it.
    pub fn archived(&self, job: &JobId) -> Option<ArchivedJob> {
        self.archived.get(job)
    }

    /// Returns how a job ended; none if it has not ended or is not cached.
    pub fn final_state(&self, job: &JobId) -> Option<JobOutcome> {
        self.jobs.get(job).map_or_else(|| self.archived(job).map(|archived| archived.outcome), |job| job.record.outcome)
    }

    /// Returns the controllers that hold a lease, according to the cache.
    pub fn live_nodes(&self) -> impl Iterator<Item = (&NodeName, &NodeRecord)> {
        self.nodes.iter().filter_map(|(name, cached)| Some((name, cached.record.as_ref()?)))
    }

    /// Returns the controller that owns a shard, according to the cache.
    pub fn owner(&self, shard: ShardId) -> Option<&NodeName> {
        self.owners.get(&shard)?.record.as_ref().map(|holder| &holder.node)
    }
}
