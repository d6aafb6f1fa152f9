//! Errors of reading a stored record.

use crate::protocol::users::MAX_TASKS;

/// A stored value is invalid. The error does not name the key; the caller knows it.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The value does not have the form of the record that its key belongs to.
    #[error("malformed value: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A slice has more tasks than a job may have.
    #[error("a slice has {0} tasks, but a job may have at most {MAX_TASKS}")]
    TooManyTasks(usize),
    /// A range of tasks that are done is not within the slice.
    #[error("the range {first}..={last} is not within a slice of {tasks} tasks")]
    RangeOutOfBounds {
        /// Index of the range's first task.
        first: usize,
        /// Index of the range's last task, which belongs to the range.
        last: usize,
        /// Number of tasks in the slice.
        tasks: usize,
    },
    /// The index of a started task exceeds the slice.
    #[error("task {index} is not within a slice of {tasks} tasks")]
    TaskOutOfBounds {
        /// Index of the task in the slice.
        index: usize,
        /// Number of tasks in the slice.
        tasks: usize,
    },
    /// The compact form of the started tasks is malformed.
    #[error("malformed compact form of a slice")]
    CompactForm,
}
