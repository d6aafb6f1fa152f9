//! In which order jobs are served.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// A job with work left, as the queue sees it.
pub(crate) struct QueuedJob<R, I> {
    /// Less goes first, whatever the time.
    pub rank: R,
    /// Time until it should be complete.
    pub left_s: f64,
    pub run_s: f64,
    /// Core seconds still to be done.
    pub work: f64,
    /// When it was accepted.
    pub at: u64,
    pub id: I,
}

/// A job that can still be in time; the one with most work is the greatest.
#[derive(PartialEq)]
struct Kept {
    work: f64,
    at: usize,
}

impl Eq for Kept {}

impl Ord for Kept {
    fn cmp(&self, other: &Self) -> Ordering {
        self.work.total_cmp(&other.work).then(self.at.cmp(&other.at))
    }
}

impl PartialOrd for Kept {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// A little lateness is forgiven: estimates are not that good.
const GRACE_S: f64 = 5.0;

/// Orders jobs by rank, then by what time they have to spare. With more work
/// than `cpus` can do in time, going by that alone makes all jobs late a
/// little each; so of what could not all be in time the largest jobs step
/// back until the rest can (as Moore and Hodgson order one machine's jobs).
pub(crate) fn serve_order<R: Ord, I: Ord>(mut queue: Vec<QueuedJob<R, I>>, cpus: f64) -> Vec<I> {
    let due = |c: &QueuedJob<R, I>| (c.left_s * 1000.0) as i64;
    queue.sort_by(|a, b| (&a.rank, due(a), a.at, &a.id).cmp(&(&b.rank, due(b), b.at, &b.id)));
    let mut before = 0.0;
    let mut late = vec![false; queue.len()];
    let mut start = 0;
    while start < queue.len() {
        let end = start + queue[start..].iter().take_while(|c| c.rank == queue[start].rank).count();
        let mut kept: BinaryHeap<Kept> = BinaryHeap::new();
        let mut work = before;
        for at in start..end {
            let c = &queue[at];
            if c.left_s - c.run_s < -GRACE_S {
                late[at] = true;
                continue;
            }
            kept.push(Kept { work: c.work, at });
            work += c.work;
            // The last of its tasks begin when nearly all before is done.
            if cpus > 0.0 && work / cpus + 0.25 * c.run_s > c.left_s + GRACE_S {
                if let Some(largest) = kept.pop() {
                    work -= largest.work;
                    late[largest.at] = true;
                }
            }
        }
        before = work;
        start = end;
    }
    let spare = |c: &QueuedJob<R, I>| (c.left_s - c.run_s) as i64;
    let mut order: Vec<(QueuedJob<R, I>, bool)> = queue.into_iter().zip(late).collect();
    order.sort_by(|(a, a_late), (b, b_late)| {
        let time = |c: &QueuedJob<R, I>, late: bool| if late { 0 } else { spare(c) };
        (&a.rank, a_late, time(a, *a_late), a.at, &a.id).cmp(&(&b.rank, b_late, time(b, *b_late), b.at, &b.id))
    });
    order.into_iter().map(|(c, _)| c.id).collect()
}

#[cfg(test)]
mod tests;
