//! Shard release: a controller that no worker can reach gives its shards up.
//!
//! A controller may lose its workers alone: it renews its lease, so the others send its workers back to it, and the
//! workers' leases run out. An owner that hears none of its workers any more, while the store and its peers answer,
//! withdraws its node record and hands its shards over before that. So does an owner whose workers reach it but don't
//! receive its responses. It takes shards again after a pause, longer each time; in the first case also as soon as a
//! worker reaches it (in the second nothing but a new try can tell). Called on each membership tick and with each
//! heartbeat. Never decides that a machine is lost: see `shards::machine_expiry`.

use crate::coordination::Core;
use crate::protocol::state::{Change, Condition, Transaction};
use crate::storage::records;
use crate::units::{MachineId, Millis, MonotonicTime};
use std::collections::BTreeSet;

/// Fewer machines than this may fall silent together by chance.
const LEAST_MACHINES: usize = 3;

/// The first pause before the controller takes shards again; each further pause is twice as long.
const FIRST_PAUSE: Millis = Millis(30_000);

/// The longest pause that doubling leads to.
const LAST_PAUSE: Millis = Millis(240_000);

/// Silence that can't be chance, in milliseconds for each second of the heartbeat interval: two and a half intervals.
const SILENCE_MS_PER_INTERVAL_S: f64 = 2500.0;

/// Why shards are released.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReleaseReason {
    /// No worker's heartbeats arrive.
    NoHeartbeats,
    /// Heartbeats arrive, but no worker receives the responses.
    NoResponsesReceived,
}

impl ReleaseReason {
    /// The reason in log lines.
    fn name(self) -> &'static str {
        match self {
            ReleaseReason::NoHeartbeats => "no worker reaches this node",
            ReleaseReason::NoResponsesReceived => "no worker receives responses of this node",
        }
    }
}

/// A release under way.
#[derive(Debug)]
struct Release {
    since: MonotonicTime,
    /// When the controller takes shards again at the latest.
    until: MonotonicTime,
    reason: ReleaseReason,
}

/// What tells whether workers reach this controller, and the release under way.
#[derive(Debug, Default)]
pub(super) struct ShardRelease {
    /// When the last heartbeat of any worker arrived.
    last_heartbeat: Option<MonotonicTime>,
    /// When a machine of ours last showed that it receives responses.
    last_received: Option<MonotonicTime>,
    /// Machines of ours that sent heartbeats since then; no more are kept than it takes.
    unanswered: BTreeSet<MachineId>,
    /// When the first of them did.
    unanswered_since: Option<MonotonicTime>,
    release: Option<Release>,
    /// The last pause; zero once a worker reached this controller again.
    pause: Millis,
}

impl ShardRelease {
    /// A heartbeat of any worker arrived.
    pub(super) fn heartbeat_arrived(&mut self, now: MonotonicTime) {
        self.last_heartbeat = Some(now);
    }

    /// A machine of ours sent a new heartbeat, which showed or didn't show that it receives responses.
    pub(super) fn heartbeat_accepted(&mut self, now: MonotonicTime, machine: &MachineId, receives_responses: bool) {
        if receives_responses {
            self.last_received = Some(now);
            self.forget_unanswered();
            return;
        }
        self.unanswered_since.get_or_insert(now);
        if self.unanswered.len() < LEAST_MACHINES {
            self.unanswered.insert(machine.clone());
        }
    }

    fn forget_unanswered(&mut self) {
        self.unanswered.clear();
        self.unanswered_since = None;
    }

    /// Begins a release; returns the pause after which it ends at the latest.
    fn begin(&mut self, reason: ReleaseReason, now: MonotonicTime) -> Millis {
        self.pause = Millis((self.pause.0 * 2).clamp(FIRST_PAUSE.0, LAST_PAUSE.0));
        self.release = Some(Release { since: now, until: now + self.pause, reason });
        self.pause
    }

    /// Ends the release if it is over: a worker reached this controller, or the pause has passed. True if it ended.
    fn end_if_over(&mut self, now: MonotonicTime) -> bool {
        let Some(release) = &self.release else { return false };
        let reached =
            release.reason == ReleaseReason::NoHeartbeats && self.last_heartbeat.is_some_and(|at| at > release.since);
        if !reached && now < release.until {
            return false;
        }
        self.release = None;
        self.forget_unanswered();
        if reached {
            self.pause = Millis(0);
        }
        true
    }
}

impl Core {
    /// True while this controller has given its shards up.
    pub(crate) fn has_released_shards(&self) -> bool {
        self.membership.shard_release.release.is_some()
    }

    /// Begins or ends a release; during one, withdraws the node record, so that the shards are assigned to others.
    pub(super) fn update_shard_release(&mut self) {
        if self.has_released_shards() {
            if self.membership.shard_release.end_if_over(self.now) {
                tracing::info!("taking shards again");
                return;
            }
        } else {
            let Some(reason) = self.release_reason() else { return };
            let pause = self.membership.shard_release.begin(reason, self.now);
            tracing::info!(reason = reason.name(), pause_s = pause.as_secs(), "releasing all shards");
        }
        self.withdraw_node_record();
    }

    fn withdraw_node_record(&mut self) {
        let key = records::node_key(&self.node_name);
        let Some(held) = self.cache.nodes.get(&self.node_name).filter(|held| held.record.is_some()) else { return };
        if !self.store.is_key_busy(&key) {
            let conditions = vec![Condition { key: key.clone(), version: held.version }];
            self.submit_transaction(Transaction { conditions, changes: vec![Change::delete(key)] });
        }
    }

    /// Why the shards should be released, if they should: no worker reaches us, or none receives our responses, while
    /// the store and a peer answer.
    fn release_reason(&self) -> Option<ReleaseReason> {
        let quiet = self.silence_limit();
        // A shard taken over counts from then on, with the machines that its records name.
        let newest_ownership = self.owned_shards.values().map(|owned_shard| owned_shard.owned_since).max();
        let reason = if self.is_without_heartbeats(quiet, newest_ownership) {
            ReleaseReason::NoHeartbeats
        } else if self.is_without_receivers(quiet, newest_ownership) {
            ReleaseReason::NoResponsesReceived
        } else {
            return None;
        };
        (self.has_enough_machines() && self.has_live_peer(quiet) && self.records_fresh()).then_some(reason)
    }

    /// How long no worker may be heard: short enough for a successor to answer within the workers' leases. A worker
    /// waits 4 s for us, and a second before it asks the next controller.
    fn silence_limit(&self) -> Millis {
        let intervals = Millis((self.settings.cluster.workers.report_s * SILENCE_MS_PER_INTERVAL_S) as u64);
        Millis((self.timing.worker_lease.0 / 4).max(intervals.0))
    }

    fn is_without_heartbeats(&self, quiet: Millis, newest_ownership: Option<MonotonicTime>) -> bool {
        let last_heartbeat = self.membership.shard_release.last_heartbeat;
        let heard = last_heartbeat.max(newest_ownership).unwrap_or(self.now).max(self.resumed_at);
        self.now.since(heard) > quiet
    }

    /// True if workers reach this controller, but none of them receives its responses.
    fn is_without_receivers(&self, quiet: Millis, newest_ownership: Option<MonotonicTime>) -> bool {
        let state = &self.membership.shard_release;
        // Machines send many heartbeats within the limit, and each shows that the response before it was received.
        if let Some(at) = state.last_received.filter(|at| Some(*at) >= newest_ownership) {
            return self.now.since(at.max(self.resumed_at)) > quiet;
        }
        // Not all machines have come yet; it takes two heartbeats of one to show that it receives responses.
        let two_intervals = Millis::from_secs(2.0 * self.settings.cluster.workers.report_s);
        let since = state.unanswered_since.map(|at| at.max(self.resumed_at));
        let several = state.unanswered.len() >= LEAST_MACHINES;
        several && since.is_some_and(|at| self.now.since(at) > quiet + two_intervals)
    }

    fn has_enough_machines(&self) -> bool {
        let names = self.owned_shards.values().flat_map(|owned_shard| owned_shard.machine_names());
        names.collect::<BTreeSet<_>>().len() >= LEAST_MACHINES
    }

    fn has_live_peer(&self, quiet: Millis) -> bool {
        self.cache.live_nodes().any(|(node, _)| *node != self.node_name && self.peer_heard_within(node, quiet))
    }
}
