//! How long machines take to come up, as observed.
//!
//! The catalog names a usual time, but whole hours can be slower, and some
//! machines never come up. Boots are kept per type and zone as lifetimes are:
//! those not over yet, or given up, only show that they took so long.

use crate::coordination::scheduling::lifetimes::{Lifetime, LifetimeHistory};
use std::collections::BTreeMap;

/// Boots remembered per type and zone: what is usual changes by the hour.
const WINDOW: usize = 24;

/// A boot this many times as long as usual counts as late.
const LATE: f64 = 2.0;

/// One that others of its kind overtook is given up after so many times the
/// usual; one that nothing overtook only after many more: while every boot is
/// slow, asking again would only pay for the same wait twice.
const OVERTAKEN: f64 = 3.0;
const HOPELESS: f64 = 10.0;

/// Grace on top, for lists and notes that lag.
const GRACE_S: f64 = 10.0;

/// What a late boot is counted for: it may come, or never.
const LATE_SHARE: f64 = 0.5;

type Slot = (String, String);

#[derive(Debug, Default)]
pub struct ProvisioningTimes {
    over: BTreeMap<Slot, Vec<Lifetime>>,
    usual: BTreeMap<Slot, f64>,
}

impl ProvisioningTimes {
    fn add(&mut self, kind: &str, zone: &str, life: Lifetime) {
        let provisioning_times = self.over.entry((kind.into(), zone.into())).or_default();
        provisioning_times.push(life);
        if provisioning_times.len() > WINDOW {
            provisioning_times.remove(0);
        }
    }

    pub fn record_ready(&mut self, kind: &str, zone: &str, after_s: f64) {
        self.add(kind, zone, Lifetime { age_s: after_s, lost: true });
    }

    pub fn record_given_up(&mut self, kind: &str, zone: &str, after_s: f64) {
        self.add(kind, zone, Lifetime { age_s: after_s, lost: false });
    }

    /// Learns what is usual now from boots that are over and, censored, the
    /// ages of those under way.
    pub fn learn(&mut self, under_way: &BTreeMap<Slot, Vec<f64>>) {
        for (slot, provisioning_times) in &self.over {
            let mut history = LifetimeHistory::default();
            provisioning_times.iter().for_each(|life| history.add(*life));
            history.rebuild(under_way.get(slot).map_or(&[][..], |ages| ages));
            // A machine that never comes is no evidence that its boot is usual:
            // judged by its own age it was never given up.
            match history.median() {
                Some(median) => self.usual.insert(slot.clone(), median),
                None => self.usual.remove(slot),
            };
        }
    }

    /// The usual time, as observed or else as the catalog says.
    pub fn usual_s(&self, kind: &str, zone: &str, catalog_s: f64) -> f64 {
        let key = (kind.to_string(), zone.to_string());
        self.usual.get(&key).copied().unwrap_or(catalog_s).max(1.0)
    }

    /// What of a machine that has been booting for so long may be counted on.
    pub fn countable_share(&self, kind: &str, zone: &str, catalog_s: f64, age_s: f64) -> f64 {
        if age_s > LATE * self.patience_s(kind, zone, catalog_s) + GRACE_S {
            LATE_SHARE
        } else {
            1.0
        }
    }

    /// True if a boot should be given up; `overtaken` if a machine of its kind
    /// that was asked for later is up already.
    pub fn should_give_up(&self, kind: &str, zone: &str, catalog_s: f64, age_s: f64, overtaken: bool) -> bool {
        let times = if overtaken { OVERTAKEN } else { HOPELESS };
        age_s > times * self.patience_s(kind, zone, catalog_s) + GRACE_S
    }

    /// Never less than the catalog says: a spell of quick boots is no reason
    /// to give up one that takes its usual time.
    fn patience_s(&self, kind: &str, zone: &str, catalog_s: f64) -> f64 {
        self.usual_s(kind, zone, catalog_s).max(catalog_s)
    }
}

#[cfg(test)]
mod tests;
