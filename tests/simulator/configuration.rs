//! How large a simulated cluster is, and the settings of its controllers.

use super::*;

/// How large a cluster is, and its limits.
#[derive(Debug, Clone)]
pub struct ClusterConfig {
    pub nodes: usize,
    pub zones: Vec<String>,
    /// Machines that the cloud has in all.
    pub machines: usize,
    /// Of these, up and reporting from the start.
    pub running: usize,
    pub machine_types: Vec<MachineType>,
    pub heartbeat_ms: u64,
    pub lease_ms: u64,
    pub cancel_ms: u64,
    /// Requests and changes a second that the state service takes; the rest it
    /// refuses if `enforce_limits`.
    pub requests_per_s: f64,
    pub writes_per_s: f64,
    pub enforce_limits: bool,
    /// Items of one page of a list.
    pub page_size: usize,
    pub teams: serde_json::Value,
    /// What the controllers are told of limits to come.
    pub announced_limits: serde_json::Value,
}

pub(super) fn machine_type(name: &str, cpus: f64, mem_gb: f64, zones: &[String]) -> MachineType {
    MachineType {
        name: name.into(),
        cpus,
        gpus: 0.0,
        mem_gb,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: cpus / 8.0,
        spot_price: Some(cpus / 20.0),
        boot_s: 5.0,
        zones: zones.to_vec(),
    }
}

impl ClusterConfig {
    /// Three controllers, two zones and a dozen machines.
    pub fn small() -> ClusterConfig {
        let zones = vec!["a".to_string(), "b".to_string()];
        ClusterConfig {
            nodes: 3,
            machines: 14,
            running: 0,
            machine_types: vec![machine_type("m8", 8.0, 32.0, &zones)],
            zones,
            heartbeat_ms: 1000,
            lease_ms: 10_000,
            cancel_ms: 40_000,
            requests_per_s: 400.0,
            writes_per_s: 200.0,
            enforce_limits: false,
            page_size: 50,
            teams: serde_json::json!([{"name": "red", "cpus": 8.0, "cpus_max": 24.0}, {"name": "blue", "cpus_max": 0.0}]),
            announced_limits: serde_json::Value::Null,
        }
    }

    /// As many machines as asked for, of three sizes, half of them up at the start.
    pub fn fleet(nodes: usize, zones: usize, machines: usize) -> ClusterConfig {
        let zones: Vec<String> = (0..zones).map(|n| format!("z{n}")).collect();
        ClusterConfig {
            nodes,
            machines,
            running: machines / 2,
            machine_types: vec![
                machine_type("m8", 8.0, 32.0, &zones),
                machine_type("m16", 16.0, 64.0, &zones),
                machine_type("m64", 64.0, 256.0, &zones),
            ],
            zones,
            heartbeat_ms: 3000,
            lease_ms: 17_500,
            cancel_ms: 47_500,
            requests_per_s: 0.8 * machines as f64,
            writes_per_s: 0.33 * machines as f64,
            enforce_limits: true,
            page_size: 1000,
            teams: serde_json::json!([{"name": "red", "cpus": 500.0, "cpus_max": 2500.0}, {"name": "blue", "cpus_max": 0.0}]),
            announced_limits: serde_json::Value::Null,
        }
    }
}

/// The most that a value may take, in KiB.
pub(super) const VALUE_KB: usize = 8;

/// The most changes of a transaction.
pub(super) const TXN_OPS: usize = 12;

pub fn settings(config: &ClusterConfig, node: usize, lease_s: f64) -> Settings {
    let addr = |n: usize| format!("127.0.0.1:{}", 1000 + n);
    let domain = |n: usize| config.zones[n % config.zones.len()].clone();
    let known: Vec<serde_json::Value> = (0..config.nodes)
        .filter(|n| *n != node)
        .map(|n| serde_json::json!({"label": format!("n{n}"), "domain": domain(n), "address": addr(n)}))
        .collect();
    serde_json::from_value(serde_json::json!({
        "label": format!("n{node}"), "domain": domain(node),
        "client_listen": addr(50 + node), "internal_addr": addr(node),
        "known": known, "external": {"cloud": addr(90), "state": addr(91)}, "unheard_of": 1,
        "cluster": {
            "zones": config.zones,
            "teams": config.teams,
            "objectives": [],
            "workers": {
                "report_s": config.heartbeat_ms as f64 / 1000.0,
                "lease_s": lease_s,
                "cancel_s": config.cancel_ms as f64 / 1000.0
            },
            "state": {"rps": config.requests_per_s, "write_rps": config.writes_per_s, "value_kb": VALUE_KB, "txn_ops": TXN_OPS,
                "next": config.announced_limits},
            "cloud": {"rps": 5.0, "list_lag_s": 2.0},
            "quota": {"ram_mb": 56.0, "fd_limit": 800}
        }
    }))
    .expect("settings")
}
