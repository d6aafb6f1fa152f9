//! The state cache: a node's replica of all durable records.
//!
//! It is fed by the first read of all records, by the watch, by the node's own
//! committed transactions and by single reads; versions decide what is newer, so
//! that the order in which these arrive does not matter. It never sends
//! anything: [`StateCache::apply`] says what changed, and the core acts on it.

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

/// What changed, for whoever has to act on it.
#[derive(Debug, PartialEq)]
pub enum CacheChange {
    /// What came was known already, or could not be read.
    Nothing,
    /// Who leads.
    Leader,
    /// Who owns a shard.
    Owner(ShardId),
    /// Whether a controller holds a lease, or what it supports.
    Node(NodeName),
    /// Who renews worker leases of a shard for its owner.
    LeaseProxy(ShardId),
    /// A job's record.
    Job(JobId, JobChange),
    /// The job's record is gone: it was archived.
    JobRemoved(JobId),
    /// The record of a job's slice.
    Slice(JobId, usize),
    /// What the leader has begun with machines.
    Fleet,
    /// A record that is read where it is needed: catalog, feature level, quotas.
    Other,
}

/// What is known of a key as of a revision: its value, or that it has none.
struct Update {
    value: Option<Value>,
    at: Revision,
}

impl Update {
    /// The record that the value holds, or none for an absent one.
    fn parse<T: DeserializeOwned>(self) -> Result<Option<T>, RecordError> {
        Ok(self.value.map(serde_json::from_value).transpose()?)
    }
}

/// The replica of all records below [`records::ROOT`].
#[derive(Debug, Default)]
pub struct StateCache {
    /// The revision that the records are complete up to.
    pub revision: Revision,
    /// Controllers, by name.
    pub nodes: BTreeMap<NodeName, Versioned<NodeRecord>>,
    /// Owners of shards.
    pub owners: BTreeMap<ShardId, Versioned<LeaseHolderRecord>>,
    /// Who leads.
    pub leader: Versioned<LeaseHolderRecord>,
    /// Machine types that may be rented.
    pub catalog: Versioned<Catalog>,
    /// What the leader has begun with machines.
    pub fleet: Versioned<FleetRecord>,
    /// The feature level that is turned on.
    pub level: Versioned<FeatureLevelRecord>,
    /// Quotas of shards.
    pub quotas: BTreeMap<ShardId, Versioned<QuotaRecord>>,
    /// Controllers that renew worker leases of a shard for its owner.
    pub lease_proxies: BTreeMap<(ShardId, NodeName), Versioned<NodeRecord>>,
    /// All jobs with a record; the order means nothing.
    pub jobs: IndexMap<JobId, Job, FixedState>,
    /// Jobs that may run, or that have slices whose records are to be deleted.
    pub active: BTreeSet<JobId>,
    archived: ArchivedJobs,
    /// Names that records repeat.
    pub names: NameInterner,
    /// Slices that came before their job did.
    slices_without_job: BTreeMap<(JobId, usize), Versioned<SliceRecord>>,
}

impl StateCache {
    /// Takes the value of a key as of revision `at`, or its absence. A value
    /// that cannot be read is logged and changes nothing.
    pub fn apply(&mut self, key: &str, value: Option<Value>, at: Revision) -> CacheChange {
        let Some(record) = RecordKey::parse(key) else { return CacheChange::Nothing };
        self.apply_update(record, Update { value, at }).unwrap_or_else(|error| {
            tracing::error!(key, %error, "could not read record");
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
        let known = self.jobs.get_mut(&job).filter(|known| index < known.slices().len());
        // A node's own changes come back by the watch: they need not be parsed again.
        if known.as_ref().is_some_and(|known| at <= known.slices()[index].durable().known_at) {
            return Ok(CacheChange::Nothing);
        }
        let record = update.parse()?;
        let is_new = match known {
            Some(known) => known.change_slice(index, |slice| slice.apply_if_newer(at, record)).unwrap_or(false),
            None => self.slices_without_job.entry((job.clone(), index)).or_default().apply_if_newer(at, record),
        };
        self.update_active(&job);
        Ok(if is_new { CacheChange::Slice(job, index) } else { CacheChange::Nothing })
    }

    /// What is new in a job's record; none if what is known is as new.
    fn apply_job_record(&mut self, id: &JobId, record: JobRecord, at: Revision) -> Option<JobChange> {
        let names = &mut self.names;
        let early_slices = &mut self.slices_without_job;
        let job = self.jobs.entry(id.clone()).or_insert_with(|| Job::unread(&record, names));
        let change = job.apply_if_newer(record, at, |index| early_slices.remove(&(id.clone(), index)))?;
        self.update_active(id);
        Some(change)
    }

    /// A job's record is gone: it was archived. False if the record is newer.
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

    /// Keeps the list of active jobs: a job leaves it when nothing of it can
    /// still be on a machine, and enters it when it may start.
    fn update_active(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.is_active() {
            self.active.insert(id.clone());
        } else {
            self.active.remove(id);
        }
    }

    /// After a read of all records as of `at` that found the keys `seen`: takes
    /// every other record that is known to be absent.
    pub fn remove_missing(&mut self, seen: &BTreeSet<String>, at: Revision) {
        let mut known: Vec<String> = vec![];
        known.extend(self.nodes.keys().map(records::node_key));
        known.extend(self.owners.keys().map(|&shard| records::owner_key(shard)));
        known.extend(self.quotas.keys().map(|&shard| records::quota_key(shard)));
        known.extend(self.lease_proxies.keys().map(|(shard, node)| records::lease_proxy_key(*shard, node)));
        known.push(records::LEADER_KEY.into());
        for (id, job) in &self.jobs {
            known.push(records::job_key(id));
            let stored = job.slices().iter().enumerate().filter(|(_, slice)| slice.record().is_some());
            known.extend(stored.map(|(index, _)| records::slice_key(id, index)));
        }
        for key in known.iter().filter(|key| !seen.contains(*key)) {
            self.apply(key, None, at);
        }
    }

    /// Remembers a job that was archived, until too many others were.
    pub fn cache_archived(&mut self, id: &JobId, record: ArchivedJob) {
        self.archived.insert(id, record);
    }

    /// An archived job, if it is remembered; the store may know more.
    pub fn archived(&self, job: &JobId) -> Option<ArchivedJob> {
        self.archived.get(job)
    }

    /// How a job ended, if it is known to have.
    pub fn final_state(&self, job: &JobId) -> Option<JobOutcome> {
        self.jobs.get(job).map_or_else(|| self.archived(job).map(|archived| archived.outcome), |job| job.record.outcome)
    }

    /// Nodes that hold a lease as far as is known.
    pub fn live_nodes(&self) -> impl Iterator<Item = (&NodeName, &NodeRecord)> {
        self.nodes.iter().filter_map(|(name, held)| Some((name, held.record.as_ref()?)))
    }

    /// The node that owns a shard as far as is known.
    pub fn owner(&self, shard: ShardId) -> Option<&NodeName> {
        self.owners.get(&shard)?.record.as_ref().map(|holder| &holder.node)
    }
}
