//! What to change of a service's record next, from the record and from what is
//! seen of its replicas. No I/O, clocks or randomness: the same inputs give the
//! same record.

use crate::file::OnFailure;
use crate::record::{Member, Phase, Rollout, RolloutProgress, Service};
use crate::units::{JobId, Millis, VersionNumber};

/// What is seen of a member, as counts of its replicas.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct MemberStatus {
    /// Running, and ready by their checks.
    pub ready: u32,
    /// Ready, and passed their last check lately: these let a step go on.
    pub healthy: u32,
    /// Known to be of no use: not running, or not ready and failing their checks.
    pub unavailable: u32,
    /// On no machine, or on one that does not run them yet.
    pub unplaced: u32,
    /// Running, but nobody could say whether they are well.
    pub unreachable: u32,
    /// Why the member's version is to blame, if it is.
    pub fault: Option<String>,
    /// Its withdrawal was confirmed.
    pub withdrawn: bool,
}

impl MemberStatus {
    /// Replicas that may be serving: what is not known to be lost counts.
    fn may_serve(&self, member: &Member) -> u32 {
        member.replicas.saturating_sub(self.unavailable)
    }
}

/// Time that has passed in a step, counted by the driver: never less durable
/// than the record, and more as time goes by.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ElapsedTime {
    /// Time spent in the step.
    pub spent: Millis,
    /// Time for which the step's replicas have been healthy.
    pub baked: Millis,
}

/// What a change means, for logs and status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Replicas of a version were added to the books.
    Added {
        /// How many.
        replicas: u32,
        /// Their version.
        version: VersionNumber,
    },
    /// Replicas are to be withdrawn.
    Retired {
        /// How many.
        replicas: u32,
        /// Their version.
        version: VersionNumber,
    },
    /// Withdrawn members left the books.
    Removed(usize),
    /// All of a step's replicas are well: its bake time counts.
    BakeStarted(u32),
    /// This step passed, counted from 0.
    StepPassed(u32),
    /// A step failed.
    StepFailed {
        /// The step, counted from 0.
        step: u32,
        /// Why it failed.
        reason: String,
    },
    /// The roll-out ended or was halted.
    Ended(RolloutProgress),
}

/// The next record, if anything is to change, and what that means.
pub type Change = Option<(Service, Vec<Event>)>;

/// What goes into a decision beside the record.
pub struct Observations<'a> {
    /// What is seen of each member; nothing: not known.
    pub member_status: &'a dyn Fn(&JobId) -> MemberStatus,
    /// Time that has passed in the current step.
    pub elapsed: ElapsedTime,
}

/// Decides on the next change of a service. `fresh` gives ids never used before.
pub fn reconcile(service: &Service, observations: &Observations, new_job_id: &mut dyn FnMut() -> JobId) -> Change {
    let mut work = Reconciliation { next: service.clone(), observations, new_job_id, events: vec![] };
    work.remove_withdrawn();
    let active = work.next.rollout.as_ref().is_some_and(Rollout::active);
    if active {
        work.advance();
    }
    (work.next != *service).then_some((work.next, work.events))
}

struct Reconciliation<'a> {
    next: Service,
    observations: &'a Observations<'a>,
    new_job_id: &'a mut dyn FnMut() -> JobId,
    events: Vec<Event>,
}

impl Reconciliation<'_> {
    fn member_status(&self, member: &Member) -> MemberStatus {
        (self.observations.member_status)(&member.job)
    }

    /// Members whose withdrawal was confirmed leave the books.
    fn remove_withdrawn(&mut self) {
        let before = self.next.members.len();
        let member_status = self.observations.member_status;
        self.next.members.retain(|m| !m.retiring || !member_status(&m.job).withdrawn);
        let gone = before - self.next.members.len();
        if gone > 0 {
            self.events.push(Event::Removed(gone));
            self.next.prune_versions();
        }
    }

    fn advance(&mut self) {
        let Some(rollout) = self.next.rollout.clone() else { return };
        let faulted = match rollout.phase {
            Phase::Reverting => None,
            Phase::ScalingUp | Phase::Baking => self.fault(&rollout).or_else(|| self.overdue(&rollout)),
        };
        if let Some((reason, progress)) = faulted {
            return self.fail(reason, progress);
        }
        if rollout.progress == RolloutProgress::Paused {
            return;
        }
        match rollout.phase {
            Phase::ScalingUp => self.scale_up_new(&rollout),
            Phase::Baking => self.bake(&rollout),
            Phase::Reverting => self.revert(&rollout),
        }
    }

    /// Why the new version is to blame, if it is.
    fn fault(&self, rollout: &Rollout) -> Option<(String, OnFailure)> {
        let new = self.next.active_members().filter(|m| m.version == rollout.to);
        let fault = new.filter_map(|m| Some((m, self.member_status(m).fault?))).next();
        fault.map(|(member, why)| (format!("{}: {why}", member.job), rollout.on_failure))
    }

    /// Why a step that took too long did. A lack of machines or a cut of our
    /// own is no fault of the version's: going back would need the same.
    fn overdue(&self, rollout: &Rollout) -> Option<(String, OnFailure)> {
        let plan = rollout.plan()?;
        if self.observations.elapsed.spent < plan.deadline {
            return None;
        }
        let (mut unplaced, mut unreachable, mut slow) = (0, 0, 0);
        for member in self.next.active_members().filter(|m| m.version == rollout.to) {
            let member_status = self.member_status(member);
            unplaced += member_status.unplaced;
            unreachable += member_status.unreachable;
            slow += member
                .replicas
                .saturating_sub(member_status.healthy + member_status.unplaced + member_status.unreachable);
        }
        let text = |what: String| format!("step {} was not done by its deadline: {what}", rollout.step + 1);
        Some(if slow > 0 {
            (text(format!("{slow} replicas were not ready")), rollout.on_failure)
        } else if unreachable > 0 {
            (text(format!("{unreachable} replicas could not be checked from anywhere")), OnFailure::Halt)
        } else if unplaced > 0 {
            (text(format!("{unplaced} replicas had no machine")), OnFailure::Halt)
        } else {
            (text("no room within the bounds, or old replicas not gone".into()), OnFailure::Halt)
        })
    }

    fn fail(&mut self, reason: String, progress: OnFailure) {
        let Some(rollout) = self.next.rollout.as_mut() else { return };
        let step = rollout.step;
        rollout.reason = Some(reason.clone());
        match progress {
            OnFailure::Halt => rollout.progress = RolloutProgress::Halted,
            OnFailure::Revert => {
                rollout.progress = RolloutProgress::InProgress;
                rollout.begin_phase(Phase::Reverting);
            }
        }
        self.events.push(Event::StepFailed { step, reason });
        if progress == OnFailure::Halt {
            self.events.push(Event::Ended(RolloutProgress::Halted));
        }
    }

    /// Brings out the step's replicas and lets old ones go, within the bounds.
    fn scale_up_new(&mut self, rollout: &Rollout) {
        let Some(plan) = rollout.plan().cloned() else { return };
        let total = self.next.versions.get(&rollout.to).map_or(plan.target, |v| v.replicas);
        let new = self.count(|m| m.version == rollout.to);
        let old = self.count(|m| m.version != rollout.to);
        // Old replicas left when the step is done, rounded up.
        let left = (u64::from(rollout.initial_replicas) * u64::from(total - plan.target.min(total)))
            .div_ceil(u64::from(total.max(1)));
        let left = u32::try_from(left).unwrap_or(u32::MAX);
        self.add(rollout, rollout.to, plan.target.saturating_sub(new), |_| plan.zone.clone());
        let mut order: Vec<Member> = self.next.active_members().filter(|m| m.version != rollout.to).cloned().collect();
        order.sort_by_key(|m| (self.member_status(m).may_serve(m), plan.zone.is_some() && m.zone != plan.zone));
        let excess = old.saturating_sub(left);
        let retired = self.retire(rollout, order, excess, false);
        if retired < excess || new < plan.target {
            // A group larger than what is to go stays until a later step.
            let smallest = self.next.active_members().filter(|m| m.version != rollout.to).map(|m| m.replicas).min();
            if new < plan.target || smallest.is_some_and(|n| n <= excess - retired) {
                return;
            }
        }
        if retired == 0 && self.none_retiring() && self.all_healthy(rollout.to) {
            let spent = self.observations.elapsed.spent;
            self.change(|r| {
                // The step's own time goes on; only its bake begins.
                r.phase = Phase::Baking;
                r.spent = r.spent.max(spent);
                r.baked = Millis(0);
            });
            self.events.push(Event::BakeStarted(rollout.step));
        }
    }

    /// Waits until the step's replicas have stayed well for long enough.
    fn bake(&mut self, rollout: &Rollout) {
        let Some(plan) = rollout.plan() else { return };
        let passed = self.observations.elapsed;
        if passed.baked < plan.bake || !self.all_healthy(rollout.to) {
            return self.save_progress(rollout, plan.bake);
        }
        self.events.push(Event::StepPassed(rollout.step));
        if rollout.step as usize + 1 < rollout.steps.len() {
            return self.change(|r| {
                r.step += 1;
                r.begin_phase(Phase::ScalingUp);
            });
        }
        self.change(|r| r.progress = RolloutProgress::Completed);
        self.next.base = Some(rollout.to);
        self.next.prune_versions();
        self.events.push(Event::Ended(RolloutProgress::Completed));
    }

    /// Makes time durable now and then, so that a restart costs little of it.
    fn save_progress(&mut self, rollout: &Rollout, bake: Millis) {
        let piece = Millis((bake.0 / 8).max(2000));
        let passed = self.observations.elapsed;
        if passed.baked >= rollout.baked + piece || passed.spent >= rollout.spent + Millis(piece.0 * 4) {
            self.change(|r| {
                r.baked = r.baked.max(passed.baked);
                r.spent = r.spent.max(passed.spent);
            });
        }
    }

    /// Takes new replicas back, the last step's first and lost ones at once,
    /// and brings the old version's back.
    fn revert(&mut self, rollout: &Rollout) {
        let back = self.next.base.filter(|b| *b != rollout.to);
        let wrong = |m: &Member| Some(m.version) != back;
        let mut order: Vec<Member> = self.next.active_members().filter(|m| wrong(m)).cloned().collect();
        order.sort_by_key(|m| std::cmp::Reverse((m.version == rollout.to, m.step)));
        if let Some(back) = back {
            let have = self.count(|m| m.version == back);
            let size = self.next.versions.get(&back).map_or(0, |v| v.replicas);
            // Each comes to the zone of one that goes; some may have come already.
            let mut ahead = (have + order.iter().map(|m| m.replicas).sum::<u32>()).saturating_sub(size);
            let not_matched = order.iter().skip_while(|m| {
                let matched = ahead > 0;
                ahead = ahead.saturating_sub(m.replicas);
                matched
            });
            let mut zones: Vec<Option<String>> = not_matched.map(|m| m.zone.clone()).collect();
            zones.reverse();
            self.add(rollout, back, size.saturating_sub(have), |own| zones.pop().unwrap_or(own));
        }
        let all = order.iter().map(|m| m.replicas).sum();
        self.retire(rollout, order, all, true);
        let done = self.next.active_members().all(|m| !wrong(m)) && self.none_retiring();
        if done && back.is_none_or(|back| self.all_healthy(back)) {
            self.change(|r| r.progress = RolloutProgress::Reverted);
            self.next.prune_versions();
            return self.events.push(Event::Ended(RolloutProgress::Reverted));
        }
        let patience = rollout.steps.iter().map(|s| s.deadline).max().unwrap_or_default();
        if self.observations.elapsed.spent >= patience {
            let why = rollout.reason.clone().unwrap_or_default();
            self.change(|r| {
                r.progress = RolloutProgress::Halted;
                r.reason = Some(format!("{why}; the version before was not all back by the deadline"));
            });
            self.events.push(Event::Ended(RolloutProgress::Halted));
        } else {
            self.save_progress(rollout, patience);
        }
    }

    fn change(&mut self, with: impl FnOnce(&mut Rollout)) {
        if let Some(rollout) = self.next.rollout.as_mut() {
            with(rollout);
        }
    }

    fn count(&self, of: impl Fn(&Member) -> bool) -> u32 {
        self.next.active_members().filter(|m| of(m)).map(|m| m.replicas).sum()
    }

    /// Nothing is on its way out.
    fn none_retiring(&self) -> bool {
        self.next.members.iter().all(|m| !m.retiring)
    }

    fn all_healthy(&self, version: VersionNumber) -> bool {
        self.next.active_members().filter(|m| m.version == version).all(|m| self.member_status(m).healthy >= m.replicas)
    }

    /// Adds replicas of a version as far as the ceiling allows.
    fn add(
        &mut self,
        rollout: &Rollout,
        version: VersionNumber,
        mut missing: u32,
        mut zone: impl FnMut(Option<String>) -> Option<String>,
    ) {
        let Some((group, own)) = self.next.versions.get(&version).map(|v| (v.group.max(1), v.job.zone.clone())) else {
            return;
        };
        let mut added = 0;
        while missing > 0 {
            let replicas = missing.min(group);
            if self.next.recorded_replicas() + replicas > rollout.ceiling {
                break;
            }
            let (job, zone) = ((self.new_job_id)(), zone(own.clone()));
            self.next.members.push(Member { job, version, replicas, step: rollout.step, zone, retiring: false });
            missing -= replicas;
            added += replicas;
        }
        if added > 0 {
            self.events.push(Event::Added { replicas: added, version });
        }
    }

    /// Marks members to be withdrawn, `most` replicas in all, as far as the
    /// floor allows; those of no use cost nothing. In order, none healthy is
    /// passed over for a later one. Returns how many replicas were marked.
    fn retire(&mut self, rollout: &Rollout, order: Vec<Member>, most: u32, in_order: bool) -> u32 {
        let mut available: u32 = self.next.active_members().map(|m| self.member_status(m).ready.min(m.replicas)).sum();
        let mut retired = 0;
        let mut blocked = false;
        for member in order {
            let member_status = self.member_status(&member);
            let cost = member_status.may_serve(&member);
            if retired + member.replicas > most || (blocked && cost > 0) {
                continue;
            }
            if cost > 0 && available < rollout.floor.saturating_add(cost) {
                blocked = in_order;
                continue;
            }
            available -= member_status.ready.min(cost).min(available);
            retired += member.replicas;
            if let Some(found) = self.next.members.iter_mut().find(|m| m.job == member.job) {
                found.retiring = true;
            }
            self.events.push(Event::Retired { replicas: member.replicas, version: member.version });
        }
        retired
    }
}
