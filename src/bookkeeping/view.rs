//! A node's picture of all durable records, kept current by a watch, by its
//! own committed transactions and by reads; versions decide what is newer.

use super::names::{Label, Names};
use super::records::{
    AllowanceRecord, End, FleetRecord, HolderRecord, JobRecord, Key, NodeRecord, PastRecord, SliceRecord, TaskRecord,
};
use crate::protocol::cloud::Catalog;
use crate::units::{Attempt, JobRef, NodeName, PartId, Revision};
use foldhash::fast::FixedState;
use indexmap::IndexMap;
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

/// A slice of a job. What rounds ask of every slice is counted when it changes.
#[derive(Debug, Clone, Default)]
pub struct Slice {
    held: Held<SliceRecord>,
    /// What the part's owner wants to be durable; none: untouched.
    want: Option<SliceRecord>,
    /// Tasks done and on machines, of the durable record.
    durable: (u32, u32),
    /// Tasks that are wanted to run and are on no machine.
    idle: u32,
}

impl Slice {
    /// A slice whose durable record is known as of a revision.
    pub fn known(at: Revision, record: Option<SliceRecord>) -> Slice {
        let mut slice = Slice::default();
        slice.take(at, record);
        slice
    }

    pub fn held(&self) -> &Held<SliceRecord> {
        &self.held
    }

    /// What is durable, if anything is.
    pub fn record(&self) -> Option<&SliceRecord> {
        self.held.record.as_ref()
    }

    pub fn want(&self) -> Option<&SliceRecord> {
        self.want.as_ref()
    }

    /// What is wanted, or else what is durable.
    pub fn newest(&self) -> Option<&SliceRecord> {
        self.want().or(self.record())
    }

    /// Tasks that are wanted and wait for a machine.
    pub fn idle(&self) -> u32 {
        self.idle
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
        self.durable = (0, 0);
        for task in self.held.record.iter().flat_map(|r| &r.tasks) {
            match task {
                TaskRecord::Done => self.durable.0 += 1,
                TaskRecord::On(..) => self.durable.1 += 1,
                TaskRecord::Idle(_) => {}
            }
        }
    }

    pub fn set_want(&mut self, want: Option<SliceRecord>) {
        let idle = |r: &SliceRecord| r.tasks.iter().filter(|t| matches!(t, TaskRecord::Idle(_))).count();
        self.idle = want.as_ref().map_or(0, idle) as u32;
        self.want = want;
    }

    /// Changes what is wanted of one task; what was wanted before, if the
    /// slice is wanted at all and has such a task.
    pub fn set_task(&mut self, at: usize, to: TaskRecord) -> Option<TaskRecord> {
        let slot = self.want.as_mut()?.tasks.get_mut(at)?;
        self.idle += u32::from(matches!(to, TaskRecord::Idle(_)));
        let from = std::mem::replace(slot, to);
        self.idle -= u32::from(matches!(from, TaskRecord::Idle(_)));
        Some(from)
    }

    /// True if all tasks are durably done.
    pub fn is_done(&self) -> bool {
        self.record().is_some_and(|r| r.tasks.len() == self.durable.0 as usize)
    }

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
        self.durable.1 == 0 && !self.is_done()
    }
}

#[derive(Debug, Clone)]
pub struct Job {
    pub version: Revision,
    pub record: JobRecord,
    pub slices: Vec<Slice>,
    /// The names of the specification, as the core compares them.
    pub class: Label,
    pub team: Label,
    pub image: Label,
}

impl Job {
    /// Done and running tasks, for display.
    pub fn counts(&self) -> (u32, u32) {
        self.slices.iter().fold((0, 0), |sum, s| (sum.0 + s.durable.0, sum.1 + s.durable.1))
    }

    /// True if any task is, or is wanted, on a machine.
    pub fn wants_any_on(&self) -> bool {
        self.slices.iter().any(|s| s.newest().is_some_and(|r| r.any_on()))
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
    /// In no order that means anything.
    pub jobs: IndexMap<JobRef, Job, FixedState>,
    /// Jobs with anything left to do or to clear away.
    pub active: BTreeSet<JobRef>,
    /// Jobs that ended long ago, as far as they were asked for lately.
    past: BTreeMap<JobRef, PastRecord>,
    past_order: VecDeque<JobRef>,
    pub names: Names,
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
                let known = self.jobs.get_mut(&job).and_then(|known| known.slices.get_mut(index));
                // Our own changes come back by the watch: they need no second reading.
                if known.as_ref().is_some_and(|slice| at <= slice.held.known_at) {
                    return Ok(Changed::Nothing);
                }
                let record = read(key, value)?;
                let new = match known {
                    Some(slice) => slice.take(at, record),
                    None => self.early.entry((job.clone(), index)).or_default().take(at, record),
                };
                self.settle(&job);
                changed(new, Changed::Slice(job, index))
            }
        })
    }

    fn take_job(&mut self, id: &JobRef, record: JobRecord, at: Revision) -> bool {
        let names = &mut self.names;
        let job = self.jobs.entry(id.clone()).or_insert_with(|| Job {
            version: Revision(0),
            slices: vec![],
            class: names.label(&record.spec.class),
            team: names.label(&record.spec.team),
            image: names.label(&record.spec.image),
            record: record.clone(),
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
                slice.count_durable();
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
        if let Some(job) = self.jobs.swap_remove(id) {
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
        let left = job.slices.iter().any(|s| s.record().is_some());
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
