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
//!   the machine's lease must have run out, has found no note on the part,
//!   and its view has reached that comparison. A note that comes later finds
//!   nothing left on the machine to keep.
//! - After a note has gone, the owner counts the time that a keeper may have
//!   gone on without knowing, and a whole lease on top.

use super::mine::Verdict;
use super::*;
use crate::bookkeeping::records::{keep_key, owner_key, NodeRecord};
use crate::protocol::workers::{Command, Report, TaskState};

impl Core {
    /// Owners are taken to be out of our reach when silent for so long: less
    /// than two of their notes would be chance.
    fn silence(&self) -> Span {
        Span((self.timing.worker_lease.0 / 4).max(2 * NOTE_EVERY.0 + 200))
    }

    pub(super) fn heard_for(&self, node: &NodeName, span: Span) -> bool {
        let heard = self.peers.get(node).and_then(|p| p.heard).unwrap_or(self.began);
        self.now.since(heard) <= span
    }

    /// Writes and takes back our notes on parts whose owners we do not hear.
    pub(super) fn tend_notes(&mut self) {
        let Some(lease) = self.lease else { return };
        if !self.state_fresh() || self.now < self.retry_state_at {
            return;
        }
        let others: Vec<(PartId, NodeName, Revision)> = self
            .view
            .owners
            .iter()
            .filter_map(|(part, held)| Some((*part, held.record.as_ref()?.node.clone(), held.version)))
            .collect();
        for (part, owner, version) in others {
            let key = keep_key(part, &self.me);
            if self.busy_keys.contains(&key) {
                continue;
            }
            let held = self.view.keeps.get(&(part, self.me.clone())).cloned().unwrap_or_default();
            let noted = held.record.as_ref().is_some_and(|r| r.lease == lease);
            let silent = owner != self.me && !self.heard_for(&owner, self.silence());
            if silent && !noted {
                let Ok(value) = serde_json::to_value(NodeRecord { lease, level: upgrade::OURS }) else { continue };
                tracing::info!("{owner} is not heard: keeping workers of part {part}");
                let conditions = vec![Condition { key: owner_key(part), version }];
                self.simple_txn(Txn { conditions, changes: vec![Change::put_leased(key, value, lease)] });
            } else if !silent && held.record.is_some() {
                let conditions = vec![Condition { key: key.clone(), version: held.version }];
                self.simple_txn(Txn { conditions, changes: vec![Change::delete(key)] });
            }
        }
    }

    /// The answer to a worker of another node's part.
    pub(super) fn answer_stranger(&self, part: PartId, report: &Report) -> Reply {
        let Some((owner, token)) = self.view.owners.get(&part).and_then(|held| {
            let holder = held.record.as_ref()?;
            Some((holder.node.clone(), Token(held.version.0)))
        }) else {
            return Reply::Elsewhere(None);
        };
        if owner == self.me {
            return Reply::Elsewhere(None);
        }
        if self.heard_for(&owner, Span(self.silence().0 / 2)) {
            return Reply::Elsewhere(Some(owner));
        }
        let noted = self.view.keeps.get(&(part, self.me.clone())).is_some_and(|held| {
            let ours = held.record.as_ref().is_some_and(|r| Some(r.lease) == self.lease);
            ours && self.view.revision >= held.version
        });
        let silent = !self.heard_for(&owner, self.silence());
        if !noted || !silent || !self.state_fresh() || report.token > token {
            // Not to the owner, which we do not hear either: to the next one.
            return Reply::Elsewhere(None);
        }
        let commands = self.stops_of_ended(report);
        Reply::Commands { token, commands }
    }

    /// Stops of what runs though its job has ended: it must end whoever answers, and
    /// whatever else is known of the part.
    pub(super) fn stops_of_ended(&self, report: &Report) -> Vec<Command> {
        let over = |task: &&crate::protocol::workers::TaskReport| {
            let job = self.view.jobs.get(&task.task.job);
            task.state != TaskState::Exited && job.is_some_and(|j| j.record.end.is_some())
        };
        let stops = report.tasks.iter().filter(over);
        stops
            .map(|t| Command::Stop { task: t.task.clone(), attempt: t.attempt, grace_s: 0.0 })
            .take(super::workers::MOST_COMMANDS)
            .collect()
    }

    fn kept(&self, part: PartId) -> bool {
        self.view.keeps.iter().any(|((p, _), held)| *p == part && held.record.is_some())
    }

    pub(super) fn keep_changed(&mut self, part: PartId) {
        let kept = self.kept(part);
        if let (Some(mine), false) = (self.mine.get_mut(&part), kept) {
            mine.unkept = self.now;
        }
    }

    /// How long after a note has gone a machine may live on: its keeper may
    /// not know yet, and the worker's lease is whole.
    fn after_note(&self) -> Span {
        Span(self.timing.fresh.0 + self.timing.fresh.0 / 500) + self.timing.worker_lease
    }

    /// Gives up machines that nobody can have kept: their workers have
    /// killed everything when their lease ran out.
    pub(super) fn expire_machines(&mut self) {
        for part in self.mine.keys().copied().collect::<Vec<_>>() {
            let Some(mine) = self.mine.get_mut(&part).filter(|m| m.ready) else { continue };
            match std::mem::take(&mut mine.verdict) {
                Verdict::Found(at, names) if self.view.revision >= at => {
                    // A note that came and went meanwhile has put the time off.
                    let silent = self.silent_machines(part);
                    for name in names.iter().filter(|n| silent.contains(*n)) {
                        tracing::info!("nothing is left on {name}");
                        self.clear_machine(part, name);
                    }
                }
                waiting @ (Verdict::Found(..) | Verdict::Asked(_)) => mine.verdict = waiting,
                Verdict::None => self.ask_about(part),
            }
            let mine = self.mine.get(&part);
            let names = mine.iter().flat_map(|m| m.on.keys().chain(m.machines.keys()));
            let returned: BTreeSet<MachineId> = names.filter(|n| self.returned(n)).cloned().collect();
            for name in returned {
                tracing::info!("{name} was returned");
                self.clear_machine(part, &name);
            }
        }
    }

    /// Machines whose leases must have run out, unless somebody keeps them.
    fn silent_machines(&self, part: PartId) -> BTreeSet<MachineId> {
        let Some(mine) = self.mine.get(&part).filter(|_| !self.kept(part)) else { return BTreeSet::new() };
        let lease = self.timing.worker_lease;
        let unread = self.timing.horizon + lease;
        let unkept = mine.unkept + self.after_note();
        let over = |name: &&MachineId| {
            // Until the worker has seen our token, an owner before us that
            // is cut off from the records may have kept its lease alive
            // for as long as its horizon lets it.
            let until = match mine.machines.get(*name) {
                Some(m) if m.acked => m.last_report + lease,
                Some(m) => (m.last_report + lease).max(mine.since + unread),
                None => mine.since + unread,
            };
            self.now > until.max(unkept)
        };
        mine.on.keys().chain(mine.machines.keys()).filter(over).cloned().collect()
    }

    fn ask_about(&mut self, part: PartId) {
        let names: Vec<MachineId> = self.silent_machines(part).into_iter().collect();
        if names.is_empty() || self.now < self.retry_state_at {
            return;
        }
        let Some(mine) = self.mine.get_mut(&part) else { return };
        mine.verdict = Verdict::Asked(names);
        let mut conditions = vec![Condition { key: owner_key(part), version: Revision(mine.token.0) }];
        conditions.extend(self.peers.keys().map(|n| Condition { key: keep_key(part, n), version: Revision(0) }));
        self.reads.force(self.now, 1.0);
        self.call_state(StateCall::Txn(Txn { conditions, changes: vec![] }), Pending::Compare(part));
    }

    pub(super) fn compared(&mut self, part: PartId, answer: StateAnswer) {
        let Some(mine) = self.mine.get_mut(&part) else { return };
        let Verdict::Asked(names) = std::mem::take(&mut mine.verdict) else { return };
        match answer {
            StateAnswer::Committed(at) => mine.verdict = Verdict::Found(at, names),
            StateAnswer::Conflict(failed) => self.reread(failed, None),
            _ => {}
        }
    }
}
