//! Why a settings file cannot be used, as one line that names the file and the field.

use std::io;
use std::path::{Path, PathBuf};

/// Why a settings file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file is missing or may not be read.
    #[error("cannot read {}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// The platform's file is not JSON, lacks a field, or has one of a wrong type.
    #[error("{}: {source}", path.display())]
    Json {
        /// The file.
        path: PathBuf,
        /// Which field, and at which line and column.
        source: serde_json::Error,
    },
    /// The operators' file is not TOML, has an unknown key, or one of a wrong type.
    #[error("{}: {}", path.display(), one_line(source))]
    Toml {
        /// The file.
        path: PathBuf,
        /// Which key, with the line it is in.
        source: Box<toml::de::Error>,
    },
    /// A value is out of range.
    #[error("{}: {field} {problem}", path.display())]
    Value {
        /// The file.
        path: PathBuf,
        /// The field's full name in that file, such as `cluster.workers.lease_s`.
        field: &'static str,
        /// What is wrong, as the rest of a sentence that begins with the field.
        problem: &'static str,
    },
}

/// A field that is out of range, before the file is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct InvalidValue {
    /// The field's full name in its file.
    pub field: &'static str,
    /// What is wrong, as the rest of a sentence that begins with the field.
    pub problem: &'static str,
}

impl InvalidValue {
    /// The error for the file that holds the value.
    pub fn in_file(self, path: &Path) -> SettingsError {
        SettingsError::Value { path: path.into(), field: self.field, problem: self.problem }
    }
}

/// Reads a whole settings file.
pub(super) fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|source| SettingsError::Read { path: path.into(), source })
}

/// The TOML library quotes the line in several lines; an error is reported as one.
fn one_line(error: &toml::de::Error) -> String {
    error.to_string().split_whitespace().collect::<Vec<_>>().join(" ")
}
