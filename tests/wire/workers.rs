//! Golden tests of workers' heartbeats and the responses to them.

use super::{assert_golden, round_trip_json, text};
use tillercleat::protocol::workers::*;
use tillercleat::units::{AgentEpoch, Attempt, FencingToken, HeartbeatNumber, JobId, MachineId};

/// A heartbeat with a task in each state, and an exited task for each exit reason.
fn heartbeat_with_every_state(task: &TaskName) -> Heartbeat {
    let states =
        [TaskState::Fetching, TaskState::Waiting, TaskState::Running, TaskState::Saving, TaskState::Exited].map(Some);
    let causes = [
        ExitReason::Done,
        ExitReason::Stopped,
        ExitReason::Failed,
        ExitReason::InsufficientResources,
        ExitReason::AlreadyPresent,
        ExitReason::UnknownTask,
        ExitReason::GangFailed,
        ExitReason::Other,
    ]
    .map(Some);
    let told = |state: &Option<TaskState>, why: Option<ExitReason>| TaskStatus {
        task: task.clone(),
        attempt: Attempt(2),
        state: state.unwrap_or(TaskState::Exited),
        exit_reason: why,
        checkpoint_saved: why.map(|why| why == ExitReason::Stopped),
    };
    let tasks = states.iter().map(|state| told(state, None)).chain(causes.map(|why| told(&None, why)));
    Heartbeat {
        machine: MachineId::new("i-000001"),
        addr: "10.1.0.2:9000".into(),
        machine_type: "m8".into(),
        zone: "a".into(),
        spot: true,
        agent_epoch: AgentEpoch(5),
        heartbeat_number: HeartbeatNumber(6),
        token: FencingToken(7),
        termination_notice_s: Some(30.0),
        tasks: tasks.collect(),
    }
}

#[test]
fn worker_messages_keep_their_wire_format() {
    let task = TaskName { job: JobId::new("wk-000412"), index: 3 };
    let heartbeat = heartbeat_with_every_state(&task);
    let least = r#"{"deck":"i-1","endpoint":"e","hull":"m8","berth":"a","watch":1,"tally":2}"#;
    let least: Heartbeat = serde_json::from_str(least).expect("a report");
    let odd: Vec<ExitReason> = serde_json::from_str(r#"["incomplete","never heard of"]"#).expect("causes");
    let attempt = Attempt(2);
    let commands = [
        Command::Start { task: task.clone(), attempt },
        Command::Stop { task: task.clone(), attempt, grace_s: 1.5 },
        Command::Forget { task, attempt },
    ];
    let lines = [
        round_trip_json(&heartbeat),
        round_trip_json(&least),
        round_trip_json(&odd),
        round_trip_json(&commands),
        text(&HeartbeatResponse { token: FencingToken(7), commands: &commands[..1] }),
        text(&HeartbeatResponse { token: FencingToken(0), commands: &[] }),
        text(&Redirect { report_to: Some("n1") }),
        text(&Redirect { report_to: None }),
    ];
    assert_golden("workers.txt", &lines);
}
