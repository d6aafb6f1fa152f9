//! Which connections a process accepts, refuses and closes.
//!
//! A process has so many threads, sockets and so much memory, and all connections
//! share them. [`ResourceBudget`] derives one budget from the limits; [`ConnectionLimiter`]
//! keeps to it, as a state machine without sockets, threads or clocks: the caller says what
//! happens to connections and when, and learns which to accept and which to close.
//!
//! Users are refused first and workers last. A connection does not say who is
//! behind it before its first request, so unidentified connections have a share of their own,
//! in which the one that has been silent for longest is closed for the next.

mod connection_limiter;
mod resource_budget;

pub use connection_limiter::{
    Admission, ConnectionAction, ConnectionId, ConnectionLimiter, Millis, RefusalReason, Role,
};
pub use resource_budget::{BudgetError, Limits, ReservedResources, Resource, ResourceBudget};
