//! What the driver asks of the world around it, and what it hears back, in
//! terms that a host translates.

use crate::file::{Check, Job};
use crate::units::{JobId, LeaseId, Millis, ReplicaKey, Revision};
use serde_json::Value;

/// A call that may take long, fail, or be carried out late.
#[derive(Debug, Clone, PartialEq)]
pub enum Call {
    /// Reads one key.
    Get {
        /// The key to read.
        key: String,
    },
    /// Reads the keys that begin with a prefix, page by page.
    List {
        /// Prefix of the keys.
        prefix: String,
        /// The last key of the page before; `None` for the first page.
        after: Option<String>,
    },
    /// Writes one key, if all conditions hold.
    Commit(Commit),
    /// Grants a lease.
    Grant {
        /// How long the lease lasts unrenewed.
        ttl: Millis,
    },
    /// Renews a lease.
    Renew {
        /// The lease to renew.
        lease: LeaseId,
    },
    /// Waits for changes of keys that begin with a prefix.
    Watch {
        /// Prefix of the keys.
        prefix: String,
        /// Only changes after this revision are of interest.
        after: Revision,
        /// How long to wait for a change.
        wait: Millis,
    },
    /// Submits a standing job.
    Submit {
        /// Id under which the job is submitted; submitting it again changes nothing.
        job: JobId,
        /// What to submit.
        submission: Box<JobSubmission>,
    },
    /// Withdraws a job for good.
    Withdraw {
        /// The job to withdraw.
        job: JobId,
    },
    /// Asks all owners how the replicas of these jobs fare.
    Replicas {
        /// The jobs to ask about.
        jobs: Vec<JobId>,
    },
    /// Asks the other controllers whether an address accepts connections there.
    Reach {
        /// Address as `host:port`.
        addr: String,
    },
}

/// A conditional write.
#[derive(Debug, Clone, PartialEq)]
pub struct Commit {
    /// Keys with the versions that they must have; 0: there must be none.
    pub conditions: Vec<(String, Revision)>,
    /// The key to write.
    pub key: String,
    /// Its new value.
    pub value: Value,
    /// The lease that keeps the key.
    pub lease: Option<LeaseId>,
}

/// A standing job to be submitted.
#[derive(Debug, Clone, PartialEq)]
pub struct JobSubmission {
    /// What each replica runs and takes of its machine.
    pub job: Job,
    /// Number of replicas.
    pub replicas: u32,
    /// Overrides the job's own zone.
    pub zone: Option<String>,
}

/// A key as it was read.
#[derive(Debug, Clone, PartialEq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: Value,
    /// Revision of its last change.
    pub revision: Revision,
}

/// What became of a job that was submitted or withdrawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobStatus {
    /// It was accepted, now or earlier.
    Accepted,
    /// It was withdrawn or is over: none of its replicas will run again.
    Ended,
    /// The platform has no record of it.
    Unknown,
}

/// What came of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The key that was read.
    Found(Item),
    /// There is no such key.
    Missing,
    /// One page of a list.
    Page {
        /// Keys of the page, in order.
        items: Vec<Item>,
        /// Whether there are more keys after these.
        more: bool,
        /// Revision of the store as of this page.
        revision: Revision,
    },
    /// The write is durable, at this revision.
    Committed(Revision),
    /// A condition did not hold: nothing was written.
    Conflict,
    /// The lease that was granted.
    Granted(LeaseId),
    /// The lease was renewed.
    Renewed,
    /// The lease has expired or was revoked.
    LeaseGone,
    /// Keys with their new values, or none if deleted.
    Changes {
        /// Revision up to which the changes are complete.
        revision: Revision,
        /// Each key, its new value and the revision of its change.
        changed: Vec<(String, Option<Value>, Revision)>,
    },
    /// The watch begins too long ago: read the keys again.
    TooOld,
    /// What became of a job that was submitted or withdrawn.
    Job(JobStatus),
    /// The platform will never take this.
    Unacceptable(String),
    /// The replicas that are known, of those asked about.
    Replicas(Vec<ObservedReplica>),
    /// Whether any other controller reaches the address; none: nobody said.
    Reached(Option<bool>),
    /// Not carried out.
    Refused,
    /// No answer: it may have been carried out, or may be later.
    Unknown,
}

/// Where a replica stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ReplicaState {
    /// On no machine.
    Pending,
    /// On a machine that does not run it yet.
    Starting,
    /// On a machine that runs it.
    Running,
    /// Being stopped, or on a machine about to be taken away.
    Terminating,
    /// Ended by itself, for good.
    Ended,
}

/// How an owner sees a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObservedReplica {
    /// Which replica.
    pub replica: ReplicaKey,
    /// Number of its current attempt; a restart begins a new one.
    pub attempt: u64,
    /// Its life-cycle state.
    pub state: ReplicaState,
    /// The machine's address without a port; empty if not known.
    pub host: String,
    /// Zone of its machine; empty if not known.
    pub zone: String,
    /// The last attempt that failed by its own doing; 0: none known.
    pub failed_attempt: u64,
    /// How long ago its machine reported, as of the answer.
    pub heartbeat_age: Millis,
    /// Of two answers, that with the higher token counts.
    pub token: u64,
}

/// A check to be carried out by a given time.
#[derive(Debug, Clone, PartialEq)]
pub struct Probe {
    /// Job, number and attempt: the same whoever checks, and whenever.
    pub replica: String,
    /// Address as `host:port`.
    pub addr: String,
    /// What to check, and by when.
    pub check: Check,
}

/// What a check found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The replica passed.
    Pass,
    /// The replica answered wrongly or refused; the reason.
    Fail(String),
    /// No connection came about: the replica's fault or the network's.
    Unreachable(String),
}
