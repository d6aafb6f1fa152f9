//! What an owner knows of its shard beyond the cache: its machines, its tasks on
//! them, and the changes that are not durable yet.

use crate::protocol::workers::{HeartbeatId, TaskState};
use crate::storage::names::InternedName;
use crate::storage::records::{JobRecord, QuotaRecord};
use crate::units::{
    AgentEpoch, Attempt, CallId, FencingToken, HeartbeatNumber, JobId, MachineId, MonotonicTime, Revision,
};
use foldhash::fast::FixedState;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A task within the cache: its job and number.
pub type TaskKey = (JobId, u32);

/// A task as the newest heartbeat of its machine listed it.
#[derive(Debug, Clone, Copy)]
pub struct ReportedTask {
    pub attempt: Attempt,
    pub state: TaskState,
    /// When this attempt was first listed in this state.
    pub since: MonotonicTime,
}

/// A machine that has reported to this owner.
#[derive(Debug)]
pub struct Machine {
    /// Where the worker takes commands, which is also where its tasks are.
    pub addr: String,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub agent_epoch: AgentEpoch,
    pub heartbeat_number: HeartbeatNumber,
    /// The worker has seen this owner's token: nothing an earlier owner sent
    /// in answer to a report can take effect any more.
    pub token_acknowledged: bool,
    pub last_heartbeat: MonotonicTime,
    pub born: MonotonicTime,
    /// Until when the cloud lets the machine live, if a notice came.
    pub notice: Option<MonotonicTime>,
    /// The tasks that the newest heartbeat listed.
    pub reported_tasks: BTreeMap<TaskKey, ReportedTask>,
    /// The heartbeat that each start command was last sent in response to.
    pub starts_sent: BTreeMap<TaskKey, HeartbeatId>,
    /// Images the machine has or fetches, newest last, with their sizes.
    pub images: Vec<(InternedName, f64)>,
    /// Jobs whose tasks failed here since one last succeeded, and when last.
    pub failed_jobs: BTreeMap<JobId, MonotonicTime>,
    pub faulty: bool,
    pub(crate) reachability: crate::coordination::heartbeats::reachability::Reachability,
    /// Takes nothing new until then: it failed several jobs of which it is not
    /// known yet whether they run elsewhere.
    pub rests_until: MonotonicTime,
}

impl Machine {
    /// The newest heartbeat that was received of the machine.
    pub fn heartbeat_id(&self) -> HeartbeatId {
        HeartbeatId { agent_epoch: self.agent_epoch, heartbeat_number: self.heartbeat_number }
    }
}

/// What an owner knows of its shard beyond the cache.
#[derive(Debug)]
pub struct OwnedShard {
    pub token: FencingToken,
    /// When ownership was learned of.
    pub since: MonotonicTime,
    /// The cache has caught up with the token: all earlier owners' records are in it.
    pub ready: bool,
    /// About to be handed over: nothing new is started.
    pub releasing: bool,
    pub machines: BTreeMap<MachineId, Machine>,
    /// Machines that report but do not hear, since when.
    pub downlink_lost: BTreeMap<MachineId, MonotonicTime>,
    /// The newest report of machines that were given up: nothing older brings
    /// them back.
    pub given_up: BTreeMap<MachineId, HeartbeatId>,
    /// Tasks wanted on each machine.
    pub on: BTreeMap<MachineId, BTreeSet<TaskKey>>,
    /// Slices with changes to write, since when.
    pub dirty: BTreeMap<(JobId, usize), MonotonicTime>,
    pub inflight: Option<CallId>,
    pub rereads: usize,
    pub retry_at: MonotonicTime,
    /// When somebody may last have kept machines of the shard for us.
    pub unkept: MonotonicTime,
    pub verdict: Verdict,
    /// Tasks to be stopped, with the time they may take to save.
    pub stopping: BTreeMap<TaskKey, f64>,
    /// When each task was first reported to run.
    pub running_since: HashMap<TaskKey, MonotonicTime, FixedState>,
    /// Team resources in use, and those missing for waiting tasks.
    pub used: BTreeMap<String, (f64, f64)>,
    pub wanted: BTreeMap<String, QuotaShortage>,
    /// Before then no job goes before others for having waited long.
    pub next_starving_job: MonotonicTime,
    /// An allowance on its way to another shard: what is left until that is known.
    pub transferring: Option<QuotaRecord>,
}

impl OwnedShard {
    pub fn new(token: FencingToken, now: MonotonicTime) -> OwnedShard {
        OwnedShard {
            token,
            since: now,
            ready: false,
            releasing: false,
            machines: BTreeMap::new(),
            downlink_lost: BTreeMap::new(),
            given_up: BTreeMap::new(),
            on: BTreeMap::new(),
            dirty: BTreeMap::new(),
            inflight: None,
            rereads: 0,
            retry_at: MonotonicTime(0),
            unkept: now,
            verdict: Verdict::None,
            stopping: BTreeMap::new(),
            running_since: HashMap::default(),
            used: BTreeMap::new(),
            wanted: BTreeMap::new(),
            next_starving_job: MonotonicTime(0),
            transferring: None,
        }
    }

    pub fn count(&mut self, record: &JobRecord, sign: f64) {
        let used = self.used.entry(record.spec.team.clone()).or_default();
        used.0 += sign * record.spec.cpus;
        used.1 += sign * record.spec.gpus;
    }
}

/// What a shard lacks of a team's limit: cores and GPUs of tasks that have room.
#[derive(Debug, Clone, Copy, Default)]
pub struct QuotaShortage {
    pub all: (f64, f64),
    /// What the least of them takes.
    least: (f64, f64),
}

impl QuotaShortage {
    /// So many more tasks, each of which takes this.
    pub fn add(&mut self, need: (f64, f64), tasks: f64) {
        let first = self.all == (0.0, 0.0);
        self.least = if first { need } else { (self.least.0.min(need.0), self.least.1.min(need.1)) };
        self.all = (self.all.0 + need.0 * tasks, self.all.1 + need.1 * tasks);
    }

    /// True if this is too little for any of the tasks.
    pub fn is_beyond(&self, left: (Option<f64>, Option<f64>)) -> bool {
        let short = |left: Option<f64>, least: f64| left.is_some_and(|left| left + 1e-9 < least);
        short(left.0, self.least.0) || short(left.1, self.least.1)
    }
}

/// Machines that seem to be gone, and the comparison that is to prove it.
#[derive(Debug, Default)]
pub enum Verdict {
    #[default]
    None,
    Asked(Vec<MachineId>),
    /// Found at this revision; the cache must reach it first.
    Found(Revision, Vec<MachineId>),
}
