//! Explores every state that small roll-outs can reach, by a breadth-first search over the
//! decisions of `reconcile`: at any time replicas may be lost, become faulty or become ready late,
//! a deadline may expire, and an operator may issue one command.

use std::collections::{BTreeMap, HashMap, VecDeque};
use tillercleat_rollout::file::RollOut;
use tillercleat_rollout::reconcile::{reconcile, ElapsedTime, MemberStatus, Observations};
use tillercleat_rollout::record::{Command, Member, Phase, Rollout, RolloutProgress, Service};
use tillercleat_rollout::units::{JobId, Millis};

/// Health of a member. `Unknown`: not observed yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Health {
    Unknown,
    Lost,
    Ready,
    Faulty,
}

#[derive(Debug, Clone)]
struct ModelState {
    service: Service,
    health: BTreeMap<JobId, Health>,
    elapsed: ElapsedTime,
    operator_acted: bool,
    last_job_id: u32,
}

type Key = (Vec<Member>, Option<Rollout>, BTreeMap<JobId, Health>, ElapsedTime, bool);

const BAKE: Millis = Millis(4000);
const DEADLINE: Millis = Millis(10_000);

fn rollout_file(version: &str, unavailable: u32, surplus: u32, steps: &[u32], on_failure: &str) -> RollOut {
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

impl ModelState {
    fn key(&self) -> Key {
        let service = &self.service;
        (service.members.clone(), service.rollout.clone(), self.health.clone(), self.elapsed, self.operator_acted)
    }

    fn health_of(&self, job: &JobId) -> Health {
        self.health.get(job).copied().unwrap_or(Health::Unknown)
    }

    fn ready(&self) -> u32 {
        self.service.active_members().filter(|m| self.health_of(&m.job) == Health::Ready).map(|m| m.replicas).sum()
    }

    fn member_status(&self, job: &JobId) -> MemberStatus {
        let is = |health| u32::from(self.health_of(job) == health);
        MemberStatus {
            ready: is(Health::Ready),
            healthy: is(Health::Ready),
            unavailable: is(Health::Lost) + is(Health::Faulty),
            unplaced: is(Health::Lost),
            unreachable: 0,
            fault: (self.health_of(job) == Health::Faulty).then(|| "bad".into()),
            withdrawn: !self.service.active_members().any(|m| m.job == *job) && self.health_of(job) == Health::Lost,
        }
    }

    fn rollout(&self) -> &Rollout {
        self.service.rollout.as_ref().expect("a roll-out")
    }

    fn reconciled(&self) -> Option<ModelState> {
        let mut next = self.clone();
        let mut last_job_id = self.last_job_id;
        let mut new_job_id = || {
            last_job_id += 1;
            JobId(format!("wk-{last_job_id}"))
        };
        let member_status = |job: &JobId| self.member_status(job);
        let (service, _) = reconcile(
            &self.service,
            &Observations { member_status: &member_status, elapsed: self.elapsed },
            &mut new_job_id,
        )?;
        next.last_job_id = last_job_id;
        let before = (self.rollout().step, self.rollout().phase == Phase::Reverting);
        next.service = service;
        let after = (next.rollout().step, next.rollout().phase == Phase::Reverting);
        if before != after {
            next.elapsed = ElapsedTime::default();
        } else if self.rollout().phase != next.rollout().phase {
            next.elapsed.baked = Millis(0);
        }
        next.health.retain(|job, _| next.service.members.iter().any(|m| m.job == *job));
        Some(next)
    }

    fn successors(&self, may_fail: bool) -> Vec<ModelState> {
        let mut successors: Vec<ModelState> = self.reconciled().into_iter().collect();
        let rollout = self.rollout();
        for member in &self.service.members {
            let next_health: &[Health] = match (member.retiring, self.health_of(&member.job)) {
                (true, Health::Lost) => &[],
                (true, _) => &[Health::Lost],
                (false, Health::Faulty) => &[],
                (false, Health::Ready) if may_fail && member.version == rollout.to => &[Health::Lost, Health::Faulty],
                (false, Health::Ready) => &[Health::Lost],
                (false, _) => &[Health::Ready],
            };
            for health in next_health {
                let mut next = self.clone();
                next.health.insert(member.job.clone(), *health);
                successors.push(next);
            }
        }
        if rollout.progress == RolloutProgress::InProgress {
            let all_ready = self
                .service
                .active_members()
                .all(|m| m.version != rollout.to || self.health_of(&m.job) == Health::Ready);
            if rollout.phase == Phase::Baking && all_ready && self.elapsed.baked < BAKE {
                let mut next = self.clone();
                next.elapsed.baked = BAKE;
                successors.push(next);
            }
            if self.elapsed.spent < DEADLINE {
                let mut next = self.clone();
                next.elapsed.spent = DEADLINE;
                successors.push(next);
            }
        }
        if rollout.progress == RolloutProgress::Paused {
            let service = self.service.command(&Command::Resume, 64 * 1024).expect("resumes");
            successors.push(ModelState { service, ..self.clone() });
        }
        if !self.operator_acted {
            for command in [Command::Pause, Command::Abort, Command::Revert] {
                if let Ok(service) = self.service.command(&command, 64 * 1024) {
                    let phase_changed = service.rollout.as_ref().is_some_and(|r| r.phase != rollout.phase);
                    let elapsed = if phase_changed { ElapsedTime::default() } else { self.elapsed };
                    successors.push(ModelState { service, operator_acted: true, elapsed, ..self.clone() });
                }
            }
        }
        successors
    }
}

/// Checks the invariants of a transition.
fn assert_valid_transition(from: &ModelState, to: &ModelState) {
    let (before, after) = (from.rollout(), to.rollout());
    assert!(to.service.recorded_replicas() <= after.ceiling, "too many recorded replicas: {to:?}");
    let members_removed = from.service.active_members().count() > to.service.active_members().count();
    if members_removed {
        let (ready_before, ready_after) = (from.ready(), to.ready());
        assert!(
            ready_after >= after.floor.min(ready_before),
            "ready replicas fell from {ready_before} to {ready_after}, floor is {}: {from:?} to {to:?}",
            after.floor
        );
    }
    for member in from.service.members.iter().filter(|m| m.retiring) {
        let reactivated = to.service.active_members().any(|m| m.job == member.job);
        assert!(!reactivated, "{member:?} is no longer retiring");
    }
    if after.step != before.step {
        assert_eq!(after.step, before.step + 1, "a step was skipped or repeated");
        assert!(
            before.phase == Phase::Baking && before.progress == RolloutProgress::InProgress,
            "{before:?} to {after:?}"
        );
        let mut new = from.service.active_members().filter(|m| m.version == before.to);
        assert!(new.all(|m| from.health_of(&m.job) == Health::Ready), "a step passed with replicas that are not ready");
        assert!(from.elapsed.baked >= BAKE, "a step passed before its bake time");
    }
    if before.phase == Phase::Reverting {
        assert_eq!(after.phase, Phase::Reverting, "a reverting roll-out changed its phase");
    }
    if matches!(after.progress, RolloutProgress::Completed) {
        assert!(to.service.active_members().all(|m| m.version == after.to) && after.reason.is_none());
    }
    if matches!(after.progress, RolloutProgress::Halted | RolloutProgress::Reverted) {
        assert!(after.reason.is_some(), "ended without a reason: {after:?}");
    }
}

/// Explores all states reachable from `initial`. Returns the number of states, and the number of finished
/// states by outcome.
fn explore(initial: ModelState, may_fail: bool) -> (usize, BTreeMap<RolloutProgress, usize>) {
    let mut index: HashMap<Key, usize> = HashMap::from([(initial.key(), 0)]);
    let mut outcomes: BTreeMap<RolloutProgress, usize> = BTreeMap::new();
    let mut predecessors: Vec<Vec<usize>> = vec![vec![]];
    let mut finished = vec![];
    let mut queue = VecDeque::from([(0, initial)]);
    while let Some((at, state)) = queue.pop_front() {
        if !state.rollout().active() {
            finished.push(at);
            *outcomes.entry(state.rollout().progress).or_default() += 1;
        }
        for next in state.successors(may_fail) {
            assert_valid_transition(&state, &next);
            let new_index = index.len();
            let to = *index.entry(next.key()).or_insert(new_index);
            if to == new_index {
                predecessors.push(vec![]);
                queue.push_back((to, next));
            }
            predecessors[to].push(at);
            assert!(index.len() < 3_000_000, "too many states");
        }
    }
    // A finished state must be reachable from every state.
    let mut can_finish = vec![false; index.len()];
    while let Some(at) = finished.pop() {
        if !std::mem::replace(&mut can_finish[at], true) {
            finished.extend(&predecessors[at]);
        }
    }
    let stuck = index.iter().find(|(_, at)| !can_finish[**at]);
    assert!(stuck.is_none(), "cannot finish: {stuck:?}");
    (index.len(), outcomes)
}

/// State in which all replicas run v1 and are ready.
fn completed_v1(unavailable: u32, surplus: u32) -> ModelState {
    let start = Command::Start(Box::new(rollout_file("v1", unavailable, surplus, &[3], "halt")));
    let service = Service::default().command(&start, 64 * 1024).expect("starts");
    let mut state = ModelState {
        service,
        health: BTreeMap::new(),
        elapsed: ElapsedTime::default(),
        operator_acted: true,
        last_job_id: 0,
    };
    for _ in 0..20 {
        if let Some(next) = state.reconciled() {
            state = next;
        }
        for member in &state.service.members {
            state.health.insert(member.job.clone(), Health::Ready);
        }
        state.elapsed.baked = BAKE;
    }
    assert_eq!(state.rollout().progress, RolloutProgress::Completed);
    state
}

#[test]
fn invariants_hold_in_every_state_of_small_roll_outs() {
    for (unavailable, surplus) in [(0, 1), (1, 0), (1, 1)] {
        for (on_failure, steps) in [("revert", &[1, 2, 3][..]), ("halt", &[1, 3][..])] {
            let mut state = completed_v1(unavailable, surplus);
            let start = Command::Start(Box::new(rollout_file("v2", unavailable, surplus, steps, on_failure)));
            state.service = state.service.command(&start, 64 * 1024).expect("starts");
            state.elapsed = ElapsedTime::default();
            state.operator_acted = false;
            let (states, outcomes) = explore(state, true);
            assert!(states > 500, "only {states} states");
            assert!(
                outcomes.contains_key(&RolloutProgress::Completed) && outcomes.contains_key(&RolloutProgress::Halted),
                "{outcomes:?}"
            );
            assert!(outcomes.contains_key(&RolloutProgress::Reverted), "{outcomes:?}");
        }
    }
}

/// The first roll-out of a service has no earlier version to revert to.
#[test]
fn first_roll_out_can_complete_or_revert() {
    let start = Command::Start(Box::new(rollout_file("v1", 0, 1, &[1, 3], "revert")));
    let service = Service::default().command(&start, 64 * 1024).expect("starts");
    let state = ModelState {
        service,
        health: BTreeMap::new(),
        elapsed: ElapsedTime::default(),
        operator_acted: false,
        last_job_id: 0,
    };
    let (_, outcomes) = explore(state, true);
    assert!(
        outcomes.contains_key(&RolloutProgress::Reverted) && outcomes.contains_key(&RolloutProgress::Completed),
        "{outcomes:?}"
    );
}
