//! The settings files of a controller: the platform's JSON ([`Settings`]) and the operators' own TOML
//! ([`Tuning`]). Read and checked once, before anything starts; nothing here changes while the program runs.

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
