//! Shares of teams' limits: what each shard may use, and moving what one does
//! not need to another that lacks it. The shares never sum above the limit.

use crate::coordination::shards::owned_shard::OwnedShard;
use crate::coordination::store_client::pending_requests::change_key;
use crate::coordination::Core;
use crate::protocol::state::{Change, Condition, Transaction};
use crate::storage::cache::StateCache;
use crate::storage::records;
use crate::storage::records::{owner_key, quota_key, QuotaRecord};
use crate::units::{JobId, Millis, Revision, ShardId};
use std::collections::BTreeMap;

/// True if a transaction moves allowance between shards.
pub(crate) fn is_quota_transfer(transaction: &Transaction) -> bool {
    transaction
        .changes
        .iter()
        .any(|c| matches!(records::RecordKey::read(change_key(c)), Some(records::RecordKey::Quota(_))))
}

/// Shares are cut to these; what binary fractions lack of one counts as one.
fn thousandths(amount: f64) -> f64 {
    (amount.max(0.0) * 1000.0 + 1e-6).floor() / 1000.0
}

/// A shard's share of a limit as long as nothing was given: the first has what is
/// left when all have the same.
fn first_share(max: f64, shard: ShardId, shards: u32) -> f64 {
    let each = thousandths(max / f64::from(shards));
    if shard == ShardId(0) {
        max - each * f64::from(shards.saturating_sub(1))
    } else {
        each
    }
}

impl Core {
    /// A shard's share of a team's limit; none: no limit.
    pub(crate) fn quota(&self, shard: ShardId, team: &str) -> (Option<f64>, Option<f64>) {
        let Some(limits) = self.settings.cluster.teams.iter().find(|t| t.name == team) else { return (None, None) };
        let stored = self.cache.quotas.get(&shard).and_then(|h| h.record.as_ref()).and_then(|r| r.teams.get(team));
        let share = |max: f64| first_share(max, shard, self.shard_count);
        let (mut cpus, mut gpus) = stored.copied().unwrap_or((share(limits.cpus_max), share(limits.gpus_max)));
        if let Some(left) =
            self.owned_shards.get(&shard).and_then(|m| m.transferring.as_ref()).and_then(|g| g.teams.get(team))
        {
            cpus = cpus.min(left.0);
            gpus = gpus.min(left.1);
        }
        ((limits.cpus_max > 0.0).then_some(cpus), (limits.gpus_max > 0.0).then_some(gpus))
    }

    /// True if a shard's records hold more of the job's team than the shard may use. The
    /// owner before may have taken a task back and given its allowance away, and
    /// ended before the record said so: what was not started then must not be now.
    pub(crate) fn over_quota(&self, shard: ShardId, owned_shard: &OwnedShard, job: &JobId) -> bool {
        let Some(team) = self.cache.jobs.get(job).map(|j| j.record.spec.team.as_str()) else { return false };
        let (cpus, gpus) = self.quota(shard, team);
        let used = owned_shard.used.get(team).copied().unwrap_or_default();
        let over = |used: f64, limit: Option<f64>| limit.is_some_and(|limit| used > limit + 1e-6);
        over(used.0, cpus) || over(used.1, gpus)
    }

    /// All teams' allowances of a shard, as a record.
    pub(crate) fn quotas(&self, shard: ShardId) -> QuotaRecord {
        let teams = &self.settings.cluster.teams;
        let entry = |name: &str| {
            let (cpus, gpus) = self.quota(shard, name);
            (name.to_string(), (cpus.unwrap_or(0.0), gpus.unwrap_or(0.0)))
        };
        QuotaRecord { teams: teams.iter().map(|t| entry(&t.name)).collect() }
    }

    /// Gives allowance that a shard of ours does not need to a shard that lacks
    /// it, in one transaction conditional on both records and on ownership.
    pub(crate) fn rebalance_quotas(&mut self) {
        let mut wants: BTreeMap<ShardId, BTreeMap<String, (f64, f64)>> = BTreeMap::new();
        for (shard, owned_shard) in &self.owned_shards {
            wants.insert(*shard, owned_shard.wanted.iter().map(|(team, lack)| (team.clone(), lack.all)).collect());
        }
        for peer in self.peers.values() {
            let recent = peer.heard.is_some_and(|at| self.now.since(at) < Millis(3000));
            for load in peer.status.iter().filter(|_| recent).flat_map(|n| &n.shards) {
                let teams = load.teams.iter().map(|t| (t.team.clone(), (t.wanted_cpus, t.wanted_gpus)));
                wants.entry(ShardId(load.shard)).or_insert_with(|| teams.collect());
            }
        }
        for shard in self.owned_shards.keys().copied().collect::<Vec<_>>() {
            for (&to, teams) in wants.iter().filter(|(p, _)| **p != shard) {
                for (team, &(cpus, gpus)) in teams {
                    if (cpus > 0.0 || gpus > 0.0) && self.transfer_quota(shard, to, team, (cpus, gpus)) {
                        return;
                    }
                }
            }
        }
    }

    pub(crate) fn transfer_quota(&mut self, shard: ShardId, to: ShardId, team: &str, want: (f64, f64)) -> bool {
        let keys = [quota_key(shard), quota_key(to)];
        if keys.iter().any(|k| self.store.is_key_busy(k)) || !self.records_fresh() {
            return false;
        }
        let limit = self.quota(shard, team);
        let idle = |m: &&OwnedShard| m.ready && !m.releasing && m.transferring.is_none();
        let Some(owned_shard) = self.owned_shards.get(&shard).filter(idle) else { return false };
        let used = owned_shard.used.get(team).copied().unwrap_or_default();
        let own = owned_shard.wanted.get(team).copied().unwrap_or_default();
        let token = owned_shard.token;
        let left = |limit: Option<f64>, used: f64| limit.map(|limit| (limit - used).max(0.0));
        let left = (left(limit.0, used.0), left(limit.1, used.1));
        // What is too little for any task here may make up one elsewhere. It goes one
        // way only, so that it comes to rest.
        let useless = to < shard && own.is_beyond(left);
        let keep = if useless { (0.0, 0.0) } else { own.all };
        let spare = |left: Option<f64>, keep: f64, want: f64| thousandths((left.unwrap_or(0.0) - keep).min(want));
        let transfer = (spare(left.0, keep.0, want.0), spare(left.1, keep.1, want.1));
        if transfer.0 <= 0.0 && transfer.1 <= 0.0 {
            return false;
        }
        let (mut ours, mut theirs) = (self.quotas(shard), self.quotas(to));
        for (record, sign) in [(&mut ours, -1.0), (&mut theirs, 1.0)] {
            if let Some(share) = record.teams.get_mut(team) {
                share.0 += sign * transfer.0;
                share.1 += sign * transfer.1;
            }
        }
        let version = |cache: &StateCache, p: ShardId| cache.quotas.get(&p).map_or(Revision(0), |h| h.version);
        let conditions = vec![
            Condition { key: owner_key(shard), version: Revision(token.0) },
            Condition { key: keys[0].clone(), version: version(&self.cache, shard) },
            Condition { key: keys[1].clone(), version: version(&self.cache, to) },
        ];
        let (Ok(a), Ok(b)) = (serde_json::to_value(&ours), serde_json::to_value(&theirs)) else { return false };
        if !self.fits_value(&a) || !self.fits_value(&b) {
            return false;
        }
        if let Some(owned_shard) = self.owned_shards.get_mut(&shard) {
            owned_shard.transferring = Some(ours);
        }
        let [from_key, to_key] = keys;
        self.submit_transaction(Transaction {
            conditions,
            changes: vec![Change::put(from_key, a), Change::put(to_key, b)],
        });
        true
    }

    /// The outcome of gifts from or to these shards is in the cache.
    pub(crate) fn end_quota_transfers(&mut self, shards: &[ShardId]) {
        for shard in shards {
            if let Some(owned_shard) = self.owned_shards.get_mut(shard) {
                owned_shard.transferring = None;
            }
        }
    }
}

#[cfg(test)]
mod tests;
