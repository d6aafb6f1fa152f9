//! Lengths of time that the rules rest on, derived from the platform's settings once.

use crate::settings::Settings;
use crate::units::Millis;

/// A controller's lease in the store, as a share of the workers' lease, and its bounds in seconds.
const NODE_LEASE_SHARE: f64 = 0.4;
const NODE_LEASE_BOUNDS_S: (f64, f64) = (1.0, 60.0);

/// Pause between renewals of that lease, as a share of the workers' lease, and its bounds in seconds.
const RENEWAL_INTERVAL_SHARE: f64 = 0.1;
const RENEWAL_INTERVAL_BOUNDS_S: (f64, f64) = (0.25, 15.0);

/// Age up to which records count as fresh, as a share of the workers' lease, and the least in seconds.
const MAX_RECORD_AGE_SHARE: f64 = 0.3;
const MAX_RECORD_AGE_FLOOR_S: f64 = 1.0;

/// The times by which leases, isolation from the store and freshness are judged.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Timing {
    /// How long a controller's lease lasts unrenewed.
    pub node_lease: Millis,
    /// Pause between two renewals of it.
    pub renewal_interval: Millis,
    /// A worker's lease, with room for drifting clocks.
    pub worker_lease: Millis,
    /// How long an owner cut off from the store may answer workers after its last read was sent. Their leases then
    /// expire before a cancellation that it can't know of is due: limit + lease + margin <= `cancel_s`.
    pub store_isolation_limit: Millis,
    /// How old the last read may be for starts to be sent.
    pub max_record_age: Millis,
}

impl Timing {
    /// The times that follow from the platform's settings.
    pub(crate) fn from_settings(settings: &Settings) -> Timing {
        let workers = &settings.cluster.workers;
        let share = |share: f64, (min, max): (f64, f64)| (workers.lease_s * share).clamp(min, max);
        Timing {
            node_lease: Millis::secs(share(NODE_LEASE_SHARE, NODE_LEASE_BOUNDS_S)),
            renewal_interval: Millis::secs(share(RENEWAL_INTERVAL_SHARE, RENEWAL_INTERVAL_BOUNDS_S)),
            worker_lease: Millis::secs(workers.longest_lease_s()),
            store_isolation_limit: Millis::secs(workers.store_isolation_limit_s()),
            max_record_age: Millis::secs((workers.lease_s * MAX_RECORD_AGE_SHARE).max(MAX_RECORD_AGE_FLOOR_S)),
        }
    }
}
