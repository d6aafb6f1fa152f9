//! Two or more troubles that meet. The stand-in, not the controllers, judges
//! the rules. `MEETING_CASES` asks for more cases than are played by default.

#[allow(dead_code)]
#[path = "../simulator/mod.rs"]
mod simulator;
mod troubles;

use proptest::prelude::*;
use simulator::{Fault, Shape, World};
use tillercleat::protocol::users::{JobKind, JobSpec};
use troubles::*;

fn cases(default: u32) -> ProptestConfig {
    let asked = std::env::var("MEETING_CASES").ok().and_then(|text| text.parse().ok());
    ProptestConfig {
        cases: asked.unwrap_or(default),
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
    simulator::users::job_spec(text)
}

/// Workers' lease, their reports and the time a cancellation has, as operators set them.
fn clocks() -> impl Strategy<Value = (u64, u64, u64)> {
    prop_oneof![Just((1000, 10_000, 40_000)), Just((3000, 17_500, 47_500)), Just((800, 10_000, 16_000))]
}

/// State refuses one node alone while others confirm cancellations; then it is
/// gone for all.
#[derive(Debug, Clone)]
struct Gap {
    at: u64,
    node: usize,
    refused: u64,
    /// From the refusal to the outage, and how long that lasts.
    after: u64,
    gone: u64,
    /// Where the node's last transactions go: nowhere, or late.
    late: Option<u64>,
    /// An end of a node in between, back at once.
    end: Option<(u64, usize)>,
}

fn gap() -> impl Strategy<Value = Gap> {
    let after = prop_oneof![0u64..400, 400u64..12_000];
    let end = proptest::option::of((0u64..20_000, 0usize..3));
    (0u64..15_000, 0usize..3, 2000u64..30_000, after, 30_000u64..75_000, proptest::option::of(2000u64..12_000), end)
        .prop_map(|(at, node, refused, after, gone, late, end)| Gap { at, node, refused, after, gone, late, end })
}

impl Gap {
    /// When it is over.
    fn play(&self, world: &mut World, from: u64) -> u64 {
        let at = from + self.at;
        if let Some(late) = self.late {
            world.fault(at.saturating_sub(600), Fault::StateSilence { node: self.node, for_ms: 600, late });
        }
        world.fault(at, Fault::StateOutage { node: Some(self.node), for_ms: self.refused });
        world.fault(at + self.after, Fault::StateOutage { node: None, for_ms: self.gone });
        if let Some((after, node)) = self.end {
            world.fault(at + after, Fault::Crash { node, back_after: 300 });
        }
        at + self.after + self.gone
    }
}

proptest! {
    #![proptest_config(cases(40))]
    /// Tasks of cancelled jobs must be gone in time though their owner never
    /// hears of the cancellation, and nothing else may break.
    #[test]
    fn what_is_cancelled_behind_its_owners_back_is_gone_in_time(
        seed in 1u64..1_000_000, clocks in clocks(), gaps in proptest::collection::vec(gap(), 1..3),
    ) {
        let (report_ms, lease_ms, cancel_ms) = clocks;
        let mut world = World::sized(seed, Shape { report_ms, lease_ms, cancel_ms, ..Shape::small() });
        let mut from = 30_000;
        for (n, gap) in gaps.iter().enumerate() {
            for k in 0..8 {
                let number = 20 * n + k;
                // One of them follows another, and is over with it.
                let spec = job(number, 6, if k == 0 { 3.0 } else { 120.0 }, (k == 7).then(|| number - 1));
                let id = spec.id.clone();
                world.submit(from - 25_000 + 300 * k as u64, spec);
                if k > 1 {
                    world.cancel((from + gap.at + 400 * k as u64).saturating_sub(1600), &id);
                }
            }
            from = gap.play(&mut world, from) + 40_000;
        }
        world.run(from + 500_000);
        prop_assert_eq!(world.problems(), [""; 0]);
        prop_assert!(world.starts > 20);
    }
}

/// Long tasks outlast a lease and what comes before it can be taken for over.
const LONG_S: f64 = 50.0;

/// Jobs of two or three tasks, each a machine wide, that end far apart; long
/// ones; chains; and cancellations all along.
fn work(world: &mut World, long_s: f64) {
    for number in 0..26usize {
        let (tasks, run_s) = [(2, 6.0), (3, 14.0), (7, long_s), (20, 8.0)][number % 4];
        let mut spec = job(number, tasks, run_s, (number % 6 == 5).then(|| number - 2));
        if tasks < 4 {
            spec.cpus = 8.0;
        }
        let (at, id) = (3000 + number as u64 * 2400, spec.id.clone());
        world.submit(at, spec);
        // Many of the team with a limit: what they leave is taken at once.
        if number % 3 == 1 {
            world.cancel(at + 2500 + 400 * number as u64, &id);
        }
    }
}

fn judged(seed: u64, clocks: (u64, u64, u64), long_s: f64, meetings: Vec<(u64, Meeting)>) -> Vec<String> {
    let (report_ms, lease_ms, cancel_ms) = clocks;
    let mut world = World::sized(seed, Shape { report_ms, lease_ms, cancel_ms, ..Shape::small() });
    work(&mut world, long_s);
    for (at, meeting) in meetings {
        meeting.into_iter().for_each(|(after, fault)| world.fault(at + after, fault));
    }
    world.run(640_000);
    world.problems()
}

/// Jobs bound to a zone, in one zone or spread over them, arrays and services.
fn bound_work(world: &mut World) {
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
            (spec.kind, spec.estimated_run_s, spec.task_count) = (JobKind::Standing, 0.0, 2 + number as u32 % 3);
            // Called off at the end; until then it is judged like any other.
            world.cancel(560_000, &spec.id);
        }
        world.submit(3000 + (number as u64 - 100) * 2500, spec);
    }
}

proptest! {
    #![proptest_config(cases(20))]
    /// Jobs bound to a zone or spread go on once it has machines again, and nothing is
    /// placed wrong beside the tasks that remain.
    #[test]
    fn jobs_bound_to_zones_outlive_their_machines(
        seed in 1u64..1_000_000, at in 8000u64..60_000, losses in zones_lose_machines(),
        other in proptest::option::of((0u64..30_000, prop_oneof![cut_zones(), mute_machines(), ten_leaders()])),
    ) {
        let mut world = World::sized(seed, Shape { machines: 20, ..Shape::small() });
        bound_work(&mut world);
        losses.into_iter().for_each(|(after, fault)| world.fault(at + after, fault));
        if let Some((later, meeting)) = other {
            meeting.into_iter().for_each(|(after, fault)| world.fault(at + later + after, fault));
        }
        world.run(640_000);
        prop_assert_eq!(world.problems(), [""; 0]);
    }

    /// More work than room, urgent and not, while all links and the state service are slow:
    /// nothing starves, and no machine is bought twice.
    #[test]
    fn more_work_than_room_over_slow_links(
        seed in 1u64..1_000_000, at in 5000u64..40_000, slow in slow_links(), ends in changes_of_leader(),
    ) {
        let mut world = World::sized(seed, Shape { machines: 8, ..Shape::small() });
        work(&mut world, 25.0);
        for number in 100..124usize {
            world.submit(5000 + (number as u64 - 100) * 1500, job(number, 12, 12.0, None));
        }
        for meeting in [slow, ends] {
            meeting.into_iter().for_each(|(after, fault)| world.fault(at + after, fault));
        }
        world.run(640_000);
        prop_assert_eq!(world.problems(), [""; 0]);
        prop_assert!(world.alive() <= 8);
    }
}

macro_rules! meeting {
    ($name:ident, $meeting:ident) => {
        proptest! {
            #![proptest_config(cases(14))]
            #[test]
            fn $name(seed in 1u64..1_000_000, clocks in clocks(), at in 8000u64..60_000, meeting in $meeting()) {
                prop_assert_eq!(judged(seed, clocks, LONG_S, vec![(at, meeting)]), [""; 0]);
            }
        }
    };
}

meeting!(transactions_carried_out_late_undo_nothing_newer, late_transactions);
meeting!(tasks_that_end_far_apart_count_once_each, changes_of_leader);
meeting!(a_node_ends_while_machines_are_out_of_reach, lost_machines);
meeting!(a_node_left_alone_tells_nobody_anything_old, alone);
meeting!(old_reports_prove_nothing, old_reports);
meeting!(a_slow_state_service_confirms_nothing_on_a_guess, slow_state);
meeting!(what_is_held_up_starts_nothing_again, held_answers);
meeting!(parts_go_there_and_back, there_and_back);
meeting!(ends_of_jobs_meet_their_users, ends_of_jobs);
meeting!(mute_machines_lose_nothing_but_time, mute_machines);
meeting!(what_hung_machines_go_on_with_is_over_in_time, hung_machines);
meeting!(called_off_as_the_state_service_refuses_the_leader, called_off_in_the_gap);
meeting!(held_reports_prove_nothing, held_reports);
meeting!(a_team_at_its_limit_stays_there_and_gets_it_back, at_the_limit);
meeting!(a_zone_that_was_cut_off_comes_back, cut_zones);
meeting!(ten_leaders_in_two_minutes, ten_leaders);
meeting!(all_away_for_longer_than_a_lease, all_away);

proptest! {
    #![proptest_config(cases(30))]
    #[test]
    fn two_or_three_troubles_that_meet_break_nothing(
        seed in 1u64..1_000_000,
        clocks in clocks(),
        meetings in proptest::collection::vec((8000u64..50_000, prop_oneof![
            late_transactions(), changes_of_leader(), lost_machines(), alone(),
            old_reports(), slow_state(), held_answers(), there_and_back(),
            ends_of_jobs(), mute_machines(), hung_machines(), called_off_in_the_gap(), held_reports(),
            at_the_limit(), cut_zones(), ten_leaders(), all_away(), zones_lose_machines(), slow_links(),
        ]), 2..4),
    ) {
        prop_assert_eq!(judged(seed, clocks, LONG_S, meetings), [""; 0]);
    }
}

/// A node came back and ended again while its part was on its way to it, and
/// the transaction got no answer: whoever kept the part started nothing of it
/// any more, for as long as that node stayed away.
#[test]
fn a_part_that_was_to_go_back_and_stays_is_served() {
    let mut world = World::new(3, 10.0);
    world.fault(20_000, Fault::Crash { node: 0, back_after: 8000 });
    world.fault(28_100, Fault::Crash { node: 0, back_after: 600_000 });
    for node in [1, 2] {
        world.fault(29_500, Fault::StateSilence { node, for_ms: 300, late: 0 });
    }
    // Nothing is written when the part is to go back.
    for number in 0..36 {
        let at = if number < 12 { 3000 + 10 * number } else { 34_000 + 800 * number };
        world.submit(at, job(number as usize, 6, 9.0, None));
    }
    world.run(300_000);
    assert_eq!(world.problems(), [""; 0]);
    assert!(world.longest_wait() < 75_000, "a job waited {} ms", world.longest_wait());
}

/// Allowance was given away while a record still named the task that it was for; the
/// next owner started that task, and the team had more than its limit.
#[test]
fn a_team_keeps_its_limit_when_its_part_changes_hands_in_the_middle_of_a_gift() {
    for (seed, slow) in [(498_749, 19_460), (494_853, 34_516)] {
        let meeting = vec![
            (0, Fault::SlowState { for_ms: slow, most: 3986 }),
            (18_740, Fault::StateOutage { node: Some(1), for_ms: 9000 }),
            (20_740, Fault::StateOutage { node: None, for_ms: 35_342 }),
        ];
        assert_eq!(judged(seed, (800, 10_000, 16_000), 25.0, vec![(39_752, meeting)]), [""; 0]);
    }
}

/// Replicas of a spread service waited for ever for a machine in the other zone: the
/// machines there were all of other parts, and the service could not move while some of
/// it ran.
#[test]
fn a_spread_service_gets_room_in_its_part_when_a_zone_was_lost() {
    for seed in 1..7 {
        let mut world = World::sized(seed, Shape { machines: 30, ..Shape::small() });
        for number in 0..8usize {
            let mut spec = job(number, 2, 0.0, None);
            (spec.team, spec.kind) = ("blue".into(), JobKind::Standing);
            (spec.apart, spec.zone) = (number % 2 == 0, (number % 2 == 1).then(|| "b".into()));
            world.cancel(400_000, &spec.id);
            world.submit(3000 + 200 * number as u64, spec);
        }
        world.fault(60_000, Fault::ZoneLoses { zone: 1, each: 1 });
        world.run(500_000);
        assert_eq!(world.problems(), [""; 0], "seed {seed}");
    }
}
