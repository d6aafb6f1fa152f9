use super::*;

/// Settings of one of two controllers.
pub(crate) fn example(cancel_s: f64) -> Settings {
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

/// With a cancellation due hardly later than a lease ends, workers were never answered
/// and nothing ran, without a word.
#[test]
fn a_cancellation_must_leave_time_to_answer_workers() {
    let checked = |cancel_s: f64| {
        let settings = example(cancel_s);
        (settings.validate().is_ok(), settings.cluster.workers.store_isolation_limit_s())
    };
    for cancel_s in [9.0, 10.5, 12.0, 13.5] {
        assert!(!checked(cancel_s).0, "{cancel_s}");
    }
    for cancel_s in [14.0, 16.0, 40.0] {
        let (taken, store_isolation_limit_s) = checked(cancel_s);
        assert!(taken && (store_isolation_limit_s + 10.2) * 1.0005 < cancel_s, "{cancel_s}: {store_isolation_limit_s}");
    }
}

#[test]
fn unknown_operator_keys_are_refused() {
    assert!(toml::from_str::<Tuning>("round_ms = 200").is_ok());
    assert!(toml::from_str::<Tuning>("rounds_ms = 200").is_err());
}
