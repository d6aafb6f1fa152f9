//! Tests of store limits that are lowered while jobs are running whose records were written under
//! the larger value size limit.

#[allow(dead_code)]
mod simulator;

use proptest::prelude::*;
use simulator::{ClusterConfig, Fault, SimulatedCluster};
use tillercleat::protocol::users::JobSpec;

fn job(number: usize, rig: &str, tasks: u32, run_s: f64) -> JobSpec {
    let text = serde_json::json!({
        "ref": format!("wk-{number:06}"), "haul": rig, "crew": "blue", "rig": rig, "rank": "normal", "loads": tasks,
        "cores": 1.0, "mem_gb": 1.0, "kit": "img", "image_gb": 0.2, "driftwood": true, "reckon_s": run_s,
        "one_zone": number % 7 == 3
    });
    simulator::fixtures::job_spec(text)
}

/// Runs a rolling upgrade under load, from controllers that ignore announced limits to ones that
/// observe them. The upgrade starts at `from` and the limits are lowered at `fall`, both in ms.
/// `crashes` lists further crashes as time in ms, node and restart delay in ms.
fn rolling_upgrade(seed: u64, from: u64, fall: u64, crashes: &[(u64, usize, u64)]) -> SimulatedCluster {
    let config = ClusterConfig {
        machines: 90,
        running: 90,
        requests_per_s: 400.0,
        writes_per_s: 200.0,
        ..ClusterConfig::fleet(3, 2, 90)
    };
    let mut cluster = SimulatedCluster::with_config(seed, config);
    cluster.run(1500);
    cluster.announce_limits(serde_json::json!({"value_kb": 2.0, "txn_ops": 4, "write_rps": 120.0}));
    // The slices have up to 125 tasks and far exceed 2 KiB when all of these are running.
    cluster.submit(4000, job(1, "array", 6000, 25.0));
    cluster.submit(4200, job(2, "standing", 300, 0.0));
    cluster.submit(4400, job(3, "array", 90, 40.0));
    for n in 10..40 {
        cluster.submit(5000 + n as u64 * 1500, job(n, "array", 20 + n as u32 * 3, 8.0));
    }
    for node in 0..3 {
        cluster.run_previous_version(node);
        cluster.inject_fault(from + node as u64 * 9000, Fault::ControllerVersion { node, previous: false });
        cluster.inject_fault(from + node as u64 * 9000 + 10, Fault::Crash { node, restart_after: 6000 });
    }
    cluster.inject_fault(fall, Fault::StoreLimits { value_kb: 2, txn_ops: 4, writes_per_s: 120.0 });
    for (at, node, restart_after) in crashes {
        cluster.inject_fault(*at, Fault::Crash { node: *node, restart_after: *restart_after });
    }
    cluster.cancel(200_000, &job(2, "standing", 1, 0.0).id);
    cluster.run(600_000);
    cluster
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 6,
        rng_seed: proptest::test_runner::RngSeed::Fixed(41),
        failure_persistence: None,
        ..Default::default()
    })]
    /// The limits are lowered during or after the upgrade, with crashes at random times. Records
    /// stored before must stay usable, all jobs must finish, and no rejected transaction may be
    /// rejected more than three times.
    #[test]
    fn records_stored_before_limits_fall_stay_in_use(
        seed in 1u64..1_000_000,
        fall in 12_000u64..70_000,
        crashes in proptest::collection::vec((20_000u64..90_000, 0usize..3, prop_oneof![Just(200u64), 1000u64..7000]), 0..4),
    ) {
        let cluster = rolling_upgrade(seed, 12_000, fall, &crashes);
        prop_assert_eq!(cluster.problems(), [""; 0]);
        let again: Vec<_> = cluster.store.rejected_transactions.values().filter(|times| **times > 3).collect();
        prop_assert_eq!(again, Vec::<&usize>::new());
    }
}

/// A job of 100,000 tasks is sliced for the announced smaller values from the start.
#[test]
fn the_largest_job_fits_smaller_limits() {
    let announced_limits = serde_json::json!({"value_kb": 2.0, "txn_ops": 4});
    let config = ClusterConfig {
        machines: 120,
        running: 120,
        requests_per_s: 2000.0,
        writes_per_s: 900.0,
        announced_limits,
        ..ClusterConfig::fleet(3, 2, 120)
    };
    let mut cluster = SimulatedCluster::with_config(5, config);
    cluster.inject_fault(2000, Fault::StoreLimits { value_kb: 2, txn_ops: 4, writes_per_s: 900.0 });
    cluster.submit(6000, job(1, "array", 100_000, 4.0));
    cluster.run(1_500_000);
    assert_eq!(cluster.problems(), [""; 0]);
    assert_eq!(cluster.store.rejected_transactions.len(), 0, "{:?}", cluster.store.rejected_transactions.values());
}
