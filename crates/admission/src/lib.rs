//! Which connections a process takes, refuses and lets go.
//!
//! A process has so many threads, sockets and so much memory, and all that it
//! talks to shares them. [`Plan`] derives one budget from the limits; [`Gate`]
//! keeps to it, as a state machine without sockets, threads or clocks: told what
//! happens to connections and when, it says which to take and which to close.
//!
//! Users are refused first and workers last. A connection does not say who is
//! behind it before its first request, so strangers have a share of their own,
//! in which the one that has said nothing for longest makes way.

mod gate;
mod plan;

pub use gate::{Arrival, ConnectionId, Gate, Keep, Millis, Role, Why};
pub use plan::{Limits, Own, Plan, PlanError};
