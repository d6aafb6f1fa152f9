//! The meetings of the operators' pages: for each, troubles at times that are drawn.

use super::simulator::{Fault, Moment};
use proptest::prelude::*;

/// One meeting of the operators' page: what happens, and when.
pub type Meeting = Vec<(u64, Fault)>;

pub fn node() -> impl Strategy<Value = usize> {
    0usize..3
}

/// Back at once, or after a while.
pub fn back() -> impl Strategy<Value = u64> {
    prop_oneof![Just(50u64), 100u64..1000, 2000u64..9000]
}

/// Transactions carried out after newer ones of the same controller, some of which end.
pub fn late_transactions() -> impl Strategy<Value = Meeting> {
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
pub fn changes_of_leader() -> impl Strategy<Value = Meeting> {
    proptest::collection::vec((0u64..50_000, node(), back()), 2..6).prop_map(|ends| {
        ends.into_iter().map(|(at, node, back_after)| (at, Fault::Crash { node, back_after })).collect()
    })
}

/// A node ends while machines can't be reached or don't hear its successor.
pub fn lost_machines() -> impl Strategy<Value = Meeting> {
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
pub fn alone() -> impl Strategy<Value = Meeting> {
    (node(), 2000u64..70_000, proptest::option::of((0u64..40_000, 30_000u64..60_000))).prop_map(
        |(node, for_ms, gone)| {
            let mut meeting = vec![(0, Fault::Alone { node, for_ms })];
            meeting.extend(gone.map(|(at, for_ms)| (at, Fault::StateOutage { node: None, for_ms })));
            meeting
        },
    )
}

/// Copies of reports from earlier sessions and attempts, also at owners that remember nothing.
pub fn old_reports() -> impl Strategy<Value = Meeting> {
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
pub fn slow_state() -> impl Strategy<Value = Meeting> {
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
pub fn held_answers() -> impl Strategy<Value = Meeting> {
    let hangs = proptest::collection::vec((0u64..40_000, 0usize..20, 1000u64..14_000), 1..6);
    (1usize..4, 10_000u64..50_000, 1000u64..8000, hangs).prop_map(|(each, for_ms, most, hangs)| {
        let mut meeting = vec![(0, Fault::HeldAnswers { each, for_ms, most })];
        meeting.extend(hangs.into_iter().map(|(at, pick, for_ms)| (at, Fault::MachineHangs { pick, for_ms })));
        meeting
    })
}

/// Parts are handed over and back, all end, and one returns within a second.
pub fn there_and_back() -> impl Strategy<Value = Meeting> {
    let moment = proptest::sample::select(Moment::ALL.to_vec());
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

/// Jobs are called off, asked about and sent again as they end; odd requests beside.
pub fn ends_of_jobs() -> impl Strategy<Value = Meeting> {
    (30u64..100, 20_000u64..60_000, any::<bool>()).prop_map(|(share, for_ms, odd)| {
        let mut meeting = vec![(0, Fault::CancelAtEnd { share, for_ms })];
        meeting.extend(odd.then_some((500, Fault::OddRequests { for_ms })));
        meeting
    })
}

/// Machines reach no controller: some, all, or a zone's; jobs are called off and nodes end.
pub fn mute_machines() -> impl Strategy<Value = Meeting> {
    let ends = proptest::collection::vec((0u64..30_000, node(), back()), 0..3);
    let called_off = proptest::option::of((0u64..20_000, 1usize..6, prop_oneof![Just(0u64), 500u64..20_000]));
    (1usize..4, proptest::option::of(0usize..2), 1000u64..70_000, called_off, ends).prop_map(
        |(each, zone, for_ms, called_off, ends)| {
            let mut meeting = vec![(0, Fault::MachinesMute { each, zone, for_ms })];
            meeting.extend(called_off.map(|(at, count, hang_ms)| (at, Fault::CancelNow { count, hang_ms })));
            meeting.extend(ends.into_iter().map(|(at, node, back_after)| (at, Fault::Crash { node, back_after })));
            meeting
        },
    )
}

/// Jobs are called off at once and their machines hang, for longer than a lease or a
/// cancellation has, while answers wait in the links.
pub fn hung_machines() -> impl Strategy<Value = Meeting> {
    let again = proptest::option::of((1000u64..30_000, 1usize..8, 1000u64..70_000));
    let held = proptest::option::of((1usize..3, 5000u64..40_000, 1000u64..8000));
    let ends = proptest::collection::vec((0u64..20_000, node(), back()), 0..3);
    (1usize..9, prop_oneof![500u64..9000, 9000u64..70_000], again, held, ends).prop_map(
        |(count, hang_ms, again, held, ends)| {
            let mut meeting = vec![(0, Fault::CancelNow { count, hang_ms })];
            meeting.extend(again.map(|(at, count, hang_ms)| (at, Fault::CancelNow { count, hang_ms })));
            meeting.extend(held.map(|(each, for_ms, most)| (0, Fault::HeldAnswers { each, for_ms, most })));
            meeting.extend(ends.into_iter().map(|(at, node, back_after)| (at, Fault::Crash { node, back_after })));
            meeting
        },
    )
}

/// Jobs are called off in the moment in which the state service refuses the leader
/// alone; about a second later it is gone for all, for longer than a cancellation has.
pub fn called_off_in_the_gap() -> impl Strategy<Value = Meeting> {
    (node(), 3000u64..20_000, 700u64..1800, 42_000u64..70_000, 3usize..12, prop_oneof![Just(0u64), 500u64..30_000])
        .prop_map(|(node, refused, after, gone, count, hang_ms)| {
            vec![
                (0, Fault::StateOutage { node: Some(node), for_ms: refused }),
                (0, Fault::CancelNow { count, hang_ms }),
                (after, Fault::StateOutage { node: None, for_ms: gone }),
            ]
        })
}

/// Reports are held back until another owner and leader have acted, and then arrive there or elsewhere.
pub fn held_reports() -> impl Strategy<Value = Meeting> {
    let ends = proptest::collection::vec((0u64..30_000, node(), back()), 1..5);
    (5u64..60, 10_000u64..50_000, 3000u64..60_000, ends, any::<bool>()).prop_map(|(share, for_ms, most, ends, off)| {
        let mut meeting = vec![(0, Fault::HeldReports { share, for_ms, most })];
        meeting.extend(ends.into_iter().map(|(at, node, back_after)| (at, Fault::Crash { node, back_after })));
        meeting.extend(off.then_some((6000, Fault::CancelNow { count: 4, hang_ms: 0 })));
        meeting
    })
}

/// The leader and an owner change, some machines can't be asked, and jobs of a team at
/// its limit are called off in that spell.
pub fn at_the_limit() -> impl Strategy<Value = Meeting> {
    let lost = prop_oneof![
        (1usize..4, 5000u64..40_000).prop_map(|(each, for_ms)| Fault::MachinesMute { each, zone: None, for_ms }),
        (1usize..4, 5000u64..40_000).prop_map(|(each, for_ms)| Fault::Deaf { each, for_ms }),
        (node(), 0usize..2, 5000u64..40_000, any::<bool>()).prop_map(|(node, zone, for_ms, hold)| Fault::Cut {
            node,
            zone,
            for_ms,
            hold
        }),
    ];
    (lost, 0u64..6000, back(), 0u64..9000, node(), back(), 0u64..12_000, 2usize..10).prop_map(
        |(lost, leader, leader_back, owner, node, owner_back, called_off, count)| {
            vec![
                (0, lost),
                (leader, Fault::LeaderEnds { back_after: leader_back }),
                (owner, Fault::Crash { node, back_after: owner_back }),
                (called_off, Fault::CancelNow { count, hang_ms: 0 }),
            ]
        },
    )
}

/// A zone with workers and a controller is cut off, for longer than a lease or not.
pub fn cut_zones() -> impl Strategy<Value = Meeting> {
    let called_off = proptest::option::of((0u64..20_000, 1usize..8));
    let ends = proptest::collection::vec((0u64..40_000, node(), back()), 0..3);
    (0usize..2, 5000u64..70_000, any::<bool>(), called_off, ends).prop_map(|(zone, for_ms, hold, called_off, ends)| {
        let mut meeting = vec![(0, Fault::ZoneCut { zone, for_ms, hold })];
        meeting.extend(called_off.map(|(at, count)| (at, Fault::CancelNow { count, hang_ms: 0 })));
        meeting.extend(ends.into_iter().map(|(at, node, back_after)| (at, Fault::Crash { node, back_after })));
        meeting
    })
}

/// Ten leaders end in two minutes, also inside an outage.
pub fn ten_leaders() -> impl Strategy<Value = Meeting> {
    let ends = proptest::collection::vec((0u64..120_000, back()), 10);
    (ends, proptest::option::of((0u64..100_000, 5000u64..50_000))).prop_map(|(ends, gone)| {
        let mut meeting: Meeting =
            ends.into_iter().map(|(at, back_after)| (at, Fault::LeaderEnds { back_after })).collect();
        meeting.extend(gone.map(|(at, for_ms)| (at, Fault::StateOutage { node: None, for_ms })));
        meeting
    })
}

/// All controllers are away for longer than a lease; they come back together, one by one, or one alone.
pub fn all_away() -> impl Strategy<Value = Meeting> {
    let apart = prop_oneof![Just([0u64, 0, 0]), Just([0, 4000, 9000]), Just([0, 90_000, 91_000]), Just([300, 0, 700])];
    (5000u64..45_000, apart, 0usize..3, proptest::option::of((1usize..6, 500u64..30_000))).prop_map(
        |(away, apart, turn, called_off)| {
            let mut meeting = vec![];
            meeting.extend(called_off.map(|(count, hang_ms)| (0, Fault::CancelNow { count, hang_ms })));
            let back = |node: usize| away + apart[(node + turn) % 3];
            meeting.extend((0..3).map(|node| (600, Fault::Crash { node, back_after: back(node) })));
            meeting
        },
    )
}

/// Zones lose machines, all or some, also while nodes end.
pub fn zones_lose_machines() -> impl Strategy<Value = Meeting> {
    let losses = proptest::collection::vec((0u64..40_000, 0usize..2, 1usize..4), 1..4);
    (losses, proptest::collection::vec((0u64..40_000, node(), back()), 0..3)).prop_map(|(losses, ends)| {
        let mut meeting: Meeting =
            losses.into_iter().map(|(at, zone, each)| (at, Fault::ZoneLoses { zone, each })).collect();
        meeting.extend(ends.into_iter().map(|(at, node, back_after)| (at, Fault::Crash { node, back_after })));
        meeting
    })
}

/// All that is sent takes longer, and the state service is slow.
pub fn slow_links() -> impl Strategy<Value = Meeting> {
    (50u64..2500, 20_000u64..80_000, proptest::option::of((100u64..1400, 10_000u64..60_000))).prop_map(
        |(most, for_ms, state)| {
            let mut meeting = vec![(0, Fault::SlowLinks { for_ms, most })];
            meeting.extend(state.map(|(most, for_ms)| (2000, Fault::SlowState { for_ms, most })));
            meeting
        },
    )
}
