//! A cached record with the revisions that show whether a later read is newer.

use crate::units::Revision;

/// A record, or its absence, with its version. The revision at which a record was
/// seen to be absent is kept as well, so that older reads of it are ignored.
#[derive(Debug, Clone)]
pub struct Versioned<T> {
    /// The record's version; 0 if the record is absent, as in the conditions of a
    /// transaction.
    pub version: Revision,
    /// Revision of the newest read; reads that are not newer are ignored.
    pub known_at: Revision,
    /// The record; none if it is absent.
    pub record: Option<T>,
}

impl<T> Default for Versioned<T> {
    fn default() -> Self {
        Versioned { version: Revision(0), known_at: Revision(0), record: None }
    }
}

impl<T> Versioned<T> {
    /// Applies a read of the record, or of its absence, as of revision `at`. Returns
    /// false, and changes nothing, if the cached read is as new.
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
