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
use tillercleat::protocol::users::JobSpec;

/// Virtual time before costs are counted, while the fleet fills up.
const WARM_MS: u64 = 30_000;
/// Virtual time at which all of it ends.
const END_MS: u64 = 90_000;
/// Jobs a second for each thousand machines.
const JOBS_PER_S: f64 = 3.5;

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

/// Costs by kind of input, jobs accepted and tasks started.
fn measure(machines: usize, overload: bool) -> (BTreeMap<&'static str, Cost>, usize, usize) {
    let mut cluster = SimulatedCluster::with_config(1, ClusterConfig::fleet(if overload { 7 } else { 5 }, 3, machines));
    let pause = 1000.0 / (JOBS_PER_S * machines as f64 / 1000.0);
    let mut at = 4000.0;
    let mut number = 0;
    while at < END_MS as f64 {
        let random = cluster.random.below(1 << 30);
        cluster.submit(at as u64, job(number, random));
        number += 1;
        let burst = (50_000.0..60_000.0).contains(&at);
        at += match (overload, burst) {
            (true, _) => pause / 5.0,
            (_, true) => pause / 3.0,
            _ => pause,
        };
    }
    cluster.inject_fault(65_000, Fault::Crash { node: 2, restart_after: 5000 });
    cluster.run(WARM_MS);
    cluster.statistics.costs.clear();
    cluster.run(END_MS);
    assert!(cluster.violations.is_empty(), "{:?}", cluster.violations);
    (std::mem::take(&mut cluster.statistics.costs), cluster.jobs.len(), cluster.statistics.starts)
}

fn main() {
    let overload = std::env::args().any(|arg| arg == "overload");
    // Cargo passes flags of its own to benches.
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|arg| arg.parse().ok()).collect();
    let sizes = if sizes.is_empty() { vec![750, 1500, 3000] } else { sizes };
    println!("{:>8} {:>9} {:>8} {:>11} {:>11} {:>9}", "machines", "input", "count", "mean us", "most us", "sum s");
    for machines in sizes {
        let (costs, jobs, starts) = measure(machines, overload);
        for (kind, cost) in &costs {
            println!(
                "{machines:>8} {kind:>9} {:>8} {:>11.1} {:>11.0} {:>9.2}",
                cost.count,
                cost.nanos as f64 / 1e3 / cost.count as f64,
                cost.most as f64 / 1e3,
                cost.nanos as f64 / 1e9
            );
        }
        let sum: u64 = costs.values().map(|c| c.nanos).sum();
        println!("{machines:>8} {:>9} {jobs:>8} jobs, {starts} starts, {:.2} s in all", "all", sum as f64 / 1e9);
    }
}
