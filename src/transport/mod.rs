//! Sockets, threads and clocks around the core.

mod engine;
mod events;
mod outside;
mod peers;
mod rollouts;
mod routes;
mod server;

pub use tillercleat_http as http;

pub use engine::{resource_budget, run};
