//! How large a simulated cluster is, and the settings of its controllers.

use super::*;

/// How large a world is, and its limits.
#[derive(Debug, Clone)]
pub struct Shape {
    pub nodes: usize,
    pub zones: Vec<String>,
    /// Machines that the cloud has in all.
    pub machines: usize,
    /// Of these, up and reporting from the start.
    pub up: usize,
    pub types: Vec<MachineType>,
    pub report_ms: u64,
    pub lease_ms: u64,
    pub cancel_ms: u64,
    /// Requests and changes a second that the state service takes; the rest it
    /// refuses if `strict`.
    pub rps: f64,
    pub write_rps: f64,
    pub strict: bool,
    /// Items of one page of a list.
    pub page: usize,
    pub teams: serde_json::Value,
    /// What the controllers are told of limits to come.
    pub next: serde_json::Value,
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

impl Shape {
    /// Three controllers, two zones and a dozen machines.
    pub fn small() -> Shape {
        let zones = vec!["a".to_string(), "b".to_string()];
        Shape {
            nodes: 3,
            machines: 14,
            up: 0,
            types: vec![machine_type("m8", 8.0, 32.0, &zones)],
            zones,
            report_ms: 1000,
            lease_ms: 10_000,
            cancel_ms: 40_000,
            rps: 400.0,
            write_rps: 200.0,
            strict: false,
            page: 50,
            teams: serde_json::json!([{"name": "red", "cpus": 8.0, "cpus_max": 24.0}, {"name": "blue", "cpus_max": 0.0}]),
            next: serde_json::Value::Null,
        }
    }

    /// As many machines as asked for, of three sizes, half of them up at the start.
    pub fn fleet(nodes: usize, zones: usize, machines: usize) -> Shape {
        let zones: Vec<String> = (0..zones).map(|n| format!("z{n}")).collect();
        Shape {
            nodes,
            machines,
            up: machines / 2,
            types: vec![
                machine_type("m8", 8.0, 32.0, &zones),
                machine_type("m16", 16.0, 64.0, &zones),
                machine_type("m64", 64.0, 256.0, &zones),
            ],
            zones,
            report_ms: 3000,
            lease_ms: 17_500,
            cancel_ms: 47_500,
            rps: 0.8 * machines as f64,
            write_rps: 0.33 * machines as f64,
            strict: true,
            page: 1000,
            teams: serde_json::json!([{"name": "red", "cpus": 500.0, "cpus_max": 2500.0}, {"name": "blue", "cpus_max": 0.0}]),
            next: serde_json::Value::Null,
        }
    }
}

/// The most that a value may take, in KiB.
pub(super) const VALUE_KB: usize = 8;

/// The most changes of a transaction.
pub(super) const TXN_OPS: usize = 12;

pub fn settings(shape: &Shape, node: usize, lease_s: f64) -> Settings {
    let addr = |n: usize| format!("127.0.0.1:{}", 1000 + n);
    let domain = |n: usize| shape.zones[n % shape.zones.len()].clone();
    let known: Vec<serde_json::Value> = (0..shape.nodes)
        .filter(|n| *n != node)
        .map(|n| serde_json::json!({"label": format!("n{n}"), "domain": domain(n), "address": addr(n)}))
        .collect();
    serde_json::from_value(serde_json::json!({
        "label": format!("n{node}"), "domain": domain(node),
        "client_listen": addr(50 + node), "internal_addr": addr(node),
        "known": known, "external": {"cloud": addr(90), "state": addr(91)}, "unheard_of": 1,
        "cluster": {
            "zones": shape.zones,
            "teams": shape.teams,
            "objectives": [],
            "workers": {
                "report_s": shape.report_ms as f64 / 1000.0,
                "lease_s": lease_s,
                "cancel_s": shape.cancel_ms as f64 / 1000.0
            },
            "state": {"rps": shape.rps, "write_rps": shape.write_rps, "value_kb": VALUE_KB, "txn_ops": TXN_OPS,
                "next": shape.next},
            "cloud": {"rps": 5.0, "list_lag_s": 2.0},
            "quota": {"ram_mb": 56.0, "fd_limit": 800}
        }
    }))
    .expect("settings")
}
