//! Shard release: a controller that has lost the connection to its workers hands its shards over.
//!
//! A network fault may separate a controller from its workers only. It keeps renewing its own lease, so its peers keep
//! redirecting its workers to it, and the workers' leases expire. To prevent that, an owner that receives no heartbeats
//! any more, while the store and a peer respond, deletes its node record and hands its shards over before the workers'
//! leases expire. So does an owner whose workers reach it but don't receive its responses. The controller takes shards
//! again after a backoff that doubles each time. In the first case it also does so as soon as a heartbeat arrives; in
//! the second only a new attempt can show whether responses get through. Called on each membership tick and with each
//! heartbeat. Whether a machine is lost is decided in `shards::machine_expiry`.

use crate::coordination::Core;
use crate::protocol::state::{Change, Condition, Transaction};
use crate::storage::records;
use crate::units::{MachineId, Millis, MonotonicTime};
use std::collections::BTreeSet;

/// Minimum number of silent machines for a release: fewer may fall silent together by chance.
const MIN_MACHINES: usize = 3;

/// First backoff before the controller takes shards again; each further backoff is twice as long.
const MIN_BACKOFF: Millis = Millis(30_000);

/// Upper bound of the backoff.
const MAX_BACKOFF: Millis = Millis(240_000);

/// Minimum silence that is not due to chance, in milliseconds per second of the heartbeat interval: 2.5 intervals.
const MIN_SILENCE_MS_PER_INTERVAL_S: f64 = 2500.0;

/// Reason of a release.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReleaseReason {
    /// No worker's heartbeats arrive.
    NoHeartbeats,
    /// Heartbeats arrive, but no worker receives this controller's responses.
    NoResponsesReceived,
}

impl ReleaseReason {
    /// Returns the reason as it appears in log lines.
    fn name(self) -> &'static str {
        match self {
            ReleaseReason::NoHeartbeats => "no worker reaches this node",
            ReleaseReason::NoResponsesReceived => "no worker receives responses of this node",
        }
    }
}

/// A release in progress.
#[derive(Debug)]
struct Release {
    since: MonotonicTime,
    /// When the release ends at the latest.
    until: MonotonicTime,
    reason: ReleaseReason,
}

/// Evidence of whether workers and this controller reach each other, and the release in progress.
#[derive(Debug, Default)]
pub(super) struct ShardRelease {
    /// When the latest heartbeat of any worker arrived.
    last_heartbeat: Option<MonotonicTime>,
    /// When a machine of an owned shard last showed that it receives responses.
    last_confirmed: Option<MonotonicTime>,
    /// Machines of owned shards that have sent heartbeats since then without showing that they receive responses; at
    /// most [`MIN_MACHINES`] are kept.
    unconfirmed: BTreeSet<MachineId>,
    /// When the first of these heartbeats arrived.
    unconfirmed_since: Option<MonotonicTime>,
    release: Option<Release>,
    /// The latest backoff; reset to zero once a heartbeat has ended a release.
    backoff: Millis,
}

impl ShardRelease {
    /// Records that a heartbeat of any worker arrived.
    pub(super) fn heartbeat_arrived(&mut self, now: MonotonicTime) {
        self.last_heartbeat = Some(now);
    }

    /// Records a new heartbeat of a machine of an owned shard, and whether it shows that responses arrive there.
    pub(super) fn heartbeat_accepted(&mut self, now: MonotonicTime, machine: &MachineId, receives_responses: bool) {
        if receives_responses {
            self.last_confirmed = Some(now);
            self.clear_unconfirmed();
            return;
        }
        self.unconfirmed_since.get_or_insert(now);
        if self.unconfirmed.len() < MIN_MACHINES {
            self.unconfirmed.insert(machine.clone());
        }
    }

    fn clear_unconfirmed(&mut self) {
        self.unconfirmed.clear();
        self.unconfirmed_since = None;
    }

    /// Begins a release and returns the backoff after which it ends at the latest.
    fn begin(&mut self, reason: ReleaseReason, now: MonotonicTime) -> Millis {
        self.backoff = Millis((self.backoff.0 * 2).clamp(MIN_BACKOFF.0, MAX_BACKOFF.0));
        self.release = Some(Release { since: now, until: now + self.backoff, reason });
        self.backoff
    }

    /// Ends the release if a heartbeat has arrived (after [`ReleaseReason::NoHeartbeats`]) or the backoff has passed.
    /// True if the release ended.
    fn end_if_over(&mut self, now: MonotonicTime) -> bool {
        let Some(release) = &self.release else { return false };
        let reached =
            release.reason == ReleaseReason::NoHeartbeats && self.last_heartbeat.is_some_and(|at| at > release.since);
        if !reached && now < release.until {
            return false;
        }
        self.release = None;
        self.clear_unconfirmed();
        if reached {
            self.backoff = Millis(0);
        }
        true
    }
}

impl Core {
    /// True while a release is in progress.
    pub(crate) fn has_released_shards(&self) -> bool {
        self.membership.shard_release.release.is_some()
    }

    /// Begins or ends a release. During a release, deletes the node record so that the shards are assigned to others.
    pub(super) fn update_shard_release(&mut self) {
        if self.has_released_shards() {
            if self.membership.shard_release.end_if_over(self.now) {
                tracing::info!("shard release ended; taking shards again");
                return;
            }
        } else {
            let Some(reason) = self.release_reason() else { return };
            let backoff = self.membership.shard_release.begin(reason, self.now);
            tracing::info!(reason = reason.name(), pause_s = backoff.as_secs(), "releasing all shards");
        }
        self.delete_node_record();
    }

    fn delete_node_record(&mut self) {
        let key = records::node_key(&self.node_name);
        let Some(held) = self.cache.nodes.get(&self.node_name).filter(|held| held.record.is_some()) else { return };
        if !self.store.is_key_busy(&key) {
            let conditions = vec![Condition { key: key.clone(), version: held.version }];
            self.submit_transaction(Transaction { conditions, changes: vec![Change::delete(key)] });
        }
    }

    /// Returns why the shards should be released, or `None` if they should not. A release requires that the store and a
    /// peer are reachable, which shows that the fault is between this controller and its workers.
    fn release_reason(&self) -> Option<ReleaseReason> {
        let limit = self.silence_limit();
        // After an acquisition, silence counts from that time: the shard's machines are known from its records.
        let newest_ownership = self.owned_shards.values().map(|owned_shard| owned_shard.owned_since).max();
        let reason = if self.is_without_heartbeats(limit, newest_ownership) {
            ReleaseReason::NoHeartbeats
        } else if self.is_without_confirmed_responses(limit, newest_ownership) {
            ReleaseReason::NoResponsesReceived
        } else {
            return None;
        };
        (self.has_enough_machines() && self.has_live_peer(limit) && self.records_fresh()).then_some(reason)
    }

    /// Returns how long workers may be silent before the shards are released: short enough for a successor to respond
    /// within the workers' leases. A worker waits 4 s for a response, and one more second before it tries the next
    /// controller.
    fn silence_limit(&self) -> Millis {
        let intervals = Millis((self.settings.cluster.workers.report_s * MIN_SILENCE_MS_PER_INTERVAL_S) as u64);
        Millis((self.timing.worker_lease.0 / 4).max(intervals.0))
    }

    /// True if no worker's heartbeat has arrived within the limit.
    fn is_without_heartbeats(&self, limit: Millis, newest_ownership: Option<MonotonicTime>) -> bool {
        let last_heartbeat = self.membership.shard_release.last_heartbeat;
        let heard = last_heartbeat.max(newest_ownership).unwrap_or(self.now).max(self.resumed_at);
        self.now.since(heard) > limit
    }

    /// True if heartbeats arrive, but no worker has shown within the limit that it receives responses.
    fn is_without_confirmed_responses(&self, limit: Millis, newest_ownership: Option<MonotonicTime>) -> bool {
        let state = &self.membership.shard_release;
        // Each machine sends several heartbeats within the limit, and each shows whether the previous response arrived.
        if let Some(at) = state.last_confirmed.filter(|at| Some(*at) >= newest_ownership) {
            return self.now.since(at.max(self.resumed_at)) > limit;
        }
        // No response has been confirmed since the latest acquisition: not all machines may have reported yet, and a
        // machine needs two heartbeats to show that it receives responses.
        let two_intervals = Millis::from_secs(2.0 * self.settings.cluster.workers.report_s);
        let since = state.unconfirmed_since.map(|at| at.max(self.resumed_at));
        let several = state.unconfirmed.len() >= MIN_MACHINES;
        several && since.is_some_and(|at| self.now.since(at) > limit + two_intervals)
    }

    /// True if the owned shards have at least [`MIN_MACHINES`] machines.
    fn has_enough_machines(&self) -> bool {
        let names = self.owned_shards.values().flat_map(|owned_shard| owned_shard.machine_names());
        names.collect::<BTreeSet<_>>().len() >= MIN_MACHINES
    }

    /// True if a live peer was heard within the limit.
    fn has_live_peer(&self, limit: Millis) -> bool {
        self.cache.live_nodes().any(|(node, _)| *node != self.node_name && self.peer_heard_within(node, limit))
    }
}
