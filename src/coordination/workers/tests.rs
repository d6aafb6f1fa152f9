//! What a report proves, and what it doesn't.

use super::super::mine::Mine;
use super::*;

/// An owner of part 0 whose records name a task on a machine that is on its way out.
struct Case {
    core: Core,
    machine: MachineId,
    key: TaskKey,
}

impl Case {
    fn new() -> Case {
        let mut core = super::super::tests::core();
        let part = PartId(0);
        let mut names = (0..).map(|n| MachineId::new(&format!("i-{n:06}")));
        let machine = names.find(|name| core.part_of(name) == part).expect("a name");
        let record = super::super::tests::record(serde_json::json!({"plan": {"size": 16, "parts": [0]}}));
        let slice = serde_json::json!({"n": 1, "t": [[0, 1, machine]]});
        core.view.apply("t/j/wk-000002", Some(record), Revision(5));
        core.view.apply("t/s/wk-000002/0", Some(slice), Revision(6));
        core.last_read = Some(Time(0));
        core.mine.insert(part, Mine { ready: true, ..Mine::new(Token(9), Time(0)) });
        let key = (JobRef::new("wk-000002"), 0);
        core.adopt_slices(&key.0, Some(part));
        core.cloud.drained.insert(machine.clone());
        Case { core, machine, key }
    }

    /// A report of an empty machine; whether the task still counts as there.
    fn is_there_after(&mut self, seq: u64, token: u64) -> bool {
        let report = Report {
            machine: self.machine.clone(),
            addr: String::new(),
            kind: "m".into(),
            zone: "a".into(),
            spot: false,
            session: Session(1),
            seq: Seq(seq),
            token: Token(token),
            notice_s: None,
            tasks: vec![],
        };
        self.core.report(RequestId(seq), report);
        matches!(self.core.wanted(&self.key), Some(TaskRecord::On(..)))
    }
}

/// A copy of a report from before the start of an owner that ended reached the next one:
/// the task is on the machine all the same, until the worker has seen the new token.
#[test]
fn absence_is_proof_once_the_worker_has_seen_our_token() {
    let mut case = Case::new();
    assert!(case.is_there_after(4, 7));
    assert!(case.is_there_after(5, 8));
    assert!(!case.is_there_after(6, 9));
}

/// Neither the report that a start was sent in answer to nor an older one tells that
/// the start did nothing.
#[test]
fn absence_is_proof_in_a_later_report_than_the_one_that_was_answered_with_the_start() {
    let mut case = Case::new();
    assert!(case.is_there_after(4, 8));
    let part = PartId(0);
    let machine = case.core.mine.get_mut(&part).and_then(|m| m.machines.get_mut(&case.machine)).expect("a machine");
    machine.sent.insert(case.key.clone(), (Session(1), Seq(5)));
    assert!(case.is_there_after(5, 9), "the answer to this one had the start");
    assert!(case.is_there_after(3, 9), "a copy from before");
    assert!(!case.is_there_after(6, 9));
}

/// A copy renews nothing and changes nothing, whatever token it has.
#[test]
fn what_is_not_newer_counts_for_nothing() {
    let mut case = Case::new();
    case.core.now = Time(1000);
    assert!(case.is_there_after(7, 8));
    case.core.now = Time(9000);
    assert!(case.is_there_after(7, 9) && case.is_there_after(2, 9));
    let machine = &case.core.mine[&PartId(0)].machines[&case.machine];
    assert_eq!((machine.seq, machine.last_report, machine.acked), (Seq(7), Time(1000), false));
}
