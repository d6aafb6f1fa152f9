//! Releases waiting jobs whose dependencies are all done, and cancels the dependents of cancelled
//! jobs.
//!
//! The record of a waiting job has a plan without slices, so no controller starts its tasks. A
//! transaction conditional on the version of the record gives it the plan of an independent job. A
//! cancellation through a dependency follows from the records of the dependencies and is reported to
//! users at once; the job's own outcome is written later, when the store is idle. If two controllers
//! change the same record concurrently, the version condition lets only one of them succeed.

use crate::coordination::jobs::dependency_check::dependency_state;
use crate::coordination::jobs::dependency_graph::{DependencyGraph, WaitingJob};
use crate::coordination::jobs::put_job_record;
use crate::coordination::membership::feature_level::supports_dependencies;
use crate::coordination::Core;
use crate::protocol::state::{Condition, Transaction};
use crate::storage::cache::Job;
use crate::storage::effective_priority::EffectivePriority;
use crate::storage::records::{job_key, Dependencies, JobOutcome, JobRecord};
use crate::units::{JobId, Millis, MonotonicTime, NodeName, ShardId};
use std::collections::{BTreeMap, BTreeSet};

/// How long the responsible controller has to release a ready job. After that, any controller that
/// supports dependencies may release it.
const RESPONSIBLE_TIMEOUT: Millis = Millis(3000);

/// Maximum number of waiting jobs that one transaction changes.
const MAX_PER_TRANSACTION: usize = 8;

/// Time that a task needs in addition to its run time, in seconds: pulling its image and finding a
/// machine. Used to estimate when dependencies of other jobs are due.
const TASK_OVERHEAD_S: f64 = 4.0;

/// Ratio of the run time of a job's last task to end to that of a typical task.
const LAST_TASK_FACTOR: f64 = 1.5;

/// Maximum overdraft of the write budget for releasing jobs, in seconds' worth of writes.
const MAX_CREDIT_S: f64 = 0.5;

/// Cancellations are written only while the unused write budget exceeds this many seconds' worth of
/// writes.
const MIN_UNUSED_WRITES_S: f64 = 0.5;

/// Progress of releasing ready jobs: when each became ready, and which ones the last transaction
/// included.
#[derive(Debug, Default)]
pub(crate) struct DependencyRelease {
    requested: bool,
    /// When this node first saw each ready job as ready.
    ready_since: BTreeMap<JobId, MonotonicTime>,
    /// Jobs included in the last release transaction.
    attempted: BTreeSet<JobId>,
}

/// A waiting job whose record needs a change.
#[derive(Debug)]
struct Candidate<'a> {
    id: &'a JobId,
    /// True if any controller may change the record, not only the responsible one.
    overdue: bool,
}

impl DependencyRelease {
    /// True if the next release must not wait for housekeeping.
    pub(crate) fn is_requested(&self) -> bool {
        self.requested
    }

    /// Requests a release before the next housekeeping.
    pub(crate) fn request(&mut self) {
        self.requested = true;
    }

    /// Returns the ready jobs. Jobs attempted by the last transaction come last, so that a job whose
    /// record cannot be written does not block the others.
    fn candidates<'a>(&self, graph: &'a DependencyGraph, now: MonotonicTime) -> Vec<Candidate<'a>> {
        let overdue = |id| self.ready_since.get(id).is_some_and(|since| now.since(*since) > RESPONSIBLE_TIMEOUT);
        let ready = graph.ready().map(|id| Candidate { id, overdue: overdue(id) });
        let (attempted, mut candidates): (Vec<_>, Vec<_>) =
            ready.partition(|candidate| self.attempted.contains(candidate.id));
        candidates.extend(attempted);
        candidates
    }

    /// Records which jobs are ready now and which of them the next transaction releases.
    fn note_attempt(&mut self, graph: &DependencyGraph, released: &[JobId], now: MonotonicTime) {
        self.ready_since.retain(|id, _| graph.is_ready(id));
        for id in graph.ready() {
            self.ready_since.entry(id.clone()).or_insert(now);
        }
        self.attempted = released.iter().cloned().collect();
    }
}

impl Core {
    /// Updates the dependency graph from a job's record, and the effective priorities of jobs that the
    /// update changes.
    pub(crate) fn track_dependencies(&mut self, id: &JobId) {
        let Some(job) = self.cache.jobs.get(id) else { return };
        if let Some(end) = job.record.outcome {
            self.dependency_graph.mark_ended(id, end);
            self.dependency_graph.remove(id);
        } else if job.record.waits_for_dependencies() {
            let waiting = self.waiting_job(job);
            let cache = &self.cache;
            self.dependency_graph.mark_known(id);
            self.dependency_graph.add(id, waiting, |dependency| dependency_state(cache, dependency));
        } else {
            self.dependency_graph.mark_known(id);
            self.dependency_graph.remove(id);
        }
        for changed in self.dependency_graph.take_reprioritized().iter().chain([id]) {
            if let Some(job) = self.cache.jobs.get_mut(changed) {
                job.effective_priority = self.dependency_graph.inherited_priority(changed);
            }
        }
        if self.dependency_graph.ready().next().is_some() {
            self.dependency_release.request();
        }
    }

    fn waiting_job(&self, job: &Job) -> WaitingJob {
        let (record, spec) = (&job.record, &job.record.spec);
        let due_ms = |deadline_s: f64| record.accepted_at_ms + (deadline_s * 1000.0) as u64;
        let own_priority = EffectivePriority { priority: spec.priority, due_ms: spec.deadline_s.map(due_ms) };
        let expected_s = self.estimates.expected_run_s(job) * LAST_TASK_FACTOR + TASK_OVERHEAD_S;
        WaitingJob {
            dependencies: record.dependencies.0.clone(),
            own_priority,
            expected_ms: (expected_s * 1000.0) as u64,
        }
    }

    /// Releases ready jobs by writing their initial plans.
    pub(crate) fn release_ready_jobs(&mut self) {
        self.dependency_release.requested = false;
        // Like submissions, releases take precedence over other writes.
        let affordable = self.store.write_budget_above(self.now, -MAX_CREDIT_S);
        if !affordable || !self.records_fresh() || !self.store.may_send(self.now) {
            return;
        }
        let candidates = self.dependency_release.candidates(&self.dependency_graph, self.now);
        let chosen = self.select_candidates(candidates);
        self.dependency_release.note_attempt(&self.dependency_graph, &chosen, self.now);
        self.rewrite_waiting_jobs(&chosen, |core, record| JobRecord {
            plan: core.initial_plan(&record.spec),
            dependencies: Dependencies::default(),
            ready_at_ms: Some(core.time_of_day_ms.max(record.accepted_at_ms)),
            ..record.clone()
        });
    }

    /// Writes the outcomes of jobs that were cancelled through a dependency. Uses only spare write
    /// capacity, because users are answered without these writes.
    pub(crate) fn write_dependency_cancellations(&mut self) {
        let idle = self.store.write_budget_above(self.now, MIN_UNUSED_WRITES_S);
        if !idle || !self.records_fresh() || !self.store.may_send(self.now) {
            return;
        }
        let candidates = self.dependency_graph.cancelled().map(|id| Candidate { id, overdue: false }).collect();
        let chosen = self.select_candidates(candidates);
        self.rewrite_waiting_jobs(&chosen, |_, record| JobRecord {
            outcome: Some(JobOutcome::Cancelled),
            dependencies: Dependencies::default(),
            ..record.clone()
        });
    }

    /// Selects the candidates that this node may change now, up to the size limit of a transaction.
    fn select_candidates(&self, candidates: Vec<Candidate>) -> Vec<JobId> {
        let max_jobs = MAX_PER_TRANSACTION.min(self.settings.cluster.state.txn_ops);
        let changeable = |candidate: &Candidate| {
            !self.store.is_key_busy(&job_key(candidate.id))
                && (candidate.overdue || self.is_responsible_for(candidate.id))
        };
        candidates.into_iter().filter(changeable).take(max_jobs).map(|candidate| candidate.id.clone()).collect()
    }

    /// True if this node is responsible for changing a waiting job's record. The responsible node is
    /// the owner of the shard that the job's id hashes to, or, if that node does not support
    /// dependencies, the first live node by name that does.
    fn is_responsible_for(&self, id: &JobId) -> bool {
        let supported = |node: &&NodeName| self.cache.nodes.get(*node).is_some_and(supports_dependencies);
        let owner = self.cache.owner(ShardId::of(id.as_str(), self.shard_count)).filter(supported);
        let first_live = || self.cache.live_nodes().map(|(node, _)| node).filter(supported).min();
        owner.or_else(first_live) == Some(&self.node_name)
    }

    /// Rewrites the records of those jobs that still wait, in one transaction.
    fn rewrite_waiting_jobs(&mut self, jobs: &[JobId], rewrite: impl Fn(&Core, &JobRecord) -> JobRecord) {
        let mut transaction = Transaction::default();
        for id in jobs {
            let Some(job) = self.cache.jobs.get(id).filter(|job| job.record.waits_for_dependencies()) else { continue };
            let Some(change) = put_job_record(id, &rewrite(self, &job.record)) else { continue };
            transaction.conditions.push(Condition { key: job_key(id), version: job.version });
            transaction.changes.push(change);
        }
        if !transaction.changes.is_empty() {
            self.submit_transaction(transaction);
        }
    }
}
