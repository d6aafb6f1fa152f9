//! Placement rounds: each waiting task goes where its expected completion is
//! least, which may mean waiting for a busy machine.

use super::failures::Failures;
use super::openings::Openings;
use super::part::{Machine, Mine, TaskKey};
use super::queue::{serve_order, Contender};
use super::scoring::{expected_completion, remaining, Prospect};
use super::*;
use crate::bookkeeping::lifetimes::{History, Life};
use crate::bookkeeping::records::{JobRecord, SliceRecord, TaskRecord};
use crate::bookkeeping::view::Job;
use crate::protocol::users::{JobKind, Priority};
use crate::protocol::workers::TaskState;
use crate::settings::Objective;
use crate::units::Attempt;

/// Tasks of one job that a round looks at to find that they wait.
const MOST_WAITS: usize = 32;

/// Expected completions that differ by less than this share of the run time
/// count as equal.
const NEAR: f64 = 0.08;

/// Machines that fetch images at least this share as fast as the fastest hold the reserve.
const PRIME: f64 = 0.75;

/// The largest share of a part that is kept free.
const MOST_RESERVED: f64 = 0.02;

/// A job whose tasks found no room in a round, and when there may be some.
pub(super) struct Short {
    pub job: JobRef,
    pub tasks: usize,
    pub wait_s: f64,
}

/// Rounded score, price and free cores: less is better.
type Rank = (f64, f64, f64);

/// Not of a high priority, not within a guarantee, the priority: less first.
type Precedence = (bool, bool, std::cmp::Reverse<Priority>);

/// Kind, spot and zone: machines that share a history.
type Family = (String, bool, String);

/// What experience teaches: lifetimes, run times against estimates, and what fails.
#[derive(Debug, Default)]
pub struct Learned {
    histories: BTreeMap<Family, History>,
    /// Per class: mean logarithm of actual over estimated run time, and weight.
    ratios: BTreeMap<String, (f64, f64)>,
    /// Per class that must start at once: mean cores of a job, and weight.
    job_cpus: BTreeMap<String, (f64, f64)>,
    pub(super) failures: Failures,
}

impl Learned {
    pub fn machine_gone(&mut self, machine: &Machine, now: Time, lost: bool) {
        let family = (machine.kind.clone(), machine.spot, machine.zone.clone());
        let age_s = now.since(machine.born).as_secs();
        self.histories.entry(family).or_default().add(Life { age_s, lost });
    }

    pub fn learn_ratio(&mut self, class: &str, ratio: f64) {
        let entry = self.ratios.entry(class.to_string()).or_insert((0.0, 3.0));
        entry.0 = (entry.0 * entry.1 + ratio.clamp(0.1, 10.0).ln()) / (entry.1 + 1.0);
        entry.1 = (entry.1 + 1.0).min(100.0);
    }

    pub fn saw_job(&mut self, class: &str, cpus: f64) {
        let mean = self.job_cpus.entry(class.to_string()).or_insert((0.0, 0.0));
        mean.1 = (mean.1 + 1.0).min(30.0);
        mean.0 += (cpus - mean.0) / mean.1;
    }

    /// The owner's estimate, corrected by what its class has shown.
    pub fn run_time(&self, class: &str, estimate_s: f64) -> f64 {
        estimate_s * self.ratios.get(class).map_or(1.0, |r| r.0.exp())
    }
}

/// A machine as one round sees it.
#[derive(Clone)]
pub(super) struct Seat<'a> {
    pub name: &'a MachineId,
    pub machine: &'a Machine,
    type_: &'a MachineType,
    age_s: f64,
    /// Price per core.
    price: f64,
    pub openings: Openings,
}

pub(super) fn needs(record: &JobRecord) -> [f64; 3] {
    [record.spec.cpus, record.spec.gpus, record.spec.mem_gb]
}

/// Where a job's tasks are, for those that must stay together or apart.
#[derive(Default)]
pub(super) struct Spread {
    by_zone: BTreeMap<String, usize>,
    unknown: bool,
}

impl Core {
    pub(super) fn learn_run_time(&mut self, part: PartId, key: &TaskKey) {
        let Some(mine) = self.mine.get(&part) else { return };
        let Some(started) = mine.running_since.get(key) else { return };
        // A task that ran before we owned the part began at a time unknown, and
        // one that ran while we stood still ended at a time unknown. Learned
        // from, a standstill of 20 s once made all later work seem half as long
        // again, and machines were rented for it.
        if started.since(mine.since) < Span(3000) || *started < self.resumed {
            return;
        }
        let ran = self.now.since(*started).as_secs();
        let Some(job) = self.view.jobs.get(&key.0) else { return };
        let (class, estimate) = (job.record.spec.class.clone(), job.record.spec.estimate_s);
        if estimate > 0.0 && ran > 0.5 {
            self.learned.learn_ratio(&class, ran / estimate);
        }
    }

    pub(super) fn rounds(&mut self) {
        if !self.state_fresh() {
            return;
        }
        self.rebuild_histories();
        self.plan_stops();
        let order = self.waiting_jobs();
        for part in self.mine.keys().copied().collect::<Vec<_>>() {
            if self.mine.get(&part).is_some_and(|m| m.ready && !m.releasing) {
                self.round(part, &order);
            }
        }
    }

    fn rebuild_histories(&mut self) {
        let mut up: BTreeMap<Family, Vec<f64>> = BTreeMap::new();
        for machine in self.mine.values().flat_map(|m| m.machines.values()) {
            let family = (machine.kind.clone(), machine.spot, machine.zone.clone());
            up.entry(family).or_default().push(self.now.since(machine.born).as_secs());
        }
        for (family, history) in &mut self.learned.histories {
            history.rebuild(up.get(family).map_or(&[][..], |ages| ages));
        }
    }

    /// Tasks on machines that are about to be taken away are stopped in time
    /// to save, or at once if they can neither save nor finish.
    fn plan_stops(&mut self) {
        let now = self.now;
        let mut stops = vec![];
        for (part, mine) in &self.mine {
            for (name, machine) in &mine.machines {
                let faulty = machine.faulty;
                let Some(left) = machine.notice.map(|at| at.since(now).as_secs()).or(faulty.then_some(0.0)) else {
                    continue;
                };
                for key in mine.on.get(name).into_iter().flatten() {
                    let Some(job) = self.view.jobs.get(&key.0) else { continue };
                    let spec = &job.record.spec;
                    let rest = self.rest_of(mine, job, key);
                    if !faulty && spec.kind != JobKind::Standing && rest + 0.5 < left {
                        continue;
                    }
                    let saves = spec.checkpoint_s > 0.0;
                    if !saves || faulty || left < spec.save_s * 1.5 + 3.0 {
                        let grace = if saves { spec.save_s.max(1.0) } else { 0.0 };
                        stops.push((*part, key.clone(), grace));
                    }
                }
            }
        }
        for (part, key, grace) in stops {
            if let Some(mine) = self.mine.get_mut(&part) {
                mine.stopping.entry(key).or_insert(grace);
            }
        }
    }

    /// Time a placed task still needs, its image included.
    pub(super) fn rest_of(&self, mine: &Mine, job: &Job, key: &TaskKey) -> f64 {
        let spec = &job.record.spec;
        let estimate = self.learned.run_time(&spec.class, spec.estimate_s);
        match mine.running_since.get(key) {
            Some(at) => remaining(estimate, self.now.since(*at).as_secs()),
            None => estimate + 2.0,
        }
    }

    /// Jobs with work left, in the order they are served: priority first,
    /// then work within a guarantee, then the least time to spare. What cannot
    /// be in time with all that goes before it yields.
    fn waiting_jobs(&self) -> Vec<JobRef> {
        let guaranteed = self.guaranteed_jobs();
        let mut queue: Vec<Contender<Precedence, JobRef>> = vec![];
        let mut ours: BTreeSet<&JobRef> = BTreeSet::new();
        for id in &self.view.active {
            let Some(job) = self.view.jobs.get(id) else { continue };
            if job.record.end.is_some() || self.held_back(id, job) {
                continue;
            }
            let idle = |w: &SliceRecord| w.tasks.iter().any(|t| matches!(t, TaskRecord::Idle(_)));
            if job.slices.iter().any(|s| s.want.as_ref().is_some_and(idle)) {
                ours.insert(id);
            }
            let spec = &job.record.spec;
            let run_s = self.learned.run_time(&spec.class, spec.estimate_s);
            let (done, on) = job.counts();
            let left = f64::from(spec.tasks.saturating_sub(done + on)) + f64::from(on) * 0.5;
            queue.push(Contender {
                rank: (spec.priority < Priority::High, !guaranteed.contains(id), std::cmp::Reverse(spec.priority)),
                left_s: (self.allowed_s(job) - self.age_s(job)).clamp(-1e6, 1e6),
                run_s,
                work: left * spec.cpus * run_s,
                at: job.record.at,
                id: id.clone(),
            });
        }
        let order = serve_order(queue, self.cluster_cpus());
        order.into_iter().filter(|id| ours.contains(id)).collect()
    }

    /// Cores of all parts, judged by ours: machines hash to parts evenly.
    fn cluster_cpus(&self) -> f64 {
        let machines = self.mine.values().flat_map(|m| m.machines.values());
        let ours: f64 = machines.filter_map(|m| self.catalog.get(&m.kind)).map(|t| t.cpus).sum();
        ours * f64::from(self.parts) / self.mine.len().max(1) as f64
    }

    /// Age of a job, estimated by the time of day.
    pub(super) fn age_s(&self, job: &Job) -> f64 {
        self.wall_ms.saturating_sub(job.record.at) as f64 / 1000.0
    }

    /// Time a job may take from its submission, as its user says, or the
    /// nearest of the aims that it can still meet.
    pub(super) fn allowed_s(&self, job: &Job) -> f64 {
        let spec = &job.record.spec;
        if let Some(deadline) = spec.deadline_s {
            return deadline;
        }
        let soonest = self.age_s(job) + 0.5 * self.learned.run_time(&spec.class, spec.estimate_s);
        let aims = self.settings.cluster.objectives.iter();
        let mut within: Vec<f64> = aims
            .filter(|o| o.class.as_deref() == Some(&spec.class) && o.kind == "finished")
            .filter_map(|o| o.within_s)
            .collect();
        within.sort_by(f64::total_cmp);
        let open = within.iter().find(|w| **w >= soonest).or(within.last());
        open.copied().unwrap_or(600.0 + spec.estimate_s * 3.0)
    }

    /// Jobs that fit into their team's guarantee along with its earlier ones.
    pub(super) fn guaranteed_jobs(&self) -> BTreeSet<JobRef> {
        let mut jobs: Vec<(&JobRef, &Job)> = self
            .view
            .active
            .iter()
            .filter_map(|id| Some((id, self.view.jobs.get(id)?)))
            .filter(|(id, j)| j.record.end.is_none() && !self.suspect(id))
            .collect();
        jobs.sort_by_key(|(id, j)| (j.record.at, (*id).clone()));
        let mut left: BTreeMap<&str, [f64; 2]> =
            self.settings.cluster.teams.iter().map(|t| (t.name.as_str(), [t.cpus, t.gpus])).collect();
        let mut within = BTreeSet::new();
        for (id, job) in jobs {
            let spec = &job.record.spec;
            let Some(room) = left.get_mut(spec.team.as_str()) else { continue };
            let tasks = f64::from(spec.tasks);
            room[0] -= spec.cpus * tasks;
            room[1] -= spec.gpus * tasks;
            if room[0] >= -1e-6 && room[1] >= -1e-6 {
                within.insert(id.clone());
            }
        }
        within
    }

    pub(super) fn seats<'a>(&'a self, part: PartId) -> Vec<Seat<'a>> {
        let Some(mine) = self.mine.get(&part) else { return vec![] };
        let quiet = Span(self.timing.worker_lease.0 / 3);
        let mut seats = vec![];
        for (name, machine) in &mine.machines {
            let Some(type_) = self.catalog.get(&machine.kind) else { continue };
            let usable = !machine.faulty
                && machine.notice.is_none()
                && self.now >= machine.rests_until
                && self.now.since(machine.last_report) < quiet
                && !self.draining(name);
            if !usable {
                continue;
            }
            let mut openings = Openings::new([type_.cpus, type_.gpus, type_.mem_gb]);
            let known = mine.on.get(name);
            for key in known.into_iter().flatten() {
                let Some(job) = self.view.jobs.get(&key.0) else { continue };
                let ends = job.record.spec.kind != JobKind::Standing;
                openings.hold(&needs(&job.record), ends.then(|| self.rest_of(mine, job, key)));
            }
            // Tasks on the machine that nobody wants there still take room.
            for (key, (_, state, _)) in &machine.listed {
                if *state != TaskState::Exited && !known.is_some_and(|k| k.contains(key)) {
                    if let Some(job) = self.view.jobs.get(&key.0) {
                        openings.hold(&needs(&job.record), None);
                    }
                }
            }
            let age_s = self.now.since(machine.born).as_secs();
            let price = if machine.spot { type_.spot_price.unwrap_or(type_.price) } else { type_.price };
            let price = price / type_.cpus.max(1e-6);
            seats.push(Seat { name, machine, type_, age_s, price, openings });
        }
        seats
    }

    fn round(&mut self, part: PartId, order: &[JobRef]) {
        let mut places: Vec<(TaskKey, Attempt, MachineId)> = vec![];
        let mut wanted: BTreeMap<String, (f64, f64)> = BTreeMap::new();
        let mut used = self.mine.get(&part).map(|m| m.used.clone()).unwrap_or_default();
        let mut seats = self.seats(part);
        let reserve = self.reserve(seats.iter().map(|s| s.type_.cpus).sum());
        // The reserve is kept where images come fastest, if the part has such.
        let fastest = seats.iter().map(|s| s.type_.fetch_gb_per_s).fold(0.0, f64::max);
        let prime = |seat: &Seat| holds_reserve(seat.type_.fetch_gb_per_s, fastest);
        let mut spare: f64 = seats.iter().filter(|s| prime(s)).map(|s| s.openings.free[0].max(0.0)).sum();
        let mut short: Vec<Short> = vec![];
        for id in order {
            if places.len() >= self.tuning.round_limit {
                break;
            }
            let Some(job) = self.view.jobs.get(id) else { continue };
            let need = needs(&job.record);
            let limits = self.allowance(part, &job.record.spec.team);
            let gang = job.record.spec.kind == JobKind::Gang;
            if gang && job.wants_any_on() {
                // What is left of an earlier try must be gone first.
                continue;
            }
            let before = (places.len(), gang.then(|| (seats.clone(), used.clone())));
            let mut spread = self.spread(part, id, job);
            let mut scores: Vec<Option<(f64, f64)>> = vec![None; seats.len()];
            let mut full = false;
            let mut waits = 0;
            let quick = self.wants_quick_start(&job.record.spec.class);
            let suspect = self.suspect(id);
            let mut lacking = Short { job: id.clone(), tasks: 0, wait_s: f64::INFINITY };
            for index in 0..job.slices.len() {
                if job.part_of(index) != Some(part) {
                    continue;
                }
                let Some(want) = &job.slices[index].want else { continue };
                let first = job.record.plan.as_ref().map_or(0, |p| p.first_task(index));
                for (at, task) in want.tasks.iter().enumerate() {
                    let TaskRecord::Idle(attempt) = task else { continue };
                    if full || (!gang && places.len() >= self.tuning.round_limit) {
                        break;
                    }
                    let team = used.entry(job.record.spec.team.clone()).or_default();
                    let over = |limit: Option<f64>, used: f64, need: f64| limit.is_some_and(|l| used + need > l + 1e-9);
                    let over = over(limits.0, team.0, need[0]) || over(limits.1, team.1, need[1]);
                    // What is left there is for work that must start at once.
                    let kept = !quick && reserve > 0.0 && spare - need[0] < reserve;
                    let failed = |seat: &Seat| !suspect && seat.machine.failed_jobs.contains(id);
                    let open = |seat: &Seat| !(kept && prime(seat) || failed(seat));
                    match self.best_seat(&seats, job, &need, &spread, &mut scores, open) {
                        None => {
                            lacking.tasks += 1;
                            full = true;
                        }
                        // Only a part with room for a task has use for more of its
                        // team's limit.
                        Some((_, wait, _)) if over => {
                            if wait <= 0.0 {
                                let lack = wanted.entry(job.record.spec.team.clone()).or_default();
                                lack.0 += need[0];
                                lack.1 += need[1];
                            }
                            waits += 1;
                            full = gang || waits >= MOST_WAITS;
                        }
                        Some((seat, wait, run)) => {
                            seats[seat].openings.book(&need, wait, wait + run);
                            scores[seat] = None;
                            if wait > 0.0 {
                                waits += 1;
                                lacking.tasks += 1;
                                lacking.wait_s = lacking.wait_s.min(wait);
                                full = gang || waits >= MOST_WAITS;
                                continue;
                            }
                            team.0 += need[0];
                            team.1 += need[1];
                            if prime(&seats[seat]) {
                                spare -= need[0];
                            }
                            if job.record.spec.whole() {
                                *spread.by_zone.entry(seats[seat].machine.zone.clone()).or_default() += 1;
                                scores.fill(None);
                            }
                            // One task at a time shows whether it still fails.
                            full |= suspect && !gang;
                            let key = (id.clone(), first + at as u32);
                            places.push((key, Attempt(attempt.0 + 1), seats[seat].name.clone()));
                        }
                    }
                }
            }
            if lacking.tasks > 0 && !suspect {
                short.push(lacking);
            }
            if let (true, (count, Some((seats_before, used_before)))) = (full, before) {
                // Not all of the gang can start now: none does.
                places.truncate(count);
                seats = seats_before;
                used = used_before;
            }
        }
        self.log_part(part, &seats, places.len(), &short);
        drop(seats);
        for (key, attempt, machine) in places {
            tracing::debug!("task {}/{} attempt {attempt} to {machine}", key.0, key.1);
            self.set_task(&key, TaskRecord::On(attempt, machine));
        }
        if let Some(mine) = self.mine.get_mut(&part) {
            mine.wanted = wanted;
        }
        self.make_room(part, &short);
    }

    fn log_part(&self, part: PartId, seats: &[Seat], placed: usize, short: &[Short]) {
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        let idle: f64 = seats.iter().map(|s| s.openings.free[0].max(0.0)).sum();
        let cores: f64 = seats.iter().map(|s| s.type_.cpus).sum();
        let cpus = |s: &Short| self.view.jobs.get(&s.job).map_or(0.0, |j| j.record.spec.cpus * s.tasks as f64);
        let lacking: f64 = short.iter().map(cpus).sum();
        let unwritten = self.mine.get(&part).map_or(0, |m| m.dirty.len());
        tracing::debug!(
            "part {part}: {idle:.0} of {cores:.0} cores idle, {placed} placed, {lacking:.0} cores lacking, {unwritten} slices unwritten"
        );
    }

    /// True if tasks of the class must start sooner than a machine rented for
    /// them would be up.
    pub(super) fn wants_quick_start(&self, class: &str) -> bool {
        let boot_s = self.catalog.values().map(|t| t.boot_s).fold(f64::INFINITY, f64::min);
        starts_before(&self.settings.cluster.objectives, class, boot_s)
    }

    /// Cores that a part keeps free for work that must start at once: those
    /// of a usual job of each such class, of what has been seen.
    pub(super) fn reserve(&self, cpus: f64) -> f64 {
        let classes: f64 = self.learned.job_cpus.values().map(|mean| mean.0).sum();
        classes.min(cpus * MOST_RESERVED)
    }

    pub(super) fn spread(&self, part: PartId, id: &JobRef, job: &Job) -> Spread {
        let mut spread = Spread::default();
        if !job.record.spec.one_zone && !job.record.spec.apart {
            return spread;
        }
        let Some(mine) = self.mine.get(&part) else { return spread };
        for (machine, tasks) in &mine.on {
            let here = tasks.iter().filter(|t| t.0 == *id).count();
            match mine.machines.get(machine) {
                _ if here == 0 => {}
                Some(m) => *spread.by_zone.entry(m.zone.clone()).or_default() += here,
                // Where some of its tasks are is not known yet: wait.
                None => spread.unknown = true,
            }
        }
        spread
    }

    /// The machine of least expected completion: its index, the wait for
    /// room, and the run time there.
    fn best_seat(
        &self,
        seats: &[Seat],
        job: &Job,
        need: &[f64; 3],
        spread: &Spread,
        scores: &mut [Option<(f64, f64)>],
        open: impl Fn(&Seat) -> bool,
    ) -> Option<(usize, f64, f64)> {
        if spread.unknown {
            return None;
        }
        let spec = &job.record.spec;
        let run_s = self.learned.run_time(&spec.class, spec.estimate_s);
        let quick = self.wants_quick_start(&spec.class);
        let mut best: Option<(Rank, usize, f64, f64)> = None;
        for (index, seat) in seats.iter().enumerate() {
            if !open(seat) || !self.allowed(job, seat, spread) {
                continue;
            }
            let (score, wait) = match scores[index] {
                Some(known) => known,
                None => {
                    let known = self.score(seat, job, need, run_s);
                    scores[index] = Some(known);
                    known
                }
            };
            if !score.is_finite() {
                continue;
            }
            // Services take the first fit.
            if spec.kind == JobKind::Standing {
                return Some((index, 0.0, 1e9));
            }
            // Among near equals the cheapest, then the fullest, so that others
            // can be given back.
            let near = if quick { 0.3 } else { 0.5 + run_s * NEAR };
            let rounded = (score / near).round();
            let rank = (rounded, (seat.price * 1000.0).round(), seat.openings.free[0]);
            let better = best.is_none_or(|b| rank < b.0);
            if better {
                best = Some((rank, index, wait, run_s));
            }
        }
        best.map(|(_, index, wait, run)| (index, wait, run + self.fetch_s(&seats[index], job)))
    }

    pub(super) fn allowed(&self, job: &Job, seat: &Seat, spread: &Spread) -> bool {
        let spec = &job.record.spec;
        let zone = &seat.machine.zone;
        let half = spec.tasks.div_ceil(2) as usize;
        spec.types.as_ref().is_none_or(|types| types.contains(&seat.machine.kind))
            && spec.zone.as_ref().is_none_or(|z| z == zone)
            && (spec.spot || !seat.machine.spot)
            && (!spec.one_zone || spread.by_zone.keys().all(|z| z == zone))
            && (!spec.apart || spread.by_zone.get(zone).copied().unwrap_or(0) < half)
    }

    /// Time to fetch the job's image, if the machine lacks it.
    fn fetch_s(&self, seat: &Seat, job: &Job) -> f64 {
        let spec = &job.record.spec;
        let there = seat.machine.images.iter().any(|(name, _)| *name == spec.image);
        if there || seat.type_.fetch_gb_per_s <= 0.0 {
            0.0
        } else {
            spec.image_gb / seat.type_.fetch_gb_per_s
        }
    }

    /// Expected completion and wait for room; infinite if there is none.
    fn score(&self, seat: &Seat, job: &Job, need: &[f64; 3], run_s: f64) -> (f64, f64) {
        let spec = &job.record.spec;
        let Some(wait) = seat.openings.wait(need) else { return (f64::INFINITY, 0.0) };
        let service = spec.kind == JobKind::Standing;
        if wait > 0.0 && (service || !self.tuning.may_wait) {
            return (f64::INFINITY, 0.0);
        }
        static NOTHING: std::sync::OnceLock<History> = std::sync::OnceLock::new();
        let family = (seat.machine.kind.clone(), seat.machine.spot, seat.machine.zone.clone());
        let known = self.learned.histories.get(&family).filter(|_| self.tuning.use_lifetimes);
        let history = known.unwrap_or_else(|| NOTHING.get_or_init(History::default));
        let prospect = Prospect {
            age_s: seat.age_s,
            wait_s: wait + self.fetch_s(seat, job),
            run_s,
            checkpoint_s: spec.checkpoint_s,
        };
        (expected_completion(history, prospect), wait)
    }
}

/// True if an aim wants tasks of the class to start within less than `boot_s`.
/// An aim on longer waits is no claim on the reserve: such a class would eat it.
fn starts_before(aims: &[Objective], class: &str, boot_s: f64) -> bool {
    let quick = |o: &Objective| o.within_s.is_some_and(|within| within < boot_s);
    aims.iter().any(|o| o.kind == "wait" && o.class.as_deref() == Some(class) && quick(o))
}

/// True for machines that hold the reserve: those that fetch images fastest.
/// A core kept free where the image takes seconds to come starts nothing at once.
fn holds_reserve(fetch_gb_per_s: f64, fastest: f64) -> bool {
    fetch_gb_per_s >= fastest * PRIME
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_reserve_is_for_short_waits_on_machines_that_fetch_fast() {
        let aim = |kind: &str, within_s| Objective {
            kind: kind.into(),
            class: Some("lists".into()),
            within_s: Some(within_s),
            share: None,
        };
        assert!(starts_before(&[aim("wait", 180.0), aim("wait", 3.0)], "lists", 15.0));
        assert!(!starts_before(&[aim("wait", 180.0), aim("finished", 3.0)], "lists", 15.0));
        assert!(!starts_before(&[aim("wait", 3.0)], "rolls", 15.0));
        assert!(holds_reserve(0.8, 0.8) && !holds_reserve(0.2, 0.8) && holds_reserve(0.0, 0.0));
    }
}
