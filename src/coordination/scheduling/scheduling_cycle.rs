//! Placement rounds: each waiting task goes where its expected completion is
//! least, which may mean waiting for a busy machine.

use crate::coordination::scheduling::candidates::{Seat, Shapes, Spread};
use crate::coordination::scheduling::pending_queue::{JobSet, Place};
use crate::coordination::scheduling::resources::Resources;
use crate::coordination::shards::owned_shard::{QuotaShortage, TaskKey};
use crate::coordination::Core;
use crate::protocol::users::JobKind;
use crate::storage::cache::Job;
use crate::storage::names::InternedName;
use crate::storage::records::TaskRecord;
use crate::units::{Attempt, ComputeAmount, JobId, MachineId, Millis, ShardId};
use std::collections::BTreeMap;

/// Tasks of one job that a round looks at to find that they wait.
const MOST_WAITS: usize = 32;

/// Seats that a round scores before it looks only at jobs with room now, if
/// the settings do not say what share of a core there is; it ends after three
/// times as many: its length must not grow with machines times waiting jobs.
const USUAL_SCORES: usize = 64_000;

/// Seats that a round may score however small the share of a core.
const LEAST_SCORES: usize = 8000;

/// Processor time that scoring a seat is reckoned with, in seconds; not measured by itself.
const SCORE_S: f64 = 2e-7;

/// The largest share of its processor time that a node spends on scores which
/// start nothing.
const SCORE_SHARE: f64 = 0.5;

/// Machines that fetch images at least this share as fast as the fastest hold the reserve.
const PRIME: f64 = 0.75;

/// The largest share of a shard that is kept free.
const MOST_RESERVED: f64 = 0.02;

/// Jobs that a round tells when they may start, at least, and the share of the
/// shard's cores that it promises to such jobs, before what remains may only
/// start at once: the openings that come soon belong to those before it.
const MOST_WAITERS: usize = 32;
const MOST_PROMISED: f64 = 0.25;

/// How long a job goes elsewhere after it failed on a machine, if there is
/// anywhere; and how long it does not go there in any case. The machine counts
/// as room meanwhile, for which none is rented: the job must not wait for ever.
const AVOID_FAILED: Millis = Millis(60_000);
const REST_FAILED: Millis = Millis(10_000);

/// Kinds of work remembered as finding no room; others are looked for again.
const MOST_CLOSED: usize = 64;

/// A job whose tasks found no room in a round, and when there may be some.
pub(crate) struct Short {
    pub job: JobId,
    pub tasks: usize,
    pub wait_s: f64,
}

impl Core {
    pub(crate) fn run_scheduling_cycles(&mut self) {
        if !self.records_fresh() {
            return;
        }
        self.rebuild_histories();
        self.plan_stops();
        let guaranteed = self.guaranteed_jobs();
        let order = self.waiting_jobs(&guaranteed);
        for shard in self.owned_shards.keys().copied().collect::<Vec<_>>() {
            if self.owned_shards.get(&shard).is_some_and(|m| m.ready && !m.releasing) {
                self.run_scheduling_cycle(shard, &order, &guaranteed);
            }
        }
    }

    /// Tasks on machines that are about to be taken away are stopped in time
    /// to save, or at once if they can neither save nor finish.
    fn plan_stops(&mut self) {
        let now = self.now;
        let mut stops = vec![];
        for (shard, owned_shard) in &self.owned_shards {
            for (name, machine) in &owned_shard.machines {
                let faulty = machine.faulty;
                let Some(left) = machine.notice.map(|at| at.since(now).as_secs()).or(faulty.then_some(0.0)) else {
                    continue;
                };
                for key in owned_shard.placed_tasks.get(name).into_iter().flatten() {
                    let Some(job) = self.cache.jobs.get(&key.0) else { continue };
                    let spec = &job.record.spec;
                    let rest = self.remaining_s(owned_shard, job, key);
                    if !faulty && spec.kind != JobKind::Standing && rest + 0.5 < left {
                        continue;
                    }
                    let saves = spec.checkpoint_interval_s > 0.0;
                    if !saves || faulty || left < spec.checkpoint_save_s * 1.5 + 3.0 {
                        let grace = if saves { spec.checkpoint_save_s.max(1.0) } else { 0.0 };
                        stops.push((*shard, key.clone(), grace));
                    }
                }
            }
        }
        for (shard, key, grace) in stops {
            if let Some(owned_shard) = self.owned_shards.get_mut(&shard) {
                owned_shard.stopping.entry(key).or_insert(grace);
            }
        }
    }

    fn run_scheduling_cycle(&mut self, shard: ShardId, order: &[Place], guaranteed: &JobSet) {
        // All that waits of ours waits here, if this is all that we own.
        let only = self.owned_shards.len() == 1;
        let waiting = order.iter().filter_map(|place| self.cache.jobs.get_index(place.0));
        let mut order: Vec<(&JobId, &Job)> =
            waiting.filter(|(_, job)| job.pending_tasks() > 0 && (only || waits_in(job, shard))).collect();
        if order.is_empty() {
            if let Some(owned_shard) = self.owned_shards.get_mut(&shard) {
                owned_shard.quota_shortages.clear();
            }
            return;
        }
        let starving_job = self.starving_job(shard, &order).map(|at| {
            order[..=at].rotate_right(1);
            order[0].0
        });
        let mut began = None;
        let mut places: Vec<(TaskKey, Attempt, MachineId)> = vec![];
        let mut wanted: BTreeMap<String, QuotaShortage> = BTreeMap::new();
        let mut used = self.owned_shards.get(&shard).map(|m| m.usage.clone()).unwrap_or_default();
        let mut seats = self.seats(shard);
        let reserve = self.reserve(seats.iter().map(|s| s.type_.cpus).sum());
        // The reserve is kept where images come fastest, if the shard has such.
        let fastest = seats.iter().map(|s| s.type_.fetch_gb_per_s).fold(0.0, f64::max);
        let prime = |seat: &Seat| holds_reserve(seat.type_.fetch_gb_per_s, fastest);
        let mut spare: f64 = seats.iter().filter(|s| prime(s)).map(|s| s.openings.free.cpus.max(0.0)).sum();
        let mut short: Vec<Short> = vec![];
        let mut scored = 0;
        let most_scores = self.most_scores();
        let cores: f64 = seats.iter().map(|s| s.type_.cpus).sum();
        let mut promised = 0.0;
        let mut waiters = 0;
        let provisioning_s = self.quickest_boot_s();
        let mut shapes = Shapes::default();
        let mut closed = Closed::default();
        let most_on = self.max_started_tasks();
        for (id, job) in order {
            if places.len() >= self.tuning.max_placements_per_cycle || scored >= 3 * most_scores {
                break;
            }
            let need = Resources::of_task(&job.record.spec);
            let quick = self.objectives.start_before(&job.class, provisioning_s);
            // What is left there is for work that must start at once.
            let kept = |spare: f64| !quick && reserve > 0.0 && spare - need.cpus < reserve;
            let at_once = !closed.to(&need, quick) && {
                let kept = kept(spare);
                let open = seats.iter().any(|s| need.fits_into(&s.openings.free) && !(kept && prime(s)));
                closed.learn(&need, quick, open);
                open
            };
            // A job that cannot start now, behind so many others, gains nothing
            // from being told when it may: the next round knows better.
            let may_wait = (promised < cores * MOST_PROMISED || waiters < MOST_WAITERS) && scored < most_scores;
            if !at_once && !may_wait {
                continue;
            }
            let claim = self.claim(job, quick, may_wait, &mut shapes);
            let quota = self.quota(shard, &job.record.spec.team);
            let gang = job.record.spec.kind == JobKind::Gang;
            if gang && job.has_placed_tasks() {
                // What is left of an earlier try must be gone first.
                continue;
            }
            let task_amount = ComputeAmount { cpus: need.cpus, gpus: need.gpus };
            let over_limit = |used: ComputeAmount| !quota.has_room_for(used, task_amount);
            if over_limit(used.get(&job.record.spec.team).copied().unwrap_or_default()) {
                // No task of it may start, wherever there is room. Only a shard
                // with room for a task has use for more of its team's limit.
                if at_once {
                    let tasks = idle_in(job, shard).min(if gang { 1 } else { MOST_WAITS }) as f64;
                    wanted.entry(job.record.spec.team.clone()).or_default().add_tasks(task_amount, tasks);
                }
                continue;
            }
            let before = (places.len(), gang.then(|| (seats.clone(), used.clone(), promised)));
            let mut spread = self.spread(shard, id, job);
            let suspect = self.fails_everywhere(id);
            let failed = |seat: &Seat, within: Millis| {
                let at = seat.machine.failed_jobs.get(id);
                !suspect && at.is_some_and(|at| self.now.since(*at) < within)
            };
            let mut avoid = AVOID_FAILED;
            let candidates = |seats: &mut [Seat], spread: &Spread, avoid: Millis| {
                self.candidates(seats, &claim, spread, |seat| !failed(seat, avoid))
            };
            let mut heap = candidates(&mut seats, &spread, avoid);
            scored += seats.len();
            if may_wait && heap.is_empty() && seats.iter().any(|seat| failed(seat, avoid)) {
                // Nowhere else to go, ever: where it failed it may go again.
                avoid = REST_FAILED;
                heap = candidates(&mut seats, &spread, avoid);
                scored += seats.len();
            }
            let mut full = false;
            let mut waits = 0;
            let mut lacking = Short { job: id.clone(), tasks: 0, wait_s: f64::INFINITY };
            let team = used.entry(job.record.spec.team.clone()).or_default();
            for index in 0..job.slices().len() {
                if full || job.shard_of(index) != Some(shard) || job.slices()[index].pending_tasks() == 0 {
                    continue;
                }
                let Some(want) = job.slices()[index].desired() else { continue };
                let mut may_start = most_on.saturating_sub(job.slices()[index].tried());
                let first = job.record.plan.as_ref().map_or(0, |p| p.first_task(index));
                for (at, task) in want.tasks.iter().enumerate() {
                    let TaskRecord::Pending(attempt) = task else { continue };
                    if attempt.0 == 0 && may_start == 0 {
                        continue;
                    }
                    if full || (!gang && places.len() >= self.tuning.max_placements_per_cycle) {
                        break;
                    }
                    // Spare room only shrinks: what is closed to the job stays so.
                    let kept = kept(spare);
                    while kept && heap.peek().is_some_and(|best| prime(&seats[best.seat])) {
                        heap.pop();
                    }
                    let Some(best) = heap.peek().copied() else {
                        lacking.tasks += 1;
                        full = true;
                        continue;
                    };
                    let wait = best.wait_s;
                    if over_limit(*team) {
                        if wait <= 0.0 {
                            wanted.entry(job.record.spec.team.clone()).or_default().add_tasks(task_amount, 1.0);
                        }
                        waits += 1;
                        full = gang || waits >= MOST_WAITS;
                        continue;
                    }
                    heap.pop();
                    let seat = &mut seats[best.seat];
                    seat.book(&need, wait, wait + best.hold_s);
                    heap.extend(self.candidate(best.seat, seat, &claim));
                    scored += 1;
                    if wait > 0.0 {
                        waits += 1;
                        promised += need.cpus;
                        lacking.tasks += 1;
                        lacking.wait_s = lacking.wait_s.min(wait);
                        full = gang || waits >= MOST_WAITS;
                        continue;
                    }
                    team.cpus += need.cpus;
                    team.gpus += need.gpus;
                    if prime(seat) {
                        spare -= need.cpus;
                    }
                    if job.record.spec.whole() {
                        *spread.by_zone.entry(seat.machine.zone.clone()).or_default() += 1;
                        heap = candidates(&mut seats, &spread, avoid);
                        scored += seats.len();
                    }
                    // One task at a time shows whether it still fails.
                    full |= suspect && !gang;
                    if starving_job == Some(id) {
                        began = Some((need.cpus, best.hold_s));
                        full = true;
                    }
                    may_start = may_start.saturating_sub(usize::from(attempt.0 == 0));
                    let key = (id.clone(), first + at as u32);
                    places.push((key, Attempt(attempt.0 + 1), seats[best.seat].name.clone()));
                }
            }
            if lacking.tasks > 0 && may_wait {
                waiters += 1;
                if !suspect {
                    short.push(lacking);
                }
            }
            if let (true, (count, Some((seats_before, used_before, promised_before)))) = (full, before) {
                // Not all of the gang can start now: none does.
                places.truncate(count);
                seats = seats_before;
                used = used_before;
                promised = promised_before;
            }
        }
        self.log_shard(shard, &seats, places.len(), &short);
        drop(seats);
        if let Some((cpus, run_s)) = began {
            self.starving_job_started(shard, cpus, run_s, cores);
        }
        for (key, attempt, machine) in places {
            tracing::debug!("task {}/{} attempt {attempt} to {machine}", key.0, key.1);
            self.set_task(&key, TaskRecord::Placed(attempt, machine));
        }
        if let Some(owned_shard) = self.owned_shards.get_mut(&shard) {
            owned_shard.quota_shortages = wanted;
        }
        self.make_room(shard, &short, guaranteed);
    }

    fn log_shard(&self, shard: ShardId, seats: &[Seat], placed: usize, short: &[Short]) {
        if !tracing::enabled!(tracing::Level::DEBUG) {
            return;
        }
        let idle: f64 = seats.iter().map(|s| s.openings.free.cpus.max(0.0)).sum();
        let cores: f64 = seats.iter().map(|s| s.type_.cpus).sum();
        let cpus = |s: &Short| self.cache.jobs.get(&s.job).map_or(0.0, |j| j.record.spec.cpus * s.tasks as f64);
        let lacking: f64 = short.iter().map(cpus).sum();
        let unwritten = self.owned_shards.get(&shard).map_or(0, |m| m.dirty.len());
        tracing::debug!(
            "part {shard}: {idle:.0} of {cores:.0} cores idle, {placed} placed, {lacking:.0} cores lacking, {unwritten} slices unwritten"
        );
    }

    /// True if tasks of the class must start sooner than a machine rented for
    /// them would be up.
    pub(crate) fn wants_quick_start(&self, class: &InternedName) -> bool {
        self.objectives.start_before(class, self.quickest_boot_s())
    }

    fn quickest_boot_s(&self) -> f64 {
        self.catalog.types().map(|t| t.provisioning_s).fold(f64::INFINITY, f64::min)
    }

    /// Seats that a round of one shard scores before it looks only at jobs with
    /// room now: what this node's share of a core can do between two rounds.
    fn most_scores(&self) -> usize {
        let scores = self.settings.cluster.process_limits.cpu_share.map(|share| {
            let time_s = share * SCORE_SHARE * self.tuning.cycle_interval_ms as f64 / 1000.0;
            (time_s / SCORE_S / self.owned_shards.len().max(1) as f64) as usize
        });
        scores.unwrap_or(USUAL_SCORES).max(LEAST_SCORES)
    }

    /// Cores that a shard keeps free for work that must start at once: those
    /// of a usual job of each such class, of what has been seen.
    pub(crate) fn reserve(&self, cpus: f64) -> f64 {
        self.estimates.quick_start_cpus().min(cpus * MOST_RESERVED)
    }
}

/// True if tasks of the job wait in the shard.
fn waits_in(job: &Job, shard: ShardId) -> bool {
    job.slices()
        .iter()
        .enumerate()
        .any(|(index, slice)| slice.pending_tasks() > 0 && job.shard_of(index) == Some(shard))
}

/// Tasks of the job that wait in the shard.
fn idle_in(job: &Job, shard: ShardId) -> usize {
    let slices = job.slices().iter().enumerate().filter(|(index, _)| job.shard_of(*index) == Some(shard));
    slices.map(|(_, slice)| slice.pending_tasks() as usize).sum()
}

/// What is known to find no room in a round. Room only shrinks in it, but for
/// a gang that gives back what it took itself.
#[derive(Default)]
struct Closed(Vec<(Resources, bool)>);

impl Closed {
    /// True if nothing that takes as much, quick or not, can start any more.
    fn to(&self, need: &Resources, quick: bool) -> bool {
        self.0.iter().any(|(n, q)| n == need && *q == quick)
    }

    fn learn(&mut self, need: &Resources, quick: bool, open: bool) {
        if !open && self.0.len() < MOST_CLOSED {
            self.0.push((*need, quick));
        }
    }
}

/// True for machines that hold the reserve: those that fetch images fastest.
/// A core kept free where the image takes seconds to come starts nothing at once.
fn holds_reserve(fetch_gb_per_s: f64, fastest: f64) -> bool {
    fetch_gb_per_s >= fastest * PRIME
}

#[cfg(test)]
mod tests;
