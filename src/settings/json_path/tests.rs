use super::*;
use crate::settings::Settings;

/// Returns the path that is reported for the parse error of an invalid settings text.
fn error_path(text: &str) -> Option<String> {
    let error = serde_json::from_str::<Settings>(text).expect_err("not valid settings");
    path_at(text, error.line(), error.column())
}

/// Beginning of valid settings, up to the `cluster` field.
const SETTINGS_BEFORE_CLUSTER: &str = r#"{"label": "n0", "client_listen": "127.0.0.1:1", "internal_addr": "127.0.0.1:2",
    "external": {"cloud": "127.0.0.1:4", "state": "127.0.0.1:5"}"#;

#[test]
fn a_missing_field_is_reported_with_the_object_that_lacks_it() {
    assert_eq!(error_path("{}"), None);
    assert_eq!(error_path(r#"{"external": {"cloud": "127.0.0.1:4"}}"#).as_deref(), Some("external"));
    let text = format!(r#"{SETTINGS_BEFORE_CLUSTER}, "cluster": {{"workers": {{"report_s": 1.0}}}}}}"#);
    assert_eq!(error_path(&text).as_deref(), Some("cluster.workers"));
}

#[test]
fn a_value_of_a_wrong_type_is_reported_with_its_field() {
    for value in ["3", "\"x\"", "null", "true", "[]", "[1]", "{}", r#"{"a": "b"}"#] {
        assert_eq!(
            error_path(&format!(r#"{{"client_listen": {value}}}"#)).as_deref(),
            Some("client_listen"),
            "{value}"
        );
    }
    let peers = r#"{"known": [{"label": "a\"]", "address": "127.0.0.1:3"},
        {"label": "n2", "address": "nowhere"}]}"#;
    assert_eq!(error_path(peers).as_deref(), Some("known[1].address"));
}

#[test]
fn truncated_or_invalid_json_is_reported_with_the_path_of_the_error_position() {
    assert_eq!(error_path("nonsense"), None);
    assert_eq!(error_path(r#"{"label": "n0"#).as_deref(), Some("label"));
    assert_eq!(error_path(r#"{"external": {"cloud": ]}}"#).as_deref(), Some("external.cloud"));
}
