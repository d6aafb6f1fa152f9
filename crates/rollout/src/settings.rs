//! The settings file that enables roll-outs on a controller.

use crate::driver::Config;
use crate::units::Millis;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// Threads for calls that are neither watches nor lease calls.
pub const CALL_THREADS: usize = 4;

/// Threads besides those for checks and connections: one each for the event loop,
/// the listener, watches and lease calls, and [`CALL_THREADS`] for other calls.
pub const FIXED_THREADS: usize = 4 + CALL_THREADS;

/// An error in reading the settings file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read: file and cause.
    #[error("cannot read {0}: {1}")]
    Read(String, std::io::Error),
    /// The file is not valid TOML, or has unknown or missing keys: file and the parser's error.
    #[error("{0}: {1}")]
    Parse(String, String),
    /// A value violates a rule: file, field and rule.
    #[error("{0}: {1} {2}")]
    Value(String, &'static str, &'static str),
}

/// Settings of roll-outs on one controller, from a TOML file.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address of the operators' listener.
    pub listen: SocketAddr,
    /// TTL of the driver's lease, in seconds.
    #[serde(default = "lease")]
    pub lease_s: f64,
    /// Threads for checks, and so the maximum number of concurrent checks.
    #[serde(default = "checks")]
    pub checks: usize,
    /// Maximum number of concurrent connections of operators.
    #[serde(default = "connections")]
    pub connections: usize,
    /// First digits of the ids of services' jobs. Users must not submit jobs whose ids begin with them.
    #[serde(default = "digits")]
    pub first_digits: String,
}

fn lease() -> f64 {
    10.0
}
fn checks() -> usize {
    8
}
fn connections() -> usize {
    16
}
fn digits() -> String {
    "9".into()
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// If the file can't be read, is not valid TOML, has unknown or missing keys, or a value violates a rule.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| SettingsError::Read(name.clone(), e))?;
        let to_one_line = |text: &str| text.split_whitespace().collect::<Vec<_>>().join(" ");
        let settings: Settings =
            toml::from_str(&text).map_err(|e| SettingsError::Parse(name.clone(), to_one_line(&e.to_string())))?;
        let invalid = |field, rule| Err(SettingsError::Value(name.clone(), field, rule));
        if !(1.0..=600.0).contains(&settings.lease_s) {
            return invalid("lease_s", "must lie between 1 and 600");
        }
        if !(1..=256).contains(&settings.checks) {
            return invalid("checks", "must lie between 1 and 256");
        }
        if !(1..=256).contains(&settings.connections) {
            return invalid("connections", "must lie between 1 and 256");
        }
        let digits = &settings.first_digits;
        if !(1..=8).contains(&digits.len()) || !digits.bytes().all(|b| b.is_ascii_digit()) {
            return invalid("first_digits", "must be 1 to 8 digits");
        }
        Ok(settings)
    }

    /// Returns the maximum number of threads that roll-outs use.
    pub fn threads(&self) -> usize {
        self.checks + self.connections + FIXED_THREADS
    }

    /// Returns the driver's configuration on this node.
    pub fn config(&self, node: &str) -> Config {
        Config {
            node: node.into(),
            listen: self.listen.to_string(),
            ttl: Millis::from_secs(self.lease_s),
            checks: self.checks,
            first_digits: self.first_digits.clone(),
        }
    }
}
