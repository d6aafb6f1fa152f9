//! Lease proxies: a controller that renews the leases of workers whose owner they cannot reach.
//!
//! When two zones cannot reach each other, a worker's owner may be on the far side while another controller is in its
//! own zone. That controller may respond in the owner's name, without commands that start anything, so that running
//! tasks go on. The owner must not take the worker's silence for its end then. Three rules see to that:
//!
//! - A proxy responds only while its record `t/w/SHARD/NODE`, which ends with its lease, is durable, its cache has
//!   reached that record, and its cache is fresh.
//! - An owner takes a silent machine to be lost only after a transaction, sent once the machine's lease must have
//!   expired, has found no proxy of the shard, and its cache has reached that transaction (`machine_expiry`). A proxy
//!   registered later finds nothing left on the machine to keep.
//! - After a proxy's record has gone, the owner allows for the time that the proxy may go on without knowing, and for
//!   a whole worker lease on top.
//!
//! Called in housekeeping and for heartbeats of machines whose shard another controller owns.

use crate::coordination::heartbeats::reconciliation::MAX_COMMANDS;
use crate::coordination::membership::feature_level::SUPPORTED_LEVEL;
use crate::coordination::{Core, Response, STATUS_INTERVAL};
use crate::protocol::state::{Change, Condition, Transaction};
use crate::protocol::workers::{Command, Heartbeat, TaskState, TaskStatus};
use crate::storage::records::{encode, lease_proxy_key, owner_key, NodeRecord};
use crate::units::{FencingToken, LeaseId, Millis, NodeName, Revision, ShardId};

/// What delay may add to two status intervals.
const STATUS_DELAY: Millis = Millis(200);

impl Core {
    /// A peer not heard for so long is taken to be out of reach: two statuses may be lost by chance.
    fn peer_silence_limit(&self) -> Millis {
        Millis((self.timing.worker_lease.0 / 4).max(2 * STATUS_INTERVAL.0 + STATUS_DELAY.0))
    }

    /// True if a peer was heard within this time. One that was never heard counts as heard when this process began.
    pub(crate) fn peer_heard_within(&self, node: &NodeName, limit: Millis) -> bool {
        let heard = self.membership.peers().last_heard(node).unwrap_or(self.began);
        self.now.since(heard) <= limit
    }

    /// Registers this controller as a proxy for shards whose owners it doesn't hear, and withdraws it for others.
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
        let is_silent = *owner != self.node_name && !self.peer_heard_within(owner, self.peer_silence_limit());
        if is_silent && !is_registered {
            let value = encode(&NodeRecord { lease, level: SUPPORTED_LEVEL });
            tracing::info!(shard = %shard, node = %owner, "registering as lease proxy: the owner is not heard");
            let conditions = vec![Condition { key: owner_key(shard), version: owner_version }];
            self.submit_transaction(Transaction { conditions, changes: vec![Change::put_leased(key, value, lease)] });
        } else if !is_silent && record.is_some() {
            let version = held.map_or(Revision(0), |held| held.version);
            let conditions = vec![Condition { key: key.clone(), version }];
            self.submit_transaction(Transaction { conditions, changes: vec![Change::delete(key)] });
        }
    }

    /// The response to a heartbeat of a machine whose shard another controller owns: a redirect, or as its proxy.
    pub(crate) fn answer_foreign_heartbeat(&self, shard: ShardId, heartbeat: &Heartbeat) -> Response {
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
        let is_silent = !self.peer_heard_within(&holder.node, self.peer_silence_limit());
        if !self.is_lease_proxy(shard) || !is_silent || !self.records_fresh() || heartbeat.token > token {
            // Not to the owner, which we don't hear either: to the worker's next controller.
            return Response::Redirect(None);
        }
        Response::Commands { token, commands: self.stop_commands_of_ended_jobs(heartbeat) }
    }

    /// True if this controller's proxy record for the shard is durable and its cache has reached the record.
    fn is_lease_proxy(&self, shard: ShardId) -> bool {
        self.cache.lease_proxies.get(&(shard, self.node_name.clone())).is_some_and(|held| {
            let ours = held.record.as_ref().is_some_and(|record| Some(record.lease) == self.membership.lease());
            ours && self.cache.revision >= held.version
        })
    }

    /// Commands to stop tasks that run though their job has ended: they must end whoever responds to the worker, and
    /// whatever else is known of the shard.
    pub(crate) fn stop_commands_of_ended_jobs(&self, heartbeat: &Heartbeat) -> Vec<Command> {
        let runs_after_end = |task: &&TaskStatus| {
            let job = self.cache.jobs.get(&task.task.job);
            task.state != TaskState::Exited && job.is_some_and(|job| job.record.outcome.is_some())
        };
        let tasks = heartbeat.tasks.iter().filter(runs_after_end).take(MAX_COMMANDS);
        tasks.map(|task| Command::Stop { task: task.task.clone(), attempt: task.attempt, grace_s: 0.0 }).collect()
    }

    /// True if any controller is registered as a proxy for the shard.
    pub(super) fn has_lease_proxy(&self, shard: ShardId) -> bool {
        self.cache.lease_proxies.iter().any(|((of, _), held)| *of == shard && held.record.is_some())
    }

    /// A proxy's record changed in the cache.
    pub(crate) fn lease_proxy_changed(&mut self, shard: ShardId) {
        let has_proxy = self.has_lease_proxy(shard);
        if let (Some(owned_shard), false) = (self.owned_shards.get_mut(&shard), has_proxy) {
            owned_shard.last_proxied = self.now;
        }
    }

    /// How long a machine may live on after a proxy's record has gone: the proxy may not know yet, and the worker
    /// then has a whole lease.
    pub(super) fn lease_after_proxy(&self) -> Millis {
        // With room for drifting clocks.
        let fresh = Millis(self.timing.fresh.0 + self.timing.fresh.0 / 500);
        fresh + self.timing.worker_lease
    }
}
