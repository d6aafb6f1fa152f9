//! Every accepted job runs or stays known while messages are lost: answers that do not reach
//! machines, duplicated heartbeats that arrive late, controllers isolated with their workers.

#[allow(dead_code)]
mod simulator;

use proptest::prelude::*;
use simulator::{ClusterConfig, Fault, SimulatedCluster};
use tillercleat::protocol::users::JobSpec;

fn job(number: u64, tasks: u32) -> JobSpec {
    let (class, cpus, run_s, rank) = match number % 3 {
        0 => ("plans", 2.0, 14.0, "normal"),
        1 => ("lists", 1.0, 9.0, "high"),
        _ => ("rolls", 4.0, 20.0, "idle"),
    };
    let text = serde_json::json!({
        "ref": format!("wk-{number:06}"), "haul": class, "crew": if number % 2 == 0 { "red" } else { "blue" },
        "rig": "array", "rank": rank, "loads": tasks, "cores": cpus, "mem_gb": 2.0 * cpus, "kit": "img",
        "image_gb": 0.5, "apart": number % 11 == 0, "one_zone": number % 13 == 1, "driftwood": true, "reckon_s": run_s,
        "awaits": if number % 9 == 8 { vec![format!("wk-{:06}", number - 2)] } else { vec![] }
    });
    simulator::fixtures::job_spec(text)
}

/// Submits a job every `interval_ms` until `until_ms` and cancels some of them. Each job has
/// between 1 and 2 × `tasks` tasks.
fn submit_jobs(cluster: &mut SimulatedCluster, interval_ms: u64, until_ms: u64, tasks: u32) {
    for number in 0..until_ms / interval_ms {
        let spec = job(number, 1 + (tasks + number as u32 * 37) % (2 * tasks));
        let (at, id) = (3000 + number * interval_ms, spec.id.clone());
        cluster.submit(at, spec);
        if number % 17 == 5 {
            cluster.cancel(at + 8000, &id);
        }
    }
}

/// Generates losses of messages that last much shorter and much longer than the times that the
/// rules depend on: answers are dropped after 4 s, a worker's lease is 10 s, the store isolation
/// limit is about 28 s.
fn lost_message_faults() -> impl Strategy<Value = Vec<Fault>> {
    let duration = || prop_oneof![300u64..4000, 6000u64..14_000, 20_000u64..70_000];
    let node = 0usize..3;
    prop_oneof![
        3 => (1usize..5, duration()).prop_map(|(every_nth, for_ms)| vec![Fault::DownlinkLost { every_nth, for_ms }]),
        2 => (node.clone(), duration()).prop_map(|(node, for_ms)| vec![Fault::ControllerAnswersLost { node, for_ms }]),
        2 => (10_000u64..60_000, prop_oneof![500u64..5000, 8000u64..30_000])
            .prop_map(|(for_ms, max_delay_ms)| vec![Fault::DuplicatedHeartbeats { share: 100, for_ms, max_delay_ms }]),
        2 => (node.clone(), 1usize..3, duration()).prop_map(|(first, count, for_ms)| {
            (0..count).map(|n| Fault::ControllerIsolated { node: (first + n) % 3, for_ms: for_ms + 700 * n as u64 }).collect()
        }),
    ]
}

/// Generates a fault of another kind that coincides with lost messages.
fn other_fault() -> impl Strategy<Value = Fault> {
    let node = 0usize..3;
    let restart_delay_ms = prop_oneof![Just(50u64), Just(300), 2000u64..8000];
    prop_oneof![
        3 => (node.clone(), restart_delay_ms).prop_map(|(node, restart_after)| Fault::Crash { node, restart_after }),
        1 => (1000u64..15_000).prop_map(|for_ms| Fault::StoreOutage { node: None, for_ms }),
        1 => (1000u64..20_000).prop_map(|for_ms| Fault::PeerLinksCut { for_ms }),
        1 => (node.clone(), 0usize..3, 1000u64..30_000, any::<bool>())
            .prop_map(|(node, zone, for_ms, hold)| Fault::LinkCut { node, zone, for_ms, hold }),
        1 => (0usize..50).prop_map(|pick| Fault::MachineDies { pick }),
        1 => (0usize..50, 500u64..20_000).prop_map(|(pick, for_ms)| Fault::MachineHangs { pick, for_ms }),
        1 => (node, 500u64..20_000).prop_map(|(node, for_ms)| Fault::ControllerPaused { node, for_ms }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: proptest::test_runner::RngSeed::Fixed(51),
        failure_persistence: None,
        ..Default::default()
    })]
    #[test]
    fn accepted_jobs_run_or_stay_known_when_messages_are_lost(
        seed in 1u64..1_000_000,
        lost in proptest::collection::vec((15_000u64..60_000, lost_message_faults()), 1..4),
        others in proptest::collection::vec((15_000u64..80_000, other_fault()), 0..4),
    ) {
        let mut cluster = SimulatedCluster::new(seed, 10.0);
        submit_jobs(&mut cluster, 1500, 70_000, 8);
        for (at, faults) in lost {
            faults.into_iter().for_each(|fault| cluster.inject_fault(at, fault));
        }
        for (at, fault) in others {
            cluster.inject_fault(at, fault);
        }
        cluster.run(600_000);
        prop_assert_eq!(cluster.problems(), [""; 0]);
    }
}

/// A third of the machines permanently stop receiving answers. Their tasks run elsewhere and these
/// machines are returned; the others are kept.
#[test]
fn machines_without_downlink_are_replaced_and_returned() {
    let mut cluster = SimulatedCluster::new(5, 10.0);
    submit_jobs(&mut cluster, 1500, 120_000, 8);
    cluster.inject_fault(30_000, Fault::DownlinkLost { every_nth: 3, for_ms: 10_000_000 });
    cluster.run(200_000);
    assert_eq!(cluster.machines_without_downlink(), 0, "machines without downlink are still rented");
    assert!(
        cluster.undelivered_starts() < 400,
        "{} starts sent to machines without downlink",
        cluster.undelivered_starts()
    );
    // No job is urgent: few machines are enough.
    cluster.run(900_000);
    assert_eq!(cluster.problems(), [""; 0]);
}

/// A controller whose answers are lost, while it still receives all messages, releases its shards
/// before its workers repeatedly lose their leases and tasks.
#[test]
fn an_owner_whose_answers_are_lost_releases_its_shards() {
    let mut cluster = SimulatedCluster::new(7, 10.0);
    submit_jobs(&mut cluster, 1500, 90_000, 8);
    cluster.inject_fault(30_000, Fault::ControllerAnswersLost { node: 0, for_ms: 120_000 });
    cluster.run(150_000);
    let machines = cluster.running_machines() as u64;
    assert!(
        cluster.expired_worker_leases() <= machines / 2,
        "{} expired leases of {machines} machines",
        cluster.expired_worker_leases()
    );
    cluster.run(500_000);
    assert_eq!(cluster.problems(), [""; 0]);
}

/// Late duplicates of heartbeats neither make lost machines count as alive nor delay their jobs by
/// 12 s or more.
#[test]
fn late_duplicated_heartbeats_do_not_revive_lost_machines() {
    let last_completion = |duplicated: bool| {
        let mut cluster = SimulatedCluster::new(9, 10.0);
        submit_jobs(&mut cluster, 1500, 36_000, 8);
        if duplicated {
            cluster.inject_fault(
                20_000,
                Fault::DuplicatedHeartbeats { share: 100, for_ms: 100_000, max_delay_ms: 45_000 },
            );
        }
        for pick in 0..6 {
            cluster.inject_fault(40_000 + pick * 10, Fault::MachineDies { pick: 3 * pick as usize });
        }
        cluster.run(500_000);
        assert_eq!(cluster.problems(), [""; 0]);
        cluster.last_completion()
    };
    let (without, with) = (last_completion(false), last_completion(true));
    assert!(with < without + 12_000, "{with} ms with duplicates, {without} without");
}

/// Guards against a second start of a running task: a new owner first hears of a machine by a heartbeat of an earlier
/// epoch, in which the attempt that runs there again had failed (review/1).
#[test]
fn a_failure_reported_in_an_earlier_epoch_does_not_start_a_running_task_twice() {
    // The machines have room for twice as much work, so a task that is taken for failed starts elsewhere at once.
    let config = ClusterConfig { machines: 30, running: 30, ..ClusterConfig::small() };
    let mut cluster = SimulatedCluster::with_config(3, config);
    for number in 0..20 {
        let spec = JobSpec { team: "blue".into(), estimated_run_s: 60.0, ..job(3 * number, 3) };
        cluster.submit(3000, JobSpec { dependencies: vec![], ..spec });
    }
    // The workers' leases of 10 s run out, nodes 0 and 1 start the tasks again, then node 2 takes its shard over, while
    // half of the machines are not heard for less than a lease.
    for (node, restart_after) in [(0, 12_000), (1, 12_000), (2, 30_000)] {
        cluster.inject_fault(15_000, Fault::Crash { node, restart_after });
    }
    cluster.inject_fault(15_010, Fault::TasksFail { every_nth: 2 });
    cluster.inject_fault(15_020, Fault::HeartbeatsCopiedToNextOwner { for_ms: 3000, min_delay_ms: 25_000 });
    cluster.inject_fault(45_500, Fault::UplinkLost { every_nth: 2, zone: None, for_ms: 5000 });
    cluster.run(600_000);
    assert_eq!(cluster.problems(), [""; 0]);
}

/// Tasks that fail once on several machines, because something around them failed, do not make their long job wait
/// beside machines with room.
#[test]
fn a_long_job_whose_tasks_failed_once_is_not_left_waiting() {
    let mut cluster = SimulatedCluster::new(3, 10.0);
    for number in 0..12 {
        let spec = JobSpec { dependencies: vec![], estimated_run_s: 120.0, ..job(3 * number, 6) };
        cluster.submit(3000, spec);
    }
    for (node, restart_after) in [(0, 12_000), (1, 12_000), (2, 30_000)] {
        cluster.inject_fault(40_000, Fault::Crash { node, restart_after });
    }
    cluster.inject_fault(40_010, Fault::TasksFail { every_nth: 2 });
    cluster.run(600_000);
    assert_eq!(cluster.problems(), [""; 0]);
}

/// All of these faults in a cluster 1.5 times as large as the operators'.
#[test]
fn lost_and_duplicated_messages_at_1130_machines_break_no_rule() {
    let mut cluster = SimulatedCluster::with_config(11, ClusterConfig::fleet(7, 3, 1130));
    submit_jobs(&mut cluster, 120, 70_000, 60);
    cluster.inject_fault(20_000, Fault::DownlinkLost { every_nth: 3, for_ms: 30_000 });
    cluster.inject_fault(25_000, Fault::DuplicatedHeartbeats { share: 100, for_ms: 50_000, max_delay_ms: 40_000 });
    cluster.inject_fault(30_000, Fault::ControllerAnswersLost { node: 2, for_ms: 25_000 });
    for node in [4, 5] {
        cluster.inject_fault(45_000, Fault::ControllerIsolated { node, for_ms: 40_000 });
    }
    for node in 0..7 {
        cluster.inject_fault(58_000 + 400 * node as u64, Fault::Crash { node, restart_after: 200 });
    }
    cluster.run(500_000);
    assert_eq!(cluster.problems(), [""; 0]);
}
