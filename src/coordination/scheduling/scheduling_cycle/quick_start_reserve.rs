//! Quick-start reserve: cores that a shard keeps free for classes whose tasks must start at once.
//!
//! An objective may require that tasks start sooner than a newly rented machine would be up. The
//! scheduling cycle keeps other jobs off the reserve, and the leader's demand adds it to the
//! capacity to rent. The size of the reserve is estimated from the observed jobs of such classes.

use crate::coordination::scheduling::candidate_machine::CandidateMachine;
use crate::coordination::scheduling::resources::Resources;
use crate::coordination::Core;
use crate::storage::names::InternedName;

/// Minimum image fetch rate of machines that hold the reserve, relative to the fastest machine.
const MIN_FETCH_RATE_RATIO: f64 = 0.75;

/// Maximum share of a shard's cores that is kept free.
const MAX_RESERVED_SHARE: f64 = 0.02;

/// Quick-start reserve of one shard during one cycle.
pub(super) struct QuickStartReserve {
    /// Cores to be kept free; 0 if no class must start at once.
    reserved_cpus: f64,
    /// Free cores of the machines that hold the reserve.
    free_cpus: f64,
    /// Highest image fetch rate of the shard's machines, in gigabytes per second.
    fastest_fetch_gb_per_s: f64,
}

impl QuickStartReserve {
    /// Creates the reserve on a shard's machines before any task is placed.
    pub fn new(reserved_cpus: f64, machines: &[CandidateMachine]) -> QuickStartReserve {
        let fastest = machines.iter().map(|machine| machine.machine_type.fetch_gb_per_s).fold(0.0, f64::max);
        let mut reserve = QuickStartReserve { reserved_cpus, free_cpus: 0.0, fastest_fetch_gb_per_s: fastest };
        let holders = machines.iter().filter(|machine| reserve.is_held_by(machine));
        reserve.free_cpus = holders.map(|machine| machine.capacity.free.cpus.max(0.0)).sum();
        reserve
    }

    /// True if the machine holds a part of the reserve.
    pub fn is_held_by(&self, machine: &CandidateMachine) -> bool {
        holds_reserve(machine.machine_type.fetch_gb_per_s, self.fastest_fetch_gb_per_s)
    }

    /// True if a task may not start on the machines that hold the reserve, because fewer free cores
    /// than the reserve would be left there. Once true, it stays true for the rest of the cycle.
    pub fn is_closed_to(&self, need: &Resources, quick_start: bool) -> bool {
        !quick_start && self.reserved_cpus > 0.0 && self.free_cpus - need.cpus < self.reserved_cpus
    }

    /// Counts a task that starts on the machine. The rollback of a gang does not undo this: for the
    /// rest of the cycle, fewer cores count as free than there are.
    pub fn record_start(&mut self, machine: &CandidateMachine, need: &Resources) {
        if self.is_held_by(machine) {
            self.free_cpus -= need.cpus;
        }
    }
}

impl Core {
    /// True if tasks of the class must start sooner than a newly rented machine would be up.
    pub(crate) fn needs_quick_start(&self, class: &InternedName) -> bool {
        self.objectives.requires_start_before(class, self.shortest_provisioning_s())
    }

    /// Returns the shortest provisioning time of any machine type, in seconds; infinite without a
    /// catalog.
    pub(super) fn shortest_provisioning_s(&self) -> f64 {
        self.catalog.types().map(|machine_type| machine_type.provisioning_s).fold(f64::INFINITY, f64::min)
    }

    /// Returns the cores that a shard of `shard_cpus` cores keeps free for work that must start at
    /// once: those of a typical job of each such class, up to a share of the shard's cores.
    pub(crate) fn quick_start_reserve_cpus(&self, shard_cpus: f64) -> f64 {
        self.estimates.quick_start_cpus().min(shard_cpus * MAX_RESERVED_SHARE)
    }
}

/// True for machines that fetch images about as fast as the fastest. Cores reserved on slower
/// machines would not allow a quick start, because the image takes seconds to arrive.
fn holds_reserve(fetch_gb_per_s: f64, fastest: f64) -> bool {
    fetch_gb_per_s >= fastest * MIN_FETCH_RATE_RATIO
}

#[cfg(test)]
mod tests;
