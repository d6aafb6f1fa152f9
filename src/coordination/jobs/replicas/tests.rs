//! What a late heartbeat of an earlier epoch says about a replica.

use super::*;
use crate::protocol::workers::{Heartbeat, TaskName, TaskState, TaskStatus};
use crate::units::{AgentEpoch, HeartbeatNumber, MachineId, MonotonicTime, RequestId, Revision};

/// Returns an owner of shard 0, with token 9, and a machine of the shard on which replica 0 of a service is placed.
fn owner_of_a_replica() -> (Core, MachineId) {
    let mut core = crate::coordination::tests::core();
    let mut names = (0..).map(|n| MachineId::new(&format!("i-{n:06}")));
    let machine = names.find(|name| core.shard_of(name) == ShardId(0)).expect("a machine of the shard");
    let mut record = crate::coordination::tests::record(serde_json::json!({"plan": {"size": 16, "parts": [0]}}));
    record["spec"]["rig"] = "standing".into();
    core.cache.apply("t/j/wk-000002", Some(record), Revision(5));
    let slice = serde_json::json!({"n": 1, "t": [[0, 1, machine]]});
    core.cache.apply("t/s/wk-000002/0", Some(slice), Revision(6));
    core.store.set_last_read(MonotonicTime(0));
    let owned_shard = OwnedShard { ready: true, ..OwnedShard::new(FencingToken(9), MonotonicTime(0)) };
    core.owned_shards.insert(ShardId(0), owned_shard);
    core.adopt_slices(&JobId::new("wk-000002"), Some(ShardId(0)));
    (core, machine)
}

/// Handles a heartbeat that lists replica 0 as running. Returns the replica as roll-outs see it afterwards.
fn replica_after(core: &mut Core, machine: &MachineId, heartbeat_number: u64, token: u64) -> Replica {
    let task = TaskName { job: JobId::new("wk-000002"), index: 0 };
    let state = TaskState::Running;
    let heartbeat = Heartbeat {
        machine: machine.clone(),
        addr: "127.0.0.1:1".into(),
        machine_type: "m".into(),
        zone: "a".into(),
        spot: false,
        agent_epoch: AgentEpoch(1),
        heartbeat_number: HeartbeatNumber(heartbeat_number),
        token: FencingToken(token),
        termination_notice_s: None,
        tasks: vec![TaskStatus { task, attempt: Attempt(1), state, exit_reason: None, checkpoint_saved: None }],
    };
    core.handle_heartbeat(RequestId(heartbeat_number), heartbeat);
    core.replicas(&[JobId::new("wk-000002")]).remove(0)
}

/// Guards against a version that is blamed for a lost machine: a roll-out counts a failed check once a heartbeat sent after
/// it lists the replica, and took a late heartbeat, the first that a new owner received, for such a one.
#[test]
fn a_heartbeat_without_the_owners_token_does_not_confirm_that_a_replica_still_runs() {
    let (mut core, machine) = owner_of_a_replica();
    let late = replica_after(&mut core, &machine, 12, 7);
    assert_eq!((late.state, late.heartbeat_age), (ReplicaState::Running, Millis(u64::MAX)));
    let current = replica_after(&mut core, &machine, 13, 9);
    assert_eq!((current.state, current.heartbeat_age), (ReplicaState::Running, Millis(0)));
}
