//! What the leader does for all shards: it assigns slices of job arrays to shards and has the fleet scaled.
//!
//! The core calls `leader_cycle` on every controller; only the one that holds the leader's key acts. Plans are
//! written in transactions that fail if another controller has become leader. `shard_capacity` is also read by
//! scheduling and the fleet.

pub(crate) mod leader_cycle;
pub(crate) mod shard_capacity;
pub(crate) mod slice_assignment;
