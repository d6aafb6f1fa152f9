//! Why a stored record could not be read.

use crate::protocol::users::MAX_TASKS;

/// What is wrong with a stored value; its reader knows the key.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The value is not of the form that its key stands for.
    #[error("malformed value: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A slice names more tasks than a job may have.
    #[error("a slice of {0} tasks, of {MAX_TASKS} at most")]
    TooManyTasks(usize),
    /// A range of tasks that are done is not within the slice.
    #[error("the range {first}..={last} is not within a slice of {tasks} tasks")]
    RangeOutOfBounds {
        /// The range's first task.
        first: usize,
        /// The range's last task.
        last: usize,
        /// Tasks in the slice.
        tasks: usize,
    },
    /// A started task is not within the slice.
    #[error("task {index} is not within a slice of {tasks} tasks")]
    TaskOutOfBounds {
        /// The task's place in the slice.
        index: usize,
        /// Tasks in the slice.
        tasks: usize,
    },
    /// The compact form of the started tasks is malformed.
    #[error("malformed compact form of a slice")]
    CompactForm,
}
