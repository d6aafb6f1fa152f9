//! The operators' own settings: a TOML file whose keys are all optional and whose unknown keys are refused.

use super::error::{read, SettingsError};
use serde::Deserialize;
use std::path::Path;

/// The operators' own settings. The key in the file is the field's name, or that of its serde rename.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tuning {
    /// Pause between two scheduling cycles, in milliseconds.
    #[serde(rename = "round_ms")]
    pub cycle_interval_ms: u64,
    /// The least number of tasks in a slice of a job array.
    pub slice_tasks: u32,
    /// Idle time in seconds after which a spot machine is given back; others after a quarter of it.
    #[serde(rename = "idle_s")]
    pub min_idle_s: f64,
    /// Waiting time in seconds after which the first task of a job is placed before other work.
    #[serde(rename = "begin_s")]
    pub starvation_limit_s: f64,
    /// The most placements that one scheduling cycle decides on.
    #[serde(rename = "round_limit")]
    pub max_placements_per_cycle: usize,
    /// The most threads that the process may have in all.
    pub threads: usize,
    /// Whether the probability that a machine outlasts a task (P_c) is part of the score; off for comparisons.
    pub use_lifetimes: bool,
    /// Whether a task may be planned on a busy machine and wait for it; off for comparisons.
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
    /// Reads and checks the operators' file.
    ///
    /// # Errors
    ///
    /// If the file can't be read, is not TOML, has an unknown key, or a value of a wrong type or out of range.
    pub fn load(path: &Path) -> Result<Tuning, SettingsError> {
        let text = read(path)?;
        let tuning: Tuning = toml::from_str(&text).map_err(|error| SettingsError::toml(path, &text, error))?;
        tuning.validate().map_err(|invalid| invalid.in_file(path))?;
        Ok(tuning)
    }
}
