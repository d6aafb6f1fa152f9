//! The leader's dealings with the cloud: what to rent, and what to give back.

use super::boots::Boots;
use super::*;
use crate::bookkeeping::records::{End, FleetRecord, TaskRecord, FLEET_KEY, LEADER_KEY};
use crate::bookkeeping::view::Job;
use crate::protocol::cloud::{Listed, ListedState, RENT_LIMIT, RETURN_LIMIT};
use crate::protocol::users::JobKind;
use foldhash::fast::FixedState;
use std::collections::HashSet;

/// How far back the usual load is learned from, in seconds.
const USUAL_S: f64 = 150.0;

/// Tasks that one core is expected to run one after the other at the most.
const MOST_WAVES: f64 = 4.0;

/// Room kept for the ups of the usual load.
const USUAL_HEADROOM: f64 = 1.1;

/// Room kept for the ups of work that presses, in standard deviations of it.
const SWING_HEADROOM: f64 = 0.5;

/// For how long a machine is paid for, usually.
const PAID_FOR_S: f64 = 300.0;

/// A rental on its way.
#[derive(Debug, Clone)]
pub struct Rent {
    pub request: RentRequest,
    tries: u32,
}

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
    /// Rented by this node, which has watched it boot since.
    rented_here: bool,
    last_listed: Option<Time>,
    idle_since: Option<Time>,
    drain_since: Option<Time>,
}

#[derive(Debug, Default)]
pub struct Fleet {
    pub machines: BTreeMap<MachineId, Owned>,
    budget: Option<Budget>,
    listing: bool,
    /// A full list was read since this node leads.
    known: bool,
    list_at: Time,
    renting: bool,
    returning: bool,
    /// No capacity of a kind, zone and sort until then.
    refused: BTreeMap<(String, String, bool), (Time, u32)>,
    pub(super) boots: Boots,
    /// What the record names, for looking up: asked for every machine in
    /// every round and report.
    drained: HashSet<MachineId, FixedState>,
    returned: HashSet<MachineId, FixedState>,
    /// Returned for certain, but perhaps not in the record yet.
    gone: BTreeSet<MachineId>,
}

/// GPUs or not, machine types, zone, and whether spot machines will do.
type Constraints = (bool, Option<Vec<String>>, Option<String>, bool);

/// Cores that a group of jobs with the same constraints wants.
struct Demand {
    cpus: f64,
    /// Of these, what cannot wait for cheap room: worth ordinary prices.
    urgent: f64,
    shape: [f64; 3],
    /// Image size and run time, weighted by cores.
    fetch_gb: f64,
    run_s: f64,
    types: Option<Vec<String>>,
    zone: Option<String>,
    spot: bool,
}

/// Standard deviation of the cores that jobs keep busy which come by chance,
/// given the cores and run times of those that came within `time`: work that
/// cannot wait for a machine to boot needs room for its ups, and the ups of a
/// few large jobs are higher than those of many small ones.
fn swing(jobs: &[(f64, f64)], time: f64) -> f64 {
    (jobs.iter().map(|(cpus, run)| cpus * cpus * run).sum::<f64>() / time.max(1.0)).sqrt()
}

/// How many machines the record of a fleet may name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Names {
    /// On their way out.
    drain: usize,
    /// Returned of late.
    gone: usize,
}

impl Names {
    /// What a value of `value_kb` KiB holds: of a large fleet not all.
    fn within(value_kb: f64) -> Names {
        /// Bytes of a name with quotes and comma, with room to spare.
        const NAME_BYTES: f64 = 24.0;
        let all = (value_kb * 1024.0 * 0.9 / NAME_BYTES) as usize;
        let gone = (all / 4).max(1);
        Names { drain: all.saturating_sub(gone).max(1), gone }
    }
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
    fn afford_cloud(&mut self) -> bool {
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
        let demand = self.demand();
        self.log_fleet(&demand);
        if !self.cloud.renting {
            self.rent_for(&demand);
        }
        self.drain_idle(&demand);
        self.return_drained(&busy);
    }

    fn learn_boots(&mut self) {
        let mut under_way: BTreeMap<(String, String), Vec<f64>> = BTreeMap::new();
        for m in self.cloud.machines.values().filter(|m| !m.up && !m.failed && m.rented_here) {
            let ages = under_way.entry((m.kind.clone(), m.zone.clone())).or_default();
            ages.push(self.now.since(m.born).as_secs());
        }
        self.cloud.boots.learn(&under_way);
    }

    /// Cores that a machine may be counted on for: a late boot may never end.
    fn counted_cpus(&self, m: &Owned) -> Option<f64> {
        let t = self.catalog.get(&m.kind)?;
        let age_s = self.now.since(m.born).as_secs();
        let share = if m.up { 1.0 } else { self.cloud.boots.coming(&m.kind, &m.zone, t.boot_s, age_s) };
        Some(t.cpus * share)
    }

    /// True if a machine should have been up long ago.
    fn stuck(&self, m: &Owned) -> bool {
        let Some(t) = self.catalog.get(&m.kind).filter(|_| !m.up) else { return false };
        let overtaken = self
            .cloud
            .machines
            .values()
            .any(|other| other.up && other.born > m.born && other.kind == m.kind && other.zone == m.zone);
        let age_s = self.now.since(m.born).as_secs();
        self.cloud.boots.hopeless(&m.kind, &m.zone, t.boot_s, age_s, overtaken)
    }

    fn log_fleet(&mut self, demand: &[Demand]) {
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
    fn take_gossip(&mut self) {
        let mut up: BTreeSet<MachineId> = BTreeSet::new();
        let mut leaving: BTreeSet<MachineId> = BTreeSet::new();
        let mut faulty: BTreeSet<MachineId> = BTreeSet::new();
        for mine in self.mine.values() {
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
                if !self.cloud.machines.contains_key(name) && !self.cloud.gone.contains(name) {
                    let owned = Owned {
                        kind: machine.kind.clone(),
                        zone: machine.zone.clone(),
                        spot: machine.spot,
                        born: machine.born,
                        up: true,
                        failed: false,
                        leaving: false,
                        rented_here: false,
                        last_listed: None,
                        idle_since: None,
                        drain_since: None,
                    };
                    self.cloud.machines.insert(name.clone(), owned);
                }
            }
        }
        for note in self.peers.values().filter_map(|p| p.note.as_ref()) {
            faulty.extend(note.faulty.iter().map(|n| MachineId::new(n)));
            for load in &note.parts {
                up.extend(load.up.iter().map(|n| MachineId::new(n)));
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
        }
    }

    /// Machines that a task may be on.
    fn busy_machines(&self) -> HashSet<MachineId, FixedState> {
        let mut busy: HashSet<&MachineId, FixedState> = HashSet::default();
        for job in self.view.active.iter().filter_map(|id| self.view.jobs.get(id)).filter(|j| j.holds_machines()) {
            let records = job.slices.iter().flat_map(|s| s.record().into_iter().chain(s.want()));
            for task in records.flat_map(|r| &r.tasks) {
                if let TaskRecord::On(_, machine) = task {
                    busy.insert(machine);
                }
            }
        }
        busy.into_iter().cloned().collect()
    }

    fn note_idle(&mut self, busy: &HashSet<MachineId, FixedState>) {
        for (name, owned) in &mut self.cloud.machines {
            if busy.contains(name) || !owned.up {
                owned.idle_since = None;
            } else {
                owned.idle_since.get_or_insert(self.now);
            }
        }
    }

    /// Cores wanted over the time a new machine takes to be of use: for each
    /// task the share of that time it needs a core, waiting work spread over
    /// the time it has left. What ends sooner frees room by itself.
    fn demand(&self) -> Vec<Demand> {
        let boots = &self.cloud.boots;
        let usual_s = |t: &MachineType| t.zones.iter().map(|z| boots.usual_s(&t.name, z, t.boot_s)).fold(0.0, f64::max);
        // Quick spells are not relied on, and slow ones not planned for without bound.
        let boot = self.catalog.values().map(|t| usual_s(t).clamp(t.boot_s, 4.0 * t.boot_s)).fold(0.0, f64::max);
        let ahead = boot + 10.0;
        let mut groups: BTreeMap<Constraints, Demand> = BTreeMap::new();
        for id in &self.view.active {
            let Some(job) = self.view.jobs.get(id).filter(|j| j.holds_machines()) else { continue };
            let spec = &job.record.spec;
            let (done, on) = job.counts();
            // Work that fails wherever it runs has no use for more machines.
            if on == 0 && self.suspect(id) {
                continue;
            }
            let waiting = if job.record.end.is_some() { 0 } else { spec.tasks.saturating_sub(done + on) };
            let run = self.learned.run_time(&spec.class, spec.estimate_s).max(1.0);
            let left = self.allowed_s(job) - self.age_s(job);
            let (share_on, share_waiting) = if spec.kind == JobKind::Array {
                {
                    // Tasks one after the other that fit into the time left.
                    let waves = ((left - 5.0) / (run * 1.2 + 5.0)).floor().clamp(1.0, MOST_WAVES);
                    ((run * 0.6 / ahead).min(1.0), (run / ahead).min(1.0) / waves)
                }
            } else {
                (1.0, 1.0)
            };
            let team = self.settings.cluster.teams.iter().find(|t| t.name == spec.team);
            let cap = team.map_or(0.0, |t| t.cpus_max);
            let mut cpus = (f64::from(on) * share_on + f64::from(waiting) * share_waiting) * spec.cpus;
            if waiting > 0 {
                // However much time it has, something must be there to run it.
                cpus = cpus.max(spec.cpus);
            }
            if cap > 0.0 {
                cpus = cpus.min(cap);
            }
            let key = (spec.gpus > 0.0, spec.types.clone(), spec.zone.clone(), spec.spot);
            let group = groups.entry(key).or_insert(Demand {
                cpus: 0.0,
                urgent: 0.0,
                shape: [0.0; 3],
                fetch_gb: 0.0,
                run_s: 0.0,
                types: spec.types.clone(),
                zone: spec.zone.clone(),
                spot: spec.spot,
            });
            group.cpus += cpus;
            if !spec.spot || self.pressing(job, left, ahead) {
                group.urgent += cpus;
            }
            group.fetch_gb += cpus * spec.image_gb;
            group.run_s += cpus * run;
            for (most, need) in group.shape.iter_mut().zip([spec.cpus, spec.gpus, spec.mem_gb]) {
                *most = most.max(need);
            }
        }
        // What the work of late has kept busy on average is likely to be
        // wanted again: buying for it ahead saves late starts and churn.
        let (usual, swing) = self.usual_cpus(ahead);
        let usual = usual * USUAL_HEADROOM + swing * SWING_HEADROOM;
        // A load that spot machines cannot carry for good needs ordinary ones.
        let usual_urgent = usual;
        let now: f64 = groups.values().map(|g| g.cpus).sum();
        let now_urgent: f64 = groups.values().map(|g| g.urgent).sum();
        tracing::debug!("demand: {now:.0} cores now, {now_urgent:.0} pressing, usual {usual:.0} with swing {swing:.0}");
        if let Some(group) = groups.values_mut().max_by(|a, b| a.cpus.total_cmp(&b.cpus)) {
            group.cpus += (usual - now).max(0.0);
            group.urgent += (usual_urgent - now_urgent).max(0.0);
        }
        // Headroom for what must start at once, in every part.
        if let Some(group) = groups.values_mut().max_by(|a, b| a.cpus.total_cmp(&b.cpus)) {
            let each = group.cpus / f64::from(self.parts);
            group.cpus += self.reserve(each) * f64::from(self.parts);
        }
        let mut demand: Vec<Demand> = groups.into_values().filter(|d| d.cpus > 0.0).collect();
        // The most constrained first: they take the machines that suit them.
        demand.sort_by_key(|d| (d.types.is_none(), d.zone.is_none(), d.spot));
        demand
    }

    /// True if a job with so much time left could not wait for a machine to
    /// come free and still be in time.
    fn pressing(&self, job: &Job, left: f64, ahead: f64) -> bool {
        let spec = &job.record.spec;
        let run = self.learned.run_time(&spec.class, spec.estimate_s);
        spec.kind != JobKind::Array || left < run * 2.2 + ahead
    }

    /// Cores that the jobs of the last while keep busy on average, and how far
    /// those of jobs that press from the start swing about theirs.
    fn usual_cpus(&self, ahead: f64) -> (f64, f64) {
        let mut all = 0.0;
        let mut pressing = vec![];
        let mut oldest: f64 = 0.0;
        for (id, job) in &self.view.jobs {
            let (spec, age) = (&job.record.spec, self.age_s(job));
            // What failed wherever it ran, or was cancelled, keeps nothing busy.
            if job.record.end == Some(End::Cancelled) || self.suspect(id) {
                continue;
            }
            if age < USUAL_S && spec.kind == JobKind::Array {
                let (cpus, run) =
                    (spec.cpus * f64::from(spec.tasks), self.learned.run_time(&spec.class, spec.estimate_s));
                all += cpus * run;
                if self.pressing(job, self.allowed_s(job), ahead) {
                    pressing.push((cpus, run));
                }
                oldest = oldest.max(age);
            }
        }
        let time = oldest.max(USUAL_S / 3.0);
        (all / time, swing(&pressing, time))
    }

    fn suits(&self, demand: &Demand, kind: &str, zone: &str, spot: bool) -> bool {
        let big_enough = self.catalog.get(kind).is_some_and(|t| {
            t.cpus + 1e-6 >= demand.shape[0] && t.gpus + 1e-6 >= demand.shape[1] && t.mem_gb + 1e-6 >= demand.shape[2]
        });
        big_enough
            && demand.types.as_ref().is_none_or(|types| types.iter().any(|t| t == kind))
            && demand.zone.as_ref().is_none_or(|z| z == zone)
            && (demand.spot || !spot)
    }

    /// Cores missing per group, after each took what suits it, and cores spare.
    fn missing(&self, demand: &[Demand], wanted: fn(&Demand) -> f64) -> (Vec<f64>, BTreeMap<MachineId, f64>) {
        let mut left: BTreeMap<MachineId, f64> = self
            .cloud
            .machines
            .iter()
            .filter(|(name, m)| !m.failed && !m.leaving && !self.draining(name))
            .filter_map(|(name, m)| Some((name.clone(), self.counted_cpus(m)?)))
            .collect();
        let mut lacks = vec![];
        for group in demand {
            let mut lack = wanted(group) * 1.05;
            for (name, cpus) in &mut left {
                let m = &self.cloud.machines[name];
                if lack > 0.0 && self.suits(group, &m.kind, &m.zone, m.spot) {
                    let take = cpus.min(lack);
                    *cpus -= take;
                    lack -= take;
                }
            }
            lacks.push(lack.max(0.0));
        }
        (lacks, left)
    }

    fn rent_for(&mut self, demand: &[Demand]) {
        let (lacks, _) = self.missing(demand, |d| d.cpus);
        let (pressing, _) = self.missing(demand, |d| d.urgent);
        let mut in_zone: BTreeMap<&str, f64> = BTreeMap::new();
        for m in self.cloud.machines.values() {
            *in_zone.entry(m.zone.as_str()).or_default() += self.catalog.get(&m.kind).map_or(0.0, |t| t.cpus);
        }
        let total: f64 = in_zone.values().sum();
        for (group, (any, urgent)) in demand.iter().zip(lacks.into_iter().zip(pressing)) {
            if any <= 0.0 {
                continue;
            }
            // Without any spot machines to be had, or any machine at all, work
            // that could wait for cheap room would wait for nothing.
            let cheap = group.spot && self.catalog.values().any(|t| t.spot_price.is_some());
            let nothing =
                any >= group.cpus && self.cloud.refused.iter().any(|(slot, until)| slot.2 && self.now < until.0);
            let mut best: Option<(f64, RentRequest)> = None;
            for t in self.catalog.values() {
                for zone in &t.zones {
                    for spot in [true, false] {
                        let lack = if spot || !cheap || nothing { any } else { urgent };
                        if lack <= 0.0 {
                            continue;
                        }
                        if !self.suits(group, &t.name, zone, spot) || (spot && t.spot_price.is_none()) {
                            continue;
                        }
                        let slot = (t.name.clone(), zone.clone(), spot);
                        if self.cloud.refused.get(&slot).is_some_and(|r| self.now < r.0) {
                            continue;
                        }
                        let price = if spot { t.spot_price.unwrap_or(t.price) } else { t.price };
                        // Cores that memory lets the tasks use.
                        let each = (t.cpus / group.shape[0].max(1e-3)).min(t.mem_gb / group.shape[2].max(1e-3));
                        let useful = (each.floor() * group.shape[0]).clamp(t.cpus * 0.3, t.cpus);
                        let count = (lack / useful).ceil().clamp(1.0, f64::from(RENT_LIMIT));
                        // Time lost to fetching images, some of which are shared.
                        let fetch = if t.fetch_gb_per_s > 0.0 { group.fetch_gb / t.fetch_gb_per_s } else { 0.0 };
                        // Boots that are slower than they should be are paid for.
                        let late = self.cloud.boots.usual_s(&t.name, zone, t.boot_s) - t.boot_s;
                        let boot = late.max(0.0) / PAID_FOR_S;
                        let slow = 1.0 + 0.5 * fetch / group.run_s.max(1e-6) + boot;
                        let cost = count * price * slow / (count * useful).min(lack);
                        // At about the same price, the zone with less of ours:
                        // a lost zone should not take everything.
                        let here = in_zone.get(zone.as_str()).copied().unwrap_or(0.0);
                        let cost = cost * (1.0 + 0.05 * here / total.max(1.0));
                        if best.as_ref().is_none_or(|b| cost < b.0) {
                            let request = RentRequest {
                                request: String::new(),
                                kind: t.name.clone(),
                                zone: zone.clone(),
                                spot,
                                count: count as u32,
                            };
                            best = Some((cost, request));
                        }
                    }
                }
            }
            if let Some((_, request)) = best {
                return self.name_rental(request);
            }
        }
    }

    /// Makes the rental's name durable before it is used; the count behind
    /// names only rises, so that none is ever used again.
    fn name_rental(&mut self, mut request: RentRequest) {
        if self.busy_keys.contains(FLEET_KEY) {
            return;
        }
        let mut record = self.view.fleet.record.clone().unwrap_or_default();
        record.rentals += 1;
        request.request = format!("r-{}", record.rentals);
        let Some(txn) = self.fleet_txn(&record) else { return };
        self.reads.force(self.now, 1.0);
        self.writes.force(self.now, 1.0);
        self.busy_keys.insert(FLEET_KEY.into());
        self.cloud.renting = true;
        let rent = Rent { request, tries: 3 };
        self.call_state(StateCall::Txn(txn.clone()), Pending::RentName { rent, txn });
    }

    fn fleet_txn(&self, record: &FleetRecord) -> Option<Txn> {
        let conditions = vec![
            Condition { key: LEADER_KEY.into(), version: self.view.leader.version },
            Condition { key: FLEET_KEY.into(), version: self.view.fleet.version },
        ];
        let value = serde_json::to_value(record).ok()?;
        Some(Txn { conditions, changes: vec![Change::put(FLEET_KEY.into(), value)] })
    }

    pub(super) fn rent_named(&mut self, rent: Rent, txn: Txn, answer: StateAnswer) {
        self.busy_keys.remove(FLEET_KEY);
        match answer {
            StateAnswer::Committed(revision) => {
                self.committed(&txn, revision);
                self.call_cloud(CloudCall::Rent(rent.request.clone()), Pending::Rent(rent));
            }
            StateAnswer::Conflict(failed) => {
                self.cloud.renting = false;
                self.reread(failed, None);
            }
            _ => self.cloud.renting = false,
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
                        self.cloud.gone.insert(name);
                    }
                    self.write_fleet();
                }
            }
            _ => {}
        }
    }

    fn rent_answer(&mut self, rent: Rent, answer: CloudAnswer) {
        self.cloud.renting = false;
        let RentRequest { kind, zone, spot, count, .. } = rent.request.clone();
        let slot = (kind.clone(), zone.clone(), spot);
        match answer {
            CloudAnswer::Rented(names) => {
                tracing::info!("rented {} of {count} {kind} in {zone}, spot: {spot}", names.machines.len());
                if (names.machines.len() as u32) < count {
                    self.cloud.refused.insert(slot, (self.now + Span(10_000), 0));
                } else {
                    self.cloud.refused.remove(&slot);
                }
                for name in names.machines {
                    let owned = Owned { rented_here: true, ..self.owned(&kind, &zone, spot, self.now) };
                    self.cloud.machines.entry(name).or_insert(owned);
                }
            }
            CloudAnswer::NoCapacity => {
                let times = self.cloud.refused.get(&slot).map_or(0, |r| r.1) + 1;
                let pause = Span::secs((5.0 * 2f64.powi(times.min(4) as i32 - 1)).min(40.0));
                self.cloud.refused.insert(slot, (self.now + pause, times));
            }
            // Perhaps carried out: the same name asks for the same machines.
            _ if rent.tries > 0 && self.leading() => {
                self.cloud.renting = true;
                let again = Rent { tries: rent.tries - 1, ..rent };
                self.call_cloud(CloudCall::Rent(again.request.clone()), Pending::Rent(again));
            }
            _ => {
                self.cloud.refused.insert(slot, (self.now + Span(3000), 0));
            }
        }
    }

    fn owned(&self, kind: &str, zone: &str, spot: bool, born: Time) -> Owned {
        Owned {
            kind: kind.into(),
            zone: zone.into(),
            spot,
            born,
            up: false,
            failed: false,
            leaving: false,
            rented_here: false,
            last_listed: None,
            idle_since: None,
            drain_since: None,
        }
    }

    fn list_answer(&mut self, mut seen: Vec<Listed>, answer: CloudAnswer) {
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
            if self.cloud.gone.contains(&listed.machine) || self.returned(&listed.machine) {
                continue;
            }
            let owned = self.owned(&listed.kind, &listed.zone, listed.spot, self.now - Span::secs(listed.age_s));
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
    }

    /// Marks for return what is idle beyond need, failed or never came up.
    fn drain_idle(&mut self, demand: &[Demand]) {
        if self.busy_keys.contains(FLEET_KEY) {
            return;
        }
        let (lacks, spare) = self.missing(demand, |d| d.cpus);
        // Machines that suit work without room are kept; others are not: they
        // may be what keeps the cloud from having any that would do.
        let lacking = |m: &Owned| {
            let mut groups = demand.iter().zip(&lacks);
            groups.any(|(group, lack)| *lack > 0.5 && self.suits(group, &m.kind, &m.zone, m.spot))
        };
        let idle_for = Span::secs(self.tuning.idle_s);
        let mut surplus: f64 = spare.values().sum();
        let mut drain = vec![];
        let mut order: Vec<(&MachineId, &Owned)> = self.cloud.machines.iter().collect();
        let price = |m: &Owned| {
            self.catalog
                .get(&m.kind)
                .map_or(0.0, |t| if m.spot { t.spot_price.unwrap_or(t.price) } else { t.price } / t.cpus)
        };
        let used = self.taken();
        let wanted: f64 = demand.iter().map(|d| d.cpus).sum();
        let load = |n: &MachineId| used.get(n).map_or(0.0, |taken| taken[0]);
        order.sort_by(|a, b| price(b.1).total_cmp(&price(a.1)).then(load(a.0).total_cmp(&load(b.0))));
        for (name, owned) in order {
            if self.draining(name) {
                continue;
            }
            let Some(t) = self.catalog.get(&owned.kind) else { continue };
            let stuck = self.stuck(owned);
            // Ordinary machines cost several times as much to keep.
            let idle_for = if owned.spot { idle_for } else { Span(idle_for.0 / 4) };
            let idle = owned.idle_since.is_some_and(|at| self.now.since(at) >= idle_for);
            // Surplus ordinary machines are left to run out, rather than
            // refilled for as long as there is any work.
            let settled = owned.up && self.now.since(owned.born) > Span::secs(t.boot_s + 45.0);
            let in_use = load(name) / t.cpus;
            let margin = if owned.spot { wanted * 0.1 } else { t.cpus * 0.25 };
            let dear = settled && !owned.spot && in_use < 0.6 && surplus >= t.cpus + margin;
            let unneeded = !lacking(owned) && (idle && surplus >= t.cpus || dear);
            if owned.failed || stuck || unneeded {
                if unneeded {
                    surplus -= t.cpus;
                }
                drain.push(name.clone());
            }
        }
        if drain.is_empty() {
            return;
        }
        for name in drain {
            if let Some(owned) = self.cloud.machines.get_mut(&name) {
                if !owned.up && owned.rented_here {
                    let after_s = self.now.since(owned.born).as_secs();
                    self.cloud.boots.given_up(&owned.kind, &owned.zone, after_s);
                }
                owned.drain_since = Some(self.now);
            }
        }
        self.write_fleet();
    }

    /// Writes which machines are on their way out, and which are gone.
    fn write_fleet(&mut self) {
        if self.busy_keys.contains(FLEET_KEY) || !self.leading() {
            return;
        }
        let mut record = self.view.fleet.record.clone().unwrap_or_default();
        let before = record.clone();
        // Of a large fleet only so many fit into one record; the rest are
        // named when these are gone.
        let most = Names::within(self.settings.cluster.state.value_kb);
        for (name, owned) in &self.cloud.machines {
            if record.drain.len() >= most.drain {
                break;
            }
            if owned.drain_since.is_some() && !self.cloud.drained.contains(name) && !record.drain.contains(name) {
                record.drain.push(name.clone());
            }
        }
        for name in &self.cloud.gone {
            record.drain.retain(|n| n != name);
            if !record.gone.contains(name) {
                record.gone.push(name.clone());
            }
        }
        // Drained machines that ended otherwise need not be remembered.
        if self.cloud.known {
            record.drain.retain(|n| self.cloud.machines.contains_key(n));
        }
        let over = record.gone.len().saturating_sub(most.gone);
        record.gone.drain(..over);
        while self.cloud.gone.len() > most.gone {
            self.cloud.gone.pop_first();
        }
        if record != before {
            if let Some(txn) = self.fleet_txn(&record) {
                self.simple_txn(txn);
            }
        }
    }

    /// Returns machines that were marked long enough for their owners to know
    /// and that nothing is on, or that failed.
    fn return_drained(&mut self, busy: &HashSet<MachineId, FixedState>) {
        self.write_fleet();
        if self.cloud.returning {
            return;
        }
        let Some(record) = &self.view.fleet.record else { return };
        let mut names = vec![];
        for name in record.drain.iter().filter(|n| !record.gone.contains(n)) {
            let Some(owned) = self.cloud.machines.get_mut(name) else { continue };
            let since = *owned.drain_since.get_or_insert(self.now);
            if self.now.since(since) >= Span(2000) && !busy.contains(name) {
                names.push(name.clone());
            }
        }
        // Owners learn from the record which are gone: no more than it holds.
        names.truncate(RETURN_LIMIT.min(Names::within(self.settings.cluster.state.value_kb).gone));
        if !names.is_empty() && self.afford_cloud() {
            self.cloud.returning = true;
            self.call_cloud(CloudCall::Return(names.clone()), Pending::Return(names));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A flat share of headroom was too little for large jobs with tight
    /// deadlines, and too much for many small ones.
    #[test]
    fn few_large_jobs_swing_more_than_many_small_ones() {
        let large = swing(&[(200.0, 60.0); 10], 100.0);
        let small = swing(&[(20.0, 60.0); 100], 100.0);
        assert!((large - 490.0).abs() < 1.0, "{large}");
        assert!((small - 155.0).abs() < 1.0, "{small}");
    }
}
