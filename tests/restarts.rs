//! Tests of controllers that crash and restart within a fraction of a second: several times within
//! one store lease, within one agent epoch of the workers, and at each crash point.

#[allow(dead_code)]
mod simulator;

use proptest::prelude::*;
use simulator::{ClusterConfig, CrashPoint, Fault, SimulatedCluster};
use tillercleat::protocol::users::JobSpec;

/// Job of a class; the classes differ in task size, run time and priority.
fn job(number: u64, tasks: u32) -> JobSpec {
    let (class, cpus, run_s, rank) = match number % 4 {
        0 => ("plans", 2.0, 24.0, "normal"),
        1 => ("lists", 1.0, 15.0, "high"),
        2 => ("reads", 1.0, 8.0, "normal"),
        _ => ("rolls", 4.0, 30.0, "idle"),
    };
    let text = serde_json::json!({
        "ref": format!("wk-{number:06}"), "haul": class, "crew": if number % 3 == 0 { "red" } else { "blue" },
        "rig": "array", "rank": rank, "loads": tasks, "cores": cpus, "gpus": 0.0, "mem_gb": 2.0 * cpus,
        "kit": format!("img-{}", number % 5), "image_gb": 0.5, "hulls": null, "berth": null, "one_zone": false,
        "apart": number % 19 == 0, "driftwood": true, "reckon_s": run_s, "mark_s": 0.0, "stow_s": 0.0, "tide_s": 4.0 * run_s + 30.0
    });
    simulator::fixtures::job_spec(text)
}

/// Submits `jobs` jobs a second until `until` (ms) and cancels some of them.
fn submit_jobs(cluster: &mut SimulatedCluster, jobs: u64, until: u64, tasks: u32) {
    for number in 0..jobs * until / 1000 {
        let at = 3000 + number * 1000 / jobs;
        let spec = job(number, 1 + (tasks + number as u32 * 37) % (2 * tasks));
        let id = spec.id.clone();
        cluster.submit(at, spec);
        if number % 23 == 0 {
            cluster.cancel(at + 20_000, &id);
        }
    }
}

fn quick_restart() -> impl Strategy<Value = u64> {
    prop_oneof![Just(50u64), Just(200), Just(300)]
}

/// Generates crashes of one, some or all controllers, up to four in a row.
fn crashes(nodes: usize) -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let which = prop_oneof![Just(1usize), 2..nodes, Just(nodes)];
    (15_000u64..60_000, which, 0..nodes, 1u64..5, 400u64..2500, quick_restart()).prop_map(
        move |(at, count, first, times, pause, restart_after)| {
            let each = |time: u64| {
                let at = at + time * pause;
                (0..count).map(move |n| (at, Fault::Crash { node: (first + n) % nodes, restart_after }))
            };
            (0..times).flat_map(each).collect()
        },
    )
}

/// Generates a crash at a crash point, together with the faults that make a rare point reachable:
/// a shard is handed over only to a node that was down, and leases are proxied only for an owner
/// that its workers can't reach.
fn crash_at_a_point(nodes: usize) -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let point = prop::sample::select(CrashPoint::ALL.to_vec());
    let late = prop_oneof![Just(None), Just(Some(0u64)), Just(Some(120)), Just(Some(900)), Just(Some(4000))];
    (10_000u64..60_000, 0..nodes, point, quick_restart(), late).prop_map(
        move |(at, node, point, restart_after, late)| {
            let planned = |node| (at, Fault::CrashAt { node, point, restart_after, late });
            let other = (node + 1) % nodes;
            match point {
                CrashPoint::ReadRecords
                | CrashPoint::GrantLease
                | CrashPoint::AnnounceNode
                | CrashPoint::ClaimShard
                | CrashPoint::BecomeLeader => {
                    vec![planned(node), (at, Fault::Crash { node, restart_after })]
                }
                CrashPoint::HandOverShard => {
                    let away = (at, Fault::Crash { node: other, restart_after: 12_000 });
                    (0..nodes).filter(|n| *n != other).map(planned).chain([away]).collect()
                }
                CrashPoint::ProxyLease => {
                    let cut = (at, Fault::LinkCut { node: other, zone: usize::MAX, for_ms: 9000, hold: false });
                    (0..nodes).filter(|n| *n != other).map(planned).chain([cut]).collect()
                }
                // The leader rents machines; any node with spare quota transfers some of it.
                CrashPoint::RecordRental | CrashPoint::RentMachines | CrashPoint::TransferQuota => {
                    (0..nodes).map(planned).collect()
                }
                CrashPoint::WriteSlices => vec![planned(node)],
            }
        },
    )
}

/// Generates further faults that coincide with the crashes.
fn other_fault() -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let outage = (20_000u64..55_000, 1000u64..16_000)
        .prop_map(|(at, for_ms)| vec![(at, Fault::StoreOutage { node: None, for_ms })]);
    let silence = (20_000u64..55_000, 0usize..3, 1000u64..9000, 0u64..8000).prop_map(|(at, node, for_ms, late)| {
        vec![(at, Fault::StoreAnswersLost { node, for_ms, carried_out_after: late })]
    });
    let peers =
        (20_000u64..55_000, 1000u64..20_000).prop_map(|(at, for_ms)| vec![(at, Fault::PeerLinksCut { for_ms })]);
    prop_oneof![2 => Just(vec![]), 1 => outage, 1 => silence, 1 => peers]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        rng_seed: proptest::test_runner::RngSeed::Fixed(23),
        failure_persistence: None,
        ..Default::default()
    })]
    #[test]
    fn quick_restarts_break_no_rule(
        seed in 1u64..1_000_000,
        crashes in proptest::collection::vec(crashes(3), 1..3),
        at_points in proptest::collection::vec(crash_at_a_point(3), 0..5),
        other in other_fault(),
    ) {
        let mut cluster = SimulatedCluster::new(seed, 10.0);
        submit_jobs(&mut cluster, 1, 60_000, 8);
        for (at, fault) in crashes.into_iter().chain(at_points).chain([other]).flatten() {
            cluster.inject_fault(at, fault);
        }
        cluster.run(700_000);
        prop_assert_eq!(cluster.problems(), [""; 0]);
    }
}

/// Covers each crash point, independent of which ones the generated cases reach. The interrupted
/// call is carried out never, immediately, or when the next process is running.
#[test]
fn a_crash_at_each_crash_point_breaks_no_rule() {
    for point in CrashPoint::ALL {
        let mut reached = 0;
        for (seed, late) in [(1, None), (2, Some(0)), (3, Some(150)), (4, Some(2500))] {
            let mut cluster = SimulatedCluster::new(seed, 10.0);
            submit_jobs(&mut cluster, 1, 60_000, 8);
            for again in 0..3u64 {
                let at = 16_000 + again * 14_000;
                let node = (again as usize + 1) % 3;
                cluster.inject_fault(at, Fault::Crash { node, restart_after: if again == 1 { 12_000 } else { 200 } });
                cluster.inject_fault(at + 100, Fault::LinkCut { node: 2, zone: 9, for_ms: 8000, hold: false });
                for node in 0..3 {
                    cluster.inject_fault(at, Fault::CrashAt { node, point, restart_after: 200, late });
                }
            }
            cluster.run(700_000);
            assert_eq!(cluster.problems(), [""; 0], "{point:?} {late:?}");
            reached += cluster.statistics.reached_crash_points.get(&point).copied().unwrap_or(0);
        }
        assert!(reached >= 4, "{point:?} was reached {reached} times");
    }
}

/// A restarted node takes over the keys of its previous process while their lease is still valid.
/// It does not wait for the lease to expire, even after repeated crashes.
#[test]
fn five_restarts_within_one_lease_keep_shard_ownership() {
    let mut cluster = SimulatedCluster::new(9, 10.0);
    submit_jobs(&mut cluster, 1, 60_000, 8);
    for again in 0..5 {
        for node in 0..3 {
            cluster.inject_fault(30_000 + again * 700, Fault::Crash { node, restart_after: 50 });
        }
    }
    cluster.run(33_500);
    let before = cluster.statistics.starts;
    cluster.run(45_000);
    assert!(cluster.statistics.starts > before, "nothing started for 11 s after the last crash");
    assert_eq!(cluster.expired_worker_leases(), 0, "workers lost their leases");
    cluster.run(700_000);
    assert_eq!(cluster.problems(), [""; 0]);
}

/// Repeated crashes with a store outage and lost machines, at the operators' fleet size or larger.
fn many_crashes(seed: u64, nodes: usize, machines: usize) {
    let mut cluster = SimulatedCluster::with_config(seed, ClusterConfig::fleet(nodes, 3, machines));
    submit_jobs(&mut cluster, machines as u64 / 250, 90_000, 60);
    for (at, restart_after) in [(35_000, 50), (36_500, 300), (38_000, 200), (51_000, 200)] {
        for node in 0..nodes {
            cluster.inject_fault(at, Fault::Crash { node, restart_after });
        }
    }
    cluster.inject_fault(46_000, Fault::StoreOutage { node: None, for_ms: 12_000 });
    for node in 0..nodes {
        cluster.inject_fault(65_000 + node as u64 * 1500, Fault::Crash { node, restart_after: 300 });
    }
    for pick in 0..machines / 14 {
        cluster.inject_fault(80_000, Fault::MachineDies { pick: pick * 3 });
    }
    for node in 0..nodes / 2 {
        cluster.inject_fault(80_200, Fault::Crash { node, restart_after: 200 });
    }
    cluster.run(78_000);
    assert_eq!(cluster.expired_worker_leases(), 0, "workers lost their leases");
    cluster.run(400_000);
    assert_eq!(cluster.problems(), [""; 0]);
}

#[test]
fn quick_restarts_at_750_machines() {
    many_crashes(31, 5, 750);
}

#[test]
fn quick_restarts_at_1130_machines() {
    many_crashes(32, 7, 1130);
}

/// Verifies that the quality-of-service check fails when no controller runs for most of the time.
#[test]
fn underserved_teams_are_reported() {
    let mut cluster = SimulatedCluster::new(8, 10.0);
    submit_jobs(&mut cluster, 1, 60_000, 8);
    for node in 0..3 {
        cluster.inject_fault(10_000, Fault::Crash { node, restart_after: 600_000 });
    }
    cluster.run(200_000);
    assert!(cluster.underserved(60_000).iter().any(|s| s.starts_with("team red")), "{:?}", cluster.served(60_000));
}
