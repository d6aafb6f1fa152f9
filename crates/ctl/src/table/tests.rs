use super::*;
use serde_json::json;

#[test]
fn answers_become_tables() {
    let service = json!({"service": "s", "state": "rolling", "members": [
            {"job": "wk-91", "version": "v1", "replicas": 2, "step": 1, "zone": null, "retiring": false}],
        "rollout": {"from": "v1", "to": "v2", "step": 1, "steps": 3, "way": "baking", "bake_s": 6.0,
            "deadline_s": 90.0, "baked_s": 2.0, "spent_s": 3.0, "reason": null}});
    let shown = show(&service);
    assert!(shown.starts_with("s: rolling, v1 to v2, step 1 of 3 (baking), ready for 2.0 of 6.0 s"), "{shown}");
    assert!(shown.contains("wk-91  v1       2"), "{shown}");
    assert!(show(&json!({"services": [service]})).lines().count() == 2);
    // Whatever a newer controller says, nothing panics.
    let _ = show(&json!({"live": {"replicas": [{"last": []}, 3]}, "rollout": []}));
}
