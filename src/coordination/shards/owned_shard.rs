//! What a controller knows of a shard that it owns, beyond the durable records: the shard's machines, the tasks
//! placed on them, quota usage, and what is not durable yet. Created and dropped by `membership`, changed by
//! heartbeats, scheduling and transactions. Never stored: a new owner rebuilds it from records and heartbeats.
//!
//! The fields are open to `coordination`: each concern there changes its own.

use crate::coordination::heartbeats::reachability::Reachability;
use crate::coordination::shards::shard_quota::{TeamQuota, ROUNDING};
use crate::protocol::workers::{HeartbeatId, TaskState};
use crate::storage::names::InternedName;
use crate::storage::records::{JobRecord, QuotaRecord};
use crate::units::{
    AgentEpoch, Attempt, CallId, ComputeAmount, FencingToken, HeartbeatNumber, JobId, MachineId, MonotonicTime,
    Revision,
};
use foldhash::fast::FixedState;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A task within the cache: its job and its index there.
pub type TaskKey = (JobId, u32);

/// A task that a heartbeat listed.
#[derive(Debug, Clone, Copy)]
pub struct ReportedTask {
    /// The attempt that the worker runs or ran.
    pub attempt: Attempt,
    /// Its state there.
    pub state: TaskState,
    /// When a heartbeat first listed this attempt in this state.
    pub since: MonotonicTime,
}

/// A container image that a machine has or is fetching.
#[derive(Debug, Clone)]
pub struct CachedImage {
    /// The image's name.
    pub name: InternedName,
    /// Its size in gigabytes.
    pub size_gb: f64,
}

/// A machine that has sent heartbeats to this owner.
#[derive(Debug)]
pub struct Machine {
    /// Where the worker accepts commands; its tasks are reached at the same host.
    pub addr: String,
    /// The machine type in the cloud's catalog.
    pub machine_type: String,
    /// The availability zone.
    pub zone: String,
    /// True for a spot machine.
    pub spot: bool,
    /// The agent epoch of the newest heartbeat.
    pub agent_epoch: AgentEpoch,
    /// The number of the newest heartbeat within that epoch.
    pub heartbeat_number: HeartbeatNumber,
    /// The worker has seen this owner's fencing token: nothing that an earlier owner sent in response to a
    /// heartbeat can take effect any more.
    pub token_acknowledged: bool,
    /// When the newest heartbeat arrived; the response to it renews the worker's lease.
    pub last_heartbeat: MonotonicTime,
    /// When the machine was started, as far as known: at the latest with its first heartbeat.
    pub started_at: MonotonicTime,
    /// When the cloud reclaims the machine, if the worker passed on a notice.
    pub termination_at: Option<MonotonicTime>,
    /// The tasks that the newest heartbeat listed.
    pub reported_tasks: BTreeMap<TaskKey, ReportedTask>,
    /// For each task whose start was sent, the heartbeat that it was last sent in response to.
    pub starts_sent: BTreeMap<TaskKey, HeartbeatId>,
    /// Images that the machine has or is fetching, newest last.
    pub images: Vec<CachedImage>,
    /// Jobs whose tasks failed here since a task last succeeded, and when each failed last.
    pub failed_jobs: BTreeMap<JobId, MonotonicTime>,
    /// The machine itself makes tasks fail: it gets no work and is returned.
    pub faulty: bool,
    /// Whether the worker receives this owner's responses.
    pub(crate) reachability: Reachability,
    /// The machine gets no new work before: it failed several jobs, and whether they run elsewhere is not
    /// known yet.
    pub cordoned_until: MonotonicTime,
}

impl Machine {
    /// The sequence of the machine's newest heartbeat.
    pub fn heartbeat_id(&self) -> HeartbeatId {
        HeartbeatId { agent_epoch: self.agent_epoch, heartbeat_number: self.heartbeat_number }
    }
}

/// What a controller knows of a shard that it owns, beyond the cache.
#[derive(Debug)]
pub struct OwnedShard {
    /// The revision of the transaction that made this controller the owner.
    pub token: FencingToken,
    /// When the controller learned that it is the owner; then, once `ready`, when it became so.
    pub owned_since: MonotonicTime,
    /// The cache has caught up with the token: it holds all that earlier owners have written.
    pub ready: bool,
    /// About to be handed over: nothing new is started.
    pub releasing: bool,
    /// Machines that have sent heartbeats to this owner.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Machines whose heartbeats arrive but which receive no responses, and since when.
    pub downlink_lost: BTreeMap<MachineId, MonotonicTime>,
    /// The newest heartbeat of machines that were removed: no older one brings them back.
    pub removed_machines: BTreeMap<MachineId, HeartbeatId>,
    /// Tasks whose desired state places them on a machine, by machine.
    pub placed_tasks: BTreeMap<MachineId, BTreeSet<TaskKey>>,
    /// Slices with unwritten changes, by job and slice index, and since when.
    pub dirty: BTreeMap<(JobId, usize), MonotonicTime>,
    /// The shard's transaction that has no answer yet; there is one at a time.
    pub inflight: Option<CallId>,
    /// Reads under way of keys that a transaction conflicted on.
    pub pending_rereads: usize,
    /// No transaction is sent before.
    pub retry_at: MonotonicTime,
    /// When a lease proxy may last have been registered for the shard.
    pub last_proxied: MonotonicTime,
    /// The check under way of machines whose leases seem to have expired.
    pub expiry_check: ExpiryCheck,
    /// Tasks to be stopped, with the seconds that each may take to save its progress.
    pub stopping: BTreeMap<TaskKey, f64>,
    /// When each task was first reported to run.
    pub running_since: HashMap<TaskKey, MonotonicTime, FixedState>,
    /// What placed tasks use, by team.
    pub usage: BTreeMap<String, ComputeAmount>,
    /// What waiting tasks lack of the shard's quota, by team.
    pub quota_shortages: BTreeMap<String, QuotaShortage>,
    /// No starving job is put first before.
    pub next_starving_job_at: MonotonicTime,
    /// During a quota transfer: the shard's quota if it is carried out.
    pub transferring: Option<QuotaRecord>,
}

impl OwnedShard {
    /// A shard whose ownership, with this token, was learned of now. Not `ready` yet.
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
            transferring: None,
        }
    }

    /// Names of all machines that may run a task: those with placed tasks, then those that sent heartbeats. A
    /// machine may come twice.
    pub fn machine_names(&self) -> impl Iterator<Item = &MachineId> {
        self.placed_tasks.keys().chain(self.machines.keys())
    }

    /// True while nothing of the shard is on its way to or from the store.
    pub fn is_idle(&self) -> bool {
        self.inflight.is_none() && self.pending_rereads == 0
    }

    /// What the team's placed tasks use.
    pub fn usage_of(&self, team: &str) -> ComputeAmount {
        self.usage.get(team).copied().unwrap_or_default()
    }

    /// Counts one more placed task of the job.
    pub fn add_usage(&mut self, record: &JobRecord) {
        let usage = self.usage.entry(record.spec.team.clone()).or_default();
        usage.cpus += record.spec.cpus;
        usage.gpus += record.spec.gpus;
    }

    /// Counts one placed task of the job less.
    pub fn subtract_usage(&mut self, record: &JobRecord) {
        let usage = self.usage.entry(record.spec.team.clone()).or_default();
        usage.cpus -= record.spec.cpus;
        usage.gpus -= record.spec.gpus;
    }

    /// Enters a task of the job as placed on the machine.
    pub fn place(&mut self, key: TaskKey, machine: &MachineId, record: &JobRecord) {
        self.placed_tasks.entry(machine.clone()).or_default().insert(key);
        self.add_usage(record);
    }

    /// Removes a task of the job from the machine that it was placed on, with all that is known of its run.
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

/// What waiting tasks of a team lack of the shard's quota, though a machine has room for them.
#[derive(Debug, Clone, Copy, Default)]
pub struct QuotaShortage {
    /// What all of them take together.
    pub total: ComputeAmount,
    /// The least cores and the least GPUs that any of them takes.
    smallest: ComputeAmount,
}

impl QuotaShortage {
    /// Adds tasks that take so much each.
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

    /// True if `unused` is too little for any of the tasks.
    pub fn exceeds(&self, unused: TeamQuota) -> bool {
        let short = |unused: Option<f64>, least: f64| unused.is_some_and(|unused| unused + ROUNDING < least);
        short(unused.cpus, self.smallest.cpus) || short(unused.gpus, self.smallest.gpus)
    }
}

/// Proves that machines whose leases seem to have expired are lost: a transaction without changes that holds only if
/// no lease proxy is registered for the shard.
#[derive(Debug, Default)]
pub enum ExpiryCheck {
    /// No check is under way.
    #[default]
    None,
    /// Sent for these machines, not answered yet.
    Sent(Vec<MachineId>),
    /// No proxy was registered as of the revision; it counts once the cache has reached that.
    Confirmed {
        /// The store's revision at the check.
        revision: Revision,
        /// The machines that it was made for.
        machines: Vec<MachineId>,
    },
}
