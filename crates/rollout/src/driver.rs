//! The roll-out controller: one controller at a time drives the roll-outs,
//! elected by a leader lease.
//!
//! A pure state machine: ticks, answers and verdicts go in; calls and checks
//! come out. The driver writes each decision to the record, conditional on its
//! leader lease and on the revision that it read, and acts only on durable
//! records.

mod checks;
mod jobs;
mod leadership;
mod tracked;

use crate::file::is_valid_name;
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

/// Prefix of all keys that roll-outs keep in the state service.
pub const ROOT: &str = "o/";
/// Key of the [`LeaderLease`].
pub const DRIVER_KEY: &str = "o/d";
/// Prefix of the services' records, one key for each service.
pub const SERVICES: &str = "o/s/";

/// Returns the key of a service's record.
pub fn service_key(name: &str) -> String {
    format!("{SERVICES}{name}")
}

/// Delay before a call that was refused or got no answer is repeated.
const RETRY_DELAY: Millis = Millis(1000);

/// Longest time that one tick may add to a step: no checks ran while the process
/// was suspended.
const MAX_TIME_PER_TICK: Millis = Millis(1000);

/// Configuration of a driver.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Name of this controller.
    pub node: String,
    /// Address of this controller's listener for operators.
    pub listen: String,
    /// The leader lease expires this long after its last renewal.
    pub ttl: Millis,
    /// Maximum number of checks that run at the same time.
    pub checks: usize,
    /// First digits of the ids of services' jobs; users of the platform must not
    /// use them.
    pub first_digits: String,
}

/// The stored value of the leader lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderLease {
    /// Name of the leader.
    pub node: String,
    /// Address of the leader's listener for operators.
    pub listen: String,
    /// Id of the lease; distinguishes restarts of the same node.
    pub lease: u64,
}

/// An action for the host to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Make a call and pass its answer to [`Driver::answer`].
    Call(CallId, Call),
    /// Run a health check and pass its verdict to [`Driver::verdict`].
    Probe(CheckId, Probe),
    /// Log and count an event; has no effect on the driver.
    Note(Note),
}

/// An event for the log and the metrics.
#[derive(Debug, Clone, PartialEq)]
pub enum Note {
    /// This node became the leader; the revision is that of its leader lease.
    BecameLeader(Revision),
    /// This node is no longer the leader.
    SteppedDown,
    /// A change of a service's record by this driver is durable.
    Changed {
        /// Name of the service.
        service: String,
        /// Number of the service's roll-out.
        number: u64,
        /// Index of the step after the change, from 0.
        step: u32,
        /// The change.
        event: Event,
    },
    /// A record can't be parsed; the driver ignores it.
    Unreadable {
        /// Name of the service.
        service: String,
        /// The parser's error.
        why: String,
    },
}

/// A call that has not been answered yet.
#[derive(Debug, Clone)]
enum PendingCall {
    ReadLease,
    GrantLease,
    WriteLease,
    /// Renews the leader lease; the time at which the call was sent.
    RenewLease(Millis),
    LoadServices,
    Watch,
    /// Reads the record of one service again.
    RereadRecord(String),
    /// Reads the leader lease again to verify that this node still holds it.
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
    /// Polls the replicas; the time at which the call was sent.
    Replicas(Millis),
    Reach {
        service: String,
        replica: ReplicaKey,
        attempt: u64,
        why: String,
    },
}

/// The driver of one controller, as leader or on standby.
#[derive(Debug)]
pub struct Driver {
    config: Config,
    now: Millis,
    outputs: Vec<Output>,
    last_call: u64,
    calls: BTreeMap<CallId, PendingCall>,
    leadership: Leadership,
    /// The last lease that was granted to this process.
    granted_lease: Option<LeaseId>,
    /// Revision of the leader lease that this node is to replace; 0 if there is none.
    replaced_revision: Revision,
    /// Number of job ids assigned by this process. Together with the revision of
    /// the leader lease it makes each id unique.
    assigned_ids: u64,
    services: BTreeMap<String, TrackedService>,
    /// Service of each job of the services that need work.
    service_of: BTreeMap<JobId, String>,
    /// When the state service last answered a call.
    store_answered_at: Millis,
    next_poll: Millis,
    polling: bool,
    last_check: u64,
    running_checks: BTreeMap<CheckId, RunningCheck>,
}

impl Driver {
    /// Returns a driver on standby without any services.
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
            assigned_ids: 0,
            services: BTreeMap::new(),
            service_of: BTreeMap::new(),
            store_answered_at: Millis(0),
            next_poll: Millis(0),
            polling: false,
            last_check: 0,
            running_checks: BTreeMap::new(),
        }
    }

    /// Interval between calls of [`Driver::tick`].
    pub const TICK: Millis = Millis(100);

    /// Advances the time to `now`, a monotonic clock of this process, and starts
    /// the work that is due.
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

    /// Handles the answer to a call; ignored if the call is not pending.
    pub fn answer(&mut self, now: Millis, id: CallId, answer: Answer) -> Vec<Output> {
        self.now = self.now.max(now);
        let Some(pending) = self.calls.remove(&id) else { return vec![] };
        let from_store = matches!(
            pending,
            PendingCall::ReadLease
                | PendingCall::WriteLease
                | PendingCall::RenewLease(_)
                | PendingCall::LoadServices
                | PendingCall::RereadRecord(_)
                | PendingCall::WriteRecord { .. }
        );
        if from_store && !matches!(answer, Answer::Refused | Answer::Unknown) {
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

    /// True if this node is the leader, as far as it knows.
    pub fn is_leader(&self) -> bool {
        matches!(self.leadership, Leadership::Leading { .. })
    }

    /// Returns the observed state of a service's replicas if this node is the leader.
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

    /// Applies a key's value as of `revision`; `None` if the key was deleted.
    fn apply_value(&mut self, key: &str, value: Option<serde_json::Value>, revision: Revision) {
        let Some(name) = key.strip_prefix(SERVICES).filter(|name| is_valid_name(name)) else { return };
        let Some(value) = value else {
            self.services.remove(name);
            return;
        };
        match serde_json::from_value::<Service>(value) {
            Ok(record) => self.apply_record(name, record, revision),
            Err(error) => self.note(Note::Unreadable { service: name.into(), why: error.to_string() }),
        }
    }

    /// Applies a durable record unless a newer one is known.
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
