//! Whoever drives the roll-outs: one controller at a time, by a lease.
//!
//! A pure state machine: ticks, answers and verdicts go in; calls and checks
//! come out. The driver writes what it decides, conditional on its claim and on
//! the record as it read it, and acts on what is durable only.

mod checks;
mod jobs;
mod leadership;
mod tracked;

use crate::file::valid_name;
use crate::ports::{Answer, Call, Probe};
use crate::reconcile::Event;
use crate::record::Service;
use crate::units::{CallId, CheckId, JobId, LeaseId, Millis, ReplicaKey, Revision};
use checks::RunningCheck;
use leadership::Leadership;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use tracked::TrackedService;
pub use tracked::{ReplicaStatus, ServiceStatus};

/// Everything that roll-outs keep in the state service begins with this.
pub const ROOT: &str = "o/";
/// Who drives.
pub const DRIVER_KEY: &str = "o/d";
/// Services, one key each.
pub const SERVICES: &str = "o/s/";

/// The key of a service's record.
pub fn service_key(name: &str) -> String {
    format!("{SERVICES}{name}")
}

/// Pause after a call that was refused or got no answer.
const RETRY_DELAY: Millis = Millis(1000);

/// The most time that one tick may stand for: what passed while the process
/// stood still was checked by nobody.
const MAX_TIME_PER_TICK: Millis = Millis(1000);

/// What the driver needs to know of its node.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// This controller's name.
    pub node: String,
    /// Where its operators' listener is.
    pub listen: String,
    /// How long the driver's lease lasts unrenewed.
    pub ttl: Millis,
    /// Checks that may be under way at the same time.
    pub checks: usize,
    /// First digits of the ids of jobs, which users of the platform leave free.
    pub first_digits: String,
}

/// The driver's claim, as others read it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderLease {
    /// Name of the controller that drives.
    pub node: String,
    /// Where the driver's operators' listener is.
    pub listen: String,
    /// Tells the lives of a node apart.
    pub lease: u64,
}

/// What the driver wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// A call to make; its answer goes to [`Driver::answer`].
    Call(CallId, Call),
    /// A health check to run; its verdict goes to [`Driver::verdict`].
    Probe(CheckId, Probe),
    /// Something to be noted; it changes nothing.
    Note(Note),
}

/// Something worth a line in the log and a count.
#[derive(Debug, Clone, PartialEq)]
pub enum Note {
    /// This node begins to drive, with this claim.
    BecameLeader(Revision),
    /// This node no longer drives.
    SteppedDown,
    /// A service's record changed as decided here.
    Changed {
        /// Name of the service.
        service: String,
        /// Number of the service's roll-out.
        number: u64,
        /// The step after the change, counted from 0.
        step: u32,
        /// What the change was.
        event: Event,
    },
    /// A record can't be read: it is left alone.
    Unreadable {
        /// Name of the service.
        service: String,
        /// The parser's error.
        why: String,
    },
}

/// What an answer is about.
#[derive(Debug, Clone)]
enum PendingCall {
    ReadLease,
    GrantLease,
    WriteLease,
    RenewLease(Millis),
    LoadServices,
    Watch,
    /// Reads one service again.
    RereadRecord(String),
    /// Reads the claim again.
    VerifyLease,
    WriteRecord {
        service: String,
        next: Box<Service>,
        events: Vec<Event>,
    },
    Submit {
        service: String,
        job: JobId,
    },
    Withdraw {
        service: String,
        job: JobId,
    },
    Replicas(Millis),
    Reach {
        service: String,
        replica: ReplicaKey,
        attempt: u64,
        why: String,
    },
}

/// The driver of one controller, whether it drives or stands by.
#[derive(Debug)]
pub struct Driver {
    config: Config,
    now: Millis,
    outputs: Vec<Output>,
    last_call: u64,
    calls: BTreeMap<CallId, PendingCall>,
    leadership: Leadership,
    /// The lease last granted in this life.
    granted_lease: Option<LeaseId>,
    /// The claim that ours is to take the place of.
    replaced_revision: Revision,
    /// Ids given in this life: together with the claim, none is given twice.
    ids: u64,
    services: BTreeMap<String, TrackedService>,
    /// Jobs of services that are worked on.
    service_of: BTreeMap<JobId, String>,
    /// When the state service last answered.
    store_answered_at: Millis,
    next_poll: Millis,
    polling: bool,
    last_check: u64,
    running_checks: BTreeMap<CheckId, RunningCheck>,
}

impl Driver {
    /// A driver that holds no claim and knows no service.
    pub fn new(config: Config) -> Driver {
        Driver {
            config,
            now: Millis(0),
            outputs: vec![],
            last_call: 0,
            calls: BTreeMap::new(),
            leadership: Leadership::default(),
            granted_lease: None,
            replaced_revision: Revision(0),
            ids: 0,
            services: BTreeMap::new(),
            service_of: BTreeMap::new(),
            store_answered_at: Millis(0),
            next_poll: Millis(0),
            polling: false,
            last_check: 0,
            running_checks: BTreeMap::new(),
        }
    }

    /// Pause between ticks.
    pub const TICK: Millis = Millis(100);

    /// Lets time pass; `now` is this process's steady clock.
    pub fn tick(&mut self, now: Millis) -> Vec<Output> {
        self.now = self.now.max(now);
        self.update_leadership();
        if self.is_leader() {
            self.watch();
            self.poll();
            let names: Vec<String> =
                self.services.iter().filter(|(_, t)| t.needs_work()).map(|(n, _)| n.clone()).collect();
            for name in &names {
                self.retry_reads(name);
                self.add_elapsed_time(name);
                self.sync_jobs(name);
                self.reconcile(name);
            }
            self.begin_checks(&names);
        }
        std::mem::take(&mut self.outputs)
    }

    /// Takes in the answer to a call.
    pub fn answer(&mut self, now: Millis, id: CallId, answer: Answer) -> Vec<Output> {
        self.now = self.now.max(now);
        let Some(pending) = self.calls.remove(&id) else { return vec![] };
        let of_state = matches!(
            pending,
            PendingCall::ReadLease
                | PendingCall::WriteLease
                | PendingCall::RenewLease(_)
                | PendingCall::LoadServices
                | PendingCall::RereadRecord(_)
                | PendingCall::WriteRecord { .. }
        );
        if of_state && !matches!(answer, Answer::Refused | Answer::Unknown) {
            self.store_answered_at = self.now;
        }
        match pending {
            PendingCall::ReadLease
            | PendingCall::GrantLease
            | PendingCall::WriteLease
            | PendingCall::RenewLease(_)
            | PendingCall::LoadServices
            | PendingCall::Watch => {
                self.leadership_answer(pending, answer);
            }
            PendingCall::RereadRecord(name) => self.reread_answer(&name, answer),
            PendingCall::VerifyLease => self.lease_verified(&answer),
            PendingCall::WriteRecord { service, next, events } => self.write_answer(&service, *next, events, answer),
            PendingCall::Submit { service, job } => self.submit_answer(&service, &job, answer),
            PendingCall::Withdraw { service, job } => self.withdraw_answer(&service, &job, answer),
            PendingCall::Replicas(asked) => self.replicas_answer(asked, answer),
            PendingCall::Reach { service, replica, attempt, why } => {
                self.reachability_answer(&service, &replica, attempt, why, &answer);
            }
        }
        std::mem::take(&mut self.outputs)
    }

    /// True if this node drives, as far as it knows.
    pub fn is_leader(&self) -> bool {
        matches!(self.leadership, Leadership::Leading { .. })
    }

    /// What is seen of a service's replicas, if this node drives.
    pub fn service_status(&self, service: &str) -> Option<ServiceStatus> {
        self.services.get(service).filter(|_| self.is_leader()).map(|t| t.service_status(self.now))
    }

    fn call(&mut self, call: Call, pending: PendingCall) {
        self.last_call += 1;
        let id = CallId(self.last_call);
        self.calls.insert(id, pending);
        self.outputs.push(Output::Call(id, call));
    }

    fn note(&mut self, note: Note) {
        self.outputs.push(Output::Note(note));
    }

    /// Takes a record that is durable as of `stamp`, unless a newer one is known.
    fn apply_value(&mut self, key: &str, value: Option<serde_json::Value>, revision: Revision) {
        let Some(name) = key.strip_prefix(SERVICES).filter(|name| valid_name(name)) else { return };
        let Some(value) = value else {
            self.services.remove(name);
            return;
        };
        match serde_json::from_value::<Service>(value) {
            Ok(record) => self.apply_record(name, record, revision),
            Err(error) => self.note(Note::Unreadable { service: name.into(), why: error.to_string() }),
        }
    }

    fn apply_record(&mut self, name: &str, record: Service, revision: Revision) {
        let now = self.now;
        let tracked = self.services.entry(name.to_string()).or_insert_with(|| TrackedService::new(now));
        if revision < tracked.revision {
            return;
        }
        tracked.apply_record(record, revision);
        if tracked.needs_work() {
            for member in &tracked.record.members {
                self.service_of.entry(member.job.clone()).or_insert_with(|| name.to_string());
            }
        }
        if self.service_of.len() > 2 * self.services.values().map(|t| t.record.members.len()).sum::<usize>() + 64 {
            let services = &self.services;
            self.service_of.retain(|job, name| services.get(name).is_some_and(|t| t.has(job)));
        }
    }
}
