//! Runs the leader's work: all of it with each housekeeping, and the assignment of new slices soon after new jobs
//! arrive.
//!
//! Called by the core. The decisions are made in `slice_assignment` and `fleet`.

use crate::coordination::leader::slice_assignment::AssignmentScope;
use crate::coordination::Core;

impl Core {
    /// Assigns slices of new jobs, moves waiting slices, and scales the fleet. Does nothing unless this controller
    /// is the leader.
    pub(crate) fn run_leader_cycle(&mut self) {
        if !self.may_act_as_leader() {
            return;
        }
        self.assign_slices(AssignmentScope::NewAndWaitingSlices);
        self.manage_fleet();
    }

    /// Assigns slices of new jobs between two leader cycles. Does nothing unless this controller is the leader.
    pub(crate) fn assign_new_slices(&mut self) {
        if self.may_act_as_leader() {
            self.assign_slices(AssignmentScope::NewSlices);
        }
    }

    /// True if this controller is the leader, its cache is fresh, and the store takes requests.
    fn may_act_as_leader(&self) -> bool {
        self.is_leader() && self.records_fresh() && self.store.may_send(self.now)
    }
}
