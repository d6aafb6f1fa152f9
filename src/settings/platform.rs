//! The platform's settings: one JSON file per controller. Unknown fields are ignored, because a later version of the
//! platform may add some. Serde renames map the fields to the platform's names.

use super::error::{read_file, SettingsError};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// Ratio between the longest and the shortest measurement of the same duration by two hosts, whose clocks may each
/// drift by 0.05 %.
const MAX_CLOCK_DRIFT_FACTOR: f64 = 1.0 + 2.0 * 0.0005;

/// Margin added to a worker's lease for the delay between its start and this controller's reading of the clock.
const LEASE_MARGIN_S: f64 = 0.2;

/// Settings of one controller: its own addresses, its peers and the cluster.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Name of this controller, unique in the cluster.
    #[serde(rename = "label")]
    pub node: String,
    /// Availability zone of this controller; empty if unknown.
    #[serde(rename = "domain", default)]
    pub zone: String,
    /// Listen address for users, workers and health checks (HTTP).
    pub client_listen: SocketAddr,
    /// Listen address for other controllers (gRPC).
    #[serde(rename = "internal_addr")]
    pub peer_listen: SocketAddr,
    /// All other controllers.
    #[serde(rename = "known", default)]
    pub peers: Vec<PeerNode>,
    /// External services that the controllers call.
    #[serde(rename = "external")]
    pub services: Services,
    /// Settings that all controllers of the cluster share.
    pub cluster: Cluster,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct PeerNode {
    /// Name of the controller, unique in the cluster.
    #[serde(rename = "label")]
    pub node: String,
    /// Availability zone of the controller; empty if unknown.
    #[serde(rename = "domain", default)]
    pub zone: String,
    /// Address on which it listens for other controllers (gRPC).
    #[serde(rename = "address")]
    pub addr: SocketAddr,
}

/// Addresses of the external services.
#[derive(Debug, Clone, Deserialize)]
pub struct Services {
    /// The cloud API, which rents out machines.
    pub cloud: SocketAddr,
    /// The consensus-backed key-value store.
    pub state: SocketAddr,
}

/// Settings that all controllers of a cluster share.
#[derive(Debug, Clone, Deserialize)]
pub struct Cluster {
    /// Availability zones in which machines may be rented.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Teams that may submit jobs.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service-level objectives of job classes.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Time limits of the workers.
    pub workers: Workers,
    /// Limits of the store.
    pub state: StateLimits,
    /// Limits of the cloud API.
    pub cloud: CloudLimits,
    /// Limits of this process.
    #[serde(rename = "quota")]
    pub process_limits: ProcessLimits,
}

/// A team with its guaranteed and its maximum number of cores and GPUs, each counted over all of its running tasks.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Name of the team, as referenced by jobs.
    pub name: String,
    /// Guaranteed cores.
    #[serde(default)]
    pub cpus: f64,
    /// Maximum number of cores; 0 for no limit.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Maximum number of GPUs; 0 for no limit.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective: a share of the jobs of a class must start or finish within a time limit.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// What is measured: `wait` for the time until tasks start, `finished` for the time until jobs are complete.
    /// Objectives of other kinds are ignored.
    pub kind: String,
    /// Job class that the objective applies to; the objective is ignored without one.
    #[serde(default)]
    pub class: Option<String>,
    /// Time limit in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Share of the jobs that must meet the limit, from 0 to 1.
    #[serde(default)]
    pub share: Option<f64>,
}

/// Time limits of the workers, in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Interval between the heartbeats of a worker.
    pub report_s: f64,
    /// Duration of a worker's lease: the worker stops its tasks if no heartbeat was answered for this long.
    pub lease_s: f64,
    /// Time within which the tasks of a cancelled job must be stopped.
    pub cancel_s: f64,
}

impl Workers {
    /// Returns the maximum duration of a worker's lease in seconds, including the allowance for clock drift.
    pub fn max_lease_s(&self) -> f64 {
        self.lease_s * MAX_CLOCK_DRIFT_FACTOR + LEASE_MARGIN_S
    }

    /// Returns how long a shard owner may continue to answer workers after its last read of the records, in seconds.
    ///
    /// An owner that is cut off from the store misses cancellations. With this limit, the workers' leases expire before
    /// a missed cancellation is due. Returns 0 if the settings leave no such time.
    pub fn store_isolation_limit_s(&self) -> f64 {
        let margin = (self.report_s + 0.5).min(self.cancel_s / 8.0);
        ((self.cancel_s - margin) / MAX_CLOCK_DRIFT_FACTOR - self.max_lease_s()).max(0.0)
    }
}

/// Limits of the store, shared by all controllers.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Maximum number of calls per second.
    pub rps: f64,
    /// Maximum number of transactions per second.
    pub write_rps: f64,
    /// Maximum size of a value in KiB.
    pub value_kb: f64,
    /// Maximum number of operations in a transaction.
    pub txn_ops: usize,
    /// Limits that take effect later, without notice; `None` if the limits do not change.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// Limits of the store that take effect later. Limits that are absent do not change.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextLimits {
    /// Maximum number of calls per second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Maximum number of transactions per second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Maximum size of a value in KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Maximum number of operations in a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// Returns the lower of the current and the next value of each limit. The change takes effect without notice,
    /// and a request that was started before it must still be accepted afterwards.
    pub fn strictest(&self) -> StateLimits {
        let next = self.next.clone().unwrap_or_default();
        let lower = |current: f64, next: Option<f64>| next.map_or(current, |next| next.min(current));
        StateLimits {
            rps: lower(self.rps, next.rps),
            write_rps: lower(self.write_rps, next.write_rps),
            value_kb: lower(self.value_kb, next.value_kb),
            txn_ops: next.txn_ops.map_or(self.txn_ops, |next| next.min(self.txn_ops)),
            next: None,
        }
    }
}

/// Limits of the cloud API.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Maximum number of calls per second.
    pub rps: f64,
    /// Maximum staleness of the list of rented machines, in seconds.
    pub list_lag_s: f64,
}

/// Limits of this process.
#[derive(Debug, Clone, Deserialize)]
pub struct ProcessLimits {
    /// Share of one core that the process may use; `None` if unknown.
    #[serde(default)]
    pub cpu_share: Option<f64>,
    /// Maximum memory in MiB.
    pub ram_mb: f64,
    /// Maximum number of open file descriptors, including sockets.
    pub fd_limit: usize,
}

impl Settings {
    /// Loads and validates the platform's file.
    ///
    /// # Errors
    ///
    /// If the file cannot be read, is not JSON, lacks a field, or has a value of the wrong type or out of range.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let text = read_file(path)?;
        let settings: Settings =
            serde_json::from_str(&text).map_err(|error| SettingsError::json(path, &text, error))?;
        settings.validate().map_err(|invalid| invalid.in_file(path))?;
        Ok(settings)
    }

    /// Returns the names of all controllers including this one, sorted and without duplicates.
    pub fn node_names(&self) -> Vec<String> {
        let mut names: Vec<String> = self.peers.iter().map(|peer| peer.node.clone()).collect();
        names.push(self.node.clone());
        names.sort();
        names.dedup();
        names
    }
}
