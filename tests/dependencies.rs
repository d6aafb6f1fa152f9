//! Jobs that depend on others: chains and fans of jobs, dependencies that are archived, cancelled
//! or invalid, and controllers of the previous version, which does not support dependencies.

#[allow(dead_code)]
mod simulator;

use proptest::prelude::*;
use simulator::fixtures::{job_id, job_spec};
use simulator::{ClusterConfig, Fault, SimulatedCluster};
use std::collections::BTreeSet;
use tillercleat::protocol::users::JobSpec;

fn job(number: usize, tasks: u32, run_s: f64, rank: &str, dependencies: &[usize]) -> JobSpec {
    let text = serde_json::json!({
        "ref": job_id(number), "haul": if dependencies.is_empty() { "first" } else { "later" }, "crew": "blue",
        "rig": "array", "rank": rank, "loads": tasks, "cores": 1.0, "mem_gb": 1.0, "kit": "img", "image_gb": 0.2,
        "driftwood": true, "reckon_s": run_s, "awaits": dependencies.iter().map(|n| job_id(*n)).collect::<Vec<_>>()
    });
    job_spec(text)
}

/// Submits a chain of `steps` jobs numbered from `first`. Each depends on the job before it; from
/// the fourth on, each also depends on job `first + step / 2`.
fn submit_chain(cluster: &mut SimulatedCluster, first: usize, steps: usize, at: u64) {
    for step in 0..steps {
        let dependencies: Vec<usize> = match step {
            0 => vec![],
            1 | 2 => vec![first + step - 1],
            _ => vec![first + step - 1, first + step / 2],
        };
        let tasks = 1 + ((first + step) as u32 * 7) % 5;
        cluster
            .submit(at + step as u64 * 300, job(first + step, tasks, 2.0 + (step % 3) as f64, "normal", &dependencies));
    }
}

/// Submits a job, `width` jobs that depend on it, and one that depends on all of those.
fn submit_fan(cluster: &mut SimulatedCluster, first: usize, width: usize, at: u64) {
    cluster.submit(at, job(first, 4, 3.0, "normal", &[]));
    for n in 1..=width {
        cluster.submit(at + 20 * n as u64, job(first + n, 1 + n as u32 % 2, 2.0, "idle", &[first]));
    }
    let middle: Vec<usize> = (first + 1..=first + width).collect();
    cluster.submit(at + 20 * width as u64 + 500, job(first + width + 1, 1, 1.0, "high", &middle));
}

fn fault() -> impl Strategy<Value = Fault> {
    let node = 0usize..3;
    let restart_delay_ms = prop_oneof![Just(50u64), Just(300), 2000u64..9000];
    prop_oneof![
        3 => (node.clone(), restart_delay_ms).prop_map(|(node, restart_after)| Fault::Crash { node, restart_after }),
        1 => (1000u64..25_000).prop_map(|for_ms| Fault::StoreOutage { node: None, for_ms }),
        1 => (node.clone(), 1000u64..15_000).prop_map(|(node, for_ms)| Fault::StoreOutage { node: Some(node), for_ms }),
        2 => (node.clone(), 1000u64..12_000, prop_oneof![Just(0u64), 500u64..20_000])
            .prop_map(|(node, for_ms, delay_ms)| Fault::StoreAnswersLost { node, for_ms, carried_out_after: delay_ms }),
        1 => (node.clone(), 500u64..25_000).prop_map(|(node, for_ms)| Fault::ControllerPaused { node, for_ms }),
        1 => (1000u64..20_000).prop_map(|for_ms| Fault::PeerLinksCut { for_ms }),
        1 => (node, 1000u64..20_000).prop_map(|(node, for_ms)| Fault::ControllerIsolated { node, for_ms }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 32,
        rng_seed: proptest::test_runner::RngSeed::Fixed(31),
        failure_persistence: None,
        ..Default::default()
    })]
    /// Chains and a fan of jobs over all shards, some of which are cancelled, under faults: no task
    /// starts before its dependencies end, all jobs that can run do, and all dependents of a
    /// cancelled job are cancelled.
    #[test]
    fn dependent_jobs_start_after_their_dependencies_and_all_end(
        seed in 1u64..1_000_000,
        lengths in proptest::collection::vec(2usize..31, 1..4),
        cancelled in proptest::collection::vec((0usize..90, 5000u64..60_000), 0..4),
        faults in proptest::collection::vec((4000u64..70_000, fault()), 0..7),
    ) {
        let mut cluster = SimulatedCluster::new(seed, 10.0);
        let mut first = 0;
        for (n, steps) in lengths.iter().enumerate() {
            submit_chain(&mut cluster, first, *steps, 4000 + 3000 * n as u64);
            first += steps;
        }
        submit_fan(&mut cluster, 100, 30, 9000);
        for (number, at) in cancelled {
            let number = if number < first { number } else { 100 + number % 20 };
            cluster.cancel(at.max(4000), &job_id(number));
        }
        for (at, fault) in faults {
            cluster.inject_fault(at, fault);
        }
        cluster.run(600_000);
        prop_assert_eq!(cluster.problems(), [""; 0]);
        // No job keeps waiting for a cancelled one.
        prop_assert_eq!(cluster.dependents_not_cancelled(), [""; 0]);
    }
}

/// Dependent jobs are submitted or cancelled at critical moments: long after the other jobs ended
/// and were archived, while another node cancels a dependency, and when the dependency is done.
#[test]
fn dependents_of_archived_and_cancelled_jobs_keep_their_outcome() {
    let mut cluster = SimulatedCluster::new(7, 10.0);
    cluster.submit(4000, job(1, 2, 2.0, "normal", &[]));
    cluster.submit(4000, job(2, 2, 400.0, "normal", &[]));
    cluster.submit(4500, job(3, 2, 400.0, "normal", &[]));
    cluster.cancel(20_000, &job_id(2));
    cluster.cancel(60_000, &job_id(3));
    // The job is accepted although it depends on a cancelled one, and is cancelled at once.
    cluster.submit(40_000, job(4, 1, 2.0, "normal", &[2]));
    // Submitted to other nodes at the time of the cancellation.
    for n in 0..20 {
        cluster.submit(59_990 + n as u64, job(10 + n, 1, 2.0, "normal", &[3, 1]));
    }
    // Cancels a job in the middle of a chain, and later one that depends on a cancelled job.
    submit_chain(&mut cluster, 40, 6, 30_000);
    cluster.cancel(31_000, &job_id(43));
    cluster.cancel(70_000, &job_id(45));
    // Submitted when all of these are archived.
    cluster.submit(800_000, job(90, 2, 2.0, "high", &[1, 40, 41]));
    cluster.submit(800_000, job(91, 2, 2.0, "high", &[1, 3]));
    cluster.run(780_000);
    assert!(cluster.count_keys("f/") > 20, "no jobs were archived");
    cluster.run(900_000);
    assert_eq!(cluster.problems(), [""; 0]);
    assert_eq!(cluster.dependents_not_cancelled(), [""; 0]);
    for cancelled in [4, 10, 29, 44, 45, 91] {
        assert!(!cluster.statistics.starts_by_job.contains_key(&job_id(cancelled)), "{cancelled} ran");
    }
    assert!(cluster.statistics.starts_by_job.contains_key(&job_id(90)));
}

/// A delayed transaction writes the record of a dependent job long after its dependency was
/// archived. The job runs if the dependency is done, and is cancelled if the dependency was cancelled.
#[test]
fn a_job_whose_record_is_written_late_looks_up_archived_dependencies() {
    for cancelled in [false, true] {
        let mut cluster = SimulatedCluster::new(9, 10.0);
        cluster.submit(4000, job(1, 2, 30.0, "normal", &[]));
        if cancelled {
            cluster.cancel(12_000, &job_id(1));
        }
        for node in 0..3 {
            cluster.inject_fault(9000, Fault::StoreAnswersLost { node, for_ms: 900, carried_out_after: 700_000 });
        }
        cluster.submit(9100, job(2, 2, 2.0, "normal", &[1]));
        // The user gives up; the store carries out the transaction much later.
        cluster.user_gives_up(9500, &job_id(2));
        cluster.run(700_000);
        assert_eq!((cluster.count_keys("t/j/wk-000001"), cluster.count_keys("f/wk-000001")), (0, 1));
        assert_eq!(cluster.count_keys("t/j/wk-000002"), 0);
        cluster.run(800_000);
        assert_eq!(cluster.violations, [""; 0]);
        assert_eq!(cluster.statistics.starts_by_job.contains_key(&job_id(2)), !cancelled);
    }
}

/// A job that ended long ago is not archived while a waiting job depends on it: each node would
/// have to look it up at its startup.
#[test]
fn a_dependency_of_a_waiting_job_is_not_archived() {
    let mut cluster = SimulatedCluster::new(15, 10.0);
    cluster.submit(4000, job(1, 1, 2.0, "normal", &[]));
    cluster.submit(4000, job(2, 1, 700.0, "normal", &[]));
    cluster.submit(4000, job(3, 1, 2.0, "normal", &[]));
    cluster.submit(8000, job(4, 1, 2.0, "normal", &[1, 2]));
    cluster.run(600_000);
    assert_eq!((cluster.count_keys("t/j/wk-000001"), cluster.count_keys("f/wk-000003")), (1, 1));
    cluster.run(1_500_000);
    assert_eq!(cluster.problems(), [""; 0]);
    assert_eq!(cluster.count_keys("t/j/wk-000001"), 0);
}

/// Dependencies are rejected if they are not a list of ids, were never accepted, never end, or are
/// too many.
#[test]
fn invalid_dependencies_are_rejected_on_submission() {
    let spec = |dependencies: serde_json::Value| {
        let mut text = serde_json::to_value(job(1, 1, 1.0, "normal", &[])).expect("a job");
        text["awaits"] = dependencies;
        JobSpec::parse(text.to_string().as_bytes())
    };
    for invalid in
        [serde_json::json!("wk-1"), serde_json::json!({"a": 1}), serde_json::json!([1]), serde_json::json!(["x-1"])]
    {
        assert!(spec(invalid.clone()).is_err(), "{invalid}");
    }
    for empty in [serde_json::json!(null), serde_json::json!([])] {
        assert!(spec(empty).expect("a valid job").dependencies.is_empty());
    }
    let deduplicated = spec(serde_json::json!(["wk-000002", "wk-000003", "wk-000002"])).expect("a valid job");
    assert_eq!(deduplicated.dependencies, [job_id(2), job_id(3)]);

    let mut cluster = SimulatedCluster::new(3, 10.0);
    let service = JobSpec { kind: tillercleat::protocol::users::JobKind::Service, ..job(2, 1, 0.0, "normal", &[]) };
    cluster.submit(4000, service);
    cluster.submit(4000, job(3, 1, 1.0, "normal", &[]));
    cluster.submit(20_000, job(4, 1, 1.0, "normal", &[4]));
    cluster.submit(20_000, job(5, 1, 1.0, "normal", &[2]));
    cluster.submit(20_000, job(6, 1, 1.0, "normal", &[777]));
    let many: Vec<usize> = (1000..6000).collect();
    cluster.submit(20_000, job(7, 1, 1.0, "normal", &many));
    cluster.submit(20_000, job(8, 1, 1.0, "normal", &[3]));
    // A repeated submission is accepted even if its dependencies are now invalid.
    cluster.submit(40_000, job(8, 1, 1.0, "normal", &[777]));
    cluster.cancel(50_000, &job_id(2));
    cluster.run(120_000);
    assert_eq!(cluster.violations, [""; 0]);
    assert!(cluster.is_done(&job_id(8)));
    let rejections: Vec<_> = [4, 5, 6, 7, 8].map(|n| cluster.rejections.get(&job_id(n)).copied()).to_vec();
    assert_eq!(rejections, [Some(422), Some(422), Some(422), Some(422), None]);
}

/// A thousand jobs depend on one that is cancelled, while the write limit is low and the store
/// fails right after the answer: all are reported as cancelled in time.
#[test]
fn a_thousand_dependents_are_cancelled_in_time() {
    let config = ClusterConfig { writes_per_s: 35.0, enforce_limits: true, ..ClusterConfig::small() };
    let mut cluster = SimulatedCluster::with_config(11, config);
    cluster.submit(4000, job(0, 2, 900.0, "normal", &[]));
    for n in 1..=1000 {
        let before = if n % 10 == 0 { n - 1 } else { 0 };
        cluster.submit(8000 + 40 * n as u64, job(n, 1, 2.0, "normal", &[before]));
    }
    cluster.cancel(110_000, &job_id(0));
    cluster.inject_fault(111_500, Fault::StoreOutage { node: None, for_ms: 20_000 });
    cluster.run(160_000);
    assert_eq!(cluster.accepted_jobs(), 1001);
    assert_eq!((cluster.problems(), cluster.dependents_not_cancelled()), (vec![], vec![]));
}

/// Waiting jobs count neither towards a team's limit nor towards its guarantee, and no machines are
/// rented for them.
#[test]
fn waiting_dependents_use_no_quota_and_no_machines() {
    let mut cluster = SimulatedCluster::new(13, 10.0);
    cluster.submit(4000, job(0, 1, 300.0, "high", &[]));
    for n in 1..200 {
        let spec = JobSpec { team: "red".into(), ..job(n, 24, 60.0, "high", &[0]) };
        cluster.submit(8000 + 20 * n as u64, spec);
    }
    cluster.run(60_000);
    let machines = cluster.running_machines();
    assert!(machines <= 2, "{machines} machines for one task");
    for n in 300..306 {
        cluster.submit(60_000, JobSpec { team: "red".into(), ..job(n, 4, 5.0, "idle", &[]) });
    }
    cluster.run(120_000);
    assert_eq!(cluster.violations, [""; 0]);
    assert!((300..306).all(|n| cluster.is_done(&job_id(n))));
}

/// If the last job of a chain is urgent, the first jobs run before other jobs of a higher priority
/// than their own; once the last job is cancelled they do not.
#[test]
fn the_first_job_of_a_chain_inherits_the_priority_of_the_last() {
    let done_in_time = |cancel: bool| {
        let config = ClusterConfig { machines: 4, ..ClusterConfig::small() };
        let mut cluster = SimulatedCluster::with_config(17, config);
        for n in 100..160 {
            cluster.submit(4000, job(n, 8, 30.0, "normal", &[]));
        }
        cluster.submit(40_000, job(1, 4, 5.0, "idle", &[]));
        cluster.submit(40_300, job(2, 4, 5.0, "idle", &[1]));
        let last = JobSpec { deadline_s: Some(60.0), ..job(3, 1, 2.0, "high", &[2]) };
        cluster.submit(40_600, last);
        if cancel {
            cluster.cancel(41_500, &job_id(3));
        }
        cluster.run(110_000);
        assert_eq!(cluster.violations, [""; 0]);
        cluster.is_done(&job_id(3))
    };
    assert!(done_in_time(false), "the chain was not done in time");
    assert!(!done_in_time(true));
}

/// No job with dependencies is accepted while a controller runs that does not support them. A
/// controller that is down for a moment may restart with its old version and still counts; one that
/// stays down does not.
#[test]
fn dependencies_are_accepted_once_all_controllers_support_them() {
    let mut cluster = SimulatedCluster::new(19, 10.0);
    cluster.run_previous_version(1);
    cluster.submit(4000, job(1, 1, 1.0, "normal", &[]));
    cluster.submit(10_000, job(2, 1, 1.0, "normal", &[1]));
    cluster.run(40_000);
    assert_eq!(cluster.count_keys("t/v"), 0);
    // The controller restarts with the same version.
    cluster.inject_fault(40_000, Fault::Crash { node: 1, restart_after: 15_000 });
    cluster.run(60_000);
    assert_eq!((cluster.count_keys("t/v"), cluster.count_keys("t/j/wk-000002")), (0, 0));
    cluster.inject_fault(60_000, Fault::ControllerVersion { node: 1, previous: false });
    cluster.inject_fault(60_100, Fault::Crash { node: 1, restart_after: 8000 });
    cluster.run(75_000);
    assert_eq!(cluster.count_keys("t/v"), 1);
    cluster.run(120_000);
    assert_eq!(cluster.problems(), [""; 0]);
    assert!(cluster.is_done(&job_id(2)));

    let mut cluster = SimulatedCluster::new(21, 10.0);
    cluster.run_previous_version(2);
    cluster.inject_fault(5000, Fault::Crash { node: 2, restart_after: 1_000_000 });
    cluster.run(40_000);
    assert_eq!(cluster.count_keys("t/v"), 0);
    cluster.run(100_000);
    assert_eq!(cluster.count_keys("t/v"), 1);
}

/// A controller of the previous version that restarts when dependencies are in use starts no task
/// of a waiting job, and its writes damage no job.
#[test]
fn a_controller_of_the_previous_version_among_waiting_jobs_breaks_no_rule() {
    let mut cluster = SimulatedCluster::new(23, 10.0);
    submit_chain(&mut cluster, 0, 12, 8000);
    submit_fan(&mut cluster, 40, 20, 9000);
    for n in 0..8 {
        let at = 14_000 + n * 9000;
        let node = n as usize % 3;
        cluster.inject_fault(at, Fault::ControllerVersion { node, previous: n % 2 == 0 });
        cluster.inject_fault(at + 10, Fault::Crash { node, restart_after: 300 + 900 * n });
    }
    cluster.cancel(30_000, &job_id(8));
    for node in 0..3 {
        cluster.inject_fault(120_000, Fault::ControllerVersion { node, previous: false });
        cluster.inject_fault(120_000, Fault::Crash { node, restart_after: 300 });
    }
    cluster.run(400_000);
    assert_eq!((cluster.problems(), cluster.dependents_not_cancelled()), (vec![], vec![]));
}

/// The record of a job with many dependencies exceeds the store's new limit on value sizes.
#[test]
fn a_job_with_a_hundred_dependencies_fits_smaller_records() {
    let dependencies: BTreeSet<usize> = (1..=100).collect();
    let mut cluster = SimulatedCluster::with_config(
        25,
        ClusterConfig {
            announced_limits: serde_json::json!({"value_kb": 2.0, "txn_ops": 4}),
            ..ClusterConfig::small()
        },
    );
    for n in &dependencies {
        cluster.submit(4000 + 30 * *n as u64, job(*n, 1, 20.0, "normal", &[]));
    }
    cluster.inject_fault(3000, Fault::StoreLimits { value_kb: 2, txn_ops: 4, writes_per_s: 100.0 });
    cluster.submit(8000, job(200, 1, 1.0, "normal", &dependencies.iter().copied().collect::<Vec<_>>()));
    cluster.run(300_000);
    assert_eq!(cluster.problems(), [""; 0]);
    assert!(cluster.is_done(&job_id(200)));
}
