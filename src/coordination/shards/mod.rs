//! The shards that this controller owns: their tasks, machines and quotas, and the proxies that renew leases for others.

pub(crate) mod lease_proxy;
pub(crate) mod owned_shard;
pub(crate) mod shard_quota;
pub(crate) mod shard_tasks;
