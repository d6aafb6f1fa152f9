//! The shards that this controller owns, with their tasks, machines and quotas, and the lease proxies that act for
//! owners that workers cannot reach.

pub(crate) mod job_changes;
pub(crate) mod lease_proxy;
pub(crate) mod machine_expiry;
pub(crate) mod owned_shard;
pub(crate) mod shard_quota;
pub(crate) mod shard_tasks;
