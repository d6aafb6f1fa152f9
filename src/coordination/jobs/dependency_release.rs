//! Lets waiting jobs start once all their dependencies are done, and ends those that follow a
//! cancelled one.
//!
//! A waiting job's record has a plan without slices, so no controller starts anything of it. One
//! transaction under the condition of its record gives it a plan like any other job's. That a waiting
//! job is cancelled through a dependency is known from the records of those before it and answered
//! from that at once; its own end is written later, when the store is idle. Two controllers that
//! change the same record do no harm: its version decides.

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

/// How long a ready job waits for the controller responsible for it: then any controller that
/// supports dependencies releases it.
const RESPONSIBLE_TIMEOUT: Millis = Millis(3000);

/// The most waiting jobs that one transaction changes.
const MAX_PER_TRANSACTION: usize = 8;

/// What a task takes beside its run time, in seconds: pulling its image and finding a machine. For
/// estimates of when the jobs that others depend on are due.
const STEP_OVERHEAD_S: f64 = 4.0;

/// The last task of a job to end takes longer than most, by this factor.
const LAST_TASK_FACTOR: f64 = 1.5;

/// Jobs are released on credit, until this share of a second's writes is owed.
const CREDIT_S: f64 = 0.5;

/// Outcomes are written only while more than this share of a second's writes is unused.
const IDLE_S: f64 = 0.5;

/// When ready jobs became so, and which of them a transaction was sent for.
#[derive(Debug, Default)]
pub(crate) struct DependencyRelease {
    requested: bool,
    /// Since when each job is ready, as seen by this node.
    ready_since: BTreeMap<JobId, MonotonicTime>,
    /// Jobs that the last transaction was to release.
    attempted: BTreeSet<JobId>,
}

/// A waiting job whose record is to be changed.
#[derive(Debug)]
struct Candidate<'a> {
    id: &'a JobId,
    /// Any controller may change it, not just the responsible one.
    overdue: bool,
}

impl DependencyRelease {
    /// True if a release must not wait for the next housekeeping.
    pub(crate) fn is_requested(&self) -> bool {
        self.requested
    }

    /// Asks for a release before the next housekeeping.
    pub(crate) fn request(&mut self) {
        self.requested = true;
    }

    /// The ready jobs, those first that the last transaction was not for: one whose record cannot be
    /// written must not hold up others.
    fn candidates<'a>(&self, graph: &'a DependencyGraph, now: MonotonicTime) -> Vec<Candidate<'a>> {
        let overdue = |id| self.ready_since.get(id).is_some_and(|since| now.since(*since) > RESPONSIBLE_TIMEOUT);
        let ready = graph.ready().map(|id| Candidate { id, overdue: overdue(id) });
        let (attempted, mut candidates): (Vec<_>, Vec<_>) =
            ready.partition(|candidate| self.attempted.contains(candidate.id));
        candidates.extend(attempted);
        candidates
    }

    /// Notes which jobs are ready now and which of them a transaction is sent for.
    fn note_attempt(&mut self, graph: &DependencyGraph, released: &[JobId], now: MonotonicTime) {
        self.ready_since.retain(|id, _| graph.is_ready(id));
        for id in graph.ready() {
            self.ready_since.entry(id.clone()).or_insert(now);
        }
        self.attempted = released.iter().cloned().collect();
    }
}

impl Core {
    /// Takes what a job's record says into the dependency graph.
    pub(crate) fn track_dependencies(&mut self, id: &JobId) {
        let Some(job) = self.cache.jobs.get(id) else { return };
        if let Some(end) = job.record.outcome {
            self.dependency_graph.ended(id, end);
            self.dependency_graph.remove(id);
        } else if job.record.waits_for_dependencies() {
            let waiting = self.waiting_job(job);
            let cache = &self.cache;
            self.dependency_graph.found(id);
            self.dependency_graph.add(id, waiting, |dependency| dependency_state(cache, dependency));
        } else {
            self.dependency_graph.found(id);
            self.dependency_graph.remove(id);
        }
        for changed in self.dependency_graph.take_reprioritized().iter().chain([id]) {
            if let Some(job) = self.cache.jobs.get_mut(changed) {
                job.effective_priority = self.dependency_graph.effective_priority(changed);
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
        let expected_s = self.estimates.run_time(job) * LAST_TASK_FACTOR + STEP_OVERHEAD_S;
        WaitingJob {
            dependencies: record.dependencies.0.clone(),
            own_priority,
            expected_ms: (expected_s * 1000.0) as u64,
        }
    }

    /// Lets ready jobs start.
    pub(crate) fn release_ready_jobs(&mut self) {
        self.dependency_release.requested = false;
        // Like submissions, releases go before other writes.
        let affordable = self.store.writes_above(self.now, -CREDIT_S);
        if !affordable || !self.records_fresh() || !self.store.may_send(self.now) {
            return;
        }
        let candidates = self.dependency_release.candidates(&self.dependency_graph, self.now);
        let chosen = self.choose_changeable(candidates);
        self.dependency_release.note_attempt(&self.dependency_graph, &chosen, self.now);
        self.rewrite_waiting_jobs(&chosen, |core, record| JobRecord {
            plan: core.first_plan(&record.spec),
            dependencies: Dependencies::default(),
            ready_at_ms: Some(core.time_of_day_ms.max(record.accepted_at_ms)),
            ..record.clone()
        });
    }

    /// Writes the ends of jobs that were cancelled through a dependency, with writes that nothing
    /// else needs: users are answered without them.
    pub(crate) fn write_dependency_outcomes(&mut self) {
        let idle = self.store.writes_above(self.now, IDLE_S);
        if !idle || !self.records_fresh() || !self.store.may_send(self.now) {
            return;
        }
        let candidates = self.dependency_graph.cancelled().map(|id| Candidate { id, overdue: false }).collect();
        let chosen = self.choose_changeable(candidates);
        self.rewrite_waiting_jobs(&chosen, |_, record| JobRecord {
            outcome: Some(JobOutcome::Cancelled),
            dependencies: Dependencies::default(),
            ..record.clone()
        });
    }

    /// Of these jobs, as many as fit into a transaction and that this node may change now.
    fn choose_changeable(&self, candidates: Vec<Candidate>) -> Vec<JobId> {
        let most = MAX_PER_TRANSACTION.min(self.settings.cluster.state.txn_ops);
        let changeable = |candidate: &Candidate| {
            !self.store.is_key_busy(&job_key(candidate.id))
                && (candidate.overdue || self.is_responsible_for(candidate.id))
        };
        candidates.into_iter().filter(changeable).take(most).map(|candidate| candidate.id.clone()).collect()
    }

    /// True if this node is the one to change a waiting job's record: the owner of the shard that the
    /// job's id hashes to, or the first live node if that one does not support dependencies.
    fn is_responsible_for(&self, id: &JobId) -> bool {
        let supported = |node: &&NodeName| self.cache.nodes.get(*node).is_some_and(supports_dependencies);
        let owner = self.cache.owner(ShardId::of(id.as_str(), self.shard_count)).filter(supported);
        let first = || self.cache.live_nodes().map(|(node, _)| node).filter(supported).min();
        owner.or_else(first) == Some(&self.node_name)
    }

    /// Changes the records of these jobs, if they still wait, in one transaction.
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
