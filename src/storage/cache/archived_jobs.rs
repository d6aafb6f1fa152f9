//! A bounded cache of archived jobs, which no longer have a record below the watched
//! prefix. Drops the oldest entries.

use crate::storage::records::ArchivedJob;
use crate::units::JobId;
use std::collections::{BTreeMap, VecDeque};

/// Most archived jobs that the cache holds.
const MAX_CACHED_JOBS: usize = 2000;

/// A first-in, first-out cache of archived jobs.
#[derive(Debug, Default)]
pub(super) struct ArchivedJobs {
    by_id: BTreeMap<JobId, ArchivedJob>,
    /// Ids of the cached jobs, oldest entry first.
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
        while self.order.len() > MAX_CACHED_JOBS {
            if let Some(oldest) = self.order.pop_front() {
                self.by_id.remove(&oldest);
            }
        }
    }
}
