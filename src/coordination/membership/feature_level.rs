//! What the controllers can do: told with each one's lease, and turned on for
//! good once all of them can.
//!
//! Controllers are replaced one by one while work goes on. What an older one
//! would not understand waits until each configured controller that may come
//! back has shown that it knows of it; the leader then writes so, conditional on
//! the very node records that it judged by. One that stays away for longer
//! than any restart takes does not hold the others up.

use crate::coordination::Core;
use crate::protocol::state::{Change, Condition, Transaction};
use crate::storage::cache::Versioned;
use crate::storage::records::{node_key, FeatureLevel, FeatureLevelRecord, NodeRecord, FEATURE_LEVEL_KEY, LEADER_KEY};
use crate::units::{Millis, MonotonicTime, NodeName, Revision};
use std::collections::BTreeMap;

/// What this version can do.
pub(crate) const SUPPORTED_LEVEL: FeatureLevel = FeatureLevel(1);

/// Jobs may name others that have to be done first.
const JOB_DEPENDENCIES: FeatureLevel = FeatureLevel(1);

/// How long a controller that was never seen to know of something has to be
/// away for the others to go on without it.
const AWAY: Millis = Millis(60_000);

/// What is remembered of controllers' announcements.
#[derive(Debug, Default)]
pub(crate) struct Announced {
    /// What each said last, and since when it has been away.
    nodes: BTreeMap<NodeName, (FeatureLevel, Option<MonotonicTime>)>,
}

/// True if the record of a node is there and says that it knows of chains.
pub(crate) fn supports_dependencies(held: &Versioned<NodeRecord>) -> bool {
    held.record.as_ref().is_some_and(|record| record.level >= JOB_DEPENDENCIES)
}

impl Core {
    /// True if submissions may name other jobs.
    pub(crate) fn dependencies_enabled(&self) -> bool {
        self.level() >= JOB_DEPENDENCIES
    }

    fn level(&self) -> FeatureLevel {
        self.cache.level.record.as_ref().map_or(FeatureLevel(0), |record| record.level)
    }

    /// A controller came or went.
    pub(crate) fn node_changed(&mut self, node: &NodeName) {
        let record = self.cache.nodes.get(node).and_then(|held| held.record.as_ref());
        let entry = self.announced.nodes.entry(node.clone()).or_insert((FeatureLevel(0), None));
        match record {
            Some(record) => *entry = (record.level, None),
            None => entry.1 = Some(self.now),
        }
    }

    /// The leader turns on what all controllers know of.
    pub(crate) fn raise_feature_level(&mut self) {
        if self.level() >= SUPPORTED_LEVEL
            || !self.is_leader()
            || !self.records_fresh()
            || !self.store.may_send(self.now)
        {
            return;
        }
        if self.store.is_key_busy(FEATURE_LEVEL_KEY) {
            return;
        }
        let nodes: Vec<NodeName> = self.settings.node_names().iter().map(|name| NodeName::new(name)).collect();
        // One not heard of at all has been away since this life began, at least.
        let unheard = (FeatureLevel(0), Some(self.began));
        let able = |node: &NodeName| {
            let (level, away) = self.announced.nodes.get(node).copied().unwrap_or(unheard);
            level >= SUPPORTED_LEVEL || away.is_some_and(|since| self.now.since(since) >= AWAY)
        };
        if !nodes.iter().all(able) {
            return;
        }
        let version = |node| self.cache.nodes.get(node).map_or(Revision(0), |held| held.version);
        let mut conditions = vec![
            Condition { key: LEADER_KEY.into(), version: self.cache.leader.version },
            Condition { key: FEATURE_LEVEL_KEY.into(), version: self.cache.level.version },
        ];
        // One that comes, or comes back as another, in this moment is judged again.
        conditions.extend(nodes.iter().map(|node| Condition { key: node_key(node), version: version(node) }));
        let Ok(value) = serde_json::to_value(FeatureLevelRecord { level: SUPPORTED_LEVEL }) else { return };
        tracing::info!("all controllers know of level {}: it is turned on", SUPPORTED_LEVEL.0);
        self.submit_transaction(Transaction {
            conditions,
            changes: vec![Change::put(FEATURE_LEVEL_KEY.into(), value)],
        });
    }
}
