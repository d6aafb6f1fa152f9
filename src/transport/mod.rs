//! Sockets, threads and clocks around the core.

mod engine;
mod events;
pub mod http;
mod outside;
mod peers;
mod routes;
mod server;

pub use engine::{plan, run};
