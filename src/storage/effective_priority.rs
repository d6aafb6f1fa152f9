//! The priority and due time that a job inherits from the jobs that depend on it.
//! The dependency graph in `coordination` computes them; the pending queue and the
//! writes are ordered by them.

use crate::protocol::users::Priority;

/// A priority and a due time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EffectivePriority {
    /// The highest priority among the jobs that were combined.
    pub priority: Priority,
    /// Time of day in milliseconds at which the job should be complete; none if no
    /// job has a deadline.
    pub due_ms: Option<u64>,
}

impl EffectivePriority {
    /// Combines two priorities: the higher priority and the earlier due time.
    pub fn join(self, other: EffectivePriority) -> EffectivePriority {
        let due_ms = match (self.due_ms, other.due_ms) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        EffectivePriority { priority: self.priority.max(other.priority), due_ms }
    }

    /// The priority of a job that must be done before a dependent with this priority,
    /// which takes `run_ms`, can start: the same, but due earlier by that time.
    pub fn due_earlier_by(self, run_ms: u64) -> EffectivePriority {
        EffectivePriority { due_ms: self.due_ms.map(|due| due.saturating_sub(run_ms)), ..self }
    }
}
