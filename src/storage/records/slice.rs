//! The record of a slice: where each of its tasks stands, and the two forms it
//! is stored in.
//!
//! The plain form lists started tasks one by one; the compact form
//! ([`super::compact`]) is for slices whose plain form would not fit into one
//! value. Every version that is in use reads the plain form.

use super::compact::{self, StartedTask};
use super::error::RecordError;
use crate::protocol::users::MAX_TASKS;
use crate::units::{Attempt, MachineId};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Where one task stands.
#[derive(Debug, Clone, PartialEq)]
pub enum TaskRecord {
    /// On no machine for certain, after so many attempts.
    Pending(Attempt),
    /// Possibly on this machine until proof of the contrary.
    Placed(Attempt, MachineId),
    /// Completed.
    Done,
}

/// The tasks of a slice, in the order of their indexes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "PackedSlice", into = "PackedSlice")]
pub struct SliceRecord {
    /// Where each task stands.
    pub tasks: Vec<TaskRecord>,
}

impl SliceRecord {
    /// A slice of `len` tasks that were never tried.
    pub fn all_pending(len: usize) -> Self {
        SliceRecord { tasks: vec![TaskRecord::Pending(Attempt(0)); len] }
    }

    /// True if every task is done.
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| *task == TaskRecord::Done)
    }

    /// True if any task may be on a machine.
    pub fn has_placed_task(&self) -> bool {
        self.tasks.iter().any(|task| matches!(task, TaskRecord::Placed(..)))
    }

    /// How many tasks are done.
    pub fn count_done(&self) -> usize {
        self.tasks.iter().filter(|task| **task == TaskRecord::Done).count()
    }

    /// The compact form: for slices whose plain form does not fit into one value,
    /// once all controllers can read it. None if a machine's name has characters
    /// that the form uses itself.
    pub fn compact(&self) -> Option<Value> {
        let plain = PackedSlice::from(self.clone());
        let compact = compact::encode(&plain.started)?;
        let packed = PackedSlice { started: vec![], compact: Some(compact), ..plain };
        serde_json::to_value(packed).ok()
    }
}

/// The stored form. Tasks that it does not name were never tried.
#[derive(Serialize, Deserialize)]
struct PackedSlice {
    /// Tasks in the slice.
    #[serde(rename = "n")]
    task_count: usize,
    /// Ranges of tasks that are done, first and last.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    done: Vec<(usize, usize)>,
    /// Tasks that were tried and are not done, in the plain form.
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    started: Vec<StartedTask>,
    /// The same in the compact form.
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    compact: Option<String>,
}

impl From<SliceRecord> for PackedSlice {
    fn from(slice: SliceRecord) -> Self {
        let mut packed = PackedSlice { task_count: slice.tasks.len(), done: vec![], started: vec![], compact: None };
        for (index, task) in slice.tasks.into_iter().enumerate() {
            match task {
                TaskRecord::Pending(Attempt(0)) => {}
                TaskRecord::Pending(attempt) => packed.started.push(StartedTask { index, attempt, machine: None }),
                TaskRecord::Placed(attempt, machine) => {
                    packed.started.push(StartedTask { index, attempt, machine: Some(machine) });
                }
                TaskRecord::Done => match packed.done.last_mut() {
                    Some((_, last)) if *last + 1 == index => *last = index,
                    _ => packed.done.push((index, index)),
                },
            }
        }
        packed
    }
}

impl TryFrom<PackedSlice> for SliceRecord {
    type Error = RecordError;

    fn try_from(packed: PackedSlice) -> Result<Self, RecordError> {
        let tasks = packed.task_count;
        if tasks > MAX_TASKS as usize {
            return Err(RecordError::TooManyTasks(tasks));
        }
        let mut slice = SliceRecord::all_pending(tasks);
        for (first, last) in packed.done {
            let range = slice.tasks.get_mut(first..=last);
            range.ok_or(RecordError::RangeOutOfBounds { first, last, tasks })?.fill(TaskRecord::Done);
        }
        let compact = match packed.compact {
            Some(text) => compact::decode(&text).ok_or(RecordError::CompactForm)?,
            None => vec![],
        };
        for StartedTask { index, attempt, machine } in packed.started.into_iter().chain(compact) {
            let task = slice.tasks.get_mut(index).ok_or(RecordError::TaskOutOfBounds { index, tasks })?;
            *task = match machine {
                Some(machine) => TaskRecord::Placed(attempt, machine),
                None => TaskRecord::Pending(attempt),
            };
        }
        Ok(slice)
    }
}

#[cfg(test)]
mod tests;
