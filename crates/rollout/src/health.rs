//! What checks and reports say of each replica of a service.
//!
//! A failed check alone does not blame a version: its machine may have been
//! taken away. It counts once the machine has reported after the check and
//! still runs the same attempt.

use crate::file::{Check, CheckKind};
use crate::ports::{Probe, ReplicaSeen, Standing, Verdict};
use crate::reconcile::MemberStatus;
use crate::record::Member;
use crate::units::{JobId, Millis, ReplicaKey};
use std::collections::{BTreeMap, BTreeSet};

/// Failed checks of a replica that are remembered until its machine reports.
const MOST_DOUBTS: usize = 1001;

/// What is known of one replica.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    /// The latest status from the owner of its shard; `None` before the first.
    pub seen: Option<ReplicaSeen>,
    /// Checks passed in a row by this attempt.
    pub passes: u32,
    /// Checks failed in a row by this attempt.
    pub fails: u32,
    /// Failures in this step, of checks once ready and of attempts.
    pub failures: u32,
    /// Whether it has passed enough checks in a row and not failed too many since.
    pub ready: bool,
    /// This attempt was ready at some time.
    pub was_ready: bool,
    /// The last verdict, and when it came.
    pub last: Option<(Millis, Verdict)>,
    /// When a check last got through to it from here.
    contact: Option<Millis>,
    /// Why its version is to blame.
    pub fault: Option<String>,
    /// Failed checks that its machine has not vouched for yet, and when the
    /// last of them failed.
    doubts: Vec<String>,
    doubted_at: Millis,
    /// The last failed attempt that was counted.
    error: u64,
    /// A check is under way.
    checking: bool,
    next: Millis,
}

impl Replica {
    /// A new attempt has nothing to show for itself yet.
    fn begin_attempt(&mut self) {
        self.passes = 0;
        self.fails = 0;
        self.ready = false;
        self.was_ready = false;
        self.last = None;
        self.doubts.clear();
    }

    fn standing(&self) -> Option<Standing> {
        self.seen.as_ref().map(|s| s.standing)
    }

    fn runs(&self) -> bool {
        self.standing() == Some(Standing::Running)
    }

    /// Where its check goes, once its machine's address is known.
    fn addr(&self, index: u32, check: &Check) -> Option<String> {
        let host = self.seen.as_ref().map(|s| &s.host).filter(|host| !host.is_empty())?;
        let port = u16::try_from(u32::from(check.port) + index * u32::from(check.port_step)).ok()?;
        Some(format!("{host}:{port}"))
    }

    fn failed(&mut self, why: &str, allowed: u32) {
        self.failures += 1;
        if self.failures > allowed {
            self.fault.get_or_insert_with(|| format!("{why} (failure {} in this step)", self.failures));
        }
    }
}

/// What is known of all replicas of a service.
#[derive(Debug, Default)]
pub struct Health {
    replicas: BTreeMap<ReplicaKey, Replica>,
    /// Addresses that several replicas share.
    shared: BTreeSet<String>,
}

impl Health {
    /// All known replicas, ordered by key.
    pub fn replicas(&self) -> impl Iterator<Item = (&ReplicaKey, &Replica)> {
        self.replicas.iter()
    }

    /// Forgets replicas of members that are gone.
    pub fn keep(&mut self, mut stays: impl FnMut(&JobId) -> bool) {
        self.replicas.retain(|key, _| stays(&key.0));
    }

    /// A new step begins: failures count from nothing, readiness stays.
    pub fn begin_step(&mut self) {
        for replica in self.replicas.values_mut() {
            replica.failures = 0;
            replica.fault = None;
            replica.doubts.clear();
        }
    }

    /// Takes in what an owner said of a replica when asked at `asked`; older
    /// words change nothing.
    pub fn observe(&mut self, now: Millis, asked: Millis, reported: ReplicaSeen, check: &Check) {
        let replica = self.replicas.entry(reported.replica.clone()).or_default();
        let order = |s: &ReplicaSeen| (s.attempt, s.token);
        if replica.seen.as_ref().is_some_and(|known| order(&reported) < order(known)) {
            return;
        }
        if replica.seen.as_ref().is_some_and(|known| known.attempt != reported.attempt) {
            replica.begin_attempt();
        }
        if reported.error > replica.error {
            replica.error = reported.error;
            replica.begin_attempt();
            replica.failed("the replica failed by itself", check.failures_allowed);
        }
        if reported.standing == Standing::Ended {
            replica.fault.get_or_insert_with(|| "the replica ended by itself".into());
        }
        let heartbeat_at = asked.since(reported.age);
        let gone = !matches!(reported.standing, Standing::Running | Standing::Leaving);
        replica.seen = Some(reported);
        if gone {
            replica.begin_attempt();
        } else if replica.runs() && heartbeat_at > replica.doubted_at {
            for why in std::mem::take(&mut replica.doubts) {
                replica.failed(&why, check.failures_allowed);
            }
        }
        if replica.runs() && check.kind == CheckKind::Up && now >= replica.next {
            replica.next = now + Millis::secs(check.interval_s);
            judge(replica, now, Verdict::Pass, check);
        }
    }

    /// Notes that a check got through to a replica, whatever it found.
    pub fn got_through(&mut self, now: Millis, key: &ReplicaKey) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.contact = Some(now);
        }
    }

    /// Takes in the verdict on an attempt; one on an earlier attempt is void.
    pub fn verdict(&mut self, now: Millis, key: &ReplicaKey, attempt: u64, verdict: Verdict, check: &Check) {
        let Some(replica) = self.replicas.get_mut(key) else { return };
        replica.checking = false;
        if replica.runs() && replica.seen.as_ref().is_some_and(|s| s.attempt == attempt) {
            judge(replica, now, verdict, check);
        }
    }

    /// Replicas whose check is due, with what to ask; the most overdue first.
    /// Two that share an address can't be told apart: neither is checked.
    pub fn due(&mut self, now: Millis, member: &Member, check: &Check) -> Vec<(Millis, ReplicaKey, u64, Probe)> {
        if check.kind == CheckKind::Up {
            return vec![];
        }
        let mut due = vec![];
        for index in 0..member.replicas {
            let key = (member.job.clone(), index);
            let Some(replica) = self.replicas.get(&key).filter(|r| r.runs() && !r.checking && now >= r.next) else {
                continue;
            };
            let Some(addr) = replica.addr(index, check) else { continue };
            let (next, attempt) = (replica.next, replica.seen.as_ref().map_or(0, |s| s.attempt));
            if !self.shared.contains(&addr) {
                let replica = format!("{}/{index}@{attempt}", member.job);
                due.push((next, key, attempt, Probe { replica, addr, check: check.clone() }));
            } else if let Some(replica) = self.replicas.get_mut(&key) {
                replica.next = now + Millis::secs(check.interval_s);
                let why = format!("another replica has the same address, {addr}");
                judge(replica, now, Verdict::Unreachable(why), check);
            }
        }
        due
    }

    /// Finds replicas that share an address, among members with their checks.
    pub fn find_shared<'a>(&mut self, members: impl Iterator<Item = (&'a Member, &'a Check)>) {
        let mut once = BTreeSet::new();
        self.shared.clear();
        for (member, check) in members.filter(|(_, check)| check.kind != CheckKind::Up) {
            for index in 0..member.replicas {
                let replica = self.replicas.get(&(member.job.clone(), index)).filter(|r| r.runs());
                if let Some(addr) = replica.and_then(|r| r.addr(index, check)) {
                    if !once.insert(addr.clone()) {
                        self.shared.insert(addr);
                    }
                }
            }
        }
    }

    /// A check has begun.
    pub fn begun(&mut self, now: Millis, key: &ReplicaKey, check: &Check) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.checking = true;
            replica.next = now + Millis::secs(check.interval_s);
        }
    }

    /// True if another replica of the service was reached from here since this
    /// one was last found out of reach. The first time proves nothing: a cut of
    /// our own may just have begun.
    pub fn others_reached(&self, key: &ReplicaKey) -> bool {
        let last = self.replicas.get(key).and_then(|r| r.last.as_ref());
        let Some((since, _)) = last.filter(|(_, verdict)| matches!(verdict, Verdict::Unreachable(_))) else {
            return false;
        };
        self.replicas.iter().any(|(other, replica)| other != key && replica.contact.is_some_and(|at| at > *since))
    }

    /// What is seen of a member.
    pub fn member(&self, now: Millis, member: &Member, check: &Check) -> MemberStatus {
        let lately = Millis::secs(2.0 * check.interval_s + check.timeout_s + 1.0);
        let mut seen = MemberStatus::default();
        for index in 0..member.replicas {
            let Some(replica) = self.replicas.get(&(member.job.clone(), index)) else { continue };
            let Some(standing) = replica.standing() else { continue };
            let last = replica.last.as_ref();
            let placed = matches!(standing, Standing::Running | Standing::Leaving);
            seen.ready += u32::from(replica.ready && standing == Standing::Running);
            let running = standing == Standing::Running;
            let lately = |at: &Millis| now.since(*at) <= lately;
            let passed = last.is_some_and(|(at, v)| *v == Verdict::Pass && lately(at));
            let failed = last.is_some_and(|(_, v)| matches!(v, Verdict::Fail(_)));
            seen.well += u32::from(replica.ready && running && passed);
            seen.lost += u32::from(!placed || (!replica.ready && failed));
            let unplaced = matches!(standing, Standing::Waiting | Standing::Placed);
            seen.unplaced += u32::from(unplaced && replica.failures == 0);
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

fn judge(replica: &mut Replica, now: Millis, verdict: Verdict, check: &Check) {
    match &verdict {
        Verdict::Pass => {
            replica.fails = 0;
            replica.passes = replica.passes.saturating_add(1);
            if replica.passes >= check.successes {
                replica.ready = true;
                replica.was_ready = true;
            }
        }
        Verdict::Fail(why) => {
            replica.passes = 0;
            replica.fails = replica.fails.saturating_add(1);
            // Until it was ready it is still starting: the deadline bounds that.
            if replica.was_ready && replica.doubts.len() < MOST_DOUBTS {
                replica.doubts.push(why.clone());
                replica.doubted_at = now;
            }
            if replica.fails > check.failures_allowed {
                replica.ready = false;
            }
        }
        // Proves nothing either way.
        Verdict::Unreachable(_) => {}
    }
    replica.last = Some((now, verdict));
}
