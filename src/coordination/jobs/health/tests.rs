use super::*;
use crate::coordination::membership::peers::Peer;
use crate::units::NodeName;

/// A controller that had lost the store and its peers went on saying that it could accept jobs:
/// users stayed with it and were refused for minutes.
#[test]
fn a_node_without_store_and_peers_is_not_healthy() {
    let mut core = crate::coordination::tests::core();
    let kind = serde_json::json!({"sku": "m", "cores": 8.0, "gpus": 0.0, "mem_gb": 32.0, "local_gb": 50.0,
        "fetch_gb_per_s": 1.0, "hourly": 1.0, "market_price": null, "ready_s": 20.0, "berths": ["a"]});
    core.catalog.set_types(&[serde_json::from_value(kind).expect("a machine type")]);
    core.store.set_loaded();
    core.now = MonotonicTime(60_000);
    let mut up = |state: u64, peer: Option<(u64, bool)>| {
        core.store.set_last_response(MonotonicTime(state));
        let peer = peer.map(|(heard, state_reachable)| Peer {
            heard: Some(MonotonicTime(heard)),
            state_reachable,
            status: None,
        });
        core.membership.set_peer(NodeName::new("n1"), peer.unwrap_or_default());
        core.can_accept_jobs()
    };
    assert!(up(59_000, None), "the records are reached");
    assert!(up(50_000, Some((59_000, false))), "nobody reaches the records");
    assert!(!up(50_000, Some((59_000, true))), "only this node does not");
    assert!(!up(50_000, Some((50_000, false))), "nobody is heard either");
    core.membership.remove_peers();
    assert!(core.can_accept_jobs(), "there is nobody else");
}
