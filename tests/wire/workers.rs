//! What workers report, and the answers that they get.

use super::{assert_golden, both_ways, text};
use tillercleat::protocol::workers::*;
use tillercleat::units::{Attempt, JobRef, MachineId, Seq, Session, Token};

#[test]
fn messages_of_workers_keep_their_words() {
    let task = TaskName { job: JobRef::new("wk-000412"), index: 3 };
    let states =
        [TaskState::Fetching, TaskState::Waiting, TaskState::Running, TaskState::Saving, TaskState::Exited].map(Some);
    let causes =
        [Why::Done, Why::Stopped, Why::Error, Why::NoRoom, Why::Busy, Why::Unknown, Why::Peers, Why::Other].map(Some);
    let told = |state: &Option<TaskState>, why: Option<Why>| TaskReport {
        task: task.clone(),
        attempt: Attempt(2),
        state: state.unwrap_or(TaskState::Exited),
        why,
        saved: why.map(|why| why == Why::Stopped),
    };
    let tasks = states.iter().map(|state| told(state, None)).chain(causes.map(|why| told(&None, why)));
    let report = Report {
        machine: MachineId::new("i-000001"),
        addr: "10.1.0.2:9000".into(),
        kind: "m8".into(),
        zone: "a".into(),
        spot: true,
        session: Session(5),
        seq: Seq(6),
        token: Token(7),
        notice_s: Some(30.0),
        tasks: tasks.collect(),
    };
    let least = r#"{"deck":"i-1","endpoint":"e","hull":"m8","berth":"a","watch":1,"tally":2}"#;
    let least: Report = serde_json::from_str(least).expect("a report");
    let odd: Vec<Why> = serde_json::from_str(r#"["incomplete","never heard of"]"#).expect("causes");
    let attempt = Attempt(2);
    let commands = [
        Command::Start { task: task.clone(), attempt },
        Command::Stop { task: task.clone(), attempt, grace_s: 1.5 },
        Command::Forget { task, attempt },
    ];
    let lines = [
        both_ways(&report),
        both_ways(&least),
        both_ways(&odd),
        both_ways(&commands),
        text(&ReportAnswer { token: Token(7), commands: &commands[..1] }),
        text(&ReportAnswer { token: Token(0), commands: &[] }),
        text(&GoElsewhere { report_to: Some("n1") }),
        text(&GoElsewhere { report_to: None }),
    ];
    assert_golden("workers.txt", &lines);
}
