//! The calls that the driver makes and their answers. The host process
//! translates them to its own store, scheduler and peers.

use crate::file::{Check, Job};
use crate::units::{JobId, LeaseId, Millis, ReplicaKey, Revision};
use serde_json::Value;

/// A call that may be slow, fail, or take effect after its caller gave up.
#[derive(Debug, Clone, PartialEq)]
pub enum Call {
    /// Reads one key.
    Get {
        /// Full key.
        key: String,
    },
    /// Reads one page of the keys that begin with a prefix.
    List {
        /// Prefix of the keys.
        prefix: String,
        /// Last key of the previous page; `None` for the first page.
        after: Option<String>,
    },
    /// Writes one key if all conditions hold.
    Commit(Commit),
    /// Grants a lease.
    Grant {
        /// The lease expires this long after its last renewal.
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
        /// Only changes after this revision are returned.
        after: Revision,
        /// Longest time to wait for a change.
        wait: Millis,
    },
    /// Submits a standing job.
    Submit {
        /// Id of the job; submitting the same id again changes nothing.
        job: JobId,
        /// Content of the job.
        submission: Box<JobSubmission>,
    },
    /// Withdraws a job; it can't be submitted again.
    Withdraw {
        /// The job to withdraw.
        job: JobId,
    },
    /// Asks all shard owners for the state of these jobs' replicas.
    Replicas {
        /// The jobs to ask about.
        jobs: Vec<JobId>,
    },
    /// Asks the other controllers whether they can connect to an address.
    Reach {
        /// Address as `host:port`.
        addr: String,
    },
}

/// A conditional write.
#[derive(Debug, Clone, PartialEq)]
pub struct Commit {
    /// Keys and their expected revisions; 0 if the key must not exist.
    pub conditions: Vec<(String, Revision)>,
    /// Key that is written.
    pub key: String,
    /// New value of the key.
    pub value: Value,
    /// Lease whose expiry deletes the key, if any.
    pub lease: Option<LeaseId>,
}

/// Content of a standing job.
#[derive(Debug, Clone, PartialEq)]
pub struct JobSubmission {
    /// Image and resources of each replica.
    pub job: Job,
    /// Number of replicas.
    pub replicas: u32,
    /// Zone for the replicas; overrides that of `job`.
    pub zone: Option<String>,
}

/// A key-value pair of the state service.
#[derive(Debug, Clone, PartialEq)]
pub struct Item {
    /// Full key.
    pub key: String,
    /// Value of the key at `revision`.
    pub value: Value,
    /// Revision at which the key last changed.
    pub revision: Revision,
}

/// State of a job after its submission or withdrawal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobStatus {
    /// The platform has accepted the job, now or earlier.
    Accepted,
    /// The job was withdrawn or has ended; none of its replicas will run again.
    Ended,
    /// The platform has no record of the job.
    Unknown,
}

/// The answer to a [`Call`].
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The key that was read.
    Found(Item),
    /// The key does not exist.
    Missing,
    /// One page of a list.
    Page {
        /// Items of the page, in key order.
        items: Vec<Item>,
        /// True if more keys follow this page.
        more: bool,
        /// Revision of the store when the page was read.
        revision: Revision,
    },
    /// The write is durable at this revision.
    Committed(Revision),
    /// A condition did not hold; nothing was written.
    Conflict,
    /// The lease that was granted.
    Granted(LeaseId),
    /// The lease was renewed.
    Renewed,
    /// The lease has expired or was revoked.
    LeaseGone,
    /// Changes that a watch returned.
    Changes {
        /// Revision up to which the changes are complete.
        revision: Revision,
        /// Key, new value (`None` if deleted) and revision of each change.
        changed: Vec<(String, Option<Value>, Revision)>,
    },
    /// The start revision is too old to watch from; the keys must be read again.
    TooOld,
    /// State of the job that was submitted or withdrawn.
    Job(JobStatus),
    /// The platform rejects the request permanently, for this reason.
    Unacceptable(String),
    /// Known replicas of the requested jobs.
    Replicas(Vec<ObservedReplica>),
    /// True if any other controller reaches the address; `None` if none of
    /// them answered.
    Reached(Option<bool>),
    /// The call was not carried out.
    Refused,
    /// No answer; the call may have taken effect or may still do so.
    Unknown,
}

/// Life-cycle state of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ReplicaState {
    /// Not placed on a machine.
    Pending,
    /// Placed on a machine that does not run it yet.
    Starting,
    /// Running on its machine.
    Running,
    /// Being stopped, or on a machine that is about to be reclaimed.
    Terminating,
    /// Exited on its own; it will not be restarted.
    Ended,
}

/// State of a replica as reported by the owner of its shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObservedReplica {
    /// Job and index of the replica.
    pub replica: ReplicaKey,
    /// Number of the current attempt; each restart increments it.
    pub attempt: u64,
    /// State of the current attempt.
    pub state: ReplicaState,
    /// Address of the machine without a port; empty if unknown.
    pub host: String,
    /// Zone of the machine; empty if unknown.
    pub zone: String,
    /// Number of the last attempt that failed on its own; 0 if none is known.
    pub failed_attempt: u64,
    /// Age of the machine's last heartbeat when the owner answered.
    pub heartbeat_age: Millis,
    /// The owner's token; of two reports, the one with the higher token wins.
    pub token: u64,
}

/// A health check to run on one replica.
#[derive(Debug, Clone, PartialEq)]
pub struct Probe {
    /// Job, index and attempt as text; does not depend on the controller that
    /// runs the check or on the time.
    pub replica: String,
    /// Address as `host:port`.
    pub addr: String,
    /// Kind of check and its time-out.
    pub check: Check,
}

/// The result of a health check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The replica passed.
    Pass,
    /// The replica gave a wrong answer or refused; the reason.
    Fail(String),
    /// The connection failed; the cause may be the replica or the network.
    Unreachable(String),
}
