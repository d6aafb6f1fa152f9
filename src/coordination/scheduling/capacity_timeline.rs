//! What a machine has free now, and what comes free when.
//!
//! Each candidate machine of a scheduling cycle owns one timeline, filled from the tasks on
//! the machine. The cycle reserves capacity on it for the tasks it places or lets wait. It
//! is a plan that is forgotten with the cycle: nothing is started or stopped here.

use crate::coordination::scheduling::resources::Resources;

/// A change of the free capacity.
#[derive(Debug, Clone)]
struct CapacityChange {
    /// When, in seconds from now.
    at_s: f64,
    /// What is freed, or, if negative, taken by a reservation.
    delta: Resources,
}

/// The free capacity of one machine over time.
#[derive(Debug, Clone, Default)]
pub(crate) struct CapacityTimeline {
    /// What is free now.
    pub free: Resources,
    /// Later changes, in the order of time once `sort_changes` has run.
    changes: Vec<CapacityChange>,
    /// Number of changes up to the last one that takes capacity: after them, what is free
    /// only grows.
    changes_through_last_decrease: usize,
}

impl CapacityTimeline {
    /// The timeline of a machine that has so much and runs nothing.
    pub fn new(free: Resources) -> CapacityTimeline {
        CapacityTimeline { free, changes: vec![], changes_through_last_decrease: 0 }
    }

    /// Takes what a task on the machine holds, for `remaining_s` seconds or, if that is
    /// none, for ever. After the last of these calls comes `sort_changes`.
    pub fn add_task(&mut self, need: &Resources, remaining_s: Option<f64>) {
        self.free -= *need;
        if let Some(at_s) = remaining_s {
            self.changes.push(CapacityChange { at_s, delta: *need });
        }
    }

    /// Sorts the changes by time, once for all tasks that were added.
    pub fn sort_changes(&mut self) {
        self.changes.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    }

    /// Seconds until `need` is free and stays free; none if it never is.
    ///
    /// Capacity that comes free but is reserved does not count. When it did, one core was
    /// promised to all waiting tasks, which kept them from machines that stood idle.
    pub fn wait_s(&self, need: &Resources) -> Option<f64> {
        let mut free = self.free;
        let mut free_since_s = need.fits_into(&free).then_some(0.0);
        for (index, change) in self.changes.iter().enumerate() {
            if free_since_s.is_some() && index >= self.changes_through_last_decrease {
                break;
            }
            free += change.delta;
            free_since_s = if need.fits_into(&free) { free_since_s.or(Some(change.at_s)) } else { None };
        }
        free_since_s
    }

    /// Reserves `need` from `start_s` until `end_s`, both in seconds from now. A reservation
    /// that starts later leaves what is free now as it is.
    pub fn reserve(&mut self, need: &Resources, start_s: f64, end_s: f64) {
        if start_s > 0.0 {
            self.insert_change(start_s, -*need);
        } else {
            self.free -= *need;
        }
        self.insert_change(end_s, *need);
    }

    fn insert_change(&mut self, at_s: f64, delta: Resources) {
        let index = self.changes.partition_point(|change| change.at_s <= at_s);
        self.changes.insert(index, CapacityChange { at_s, delta });
        if delta.any_negative() {
            self.changes_through_last_decrease = self.changes_through_last_decrease.max(index) + 1;
        } else if index < self.changes_through_last_decrease {
            self.changes_through_last_decrease += 1;
        }
    }
}

#[cfg(test)]
mod tests;
