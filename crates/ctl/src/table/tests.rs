use super::*;
use serde_json::json;

#[test]
fn responses_are_formatted_as_tables() {
    let service = json!({"service": "s", "state": "rolling", "members": [
            {"job": "wk-91", "version": "v1", "replicas": 2, "step": 1, "zone": null, "retiring": false}],
        "rollout": {"from": "v1", "to": "v2", "step": 1, "steps": 3, "way": "baking", "bake_s": 6.0,
            "deadline_s": 90.0, "baked_s": 2.0, "spent_s": 3.0, "reason": null}});
    let table = render(&service);
    assert!(table.starts_with("s: rolling, v1 to v2, step 1 of 3 (baking), ready for 2.0 of 6.0 s"), "{table}");
    assert!(table.contains("wk-91  v1       2"), "{table}");
    assert!(render(&json!({"services": [service]})).lines().count() == 2);
    // A newer controller may send other shapes: they must not panic.
    let _ = render(&json!({"live": {"replicas": [{"last": []}, 3]}, "rollout": []}));
}
