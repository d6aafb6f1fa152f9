//! tillercleat: a cluster scheduler that places tasks on machines likely to
//! outlast them.
//!
//! Four layers, each of which uses only those below it, over the [`units`] and [`settings`] that all
//! of them share:
//!
//! - [`transport`]: sockets, threads and clocks
//! - [`coordination`]: the core, a state machine that takes all decisions and does no I/O
//! - [`storage`]: the durable records and the cache of them
//! - [`protocol`]: the messages of every interface

pub mod coordination;
pub mod protocol;
pub mod settings;
pub mod storage;
pub mod transport;
pub mod units;
