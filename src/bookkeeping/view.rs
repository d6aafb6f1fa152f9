//! A node's picture of all durable records, kept current by a watch, by its
//! own committed transactions and by reads; versions decide what is newer.

use super::names::{Label, Names};
use super::records::{
    AllowanceRecord, End, FleetRecord, HolderRecord, JobRecord, Key, LevelRecord, NodeRecord, PastRecord, SliceRecord,
    TaskRecord,
};
use super::urge::Urge;
use crate::protocol::cloud::Catalog;
use crate::protocol::users::Priority;
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
    sums: Sums,
}

/// What rounds and answers ask of slices, counted.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Sums {
    /// Tasks done and on machines, of the durable record.
    done: u32,
    on: u32,
    /// Tasks that are wanted to run and are on no machine, and those wanted on one.
    idle: u32,
    wanted_on: u32,
    /// Of the latter, those whose record does not say so yet.
    unwritten: u32,
}

impl Sums {
    /// With one slice's part of them replaced.
    fn replaced(self, old: Sums, new: Sums) -> Sums {
        Sums {
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
        self.sums.idle
    }

    /// Tasks that take room in the record: those wanted on machines, and those
    /// tried before.
    pub fn tried(&self) -> usize {
        let fresh = |task: &&TaskRecord| matches!(task, TaskRecord::Done | TaskRecord::Idle(Attempt(0)));
        self.want.iter().flat_map(|w| &w.tasks).filter(|task| !fresh(task)).count()
    }

    /// True if any task is on a machine, as is wanted or else as is durable.
    pub fn any_on(&self) -> bool {
        if self.want.is_some() {
            self.sums.wanted_on > 0
        } else {
            self.sums.on > 0
        }
    }

    /// True if tasks are wanted on machines that the record does not name yet.
    pub fn starts_unwritten(&self) -> bool {
        self.sums.unwritten > 0
    }

    /// True if all tasks are wanted to be done.
    pub fn wants_done(&self) -> bool {
        self.want.is_some() && self.sums.idle == 0 && self.sums.wanted_on == 0
    }

    fn unwritten_at(&self, at: usize) -> bool {
        let want = self.want.as_ref().and_then(|r| r.tasks.get(at));
        let held = self.held.record.as_ref().and_then(|r| r.tasks.get(at));
        matches!(want, Some(TaskRecord::On(..))) && want != held
    }

    fn count_unwritten(&mut self) {
        let tasks = self.want.as_ref().map_or(0, |w| w.tasks.len());
        self.sums.unwritten = (0..tasks).filter(|at| self.unwritten_at(*at)).count() as u32;
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
        (self.sums.done, self.sums.on) = (0, 0);
        for task in self.held.record.iter().flat_map(|r| &r.tasks) {
            match task {
                TaskRecord::Done => self.sums.done += 1,
                TaskRecord::On(..) => self.sums.on += 1,
                TaskRecord::Idle(_) => {}
            }
        }
        self.count_unwritten();
    }

    pub fn set_want(&mut self, want: Option<SliceRecord>) {
        (self.sums.idle, self.sums.wanted_on) = (0, 0);
        for task in want.iter().flat_map(|r| &r.tasks) {
            match task {
                TaskRecord::Idle(_) => self.sums.idle += 1,
                TaskRecord::On(..) => self.sums.wanted_on += 1,
                TaskRecord::Done => {}
            }
        }
        self.want = want;
        self.count_unwritten();
    }

    /// Changes what is wanted of one task; what was wanted before, if the
    /// slice is wanted at all and has such a task.
    pub fn set_task(&mut self, at: usize, to: TaskRecord) -> Option<TaskRecord> {
        self.sums.unwritten -= u32::from(self.unwritten_at(at));
        let slot = self.want.as_mut()?.tasks.get_mut(at)?;
        self.sums.idle += u32::from(matches!(to, TaskRecord::Idle(_)));
        self.sums.wanted_on += u32::from(matches!(to, TaskRecord::On(..)));
        let from = std::mem::replace(slot, to);
        self.sums.idle -= u32::from(matches!(from, TaskRecord::Idle(_)));
        self.sums.wanted_on -= u32::from(matches!(from, TaskRecord::On(..)));
        self.sums.unwritten += u32::from(self.unwritten_at(at));
        Some(from)
    }

    /// True if all tasks are durably done.
    pub fn is_done(&self) -> bool {
        self.record().is_some_and(|r| r.tasks.len() == self.sums.done as usize)
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
        self.sums.on == 0 && !self.is_done()
    }
}

#[derive(Debug, Clone)]
pub struct Job {
    pub version: Revision,
    pub record: JobRecord,
    slices: Vec<Slice>,
    sums: Sums,
    /// The names of the specification, as the core compares them.
    pub class: Label,
    pub team: Label,
    pub image: Label,
    /// What those that need the job make of its urgency.
    pub urge: Option<Urge>,
}

impl Job {
    pub fn slices(&self) -> &[Slice] {
        &self.slices
    }

    /// Tasks done and on machines, of the durable records.
    pub fn counts(&self) -> (u32, u32) {
        (self.sums.done, self.sums.on)
    }

    /// Tasks of ours that wait for a machine.
    pub fn idle(&self) -> u32 {
        self.sums.idle
    }

    /// Changes what is wanted of a slice.
    pub fn set_want(&mut self, index: usize, want: Option<SliceRecord>) {
        self.change(index, |slice| slice.set_want(want));
    }

    /// Changes what is wanted of one task of a slice; what was wanted before,
    /// if the slice is wanted at all and has such a task.
    pub fn set_task(&mut self, index: usize, at: usize, to: TaskRecord) -> Option<TaskRecord> {
        self.change(index, |slice| slice.set_task(at, to))?
    }

    /// All changes of slices go through here: the sums follow.
    fn change<R>(&mut self, index: usize, change: impl FnOnce(&mut Slice) -> R) -> Option<R> {
        let slice = self.slices.get_mut(index)?;
        let before = slice.sums;
        let result = change(slice);
        self.sums = self.sums.replaced(before, slice.sums);
        Some(result)
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

    /// The job's priority, or that of any that needs it.
    pub fn priority(&self) -> Priority {
        let own = self.record.spec.priority;
        self.urge.map_or(own, |urge| urge.priority.max(own))
    }

    pub fn part_of(&self, slice: usize) -> Option<PartId> {
        self.record.plan.as_ref()?.parts.get(slice).copied()
    }
}

/// What a job's newer record says that was not known before. What a node reads
/// when it starts is no news: the job ended whenever it did, not now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum News {
    /// The job was not known.
    First,
    /// It has ended since its record was last seen.
    Ended,
    Other,
}

/// What changed, for whoever has to act on it.
#[derive(Debug, PartialEq)]
pub enum Changed {
    Nothing,
    Leader,
    Owner(PartId),
    Node(NodeName),
    Keep(PartId),
    Job(JobRef, News),
    /// The job's record is gone: it was put away.
    JobGone(JobRef),
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
    pub level: Held<LevelRecord>,
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
            Key::Level => changed(self.level.take(at, read(key, value)?), Changed::Other),
            Key::Node(node) => {
                let record = read(key, value)?;
                changed(self.nodes.entry(node.clone()).or_default().take(at, record), Changed::Node(node))
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
                Some(record) => {
                    self.take_job(&job, record, at).map_or(Changed::Nothing, |news| Changed::Job(job, news))
                }
                None => {
                    let gone = self.drop_job(&job, at);
                    changed(gone, Changed::JobGone(job))
                }
            },
            Key::Slice(job, index) => {
                let known = self.jobs.get_mut(&job).filter(|known| index < known.slices.len());
                // Our own changes come back by the watch: they need no second reading.
                if known.as_ref().is_some_and(|known| at <= known.slices[index].held.known_at) {
                    return Ok(Changed::Nothing);
                }
                let record = read(key, value)?;
                let new = match known {
                    Some(known) => known.change(index, |slice| slice.take(at, record)).unwrap_or(false),
                    None => self.early.entry((job.clone(), index)).or_default().take(at, record),
                };
                self.settle(&job);
                changed(new, Changed::Slice(job, index))
            }
        })
    }

    /// What is new in a job's record; none if it is old.
    fn take_job(&mut self, id: &JobRef, record: JobRecord, at: Revision) -> Option<News> {
        let names = &mut self.names;
        let job = self.jobs.entry(id.clone()).or_insert_with(|| Job {
            version: Revision(0),
            slices: vec![],
            sums: Sums::default(),
            class: names.label(&record.spec.class),
            team: names.label(&record.spec.team),
            image: names.label(&record.spec.image),
            record: record.clone(),
            urge: None,
        });
        if at <= job.version {
            return None;
        }
        let news = match (job.version, job.record.end, record.end) {
            (Revision(0), ..) => News::First,
            (_, None, Some(_)) => News::Ended,
            _ => News::Other,
        };
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
        job.sums = job.slices.iter().fold(Sums::default(), |all, s| all.replaced(Sums::default(), s.sums));
        self.settle(id);
        Some(news)
    }

    /// A job's record is gone: it was put away with those that ended long ago.
    fn drop_job(&mut self, id: &JobRef, at: Revision) -> bool {
        if self.jobs.get(id).is_none_or(|j| at <= j.version) {
            return false;
        }
        if let Some(job) = self.jobs.swap_remove(id) {
            self.active.remove(id);
            if let Some(end) = job.record.end {
                self.remember_past(id, PastRecord { end, tasks: job.record.spec.tasks });
            }
        }
        true
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
    /// still be on a machine, and comes to it when it may start.
    fn settle(&mut self, id: &JobRef) {
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

#[cfg(test)]
mod tests {
    use super::*;
    use crate::units::MachineId;
    use proptest::prelude::*;

    fn task() -> impl Strategy<Value = TaskRecord> {
        prop_oneof![
            (0u64..3).prop_map(|a| TaskRecord::Idle(Attempt(a))),
            (1u64..3, 0u32..2).prop_map(|(a, m)| TaskRecord::On(Attempt(a), MachineId::new(&format!("i-{m}")))),
            Just(TaskRecord::Done),
        ]
    }

    #[derive(Debug, Clone)]
    enum Step {
        Held(Option<Vec<TaskRecord>>),
        Want(Option<Vec<TaskRecord>>),
        Task(usize, TaskRecord),
    }

    fn step() -> impl Strategy<Value = Step> {
        let tasks = || proptest::option::of(proptest::collection::vec(task(), 5));
        prop_oneof![
            1 => tasks().prop_map(Step::Held),
            1 => tasks().prop_map(Step::Want),
            4 => (0usize..6, task()).prop_map(|(at, to)| Step::Task(at, to)),
        ]
    }

    proptest! {
        #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(13), failure_persistence: None, ..Default::default() })]
        /// Writes and rounds go by the sums: one that lags would leave a start
        /// unwritten, or a waiting task unseen, for ever.
        #[test]
        fn sums_follow_every_change(steps in proptest::collection::vec((0usize..2, step()), 1..40)) {
            let text = serde_json::json!({
                "spec": {"ref": "wk-1", "haul": "c", "crew": "t", "rig": "array", "rank": "normal", "loads": 10,
                    "cores": 1.0, "mem_gb": 1.0, "kit": "i", "image_gb": 1.0, "reckon_s": 1.0},
                "at": 0, "plan": {"size": 5, "parts": [0, 1]}
            });
            let mut view = View::default();
            view.apply("t/j/wk-1", Some(text), Revision(1));
            let id = JobRef::new("wk-1");
            for (at, (index, step)) in steps.into_iter().enumerate() {
                let revision = Revision(2 + at as u64);
                match step {
                    Step::Held(tasks) => {
                        let value = tasks.map(|tasks| serde_json::to_value(SliceRecord { tasks }).unwrap());
                        view.apply(&format!("t/s/wk-1/{index}"), value, revision);
                    }
                    Step::Want(tasks) => {
                        view.jobs[&id].set_want(index, tasks.map(|tasks| SliceRecord { tasks }));
                    }
                    Step::Task(at, to) => {
                        view.jobs[&id].set_task(index, at, to);
                    }
                }
                let mut sums = Sums::default();
                for slice in view.jobs[&id].slices() {
                    let mut fresh = Slice::known(revision, slice.record().cloned());
                    fresh.set_want(slice.want().cloned());
                    prop_assert_eq!(slice.sums, fresh.sums);
                    sums = sums.replaced(Sums::default(), fresh.sums);
                }
                prop_assert_eq!(view.jobs[&id].sums, sums);
            }
        }
    }
}
