//! How urgent work is for the sake of what needs it.

use crate::protocol::users::Priority;

/// How urgent a job is: its priority, and when it should be complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EffectivePriority {
    pub priority: Priority,
    /// Time of day in milliseconds.
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

    /// The same for what must be done before `takes_ms` of work.
    pub fn before(self, takes_ms: u64) -> EffectivePriority {
        EffectivePriority { due_ms: self.due_ms.map(|due| due.saturating_sub(takes_ms)), ..self }
    }
}
