//! The operators' settings that turn roll-outs on.

use crate::driver::Config;
use crate::units::Millis;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;

/// Threads for calls that are neither watches nor renewals.
pub const CALLERS: usize = 4;

/// Threads beside those for checks and connections: the owner's, the
/// listener's, the watch's, the lease's and the callers'.
pub const OWN_THREADS: usize = 4 + CALLERS;

/// Why the settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("cannot read {0}: {1}")]
    Read(String, std::io::Error),
    /// The file is no TOML, or has unknown or missing keys.
    #[error("{0}: {1}")]
    Parse(String, String),
    /// A value is out of range: file, field and rule.
    #[error("{0}: {1} {2}")]
    Value(String, &'static str, &'static str),
}

/// What a controller needs to take part in roll-outs (TOML).
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Where operators are listened to.
    pub listen: SocketAddr,
    /// How long the driver's lease lasts unrenewed, in seconds.
    #[serde(default = "lease")]
    pub lease_s: f64,
    /// Threads for checks, which is how many run at the same time.
    #[serde(default = "checks")]
    pub checks: usize,
    /// Operators' connections at the same time.
    #[serde(default = "connections")]
    pub connections: usize,
    /// First digits of the ids of services' jobs; users leave them free.
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
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// If it can't be read, is no TOML, has unknown keys or values out of range.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| SettingsError::Read(name.clone(), e))?;
        let one_line = |text: &str| text.split_whitespace().collect::<Vec<_>>().join(" ");
        let settings: Settings =
            toml::from_str(&text).map_err(|e| SettingsError::Parse(name.clone(), one_line(&e.to_string())))?;
        let wrong = |field, why| Err(SettingsError::Value(name.clone(), field, why));
        if !(1.0..=600.0).contains(&settings.lease_s) {
            return wrong("lease_s", "must lie between 1 and 600");
        }
        if !(1..=256).contains(&settings.checks) {
            return wrong("checks", "must lie between 1 and 256");
        }
        if !(1..=256).contains(&settings.connections) {
            return wrong("connections", "must lie between 1 and 256");
        }
        let digits = &settings.first_digits;
        if !(1..=8).contains(&digits.len()) || !digits.bytes().all(|b| b.is_ascii_digit()) {
            return wrong("first_digits", "must be 1 to 8 digits");
        }
        Ok(settings)
    }

    /// Threads that roll-outs take in all.
    pub fn threads(&self) -> usize {
        self.checks + self.connections + OWN_THREADS
    }

    /// What the driver of this node goes by.
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
