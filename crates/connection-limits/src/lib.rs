//! Connection limits of a process: which connections to accept, refuse and close.
//!
//! All connections share the limited threads, sockets and memory of the process.
//! [`ResourceBudget`] derives the number of connections from these limits, and [`ConnectionLimiter`]
//! enforces it. The limiter is a state machine without sockets, threads or clocks: the caller reports
//! each connection event with its time, and the limiter returns which connections to accept and close.
//!
//! Users are refused before workers. The role of a client is unknown until its first request, so
//! unidentified connections have their own limit: when it is reached, the one that has been silent
//! longest is closed to admit the next.

mod connection_limiter;
mod resource_budget;

pub use connection_limiter::{
    Admission, ConnectionAction, ConnectionId, ConnectionLimiter, Millis, RefusalReason, Role,
};
pub use resource_budget::{BudgetError, Limits, ReservedResources, Resource, ResourceBudget};
