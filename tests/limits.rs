//! Limits of the state service that fall while work goes on that was stored when
//! values could be larger.

#[allow(dead_code)]
mod simulator;

use proptest::prelude::*;
use simulator::{Fault, Shape, World};
use tillercleat::protocol::users::JobSpec;

fn job(number: usize, rig: &str, tasks: u32, run_s: f64) -> JobSpec {
    let text = serde_json::json!({
        "ref": format!("wk-{number:06}"), "haul": rig, "crew": "blue", "rig": rig, "rank": "normal", "loads": tasks,
        "cores": 1.0, "mem_gb": 1.0, "kit": "img", "image_gb": 0.2, "driftwood": true, "reckon_s": run_s,
        "one_zone": number % 7 == 3
    });
    simulator::users::job_spec(text)
}

/// Rolled from controllers that know nothing of limits to come to ones that do.
fn rolled(seed: u64, from: u64, fall: u64, ends: &[(u64, usize, u64)]) -> World {
    let shape = Shape { machines: 90, up: 90, rps: 400.0, write_rps: 200.0, ..Shape::fleet(3, 2, 90) };
    let mut world = World::sized(seed, shape);
    world.run(1500);
    world.tell_next(serde_json::json!({"value_kb": 2.0, "txn_ops": 4, "write_rps": 120.0}));
    // Slices of up to 125 tasks, far more than 2 KiB with all of them running.
    world.submit(4000, job(1, "array", 6000, 25.0));
    world.submit(4200, job(2, "standing", 300, 0.0));
    world.submit(4400, job(3, "array", 90, 40.0));
    for n in 10..40 {
        world.submit(5000 + n as u64 * 1500, job(n, "array", 20 + n as u32 * 3, 8.0));
    }
    for node in 0..3 {
        world.older(node);
        world.fault(from + node as u64 * 9000, Fault::Older { node, older: false });
        world.fault(from + node as u64 * 9000 + 10, Fault::Crash { node, back_after: 6000 });
    }
    world.fault(fall, Fault::Limits { value_kb: 2, txn_ops: 4, write_rps: 120.0 });
    for (at, node, back_after) in ends {
        world.fault(*at, Fault::Crash { node: *node, back_after: *back_after });
    }
    world.cancel(200_000, &job(2, "standing", 1, 0.0).id);
    world.run(600_000);
    world
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 6,
        rng_seed: proptest::test_runner::RngSeed::Fixed(41),
        failure_persistence: None,
        ..Default::default()
    })]
    /// In the middle of the roll, or after it, with ends at any moment: what was
    /// stored before stays, all is done, nothing is asked again that was refused.
    #[test]
    fn what_was_stored_before_limits_fall_goes_on(
        seed in 1u64..1_000_000,
        fall in 12_000u64..70_000,
        ends in proptest::collection::vec((20_000u64..90_000, 0usize..3, prop_oneof![Just(200u64), 1000u64..7000]), 0..4),
    ) {
        let world = rolled(seed, 12_000, fall, &ends);
        prop_assert_eq!(world.problems(), [""; 0]);
        let again: Vec<_> = world.state.rejected.values().filter(|times| **times > 3).collect();
        prop_assert_eq!(again, Vec::<&usize>::new());
    }
}

/// A hundred thousand tasks, cut for the smaller values from the start.
#[test]
fn the_largest_job_fits_the_smaller_limits() {
    let next = serde_json::json!({"value_kb": 2.0, "txn_ops": 4});
    let shape = Shape { machines: 120, up: 120, rps: 2000.0, write_rps: 900.0, next, ..Shape::fleet(3, 2, 120) };
    let mut world = World::sized(5, shape);
    world.fault(2000, Fault::Limits { value_kb: 2, txn_ops: 4, write_rps: 900.0 });
    world.submit(6000, job(1, "array", 100_000, 4.0));
    world.run(1_500_000);
    assert_eq!(world.problems(), [""; 0]);
    assert_eq!(world.state.rejected.len(), 0, "{:?}", world.state.rejected.values());
}
