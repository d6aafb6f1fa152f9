//! The rules and the service at the size of a large fleet.

#[allow(dead_code)]
mod simulator;

use simulator::{Fault, Shape, World};
use tillercleat::protocol::users::JobSpec;

fn job(number: u64, tasks: u32, cpus: f64, run_s: f64) -> JobSpec {
    let text = serde_json::json!({
        "ref": format!("wk-{number:06}"), "haul": "work", "crew": if number % 2 == 0 { "red" } else { "blue" },
        "rig": "array", "rank": if number % 3 == 0 { "high" } else { "normal" }, "loads": tasks,
        "cores": cpus, "gpus": 0.0, "mem_gb": 2.0, "kit": "img", "image_gb": 0.5, "hulls": null, "berth": null,
        "one_zone": false, "apart": number % 7 == 0, "driftwood": true, "reckon_s": run_s, "mark_s": 0.0,
        "stow_s": 0.0, "tide_s": null
    });
    simulator::users::job_spec(text)
}

/// One job a second for a minute and a half.
fn work(world: &mut World) -> u64 {
    for number in 0..90 {
        let tasks = 20 + (number * 37 % 120) as u32;
        world.submit(
            4000 + number * 1000,
            job(number, tasks, 1.0 + (number % 3) as f64, 10.0 + (number % 4) as f64 * 9.0),
        );
    }
    90
}

/// What the operators do at night: all controllers are rolled, and the state
/// service fails for a while; here at their full size.
#[test]
fn a_roll_and_an_outage_at_750_machines_keep_the_rules() {
    let mut world = World::sized(11, Shape::fleet(5, 3, 750));
    let jobs = work(&mut world);
    // Longer than a worker's lease: owners must go on answering.
    world.fault(25_000, Fault::StateOutage { node: None, for_ms: 21_000 });
    for node in 0..5 {
        world.fault(52_000 + node as u64 * 6000, Fault::Crash { node, back_after: 3000 });
    }
    world.run(110_000);
    // Workers found their new owners in time: nothing that ran was lost.
    assert_eq!(world.sessions_ended(), 0, "workers lost their leases");
    world.run(330_000);
    // One job's last slices were done while its first had no owner: nobody
    // called it done, ever.
    assert_eq!(world.problems(), [""; 0]);
    assert_eq!(world.jobs.len() as u64, jobs);
}

/// All controllers end together, and again before the first lease is over. All
/// read all records at once then, within one limit on requests.
#[test]
fn all_controllers_end_twice_within_a_lease_and_soon_accept_again() {
    let mut world = World::sized(12, Shape::fleet(7, 3, 750));
    work(&mut world);
    for at in [50_000, 58_000] {
        for node in 0..7 {
            world.fault(at, Fault::Crash { node, back_after: 4000 });
        }
    }
    world.run(61_999);
    let (before, refused) = (world.accepted(), world.state.limited);
    world.run(64_000);
    // Back at 62 s: what came meanwhile is accepted within 2 s.
    assert!(world.accepted() >= before + 5, "{} accepted, then {}", before, world.accepted());
    assert!(world.state.limited - refused <= 10, "{} calls refused at the start", world.state.limited - refused);
    world.run(330_000);
    assert_eq!(world.problems(), [""; 0]);
}

/// Every machine is lost at once; the fleet is built up again and does the work.
#[test]
fn every_machine_lost_at_once_is_replaced() {
    let mut world = World::sized(13, Shape::fleet(5, 1, 500));
    work(&mut world);
    world.run(40_000);
    for pick in 0..500 {
        world.fault(40_000 + pick as u64 / 10, Fault::MachineDies { pick });
    }
    world.run(400_000);
    assert_eq!(world.problems(), [""; 0]);
}

/// The record of machines on their way out outgrew a value when all of a large
/// fleet was to go: it was refused for ever, and nothing was returned or rented.
#[test]
fn a_large_fleet_without_work_is_given_back() {
    let mut world = World::sized(14, Shape::fleet(5, 3, 1600));
    world.submit(4000, job(1, 40, 1.0, 10.0));
    world.run(150_000);
    assert!(world.alive() < 80, "{} of 800 machines are still paid for", world.alive());
    world.submit(150_000, job(2, 2000, 2.0, 10.0));
    world.run(260_000);
    assert_eq!(world.problems(), [""; 0]);
}

/// Three times what the fleet can do, with two controllers lost in the midst of
/// it: whatever had to wait is done in the end, and nobody is left out.
#[test]
fn overload_at_1130_machines_leaves_nobody_out() {
    let mut world = World::sized(15, Shape::fleet(7, 3, 1130));
    for number in 0..480 {
        // The first team has a limit that is a ninth of the fleet.
        let tasks = if number % 2 == 0 { 10 + (number * 37 % 40) as u32 } else { 40 + (number * 37 % 260) as u32 };
        world.submit(
            4000 + number * 80,
            job(number, tasks, 1.0 + (number % 4) as f64, 12.0 + (number % 5) as f64 * 9.0),
        );
    }
    for node in [1, 4] {
        world.fault(25_000, Fault::Crash { node, back_after: 200 });
        world.fault(27_000, Fault::Crash { node, back_after: 8000 });
    }
    world.run(400_000);
    assert_eq!(world.problems(), [""; 0]);
}
