//! Why a settings file cannot be used: one line that names the file, the field and the problem.

use super::json_path::path_at;
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
    /// The platform's file holds nothing but white space.
    #[error("{}: the file is empty, it must hold a JSON object", path.display())]
    Empty {
        /// The file.
        path: PathBuf,
    },
    /// The platform's file is not JSON, lacks a field, or has one of a wrong type.
    #[error("{}: {field}: {source}", path.display())]
    Json {
        /// The file.
        path: PathBuf,
        /// The field, or the object that lacks one, such as `cluster.workers`.
        field: String,
        /// What is wrong, with line and column.
        source: serde_json::Error,
    },
    /// The operators' file is not TOML, has an unknown key, or one of a wrong type.
    #[error("{}: line {line}, `{line_text}`: {}", path.display(), source.message())]
    Toml {
        /// The file.
        path: PathBuf,
        /// The number of the line, from 1.
        line: usize,
        /// The line itself.
        line_text: String,
        /// What is wrong with it.
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

impl SettingsError {
    /// An error in the text of a JSON file.
    pub(super) fn json(path: &Path, text: &str, source: serde_json::Error) -> SettingsError {
        if text.trim().is_empty() {
            return SettingsError::Empty { path: path.into() };
        }
        let field = path_at(text, source.line(), source.column()).unwrap_or_else(|| "top level".into());
        SettingsError::Json { path: path.into(), field, source }
    }

    /// An error in the text of a TOML file.
    pub(super) fn toml(path: &Path, text: &str, source: toml::de::Error) -> SettingsError {
        let start = source.span().map_or(0, |span| span.start);
        let line = text.bytes().take(start).filter(|byte| *byte == b'\n').count();
        let line_text = text.lines().nth(line).unwrap_or_default().trim().into();
        SettingsError::Toml { path: path.into(), line: line + 1, line_text, source: Box::new(source) }
    }
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
