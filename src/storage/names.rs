//! Interned names: those that many records repeat (classes, teams, images) are
//! kept once.
//!
//! Scheduling cycles compare names by the hundred thousand. Equal texts get the
//! same allocation when a record is read, so that names compare by address alone.

use foldhash::fast::FixedState;
use std::collections::HashSet;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// Names below which none that are out of use are dropped.
const MIN_NAMES: usize = 256;

/// A name of a [`NameInterner`]; names of different interners must not be compared.
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

/// All names in use.
#[derive(Debug, Default)]
pub struct NameInterner {
    known: HashSet<Arc<str>, FixedState>,
    /// Names left when those out of use were last dropped.
    kept_at_last_sweep: usize,
}

impl NameInterner {
    /// The name for a text. Memory follows the names in use, not all there ever
    /// were: users choose them.
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
