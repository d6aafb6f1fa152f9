//! Free capacity of a machine over time.
//!
//! Each candidate machine of a scheduling cycle owns one timeline, filled from the tasks on the
//! machine. The cycle reserves capacity on it for the tasks that it places or plans to start later.
//! The timeline is dropped with the cycle; it starts and stops no task.

use crate::coordination::scheduling::resources::Resources;

/// A change of the free capacity at one point in time.
#[derive(Debug, Clone)]
struct CapacityChange {
    /// Time of the change, in seconds from now.
    at_s: f64,
    /// Capacity that is released; negative for capacity that a reservation takes.
    delta: Resources,
}

/// Free capacity of one machine over time.
#[derive(Debug, Clone, Default)]
pub(crate) struct CapacityTimeline {
    /// Capacity that is free now.
    pub free: Resources,
    /// Later changes, sorted by time once `sort_changes` has run.
    changes: Vec<CapacityChange>,
    /// Number of changes up to and including the last one that takes capacity. After them, the free
    /// capacity only grows.
    changes_through_last_decrease: usize,
}

impl CapacityTimeline {
    /// Creates the timeline of an empty machine with this capacity.
    pub fn new(free: Resources) -> CapacityTimeline {
        CapacityTimeline { free, changes: vec![], changes_through_last_decrease: 0 }
    }

    /// Subtracts the capacity of a task on the machine, for `remaining_s` seconds, or indefinitely
    /// if that is `None`. Call `sort_changes` after the last task.
    pub fn add_task(&mut self, need: &Resources, remaining_s: Option<f64>) {
        self.free -= *need;
        if let Some(at_s) = remaining_s {
            self.changes.push(CapacityChange { at_s, delta: *need });
        }
    }

    /// Sorts the changes by time, once after all tasks were added.
    pub fn sort_changes(&mut self) {
        self.changes.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    }

    /// Returns the seconds until `need` is free and stays free; `None` if it never is.
    ///
    /// Capacity that is released but reserved does not count. Counting it would promise the same
    /// core to every waiting task and keep those tasks from idle machines.
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

    /// Reserves `need` from `start_s` until `end_s`, both in seconds from now. A reservation that
    /// starts later does not change what is free now.
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
