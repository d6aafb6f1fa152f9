//! Which live controller each shard should belong to: a pure function of the configuration and of the live
//! controllers, so that all controllers come to the same answer. Called by `ownership`; changes nothing.

use crate::units::{stable_hash, ShardId};
use std::collections::{BTreeMap, BTreeSet};

/// Assigns each shard to a live controller. A shard's home is the controller at its number in the order of `nodes`,
/// all configured names; it gets the shard if it is live. The other shards are spread evenly over the live
/// controllers by rendezvous hashing. Empty if none is live.
pub fn assign_shards(shards: u32, nodes: &[String], live: &BTreeSet<&str>) -> BTreeMap<ShardId, String> {
    let mut assigned = BTreeMap::new();
    if live.is_empty() {
        return assigned;
    }
    let most_each = (shards as usize).div_ceil(live.len());
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for shard in 0..shards {
        if let Some(home) = nodes.get(shard as usize).filter(|node| live.contains(node.as_str())) {
            *counts.entry(home).or_default() += 1;
            assigned.insert(ShardId(shard), home.clone());
        }
    }
    for shard in 0..shards {
        if assigned.contains_key(&ShardId(shard)) {
            continue;
        }
        let number = shard.to_string();
        let has_room = |node: &&&str| counts.get(**node).copied().unwrap_or(0) < most_each;
        let best = live.iter().filter(has_room).max_by_key(|node| stable_hash(&["owner", &number, node]));
        if let Some(node) = best {
            *counts.entry(node).or_default() += 1;
            assigned.insert(ShardId(shard), node.to_string());
        }
    }
    assigned
}

#[cfg(test)]
mod tests;
