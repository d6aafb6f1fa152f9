//! What checks and reports say of each replica of a service.
//!
//! A failed check alone does not blame a version: its machine may have been
//! taken away. It counts once the machine has reported after the check and
//! still runs the same attempt.

use crate::file::{Check, CheckKind};
use crate::ports::{ObservedReplica, Probe, ReplicaState, Verdict};
use crate::reconcile::MemberStatus;
use crate::record::Member;
use crate::units::{JobId, Millis, ReplicaKey};
use std::collections::{BTreeMap, BTreeSet};

/// Failed checks of a replica that are remembered until its machine reports.
const MAX_UNCONFIRMED_FAILURES: usize = 1001;

/// What is known of one replica.
#[derive(Debug, Clone, Default)]
pub struct ReplicaHealth {
    /// The latest status from the owner of its shard; `None` before the first.
    pub observed: Option<ObservedReplica>,
    /// Checks passed in a row by this attempt.
    pub consecutive_passes: u32,
    /// Checks failed in a row by this attempt.
    pub consecutive_failures: u32,
    /// Failures in this step, of checks once ready and of attempts.
    pub step_failures: u32,
    /// Whether it has passed enough checks in a row and not failed too many since.
    pub ready: bool,
    /// This attempt was ready at some time.
    pub was_ready: bool,
    /// The last verdict, and when it came.
    pub last_verdict: Option<(Millis, Verdict)>,
    /// When a check last got through to it from here.
    last_contact: Option<Millis>,
    /// Why its version is to blame.
    pub fault: Option<String>,
    /// Failed checks that its machine has not vouched for yet, and when the
    /// last of them failed.
    unconfirmed_failures: Vec<String>,
    last_unconfirmed_at: Millis,
    /// The last failed attempt that was counted.
    last_failed_attempt: u64,
    /// A check is under way.
    check_running: bool,
    next_check: Millis,
}

impl ReplicaHealth {
    /// A new attempt has nothing to show for itself yet.
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

    /// Where its check goes, once its machine's address is known.
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

/// What is known of all replicas of a service.
#[derive(Debug, Default)]
pub struct Health {
    replicas: BTreeMap<ReplicaKey, ReplicaHealth>,
    /// Addresses that several replicas share.
    shared_addrs: BTreeSet<String>,
}

impl Health {
    /// All known replicas, ordered by key.
    pub fn replicas(&self) -> impl Iterator<Item = (&ReplicaKey, &ReplicaHealth)> {
        self.replicas.iter()
    }

    /// Forgets replicas of members that are gone.
    pub fn retain(&mut self, mut keep: impl FnMut(&JobId) -> bool) {
        self.replicas.retain(|key, _| keep(&key.0));
    }

    /// A new step begins: failures count from nothing, readiness stays.
    pub fn reset_step(&mut self) {
        for replica in self.replicas.values_mut() {
            replica.step_failures = 0;
            replica.fault = None;
            replica.unconfirmed_failures.clear();
        }
    }

    /// Takes in what an owner said of a replica when asked at `asked`; older
    /// words change nothing.
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

    /// Notes that a check got through to a replica, whatever it found.
    pub fn record_contact(&mut self, now: Millis, key: &ReplicaKey) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.last_contact = Some(now);
        }
    }

    /// Takes in the verdict on an attempt; one on an earlier attempt is void.
    pub fn record_verdict(&mut self, now: Millis, key: &ReplicaKey, attempt: u64, verdict: Verdict, check: &Check) {
        let Some(replica) = self.replicas.get_mut(key) else { return };
        replica.check_running = false;
        if replica.is_running() && replica.observed.as_ref().is_some_and(|s| s.attempt == attempt) {
            apply_verdict(replica, now, verdict, check);
        }
    }

    /// Replicas whose check is due, with what to ask; the most overdue first.
    /// Two that share an address can't be told apart: neither is checked.
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

    /// Finds replicas that share an address, among members with their checks.
    pub fn update_shared_addrs<'a>(&mut self, members: impl Iterator<Item = (&'a Member, &'a Check)>) {
        let mut once = BTreeSet::new();
        self.shared_addrs.clear();
        for (member, check) in members.filter(|(_, check)| check.kind != CheckKind::Up) {
            for index in 0..member.replicas {
                let replica = self.replicas.get(&(member.job.clone(), index)).filter(|r| r.is_running());
                if let Some(addr) = replica.and_then(|r| r.addr(index, check)) {
                    if !once.insert(addr.clone()) {
                        self.shared_addrs.insert(addr);
                    }
                }
            }
        }
    }

    /// A check has begun.
    pub fn check_started(&mut self, now: Millis, key: &ReplicaKey, check: &Check) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.check_running = true;
            replica.next_check = now + Millis::from_secs(check.interval_s);
        }
    }

    /// True if another replica of the service was reached from here since this
    /// one was last found out of reach. The first time proves nothing: a cut of
    /// our own may just have begun.
    pub fn others_reached(&self, key: &ReplicaKey) -> bool {
        let last = self.replicas.get(key).and_then(|r| r.last_verdict.as_ref());
        let Some((since, _)) = last.filter(|(_, verdict)| matches!(verdict, Verdict::Unreachable(_))) else {
            return false;
        };
        self.replicas.iter().any(|(other, replica)| other != key && replica.last_contact.is_some_and(|at| at > *since))
    }

    /// What is seen of a member.
    pub fn member_status(&self, now: Millis, member: &Member, check: &Check) -> MemberStatus {
        let lately = Millis::from_secs(2.0 * check.interval_s + check.timeout_s + 1.0);
        let mut seen = MemberStatus::default();
        for index in 0..member.replicas {
            let Some(replica) = self.replicas.get(&(member.job.clone(), index)) else { continue };
            let Some(state) = replica.state() else { continue };
            let last = replica.last_verdict.as_ref();
            let placed = matches!(state, ReplicaState::Running | ReplicaState::Terminating);
            seen.ready += u32::from(replica.ready && state == ReplicaState::Running);
            let running = state == ReplicaState::Running;
            let lately = |at: &Millis| now.since(*at) <= lately;
            let passed = last.is_some_and(|(at, v)| *v == Verdict::Pass && lately(at));
            let failed = last.is_some_and(|(_, v)| matches!(v, Verdict::Fail(_)));
            seen.healthy += u32::from(replica.ready && running && passed);
            seen.unavailable += u32::from(!placed || (!replica.ready && failed));
            let unplaced = matches!(state, ReplicaState::Pending | ReplicaState::Starting);
            seen.unplaced += u32::from(unplaced && replica.step_failures == 0);
            // Out of reach, never checked, or not lately: no word against it.
            let unknown = !last.is_some_and(|(at, v)| !matches!(v, Verdict::Unreachable(_)) && lately(at));
            seen.unreachable += u32::from(running && unknown);
            if seen.fault.is_none() {
                seen.fault.clone_from(&replica.fault);
            }
        }
        seen
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
            // Until it was ready it is still starting: the deadline bounds that.
            if replica.was_ready && replica.unconfirmed_failures.len() < MAX_UNCONFIRMED_FAILURES {
                replica.unconfirmed_failures.push(why.clone());
                replica.last_unconfirmed_at = now;
            }
            if replica.consecutive_failures > check.failures_allowed {
                replica.ready = false;
            }
        }
        // Proves nothing either way.
        Verdict::Unreachable(_) => {}
    }
    replica.last_verdict = Some((now, verdict));
}
