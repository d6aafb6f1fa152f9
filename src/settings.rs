//! The settings files of a controller: the platform's JSON file ([`Settings`]) and the operators' TOML file
//! ([`Tuning`]). They are loaded and validated once at startup and do not change while the process runs.

mod error;
mod json_path;
mod operators;
mod platform;
mod validation;

pub use error::SettingsError;
pub use operators::Tuning;
pub use platform::{
    CloudLimits, Cluster, NextLimits, Objective, PeerNode, ProcessLimits, Services, Settings, StateLimits, Team,
    Workers,
};

#[cfg(test)]
pub(crate) mod tests;
