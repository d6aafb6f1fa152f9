//! Who needs whom: jobs that wait until others are done.
//!
//! A pure index, fed with what the records say. The rest of the core asks it
//! which jobs have become ready, which follow a cancelled one, and how urgent a
//! job is for the sake of those that need it. What it says of readiness and of
//! cancellations never goes back, because ends of jobs never do.
//!
//! Costs: a change is passed on to those that it changes anything for, a name
//! at a time; nothing here walks all jobs.

use crate::storage::effective_priority::EffectivePriority;
use crate::storage::records::JobOutcome;
use crate::units::JobId;
use std::collections::{BTreeMap, BTreeSet};

/// What is known of a job that another one names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Known {
    Open,
    Ended(JobOutcome),
    /// No record of it is held: it was put away, and must be looked up.
    Unknown,
}

/// A job that waits for others.
#[derive(Debug)]
struct Follower {
    names: Vec<JobId>,
    /// Those of them that are not known to be done.
    left: BTreeSet<JobId>,
    own: EffectivePriority,
    takes_ms: u64,
    cancelled: bool,
}

/// A job that others wait for, or waited for and have not begun since.
#[derive(Debug, Default)]
struct Needed {
    by: BTreeSet<JobId>,
    effective_priority: Option<EffectivePriority>,
}

/// The index.
#[derive(Debug, Default)]
pub struct DependencyGraph {
    followers: BTreeMap<JobId, Follower>,
    needed: BTreeMap<JobId, Needed>,
    unknown: BTreeSet<JobId>,
    ready: BTreeSet<JobId>,
    cancelled: BTreeSet<JobId>,
    /// Jobs whose urge changed since that was asked.
    pressed: BTreeSet<JobId>,
}

impl DependencyGraph {
    /// A job waits for others. `takes_ms` is what it is expected to take once
    /// it may start. Names of a waiting job never change: said again, nothing
    /// happens.
    pub fn add(
        &mut self,
        id: &JobId,
        names: &[JobId],
        own: EffectivePriority,
        takes_ms: u64,
        known: impl Fn(&JobId) -> Known,
    ) {
        if self.followers.contains_key(id) {
            return;
        }
        let mut left = BTreeSet::new();
        let mut cancelled = false;
        for name in names {
            self.needed.entry(name.clone()).or_default().by.insert(id.clone());
            match known(name) {
                Known::Ended(JobOutcome::Done) => continue,
                Known::Ended(JobOutcome::Cancelled) => cancelled = true,
                Known::Open => cancelled |= self.is_cancelled(name),
                Known::Unknown => {
                    self.unknown.insert(name.clone());
                }
            }
            left.insert(name.clone());
        }
        let ready = left.is_empty();
        let follower = Follower { names: names.to_vec(), left, own, takes_ms, cancelled: false };
        self.followers.insert(id.clone(), follower);
        if cancelled {
            self.cancel(id);
        } else {
            if ready {
                self.ready.insert(id.clone());
            }
            self.press(names.to_vec());
        }
    }

    /// A job that a name stands for has a record, or has one again.
    pub fn seen(&mut self, id: &JobId) {
        self.unknown.remove(id);
    }

    /// A job ended, for good.
    pub fn ended(&mut self, id: &JobId, end: JobOutcome) {
        self.unknown.remove(id);
        let Some(needed) = self.needed.get(id) else { return };
        let by: Vec<JobId> = needed.by.iter().cloned().collect();
        for follower in by {
            match end {
                JobOutcome::Cancelled => self.cancel(&follower),
                JobOutcome::Done => {
                    let Some(f) = self.followers.get_mut(&follower) else { continue };
                    f.left.remove(id);
                    if f.left.is_empty() && !f.cancelled {
                        self.ready.insert(follower);
                    }
                }
            }
        }
    }

    /// The record of a job is gone from those that are held. If its end was
    /// not seen before, it must be looked up.
    pub fn lost(&mut self, id: &JobId) {
        let Some(needed) = self.needed.get(id) else { return };
        let open = |f: &JobId| self.followers.get(f).is_some_and(|f| !f.cancelled && f.left.contains(id));
        if needed.by.iter().any(open) {
            self.unknown.insert(id.clone());
        }
    }

    /// A job waits no longer: it may start, or its own end is durable.
    pub fn gone(&mut self, id: &JobId) {
        let Some(follower) = self.followers.remove(id) else { return };
        self.ready.remove(id);
        self.cancelled.remove(id);
        let mut changed = follower.names.clone();
        for name in &follower.names {
            let Some(needed) = self.needed.get_mut(name) else { continue };
            needed.by.remove(id);
            if needed.by.is_empty() {
                self.needed.remove(name);
                self.unknown.remove(name);
                self.pressed.insert(name.clone());
                // What it lent to those before it ends as well.
                changed.extend(self.followers.get(name).into_iter().flat_map(|f| f.names.iter().cloned()));
            }
        }
        self.press(changed);
    }

    /// Cancels a waiting job and all that follow it.
    fn cancel(&mut self, id: &JobId) {
        let mut next = vec![id.clone()];
        while let Some(id) = next.pop() {
            let Some(follower) = self.followers.get_mut(&id).filter(|f| !f.cancelled) else { continue };
            follower.cancelled = true;
            let names = follower.names.clone();
            self.ready.remove(&id);
            self.cancelled.insert(id.clone());
            self.press(names);
            if let Some(needed) = self.needed.get(&id) {
                next.extend(needed.by.iter().cloned());
            }
        }
    }

    /// Passes on what has changed for those that need these jobs.
    fn press(&mut self, mut names: Vec<JobId>) {
        while let Some(name) = names.pop() {
            let Some(needed) = self.needed.get(&name) else { continue };
            let urges = needed.by.iter().filter_map(|id| {
                let follower = self.followers.get(id).filter(|f| !f.cancelled)?;
                let all = self
                    .effective_priority(id)
                    .map_or(follower.own, |effective_priority| effective_priority.join(follower.own));
                Some(all.before(follower.takes_ms))
            });
            let effective_priority = urges.reduce(EffectivePriority::join);
            let Some(needed) = self.needed.get_mut(&name).filter(|n| n.effective_priority != effective_priority) else {
                continue;
            };
            needed.effective_priority = effective_priority;
            if let Some(follower) = self.followers.get(&name) {
                names.extend(follower.names.iter().cloned());
            }
            self.pressed.insert(name);
        }
    }

    /// True if a waiting job follows a cancelled one.
    pub fn is_cancelled(&self, id: &JobId) -> bool {
        self.cancelled.contains(id)
    }

    /// True if it cannot be told yet whether a waiting job follows a cancelled
    /// one, because one before it must be looked up first.
    pub fn unsettled(&self, id: &JobId) -> bool {
        if self.unknown.is_empty() {
            return false;
        }
        let mut looked = BTreeSet::new();
        let mut next = vec![id];
        while let Some(id) = next.pop() {
            if self.unknown.contains(id) {
                return true;
            }
            if looked.insert(id) {
                next.extend(self.followers.get(id).into_iter().flat_map(|f| &f.left));
            }
        }
        false
    }

    /// True if a record still names the job: it must not be put away.
    pub fn is_needed(&self, id: &JobId) -> bool {
        self.needed.contains_key(id)
    }

    /// How urgent a job is for the sake of those that need it, if any do.
    pub fn effective_priority(&self, id: &JobId) -> Option<EffectivePriority> {
        self.needed.get(id)?.effective_priority
    }

    /// Jobs whose urge may have changed since this was asked last.
    pub fn take_pressed(&mut self) -> BTreeSet<JobId> {
        std::mem::take(&mut self.pressed)
    }

    /// True if a waiting job may start.
    pub fn is_ready(&self, id: &JobId) -> bool {
        self.ready.contains(id)
    }

    /// Waiting jobs that may start.
    pub fn ready(&self) -> impl Iterator<Item = &JobId> {
        self.ready.iter()
    }

    /// Waiting jobs that follow a cancelled one, whose own end is not durable.
    pub fn cancelled(&self) -> impl Iterator<Item = &JobId> {
        self.cancelled.iter()
    }

    /// A job that must be looked up, the next after `last` in order, from the
    /// first again after the last.
    pub fn unknown_after(&self, last: Option<&JobId>) -> Option<&JobId> {
        let after = |last| self.unknown.range((std::ops::Bound::Excluded(last), std::ops::Bound::Unbounded)).next();
        last.and_then(after).or_else(|| self.unknown.first())
    }
}

#[cfg(test)]
mod tests;
