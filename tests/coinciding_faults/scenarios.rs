//! Generators of the scenarios that the operators ask for: coinciding faults at random times.

use super::simulator::{CrashPoint, Fault};
use proptest::prelude::*;

/// Faults, each with its delay from the start of the scenario in milliseconds.
pub type Scenario = Vec<(u64, Fault)>;

/// Index of any of the three controllers.
fn node() -> impl Strategy<Value = usize> {
    0usize..3
}

/// Delay until a crashed node restarts, in milliseconds.
fn restart_after() -> impl Strategy<Value = u64> {
    prop_oneof![Just(50u64), 100u64..1000, 2000u64..9000]
}

/// Converts crashes, each given as time, node and restart delay, to faults.
fn node_crashes(crashes: Vec<(u64, usize, u64)>) -> impl Iterator<Item = (u64, Fault)> {
    crashes.into_iter().map(|(at, node, restart_after)| (at, Fault::Crash { node, restart_after }))
}

/// The store carries out transactions after newer ones of the same controller; some controllers
/// crash.
pub fn late_transactions() -> impl Strategy<Value = Scenario> {
    let crashes = proptest::collection::vec((0u64..40_000, node(), restart_after()), 0..3);
    (10u64..80, 8000u64..60_000, crashes, proptest::option::of((node(), 3000u64..20_000))).prop_map(
        |(share, for_ms, crashes, cut)| {
            let mut scenario = vec![(0, Fault::DelayedTransactions { share, for_ms })];
            scenario.extend(node_crashes(crashes));
            scenario.extend(cut.map(|(node, for_ms)| (4000, Fault::LinkCut { node, zone: 2, for_ms, hold: false })));
            scenario
        },
    )
}

/// Leaders and owners crash while tasks of the same job end far apart.
pub fn controller_crashes() -> impl Strategy<Value = Scenario> {
    proptest::collection::vec((0u64..50_000, node(), restart_after()), 2..6)
        .prop_map(|crashes| node_crashes(crashes).collect())
}

/// Nodes crash while machines are unreachable or do not receive the answers of the next owner.
pub fn unreachable_machines() -> impl Strategy<Value = Scenario> {
    let lost = prop_oneof![
        (0usize..2, 8000u64..60_000, any::<bool>()).prop_map(|(zone, for_ms, hold)| (0..3usize)
            .map(|node| (0, Fault::LinkCut { node, zone, for_ms, hold }))
            .collect::<Scenario>()),
        (1usize..4, 8000u64..60_000)
            .prop_map(|(every_nth, for_ms)| vec![(0, Fault::DownlinkLost { every_nth, for_ms })]),
    ];
    (lost, proptest::collection::vec((0u64..12_000, node(), restart_after()), 1..3)).prop_map(|(mut lost, crashes)| {
        lost.extend(node_crashes(crashes));
        lost
    })
}

/// A node loses its connections to the store and its peers, but not to its workers and users.
pub fn isolated_controller() -> impl Strategy<Value = Scenario> {
    (node(), 2000u64..70_000, proptest::option::of((0u64..40_000, 30_000u64..60_000))).prop_map(
        |(node, for_ms, outage)| {
            let mut scenario = vec![(0, Fault::ControllerIsolated { node, for_ms })];
            scenario.extend(outage.map(|(at, for_ms)| (at, Fault::StoreOutage { node: None, for_ms })));
            scenario
        },
    )
}

/// Duplicated heartbeats of earlier epochs and attempts arrive, also at owners that have just
/// started.
pub fn duplicated_heartbeats() -> impl Strategy<Value = Scenario> {
    let crashes = proptest::collection::vec((0u64..50_000, node(), restart_after()), 0..3);
    (20u64..100, 20_000u64..60_000, 4000u64..40_000, 1usize..5, 5000u64..25_000, crashes).prop_map(
        |(share, for_ms, max_delay_ms, every_nth, lost, crashes)| {
            let mut scenario = vec![(0, Fault::DuplicatedHeartbeats { share, for_ms, max_delay_ms })];
            scenario.push((3000, Fault::DownlinkLost { every_nth, for_ms: lost }));
            scenario.extend(node_crashes(crashes));
            scenario
        },
    )
}

/// The store is slow and fails for one node, then for all.
pub fn slow_store() -> impl Strategy<Value = Scenario> {
    (300u64..6000, 8000u64..50_000, node(), 0u64..20_000, proptest::option::of(5000u64..60_000)).prop_map(
        |(max_delay_ms, for_ms, node, at, outage)| {
            let mut scenario = vec![(0, Fault::SlowStore { for_ms, max_delay_ms })];
            scenario.push((at, Fault::StoreOutage { node: Some(node), for_ms: 9000 }));
            scenario.extend(outage.map(|for_ms| (at + 2000, Fault::StoreOutage { node: None, for_ms })));
            scenario
        },
    )
}

/// Answers are delayed, and machines hang and recover.
pub fn delayed_answers() -> impl Strategy<Value = Scenario> {
    let hangs = proptest::collection::vec((0u64..40_000, 0usize..20, 1000u64..14_000), 1..6);
    (1usize..4, 10_000u64..50_000, 1000u64..8000, hangs).prop_map(|(every_nth, for_ms, max_delay_ms, hangs)| {
        let mut scenario = vec![(0, Fault::DelayedAnswers { every_nth, for_ms, max_delay_ms })];
        scenario.extend(hangs.into_iter().map(|(at, pick, for_ms)| (at, Fault::MachineHangs { pick, for_ms })));
        scenario
    })
}

/// Controllers crash while shards are handed over and back; in some runs all controllers crash and
/// one restarts within a second.
pub fn crashes_during_handover() -> impl Strategy<Value = Scenario> {
    let point = proptest::sample::select(CrashPoint::ALL.to_vec());
    let planned = proptest::collection::vec(
        (0u64..30_000, node(), point, restart_after(), proptest::option::of(0u64..9000)),
        1..5,
    );
    (planned, proptest::option::of((0u64..30_000, 100u64..900, 2000u64..20_000))).prop_map(|(planned, all)| {
        let mut scenario: Scenario = vec![];
        for (at, node, point, restart_after, late) in planned {
            scenario.push((at, Fault::CrashAt { node, point, restart_after, late }));
        }
        if let Some((at, early_ms, late_ms)) = all {
            let restart_delays_by_node = [early_ms, late_ms, late_ms + 3000];
            scenario
                .extend((0..3).map(|node| (at, Fault::Crash { node, restart_after: restart_delays_by_node[node] })));
        }
        scenario
    })
}

/// Jobs are cancelled, queried and submitted again as they end; some runs add probe requests.
pub fn cancellations_at_completion() -> impl Strategy<Value = Scenario> {
    (30u64..100, 20_000u64..60_000, any::<bool>()).prop_map(|(share, for_ms, probes)| {
        let mut scenario = vec![(0, Fault::CancelAtCompletion { share, for_ms })];
        scenario.extend(probes.then_some((500, Fault::ProbeRequests { for_ms })));
        scenario
    })
}

/// Some machines, all machines or those of a zone reach no controller, while jobs are cancelled and
/// nodes crash.
pub fn machines_without_uplink() -> impl Strategy<Value = Scenario> {
    let crashes = proptest::collection::vec((0u64..30_000, node(), restart_after()), 0..3);
    let cancelled = proptest::option::of((0u64..20_000, 1usize..6, prop_oneof![Just(0u64), 500u64..20_000]));
    (1usize..4, proptest::option::of(0usize..2), 1000u64..70_000, cancelled, crashes).prop_map(
        |(every_nth, zone, for_ms, cancelled, crashes)| {
            let mut scenario = vec![(0, Fault::UplinkLost { every_nth, zone, for_ms })];
            scenario.extend(cancelled.map(|(at, count, hang_ms)| (at, Fault::CancelRunningJobs { count, hang_ms })));
            scenario.extend(node_crashes(crashes));
            scenario
        },
    )
}

/// Jobs are cancelled at once and their machines hang, for longer than a lease or than a cancelled
/// task may run, while answers are delayed.
pub fn hung_machines() -> impl Strategy<Value = Scenario> {
    let second_cancellation = proptest::option::of((1000u64..30_000, 1usize..8, 1000u64..70_000));
    let delayed = proptest::option::of((1usize..3, 5000u64..40_000, 1000u64..8000));
    let crashes = proptest::collection::vec((0u64..20_000, node(), restart_after()), 0..3);
    (1usize..9, prop_oneof![500u64..9000, 9000u64..70_000], second_cancellation, delayed, crashes).prop_map(
        |(count, hang_ms, second_cancellation, delayed, crashes)| {
            let mut scenario = vec![(0, Fault::CancelRunningJobs { count, hang_ms })];
            scenario.extend(
                second_cancellation.map(|(at, count, hang_ms)| (at, Fault::CancelRunningJobs { count, hang_ms })),
            );
            scenario.extend(delayed.map(|(every_nth, for_ms, max_delay_ms)| {
                (0, Fault::DelayedAnswers { every_nth, for_ms, max_delay_ms })
            }));
            scenario.extend(node_crashes(crashes));
            scenario
        },
    )
}

/// Jobs are cancelled at the moment when the store fails for one node; about a second later it
/// fails for all nodes, for longer than a cancelled task may run.
pub fn cancelled_between_outages() -> impl Strategy<Value = Scenario> {
    (node(), 3000u64..20_000, 700u64..1800, 42_000u64..70_000, 3usize..12, prop_oneof![Just(0u64), 500u64..30_000])
        .prop_map(|(node, refused, after, outage, count, hang_ms)| {
            vec![
                (0, Fault::StoreOutage { node: Some(node), for_ms: refused }),
                (0, Fault::CancelRunningJobs { count, hang_ms }),
                (after, Fault::StoreOutage { node: None, for_ms: outage }),
            ]
        })
}

/// Heartbeats are delayed until another owner and leader have acted, and then arrive at any node.
pub fn delayed_heartbeats() -> impl Strategy<Value = Scenario> {
    let crashes = proptest::collection::vec((0u64..30_000, node(), restart_after()), 1..5);
    (5u64..60, 10_000u64..50_000, 3000u64..60_000, crashes, any::<bool>()).prop_map(
        |(share, for_ms, max_delay_ms, crashes, cancel)| {
            let mut scenario = vec![(0, Fault::DelayedHeartbeats { share, for_ms, max_delay_ms })];
            scenario.extend(node_crashes(crashes));
            scenario.extend(cancel.then_some((6000, Fault::CancelRunningJobs { count: 4, hang_ms: 0 })));
            scenario
        },
    )
}

/// The leader and an owner crash and some machines are unreachable, while jobs of a team at its
/// limit are cancelled.
pub fn team_at_its_limit() -> impl Strategy<Value = Scenario> {
    let lost = prop_oneof![
        (1usize..4, 5000u64..40_000).prop_map(|(every_nth, for_ms)| Fault::UplinkLost {
            every_nth,
            zone: None,
            for_ms
        }),
        (1usize..4, 5000u64..40_000).prop_map(|(every_nth, for_ms)| Fault::DownlinkLost { every_nth, for_ms }),
        (node(), 0usize..2, 5000u64..40_000, any::<bool>()).prop_map(|(node, zone, for_ms, hold)| Fault::LinkCut {
            node,
            zone,
            for_ms,
            hold
        }),
    ];
    (lost, 0u64..6000, restart_after(), 0u64..9000, node(), restart_after(), 0u64..12_000, 2usize..10).prop_map(
        |(lost, leader, leader_restart, owner, node, owner_restart, cancelled, count)| {
            vec![
                (0, lost),
                (leader, Fault::LeaderCrash { restart_after: leader_restart }),
                (owner, Fault::Crash { node, restart_after: owner_restart }),
                (cancelled, Fault::CancelRunningJobs { count, hang_ms: 0 }),
            ]
        },
    )
}

/// A zone with workers and a controller is cut off, for longer than a lease or not.
pub fn isolated_zones() -> impl Strategy<Value = Scenario> {
    let cancelled = proptest::option::of((0u64..20_000, 1usize..8));
    let crashes = proptest::collection::vec((0u64..40_000, node(), restart_after()), 0..3);
    (0usize..2, 5000u64..70_000, any::<bool>(), cancelled, crashes).prop_map(
        |(zone, for_ms, hold, cancelled, crashes)| {
            let mut scenario = vec![(0, Fault::ZoneIsolated { zone, for_ms, hold })];
            scenario.extend(cancelled.map(|(at, count)| (at, Fault::CancelRunningJobs { count, hang_ms: 0 })));
            scenario.extend(node_crashes(crashes));
            scenario
        },
    )
}

/// The leader crashes ten times in two minutes, in some runs also during a store outage.
pub fn ten_leader_crashes() -> impl Strategy<Value = Scenario> {
    let crashes = proptest::collection::vec((0u64..120_000, restart_after()), 10);
    (crashes, proptest::option::of((0u64..100_000, 5000u64..50_000))).prop_map(|(crashes, outage)| {
        let mut scenario: Scenario =
            crashes.into_iter().map(|(at, restart_after)| (at, Fault::LeaderCrash { restart_after })).collect();
        scenario.extend(outage.map(|(at, for_ms)| (at, Fault::StoreOutage { node: None, for_ms })));
        scenario
    })
}

/// All controllers are down, in most runs for longer than a lease, and restart together, one by one, or
/// one long before the others.
pub fn all_controllers_down() -> impl Strategy<Value = Scenario> {
    let restart_offsets =
        prop_oneof![Just([0u64, 0, 0]), Just([0, 4000, 9000]), Just([0, 90_000, 91_000]), Just([300, 0, 700])];
    (5000u64..45_000, restart_offsets, 0usize..3, proptest::option::of((1usize..6, 500u64..30_000))).prop_map(
        |(outage_ms, restart_offsets, rotation, cancelled)| {
            let mut scenario = vec![];
            scenario.extend(cancelled.map(|(count, hang_ms)| (0, Fault::CancelRunningJobs { count, hang_ms })));
            let restart_after = |node: usize| outage_ms + restart_offsets[(node + rotation) % 3];
            scenario.extend((0..3).map(|node| (600, Fault::Crash { node, restart_after: restart_after(node) })));
            scenario
        },
    )
}

/// All controllers are down for longer than a lease and return one after the other, while tasks fail whose
/// failure nobody hears of. Copies of the heartbeats that list the failures are the first that later owners
/// receive of some machines, which are not heard for a while.
pub fn old_heartbeats_reach_new_owners() -> impl Strategy<Value = Scenario> {
    let machines = 1usize..4;
    (12_000u64..30_000, machines.clone(), 0usize..3, 3000u64..15_000, machines, 1000u64..9000).prop_map(
        |(outage_ms, failed, rotation, pause_ms, unheard, unheard_ms)| {
            let restart_after = |node: usize| outage_ms + pause_ms * ((node + rotation) % 3) as u64;
            let crashes = (0..3).map(|node| (0, Fault::Crash { node, restart_after: restart_after(node) }));
            let copies = Fault::HeartbeatsCopiedToNextOwner { for_ms: 3000, min_delay_ms: outage_ms + 2000 };
            let mut scenario: Scenario = crashes.collect();
            scenario.extend([(10, Fault::TasksFail { every_nth: failed }), (20, copies)]);
            let uplink_lost = Fault::UplinkLost { every_nth: unheard, zone: None, for_ms: unheard_ms };
            scenario.extend((1..3).map(|nth| (outage_ms + nth * pause_ms, uplink_lost.clone())));
            scenario
        },
    )
}

/// Zones lose all or some of their machines, in some runs while nodes crash.
pub fn zones_lose_machines() -> impl Strategy<Value = Scenario> {
    let losses = proptest::collection::vec((0u64..40_000, 0usize..2, 1usize..4), 1..4);
    (losses, proptest::collection::vec((0u64..40_000, node(), restart_after()), 0..3)).prop_map(|(losses, crashes)| {
        let mut scenario: Scenario =
            losses.into_iter().map(|(at, zone, every_nth)| (at, Fault::ZoneMachinesDie { zone, every_nth })).collect();
        scenario.extend(node_crashes(crashes));
        scenario
    })
}

/// All messages are delayed; in some runs the store is slow as well.
pub fn slow_links() -> impl Strategy<Value = Scenario> {
    (50u64..2500, 20_000u64..80_000, proptest::option::of((100u64..1400, 10_000u64..60_000))).prop_map(
        |(max_delay_ms, for_ms, store)| {
            let mut scenario = vec![(0, Fault::SlowLinks { for_ms, max_delay_ms })];
            scenario.extend(store.map(|(max_delay_ms, for_ms)| (2000, Fault::SlowStore { for_ms, max_delay_ms })));
            scenario
        },
    )
}
