//! Amounts of resources that a machine offers or a task uses.
//!
//! The scheduling cycle, preemption, the leader's assignment of slices and scale-out use these
//! amounts to compare free capacity with the needs of a task. Callers keep track of which task uses
//! what.

use crate::protocol::cloud::MachineType;
use crate::protocol::users::JobSpec;
use crate::units::ComputeAmount;
use std::ops::{AddAssign, Neg, SubAssign};

/// Tolerance by which a request may exceed the free amount and still fit, for sums with rounding
/// errors.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Amounts of all resources. A difference may be negative.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Resources {
    /// Processor cores.
    pub cpus: f64,
    /// Graphics processors.
    pub gpus: f64,
    /// Memory in gigabytes.
    pub mem_gb: f64,
}

impl Resources {
    /// Returns the resources that one task of the job uses while it is on a machine.
    pub fn of_task(spec: &JobSpec) -> Resources {
        Resources { cpus: spec.cpus, gpus: spec.gpus, mem_gb: spec.mem_gb }
    }

    /// Returns the resources of an empty machine of the type.
    pub fn of_machine(machine_type: &MachineType) -> Resources {
        Resources { cpus: machine_type.cpus, gpus: machine_type.gpus, mem_gb: machine_type.mem_gb }
    }

    /// Returns the amounts that count towards a team's quota.
    pub fn compute_amount(&self) -> ComputeAmount {
        ComputeAmount { cpus: self.cpus, gpus: self.gpus }
    }

    /// True if these amounts fit into what is free.
    pub fn fits_into(&self, free: &Resources) -> bool {
        free.cpus + ROUNDING_TOLERANCE >= self.cpus
            && free.gpus + ROUNDING_TOLERANCE >= self.gpus
            && free.mem_gb + ROUNDING_TOLERANCE >= self.mem_gb
    }

    /// Returns the greater amount of each resource.
    pub fn max(self, other: Resources) -> Resources {
        Resources {
            cpus: self.cpus.max(other.cpus),
            gpus: self.gpus.max(other.gpus),
            mem_gb: self.mem_gb.max(other.mem_gb),
        }
    }

    /// True if any amount is below zero.
    pub fn any_negative(&self) -> bool {
        self.cpus < 0.0 || self.gpus < 0.0 || self.mem_gb < 0.0
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.mem_gb += other.mem_gb;
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.mem_gb -= other.mem_gb;
    }
}

impl Neg for Resources {
    type Output = Resources;

    fn neg(self) -> Resources {
        Resources { cpus: -self.cpus, gpus: -self.gpus, mem_gb: -self.mem_gb }
    }
}
