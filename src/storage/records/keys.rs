//! The keys of the durable records: builds the key of each record, and parses keys
//! that were read.

use crate::units::{JobId, NodeName, ShardId};

/// Prefix of all records that controllers load at startup and watch.
pub const ROOT: &str = "t/";
/// Key of the leader's [`super::LeaseHolderRecord`].
pub const LEADER_KEY: &str = "t/l";
/// Key of the machine types that may be rented, a [`crate::protocol::cloud::Catalog`].
pub const CATALOG_KEY: &str = "t/k";
/// Key of the [`super::FleetRecord`].
pub const FLEET_KEY: &str = "t/f";
/// Key of the enabled feature level, a [`super::FeatureLevelRecord`].
pub const FEATURE_LEVEL_KEY: &str = "t/v";

/// Key of the [`super::NodeRecord`] by which a controller shows that it is alive.
pub fn node_key(node: &NodeName) -> String {
    format!("t/n/{node}")
}

/// Key of the [`super::LeaseHolderRecord`] that names a shard's owner.
pub fn owner_key(shard: ShardId) -> String {
    format!("t/o/{shard}")
}

/// Key of a shard's [`super::QuotaRecord`].
pub fn quota_key(shard: ShardId) -> String {
    format!("t/a/{shard}")
}

/// Key of a [`super::JobRecord`].
pub fn job_key(job: &JobId) -> String {
    format!("t/j/{job}")
}

/// Key of a job's [`super::ArchivedJob`], which is never deleted. It is not below
/// [`ROOT`], so that startup time and memory do not grow with the number of archived jobs.
pub fn archived_job_key(job: &JobId) -> String {
    format!("f/{job}")
}

/// Key of the [`super::NodeRecord`] of a controller that renews a shard's worker
/// leases for the shard's owner.
pub fn lease_proxy_key(shard: ShardId, node: &NodeName) -> String {
    format!("t/w/{shard}/{node}")
}

/// Key of a [`super::SliceRecord`].
pub fn slice_key(job: &JobId, slice: usize) -> String {
    format!("t/s/{job}/{slice}")
}

/// A parsed key below [`ROOT`].
#[derive(Debug, PartialEq)]
pub enum RecordKey {
    /// [`LEADER_KEY`].
    Leader,
    /// [`CATALOG_KEY`].
    Catalog,
    /// [`FLEET_KEY`].
    Fleet,
    /// [`FEATURE_LEVEL_KEY`].
    FeatureLevel,
    /// [`node_key`].
    Node(NodeName),
    /// [`owner_key`].
    Owner(ShardId),
    /// [`quota_key`].
    Quota(ShardId),
    /// [`job_key`].
    Job(JobId),
    /// [`slice_key`]: the job, and the slice's index in the job's plan.
    Slice(JobId, usize),
    /// [`lease_proxy_key`].
    LeaseProxy(ShardId, NodeName),
}

impl RecordKey {
    /// Parses a key; none if it is not the key of a known record below [`ROOT`].
    pub fn parse(key: &str) -> Option<RecordKey> {
        match key {
            LEADER_KEY => return Some(RecordKey::Leader),
            CATALOG_KEY => return Some(RecordKey::Catalog),
            FLEET_KEY => return Some(RecordKey::Fleet),
            FEATURE_LEVEL_KEY => return Some(RecordKey::FeatureLevel),
            _ => {}
        }
        let (family, rest) = key.strip_prefix(ROOT)?.split_once('/')?;
        Some(match family {
            "n" => RecordKey::Node(NodeName::new(rest)),
            "o" => RecordKey::Owner(ShardId(rest.parse().ok()?)),
            "a" => RecordKey::Quota(ShardId(rest.parse().ok()?)),
            "j" => RecordKey::Job(JobId::new(rest)),
            "w" => {
                let (shard, node) = rest.split_once('/')?;
                RecordKey::LeaseProxy(ShardId(shard.parse().ok()?), NodeName::new(node))
            }
            "s" => {
                let (job, slice) = rest.rsplit_once('/')?;
                RecordKey::Slice(JobId::new(job), slice.parse().ok()?)
            }
            _ => return None,
        })
    }
}

#[cfg(test)]
mod tests;
