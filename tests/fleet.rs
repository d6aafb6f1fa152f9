//! The rules and how well jobs are served at the size of a large fleet.

#[allow(dead_code)]
mod simulator;

use simulator::{ClusterConfig, Fault, SimulatedCluster};
use tillercleat::protocol::users::JobSpec;

fn job(number: u64, tasks: u32, cpus: f64, run_s: f64) -> JobSpec {
    let text = serde_json::json!({
        "ref": format!("wk-{number:06}"), "haul": "work", "crew": if number % 2 == 0 { "red" } else { "blue" },
        "rig": "array", "rank": if number % 3 == 0 { "high" } else { "normal" }, "loads": tasks,
        "cores": cpus, "gpus": 0.0, "mem_gb": 2.0, "kit": "img", "image_gb": 0.5, "hulls": null, "berth": null,
        "one_zone": false, "apart": number % 7 == 0, "driftwood": true, "reckon_s": run_s, "mark_s": 0.0,
        "stow_s": 0.0, "tide_s": null
    });
    simulator::fixtures::job_spec(text)
}

/// One job a second for a minute and a half.
fn submit_jobs(cluster: &mut SimulatedCluster) -> u64 {
    for number in 0..90 {
        let tasks = 20 + (number * 37 % 120) as u32;
        cluster.submit(
            4000 + number * 1000,
            job(number, tasks, 1.0 + (number % 3) as f64, 10.0 + (number % 4) as f64 * 9.0),
        );
    }
    90
}

/// All controllers are restarted one after the other, and the store fails for a while, at the
/// operators' full size.
#[test]
fn rolling_restart_and_store_outage_at_750_machines_break_no_rule() {
    let mut cluster = SimulatedCluster::with_config(11, ClusterConfig::fleet(5, 3, 750));
    let jobs = submit_jobs(&mut cluster);
    // Longer than a worker's lease: owners must go on answering.
    cluster.inject_fault(25_000, Fault::StoreOutage { node: None, for_ms: 21_000 });
    for node in 0..5 {
        cluster.inject_fault(52_000 + node as u64 * 6000, Fault::Crash { node, restart_after: 3000 });
    }
    cluster.run(110_000);
    // Workers found their new owners in time: nothing that ran was lost.
    assert_eq!(cluster.expired_worker_leases(), 0, "workers lost their leases");
    cluster.run(330_000);
    // A job whose last slices were done while the first had no owner was never reported as done.
    assert_eq!(cluster.problems(), [""; 0]);
    assert_eq!(cluster.jobs.len() as u64, jobs);
}

/// All controllers crash together, and again before the first lease is over. Then all of them
/// read all records at once, within one limit on requests.
#[test]
fn all_controllers_crash_twice_within_a_lease_and_accept_jobs_within_2_s() {
    let mut cluster = SimulatedCluster::with_config(12, ClusterConfig::fleet(7, 3, 750));
    submit_jobs(&mut cluster);
    for at in [50_000, 58_000] {
        for node in 0..7 {
            cluster.inject_fault(at, Fault::Crash { node, restart_after: 4000 });
        }
    }
    cluster.run(61_999);
    let (accepted_before, limited_before) = (cluster.accepted_jobs(), cluster.store.rate_limited_calls);
    cluster.run(64_000);
    // They are back at 62 s: what was submitted meanwhile is accepted within 2 s.
    assert!(
        cluster.accepted_jobs() >= accepted_before + 5,
        "{} accepted, then {}",
        accepted_before,
        cluster.accepted_jobs()
    );
    assert!(
        cluster.store.rate_limited_calls - limited_before <= 10,
        "{} calls refused at the start",
        cluster.store.rate_limited_calls - limited_before
    );
    cluster.run(330_000);
    assert_eq!(cluster.problems(), [""; 0]);
}

/// Every machine is lost at once; new ones are rented and run the jobs.
#[test]
fn every_machine_lost_at_once_is_replaced() {
    let mut cluster = SimulatedCluster::with_config(13, ClusterConfig::fleet(5, 1, 500));
    submit_jobs(&mut cluster);
    cluster.run(40_000);
    for pick in 0..500 {
        cluster.inject_fault(40_000 + pick as u64 / 10, Fault::MachineDies { pick });
    }
    cluster.run(400_000);
    assert_eq!(cluster.problems(), [""; 0]);
}

/// The record of machines to be returned exceeded the store's limit on values when all of a large
/// fleet was idle: it was rejected for ever, and nothing was returned or rented.
#[test]
fn a_large_idle_fleet_is_scaled_in() {
    let mut cluster = SimulatedCluster::with_config(14, ClusterConfig::fleet(5, 3, 1600));
    cluster.submit(4000, job(1, 40, 1.0, 10.0));
    cluster.run(150_000);
    assert!(cluster.running_machines() < 80, "{} of 800 machines are still paid for", cluster.running_machines());
    cluster.submit(150_000, job(2, 2000, 2.0, 10.0));
    cluster.run(260_000);
    assert_eq!(cluster.problems(), [""; 0]);
}

/// Three times what the fleet can do, with two controllers lost meanwhile: whatever had to wait
/// is done in the end, and no class or team is starved.
#[test]
fn overload_at_1130_machines_starves_no_job() {
    let mut cluster = SimulatedCluster::with_config(15, ClusterConfig::fleet(7, 3, 1130));
    for number in 0..480 {
        // The first team has a limit that is a ninth of the fleet.
        let tasks = if number % 2 == 0 { 10 + (number * 37 % 40) as u32 } else { 40 + (number * 37 % 260) as u32 };
        cluster.submit(
            4000 + number * 80,
            job(number, tasks, 1.0 + (number % 4) as f64, 12.0 + (number % 5) as f64 * 9.0),
        );
    }
    for node in [1, 4] {
        cluster.inject_fault(25_000, Fault::Crash { node, restart_after: 200 });
        cluster.inject_fault(27_000, Fault::Crash { node, restart_after: 8000 });
    }
    cluster.run(400_000);
    assert_eq!(cluster.problems(), [""; 0]);
}
