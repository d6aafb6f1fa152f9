//! Every accepted job runs or stays known: when answers don't reach machines,
//! when copies of reports come late, and when a controller is left alone with
//! its workers.

#[allow(dead_code)]
mod simulator;

use proptest::prelude::*;
use simulator::{Fault, Shape, World};
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
    simulator::users::job_spec(text)
}

fn work(world: &mut World, every: u64, until: u64, tasks: u32) {
    for number in 0..until / every {
        let spec = job(number, 1 + (tasks + number as u32 * 37) % (2 * tasks));
        let (at, id) = (3000 + number * every, spec.id.clone());
        world.submit(at, spec);
        if number % 17 == 5 {
            world.cancel(at + 8000, &id);
        }
    }
}

/// The troubles, from much less to much more than what the rules count with:
/// answers that die after 4 s, a worker's lease of 10 s, a horizon of some 28 s.
fn trouble() -> impl Strategy<Value = Vec<Fault>> {
    let long = || prop_oneof![300u64..4000, 6000u64..14_000, 20_000u64..70_000];
    let node = 0usize..3;
    prop_oneof![
        3 => (1usize..5, long()).prop_map(|(each, for_ms)| vec![Fault::Deaf { each, for_ms }]),
        2 => (node.clone(), long()).prop_map(|(node, for_ms)| vec![Fault::Mute { node, for_ms }]),
        2 => (10_000u64..60_000, prop_oneof![500u64..5000, 8000u64..30_000])
            .prop_map(|(for_ms, late)| vec![Fault::Copies { share: 100, for_ms, late }]),
        2 => (node.clone(), 1usize..3, long()).prop_map(|(first, count, for_ms)| {
            (0..count).map(|n| Fault::Alone { node: (first + n) % 3, for_ms: for_ms + 700 * n as u64 }).collect()
        }),
    ]
}

/// What comes with them.
fn other() -> impl Strategy<Value = Fault> {
    let node = 0usize..3;
    let back = prop_oneof![Just(50u64), Just(300), 2000u64..8000];
    prop_oneof![
        3 => (node.clone(), back).prop_map(|(node, back_after)| Fault::Crash { node, back_after }),
        1 => (1000u64..15_000).prop_map(|for_ms| Fault::StateOutage { node: None, for_ms }),
        1 => (1000u64..20_000).prop_map(|for_ms| Fault::PeersCut { for_ms }),
        1 => (node.clone(), 0usize..3, 1000u64..30_000, any::<bool>())
            .prop_map(|(node, zone, for_ms, hold)| Fault::Cut { node, zone, for_ms, hold }),
        1 => (0usize..50).prop_map(|pick| Fault::MachineDies { pick }),
        1 => (0usize..50, 500u64..20_000).prop_map(|(pick, for_ms)| Fault::MachineHangs { pick, for_ms }),
        1 => (node, 500u64..20_000).prop_map(|(node, for_ms)| Fault::StandsStill { node, for_ms }),
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
    fn nobody_is_forgotten_whatever_is_lost(
        seed in 1u64..1_000_000,
        troubles in proptest::collection::vec((15_000u64..60_000, trouble()), 1..4),
        others in proptest::collection::vec((15_000u64..80_000, other()), 0..4),
    ) {
        let mut world = World::new(seed, 10.0);
        work(&mut world, 1500, 70_000, 8);
        for (at, faults) in troubles {
            faults.into_iter().for_each(|fault| world.fault(at, fault));
        }
        for (at, fault) in others {
            world.fault(at, fault);
        }
        world.run(600_000);
        prop_assert_eq!(world.problems(), [""; 0]);
    }
}

/// A third of the machines hear nothing any more, for good. What was on them
/// runs elsewhere, and they are given back; the others are not.
#[test]
fn machines_that_hear_nothing_are_given_up_and_given_back() {
    let mut world = World::new(5, 10.0);
    work(&mut world, 1500, 120_000, 8);
    world.fault(30_000, Fault::Deaf { each: 3, for_ms: 10_000_000 });
    world.run(200_000);
    assert_eq!(world.deaf(), 0, "machines that hear nothing are still paid for");
    assert!(world.lost_starts() < 400, "{} starts sent to machines that hear nothing", world.lost_starts());
    // Nothing presses: few machines do.
    world.run(900_000);
    assert_eq!(world.problems(), [""; 0]);
}

/// A controller whose answers alone are lost hands its parts over before its
/// workers have killed their tasks time and again.
#[test]
fn an_owner_whose_answers_are_lost_hands_over() {
    let mut world = World::new(7, 10.0);
    work(&mut world, 1500, 90_000, 8);
    world.fault(30_000, Fault::Mute { node: 0, for_ms: 120_000 });
    world.run(150_000);
    let machines = world.alive() as u64;
    assert!(world.sessions_ended() <= machines / 2, "{} sessions of {machines} machines", world.sessions_ended());
    world.run(500_000);
    assert_eq!(world.problems(), [""; 0]);
}

/// Copies of reports of machines that are dead: they bring nothing back to life
/// and put nothing off.
#[test]
fn late_copies_bring_no_machine_back() {
    let ended = |copies: bool| {
        let mut world = World::new(9, 10.0);
        work(&mut world, 1500, 36_000, 8);
        if copies {
            world.fault(20_000, Fault::Copies { share: 100, for_ms: 100_000, late: 45_000 });
        }
        for pick in 0..6 {
            world.fault(40_000 + pick * 10, Fault::MachineDies { pick: 3 * pick as usize });
        }
        world.run(500_000);
        assert_eq!(world.problems(), [""; 0]);
        world.last_done()
    };
    let (without, with) = (ended(false), ended(true));
    assert!(with < without + 12_000, "{with} ms with copies, {without} without");
}

/// All of it once at one and a half times the operators' size.
#[test]
fn the_same_at_1130_machines() {
    let mut world = World::sized(11, Shape::fleet(7, 3, 1130));
    work(&mut world, 120, 70_000, 60);
    world.fault(20_000, Fault::Deaf { each: 3, for_ms: 30_000 });
    world.fault(25_000, Fault::Copies { share: 100, for_ms: 50_000, late: 40_000 });
    world.fault(30_000, Fault::Mute { node: 2, for_ms: 25_000 });
    for node in [4, 5] {
        world.fault(45_000, Fault::Alone { node, for_ms: 40_000 });
    }
    for node in 0..7 {
        world.fault(58_000 + 400 * node as u64, Fault::Crash { node, back_after: 200 });
    }
    world.run(500_000);
    assert_eq!(world.problems(), [""; 0]);
}
