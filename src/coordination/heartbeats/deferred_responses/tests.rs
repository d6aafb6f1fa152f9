use super::*;
use crate::coordination::Output;
use crate::protocol::workers::{TaskName, TaskStatus};
use crate::units::{AgentEpoch, Attempt, FencingToken, HeartbeatNumber, JobId, Revision};

/// A new owner whose watch stalls renews machine leases before its cache has caught up. It must still stop tasks of a
/// job that it knows to be cancelled.
#[test]
fn an_owner_that_is_not_ready_stops_tasks_of_jobs_known_to_have_ended() {
    let mut core = crate::coordination::tests::core();
    let record =
        crate::coordination::tests::record(serde_json::json!({"plan": {"size": 16, "parts": [0]}, "end": "cancelled"}));
    let changed = core.cache.apply("t/j/wk-000002", Some(record), Revision(5));
    core.handle_cache_change(changed);
    core.store.set_last_read(MonotonicTime(0));
    for shard in 0..2 {
        core.owned_shards.insert(
            ShardId(shard),
            crate::coordination::shards::owned_shard::OwnedShard::new(FencingToken(9), MonotonicTime(0)),
        );
    }
    let task = TaskStatus {
        task: TaskName { job: JobId::new("wk-000002"), index: 0 },
        attempt: Attempt(1),
        state: TaskState::Running,
        exit_reason: None,
        checkpoint_saved: None,
    };
    let heartbeat = Heartbeat {
        machine: MachineId::new("i-000001"),
        addr: String::new(),
        machine_type: "m".into(),
        zone: "a".into(),
        spot: false,
        agent_epoch: AgentEpoch(1),
        heartbeat_number: HeartbeatNumber(4),
        token: FencingToken(7),
        termination_notice_s: None,
        tasks: vec![task],
    };
    core.handle_heartbeat(RequestId(1), heartbeat);
    let stops_the_task = |o: &Output| {
        matches!(o, Output::Response(_, Response::Commands { commands, .. })
        if matches!(commands[..], [Command::Stop { grace_s: 0.0, .. }]))
    };
    assert!(core.outputs.iter().any(stops_the_task), "{:?}", core.outputs);
}
