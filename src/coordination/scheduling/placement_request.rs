//! Placement request: what the tasks of one job need from a machine in one scheduling cycle.
//!
//! The cycle builds one request per job and ranks candidate machines against it. The only state of
//! the cycle in a request is the number of its shape.

use crate::coordination::scheduling::resources::Resources;
use crate::coordination::Core;
use crate::protocol::users::JobKind;
use crate::storage::cache::Job;

/// Maximum number of numbered shapes. Machines cache no waits for requests with further shapes.
const MAX_SHAPES: usize = 64;

/// Number of a shape within one cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ShapeId(pub usize);

/// Distinct shapes (amounts of resources) that jobs of one cycle request. Most classes request the
/// same shape for all their jobs, so a machine's wait for a task of one job also holds for the next
/// job.
#[derive(Default)]
pub(crate) struct RequestShapes(Vec<Resources>);

impl RequestShapes {
    /// Returns the number of the shape, adding it if it is new; `None` if it is new and
    /// [`MAX_SHAPES`] are numbered already.
    fn number(&mut self, need: &Resources) -> Option<ShapeId> {
        let known = self.0.iter().position(|shape| shape == need);
        if known.is_none() && self.0.len() < MAX_SHAPES {
            self.0.push(*need);
            return Some(ShapeId(self.0.len() - 1));
        }
        known.map(ShapeId)
    }
}

/// Requirements that all tasks of a job share for one cycle.
pub(crate) struct PlacementRequest<'a> {
    pub job: &'a Job,
    /// Resources that one task needs.
    pub need: Resources,
    /// Number of the shape of `need`; `None` if the cycle has too many shapes.
    pub shape: Option<ShapeId>,
    /// Estimated run time of a task in seconds.
    pub run_s: f64,
    /// True if an objective requires tasks of the job's class to start sooner than a newly rented
    /// machine would be up.
    pub quick_start: bool,
    /// True if a task may be planned on a busy machine and wait for capacity there.
    pub may_wait: bool,
}

impl PlacementRequest<'_> {
    /// True if the tasks must start together or not at all.
    pub fn is_gang(&self) -> bool {
        self.job.record.spec.kind == JobKind::Gang
    }
}

impl Core {
    /// Builds the request of a job's tasks. `may_wait` says whether the cycle still lets tasks wait
    /// for a busy machine; tasks of services never wait for one.
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
            run_s: self.estimates.expected_run_s(job),
            quick_start,
            may_wait: may_wait && self.tuning.wait_for_busy_machines && job.record.spec.kind != JobKind::Service,
        }
    }
}
