//! Cores that a shard keeps free for classes whose tasks must start at once.
//!
//! An objective may ask that tasks start sooner than a machine rented for them would be up.
//! The scheduling cycle keeps other jobs off the reserve; the leader's demand adds it to what
//! it rents. The size follows from the jobs of such classes that were seen.

use crate::coordination::scheduling::candidate_machine::CandidateMachine;
use crate::coordination::scheduling::resources::Resources;
use crate::coordination::Core;
use crate::storage::names::InternedName;

/// Machines that fetch images at least this share as fast as the fastest hold the reserve.
const MIN_FETCH_RATE_RATIO: f64 = 0.75;

/// The largest share of a shard's cores that is kept free.
const MAX_RESERVED_SHARE: f64 = 0.02;

/// The reserve of one shard during one cycle.
pub(super) struct QuickStartReserve {
    /// Cores to be kept free; 0 if no class must start at once.
    reserved_cpus: f64,
    /// Cores that are free on the machines that hold the reserve.
    free_cpus: f64,
    /// The highest image fetch rate of the shard's machines, in gigabytes per second.
    fastest_fetch_gb_per_s: f64,
}

impl QuickStartReserve {
    /// The reserve on a shard's machines, as they are before anything is placed.
    pub fn new(reserved_cpus: f64, machines: &[CandidateMachine]) -> QuickStartReserve {
        let fastest = machines.iter().map(|machine| machine.machine_type.fetch_gb_per_s).fold(0.0, f64::max);
        let mut reserve = QuickStartReserve { reserved_cpus, free_cpus: 0.0, fastest_fetch_gb_per_s: fastest };
        let holders = machines.iter().filter(|machine| reserve.is_held_by(machine));
        reserve.free_cpus = holders.map(|machine| machine.capacity.free.cpus.max(0.0)).sum();
        reserve
    }

    /// True if the machine holds a share of the reserve.
    pub fn is_held_by(&self, machine: &CandidateMachine) -> bool {
        holds_reserve(machine.machine_type.fetch_gb_per_s, self.fastest_fetch_gb_per_s)
    }

    /// True if a task may not start on the machines that hold the reserve, because less than
    /// the reserve would be left there. Stays true for the rest of the cycle once it is.
    pub fn is_closed_to(&self, need: &Resources, quick_start: bool) -> bool {
        !quick_start && self.reserved_cpus > 0.0 && self.free_cpus - need.cpus < self.reserved_cpus
    }

    /// Counts a task that starts on the machine. Not undone if the task belongs to a gang
    /// that is rolled back: for the rest of the cycle, fewer cores count as free than are.
    pub fn record_start(&mut self, machine: &CandidateMachine, need: &Resources) {
        if self.is_held_by(machine) {
            self.free_cpus -= need.cpus;
        }
    }
}

impl Core {
    /// True if tasks of the class must start sooner than a machine rented for them would be
    /// up.
    pub(crate) fn needs_quick_start(&self, class: &InternedName) -> bool {
        self.objectives.requires_start_before(class, self.shortest_provisioning_s())
    }

    /// The shortest provisioning time of any machine type, in seconds; infinite without a catalog.
    pub(super) fn shortest_provisioning_s(&self) -> f64 {
        self.catalog.types().map(|machine_type| machine_type.provisioning_s).fold(f64::INFINITY, f64::min)
    }

    /// Cores that a shard of `shard_cpus` cores keeps free for work that must start at once:
    /// those of a usual job of each such class.
    pub(crate) fn quick_start_reserve_cpus(&self, shard_cpus: f64) -> f64 {
        self.estimates.quick_start_cpus().min(shard_cpus * MAX_RESERVED_SHARE)
    }
}

/// True for machines that fetch images about as fast as the fastest. A core kept free where
/// the image takes seconds to come would start nothing at once.
fn holds_reserve(fetch_gb_per_s: f64, fastest: f64) -> bool {
    fetch_gb_per_s >= fastest * MIN_FETCH_RATE_RATIO
}

#[cfg(test)]
mod tests;
