//! The platform's settings: a JSON file for each controller. Unknown fields are ignored, because a later
//! platform may add some. The platform's names of fields stand here only, as serde renames.

use super::error::{read, SettingsError};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// The clocks of two hosts may run apart by half a per mille each: the factor between the fastest and
/// the slowest reading of one length of time.
const MAX_CLOCK_DRIFT_FACTOR: f64 = 1.0 + 2.0 * 0.0005;

/// Added to a worker's lease for the time between its start and our reading of the clock, in seconds.
const LEASE_MARGIN_S: f64 = 0.2;

/// What the platform tells one controller about itself, its peers and the cluster.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// This controller's name, unique among the controllers.
    #[serde(rename = "label")]
    pub node: String,
    /// The zone that this controller runs in; empty: not said.
    #[serde(rename = "domain", default)]
    pub zone: String,
    /// Where users, workers and health checks are listened to (HTTP).
    pub client_listen: SocketAddr,
    /// Where other controllers are listened to (gRPC).
    #[serde(rename = "internal_addr")]
    pub peer_listen: SocketAddr,
    /// All other controllers.
    #[serde(rename = "known", default)]
    pub peers: Vec<PeerNode>,
    /// The services outside that controllers call.
    #[serde(rename = "external")]
    pub services: Services,
    /// What is the same for all controllers of the cluster.
    pub cluster: Cluster,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct PeerNode {
    /// Its name.
    #[serde(rename = "label")]
    pub node: String,
    /// The zone it runs in; empty: not said.
    #[serde(rename = "domain", default)]
    pub zone: String,
    /// Where it listens to controllers.
    #[serde(rename = "address")]
    pub addr: SocketAddr,
}

/// Addresses of the services that controllers call.
#[derive(Debug, Clone, Deserialize)]
pub struct Services {
    /// The cloud that rents machines out.
    pub cloud: SocketAddr,
    /// The consensus-backed key-value store.
    pub state: SocketAddr,
}

/// What is the same for all controllers of a cluster.
#[derive(Debug, Clone, Deserialize)]
pub struct Cluster {
    /// Zones in which machines may be rented.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Teams that may submit jobs.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service-level objectives of classes of jobs.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Times that workers keep to.
    pub workers: Workers,
    /// Limits of the store.
    pub state: StateLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Limits of this process.
    #[serde(rename = "quota")]
    pub process_limits: ProcessLimits,
}

/// A team with its guarantee and its limit of cores and GPUs, for all of its running tasks together.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// The team's name, as jobs give it.
    pub name: String,
    /// Guaranteed cores.
    #[serde(default)]
    pub cpus: f64,
    /// The most cores; 0: no limit.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// The most GPUs; 0: no limit.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective: a share of a class's jobs starts or finishes within a time.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// What is measured: `wait` until a start, or `finished`. Other kinds are ignored.
    pub kind: String,
    /// The class of jobs that it holds for; without one the objective is ignored.
    #[serde(default)]
    pub class: Option<String>,
    /// The time in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// The share of jobs, 0 to 1.
    #[serde(default)]
    pub share: Option<f64>,
}

/// Times that workers keep to, in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Interval between two heartbeats of a worker.
    pub report_s: f64,
    /// A worker ends its tasks when no heartbeat has been answered for this long.
    pub lease_s: f64,
    /// A cancelled job's tasks have to be stopped within this time.
    pub cancel_s: f64,
}

impl Workers {
    /// A worker's lease in seconds, with room for drifting clocks.
    pub fn max_lease_s(&self) -> f64 {
        self.lease_s * MAX_CLOCK_DRIFT_FACTOR + LEASE_MARGIN_S
    }

    /// How long an owner may go on answering workers after its last read of the
    /// records, in seconds: their leases then run out before a cancellation that it
    /// cannot have heard of is due. 0 if there is no such time.
    pub fn store_isolation_limit_s(&self) -> f64 {
        let margin = (self.report_s + 0.5).min(self.cancel_s / 8.0);
        ((self.cancel_s - margin) / MAX_CLOCK_DRIFT_FACTOR - self.max_lease_s()).max(0.0)
    }
}

/// Limits of the store, which all controllers share.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Calls a second.
    pub rps: f64,
    /// Transactions a second.
    pub write_rps: f64,
    /// The largest value in KiB.
    pub value_kb: f64,
    /// The most operations in one transaction.
    pub txn_ops: usize,
    /// What the limits will be from some moment on; none: they stay.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// Announced limits of the store; what is missing stays as it is.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextLimits {
    /// Calls a second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Transactions a second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// The largest value in KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// The most operations in one transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// The limits that hold before and after they change: the change comes
    /// without notice, and what was begun before it must still pass after.
    pub fn strictest(&self) -> StateLimits {
        let next = self.next.clone().unwrap_or_default();
        let least = |now: f64, next: Option<f64>| next.map_or(now, |next| next.min(now));
        StateLimits {
            rps: least(self.rps, next.rps),
            write_rps: least(self.write_rps, next.write_rps),
            value_kb: least(self.value_kb, next.value_kb),
            txn_ops: next.txn_ops.map_or(self.txn_ops, |next| next.min(self.txn_ops)),
            next: None,
        }
    }
}

/// Limits of the cloud.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Calls a second.
    pub rps: f64,
    /// How far the list of rented machines may lag behind, in seconds.
    pub list_lag_s: f64,
}

/// Limits of this process.
#[derive(Debug, Clone, Deserialize)]
pub struct ProcessLimits {
    /// Share of one core; none: not said.
    #[serde(default)]
    pub cpu_share: Option<f64>,
    /// Memory in MiB.
    pub ram_mb: f64,
    /// File descriptors, sockets included.
    pub fd_limit: usize,
}

impl Settings {
    /// Reads and checks the platform's file.
    ///
    /// # Errors
    ///
    /// If the file can't be read, is not JSON, lacks a field, or a value is of a wrong type or out of range.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let text = read(path)?;
        let settings: Settings =
            serde_json::from_str(&text).map_err(|error| SettingsError::json(path, &text, error))?;
        settings.validate().map_err(|invalid| invalid.in_file(path))?;
        Ok(settings)
    }

    /// All controllers' names, sorted, this one included.
    pub fn node_names(&self) -> Vec<String> {
        let mut names: Vec<String> = self.peers.iter().map(|peer| peer.node.clone()).collect();
        names.push(self.node.clone());
        names.sort();
        names.dedup();
        names
    }
}
