//! When a heartbeat proves that a task is absent from its machine or has exited.

use super::*;
use crate::coordination::shards::owned_shard::TaskKey;
use crate::protocol::workers::{ExitReason, HeartbeatId, TaskName, TaskStatus};
use crate::storage::records::{FleetRecord, TaskRecord};
use crate::units::{Attempt, FencingToken, JobId, MachineId, Revision};

/// An owner of shard 0 with a task placed on a machine that is being drained.
struct Case {
    core: Core,
    machine: MachineId,
    key: TaskKey,
}

impl Case {
    fn new() -> Case {
        let mut core = crate::coordination::tests::core();
        let shard = ShardId(0);
        let mut names = (0..).map(|n| MachineId::new(&format!("i-{n:06}")));
        let machine = names.find(|name| core.shard_of(name) == shard).expect("a machine of the shard");
        let record = crate::coordination::tests::record(serde_json::json!({"plan": {"size": 16, "parts": [0]}}));
        let slice = serde_json::json!({"n": 1, "t": [[0, 1, machine]]});
        core.cache.apply("t/j/wk-000002", Some(record), Revision(5));
        core.cache.apply("t/s/wk-000002/0", Some(slice), Revision(6));
        core.store.set_last_read(MonotonicTime(0));
        core.owned_shards
            .insert(shard, OwnedShard { ready: true, ..OwnedShard::new(FencingToken(9), MonotonicTime(0)) });
        let key = (JobId::new("wk-000002"), 0);
        core.adopt_slices(&key.0, Some(shard));
        core.fleet.apply_record(&FleetRecord { draining: vec![machine.clone()], ..FleetRecord::default() });
        Case { core, machine, key }
    }

    /// Handles a heartbeat without tasks. Returns true if the task is still placed on the machine afterwards.
    fn is_placed_after(&mut self, heartbeat_number: u64, token: u64) -> bool {
        self.handle(heartbeat_id(1, heartbeat_number), token, vec![]);
        matches!(self.core.desired_task(&self.key), Some(TaskRecord::Placed(..)))
    }

    /// Handles a heartbeat that lists the task in this state. Returns the task's state afterwards.
    fn task_after(&mut self, id: HeartbeatId, token: u64, state: TaskState, exit: Option<ExitReason>) -> TaskRecord {
        let task = TaskName { job: self.key.0.clone(), index: self.key.1 };
        let attempt = Attempt(1);
        let status = TaskStatus { task, attempt, state, exit_reason: exit, checkpoint_saved: None };
        self.handle(id, token, vec![status]);
        self.core.desired_task(&self.key).cloned().expect("a task of the shard")
    }

    fn handle(&mut self, id: HeartbeatId, token: u64, tasks: Vec<TaskStatus>) {
        let heartbeat = Heartbeat {
            machine: self.machine.clone(),
            addr: String::new(),
            machine_type: "m".into(),
            zone: "a".into(),
            spot: false,
            agent_epoch: id.agent_epoch,
            heartbeat_number: id.heartbeat_number,
            token: FencingToken(token),
            termination_notice_s: None,
            tasks,
        };
        self.core.handle_heartbeat(RequestId(id.heartbeat_number.0), heartbeat);
    }
}

fn heartbeat_id(agent_epoch: u64, heartbeat_number: u64) -> HeartbeatId {
    HeartbeatId { agent_epoch: AgentEpoch(agent_epoch), heartbeat_number: HeartbeatNumber(heartbeat_number) }
}

/// A heartbeat that was sent before an earlier owner's start command may reach the next owner late. The task counts as
/// present on the machine until the worker has acknowledged the new token.
#[test]
fn an_unlisted_task_is_absent_once_the_worker_has_acknowledged_the_token() {
    let mut case = Case::new();
    assert!(case.is_placed_after(4, 7));
    assert!(case.is_placed_after(5, 8));
    assert!(!case.is_placed_after(6, 9));
}

/// The heartbeat to which a start command was the response, or an older one, does not show that the start had no
/// effect.
#[test]
fn an_unlisted_task_is_absent_only_after_a_heartbeat_newer_than_its_start() {
    let mut case = Case::new();
    assert!(case.is_placed_after(4, 8));
    let shard = ShardId(0);
    let machine =
        case.core.owned_shards.get_mut(&shard).and_then(|m| m.machines.get_mut(&case.machine)).expect("a machine");
    machine.starts_sent.insert(case.key.clone(), heartbeat_id(1, 5));
    assert!(case.is_placed_after(5, 9), "the start was sent in response to this heartbeat");
    assert!(case.is_placed_after(3, 9), "an older duplicate");
    assert!(!case.is_placed_after(6, 9));
}

/// A duplicate or older heartbeat renews no lease and changes nothing, whatever its token.
#[test]
fn a_heartbeat_that_is_not_newer_is_ignored() {
    let mut case = Case::new();
    case.core.now = MonotonicTime(1000);
    assert!(case.is_placed_after(7, 8));
    case.core.now = MonotonicTime(9000);
    assert!(case.is_placed_after(7, 9) && case.is_placed_after(2, 9));
    let machine = &case.core.owned_shards[&ShardId(0)].machines[&case.machine];
    assert_eq!(
        (machine.heartbeat_number, machine.last_heartbeat, machine.token_acknowledged),
        (HeartbeatNumber(7), MonotonicTime(1000), false)
    );
}

/// Guards against a second start of a running task (`ran_twice`): the first heartbeat that a new owner received was a late
/// one of an earlier epoch, and its exit was taken for the exit of the same attempt's run in the current epoch.
#[test]
fn an_exit_in_a_late_heartbeat_of_an_earlier_epoch_does_not_end_the_restarted_attempt() {
    use TaskState::{Exited, Running};
    for reason in [ExitReason::Failed, ExitReason::Stopped, ExitReason::InsufficientResources, ExitReason::Done] {
        let mut case = Case::new();
        let placed = TaskRecord::Placed(Attempt(1), case.machine.clone());
        let exited = Some(reason);
        assert_eq!(case.task_after(heartbeat_id(1, 12), 7, Exited, exited), placed, "{reason:?}: late heartbeat");
        assert_eq!(
            case.task_after(heartbeat_id(2, 30), 8, Running, None),
            placed,
            "{reason:?}: token of a predecessor"
        );
        assert_eq!(case.task_after(heartbeat_id(2, 31), 9, Running, None), placed, "{reason:?}: this owner's token");
        assert_eq!(
            case.task_after(heartbeat_id(1, 13), 9, Exited, exited),
            placed,
            "{reason:?}: older than the newest"
        );
        let after_exit = if reason == ExitReason::Done { TaskRecord::Done } else { TaskRecord::Pending(Attempt(1)) };
        assert_eq!(case.task_after(heartbeat_id(2, 32), 9, Exited, exited), after_exit, "{reason:?}");
    }
}

/// Guards against run times that span two runs: the run of the earlier epoch was counted as part of the attempt's run in the
/// current one, so the learned run times were too long and the remaining time too short.
#[test]
fn a_run_restarted_in_a_new_epoch_is_timed_from_its_own_start() {
    let mut case = Case::new();
    case.core.now = MonotonicTime(1000);
    case.task_after(heartbeat_id(1, 4), 9, TaskState::Running, None);
    case.core.now = MonotonicTime(15_000);
    case.task_after(heartbeat_id(2, 6), 9, TaskState::Running, None);
    case.core.now = MonotonicTime(16_000);
    case.task_after(heartbeat_id(2, 7), 9, TaskState::Running, None);
    assert_eq!(case.core.owned_shards[&ShardId(0)].running_since.get(&case.key), Some(&MonotonicTime(15_000)));
}
