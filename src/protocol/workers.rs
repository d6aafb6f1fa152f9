//! Messages of workers: heartbeats and the commands in the responses to them.
//!
//! The protocol's words stand here only, as serde renames. Parsed and written by `transport`; handled by
//! `coordination::heartbeats`.

use crate::units::{AgentEpoch, Attempt, FencingToken, HeartbeatNumber, JobId, MachineId};
use serde::{Deserialize, Serialize};

/// The state of a machine and its tasks, sent by its worker.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Heartbeat {
    /// The machine.
    #[serde(rename = "deck")]
    pub machine: MachineId,
    /// The address of the worker.
    #[serde(rename = "endpoint")]
    pub addr: String,
    /// The machine type.
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// The availability zone.
    #[serde(rename = "berth")]
    pub zone: String,
    /// True for a spot machine.
    #[serde(rename = "driftwood", default)]
    pub spot: bool,
    /// The incarnation of the worker; a new one begins when its lease has expired.
    #[serde(rename = "watch")]
    pub agent_epoch: AgentEpoch,
    /// Orders the heartbeats of an epoch.
    #[serde(rename = "tally")]
    pub heartbeat_number: HeartbeatNumber,
    /// The greatest fencing token that the worker has seen: it obeys no response with a lesser one.
    #[serde(rename = "helm", default)]
    pub token: FencingToken,
    /// Seconds until the cloud reclaims the machine, once it has given notice.
    #[serde(rename = "recall_s", default)]
    pub termination_notice_s: Option<f64>,
    /// All tasks on the machine, also those that have exited and are not forgotten yet.
    #[serde(rename = "loads", default)]
    pub tasks: Vec<TaskStatus>,
}

impl Heartbeat {
    /// Where this heartbeat stands in the sequence of its worker's heartbeats.
    pub fn id(&self) -> HeartbeatId {
        HeartbeatId { agent_epoch: self.agent_epoch, heartbeat_number: self.heartbeat_number }
    }
}

/// The place of a heartbeat in the sequence of one worker's heartbeats, ordered
/// by agent epoch and then by number: a copy or a late arrival is not greater
/// than the newest one that was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatId {
    /// The incarnation of the worker.
    pub agent_epoch: AgentEpoch,
    /// The number of the heartbeat within it.
    pub heartbeat_number: HeartbeatNumber,
}

/// A task on a machine, as its worker sees it.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct TaskStatus {
    /// The task.
    #[serde(rename = "load")]
    pub task: TaskName,
    /// The attempt that the worker runs or ran.
    #[serde(rename = "cast")]
    pub attempt: Attempt,
    /// What the task is doing.
    #[serde(rename = "trim")]
    pub state: TaskState,
    /// Why it has exited; none while it has not.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub exit_reason: Option<ExitReason>,
    /// Whether its progress was saved when it was stopped.
    #[serde(rename = "saved", default, skip_serializing_if = "Option::is_none")]
    pub checkpoint_saved: Option<bool>,
}

/// `job/number`, as tasks are called on the wire.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskName {
    /// The job.
    pub job: JobId,
    /// The task's index in it, from 0 on.
    pub index: u32,
}

impl Serialize for TaskName {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{}/{}", self.job, self.index))
    }
}

impl<'de> Deserialize<'de> for TaskName {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(TaskNameVisitor)
    }
}

/// Parses the name in place, without a copy of its text: heartbeats list many tasks.
struct TaskNameVisitor;

impl serde::de::Visitor<'_> for TaskNameVisitor {
    type Value = TaskName;

    fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("a task name, as in wk-000412/3")
    }

    fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<TaskName, E> {
        text.rsplit_once('/')
            .and_then(|(job, index)| Some(TaskName { job: JobId::new(job), index: index.parse().ok()? }))
            .ok_or_else(|| E::custom("not a task name"))
    }
}

/// What a task on a machine is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
pub enum TaskState {
    /// It waits for its image.
    #[serde(rename = "pulling")]
    Fetching,
    /// It waits, for instance for the other tasks of its gang.
    #[serde(rename = "waiting")]
    Waiting,
    /// It runs.
    #[serde(rename = "running")]
    Running,
    /// It saves a checkpoint, because it is being stopped.
    #[serde(rename = "flushing")]
    Saving,
    /// It has exited.
    #[serde(rename = "ended")]
    Exited,
}

/// Why a task has exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
pub enum ExitReason {
    /// It completed.
    #[serde(rename = "done")]
    Done,
    /// It was stopped by a command.
    #[serde(rename = "halted")]
    Stopped,
    /// It failed by itself.
    #[serde(rename = "error")]
    Failed,
    /// The start was refused: the machine had too few free resources.
    #[serde(rename = "no_room")]
    InsufficientResources,
    /// The start was refused: the task is on this machine in another attempt.
    #[serde(rename = "in_use")]
    AlreadyPresent,
    /// The start was refused: there is no such job or task.
    #[serde(rename = "no_such")]
    UnknownTask,
    /// A task of the same gang ended, or did not come in time.
    #[serde(rename = "peers", alias = "incomplete")]
    GangFailed,
    /// Any other reason, also one that is not known here.
    #[serde(other, rename = "other")]
    Other,
}

/// A command for a worker, about one attempt of a task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "call")]
pub enum Command {
    /// Start the task.
    #[serde(rename = "start")]
    Start {
        /// The task.
        #[serde(rename = "load")]
        task: TaskName,
        /// The attempt.
        #[serde(rename = "cast")]
        attempt: Attempt,
    },
    /// Stop the task.
    #[serde(rename = "kill")]
    Stop {
        /// The task.
        #[serde(rename = "load")]
        task: TaskName,
        /// The attempt.
        #[serde(rename = "cast")]
        attempt: Attempt,
        /// Seconds that it may take to save a checkpoint.
        #[serde(rename = "slack_s")]
        grace_s: f64,
    },
    /// Forget the task: its exit is durable, heartbeats need not list it any more.
    #[serde(rename = "reap")]
    Forget {
        /// The task.
        #[serde(rename = "load")]
        task: TaskName,
        /// The attempt.
        #[serde(rename = "cast")]
        attempt: Attempt,
    },
}

/// The response to a heartbeat that was accepted. It renews the worker's lease.
#[derive(Debug, Serialize)]
pub struct HeartbeatResponse<'a> {
    /// The fencing token of the shard's owner.
    #[serde(rename = "helm")]
    pub token: FencingToken,
    /// What the worker is to do.
    #[serde(rename = "calls")]
    pub commands: &'a [Command],
}

/// The response to a heartbeat that this controller may not answer.
#[derive(Debug, Serialize)]
pub struct Redirect<'a> {
    /// The controller to send heartbeats to; none: the worker should try another.
    #[serde(rename = "harbour", skip_serializing_if = "Option::is_none")]
    pub report_to: Option<&'a str>,
}
