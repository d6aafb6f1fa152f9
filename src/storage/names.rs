//! Names that many records repeat (classes, teams, images), each kept once.
//!
//! Rounds compare names by the hundred thousand. Texts that are equal get the
//! same label when a record is read, so that labels compare by address alone,
//! at the cost of a small number.

use foldhash::fast::FixedState;
use std::collections::HashSet;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// A name of a [`NameInterner`]; labels of different ones must not be compared.
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

/// Names below which nothing is tidied away.
const FEW: usize = 256;

/// All names in use.
#[derive(Debug, Default)]
pub struct NameInterner {
    known: HashSet<Arc<str>, FixedState>,
    /// Names left when those out of use were last dropped.
    kept: usize,
}

impl NameInterner {
    /// The label of a text. Memory follows the names in use, not all there ever
    /// were: users choose them.
    pub fn intern(&mut self, text: &str) -> InternedName {
        if let Some(known) = self.known.get(text) {
            return InternedName(known.clone());
        }
        if self.known.len() >= 2 * self.kept.max(FEW) {
            self.known.retain(|name| Arc::strong_count(name) > 1);
            self.kept = self.known.len();
        }
        let name: Arc<str> = Arc::from(text);
        self.known.insert(name.clone());
        InternedName(name)
    }
}

#[cfg(test)]
mod tests;
