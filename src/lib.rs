//! tillercleat: a cluster scheduler that places tasks on machines likely to outlast them.
//!
//! The crate has four layers, listed from top to bottom. Each layer uses only the layers below it, and all of them use
//! [`units`] and [`settings`]:
//!
//! - [`transport`]: sockets, threads and clocks
//! - [`coordination`]: the core, a state machine that makes all decisions and performs no I/O
//! - [`storage`]: the durable records and their cache
//! - [`protocol`]: the messages of all interfaces

pub mod coordination;
pub mod protocol;
pub mod settings;
pub mod storage;
pub mod transport;
pub mod units;
