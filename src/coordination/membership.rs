//! Who is alive, who owns which part, who leads, and keeping the view current.

use super::mine::Mine;
use super::*;
use crate::bookkeeping::records::{HolderRecord, NodeRecord, LEADER_KEY, ROOT};
use crate::protocol::peer::{MachineAge, PartLoad};
use crate::protocol::state::Event;
use crate::units::stable_hash;

/// Deals parts to live nodes: a part whose own node (by order of names) is
/// alive goes there; the others by rendezvous, evenly.
pub fn deal_parts(parts: u32, all: &[String], live: &BTreeSet<&str>) -> BTreeMap<PartId, String> {
    let mut dealt = BTreeMap::new();
    if live.is_empty() {
        return dealt;
    }
    let most = (parts as usize).div_ceil(live.len());
    let mut load: BTreeMap<&str, usize> = BTreeMap::new();
    for part in 0..parts {
        if let Some(own) = all.get(part as usize).filter(|n| live.contains(n.as_str())) {
            *load.entry(own).or_default() += 1;
            dealt.insert(PartId(part), own.clone());
        }
    }
    for part in 0..parts {
        if dealt.contains_key(&PartId(part)) {
            continue;
        }
        let name = part.to_string();
        let best = live
            .iter()
            .filter(|n| load.get(**n).copied().unwrap_or(0) < most)
            .max_by_key(|n| stable_hash(&["owner", &name, n]));
        if let Some(node) = best {
            *load.entry(node).or_default() += 1;
            dealt.insert(PartId(part), node.to_string());
        }
    }
    dealt
}

/// Notes after which the leader tells the ages of all machines again.
const ALL_AGES_EVERY: u64 = 4;

/// Machines whose ages every note of the leader tells.
const YOUNG: Span = Span(60_000);

impl Core {
    pub(super) fn tick_membership(&mut self) {
        if self.now < self.retry_state_at {
            return;
        }
        if !self.loaded {
            if !self.loading {
                self.loading = true;
                self.reads.force(self.now, 1.0);
                let what = Pending::Load { seen: BTreeSet::new(), first: None, since: self.now };
                self.call_state(StateCall::List { prefix: ROOT.into(), after: None }, what);
            }
        } else if !self.watching && self.now >= self.next_watch {
            self.watching = true;
            self.reads.force(self.now, 1.0);
            // A watch without news must end well before the last read is stale.
            let wait_ms = (self.timing.fresh.0 * 2 / 5).min(1000);
            let call = StateCall::Watch { prefix: ROOT.into(), after: self.view.revision, wait_ms };
            self.call_state(call, Pending::Watch);
        }
        match self.lease {
            None if !self.granting => {
                self.granting = true;
                self.reads.force(self.now, 1.0);
                self.call_state(StateCall::Grant { ttl_ms: self.timing.ttl.0 }, Pending::Grant);
            }
            Some(lease) if !self.renewing && self.now >= self.renew_at => {
                self.renewing = true;
                self.reads.force(self.now, 1.0);
                self.call_state(StateCall::Renew { lease }, Pending::Renew(lease));
            }
            _ => {}
        }
        if let (true, Some(lease)) = (self.loaded, self.lease) {
            self.tend_withdrawal();
            self.announce(lease);
            self.claim_parts(lease);
            self.claim_lead(lease);
        }
    }

    /// Holds state calls back for a moment after a refusal.
    fn pause_state(&mut self) {
        self.retry_state_at = self.now + Span(250);
    }

    pub(super) fn load_answer(
        &mut self,
        mut seen: BTreeSet<String>,
        first: Option<Revision>,
        since: Time,
        answer: StateAnswer,
    ) {
        let StateAnswer::Page(page) = answer else {
            self.loading = false;
            return self.pause_state();
        };
        // Changes made while the pages were read come again by the watch,
        // which begins at the first page's revision.
        let first = first.unwrap_or(page.revision);
        let last = page.items.last().map(|i| i.key.clone());
        for item in page.items {
            let changed = self.view.apply(&item.key, Some(item.value), item.version);
            seen.insert(item.key);
            self.changed(changed);
        }
        if let (true, Some(after)) = (page.more, last) {
            self.reads.force(self.now, 1.0);
            let what = Pending::Load { seen, first: Some(first), since };
            return self.call_state(StateCall::List { prefix: ROOT.into(), after: Some(after) }, what);
        }
        self.view.forget_missing(&seen, first);
        self.view.revision = first;
        self.loading = false;
        self.loaded = true;
        // The first page is as old as when it was asked for, however long the others took.
        self.last_read = Some(since);
        for part in 0..self.parts {
            self.owner_changed(PartId(part));
        }
        self.ready_parts();
        tracing::info!("read {} records up to revision {first}", seen.len());
        self.reached(Milestone::RecordsRead);
    }

    pub(super) fn watch_answer(&mut self, sent: Time, answer: StateAnswer) {
        self.watching = false;
        match answer {
            StateAnswer::Events(news) => {
                // A pause after news bounds the rate of watches under load;
                // it grows when many changes come.
                let pause = if news.events.is_empty() { 0 } else { 80 };
                self.next_watch = self.now + Span(pause);
                self.view.revision = self.view.revision.max(news.revision);
                for event in news.events {
                    let changed = match event {
                        Event::Put { put, value, version } => self.view.apply(&put, Some(value), version),
                        Event::Delete { delete, version } => self.view.apply(&delete, None, version),
                    };
                    self.changed(changed);
                }
                // The answer shows the records as of when it was asked for, or later.
                self.last_read = Some(self.last_read.map_or(sent, |at| at.max(sent)));
                self.ready_parts();
                self.answer_held();
            }
            StateAnswer::TooOld => self.loaded = false,
            _ => self.pause_state(),
        }
    }

    pub(super) fn grant_answer(&mut self, answer: StateAnswer) {
        self.granting = false;
        match answer {
            StateAnswer::Granted(lease) => {
                self.lease = Some(lease);
                self.renew_at = self.now + self.timing.renew_every;
            }
            _ => self.pause_state(),
        }
    }

    pub(super) fn renew_answer(&mut self, lease: LeaseId, answer: StateAnswer) {
        self.renewing = false;
        self.renew_at = self.now + self.timing.renew_every;
        match answer {
            StateAnswer::Renewed => {}
            StateAnswer::LeaseGone if self.lease == Some(lease) => self.lease_lost(),
            _ => self.renew_at = self.now + Span(300),
        }
    }

    /// The lease ended: everything held by it is gone.
    fn lease_lost(&mut self) {
        tracing::info!("the lease is gone, and with it all parts");
        self.lease = None;
        for part in self.mine.keys().copied().collect::<Vec<_>>() {
            self.drop_part(part);
        }
    }

    /// A put named a lease that is gone: ours, or that of a node we meant to
    /// hand a part to.
    pub(super) fn lease_gone_elsewhere(&mut self, txn: &Txn) {
        let ours = |c: &Change| matches!(c, Change::Put { lease, .. } if lease.is_some() && *lease == self.lease);
        if txn.changes.iter().any(ours) {
            self.lease_lost();
        }
    }

    fn announce(&mut self, lease: LeaseId) {
        let key = records::node_key(&self.me);
        let held = self.view.nodes.get(&self.me);
        let current = held.and_then(|h| h.record.as_ref()).is_some_and(|r| r.lease == lease);
        if current || self.withdrawn() || self.busy_keys.contains(&key) {
            return;
        }
        if let Ok(value) = serde_json::to_value(NodeRecord { lease, level: upgrade::OURS }) {
            // Carried out late it must not undo what this node said later.
            let conditions = vec![Condition { key: key.clone(), version: held.map_or(Revision(0), |h| h.version) }];
            self.simple_txn(Txn { conditions, changes: vec![Change::put_leased(key, value, lease)] });
        }
    }

    fn live_targets(&self) -> BTreeMap<PartId, String> {
        let all = self.settings.node_names();
        let live: BTreeSet<&str> = self.view.live().map(|(n, _)| n.as_str()).collect();
        deal_parts(self.parts, &all, &live)
    }

    fn claim_parts(&mut self, lease: LeaseId) {
        let announced = self.view.nodes.get(&self.me).is_some_and(|h| h.record.is_some());
        if !announced && !self.withdrawn() {
            return;
        }
        for (part, target) in self.live_targets() {
            let key = records::owner_key(part);
            if self.busy_keys.contains(&key) {
                continue;
            }
            let held = self.view.owners.get(&part).cloned().unwrap_or_default();
            let holder = held.record.as_ref();
            if target == self.me.as_str() {
                // It was on its way to a node that is gone again: it stays, and is served.
                self.target_since.remove(&part);
                if let Some(mine) = self.mine.get_mut(&part) {
                    mine.releasing = false;
                }
                // Free, or held by an earlier life of this very node.
                let free = holder.is_none_or(|h| h.node == self.me && h.lease != lease);
                if free {
                    self.hold(key, held.version, self.me.clone(), lease);
                }
            } else if holder.is_some_and(|h| h.node == self.me) && self.mine.contains_key(&part) {
                self.hand_over(part, NodeName::new(&target));
            }
        }
    }

    fn hold(&mut self, key: String, version: Revision, node: NodeName, lease: LeaseId) {
        let Ok(value) = serde_json::to_value(HolderRecord { node, lease }) else { return };
        let conditions = vec![Condition { key: key.clone(), version }];
        self.simple_txn(Txn { conditions, changes: vec![Change::put_leased(key, value, lease)] });
    }

    /// Gives a part back to its node in one transaction, once nothing of it
    /// is on its way; the new owner's token is that transaction's revision.
    fn hand_over(&mut self, part: PartId, to: NodeName) {
        let now = self.now;
        let since = match self.target_since.get(&part) {
            Some((target, since)) if *target == to => *since,
            _ => {
                self.target_since.insert(part, (to, now));
                return;
            }
        };
        // A node that has just come up is given a moment to settle; workers that
        // we cannot reach have none to lose.
        let withdrawn = self.withdrawn();
        if now.since(since) < Span(1500) && !withdrawn {
            return;
        }
        let Some(mine) = self.mine.get_mut(&part) else { return };
        mine.releasing = true;
        let idle = mine.inflight.is_none() && mine.rereads == 0;
        if !idle || (!mine.dirty.is_empty() && !withdrawn && now.since(since) < Span(4000)) {
            return;
        }
        let token = mine.token;
        let Some(lease) = self.view.nodes.get(&to).and_then(|h| h.record.as_ref()).map(|r| r.lease) else { return };
        self.target_since.remove(&part);
        self.hold(records::owner_key(part), Revision(token.0), to, lease);
    }

    /// Takes up or drops a part according to its ownership key.
    pub(super) fn owner_changed(&mut self, part: PartId) {
        let held = self.view.owners.get(&part).cloned().unwrap_or_default();
        let ours = held.record.as_ref().is_some_and(|h| h.node == self.me && Some(h.lease) == self.lease);
        let token = Token(held.version.0);
        match self.mine.get(&part) {
            Some(mine) if ours && mine.token == token => {}
            Some(_) if !ours => {
                tracing::info!("part {part} is no longer ours");
                self.drop_part(part);
            }
            _ if ours => {
                tracing::info!("part {part} is ours with token {token}");
                self.drop_part(part);
                self.mine.insert(part, Mine::new(token, self.now));
                self.ready_parts();
            }
            _ => {}
        }
    }

    fn drop_part(&mut self, part: PartId) {
        if self.mine.remove(&part).is_some() {
            self.release_answers(part);
            for id in self.view.active.clone() {
                let Some(job) = self.view.jobs.get_mut(&id) else { continue };
                for index in 0..job.slices().len() {
                    if job.part_of(index) == Some(part) {
                        job.set_want(index, None);
                    }
                }
            }
        }
    }

    pub(super) fn leading(&self) -> bool {
        let held = self.view.leader.record.as_ref();
        held.is_some_and(|h| h.node == self.me && Some(h.lease) == self.lease)
    }

    fn claim_lead(&mut self, lease: LeaseId) {
        let held = &self.view.leader;
        let free = held.record.as_ref().is_none_or(|h| h.node == self.me && h.lease != lease);
        if !free || self.busy_keys.contains(LEADER_KEY) {
            return;
        }
        // The first live node by name tries at once, so that not all do.
        let first = self.view.live().map(|(n, _)| n).min();
        if first == Some(&self.me) {
            self.hold(LEADER_KEY.into(), held.version, self.me.clone(), lease);
        }
    }

    fn own_note(&self) -> Note {
        Note {
            from: self.me.to_string(),
            revision: self.view.revision.0,
            state_reachable: self.state_fresh(),
            parts: self.mine.iter().map(|(part, mine)| self.part_load(*part, mine)).collect(),
            ages: vec![],
            faulty: vec![],
            failing: vec![],
        }
    }

    fn part_load(&self, part: PartId, mine: &Mine) -> PartLoad {
        PartLoad {
            part: part.0,
            token: mine.token.0,
            teams: mine
                .wanted
                .iter()
                .map(|(team, want)| crate::protocol::peer::TeamUse {
                    team: team.clone(),
                    wanted_cpus: want.all.0,
                    wanted_gpus: want.all.1,
                })
                .collect(),
            up: vec![],
            deaf: mine.deaf.keys().map(|name| name.to_string()).collect(),
            leaving: mine.machines.iter().filter(|(_, m)| m.notice.is_some()).map(|(n, _)| n.to_string()).collect(),
        }
    }

    pub(super) fn tell(&mut self) {
        let mut note = self.own_note();
        if self.leading() {
            // All of them now and then, for owners that are new; in between
            // only young machines', which others may not know yet.
            let all = self.told % ALL_AGES_EVERY == 0;
            let ages = self.cloud.machines.iter().filter(|(_, m)| all || self.now.since(m.born) < YOUNG);
            note.ages = ages
                .map(|(name, m)| MachineAge { machine: name.to_string(), age_s: self.now.since(m.born).as_secs() })
                .collect();
        }
        note.faulty = self
            .mine
            .values()
            .flat_map(|m| &m.machines)
            .filter(|(_, m)| m.faulty)
            .map(|(n, _)| n.to_string())
            .collect();
        note.failing = self.failing_jobs();
        let quiet = self.timing.worker_lease;
        for load in &mut note.parts {
            let machines = self.mine.get(&PartId(load.part)).into_iter().flat_map(|m| &m.machines);
            let heard = machines.filter(|(_, m)| self.now.since(m.last_report) < quiet && !self.is_deaf(m));
            load.up = heard.map(|(name, _)| name.to_string()).collect();
        }
        self.told += 1;
        self.out.push(Output::Tell(note));
    }

    /// Tells the others at once that there is something new to read, without
    /// saying all of a note again.
    pub(super) fn nudge(&mut self, revision: Revision) {
        self.out.push(Output::Nudge(revision));
    }

    pub(super) fn note(&mut self, note: Note) {
        let Some(peer) = self.peers.get_mut(&NodeName::new(&note.from)) else { return };
        peer.heard = Some(self.now);
        peer.state_reachable = note.state_reachable;
        if note.revision > self.view.revision.0 {
            self.next_watch = self.now;
            if self.now >= self.retry_state_at {
                self.tick_membership();
            }
        }
        // Only an owner with a higher token can tell us so: ours has ended.
        for load in &note.parts {
            let part = PartId(load.part);
            if self.mine.get(&part).is_some_and(|m| m.token.0 < load.token) {
                tracing::info!("{} owns part {part} now", note.from);
                self.drop_part(part);
                let holder = HolderRecord { node: NodeName::new(&note.from), lease: LeaseId(0) };
                if let Ok(value) = serde_json::to_value(holder) {
                    self.view.apply(&records::owner_key(part), Some(value), Revision(load.token));
                }
            }
        }
        for age in &note.ages {
            let name = MachineId::new(&age.machine);
            let part = self.part_of(&name);
            if let Some(machine) = self.mine.get_mut(&part).and_then(|m| m.machines.get_mut(&name)) {
                machine.born = machine.born.min(self.now - Span::secs(age.age_s));
            }
        }
        if let Some(peer) = self.peers.get_mut(&NodeName::new(&note.from)) {
            if !note.ages.is_empty() || !note.parts.is_empty() || peer.note.is_none() {
                peer.note = Some(note);
            }
        }
    }

    pub(super) fn part_of(&self, machine: &MachineId) -> PartId {
        PartId::of(machine.as_str(), self.parts)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::protocol::state::{Item, Page};

    /// Records were held to be as new as the question for their last page: what was
    /// cancelled while the pages came was counted from too late.
    #[test]
    fn records_read_in_pages_are_as_old_as_the_first() {
        let mut core = super::super::tests::core();
        let read = |core: &mut Core, at: u64| {
            let outputs = core.handle(Time(at), 0, Input::Tick);
            outputs.into_iter().find_map(|o| match o {
                Output::State(id, StateCall::List { .. }) => Some(id),
                _ => None,
            })
        };
        let mut id = read(&mut core, 1000).expect("the first page is asked for");
        for (at, more) in [(2400, true), (3800, false)] {
            let item = Item { key: format!("t/x/{at}"), value: serde_json::Value::Null, version: Revision(3) };
            let page = Page { items: vec![item], more, revision: Revision(at) };
            let outputs = core.handle(Time(at), 0, Input::State(id, StateAnswer::Page(page)));
            let next = |o: Output| if let Output::State(id, StateCall::List { .. }) = o { Some(id) } else { None };
            id = outputs.into_iter().find_map(next).unwrap_or(id);
        }
        assert_eq!((core.loaded, core.last_read), (true, Some(Time(1000))));
    }

    #[test]
    fn parts_go_home_and_spread_when_a_node_is_gone() {
        let all: Vec<String> = ["a", "b", "c"].map(String::from).to_vec();
        let full = deal_parts(3, &all, &["a", "b", "c"].into());
        assert_eq!(full.values().collect::<Vec<_>>(), ["a", "b", "c"]);
        let two = deal_parts(3, &all, &["a", "c"].into());
        assert_eq!((two[&PartId(0)].as_str(), two[&PartId(2)].as_str()), ("a", "c"));
        assert!(["a", "c"].contains(&two[&PartId(1)].as_str()));
        assert_eq!(deal_parts(3, &all, &["b"].into()).len(), 3);
    }
}
