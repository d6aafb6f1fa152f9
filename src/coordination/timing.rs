//! Leases and time limits, derived once from the platform's settings.

use crate::settings::Settings;
use crate::units::Millis;

/// Duration of a controller's lease in the store, as a share of the workers' lease.
const NODE_LEASE_SHARE: f64 = 0.4;
/// Minimum and maximum duration of a controller's lease.
const NODE_LEASE_BOUNDS_S: (f64, f64) = (1.0, 60.0);

/// Interval between renewals of a controller's lease, as a share of the workers' lease.
const RENEWAL_INTERVAL_SHARE: f64 = 0.1;
/// Minimum and maximum interval between renewals.
const RENEWAL_INTERVAL_BOUNDS_S: (f64, f64) = (0.25, 15.0);

/// Age up to which records count as fresh, as a share of the workers' lease.
const RECORD_AGE_LIMIT_SHARE: f64 = 0.3;
/// Lower bound on that age.
const MIN_RECORD_AGE_LIMIT_S: f64 = 1.0;

/// Durations of leases, and limits on isolation from the store and on the age of records.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Timing {
    /// Duration of a controller's lease without renewal.
    pub node_lease: Millis,
    /// Interval between renewals of a controller's lease.
    pub renewal_interval: Millis,
    /// Duration of a worker's lease, with a margin for clock drift.
    pub worker_lease: Millis,
    /// How long a shard owner that can't reach the store may respond to workers, counted from when its last read was
    /// sent. The workers' leases then expire before the deadline of a cancellation that the owner has not seen:
    /// limit + lease + margin <= `cancel_s`.
    pub store_isolation_limit: Millis,
    /// Maximum age of the last read of the records for starting tasks and other new work.
    pub max_record_age: Millis,
}

impl Timing {
    /// Derives the durations from the platform's settings.
    pub(crate) fn from_settings(settings: &Settings) -> Timing {
        let workers = &settings.cluster.workers;
        let lease_share_s = |share: f64, (min, max): (f64, f64)| (workers.lease_s * share).clamp(min, max);
        Timing {
            node_lease: Millis::from_secs(lease_share_s(NODE_LEASE_SHARE, NODE_LEASE_BOUNDS_S)),
            renewal_interval: Millis::from_secs(lease_share_s(RENEWAL_INTERVAL_SHARE, RENEWAL_INTERVAL_BOUNDS_S)),
            worker_lease: Millis::from_secs(workers.max_lease_s()),
            store_isolation_limit: Millis::from_secs(workers.store_isolation_limit_s()),
            max_record_age: Millis::from_secs((workers.lease_s * RECORD_AGE_LIMIT_SHARE).max(MIN_RECORD_AGE_LIMIT_S)),
        }
    }
}
