//! Measures the processor time per input of the controllers' cores at several fleet sizes.
//!
//!     cargo bench --bench cost [-- [overload] MACHINES...]
//!
//! Runs five controllers in virtual time in the simulated cluster of the tests, with enough jobs for all
//! machines, a burst of submissions, and a controller crash. With `overload` it runs seven controllers
//! with five times the jobs from the start, most of which stay queued. The costs are real times of this
//! machine, so the bench prints them without checking them. Compare how they grow: the cost of a
//! heartbeat and of a change must not grow with the number of machines.

#[path = "../tests/simulator/mod.rs"]
#[allow(dead_code)]
mod simulator;

use simulator::statistics::Cost;
use simulator::{ClusterConfig, Fault, SimulatedCluster};
use std::collections::BTreeMap;
use std::ops::Range;
use tillercleat::protocol::users::JobSpec;

/// Virtual time of the first submission.
const FIRST_SUBMISSION_MS: f64 = 4_000.0;

/// Virtual time at which the measurement starts; before that the fleet fills up.
const WARM_UP_MS: u64 = 30_000;

/// Virtual time at which the run ends.
const END_MS: u64 = 90_000;

/// Virtual time of the burst of submissions.
const BURST_RANGE_MS: Range<f64> = 50_000.0..60_000.0;

/// Multipliers of the submission rate during the burst, and during all of an overload run.
const BURST_FACTOR: f64 = 3.0;
const OVERLOAD_FACTOR: f64 = 5.0;

/// Virtual time at which a controller crashes, and the time until it restarts.
const CRASH_AT_MS: u64 = 65_000;
const CRASH_DURATION_MS: u64 = 5_000;

/// Submission rate in jobs per second for each thousand machines.
const JOBS_PER_S_PER_1000_MACHINES: f64 = 3.5;

/// Fleet fleet_sizes, in machines, if the command line gives none.
const DEFAULT_FLEET_SIZES: [usize; 3] = [750, 1500, 3000];

/// Returns a job of one of four size classes, selected by `random`.
fn job(number: u64, random: u64) -> JobSpec {
    let (tasks, cpus, run_s, priority) = match random % 8 {
        0..=2 => (90 + random / 8 % 200, 1.0, 12.0 + (random / 16 % 20) as f64, "normal"),
        3..=5 => (8 + random / 8 % 24, 1.0, 30.0 + (random / 16 % 30) as f64, "high"),
        6 => (40 + random / 8 % 80, 2.0, 45.0 + (random / 16 % 60) as f64, "normal"),
        _ => (20 + random / 8 % 40, 4.0, 60.0 + (random / 16 % 60) as f64, "idle"),
    };
    let spec = serde_json::json!({
        "ref": format!("wk-{number:06}"), "haul": format!("class-{}", random % 8),
        "crew": if number % 2 == 0 { "red" } else { "blue" }, "rig": "array", "rank": priority, "loads": tasks,
        "cores": cpus, "gpus": 0.0, "mem_gb": cpus * 3.0, "kit": format!("img-{}", random % 16), "image_gb": 0.7,
        "hulls": null, "berth": null, "one_zone": false, "apart": false, "driftwood": true,
        "reckon_s": run_s, "mark_s": 0.0, "stow_s": 0.0, "tide_s": run_s * 3.0 + 10.0
    });
    simulator::fixtures::job_spec(spec)
}

/// Costs by kind of input, and totals of one run.
struct Measurement {
    costs: BTreeMap<&'static str, Cost>,
    jobs: usize,
    starts: usize,
}

/// Runs one simulation and returns its costs after the warm-up.
fn measure(machines: usize, overload: bool) -> Measurement {
    let controllers = if overload { 7 } else { 5 };
    let mut cluster = SimulatedCluster::with_config(1, ClusterConfig::fleet(controllers, 3, machines));
    submit_jobs(&mut cluster, machines, overload);
    cluster.inject_fault(CRASH_AT_MS, Fault::Crash { node: 2, restart_after: CRASH_DURATION_MS });
    cluster.run(WARM_UP_MS);
    cluster.statistics.costs.clear();
    cluster.run(END_MS);
    assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
    let costs = std::mem::take(&mut cluster.statistics.costs);
    Measurement { costs, jobs: cluster.jobs.len(), starts: cluster.statistics.starts }
}

/// Schedules job submissions until the end of the run, at a higher rate in the burst or in overload.
fn submit_jobs(cluster: &mut SimulatedCluster, machines: usize, overload: bool) {
    let interval_ms = 1000.0 / (JOBS_PER_S_PER_1000_MACHINES * machines as f64 / 1000.0);
    let mut at_ms = FIRST_SUBMISSION_MS;
    let mut number = 0;
    while at_ms < END_MS as f64 {
        let random = cluster.random.below(1 << 30);
        cluster.submit(at_ms as u64, job(number, random));
        number += 1;
        at_ms += match (overload, BURST_RANGE_MS.contains(&at_ms)) {
            (true, _) => interval_ms / OVERLOAD_FACTOR,
            (false, true) => interval_ms / BURST_FACTOR,
            (false, false) => interval_ms,
        };
    }
}

fn print_measurement(machines: usize, measurement: &Measurement) {
    for (kind, cost) in &measurement.costs {
        println!(
            "{machines:>8} {kind:>9} {:>8} {:>11.1} {:>11.0} {:>9.2}",
            cost.count,
            cost.nanos as f64 / 1e3 / cost.count as f64,
            cost.max_nanos as f64 / 1e3,
            cost.nanos as f64 / 1e9
        );
    }
    let Measurement { costs, jobs, starts } = measurement;
    let sum: u64 = costs.values().map(|cost| cost.nanos).sum();
    println!("{machines:>8} {:>9} {jobs:>8} jobs, {starts} starts, {:.2} s in all", "all", sum as f64 / 1e9);
}

fn main() {
    let overload = std::env::args().any(|arg| arg == "overload");
    // Skips the flags that Cargo passes to benches.
    let fleet_sizes: Vec<usize> = std::env::args().skip(1).filter_map(|arg| arg.parse().ok()).collect();
    let fleet_sizes = if fleet_sizes.is_empty() { DEFAULT_FLEET_SIZES.to_vec() } else { fleet_sizes };
    println!("{:>8} {:>9} {:>8} {:>11} {:>11} {:>9}", "machines", "input", "count", "mean us", "most us", "sum s");
    for machines in fleet_sizes {
        print_measurement(machines, &measure(machines, overload));
    }
}
