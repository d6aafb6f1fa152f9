//! A record with the revisions that decide whether what is read later is newer.

use crate::units::Revision;

/// A record with the version it was read at. An absent record keeps the
/// revision at which it was seen to be absent, so that an older
/// read is recognized.
#[derive(Debug, Clone)]
pub struct Versioned<T> {
    /// The record's version; zero if it is absent, as conditions of a
    /// transaction say it.
    pub version: Revision,
    /// The newest revision this was known at; older reads are dropped.
    pub known_at: Revision,
    /// The record, if there is one.
    pub record: Option<T>,
}

impl<T> Default for Versioned<T> {
    fn default() -> Self {
        Versioned { version: Revision(0), known_at: Revision(0), record: None }
    }
}

impl<T> Versioned<T> {
    /// Takes the record, or its absence, as of revision `at`; false if what is
    /// known is as new.
    pub(super) fn apply_if_newer(&mut self, at: Revision, record: Option<T>) -> bool {
        if at <= self.known_at {
            return false;
        }
        self.known_at = at;
        self.version = if record.is_some() { at } else { Revision(0) };
        self.record = record;
        true
    }
}
