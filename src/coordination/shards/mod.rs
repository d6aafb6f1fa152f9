//! The shards that this controller owns: their tasks, machines and quotas, and the proxies that renew leases for others.

pub(crate) mod job_changes;
pub(crate) mod lease_proxy;
pub(crate) mod machine_expiry;
pub(crate) mod owned_shard;
pub(crate) mod shard_quota;
pub(crate) mod shard_tasks;
