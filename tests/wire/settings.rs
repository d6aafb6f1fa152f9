//! Golden tests of the platform's settings and the operators' tuning file.

use super::path_of;
use serde_json::{json, Value};
use std::path::PathBuf;
use tillercleat::settings::{Objective, PeerNode, Settings, Team, Tuning};

/// Writes settings with the platform's names, field by field.
fn platform_form(settings: &Settings) -> Value {
    let peer = |peer: &PeerNode| json!({"label": peer.node, "domain": peer.zone, "address": peer.addr});
    let team = |team: &Team| {
        json!({"name": team.name, "cpus": team.cpus, "cpus_max": team.cpus_max, "gpus": team.gpus,
            "gpus_max": team.gpus_max})
    };
    let objective = |objective: &Objective| {
        json!({"kind": objective.kind, "class": objective.class, "within_s": objective.within_s,
            "share": objective.share})
    };
    let cluster = &settings.cluster;
    let (state, workers) = (&cluster.state, &cluster.workers);
    let next = state.next.as_ref().map(|next| {
        json!({"rps": next.rps, "write_rps": next.write_rps, "value_kb": next.value_kb, "txn_ops": next.txn_ops})
    });
    json!({
        "label": settings.node,
        "domain": settings.zone,
        "client_listen": settings.client_listen,
        "internal_addr": settings.peer_listen,
        "known": settings.peers.iter().map(peer).collect::<Vec<_>>(),
        "external": {"cloud": settings.services.cloud, "state": settings.services.state},
        "cluster": {
            "zones": cluster.zones,
            "teams": cluster.teams.iter().map(team).collect::<Vec<_>>(),
            "objectives": cluster.objectives.iter().map(objective).collect::<Vec<_>>(),
            "workers": {"report_s": workers.report_s, "lease_s": workers.lease_s, "cancel_s": workers.cancel_s},
            "state": {"rps": state.rps, "write_rps": state.write_rps, "value_kb": state.value_kb,
                "txn_ops": state.txn_ops, "next": next},
            "cloud": {"rps": cluster.cloud.rps, "list_lag_s": cluster.cloud.list_lag_s},
            "quota": {"cpu_share": cluster.process_limits.cpu_share, "ram_mb": cluster.process_limits.ram_mb,
                "fd_limit": cluster.process_limits.fd_limit},
        },
    })
}

fn json_file(name: &str) -> Value {
    serde_json::from_str(&std::fs::read_to_string(path_of(name)).expect("a file")).expect("json")
}

/// Removes the unknown field from every object; panics if an object lacks it.
fn without_unknown(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            assert!(fields.remove("from_a_later_platform").is_some(), "an object without an unknown field");
            fields.values_mut().for_each(without_unknown);
        }
        Value::Array(items) => items.iter_mut().for_each(without_unknown),
        _ => {}
    }
}

#[test]
fn platform_settings_are_read_and_unknown_fields_ignored() {
    let settings = Settings::load(&path_of("settings.json")).expect("settings");
    let mut known = json_file("settings.json");
    without_unknown(&mut known);
    assert_eq!(platform_form(&settings), known);
}

#[test]
fn omitted_platform_settings_have_defaults() {
    let settings = Settings::load(&path_of("settings-least.json")).expect("settings");
    assert_eq!(platform_form(&settings), json_file("settings-least-read.json"));
}

#[test]
fn every_tuning_key_is_read_and_an_unknown_key_refused() {
    let read = Tuning::load(&path_of("tuning.toml")).expect("settings");
    let every = Tuning {
        cycle_interval_ms: 200,
        slice_tasks: 17,
        min_idle_s: 21.5,
        starvation_limit_s: 151.5,
        max_placements_per_cycle: 97,
        threads: 1801,
        use_lifetimes: false,
        wait_for_busy_machines: false,
    };
    assert_eq!(read, every);
    let text = std::fs::read_to_string(path_of("tuning.toml")).expect("a file");
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("tuning-unknown.toml");
    for key in text.lines().filter_map(|line| line.split(" = ").next()) {
        std::fs::write(&path, text.replace(key, &format!("{key}x"))).expect("a file");
        let refusal = Tuning::load(&path).expect_err("an unknown key").to_string();
        assert!(refusal.contains(&format!("unknown field `{key}x`")), "{refusal}");
    }
    std::fs::write(&path, "").expect("a file");
    let defaults = Tuning::load(&path).expect("settings");
    assert_eq!(defaults, Tuning::default());
    assert_eq!((defaults.cycle_interval_ms, defaults.slice_tasks, defaults.min_idle_s), (150, 16, 20.0));
    assert_eq!((defaults.starvation_limit_s, defaults.max_placements_per_cycle, defaults.threads), (150.0, 96, 1800));
    assert!(defaults.use_lifetimes && defaults.wait_for_busy_machines);
}
