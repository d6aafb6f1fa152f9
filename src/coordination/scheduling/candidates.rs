//! Which machines a job's next task may go to, the one of least expected completion first.
//!
//! Called by the scheduling cycle for each job and after each reservation. Ranking changes
//! nothing but the waits that machines remember.

use crate::coordination::scheduling::candidate_machine::CandidateMachine;
use crate::coordination::scheduling::placement_request::PlacementRequest;
use crate::coordination::scheduling::scoring::{expected_completion, Prospect};
use crate::coordination::scheduling::zone_occupancy::ZoneOccupancy;
use crate::protocol::users::JobKind;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Expected completions that differ by less than this share of the run time count as equal,
/// plus [`EQUAL_WITHIN_S`].
const EQUAL_RUN_SHARE: f64 = 0.08;

/// Seconds by which expected completions may differ and count as equal.
const EQUAL_WITHIN_S: f64 = 0.5;

/// The same for jobs that must start at once, whatever their run time.
const EQUAL_WITHIN_QUICK_START_S: f64 = 0.3;

/// Prices per core are compared in steps of one over this.
const PRICE_STEPS: f64 = 1000.0;

/// Seconds that a service is planned to hold its capacity: longer than any plan.
const SERVICE_HOLD_S: f64 = 1e9;

/// How well a machine suits a task; less is better, the fields compared in their order.
#[derive(Debug, Clone, Copy)]
struct CandidateRank {
    /// Expected completion in units of what counts as equal, rounded.
    completion: f64,
    /// Price per core in steps of `1 / PRICE_STEPS`, rounded: among equals the cheapest machine is best.
    price: f64,
    /// Free cores: then the fullest machine is, so that others can be given back.
    free_cpus: f64,
}

impl CandidateRank {
    /// Services take the first machine that has room.
    const FIRST_FIT: CandidateRank = CandidateRank { completion: 0.0, price: 0.0, free_cpus: 0.0 };

    fn compare(&self, other: &CandidateRank) -> Ordering {
        self.completion
            .total_cmp(&other.completion)
            .then(self.price.total_cmp(&other.price))
            .then(self.free_cpus.total_cmp(&other.free_cpus))
    }
}

/// A machine that a job's task may go to. The greatest is the best, so that it is on
/// top of a `BinaryHeap`.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RankedCandidate {
    rank: CandidateRank,
    /// The machine's index among those of the cycle.
    pub machine_index: usize,
    /// Seconds until there is capacity; 0 if there is now.
    pub wait_s: f64,
    /// Seconds for which the task will hold its capacity, the fetch of its image included.
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

/// All machines that the request's tasks may go to, the best on top. Each is scored once. A
/// machine on which capacity was reserved is ranked again by [`rank_candidate`] and put
/// back, so that many tasks of a job cost little more than one.
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

/// Ranks a machine for the request's next task; none if it never has the capacity, or not
/// now and the request may not wait. The job's constraints are not looked at.
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
        completion: (completion_s / equal_within_s(request)).round(),
        price: (machine.price_per_cpu * PRICE_STEPS).round(),
        free_cpus: machine.capacity.free.cpus,
    };
    Some(RankedCandidate { rank, machine_index: index, wait_s, hold_s: request.run_s + fetch_s })
}

/// Expected seconds until a task is complete on the machine if it may start in `wait_s`.
fn completion_s(machine: &CandidateMachine, request: &PlacementRequest, wait_s: f64) -> f64 {
    let prospect = Prospect {
        age_s: machine.age_s,
        wait_s,
        run_s: request.run_s,
        checkpoint_interval_s: request.job.record.spec.checkpoint_interval_s,
    };
    match machine.history {
        Some(history) => expected_completion(history, prospect),
        None => prospect.wait_s + prospect.run_s,
    }
}

/// Seconds by which expected completions of the request may differ and count as equal.
fn equal_within_s(request: &PlacementRequest) -> f64 {
    if request.quick_start {
        EQUAL_WITHIN_QUICK_START_S
    } else {
        EQUAL_WITHIN_S + request.run_s * EQUAL_RUN_SHARE
    }
}
