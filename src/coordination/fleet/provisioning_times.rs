//! Observed times from the rental of a machine to its first heartbeat.
//!
//! The catalog states a provisioning time, but boots can be slower for hours, and some machines never
//! come up. Boots are kept by type and zone as survival data: unfinished boots and those given up are
//! censored, since their age is only a lower bound. Used by demand, scale-out and scale-in.

use crate::coordination::scheduling::lifetimes::{Lifetime, LifetimeHistory};
use std::collections::{BTreeMap, VecDeque};

/// Number of boots remembered per type and zone. Small, because typical times change within hours.
const MAX_REMEMBERED_BOOTS: usize = 24;

/// A boot is late after this many times the expected time, plus `GRACE_S`.
const LATE_BOOT_FACTOR: f64 = 2.0;

/// A boot that a later rental of its type and zone overtook is given up after this many times the
/// expected time, plus `GRACE_S`.
const OVERTAKEN_GIVE_UP_FACTOR: f64 = 3.0;

/// A boot that no later rental overtook is given up after this many times the expected time, plus
/// `GRACE_S`. Larger, because while all boots are slow a new rental would pay for the same wait again.
const GIVE_UP_FACTOR: f64 = 10.0;

/// Allowance in each limit for the lag of machine lists and peer statuses.
const GRACE_S: f64 = 10.0;

/// Share of its cores that a machine counts for while its boot is late and may never finish.
const LATE_BOOT_SHARE: f64 = 0.5;

/// Lower bound of typical times.
const MIN_TYPICAL_S: f64 = 1.0;

/// A machine type in one zone: machines that share a history of boots.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TypeInZone {
    machine_type: String,
    zone: String,
}

impl TypeInZone {
    /// Creates the key for a machine type in a zone.
    pub(super) fn new(machine_type: &str, zone: &str) -> TypeInZone {
        TypeInZone { machine_type: machine_type.into(), zone: zone.into() }
    }
}

/// Boots that are finished or given up, and the typical times derived from them.
#[derive(Debug, Default)]
pub(super) struct ProvisioningTimes {
    finished: BTreeMap<TypeInZone, VecDeque<Lifetime>>,
    typical_s: BTreeMap<TypeInZone, f64>,
}

impl ProvisioningTimes {
    /// Records that a machine came up after `after_s` seconds.
    pub(super) fn record_ready(&mut self, machine_type: &str, zone: &str, after_s: f64) {
        self.record(machine_type, zone, Lifetime { age_s: after_s, lost: true });
    }

    /// Records that a machine was given up after `after_s` seconds.
    pub(super) fn record_given_up(&mut self, machine_type: &str, zone: &str, after_s: f64) {
        self.record(machine_type, zone, Lifetime { age_s: after_s, lost: false });
    }

    /// Recomputes the typical times from the recorded boots and, as censored observations, from the
    /// ages in seconds of the boots under way.
    pub(super) fn learn(&mut self, under_way: &BTreeMap<TypeInZone, Vec<f64>>) {
        for (key, boots) in &self.finished {
            let mut history = LifetimeHistory::default();
            boots.iter().for_each(|boot| history.add(*boot));
            history.rebuild(under_way.get(key).map_or(&[][..], |ages| ages));
            // Without a successful boot there is no typical time. If one were derived from its own age,
            // a machine that never comes up would never be given up.
            match history.median() {
                Some(median) => self.typical_s.insert(key.clone(), median),
                None => self.typical_s.remove(key),
            };
        }
    }

    /// Typical time in seconds: the median of the observations, or else the catalog's time.
    pub(super) fn typical_s(&self, machine_type: &str, zone: &str, catalog_s: f64) -> f64 {
        self.typical_s.get(&TypeInZone::new(machine_type, zone)).copied().unwrap_or(catalog_s).max(MIN_TYPICAL_S)
    }

    /// Share of its cores that a machine which has been booting for `age_s` is expected to provide.
    pub(super) fn expected_share(&self, machine_type: &str, zone: &str, catalog_s: f64, age_s: f64) -> f64 {
        if age_s > LATE_BOOT_FACTOR * self.expected_s(machine_type, zone, catalog_s) + GRACE_S {
            LATE_BOOT_SHARE
        } else {
            1.0
        }
    }

    /// True if a boot should be given up at `age_s`. `overtaken` is true if a machine of the same type
    /// and zone that was rented later is up already.
    pub(super) fn should_give_up(
        &self,
        machine_type: &str,
        zone: &str,
        catalog_s: f64,
        age_s: f64,
        overtaken: bool,
    ) -> bool {
        let factor = if overtaken { OVERTAKEN_GIVE_UP_FACTOR } else { GIVE_UP_FACTOR };
        age_s > factor * self.expected_s(machine_type, zone, catalog_s) + GRACE_S
    }

    /// The typical time, but at least the catalog's: a boot that takes the catalog's time is not late,
    /// even if recent boots were quicker.
    fn expected_s(&self, machine_type: &str, zone: &str, catalog_s: f64) -> f64 {
        self.typical_s(machine_type, zone, catalog_s).max(catalog_s)
    }

    fn record(&mut self, machine_type: &str, zone: &str, boot: Lifetime) {
        let boots = self.finished.entry(TypeInZone::new(machine_type, zone)).or_default();
        boots.push_back(boot);
        if boots.len() > MAX_REMEMBERED_BOOTS {
            boots.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
