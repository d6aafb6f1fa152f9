//! Ranks the machines for a job's next task by expected completion, soonest first.
//!
//! The scheduling cycle calls this module for each job and after each reservation. Ranking changes
//! nothing but the waits that machines cache.

use crate::coordination::scheduling::candidate_machine::CandidateMachine;
use crate::coordination::scheduling::placement_request::PlacementRequest;
use crate::coordination::scheduling::scoring::{expected_completion, PlacementTiming};
use crate::coordination::scheduling::zone_occupancy::ZoneOccupancy;
use crate::protocol::users::JobKind;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Expected completions count as equal if they differ by less than this share of the run time plus
/// [`COMPLETION_TOLERANCE_S`].
const COMPLETION_TOLERANCE_RUN_SHARE: f64 = 0.08;

/// Fixed part of the difference within which expected completions count as equal, in seconds.
const COMPLETION_TOLERANCE_S: f64 = 0.5;

/// Difference within which expected completions count as equal for jobs of a quick-start class, in
/// seconds; independent of the run time.
const QUICK_START_TOLERANCE_S: f64 = 0.3;

/// Number of steps per unit of price in which prices per core are compared.
const PRICE_STEPS_PER_UNIT: f64 = 1000.0;

/// Time for which a service is planned to hold its capacity, in seconds: longer than any plan.
const SERVICE_HOLD_S: f64 = 1e9;

/// How well a machine suits a task. Smaller is better; fields are compared in declaration order.
#[derive(Debug, Clone, Copy)]
struct CandidateRank {
    /// Expected completion in units of the completion tolerance, rounded.
    completion: f64,
    /// Price per core in steps of `1 / PRICE_STEPS_PER_UNIT`, rounded. Among equal completions, the
    /// cheapest machine ranks best.
    price: f64,
    /// Free cores. Among equal prices, the fullest machine ranks best, so that emptier ones can be
    /// returned.
    free_cpus: f64,
}

impl CandidateRank {
    /// Rank of every machine for a service: the first machine with capacity is taken.
    const FIRST_FIT: CandidateRank = CandidateRank { completion: 0.0, price: 0.0, free_cpus: 0.0 };

    fn compare(&self, other: &CandidateRank) -> Ordering {
        self.completion
            .total_cmp(&other.completion)
            .then(self.price.total_cmp(&other.price))
            .then(self.free_cpus.total_cmp(&other.free_cpus))
    }
}

/// A machine on which a job's task may be placed. The best candidate compares greatest, so that it
/// is on top of a `BinaryHeap`.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RankedCandidate {
    rank: CandidateRank,
    /// Index into the cycle's list of machines.
    pub machine_index: usize,
    /// Seconds until there is capacity; 0 if there is capacity now.
    pub wait_s: f64,
    /// Seconds for which the task will hold its capacity, including the time to fetch its image.
    pub hold_s: f64,
}

impl Ord for RankedCandidate {
    fn cmp(&self, other: &Self) -> Ordering {
        other.rank.compare(&self.rank).then(other.machine_index.cmp(&self.machine_index))
    }
}

impl PartialOrd for RankedCandidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for RankedCandidate {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for RankedCandidate {}

/// Returns all machines on which the request's tasks may be placed, best on top.
///
/// Each machine is scored once. After a reservation, only the affected machine is ranked again with
/// [`rank_candidate`] and pushed back, so that many tasks of a job cost little more than one.
pub(crate) fn ranked_candidates(
    machines: &mut [CandidateMachine],
    request: &PlacementRequest,
    occupancy: &ZoneOccupancy,
    allowed: impl Fn(&CandidateMachine) -> bool,
) -> BinaryHeap<RankedCandidate> {
    if occupancy.incomplete {
        return BinaryHeap::new();
    }
    let spec = &request.job.record.spec;
    machines
        .iter_mut()
        .enumerate()
        .filter(|(_, machine)| allowed(machine) && machine.satisfies(spec, occupancy))
        .filter_map(|(index, machine)| rank_candidate(index, machine, request))
        .collect()
}

/// Ranks a machine for the request's next task. Returns `None` if the machine never has the
/// capacity, or has none now and the request may not wait. Does not check the job's constraints.
pub(crate) fn rank_candidate(
    index: usize,
    machine: &mut CandidateMachine,
    request: &PlacementRequest,
) -> Option<RankedCandidate> {
    if !request.may_wait && !request.need.fits_into(&machine.capacity.free) {
        return None;
    }
    let wait_s = machine.wait_s(request)?;
    if wait_s > 0.0 && !request.may_wait {
        return None;
    }
    if request.job.record.spec.kind == JobKind::Service {
        let rank = CandidateRank::FIRST_FIT;
        return Some(RankedCandidate { rank, machine_index: index, wait_s, hold_s: SERVICE_HOLD_S });
    }
    let fetch_s = machine.image_fetch_s(request.job);
    let completion_s = completion_s(machine, request, wait_s + fetch_s);
    if !completion_s.is_finite() {
        return None;
    }
    let rank = CandidateRank {
        completion: (completion_s / completion_tolerance_s(request)).round(),
        price: (machine.price_per_cpu * PRICE_STEPS_PER_UNIT).round(),
        free_cpus: machine.capacity.free.cpus,
    };
    Some(RankedCandidate { rank, machine_index: index, wait_s, hold_s: request.run_s + fetch_s })
}

/// Returns the expected seconds until a task is complete on the machine if it may start in
/// `wait_s`.
fn completion_s(machine: &CandidateMachine, request: &PlacementRequest, wait_s: f64) -> f64 {
    let timing = PlacementTiming {
        age_s: machine.age_s,
        wait_s,
        run_s: request.run_s,
        checkpoint_interval_s: request.job.record.spec.checkpoint_interval_s,
    };
    match machine.history {
        Some(history) => expected_completion(history, timing),
        None => timing.wait_s + timing.run_s,
    }
}

/// Returns the difference in seconds within which the request's expected completions count as
/// equal.
fn completion_tolerance_s(request: &PlacementRequest) -> f64 {
    if request.quick_start {
        QUICK_START_TOLERANCE_S
    } else {
        COMPLETION_TOLERANCE_S + request.run_s * COMPLETION_TOLERANCE_RUN_SHARE
    }
}
