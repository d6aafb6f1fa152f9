//! Team quotas by shard: each shard holds a share of a team's limit, and owners transfer unused quota to shards that
//! lack it, in one transaction. The shares of all shards never sum to more than the limit. Queried by the scheduling
//! cycle, and by heartbeats before a task starts. Never reads or changes placements.

use crate::coordination::shards::owned_shard::OwnedShard;
use crate::coordination::store_client::pending_requests::change_key;
use crate::coordination::Core;
use crate::protocol::state::{Change, Condition, Transaction};
use crate::settings::Team;
use crate::storage::names::{InternedName, NameInterner};
use crate::storage::records::{encode, owner_key, quota_key, QuotaRecord, RecordKey};
use crate::units::{ComputeAmount, JobId, Revision, ShardId};
use std::collections::BTreeMap;

/// Tolerance for floating-point rounding when a few amounts are summed, in cores or GPUs.
pub(crate) const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Tolerance for floating-point rounding when usage is summed over a shard's lifetime, in cores or GPUs.
const USAGE_ROUNDING_TOLERANCE: f64 = 1e-6;

/// A shard's share of a team's limits; `None` where the team has no limit.
#[derive(Debug, Clone, Copy)]
pub struct TeamQuota {
    /// Processor cores.
    pub cpus: Option<f64>,
    /// GPUs.
    pub gpus: Option<f64>,
}

impl TeamQuota {
    /// True if the quota allows `task` in addition to `used`.
    pub fn has_room_for(self, used: ComputeAmount, task: ComputeAmount) -> bool {
        let over = |limit: Option<f64>, sum: f64| limit.is_some_and(|limit| sum > limit + ROUNDING_TOLERANCE);
        !over(self.cpus, used.cpus + task.cpus) && !over(self.gpus, used.gpus + task.gpus)
    }

    /// True if `used` exceeds the quota.
    fn is_exceeded_by(self, used: ComputeAmount) -> bool {
        let over = |limit: Option<f64>, used: f64| limit.is_some_and(|limit| used > limit + USAGE_ROUNDING_TOLERANCE);
        over(self.cpus, used.cpus) || over(self.gpus, used.gpus)
    }

    /// Returns the quota minus `used`, not below zero.
    fn unused(self, used: ComputeAmount) -> TeamQuota {
        let left = |limit: Option<f64>, used: f64| limit.map(|limit| (limit - used).max(0.0));
        TeamQuota { cpus: left(self.cpus, used.cpus), gpus: left(self.gpus, used.gpus) }
    }

    /// Returns the quota in its stored form, with zero where there is no limit.
    fn stored(self) -> ComputeAmount {
        ComputeAmount { cpus: self.cpus.unwrap_or(0.0), gpus: self.gpus.unwrap_or(0.0) }
    }
}

/// Resources that a team is guaranteed: it may use them ahead of other teams' work that is not guaranteed.
#[derive(Debug, Clone)]
pub(crate) struct TeamGuarantee {
    /// Name of the team.
    pub team: InternedName,
    /// Guaranteed cores and GPUs.
    pub amount: ComputeAmount,
}

impl TeamGuarantee {
    /// Returns the guarantees of all teams that have one, in the order of the settings.
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

/// True if the transaction transfers quota between shards, that is, if it changes a quota record.
pub(crate) fn is_quota_transfer(transaction: &Transaction) -> bool {
    let changes_quota = |change| matches!(RecordKey::parse(change_key(change)), Some(RecordKey::Quota(_)));
    transaction.changes.iter().any(changes_quota)
}

/// Rounds down to thousandths, the unit in which quota is split and transferred. An amount that is just below a
/// thousandth because of floating-point rounding counts as that thousandth. Negative amounts become zero.
fn floor_to_thousandths(amount: f64) -> f64 {
    (amount.max(0.0) * 1000.0 + 1e-6).floor() / 1000.0
}

/// Returns a shard's share of a limit before any transfer. All shares are equal, except that shard 0 also gets the
/// remainder.
fn initial_share(limit: f64, shard: ShardId, shards: u32) -> f64 {
    let each = floor_to_thousandths(limit / f64::from(shards));
    if shard == ShardId(0) {
        limit - each * f64::from(shards.saturating_sub(1))
    } else {
        each
    }
}

/// Returns how much of `unused` can be transferred to a shard that lacks `shortage` while this one keeps `reserved`.
fn transferable(unused: TeamQuota, reserved: ComputeAmount, shortage: ComputeAmount) -> ComputeAmount {
    let spare = |unused: Option<f64>, reserved: f64, shortage: f64| {
        floor_to_thousandths((unused.unwrap_or(0.0) - reserved).min(shortage))
    };
    ComputeAmount {
        cpus: spare(unused.cpus, reserved.cpus, shortage.cpus),
        gpus: spare(unused.gpus, reserved.gpus, shortage.gpus),
    }
}

impl Core {
    /// Returns a shard's share of a team's limits. While a transfer is pending, the source shard has the smaller of its
    /// shares before and after.
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
        let quota_after_transfer =
            self.owned_shards.get(&shard).and_then(|owned_shard| owned_shard.quota_after_transfer.as_ref());
        if let Some(after) = quota_after_transfer.and_then(|record| record.teams.get(team)) {
            share.cpus = share.cpus.min(after.cpus);
            share.gpus = share.gpus.min(after.gpus);
        }
        TeamQuota {
            cpus: (limits.cpus_max > 0.0).then_some(share.cpus),
            gpus: (limits.gpus_max > 0.0).then_some(share.gpus),
        }
    }

    /// True if the placed tasks of the job's team exceed its quota in the shard. A previous owner may have unplaced a
    /// task and transferred its quota, and failed before it wrote the task's record. Tasks that have not started yet
    /// must not start then.
    pub(crate) fn over_quota(&self, shard: ShardId, owned_shard: &OwnedShard, job: &JobId) -> bool {
        let Some(job) = self.cache.jobs.get(job) else { return false };
        let team = job.record.spec.team.as_str();
        self.quota(shard, team).is_exceeded_by(owned_shard.usage_of(team))
    }

    /// Returns the record of the shard's current quotas of all teams.
    fn quota_record(&self, shard: ShardId) -> QuotaRecord {
        let names = self.settings.cluster.teams.iter().map(|team| &team.name);
        QuotaRecord { teams: names.map(|name| (name.clone(), self.quota(shard, name).stored())).collect() }
    }

    /// Transfers unneeded quota of an owned shard to a shard that lacks it; at most one transfer per call.
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

    /// Returns the quota that each shard lacks, by team: from this controller's state for owned shards, and from recent
    /// peer statuses for the others.
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
    /// on both quota records and on ownership. Returns false if no transfer is possible now.
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

    /// Returns how much of a team's quota an owned shard can transfer, or `None` if it has nothing to spare or can't
    /// transfer now, for example because another transfer is pending.
    fn transferable_quota(
        &self,
        from: ShardId,
        to: ShardId,
        team: &str,
        shortage: ComputeAmount,
    ) -> Option<ComputeAmount> {
        let can_transfer =
            |shard: &&OwnedShard| shard.ready && !shard.releasing && shard.quota_after_transfer.is_none();
        let owned_shard = self.owned_shards.get(&from).filter(can_transfer)?;
        let unused = self.quota(from, team).unused(owned_shard.usage_of(team));
        let own_shortage = owned_shard.quota_shortages.get(team).copied().unwrap_or_default();
        // Quota that is too small for any task here may be enough together with the quota of another shard. Transfer it
        // to lower-numbered shards only, so that it isn't sent back and forth.
        let useless_here = to < from && own_shortage.exceeds(unused);
        let reserved = if useless_here { ComputeAmount::default() } else { own_shortage.total };
        let amount = transferable(unused, reserved, shortage);
        (amount.cpus > 0.0 || amount.gpus > 0.0).then_some(amount)
    }

    /// Returns the transaction that transfers quota, and marks the transfer as pending: from now on the source shard
    /// has the smaller quota. Returns `None` if a record would exceed the store's maximum value size.
    fn quota_transfer(&mut self, from: ShardId, to: ShardId, team: &str, amount: ComputeAmount) -> Option<Transaction> {
        let (mut source, mut target) = (self.quota_record(from), self.quota_record(to));
        if let Some(share) = source.teams.get_mut(team) {
            share.cpus -= amount.cpus;
            share.gpus -= amount.gpus;
        }
        if let Some(share) = target.teams.get_mut(team) {
            share.cpus += amount.cpus;
            share.gpus += amount.gpus;
        }
        let (source_value, target_value) = (encode(&source), encode(&target));
        if !self.fits_value(&source_value) || !self.fits_value(&target_value) {
            return None;
        }
        let (from_key, to_key) = (quota_key(from), quota_key(to));
        let version = |shard| self.cache.quotas.get(&shard).map_or(Revision(0), |held| held.version);
        let (from_version, to_version) = (version(from), version(to));
        let owned_shard = self.owned_shards.get_mut(&from)?;
        owned_shard.quota_after_transfer = Some(source);
        Some(Transaction {
            conditions: vec![
                Condition { key: owner_key(from), version: Revision(owned_shard.token.0) },
                Condition { key: from_key.clone(), version: from_version },
                Condition { key: to_key.clone(), version: to_version },
            ],
            changes: vec![Change::put(from_key, source_value), Change::put(to_key, target_value)],
        })
    }

    /// Ends the pending transfers from or to these shards: their outcome is in the cache.
    pub(crate) fn end_quota_transfers(&mut self, shards: &[ShardId]) {
        for shard in shards {
            if let Some(owned_shard) = self.owned_shards.get_mut(shard) {
                owned_shard.quota_after_transfer = None;
            }
        }
    }
}

#[cfg(test)]
mod tests;
