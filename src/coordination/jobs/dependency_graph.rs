//! Dependency graph of waiting jobs.
//!
//! A pure index that `dependency_release` updates from the job records. It tracks which jobs are
//! ready, which are cancelled through a dependency, and which priority a job inherits from its
//! dependents. Readiness and cancellation are never retracted, because the outcome of a job is final.
//! An update costs time proportional to the number of affected jobs; no operation iterates over all
//! jobs. The graph does not depend on records, the store or the clock.

use crate::storage::effective_priority::EffectivePriority;
use crate::storage::records::JobOutcome;
use crate::units::JobId;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// Known state of a job that another job depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DependencyState {
    /// Has not ended.
    Open,
    /// Has ended with this outcome.
    Ended(JobOutcome),
    /// Has no cached record: it was archived and must be looked up.
    Unknown,
}

/// A job that waits for its dependencies, as described by its record.
#[derive(Debug)]
pub struct WaitingJob {
    /// Jobs that must be done before this one can start.
    pub dependencies: Vec<JobId>,
    /// Priority and due time of the job itself, without inheritance from its dependents.
    pub own_priority: EffectivePriority,
    /// Expected time from release to completion, in milliseconds.
    pub expected_ms: u64,
}

/// A waiting job and the progress of its dependencies.
#[derive(Debug)]
struct Dependent {
    job: WaitingJob,
    /// Dependencies that are not known to be done.
    unfinished: BTreeSet<JobId>,
    cancelled: bool,
}

/// A job that at least one waiting job depends on.
#[derive(Debug, Default)]
struct Dependency {
    dependents: BTreeSet<JobId>,
    /// Priority inherited from the dependents that are not cancelled.
    inherited_priority: Option<EffectivePriority>,
}

/// Index of waiting jobs and their dependencies.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    dependents: BTreeMap<JobId, Dependent>,
    dependencies: BTreeMap<JobId, Dependency>,
    /// Dependencies with unknown state, which must be looked up.
    unknown: BTreeSet<JobId>,
    ready: BTreeSet<JobId>,
    cancelled: BTreeSet<JobId>,
    /// Jobs whose inherited priority changed since the last call of `take_reprioritized`.
    reprioritized: BTreeSet<JobId>,
}

impl DependencyGraph {
    /// Adds a waiting job. Adding it again has no effect, because the dependencies of a job never
    /// change.
    pub fn add(&mut self, id: &JobId, job: WaitingJob, state_of: impl Fn(&JobId) -> DependencyState) {
        if self.dependents.contains_key(id) {
            return;
        }
        let mut unfinished = BTreeSet::new();
        let mut cancelled = false;
        for dependency in &job.dependencies {
            self.dependencies.entry(dependency.clone()).or_default().dependents.insert(id.clone());
            match state_of(dependency) {
                DependencyState::Ended(JobOutcome::Done) => continue,
                DependencyState::Ended(JobOutcome::Cancelled) => cancelled = true,
                DependencyState::Open => cancelled |= self.is_cancelled(dependency),
                DependencyState::Unknown => {
                    self.unknown.insert(dependency.clone());
                }
            }
            unfinished.insert(dependency.clone());
        }
        let ready = unfinished.is_empty();
        let dependencies = job.dependencies.clone();
        self.dependents.insert(id.clone(), Dependent { job, unfinished, cancelled: false });
        if cancelled {
            self.cancel(id);
            return;
        }
        if ready {
            self.ready.insert(id.clone());
        }
        self.propagate_priority(dependencies);
    }

    /// Marks a job as having a record, so that it need not be looked up.
    pub fn mark_known(&mut self, id: &JobId) {
        self.unknown.remove(id);
    }

    /// Records the final outcome of a job and updates its dependents.
    pub fn mark_ended(&mut self, id: &JobId, outcome: JobOutcome) {
        self.unknown.remove(id);
        let Some(dependency) = self.dependencies.get(id) else { return };
        for dependent in dependency.dependents.clone() {
            match outcome {
                JobOutcome::Cancelled => self.cancel(&dependent),
                JobOutcome::Done => self.mark_dependency_done(&dependent, id),
            }
        }
    }

    fn mark_dependency_done(&mut self, id: &JobId, dependency: &JobId) {
        let Some(dependent) = self.dependents.get_mut(id) else { return };
        dependent.unfinished.remove(dependency);
        if dependent.unfinished.is_empty() && !dependent.cancelled {
            self.ready.insert(id.clone());
        }
    }

    /// Records that a job's record has left the cache. The job must be looked up if a dependent still
    /// waits for its outcome.
    pub fn mark_record_removed(&mut self, id: &JobId) {
        let Some(dependency) = self.dependencies.get(id) else { return };
        let waits = |dependent: &JobId| {
            self.dependents.get(dependent).is_some_and(|d| !d.cancelled && d.unfinished.contains(id))
        };
        if dependency.dependents.iter().any(waits) {
            self.unknown.insert(id.clone());
        }
    }

    /// Removes a job that no longer waits, because it was released or its own outcome is durable.
    pub fn remove(&mut self, id: &JobId) {
        let Some(removed) = self.dependents.remove(id) else { return };
        self.ready.remove(id);
        self.cancelled.remove(id);
        let mut changed = removed.job.dependencies.clone();
        for dependency_id in &removed.job.dependencies {
            let Some(dependency) = self.dependencies.get_mut(dependency_id) else { continue };
            dependency.dependents.remove(id);
            if dependency.dependents.is_empty() {
                self.dependencies.remove(dependency_id);
                self.unknown.remove(dependency_id);
                self.reprioritized.insert(dependency_id.clone());
                // Without dependents, the dependency inherits no priority. If it still waits for dependencies itself,
                // their inherited priorities must be recomputed too.
                changed.extend(
                    self.dependents.get(dependency_id).into_iter().flat_map(|d| d.job.dependencies.iter().cloned()),
                );
            }
        }
        self.propagate_priority(changed);
    }

    /// Cancels a waiting job and its direct and indirect dependents.
    fn cancel(&mut self, id: &JobId) {
        let mut to_cancel = vec![id.clone()];
        while let Some(id) = to_cancel.pop() {
            let Some(dependent) = self.dependents.get_mut(&id).filter(|d| !d.cancelled) else { continue };
            dependent.cancelled = true;
            let dependencies = dependent.job.dependencies.clone();
            self.ready.remove(&id);
            self.cancelled.insert(id.clone());
            self.propagate_priority(dependencies);
            if let Some(dependency) = self.dependencies.get(&id) {
                to_cancel.extend(dependency.dependents.iter().cloned());
            }
        }
    }

    /// Recomputes the inherited priorities of these jobs and propagates changes to their own
    /// dependencies.
    fn propagate_priority(&mut self, mut to_update: Vec<JobId>) {
        while let Some(id) = to_update.pop() {
            let Some(inherited) = self.compute_inherited_priority(&id) else { continue };
            let Some(dependency) = self.dependencies.get_mut(&id) else { continue };
            if dependency.inherited_priority == inherited {
                continue;
            }
            dependency.inherited_priority = inherited;
            if let Some(dependent) = self.dependents.get(&id) {
                to_update.extend(dependent.job.dependencies.iter().cloned());
            }
            self.reprioritized.insert(id);
        }
    }

    /// Computes the priority that a job inherits from its dependents. The outer option is `None` if
    /// the job has no dependents, the inner one if all of them are cancelled.
    fn compute_inherited_priority(&self, id: &JobId) -> Option<Option<EffectivePriority>> {
        let dependency = self.dependencies.get(id)?;
        let priorities = dependency.dependents.iter().filter_map(|dependent_id| {
            let dependent = self.dependents.get(dependent_id).filter(|d| !d.cancelled)?;
            let own = dependent.job.own_priority;
            let effective = self.inherited_priority(dependent_id).map_or(own, |inherited| inherited.join(own));
            Some(effective.due_earlier_by(dependent.job.expected_ms))
        });
        Some(priorities.reduce(EffectivePriority::join))
    }

    /// True if a waiting job is cancelled because one of its dependencies is.
    pub fn is_cancelled(&self, id: &JobId) -> bool {
        self.cancelled.contains(id)
    }

    /// True if it is unknown whether a waiting job is cancelled, because a direct or indirect
    /// dependency must be looked up first.
    pub fn is_unresolved(&self, id: &JobId) -> bool {
        if self.unknown.is_empty() {
            return false;
        }
        let mut visited = BTreeSet::new();
        let mut to_visit = vec![id];
        while let Some(id) = to_visit.pop() {
            if self.unknown.contains(id) {
                return true;
            }
            if visited.insert(id) {
                to_visit.extend(self.dependents.get(id).into_iter().flat_map(|d| &d.unfinished));
            }
        }
        false
    }

    /// True if a waiting job depends on this job, which must then not be archived.
    pub fn is_needed(&self, id: &JobId) -> bool {
        self.dependencies.contains_key(id)
    }

    /// Returns the priority that a job inherits from its dependents, if any.
    pub fn inherited_priority(&self, id: &JobId) -> Option<EffectivePriority> {
        self.dependencies.get(id)?.inherited_priority
    }

    /// Returns and clears the set of jobs whose inherited priority may have changed since the last
    /// call.
    pub fn take_reprioritized(&mut self) -> BTreeSet<JobId> {
        std::mem::take(&mut self.reprioritized)
    }

    /// True if the job is waiting and all its dependencies are done.
    pub fn is_ready(&self, id: &JobId) -> bool {
        self.ready.contains(id)
    }

    /// Returns the waiting jobs that may start, in order of their ids.
    pub fn ready(&self) -> impl Iterator<Item = &JobId> {
        self.ready.iter()
    }

    /// Returns the waiting jobs that are cancelled through a dependency and whose own outcome is not
    /// durable yet, in order of their ids.
    pub fn cancelled(&self) -> impl Iterator<Item = &JobId> {
        self.cancelled.iter()
    }

    /// Returns the job to look up next: the first unknown one after `last` in id order, wrapping around
    /// to the first of all.
    pub fn next_unknown(&self, last: Option<&JobId>) -> Option<&JobId> {
        let after = |last| self.unknown.range((Bound::Excluded(last), Bound::Unbounded)).next();
        last.and_then(after).or_else(|| self.unknown.first())
    }
}

#[cfg(test)]
mod tests;
