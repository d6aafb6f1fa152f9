//! Interned names: stores each name that many records repeat (classes, teams,
//! images) once.
//!
//! A scheduling cycle compares hundreds of thousands of names. Equal texts get the
//! same allocation when a record is read, so that names compare by address alone.

use foldhash::fast::FixedState;
use std::collections::HashSet;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// Unused names are only dropped once the interner holds twice this many.
const MIN_NAMES: usize = 256;

/// A name from a [`NameInterner`]. Names of different interners must not be compared.
#[derive(Debug, Clone)]
pub struct InternedName(Arc<str>);

impl InternedName {
    fn address(&self) -> usize {
        self.0.as_ptr() as usize
    }
}

impl PartialEq for InternedName {
    fn eq(&self, other: &Self) -> bool {
        self.address() == other.address()
    }
}

impl Eq for InternedName {}

impl Hash for InternedName {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.address().hash(state);
    }
}

/// The set of interned names.
#[derive(Debug, Default)]
pub struct NameInterner {
    known: HashSet<Arc<str>, FixedState>,
    /// Number of names that were left when the unused ones were last dropped.
    kept_at_last_sweep: usize,
}

impl NameInterner {
    /// Returns the interned name for a text. Drops unused names whenever the number
    /// of names has doubled: users choose the names, so memory must be bounded by
    /// those in use and not by all that were ever seen.
    pub fn intern(&mut self, text: &str) -> InternedName {
        if let Some(known) = self.known.get(text) {
            return InternedName(known.clone());
        }
        if self.known.len() >= 2 * self.kept_at_last_sweep.max(MIN_NAMES) {
            self.known.retain(|name| Arc::strong_count(name) > 1);
            self.kept_at_last_sweep = self.known.len();
        }
        let name: Arc<str> = Arc::from(text);
        self.known.insert(name.clone());
        InternedName(name)
    }
}

#[cfg(test)]
mod tests;
