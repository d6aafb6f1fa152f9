//! A small installation on loopback to try roll-outs on: one controller with a simulated store,
//! cloud, machines and service. The service's second version turns unhealthy once four of its
//! replicas run. Ends by itself.
//!
//! `cargo build --release && cargo run --release --example rollout_loopback`

#[path = "../tests/loopback/mod.rs"]
mod loopback;

use loopback::services::{cloud, Service};
use loopback::{call, free_port, start, state_service, wait_for, SECOND};
use serde_json::json;

/// How long the installation runs.
const MINUTES: u32 = 10;

/// Port that replicas answer health checks on; as in `docs/examples/routeplan-v1.toml`.
const SERVICE_PORT: u16 = 18_080;

/// Where `tillerctl` reaches the controller; as in `deploy/rollout.toml`.
const OPERATOR_ADDR: &str = "127.0.0.1:8090";

/// Running replicas of the second version that make it unhealthy.
const BREAKS_AT_REPLICAS: usize = 4;

fn main() -> std::io::Result<()> {
    let (client, state) = (free_port(), state_service());
    let service = Service::new(SERVICE_PORT, state, BREAKS_AT_REPLICAS);
    let cloud = cloud(vec![client], service);
    let config = json!({
        "label": "n0", "domain": "a", "client_listen": client.to_string(),
        "internal_addr": free_port().to_string(), "known": [],
        "external": {"cloud": cloud.to_string(), "state": state.to_string()},
        "cluster": {"teams": [{"name": "plan"}],
            "workers": {"report_s": 0.2, "lease_s": 3.0, "cancel_s": 12.0},
            "state": {"rps": 600.0, "write_rps": 200.0, "value_kb": 8.0, "txn_ops": 12},
            "cloud": {"rps": 10.0, "list_lag_s": 1.0}, "quota": {"ram_mb": 64.0, "fd_limit": 400}}
    });
    let path = std::env::temp_dir().join(format!("tillercleat-loopback-{}.json", std::process::id()));
    std::fs::write(&path, config.to_string())?;
    let process = start(&path, &[("--rollout", "deploy/rollout.toml".as_ref())]);
    wait_for("becoming healthy", || call(client, "GET", "/up", "").is_some_and(|(status, _)| status == 200));
    println!("ready for {MINUTES} minutes; operators are listened to on {OPERATOR_ADDR}. Try, in another terminal:");
    for line in [
        "start docs/examples/routeplan-v1.toml",
        "watch routeplan",
        "start docs/examples/routeplan-v2.toml",
        "watch routeplan",
    ] {
        println!("    target/release/tillerctl rollout {line}");
    }
    std::thread::sleep(SECOND * 60 * MINUTES);
    drop(process);
    std::fs::remove_file(&path)
}
