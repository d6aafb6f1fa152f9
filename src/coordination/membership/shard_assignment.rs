//! Assignment of shards to live controllers: a pure function of the configured and the live controllers, so that all
//! controllers compute the same assignment. Called by `ownership`.

use crate::units::{stable_hash, ShardId};
use std::collections::{BTreeMap, BTreeSet};

/// Assigns each shard to a live controller. The home of shard `i` is the `i`th name in `nodes`, the configured
/// controllers; a live home gets its shard. The other shards are spread evenly over the live controllers by rendezvous
/// hashing. Returns an empty map if no controller is live.
pub fn assign_shards(shards: u32, nodes: &[String], live: &BTreeSet<&str>) -> BTreeMap<ShardId, String> {
    let mut assigned = BTreeMap::new();
    if live.is_empty() {
        return assigned;
    }
    let max_per_node = (shards as usize).div_ceil(live.len());
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
        let has_room = |node: &&&str| counts.get(**node).copied().unwrap_or(0) < max_per_node;
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
