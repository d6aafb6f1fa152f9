//! How long machines take from their rental to their first heartbeat, as observed.
//!
//! The catalog names a usual time, but whole hours can be slower, and some machines never come up.
//! Boots are kept by type and zone, as survival data: those under way and those given up are
//! censored, they only show that they took so long. Used by demand, scale-out and scale-in.

use crate::coordination::scheduling::lifetimes::{Lifetime, LifetimeHistory};
use std::collections::{BTreeMap, VecDeque};

/// Boots remembered by type and zone: what is usual changes by the hour.
const MAX_REMEMBERED_BOOTS: usize = 24;

/// A boot this many times as long as usual counts as late.
const LATE_BOOT_FACTOR: f64 = 2.0;

/// A boot that another one of its type and zone overtook is given up after so many times the usual.
const OVERTAKEN_GIVE_UP_FACTOR: f64 = 3.0;

/// A boot that nothing overtook is given up only after many more: while every boot is slow, renting
/// again would only pay for the same wait twice.
const GIVE_UP_FACTOR: f64 = 10.0;

/// Added to every limit, for lists and peer statuses that lag.
const GRACE_S: f64 = 10.0;

/// The share of its cores that a late boot counts for: it may end, or never.
const LATE_BOOT_SHARE: f64 = 0.5;

/// A usual time is never taken to be less than this.
const MIN_TYPICAL_S: f64 = 1.0;

/// A machine type in one zone: machines that share a history of boots.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TypeInZone {
    kind: String,
    zone: String,
}

impl TypeInZone {
    /// The key of these names.
    pub(super) fn new(kind: &str, zone: &str) -> TypeInZone {
        TypeInZone { kind: kind.into(), zone: zone.into() }
    }
}

/// Boots that are over, and the usual times that follow from them.
#[derive(Debug, Default)]
pub(super) struct ProvisioningTimes {
    finished: BTreeMap<TypeInZone, VecDeque<Lifetime>>,
    typical_s: BTreeMap<TypeInZone, f64>,
}

impl ProvisioningTimes {
    /// Notes that a machine came up after so many seconds.
    pub(super) fn record_ready(&mut self, kind: &str, zone: &str, after_s: f64) {
        self.record(kind, zone, Lifetime { age_s: after_s, lost: true });
    }

    /// Notes that a machine was given up after so many seconds.
    pub(super) fn record_given_up(&mut self, kind: &str, zone: &str, after_s: f64) {
        self.record(kind, zone, Lifetime { age_s: after_s, lost: false });
    }

    /// Learns what is usual now from boots that are over and, censored, the ages in seconds of those
    /// under way.
    pub(super) fn learn(&mut self, under_way: &BTreeMap<TypeInZone, Vec<f64>>) {
        for (key, boots) in &self.finished {
            let mut history = LifetimeHistory::default();
            boots.iter().for_each(|boot| history.add(*boot));
            history.rebuild(under_way.get(key).map_or(&[][..], |ages| ages));
            // Without a boot that ended well nothing is usual. Judged by its own age, a machine that
            // never comes up would never be given up.
            match history.median() {
                Some(median) => self.typical_s.insert(key.clone(), median),
                None => self.typical_s.remove(key),
            };
        }
    }

    /// The usual time in seconds, as observed or else as the catalog says.
    pub(super) fn typical_s(&self, kind: &str, zone: &str, catalog_s: f64) -> f64 {
        self.typical_s.get(&TypeInZone::new(kind, zone)).copied().unwrap_or(catalog_s).max(MIN_TYPICAL_S)
    }

    /// The share of a machine that may be counted on when it has been booting for `age_s`.
    pub(super) fn expected_share(&self, kind: &str, zone: &str, catalog_s: f64, age_s: f64) -> f64 {
        if age_s > LATE_BOOT_FACTOR * self.expected_s(kind, zone, catalog_s) + GRACE_S {
            LATE_BOOT_SHARE
        } else {
            1.0
        }
    }

    /// True if a boot should be given up at `age_s`; `overtaken` if a machine of its type and zone
    /// that was rented later is up already.
    pub(super) fn should_give_up(&self, kind: &str, zone: &str, catalog_s: f64, age_s: f64, overtaken: bool) -> bool {
        let factor = if overtaken { OVERTAKEN_GIVE_UP_FACTOR } else { GIVE_UP_FACTOR };
        age_s > factor * self.expected_s(kind, zone, catalog_s) + GRACE_S
    }

    /// The usual time, and never less than the catalog says: after a spell of quick boots one that
    /// takes the catalog's time is not late.
    fn expected_s(&self, kind: &str, zone: &str, catalog_s: f64) -> f64 {
        self.typical_s(kind, zone, catalog_s).max(catalog_s)
    }

    fn record(&mut self, kind: &str, zone: &str, boot: Lifetime) {
        let boots = self.finished.entry(TypeInZone::new(kind, zone)).or_default();
        boots.push_back(boot);
        if boots.len() > MAX_REMEMBERED_BOOTS {
            boots.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
