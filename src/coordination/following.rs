//! Jobs that name others which have to be done first: taking them, letting
//! them start, and ending those that follow a cancelled one.
//!
//! A waiting job's record has a plan without slices. So nothing of it is dealt
//! or placed anywhere, by controllers that know nothing of chains either. It
//! may start once each job that it names is durably done: one transaction,
//! conditional on its record, gives it a plan like any other job's. That a
//! waiting job follows a cancelled one is seen in the records of those before
//! it and answered from that at once; its own end is written behind.

use super::chains::Known;
use super::refusing::Refusal;
use super::*;
use crate::bookkeeping::records::{job_key, past_key, Awaits, End, JobRecord, Plan};
use crate::bookkeeping::urge::Urge;
use crate::protocol::users::JobKind;

/// How long a job that may start waits for whoever should let it: then any node
/// that knows of chains does.
const KEEPER_MAY_TAKE: Span = Span(3000);

/// Waiting jobs changed in one transaction at the most.
const MOST_AT_ONCE: usize = 8;

/// Pause between two look-ups of a job that must be somewhere and is not found.
const LOOK_AGAIN: Span = Span(500);

/// What a task takes beside its run time until it runs, for estimates of when
/// the steps of a chain are due: its image, and a place to run.
const STEP_OVERHEAD_S: f64 = 4.0;

/// Tasks of a job end one after the other: the last of them takes longer than most.
const LAST_TASK: f64 = 1.5;

/// A submission whose names are being looked up.
#[derive(Debug)]
pub(super) struct Names {
    request: RequestId,
    spec: Box<JobSpec>,
    /// Names looked at and not known to be done, and those still to be looked at.
    checked: Vec<JobRef>,
    to_check: Vec<JobRef>,
    cancelled: bool,
    /// The last name is being looked up among those put away.
    past: bool,
}

/// What is kept of look-ups and of jobs let start.
#[derive(Debug, Default)]
pub(super) struct Tending {
    asking: bool,
    last: Option<JobRef>,
    next: Time,
    /// Since when jobs may start that have not been let, as seen here.
    ready_since: BTreeMap<JobRef, Time>,
    /// Those that the last transaction was to let start.
    released: BTreeSet<JobRef>,
}

impl Core {
    /// The end of a job, if it has one: its own, or that of one before it.
    pub(super) fn final_state(&self, id: &JobRef) -> Option<End> {
        let own = self.view.final_state(id);
        own.or_else(|| self.chains.is_cancelled(id).then_some(End::Cancelled))
    }

    fn known(view: &View, id: &JobRef) -> Known {
        match (view.final_state(id), view.jobs.contains_key(id)) {
            (Some(end), _) => Known::Ended(end),
            (None, true) => Known::Open,
            (None, false) => Known::Unknown,
        }
    }

    /// Takes what a job's record says into the index of chains.
    pub(super) fn follow(&mut self, id: &JobRef) {
        let Some(job) = self.view.jobs.get(id) else { return };
        let (record, spec) = (&job.record, &job.record.spec);
        if let Some(end) = record.end {
            self.chains.ended(id, end);
            self.chains.gone(id);
        } else if record.waits() {
            let due = |after: f64| record.at + (after * 1000.0) as u64;
            let own = Urge { priority: spec.priority, due_ms: spec.deadline_s.map(due) };
            let takes_ms = ((self.learned.run_time(job) * LAST_TASK + STEP_OVERHEAD_S) * 1000.0) as u64;
            let view = &self.view;
            self.chains.seen(id);
            self.chains.add(id, &record.awaits.0, own, takes_ms, |name| Core::known(view, name));
        } else {
            self.chains.seen(id);
            self.chains.gone(id);
        }
        for name in self.chains.take_pressed().iter().chain([id]) {
            if let Some(job) = self.view.jobs.get_mut(name) {
                job.urge = self.chains.urge(name);
            }
        }
        self.chains_soon |= self.chains.ready().next().is_some();
    }

    /// True if this node is to change a waiting job's record: the owner of the
    /// part that its name hashes to, or else the first that knows of chains.
    /// Two that think so do no harm: the record's version decides.
    fn keeps_chain(&self, id: &JobRef) -> bool {
        let able = |node: &&NodeName| self.view.nodes.get(*node).is_some_and(upgrade::knows_chains);
        let owner = self.view.owner(PartId::of(id.as_str(), self.parts)).filter(able);
        let first = || self.view.live().map(|(node, _)| node).filter(able).min();
        owner.or_else(first) == Some(&self.me)
    }

    /// Lets what is ready start.
    pub(super) fn release_ready(&mut self) {
        self.chains_soon = false;
        // As acceptance does, on credit as far as the share bears it.
        let bears = self.writes.level(self.now) > -0.5 * self.writes.per_s();
        if !bears || !self.state_fresh() || self.now < self.retry_state_at {
            return;
        }
        let wall_ms = self.wall_ms;
        let may_start = |core: &Core, record: &JobRecord| JobRecord {
            plan: core.first_plan(&record.spec),
            awaits: Awaits::default(),
            ready: Some(wall_ms.max(record.at)),
            ..record.clone()
        };
        let (now, tried) = (self.now, std::mem::take(&mut self.tending.released));
        let overdue = |since: &Time| now.since(*since) > KEEPER_MAY_TAKE;
        let ready = self.chains.ready().map(|id| (id, self.tending.ready_since.get(id).is_some_and(overdue)));
        // One whose record will not be written must not keep others from theirs.
        let (first, again): (Vec<_>, Vec<_>) = ready.partition(|(id, _)| !tried.contains(*id));
        let ready = self.ours_of(first.into_iter().chain(again));
        self.tending.ready_since.retain(|id, _| self.chains.is_ready(id));
        for id in self.chains.ready() {
            self.tending.ready_since.entry(id.clone()).or_insert(now);
        }
        self.tending.released = ready.iter().cloned().collect();
        self.rewrite_waiting(ready, may_start);
    }

    /// Writes the ends of jobs that follow cancelled ones, with writes that
    /// nobody else has use for: users are answered without.
    pub(super) fn write_ends(&mut self) {
        let idle = self.writes.level(self.now) > 0.5 * self.writes.per_s();
        if !idle || !self.state_fresh() || self.now < self.retry_state_at {
            return;
        }
        let end = |_: &Core, record: &JobRecord| JobRecord {
            end: Some(End::Cancelled),
            awaits: Awaits::default(),
            ..record.clone()
        };
        let cancelled = self.ours_of(self.chains.cancelled().map(|id| (id, false)));
        self.rewrite_waiting(cancelled, end);
    }

    /// Of these jobs, some that this node may change now; with each, whether any may.
    fn ours_of<'a>(&self, jobs: impl Iterator<Item = (&'a JobRef, bool)>) -> Vec<JobRef> {
        let most = MOST_AT_ONCE.min(self.settings.cluster.state.txn_ops);
        let mine = jobs.filter(|(id, any)| !self.busy_keys.contains(&job_key(id)) && (*any || self.keeps_chain(id)));
        mine.take(most).map(|(id, _)| id.clone()).collect()
    }

    fn rewrite_waiting(&mut self, jobs: Vec<JobRef>, to: impl Fn(&Core, &JobRecord) -> JobRecord) {
        let mut txn = Txn::default();
        for id in jobs {
            let Some(job) = self.view.jobs.get(&id).filter(|j| j.record.waits()) else { continue };
            let Ok(value) = serde_json::to_value(to(self, &job.record)) else { continue };
            txn.conditions.push(Condition { key: job_key(&id), version: job.version });
            txn.changes.push(Change::put(job_key(&id), value));
        }
        if !txn.changes.is_empty() {
            self.simple_txn(txn);
        }
    }

    /// Looks up jobs that waiting ones name and that were put away.
    pub(super) fn look_up_unknown(&mut self) {
        if !self.loaded || self.tending.asking || self.now < self.tending.next || self.now < self.retry_state_at {
            return;
        }
        let Some(id) = self.chains.unknown_after(self.tending.last.as_ref()).cloned() else { return };
        self.tending.asking = true;
        self.tending.last = Some(id.clone());
        self.reads.force(self.now, 1.0);
        self.call_state(StateCall::Get { key: past_key(&id) }, Pending::LookUp(id));
    }

    pub(super) fn looked_up(&mut self, id: JobRef, answer: StateAnswer) {
        self.tending.asking = false;
        let Some(record) = self.take_past(&id, answer) else {
            self.tending.next = self.now + LOOK_AGAIN;
            return;
        };
        self.chains.ended(&id, record.end);
        self.chains_soon = true;
    }

    /// A submission that names others: they are looked at one by one.
    pub(super) fn submit_after(&mut self, request: RequestId, spec: Box<JobSpec>) {
        if !self.chains_on() {
            let reason = "jobs that await others are taken once all controllers know of them";
            return self.reply(request, Reply::Problem { status: 503, reason: reason.into(), retry_after_s: Some(2) });
        }
        let to_check = spec.awaits.clone();
        if to_check.contains(&spec.id) {
            return self.refuse(request, spec.id, Refusal::impossible("a job cannot await itself"));
        }
        self.check_names(Names { request, spec, checked: vec![], to_check, cancelled: false, past: false });
    }

    fn check_names(&mut self, mut names: Names) {
        names.past = false;
        while let Some(name) = names.to_check.pop() {
            if let Some(job) = self.view.jobs.get(&name) {
                if job.record.spec.kind == JobKind::Standing {
                    let reason = format!("{name} is a service, which is never done");
                    return self.refuse(names.request, names.spec.id, Refusal::impossible(reason));
                }
            }
            match Core::known(&self.view, &name) {
                Known::Unknown => {
                    names.to_check.push(name);
                    return self.look_at_name(names);
                }
                Known::Ended(End::Done) => {}
                Known::Ended(End::Cancelled) => names.cancelled = true,
                Known::Open => names.checked.push(name),
            }
        }
        let Names { request, spec, checked, cancelled, .. } = names;
        let record = if cancelled || !checked.is_empty() {
            JobRecord {
                plan: Some(Plan { size: 1, parts: vec![] }),
                end: cancelled.then_some(End::Cancelled),
                awaits: Awaits(if cancelled { vec![] } else { checked }),
                ..JobRecord::new((*spec).clone(), self.wall_ms)
            }
        } else {
            JobRecord { plan: self.first_plan(&spec), ..JobRecord::new((*spec).clone(), self.wall_ms) }
        };
        self.write_submission(request, spec, record);
    }

    /// Reads the name that is next.
    fn look_at_name(&mut self, names: Names) {
        let Some(id) = names.to_check.last().filter(|_| self.afford(names.request, 1.0)) else { return };
        let key = if names.past { past_key(id) } else { job_key(id) };
        self.call_state(StateCall::Get { key }, Pending::Names(names));
    }

    pub(super) fn name_read(&mut self, mut names: Names, answer: StateAnswer) {
        let Some(id) = names.to_check.last().cloned() else { return };
        match answer {
            StateAnswer::Missing(_) if !names.past => {
                names.past = true;
                self.look_at_name(names);
            }
            StateAnswer::Missing(_) => {
                let reason = format!("{id} was never accepted");
                self.refuse(names.request, names.spec.id, Refusal::impossible(reason));
            }
            StateAnswer::Found(_) => {
                let read =
                    if names.past { self.take_past(&id, answer).is_some() } else { self.take_job(answer).is_some() };
                match read {
                    true => self.check_names(names),
                    false => self.reply(names.request, Reply::later("a job it names cannot be read")),
                }
            }
            _ => self.reply(names.request, Reply::later("the state service does not answer")),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::protocol::state::Item;

    /// A node that has just read the records, in which a job waits for one that
    /// was put away, would call it queued though another node called it
    /// cancelled before.
    #[test]
    fn what_waits_behind_an_unknown_job_is_not_told_before_it_is_known() {
        let mut core = super::super::tests::core();
        let record =
            super::super::tests::record(serde_json::json!({"plan": {"size": 1, "parts": []}, "awaits": "000001"}));
        let (first, second) = (JobRef::new("wk-000001"), JobRef::new("wk-000002"));
        let changed = core.view.apply("t/j/wk-000002", Some(record), Revision(5));
        core.changed(changed);
        let told = |core: &mut Core| {
            core.answer_job(RequestId(1), 200, &second, None);
            match core.out.pop() {
                Some(Output::Reply(_, Reply::Job { state, .. })) => Some(state),
                _ => None,
            }
        };
        assert_eq!(told(&mut core), None);
        let value = serde_json::json!({"end": "cancelled", "tasks": 1});
        let item = Item { key: "f/wk-000001".into(), value, version: Revision(3) };
        core.looked_up(first, StateAnswer::Found(item));
        assert_eq!(told(&mut core), Some(crate::protocol::users::JobState::Cancelled));
    }
}
