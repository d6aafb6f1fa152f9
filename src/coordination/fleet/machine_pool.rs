//! Machine pools, from which machines are rented, and the backoff of pools without capacity.
//!
//! Independent of prices and demand; scale-out checks the backoff before it chooses a pool.

use crate::units::{Millis, MonotonicTime};
use std::collections::BTreeMap;

/// Backoff after the first refusal for lack of capacity; doubles with each further one in a row.
const INITIAL_BACKOFF_S: f64 = 5.0;

/// Upper bound of the backoff after refusals.
const MAX_BACKOFF_S: f64 = 40.0;

/// Number of refusals in a row after which the backoff stops growing.
const MAX_COUNTED_REFUSALS: u32 = 4;

/// Backoff after a rental that got fewer machines than requested.
const PARTIAL_RENTAL_BACKOFF: Millis = Millis(10_000);

/// Backoff after a rental that failed without a definite answer.
const NO_ANSWER_BACKOFF: Millis = Millis(3000);

/// Machines of one type in one zone that are rented on the same terms.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct MachinePool {
    /// Name of the machine type.
    pub(super) machine_type: String,
    /// Name of the zone.
    pub(super) zone: String,
    /// True for spot machines.
    pub(super) spot: bool,
}

/// Backoff of one pool.
#[derive(Debug)]
struct PoolBackoff {
    until: MonotonicTime,
    /// Number of refusals in a row for lack of capacity.
    refusals: u32,
}

/// Backoff of all pools whose last rental was not fully granted.
#[derive(Debug, Default)]
pub(super) struct PoolBackoffs {
    backoffs: BTreeMap<MachinePool, PoolBackoff>,
}

impl PoolBackoffs {
    /// True if the pool is backing off now.
    pub(super) fn is_backing_off(&self, pool: &MachinePool, now: MonotonicTime) -> bool {
        self.backoffs.get(pool).is_some_and(|backoff| now < backoff.until)
    }

    /// True if any pool of spot machines is backing off now.
    pub(super) fn any_spot_backing_off(&self, now: MonotonicTime) -> bool {
        self.backoffs.iter().any(|(pool, backoff)| pool.spot && now < backoff.until)
    }

    /// Records that the pool granted all requested machines; ends its backoff.
    pub(super) fn record_full_rental(&mut self, pool: &MachinePool) {
        self.backoffs.remove(pool);
    }

    /// Records that the pool granted only some of the requested machines.
    pub(super) fn record_partial_rental(&mut self, pool: MachinePool, now: MonotonicTime) {
        self.backoffs.insert(pool, PoolBackoff { until: now + PARTIAL_RENTAL_BACKOFF, refusals: 0 });
    }

    /// Records that the pool had no capacity; the backoff grows with each refusal in a row.
    pub(super) fn record_refusal(&mut self, pool: MachinePool, now: MonotonicTime) {
        let refusals = self.backoffs.get(&pool).map_or(0, |backoff| backoff.refusals) + 1;
        let doublings = refusals.min(MAX_COUNTED_REFUSALS) as i32 - 1;
        let pause_s = (INITIAL_BACKOFF_S * 2f64.powi(doublings)).min(MAX_BACKOFF_S);
        self.backoffs.insert(pool, PoolBackoff { until: now + Millis::from_secs(pause_s), refusals });
    }

    /// Records that a rental failed without a definite answer after its retries.
    pub(super) fn record_no_answer(&mut self, pool: MachinePool, now: MonotonicTime) {
        self.backoffs.insert(pool, PoolBackoff { until: now + NO_ANSWER_BACKOFF, refusals: 0 });
    }
}
