//! Schedules health checks. A service whose checks hang gets only a share of the
//! check slots, and the most overdue checks start first.

use super::{Driver, Output, PendingCall};
use crate::file::Check;
use crate::ports::{Answer, Call, Probe, Verdict};
use crate::units::{CheckId, Millis, ReplicaKey};
use std::collections::BTreeMap;

/// A failed check is slow if it takes at least this share of its time-out.
const SLOW_CHECK_RATIO: f64 = 0.8;

/// A check that is due.
struct DueCheck {
    service: String,
    replica: ReplicaKey,
    attempt: u64,
    probe: Probe,
    /// True if the last check of the service was slow.
    slow: bool,
}

/// A check that was started and has no verdict yet.
#[derive(Debug)]
pub(super) struct RunningCheck {
    service: String,
    replica: ReplicaKey,
    attempt: u64,
    addr: String,
    started_at: Millis,
    slow: bool,
}

impl Driver {
    /// Starts the checks that are due, as far as slots are free.
    pub(super) fn begin_checks(&mut self, names: &[String]) {
        let slots = self.config.checks.max(1);
        let mut free = slots.saturating_sub(self.running_checks.len());
        if free == 0 {
            return;
        }
        let due = self.due_checks(names);
        // At most half of the slots go to services whose checks are slow, so that
        // the other services never wait for them.
        let slow_slots = (slots / 2).max(1);
        // A service whose checks start to hang must not take all slots before a
        // check is known to be slow. This also holds for a single service, because
        // another one may be added.
        let max_per_service = (slots / names.len().max(2)).max(1);
        let mut busy: BTreeMap<String, usize> = BTreeMap::new();
        for running_checks in self.running_checks.values() {
            *busy.entry(running_checks.service.clone()).or_default() += 1;
        }
        let mut slow_busy = self.running_checks.values().filter(|u| u.slow).count();
        for DueCheck { service, replica, attempt, probe, slow } in due {
            if free == 0 {
                break;
            }
            if slow && slow_busy >= slow_slots && slots > 1 {
                continue;
            }
            let service_busy = busy.entry(service.clone()).or_default();
            if *service_busy >= max_per_service {
                continue;
            }
            *service_busy += 1;
            slow_busy += usize::from(slow);
            free -= 1;
            self.begin_check(DueCheck { service, replica, attempt, probe, slow });
        }
    }

    /// Returns the checks that are due in these services, the most overdue first.
    fn due_checks(&mut self, names: &[String]) -> Vec<DueCheck> {
        let now = self.now;
        let mut due = vec![];
        for name in names {
            let Some(tracked) = self.services.get_mut(name) else { continue };
            for member in tracked.record.members.iter().filter(|m| !m.retiring) {
                let Some(version) = tracked.record.versions.get(&member.version) else { continue };
                for (due_at, replica, attempt, probe) in tracked.health.due_checks(now, member, &version.check) {
                    let check = DueCheck { service: name.clone(), replica, attempt, probe, slow: tracked.slow };
                    due.push((due_at, check));
                }
            }
        }
        due.sort_by(|a, b| (a.0, &a.1.replica).cmp(&(b.0, &b.1.replica)));
        due.into_iter().map(|(_, check)| check).collect()
    }

    /// Takes a slot for a check and outputs the check.
    fn begin_check(&mut self, due: DueCheck) {
        let DueCheck { service, replica, attempt, probe, slow } = due;
        let now = self.now;
        if let Some(tracked) = self.services.get_mut(&service) {
            tracked.health.check_started(now, &replica, &probe.check);
        }
        self.last_check += 1;
        let id = CheckId(self.last_check);
        let addr = probe.addr.clone();
        self.running_checks.insert(id, RunningCheck { service, replica, attempt, addr, started_at: now, slow });
        self.outputs.push(Output::Probe(id, probe));
    }

    /// Handles the verdict of a check; ignored if the check is not running.
    pub fn verdict(&mut self, now: Millis, id: CheckId, verdict: Verdict) -> Vec<Output> {
        self.now = self.now.max(now);
        let Some(RunningCheck { service, replica, attempt, addr, started_at, .. }) = self.running_checks.remove(&id)
        else {
            return vec![];
        };
        let Some(check) = self.check_of(&service, &replica) else { return vec![] };
        if let Some(tracked) = self.services.get_mut(&service) {
            let took = self.now.since(started_at).0 as f64 / 1000.0;
            tracked.slow = verdict != Verdict::Pass && took >= SLOW_CHECK_RATIO * check.timeout_s;
        }
        match verdict {
            Verdict::Unreachable(why) => {
                let pending = PendingCall::Reach { service, replica, attempt, why };
                self.call(Call::Reach { addr }, pending);
            }
            verdict => {
                if let Some(tracked) = self.services.get_mut(&service) {
                    tracked.health.record_contact(self.now, &replica);
                }
                self.record_verdict(&service, &replica, attempt, verdict, &check);
            }
        }
        std::mem::take(&mut self.outputs)
    }

    /// Turns the other controllers' answer on an unreachable replica into a
    /// verdict: a failure only if they can't reach it either, or if they did not
    /// answer but this controller reaches other replicas.
    pub(super) fn reachability_answer(
        &mut self,
        service: &str,
        replica: &ReplicaKey,
        attempt: u64,
        why: String,
        answer: &Answer,
    ) {
        let Some(check) = self.check_of(service, replica) else { return };
        let others = match answer {
            Answer::Reached(others) => *others,
            _ => None,
        };
        let reaches_others = |d: &Driver| d.services.get(service).is_some_and(|t| t.health.others_reached(replica));
        let verdict = match others {
            Some(true) => Verdict::Unreachable(format!("{why}, but other controllers reach it")),
            Some(false) => Verdict::Fail(format!("{why}, nor do other controllers reach it")),
            None if reaches_others(self) => Verdict::Fail(format!("{why}, while other replicas are reached")),
            None => Verdict::Unreachable(format!("{why}, nor is any other replica reached from here")),
        };
        self.record_verdict(service, replica, attempt, verdict, &check);
    }

    fn record_verdict(&mut self, service: &str, replica: &ReplicaKey, attempt: u64, verdict: Verdict, check: &Check) {
        let now = self.now;
        if let Some(tracked) = self.services.get_mut(service) {
            tracked.health.record_verdict(now, replica, attempt, verdict, check);
        }
    }

    fn check_of(&self, service: &str, replica: &ReplicaKey) -> Option<Check> {
        let tracked = self.services.get(service)?;
        let member = tracked.record.members.iter().find(|m| m.job == replica.0)?;
        tracked.check(member).cloned()
    }
}
