//! The record of a slice: the state of each of its tasks, and the two forms that
//! it is stored in.
//!
//! The plain form lists started tasks one by one. The compact form
//! ([`super::compact`]) is for slices whose plain form would not fit into one
//! value. All versions in use can read the plain form.

use super::compact::{self, StartedTask};
use super::error::RecordError;
use crate::protocol::users::MAX_TASKS;
use crate::units::{Attempt, MachineId};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The state of one task.
#[derive(Debug, Clone, PartialEq)]
pub enum TaskRecord {
    /// Certainly on no machine. The attempt is the number of attempts so far, 0 if the
    /// task was never placed.
    Pending(Attempt),
    /// The attempt may be running on this machine, until it is proven that it is not.
    Placed(Attempt, MachineId),
    /// Completed.
    Done,
}

/// The states of a slice's tasks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "PackedSlice", into = "PackedSlice")]
pub struct SliceRecord {
    /// The state of each task, in the order of their indexes.
    pub tasks: Vec<TaskRecord>,
}

impl SliceRecord {
    /// Returns a slice of `len` pending tasks without attempts.
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

    /// Returns the number of tasks that are done.
    pub fn count_done(&self) -> usize {
        self.tasks.iter().filter(|task| **task == TaskRecord::Done).count()
    }

    /// Returns the compact stored form. To be used once all controllers can read it,
    /// for slices whose plain form does not fit into one value. None if the name of a
    /// machine cannot be encoded because it has a separator of that form.
    pub fn compact(&self) -> Option<Value> {
        let plain = PackedSlice::from(self.clone());
        let compact = compact::encode(&plain.started)?;
        let packed = PackedSlice { started: vec![], compact: Some(compact), ..plain };
        serde_json::to_value(packed).ok()
    }
}

/// The stored form. Tasks that it does not list are pending without attempts.
#[derive(Serialize, Deserialize)]
struct PackedSlice {
    /// Number of tasks in the slice.
    #[serde(rename = "n")]
    task_count: usize,
    /// Ranges of done tasks, as the indexes of the first and the last task.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    done: Vec<(usize, usize)>,
    /// Tasks with at least one attempt that are not done, in the plain form.
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    started: Vec<StartedTask>,
    /// The same tasks in the compact form; only one of the two forms is written.
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
