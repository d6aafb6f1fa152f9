//! Order in which queued jobs are served, as a pure function.
//!
//! The pending queue calls it once per scheduling cycle. It uses only the total number of cores,
//! not single machines.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::ops::Range;

/// Lateness in seconds up to which a job counts as on time, because estimates are inexact.
const LATE_TOLERANCE_S: f64 = 5.0;

/// The last tasks of a job start when nearly all work before them is done. This share of the job's
/// run time is added to that point to estimate its completion.
const LAST_TASK_RUN_SHARE: f64 = 0.25;

/// A queued job with work left.
pub(crate) struct QueuedJob<Rank, Id> {
    /// The job of lesser rank goes first, regardless of its time left.
    pub rank: Rank,
    /// Seconds until it should be complete; negative if it is late.
    pub time_left_s: f64,
    /// Estimated run time of a task in seconds.
    pub run_s: f64,
    /// Remaining work in core seconds.
    pub work_cpu_s: f64,
    /// Time at which it was accepted, in milliseconds of the wall clock.
    pub accepted_at_ms: u64,
    pub id: Id,
}

impl<Rank, Id> QueuedJob<Rank, Id> {
    /// Returns the seconds by which its start may be delayed.
    fn spare_s(&self) -> f64 {
        self.time_left_s - self.run_s
    }

    /// Returns the time left in whole milliseconds, for comparisons.
    fn time_left_ms(&self) -> i64 {
        (self.time_left_s * 1000.0) as i64
    }
}

/// A job that can still be on time; the one with the most work compares greatest.
#[derive(PartialEq)]
struct OnTimeJob {
    work_cpu_s: f64,
    index: usize,
}

impl Eq for OnTimeJob {}

impl Ord for OnTimeJob {
    fn cmp(&self, other: &Self) -> Ordering {
        self.work_cpu_s.total_cmp(&other.work_cpu_s).then(self.index.cmp(&other.index))
    }
}

impl PartialOrd for OnTimeJob {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Orders jobs by rank. Within a rank, jobs that can be on time go first, by the least spare time;
/// the other jobs follow in the order in which they were accepted.
///
/// If `cpus` cores cannot do all the work on time, ordering by time alone would make all jobs a
/// little late. The largest jobs are therefore moved back until the rest can be on time, as in the
/// Moore-Hodgson algorithm for a single machine.
pub(crate) fn serve_order<Rank: Ord, Id: Ord>(mut queue: Vec<QueuedJob<Rank, Id>>, cpus: f64) -> Vec<Id> {
    queue.sort_by(|a, b| {
        let key = |job: &QueuedJob<Rank, Id>| (job.time_left_ms(), job.accepted_at_ms);
        a.rank.cmp(&b.rank).then_with(|| key(a).cmp(&key(b))).then_with(|| a.id.cmp(&b.id))
    });
    let late = late_jobs(&queue, cpus);
    let mut order: Vec<(QueuedJob<Rank, Id>, bool)> = queue.into_iter().zip(late).collect();
    order.sort_by(|(a, a_late), (b, b_late)| {
        let key = |job: &QueuedJob<Rank, Id>, late: bool| {
            (late, if late { 0 } else { job.spare_s() as i64 }, job.accepted_at_ms)
        };
        a.rank.cmp(&b.rank).then_with(|| key(a, *a_late).cmp(&key(b, *b_late))).then_with(|| a.id.cmp(&b.id))
    });
    order.into_iter().map(|(job, _)| job.id).collect()
}

/// Returns for each job of the queue, which must be sorted by rank and time left, whether it is
/// moved back because it or others would be late.
fn late_jobs<Rank: Ord, Id>(queue: &[QueuedJob<Rank, Id>], cpus: f64) -> Vec<bool> {
    let mut late = vec![false; queue.len()];
    let mut work_before_cpu_s = 0.0;
    let mut start = 0;
    while start < queue.len() {
        let same_rank = queue[start..].iter().take_while(|job| job.rank == queue[start].rank).count();
        work_before_cpu_s = mark_late_jobs(queue, start..start + same_rank, cpus, work_before_cpu_s, &mut late);
        start += same_rank;
    }
    late
}

/// Marks the jobs of one rank that are moved back, given the work in core seconds of all lesser
/// ranks. Returns that work plus the work of the jobs that are on time.
fn mark_late_jobs<Rank, Id>(
    queue: &[QueuedJob<Rank, Id>],
    range: Range<usize>,
    cpus: f64,
    work_before_cpu_s: f64,
    late: &mut [bool],
) -> f64 {
    let mut on_time: BinaryHeap<OnTimeJob> = BinaryHeap::new();
    let mut work = work_before_cpu_s;
    for index in range {
        let job = &queue[index];
        if job.spare_s() < -LATE_TOLERANCE_S {
            late[index] = true;
            continue;
        }
        on_time.push(OnTimeJob { work_cpu_s: job.work_cpu_s, index });
        work += job.work_cpu_s;
        let completion_s = work / cpus + LAST_TASK_RUN_SHARE * job.run_s;
        if cpus > 0.0 && completion_s > job.time_left_s + LATE_TOLERANCE_S {
            if let Some(largest) = on_time.pop() {
                work -= largest.work_cpu_s;
                late[largest.index] = true;
            }
        }
    }
    work
}

#[cfg(test)]
mod tests;
