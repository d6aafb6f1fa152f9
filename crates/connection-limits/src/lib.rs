//! Which connections a process takes, refuses and lets go.
//!
//! A process has so many threads, sockets and so much memory, and all that it
//! talks to shares them. [`ResourceBudget`] derives one budget from the limits; [`ConnectionLimiter`]
//! keeps to it, as a state machine without sockets, threads or clocks: told what
//! happens to connections and when, it says which to take and which to close.
//!
//! Users are refused first and workers last. A connection does not say who is
//! behind it before its first request, so strangers have a share of their own,
//! in which the one that has said nothing for longest makes way.

mod connection_limiter;
mod resource_budget;

pub use connection_limiter::{
    Admission, ConnectionAction, ConnectionId, ConnectionLimiter, Millis, RefusalReason, Role,
};
pub use resource_budget::{BudgetError, Limits, ReservedResources, ResourceBudget};
