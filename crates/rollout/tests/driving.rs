//! Drivers that end, freeze, meet outages and each other: the roll-out ends as
//! if nothing had happened, no step begins twice and none is left out.

mod world;

use tillercleat_rollout::record::{Command, Phase, RolloutProgress, Service};
use world::{file, Chances, RolloutStrategy, World};

const NAME: &str = "routeplan";
const HOUR: u64 = 3_600_000;

fn progress(world: &World) -> RolloutProgress {
    let rolling = world.service(NAME).and_then(|s| s.rollout).expect("a roll-out");
    rolling.progress
}

fn over(world: &mut World) -> bool {
    let settled = world.service(NAME).is_some_and(|s| s.members.iter().all(|m| !m.retiring));
    settled
        && matches!(progress(world), RolloutProgress::Completed | RolloutProgress::Reverted | RolloutProgress::Halted)
}

/// A world in which all six replicas have the first version.
fn with_first(seed: u64, nodes: usize) -> World {
    let mut world = World::new(seed, nodes);
    assert_eq!(world.start(&file("v1", "")).status, 200);
    assert!(world.run(HOUR, over), "the first version never came out");
    assert_eq!((progress(&world), world.running("v1")), (RolloutProgress::Completed, 6));
    world
}

/// What must hold of every two records that followed one another.
fn judge(world: &World) {
    let of = |s: &Service| s.rollout.clone().expect("a roll-out");
    for pair in world.records.windows(2) {
        let (before, after) = (of(&pair[0].2), of(&pair[1].2));
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
    // Each id stands for one job of one version, for ever.
    let mut versions = std::collections::BTreeMap::new();
    for (_, _, service) in &world.records {
        for member in &service.members {
            assert_eq!(*versions.entry(member.job.clone()).or_insert(member.version), member.version);
        }
    }
    // Nothing runs that is not on the books.
    let last = world.service(NAME).expect("a record");
    for (id, job) in &world.jobs {
        assert!(job.withdrawn.is_some() || last.members.iter().any(|m| m.job == *id), "{id} was left behind");
    }
}

/// Lets a roll-out of v2 go on to its end while `disturb` is called, and
/// watches that no old replica goes before another stands in for it.
fn roll(world: &mut World, mut disturb: impl FnMut(&mut World)) -> RolloutProgress {
    assert_eq!(world.start(&file("v2", "")).status, 200);
    let ended = world.run(HOUR, |w| {
        disturb(w);
        over(w)
    });
    assert!(ended, "never ends: {:#?}", world.service(NAME));
    judge(world);
    progress(world)
}

#[test]
fn a_good_version_comes_out_and_a_bad_one_is_taken_back() {
    let mut world = with_first(1, 2);
    assert_eq!(roll(&mut world, |_| ()), RolloutProgress::Completed);
    assert_eq!((world.running("v1"), world.running("v2")), (0, 6));

    for manner in [
        RolloutStrategy::FailsAfter(0),
        RolloutStrategy::FailsAfter(3000),
        RolloutStrategy::HangsAfter(3000),
        RolloutStrategy::EndsAfter(2000),
    ] {
        let mut world = with_first(2, 2);
        world.manners.insert("v2".into(), manner);
        assert_eq!(roll(&mut world, |_| ()), RolloutProgress::Reverted, "{manner:?}");
        assert_eq!((world.running("v1"), world.running("v2")), (6, 0), "{manner:?}");
        let steps = world.records.iter().filter_map(|r| r.2.rollout.as_ref()).filter(|r| r.number == 2);
        assert_eq!(steps.map(|r| r.step).max(), Some(0), "{manner:?}: a later step began");
    }
}

/// A check that flaps never gets through a bake, whatever its rhythm.
#[test]
fn a_flapping_check_is_a_failure() {
    for rhythm in [700, 1500, 3000] {
        let mut world = with_first(3, 1);
        world.manners.insert("v2".into(), RolloutStrategy::Flaps(rhythm));
        assert_eq!(roll(&mut world, |_| ()), RolloutProgress::Reverted, "{rhythm}");
    }
}

/// The driver ends before and after its writes and effects, calls get lost or
/// take effect minutes later, and the state service is away now and then.
#[test]
fn whatever_ends_the_driver_the_roll_out_ends_the_same() {
    let mut ends = 0;
    for seed in 0..60 {
        for (manner, wanted) in [
            (RolloutStrategy::Well, RolloutProgress::Completed),
            (RolloutStrategy::FailsAfter(4000), RolloutProgress::Reverted),
        ] {
            let mut world = with_first(seed, 2);
            world.manners.insert("v2".into(), manner);
            world.chances = Chances { lost: 20, late: 40, end_before: 60, end_after: 60 };
            let outages = seed % 3 == 0;
            let ended = roll(&mut world, |w| {
                if outages && w.random(600) == 0 {
                    w.outage_until = w.now + 1000 + w.random(20_000);
                }
            });
            assert_eq!(ended, wanted, "seed {seed}, {manner:?}");
            let left = if wanted == RolloutProgress::Completed { (0, 6) } else { (6, 0) };
            assert_eq!((world.running("v1"), world.running("v2")), left, "seed {seed}");
            ends += world.ends;
        }
    }
    assert!(ends > 300, "the drivers ended only {ends} times");
}

/// A bake time counts what was seen: a driver that ends takes at most the last
/// piece of it along, and never shortens it.
#[test]
fn a_restart_does_not_shorten_a_bake() {
    let mut world = with_first(5, 1);
    let (mut began, mut next, mut ended) = (None, 0, false);
    roll(&mut world, |w| {
        let rolling = w.service(NAME).and_then(|s| s.rollout).expect("a roll-out");
        if rolling.step == 0 && rolling.phase == Phase::Baking {
            began.get_or_insert(w.now);
            if w.now >= next && !ended {
                w.end(0);
                ended = w.now > began.unwrap_or(0) + 20_000;
                next = w.now + 4000;
            }
        }
        if rolling.step == 1 {
            assert!(w.now >= began.expect("it baked") + 6000 || next == u64::MAX);
            next = u64::MAX;
        }
    });
    assert!(world.ends >= 3);
}

/// A driver freezes in the middle of what it does; another takes over, and the
/// first goes on as if nothing had happened.
#[test]
fn a_frozen_driver_that_comes_back_changes_nothing() {
    for seed in 0..20 {
        let mut world = with_first(100 + seed, 2);
        let mut next = 0;
        let ended = roll(&mut world, |w| {
            if w.now >= next {
                next = w.now + 9000 + w.random(8000);
                let at = usize::from(!w.nodes[0].driver.is_leader());
                w.nodes[at].frozen_until = w.now + 5000 + w.random(4000);
            }
        });
        assert_eq!(ended, RolloutProgress::Completed, "seed {seed}");
    }
}

#[test]
fn commands_race_and_are_refused_with_a_reason() {
    let mut world = with_first(7, 2);
    assert_eq!(world.start(&file("v2", "")).status, 200);
    let refused = world.start(&file("v3", ""));
    assert_eq!(refused.status, 409);
    assert!(
        refused.body["error"].as_str().is_some_and(|e| e.contains("v2") && e.contains("step 1 of 3")),
        "{refused:?}"
    );
    assert!(world.run(HOUR, |w| w.service(NAME).and_then(|s| s.rollout).is_some_and(|r| r.step == 1)));
    assert_eq!(world.command(NAME, Command::Pause).status, 200);
    assert_eq!(world.command(NAME, Command::Pause).status, 409);
    let step = |w: &World| w.service(NAME).and_then(|s| s.rollout).map(|r| r.step);
    assert!(!world.run(120_000, |w| step(w) != Some(1)), "a paused roll-out went on");
    assert_eq!(world.command(NAME, Command::Revert).status, 200);
    assert_eq!(world.command(NAME, Command::Revert).status, 409);
    // Abort during revert: it stops where it is, and can be taken up again.
    world.run(1500, |_| false);
    assert_eq!(world.command(NAME, Command::Abort).status, 200);
    world.run(30_000, |_| false);
    assert_eq!(progress(&world), RolloutProgress::Halted);
    assert_eq!(world.command(NAME, Command::Resume).status, 200);
    assert!(world.run(HOUR, over));
    assert_eq!((progress(&world), world.running("v1"), world.running("v2")), (RolloutProgress::Reverted, 6, 0));
    assert_eq!(world.command(NAME, Command::Resume).status, 409);
    assert_eq!(world.command("nothing", Command::Pause).status, 404);
    judge(&world);
}

/// A machine that is taken away in the middle of a bake is not its version's
/// fault: the replica comes back elsewhere, and the bake goes on.
#[test]
fn a_lost_machine_is_nobodys_fault() {
    let mut world = with_first(8, 1);
    let mut lost = 0;
    let ended = roll(&mut world, |w| {
        let service = w.service(NAME).expect("a record");
        let baking = service.rollout.as_ref().is_some_and(|r| r.phase == Phase::Baking);
        if baking && lost < 4 && w.random(60) == 0 {
            if let Some(member) = service.active_members().find(|m| m.version.0 == 2) {
                w.lose(&member.job.clone(), 0, 5000);
                lost += 1;
            }
        }
    });
    assert_eq!((ended, lost), (RolloutProgress::Completed, 4));
}

/// No room for the surplus, or a cut of our own: the step's deadline halts it;
/// going back would need the same room, and nobody knows that v2 is bad.
#[test]
fn want_of_room_and_our_own_cut_halt_without_blame() {
    let mut world = with_first(9, 1);
    world.capacity = 6;
    assert_eq!(roll(&mut world, |_| ()), RolloutProgress::Halted);
    let reason = world.service(NAME).and_then(|s| s.rollout).and_then(|r| r.reason).unwrap_or_default();
    assert!(reason.contains("no machine"), "{reason}");
    assert_eq!(world.running("v1"), 6);

    let mut world = with_first(10, 1);
    world.nodes[0].cut = true;
    assert_eq!(roll(&mut world, |_| ()), RolloutProgress::Halted);
    let reason = world.service(NAME).and_then(|s| s.rollout).and_then(|r| r.reason).unwrap_or_default();
    assert!(reason.contains("checked"), "{reason}");
    // With another controller that reaches them, it is told apart as well.
    let mut world = with_first(11, 2);
    let at = usize::from(!world.nodes[0].driver.is_leader());
    world.nodes[at].cut = true;
    assert_eq!(roll(&mut world, |_| ()), RolloutProgress::Halted);
}

/// A zone goes in the middle of a step: if it comes back, the step goes on; if
/// not, the roll-out halts without blame, and no old replica is given up for it.
#[test]
fn a_zone_lost_during_a_step_is_waited_for_until_the_deadline() {
    for (away, wanted) in [(20_000, RolloutProgress::Completed), (HOUR, RolloutProgress::Halted)] {
        let mut world = with_first(12, 2);
        let mut file = file("v2", "");
        file.steps[1].zone = Some("a".into());
        assert_eq!(world.start(&file).status, 200);
        let mut lost = false;
        let ended = world.run(HOUR, |w| {
            let service = w.service(NAME).expect("a record");
            let in_zone = |w: &World| w.jobs.values().filter(|j| j.zone.as_deref() == Some("a")).count();
            if !lost && service.rollout.as_ref().is_some_and(|r| r.step == 1 && r.phase == Phase::Baking) {
                assert_eq!(in_zone(w), 2, "the step's replicas are not where they should be");
                let jobs: Vec<_> =
                    service.active_members().filter(|m| m.zone.is_some()).map(|m| m.job.clone()).collect();
                jobs.iter().for_each(|job| w.lose(job, 0, away));
                lost = true;
            }
            assert!(!lost || w.running("v1") >= 3 || progress(w) == RolloutProgress::Completed || step(w) > 1);
            over(w)
        });
        assert!(ended && lost);
        assert_eq!(progress(&world), wanted);
    }
}

/// A submission that is still on its way when its job is withdrawn must not
/// bring the job to life after it left the books.
#[test]
fn a_submission_that_comes_after_the_withdrawal_starts_nothing() {
    let mut world = with_first(14, 2);
    world.hold_submits = Some(("v2".into(), world.now + 60_000));
    let mut file = file("v2", "");
    file.max_unavailable = 1;
    assert_eq!(world.start(&file).status, 200);
    assert!(world.run(5000, |w| w.service(NAME).is_some_and(|s| s.members.len() > 6)));
    world.run(300, |_| false);
    assert_eq!(world.command(NAME, Command::Revert).status, 200);
    assert!(world.run(HOUR, over));
    assert_eq!(progress(&world), RolloutProgress::Reverted);
    world.run(90_000, |_| false);
    judge(&world);
    assert_eq!((world.running("v1"), world.running("v2")), (6, 0));
}

fn step(world: &World) -> u32 {
    world.service(NAME).and_then(|s| s.rollout).map_or(0, |r| r.step)
}

/// Checks that begin to hang took all threads until the first of them had timed
/// out, and held up every other service.
#[test]
fn hanging_checks_hold_up_nobody_else() {
    let time_of_second = |hangs: bool| {
        let mut world = World::with_checks(13, 1, 8);
        let second = |version: &str| {
            let mut file = file(version, "");
            file.service = "second".into();
            file
        };
        world.start(&file("v1", ""));
        world.start(&second("v1"));
        let done = |w: &World, name: &str| {
            w.service(name).and_then(|s| s.rollout).is_some_and(|r| r.progress == RolloutProgress::Completed)
        };
        assert!(world.run(HOUR, |w| done(w, NAME) && done(w, "second")));
        let mut hanging = file("bad", "");
        hanging.check.timeout_s = 20.0;
        hanging.steps = hanging.steps.split_off(2);
        (hanging.replicas, hanging.max_surplus, hanging.steps[0].replicas) = (12, 12, Some(12));
        if hangs {
            world.manners.insert("bad".into(), RolloutStrategy::HangsAfter(0));
            world.start(&hanging);
            world.run(10_000, |_| false);
            assert_eq!(world.running("bad"), 12);
        }
        let begin = world.now;
        world.start(&second("v2"));
        assert!(world.run(HOUR, |w| w
            .service("second")
            .and_then(|s| s.rollout)
            .is_some_and(|r| r.number == 2 && r.progress == RolloutProgress::Completed)));
        world.now - begin
    };
    let (alone, beside) = (time_of_second(false), time_of_second(true));
    assert!(beside <= alone + alone / 4, "{alone} ms alone, {beside} ms beside checks that hang");
}
