//! Machine pools: what a rental names, and which pools had no capacity of late.
//!
//! Knows nothing of prices or demand; scale-out asks it before it chooses.

use crate::units::{Millis, MonotonicTime};
use std::collections::BTreeMap;

/// The pause after the first refusal for lack of capacity; doubled with each further one.
const FIRST_BACKOFF_S: f64 = 5.0;

/// The longest pause after refusals.
const LONGEST_BACKOFF_S: f64 = 40.0;

/// Refusals after which the pause grows no more.
const MOST_COUNTED_REFUSALS: u32 = 4;

/// The pause after a rental that got fewer machines than requested.
const PARTIAL_BACKOFF: Millis = Millis(10_000);

/// The pause after a rental that got no answer.
const FAILURE_BACKOFF: Millis = Millis(3000);

/// Machines of one type in one zone that are rented on the same terms.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct MachinePool {
    /// Name of the machine type.
    pub(super) kind: String,
    /// Name of the zone.
    pub(super) zone: String,
    /// True for spot machines.
    pub(super) spot: bool,
}

/// Why and until when nothing is rented from a pool.
#[derive(Debug)]
struct PoolBackoff {
    until: MonotonicTime,
    /// Refusals for lack of capacity, one after the other.
    refusals: u32,
}

/// The pools that nothing is rented from for a while.
#[derive(Debug, Default)]
pub(super) struct PoolBackoffs {
    backoffs: BTreeMap<MachinePool, PoolBackoff>,
}

impl PoolBackoffs {
    /// True if nothing is to be rented from the pool now.
    pub(super) fn is_backing_off(&self, pool: &MachinePool, now: MonotonicTime) -> bool {
        self.backoffs.get(pool).is_some_and(|backoff| now < backoff.until)
    }

    /// True if any pool of spot machines is backing off now.
    pub(super) fn any_spot(&self, now: MonotonicTime) -> bool {
        self.backoffs.iter().any(|(pool, backoff)| pool.spot && now < backoff.until)
    }

    /// The pool had all machines that were requested.
    pub(super) fn rented_all(&mut self, pool: &MachinePool) {
        self.backoffs.remove(pool);
    }

    /// The pool had only some of the machines that were requested.
    pub(super) fn rented_some(&mut self, pool: MachinePool, now: MonotonicTime) {
        self.backoffs.insert(pool, PoolBackoff { until: now + PARTIAL_BACKOFF, refusals: 0 });
    }

    /// The pool had none; the pause grows with each refusal.
    pub(super) fn refused(&mut self, pool: MachinePool, now: MonotonicTime) {
        let refusals = self.backoffs.get(&pool).map_or(0, |backoff| backoff.refusals) + 1;
        let doublings = refusals.min(MOST_COUNTED_REFUSALS) as i32 - 1;
        let pause_s = (FIRST_BACKOFF_S * 2f64.powi(doublings)).min(LONGEST_BACKOFF_S);
        self.backoffs.insert(pool, PoolBackoff { until: now + Millis::from_secs(pause_s), refusals });
    }

    /// The cloud did not answer, whatever was tried.
    pub(super) fn failed(&mut self, pool: MachinePool, now: MonotonicTime) {
        self.backoffs.insert(pool, PoolBackoff { until: now + FAILURE_BACKOFF, refusals: 0 });
    }
}
