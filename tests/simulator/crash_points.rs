//! Crashes of controllers in the middle of what they do: the points at which a test may let one
//! end, told from outside by what it sends.

use super::events::{ProcessId, ScheduledEvent};
use super::store_calls::StoreCall;
use super::Fault;
use super::SimulatedCluster;
use tillercleat::coordination::{CloudCall, Output};
use tillercleat::protocol::state::{Change, StoreRequest, Transaction};

/// What a controller is in the middle of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CrashPoint {
    /// Reading all records at its start.
    ReadRecords,
    /// Getting a lease of its own.
    GrantLease,
    /// Writing the key that shows it to the others.
    AnnounceNode,
    /// Taking a shard for itself.
    ClaimShard,
    /// Giving a shard to another node.
    HandOverShard,
    BecomeLeader,
    TransferQuota,
    /// Writing a rental's name, before the call.
    RecordRental,
    /// The call to the cloud.
    RentMachines,
    /// Writing the key that lets it renew leases for an owner.
    ProxyLease,
    /// Writing records of tasks.
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

    /// The point that a node reaches by sending this, if it is any of these.
    fn of(node: &str, output: &Output) -> Option<CrashPoint> {
        match output {
            Output::Store(_, StoreRequest::List { .. }) => Some(CrashPoint::ReadRecords),
            Output::Store(_, StoreRequest::GrantLease { .. }) => Some(CrashPoint::GrantLease),
            Output::Store(_, StoreRequest::Transaction(transaction)) => CrashPoint::of_transaction(node, transaction),
            Output::Cloud(_, CloudCall::Rent(_)) => Some(CrashPoint::RentMachines),
            _ => None,
        }
    }

    /// The point of the first change that has one.
    fn of_transaction(node: &str, transaction: &Transaction) -> Option<CrashPoint> {
        transaction.changes.iter().find_map(|change| {
            let Change::Put { key, value, .. } = change else { return None };
            Some(match key.split('/').nth(1)? {
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
        })
    }
}

/// A crash that happens once the node reaches the point.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlannedCrash {
    pub(super) node: usize,
    pub(super) point: CrashPoint,
    pub(super) restart_after: u64,
    /// How much later what it just sent is carried out, if ever (milliseconds).
    pub(super) late: Option<u64>,
}

impl SimulatedCluster {
    /// Ends a node that is to crash when it sends this; true if it did.
    pub(super) fn crash_if_planned(&mut self, node: usize, output: &Output) -> bool {
        if self.planned_crashes.is_empty() {
            return false;
        }
        let Some(point) = CrashPoint::of(&format!("n{node}"), output) else { return false };
        let planned = |crash: &PlannedCrash| crash.node == node && crash.point == point;
        let Some(at) = self.planned_crashes.iter().position(planned) else { return false };
        let PlannedCrash { restart_after, late, .. } = self.planned_crashes.swap_remove(at);
        *self.statistics.reached_crash_points.entry(point).or_default() += 1;
        if let Some(late) = late {
            self.carry_out_later(node, output, late);
        }
        self.apply_fault(Fault::Crash { node, restart_after });
        true
    }

    /// A call whose caller is about to end is carried out, and its answer goes to nobody.
    fn carry_out_later(&mut self, node: usize, output: &Output, late: u64) {
        let caller = ProcessId::gone(node);
        let event = match output {
            Output::Store(id, call) => {
                ScheduledEvent::StoreCall(StoreCall { caller, id: *id, call: call.clone(), watch_until: 0 })
            }
            Output::Cloud(id, call) => ScheduledEvent::CloudCall { caller, id: *id, call: call.clone() },
            _ => return,
        };
        self.schedule(self.now + late, event);
    }
}
