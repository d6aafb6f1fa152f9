//! Quotas of teams by shard: each shard holds a share of a team's limit, and owners transfer what they don't need to
//! shards that lack it, in one transaction. The shares of all shards never sum to more than the limit. Asked by the
//! scheduling cycle and by heartbeats before a task starts; never reads or changes placements.

use crate::coordination::shards::owned_shard::OwnedShard;
use crate::coordination::store_client::pending_requests::change_key;
use crate::coordination::Core;
use crate::protocol::state::{Change, Condition, Transaction};
use crate::settings::Team;
use crate::storage::names::{InternedName, NameInterner};
use crate::storage::records::{encode, owner_key, quota_key, QuotaRecord, RecordKey};
use crate::units::{ComputeAmount, JobId, Revision, ShardId};
use std::collections::BTreeMap;

/// What rounding of binary fractions may add when a few amounts are summed, in cores or GPUs.
pub(crate) const ROUNDING: f64 = 1e-9;

/// What rounding may add when usage is summed over a shard's whole life, in cores or GPUs.
const USAGE_ROUNDING: f64 = 1e-6;

/// What a shard may use of a team's limit; none: the team has no limit.
#[derive(Debug, Clone, Copy)]
pub struct TeamQuota {
    /// Processor cores.
    pub cpus: Option<f64>,
    /// GPUs.
    pub gpus: Option<f64>,
}

impl TeamQuota {
    /// True if the team may use `task` on top of `used`.
    pub fn has_room_for(self, used: ComputeAmount, task: ComputeAmount) -> bool {
        let over = |limit: Option<f64>, sum: f64| limit.is_some_and(|limit| sum > limit + ROUNDING);
        !over(self.cpus, used.cpus + task.cpus) && !over(self.gpus, used.gpus + task.gpus)
    }

    /// True if `used` is more than the team may use.
    fn is_exceeded_by(self, used: ComputeAmount) -> bool {
        let over = |limit: Option<f64>, used: f64| limit.is_some_and(|limit| used > limit + USAGE_ROUNDING);
        over(self.cpus, used.cpus) || over(self.gpus, used.gpus)
    }

    /// What is left of the quota beside `used`.
    fn unused(self, used: ComputeAmount) -> TeamQuota {
        let left = |limit: Option<f64>, used: f64| limit.map(|limit| (limit - used).max(0.0));
        TeamQuota { cpus: left(self.cpus, used.cpus), gpus: left(self.gpus, used.gpus) }
    }

    /// The quota as it is stored: zero where there is no limit.
    fn stored(self) -> ComputeAmount {
        ComputeAmount { cpus: self.cpus.unwrap_or(0.0), gpus: self.gpus.unwrap_or(0.0) }
    }
}

/// What a team may use before other teams' work that is not guaranteed.
#[derive(Debug, Clone)]
pub(crate) struct TeamGuarantee {
    /// The team's name.
    pub team: InternedName,
    /// The guaranteed amount.
    pub amount: ComputeAmount,
}

impl TeamGuarantee {
    /// The guarantees of all teams that have one, in the order of the settings.
    pub fn all(teams: &[Team], names: &mut NameInterner) -> Vec<TeamGuarantee> {
        let guaranteed = teams.iter().filter(|team| team.cpus > 0.0 || team.gpus > 0.0);
        guaranteed
            .map(|team| TeamGuarantee {
                team: names.intern(&team.name),
                amount: ComputeAmount { cpus: team.cpus, gpus: team.gpus },
            })
            .collect()
    }
}

/// True if a transaction moves quota between shards.
pub(crate) fn is_quota_transfer(transaction: &Transaction) -> bool {
    let changes_quota = |change| matches!(RecordKey::parse(change_key(change)), Some(RecordKey::Quota(_)));
    transaction.changes.iter().any(changes_quota)
}

/// Rounds down to thousandths, in which quota is split and moved; what binary fractions lack of one counts as one.
fn thousandths(amount: f64) -> f64 {
    (amount.max(0.0) * 1000.0 + 1e-6).floor() / 1000.0
}

/// A shard's share of a limit before any transfer: equal shares, and the first shard has the remainder as well.
fn initial_share(limit: f64, shard: ShardId, shards: u32) -> f64 {
    let each = thousandths(limit / f64::from(shards));
    if shard == ShardId(0) {
        limit - each * f64::from(shards.saturating_sub(1))
    } else {
        each
    }
}

/// What of `unused` another shard that lacks `shortage` may have, after this one kept `reserved`.
fn transferable(unused: TeamQuota, reserved: ComputeAmount, shortage: ComputeAmount) -> ComputeAmount {
    let spare = |unused: Option<f64>, reserved: f64, shortage: f64| {
        thousandths((unused.unwrap_or(0.0) - reserved).min(shortage))
    };
    ComputeAmount {
        cpus: spare(unused.cpus, reserved.cpus, shortage.cpus),
        gpus: spare(unused.gpus, reserved.gpus, shortage.gpus),
    }
}

impl Core {
    /// A shard's share of a team's limit. While a transfer is under way the giving shard has the lesser of both.
    pub(crate) fn quota(&self, shard: ShardId, team: &str) -> TeamQuota {
        let Some(limits) = self.settings.cluster.teams.iter().find(|limits| limits.name == team) else {
            return TeamQuota { cpus: None, gpus: None };
        };
        let record = self.cache.quotas.get(&shard).and_then(|held| held.record.as_ref());
        let stored = record.and_then(|record| record.teams.get(team)).copied();
        let mut share = stored.unwrap_or(ComputeAmount {
            cpus: initial_share(limits.cpus_max, shard, self.shard_count),
            gpus: initial_share(limits.gpus_max, shard, self.shard_count),
        });
        let transferring = self.owned_shards.get(&shard).and_then(|owned_shard| owned_shard.transferring.as_ref());
        if let Some(after) = transferring.and_then(|record| record.teams.get(team)) {
            share.cpus = share.cpus.min(after.cpus);
            share.gpus = share.gpus.min(after.gpus);
        }
        TeamQuota {
            cpus: (limits.cpus_max > 0.0).then_some(share.cpus),
            gpus: (limits.gpus_max > 0.0).then_some(share.gpus),
        }
    }

    /// True if a shard's records place more of the job's team than its quota. An earlier owner may have unplaced a
    /// task and transferred its quota, and ended before the record said so: a task that was not started before must
    /// not start then.
    pub(crate) fn over_quota(&self, shard: ShardId, owned_shard: &OwnedShard, job: &JobId) -> bool {
        let Some(job) = self.cache.jobs.get(job) else { return false };
        let team = job.record.spec.team.as_str();
        self.quota(shard, team).is_exceeded_by(owned_shard.usage_of(team))
    }

    /// The shard's quotas of all teams, as they are stored.
    fn quota_record(&self, shard: ShardId) -> QuotaRecord {
        let names = self.settings.cluster.teams.iter().map(|team| &team.name);
        QuotaRecord { teams: names.map(|name| (name.clone(), self.quota(shard, name).stored())).collect() }
    }

    /// Transfers quota that an owned shard doesn't need to a shard that lacks it: one transfer a call.
    pub(crate) fn rebalance_quotas(&mut self) {
        let shortages = self.quota_shortages();
        for shard in self.owned_shards.keys().copied().collect::<Vec<_>>() {
            for (&to, teams) in shortages.iter().filter(|(other, _)| **other != shard) {
                for (team, &shortage) in teams {
                    let lacks = shortage.cpus > 0.0 || shortage.gpus > 0.0;
                    if lacks && self.transfer_quota(shard, to, team, shortage) {
                        return;
                    }
                }
            }
        }
    }

    /// What each shard lacks by team: from this controller's shards, and from what peers said lately of theirs.
    fn quota_shortages(&self) -> BTreeMap<ShardId, BTreeMap<String, ComputeAmount>> {
        let mut shortages: BTreeMap<ShardId, BTreeMap<String, ComputeAmount>> = BTreeMap::new();
        for (shard, owned_shard) in &self.owned_shards {
            let teams = owned_shard.quota_shortages.iter();
            shortages.insert(*shard, teams.map(|(team, shortage)| (team.clone(), shortage.total)).collect());
        }
        let peer_statuses = self.membership.peers().recent_statuses(self.now);
        for status in peer_statuses.flat_map(|status| &status.shards) {
            let teams = status.teams.iter().map(|demand| {
                let lacking = ComputeAmount { cpus: demand.unmet_cpus, gpus: demand.unmet_gpus };
                (demand.team.clone(), lacking)
            });
            shortages.entry(ShardId(status.shard)).or_insert_with(|| teams.collect());
        }
        shortages
    }

    /// Transfers quota of a team from an owned shard to another that lacks `shortage`, in one transaction conditional
    /// on both quota records and on ownership. False if there is nothing to transfer or it can't be done now.
    pub(crate) fn transfer_quota(&mut self, from: ShardId, to: ShardId, team: &str, shortage: ComputeAmount) -> bool {
        let busy = [from, to].iter().any(|shard| self.store.is_key_busy(&quota_key(*shard)));
        if busy || !self.records_fresh() {
            return false;
        }
        let Some(amount) = self.transferable_quota(from, to, team, shortage) else { return false };
        let Some(transaction) = self.quota_transfer(from, to, team, amount) else { return false };
        self.submit_transaction(transaction);
        true
    }

    /// What an owned shard can transfer of a team's quota; none if it has nothing, or is busy with another transfer.
    fn transferable_quota(
        &self,
        from: ShardId,
        to: ShardId,
        team: &str,
        shortage: ComputeAmount,
    ) -> Option<ComputeAmount> {
        let can_transfer = |shard: &&OwnedShard| shard.ready && !shard.releasing && shard.transferring.is_none();
        let owned_shard = self.owned_shards.get(&from).filter(can_transfer)?;
        let unused = self.quota(from, team).unused(owned_shard.usage_of(team));
        let own_shortage = owned_shard.quota_shortages.get(team).copied().unwrap_or_default();
        // What is too little for any task here may be enough together with what another shard has. It goes to lower
        // shards only, so that it isn't sent back and forth.
        let useless_here = to < from && own_shortage.exceeds(unused);
        let reserved = if useless_here { ComputeAmount::default() } else { own_shortage.total };
        let amount = transferable(unused, reserved, shortage);
        (amount.cpus > 0.0 || amount.gpus > 0.0).then_some(amount)
    }

    /// The transaction that transfers quota; the shard counts with the lesser quota from here on. None if a record
    /// would not fit into one value.
    fn quota_transfer(&mut self, from: ShardId, to: ShardId, team: &str, amount: ComputeAmount) -> Option<Transaction> {
        let (mut giving, mut receiving) = (self.quota_record(from), self.quota_record(to));
        if let Some(share) = giving.teams.get_mut(team) {
            share.cpus -= amount.cpus;
            share.gpus -= amount.gpus;
        }
        if let Some(share) = receiving.teams.get_mut(team) {
            share.cpus += amount.cpus;
            share.gpus += amount.gpus;
        }
        let (giving_value, receiving_value) = (encode(&giving), encode(&receiving));
        if !self.fits_value(&giving_value) || !self.fits_value(&receiving_value) {
            return None;
        }
        let (from_key, to_key) = (quota_key(from), quota_key(to));
        let version = |shard| self.cache.quotas.get(&shard).map_or(Revision(0), |held| held.version);
        let (from_version, to_version) = (version(from), version(to));
        let owned_shard = self.owned_shards.get_mut(&from)?;
        owned_shard.transferring = Some(giving);
        Some(Transaction {
            conditions: vec![
                Condition { key: owner_key(from), version: Revision(owned_shard.token.0) },
                Condition { key: from_key.clone(), version: from_version },
                Condition { key: to_key.clone(), version: to_version },
            ],
            changes: vec![Change::put(from_key, giving_value), Change::put(to_key, receiving_value)],
        })
    }

    /// The outcome of transfers from or to these shards is in the cache.
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
