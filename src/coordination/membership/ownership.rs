//! Who is alive, who owns which shard, and who leads.

use crate::coordination::shards::owned_shard::OwnedShard;
use crate::coordination::store_client::pending_requests::PendingRequest;
use crate::coordination::{Core, Output};
use crate::protocol::peer::{MachineAge, PeerStatus, ShardStatus};
use crate::protocol::state::{Change, Condition, StoreRequest, StoreResponse, Transaction};
use crate::storage::records;
use crate::storage::records::{LeaseHolderRecord, NodeRecord, LEADER_KEY};
use crate::units::{stable_hash, FencingToken, LeaseId, MachineId, Millis, NodeName, Revision, ShardId};
use std::collections::{BTreeMap, BTreeSet};

/// Deals shards to live nodes: a shard whose own node (by order of names) is
/// alive goes there; the others by rendezvous, evenly.
pub fn assign_shards(shards: u32, all: &[String], live: &BTreeSet<&str>) -> BTreeMap<ShardId, String> {
    let mut dealt = BTreeMap::new();
    if live.is_empty() {
        return dealt;
    }
    let most = (shards as usize).div_ceil(live.len());
    let mut load: BTreeMap<&str, usize> = BTreeMap::new();
    for shard in 0..shards {
        if let Some(own) = all.get(shard as usize).filter(|n| live.contains(n.as_str())) {
            *load.entry(own).or_default() += 1;
            dealt.insert(ShardId(shard), own.clone());
        }
    }
    for shard in 0..shards {
        if dealt.contains_key(&ShardId(shard)) {
            continue;
        }
        let name = shard.to_string();
        let best = live
            .iter()
            .filter(|n| load.get(**n).copied().unwrap_or(0) < most)
            .max_by_key(|n| stable_hash(&["owner", &name, n]));
        if let Some(node) = best {
            *load.entry(node).or_default() += 1;
            dealt.insert(ShardId(shard), node.to_string());
        }
    }
    dealt
}

/// Notes after which the leader tells the ages of all machines again.
const ALL_AGES_EVERY: u64 = 4;

/// Machines whose ages every note of the leader tells.
const YOUNG: Millis = Millis(60_000);

impl Core {
    pub(crate) fn tick_membership(&mut self) {
        if !self.store.may_send(self.now) {
            return;
        }
        self.keep_cache_current();
        match self.lease {
            None if !self.granting => {
                self.granting = true;
                self.store.charge_read(self.now);
                self.call_state(StoreRequest::GrantLease { ttl_ms: self.timing.ttl.0 }, PendingRequest::Grant);
            }
            Some(lease) if !self.renewing && self.now >= self.renew_at => {
                self.renewing = true;
                self.store.charge_read(self.now);
                self.call_state(StoreRequest::RenewLease { lease }, PendingRequest::Renew(lease));
            }
            _ => {}
        }
        if let (true, Some(lease)) = (self.store.is_loaded(), self.lease) {
            self.update_shard_release();
            self.announce(lease);
            self.claim_shards(lease);
            self.claim_leadership(lease);
        }
    }

    pub(crate) fn grant_answer(&mut self, answer: StoreResponse) {
        self.granting = false;
        match answer {
            StoreResponse::LeaseGranted(lease) => {
                self.lease = Some(lease);
                self.renew_at = self.now + self.timing.renew_every;
            }
            _ => self.store.pause(self.now),
        }
    }

    pub(crate) fn renew_answer(&mut self, lease: LeaseId, answer: StoreResponse) {
        self.renewing = false;
        self.renew_at = self.now + self.timing.renew_every;
        match answer {
            StoreResponse::LeaseRenewed => {}
            StoreResponse::LeaseGone if self.lease == Some(lease) => self.lease_lost(),
            _ => self.renew_at = self.now + Millis(300),
        }
    }

    /// The lease ended: everything held by it is gone.
    fn lease_lost(&mut self) {
        tracing::info!("the lease is gone, and with it all parts");
        self.lease = None;
        for shard in self.owned_shards.keys().copied().collect::<Vec<_>>() {
            self.drop_shard(shard);
        }
    }

    /// A put named a lease that is gone: ours, or that of a node we meant to
    /// hand a shard to.
    pub(crate) fn lease_gone_elsewhere(&mut self, transaction: &Transaction) {
        let ours = |c: &Change| matches!(c, Change::Put { lease, .. } if lease.is_some() && *lease == self.lease);
        if transaction.changes.iter().any(ours) {
            self.lease_lost();
        }
    }

    fn announce(&mut self, lease: LeaseId) {
        let key = records::node_key(&self.node_name);
        let held = self.cache.nodes.get(&self.node_name);
        let current = held.and_then(|h| h.record.as_ref()).is_some_and(|r| r.lease == lease);
        if current || self.has_released_shards() || self.store.is_key_busy(&key) {
            return;
        }
        if let Ok(value) = serde_json::to_value(NodeRecord {
            lease,
            level: crate::coordination::membership::feature_level::SUPPORTED_LEVEL,
        }) {
            // Carried out late it must not undo what this node said later.
            let conditions = vec![Condition { key: key.clone(), version: held.map_or(Revision(0), |h| h.version) }];
            self.submit_transaction(Transaction { conditions, changes: vec![Change::put_leased(key, value, lease)] });
        }
    }

    fn live_targets(&self) -> BTreeMap<ShardId, String> {
        let all = self.settings.node_names();
        let live: BTreeSet<&str> = self.cache.live().map(|(n, _)| n.as_str()).collect();
        assign_shards(self.shard_count, &all, &live)
    }

    fn claim_shards(&mut self, lease: LeaseId) {
        let announced = self.cache.nodes.get(&self.node_name).is_some_and(|h| h.record.is_some());
        if !announced && !self.has_released_shards() {
            return;
        }
        for (shard, target) in self.live_targets() {
            let key = records::owner_key(shard);
            if self.store.is_key_busy(&key) {
                continue;
            }
            let held = self.cache.owners.get(&shard).cloned().unwrap_or_default();
            let holder = held.record.as_ref();
            if target == self.node_name.as_str() {
                // It was on its way to a node that is gone again: it stays, and is served.
                self.target_since.remove(&shard);
                if let Some(owned_shard) = self.owned_shards.get_mut(&shard) {
                    owned_shard.releasing = false;
                }
                // Free, or held by an earlier life of this very node.
                let free = holder.is_none_or(|h| h.node == self.node_name && h.lease != lease);
                if free {
                    self.hold(key, held.version, self.node_name.clone(), lease);
                }
            } else if holder.is_some_and(|h| h.node == self.node_name) && self.owned_shards.contains_key(&shard) {
                self.hand_over(shard, NodeName::new(&target));
            }
        }
    }

    fn hold(&mut self, key: String, version: Revision, node: NodeName, lease: LeaseId) {
        let Ok(value) = serde_json::to_value(LeaseHolderRecord { node, lease }) else { return };
        let conditions = vec![Condition { key: key.clone(), version }];
        self.submit_transaction(Transaction { conditions, changes: vec![Change::put_leased(key, value, lease)] });
    }

    /// Gives a shard back to its node in one transaction, once nothing of it
    /// is on its way; the new owner's token is that transaction's revision.
    fn hand_over(&mut self, shard: ShardId, to: NodeName) {
        let now = self.now;
        let since = match self.target_since.get(&shard) {
            Some((target, since)) if *target == to => *since,
            _ => {
                self.target_since.insert(shard, (to, now));
                return;
            }
        };
        // A node that has just come up is given a moment to settle; workers that
        // we cannot reach have none to lose.
        let has_released_shards = self.has_released_shards();
        if now.since(since) < Millis(1500) && !has_released_shards {
            return;
        }
        let Some(owned_shard) = self.owned_shards.get_mut(&shard) else { return };
        owned_shard.releasing = true;
        let idle = owned_shard.inflight.is_none() && owned_shard.rereads == 0;
        if !idle || (!owned_shard.dirty.is_empty() && !has_released_shards && now.since(since) < Millis(4000)) {
            return;
        }
        let token = owned_shard.token;
        let Some(lease) = self.cache.nodes.get(&to).and_then(|h| h.record.as_ref()).map(|r| r.lease) else { return };
        self.target_since.remove(&shard);
        self.hold(records::owner_key(shard), Revision(token.0), to, lease);
    }

    /// Takes up or drops a shard according to its ownership key.
    pub(crate) fn owner_changed(&mut self, shard: ShardId) {
        let held = self.cache.owners.get(&shard).cloned().unwrap_or_default();
        let ours = held.record.as_ref().is_some_and(|h| h.node == self.node_name && Some(h.lease) == self.lease);
        let token = FencingToken(held.version.0);
        match self.owned_shards.get(&shard) {
            Some(owned_shard) if ours && owned_shard.token == token => {}
            Some(_) if !ours => {
                tracing::info!("part {shard} is no longer ours");
                self.drop_shard(shard);
            }
            _ if ours => {
                tracing::info!("part {shard} is ours with token {token}");
                self.drop_shard(shard);
                self.owned_shards.insert(shard, OwnedShard::new(token, self.now));
                self.activate_ready_shards();
            }
            _ => {}
        }
    }

    fn drop_shard(&mut self, shard: ShardId) {
        if self.owned_shards.remove(&shard).is_some() {
            self.expire_deferred_responses(shard);
            for id in self.cache.active.clone() {
                let Some(job) = self.cache.jobs.get_mut(&id) else { continue };
                for index in 0..job.slices().len() {
                    if job.shard_of(index) == Some(shard) {
                        job.set_desired(index, None);
                    }
                }
            }
        }
    }

    pub(crate) fn is_leader(&self) -> bool {
        let held = self.cache.leader.record.as_ref();
        held.is_some_and(|h| h.node == self.node_name && Some(h.lease) == self.lease)
    }

    fn claim_leadership(&mut self, lease: LeaseId) {
        let held = &self.cache.leader;
        let free = held.record.as_ref().is_none_or(|h| h.node == self.node_name && h.lease != lease);
        if !free || self.store.is_key_busy(LEADER_KEY) {
            return;
        }
        // The first live node by name tries at once, so that not all do.
        let first = self.cache.live().map(|(n, _)| n).min();
        if first == Some(&self.node_name) {
            self.hold(LEADER_KEY.into(), held.version, self.node_name.clone(), lease);
        }
    }

    fn own_status(&self) -> PeerStatus {
        PeerStatus {
            from: self.node_name.to_string(),
            revision: self.cache.revision.0,
            state_reachable: self.records_fresh(),
            shards: self
                .owned_shards
                .iter()
                .map(|(shard, owned_shard)| self.shard_status(*shard, owned_shard))
                .collect(),
            machine_ages: vec![],
            faulty_machines: vec![],
            failing_jobs: vec![],
        }
    }

    fn shard_status(&self, shard: ShardId, owned_shard: &OwnedShard) -> ShardStatus {
        ShardStatus {
            shard: shard.0,
            token: owned_shard.token.0,
            teams: owned_shard
                .quota_shortages
                .iter()
                .map(|(team, want)| crate::protocol::peer::TeamDemand {
                    team: team.clone(),
                    unmet_cpus: want.total.cpus,
                    unmet_gpus: want.total.gpus,
                })
                .collect(),
            reporting_machines: vec![],
            downlink_lost_machines: owned_shard.downlink_lost.keys().map(|name| name.to_string()).collect(),
            terminating_machines: owned_shard
                .machines
                .iter()
                .filter(|(_, m)| m.notice.is_some())
                .map(|(n, _)| n.to_string())
                .collect(),
        }
    }

    pub(crate) fn broadcast_status(&mut self) {
        let mut status = self.own_status();
        if self.is_leader() {
            // All of them now and then, for owners that are new; in between
            // only young machines', which others may not know yet.
            let all = self.told % ALL_AGES_EVERY == 0;
            let ages = self.fleet.machines().filter(|(_, m)| all || self.now.since(m.created_at) < YOUNG);
            status.machine_ages = ages
                .map(|(name, m)| MachineAge {
                    machine: name.to_string(),
                    age_s: self.now.since(m.created_at).as_secs(),
                })
                .collect();
        }
        status.faulty_machines = self
            .owned_shards
            .values()
            .flat_map(|m| &m.machines)
            .filter(|(_, m)| m.faulty)
            .map(|(n, _)| n.to_string())
            .collect();
        status.failing_jobs = self.failing_jobs();
        let quiet = self.timing.worker_lease;
        for load in &mut status.shards {
            let machines = self.owned_shards.get(&ShardId(load.shard)).into_iter().flat_map(|m| &m.machines);
            let heard = machines.filter(|(_, m)| self.now.since(m.last_heartbeat) < quiet && !self.is_downlink_lost(m));
            load.reporting_machines = heard.map(|(name, _)| name.to_string()).collect();
        }
        self.told += 1;
        self.out.push(Output::BroadcastStatus(status));
    }

    /// Tells the others at once that there is something new to read, without
    /// saying all of a note again.
    pub(crate) fn send_revision_hint(&mut self, revision: Revision) {
        self.out.push(Output::RevisionHint(revision));
    }

    pub(crate) fn receive_peer_status(&mut self, status: PeerStatus) {
        let Some(peer) = self.peers.get_mut(&NodeName::new(&status.from)) else { return };
        peer.heard = Some(self.now);
        peer.state_reachable = status.state_reachable;
        if status.revision > self.cache.revision.0 {
            self.store.watch_at_once(self.now);
            if self.store.may_send(self.now) {
                self.tick_membership();
            }
        }
        // Only an owner with a higher token can tell us so: ours has ended.
        for load in &status.shards {
            let shard = ShardId(load.shard);
            if self.owned_shards.get(&shard).is_some_and(|m| m.token.0 < load.token) {
                tracing::info!("{} owns part {shard} now", status.from);
                self.drop_shard(shard);
                let holder = LeaseHolderRecord { node: NodeName::new(&status.from), lease: LeaseId(0) };
                if let Ok(value) = serde_json::to_value(holder) {
                    self.cache.apply(&records::owner_key(shard), Some(value), Revision(load.token));
                }
            }
        }
        for age in &status.machine_ages {
            let name = MachineId::new(&age.machine);
            let shard = self.shard_of(&name);
            if let Some(machine) = self.owned_shards.get_mut(&shard).and_then(|m| m.machines.get_mut(&name)) {
                machine.born = machine.born.min(self.now - Millis::secs(age.age_s));
            }
        }
        if let Some(peer) = self.peers.get_mut(&NodeName::new(&status.from)) {
            if !status.machine_ages.is_empty() || !status.shards.is_empty() || peer.status.is_none() {
                peer.status = Some(status);
            }
        }
    }

    pub(crate) fn shard_of(&self, machine: &MachineId) -> ShardId {
        ShardId::of(machine.as_str(), self.shard_count)
    }
}

#[cfg(test)]
mod tests;
