//! Every state that small roll-outs can reach, by a breadth-first search over
//! the pure decisions: replicas may be lost, turn bad, or come late at any time,
//! time may run out, and an operator may command once.

use std::collections::{BTreeMap, HashMap, VecDeque};
use tillercleat_rollout::file::RollOut;
use tillercleat_rollout::reconcile::{reconcile, ElapsedTime, MemberStatus, Observations};
use tillercleat_rollout::record::{Command, Member, Phase, Rollout, RolloutProgress, Service};
use tillercleat_rollout::units::{JobId, Millis};

/// How a member fares. `Fresh`: nothing is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Fare {
    Fresh,
    Lost,
    Ready,
    Bad,
}

#[derive(Debug, Clone)]
struct World {
    service: Service,
    fares: BTreeMap<JobId, Fare>,
    passed: ElapsedTime,
    commanded: bool,
    ids: u32,
}

type Key = (Vec<Member>, Option<Rollout>, BTreeMap<JobId, Fare>, ElapsedTime, bool);

const BAKE: Millis = Millis(4000);
const DEADLINE: Millis = Millis(10_000);

fn file(version: &str, unavailable: u32, surplus: u32, steps: &[u32], on_failure: &str) -> RollOut {
    let steps: String =
        steps.iter().map(|n| format!("[[step]]\nreplicas = {n}\nbake_s = 4\ndeadline_s = 10\n")).collect();
    RollOut::from_toml(&format!(
        "service = \"s\"\nversion = \"{version}\"\nreplicas = 3\non_failure = \"{on_failure}\"\n\
         max_unavailable = {unavailable}\nmax_surplus = {surplus}\n\
         job = {{ class = \"c\", team = \"t\", cpus = 1.0, mem_gb = 1.0, image = \"i\" }}\n\
         check = {{ kind = \"up\" }}\n{steps}"
    ))
    .expect("a roll-out")
}

impl World {
    fn key(&self) -> Key {
        let service = &self.service;
        (service.members.clone(), service.rollout.clone(), self.fares.clone(), self.passed, self.commanded)
    }

    fn fare(&self, job: &JobId) -> Fare {
        self.fares.get(job).copied().unwrap_or(Fare::Fresh)
    }

    fn ready(&self) -> u32 {
        self.service.active_members().filter(|m| self.fare(&m.job) == Fare::Ready).map(|m| m.replicas).sum()
    }

    fn seen(&self, job: &JobId) -> MemberStatus {
        let is = |fare| u32::from(self.fare(job) == fare);
        MemberStatus {
            ready: is(Fare::Ready),
            healthy: is(Fare::Ready),
            unavailable: is(Fare::Lost) + is(Fare::Bad),
            unplaced: is(Fare::Lost),
            unreachable: 0,
            fault: (self.fare(job) == Fare::Bad).then(|| "bad".into()),
            withdrawn: !self.service.active_members().any(|m| m.job == *job) && self.fare(job) == Fare::Lost,
        }
    }

    fn rolling(&self) -> &Rollout {
        self.service.rollout.as_ref().expect("a roll-out")
    }

    fn decided(&self) -> Option<World> {
        let mut next = self.clone();
        let mut ids = self.ids;
        let mut fresh = || {
            ids += 1;
            JobId(format!("wk-{ids}"))
        };
        let seen = |job: &JobId| self.seen(job);
        let (service, _) =
            reconcile(&self.service, &Observations { member_status: &seen, elapsed: self.passed }, &mut fresh)?;
        next.ids = ids;
        let before = (self.rolling().step, self.rolling().phase == Phase::Reverting);
        next.service = service;
        let after = (next.rolling().step, next.rolling().phase == Phase::Reverting);
        if before != after {
            next.passed = ElapsedTime::default();
        } else if self.rolling().phase != next.rolling().phase {
            next.passed.baked = Millis(0);
        }
        next.fares.retain(|job, _| next.service.members.iter().any(|m| m.job == *job));
        Some(next)
    }

    fn successors(&self, may_go_bad: bool) -> Vec<World> {
        let mut found: Vec<World> = self.decided().into_iter().collect();
        let rolling = self.rolling();
        for member in &self.service.members {
            let fares: &[Fare] = match (member.retiring, self.fare(&member.job)) {
                (true, Fare::Lost) => &[],
                (true, _) => &[Fare::Lost],
                (false, Fare::Bad) => &[],
                (false, Fare::Ready) if may_go_bad && member.version == rolling.to => &[Fare::Lost, Fare::Bad],
                (false, Fare::Ready) => &[Fare::Lost],
                (false, _) => &[Fare::Ready],
            };
            for fare in fares {
                let mut next = self.clone();
                next.fares.insert(member.job.clone(), *fare);
                found.push(next);
            }
        }
        if rolling.progress == RolloutProgress::InProgress {
            let well =
                self.service.active_members().all(|m| m.version != rolling.to || self.fare(&m.job) == Fare::Ready);
            if rolling.phase == Phase::Baking && well && self.passed.baked < BAKE {
                let mut next = self.clone();
                next.passed.baked = BAKE;
                found.push(next);
            }
            if self.passed.spent < DEADLINE {
                let mut next = self.clone();
                next.passed.spent = DEADLINE;
                found.push(next);
            }
        }
        if rolling.progress == RolloutProgress::Paused {
            let service = self.service.command(&Command::Resume, 64 * 1024).expect("resumes");
            found.push(World { service, ..self.clone() });
        }
        if !self.commanded {
            for command in [Command::Pause, Command::Abort, Command::Revert] {
                if let Ok(service) = self.service.command(&command, 64 * 1024) {
                    let turned = service.rollout.as_ref().is_some_and(|r| r.phase != rolling.phase);
                    let passed = if turned { ElapsedTime::default() } else { self.passed };
                    found.push(World { service, commanded: true, passed, ..self.clone() });
                }
            }
        }
        found
    }
}

/// What must hold whenever one state follows another.
fn check(from: &World, to: &World) {
    let (before, after) = (from.rolling(), to.rolling());
    assert!(to.service.recorded_replicas() <= after.ceiling, "too many on the books: {to:?}");
    let let_go = from.service.active_members().count() > to.service.active_members().count();
    if let_go {
        let (had, have) = (from.ready(), to.ready());
        assert!(have >= after.floor.min(had), "{had} to {have} ready, bound {}: {from:?} to {to:?}", after.floor);
    }
    for member in from.service.members.iter().filter(|m| m.retiring) {
        let came_back = to.service.active_members().any(|m| m.job == member.job);
        assert!(!came_back, "{member:?} came back");
    }
    if after.step != before.step {
        assert_eq!(after.step, before.step + 1, "a step was skipped or begun twice");
        assert!(
            before.phase == Phase::Baking && before.progress == RolloutProgress::InProgress,
            "{before:?} to {after:?}"
        );
        let mut new = from.service.active_members().filter(|m| m.version == before.to);
        assert!(new.all(|m| from.fare(&m.job) == Fare::Ready), "a step passed with replicas not well");
        assert!(from.passed.baked >= BAKE, "a step passed before its time");
    }
    if before.phase == Phase::Reverting {
        assert_eq!(after.phase, Phase::Reverting, "a roll-out that turned back went on");
    }
    if matches!(after.progress, RolloutProgress::Completed) {
        assert!(to.service.active_members().all(|m| m.version == after.to) && after.reason.is_none());
    }
    if matches!(after.progress, RolloutProgress::Halted | RolloutProgress::Reverted) {
        assert!(after.reason.is_some(), "ended without a reason: {after:?}");
    }
}

/// Explores everything; the number of states, and of those that end.
fn explore(first: World, may_go_bad: bool) -> (usize, BTreeMap<RolloutProgress, usize>) {
    let mut index: HashMap<Key, usize> = HashMap::from([(first.key(), 0)]);
    let mut ends: BTreeMap<RolloutProgress, usize> = BTreeMap::new();
    let mut back: Vec<Vec<usize>> = vec![vec![]];
    let mut over = vec![];
    let mut queue = VecDeque::from([(0, first)]);
    while let Some((at, world)) = queue.pop_front() {
        if !world.rolling().active() {
            over.push(at);
            *ends.entry(world.rolling().progress).or_default() += 1;
        }
        for next in world.successors(may_go_bad) {
            check(&world, &next);
            let fresh = index.len();
            let to = *index.entry(next.key()).or_insert(fresh);
            if to == fresh {
                back.push(vec![]);
                queue.push_back((to, next));
            }
            back[to].push(at);
            assert!(index.len() < 3_000_000, "too many states");
        }
    }
    // No state may be a dead end: an end can be reached from each of them.
    let mut ending = vec![false; index.len()];
    while let Some(at) = over.pop() {
        if !std::mem::replace(&mut ending[at], true) {
            over.extend(&back[at]);
        }
    }
    let stuck = index.iter().find(|(_, at)| !ending[**at]);
    assert!(stuck.is_none(), "never ends: {stuck:?}");
    (index.len(), ends)
}

/// A service all of whose replicas have the first version and are ready.
fn settled(unavailable: u32, surplus: u32) -> World {
    let start = Command::Start(Box::new(file("v1", unavailable, surplus, &[3], "halt")));
    let service = Service::default().command(&start, 64 * 1024).expect("starts");
    let mut world = World { service, fares: BTreeMap::new(), passed: ElapsedTime::default(), commanded: true, ids: 0 };
    for _ in 0..20 {
        if let Some(next) = world.decided() {
            world = next;
        }
        for member in &world.service.members {
            world.fares.insert(member.job.clone(), Fare::Ready);
        }
        world.passed.baked = BAKE;
    }
    assert_eq!(world.rolling().progress, RolloutProgress::Completed);
    world
}

#[test]
fn small_roll_outs_keep_their_bounds_in_every_state() {
    for (unavailable, surplus) in [(0, 1), (1, 0), (1, 1)] {
        for (on_failure, steps) in [("revert", &[1, 2, 3][..]), ("halt", &[1, 3][..])] {
            let mut world = settled(unavailable, surplus);
            let start = Command::Start(Box::new(file("v2", unavailable, surplus, steps, on_failure)));
            world.service = world.service.command(&start, 64 * 1024).expect("starts");
            world.passed = ElapsedTime::default();
            world.commanded = false;
            let (states, ends) = explore(world, true);
            assert!(states > 500, "{states} states only");
            assert!(
                ends.contains_key(&RolloutProgress::Completed) && ends.contains_key(&RolloutProgress::Halted),
                "{ends:?}"
            );
            assert!(ends.contains_key(&RolloutProgress::Reverted), "{ends:?}");
        }
    }
}

/// The first roll-out of a service has nothing to go back to.
#[test]
fn a_first_roll_out_ends_with_all_or_nothing() {
    let start = Command::Start(Box::new(file("v1", 0, 1, &[1, 3], "revert")));
    let service = Service::default().command(&start, 64 * 1024).expect("starts");
    let world = World { service, fares: BTreeMap::new(), passed: ElapsedTime::default(), commanded: false, ids: 0 };
    let (_, ends) = explore(world, true);
    assert!(
        ends.contains_key(&RolloutProgress::Reverted) && ends.contains_key(&RolloutProgress::Completed),
        "{ends:?}"
    );
}
