//! Health of a service's replicas, from health checks and heartbeats.
//!
//! A failed check alone does not count against a version, because the machine
//! may have been reclaimed. The failure counts once a heartbeat that the machine
//! sent after the check shows that it still runs the same attempt.

use crate::file::{Check, CheckKind};
use crate::ports::{ObservedReplica, Probe, ReplicaState, Verdict};
use crate::reconcile::MemberStatus;
use crate::record::Member;
use crate::units::{JobId, Millis, ReplicaKey};
use std::collections::{BTreeMap, BTreeSet};

/// Failed checks of one replica that are kept until a heartbeat confirms them.
const MAX_UNCONFIRMED_FAILURES: usize = 1001;

/// Observed state and check results of one replica.
#[derive(Debug, Clone, Default)]
pub struct ReplicaHealth {
    /// The latest status from the owner of its shard; `None` before the first.
    pub observed: Option<ObservedReplica>,
    /// Checks passed in a row by this attempt.
    pub consecutive_passes: u32,
    /// Checks failed in a row by this attempt.
    pub consecutive_failures: u32,
    /// Failures in this step: failed attempts, and failed checks of an attempt
    /// that was ready before.
    pub step_failures: u32,
    /// True if the attempt passed enough checks in a row and has not failed too
    /// many in a row since.
    pub ready: bool,
    /// True if this attempt has ever been ready.
    pub was_ready: bool,
    /// The last verdict and when it was received.
    pub last_verdict: Option<(Millis, Verdict)>,
    /// When a check from this controller last connected to the replica.
    last_contact: Option<Millis>,
    /// Why the failures are attributed to the version, if they are.
    pub fault: Option<String>,
    /// Failed checks that no heartbeat has confirmed yet.
    unconfirmed_failures: Vec<String>,
    /// When the last of the unconfirmed failures was received.
    last_unconfirmed_at: Millis,
    /// Number of the last failed attempt that was counted.
    last_failed_attempt: u64,
    check_running: bool,
    next_check: Millis,
}

impl ReplicaHealth {
    /// Clears the results of the previous attempt.
    fn reset_attempt(&mut self) {
        self.consecutive_passes = 0;
        self.consecutive_failures = 0;
        self.ready = false;
        self.was_ready = false;
        self.last_verdict = None;
        self.unconfirmed_failures.clear();
    }

    fn state(&self) -> Option<ReplicaState> {
        self.observed.as_ref().map(|s| s.state)
    }

    fn is_running(&self) -> bool {
        self.state() == Some(ReplicaState::Running)
    }

    /// Address to check; `None` while the machine's address is unknown.
    fn addr(&self, index: u32, check: &Check) -> Option<String> {
        let host = self.observed.as_ref().map(|s| &s.host).filter(|host| !host.is_empty())?;
        let port = u16::try_from(u32::from(check.port) + index * u32::from(check.port_step)).ok()?;
        Some(format!("{host}:{port}"))
    }

    fn record_failure(&mut self, why: &str, allowed: u32) {
        self.step_failures += 1;
        if self.step_failures > allowed {
            self.fault.get_or_insert_with(|| format!("{why} (failure {} in this step)", self.step_failures));
        }
    }
}

/// Health of all replicas of a service.
#[derive(Debug, Default)]
pub struct Health {
    replicas: BTreeMap<ReplicaKey, ReplicaHealth>,
    /// Addresses that more than one replica reports.
    shared_addrs: BTreeSet<String>,
}

impl Health {
    /// Returns the replicas ordered by key.
    pub fn replicas(&self) -> impl Iterator<Item = (&ReplicaKey, &ReplicaHealth)> {
        self.replicas.iter()
    }

    /// Drops the replicas of jobs for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&JobId) -> bool) {
        self.replicas.retain(|key, _| keep(&key.0));
    }

    /// Resets the failure counts at the start of a step; readiness is kept.
    pub fn reset_step(&mut self) {
        for replica in self.replicas.values_mut() {
            replica.step_failures = 0;
            replica.fault = None;
            replica.unconfirmed_failures.clear();
        }
    }

    /// Records an owner's report on a replica, requested at `asked`. Ignores
    /// reports that are older than the last one.
    pub fn observe(&mut self, now: Millis, asked: Millis, reported: ObservedReplica, check: &Check) {
        let replica = self.replicas.entry(reported.replica.clone()).or_default();
        let order = |s: &ObservedReplica| (s.attempt, s.token);
        if replica.observed.as_ref().is_some_and(|known| order(&reported) < order(known)) {
            return;
        }
        if replica.observed.as_ref().is_some_and(|known| known.attempt != reported.attempt) {
            replica.reset_attempt();
        }
        if reported.failed_attempt > replica.last_failed_attempt {
            replica.last_failed_attempt = reported.failed_attempt;
            replica.reset_attempt();
            replica.record_failure("the replica failed by itself", check.failures_allowed);
        }
        if reported.state == ReplicaState::Ended {
            replica.fault.get_or_insert_with(|| "the replica ended by itself".into());
        }
        let heartbeat_at = asked.since(reported.heartbeat_age);
        let gone = !matches!(reported.state, ReplicaState::Running | ReplicaState::Terminating);
        replica.observed = Some(reported);
        if gone {
            replica.reset_attempt();
        } else if replica.is_running() && heartbeat_at > replica.last_unconfirmed_at {
            for why in std::mem::take(&mut replica.unconfirmed_failures) {
                replica.record_failure(&why, check.failures_allowed);
            }
        }
        if replica.is_running() && check.kind == CheckKind::Up && now >= replica.next_check {
            replica.next_check = now + Millis::from_secs(check.interval_s);
            apply_verdict(replica, now, Verdict::Pass, check);
        }
    }

    /// Records that a check connected to a replica, whatever its verdict.
    pub fn record_contact(&mut self, now: Millis, key: &ReplicaKey) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.last_contact = Some(now);
        }
    }

    /// Records the verdict on an attempt; ignored if the attempt is not current.
    pub fn record_verdict(&mut self, now: Millis, key: &ReplicaKey, attempt: u64, verdict: Verdict, check: &Check) {
        let Some(replica) = self.replicas.get_mut(key) else { return };
        replica.check_running = false;
        if replica.is_running() && replica.observed.as_ref().is_some_and(|s| s.attempt == attempt) {
            apply_verdict(replica, now, verdict, check);
        }
    }

    /// Returns the checks of a member that are due: due time, replica, attempt
    /// and probe. Replicas that share an address can't be told apart, so they
    /// are not checked and get an `Unreachable` verdict.
    pub fn due_checks(&mut self, now: Millis, member: &Member, check: &Check) -> Vec<(Millis, ReplicaKey, u64, Probe)> {
        if check.kind == CheckKind::Up {
            return vec![];
        }
        let mut due = vec![];
        for index in 0..member.replicas {
            let key = (member.job.clone(), index);
            let Some(replica) =
                self.replicas.get(&key).filter(|r| r.is_running() && !r.check_running && now >= r.next_check)
            else {
                continue;
            };
            let Some(addr) = replica.addr(index, check) else { continue };
            let (next, attempt) = (replica.next_check, replica.observed.as_ref().map_or(0, |s| s.attempt));
            if !self.shared_addrs.contains(&addr) {
                let replica = format!("{}/{index}@{attempt}", member.job);
                due.push((next, key, attempt, Probe { replica, addr, check: check.clone() }));
            } else if let Some(replica) = self.replicas.get_mut(&key) {
                replica.next_check = now + Millis::from_secs(check.interval_s);
                let why = format!("another replica has the same address, {addr}");
                apply_verdict(replica, now, Verdict::Unreachable(why), check);
            }
        }
        due
    }

    /// Finds the addresses that running replicas of these members share.
    pub fn update_shared_addrs<'a>(&mut self, members: impl Iterator<Item = (&'a Member, &'a Check)>) {
        let mut known = BTreeSet::new();
        self.shared_addrs.clear();
        for (member, check) in members.filter(|(_, check)| check.kind != CheckKind::Up) {
            for index in 0..member.replicas {
                let replica = self.replicas.get(&(member.job.clone(), index)).filter(|r| r.is_running());
                if let Some(addr) = replica.and_then(|r| r.addr(index, check)) {
                    if !known.insert(addr.clone()) {
                        self.shared_addrs.insert(addr);
                    }
                }
            }
        }
    }

    /// Records that a check was started, and schedules the next one.
    pub fn check_started(&mut self, now: Millis, key: &ReplicaKey, check: &Check) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.check_running = true;
            replica.next_check = now + Millis::from_secs(check.interval_s);
        }
    }

    /// True if this controller connected to another replica of the service after
    /// the previous check of this one ended as unreachable. False if the previous
    /// check did not: this controller may just have lost its own network.
    pub fn others_reached(&self, key: &ReplicaKey) -> bool {
        let last = self.replicas.get(key).and_then(|r| r.last_verdict.as_ref());
        let Some((since, _)) = last.filter(|(_, verdict)| matches!(verdict, Verdict::Unreachable(_))) else {
            return false;
        };
        self.replicas.iter().any(|(other, replica)| other != key && replica.last_contact.is_some_and(|at| at > *since))
    }

    /// Returns the observed status of a member.
    pub fn member_status(&self, now: Millis, member: &Member, check: &Check) -> MemberStatus {
        let max_verdict_age = Millis::from_secs(2.0 * check.interval_s + check.timeout_s + 1.0);
        let mut status = MemberStatus::default();
        for index in 0..member.replicas {
            let Some(replica) = self.replicas.get(&(member.job.clone(), index)) else { continue };
            let Some(state) = replica.state() else { continue };
            let last = replica.last_verdict.as_ref();
            let placed = matches!(state, ReplicaState::Running | ReplicaState::Terminating);
            status.ready += u32::from(replica.ready && state == ReplicaState::Running);
            let running = state == ReplicaState::Running;
            let is_recent = |at: &Millis| now.since(*at) <= max_verdict_age;
            let passed = last.is_some_and(|(at, v)| *v == Verdict::Pass && is_recent(at));
            let failed = last.is_some_and(|(_, v)| matches!(v, Verdict::Fail(_)));
            status.healthy += u32::from(replica.ready && running && passed);
            status.unavailable += u32::from(!placed || (!replica.ready && failed));
            let unplaced = matches!(state, ReplicaState::Pending | ReplicaState::Starting);
            status.unplaced += u32::from(unplaced && replica.step_failures == 0);
            // Unreachable, never checked or not checked recently: no evidence of a fault.
            let unknown = !last.is_some_and(|(at, v)| !matches!(v, Verdict::Unreachable(_)) && is_recent(at));
            status.unreachable += u32::from(running && unknown);
            if status.fault.is_none() {
                status.fault.clone_from(&replica.fault);
            }
        }
        status
    }
}

fn apply_verdict(replica: &mut ReplicaHealth, now: Millis, verdict: Verdict, check: &Check) {
    match &verdict {
        Verdict::Pass => {
            replica.consecutive_failures = 0;
            replica.consecutive_passes = replica.consecutive_passes.saturating_add(1);
            if replica.consecutive_passes >= check.successes {
                replica.ready = true;
                replica.was_ready = true;
            }
        }
        Verdict::Fail(why) => {
            replica.consecutive_passes = 0;
            replica.consecutive_failures = replica.consecutive_failures.saturating_add(1);
            // Failures of an attempt that was never ready are not counted: it may
            // still be starting, which the step's deadline bounds.
            if replica.was_ready && replica.unconfirmed_failures.len() < MAX_UNCONFIRMED_FAILURES {
                replica.unconfirmed_failures.push(why.clone());
                replica.last_unconfirmed_at = now;
            }
            if replica.consecutive_failures > check.failures_allowed {
                replica.ready = false;
            }
        }
        // No evidence of success or failure.
        Verdict::Unreachable(_) => {}
    }
    replica.last_verdict = Some((now, verdict));
}
