//! Keeping workers of another node's part alive while they cannot reach it.
//!
//! When two zones cannot reach each other, a worker's owner may be on the far
//! side while a controller in its own zone is not. That controller may answer
//! in the owner's name, without commands that begin anything, so that what
//! runs goes on. The owner must not take the worker's silence for its end
//! then; three things see to that:
//!
//! - A keeper answers only while a note `t/w/PART/NODE` on its own lease is
//!   durable, its view has reached that note, and its records are fresh.
//! - An owner gives up a silent machine only after a comparison, made once
//!   the machine's lease must have run out, has found no note on the shard,
//!   and its view has reached that comparison. A note that comes later finds
//!   nothing left on the machine to keep.
//! - After a note has gone, the owner counts the time that a keeper may have
//!   gone on without knowing, and a whole lease on top.

use crate::coordination::shards::owned_shard::ExpiryCheck;
use crate::coordination::store_client::pending_requests::PendingRequest;
use crate::coordination::{Core, Response, STATUS_INTERVAL};
use crate::protocol::state::{Change, Condition, StoreRequest, StoreResponse, Transaction};
use crate::protocol::workers::{Command, Heartbeat, TaskState};
use crate::storage::records::{lease_proxy_key, owner_key, NodeRecord};
use crate::units::{FencingToken, MachineId, Millis, NodeName, Revision, ShardId};
use std::collections::BTreeSet;

impl Core {
    /// Owners are taken to be out of our reach when silent for so long: less
    /// than two of their notes would be chance.
    fn silence(&self) -> Millis {
        Millis((self.timing.worker_lease.0 / 4).max(2 * STATUS_INTERVAL.0 + 200))
    }

    pub(crate) fn peer_heard_within(&self, node: &NodeName, span: Millis) -> bool {
        let heard = self.peers.get(node).and_then(|p| p.heard).unwrap_or(self.began);
        self.now.since(heard) <= span
    }

    /// Writes and takes back our notes on shards whose owners we do not hear.
    pub(crate) fn renew_lease_proxies(&mut self) {
        let Some(lease) = self.lease else { return };
        if !self.records_fresh() || !self.store.may_send(self.now) {
            return;
        }
        let others: Vec<(ShardId, NodeName, Revision)> = self
            .cache
            .owners
            .iter()
            .filter_map(|(shard, held)| Some((*shard, held.record.as_ref()?.node.clone(), held.version)))
            .collect();
        for (shard, owner, version) in others {
            let key = lease_proxy_key(shard, &self.node_name);
            if self.store.is_key_busy(&key) {
                continue;
            }
            let held = self.cache.lease_proxies.get(&(shard, self.node_name.clone())).cloned().unwrap_or_default();
            let noted = held.record.as_ref().is_some_and(|r| r.lease == lease);
            let silent = owner != self.node_name && !self.peer_heard_within(&owner, self.silence());
            if silent && !noted {
                let Ok(value) = serde_json::to_value(NodeRecord {
                    lease,
                    level: crate::coordination::membership::feature_level::SUPPORTED_LEVEL,
                }) else {
                    continue;
                };
                tracing::info!("{owner} is not heard: keeping workers of part {shard}");
                let conditions = vec![Condition { key: owner_key(shard), version }];
                self.submit_transaction(Transaction {
                    conditions,
                    changes: vec![Change::put_leased(key, value, lease)],
                });
            } else if !silent && held.record.is_some() {
                let conditions = vec![Condition { key: key.clone(), version: held.version }];
                self.submit_transaction(Transaction { conditions, changes: vec![Change::delete(key)] });
            }
        }
    }

    /// The answer to a worker of another node's part.
    pub(crate) fn answer_foreign_heartbeat(&self, shard: ShardId, heartbeat: &Heartbeat) -> Response {
        let Some((owner, token)) = self.cache.owners.get(&shard).and_then(|held| {
            let holder = held.record.as_ref()?;
            Some((holder.node.clone(), FencingToken(held.version.0)))
        }) else {
            return Response::Redirect(None);
        };
        if owner == self.node_name {
            return Response::Redirect(None);
        }
        if self.peer_heard_within(&owner, Millis(self.silence().0 / 2)) {
            return Response::Redirect(Some(owner));
        }
        let noted = self.cache.lease_proxies.get(&(shard, self.node_name.clone())).is_some_and(|held| {
            let ours = held.record.as_ref().is_some_and(|r| Some(r.lease) == self.lease);
            ours && self.cache.revision >= held.version
        });
        let silent = !self.peer_heard_within(&owner, self.silence());
        if !noted || !silent || !self.records_fresh() || heartbeat.token > token {
            // Not to the owner, which we do not hear either: to the next one.
            return Response::Redirect(None);
        }
        let commands = self.stop_commands_of_ended_jobs(heartbeat);
        Response::Commands { token, commands }
    }

    /// Stops of what runs though its job has ended: it must end whoever answers, and
    /// whatever else is known of the shard.
    pub(crate) fn stop_commands_of_ended_jobs(&self, heartbeat: &Heartbeat) -> Vec<Command> {
        let over = |task: &&crate::protocol::workers::TaskStatus| {
            let job = self.cache.jobs.get(&task.task.job);
            task.state != TaskState::Exited && job.is_some_and(|j| j.record.end.is_some())
        };
        let stops = heartbeat.tasks.iter().filter(over);
        stops
            .map(|t| Command::Stop { task: t.task.clone(), attempt: t.attempt, grace_s: 0.0 })
            .take(crate::coordination::heartbeats::handling::MAX_COMMANDS)
            .collect()
    }

    fn kept(&self, shard: ShardId) -> bool {
        self.cache.lease_proxies.iter().any(|((p, _), held)| *p == shard && held.record.is_some())
    }

    pub(crate) fn lease_proxy_changed(&mut self, shard: ShardId) {
        let kept = self.kept(shard);
        if let (Some(owned_shard), false) = (self.owned_shards.get_mut(&shard), kept) {
            owned_shard.last_proxied = self.now;
        }
    }

    /// How long after a note has gone a machine may live on: its keeper may
    /// not know yet, and the worker's lease is whole.
    fn after_note(&self) -> Millis {
        Millis(self.timing.fresh.0 + self.timing.fresh.0 / 500) + self.timing.worker_lease
    }

    /// Gives up machines that nobody can have kept: their workers have
    /// killed everything when their lease ran out.
    pub(crate) fn expire_machines(&mut self) {
        for shard in self.owned_shards.keys().copied().collect::<Vec<_>>() {
            let Some(owned_shard) = self.owned_shards.get_mut(&shard).filter(|m| m.ready) else { continue };
            match std::mem::take(&mut owned_shard.expiry_check) {
                ExpiryCheck::Confirmed { revision, machines: names } if self.cache.revision >= revision => {
                    // A note that came and went meanwhile has put the time off.
                    let silent = self.silent_machines(shard);
                    for name in names.iter().filter(|n| silent.contains(*n)) {
                        tracing::info!("nothing is left on {name}");
                        self.remove_lost_machine(shard, name);
                    }
                }
                waiting @ (ExpiryCheck::Confirmed { .. } | ExpiryCheck::Sent(_)) => owned_shard.expiry_check = waiting,
                ExpiryCheck::None => self.ask_about(shard),
            }
            let owned_shard = self.owned_shards.get(&shard);
            let names = owned_shard.iter().flat_map(|m| m.placed_tasks.keys().chain(m.machines.keys()));
            let returned: BTreeSet<MachineId> = names.filter(|n| self.returned(n)).cloned().collect();
            for name in returned {
                tracing::info!("{name} was returned");
                self.remove_lost_machine(shard, &name);
            }
        }
    }

    /// Machines whose leases must have run out, unless somebody keeps them.
    fn silent_machines(&self, shard: ShardId) -> BTreeSet<MachineId> {
        let Some(owned_shard) = self.owned_shards.get(&shard).filter(|_| !self.kept(shard)) else {
            return BTreeSet::new();
        };
        let lease = self.timing.worker_lease;
        let unread = self.timing.store_isolation_limit + lease;
        let unkept = owned_shard.last_proxied + self.after_note();
        let over = |name: &&MachineId| {
            // Until the worker has seen our token, an owner before us that
            // is cut off from the records may have kept its lease alive
            // for as long as its horizon lets it.
            let until = match owned_shard.machines.get(*name) {
                Some(m) if m.token_acknowledged => m.last_heartbeat + lease,
                Some(m) => (m.last_heartbeat + lease).max(owned_shard.owned_since + unread),
                None => owned_shard.owned_since + unread,
            };
            self.now > until.max(unkept)
        };
        owned_shard.placed_tasks.keys().chain(owned_shard.machines.keys()).filter(over).cloned().collect()
    }

    fn ask_about(&mut self, shard: ShardId) {
        let names: Vec<MachineId> = self.silent_machines(shard).into_iter().collect();
        if names.is_empty() || !self.store.may_send(self.now) {
            return;
        }
        let Some(owned_shard) = self.owned_shards.get_mut(&shard) else { return };
        owned_shard.expiry_check = ExpiryCheck::Sent(names);
        let mut conditions = vec![Condition { key: owner_key(shard), version: Revision(owned_shard.token.0) }];
        conditions
            .extend(self.peers.keys().map(|n| Condition { key: lease_proxy_key(shard, n), version: Revision(0) }));
        self.store.charge_read(self.now);
        self.call_state(
            StoreRequest::Transaction(Transaction { conditions, changes: vec![] }),
            PendingRequest::ExpiryCheck(shard),
        );
    }

    pub(crate) fn expiry_check_answer(&mut self, shard: ShardId, answer: StoreResponse) {
        let Some(owned_shard) = self.owned_shards.get_mut(&shard) else { return };
        let ExpiryCheck::Sent(names) = std::mem::take(&mut owned_shard.expiry_check) else { return };
        match answer {
            StoreResponse::Committed(at) => {
                owned_shard.expiry_check = ExpiryCheck::Confirmed { revision: at, machines: names }
            }
            StoreResponse::Conflict(failed) => self.reread(failed, None),
            _ => {}
        }
    }
}
