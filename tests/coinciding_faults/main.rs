//! Two or more faults at the same time; the simulated cluster checks the rules independently of
//! the controllers. `MEETING_CASES` overrides the default number of cases of each property test.

mod scenarios;
#[allow(dead_code)]
#[path = "../simulator/mod.rs"]
mod simulator;

use proptest::prelude::*;
use scenarios::{
    all_controllers_down, cancellations_at_completion, cancelled_between_outages, controller_crashes,
    crashes_during_handover, delayed_answers, delayed_heartbeats, duplicated_heartbeats, hung_machines,
    isolated_controller, isolated_zones, late_transactions, machines_without_uplink, old_heartbeats_reach_new_owners,
    slow_links, slow_store, team_at_its_limit, ten_leader_crashes, unreachable_machines, zones_lose_machines, Scenario,
};
use simulator::{ClusterConfig, Fault, SimulatedCluster};
use tillercleat::protocol::users::{JobKind, JobSpec};

fn config(default_cases: u32) -> ProptestConfig {
    let requested = std::env::var("MEETING_CASES").ok().and_then(|text| text.parse().ok());
    ProptestConfig {
        cases: requested.unwrap_or(default_cases),
        rng_seed: proptest::test_runner::RngSeed::Fixed(34),
        failure_persistence: None,
        max_shrink_iters: 60,
        ..Default::default()
    }
}

fn job(number: usize, tasks: u32, run_s: f64, dependencies: Option<usize>) -> JobSpec {
    let (team, rank) = if number % 2 == 0 { ("red", "high") } else { ("blue", "normal") };
    let text = serde_json::json!({
        "ref": format!("wk-{number:06}"), "haul": "work", "crew": team, "rig": "array", "rank": rank,
        "loads": tasks, "cores": 1.0, "mem_gb": 2.0, "kit": "img", "image_gb": 0.5, "driftwood": true,
        "reckon_s": run_s, "mark_s": 5.0, "stow_s": 4.0,
        "awaits": dependencies.map(|n| vec![format!("wk-{n:06}")]).unwrap_or_default()
    });
    simulator::fixtures::job_spec(text)
}

/// The operators' settings for workers, in milliseconds.
#[derive(Debug, Clone, Copy)]
struct Timing {
    heartbeat_ms: u64,
    lease_ms: u64,
    cancel_ms: u64,
}

const SHORT_CANCEL: Timing = Timing { heartbeat_ms: 800, lease_ms: 10_000, cancel_ms: 16_000 };

fn timing() -> impl Strategy<Value = Timing> {
    prop_oneof![
        Just(Timing { heartbeat_ms: 1000, lease_ms: 10_000, cancel_ms: 40_000 }),
        Just(Timing { heartbeat_ms: 3000, lease_ms: 17_500, cancel_ms: 47_500 }),
        Just(SHORT_CANCEL),
    ]
}

/// Creates a small cluster with these worker settings.
fn small_cluster(seed: u64, timing: Timing) -> SimulatedCluster {
    let Timing { heartbeat_ms, lease_ms, cancel_ms } = timing;
    SimulatedCluster::with_config(seed, ClusterConfig { heartbeat_ms, lease_ms, cancel_ms, ..ClusterConfig::small() })
}

/// Injects the faults of a scenario that starts at `at`.
fn inject(cluster: &mut SimulatedCluster, at: u64, scenario: Scenario) {
    for (after, fault) in scenario {
        cluster.inject_fault(at + after, fault);
    }
}

/// An outage of the store for one node, while others confirm cancellations, and then an outage for
/// all nodes. Times are in milliseconds.
#[derive(Debug, Clone)]
struct TwoOutages {
    at: u64,
    node: usize,
    node_outage_ms: u64,
    /// From the start of the node's outage to the start of the outage for all.
    all_outage_after_ms: u64,
    all_outage_ms: u64,
    /// Delay after which the store carries out the node's last transactions before its outage; their
    /// answers are lost. None if the transactions are not affected.
    commit_delay_ms: Option<u64>,
    /// A crash: its time after the start of the node's outage, and the index of the crashing node.
    crash: Option<(u64, usize)>,
}

fn two_outages() -> impl Strategy<Value = TwoOutages> {
    let all_outage_after_ms = prop_oneof![0u64..400, 400u64..12_000];
    let crash = proptest::option::of((0u64..20_000, 0usize..3));
    (
        0u64..15_000,
        0usize..3,
        2000u64..30_000,
        all_outage_after_ms,
        30_000u64..75_000,
        proptest::option::of(2000u64..12_000),
        crash,
    )
        .prop_map(|(at, node, node_outage_ms, all_outage_after_ms, all_outage_ms, commit_delay_ms, crash)| {
            TwoOutages { at, node, node_outage_ms, all_outage_after_ms, all_outage_ms, commit_delay_ms, crash }
        })
}

impl TwoOutages {
    /// Injects the faults at their times after `from`. Returns the end of the outage for all.
    fn inject(&self, cluster: &mut SimulatedCluster, from: u64) -> u64 {
        let at = from + self.at;
        if let Some(commit_delay_ms) = self.commit_delay_ms {
            cluster.inject_fault(
                at.saturating_sub(600),
                Fault::StoreAnswersLost { node: self.node, for_ms: 600, carried_out_after: commit_delay_ms },
            );
        }
        cluster.inject_fault(at, Fault::StoreOutage { node: Some(self.node), for_ms: self.node_outage_ms });
        cluster
            .inject_fault(at + self.all_outage_after_ms, Fault::StoreOutage { node: None, for_ms: self.all_outage_ms });
        if let Some((after, node)) = self.crash {
            cluster.inject_fault(at + after, Fault::Crash { node, restart_after: 300 });
        }
        at + self.all_outage_after_ms + self.all_outage_ms
    }
}

proptest! {
    #![proptest_config(config(40))]
    /// Tasks of cancelled jobs end in time although their owner can't read the cancellation, and no
    /// other rule is broken.
    #[test]
    fn tasks_cancelled_while_the_store_refuses_their_owner_end_in_time(
        seed in 1u64..1_000_000, timing in timing(), outages in proptest::collection::vec(two_outages(), 1..3),
    ) {
        let mut cluster = small_cluster(seed, timing);
        let mut from = 30_000;
        for (n, outages) in outages.iter().enumerate() {
            for k in 0..8 {
                let number = 20 * n + k;
                // One of them depends on another, and is cancelled with it.
                let spec = job(number, 6, if k == 0 { 3.0 } else { 120.0 }, (k == 7).then(|| number - 1));
                let id = spec.id.clone();
                cluster.submit(from - 25_000 + 300 * k as u64, spec);
                if k > 1 {
                    cluster.cancel((from + outages.at + 400 * k as u64).saturating_sub(1600), &id);
                }
            }
            from = outages.inject(&mut cluster, from) + 40_000;
        }
        cluster.run(from + 500_000);
        prop_assert_eq!(cluster.problems(), [""; 0]);
        prop_assert!(cluster.statistics.starts > 20);
    }
}

/// Run time of long tasks: longer than a lease and the time until it counts as expired.
const LONG_RUN_S: f64 = 50.0;

/// Submits jobs of two or three tasks that each fill a machine and end far apart, long jobs, and
/// dependent jobs, and cancels jobs throughout.
fn submit_jobs(cluster: &mut SimulatedCluster, long_run_s: f64) {
    for number in 0..26usize {
        let (tasks, run_s) = [(2, 6.0), (3, 14.0), (7, long_run_s), (20, 8.0)][number % 4];
        let mut spec = job(number, tasks, run_s, (number % 6 == 5).then(|| number - 2));
        if tasks < 4 {
            spec.cpus = 8.0;
        }
        let (at, id) = (3000 + number as u64 * 2400, spec.id.clone());
        cluster.submit(at, spec);
        // Many jobs of the team with a limit are cancelled: others use their quota at once.
        if number % 3 == 1 {
            cluster.cancel(at + 2500 + 400 * number as u64, &id);
        }
    }
}

/// Runs a cluster with these scenarios, each given with its start time. Returns the problems found.
fn problems_after(seed: u64, timing: Timing, long_run_s: f64, scenarios: Vec<(u64, Scenario)>) -> Vec<String> {
    let mut cluster = small_cluster(seed, timing);
    submit_jobs(&mut cluster, long_run_s);
    for (at, scenario) in scenarios {
        inject(&mut cluster, at, scenario);
    }
    cluster.run(640_000);
    cluster.problems()
}

/// Submits arrays and services that are bound to a given zone, confined to any one zone, or spread
/// over the zones.
fn submit_zone_jobs(cluster: &mut SimulatedCluster) {
    for number in 100..118usize {
        let mut spec = job(number, 2 + number as u32 % 7, [9.0, 30.0][number % 2], None);
        spec.team = "blue".into();
        match number % 4 {
            0 => spec.zone = Some(if number % 8 == 0 { "a" } else { "b" }.into()),
            1 => spec.one_zone = true,
            2 => spec.apart = true,
            _ => (spec.one_zone, spec.apart) = (true, true),
        }
        if number % 3 == 0 && number % 4 < 3 {
            (spec.kind, spec.estimated_run_s, spec.task_count) = (JobKind::Service, 0.0, 2 + number as u32 % 3);
            // The service is cancelled at the end; until then the rules apply to it as to any other job.
            cluster.cancel(560_000, &spec.id);
        }
        cluster.submit(3000 + (number as u64 - 100) * 2500, spec);
    }
}

proptest! {
    #![proptest_config(config(20))]
    /// Jobs bound to a zone or spread over zones go on once their zones have machines again, and no
    /// task is misplaced relative to the tasks that remain.
    #[test]
    fn zone_bound_jobs_go_on_after_zones_lose_machines(
        seed in 1u64..1_000_000, at in 8000u64..60_000, losses in zones_lose_machines(),
        other in proptest::option::of((0u64..30_000, prop_oneof![isolated_zones(), machines_without_uplink(), ten_leader_crashes()])),
    ) {
        let mut cluster = SimulatedCluster::with_config(seed, ClusterConfig { machines: 20, ..ClusterConfig::small() });
        submit_zone_jobs(&mut cluster);
        inject(&mut cluster, at, losses);
        if let Some((later, scenario)) = other {
            inject(&mut cluster, at + later, scenario);
        }
        cluster.run(640_000);
        prop_assert_eq!(cluster.problems(), [""; 0]);
    }

    /// Urgent and other work exceeds the capacity while all links and the store are slow: no job
    /// starves, and no machine is rented twice.
    #[test]
    fn overload_over_slow_links_starves_no_job(
        seed in 1u64..1_000_000, at in 5000u64..40_000, slow in slow_links(), crashes in controller_crashes(),
    ) {
        let mut cluster = SimulatedCluster::with_config(seed, ClusterConfig { machines: 8, ..ClusterConfig::small() });
        submit_jobs(&mut cluster, 25.0);
        for number in 100..124usize {
            cluster.submit(5000 + (number as u64 - 100) * 1500, job(number, 12, 12.0, None));
        }
        for scenario in [slow, crashes] {
            inject(&mut cluster, at, scenario);
        }
        cluster.run(640_000);
        prop_assert_eq!(cluster.problems(), [""; 0]);
        prop_assert!(cluster.running_machines() <= 8);
    }
}

/// Defines a property test of one scenario.
macro_rules! scenario_test {
    ($name:ident, $scenario:ident) => {
        proptest! {
            #![proptest_config(config(14))]
            #[test]
            fn $name(seed in 1u64..1_000_000, timing in timing(), at in 8000u64..60_000, scenario in $scenario()) {
                prop_assert_eq!(problems_after(seed, timing, LONG_RUN_S, vec![(at, scenario)]), [""; 0]);
            }
        }
    };
}

scenario_test!(late_transactions_do_not_undo_newer_ones, late_transactions);
scenario_test!(tasks_that_end_far_apart_count_once_under_crashes, controller_crashes);
scenario_test!(crashes_while_machines_are_unreachable_break_no_rule, unreachable_machines);
scenario_test!(an_isolated_controller_gives_no_stale_answers, isolated_controller);
scenario_test!(heartbeats_of_earlier_epochs_are_ignored, duplicated_heartbeats);
scenario_test!(a_slow_store_breaks_no_rule, slow_store);
scenario_test!(delayed_answers_start_no_task_twice, delayed_answers);
scenario_test!(crashes_during_shard_handovers_break_no_rule, crashes_during_handover);
scenario_test!(jobs_cancelled_at_completion_break_no_rule, cancellations_at_completion);
scenario_test!(machines_without_uplink_break_no_rule, machines_without_uplink);
scenario_test!(cancelled_tasks_of_hung_machines_end_in_time, hung_machines);
scenario_test!(jobs_cancelled_while_the_store_refuses_the_leader_end_in_time, cancelled_between_outages);
scenario_test!(delayed_heartbeats_break_no_rule, delayed_heartbeats);
scenario_test!(a_team_stays_within_its_limit_when_owners_change, team_at_its_limit);
scenario_test!(an_isolated_zone_rejoins, isolated_zones);
scenario_test!(ten_leader_crashes_in_two_minutes_break_no_rule, ten_leader_crashes);
scenario_test!(all_controllers_down_for_longer_than_a_lease_break_no_rule, all_controllers_down);
scenario_test!(old_heartbeats_that_reach_a_new_owner_first_break_no_rule, old_heartbeats_reach_new_owners);

proptest! {
    #![proptest_config(config(30))]
    #[test]
    fn two_or_three_scenarios_at_once_break_no_rule(
        seed in 1u64..1_000_000,
        timing in timing(),
        scenarios in proptest::collection::vec((8000u64..50_000, prop_oneof![
            late_transactions(), controller_crashes(), unreachable_machines(), isolated_controller(),
            duplicated_heartbeats(), slow_store(), delayed_answers(), crashes_during_handover(),
            cancellations_at_completion(), machines_without_uplink(), hung_machines(),
            cancelled_between_outages(), delayed_heartbeats(), team_at_its_limit(), isolated_zones(),
            ten_leader_crashes(), all_controllers_down(), zones_lose_machines(), slow_links(),
            old_heartbeats_reach_new_owners(),
        ]), 2..4),
    ) {
        prop_assert_eq!(problems_after(seed, timing, LONG_RUN_S, scenarios), [""; 0]);
    }
}

/// A node restarted and crashed again while its shard was handed over to it, and the transaction
/// got no answer. The node that still owned the shard started none of its tasks until the crashed
/// node returned.
#[test]
fn a_shard_whose_handover_got_no_answer_keeps_starting_tasks() {
    let mut cluster = SimulatedCluster::new(3, 10.0);
    cluster.inject_fault(20_000, Fault::Crash { node: 0, restart_after: 8000 });
    cluster.inject_fault(28_100, Fault::Crash { node: 0, restart_after: 600_000 });
    for node in [1, 2] {
        cluster.inject_fault(29_500, Fault::StoreAnswersLost { node, for_ms: 300, carried_out_after: 0 });
    }
    // No other record is written when the shard is handed back.
    for number in 0..36 {
        let at = if number < 12 { 3000 + 10 * number } else { 34_000 + 800 * number };
        cluster.submit(at, job(number as usize, 6, 9.0, None));
    }
    cluster.run(300_000);
    assert_eq!(cluster.problems(), [""; 0]);
    assert!(cluster.longest_wait() < 75_000, "a job waited {} ms", cluster.longest_wait());
}

/// A shard gave quota away while a record still held the task that used it. The shard's next owner
/// started that task, and the team exceeded its limit.
#[test]
fn a_team_keeps_its_limit_when_its_shard_changes_owner_during_a_quota_transfer() {
    for (seed, slow) in [(498_749, 19_460), (494_853, 34_516)] {
        let scenario = vec![
            (0, Fault::SlowStore { for_ms: slow, max_delay_ms: 3986 }),
            (18_740, Fault::StoreOutage { node: Some(1), for_ms: 9000 }),
            (20_740, Fault::StoreOutage { node: None, for_ms: 35_342 }),
        ];
        assert_eq!(problems_after(seed, SHORT_CANCEL, 25.0, vec![(39_752, scenario)]), [""; 0]);
    }
}

/// Replicas of a service spread over zones never started: all machines in the other zone belonged
/// to other shards, and the service could not move while some of its replicas ran.
#[test]
fn a_spread_service_gets_machines_in_its_shard_after_a_zone_is_lost() {
    for seed in 1..7 {
        let mut cluster = SimulatedCluster::with_config(seed, ClusterConfig { machines: 30, ..ClusterConfig::small() });
        for number in 0..8usize {
            let mut spec = job(number, 2, 0.0, None);
            (spec.team, spec.kind) = ("blue".into(), JobKind::Service);
            (spec.apart, spec.zone) = (number % 2 == 0, (number % 2 == 1).then(|| "b".into()));
            cluster.cancel(400_000, &spec.id);
            cluster.submit(3000 + 200 * number as u64, spec);
        }
        cluster.inject_fault(60_000, Fault::ZoneMachinesDie { zone: 1, every_nth: 1 });
        cluster.run(500_000);
        assert_eq!(cluster.problems(), [""; 0], "seed {seed}");
    }
}
