use super::*;
use std::path::Path;

/// Returns valid settings of one of two controllers if `cancel_s` is long enough.
pub(crate) fn example_settings(cancel_s: f64) -> Settings {
    let settings = serde_json::json!({
        "label": "n0", "client_listen": "127.0.0.1:1", "internal_addr": "127.0.0.1:2",
        "known": [{"label": "n1", "address": "127.0.0.1:3"}],
        "external": {"cloud": "127.0.0.1:4", "state": "127.0.0.1:5"},
        "cluster": {
            "workers": {"report_s": 1.0, "lease_s": 10.0, "cancel_s": cancel_s},
            "state": {"rps": 200.0, "write_rps": 80.0, "value_kb": 8.0, "txn_ops": 12},
            "cloud": {"rps": 2.0, "list_lag_s": 8.0},
            "quota": {"ram_mb": 56.0, "fd_limit": 800}
        }
    });
    serde_json::from_value(settings).expect("settings")
}

/// If `cancel_s` is hardly longer than the lease, the controller never answers heartbeats and no task runs. Such
/// settings used to be accepted without an error.
#[test]
fn validation_rejects_a_cancel_s_that_leaves_no_time_to_answer_workers() {
    let validate = |cancel_s: f64| {
        let settings = example_settings(cancel_s);
        (settings.validate().is_ok(), settings.cluster.workers.store_isolation_limit_s())
    };
    for cancel_s in [9.0, 10.5, 12.0, 13.5] {
        assert!(!validate(cancel_s).0, "{cancel_s}");
    }
    for cancel_s in [14.0, 16.0, 40.0] {
        let (valid, store_isolation_limit_s) = validate(cancel_s);
        assert!(valid && (store_isolation_limit_s + 10.2) * 1.0005 < cancel_s, "{cancel_s}: {store_isolation_limit_s}");
    }
}

#[test]
fn unknown_operator_keys_are_rejected() {
    assert!(toml::from_str::<Tuning>("round_ms = 200").is_ok());
    assert!(toml::from_str::<Tuning>("rounds_ms = 200").is_err());
}

#[test]
fn an_error_in_the_platforms_file_names_the_file_and_the_field() {
    let message = |text: &str| {
        let error = serde_json::from_str::<Settings>(text).expect_err("invalid settings");
        SettingsError::json(Path::new("settings.json"), text, error).to_string()
    };
    assert_eq!(message("\n"), "settings.json: the file is empty, it must hold a JSON object");
    assert_eq!(message("{}"), "settings.json: top level: missing field `label` at line 1 column 2");
    let wrong_type = message("{\n\"label\": 5}");
    assert!(wrong_type.starts_with("settings.json: label: invalid type: integer `5`"), "{wrong_type}");
}

#[test]
fn an_error_in_the_operators_file_names_the_file_and_the_line() {
    let message = |text: &str| {
        let error = toml::from_str::<Tuning>(text).expect_err("invalid settings");
        SettingsError::toml(Path::new("tuning.toml"), text, error).to_string()
    };
    let unknown_key = message("threads = 100\nrounds_ms = 200");
    assert!(
        unknown_key.starts_with("tuning.toml: line 2, `rounds_ms = 200`: unknown field `rounds_ms`"),
        "{unknown_key}"
    );
    let wrong_type = message("round_ms = \"soon\"");
    assert!(wrong_type.starts_with("tuning.toml: line 1, `round_ms = \"soon\"`: invalid type"), "{wrong_type}");
}

#[test]
fn an_out_of_range_error_names_the_field_as_in_the_file() {
    let mut settings = example_settings(40.0);
    settings.cluster.process_limits.fd_limit = 10;
    let error = settings.validate().expect_err("too few descriptors").in_file(Path::new("settings.json"));
    assert_eq!(error.to_string(), "settings.json: cluster.quota.fd_limit must be at least 32");
}
