//! Runs a small installation on the loopback interface to try roll-outs: one real controller with a
//! simulated store, cloud, machines and service. The second version of the service becomes unhealthy once
//! four of its replicas run. Exits after ten minutes.
//!
//! `cargo build --release && cargo run --release --example rollout_loopback`

#[path = "../tests/loopback/mod.rs"]
mod loopback;

use loopback::services::{cloud, Service};
use loopback::{call, free_port, settings, start, store_service, temporary_file, wait_for, SECOND};
use serde_json::json;

/// Time for which the installation runs.
const RUN_MINUTES: u32 = 10;

/// Port on which replicas answer health checks; must match `docs/examples/routeplan-v1.toml`.
const SERVICE_PORT: u16 = 18_080;

/// Address of the controller's operator API; must match `deploy/rollout.toml`.
const OPERATOR_ADDR: &str = "127.0.0.1:8090";

/// Number of running replicas at which the second version becomes unhealthy.
const UNHEALTHY_AT_REPLICAS: usize = 4;

fn main() -> std::io::Result<()> {
    let (client_port, store) = (free_port(), store_service());
    let service = Service::new(SERVICE_PORT, store, UNHEALTHY_AT_REPLICAS);
    let cloud = cloud(vec![client_port], service);
    let mut config = settings(0, client_port, &[free_port()], cloud, store);
    config["cluster"]["teams"] = json!([{"name": "plan"}]);
    let config_path = temporary_file("loopback.json");
    std::fs::write(&config_path, config.to_string())?;
    let process = start(&config_path, &[("--rollout", "deploy/rollout.toml".as_ref())]);
    wait_for("the first successful health check", || {
        call(client_port, "GET", "/up", "").is_some_and(|(status, _)| status == 200)
    });
    println!("ready for {RUN_MINUTES} minutes; the operator API listens on {OPERATOR_ADDR}. Run in another terminal:");
    for command in [
        "start docs/examples/routeplan-v1.toml",
        "watch routeplan",
        "start docs/examples/routeplan-v2.toml",
        "watch routeplan",
    ] {
        println!("    target/release/tillerctl rollout {command}");
    }
    std::thread::sleep(SECOND * 60 * RUN_MINUTES);
    drop(process);
    std::fs::remove_file(&config_path)
}
