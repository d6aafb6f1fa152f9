//! The operators' settings: a TOML file in which all keys are optional and unknown keys are errors.

use super::error::{read_file, SettingsError};
use serde::Deserialize;
use std::path::Path;

/// The operators' settings. The key in the file is the name of the field or its serde rename.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tuning {
    /// Pause between two scheduling cycles, in milliseconds.
    #[serde(rename = "round_ms")]
    pub cycle_interval_ms: u64,
    /// Minimum number of tasks in a slice of a job array.
    pub slice_tasks: u32,
    /// Idle time in seconds after which a spot machine is returned; on-demand machines are returned after a quarter of
    /// it.
    #[serde(rename = "idle_s")]
    pub min_idle_s: f64,
    /// Pending time in seconds after which the first task of a job takes precedence over other tasks.
    #[serde(rename = "begin_s")]
    pub starvation_limit_s: f64,
    /// Maximum number of placements in one scheduling cycle.
    #[serde(rename = "round_limit")]
    pub max_placements_per_cycle: usize,
    /// Maximum number of threads of the process.
    pub threads: usize,
    /// Whether the score includes the probability that a machine outlasts a task (P_c). Disable only for comparisons.
    pub use_lifetimes: bool,
    /// Whether a task may be assigned to a busy machine and wait until it is free. Disable only for comparisons.
    #[serde(rename = "may_wait")]
    pub wait_for_busy_machines: bool,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            cycle_interval_ms: 150,
            slice_tasks: 16,
            min_idle_s: 20.0,
            starvation_limit_s: 150.0,
            max_placements_per_cycle: 96,
            threads: 1800,
            use_lifetimes: true,
            wait_for_busy_machines: true,
        }
    }
}

impl Tuning {
    /// Loads and validates the operators' file.
    ///
    /// # Errors
    ///
    /// If the file cannot be read, is not TOML, has an unknown key, or has a value of the wrong type or out of range.
    pub fn load(path: &Path) -> Result<Tuning, SettingsError> {
        let text = read_file(path)?;
        let tuning: Tuning = toml::from_str(&text).map_err(|error| SettingsError::toml(path, &text, error))?;
        tuning.validate().map_err(|invalid| invalid.in_file(path))?;
        Ok(tuning)
    }
}
