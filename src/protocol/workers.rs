//! What workers report and which commands they take.

use crate::units::{AgentEpoch, Attempt, FencingToken, HeartbeatNumber, JobId, MachineId};
use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Heartbeat {
    #[serde(rename = "deck")]
    pub machine: MachineId,
    #[serde(rename = "endpoint")]
    pub addr: String,
    #[serde(rename = "hull")]
    pub kind: String,
    #[serde(rename = "berth")]
    pub zone: String,
    #[serde(rename = "driftwood", default)]
    pub spot: bool,
    #[serde(rename = "watch")]
    pub agent_epoch: AgentEpoch,
    #[serde(rename = "tally")]
    pub heartbeat_number: HeartbeatNumber,
    #[serde(rename = "helm", default)]
    pub token: FencingToken,
    #[serde(rename = "recall_s", default)]
    pub termination_notice_s: Option<f64>,
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
    pub agent_epoch: AgentEpoch,
    pub heartbeat_number: HeartbeatNumber,
}

#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct TaskStatus {
    #[serde(rename = "load")]
    pub task: TaskName,
    #[serde(rename = "cast")]
    pub attempt: Attempt,
    #[serde(rename = "trim")]
    pub state: TaskState,
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub exit_reason: Option<ExitReason>,
    #[serde(rename = "saved", default, skip_serializing_if = "Option::is_none")]
    pub checkpoint_saved: Option<bool>,
}

/// `job/number`, as tasks are called on the wire.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskName {
    pub job: JobId,
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

/// Reads the name where it stands: reports list many tasks.
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

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
pub enum TaskState {
    #[serde(rename = "pulling")]
    Fetching,
    #[serde(rename = "waiting")]
    Waiting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "flushing")]
    Saving,
    #[serde(rename = "ended")]
    Exited,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
pub enum ExitReason {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "halted")]
    Stopped,
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "no_room")]
    NoRoom,
    #[serde(rename = "in_use")]
    Busy,
    #[serde(rename = "no_such")]
    Unknown,
    /// A task of the same gang ended, or did not come in time.
    #[serde(rename = "peers", alias = "incomplete")]
    Peers,
    #[serde(other, rename = "other")]
    Other,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "call")]
pub enum Command {
    #[serde(rename = "start")]
    Start {
        #[serde(rename = "load")]
        task: TaskName,
        #[serde(rename = "cast")]
        attempt: Attempt,
    },
    #[serde(rename = "kill")]
    Stop {
        #[serde(rename = "load")]
        task: TaskName,
        #[serde(rename = "cast")]
        attempt: Attempt,
        #[serde(rename = "slack_s")]
        grace_s: f64,
    },
    #[serde(rename = "reap")]
    Forget {
        #[serde(rename = "load")]
        task: TaskName,
        #[serde(rename = "cast")]
        attempt: Attempt,
    },
}

#[derive(Debug, Serialize)]
pub struct HeartbeatResponse<'a> {
    #[serde(rename = "helm")]
    pub token: FencingToken,
    #[serde(rename = "calls")]
    pub commands: &'a [Command],
}

#[derive(Debug, Serialize)]
pub struct Redirect<'a> {
    #[serde(rename = "harbour", skip_serializing_if = "Option::is_none")]
    pub report_to: Option<&'a str>,
}
