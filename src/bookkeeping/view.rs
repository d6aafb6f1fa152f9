//! A node's picture of all durable records, kept current by a watch, by its
//! own committed transactions and by reads; versions decide what is newer.

use super::records::{
    AllowanceRecord, End, FleetRecord, HolderRecord, JobRecord, Key, NodeRecord, PastRecord, SliceRecord, TaskRecord,
};
use crate::protocol::cloud::Catalog;
use crate::units::{Attempt, JobRef, NodeName, PartId, Revision};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Ended jobs remembered beyond those with a record under the root.
const MOST_PAST: usize = 2000;

/// A record with the version it was read at; absent records remember the
/// revision at which they were seen to be absent.
#[derive(Debug, Clone)]
pub struct Held<T> {
    pub version: Revision,
    /// The newest revision this was known at; older news is dropped.
    pub known_at: Revision,
    pub record: Option<T>,
}

impl<T> Default for Held<T> {
    fn default() -> Self {
        Held { version: Revision(0), known_at: Revision(0), record: None }
    }
}

impl<T> Held<T> {
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

#[derive(Debug, Clone, Default)]
pub struct Slice {
    pub held: Held<SliceRecord>,
    /// What the part's owner wants to be durable; none: untouched.
    pub want: Option<SliceRecord>,
}

impl Slice {
    /// True if the owner has changes that are not durable yet.
    pub fn dirty(&self) -> bool {
        match (&self.want, &self.held.record) {
            (None, _) => false,
            // An untouched slice needs no record: it may still be dealt elsewhere.
            (Some(want), None) => want.tasks.iter().any(|t| *t != TaskRecord::Idle(Attempt(0))),
            (Some(want), Some(held)) => want != held,
        }
    }
    /// True if no task of the slice can be on a machine: it may be dealt anew.
    pub fn movable(&self) -> bool {
        self.held.record.as_ref().is_none_or(|r| !r.any_on() && !r.is_done())
    }
}

#[derive(Debug, Clone)]
pub struct Job {
    pub version: Revision,
    pub record: JobRecord,
    pub slices: Vec<Slice>,
}

impl Job {
    /// Done and running tasks, for display.
    pub fn counts(&self) -> (u32, u32) {
        let mut counts = (0, 0);
        for task in self.slices.iter().filter_map(|s| s.held.record.as_ref()).flat_map(|r| &r.tasks) {
            match task {
                TaskRecord::Done => counts.0 += 1,
                TaskRecord::On(..) => counts.1 += 1,
                TaskRecord::Idle(_) => {}
            }
        }
        counts
    }

    /// True if any task is, or is wanted, on a machine.
    pub fn wants_any_on(&self) -> bool {
        self.slices.iter().any(|s| s.want.as_ref().or(s.held.record.as_ref()).is_some_and(|r| r.any_on()))
    }

    /// False once all tasks are known to have completed, whatever slices that
    /// are not cleared away yet say.
    pub fn holds_machines(&self) -> bool {
        self.record.end != Some(End::Done)
    }

    pub fn part_of(&self, slice: usize) -> Option<PartId> {
        self.record.plan.as_ref()?.parts.get(slice).copied()
    }
}

/// What changed, for whoever has to act on it.
#[derive(Debug, PartialEq)]
pub enum Changed {
    Nothing,
    Leader,
    Owner(PartId),
    Node,
    Keep(PartId),
    Job(JobRef),
    Slice(JobRef, usize),
    Fleet,
    Other,
}

#[derive(Debug, Default)]
pub struct View {
    pub revision: Revision,
    pub nodes: BTreeMap<NodeName, Held<NodeRecord>>,
    pub owners: BTreeMap<PartId, Held<HolderRecord>>,
    pub leader: Held<HolderRecord>,
    pub catalog: Held<Catalog>,
    pub fleet: Held<FleetRecord>,
    pub allowances: BTreeMap<PartId, Held<AllowanceRecord>>,
    /// Who answers workers of a part in its owner's name.
    pub keeps: BTreeMap<(PartId, NodeName), Held<NodeRecord>>,
    pub jobs: BTreeMap<JobRef, Job>,
    /// Jobs with anything left to do or to clear away.
    pub active: BTreeSet<JobRef>,
    /// Jobs that ended long ago, as far as they were asked for lately.
    past: BTreeMap<JobRef, PastRecord>,
    past_order: VecDeque<JobRef>,
    /// Slices that came before their job did.
    early: BTreeMap<(JobRef, usize), Held<SliceRecord>>,
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

impl View {
    /// Takes news of a key: its value as of revision `at`, or its absence.
    pub fn apply(&mut self, key: &str, value: Option<Value>, at: Revision) -> Changed {
        self.apply_read(key, value, at).unwrap_or(Changed::Nothing)
    }

    fn apply_read(&mut self, key: &str, value: Option<Value>, at: Revision) -> Result<Changed, ()> {
        let changed = |new: bool, what: Changed| if new { what } else { Changed::Nothing };
        let Some(name) = Key::read(key) else { return Ok(Changed::Nothing) };
        Ok(match name {
            Key::Leader => changed(self.leader.take(at, read(key, value)?), Changed::Leader),
            Key::Catalog => changed(self.catalog.take(at, read(key, value)?), Changed::Other),
            Key::Fleet => changed(self.fleet.take(at, read(key, value)?), Changed::Fleet),
            Key::Node(node) => {
                let record = read(key, value)?;
                changed(self.nodes.entry(node).or_default().take(at, record), Changed::Node)
            }
            Key::Owner(part) => {
                let record = read(key, value)?;
                changed(self.owners.entry(part).or_default().take(at, record), Changed::Owner(part))
            }
            Key::Keep(part, node) => {
                let record = read(key, value)?;
                changed(self.keeps.entry((part, node)).or_default().take(at, record), Changed::Keep(part))
            }
            Key::Allowance(part) => {
                let record = read(key, value)?;
                changed(self.allowances.entry(part).or_default().take(at, record), Changed::Other)
            }
            Key::Job(job) => match read(key, value)? {
                Some(record) => changed(self.take_job(&job, record, at), Changed::Job(job)),
                None => {
                    self.drop_job(&job, at);
                    Changed::Nothing
                }
            },
            Key::Slice(job, index) => {
                let record = read(key, value)?;
                let slice = match self.jobs.get_mut(&job) {
                    Some(known) if index < known.slices.len() => &mut known.slices[index].held,
                    _ => self.early.entry((job.clone(), index)).or_default(),
                };
                let new = slice.take(at, record);
                self.settle(&job);
                changed(new, Changed::Slice(job, index))
            }
        })
    }

    fn take_job(&mut self, id: &JobRef, record: JobRecord, at: Revision) -> bool {
        let job = self.jobs.entry(id.clone()).or_insert_with(|| Job {
            version: Revision(0),
            record: record.clone(),
            slices: vec![],
        });
        if at <= job.version {
            return false;
        }
        job.version = at;
        let count = record.plan.as_ref().map_or(0, |p| p.parts.len());
        job.record = record;
        if job.slices.len() != count {
            job.slices.resize_with(count, Slice::default);
        }
        for (index, slice) in job.slices.iter_mut().enumerate() {
            if let Some(held) = self.early.remove(&(id.clone(), index)) {
                slice.held = held;
            }
        }
        self.settle(id);
        true
    }

    /// A job's record is gone: it was put away with those that ended long ago.
    fn drop_job(&mut self, id: &JobRef, at: Revision) {
        if self.jobs.get(id).is_none_or(|j| at <= j.version) {
            return;
        }
        if let Some(job) = self.jobs.remove(id) {
            self.active.remove(id);
            if let Some(end) = job.record.end {
                self.remember_past(id, PastRecord { end, tasks: job.record.spec.tasks });
            }
        }
    }

    pub fn remember_past(&mut self, id: &JobRef, record: PastRecord) {
        if self.past.insert(id.clone(), record).is_none() {
            self.past_order.push_back(id.clone());
        }
        while self.past_order.len() > MOST_PAST {
            if let Some(oldest) = self.past_order.pop_front() {
                self.past.remove(&oldest);
            }
        }
    }

    /// Keeps the list of active jobs: a job leaves it when nothing of it can
    /// still be on a machine.
    fn settle(&mut self, id: &JobRef) {
        let Some(job) = self.jobs.get(id) else { return };
        let left = job.slices.iter().any(|s| s.held.record.is_some());
        if job.record.end.is_none() || left {
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
        absent.extend(self.allowances.keys().map(|&p| r::allowance_key(p)));
        absent.extend(self.keeps.keys().map(|(part, node)| r::keep_key(*part, node)));
        absent.push(r::LEADER_KEY.into());
        for (id, job) in &self.jobs {
            absent.push(r::job_key(id));
            for (index, slice) in job.slices.iter().enumerate() {
                if slice.held.record.is_some() {
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

    pub fn owner(&self, part: PartId) -> Option<&NodeName> {
        self.owners.get(&part)?.record.as_ref().map(|r| &r.node)
    }

    pub fn final_state(&self, job: &JobRef) -> Option<End> {
        self.jobs.get(job).map_or_else(|| self.past(job).map(|p| p.end), |j| j.record.end)
    }

    pub fn past(&self, job: &JobRef) -> Option<PastRecord> {
        self.past.get(job).copied()
    }
}
