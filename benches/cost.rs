//! What each input costs the controllers' cores at fleets of several sizes.
//!
//!     cargo bench --bench cost [-- [overload] MACHINES...]
//!
//! Drives five controllers in virtual time in the simulated cluster of the tests: work for all
//! machines, a burst, and a crash; with `overload` seven of them with five times the work from the
//! start on, most of which waits. The times are real ones of this machine, so they are printed and
//! nothing checks them. What matters is how they grow: the cost of a heartbeat and of a change must
//! not follow the number of machines.

#[path = "../tests/simulator/mod.rs"]
#[allow(dead_code)]
mod simulator;

use simulator::statistics::Cost;
use simulator::{ClusterConfig, Fault, SimulatedCluster};
use std::collections::BTreeMap;
use std::ops::Range;
use tillercleat::protocol::users::JobSpec;

/// Virtual time of the first submission.
const FIRST_JOB_MS: f64 = 4_000.0;

/// Virtual time before costs are counted, while the fleet fills up.
const WARM_UP_MS: u64 = 30_000;

/// Virtual time at which the run ends.
const END_MS: u64 = 90_000;

/// Virtual time of the burst of submissions.
const BURST_MS: Range<f64> = 50_000.0..60_000.0;

/// How many times as many jobs come in the burst, and all the time in overload.
const BURST_FACTOR: f64 = 3.0;
const OVERLOAD_FACTOR: f64 = 5.0;

/// Virtual time at which a controller crashes, and how long it is gone.
const CRASH_MS: u64 = 65_000;
const CRASH_DURATION_MS: u64 = 5_000;

/// Jobs a second for each thousand machines.
const JOBS_PER_S: f64 = 3.5;

/// Numbers of machines if the command line names none.
const DEFAULT_SIZES: [usize; 3] = [750, 1500, 3000];

/// A job of one of four sizes, as `random` has it.
fn job(number: u64, random: u64) -> JobSpec {
    let (tasks, cpus, run_s, rank) = match random % 8 {
        0..=2 => (90 + random / 8 % 200, 1.0, 12.0 + (random / 16 % 20) as f64, "normal"),
        3..=5 => (8 + random / 8 % 24, 1.0, 30.0 + (random / 16 % 30) as f64, "high"),
        6 => (40 + random / 8 % 80, 2.0, 45.0 + (random / 16 % 60) as f64, "normal"),
        _ => (20 + random / 8 % 40, 4.0, 60.0 + (random / 16 % 60) as f64, "idle"),
    };
    let text = serde_json::json!({
        "ref": format!("wk-{number:06}"), "haul": format!("class-{}", random % 8),
        "crew": if number % 2 == 0 { "red" } else { "blue" }, "rig": "array", "rank": rank, "loads": tasks,
        "cores": cpus, "gpus": 0.0, "mem_gb": cpus * 3.0, "kit": format!("img-{}", random % 16), "image_gb": 0.7,
        "hulls": null, "berth": null, "one_zone": false, "apart": false, "driftwood": true,
        "reckon_s": run_s, "mark_s": 0.0, "stow_s": 0.0, "tide_s": run_s * 3.0 + 10.0
    });
    simulator::fixtures::job_spec(text)
}

/// What one run measured.
struct Measurement {
    costs: BTreeMap<&'static str, Cost>,
    jobs: usize,
    starts: usize,
}

/// Plays one run.
fn measure(machines: usize, overload: bool) -> Measurement {
    let controllers = if overload { 7 } else { 5 };
    let mut cluster = SimulatedCluster::with_config(1, ClusterConfig::fleet(controllers, 3, machines));
    submit_jobs(&mut cluster, machines, overload);
    cluster.inject_fault(CRASH_MS, Fault::Crash { node: 2, restart_after: CRASH_DURATION_MS });
    cluster.run(WARM_UP_MS);
    cluster.statistics.costs.clear();
    cluster.run(END_MS);
    assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
    let costs = std::mem::take(&mut cluster.statistics.costs);
    Measurement { costs, jobs: cluster.jobs.len(), starts: cluster.statistics.starts }
}

/// Submits jobs until the end, more of them in the burst or in overload.
fn submit_jobs(cluster: &mut SimulatedCluster, machines: usize, overload: bool) {
    let pause = 1000.0 / (JOBS_PER_S * machines as f64 / 1000.0);
    let mut at = FIRST_JOB_MS;
    let mut number = 0;
    while at < END_MS as f64 {
        let random = cluster.random.below(1 << 30);
        cluster.submit(at as u64, job(number, random));
        number += 1;
        at += match (overload, BURST_MS.contains(&at)) {
            (true, _) => pause / OVERLOAD_FACTOR,
            (false, true) => pause / BURST_FACTOR,
            (false, false) => pause,
        };
    }
}

fn print(machines: usize, measurement: &Measurement) {
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
    // Cargo passes flags of its own to benches.
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|arg| arg.parse().ok()).collect();
    let sizes = if sizes.is_empty() { DEFAULT_SIZES.to_vec() } else { sizes };
    println!("{:>8} {:>9} {:>8} {:>11} {:>11} {:>9}", "machines", "input", "count", "mean us", "most us", "sum s");
    for machines in sizes {
        print(machines, &measure(machines, overload));
    }
}
