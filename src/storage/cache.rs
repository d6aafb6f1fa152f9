//! A node's picture of all durable records, kept current by a watch, by its
//! own committed transactions and by reads; versions decide what is newer.

use super::effective_priority::EffectivePriority;
use super::names::{InternedName, NameInterner};
use super::records::{
    ArchivedJob, FeatureLevelRecord, FleetRecord, JobOutcome, JobRecord, LeaseHolderRecord, NodeRecord, QuotaRecord,
    RecordKey, SliceRecord, TaskRecord,
};
use crate::protocol::cloud::Catalog;
use crate::protocol::users::Priority;
use crate::units::{Attempt, JobId, NodeName, Revision, ShardId};
use foldhash::fast::FixedState;
use indexmap::IndexMap;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Ended jobs remembered beyond those with a record under the root.
const MAX_ARCHIVED: usize = 2000;

/// A record with the version it was read at; absent records remember the
/// revision at which they were seen to be absent.
#[derive(Debug, Clone)]
pub struct Versioned<T> {
    pub version: Revision,
    /// The newest revision this was known at; older news is dropped.
    pub known_at: Revision,
    pub record: Option<T>,
}

impl<T> Default for Versioned<T> {
    fn default() -> Self {
        Versioned { version: Revision(0), known_at: Revision(0), record: None }
    }
}

impl<T> Versioned<T> {
    /// Takes newer news; false if it is old.
    fn take(&mut self, at: Revision, record: Option<T>) -> bool {
        if at <= self.known_at {
            return false;
        }
        self.known_at = at;
        self.version = if record.is_some() { at } else { Revision(0) };
        self.record = record;
        true
    }
}

/// A slice of a job. What rounds ask of every slice is counted when it changes.
#[derive(Debug, Clone, Default)]
pub struct Slice {
    held: Versioned<SliceRecord>,
    /// What the shard's owner wants to be durable; none: untouched.
    desired: Option<SliceRecord>,
    counts: TaskCounts,
}

/// What rounds and answers ask of slices, counted.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct TaskCounts {
    /// Tasks done and on machines, of the durable record.
    done: u32,
    on: u32,
    /// Tasks that are wanted to run and are on no machine, and those wanted on one.
    idle: u32,
    wanted_on: u32,
    /// Of the latter, those whose record does not say so yet.
    unwritten: u32,
}

impl TaskCounts {
    /// With one slice's part of them replaced.
    fn replaced(self, old: TaskCounts, new: TaskCounts) -> TaskCounts {
        TaskCounts {
            done: self.done - old.done + new.done,
            on: self.on - old.on + new.on,
            idle: self.idle - old.idle + new.idle,
            wanted_on: self.wanted_on - old.wanted_on + new.wanted_on,
            unwritten: self.unwritten - old.unwritten + new.unwritten,
        }
    }
}

impl Slice {
    /// A slice whose durable record is known as of a revision.
    pub fn known(at: Revision, record: Option<SliceRecord>) -> Slice {
        let mut slice = Slice::default();
        slice.take(at, record);
        slice
    }

    pub fn held(&self) -> &Versioned<SliceRecord> {
        &self.held
    }

    /// What is durable, if anything is.
    pub fn record(&self) -> Option<&SliceRecord> {
        self.held.record.as_ref()
    }

    pub fn desired(&self) -> Option<&SliceRecord> {
        self.desired.as_ref()
    }

    /// What is wanted, or else what is durable.
    pub fn newest(&self) -> Option<&SliceRecord> {
        self.desired().or(self.record())
    }

    /// Tasks that are wanted and wait for a machine.
    pub fn pending_tasks(&self) -> u32 {
        self.counts.idle
    }

    /// Tasks that take room in the record: those wanted on machines, and those
    /// tried before.
    pub fn tried(&self) -> usize {
        let fresh = |task: &&TaskRecord| matches!(task, TaskRecord::Done | TaskRecord::Pending(Attempt(0)));
        self.desired.iter().flat_map(|w| &w.tasks).filter(|task| !fresh(task)).count()
    }

    /// True if any task is on a machine, as is wanted or else as is durable.
    pub fn has_placed_task(&self) -> bool {
        if self.desired.is_some() {
            self.counts.wanted_on > 0
        } else {
            self.counts.on > 0
        }
    }

    /// True if tasks are wanted on machines that the record does not name yet.
    pub fn has_unwritten_starts(&self) -> bool {
        self.counts.unwritten > 0
    }

    /// True if all tasks are wanted to be done.
    pub fn is_desired_done(&self) -> bool {
        self.desired.is_some() && self.counts.idle == 0 && self.counts.wanted_on == 0
    }

    fn unwritten_at(&self, at: usize) -> bool {
        let desired = self.desired.as_ref().and_then(|r| r.tasks.get(at));
        let held = self.held.record.as_ref().and_then(|r| r.tasks.get(at));
        matches!(desired, Some(TaskRecord::Placed(..))) && desired != held
    }

    fn count_unwritten(&mut self) {
        let tasks = self.desired.as_ref().map_or(0, |w| w.tasks.len());
        self.counts.unwritten = (0..tasks).filter(|at| self.unwritten_at(*at)).count() as u32;
    }

    /// Takes newer news of the durable record; false if it is old.
    fn take(&mut self, at: Revision, record: Option<SliceRecord>) -> bool {
        let new = self.held.take(at, record);
        if new {
            self.count_durable();
        }
        new
    }

    fn count_durable(&mut self) {
        (self.counts.done, self.counts.on) = (0, 0);
        for task in self.held.record.iter().flat_map(|r| &r.tasks) {
            match task {
                TaskRecord::Done => self.counts.done += 1,
                TaskRecord::Placed(..) => self.counts.on += 1,
                TaskRecord::Pending(_) => {}
            }
        }
        self.count_unwritten();
    }

    pub fn set_desired(&mut self, desired: Option<SliceRecord>) {
        (self.counts.idle, self.counts.wanted_on) = (0, 0);
        for task in desired.iter().flat_map(|r| &r.tasks) {
            match task {
                TaskRecord::Pending(_) => self.counts.idle += 1,
                TaskRecord::Placed(..) => self.counts.wanted_on += 1,
                TaskRecord::Done => {}
            }
        }
        self.desired = desired;
        self.count_unwritten();
    }

    /// Changes what is wanted of one task; what was wanted before, if the
    /// slice is wanted at all and has such a task.
    pub fn set_task(&mut self, at: usize, to: TaskRecord) -> Option<TaskRecord> {
        self.counts.unwritten -= u32::from(self.unwritten_at(at));
        let slot = self.desired.as_mut()?.tasks.get_mut(at)?;
        self.counts.idle += u32::from(matches!(to, TaskRecord::Pending(_)));
        self.counts.wanted_on += u32::from(matches!(to, TaskRecord::Placed(..)));
        let from = std::mem::replace(slot, to);
        self.counts.idle -= u32::from(matches!(from, TaskRecord::Pending(_)));
        self.counts.wanted_on -= u32::from(matches!(from, TaskRecord::Placed(..)));
        self.counts.unwritten += u32::from(self.unwritten_at(at));
        Some(from)
    }

    /// True if all tasks are durably done.
    pub fn is_done(&self) -> bool {
        self.record().is_some_and(|r| r.tasks.len() == self.counts.done as usize)
    }

    /// True if the owner has changes that are not durable yet.
    pub fn dirty(&self) -> bool {
        match (&self.desired, &self.held.record) {
            (None, _) => false,
            // An untouched slice needs no record: it may still be dealt elsewhere.
            (Some(desired), None) => desired.tasks.iter().any(|t| *t != TaskRecord::Pending(Attempt(0))),
            (Some(desired), Some(held)) => desired != held,
        }
    }
    /// True if no task of the slice can be on a machine: it may be dealt anew.
    pub fn is_reassignable(&self) -> bool {
        self.counts.on == 0 && !self.is_done()
    }
}

#[derive(Debug, Clone)]
pub struct Job {
    pub version: Revision,
    pub record: JobRecord,
    slices: Vec<Slice>,
    counts: TaskCounts,
    /// The names of the specification, as the core compares them.
    pub class: InternedName,
    pub team: InternedName,
    pub image: InternedName,
    /// What those that need the job make of its urgency.
    pub effective_priority: Option<EffectivePriority>,
}

impl Job {
    pub fn slices(&self) -> &[Slice] {
        &self.slices
    }

    /// Tasks done and on machines, of the durable records.
    pub fn counts(&self) -> (u32, u32) {
        (self.counts.done, self.counts.on)
    }

    /// Tasks of ours that wait for a machine.
    pub fn pending_tasks(&self) -> u32 {
        self.counts.idle
    }

    /// Changes what is wanted of a slice.
    pub fn set_desired(&mut self, index: usize, desired: Option<SliceRecord>) {
        self.change(index, |slice| slice.set_desired(desired));
    }

    /// Changes what is wanted of one task of a slice; what was wanted before,
    /// if the slice is wanted at all and has such a task.
    pub fn set_task(&mut self, index: usize, at: usize, to: TaskRecord) -> Option<TaskRecord> {
        self.change(index, |slice| slice.set_task(at, to))?
    }

    /// All changes of slices go through here: the sums follow.
    fn change<R>(&mut self, index: usize, change: impl FnOnce(&mut Slice) -> R) -> Option<R> {
        let slice = self.slices.get_mut(index)?;
        let before = slice.counts;
        let result = change(slice);
        self.counts = self.counts.replaced(before, slice.counts);
        Some(result)
    }

    /// True if any task is, or is wanted, on a machine.
    pub fn has_placed_tasks(&self) -> bool {
        self.slices.iter().any(|s| s.newest().is_some_and(|r| r.has_placed_task()))
    }

    /// False once all tasks are known to have completed, whatever slices that
    /// are not cleared away yet say.
    pub fn holds_machines(&self) -> bool {
        self.record.end != Some(JobOutcome::Done)
    }

    /// The job's priority, or that of any that needs it.
    pub fn priority(&self) -> Priority {
        let own = self.record.spec.priority;
        self.effective_priority.map_or(own, |effective_priority| effective_priority.priority.max(own))
    }

    pub fn shard_of(&self, slice: usize) -> Option<ShardId> {
        self.record.plan.as_ref()?.shards.get(slice).copied()
    }
}

/// What a job's newer record says that was not known before. What a node reads
/// when it starts is no news: the job ended whenever it did, not now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobChange {
    /// The job was not known.
    First,
    /// It has ended since its record was last seen.
    Ended,
    Other,
}

/// What changed, for whoever has to act on it.
#[derive(Debug, PartialEq)]
pub enum CacheChange {
    Nothing,
    Leader,
    Owner(ShardId),
    Node(NodeName),
    LeaseProxy(ShardId),
    Job(JobId, JobChange),
    /// The job's record is gone: it was put away.
    JobGone(JobId),
    Slice(JobId, usize),
    Fleet,
    Other,
}

#[derive(Debug, Default)]
pub struct StateCache {
    pub revision: Revision,
    pub nodes: BTreeMap<NodeName, Versioned<NodeRecord>>,
    pub owners: BTreeMap<ShardId, Versioned<LeaseHolderRecord>>,
    pub leader: Versioned<LeaseHolderRecord>,
    pub catalog: Versioned<Catalog>,
    pub fleet: Versioned<FleetRecord>,
    pub level: Versioned<FeatureLevelRecord>,
    pub quotas: BTreeMap<ShardId, Versioned<QuotaRecord>>,
    /// Who answers workers of a shard in its owner's name.
    pub lease_proxies: BTreeMap<(ShardId, NodeName), Versioned<NodeRecord>>,
    /// In no order that means anything.
    pub jobs: IndexMap<JobId, Job, FixedState>,
    /// Jobs with anything left to do or to clear away.
    pub active: BTreeSet<JobId>,
    /// Jobs that ended long ago, as far as they were asked for lately.
    archived: BTreeMap<JobId, ArchivedJob>,
    archived_order: VecDeque<JobId>,
    pub names: NameInterner,
    /// Slices that came before their job did.
    slices_without_job: BTreeMap<(JobId, usize), Versioned<SliceRecord>>,
}

fn read<T: DeserializeOwned>(key: &str, value: Option<Value>) -> Result<Option<T>, ()> {
    match value.map(serde_json::from_value) {
        None => Ok(None),
        Some(Ok(record)) => Ok(Some(record)),
        Some(Err(error)) => {
            tracing::error!("record {key} makes no sense: {error}");
            Err(())
        }
    }
}

impl StateCache {
    /// Takes news of a key: its value as of revision `at`, or its absence.
    pub fn apply(&mut self, key: &str, value: Option<Value>, at: Revision) -> CacheChange {
        self.apply_read(key, value, at).unwrap_or(CacheChange::Nothing)
    }

    fn apply_read(&mut self, key: &str, value: Option<Value>, at: Revision) -> Result<CacheChange, ()> {
        let changed = |new: bool, what: CacheChange| if new { what } else { CacheChange::Nothing };
        let Some(name) = RecordKey::read(key) else { return Ok(CacheChange::Nothing) };
        Ok(match name {
            RecordKey::Leader => changed(self.leader.take(at, read(key, value)?), CacheChange::Leader),
            RecordKey::Catalog => changed(self.catalog.take(at, read(key, value)?), CacheChange::Other),
            RecordKey::Fleet => changed(self.fleet.take(at, read(key, value)?), CacheChange::Fleet),
            RecordKey::FeatureLevel => changed(self.level.take(at, read(key, value)?), CacheChange::Other),
            RecordKey::Node(node) => {
                let record = read(key, value)?;
                changed(self.nodes.entry(node.clone()).or_default().take(at, record), CacheChange::Node(node))
            }
            RecordKey::Owner(shard) => {
                let record = read(key, value)?;
                changed(self.owners.entry(shard).or_default().take(at, record), CacheChange::Owner(shard))
            }
            RecordKey::LeaseProxy(shard, node) => {
                let record = read(key, value)?;
                changed(
                    self.lease_proxies.entry((shard, node)).or_default().take(at, record),
                    CacheChange::LeaseProxy(shard),
                )
            }
            RecordKey::Quota(shard) => {
                let record = read(key, value)?;
                changed(self.quotas.entry(shard).or_default().take(at, record), CacheChange::Other)
            }
            RecordKey::Job(job) => match read(key, value)? {
                Some(record) => {
                    self.take_job(&job, record, at).map_or(CacheChange::Nothing, |news| CacheChange::Job(job, news))
                }
                None => {
                    let gone = self.drop_job(&job, at);
                    changed(gone, CacheChange::JobGone(job))
                }
            },
            RecordKey::Slice(job, index) => {
                let known = self.jobs.get_mut(&job).filter(|known| index < known.slices.len());
                // Our own changes come back by the watch: they need no second reading.
                if known.as_ref().is_some_and(|known| at <= known.slices[index].held.known_at) {
                    return Ok(CacheChange::Nothing);
                }
                let record = read(key, value)?;
                let new = match known {
                    Some(known) => known.change(index, |slice| slice.take(at, record)).unwrap_or(false),
                    None => self.slices_without_job.entry((job.clone(), index)).or_default().take(at, record),
                };
                self.settle(&job);
                changed(new, CacheChange::Slice(job, index))
            }
        })
    }

    /// What is new in a job's record; none if it is old.
    fn take_job(&mut self, id: &JobId, record: JobRecord, at: Revision) -> Option<JobChange> {
        let names = &mut self.names;
        let job = self.jobs.entry(id.clone()).or_insert_with(|| Job {
            version: Revision(0),
            slices: vec![],
            counts: TaskCounts::default(),
            class: names.intern(&record.spec.class),
            team: names.intern(&record.spec.team),
            image: names.intern(&record.spec.image),
            record: record.clone(),
            effective_priority: None,
        });
        if at <= job.version {
            return None;
        }
        let news = match (job.version, job.record.end, record.end) {
            (Revision(0), ..) => JobChange::First,
            (_, None, Some(_)) => JobChange::Ended,
            _ => JobChange::Other,
        };
        job.version = at;
        let count = record.plan.as_ref().map_or(0, |p| p.shards.len());
        job.record = record;
        if job.slices.len() != count {
            job.slices.resize_with(count, Slice::default);
        }
        for (index, slice) in job.slices.iter_mut().enumerate() {
            if let Some(held) = self.slices_without_job.remove(&(id.clone(), index)) {
                slice.held = held;
                slice.count_durable();
            }
        }
        job.counts =
            job.slices.iter().fold(TaskCounts::default(), |all, s| all.replaced(TaskCounts::default(), s.counts));
        self.settle(id);
        Some(news)
    }

    /// A job's record is gone: it was put away with those that ended long ago.
    fn drop_job(&mut self, id: &JobId, at: Revision) -> bool {
        if self.jobs.get(id).is_none_or(|j| at <= j.version) {
            return false;
        }
        if let Some(job) = self.jobs.swap_remove(id) {
            self.active.remove(id);
            if let Some(end) = job.record.end {
                self.remember_archived(id, ArchivedJob { end, tasks: job.record.spec.task_count });
            }
        }
        true
    }

    pub fn remember_archived(&mut self, id: &JobId, record: ArchivedJob) {
        if self.archived.insert(id.clone(), record).is_none() {
            self.archived_order.push_back(id.clone());
        }
        while self.archived_order.len() > MAX_ARCHIVED {
            if let Some(oldest) = self.archived_order.pop_front() {
                self.archived.remove(&oldest);
            }
        }
    }

    /// Keeps the list of active jobs: a job leaves it when nothing of it can
    /// still be on a machine, and comes to it when it may start.
    fn settle(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        let left = job.slices.iter().any(|s| s.record().is_some());
        if (job.record.end.is_none() && !job.record.waits()) || left {
            self.active.insert(id.clone());
        } else {
            self.active.remove(id);
        }
    }

    /// Replaces what a full read from `first` to `revision` did not find.
    pub fn forget_missing(&mut self, seen: &BTreeSet<String>, at: Revision) {
        use super::records as r;
        let mut absent: Vec<String> = vec![];
        absent.extend(self.nodes.keys().map(r::node_key));
        absent.extend(self.owners.keys().map(|&p| r::owner_key(p)));
        absent.extend(self.quotas.keys().map(|&p| r::quota_key(p)));
        absent.extend(self.lease_proxies.keys().map(|(shard, node)| r::lease_proxy_key(*shard, node)));
        absent.push(r::LEADER_KEY.into());
        for (id, job) in &self.jobs {
            absent.push(r::job_key(id));
            for (index, slice) in job.slices.iter().enumerate() {
                if slice.record().is_some() {
                    absent.push(r::slice_key(id, index));
                }
            }
        }
        for key in absent {
            if !seen.contains(&key) {
                self.apply(&key, None, at);
            }
        }
    }

    /// Nodes that hold a lease as far as is known.
    pub fn live(&self) -> impl Iterator<Item = (&NodeName, &NodeRecord)> {
        self.nodes.iter().filter_map(|(name, held)| Some((name, held.record.as_ref()?)))
    }

    pub fn owner(&self, shard: ShardId) -> Option<&NodeName> {
        self.owners.get(&shard)?.record.as_ref().map(|r| &r.node)
    }

    pub fn final_state(&self, job: &JobId) -> Option<JobOutcome> {
        self.jobs.get(job).map_or_else(|| self.archived(job).map(|p| p.end), |j| j.record.end)
    }

    pub fn archived(&self, job: &JobId) -> Option<ArchivedJob> {
        self.archived.get(job).copied()
    }
}

#[cfg(test)]
mod tests;
