//! Messages of workers: heartbeats and the commands in the responses to them.
//!
//! Serde renames map the fields to the names on the wire. `transport` parses and serializes the messages;
//! `coordination::heartbeats` handles them.

use crate::units::{AgentEpoch, Attempt, FencingToken, HeartbeatNumber, JobId, MachineId};
use serde::{Deserialize, Serialize};

/// State of a machine and its tasks, sent periodically by the worker on it.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Heartbeat {
    /// Id of the worker's machine.
    #[serde(rename = "deck")]
    pub machine: MachineId,
    /// Network address of the worker.
    #[serde(rename = "endpoint")]
    pub addr: String,
    /// The machine type.
    #[serde(rename = "hull")]
    pub machine_type: String,
    /// The availability zone.
    #[serde(rename = "berth")]
    pub zone: String,
    /// True for a spot machine; false if the field is absent.
    #[serde(rename = "driftwood", default)]
    pub spot: bool,
    /// Incarnation of the worker; it starts a new one when its lease has expired.
    #[serde(rename = "watch")]
    pub agent_epoch: AgentEpoch,
    /// Sequence number of the heartbeat within its agent epoch.
    #[serde(rename = "tally")]
    pub heartbeat_number: HeartbeatNumber,
    /// Highest fencing token that the worker has seen; it ignores responses with a lower one.
    #[serde(rename = "helm", default)]
    pub token: FencingToken,
    /// Seconds until the cloud reclaims the machine; `None` unless the cloud has given notice.
    #[serde(rename = "recall_s", default)]
    pub termination_notice_s: Option<f64>,
    /// All tasks on the machine, including exited tasks that the worker has not been told to forget.
    #[serde(rename = "loads", default)]
    pub tasks: Vec<TaskStatus>,
}

impl Heartbeat {
    /// Returns the position of this heartbeat in the sequence of its worker's heartbeats.
    pub fn id(&self) -> HeartbeatId {
        HeartbeatId { agent_epoch: self.agent_epoch, heartbeat_number: self.heartbeat_number }
    }
}

/// Position of a heartbeat in the sequence of one worker's heartbeats, ordered by agent epoch and then by number.
/// A duplicate or delayed heartbeat is recognized because its id is not greater than that of the newest heartbeat
/// received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatId {
    /// Incarnation of the worker.
    pub agent_epoch: AgentEpoch,
    /// Sequence number within the agent epoch.
    pub heartbeat_number: HeartbeatNumber,
}

/// State of a task on a machine as reported by the worker.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct TaskStatus {
    /// Name of the task.
    #[serde(rename = "load")]
    pub task: TaskName,
    /// Attempt that the worker runs or ran.
    #[serde(rename = "cast")]
    pub attempt: Attempt,
    /// Current state of the attempt.
    #[serde(rename = "trim")]
    pub state: TaskState,
    /// Why the task has exited; `None` until then.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub exit_reason: Option<ExitReason>,
    /// Whether a checkpoint was saved when the task was stopped.
    #[serde(rename = "saved", default, skip_serializing_if = "Option::is_none")]
    pub checkpoint_saved: Option<bool>,
}

/// Name of a task, written as `job/index` on the wire.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskName {
    /// Id of the job.
    pub job: JobId,
    /// Index of the task in the job, starting at 0.
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

/// Parses a task name without copying its text, because heartbeats list many tasks.
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

/// State of a task on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
pub enum TaskState {
    /// The worker is fetching the task's image.
    #[serde(rename = "pulling")]
    Fetching,
    /// The task is waiting, for instance for the other tasks of its gang.
    #[serde(rename = "waiting")]
    Waiting,
    /// The task is running.
    #[serde(rename = "running")]
    Running,
    /// The task is being stopped and saves a checkpoint.
    #[serde(rename = "flushing")]
    Saving,
    /// The task has exited.
    #[serde(rename = "ended")]
    Exited,
}

/// Why a task has exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
pub enum ExitReason {
    /// The task completed.
    #[serde(rename = "done")]
    Done,
    /// The task was stopped by a command.
    #[serde(rename = "halted")]
    Stopped,
    /// The task itself failed.
    #[serde(rename = "error")]
    Failed,
    /// The worker refused the start: the machine had too few free resources.
    #[serde(rename = "no_room")]
    InsufficientResources,
    /// The worker refused the start: another attempt of the task is on this machine.
    #[serde(rename = "in_use")]
    AlreadyPresent,
    /// The worker refused the start: the job or task does not exist.
    #[serde(rename = "no_such")]
    UnknownTask,
    /// Another task of the same gang ended or did not start in time.
    #[serde(rename = "peers", alias = "incomplete")]
    GangFailed,
    /// Any other reason, including values unknown to this version.
    #[serde(other, rename = "other")]
    Other,
}

/// A command to a worker concerning one attempt of a task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "call")]
pub enum Command {
    /// Start the task.
    #[serde(rename = "start")]
    Start {
        /// Task to start.
        #[serde(rename = "load")]
        task: TaskName,
        /// Attempt to start.
        #[serde(rename = "cast")]
        attempt: Attempt,
    },
    /// Stop the task.
    #[serde(rename = "kill")]
    Stop {
        /// Task to stop.
        #[serde(rename = "load")]
        task: TaskName,
        /// Attempt to stop.
        #[serde(rename = "cast")]
        attempt: Attempt,
        /// Maximum time for saving a checkpoint, in seconds.
        #[serde(rename = "slack_s")]
        grace_s: f64,
    },
    /// Forget the task: its exit is recorded durably, so heartbeats no longer need to list it.
    #[serde(rename = "reap")]
    Forget {
        /// Task to forget.
        #[serde(rename = "load")]
        task: TaskName,
        /// Attempt to forget.
        #[serde(rename = "cast")]
        attempt: Attempt,
    },
}

/// Response to an accepted heartbeat. Renews the worker's lease.
#[derive(Debug, Serialize)]
pub struct HeartbeatResponse<'a> {
    /// Fencing token of the shard's owner.
    #[serde(rename = "helm")]
    pub token: FencingToken,
    /// Commands that the worker must execute.
    #[serde(rename = "calls")]
    pub commands: &'a [Command],
}

/// Response to a heartbeat that this controller must not answer itself.
#[derive(Debug, Serialize)]
pub struct Redirect<'a> {
    /// Address of the controller to send heartbeats to; `None` if the worker should try another one.
    #[serde(rename = "harbour", skip_serializing_if = "Option::is_none")]
    pub report_to: Option<&'a str>,
}
