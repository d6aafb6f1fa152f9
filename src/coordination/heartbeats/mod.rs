//! Workers' heartbeats: what they prove of machines and tasks, and the commands that answer them.
//!
//! The core hands each heartbeat to `handling`, which records it. `reconciliation` compares it with the records and
//! names the commands, `deferred_responses` decides when they are sent (long poll), and `reachability` tells which
//! workers receive responses at all. Effects follow durable records only: nothing here writes to the store.

pub(crate) mod deferred_responses;
pub(crate) mod handling;
pub(crate) mod reachability;
pub(crate) mod reconciliation;
