//! A small installation on loopback to try roll-outs on: a simulated store, cloud, machines and
//! service, and one real controller. The service's second version turns unhealthy once four of its
//! replicas run. Ends by itself.
//!
//! `cargo build --release && cargo run --release --example rollout_loopback`

#[path = "../tests/loopback/mod.rs"]
mod loopback;

use loopback::services::{cloud, Service};
use loopback::{call, free_port, settings, start, store_service, temporary_file, wait_for, SECOND};
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
    let (client, store) = (free_port(), store_service());
    let service = Service::new(SERVICE_PORT, store, BREAKS_AT_REPLICAS);
    let cloud = cloud(vec![client], service);
    let mut config = settings(0, client, &[free_port()], cloud, store);
    config["cluster"]["teams"] = json!([{"name": "plan"}]);
    let path = temporary_file("loopback.json");
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
