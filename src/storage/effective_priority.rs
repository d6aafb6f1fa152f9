//! How urgent a job is for the sake of the jobs that depend on it. The graph of
//! dependencies in `coordination` computes it; queue and writes go by it.

use crate::protocol::users::Priority;

/// A priority, and when the job should be complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EffectivePriority {
    /// The highest priority of the job and those that depend on it.
    pub priority: Priority,
    /// When it should be complete, if that matters to any: time of day in milliseconds.
    pub due_ms: Option<u64>,
}

impl EffectivePriority {
    /// The more urgent of both, in either respect.
    pub fn join(self, other: EffectivePriority) -> EffectivePriority {
        let due_ms = match (self.due_ms, other.due_ms) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        EffectivePriority { priority: self.priority.max(other.priority), due_ms }
    }

    /// The same for a job that must be done before `takes_ms` of work can begin.
    pub fn due_earlier_by(self, takes_ms: u64) -> EffectivePriority {
        EffectivePriority { due_ms: self.due_ms.map(|due| due.saturating_sub(takes_ms)), ..self }
    }
}
