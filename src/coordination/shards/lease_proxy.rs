//! Lease proxies: a controller renews the leases of workers that cannot reach the owner of their shard.
//!
//! During a partition between two zones, a worker may be separated from its owner while another controller runs in the
//! worker's zone. That controller may respond on the owner's behalf, without commands that start tasks, so that running
//! tasks continue. The owner must then not treat the silent worker as lost. Three rules ensure this:
//!
//! - A proxy responds only while its record `t/w/SHARD/NODE`, which expires with its lease, is durable, its cache has
//!   reached that record, and its cache is fresh.
//! - An owner declares a silent machine lost only after a transaction, sent once the machine's lease must have expired,
//!   has found no proxy of the shard, and its cache has reached that transaction (`machine_expiry`). By the time that a
//!   later proxy registers, the worker has already killed its tasks.
//! - After a proxy's record is gone, the owner waits for as long as the proxy may act without knowing that, and for a
//!   full worker lease in addition.
//!
//! Called in housekeeping and for heartbeats of machines whose shard another controller owns.

use crate::coordination::heartbeats::reconciliation::MAX_COMMANDS;
use crate::coordination::membership::feature_level::SUPPORTED_LEVEL;
use crate::coordination::{Core, Response, STATUS_INTERVAL};
use crate::protocol::state::{Change, Condition, Transaction};
use crate::protocol::workers::{Command, Heartbeat, TaskState, TaskStatus};
use crate::storage::records::{encode, lease_proxy_key, owner_key, NodeRecord};
use crate::units::{FencingToken, LeaseId, Millis, NodeName, Revision, ShardId};

/// Allowance for delivery delay on top of two status intervals.
const STATUS_DELAY_ALLOWANCE: Millis = Millis(200);

impl Core {
    /// Returns how long a peer may be silent before it counts as unreachable: two statuses may be lost by chance.
    fn peer_silence_limit(&self) -> Millis {
        Millis((self.timing.worker_lease.0 / 4).max(2 * STATUS_INTERVAL.0 + STATUS_DELAY_ALLOWANCE.0))
    }

    /// True if a peer was heard within this time. A peer that was never heard counts as heard when this process began.
    pub(crate) fn peer_heard_within(&self, node: &NodeName, limit: Millis) -> bool {
        let heard = self.membership.peers().last_heard(node).unwrap_or(self.started_at);
        self.now.since(heard) <= limit
    }

    /// Registers this controller as a proxy for shards whose owners it doesn't hear, and deletes its other proxy
    /// records.
    pub(crate) fn renew_lease_proxies(&mut self) {
        let Some(lease) = self.membership.lease() else { return };
        if !self.records_fresh() || !self.store.may_send(self.now) {
            return;
        }
        let owners: Vec<(ShardId, NodeName, Revision)> = self
            .cache
            .owners
            .iter()
            .filter_map(|(shard, held)| Some((*shard, held.record.as_ref()?.node.clone(), held.version)))
            .collect();
        for (shard, owner, owner_version) in owners {
            if !self.store.is_key_busy(&lease_proxy_key(shard, &self.node_name)) {
                self.renew_lease_proxy(shard, &owner, owner_version, lease);
            }
        }
    }

    fn renew_lease_proxy(&mut self, shard: ShardId, owner: &NodeName, owner_version: Revision, lease: LeaseId) {
        let key = lease_proxy_key(shard, &self.node_name);
        let held = self.cache.lease_proxies.get(&(shard, self.node_name.clone()));
        let record = held.and_then(|held| held.record.as_ref());
        let is_registered = record.is_some_and(|record| record.lease == lease);
        let is_owner_silent = *owner != self.node_name && !self.peer_heard_within(owner, self.peer_silence_limit());
        if is_owner_silent && !is_registered {
            let value = encode(&NodeRecord { lease, level: SUPPORTED_LEVEL });
            tracing::info!(shard = %shard, node = %owner, "registering as lease proxy: owner unreachable");
            let conditions = vec![Condition { key: owner_key(shard), version: owner_version }];
            self.submit_transaction(Transaction { conditions, changes: vec![Change::put_leased(key, value, lease)] });
        } else if !is_owner_silent && record.is_some() {
            let version = held.map_or(Revision(0), |held| held.version);
            let conditions = vec![Condition { key: key.clone(), version }];
            self.submit_transaction(Transaction { conditions, changes: vec![Change::delete(key)] });
        }
    }

    /// Returns the response to a heartbeat of a machine whose shard another controller owns: a redirect to the owner,
    /// the commands of a lease proxy, or a redirect without a target.
    pub(crate) fn answer_unowned_heartbeat(&self, shard: ShardId, heartbeat: &Heartbeat) -> Response {
        let held = self.cache.owners.get(&shard);
        let Some((holder, version)) = held.and_then(|held| Some((held.record.as_ref()?, held.version))) else {
            return Response::Redirect(None);
        };
        if holder.node == self.node_name {
            return Response::Redirect(None);
        }
        if self.peer_heard_within(&holder.node, Millis(self.peer_silence_limit().0 / 2)) {
            return Response::Redirect(Some(holder.node.clone()));
        }
        let token = FencingToken(version.0);
        let is_owner_silent = !self.peer_heard_within(&holder.node, self.peer_silence_limit());
        if !self.is_lease_proxy(shard) || !is_owner_silent || !self.records_fresh() || heartbeat.token > token {
            // This controller doesn't hear the owner either, so the worker has to try its next controller.
            return Response::Redirect(None);
        }
        Response::Commands { token, commands: self.stop_commands_of_ended_jobs(heartbeat) }
    }

    /// True if this controller's proxy record for the shard is durable and its cache has reached the record.
    fn is_lease_proxy(&self, shard: ShardId) -> bool {
        self.cache.lease_proxies.get(&(shard, self.node_name.clone())).is_some_and(|held| {
            let is_own = held.record.as_ref().is_some_and(|record| Some(record.lease) == self.membership.lease());
            is_own && self.cache.revision >= held.version
        })
    }

    /// Returns commands to stop tasks that still run after their job has ended. These tasks must stop no matter which
    /// controller responds to the worker and in which state the shard is.
    pub(crate) fn stop_commands_of_ended_jobs(&self, heartbeat: &Heartbeat) -> Vec<Command> {
        let runs_after_job_end = |task: &&TaskStatus| {
            let job = self.cache.jobs.get(&task.task.job);
            task.state != TaskState::Exited && job.is_some_and(|job| job.record.outcome.is_some())
        };
        let tasks = heartbeat.tasks.iter().filter(runs_after_job_end).take(MAX_COMMANDS);
        tasks.map(|task| Command::Stop { task: task.task.clone(), attempt: task.attempt, grace_s: 0.0 }).collect()
    }

    /// True if any controller is registered as a proxy for the shard.
    pub(super) fn has_lease_proxy(&self, shard: ShardId) -> bool {
        self.cache.lease_proxies.iter().any(|((of, _), held)| *of == shard && held.record.is_some())
    }

    /// Handles a change of a proxy record of the shard in the cache.
    pub(crate) fn lease_proxy_changed(&mut self, shard: ShardId) {
        let has_proxy = self.has_lease_proxy(shard);
        if let (Some(owned_shard), false) = (self.owned_shards.get_mut(&shard), has_proxy) {
            owned_shard.last_proxied = self.now;
        }
    }

    /// Returns how long a worker's lease may outlive a proxy's record: the proxy may respond until its cache is no
    /// longer fresh, and its last response renews the lease in full.
    pub(super) fn lease_after_proxy(&self) -> Millis {
        // One part in 500 (0.2 %) allows for clock drift.
        let fresh = Millis(self.timing.max_record_age.0 + self.timing.max_record_age.0 / 500);
        fresh + self.timing.worker_lease
    }
}
