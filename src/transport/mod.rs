//! Sockets, threads and clocks around the core.

mod engine;
pub mod http;
mod outside;
mod peers;
mod server;

pub use engine::run;
