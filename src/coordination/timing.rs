//! Lengths of time that the rules rest on, derived from the platform's settings once.

use crate::settings::Settings;
use crate::units::Millis;

/// A controller's lease in the store, as a share of the workers' lease, and its bounds in seconds.
const NODE_LEASE_SHARE: f64 = 0.4;
const NODE_LEASE_S: (f64, f64) = (1.0, 60.0);

/// Pause between renewals of that lease, as a share of the workers' lease, and its bounds in seconds.
const RENEWAL_SHARE: f64 = 0.1;
const RENEWAL_S: (f64, f64) = (0.25, 15.0);

/// Age up to which records count as fresh, as a share of the workers' lease, and the least in seconds.
const FRESH_SHARE: f64 = 0.3;
const MIN_FRESH_S: f64 = 1.0;

/// The times by which leases, isolation from the store and freshness are judged.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Timing {
    /// How long a controller's lease lasts unrenewed.
    pub ttl: Millis,
    /// Pause between two renewals of it.
    pub renew_every: Millis,
    /// A worker's lease, with room for drifting clocks.
    pub worker_lease: Millis,
    /// How long an owner cut off from the store may answer workers after its last read was sent. Their leases then
    /// expire before a cancellation that it can't know of is due: limit + lease + margin <= `cancel_s`.
    pub store_isolation_limit: Millis,
    /// How old the last read may be for starts to be sent.
    pub fresh: Millis,
}

impl Timing {
    /// The times that follow from the platform's settings.
    pub(crate) fn of(settings: &Settings) -> Timing {
        let workers = &settings.cluster.workers;
        let share = |share: f64, (least, most): (f64, f64)| (workers.lease_s * share).clamp(least, most);
        Timing {
            ttl: Millis::from_secs(share(NODE_LEASE_SHARE, NODE_LEASE_S)),
            renew_every: Millis::from_secs(share(RENEWAL_SHARE, RENEWAL_S)),
            worker_lease: Millis::from_secs(workers.longest_lease_s()),
            store_isolation_limit: Millis::from_secs(workers.store_isolation_limit_s()),
            fresh: Millis::from_secs((workers.lease_s * FRESH_SHARE).max(MIN_FRESH_S)),
        }
    }
}
