//! Errors in settings files. Each is reported as one line that names the file, the field and the problem.

use super::json_path::path_at;
use std::io;
use std::path::{Path, PathBuf};

/// Error while loading a settings file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file is missing or cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Read {
        /// Path of the settings file.
        path: PathBuf,
        /// Error returned by the operating system.
        source: io::Error,
    },
    /// The platform's file is empty or contains only white space.
    #[error("{}: the file is empty, it must hold a JSON object", path.display())]
    Empty {
        /// Path of the settings file.
        path: PathBuf,
    },
    /// The platform's file is not JSON, lacks a field, or has a field of the wrong type.
    #[error("{}: {field}: {source}", path.display())]
    Json {
        /// Path of the settings file.
        path: PathBuf,
        /// Path of the invalid field, or of the object that lacks a field, such as `cluster.workers`.
        field: String,
        /// Parse error with line and column.
        source: serde_json::Error,
    },
    /// The operators' file is not TOML, has an unknown key, or has a value of the wrong type.
    #[error("{}: line {line}, `{line_text}`: {}", path.display(), source.message())]
    Toml {
        /// Path of the settings file.
        path: PathBuf,
        /// Line number, starting at 1.
        line: usize,
        /// Text of that line, trimmed.
        line_text: String,
        /// Parse error.
        source: Box<toml::de::Error>,
    },
    /// A value is out of range.
    #[error("{}: {field} {problem}", path.display())]
    Value {
        /// Path of the settings file.
        path: PathBuf,
        /// Full path of the field in the file, such as `cluster.workers.lease_s`.
        field: &'static str,
        /// Predicate of the error message, whose subject is the field, such as "must be above 0".
        problem: &'static str,
    },
}

impl SettingsError {
    /// Returns the error for a JSON file that failed to parse.
    pub(super) fn json(path: &Path, text: &str, source: serde_json::Error) -> SettingsError {
        if text.trim().is_empty() {
            return SettingsError::Empty { path: path.into() };
        }
        let field = path_at(text, source.line(), source.column()).unwrap_or_else(|| "top level".into());
        SettingsError::Json { path: path.into(), field, source }
    }

    /// Returns the error for a TOML file that failed to parse.
    pub(super) fn toml(path: &Path, text: &str, source: toml::de::Error) -> SettingsError {
        let start = source.span().map_or(0, |span| span.start);
        let line_index = text.bytes().take(start).filter(|byte| *byte == b'\n').count();
        let line_text = text.lines().nth(line_index).unwrap_or_default().trim().into();
        SettingsError::Toml { path: path.into(), line: line_index + 1, line_text, source: Box::new(source) }
    }
}

/// A field that is out of range, without the path of its file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct InvalidValue {
    /// Full path of the field in its file.
    pub field: &'static str,
    /// Predicate of the error message, whose subject is the field.
    pub problem: &'static str,
}

impl InvalidValue {
    /// Adds the path of the file that contains the field.
    pub fn in_file(self, path: &Path) -> SettingsError {
        SettingsError::Value { path: path.into(), field: self.field, problem: self.problem }
    }
}

/// Reads a settings file into a string.
pub(super) fn read_file(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|source| SettingsError::Read { path: path.into(), source })
}
