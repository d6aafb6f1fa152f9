//! In-memory state of an owned shard, in addition to the durable records: its machines, the tasks placed on them, quota
//! usage and changes that are not durable yet. Created and dropped by `membership`; changed by heartbeats, scheduling
//! and transactions. Never stored: a new owner rebuilds it from records and heartbeats.
//!
//! The fields are accessible to all of `coordination`; each module there changes only those of its concern.

use crate::coordination::heartbeats::reachability::Reachability;
use crate::coordination::shards::shard_quota::{TeamQuota, ROUNDING_TOLERANCE};
use crate::protocol::workers::{HeartbeatId, TaskState};
use crate::storage::names::InternedName;
use crate::storage::records::{JobRecord, QuotaRecord};
use crate::units::{
    AgentEpoch, Attempt, CallId, ComputeAmount, FencingToken, HeartbeatNumber, JobId, MachineId, MonotonicTime,
    Revision,
};
use foldhash::fast::FixedState;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Identifies a task by its job and its index within the job.
pub type TaskKey = (JobId, u32);

/// A task that a heartbeat listed.
#[derive(Debug, Clone, Copy)]
pub struct ReportedTask {
    /// Attempt that the worker runs or has run.
    pub attempt: Attempt,
    /// State of the attempt on the worker.
    pub state: TaskState,
    /// When a heartbeat first listed this attempt in this state.
    pub since: MonotonicTime,
}

/// A container image that a machine has or is fetching.
#[derive(Debug, Clone)]
pub struct CachedImage {
    /// Interned name of the image.
    pub name: InternedName,
    /// Size in gigabytes.
    pub size_gb: f64,
}

/// A machine that has sent heartbeats to this owner.
#[derive(Debug)]
pub struct Machine {
    /// Address at which the worker accepts commands; its tasks are reachable on the same host.
    pub addr: String,
    /// Name of the machine type in the cloud's catalog.
    pub machine_type: String,
    /// Availability zone.
    pub zone: String,
    /// True for a spot machine.
    pub spot: bool,
    /// Agent epoch of the newest heartbeat.
    pub agent_epoch: AgentEpoch,
    /// Number of the newest heartbeat within that epoch.
    pub heartbeat_number: HeartbeatNumber,
    /// True once the worker has seen this owner's fencing token: responses of previous owners to its heartbeats can no
    /// longer take effect.
    pub token_acknowledged: bool,
    /// When the newest heartbeat arrived; the response to it renews the worker's lease.
    pub last_heartbeat: MonotonicTime,
    /// Earliest known start time of the machine: its first heartbeat, or earlier if the leader reports a greater age.
    pub started_at: MonotonicTime,
    /// When the cloud will reclaim the machine; `None` if the worker has reported no termination notice.
    pub termination_at: Option<MonotonicTime>,
    /// Tasks that the newest heartbeat listed.
    pub reported_tasks: BTreeMap<TaskKey, ReportedTask>,
    /// For each task whose start command was sent, the heartbeat that it was last sent in response to.
    pub starts_sent: BTreeMap<TaskKey, HeartbeatId>,
    /// Images that the machine has or is fetching, ordered from oldest to newest.
    pub images: Vec<CachedImage>,
    /// Time of the latest failure of each job whose tasks failed on this machine since a task last succeeded there.
    pub failed_jobs: BTreeMap<JobId, MonotonicTime>,
    /// True if the machine itself makes tasks fail: it gets no new work and is returned to the cloud.
    pub faulty: bool,
    /// Whether the worker receives this owner's responses.
    pub(crate) reachability: Reachability,
    /// The machine gets no new work before this time: several jobs failed on it, and it is not known yet whether they
    /// run elsewhere.
    pub cordoned_until: MonotonicTime,
}

impl Machine {
    /// Returns the agent epoch and number of the newest heartbeat.
    pub fn heartbeat_id(&self) -> HeartbeatId {
        HeartbeatId { agent_epoch: self.agent_epoch, heartbeat_number: self.heartbeat_number }
    }
}

/// In-memory state of an owned shard, in addition to the cache.
#[derive(Debug)]
pub struct OwnedShard {
    /// Fencing token: the revision of the transaction that made this controller the owner.
    pub token: FencingToken,
    /// When this controller learned of its ownership; once `ready`, when the shard became ready.
    pub owned_since: MonotonicTime,
    /// True once the cache has caught up with the token, and so holds everything that previous owners wrote.
    pub ready: bool,
    /// True while a handover is pending: no new work is started.
    pub releasing: bool,
    /// Machines that have sent heartbeats to this owner.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Machines whose heartbeats arrive but which don't receive responses, with the time since when.
    pub downlink_lost: BTreeMap<MachineId, MonotonicTime>,
    /// Newest heartbeat of each removed machine; older heartbeats must not add the machine again.
    pub removed_machines: BTreeMap<MachineId, HeartbeatId>,
    /// Tasks whose desired state places them on a machine, by machine.
    pub placed_tasks: BTreeMap<MachineId, BTreeSet<TaskKey>>,
    /// Slices with unwritten changes, by job and slice index, with the time of the oldest such change.
    pub dirty: BTreeMap<(JobId, usize), MonotonicTime>,
    /// Pending transaction of the shard; at most one at a time.
    pub inflight: Option<CallId>,
    /// Number of pending reads of keys that a transaction conflicted on.
    pub pending_rereads: usize,
    /// Earliest time of the next transaction.
    pub retry_at: MonotonicTime,
    /// Latest time at which a lease proxy may have been registered for the shard.
    pub last_proxied: MonotonicTime,
    /// State of the check of machines whose leases seem to have expired.
    pub expiry_check: ExpiryCheck,
    /// Tasks to be stopped, with the grace period in seconds that each has to save its progress.
    pub stopping: BTreeMap<TaskKey, f64>,
    /// When each task was first reported as running.
    pub running_since: HashMap<TaskKey, MonotonicTime, FixedState>,
    /// Resources that placed tasks use, by team.
    pub usage: BTreeMap<String, ComputeAmount>,
    /// Quota that waiting tasks lack, by team.
    pub quota_shortages: BTreeMap<String, QuotaShortage>,
    /// Earliest time at which the next starving job may be prioritized.
    pub next_starving_job_at: MonotonicTime,
    /// The shard's quotas after the pending quota transfer; `None` if no transfer is pending.
    pub quota_after_transfer: Option<QuotaRecord>,
}

impl OwnedShard {
    /// Creates the state of a shard whose ownership, with this token, this controller has just learned of. Not yet
    /// `ready`.
    pub fn new(token: FencingToken, now: MonotonicTime) -> OwnedShard {
        OwnedShard {
            token,
            owned_since: now,
            ready: false,
            releasing: false,
            machines: BTreeMap::new(),
            downlink_lost: BTreeMap::new(),
            removed_machines: BTreeMap::new(),
            placed_tasks: BTreeMap::new(),
            dirty: BTreeMap::new(),
            inflight: None,
            pending_rereads: 0,
            retry_at: MonotonicTime(0),
            last_proxied: now,
            expiry_check: ExpiryCheck::None,
            stopping: BTreeMap::new(),
            running_since: HashMap::default(),
            usage: BTreeMap::new(),
            quota_shortages: BTreeMap::new(),
            next_starving_job_at: MonotonicTime(0),
            quota_after_transfer: None,
        }
    }

    /// Returns all machines that may run a task: those with placed tasks, then those that sent heartbeats. A machine
    /// may occur twice.
    pub fn machine_names(&self) -> impl Iterator<Item = &MachineId> {
        self.placed_tasks.keys().chain(self.machines.keys())
    }

    /// True if no transaction or reread of the shard is pending.
    pub fn is_idle(&self) -> bool {
        self.inflight.is_none() && self.pending_rereads == 0
    }

    /// Returns the resources that the team's placed tasks use.
    pub fn usage_of(&self, team: &str) -> ComputeAmount {
        self.usage.get(team).copied().unwrap_or_default()
    }

    /// Adds one task of the job to its team's usage.
    pub fn add_usage(&mut self, record: &JobRecord) {
        let usage = self.usage.entry(record.spec.team.clone()).or_default();
        usage.cpus += record.spec.cpus;
        usage.gpus += record.spec.gpus;
    }

    /// Subtracts one task of the job from its team's usage.
    pub fn subtract_usage(&mut self, record: &JobRecord) {
        let usage = self.usage.entry(record.spec.team.clone()).or_default();
        usage.cpus -= record.spec.cpus;
        usage.gpus -= record.spec.gpus;
    }

    /// Adds a task of the job to the machine's placed tasks and to the team's usage.
    pub fn place(&mut self, key: TaskKey, machine: &MachineId, record: &JobRecord) {
        self.placed_tasks.entry(machine.clone()).or_default().insert(key);
        self.add_usage(record);
    }

    /// Removes a task of the job from the machine's placed tasks and the team's usage, and drops the state of its run.
    pub fn unplace(&mut self, key: &TaskKey, machine: &MachineId, record: &JobRecord) {
        if let Some(tasks) = self.placed_tasks.get_mut(machine) {
            tasks.remove(key);
            if tasks.is_empty() {
                self.placed_tasks.remove(machine);
            }
        }
        self.subtract_usage(record);
        self.stopping.remove(key);
        self.running_since.remove(key);
        if let Some(machine) = self.machines.get_mut(machine) {
            machine.starts_sent.remove(key);
        }
    }
}

/// Quota that a team lacks for waiting tasks that would fit on a machine.
#[derive(Debug, Clone, Copy, Default)]
pub struct QuotaShortage {
    /// Sum of the tasks' requests.
    pub total: ComputeAmount,
    /// Minimum number of cores and minimum number of GPUs that any of the tasks requests.
    smallest: ComputeAmount,
}

impl QuotaShortage {
    /// Adds a number of tasks that request `each`.
    pub fn add_tasks(&mut self, each: ComputeAmount, tasks: f64) {
        let first = self.total == ComputeAmount::default();
        self.smallest = if first {
            each
        } else {
            ComputeAmount { cpus: self.smallest.cpus.min(each.cpus), gpus: self.smallest.gpus.min(each.gpus) }
        };
        self.total.cpus += each.cpus * tasks;
        self.total.gpus += each.gpus * tasks;
    }

    /// True if `unused` is too small for every one of the tasks.
    pub fn exceeds(&self, unused: TeamQuota) -> bool {
        let short =
            |unused: Option<f64>, smallest: f64| unused.is_some_and(|unused| unused + ROUNDING_TOLERANCE < smallest);
        short(unused.cpus, self.smallest.cpus) || short(unused.gpus, self.smallest.gpus)
    }
}

/// State of the check that machines whose leases seem to have expired are lost: a transaction without changes that
/// commits only if no lease proxy is registered for the shard.
#[derive(Debug, Default)]
pub enum ExpiryCheck {
    /// No check is pending.
    #[default]
    None,
    /// The check of these machines was sent; its response is pending.
    Sent(Vec<MachineId>),
    /// No proxy was registered as of `revision`. Valid once the cache has reached that revision.
    Confirmed {
        /// Revision of the store at the check.
        revision: Revision,
        /// Machines that were checked.
        machines: Vec<MachineId>,
    },
}
