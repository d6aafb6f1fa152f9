//! Sockets, threads and clocks for the core, which does no I/O itself.
//!
//! [`run`] starts all threads and then runs the event loop on the calling thread; the other threads send
//! it events. This module makes no decisions about jobs or machines, and no module outside it does I/O.
//!
//! | thread | task |
//! |---|---|
//! | `main` | runs the event loop, the only owner of the core |
//! | `listen` | accepts connections of users, workers and health checks |
//! | `connection` | serves one of these connections; one thread per connection |
//! | `store-watch`, `store-lease`, `store-calls`, `cloud` | execute calls to the store and the cloud |
//! | `peers` | exchanges messages with the other controllers in both directions |
//!
//! If roll-outs are enabled, `tillercleat_rollout` starts its own threads, which call this module through
//! `rollouts`.
//!
//! The program runs until it is killed: threads are neither stopped nor joined. All durable state is in
//! the store, so a kill at any time loses nothing.

mod event_loop;
mod events;
mod external_clients;
mod peers;
mod responses;
mod rollouts;
mod routes;
mod runtime;
mod server;
mod tick_schedule;

pub use tillercleat_http as http;

pub use runtime::{resource_budget, run, RunError};
pub use tillercleat_connection_limits::{BudgetError, Resource};
