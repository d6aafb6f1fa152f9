//! Which controllers live, who owns which shard and who leads, and what all of them support.

pub(crate) mod feature_level;
pub(crate) mod ownership;
pub(crate) mod shard_release;
pub(crate) mod startup;
