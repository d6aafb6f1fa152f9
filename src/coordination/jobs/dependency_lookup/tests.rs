use super::*;
use crate::coordination::{Output, Response};
use crate::protocol::state::Item;
use crate::units::{RequestId, Revision};

/// Guards against a contradiction between nodes: a node that has just loaded the records, in which a
/// job waits for an archived one, must not report it as queued after another node reported it as
/// cancelled.
#[test]
fn job_state_is_not_answered_while_a_dependency_is_unknown() {
    let mut core = crate::coordination::tests::core();
    let record =
        crate::coordination::tests::record(serde_json::json!({"plan": {"size": 1, "parts": []}, "awaits": "000001"}));
    let (first, second) = (JobId::new("wk-000001"), JobId::new("wk-000002"));
    let changed = core.cache.apply("t/j/wk-000002", Some(record), Revision(5));
    core.handle_cache_change(changed);
    let answered_state = |core: &mut Core| {
        core.answer_known_job(RequestId(1), &second);
        match core.outputs.pop() {
            Some(Output::Response(_, Response::Job { state, .. })) => Some(state),
            _ => None,
        }
    };
    assert_eq!(answered_state(&mut core), None);
    let value = serde_json::json!({"end": "cancelled", "tasks": 1});
    let item = Item { key: "f/wk-000001".into(), value, version: Revision(3) };
    core.handle_dependency_lookup(first, StoreResponse::Found(item));
    assert_eq!(answered_state(&mut core), Some(crate::protocol::users::JobState::Cancelled));
}
