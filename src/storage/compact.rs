//! Tasks of a slice in as little room as may be: one text, the start that all
//! machines' names share, then a word a task.
//!
//! A word is `index:attempt*rest`. The index is left out where it is one more
//! than the last task's, the attempt where it is 1; a task on no machine has
//! `-` for the rest of the name. So an array spread over a fleet takes some
//! five bytes a running task, where the plain form takes twenty.

use super::records::StartedTask;
use crate::units::{Attempt, MachineId};

/// Characters that shard words, or what a word is made of.
const MARKS: [char; 3] = [' ', ':', '*'];

/// What stands for no machine.
const NOWHERE: &str = "-";

/// How many of the first characters all of these share.
fn shared(names: &[&str]) -> usize {
    let Some(first) = names.first() else { return 0 };
    let with = |other: &str| first.bytes().zip(other.bytes()).take_while(|(a, b)| a == b).count();
    let len = names.iter().map(|name| with(name)).min().unwrap_or(0);
    (0..=len).rev().find(|at| first.is_char_boundary(*at)).unwrap_or(0)
}

/// Writes tasks in the order of their indexes; none if a machine's name could
/// be taken for something else.
pub(super) fn write(tasks: &[StartedTask]) -> Option<String> {
    let names: Vec<&str> = tasks.iter().filter_map(|t| t.2.as_ref()).map(MachineId::as_str).collect();
    let prefix = names.first().map_or("", |name| &name[..shared(&names)]);
    if names.iter().any(|name| name.contains(MARKS) || &name[prefix.len()..] == NOWHERE) {
        return None;
    }
    let mut text = prefix.to_string();
    let mut next = 0;
    for (index, attempt, machine) in tasks {
        text.push(' ');
        if *index != next {
            text += &format!("{index}:");
        }
        next = index + 1;
        if attempt.0 != 1 {
            text += &format!("{attempt}*");
        }
        match machine {
            None => text += NOWHERE,
            Some(name) => text += &name.as_str()[prefix.len()..],
        }
    }
    Some(text)
}

/// Reads what `write` wrote; none if it makes no sense.
pub(super) fn read(text: &str) -> Option<Vec<StartedTask>> {
    let mut words = text.split(' ');
    let prefix = words.next()?;
    let mut tasks = vec![];
    let mut next = 0usize;
    for word in words {
        let (index, rest) = match word.split_once(':') {
            Some((index, rest)) => (index.parse().ok()?, rest),
            None => (next, word),
        };
        next = index.checked_add(1)?;
        let (attempt, rest) = match rest.split_once('*') {
            Some((attempt, rest)) => (attempt.parse().ok()?, rest),
            None => (1, rest),
        };
        let machine = (rest != NOWHERE).then(|| MachineId::new(&format!("{prefix}{rest}")));
        tasks.push((index, Attempt(attempt), machine));
    }
    Some(tasks)
}
