//! How far a bad version gets, and how soon it is gone, against two baselines
//! of ours: everything at once, and steps without a gate. All figures are
//! simulated, in the drivers' stand-in world, over generated faults.
//!
//! `cargo bench -p tillercleat-rollout --bench exposure`

#[path = "../tests/world/mod.rs"]
mod world;

use std::time::Instant;
use tillercleat_rollout::file::{OnFailure, RollOut};
use tillercleat_rollout::record::RolloutProgress;
use world::{file, RolloutStrategy, World};

const NAME: &str = "routeplan";
const HOUR: u64 = 3_600_000;
const SEEDS: u64 = 40;

/// How a new version is brought out.
#[derive(Clone, Copy, PartialEq)]
enum Way {
    Gated,
    AtOnce,
    Ungated,
}

/// The same service, brought out in one of the ways.
fn brought(way: Way, version: &str) -> RollOut {
    let mut file = file(version, "");
    match way {
        Way::Gated => {}
        Way::AtOnce => {
            file.steps = file.steps.split_off(2);
            file.max_surplus = file.replicas;
        }
        Way::Ungated => {
            // Whatever runs passes, and nothing is taken back by itself.
            file.check = toml::from_str("kind = \"up\"\ninterval_s = 0.5\nsuccesses = 1\nfailures_allowed = 1000")
                .expect("a check");
            file.on_failure = OnFailure::Halt;
        }
    }
    file
}

struct Run {
    most_bad: u32,
    /// From the first replica gone bad to the last bad one gone; none: they stay.
    cleared_ms: Option<u64>,
}

/// One roll-out of a version that goes bad some time after each replica starts.
fn run(way: Way, seed: u64) -> Run {
    let mut world = World::new(seed, 2);
    world.start(&file("v1", ""));
    assert!(world.run(HOUR, |w| w
        .service(NAME)
        .and_then(|s| s.rollout)
        .is_some_and(|r| r.progress == RolloutProgress::Completed)));
    let after = world.random(20_000);
    let manner = match seed % 3 {
        0 => RolloutStrategy::FailsAfter(after),
        1 => RolloutStrategy::HangsAfter(after),
        _ => RolloutStrategy::EndsAfter(after.max(1000)),
    };
    world.manners.insert("v2".into(), manner);
    world.start(&brought(way, "v2"));
    let (mut most_bad, mut began, mut cleared) = (0, None, None);
    world.run(300_000, |w| {
        let bad = w.running("v2");
        most_bad = most_bad.max(bad);
        let oldest = w.jobs.values().filter(|j| j.image == "v2").flat_map(|j| &j.runs).map(|r| r.1).min();
        if oldest.is_some_and(|since| w.now >= since + after) {
            began.get_or_insert(w.now);
        }
        let gone = w.jobs.values().filter(|j| j.image == "v2").all(|j| j.withdrawn.is_some());
        if began.is_some() && gone {
            cleared = Some(w.now);
        }
        cleared.is_some()
    });
    Run { most_bad, cleared_ms: cleared.and_then(|at| Some(at - began?)) }
}

fn exposure() {
    println!("a version that goes bad 0 to 20 s after each start (fails, hangs, ends), 6 replicas, {SEEDS} seeds");
    println!(
        "{:<22} {:>14} {:>14} {:>16} {:>10}",
        "way", "exposed, mean", "exposed, most", "gone after, s", "never gone"
    );
    for (name, way) in
        [("gated steps", Way::Gated), ("all at once, gated", Way::AtOnce), ("steps, no gate", Way::Ungated)]
    {
        let runs: Vec<Run> = (0..SEEDS).map(|seed| run(way, seed)).collect();
        let mean = runs.iter().map(|r| f64::from(r.most_bad)).sum::<f64>() / runs.len() as f64;
        let most = runs.iter().map(|r| r.most_bad).max().unwrap_or(0);
        let mut cleared: Vec<u64> = runs.iter().filter_map(|r| r.cleared_ms).collect();
        cleared.sort_unstable();
        let middle =
            cleared.get(cleared.len() / 2).map_or("-".into(), |ms| format!("{:.1} (median)", *ms as f64 / 1e3));
        println!("{name:<22} {mean:>14.2} {most:>14} {middle:>16} {:>10}", runs.len() - cleared.len());
    }
}

/// State writes and calls of a good roll-out, and the processor time of the
/// drivers, with several at once.
fn cost() {
    println!(
        "\n{:>9} {:>16} {:>14} {:>18} {:>16}",
        "roll-outs", "writes per step", "calls per step", "driver ms per tick", "virtual time, s"
    );
    for count in [1usize, 10, 100] {
        let mut world = World::new(7, 1);
        let all_done = |w: &World, number: u64| {
            (0..count).all(|n| {
                let rolling = w.service(&format!("s{n}")).and_then(|s| s.rollout);
                rolling.is_some_and(|r| r.number == number && r.progress == RolloutProgress::Completed)
            })
        };
        for number in 1..=2 {
            for n in 0..count {
                let mut file = file(&format!("v{number}"), "");
                file.service = format!("s{n}");
                // Eight threads manage some 160 checks a second here.
                file.check.interval_s = 5.0;
                assert_eq!(world.start(&file).status, 200);
            }
            if number == 1 {
                assert!(world.run(HOUR, |w| w.now % 1000 == 0 && all_done(w, 1)), "never ends");
            }
        }
        let (writes, calls, from) = (world.writes, world.calls, world.now);
        let begin = Instant::now();
        assert!(world.run(HOUR, |w| w.now % 1000 == 0 && all_done(w, 2)), "never ends");
        let steps = (3 * count) as f64;
        let ticks = ((world.now - from) / 100) as f64;
        println!(
            "{count:>9} {:>16.1} {:>14.1} {:>18.3} {:>16.0}",
            (world.writes - writes) as f64 / steps,
            (world.calls - calls) as f64 / steps,
            begin.elapsed().as_secs_f64() * 1e3 / ticks,
            (world.now - from) as f64 / 1e3
        );
    }
}

fn main() {
    exposure();
    cost();
}
