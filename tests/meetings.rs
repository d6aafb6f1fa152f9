//! Two or more troubles that meet. The stand-in, not the controllers, judges
//! the rules. `MEETING_CASES` asks for more cases than are played by default.

#[allow(dead_code)]
mod standin;

use proptest::prelude::*;
use standin::{Fault, Shape, World};
use tillercleat::protocol::users::JobSpec;

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

fn job(number: usize, tasks: u32, run_s: f64, awaits: Option<usize>) -> JobSpec {
    let (team, rank) = if number % 2 == 0 { ("red", "high") } else { ("blue", "normal") };
    let text = serde_json::json!({
        "ref": format!("wk-{number:06}"), "haul": "work", "crew": team, "rig": "array", "rank": rank,
        "loads": tasks, "cores": 1.0, "mem_gb": 2.0, "kit": "img", "image_gb": 0.5, "driftwood": true,
        "reckon_s": run_s, "mark_s": 5.0, "stow_s": 4.0,
        "awaits": awaits.map(|n| vec![format!("wk-{n:06}")]).unwrap_or_default()
    });
    JobSpec::parse(text.to_string().as_bytes()).expect("a valid job")
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

/// One meeting of the operators' page: what happens, and when.
type Meeting = Vec<(u64, Fault)>;

fn node() -> impl Strategy<Value = usize> {
    0usize..3
}

/// Back at once, or after a while.
fn back() -> impl Strategy<Value = u64> {
    prop_oneof![Just(50u64), 100u64..1000, 2000u64..9000]
}

/// Transactions carried out after newer ones of the same controller, some of which end.
fn late_transactions() -> impl Strategy<Value = Meeting> {
    let ends = proptest::collection::vec((0u64..40_000, node(), back()), 0..3);
    (10u64..80, 8000u64..60_000, ends, proptest::option::of((node(), 3000u64..20_000))).prop_map(
        |(share, for_ms, ends, cut)| {
            let mut meeting = vec![(0, Fault::LateWrites { share, for_ms })];
            meeting.extend(ends.into_iter().map(|(at, node, back_after)| (at, Fault::Crash { node, back_after })));
            meeting.extend(cut.map(|(node, for_ms)| (4000, Fault::Cut { node, zone: 2, for_ms, hold: false })));
            meeting
        },
    )
}

/// Leaders and owners change while tasks of the same job end far apart.
fn changes_of_leader() -> impl Strategy<Value = Meeting> {
    proptest::collection::vec((0u64..50_000, node(), back()), 2..6).prop_map(|ends| {
        ends.into_iter().map(|(at, node, back_after)| (at, Fault::Crash { node, back_after })).collect()
    })
}

/// A node ends while machines can't be reached or don't hear its successor.
fn lost_machines() -> impl Strategy<Value = Meeting> {
    let lost = prop_oneof![
        (0usize..2, 8000u64..60_000, any::<bool>()).prop_map(|(zone, for_ms, hold)| (0..3usize)
            .map(|node| (0, Fault::Cut { node, zone, for_ms, hold }))
            .collect::<Meeting>()),
        (1usize..4, 8000u64..60_000).prop_map(|(each, for_ms)| vec![(0, Fault::Deaf { each, for_ms })]),
    ];
    (lost, proptest::collection::vec((0u64..12_000, node(), back()), 1..3)).prop_map(|(mut lost, ends)| {
        lost.extend(ends.into_iter().map(|(at, node, back_after)| (at, Fault::Crash { node, back_after })));
        lost
    })
}

/// A node loses the state service and its peers, not its workers and users.
fn alone() -> impl Strategy<Value = Meeting> {
    (node(), 2000u64..70_000, proptest::option::of((0u64..40_000, 30_000u64..60_000))).prop_map(
        |(node, for_ms, gone)| {
            let mut meeting = vec![(0, Fault::Alone { node, for_ms })];
            meeting.extend(gone.map(|(at, for_ms)| (at, Fault::StateOutage { node: None, for_ms })));
            meeting
        },
    )
}

/// Copies of reports from earlier sessions and attempts, also at owners that remember nothing.
fn old_reports() -> impl Strategy<Value = Meeting> {
    let ends = proptest::collection::vec((0u64..50_000, node(), back()), 0..3);
    (20u64..100, 20_000u64..60_000, 4000u64..40_000, 1usize..5, 5000u64..25_000, ends).prop_map(
        |(share, for_ms, late, each, deaf, ends)| {
            let mut meeting = vec![(0, Fault::Copies { share, for_ms, late })];
            meeting.push((3000, Fault::Deaf { each, for_ms: deaf }));
            meeting.extend(ends.into_iter().map(|(at, node, back_after)| (at, Fault::Crash { node, back_after })));
            meeting
        },
    )
}

/// The state service is slow, and refuses one node, then all.
fn slow_state() -> impl Strategy<Value = Meeting> {
    (300u64..6000, 8000u64..50_000, node(), 0u64..20_000, proptest::option::of(5000u64..60_000)).prop_map(
        |(most, for_ms, node, at, gone)| {
            let mut meeting = vec![(0, Fault::SlowState { for_ms, most })];
            meeting.push((at, Fault::StateOutage { node: Some(node), for_ms: 9000 }));
            meeting.extend(gone.map(|for_ms| (at + 2000, Fault::StateOutage { node: None, for_ms })));
            meeting
        },
    )
}

/// Answers are held up, and machines stand still and go on.
fn held_answers() -> impl Strategy<Value = Meeting> {
    let hangs = proptest::collection::vec((0u64..40_000, 0usize..20, 1000u64..14_000), 1..6);
    (1usize..4, 10_000u64..50_000, 1000u64..8000, hangs).prop_map(|(each, for_ms, most, hangs)| {
        let mut meeting = vec![(0, Fault::HeldAnswers { each, for_ms, most })];
        meeting.extend(hangs.into_iter().map(|(at, pick, for_ms)| (at, Fault::MachineHangs { pick, for_ms })));
        meeting
    })
}

/// Parts are handed over and back, all end, and one returns within a second.
fn there_and_back() -> impl Strategy<Value = Meeting> {
    let moment = proptest::sample::select(standin::Moment::ALL.to_vec());
    let traps =
        proptest::collection::vec((0u64..30_000, node(), moment, back(), proptest::option::of(0u64..9000)), 1..5);
    (traps, proptest::option::of((0u64..30_000, 100u64..900, 2000u64..20_000))).prop_map(|(traps, all)| {
        let mut meeting: Meeting = vec![];
        for (at, node, moment, back_after, late) in traps {
            meeting.push((at, Fault::EndsAt { node, moment, back_after, late }));
        }
        if let Some((at, soon, later)) = all {
            let back = [soon, later, later + 3000];
            meeting.extend((0..3).map(|node| (at, Fault::Crash { node, back_after: back[node] })));
        }
        meeting
    })
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

proptest! {
    #![proptest_config(cases(30))]
    #[test]
    fn two_or_three_troubles_that_meet_break_nothing(
        seed in 1u64..1_000_000,
        clocks in clocks(),
        meetings in proptest::collection::vec((8000u64..50_000, prop_oneof![
            late_transactions(), changes_of_leader(), lost_machines(), alone(),
            old_reports(), slow_state(), held_answers(), there_and_back(),
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
