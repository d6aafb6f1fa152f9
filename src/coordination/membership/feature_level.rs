//! Feature levels: each controller announces the level it supports in its node record, and the leader enables a level
//! for the whole cluster.
//!
//! Controllers are upgraded one at a time while the cluster runs. The leader enables a level permanently once every
//! configured controller has announced it, in a transaction conditional on the node records that it read. A controller
//! that is absent for longer than any restart takes doesn't block the others. Called on node record changes and in
//! housekeeping; queried by submissions and the leader.

use crate::coordination::Core;
use crate::protocol::state::{Change, Condition, Transaction};
use crate::storage::cache::Versioned;
use crate::storage::records::{
    encode, node_key, FeatureLevel, FeatureLevelRecord, NodeRecord, FEATURE_LEVEL_KEY, LEADER_KEY,
};
use crate::units::{Millis, MonotonicTime, NodeName, Revision};
use std::collections::BTreeMap;

/// Feature level that this build supports and announces.
pub(crate) const SUPPORTED_LEVEL: FeatureLevel = FeatureLevel(1);

/// Lowest level at which jobs may depend on other jobs.
const JOB_DEPENDENCIES: FeatureLevel = FeatureLevel(1);

/// Level that applies while the store has no feature level record.
const BASE_LEVEL: FeatureLevel = FeatureLevel(0);

/// A controller that has not announced a level blocks it until the controller has been absent for this time.
const ABSENCE_LIMIT: Millis = Millis(60_000);

/// Latest announcement of one controller.
#[derive(Debug, Clone, Copy)]
struct AnnouncedLevel {
    level: FeatureLevel,
    /// When its node record disappeared; `None` while it has one.
    absent_since: Option<MonotonicTime>,
}

/// Latest announcement of each controller since this process started.
#[derive(Debug, Default)]
pub(super) struct AnnouncedLevels {
    by_node: BTreeMap<NodeName, AnnouncedLevel>,
}

impl AnnouncedLevels {
    /// Updates the announcement of a controller whose node record changed or was removed.
    fn node_changed(&mut self, node: &NodeName, record: Option<&NodeRecord>, now: MonotonicTime) {
        let known =
            self.by_node.entry(node.clone()).or_insert(AnnouncedLevel { level: BASE_LEVEL, absent_since: None });
        match record {
            Some(record) => *known = AnnouncedLevel { level: record.level, absent_since: None },
            None => known.absent_since = Some(now),
        }
    }

    /// True if the controller doesn't block the level. A controller never seen counts as absent since this process
    /// `began`.
    fn allows(&self, node: &NodeName, level: FeatureLevel, began: MonotonicTime, now: MonotonicTime) -> bool {
        let never_seen = AnnouncedLevel { level: BASE_LEVEL, absent_since: Some(began) };
        let known = self.by_node.get(node).copied().unwrap_or(never_seen);
        known.level >= level || known.absent_since.is_some_and(|since| now.since(since) >= ABSENCE_LIMIT)
    }
}

/// True if the controller is live and supports jobs that depend on other jobs.
pub(crate) fn supports_dependencies(held: &Versioned<NodeRecord>) -> bool {
    held.record.as_ref().is_some_and(|record| record.level >= JOB_DEPENDENCIES)
}

impl Core {
    /// True if submissions may depend on other jobs.
    pub(crate) fn dependencies_enabled(&self) -> bool {
        self.feature_level() >= JOB_DEPENDENCIES
    }

    /// Returns the level that is enabled for the cluster, as of the cache.
    fn feature_level(&self) -> FeatureLevel {
        self.cache.level.record.as_ref().map_or(BASE_LEVEL, |record| record.level)
    }

    /// Handles a change of a controller's node record in the cache.
    pub(crate) fn node_changed(&mut self, node: &NodeName) {
        let record = self.cache.nodes.get(node).and_then(|held| held.record.as_ref());
        self.membership.announced_levels.node_changed(node, record, self.now);
    }

    /// Enables [`SUPPORTED_LEVEL`] for the cluster if this controller is the leader and no controller blocks it.
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
        tracing::info!(level = SUPPORTED_LEVEL.0, "raising the feature level");
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

    /// Returns the conditions for raising the level: the leader key, the level record and all node records are
    /// unchanged. The transaction fails if a controller joins, or rejoins with another version, in the meantime.
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
