//! What the tasks of one job ask of a machine during one scheduling cycle.
//!
//! The cycle makes one request a job; candidate machines are ranked against it. Requests
//! hold no state of the cycle but the number of their shape.

use crate::coordination::scheduling::resources::Resources;
use crate::coordination::Core;
use crate::protocol::users::JobKind;
use crate::storage::cache::Job;

/// The most shapes that are numbered; requests of further ones are not cached by machines.
const MAX_SHAPES: usize = 64;

/// The number of a shape within one cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ShapeId(pub usize);

/// The distinct shapes (amounts of resources) that jobs of one cycle request. Most classes
/// request the same for all their jobs, so a machine's wait for one job's task is the wait
/// for the next one's too.
#[derive(Default)]
pub(crate) struct RequestShapes(Vec<Resources>);

impl RequestShapes {
    /// The number of the shape, which is added if it is new; none once there are too many.
    fn number(&mut self, need: &Resources) -> Option<ShapeId> {
        let known = self.0.iter().position(|shape| shape == need);
        if known.is_none() && self.0.len() < MAX_SHAPES {
            self.0.push(*need);
            return Some(ShapeId(self.0.len() - 1));
        }
        known.map(ShapeId)
    }
}

/// What all tasks of a job have in common for one cycle.
pub(crate) struct PlacementRequest<'a> {
    pub job: &'a Job,
    /// What one task takes.
    pub need: Resources,
    /// The cycle's number of `need`, if it has one.
    pub shape: Option<ShapeId>,
    /// Estimated run time of a task in seconds.
    pub run_s: f64,
    /// The job's class must start sooner than a rented machine would be up.
    pub quick_start: bool,
    /// A task may be planned on a busy machine and wait for capacity there.
    pub may_wait: bool,
}

impl PlacementRequest<'_> {
    /// True if the tasks start together or not at all.
    pub fn is_gang(&self) -> bool {
        self.job.record.spec.kind == JobKind::Gang
    }
}

impl Core {
    /// The request of a job's tasks. `may_wait` says whether the cycle lets further tasks
    /// wait for a busy machine; services never do.
    pub(crate) fn placement_request<'a>(
        &self,
        job: &'a Job,
        quick_start: bool,
        may_wait: bool,
        shapes: &mut RequestShapes,
    ) -> PlacementRequest<'a> {
        let need = Resources::of_task(&job.record.spec);
        PlacementRequest {
            job,
            need,
            shape: shapes.number(&need),
            run_s: self.estimates.run_time(job),
            quick_start,
            may_wait: may_wait && self.tuning.wait_for_busy_machines && job.record.spec.kind != JobKind::Service,
        }
    }
}
