//! Computes the next record of a service from its record and the observed state
//! of its replicas. No I/O, clocks or randomness: the same inputs give the same
//! record.

use crate::file::OnFailure;
use crate::record::{Member, Phase, Rollout, RolloutProgress, Service};
use crate::units::{JobId, Millis, VersionNumber};

/// Observed state of a member, as counts of its replicas.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct MemberStatus {
    /// Running and ready according to their checks.
    pub ready: u32,
    /// Running, ready, and recently passed their last check. A step advances only
    /// while all of its replicas are healthy.
    pub healthy: u32,
    /// Known not to serve: not started yet, ended, or not ready with a failed last check.
    pub unavailable: u32,
    /// Without a machine, or on a machine that does not run them yet, and without
    /// a failure in this step.
    pub unplaced: u32,
    /// Running, but with neither a recent pass nor a recent failure of a check.
    pub unreachable: u32,
    /// Why the member's failures are attributed to its version, if they are.
    pub fault: Option<String>,
    /// True if the platform confirmed that the job was withdrawn.
    pub withdrawn: bool,
}

impl MemberStatus {
    /// Counts the replicas that may be serving: all that are not known to be
    /// unavailable.
    fn may_serve(&self, member: &Member) -> u32 {
        member.replicas.saturating_sub(self.unavailable)
    }
}

/// Time that has elapsed in a step as counted by the driver. Starts from the
/// times in the record and is written back to it at intervals.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ElapsedTime {
    /// Time spent in the step while it could advance.
    pub spent: Millis,
    /// Time during which all of the step's replicas have been healthy.
    pub baked: Millis,
}

/// What a change of a record did, for logs and metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Replicas of a version were added to the record.
    Added {
        /// Number of replicas.
        replicas: u32,
        /// Version of the replicas.
        version: VersionNumber,
    },
    /// A member was marked as retiring.
    Retired {
        /// Number of replicas.
        replicas: u32,
        /// Version of the replicas.
        version: VersionNumber,
    },
    /// This many withdrawn members were removed from the record.
    Removed(usize),
    /// All replicas of this step are healthy and its bake time starts. The index
    /// of the step is counted from 0.
    BakeStarted(u32),
    /// The step with this index passed, counted from 0.
    StepPassed(u32),
    /// A step failed.
    StepFailed {
        /// Index of the step, from 0.
        step: u32,
        /// Why the step failed.
        reason: String,
    },
    /// The roll-out ended or was halted.
    Ended(RolloutProgress),
}

/// The next record and what it changes; `None` if nothing changes.
pub type Change = Option<(Service, Vec<Event>)>;

/// Inputs of a decision besides the record.
pub struct Observations<'a> {
    /// Returns the observed state of a member; all 0 if unknown.
    pub member_status: &'a dyn Fn(&JobId) -> MemberStatus,
    /// Time elapsed in the current step.
    pub elapsed: ElapsedTime,
}

/// Decides on the next change of a service. `new_job_id` returns ids that were
/// never used before.
pub fn reconcile(service: &Service, observations: &Observations, new_job_id: &mut dyn FnMut() -> JobId) -> Change {
    let mut reconciliation = Reconciliation { next: service.clone(), observations, new_job_id, events: vec![] };
    reconciliation.remove_withdrawn();
    let active = reconciliation.next.rollout.as_ref().is_some_and(Rollout::active);
    if active {
        reconciliation.advance();
    }
    (reconciliation.next != *service).then_some((reconciliation.next, reconciliation.events))
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

    /// Removes the members whose withdrawal was confirmed.
    fn remove_withdrawn(&mut self) {
        let before = self.next.members.len();
        let member_status = self.observations.member_status;
        self.next.members.retain(|m| !m.retiring || !member_status(&m.job).withdrawn);
        let removed = before - self.next.members.len();
        if removed > 0 {
            self.events.push(Event::Removed(removed));
            self.next.prune_versions();
        }
    }

    fn advance(&mut self) {
        let Some(rollout) = self.next.rollout.clone() else { return };
        let failure = match rollout.phase {
            Phase::Reverting => None,
            Phase::ScalingUp | Phase::Baking => self.fault(&rollout).or_else(|| self.overdue(&rollout)),
        };
        if let Some((reason, action)) = failure {
            return self.fail(reason, action);
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

    /// Returns the first fault of the new version's members, if any, with the
    /// action to take.
    fn fault(&self, rollout: &Rollout) -> Option<(String, OnFailure)> {
        let new = self.next.active_members().filter(|m| m.version == rollout.to);
        let fault = new.filter_map(|m| Some((m, self.member_status(m).fault?))).next();
        fault.map(|(member, why)| (format!("{}: {why}", member.job), rollout.on_failure))
    }

    /// Returns why the step missed its deadline, if it did, with the action to
    /// take. A lack of machines or of network halts the roll-out instead of
    /// reverting it: it is no fault of the version, and a revert would need the
    /// same machines and network.
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

    fn fail(&mut self, reason: String, action: OnFailure) {
        let Some(rollout) = self.next.rollout.as_mut() else { return };
        let step = rollout.step;
        rollout.reason = Some(reason.clone());
        match action {
            OnFailure::Halt => rollout.progress = RolloutProgress::Halted,
            OnFailure::Revert => {
                rollout.progress = RolloutProgress::InProgress;
                rollout.begin_phase(Phase::Reverting);
            }
        }
        self.events.push(Event::StepFailed { step, reason });
        if action == OnFailure::Halt {
            self.events.push(Event::Ended(RolloutProgress::Halted));
        }
    }

    /// Adds the step's replicas and retires old ones within `floor` and `ceiling`.
    /// Starts the bake time once that is done and all new replicas are healthy.
    fn scale_up_new(&mut self, rollout: &Rollout) {
        let Some(plan) = rollout.plan().cloned() else { return };
        let total = self.next.versions.get(&rollout.to).map_or(plan.target, |v| v.replicas);
        let new = self.count_replicas(|m| m.version == rollout.to);
        let old = self.count_replicas(|m| m.version != rollout.to);
        // Old replicas that remain at the end of the step, rounded up.
        let remaining = (u64::from(rollout.initial_replicas) * u64::from(total - plan.target.min(total)))
            .div_ceil(u64::from(total.max(1)));
        let remaining = u32::try_from(remaining).unwrap_or(u32::MAX);
        self.add(rollout, rollout.to, plan.target.saturating_sub(new), |_| plan.zone.clone());
        let mut candidates: Vec<Member> =
            self.next.active_members().filter(|m| m.version != rollout.to).cloned().collect();
        candidates.sort_by_key(|m| (self.member_status(m).may_serve(m), plan.zone.is_some() && m.zone != plan.zone));
        let excess = old.saturating_sub(remaining);
        let retired = self.retire(rollout, candidates, excess, false);
        if retired < excess || new < plan.target {
            // A group larger than the remaining excess stays until a later step.
            let smallest = self.next.active_members().filter(|m| m.version != rollout.to).map(|m| m.replicas).min();
            if new < plan.target || smallest.is_some_and(|n| n <= excess - retired) {
                return;
            }
        }
        if retired == 0 && self.none_retiring() && self.all_healthy(rollout.to) {
            let spent = self.observations.elapsed.spent;
            self.update_rollout(|r| {
                // The time of the step continues; only the bake time starts at 0.
                r.phase = Phase::Baking;
                r.spent = r.spent.max(spent);
                r.baked = Millis(0);
            });
            self.events.push(Event::BakeStarted(rollout.step));
        }
    }

    /// Passes the step once its replicas have stayed healthy for the bake time.
    fn bake(&mut self, rollout: &Rollout) {
        let Some(plan) = rollout.plan() else { return };
        let elapsed = self.observations.elapsed;
        if elapsed.baked < plan.bake || !self.all_healthy(rollout.to) {
            return self.save_progress(rollout, plan.bake);
        }
        self.events.push(Event::StepPassed(rollout.step));
        if rollout.step as usize + 1 < rollout.steps.len() {
            return self.update_rollout(|r| {
                r.step += 1;
                r.begin_phase(Phase::ScalingUp);
            });
        }
        self.update_rollout(|r| r.progress = RolloutProgress::Completed);
        self.next.base = Some(rollout.to);
        self.next.prune_versions();
        self.events.push(Event::Ended(RolloutProgress::Completed));
    }

    /// Writes the elapsed times to the record at intervals, so that a restart
    /// loses little of them.
    fn save_progress(&mut self, rollout: &Rollout, bake: Millis) {
        let interval = Millis((bake.0 / 8).max(2000));
        let elapsed = self.observations.elapsed;
        if elapsed.baked >= rollout.baked + interval || elapsed.spent >= rollout.spent + Millis(interval.0 * 4) {
            self.update_rollout(|r| {
                r.baked = r.baked.max(elapsed.baked);
                r.spent = r.spent.max(elapsed.spent);
            });
        }
    }

    /// Retires the replicas of the new version, those of the latest step first and
    /// unavailable ones regardless of the floor, and adds replicas of the previous
    /// version.
    fn revert(&mut self, rollout: &Rollout) {
        let previous = self.next.base.filter(|b| *b != rollout.to);
        let is_outdated = |m: &Member| Some(m.version) != previous;
        let mut candidates: Vec<Member> = self.next.active_members().filter(|m| is_outdated(m)).cloned().collect();
        candidates.sort_by_key(|m| std::cmp::Reverse((m.version == rollout.to, m.step)));
        if let Some(previous) = previous {
            let have = self.count_replicas(|m| m.version == previous);
            let size = self.next.versions.get(&previous).map_or(0, |v| v.replicas);
            // Each added replica takes the zone of a retired one. The first
            // `already_replaced` of those have their replacement already.
            let mut already_replaced = (have + candidates.iter().map(|m| m.replicas).sum::<u32>()).saturating_sub(size);
            let not_matched = candidates.iter().skip_while(|m| {
                let matched = already_replaced > 0;
                already_replaced = already_replaced.saturating_sub(m.replicas);
                matched
            });
            let mut zones: Vec<Option<String>> = not_matched.map(|m| m.zone.clone()).collect();
            zones.reverse();
            self.add(rollout, previous, size.saturating_sub(have), |own| zones.pop().unwrap_or(own));
        }
        let all = candidates.iter().map(|m| m.replicas).sum();
        self.retire(rollout, candidates, all, true);
        let done = self.next.active_members().all(|m| !is_outdated(m)) && self.none_retiring();
        if done && previous.is_none_or(|previous| self.all_healthy(previous)) {
            self.update_rollout(|r| r.progress = RolloutProgress::Reverted);
            self.next.prune_versions();
            return self.events.push(Event::Ended(RolloutProgress::Reverted));
        }
        let deadline = rollout.steps.iter().map(|s| s.deadline).max().unwrap_or_default();
        if self.observations.elapsed.spent >= deadline {
            let why = rollout.reason.clone().unwrap_or_default();
            self.update_rollout(|r| {
                r.progress = RolloutProgress::Halted;
                r.reason = Some(format!("{why}; the version before was not all back by the deadline"));
            });
            self.events.push(Event::Ended(RolloutProgress::Halted));
        } else {
            self.save_progress(rollout, deadline);
        }
    }

    fn update_rollout(&mut self, update: impl FnOnce(&mut Rollout)) {
        if let Some(rollout) = self.next.rollout.as_mut() {
            update(rollout);
        }
    }

    fn count_replicas(&self, include: impl Fn(&Member) -> bool) -> u32 {
        self.next.active_members().filter(|m| include(m)).map(|m| m.replicas).sum()
    }

    /// True if no member is retiring.
    fn none_retiring(&self) -> bool {
        self.next.members.iter().all(|m| !m.retiring)
    }

    fn all_healthy(&self, version: VersionNumber) -> bool {
        self.next.active_members().filter(|m| m.version == version).all(|m| self.member_status(m).healthy >= m.replicas)
    }

    /// Adds up to `missing` replicas of a version, as far as the ceiling allows.
    /// `zone` maps the zone of the version's job to that of each added group.
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

    /// Marks `candidates` as retiring, up to `max_replicas` replicas, as far as
    /// the floor allows; unavailable replicas do not count against the floor. If
    /// `in_order`, a member that has to stay also keeps all later ones that may be
    /// serving. Returns how many replicas were marked.
    fn retire(&mut self, rollout: &Rollout, candidates: Vec<Member>, max_replicas: u32, in_order: bool) -> u32 {
        let mut available: u32 = self.next.active_members().map(|m| self.member_status(m).ready.min(m.replicas)).sum();
        let mut retired = 0;
        let mut blocked = false;
        for member in candidates {
            let member_status = self.member_status(&member);
            let cost = member_status.may_serve(&member);
            if retired + member.replicas > max_replicas || (blocked && cost > 0) {
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
