//! Measures how many replicas a faulty version reaches and how soon they are withdrawn, compared with two
//! baselines: all replicas in one step, and steps without health checks. Also measures the cost of
//! successful roll-outs. Everything except the driver's processor time is simulated, in the environment
//! of the driver tests with generated faults.
//!
//! `cargo bench -p tillercleat-rollout --bench exposure`

#[path = "../tests/world/mod.rs"]
mod world;

use std::time::Instant;
use tillercleat_rollout::file::{OnFailure, RollOut};
use tillercleat_rollout::record::RolloutProgress;
use world::{three_step_rollout, ReplicaBehavior, SimulatedCluster};

const SERVICE_NAME: &str = "routeplan";
const HOUR_MS: u64 = 3_600_000;
const SEED_COUNT: u64 = 40;

/// Method of rolling out a new version.
#[derive(Clone, Copy, PartialEq)]
enum RolloutMethod {
    GatedSteps,
    SingleGatedStep,
    UngatedSteps,
}

/// Returns the roll-out file of the same service for one of the methods.
fn rollout_file(method: RolloutMethod, version: &str) -> RollOut {
    let mut file = three_step_rollout(version, "");
    match method {
        RolloutMethod::GatedSteps => {}
        RolloutMethod::SingleGatedStep => {
            file.steps = file.steps.split_off(2);
            file.max_surplus = file.replicas;
        }
        RolloutMethod::UngatedSteps => {
            // Every running replica passes the check, and a failure does not revert the roll-out.
            file.check = toml::from_str("kind = \"up\"\ninterval_s = 0.5\nsuccesses = 1\nfailures_allowed = 1000")
                .expect("the check settings are valid");
            file.on_failure = OnFailure::Halt;
        }
    }
    file
}

struct Exposure {
    /// Largest number of replicas of the faulty version that ran at once.
    max_exposed: u32,
    /// Time from the first fault until the faulty version is withdrawn; `None` if it never is.
    cleared_ms: Option<u64>,
}

/// Rolls out a version whose replicas become faulty some time after each start.
fn run_faulty_rollout(method: RolloutMethod, seed: u64) -> Exposure {
    let mut world = SimulatedCluster::new(seed, 2);
    world.start(&three_step_rollout("v1", ""));
    assert!(world.run(HOUR_MS, |w| w
        .service(SERVICE_NAME)
        .and_then(|s| s.rollout)
        .is_some_and(|r| r.progress == RolloutProgress::Completed)));
    let fault_delay_ms = world.random(20_000);
    let fault = match seed % 3 {
        0 => ReplicaBehavior::FailsAfter(fault_delay_ms),
        1 => ReplicaBehavior::HangsAfter(fault_delay_ms),
        _ => ReplicaBehavior::ExitsAfter(fault_delay_ms.max(1000)),
    };
    world.behaviors.insert("v2".into(), fault);
    world.start(&rollout_file(method, "v2"));
    let (mut max_exposed, mut fault_at, mut cleared_at) = (0, None, None);
    world.run(300_000, |w| {
        let exposed = w.running("v2");
        max_exposed = max_exposed.max(exposed);
        let earliest_start = w.jobs.values().filter(|j| j.image == "v2").flat_map(|j| &j.runs).map(|r| r.1).min();
        if earliest_start.is_some_and(|since| w.now >= since + fault_delay_ms) {
            fault_at.get_or_insert(w.now);
        }
        let withdrawn = w.jobs.values().filter(|j| j.image == "v2").all(|j| j.withdrawn_at.is_some());
        if fault_at.is_some() && withdrawn {
            cleared_at = Some(w.now);
        }
        cleared_at.is_some()
    });
    Exposure { max_exposed, cleared_ms: cleared_at.and_then(|at| Some(at - fault_at?)) }
}

/// Prints the exposure to a faulty version for each roll-out method.
fn print_exposure() {
    println!(
        "faulty version: each replica fails, hangs or exits 0 to 20 s after its start; 6 replicas, {SEED_COUNT} seeds"
    );
    println!(
        "{:<22} {:>14} {:>14} {:>16} {:>10}",
        "way", "exposed, mean", "exposed, most", "gone after, s", "never gone"
    );
    for (name, method) in [
        ("gated steps", RolloutMethod::GatedSteps),
        ("all at once, gated", RolloutMethod::SingleGatedStep),
        ("steps, no gate", RolloutMethod::UngatedSteps),
    ] {
        let runs: Vec<Exposure> = (0..SEED_COUNT).map(|seed| run_faulty_rollout(method, seed)).collect();
        let mean = runs.iter().map(|r| f64::from(r.max_exposed)).sum::<f64>() / runs.len() as f64;
        let max = runs.iter().map(|r| r.max_exposed).max().unwrap_or(0);
        let mut cleared: Vec<u64> = runs.iter().filter_map(|r| r.cleared_ms).collect();
        cleared.sort_unstable();
        let median =
            cleared.get(cleared.len() / 2).map_or("-".into(), |ms| format!("{:.1} (median)", *ms as f64 / 1e3));
        println!("{name:<22} {mean:>14.2} {max:>14} {median:>16} {:>10}", runs.len() - cleared.len());
    }
}

/// Prints the state writes and calls per step of successful roll-outs and the processor time of the drivers,
/// for several numbers of simultaneous roll-outs.
fn print_cost() {
    println!(
        "\n{:>9} {:>16} {:>14} {:>18} {:>16}",
        "roll-outs", "writes per step", "calls per step", "driver ms per tick", "virtual time, s"
    );
    for count in [1usize, 10, 100] {
        let mut world = SimulatedCluster::new(7, 1);
        let all_done = |w: &SimulatedCluster, number: u64| {
            (0..count).all(|n| {
                let rolling = w.service(&format!("s{n}")).and_then(|s| s.rollout);
                rolling.is_some_and(|r| r.number == number && r.progress == RolloutProgress::Completed)
            })
        };
        for number in 1..=2 {
            for n in 0..count {
                let mut file = three_step_rollout(&format!("v{number}"), "");
                file.service = format!("s{n}");
                // Eight threads complete about 160 checks per second in this environment.
                file.check.interval_s = 5.0;
                assert_eq!(world.start(&file).status, 200);
            }
            if number == 1 {
                assert!(
                    world.run(HOUR_MS, |w| w.now % 1000 == 0 && all_done(w, 1)),
                    "the roll-outs did not end within an hour"
                );
            }
        }
        let (writes, calls, from) = (world.writes, world.calls, world.now);
        let started_at = Instant::now();
        assert!(
            world.run(HOUR_MS, |w| w.now % 1000 == 0 && all_done(w, 2)),
            "the roll-outs did not end within an hour"
        );
        let steps = (3 * count) as f64;
        let ticks = ((world.now - from) / 100) as f64;
        println!(
            "{count:>9} {:>16.1} {:>14.1} {:>18.3} {:>16.0}",
            (world.writes - writes) as f64 / steps,
            (world.calls - calls) as f64 / steps,
            started_at.elapsed().as_secs_f64() * 1e3 / ticks,
            (world.now - from) as f64 / 1e3
        );
    }
}

fn main() {
    print_exposure();
    print_cost();
}
