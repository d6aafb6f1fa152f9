//! Feature levels: what each controller supports, announced in its node record, and what is turned on for all.
//!
//! Controllers are replaced one by one while work goes on. The leader turns a level on, for good, once each configured
//! controller has announced it, in a transaction conditional on the node records that it judged by. A controller that
//! stays away for longer than any restart takes doesn't hold the others up. Called on node record changes and in
//! housekeeping; asked by submissions and the leader.

use crate::coordination::Core;
use crate::protocol::state::{Change, Condition, Transaction};
use crate::storage::cache::Versioned;
use crate::storage::records::{
    encode, node_key, FeatureLevel, FeatureLevelRecord, NodeRecord, FEATURE_LEVEL_KEY, LEADER_KEY,
};
use crate::units::{Millis, MonotonicTime, NodeName, Revision};
use std::collections::BTreeMap;

/// The level that this version supports.
pub(crate) const SUPPORTED_LEVEL: FeatureLevel = FeatureLevel(1);

/// The level from which on jobs may depend on others.
const JOB_DEPENDENCIES: FeatureLevel = FeatureLevel(1);

/// The level that is on as long as no record says otherwise.
const BASE_LEVEL: FeatureLevel = FeatureLevel(0);

/// A controller that never announced a level holds it up until it has been away for so long.
const AWAY_LIMIT: Millis = Millis(60_000);

/// What a controller announced last.
#[derive(Debug, Clone, Copy)]
struct AnnouncedLevel {
    level: FeatureLevel,
    /// Since when it has had no node record; none while it has one.
    away_since: Option<MonotonicTime>,
}

/// What each controller announced last, since this process started.
#[derive(Debug, Default)]
pub(super) struct AnnouncedLevels {
    by_node: BTreeMap<NodeName, AnnouncedLevel>,
}

impl AnnouncedLevels {
    /// Takes in that a controller's node record changed or went away.
    fn node_changed(&mut self, node: &NodeName, record: Option<&NodeRecord>, now: MonotonicTime) {
        let known = self.by_node.entry(node.clone()).or_insert(AnnouncedLevel { level: BASE_LEVEL, away_since: None });
        match record {
            Some(record) => *known = AnnouncedLevel { level: record.level, away_since: None },
            None => known.away_since = Some(now),
        }
    }

    /// True if the controller doesn't hold a level up. One never seen counts as away since this process `began`.
    fn allows(&self, node: &NodeName, level: FeatureLevel, began: MonotonicTime, now: MonotonicTime) -> bool {
        let never_seen = AnnouncedLevel { level: BASE_LEVEL, away_since: Some(began) };
        let known = self.by_node.get(node).copied().unwrap_or(never_seen);
        known.level >= level || known.away_since.is_some_and(|since| now.since(since) >= AWAY_LIMIT)
    }
}

/// True if a controller is live and supports jobs that depend on others.
pub(crate) fn supports_dependencies(held: &Versioned<NodeRecord>) -> bool {
    held.record.as_ref().is_some_and(|record| record.level >= JOB_DEPENDENCIES)
}

impl Core {
    /// True if submissions may depend on other jobs.
    pub(crate) fn dependencies_enabled(&self) -> bool {
        self.feature_level() >= JOB_DEPENDENCIES
    }

    fn feature_level(&self) -> FeatureLevel {
        self.cache.level.record.as_ref().map_or(BASE_LEVEL, |record| record.level)
    }

    /// A controller's node record changed in the cache.
    pub(crate) fn node_changed(&mut self, node: &NodeName) {
        let record = self.cache.nodes.get(node).and_then(|held| held.record.as_ref());
        self.membership.announced_levels.node_changed(node, record, self.now);
    }

    /// As the leader, turns on the level that all controllers support.
    pub(crate) fn raise_feature_level(&mut self) {
        if self.feature_level() >= SUPPORTED_LEVEL || !self.can_raise_feature_level() {
            return;
        }
        let nodes: Vec<NodeName> = self.settings.node_names().iter().map(|name| NodeName::new(name)).collect();
        let levels = &self.membership.announced_levels;
        if !nodes.iter().all(|node| levels.allows(node, SUPPORTED_LEVEL, self.started_at, self.now)) {
            return;
        }
        let conditions = self.feature_level_conditions(&nodes);
        let value = encode(&FeatureLevelRecord { level: SUPPORTED_LEVEL });
        tracing::info!(level = SUPPORTED_LEVEL.0, "raised feature level: all controllers support it");
        self.submit_transaction(Transaction {
            conditions,
            changes: vec![Change::put(FEATURE_LEVEL_KEY.into(), value)],
        });
    }

    fn can_raise_feature_level(&self) -> bool {
        self.is_leader()
            && self.records_fresh()
            && self.store.may_send(self.now)
            && !self.store.is_key_busy(FEATURE_LEVEL_KEY)
    }

    /// Conditions under which the level may be raised: leadership, the level, and all node records are as judged by.
    /// A controller that comes, or comes back with another version, in this moment makes the transaction fail.
    fn feature_level_conditions(&self, nodes: &[NodeName]) -> Vec<Condition> {
        let mut conditions = vec![
            Condition { key: LEADER_KEY.into(), version: self.cache.leader.version },
            Condition { key: FEATURE_LEVEL_KEY.into(), version: self.cache.level.version },
        ];
        conditions.extend(nodes.iter().map(|node| {
            let version = self.cache.nodes.get(node).map_or(Revision(0), |held| held.version);
            Condition { key: node_key(node), version }
        }));
        conditions
    }
}
