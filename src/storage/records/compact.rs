//! The compact form of a slice's started tasks: one string that holds the common
//! prefix of all machine names, and then one word per task, separated by spaces.
//!
//! A word is `index:attempt*rest`, where `rest` is the machine's name without the
//! prefix, or `-` if the task is on no machine. The index is omitted if it is one more
//! than that of the word before, and the attempt if it is 1. A running task of an array
//! that is spread over a fleet takes about 5 bytes, and 20 in the plain form.

use crate::units::{Attempt, MachineId};
use serde::{Deserialize, Serialize, Serializer};

/// Characters that separate words or the fields of a word.
const SEPARATORS: [char; 3] = [' ', ':', '*'];

/// Written in place of a name if the task is on no machine.
const NO_MACHINE: &str = "-";

/// The attempt that a word without an attempt has.
const DEFAULT_ATTEMPT: Attempt = Attempt(1);

/// A task with at least one attempt that is not done. Its plain form is
/// `[index, attempt, machine or null]`.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(from = "(usize, Attempt, Option<MachineId>)")]
pub(super) struct StartedTask {
    /// Index of the task in the slice.
    pub(super) index: usize,
    /// Number of attempts so far.
    pub(super) attempt: Attempt,
    /// The machine that the task may be running on; none if it is certainly on no machine.
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

/// Encodes tasks, which are in the order of their indexes. None if a machine's name
/// has a separator, or its part after the prefix is [`NO_MACHINE`].
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

/// Decodes the result of [`encode`]; none if the text is malformed.
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

/// Returns the length in bytes of the names' longest common prefix that ends at a
/// character boundary.
fn shared_prefix_len(names: &[&str]) -> usize {
    let Some(first) = names.first() else { return 0 };
    let shared_with = |other: &str| first.bytes().zip(other.bytes()).take_while(|(a, b)| a == b).count();
    let len = names.iter().map(|name| shared_with(name)).min().unwrap_or(0);
    (0..=len).rev().find(|at| first.is_char_boundary(*at)).unwrap_or(0)
}
