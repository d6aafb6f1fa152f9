//! Controllers that end and are started again within a fraction of a second:
//! several times within one lease of the state service, within one session of
//! workers, and in the middle of everything that they do.

#[allow(dead_code)]
mod simulator;

use proptest::prelude::*;
use simulator::{Fault, Moment, Shape, World};
use tillercleat::protocol::users::JobSpec;

/// Classes whose tasks differ in size, run time and priority.
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
    simulator::users::job_spec(text)
}

/// `jobs` a second until `until`; some are cancelled.
fn work(world: &mut World, jobs: u64, until: u64, tasks: u32) {
    for number in 0..jobs * until / 1000 {
        let at = 3000 + number * 1000 / jobs;
        let spec = job(number, 1 + (tasks + number as u32 * 37) % (2 * tasks));
        let id = spec.id.clone();
        world.submit(at, spec);
        if number % 23 == 0 {
            world.cancel(at + 20_000, &id);
        }
    }
}

fn quickly() -> impl Strategy<Value = u64> {
    prop_oneof![Just(50u64), Just(200), Just(300)]
}

/// Ends of one, some or all controllers, up to four times in a row.
fn ends(nodes: usize) -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let which = prop_oneof![Just(1usize), 2..nodes, Just(nodes)];
    (15_000u64..60_000, which, 0..nodes, 1u64..5, 400u64..2500, quickly()).prop_map(
        move |(at, count, first, times, pause, back_after)| {
            let each = |time: u64| {
                let at = at + time * pause;
                (0..count).map(move |n| (at, Fault::Crash { node: (first + n) % nodes, back_after }))
            };
            (0..times).flat_map(each).collect()
        },
    )
}

/// An end in the middle of something, with what brings it about if it is rare:
/// a part is handed over only to a node that was away, and kept only for an
/// owner that its workers cannot reach.
fn middle(nodes: usize) -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let moment = prop::sample::select(Moment::ALL.to_vec());
    let late = prop_oneof![Just(None), Just(Some(0u64)), Just(Some(120)), Just(Some(900)), Just(Some(4000))];
    (10_000u64..60_000, 0..nodes, moment, quickly(), late).prop_map(move |(at, node, moment, back_after, late)| {
        let trap = |node| (at, Fault::EndsAt { node, moment, back_after, late });
        let other = (node + 1) % nodes;
        match moment {
            Moment::Reads | Moment::Leases | Moment::Announces | Moment::Claims | Moment::Leads => {
                vec![trap(node), (at, Fault::Crash { node, back_after })]
            }
            Moment::HandsOver => {
                let away = (at, Fault::Crash { node: other, back_after: 12_000 });
                (0..nodes).filter(|n| *n != other).map(trap).chain([away]).collect()
            }
            Moment::Keeps => {
                let cut = (at, Fault::Cut { node: other, zone: usize::MAX, for_ms: 9000, hold: false });
                (0..nodes).filter(|n| *n != other).map(trap).chain([cut]).collect()
            }
            // Whoever leads rents; whoever has room to spare gives.
            Moment::NamesRental | Moment::Rents | Moment::GivesAllowance => (0..nodes).map(trap).collect(),
            Moment::Writes => vec![trap(node)],
        }
    })
}

/// What else may be wrong while they end.
fn trouble() -> impl Strategy<Value = Vec<(u64, Fault)>> {
    let outage = (20_000u64..55_000, 1000u64..16_000)
        .prop_map(|(at, for_ms)| vec![(at, Fault::StateOutage { node: None, for_ms })]);
    let silence = (20_000u64..55_000, 0usize..3, 1000u64..9000, 0u64..8000)
        .prop_map(|(at, node, for_ms, late)| vec![(at, Fault::StateSilence { node, for_ms, late })]);
    let peers = (20_000u64..55_000, 1000u64..20_000).prop_map(|(at, for_ms)| vec![(at, Fault::PeersCut { for_ms })]);
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
    fn quick_restarts_break_nothing(
        seed in 1u64..1_000_000,
        ends in proptest::collection::vec(ends(3), 1..3),
        middles in proptest::collection::vec(middle(3), 0..5),
        trouble in trouble(),
    ) {
        let mut world = World::new(seed, 10.0);
        work(&mut world, 1, 60_000, 8);
        for (at, fault) in ends.into_iter().chain(middles).chain([trouble]).flatten() {
            world.fault(at, fault);
        }
        world.run(700_000);
        prop_assert_eq!(world.problems(), [""; 0]);
    }
}

/// Each of these is met, whatever the generated days happen to meet: before
/// it is carried out, after, and in the time of the next life.
#[test]
fn an_end_in_the_middle_of_anything_breaks_nothing() {
    for moment in Moment::ALL {
        let mut sprung = 0;
        for (seed, late) in [(1, None), (2, Some(0)), (3, Some(150)), (4, Some(2500))] {
            let mut world = World::new(seed, 10.0);
            work(&mut world, 1, 60_000, 8);
            for again in 0..3u64 {
                let at = 16_000 + again * 14_000;
                let node = (again as usize + 1) % 3;
                world.fault(at, Fault::Crash { node, back_after: if again == 1 { 12_000 } else { 200 } });
                world.fault(at + 100, Fault::Cut { node: 2, zone: 9, for_ms: 8000, hold: false });
                for node in 0..3 {
                    world.fault(at, Fault::EndsAt { node, moment, back_after: 200, late });
                }
            }
            world.run(700_000);
            assert_eq!(world.problems(), [""; 0], "{moment:?} {late:?}");
            sprung += world.sprung.get(&moment).copied().unwrap_or(0);
        }
        assert!(sprung >= 4, "{moment:?} was met {sprung} times");
    }
}

/// A node whose earlier life's keys still live takes them over; it does not wait
/// for them to run out, however often it ends.
#[test]
fn five_ends_within_one_lease_leave_the_parts_where_they_were() {
    let mut world = World::new(9, 10.0);
    work(&mut world, 1, 60_000, 8);
    for again in 0..5 {
        for node in 0..3 {
            world.fault(30_000 + again * 700, Fault::Crash { node, back_after: 50 });
        }
    }
    world.run(33_500);
    let before = world.starts;
    world.run(45_000);
    assert!(world.starts > before, "nothing started for 11 s after the last end");
    assert_eq!(world.sessions_ended(), 0, "workers lost their leases");
    world.run(700_000);
    assert_eq!(world.problems(), [""; 0]);
}

/// The operators' worst, at their size and half as many machines again.
fn storm(seed: u64, nodes: usize, machines: usize) {
    let mut world = World::sized(seed, Shape::fleet(nodes, 3, machines));
    work(&mut world, machines as u64 / 250, 90_000, 60);
    for (at, back_after) in [(35_000, 50), (36_500, 300), (38_000, 200), (51_000, 200)] {
        for node in 0..nodes {
            world.fault(at, Fault::Crash { node, back_after });
        }
    }
    world.fault(46_000, Fault::StateOutage { node: None, for_ms: 12_000 });
    for node in 0..nodes {
        world.fault(65_000 + node as u64 * 1500, Fault::Crash { node, back_after: 300 });
    }
    for pick in 0..machines / 14 {
        world.fault(80_000, Fault::MachineDies { pick: pick * 3 });
    }
    for node in 0..nodes / 2 {
        world.fault(80_200, Fault::Crash { node, back_after: 200 });
    }
    world.run(78_000);
    assert_eq!(world.sessions_ended(), 0, "workers lost their leases");
    world.run(400_000);
    assert_eq!(world.problems(), [""; 0]);
}

#[test]
fn quick_restarts_at_750_machines() {
    storm(31, 5, 750);
}

#[test]
fn quick_restarts_at_1130_machines() {
    storm(32, 7, 1130);
}

/// The count of what is served can fail: with no controller for most of the day.
#[test]
fn a_day_on_which_little_is_served_is_told() {
    let mut world = World::new(8, 10.0);
    work(&mut world, 1, 60_000, 8);
    for node in 0..3 {
        world.fault(10_000, Fault::Crash { node, back_after: 600_000 });
    }
    world.run(200_000);
    assert!(world.starved(60_000).iter().any(|s| s.starts_with("team red")), "{:?}", world.served(60_000));
}
