//! Ends of controllers in the middle of what they do.

use super::*;

/// What a controller is in the middle of, told by what it asks of others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CrashPoint {
    /// Reading all records.
    ReadRecords,
    /// Its lease, and the key that shows it to the others.
    GrantLease,
    AnnounceNode,
    /// Ownership of a part for itself.
    ClaimShard,
    /// A part on its way to another node.
    HandOverShard,
    BecomeLeader,
    TransferQuota,
    /// A rental's name, before the call, and the call.
    RecordRental,
    RentMachines,
    /// A key that lets it answer workers for an owner.
    ProxyLease,
    /// Tasks' records.
    WriteSlices,
}

impl CrashPoint {
    pub const ALL: [CrashPoint; 11] = [
        CrashPoint::ReadRecords,
        CrashPoint::GrantLease,
        CrashPoint::AnnounceNode,
        CrashPoint::ClaimShard,
        CrashPoint::HandOverShard,
        CrashPoint::BecomeLeader,
        CrashPoint::TransferQuota,
        CrashPoint::RecordRental,
        CrashPoint::RentMachines,
        CrashPoint::ProxyLease,
        CrashPoint::WriteSlices,
    ];

    /// What a node does by sending this, if it is any of these.
    pub(super) fn of(node: &str, output: &Output) -> Option<CrashPoint> {
        match output {
            Output::State(_, StateCall::List { .. }) => Some(CrashPoint::ReadRecords),
            Output::State(_, StateCall::Grant { .. }) => Some(CrashPoint::GrantLease),
            Output::State(_, StateCall::Transaction(transaction)) => transaction.changes.iter().find_map(|change| {
                let Change::Put { put, value, .. } = change else { return None };
                Some(match put.split('/').nth(1)? {
                    "n" => CrashPoint::AnnounceNode,
                    "o" if value["node"] == node => CrashPoint::ClaimShard,
                    "o" => CrashPoint::HandOverShard,
                    "l" => CrashPoint::BecomeLeader,
                    "a" => CrashPoint::TransferQuota,
                    "f" => CrashPoint::RecordRental,
                    "w" => CrashPoint::ProxyLease,
                    "s" => CrashPoint::WriteSlices,
                    _ => return None,
                })
            }),
            Output::Cloud(_, CloudCall::Rent(_)) => Some(CrashPoint::RentMachines),
            _ => None,
        }
    }
}

impl SimulatedCluster {
    /// Ends a node that is to end when it sends this; true if it did.
    pub(super) fn crash_if_reached(&mut self, node: usize, output: &Output) -> bool {
        let Some(point) = CrashPoint::of(&format!("n{node}"), output).filter(|_| !self.crash_points.is_empty()) else {
            return false;
        };
        let Some(at) = self.crash_points.iter().position(|planned| planned.0 == node && planned.1 == point) else {
            return false;
        };
        let (_, _, restart_after, late) = self.crash_points.swap_remove(at);
        *self.statistics.reached_crash_points.entry(point).or_default() += 1;
        // Nobody is left to take the answer.
        let gone = u32::MAX;
        match (output, late) {
            (Output::State(id, call), Some(late)) => {
                self.schedule(self.now + late, ScheduledEvent::State(node, gone, *id, call.clone(), 0));
            }
            (Output::Cloud(id, call), Some(late)) => {
                self.schedule(self.now + late, ScheduledEvent::Cloud(node, gone, *id, call.clone()))
            }
            _ => {}
        }
        self.apply_fault(Fault::Crash { node, restart_after });
        true
    }
}
