//! Stepping back from shards whose workers cannot reach this node.
//!
//! A controller may lose the workers alone: it renews its lease, the others
//! hear it and send its workers back to it, and their leases run out. So an
//! owner that all of its workers have fallen silent to, while the records and
//! its peers answer, takes itself off the list of nodes and hands its shards to
//! others before that. It comes back after a pause, longer each time, or as
//! soon as a worker reaches it. The same if workers reach it but none of them
//! hears it any more; then only a pause can tell whether that is over.

use crate::coordination::Core;
use crate::protocol::state::{Change, Condition, Transaction};
use crate::storage::records;
use crate::units::{MachineId, Millis, MonotonicTime};
use std::collections::BTreeSet;

/// Fewer machines may fall silent together by chance.
const LEAST_MACHINES: usize = 3;

/// Pauses before it tries again: the first, and the last that doubling leads to.
const FIRST_PAUSE: Millis = Millis(30_000);
const LAST_PAUSE: Millis = Millis(240_000);

#[derive(Debug, Default)]
pub(crate) struct ShardRelease {
    /// When a worker, any worker, was heard last.
    heard: Option<MonotonicTime>,
    /// When one of our machines last showed that it hears.
    answered: Option<MonotonicTime>,
    /// Workers that reported since one last showed that it hears, and since when.
    unanswered: BTreeSet<MachineId>,
    unanswered_since: Option<MonotonicTime>,
    /// Since when, and until when at the latest.
    away: Option<(MonotonicTime, MonotonicTime)>,
    /// Workers do reach it, but do not hear it.
    mute: bool,
    pause: Millis,
}

impl ShardRelease {
    pub fn heard(&mut self, now: MonotonicTime) {
        self.heard = Some(now);
    }

    /// One of our machines reported, and showed or did not that it hears.
    pub fn reported(&mut self, now: MonotonicTime, machine: &MachineId, hears: bool) {
        if hears {
            self.answered = Some(now);
            self.unanswered.clear();
            self.unanswered_since = None;
        } else {
            self.unanswered_since.get_or_insert(now);
            // Few will do.
            if self.unanswered.len() < LEAST_MACHINES {
                self.unanswered.insert(machine.clone());
            }
        }
    }
}

impl Core {
    pub(crate) fn has_released_shards(&self) -> bool {
        self.shard_release.away.is_some()
    }

    /// If all workers of our shards fell silent or deaf, though nothing else did:
    /// whether they do reach us.
    fn out_of_reach(&self) -> Option<bool> {
        // Soon enough for a successor to answer within the workers' leases:
        // they wait 4 s for us, and a second before they ask the next node.
        let quiet =
            Millis((self.timing.worker_lease.0 / 4).max((self.settings.cluster.workers.report_s * 2500.0) as u64));
        // A shard taken over counts from then, with the machines that its records name.
        let fleet_machine = self.owned_shards.values().map(|owned_shard| owned_shard.owned_since).max();
        let heard = self.shard_release.heard.max(fleet_machine).unwrap_or(self.now).max(self.resumed_at);
        let silent = self.now.since(heard) > quiet;
        if !silent && !self.unheard(quiet, fleet_machine) {
            return None;
        }
        let names = self.owned_shards.values().flat_map(|m| m.placed_tasks.keys().chain(m.machines.keys()));
        let machines = names.collect::<BTreeSet<_>>().len();
        let others = self
            .cache
            .live()
            .filter(|(node, _)| **node != self.node_name && self.peer_heard_within(node, quiet))
            .count();
        (machines >= LEAST_MACHINES && others > 0 && self.records_fresh()).then_some(!silent)
    }

    /// True if workers reach this node, but none of them hears it.
    fn unheard(&self, quiet: Millis, fleet_machine: Option<MonotonicTime>) -> bool {
        // They report many times in that time, each time showing that they hear.
        if let Some(at) = self.shard_release.answered.filter(|at| Some(*at) >= fleet_machine) {
            return self.now.since(at.max(self.resumed_at)) > quiet;
        }
        // They have not all come yet; two reports of one show that it hears.
        let pause = Millis::secs(2.0 * self.settings.cluster.workers.report_s);
        let since = self.shard_release.unanswered_since.map(|at| at.max(self.resumed_at));
        let several = self.shard_release.unanswered.len() >= LEAST_MACHINES;
        several && since.is_some_and(|at| self.now.since(at) > quiet + pause)
    }

    pub(crate) fn update_shard_release(&mut self) {
        let now = self.now;
        match self.shard_release.away {
            None => {
                let Some(mute) = self.out_of_reach() else { return };
                self.shard_release.mute = mute;
                let what = if self.shard_release.mute { "no worker hears" } else { "no worker reaches" };
                tracing::info!("{what} this node: its parts go to others");
                let pause = Millis((self.shard_release.pause.0 * 2).clamp(FIRST_PAUSE.0, LAST_PAUSE.0));
                self.shard_release.pause = pause;
                self.shard_release.away = Some((now, now + pause));
            }
            Some((since, until)) => {
                let reached = !self.shard_release.mute && self.shard_release.heard.is_some_and(|at| at > since);
                if reached || now >= until {
                    tracing::info!("this node takes parts again");
                    self.shard_release.away = None;
                    self.shard_release.unanswered.clear();
                    self.shard_release.unanswered_since = None;
                    self.shard_release.pause = if reached { Millis(0) } else { self.shard_release.pause };
                    return;
                }
            }
        }
        let key = records::node_key(&self.node_name);
        let listed = self.cache.nodes.get(&self.node_name).filter(|h| h.record.is_some()).map(|h| h.version);
        if let (Some(version), false) = (listed, self.store.is_key_busy(&key)) {
            let conditions = vec![Condition { key: key.clone(), version }];
            self.submit_transaction(Transaction { conditions, changes: vec![Change::delete(key)] });
        }
    }
}
