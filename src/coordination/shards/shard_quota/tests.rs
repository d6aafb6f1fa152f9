use super::*;
use crate::protocol::state::StoreResponse;
use crate::units::{FencingToken, MonotonicTime};

/// Guards against treating the conflict of a retried transfer as proof that the first attempt failed: a transfer
/// without a response may still be committed later.
#[test]
fn an_unresolved_quota_transfer_counts_as_committed_until_its_outcome_is_known() {
    let mut core = crate::coordination::tests::core();
    core.settings.cluster.teams =
        serde_json::from_value(serde_json::json!([{"name": "red", "cpus_max": 24.0}])).expect("teams");
    let shard = ShardId(0);
    core.owned_shards.insert(shard, OwnedShard { ready: true, ..OwnedShard::new(FencingToken(9), MonotonicTime(0)) });
    core.store.set_last_read(MonotonicTime(0));
    assert!(core.transfer_quota(shard, ShardId(1), "red", ComputeAmount { cpus: 4.0, gpus: 0.0 }));
    for answer in [StoreResponse::Unknown, StoreResponse::Unavailable, StoreResponse::Unknown] {
        core.handle_store_response(core.store.last_call(), answer);
        assert_eq!(core.quota(shard, "red").cpus, Some(8.0));
        core.store.end_backoff();
        core.resolve_quota_transfers();
    }
    core.handle_store_response(core.store.last_call(), StoreResponse::Committed(Revision(12)));
    assert!(core.owned_shards[&shard].quota_after_transfer.is_none() && core.store.has_no_busy_keys());
    assert_eq!((core.quota(shard, "red").cpus, core.quota(ShardId(1), "red").cpus), (Some(8.0), Some(16.0)));
}
