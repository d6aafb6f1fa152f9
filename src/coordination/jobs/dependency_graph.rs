//! The dependency graph: which waiting jobs depend on which others.
//!
//! A pure index, fed by `dependency_release` with what the records say. It tells which jobs have
//! become ready, which are cancelled through a dependency, and what priority a job inherits from
//! those that depend on it. What it says of readiness and of cancellation is never taken back,
//! because a job that ended stays so. A change costs as much as the jobs that it changes something
//! for; nothing here walks over all jobs. It knows nothing of records, the store or time.

use crate::storage::effective_priority::EffectivePriority;
use crate::storage::records::JobOutcome;
use crate::units::JobId;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

/// What is known of a job that another one depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DependencyState {
    /// It has not ended.
    Open,
    /// It ended.
    Ended(JobOutcome),
    /// No record of it is held: it was archived and must be looked up.
    Unknown,
}

/// A job that waits for others, as its record describes it.
#[derive(Debug)]
pub struct WaitingJob {
    /// The jobs that have to be done before it starts.
    pub dependencies: Vec<JobId>,
    /// Its own priority and due time, without those that it inherits.
    pub own_priority: EffectivePriority,
    /// How long it is expected to take once it may start, in milliseconds.
    pub expected_ms: u64,
}

/// A waiting job and how far its dependencies are.
#[derive(Debug)]
struct Dependent {
    job: WaitingJob,
    /// Its dependencies that are not known to be done.
    unfinished: BTreeSet<JobId>,
    cancelled: bool,
}

/// A job that waiting jobs depend on.
#[derive(Debug, Default)]
struct Dependency {
    dependents: BTreeSet<JobId>,
    /// The priority that it inherits from them.
    inherited_priority: Option<EffectivePriority>,
}

/// The index of waiting jobs and of those that they depend on.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    dependents: BTreeMap<JobId, Dependent>,
    dependencies: BTreeMap<JobId, Dependency>,
    /// Dependencies that must be looked up.
    unknown: BTreeSet<JobId>,
    ready: BTreeSet<JobId>,
    cancelled: BTreeSet<JobId>,
    /// Jobs whose inherited priority changed since that was last asked for.
    reprioritized: BTreeSet<JobId>,
}

impl DependencyGraph {
    /// Adds a job that waits for others. The dependencies of a job never change, so adding it again
    /// does nothing.
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

    /// A job has a record, possibly again: it need not be looked up.
    pub fn found(&mut self, id: &JobId) {
        self.unknown.remove(id);
    }

    /// A job ended, for good.
    pub fn ended(&mut self, id: &JobId, outcome: JobOutcome) {
        self.unknown.remove(id);
        let Some(dependency) = self.dependencies.get(id) else { return };
        for dependent in dependency.dependents.clone() {
            match outcome {
                JobOutcome::Cancelled => self.cancel(&dependent),
                JobOutcome::Done => self.dependency_done(&dependent, id),
            }
        }
    }

    fn dependency_done(&mut self, id: &JobId, dependency: &JobId) {
        let Some(dependent) = self.dependents.get_mut(id) else { return };
        dependent.unfinished.remove(dependency);
        if dependent.unfinished.is_empty() && !dependent.cancelled {
            self.ready.insert(id.clone());
        }
    }

    /// The record of a job is no longer held. If its end was not seen before, it must be looked up.
    pub fn record_removed(&mut self, id: &JobId) {
        let Some(dependency) = self.dependencies.get(id) else { return };
        let waits = |dependent: &JobId| {
            self.dependents.get(dependent).is_some_and(|d| !d.cancelled && d.unfinished.contains(id))
        };
        if dependency.dependents.iter().any(waits) {
            self.unknown.insert(id.clone());
        }
    }

    /// Removes a job that no longer waits: it may start, or its own end is durable.
    pub fn remove(&mut self, id: &JobId) {
        let Some(removed) = self.dependents.remove(id) else { return };
        self.ready.remove(id);
        self.cancelled.remove(id);
        let mut changed = removed.job.dependencies.clone();
        for name in &removed.job.dependencies {
            let Some(dependency) = self.dependencies.get_mut(name) else { continue };
            dependency.dependents.remove(id);
            if dependency.dependents.is_empty() {
                self.dependencies.remove(name);
                self.unknown.remove(name);
                self.reprioritized.insert(name.clone());
                // What it passed on to its own dependencies ends as well.
                changed.extend(self.dependents.get(name).into_iter().flat_map(|d| d.job.dependencies.iter().cloned()));
            }
        }
        self.propagate_priority(changed);
    }

    /// Cancels a waiting job and all that depend on it.
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

    /// Works out anew what these jobs inherit, and passes changes on to their own dependencies.
    fn propagate_priority(&mut self, mut names: Vec<JobId>) {
        while let Some(name) = names.pop() {
            let Some(inherited) = self.inheritance_of(&name) else { continue };
            let Some(dependency) = self.dependencies.get_mut(&name) else { continue };
            if dependency.inherited_priority == inherited {
                continue;
            }
            dependency.inherited_priority = inherited;
            if let Some(dependent) = self.dependents.get(&name) {
                names.extend(dependent.job.dependencies.iter().cloned());
            }
            self.reprioritized.insert(name);
        }
    }

    /// The priority that a job inherits from those that depend on it, if any priority. None if
    /// nothing depends on the job.
    fn inheritance_of(&self, name: &JobId) -> Option<Option<EffectivePriority>> {
        let dependency = self.dependencies.get(name)?;
        let priorities = dependency.dependents.iter().filter_map(|id| {
            let dependent = self.dependents.get(id).filter(|d| !d.cancelled)?;
            let own = dependent.job.own_priority;
            let effective = self.effective_priority(id).map_or(own, |inherited| inherited.join(own));
            Some(effective.due_earlier_by(dependent.job.expected_ms))
        });
        Some(priorities.reduce(EffectivePriority::join))
    }

    /// True if a waiting job is cancelled because one that it depends on is.
    pub fn is_cancelled(&self, id: &JobId) -> bool {
        self.cancelled.contains(id)
    }

    /// True if it is not known yet whether a waiting job is cancelled, because a job that it depends
    /// on, directly or not, must be looked up first.
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

    /// True if a waiting job depends on the job: it must not be archived.
    pub fn is_needed(&self, id: &JobId) -> bool {
        self.dependencies.contains_key(id)
    }

    /// The priority that a job inherits from those that depend on it, if any do.
    pub fn effective_priority(&self, id: &JobId) -> Option<EffectivePriority> {
        self.dependencies.get(id)?.inherited_priority
    }

    /// Jobs whose inherited priority may have changed since this was last called.
    pub fn take_reprioritized(&mut self) -> BTreeSet<JobId> {
        std::mem::take(&mut self.reprioritized)
    }

    /// True if all that a waiting job depends on is done.
    pub fn is_ready(&self, id: &JobId) -> bool {
        self.ready.contains(id)
    }

    /// Waiting jobs that may start, in order of their ids.
    pub fn ready(&self) -> impl Iterator<Item = &JobId> {
        self.ready.iter()
    }

    /// Waiting jobs that are cancelled through a dependency and whose own end is not durable, in
    /// order of their ids.
    pub fn cancelled(&self) -> impl Iterator<Item = &JobId> {
        self.cancelled.iter()
    }

    /// The job to be looked up next: the first after `last` in order of ids, or the first of all.
    pub fn next_unknown(&self, last: Option<&JobId>) -> Option<&JobId> {
        let after = |last| self.unknown.range((Bound::Excluded(last), Bound::Unbounded)).next();
        last.and_then(after).or_else(|| self.unknown.first())
    }
}

#[cfg(test)]
mod tests;
