//! Worker heartbeats: records the state of machines and tasks, and responds with commands.
//!
//! The core passes each heartbeat to `handling`, which records it. `reconciliation` compares it with the records and
//! returns the commands, `deferred_responses` decides when they are sent (long poll), and `reachability` detects
//! workers that do not receive responses. Tasks are started only after their placement is durable. This module does
//! not write to the store.

pub(crate) mod deferred_responses;
pub(crate) mod handling;
pub(crate) mod reachability;
pub(crate) mod reconciliation;
