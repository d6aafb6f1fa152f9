//! Tests of drivers that crash, freeze, compete for leadership and lose the state service: the
//! roll-out has the same outcome as without faults, and no step is repeated or skipped.

mod world;

use tillercleat_rollout::record::{Command, Phase, RolloutProgress, Service};
use world::{three_step_rollout, FaultRates, ReplicaBehavior, SimulatedCluster};

const SERVICE: &str = "routeplan";
const HOUR_MS: u64 = 3_600_000;

fn progress(cluster: &SimulatedCluster) -> RolloutProgress {
    let rollout = cluster.service(SERVICE).and_then(|s| s.rollout).expect("the service has a roll-out");
    rollout.progress
}

fn is_finished(cluster: &mut SimulatedCluster) -> bool {
    let replaced = cluster.service(SERVICE).is_some_and(|s| s.members.iter().all(|m| !m.retiring));
    replaced
        && matches!(progress(cluster), RolloutProgress::Completed | RolloutProgress::Reverted | RolloutProgress::Halted)
}

/// Cluster in which all six replicas run v1.
fn cluster_running_v1(seed: u64, nodes: usize) -> SimulatedCluster {
    let mut cluster = SimulatedCluster::new(seed, nodes);
    assert_eq!(cluster.start(&three_step_rollout("v1", "")).status, 200);
    assert!(cluster.run(HOUR_MS, is_finished), "the first roll-out did not finish");
    assert_eq!((progress(&cluster), cluster.running("v1")), (RolloutProgress::Completed, 6));
    cluster
}

/// Checks that consecutive records are valid transitions, and that no job is left running without a record.
fn assert_invariants(cluster: &SimulatedCluster) {
    let rollout_of = |s: &Service| s.rollout.clone().expect("the service has a roll-out");
    for pair in cluster.records.windows(2) {
        let (before, after) = (rollout_of(&pair[0].2), rollout_of(&pair[1].2));
        assert!(pair[1].2.recorded_replicas() <= after.ceiling);
        if before.number != after.number {
            continue;
        }
        if after.step != before.step {
            assert_eq!((after.step, before.phase), (before.step + 1, Phase::Baking), "a step was skipped or repeated");
        }
        if before.phase == Phase::Reverting {
            assert_eq!(after.phase, Phase::Reverting);
        }
    }
    // A job id is never reused for another version.
    let mut versions = std::collections::BTreeMap::new();
    for (_, _, service) in &cluster.records {
        for member in &service.members {
            assert_eq!(*versions.entry(member.job.clone()).or_insert(member.version), member.version);
        }
    }
    // Every job that is not withdrawn is a member in the last record.
    let last = cluster.service(SERVICE).expect("the service has a record");
    for (id, job) in &cluster.jobs {
        assert!(
            job.withdrawn_at.is_some() || last.members.iter().any(|m| m.job == *id),
            "{id} still runs but is not in the record"
        );
    }
}

/// Runs a roll-out of v2 to its end, calls `disturb` after each step of the simulation, and checks
/// the invariants of its records. Returns the outcome.
fn roll_out_v2(cluster: &mut SimulatedCluster, mut disturb: impl FnMut(&mut SimulatedCluster)) -> RolloutProgress {
    assert_eq!(cluster.start(&three_step_rollout("v2", "")).status, 200);
    let ended = cluster.run(HOUR_MS, |sim| {
        disturb(sim);
        is_finished(sim)
    });
    assert!(ended, "did not finish: {:#?}", cluster.service(SERVICE));
    assert_invariants(cluster);
    progress(cluster)
}

#[test]
fn healthy_version_is_rolled_out_and_faulty_version_is_reverted() {
    let mut cluster = cluster_running_v1(1, 2);
    assert_eq!(roll_out_v2(&mut cluster, |_| ()), RolloutProgress::Completed);
    assert_eq!((cluster.running("v1"), cluster.running("v2")), (0, 6));

    for behavior in [
        ReplicaBehavior::FailsAfter(0),
        ReplicaBehavior::FailsAfter(3000),
        ReplicaBehavior::HangsAfter(3000),
        ReplicaBehavior::ExitsAfter(2000),
    ] {
        let mut cluster = cluster_running_v1(2, 2);
        cluster.behaviors.insert("v2".into(), behavior);
        assert_eq!(roll_out_v2(&mut cluster, |_| ()), RolloutProgress::Reverted, "{behavior:?}");
        assert_eq!((cluster.running("v1"), cluster.running("v2")), (6, 0), "{behavior:?}");
        let rollouts = cluster.records.iter().filter_map(|r| r.2.rollout.as_ref()).filter(|r| r.number == 2);
        assert_eq!(rollouts.map(|r| r.step).max(), Some(0), "{behavior:?}: a later step started");
    }
}

/// A flapping check never passes a bake, whatever its period.
#[test]
fn flapping_check_reverts_the_rollout() {
    for period_ms in [700, 1500, 3000] {
        let mut cluster = cluster_running_v1(3, 1);
        cluster.behaviors.insert("v2".into(), ReplicaBehavior::Flaps(period_ms));
        assert_eq!(roll_out_v2(&mut cluster, |_| ()), RolloutProgress::Reverted, "{period_ms}");
    }
}

/// Drivers crash before and after writes, calls are lost or take effect up to 7.6 s late, and the
/// state service has outages.
#[test]
fn crashes_and_outages_do_not_change_the_outcome() {
    let mut crashes = 0;
    for seed in 0..60 {
        for (behavior, expected) in [
            (ReplicaBehavior::Healthy, RolloutProgress::Completed),
            (ReplicaBehavior::FailsAfter(4000), RolloutProgress::Reverted),
        ] {
            let mut cluster = cluster_running_v1(seed, 2);
            cluster.behaviors.insert("v2".into(), behavior);
            cluster.fault_rates = FaultRates { lost: 20, late: 40, crash_before: 60, crash_after: 60 };
            let outages = seed % 3 == 0;
            let ended = roll_out_v2(&mut cluster, |sim| {
                if outages && sim.random(600) == 0 {
                    sim.outage_until = sim.now + 1000 + sim.random(20_000);
                }
            });
            assert_eq!(ended, expected, "seed {seed}, {behavior:?}");
            let running = if expected == RolloutProgress::Completed { (0, 6) } else { (6, 0) };
            assert_eq!((cluster.running("v1"), cluster.running("v2")), running, "seed {seed}");
            crashes += cluster.crashes;
        }
    }
    assert!(crashes > 300, "the drivers crashed only {crashes} times");
}

/// Only observed time counts towards the bake: a driver crash may lose the part since the last
/// record, but never shortens the bake.
#[test]
fn driver_restart_does_not_shorten_bake() {
    let mut cluster = cluster_running_v1(5, 1);
    let (mut bake_started, mut next_crash, mut done_crashing) = (None, 0, false);
    roll_out_v2(&mut cluster, |sim| {
        let rollout = sim.service(SERVICE).and_then(|s| s.rollout).expect("the service has a roll-out");
        if rollout.step == 0 && rollout.phase == Phase::Baking {
            bake_started.get_or_insert(sim.now);
            if sim.now >= next_crash && !done_crashing {
                sim.crash(0);
                done_crashing = sim.now > bake_started.unwrap_or(0) + 20_000;
                next_crash = sim.now + 4000;
            }
        }
        if rollout.step == 1 {
            assert!(sim.now >= bake_started.expect("step 0 baked") + 6000 || next_crash == u64::MAX);
            next_crash = u64::MAX;
        }
    });
    assert!(cluster.crashes >= 3);
}

/// The leader freezes, another driver takes over, and the old leader resumes with its stale state.
#[test]
fn frozen_leader_does_not_disturb_its_successor() {
    for seed in 0..20 {
        let mut cluster = cluster_running_v1(100 + seed, 2);
        let mut next_freeze = 0;
        let ended = roll_out_v2(&mut cluster, |sim| {
            if sim.now >= next_freeze {
                next_freeze = sim.now + 9000 + sim.random(8000);
                let leader = usize::from(!sim.nodes[0].driver.is_leader());
                sim.nodes[leader].frozen_until = sim.now + 5000 + sim.random(4000);
            }
        });
        assert_eq!(ended, RolloutProgress::Completed, "seed {seed}");
    }
}

#[test]
fn conflicting_commands_are_refused_with_a_reason() {
    let mut cluster = cluster_running_v1(7, 2);
    assert_eq!(cluster.start(&three_step_rollout("v2", "")).status, 200);
    let refused = cluster.start(&three_step_rollout("v3", ""));
    assert_eq!(refused.status, 409);
    assert!(
        refused.body["error"].as_str().is_some_and(|e| e.contains("v2") && e.contains("step 1 of 3")),
        "{refused:?}"
    );
    assert!(cluster.run(HOUR_MS, |sim| sim.service(SERVICE).and_then(|s| s.rollout).is_some_and(|r| r.step == 1)));
    assert_eq!(cluster.command(SERVICE, Command::Pause).status, 200);
    assert_eq!(cluster.command(SERVICE, Command::Pause).status, 409);
    let step = |sim: &SimulatedCluster| sim.service(SERVICE).and_then(|s| s.rollout).map(|r| r.step);
    assert!(!cluster.run(120_000, |sim| step(sim) != Some(1)), "a paused roll-out continued");
    assert_eq!(cluster.command(SERVICE, Command::Revert).status, 200);
    assert_eq!(cluster.command(SERVICE, Command::Revert).status, 409);
    // An abort during a revert halts the roll-out, which can then be resumed.
    cluster.run(1500, |_| false);
    assert_eq!(cluster.command(SERVICE, Command::Abort).status, 200);
    cluster.run(30_000, |_| false);
    assert_eq!(progress(&cluster), RolloutProgress::Halted);
    assert_eq!(cluster.command(SERVICE, Command::Resume).status, 200);
    assert!(cluster.run(HOUR_MS, is_finished));
    assert_eq!((progress(&cluster), cluster.running("v1"), cluster.running("v2")), (RolloutProgress::Reverted, 6, 0));
    assert_eq!(cluster.command(SERVICE, Command::Resume).status, 409);
    assert_eq!(cluster.command("nothing", Command::Pause).status, 404);
    assert_invariants(&cluster);
}

/// A machine lost during a bake does not count against the version: its replica restarts
/// elsewhere and the bake continues.
#[test]
fn lost_machines_do_not_fail_the_rollout() {
    let mut cluster = cluster_running_v1(8, 1);
    let mut lost = 0;
    let ended = roll_out_v2(&mut cluster, |sim| {
        let service = sim.service(SERVICE).expect("the service has a record");
        let baking = service.rollout.as_ref().is_some_and(|r| r.phase == Phase::Baking);
        if baking && lost < 4 && sim.random(60) == 0 {
            if let Some(member) = service.active_members().find(|m| m.version.0 == 2) {
                sim.lose_machine(&member.job.clone(), 0, 5000);
                lost += 1;
            }
        }
    });
    assert_eq!((ended, lost), (RolloutProgress::Completed, 4));
}

/// If there is no capacity for the surplus, or the driver cannot reach the replicas, the step's
/// deadline halts the roll-out. It does not revert: that would need the same capacity, and there
/// is no evidence that v2 is faulty.
#[test]
fn missing_capacity_or_partitioned_driver_halts_without_revert() {
    let mut cluster = cluster_running_v1(9, 1);
    cluster.capacity = 6;
    assert_eq!(roll_out_v2(&mut cluster, |_| ()), RolloutProgress::Halted);
    let reason = cluster.service(SERVICE).and_then(|s| s.rollout).and_then(|r| r.reason).unwrap_or_default();
    assert!(reason.contains("no machine"), "{reason}");
    assert_eq!(cluster.running("v1"), 6);

    let mut cluster = cluster_running_v1(10, 1);
    cluster.nodes[0].partitioned = true;
    assert_eq!(roll_out_v2(&mut cluster, |_| ()), RolloutProgress::Halted);
    let reason = cluster.service(SERVICE).and_then(|s| s.rollout).and_then(|r| r.reason).unwrap_or_default();
    assert!(reason.contains("checked"), "{reason}");
    // The same holds if another controller can still reach the replicas.
    let mut cluster = cluster_running_v1(11, 2);
    let leader = usize::from(!cluster.nodes[0].driver.is_leader());
    cluster.nodes[leader].partitioned = true;
    assert_eq!(roll_out_v2(&mut cluster, |_| ()), RolloutProgress::Halted);
}

/// A zone is lost during a step. If it recovers in time, the step continues; if not, the roll-out
/// halts instead of reverting, and no old replica is withdrawn for the lost ones.
#[test]
fn lost_zone_is_awaited_until_the_step_deadline() {
    for (outage_ms, expected) in [(20_000, RolloutProgress::Completed), (HOUR_MS, RolloutProgress::Halted)] {
        let mut cluster = cluster_running_v1(12, 2);
        let mut file = three_step_rollout("v2", "");
        file.steps[1].zone = Some("a".into());
        assert_eq!(cluster.start(&file).status, 200);
        let mut lost = false;
        let ended = cluster.run(HOUR_MS, |sim| {
            let service = sim.service(SERVICE).expect("the service has a record");
            let in_zone = |sim: &SimulatedCluster| sim.jobs.values().filter(|j| j.zone.as_deref() == Some("a")).count();
            if !lost && service.rollout.as_ref().is_some_and(|r| r.step == 1 && r.phase == Phase::Baking) {
                assert_eq!(in_zone(sim), 2, "the step's replicas are not in its zone");
                let jobs: Vec<_> =
                    service.active_members().filter(|m| m.zone.is_some()).map(|m| m.job.clone()).collect();
                jobs.iter().for_each(|job| sim.lose_machine(job, 0, outage_ms));
                lost = true;
            }
            assert!(!lost || sim.running("v1") >= 3 || progress(sim) == RolloutProgress::Completed || step(sim) > 1);
            is_finished(sim)
        });
        assert!(ended && lost);
        assert_eq!(progress(&cluster), expected);
    }
}

/// A submission that takes effect only after its job was withdrawn must not start the job once its
/// member has been removed from the record.
#[test]
fn submission_executed_after_the_withdrawal_starts_no_replica() {
    let mut cluster = cluster_running_v1(14, 2);
    cluster.held_submissions = Some(("v2".into(), cluster.now + 60_000));
    let mut file = three_step_rollout("v2", "");
    file.max_unavailable = 1;
    assert_eq!(cluster.start(&file).status, 200);
    assert!(cluster.run(5000, |sim| sim.service(SERVICE).is_some_and(|s| s.members.len() > 6)));
    cluster.run(300, |_| false);
    assert_eq!(cluster.command(SERVICE, Command::Revert).status, 200);
    assert!(cluster.run(HOUR_MS, is_finished));
    assert_eq!(progress(&cluster), RolloutProgress::Reverted);
    cluster.run(90_000, |_| false);
    assert_invariants(&cluster);
    assert_eq!((cluster.running("v1"), cluster.running("v2")), (6, 0));
}

fn step(cluster: &SimulatedCluster) -> u32 {
    cluster.service(SERVICE).and_then(|s| s.rollout).map_or(0, |r| r.step)
}

/// Hanging checks used to occupy all check threads until the first of them timed out, which delayed
/// the checks of every other service.
#[test]
fn hanging_checks_do_not_delay_other_services() {
    let rollout_time_of_second = |hangs: bool| {
        let mut cluster = SimulatedCluster::with_checks(13, 1, 8);
        let second_file = |version: &str| {
            let mut file = three_step_rollout(version, "");
            file.service = "second".into();
            file
        };
        cluster.start(&three_step_rollout("v1", ""));
        cluster.start(&second_file("v1"));
        let done = |sim: &SimulatedCluster, name: &str| {
            sim.service(name).and_then(|s| s.rollout).is_some_and(|r| r.progress == RolloutProgress::Completed)
        };
        assert!(cluster.run(HOUR_MS, |sim| done(sim, SERVICE) && done(sim, "second")));
        let mut hanging = three_step_rollout("bad", "");
        hanging.check.timeout_s = 20.0;
        hanging.steps = hanging.steps.split_off(2);
        (hanging.replicas, hanging.max_surplus, hanging.steps[0].replicas) = (12, 12, Some(12));
        if hangs {
            cluster.behaviors.insert("bad".into(), ReplicaBehavior::HangsAfter(0));
            cluster.start(&hanging);
            cluster.run(10_000, |_| false);
            assert_eq!(cluster.running("bad"), 12);
        }
        let started = cluster.now;
        cluster.start(&second_file("v2"));
        assert!(cluster.run(HOUR_MS, |sim| sim
            .service("second")
            .and_then(|s| s.rollout)
            .is_some_and(|r| r.number == 2 && r.progress == RolloutProgress::Completed)));
        cluster.now - started
    };
    let (baseline, with_hanging) = (rollout_time_of_second(false), rollout_time_of_second(true));
    assert!(with_hanging <= baseline + baseline / 4, "{baseline} ms without and {with_hanging} ms with hanging checks");
}
