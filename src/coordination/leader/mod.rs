//! What the leader does for all shards.

pub(crate) mod array_assignment;
