use super::*;
use crate::units::{AgentEpoch, HeartbeatNumber};

fn at(agent_epoch: u64, heartbeat_number: u64) -> HeartbeatId {
    HeartbeatId { agent_epoch: AgentEpoch(agent_epoch), heartbeat_number: HeartbeatNumber(heartbeat_number) }
}

#[test]
fn only_the_next_number_of_an_epoch_shows_that_a_response_arrived() {
    let lease = Millis(10_000);
    let mut reachability = Reachability::new(MonotonicTime(0), true);
    assert!(reachability.is_downlink_lost(MonotonicTime(0), lease));
    // The worker tried another controller in between, and its lease expired.
    assert!(!reachability.record_heartbeat(MonotonicTime(5000), at(1, 4), at(1, 6), true, lease));
    assert!(!reachability.record_heartbeat(MonotonicTime(10_000), at(1, 6), at(2, 7), true, lease));
    assert!(reachability.is_downlink_lost(MonotonicTime(10_000), lease));
    assert!(reachability.record_heartbeat(MonotonicTime(11_000), at(2, 7), at(2, 8), true, lease));
    // No heartbeats since then; the next one arrives after the lease has expired.
    assert!(!reachability.is_downlink_lost(MonotonicTime(22_000), lease));
    assert!(!reachability.record_heartbeat(MonotonicTime(22_000), at(2, 8), at(3, 11), true, lease));
    assert!(reachability.is_downlink_lost(MonotonicTime(22_000), lease));
    // With a single controller, only an epoch longer than the lease proves that a response arrived.
    let mut alone = Reachability::new(MonotonicTime(0), true);
    assert!(!alone.record_heartbeat(MonotonicTime(1000), at(1, 1), at(1, 2), false, lease));
    assert!(alone.record_heartbeat(MonotonicTime(11_000), at(1, 2), at(1, 3), false, lease));
}
