//! A part that this node owns: its machines, its tasks, and the transactions
//! that make changes durable before they take effect.

use super::keeping::Verdict;
use super::*;
use crate::bookkeeping::records::{
    allowance_key, job_key, owner_key, slice_key, AllowanceRecord, End, JobRecord, SliceRecord, TaskRecord,
};
use crate::bookkeeping::view::{Job, Slice};
use crate::protocol::users::Priority;
use crate::protocol::workers::TaskState;
use crate::units::{Attempt, Seq, Session};
use foldhash::fast::FixedState;
use std::collections::HashMap;

/// A task within the view: its job and number.
pub type TaskKey = (JobRef, u32);

/// A machine that has reported to this owner.
#[derive(Debug)]
pub struct Machine {
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub session: Session,
    pub seq: Seq,
    /// The worker has seen this owner's token: nothing an earlier owner sent
    /// in answer to a report can take effect any more.
    pub acked: bool,
    pub last_report: Time,
    pub born: Time,
    /// Until when the cloud lets the machine live, if a notice came.
    pub notice: Option<Time>,
    /// What the newest report listed.
    pub listed: BTreeMap<TaskKey, (Attempt, TaskState, Time)>,
    /// The report that each start was last sent in answer to.
    pub sent: BTreeMap<TaskKey, (Session, Seq)>,
    /// Images the machine has or fetches, newest last, with their sizes.
    pub images: Vec<(String, f64)>,
    /// Jobs whose tasks failed here since one last succeeded.
    pub failed_jobs: BTreeSet<JobRef>,
    pub faulty: bool,
    /// Takes nothing new until then: it failed several jobs of which it is not
    /// known yet whether they run elsewhere.
    pub rests_until: Time,
}

/// What an owner knows of its part beyond the view.
#[derive(Debug)]
pub struct Mine {
    pub token: Token,
    /// When ownership was learned of.
    pub since: Time,
    /// The view has caught up with the token: all earlier owners' records are in it.
    pub ready: bool,
    /// About to be handed over: nothing new is started.
    pub releasing: bool,
    pub machines: BTreeMap<MachineId, Machine>,
    /// Tasks wanted on each machine.
    pub on: BTreeMap<MachineId, BTreeSet<TaskKey>>,
    /// Slices with changes to write, since when.
    pub dirty: BTreeMap<(JobRef, usize), Time>,
    pub inflight: Option<CallId>,
    pub rereads: usize,
    pub retry_at: Time,
    /// When somebody may last have kept machines of the part for us.
    pub unkept: Time,
    pub verdict: Verdict,
    /// Tasks to be stopped, with the time they may take to save.
    pub stopping: BTreeMap<TaskKey, f64>,
    /// When each task was first reported to run.
    pub running_since: HashMap<TaskKey, Time, FixedState>,
    /// Team resources in use, and those missing for waiting tasks.
    pub used: BTreeMap<String, (f64, f64)>,
    pub wanted: BTreeMap<String, (f64, f64)>,
    /// An allowance on its way to another part: what is left until that is known.
    pub giving: Option<AllowanceRecord>,
}

impl Mine {
    pub fn new(token: Token, now: Time) -> Mine {
        Mine {
            token,
            since: now,
            ready: false,
            releasing: false,
            machines: BTreeMap::new(),
            on: BTreeMap::new(),
            dirty: BTreeMap::new(),
            inflight: None,
            rereads: 0,
            retry_at: Time(0),
            unkept: now,
            verdict: Verdict::None,
            stopping: BTreeMap::new(),
            running_since: HashMap::default(),
            used: BTreeMap::new(),
            wanted: BTreeMap::new(),
            giving: None,
        }
    }

    fn count(&mut self, record: &JobRecord, sign: f64) {
        let used = self.used.entry(record.spec.team.clone()).or_default();
        used.0 += sign * record.spec.cpus;
        used.1 += sign * record.spec.gpus;
    }
}

/// How soon a slice's changes should be durable; less is sooner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Haste {
    /// A machine stands ready for a task that may start once this is written.
    Start,
    /// The end of a slice, perhaps of its job, or what has waited long.
    Soon,
    /// Exits: the machine is free already, and more will come.
    Exit,
    /// Clearing away.
    Whenever,
}

impl Haste {
    /// What has waited for so long must not starve.
    fn after(self, waited: Span) -> Haste {
        let patience = match self {
            Haste::Start | Haste::Soon => return self,
            Haste::Exit => Span(2000),
            Haste::Whenever => Span(20_000),
        };
        if waited >= patience {
            Haste::Soon
        } else {
            self
        }
    }
}

fn haste_of(slice: &Slice, ended: bool) -> Haste {
    let Some(want) = slice.want() else { return Haste::Whenever };
    if ended {
        return Haste::Whenever;
    }
    let durable = |at: usize| slice.record().and_then(|r| r.tasks.get(at));
    let starts = |(at, task): (usize, &TaskRecord)| matches!(task, TaskRecord::On(..)) && durable(at) != Some(task);
    if want.tasks.iter().enumerate().any(starts) {
        Haste::Start
    } else if want.is_done() {
        Haste::Soon
    } else {
        Haste::Exit
    }
}

/// How long writes for a job stand back behind those of the highest priority:
/// a swarm of little work must not hold up what presses, nor wait for ever.
fn patience_ms(priority: Priority) -> u64 {
    match priority {
        Priority::Low => 2000,
        Priority::Normal => 500,
        Priority::High | Priority::Critical => 0,
    }
}

/// The change that makes a slice of a job as it is wanted, if one is needed.
fn slice_change(job: &Job, id: &JobRef, index: usize) -> Option<Change> {
    let slice = &job.slices[index];
    let want = slice.want()?;
    let key = slice_key(id, index);
    if job.record.end.is_some() && !want.any_on() {
        // Nothing of an ended job is left here: the slice has served.
        return slice.record().map(|_| Change::delete(key));
    }
    if slice.dirty() {
        return Some(Change::put(key, serde_json::to_value(want).ok()?));
    }
    None
}

impl Core {
    /// Parts whose ownership the view has caught up with are taken to work.
    pub(super) fn ready_parts(&mut self) {
        let caught_up = |mine: &Mine, revision: Revision| !mine.ready && revision.0 >= mine.token.0;
        let ready: Vec<PartId> =
            self.mine.iter().filter(|(_, m)| caught_up(m, self.view.revision)).map(|(p, _)| *p).collect();
        for part in ready {
            for id in self.view.active.clone() {
                self.adopt_slices(&id, Some(part));
            }
            if let Some(mine) = self.mine.get_mut(&part) {
                mine.ready = true;
                // What earlier owners left may be cut off behind them: see `keeping`.
                mine.since = self.now;
                mine.unkept = self.now;
            }
        }
    }

    /// Begins to work on a job's slices that belong to our parts, from their
    /// durable state, and lets go of those that moved away.
    fn adopt_slices(&mut self, id: &JobRef, only: Option<PartId>) {
        let Some(job) = self.view.jobs.get_mut(id) else { return };
        for index in 0..job.slices.len() {
            let Some(part) = job.part_of(index) else { continue };
            let wanted = only.is_none_or(|p| p == part);
            let slice = &mut job.slices[index];
            match self.mine.get_mut(&part) {
                Some(mine) if wanted && (mine.ready || only.is_some()) => {
                    if slice.want().is_none() {
                        let first = job.record.plan.as_ref().map_or(0, |p| p.first_task(index));
                        if let Some(held) = slice.record().cloned() {
                            for (at, task) in held.tasks.iter().enumerate() {
                                if let TaskRecord::On(_, machine) = task {
                                    mine.on.entry(machine.clone()).or_default().insert((id.clone(), first + at as u32));
                                    mine.count(&job.record, 1.0);
                                }
                            }
                            slice.set_want(Some(held));
                        } else if job.record.end.is_none() {
                            let len = job.record.plan.as_ref().map_or(0, |p| p.len(index, job.record.spec.tasks));
                            slice.set_want(Some(SliceRecord::fresh(len)));
                        }
                    }
                    mine.dirty.entry((id.clone(), index)).or_insert(self.now);
                }
                None => slice.set_want(None),
                _ => {}
            }
        }
    }

    /// Takes back wishes for tasks whose slice was dealt to another part
    /// before any of them was durable.
    fn let_go_of_moved(&mut self, id: &JobRef) {
        let parts = self.parts;
        let Some(job) = self.view.jobs.get_mut(id) else { return };
        let Some(plan) = &job.record.plan else { return };
        for (index, slice) in job.slices.iter_mut().enumerate() {
            let first = plan.first_task(index);
            let mut moved: Vec<(PartId, MachineId, TaskKey)> = vec![];
            for (at, task) in slice.want().into_iter().flat_map(|w| w.tasks.iter().enumerate()) {
                let TaskRecord::On(_, machine) = task else { continue };
                let from = PartId::of(machine.as_str(), parts);
                if plan.parts.get(index) != Some(&from) {
                    moved.push((from, machine.clone(), (id.clone(), first + at as u32)));
                }
            }
            if !moved.is_empty() {
                slice.set_want(None);
            }
            for (from, machine, key) in moved {
                let Some(mine) = self.mine.get_mut(&from) else { continue };
                if mine.on.get_mut(&machine).is_some_and(|tasks| tasks.remove(&key)) {
                    mine.count(&job.record, -1.0);
                }
            }
        }
    }

    pub(super) fn job_changed(&mut self, id: &JobRef) {
        if let Some(job) = self.view.jobs.get(id).filter(|j| j.record.end.is_none()) {
            self.deal_soon |= job.record.plan.is_none();
            let spec = &job.record.spec;
            tracing::debug!(
                "job {id}: {} tasks of {} cpus, {} s, plan {:?}",
                spec.tasks,
                spec.cpus,
                spec.estimate_s,
                job.record.plan
            );
            if self.wants_quick_start(&spec.class) {
                let (class, cpus) = (spec.class.clone(), spec.cpus * f64::from(spec.tasks));
                self.learned.saw_job(&class, cpus);
            }
        }
        if let Some(job) = self.view.jobs.get(id).filter(|j| j.record.end.is_some()) {
            let (age, allowed) = (self.age_s(job), self.allowed_s(job));
            tracing::info!("job {id} of {} ended at {age:.0} s of {allowed:.0} s", job.record.spec.class);
        }
        self.let_go_of_moved(id);
        self.adopt_slices(id, None);
        self.check_finished(id);
    }

    pub(super) fn slice_changed(&mut self, id: &JobRef, _slice: usize) {
        self.check_finished(id);
    }

    /// A job all of whose slices are durably done is to be called done, by
    /// the owner of its first slice.
    fn check_finished(&mut self, id: &JobRef) {
        let Some(job) = self.view.jobs.get(id) else { return };
        if job.record.end.is_some() || job.slices.is_empty() {
            return;
        }
        let ours = job.part_of(0).is_some_and(|p| self.mine.contains_key(&p));
        if ours && job.slices.iter().all(Slice::is_done) {
            self.finish.insert(id.clone());
        }
    }

    pub(super) fn finish_jobs(&mut self) {
        for id in std::mem::take(&mut self.finish) {
            let Some(job) = self.view.jobs.get(&id) else { continue };
            let key = job_key(&id);
            if job.record.end.is_some() {
                continue;
            }
            if self.busy_keys.contains(&key) || self.now < self.retry_state_at {
                self.finish.insert(id);
                continue;
            }
            let record = JobRecord { end: Some(End::Done), ..job.record.clone() };
            let Ok(value) = serde_json::to_value(record) else { continue };
            let conditions = vec![Condition { key: key.clone(), version: job.version }];
            self.simple_txn(Txn { conditions, changes: vec![Change::put(key, value)] });
            self.finish.insert(id);
        }
    }

    /// The record and wanted state of a task of ours.
    pub(super) fn task(&self, key: &TaskKey) -> Option<(&Job, PartId, usize, usize)> {
        let job = self.view.jobs.get(&key.0)?;
        if key.1 >= job.record.spec.tasks {
            return None;
        }
        let (index, at) = job.record.plan.as_ref()?.slice_of(key.1);
        let part = job.part_of(index)?;
        job.slices[index].want()?.tasks.get(at)?;
        Some((job, part, index, at))
    }

    pub(super) fn wanted(&self, key: &TaskKey) -> Option<&TaskRecord> {
        let (job, _, index, at) = self.task(key)?;
        job.slices[index].want()?.tasks.get(at)
    }

    pub(super) fn durable(&self, key: &TaskKey) -> Option<&TaskRecord> {
        let (job, _, index, at) = self.task(key)?;
        job.slices[index].record()?.tasks.get(at)
    }

    /// Changes what is wanted of a task, keeping the part's indexes; the next
    /// transaction makes it durable.
    pub(super) fn set_task(&mut self, key: &TaskKey, to: TaskRecord) {
        let Some((_, part, index, at)) = self.task(key) else { return };
        let Some(job) = self.view.jobs.get_mut(&key.0) else { return };
        let Some(mine) = self.mine.get_mut(&part) else { return };
        let Some(from) = job.slices[index].set_task(at, to.clone()) else { return };
        if let TaskRecord::On(_, machine) = &from {
            if let Some(set) = mine.on.get_mut(machine) {
                set.remove(key);
                if set.is_empty() {
                    mine.on.remove(machine);
                }
            }
            mine.count(&job.record, -1.0);
            mine.stopping.remove(key);
            mine.running_since.remove(key);
            if let Some(m) = mine.machines.get_mut(machine) {
                m.sent.remove(key);
            }
        }
        if let TaskRecord::On(_, machine) = &to {
            mine.on.entry(machine.clone()).or_default().insert(key.clone());
            mine.count(&job.record, 1.0);
        }
        mine.dirty.entry((key.0.clone(), index)).or_insert(self.now);
    }

    pub(super) fn flush_all(&mut self) {
        if self.now < self.retry_state_at {
            return;
        }
        for part in self.mine.keys().copied().collect::<Vec<_>>() {
            self.flush(part);
        }
    }

    /// Sends one transaction with the part's oldest changes, each slice's
    /// coalesced; all of it holds only if we still own the part, no slice was
    /// changed behind our back, and no job was cancelled or dealt anew.
    fn flush(&mut self, part: PartId) {
        let level = self.writes.level(self.now).floor();
        let Some(mine) = self.mine.get(&part) else { return };
        if !mine.ready
            || mine.inflight.is_some()
            || mine.rereads > 0
            || self.now < mine.retry_at
            || mine.dirty.is_empty()
        {
            return;
        }
        let limit = self.settings.cluster.state.txn_ops.min(level.max(0.0) as usize);
        if limit < 2 {
            return;
        }
        let mut order: Vec<(Haste, Time, (JobRef, usize))> = vec![];
        for (key, since) in &mine.dirty {
            let slice = self.view.jobs.get(&key.0).and_then(|j| Some((j.record.end, j.slices.get(key.1)?)));
            let haste = slice.map_or(Haste::Whenever, |(end, slice)| haste_of(slice, end.is_some()));
            let priority = self.view.jobs.get(&key.0).map_or(Priority::Low, |j| j.record.spec.priority);
            let due = Time(since.0 + patience_ms(priority));
            order.push((haste.after(self.now.since(*since)), due, key.clone()));
        }
        order.sort();
        // Writes are scarce: what can wait for more to come to the same slice
        // leaves half of them to starts.
        let thrifty = level < self.writes.per_s() / 2.0;
        let mut txn = Txn {
            conditions: vec![Condition { key: owner_key(part), version: Revision(mine.token.0) }],
            changes: vec![],
        };
        let mut sent = vec![];
        let mut jobs = BTreeSet::new();
        let mut bytes = 0;
        for (haste, _, (id, index)) in order {
            if thrifty && haste > Haste::Soon {
                break;
            }
            let Some(job) = self.view.jobs.get(&id) else {
                sent.push((id, index));
                continue;
            };
            let Some(change) = job.slices.get(index).and_then(|_| slice_change(job, &id, index)) else {
                sent.push((id, index));
                continue;
            };
            // Room for the job's own record, should this slice be its last.
            if txn.changes.len() + 2 > limit || bytes > 40_000 {
                break;
            }
            bytes += serde_json::to_vec(&change).map_or(0, |b| b.len()) + 200;
            txn.conditions.push(Condition { key: slice_key(&id, index), version: job.slices[index].held().version });
            if jobs.insert(id.clone()) {
                txn.conditions.push(Condition { key: job_key(&id), version: job.version });
            }
            let last = job.record.end.is_none()
                && job.slices.iter().enumerate().all(|(at, s)| {
                    if at == index {
                        s.want().is_some_and(SliceRecord::is_done)
                    } else {
                        s.is_done()
                    }
                });
            if last && !self.busy_keys.contains(&job_key(&id)) {
                // Done with its last slice: the slice need not be kept.
                let record = JobRecord { end: Some(End::Done), ..job.record.clone() };
                if let Ok(value) = serde_json::to_value(record) {
                    bytes += 800;
                    txn.changes.push(Change::put(job_key(&id), value));
                    // While writes are scarce, clearing away is left for later.
                    if job.slices[index].record().is_some() && !thrifty {
                        txn.changes.push(Change::delete(slice_key(&id, index)));
                    }
                }
            } else {
                txn.changes.push(change);
            }
            sent.push((id, index));
        }
        let Some(mine) = self.mine.get_mut(&part) else { return };
        for key in &sent {
            mine.dirty.remove(key);
        }
        if txn.changes.is_empty() {
            // All of it can wait for writes: not to be weighed at every input.
            mine.retry_at = self.now + Span(20);
            return;
        }
        self.reads.force(self.now, 1.0);
        self.writes.force(self.now, txn.changes.len() as f64);
        self.call_state(StateCall::Txn(txn.clone()), Pending::PartTxn { part, txn });
        let id = CallId(self.last_call);
        if let Some(mine) = self.mine.get_mut(&part) {
            mine.inflight = Some(id);
        }
    }

    pub(super) fn part_txn_answer(&mut self, part: PartId, txn: Txn, answer: StateAnswer) {
        // The slices of a transaction that failed, or whose outcome is not
        // known, are sent again under the same versions: if it did go
        // through after all, the conflict says so and the records are read.
        let committed = matches!(answer, StateAnswer::Committed(_));
        if let Some(mine) = self.mine.get_mut(&part) {
            mine.inflight = None;
            if !committed {
                for key in txn.conditions.iter() {
                    if let Some(records::Key::Slice(id, index)) = records::Key::read(&key.key) {
                        mine.dirty.entry((id, index)).or_insert(self.now);
                    }
                }
                mine.retry_at = self.now + Span(150);
            }
        }
        match answer {
            StateAnswer::Committed(revision) => {
                self.committed(&txn, revision);
                // Tell others only of what they may have to act on: ends of jobs.
                if txn.changes.iter().any(|c| change_key(c).starts_with("t/j/")) {
                    self.nudge(revision);
                }
            }
            StateAnswer::Conflict(failed) => {
                if let Some(mine) = self.mine.get_mut(&part) {
                    mine.rereads += failed.len();
                }
                self.reread(failed, Some(part));
            }
            StateAnswer::Rejected(_) => {
                if let Some(mine) = self.mine.get_mut(&part) {
                    mine.retry_at = self.now + Span(2000);
                }
            }
            _ => {}
        }
    }

    /// A part's share of a team's limit; none: no limit.
    pub(super) fn allowance(&self, part: PartId, team: &str) -> (Option<f64>, Option<f64>) {
        let Some(limits) = self.settings.cluster.teams.iter().find(|t| t.name == team) else { return (None, None) };
        let stored = self.view.allowances.get(&part).and_then(|h| h.record.as_ref()).and_then(|r| r.teams.get(team));
        let share = |max: f64| (max / f64::from(self.parts) * 1000.0).floor() / 1000.0;
        let (mut cpus, mut gpus) = stored.copied().unwrap_or((share(limits.cpus_max), share(limits.gpus_max)));
        if let Some(left) = self.mine.get(&part).and_then(|m| m.giving.as_ref()).and_then(|g| g.teams.get(team)) {
            cpus = cpus.min(left.0);
            gpus = gpus.min(left.1);
        }
        ((limits.cpus_max > 0.0).then_some(cpus), (limits.gpus_max > 0.0).then_some(gpus))
    }

    /// All teams' allowances of a part, as a record.
    fn allowances(&self, part: PartId) -> AllowanceRecord {
        let teams = &self.settings.cluster.teams;
        let entry = |name: &str| {
            let (cpus, gpus) = self.allowance(part, name);
            (name.to_string(), (cpus.unwrap_or(0.0), gpus.unwrap_or(0.0)))
        };
        AllowanceRecord { teams: teams.iter().map(|t| entry(&t.name)).collect() }
    }

    /// Gives allowance that a part of ours does not need to a part that lacks
    /// it, in one transaction conditional on both records and on ownership.
    pub(super) fn share_allowances(&mut self) {
        let mut wants: BTreeMap<PartId, BTreeMap<String, (f64, f64)>> = BTreeMap::new();
        for (part, mine) in &self.mine {
            wants.insert(*part, mine.wanted.clone());
        }
        for peer in self.peers.values() {
            let recent = peer.heard.is_some_and(|at| self.now.since(at) < Span(3000));
            for load in peer.note.iter().filter(|_| recent).flat_map(|n| &n.parts) {
                let teams = load.teams.iter().map(|t| (t.team.clone(), (t.wanted_cpus, t.wanted_gpus)));
                wants.entry(PartId(load.part)).or_insert_with(|| teams.collect());
            }
        }
        for part in self.mine.keys().copied().collect::<Vec<_>>() {
            for (&to, teams) in wants.iter().filter(|(p, _)| **p != part) {
                for (team, &(cpus, gpus)) in teams {
                    if (cpus > 0.0 || gpus > 0.0) && self.give_allowance(part, to, team, (cpus, gpus)) {
                        return;
                    }
                }
            }
        }
    }

    fn give_allowance(&mut self, part: PartId, to: PartId, team: &str, want: (f64, f64)) -> bool {
        let keys = [allowance_key(part), allowance_key(to)];
        if keys.iter().any(|k| self.busy_keys.contains(k)) || !self.state_fresh() {
            return false;
        }
        let limit = self.allowance(part, team);
        let idle = |m: &&Mine| m.ready && !m.releasing && m.giving.is_none();
        let Some(mine) = self.mine.get(&part).filter(idle) else { return false };
        let used = mine.used.get(team).copied().unwrap_or_default();
        let own = mine.wanted.get(team).copied().unwrap_or_default();
        let token = mine.token;
        let spare = |limit: Option<f64>, used: f64, own: f64| limit.map_or(0.0, |l| (l - used - own).max(0.0));
        let gift =
            (spare(limit.0, used.0, own.0).min(want.0).floor(), spare(limit.1, used.1, own.1).min(want.1).floor());
        if gift.0 <= 0.0 && gift.1 <= 0.0 {
            return false;
        }
        let (mut ours, mut theirs) = (self.allowances(part), self.allowances(to));
        for (record, sign) in [(&mut ours, -1.0), (&mut theirs, 1.0)] {
            if let Some(share) = record.teams.get_mut(team) {
                share.0 += sign * gift.0;
                share.1 += sign * gift.1;
            }
        }
        let version = |view: &View, p: PartId| view.allowances.get(&p).map_or(Revision(0), |h| h.version);
        let conditions = vec![
            Condition { key: owner_key(part), version: Revision(token.0) },
            Condition { key: keys[0].clone(), version: version(&self.view, part) },
            Condition { key: keys[1].clone(), version: version(&self.view, to) },
        ];
        let (Ok(a), Ok(b)) = (serde_json::to_value(&ours), serde_json::to_value(&theirs)) else { return false };
        if let Some(mine) = self.mine.get_mut(&part) {
            mine.giving = Some(ours);
        }
        let [from_key, to_key] = keys;
        self.simple_txn(Txn { conditions, changes: vec![Change::put(from_key, a), Change::put(to_key, b)] });
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn slice(held: &[TaskRecord], want: &[TaskRecord]) -> Slice {
        let record = |tasks: &[TaskRecord]| Some(SliceRecord { tasks: tasks.to_vec() });
        let mut slice = Slice::known(Revision(1), record(held));
        slice.set_want(record(want));
        slice
    }

    /// Starts waited seconds behind exits for the part's share of writes.
    #[test]
    fn starts_are_written_before_exits_but_nothing_starves() {
        let on = |n: u64| TaskRecord::On(Attempt(n), MachineId::new("i-000001"));
        let start = haste_of(&slice(&[on(1), TaskRecord::Idle(Attempt(0))], &[TaskRecord::Done, on(1)]), false);
        let exit = haste_of(&slice(&[on(1), on(1)], &[TaskRecord::Done, on(1)]), false);
        let last = haste_of(&slice(&[TaskRecord::Done, on(1)], &[TaskRecord::Done, TaskRecord::Done]), false);
        assert!(start < last && last < exit, "{start:?} {last:?} {exit:?}");
        assert_eq!(exit.after(Span(500)), Haste::Exit);
        assert_eq!(exit.after(Span(2500)), Haste::Soon);
        assert_eq!(haste_of(&slice(&[on(1)], &[on(1)]), true).after(Span(22_000)), Haste::Soon);
    }
}
