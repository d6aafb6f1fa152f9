use super::*;
use crate::coordination::membership::peers::Peer;
use crate::units::NodeName;

/// A controller that had lost the store and its peers kept reporting that it could accept jobs, so
/// users stayed with it and were refused for minutes.
#[test]
fn health_depends_on_store_and_peer_reachability() {
    let mut core = crate::coordination::tests::core();
    let kind = serde_json::json!({"sku": "m", "cores": 8.0, "gpus": 0.0, "mem_gb": 32.0, "local_gb": 50.0,
        "fetch_gb_per_s": 1.0, "hourly": 1.0, "market_price": null, "ready_s": 20.0, "berths": ["a"]});
    core.catalog.set_types(&[serde_json::from_value(kind).expect("a machine type")]);
    core.store.set_loaded();
    core.now = MonotonicTime(60_000);
    let mut is_healthy = |last_answer: u64, peer: Option<(u64, bool)>| {
        core.store.set_last_response(MonotonicTime(last_answer));
        let peer = peer.map(|(heard, state_reachable)| Peer {
            last_heard: Some(MonotonicTime(heard)),
            state_reachable,
            status: None,
        });
        core.membership.set_peer(NodeName::new("n1"), peer.unwrap_or_default());
        core.can_accept_jobs()
    };
    assert!(is_healthy(59_000, None), "this node reaches the store");
    assert!(is_healthy(50_000, Some((59_000, false))), "no controller reaches the store");
    assert!(!is_healthy(50_000, Some((59_000, true))), "only this node cannot reach the store");
    assert!(!is_healthy(50_000, Some((50_000, false))), "no peer has been heard recently either");
    core.membership.remove_peers();
    assert!(core.can_accept_jobs(), "there are no peers");
}
