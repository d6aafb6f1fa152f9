//! What controllers say to one another: each broadcasts its status at fixed intervals, and a hint whenever there are new
//! records to read. Driven by the tick, by transactions and by incoming statuses. A status is a hint and may be lost,
//! late or repeated; the one thing it decides is that an owner with a lower fencing token stops.

use crate::coordination::shards::owned_shard::OwnedShard;
use crate::coordination::{Core, Output, STATUS_INTERVAL};
use crate::protocol::peer::{MachineAge, PeerStatus, ShardStatus, TeamDemand};
use crate::storage::records::{encode, owner_key, LeaseHolderRecord};
use crate::units::{LeaseId, MachineId, Millis, MonotonicTime, NodeName, Revision, ShardId};

/// Every so many statuses the leader sends the ages of all machines.
const ALL_AGES_EVERY: u64 = 4;

/// Machines younger than this have their ages in every status of the leader.
const YOUNG: Millis = Millis(60_000);

/// When statuses are broadcast.
#[derive(Debug, Default)]
pub(super) struct StatusSchedule {
    next_at: MonotonicTime,
    /// Statuses sent so far.
    sent: u64,
}

impl StatusSchedule {
    /// True if a status is due; the next one is due an interval later.
    fn is_due(&mut self, now: MonotonicTime) -> bool {
        let due = now >= self.next_at;
        if due {
            self.next_at = now + STATUS_INTERVAL;
        }
        due
    }
}

impl Core {
    /// Sends this controller's status to all others, if it is due.
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
        self.out.push(Output::BroadcastStatus(status));
    }

    /// Tells all others at once that there are new records to read.
    pub(crate) fn send_revision_hint(&mut self, revision: Revision) {
        self.out.push(Output::RevisionHint(revision));
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
                .filter(|(_, machine)| machine.notice.is_some())
                .map(|(name, _)| name.to_string())
                .collect(),
        }
    }

    /// Ages of machines, from the leader only: of all now and then, for owners that are new; in between of young
    /// ones, which others may not know yet.
    fn machine_ages(&self) -> Vec<MachineAge> {
        if !self.is_leader() {
            return vec![];
        }
        let all = self.membership.status_schedule.sent % ALL_AGES_EVERY == 0;
        let machines = self.fleet.machines();
        machines
            .map(|(name, machine)| (name, self.now.since(machine.created_at)))
            .filter(|(_, age)| all || *age < YOUNG)
            .map(|(name, age)| MachineAge { machine: name.to_string(), age_s: age.as_secs() })
            .collect()
    }

    fn faulty_machines(&self) -> Vec<String> {
        let machines = self.owned_shards.values().flat_map(|owned_shard| &owned_shard.machines);
        machines.filter(|(_, machine)| machine.faulty).map(|(name, _)| name.to_string()).collect()
    }

    /// Takes in another controller's status.
    pub(crate) fn receive_peer_status(&mut self, status: PeerStatus) {
        let from = NodeName::new(&status.from);
        if !self.membership.peers.status_arrived(&from, status.state_reachable, self.now) {
            return;
        }
        if status.revision > self.cache.revision.0 {
            self.store.watch_at_once(self.now);
            if self.store.may_send(self.now) {
                self.tick_membership();
            }
        }
        for shard in &status.shards {
            self.yield_to_newer_owner(&from, shard);
        }
        self.apply_machine_ages(&status.machine_ages);
        self.membership.peers.keep_status(&from, status);
    }

    /// Drops an owned shard that a peer owns with a higher token: only a later owner can have one, so our ownership
    /// has ended.
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

    /// Takes over ages of machines that were started before this controller first heard of them.
    fn apply_machine_ages(&mut self, ages: &[MachineAge]) {
        for age in ages {
            let name = MachineId::new(&age.machine);
            let shard = self.shard_of(&name);
            let owned_shard = self.owned_shards.get_mut(&shard);
            if let Some(machine) = owned_shard.and_then(|owned_shard| owned_shard.machines.get_mut(&name)) {
                machine.born = machine.born.min(self.now - Millis::from_secs(age.age_s));
            }
        }
    }
}
