//! Machines as one placement round sees them, and which of them is the best
//! for a task: the one of least expected completion.

use crate::coordination::scheduling::capacity_timeline::Openings;
use crate::coordination::scheduling::lifetimes::LifetimeHistory;
use crate::coordination::scheduling::resources::Resources;
use crate::coordination::scheduling::scoring::{expected_completion, Prospect};
use crate::coordination::shards::owned_shard::Machine;
use crate::coordination::Core;
use crate::protocol::cloud::MachineType;
use crate::protocol::users::JobKind;
use crate::protocol::workers::TaskState;
use crate::storage::cache::Job;
use crate::units::{JobId, MachineId, Millis, ShardId};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};

/// Expected completions that differ by less than this share of the run time
/// count as equal.
const NEAR: f64 = 0.08;

/// A service never ends: what it takes is not freed within any plan.
const FOR_EVER_S: f64 = 1e9;

/// A machine as one round sees it.
#[derive(Clone)]
pub(crate) struct Seat<'a> {
    pub name: &'a MachineId,
    pub machine: &'a Machine,
    pub type_: &'a MachineType,
    history: Option<&'a LifetimeHistory>,
    age_s: f64,
    /// Price per core.
    price: f64,
    pub openings: Openings,
    /// Waits worked out for what jobs take, by the round's number of it; all
    /// are forgotten when room is booked.
    waits: Vec<Option<Wait>>,
}

/// Time until there is room; none if there never is.
type Wait = Option<f64>;

impl Seat<'_> {
    pub fn book(&mut self, need: &Resources, wait_s: f64, until_s: f64) {
        self.openings.book(need, wait_s, until_s);
        self.waits.clear();
    }

    /// Time until there is room for what the claim takes.
    fn wait(&mut self, claim: &Claim) -> Wait {
        let Some(shape) = claim.shape else { return self.openings.wait(&claim.need) };
        if self.waits.len() <= shape {
            self.waits.resize(shape + 1, None);
        }
        *self.waits[shape].get_or_insert_with(|| self.openings.wait(&claim.need))
    }
}

/// What jobs of one round take, numbered: most classes take the same for all
/// their jobs, and what a seat has for one it has for the next.
#[derive(Default)]
pub(crate) struct Shapes(Vec<Resources>);

/// Shapes that are told apart; jobs beyond them are worked out one by one.
const MOST_SHAPES: usize = 64;

impl Shapes {
    fn number(&mut self, need: &Resources) -> Option<usize> {
        let known = self.0.iter().position(|n| n == need);
        if known.is_none() && self.0.len() < MOST_SHAPES {
            self.0.push(*need);
            return Some(self.0.len() - 1);
        }
        known
    }
}

/// Where a job's tasks are, for those that must stay together or apart.
#[derive(Default)]
pub(crate) struct Spread {
    pub by_zone: BTreeMap<String, usize>,
    unknown: bool,
}

/// A seat for tasks of one job; the least is the best.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    /// Rounded score, price, free cores, and the place among seats.
    rank: (f64, f64, f64),
    pub seat: usize,
    /// Time until there is room, in seconds.
    pub wait_s: f64,
    /// Time the task will hold its room, in seconds.
    pub hold_s: f64,
}

impl Ord for Candidate {
    fn cmp(&self, other: &Self) -> Ordering {
        let (a, b) = (&self.rank, &other.rank);
        // Turned round: the heap's greatest is the seat of least rank.
        b.0.total_cmp(&a.0).then(b.1.total_cmp(&a.1)).then(b.2.total_cmp(&a.2)).then(other.seat.cmp(&self.seat))
    }
}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Candidate {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Candidate {}

/// What all tasks of a job have in common for one round.
pub(crate) struct Claim<'a> {
    pub job: &'a Job,
    pub need: Resources,
    /// The round's number of what it takes.
    shape: Option<usize>,
    run_s: f64,
    /// Must start sooner than a machine rented for it would be up.
    quick: bool,
    /// May wait for an opening.
    waits: bool,
}

impl Claim<'_> {
    /// Time to fetch the job's image, if the machine lacks it.
    fn fetch_s(&self, seat: &Seat) -> f64 {
        let spec = &self.job.record.spec;
        let there = seat.machine.images.iter().any(|image| image.name == self.job.image);
        if there || seat.type_.fetch_gb_per_s <= 0.0 {
            0.0
        } else {
            spec.image_gb / seat.type_.fetch_gb_per_s
        }
    }
}

impl Core {
    pub(crate) fn claim<'a>(&self, job: &'a Job, quick: bool, waits: bool, shapes: &mut Shapes) -> Claim<'a> {
        let need = Resources::of_task(&job.record.spec);
        Claim {
            job,
            need,
            shape: shapes.number(&need),
            run_s: self.estimates.run_time(job),
            quick,
            waits: waits && self.tuning.wait_for_busy_machines && job.record.spec.kind != JobKind::Standing,
        }
    }

    /// A machine that has not reported for so long gets no new tasks.
    pub(crate) fn quiet(&self) -> Millis {
        Millis(self.timing.worker_lease.0 / 3)
    }

    pub(crate) fn seats<'a>(&'a self, shard: ShardId) -> Vec<Seat<'a>> {
        let Some(owned_shard) = self.owned_shards.get(&shard) else { return vec![] };
        let quiet = self.quiet();
        let mut seats = Vec::with_capacity(owned_shard.machines.len());
        for (name, machine) in &owned_shard.machines {
            let Some(type_) = self.catalog.get(&machine.kind) else { continue };
            let usable = !machine.faulty
                && !self.is_downlink_lost(machine)
                && machine.notice.is_none()
                && self.now >= machine.cordoned_until
                && self.now.since(machine.last_heartbeat) < quiet
                && !self.draining(name);
            if !usable {
                continue;
            }
            let mut openings = Openings::new(Resources::of_machine(type_));
            let known = owned_shard.placed_tasks.get(name);
            // Tasks of one job follow one another: it is looked up once.
            let mut last: Option<(&JobId, Option<(&Job, f64)>)> = None;
            for key in known.into_iter().flatten() {
                let found = match last {
                    Some((id, found)) if *id == key.0 => found,
                    _ => {
                        let found = self.cache.jobs.get(&key.0).map(|job| (job, self.estimates.run_time(job)));
                        last = Some((&key.0, found));
                        found
                    }
                };
                let Some((job, run_s)) = found else { continue };
                let ends = job.record.spec.kind != JobKind::Standing;
                openings.hold(
                    &Resources::of_task(&job.record.spec),
                    ends.then(|| self.remaining_s_of_run(owned_shard, run_s, key)),
                );
            }
            // Tasks on the machine that nobody wants there still take room. Both
            // lists are in order: walked side by side, nothing is searched for.
            let mut wanted = known.into_iter().flatten().peekable();
            for (key, listed) in &machine.reported_tasks {
                while wanted.next_if(|k| *k < key).is_some() {}
                if listed.state != TaskState::Exited && wanted.peek() != Some(&key) {
                    if let Some(job) = self.cache.jobs.get(&key.0) {
                        openings.hold(&Resources::of_task(&job.record.spec), None);
                    }
                }
            }
            openings.settle();
            let age_s = self.now.since(machine.born).as_secs();
            let price = if machine.spot { type_.spot_price.unwrap_or(type_.price) } else { type_.price };
            let price = price / type_.cpus.max(1e-6);
            let history = self.estimates.history(machine).filter(|_| self.tuning.use_lifetimes);
            seats.push(Seat { name, machine, type_, history, age_s, price, openings, waits: vec![] });
        }
        seats
    }

    pub(crate) fn spread(&self, shard: ShardId, id: &JobId, job: &Job) -> Spread {
        let mut spread = Spread::default();
        if !job.record.spec.one_zone && !job.record.spec.apart {
            return spread;
        }
        let Some(owned_shard) = self.owned_shards.get(&shard) else { return spread };
        for (machine, tasks) in &owned_shard.placed_tasks {
            let here = tasks.iter().filter(|t| t.0 == *id).count();
            match owned_shard.machines.get(machine) {
                _ if here == 0 => {}
                Some(m) => *spread.by_zone.entry(m.zone.clone()).or_default() += here,
                // Where some of its tasks are is not known yet: wait.
                None => spread.unknown = true,
            }
        }
        spread
    }

    /// All seats that a job's tasks may take, the best on top. Each is scored
    /// once; a seat that was booked is scored again and put back, so that many
    /// tasks of a job cost little more than one.
    pub(crate) fn candidates(
        &self,
        seats: &mut [Seat],
        claim: &Claim,
        spread: &Spread,
        open: impl Fn(&Seat) -> bool,
    ) -> BinaryHeap<Candidate> {
        if spread.unknown {
            return BinaryHeap::new();
        }
        let fit = |seat: &Seat| open(seat) && self.allowed(claim.job, seat, spread);
        let seats = seats.iter_mut().enumerate().filter(|(_, seat)| fit(seat));
        seats.filter_map(|(index, seat)| self.candidate(index, seat, claim)).collect()
    }

    /// How good a seat is for the job's next task; none if it never has room.
    pub(crate) fn candidate(&self, index: usize, seat: &mut Seat, claim: &Claim) -> Option<Candidate> {
        let spec = &claim.job.record.spec;
        if !claim.waits && !claim.need.fits_into(&seat.openings.free) {
            return None;
        }
        let wait_s = seat.wait(claim)?;
        if wait_s > 0.0 && !claim.waits {
            return None;
        }
        let service = spec.kind == JobKind::Standing;
        if service {
            // Services take the first fit.
            return Some(Candidate { rank: (0.0, 0.0, 0.0), seat: index, wait_s, hold_s: FOR_EVER_S });
        }
        let fetch_s = claim.fetch_s(seat);
        let run_s = claim.run_s;
        let prospect = Prospect {
            age_s: seat.age_s,
            wait_s: wait_s + fetch_s,
            run_s,
            checkpoint_interval_s: spec.checkpoint_interval_s,
        };
        let score = match seat.history {
            Some(history) => expected_completion(history, prospect),
            None => prospect.wait_s + run_s,
        };
        if !score.is_finite() {
            return None;
        }
        // Among near equals the cheapest, then the fullest, so that others
        // can be given back.
        let near = if claim.quick { 0.3 } else { 0.5 + run_s * NEAR };
        let rank = ((score / near).round(), (seat.price * 1000.0).round(), seat.openings.free.cpus);
        Some(Candidate { rank, seat: index, wait_s, hold_s: run_s + fetch_s })
    }

    pub(crate) fn allowed(&self, job: &Job, seat: &Seat, spread: &Spread) -> bool {
        let spec = &job.record.spec;
        let zone = &seat.machine.zone;
        let half = spec.task_count.div_ceil(2) as usize;
        spec.types.as_ref().is_none_or(|types| types.contains(&seat.machine.kind))
            && spec.zone.as_ref().is_none_or(|z| z == zone)
            && (spec.spot_allowed || !seat.machine.spot)
            && (!spec.one_zone || spread.by_zone.keys().all(|z| z == zone))
            && (!spec.apart || spread.by_zone.get(zone).copied().unwrap_or(0) < half)
    }
}
