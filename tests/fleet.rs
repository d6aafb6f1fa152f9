//! Simulations of large fleets that check the scheduling rules and the quality of service.

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

/// Submits one job a second for 90 s and returns the number of jobs.
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

/// Restarts all controllers one after the other following a store outage, with the operators' full
/// fleet of 750 machines.
#[test]
fn rolling_restart_and_store_outage_at_750_machines_break_no_rule() {
    let mut cluster = SimulatedCluster::with_config(11, ClusterConfig::fleet(5, 3, 750));
    let jobs = submit_jobs(&mut cluster);
    // The outage is longer than a worker's lease, so shard owners must keep answering heartbeats.
    cluster.inject_fault(25_000, Fault::StoreOutage { node: None, for_ms: 21_000 });
    for node in 0..5 {
        cluster.inject_fault(52_000 + node as u64 * 6000, Fault::Crash { node, restart_after: 3000 });
    }
    cluster.run(110_000);
    // Workers reached their new owners before their leases expired, so no running task was lost.
    assert_eq!(cluster.expired_worker_leases(), 0, "workers lost their leases");
    cluster.run(330_000);
    // Guards against a job that is never reported as done because its last slices finished while
    // the first slice had no owner.
    assert_eq!(cluster.problems(), [""; 0]);
    assert_eq!(cluster.jobs.len() as u64, jobs);
}

/// Crashes all controllers together, and again before the first lease expires. All of them then
/// read all records at the same time and share one request rate limit of the store.
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
    // The controllers restart at 62 s and accept the jobs submitted during the outage within 2 s.
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

/// All machines fail at the same time; replacements are rented and finish the jobs.
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

/// Guards against a record of machines to return that exceeds the store's value size limit when a
/// large fleet is idle: the store then rejected every write of it, and no machine was returned or
/// rented any more.
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

/// Submits three times the work that the fleet has capacity for and crashes two controllers. All
/// queued jobs must finish in the end, and no class or team may starve.
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
