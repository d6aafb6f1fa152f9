//! Ended jobs that have no record under the root any more, as far as they were
//! asked for lately; the oldest are forgotten.

use crate::storage::records::ArchivedJob;
use crate::units::JobId;
use std::collections::{BTreeMap, VecDeque};

/// How many archived jobs are remembered.
const MAX_ARCHIVED: usize = 2000;

/// A bounded memory of archived jobs.
#[derive(Debug, Default)]
pub(super) struct ArchivedJobs {
    by_id: BTreeMap<JobId, ArchivedJob>,
    /// The same jobs, those remembered first in front.
    order: VecDeque<JobId>,
}

impl ArchivedJobs {
    pub(super) fn get(&self, job: &JobId) -> Option<ArchivedJob> {
        self.by_id.get(job).copied()
    }

    pub(super) fn insert(&mut self, id: &JobId, record: ArchivedJob) {
        if self.by_id.insert(id.clone(), record).is_none() {
            self.order.push_back(id.clone());
        }
        while self.order.len() > MAX_ARCHIVED {
            if let Some(oldest) = self.order.pop_front() {
                self.by_id.remove(&oldest);
            }
        }
    }
}
