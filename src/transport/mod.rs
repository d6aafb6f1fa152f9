//! Sockets, threads and clocks around the core, which has none of its own.
//!
//! [`run`] starts all threads and becomes the event loop; every other thread sends it events. Nothing
//! here decides anything about jobs or machines, and nothing outside this module does I/O.
//!
//! | thread | what it does |
//! |---|---|
//! | `main` | the event loop, which alone owns the core |
//! | `listen` | accepts users, workers and health checks |
//! | `connection` | one for each connection of these |
//! | `store-watch`, `store-lease`, `store-calls`, `cloud` | carry out calls on the store and the cloud |
//! | `peers` | talks with the other controllers in both directions |
//!
//! With roll-outs turned on, `tillercleat_rollout` starts threads of its own, which call in through
//! `rollouts`.
//!
//! The program runs until it is killed: no thread is ever asked to end, and none is joined. All durable
//! state is in the store, so that a kill at any moment loses nothing.

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
