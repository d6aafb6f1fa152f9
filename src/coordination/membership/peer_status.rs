//! Peer statuses: each controller broadcasts its status at fixed intervals, and a revision hint whenever there are new
//! records to read. Driven by the tick, by transactions and by incoming statuses. A status is a hint and may be lost,
//! delayed or duplicated. The only decision based on it alone is that an owner with a lower fencing token drops its
//! shard.

use crate::coordination::shards::owned_shard::OwnedShard;
use crate::coordination::{Core, Output, STATUS_INTERVAL};
use crate::protocol::peer::{MachineAge, PeerStatus, ShardStatus, TeamDemand};
use crate::storage::records::{encode, owner_key, LeaseHolderRecord};
use crate::units::{LeaseId, MachineId, Millis, MonotonicTime, NodeName, Revision, ShardId};

/// The leader includes the ages of all machines in one of this many statuses.
const STATUSES_PER_FULL_AGE_LIST: u64 = 4;

/// The leader includes the ages of machines younger than this in every status.
const YOUNG_MACHINE_AGE: Millis = Millis(60_000);

/// Schedule of this controller's status broadcasts.
#[derive(Debug, Default)]
pub(super) struct StatusSchedule {
    next_at: MonotonicTime,
    /// Number of statuses sent so far.
    sent: u64,
}

impl StatusSchedule {
    /// True if a status is due; if so, schedules the next one [`STATUS_INTERVAL`] later.
    fn is_due(&mut self, now: MonotonicTime) -> bool {
        let due = now >= self.next_at;
        if due {
            self.next_at = now + STATUS_INTERVAL;
        }
        due
    }
}

impl Core {
    /// Broadcasts this controller's status to its peers if one is due.
    pub(crate) fn broadcast_due_status(&mut self) {
        if self.membership.status_schedule.is_due(self.now) {
            self.broadcast_status();
        }
    }

    fn broadcast_status(&mut self) {
        let status = PeerStatus {
            from: self.node_name.to_string(),
            revision: self.cache.revision.0,
            state_reachable: self.records_fresh(),
            shards: self
                .owned_shards
                .iter()
                .map(|(shard, owned_shard)| self.shard_status(*shard, owned_shard))
                .collect(),
            machine_ages: self.machine_ages(),
            faulty_machines: self.faulty_machines(),
            failing_jobs: self.failing_jobs(),
        };
        self.membership.status_schedule.sent += 1;
        self.outputs.push(Output::BroadcastStatus(status));
    }

    /// Broadcasts immediately that there are new records to read, up to `revision`.
    pub(crate) fn send_revision_hint(&mut self, revision: Revision) {
        self.outputs.push(Output::RevisionHint(revision));
    }

    fn shard_status(&self, shard: ShardId, owned_shard: &OwnedShard) -> ShardStatus {
        let lease = self.timing.worker_lease;
        let machines = owned_shard.machines.iter();
        ShardStatus {
            shard: shard.0,
            token: owned_shard.token.0,
            teams: owned_shard
                .quota_shortages
                .iter()
                .map(|(team, shortage)| TeamDemand {
                    team: team.clone(),
                    unmet_cpus: shortage.total.cpus,
                    unmet_gpus: shortage.total.gpus,
                })
                .collect(),
            reporting_machines: machines
                .clone()
                .filter(|(_, machine)| {
                    self.now.since(machine.last_heartbeat) < lease && !self.is_downlink_lost(machine)
                })
                .map(|(name, _)| name.to_string())
                .collect(),
            downlink_lost_machines: owned_shard.downlink_lost.keys().map(|name| name.to_string()).collect(),
            terminating_machines: machines
                .filter(|(_, machine)| machine.termination_at.is_some())
                .map(|(name, _)| name.to_string())
                .collect(),
        }
    }

    /// Returns machine ages if this controller is the leader: in every [`STATUSES_PER_FULL_AGE_LIST`]th status of all
    /// machines, for new owners; in the others only of young machines, which the owners may not know yet.
    fn machine_ages(&self) -> Vec<MachineAge> {
        if !self.is_leader() {
            return vec![];
        }
        let all = self.membership.status_schedule.sent % STATUSES_PER_FULL_AGE_LIST == 0;
        let machines = self.fleet.machines();
        machines
            .map(|(name, machine)| (name, self.now.since(machine.created_at)))
            .filter(|(_, age)| all || *age < YOUNG_MACHINE_AGE)
            .map(|(name, age)| MachineAge { machine: name.to_string(), age_s: age.as_secs() })
            .collect()
    }

    /// Names of the machines of owned shards that make tasks fail.
    fn faulty_machines(&self) -> Vec<String> {
        let machines = self.owned_shards.values().flat_map(|owned_shard| &owned_shard.machines);
        machines.filter(|(_, machine)| machine.faulty).map(|(name, _)| name.to_string()).collect()
    }

    /// Handles a status of a peer; ignores controllers that are not configured.
    pub(crate) fn receive_peer_status(&mut self, status: PeerStatus) {
        let from = NodeName::new(&status.from);
        if !self.membership.peers.status_arrived(&from, status.state_reachable, self.now) {
            return;
        }
        if status.revision > self.cache.revision.0 {
            self.store.request_watch_now(self.now);
            if self.store.may_send(self.now) {
                self.tick_membership();
            }
        }
        for shard in &status.shards {
            self.yield_to_newer_owner(&from, shard);
        }
        self.apply_machine_ages(&status.machine_ages);
        self.membership.peers.store_status(&from, status);
    }

    /// Drops an owned shard that a peer owns with a higher fencing token: only a later owner can have one, so the
    /// ownership of this controller has ended.
    fn yield_to_newer_owner(&mut self, node: &NodeName, status: &ShardStatus) {
        let shard = ShardId(status.shard);
        if self.owned_shards.get(&shard).is_none_or(|owned_shard| owned_shard.token.0 >= status.token) {
            return;
        }
        tracing::info!(shard = %shard, token = status.token, node = %node, "lost shard to a newer owner");
        self.drop_shard(shard);
        let holder = LeaseHolderRecord { node: node.clone(), lease: LeaseId(0) };
        self.cache.apply(&owner_key(shard), Some(encode(&holder)), Revision(status.token));
    }

    /// Corrects the start times of machines that started before their first heartbeat to this controller.
    fn apply_machine_ages(&mut self, ages: &[MachineAge]) {
        for age in ages {
            let name = MachineId::new(&age.machine);
            let shard = self.shard_of(&name);
            let owned_shard = self.owned_shards.get_mut(&shard);
            if let Some(machine) = owned_shard.and_then(|owned_shard| owned_shard.machines.get_mut(&name)) {
                machine.started_at = machine.started_at.min(self.now - Millis::from_secs(age.age_s));
            }
        }
    }
}
