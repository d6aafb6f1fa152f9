//! Settings: the platform's JSON file, whose unknown fields are ignored, and
//! the operators' own TOML, whose unknown keys are refused.

use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("cannot read {0}: {1}")]
    Read(String, std::io::Error),
    #[error("{0}: {1}")]
    Parse(String, String),
    #[error("{0}: {1} {2}")]
    Value(String, &'static str, &'static str),
}

#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    #[serde(rename = "label")]
    pub node: String,
    #[serde(rename = "domain", default)]
    pub zone: String,
    pub client_listen: SocketAddr,
    #[serde(rename = "internal_addr")]
    pub peer_listen: SocketAddr,
    #[serde(rename = "known", default)]
    pub peers: Vec<PeerNode>,
    #[serde(rename = "external")]
    pub services: Services,
    pub cluster: Cluster,
}

#[derive(Debug, Clone, Deserialize)]
pub struct PeerNode {
    #[serde(rename = "label")]
    pub node: String,
    #[serde(rename = "domain", default)]
    pub zone: String,
    #[serde(rename = "address")]
    pub addr: SocketAddr,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Services {
    pub cloud: SocketAddr,
    pub state: SocketAddr,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Cluster {
    #[serde(default)]
    pub zones: Vec<String>,
    #[serde(default)]
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: StateLimits,
    pub cloud: CloudLimits,
    #[serde(rename = "quota")]
    pub process_limits: ProcessLimits,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

/// An aim on starting or finishing.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: Option<f64>,
    #[serde(default)]
    pub share: Option<f64>,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

/// Two clocks of a deployment run apart by this much at the most.
const DRIFT: f64 = 1.0 + 2.0 * 0.0005;

/// The least time that an owner must be able to go on without the state service: a
/// watch that brings nothing takes a second, and its answer some of the next.
const MIN_STORE_ISOLATION_S: f64 = 2.0;

impl Workers {
    /// A worker's lease in seconds, with room for drifting clocks.
    pub fn longest_lease_s(&self) -> f64 {
        self.lease_s * DRIFT + 0.2
    }

    /// How long an owner may go on answering workers after its last read of the
    /// records, in seconds: their leases then run out before a cancellation that it
    /// cannot have heard of is due. 0 if there is no such time.
    pub fn store_isolation_limit_s(&self) -> f64 {
        let margin = (self.report_s + 0.5).min(self.cancel_s / 8.0);
        ((self.cancel_s - margin) / DRIFT - self.longest_lease_s()).max(0.0)
    }
}

#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    /// What the limits will be from some moment on; none: they stay.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// Limits to come; what is missing stays as it is.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextLimits {
    #[serde(default)]
    pub rps: Option<f64>,
    #[serde(default)]
    pub write_rps: Option<f64>,
    #[serde(default)]
    pub value_kb: Option<f64>,
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// The limits that hold before and after they change: the moment comes
    /// without notice, and what was begun before it must still pass after.
    pub fn least(&self) -> StateLimits {
        let next = self.next.clone().unwrap_or_default();
        let least = |now: f64, then: Option<f64>| then.map_or(now, |then| then.min(now));
        StateLimits {
            rps: least(self.rps, next.rps),
            write_rps: least(self.write_rps, next.write_rps),
            value_kb: least(self.value_kb, next.value_kb),
            txn_ops: next.txn_ops.map_or(self.txn_ops, |then| then.min(self.txn_ops)),
            next: None,
        }
    }
}

#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct ProcessLimits {
    /// Share of one core; none: not said.
    #[serde(default)]
    pub cpu_share: Option<f64>,
    pub ram_mb: f64,
    pub fd_limit: usize,
}

impl Settings {
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| SettingsError::Read(name.clone(), e))?;
        let settings: Settings =
            serde_json::from_str(&text).map_err(|e| SettingsError::Parse(name.clone(), e.to_string()))?;
        settings.check(&name)?;
        Ok(settings)
    }

    fn check(&self, file: &str) -> Result<(), SettingsError> {
        let c = &self.cluster;
        let state = c.state.least();
        let positive = [
            ("cluster.workers.report_s", c.workers.report_s),
            ("cluster.workers.lease_s", c.workers.lease_s),
            ("cluster.workers.cancel_s", c.workers.cancel_s),
            ("cluster.state.rps", state.rps),
            ("cluster.state.write_rps", state.write_rps),
            ("cluster.state.value_kb", state.value_kb),
            ("cluster.cloud.rps", c.cloud.rps),
            ("cluster.process_limits.ram_mb", c.process_limits.ram_mb),
        ];
        for (field, value) in positive {
            if !(value.is_finite() && value > 0.0) {
                return Err(SettingsError::Value(file.into(), field, "must be above 0"));
            }
        }
        if self.node.is_empty() {
            return Err(SettingsError::Value(file.into(), "label", "is empty"));
        }
        if state.txn_ops < 4 {
            return Err(SettingsError::Value(file.into(), "cluster.state.txn_ops", "must be at least 4"));
        }
        if c.process_limits.fd_limit < 32 {
            return Err(SettingsError::Value(file.into(), "cluster.process_limits.fd_limit", "must be at least 32"));
        }
        if c.workers.store_isolation_limit_s() < MIN_STORE_ISOLATION_S {
            let why = "must exceed lease_s, report_s and three seconds together, or no worker could be answered";
            return Err(SettingsError::Value(file.into(), "cluster.workers.cancel_s", why));
        }
        Ok(())
    }

    /// All controllers' names, sorted, this one included.
    pub fn node_names(&self) -> Vec<String> {
        let mut names: Vec<String> = self.peers.iter().map(|p| p.node.clone()).collect();
        names.push(self.node.clone());
        names.sort();
        names.dedup();
        names
    }
}

/// The operators' own settings.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tuning {
    /// Pause between placement rounds.
    pub round_ms: u64,
    /// Tasks per slice of a large array.
    pub slice_tasks: u32,
    /// Idle time after which a machine is given back.
    pub idle_s: f64,
    /// Waiting time after which the first task of a job goes before other work.
    pub begin_s: f64,
    /// Placements decided on in one round at the most.
    pub round_limit: usize,
    /// Threads that the process may have in all.
    pub threads: usize,
    /// Whether P_c takes part in the score; off for comparisons.
    pub use_lifetimes: bool,
    /// Whether a task may wait for a busy machine; off for comparisons.
    pub may_wait: bool,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            round_ms: 150,
            slice_tasks: 16,
            idle_s: 20.0,
            begin_s: 150.0,
            round_limit: 96,
            threads: 1800,
            use_lifetimes: true,
            may_wait: true,
        }
    }
}

impl Tuning {
    pub fn load(path: &Path) -> Result<Tuning, SettingsError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| SettingsError::Read(name.clone(), e))?;
        let tuning: Tuning =
            toml::from_str(&text).map_err(|e| SettingsError::Parse(name.clone(), one_line(&e.to_string())))?;
        let wrong = |field, why| Err(SettingsError::Value(name.clone(), field, why));
        if !(10..=10_000).contains(&tuning.round_ms) {
            return wrong("round_ms", "must lie between 10 and 10000");
        }
        if !(1..=100).contains(&tuning.slice_tasks) {
            return wrong("slice_tasks", "must lie between 1 and 100");
        }
        if !(tuning.idle_s.is_finite() && tuning.idle_s >= 0.0) {
            return wrong("idle_s", "must be 0 or more");
        }
        if !(tuning.begin_s.is_finite() && tuning.begin_s > 0.0) {
            return wrong("begin_s", "must be above 0");
        }
        if !(32..=100_000).contains(&tuning.threads) {
            return wrong("threads", "must lie between 32 and 100000");
        }
        if tuning.round_limit == 0 {
            return wrong("round_limit", "must be above 0");
        }
        Ok(tuning)
    }
}

fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

#[cfg(test)]
pub(crate) mod tests;
