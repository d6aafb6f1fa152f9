//! The leader's work for all shards: assigning slices of job arrays to shards and scaling the fleet.
//!
//! The core calls `leader_cycle` on every controller; only the holder of the leader key acts. Plans are written in
//! transactions that fail if another controller has become leader. Scheduling and the fleet also read
//! `shard_capacity`.

pub(crate) mod leader_cycle;
pub(crate) mod shard_capacity;
pub(crate) mod slice_assignment;
