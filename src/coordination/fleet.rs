//! The machines that are ours, as the leader knows them: from the cloud's list,
//! from what owners say, and from its own dealings.

use super::boots::Boots;
use super::demand::Demand;
use super::stranded::Stranded;
use super::*;
use crate::bookkeeping::records::TaskRecord;
use crate::protocol::cloud::{Listed, ListedState};
use foldhash::fast::FixedState;
use std::collections::HashSet;

/// A machine that is ours, as far as the leader knows.
#[derive(Debug, Clone)]
pub struct Owned {
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub born: Time,
    pub up: bool,
    pub failed: bool,
    /// The cloud has announced that it takes it.
    pub leaving: bool,
    /// It reports, but does not hear its owner.
    pub deaf: bool,
    /// Rented by this node, which has watched it boot since.
    pub(super) rented_here: bool,
    pub(super) last_listed: Option<Time>,
    pub(super) idle_since: Option<Time>,
    pub(super) drain_since: Option<Time>,
}

impl Owned {
    /// A machine that is not known to be up.
    pub(super) fn new(kind: &str, zone: &str, spot: bool, born: Time) -> Owned {
        Owned {
            kind: kind.into(),
            zone: zone.into(),
            spot,
            born,
            up: false,
            failed: false,
            leaving: false,
            deaf: false,
            rented_here: false,
            last_listed: None,
            idle_since: None,
            drain_since: None,
        }
    }
}

#[derive(Debug, Default)]
pub struct Fleet {
    pub machines: BTreeMap<MachineId, Owned>,
    pub(super) budget: Option<Budget>,
    pub(super) listing: bool,
    /// A full list was read since this node leads.
    pub(super) known: bool,
    pub(super) list_at: Time,
    pub(super) renting: bool,
    pub(super) returning: bool,
    /// No capacity of a kind, zone and sort until then.
    pub(super) refused: BTreeMap<(String, String, bool), (Time, u32)>,
    pub(super) boots: Boots,
    /// What the record names, for looking up: asked for every machine in
    /// every round and report.
    pub(super) drained: HashSet<MachineId, FixedState>,
    pub(super) returned: HashSet<MachineId, FixedState>,
    /// Returned for certain, but perhaps not in the record yet.
    pub(super) gone: BTreeSet<MachineId>,
    /// All that were returned of late, and when: lists that lag still name them,
    /// and the record has no room for as many as a shrinking fleet returns.
    left: BTreeMap<MachineId, Time>,
    pub(super) stranded: Stranded,
}

impl Fleet {
    /// A standstill of this node is no idleness or absence of machines.
    pub(super) fn stood_still(&mut self, gap: Span) {
        for machine in self.machines.values_mut() {
            for time in [&mut machine.last_listed, &mut machine.idle_since].into_iter().flatten() {
                *time = *time + gap;
            }
        }
    }
}

impl Core {
    pub(super) fn draining(&self, name: &MachineId) -> bool {
        self.cloud.drained.contains(name) || self.cloud.returned.contains(name)
    }

    /// True if the machine was returned of late, whoever still names it.
    fn has_left(&self, name: &MachineId) -> bool {
        self.cloud.gone.contains(name) || self.cloud.left.contains_key(name)
    }

    /// True if the return of the machine was confirmed.
    pub(super) fn returned(&self, name: &MachineId) -> bool {
        self.cloud.returned.contains(name)
    }

    pub(super) fn fleet_changed(&mut self) {
        if let Some(record) = &self.view.fleet.record {
            for name in &record.gone {
                self.cloud.machines.remove(name);
            }
            self.cloud.drained = record.drain.iter().cloned().collect();
            self.cloud.returned = record.gone.iter().cloned().collect();
        }
    }

    /// Takes from the cloud's rate; the rest is for the next turn.
    pub(super) fn afford_cloud(&mut self) -> bool {
        let rate = self.settings.cluster.cloud.rps * 0.8;
        let now = self.now;
        self.cloud.budget.get_or_insert_with(|| Budget::new(rate.max(1.0))).take(now, 1.0)
    }

    pub(super) fn run_fleet(&mut self) {
        self.take_gossip();
        if !self.cloud.listing && self.now.since(self.cloud.list_at) >= Span(2000) && self.afford_cloud() {
            self.cloud.listing = true;
            self.cloud.list_at = self.now;
            self.call_cloud(CloudCall::List { after: None }, Pending::List { seen: vec![] });
        }
        if !self.cloud.known || self.catalog.is_empty() {
            return;
        }
        self.learn_boots();
        let busy = self.busy_machines();
        self.note_idle(&busy);
        self.note_stranded();
        let demand = self.demand();
        self.log_fleet(&demand);
        if !self.cloud.renting {
            self.rent_for(&demand);
        }
        self.drain_idle(&demand);
        self.return_drained(&busy);
    }

    pub(super) fn learn_boots(&mut self) {
        let mut under_way: BTreeMap<(String, String), Vec<f64>> = BTreeMap::new();
        for m in self.cloud.machines.values().filter(|m| !m.up && !m.failed && m.rented_here) {
            let ages = under_way.entry((m.kind.clone(), m.zone.clone())).or_default();
            ages.push(self.now.since(m.born).as_secs());
        }
        self.cloud.boots.learn(&under_way);
    }

    pub(super) fn log_fleet(&mut self, demand: &[Demand]) {
        let cores = |up: bool, spot: bool| -> f64 {
            let machines =
                self.cloud.machines.iter().filter(|(n, m)| m.up == up && m.spot == spot && !self.draining(n));
            machines.filter_map(|(_, m)| self.catalog.get(&m.kind)).map(|t| t.cpus).sum()
        };
        let used: f64 = self
            .view
            .active
            .iter()
            .filter_map(|id| self.view.jobs.get(id))
            .filter(|j| j.holds_machines())
            .map(|j| f64::from(j.counts().1) * j.record.spec.cpus)
            .sum();
        let wanted: f64 = demand.iter().map(|d| d.cpus).sum();
        tracing::debug!(
            "cores: {wanted:.0} wanted, {used:.0} used; up {} spot and {} ordinary, booting {} and {}",
            cores(true, true),
            cores(true, false),
            cores(false, true),
            cores(false, false),
        );
    }

    /// What other owners say of their machines.
    pub(super) fn take_gossip(&mut self) {
        let mut up: BTreeSet<MachineId> = BTreeSet::new();
        let mut leaving: BTreeSet<MachineId> = BTreeSet::new();
        let mut faulty: BTreeSet<MachineId> = BTreeSet::new();
        let mut deaf: BTreeSet<MachineId> = BTreeSet::new();
        for mine in self.mine.values() {
            deaf.extend(mine.deaf.keys().cloned());
            for (name, machine) in &mine.machines {
                up.insert(name.clone());
                if machine.notice.is_some() {
                    leaving.insert(name.clone());
                }
                if machine.faulty {
                    faulty.insert(name.clone());
                }
            }
            for (name, machine) in &mine.machines {
                if !self.cloud.machines.contains_key(name) && !self.has_left(name) {
                    let found = Owned::new(&machine.kind, &machine.zone, machine.spot, machine.born);
                    let owned = Owned { up: true, ..found };
                    self.cloud.machines.insert(name.clone(), owned);
                }
            }
        }
        for note in self.peers.values().filter_map(|p| p.note.as_ref()) {
            faulty.extend(note.faulty.iter().map(|n| MachineId::new(n)));
            for load in &note.parts {
                up.extend(load.up.iter().map(|n| MachineId::new(n)));
                deaf.extend(load.deaf.iter().map(|n| MachineId::new(n)));
                leaving.extend(load.leaving.iter().map(|n| MachineId::new(n)));
            }
        }
        for (name, owned) in &mut self.cloud.machines {
            if !owned.up && owned.rented_here && up.contains(name) {
                self.cloud.boots.came_up(&owned.kind, &owned.zone, self.now.since(owned.born).as_secs());
            }
            owned.up |= up.contains(name);
            owned.leaving |= leaving.contains(name);
            owned.failed |= faulty.contains(name);
            owned.deaf = deaf.contains(name);
        }
    }

    /// Machines that a task may be on.
    pub(super) fn busy_machines(&self) -> HashSet<MachineId, FixedState> {
        let mut busy: HashSet<&MachineId, FixedState> = HashSet::default();
        for job in self.view.active.iter().filter_map(|id| self.view.jobs.get(id)).filter(|j| j.holds_machines()) {
            let records = job.slices().iter().flat_map(|s| s.record().into_iter().chain(s.want()));
            for task in records.flat_map(|r| &r.tasks) {
                if let TaskRecord::On(_, machine) = task {
                    busy.insert(machine);
                }
            }
        }
        busy.into_iter().cloned().collect()
    }

    pub(super) fn note_idle(&mut self, busy: &HashSet<MachineId, FixedState>) {
        for (name, owned) in &mut self.cloud.machines {
            if busy.contains(name) || !owned.up {
                owned.idle_since = None;
            } else {
                owned.idle_since.get_or_insert(self.now);
            }
        }
    }

    pub(super) fn cloud_answer(&mut self, id: CallId, answer: CloudAnswer) {
        let Some(Call { what, .. }) = self.calls.remove(&id) else { return };
        match (what, answer) {
            (Pending::Catalog, CloudAnswer::Catalog(catalog)) => self.take_catalog(catalog),
            (Pending::List { seen }, answer) => self.list_answer(seen, answer),
            (Pending::Rent(rent), answer) => self.rent_answer(rent, answer),
            (Pending::Return(names), answer) => {
                self.cloud.returning = false;
                if matches!(answer, CloudAnswer::Returned) {
                    for name in names {
                        self.cloud.machines.remove(&name);
                        self.cloud.left.insert(name.clone(), self.now);
                        self.cloud.gone.insert(name);
                    }
                    self.write_fleet();
                }
            }
            _ => {}
        }
    }

    pub(super) fn list_answer(&mut self, mut seen: Vec<Listed>, answer: CloudAnswer) {
        let CloudAnswer::Page(page) = answer else {
            self.cloud.listing = false;
            return;
        };
        seen.extend(page.machines);
        if let (true, Some(last)) = (page.more, seen.last()) {
            let call = CloudCall::List { after: Some(last.machine.clone()) };
            return self.call_cloud(call, Pending::List { seen });
        }
        self.cloud.listing = false;
        self.cloud.known = true;
        for listed in seen {
            if self.has_left(&listed.machine) || self.returned(&listed.machine) {
                continue;
            }
            let owned = Owned::new(&listed.kind, &listed.zone, listed.spot, self.now - Span::secs(listed.age_s));
            let owned = self.cloud.machines.entry(listed.machine).or_insert(owned);
            owned.up |= listed.state == ListedState::Running;
            owned.failed |= listed.state == ListedState::Failed;
            owned.last_listed = Some(self.now);
        }
        // The list lags, and may be older than the one before it: only what
        // is missing for long is gone.
        let patience = Span::secs(self.settings.cluster.cloud.list_lag_s * 2.5 + 5.0);
        let now = self.now;
        self.cloud.machines.retain(|_, m| now.since(m.last_listed.unwrap_or(m.born)) < patience);
        self.cloud.left.retain(|_, at| now.since(*at) < patience);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A fleet that shrank returned more machines than the record has room for;
    /// the list, which lags, named them still, and they counted as room again.
    #[test]
    fn a_list_that_lags_brings_no_returned_machine_back() {
        let mut core = super::super::tests::core();
        core.handle(Time(1000), 0, Input::Tick);
        let names: Vec<MachineId> = (0..400).map(|n| MachineId::new(&format!("i-{n:06}"))).collect();
        for some in names.chunks(50) {
            let call = core.new_call(Pending::Return(some.to_vec()));
            core.cloud_answer(call, CloudAnswer::Returned);
            core.write_fleet();
            while core.cloud.gone.len() > 10 {
                core.cloud.gone.pop_first();
            }
        }
        let listed = |machine: &MachineId| Listed {
            machine: machine.clone(),
            kind: "m".into(),
            zone: "a".into(),
            spot: false,
            state: ListedState::Running,
            age_s: 90.0,
        };
        let machines = names.iter().map(listed).collect();
        let page = CloudAnswer::Page(crate::protocol::cloud::MachinePage { machines, more: false });
        core.list_answer(vec![], page);
        assert_eq!(core.cloud.machines.len(), 0);
    }
}
