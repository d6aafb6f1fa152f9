//! The compact form of a slice's started tasks: one text, of the prefix that
//! all machines' names share and one word a task.
//!
//! A word is `index:attempt*rest`. The index is left out where it is one more
//! than the last task's, the attempt where it is 1; a task on no machine has
//! `-` for the rest of the name. An array spread over a fleet so takes some
//! five bytes a running task, where the plain form takes twenty.

use crate::units::{Attempt, MachineId};
use serde::{Deserialize, Serialize, Serializer};

/// Characters that separate words or the fields of a word.
const SEPARATORS: [char; 3] = [' ', ':', '*'];

/// What stands for no machine.
const NO_MACHINE: &str = "-";

/// The attempt that is not written.
const DEFAULT_ATTEMPT: Attempt = Attempt(1);

/// A task that was ever tried and is not done. In the plain form it is written
/// as `[index, attempt, machine or null]`.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(from = "(usize, Attempt, Option<MachineId>)")]
pub(super) struct StartedTask {
    /// Place in the slice.
    pub(super) index: usize,
    /// Attempts so far.
    pub(super) attempt: Attempt,
    /// Where it may be running; none if it is on no machine for certain.
    pub(super) machine: Option<MachineId>,
}

impl From<(usize, Attempt, Option<MachineId>)> for StartedTask {
    fn from((index, attempt, machine): (usize, Attempt, Option<MachineId>)) -> Self {
        StartedTask { index, attempt, machine }
    }
}

impl Serialize for StartedTask {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.index, self.attempt, &self.machine).serialize(serializer)
    }
}

/// Writes tasks in the order of their indexes; none if a machine's name could
/// not be told from the words around it.
pub(super) fn encode(tasks: &[StartedTask]) -> Option<String> {
    let names: Vec<&str> = tasks.iter().filter_map(|task| task.machine.as_ref()).map(MachineId::as_str).collect();
    let prefix = names.first().map_or("", |name| &name[..shared_prefix_len(&names)]);
    if names.iter().any(|name| name.contains(SEPARATORS) || &name[prefix.len()..] == NO_MACHINE) {
        return None;
    }
    let mut text = prefix.to_string();
    let mut expected_index = 0;
    for StartedTask { index, attempt, machine } in tasks {
        text.push(' ');
        if *index != expected_index {
            text += &format!("{index}:");
        }
        expected_index = index + 1;
        if *attempt != DEFAULT_ATTEMPT {
            text += &format!("{attempt}*");
        }
        match machine {
            None => text += NO_MACHINE,
            Some(name) => text += &name.as_str()[prefix.len()..],
        }
    }
    Some(text)
}

/// Reads what [`encode`] wrote; none if the text is malformed.
pub(super) fn decode(text: &str) -> Option<Vec<StartedTask>> {
    let mut words = text.split(' ');
    let prefix = words.next()?;
    let mut tasks = vec![];
    let mut expected_index = 0usize;
    for word in words {
        let (index, rest) = match word.split_once(':') {
            Some((index, rest)) => (index.parse().ok()?, rest),
            None => (expected_index, word),
        };
        expected_index = index.checked_add(1)?;
        let (attempt, rest) = match rest.split_once('*') {
            Some((attempt, rest)) => (Attempt(attempt.parse().ok()?), rest),
            None => (DEFAULT_ATTEMPT, rest),
        };
        let machine = (rest != NO_MACHINE).then(|| MachineId::new(&format!("{prefix}{rest}")));
        tasks.push(StartedTask { index, attempt, machine });
    }
    Some(tasks)
}

/// How many of the first bytes all names share, up to a character's boundary.
fn shared_prefix_len(names: &[&str]) -> usize {
    let Some(first) = names.first() else { return 0 };
    let shared_with = |other: &str| first.bytes().zip(other.bytes()).take_while(|(a, b)| a == b).count();
    let len = names.iter().map(|name| shared_with(name)).min().unwrap_or(0);
    (0..=len).rev().find(|at| first.is_char_boundary(*at)).unwrap_or(0)
}
