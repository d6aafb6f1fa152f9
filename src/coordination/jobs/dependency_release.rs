//! Jobs that name others which have to be done first: taking them, letting
//! them start, and ending those that follow a cancelled one.
//!
//! A waiting job's record has a plan without slices. So nothing of it is dealt
//! or placed anywhere, by controllers that know nothing of chains either. It
//! may start once each job that it names is durably done: one transaction,
//! conditional on its record, gives it a plan like any other job's. That a
//! waiting job follows a cancelled one is seen in the records of those before
//! it and answered from that at once; its own end is written behind.

use crate::coordination::jobs::dependency_graph::Known;
use crate::coordination::jobs::refusal::{InfeasibleJob, Refusal};
use crate::coordination::store_client::pending_requests::PendingRequest;
use crate::coordination::Core;
use crate::protocol::state::{Change, Condition, StoreRequest, StoreResponse, Transaction};
use crate::protocol::users::{JobKind, JobSpec};
use crate::storage::cache::StateCache;
use crate::storage::effective_priority::EffectivePriority;
use crate::storage::records::{archived_job_key, job_key, Dependencies, JobOutcome, JobRecord, SlicePlan};
use crate::units::{JobId, Millis, MonotonicTime, NodeName, RequestId, ShardId};
use std::collections::{BTreeMap, BTreeSet};

/// How long a job that may start waits for whoever should let it: then any node
/// that knows of chains does.
const KEEPER_MAY_TAKE: Millis = Millis(3000);

/// Waiting jobs changed in one transaction at the most.
const MOST_AT_ONCE: usize = 8;

/// Pause between two look-ups of a job that must be somewhere and is not found.
const LOOK_AGAIN: Millis = Millis(500);

/// What a task takes beside its run time until it runs, for estimates of when
/// the steps of a chain are due: its image, and a place to run.
const STEP_OVERHEAD_S: f64 = 4.0;

/// Tasks of a job end one after the other: the last of them takes longer than most.
const LAST_TASK: f64 = 1.5;

/// A submission whose names are being looked up.
#[derive(Debug)]
pub(crate) struct DependencyCheck {
    request: RequestId,
    spec: Box<JobSpec>,
    /// Names looked at and not known to be done, and those still to be looked at.
    checked: Vec<JobId>,
    to_check: Vec<JobId>,
    cancelled: bool,
    /// The last name is being looked up among those put away.
    archived: bool,
}

/// What is kept of look-ups and of jobs let start.
#[derive(Debug, Default)]
pub(crate) struct DependencyRelease {
    asking: bool,
    last: Option<JobId>,
    next: MonotonicTime,
    /// Since when jobs may start that have not been let, as seen here.
    ready_since: BTreeMap<JobId, MonotonicTime>,
    /// Those that the last transaction was to let start.
    released: BTreeSet<JobId>,
}

impl Core {
    /// The end of a job, if it has one: its own, or that of one before it.
    pub(crate) fn final_state(&self, id: &JobId) -> Option<JobOutcome> {
        let own = self.cache.final_state(id);
        own.or_else(|| self.dependency_graph.is_cancelled(id).then_some(JobOutcome::Cancelled))
    }

    fn known(cache: &StateCache, id: &JobId) -> Known {
        match (cache.final_state(id), cache.jobs.contains_key(id)) {
            (Some(end), _) => Known::Ended(end),
            (None, true) => Known::Open,
            (None, false) => Known::Unknown,
        }
    }

    /// Takes what a job's record says into the index of chains.
    pub(crate) fn track_dependencies(&mut self, id: &JobId) {
        let Some(job) = self.cache.jobs.get(id) else { return };
        let (record, spec) = (&job.record, &job.record.spec);
        if let Some(end) = record.end {
            self.dependency_graph.ended(id, end);
            self.dependency_graph.gone(id);
        } else if record.waits() {
            let due = |after: f64| record.at + (after * 1000.0) as u64;
            let own = EffectivePriority { priority: spec.priority, due_ms: spec.deadline_s.map(due) };
            let takes_ms = ((self.estimates.run_time(job) * LAST_TASK + STEP_OVERHEAD_S) * 1000.0) as u64;
            let cache = &self.cache;
            self.dependency_graph.seen(id);
            self.dependency_graph.add(id, &record.dependencies.0, own, takes_ms, |name| Core::known(cache, name));
        } else {
            self.dependency_graph.seen(id);
            self.dependency_graph.gone(id);
        }
        for name in self.dependency_graph.take_pressed().iter().chain([id]) {
            if let Some(job) = self.cache.jobs.get_mut(name) {
                job.effective_priority = self.dependency_graph.effective_priority(name);
            }
        }
        self.release_soon |= self.dependency_graph.ready().next().is_some();
    }

    /// True if this node is to change a waiting job's record: the owner of the
    /// part that its name hashes to, or else the first that knows of chains.
    /// Two that think so do no harm: the record's version decides.
    fn keeps_chain(&self, id: &JobId) -> bool {
        let able = |node: &&NodeName| {
            self.cache
                .nodes
                .get(*node)
                .is_some_and(crate::coordination::membership::feature_level::supports_dependencies)
        };
        let owner = self.cache.owner(ShardId::of(id.as_str(), self.shard_count)).filter(able);
        let first = || self.cache.live().map(|(node, _)| node).filter(able).min();
        owner.or_else(first) == Some(&self.node_name)
    }

    /// Lets what is ready start.
    pub(crate) fn release_ready_jobs(&mut self) {
        self.release_soon = false;
        // As acceptance does, on credit as far as the share bears it.
        let bears = self.store.writes_above(self.now, -0.5);
        if !bears || !self.records_fresh() || !self.store.may_send(self.now) {
            return;
        }
        let time_of_day_ms = self.time_of_day_ms;
        let may_start = |core: &Core, record: &JobRecord| JobRecord {
            plan: core.first_plan(&record.spec),
            dependencies: Dependencies::default(),
            ready: Some(time_of_day_ms.max(record.at)),
            ..record.clone()
        };
        let (now, tried) = (self.now, std::mem::take(&mut self.dependency_release.released));
        let overdue = |since: &MonotonicTime| now.since(*since) > KEEPER_MAY_TAKE;
        let ready = self
            .dependency_graph
            .ready()
            .map(|id| (id, self.dependency_release.ready_since.get(id).is_some_and(overdue)));
        // One whose record will not be written must not keep others from theirs.
        let (first, again): (Vec<_>, Vec<_>) = ready.partition(|(id, _)| !tried.contains(*id));
        let ready = self.ours_of(first.into_iter().chain(again));
        self.dependency_release.ready_since.retain(|id, _| self.dependency_graph.is_ready(id));
        for id in self.dependency_graph.ready() {
            self.dependency_release.ready_since.entry(id.clone()).or_insert(now);
        }
        self.dependency_release.released = ready.iter().cloned().collect();
        self.rewrite_waiting(ready, may_start);
    }

    /// Writes the ends of jobs that follow cancelled ones, with writes that
    /// nobody else has use for: users are answered without.
    pub(crate) fn write_dependency_outcomes(&mut self) {
        let idle = self.store.writes_above(self.now, 0.5);
        if !idle || !self.records_fresh() || !self.store.may_send(self.now) {
            return;
        }
        let end = |_: &Core, record: &JobRecord| JobRecord {
            end: Some(JobOutcome::Cancelled),
            dependencies: Dependencies::default(),
            ..record.clone()
        };
        let cancelled = self.ours_of(self.dependency_graph.cancelled().map(|id| (id, false)));
        self.rewrite_waiting(cancelled, end);
    }

    /// Of these jobs, some that this node may change now; with each, whether any may.
    fn ours_of<'a>(&self, jobs: impl Iterator<Item = (&'a JobId, bool)>) -> Vec<JobId> {
        let most = MOST_AT_ONCE.min(self.settings.cluster.state.txn_ops);
        let owned_shard =
            jobs.filter(|(id, any)| !self.store.is_key_busy(&job_key(id)) && (*any || self.keeps_chain(id)));
        owned_shard.take(most).map(|(id, _)| id.clone()).collect()
    }

    fn rewrite_waiting(&mut self, jobs: Vec<JobId>, to: impl Fn(&Core, &JobRecord) -> JobRecord) {
        let mut transaction = Transaction::default();
        for id in jobs {
            let Some(job) = self.cache.jobs.get(&id).filter(|j| j.record.waits()) else { continue };
            let Ok(value) = serde_json::to_value(to(self, &job.record)) else { continue };
            transaction.conditions.push(Condition { key: job_key(&id), version: job.version });
            transaction.changes.push(Change::put(job_key(&id), value));
        }
        if !transaction.changes.is_empty() {
            self.submit_transaction(transaction);
        }
    }

    /// Looks up jobs that waiting ones name and that were put away.
    pub(crate) fn look_up_unknown_dependencies(&mut self) {
        if !self.store.is_loaded()
            || self.dependency_release.asking
            || self.now < self.dependency_release.next
            || !self.store.may_send(self.now)
        {
            return;
        }
        let Some(id) = self.dependency_graph.unknown_after(self.dependency_release.last.as_ref()).cloned() else {
            return;
        };
        self.dependency_release.asking = true;
        self.dependency_release.last = Some(id.clone());
        self.store.charge_read(self.now);
        self.call_state(StoreRequest::Get { key: archived_job_key(&id) }, PendingRequest::DependencyLookUp(id));
    }

    pub(crate) fn dependency_looked_up(&mut self, id: JobId, answer: StoreResponse) {
        self.dependency_release.asking = false;
        let Some(record) = self.take_archived(&id, answer) else {
            self.dependency_release.next = self.now + LOOK_AGAIN;
            return;
        };
        self.dependency_graph.ended(&id, record.end);
        self.release_soon = true;
    }

    /// A submission that names others: they are looked at one by one.
    pub(crate) fn submit_after(&mut self, request: RequestId, spec: Box<JobSpec>) {
        if !self.dependencies_enabled() {
            return self.refuse(request, Refusal::DependenciesNotEnabled);
        }
        let to_check = spec.dependencies.clone();
        if to_check.contains(&spec.id) {
            return self.refuse_unless_known(request, spec.id, InfeasibleJob::DependsOnItself.into());
        }
        self.check_dependencies(DependencyCheck {
            request,
            spec,
            checked: vec![],
            to_check,
            cancelled: false,
            archived: false,
        });
    }

    fn check_dependencies(&mut self, mut check: DependencyCheck) {
        check.archived = false;
        while let Some(name) = check.to_check.pop() {
            if let Some(job) = self.cache.jobs.get(&name) {
                if job.record.spec.kind == JobKind::Standing {
                    return self.refuse_unless_known(
                        check.request,
                        check.spec.id,
                        InfeasibleJob::DependsOnService(name).into(),
                    );
                }
            }
            match Core::known(&self.cache, &name) {
                Known::Unknown => {
                    check.to_check.push(name);
                    return self.look_up_dependency(check);
                }
                Known::Ended(JobOutcome::Done) => {}
                Known::Ended(JobOutcome::Cancelled) => check.cancelled = true,
                Known::Open => check.checked.push(name),
            }
        }
        let DependencyCheck { request, spec, checked, cancelled, .. } = check;
        let record = if cancelled || !checked.is_empty() {
            JobRecord {
                plan: Some(SlicePlan { size: 1, shards: vec![] }),
                end: cancelled.then_some(JobOutcome::Cancelled),
                dependencies: Dependencies(if cancelled { vec![] } else { checked }),
                ..JobRecord::new((*spec).clone(), self.time_of_day_ms)
            }
        } else {
            JobRecord { plan: self.first_plan(&spec), ..JobRecord::new((*spec).clone(), self.time_of_day_ms) }
        };
        self.write_submission(request, spec, record);
    }

    /// Reads the name that is next.
    fn look_up_dependency(&mut self, check: DependencyCheck) {
        let Some(id) = check.to_check.last().filter(|_| self.afford(check.request, 1.0)) else { return };
        let key = if check.archived { archived_job_key(id) } else { job_key(id) };
        self.call_state(StoreRequest::Get { key }, PendingRequest::DependencyCheck(check));
    }

    pub(crate) fn name_read(&mut self, mut check: DependencyCheck, answer: StoreResponse) {
        let Some(id) = check.to_check.last().cloned() else { return };
        match answer {
            StoreResponse::Missing(_) if !check.archived => {
                check.archived = true;
                self.look_up_dependency(check);
            }
            StoreResponse::Missing(_) => {
                self.refuse_unless_known(check.request, check.spec.id, InfeasibleJob::DependencyNotFound(id).into());
            }
            StoreResponse::Found(_) => {
                let read = if check.archived {
                    self.take_archived(&id, answer).is_some()
                } else {
                    self.take_job(answer).is_some()
                };
                match read {
                    true => self.check_dependencies(check),
                    false => self.refuse(check.request, Refusal::DependencyUnreadable),
                }
            }
            _ => self.refuse(check.request, Refusal::StoreUnavailable),
        }
    }
}

#[cfg(test)]
mod tests;
