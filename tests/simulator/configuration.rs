//! Size of a simulated cluster, limits of its store and cloud, and the settings of its controllers.

use super::SimulatedStore;
use serde_json::{json, Value};
use tillercleat::protocol::cloud::MachineType;
use tillercleat::settings::Settings;

/// Maximum size of a value in the store (KiB).
const MAX_VALUE_KB: usize = 8;
/// Maximum number of changes in a transaction.
const MAX_CHANGES: usize = 12;

/// Size and limits of a cluster. Times are in milliseconds.
#[derive(Debug, Clone)]
pub struct ClusterConfig {
    /// Number of controllers.
    pub nodes: usize,
    pub zones: Vec<String>,
    /// Maximum number of machines that the cloud rents out at the same time.
    pub machines: usize,
    /// Number of machines that run from the start.
    pub running: usize,
    pub machine_types: Vec<MachineType>,
    pub heartbeat_ms: u64,
    /// Lease duration of workers.
    pub lease_ms: u64,
    /// Time limit for stopping the tasks of a cancelled job.
    pub cancel_ms: u64,
    /// Requests and changes per second that the store accepts. It refuses the excess only if
    /// `enforce_limits` is set.
    pub requests_per_s: f64,
    pub writes_per_s: f64,
    pub enforce_limits: bool,
    /// Items on one page of a list of the store.
    pub page_size: usize,
    /// Teams in the form of the settings file.
    pub teams: Value,
    /// Announced future limits of the store, in the form of the settings file; null if none.
    pub announced_limits: Value,
}

fn machine_type(name: &str, cpus: f64, mem_gb: f64, zones: &[String]) -> MachineType {
    MachineType {
        name: name.into(),
        cpus,
        gpus: 0.0,
        mem_gb,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: cpus / 8.0,
        spot_price: Some(cpus / 20.0),
        provisioning_s: 5.0,
        zones: zones.to_vec(),
    }
}

impl ClusterConfig {
    /// Three controllers, two zones and 14 machines, none of them running at the start.
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
            teams: json!([{"name": "red", "cpus": 8.0, "cpus_max": 24.0}, {"name": "blue", "cpus_max": 0.0}]),
            announced_limits: Value::Null,
        }
    }

    /// A fleet of `machines` machines of three types, half of them running from the start.
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
            teams: json!([{"name": "red", "cpus": 500.0, "cpus_max": 2500.0}, {"name": "blue", "cpus_max": 0.0}]),
            announced_limits: Value::Null,
        }
    }

    /// Creates the store with its limits.
    pub(super) fn store(&self) -> SimulatedStore {
        let mut store = SimulatedStore::with_sizes(self.page_size, MAX_VALUE_KB * 1024, MAX_CHANGES);
        if self.enforce_limits {
            store.limit_rates(self.requests_per_s, self.writes_per_s);
        }
        store
    }
}

/// Returns the settings of one node, with `lease_s` as the worker lease.
pub fn settings(config: &ClusterConfig, node: usize, lease_s: f64) -> Settings {
    let address = |number: usize| format!("127.0.0.1:{}", 1000 + number);
    let zone = |node: usize| config.zones[node % config.zones.len()].clone();
    let peers: Vec<Value> = (0..config.nodes)
        .filter(|peer| *peer != node)
        .map(|peer| json!({"label": format!("n{peer}"), "domain": zone(peer), "address": address(peer)}))
        .collect();
    serde_json::from_value(json!({
        "label": format!("n{node}"), "domain": zone(node),
        "client_listen": address(50 + node), "internal_addr": address(node),
        "known": peers, "external": {"cloud": address(90), "state": address(91)}, "unheard_of": 1,
        "cluster": {
            "zones": config.zones,
            "teams": config.teams,
            "objectives": [],
            "workers": {
                "report_s": config.heartbeat_ms as f64 / 1000.0,
                "lease_s": lease_s,
                "cancel_s": config.cancel_ms as f64 / 1000.0
            },
            "state": {"rps": config.requests_per_s, "write_rps": config.writes_per_s, "value_kb": MAX_VALUE_KB, "txn_ops": MAX_CHANGES,
                "next": config.announced_limits},
            "cloud": {"rps": 5.0, "list_lag_s": 2.0},
            "quota": {"ram_mb": 56.0, "fd_limit": 800}
        }
    }))
    .expect("valid settings")
}
