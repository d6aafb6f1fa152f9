//! Crashes of controllers in the middle of an operation: the points at which a test can crash one,
//! recognized by the calls that it sends.

use super::events::{ProcessId, ScheduledEvent};
use super::store_calls::StoreCall;
use super::Fault;
use super::SimulatedCluster;
use tillercleat::coordination::{CloudCall, Output};
use tillercleat::protocol::state::{Change, StoreRequest, Transaction};

/// An operation during which a controller can be crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CrashPoint {
    /// Reading all records at its start.
    ReadRecords,
    /// Requesting a lease for the node itself.
    GrantLease,
    /// Writing the node's membership key.
    AnnounceNode,
    /// Recording the node itself as owner of a shard.
    ClaimShard,
    /// Recording another node as owner of a shard.
    HandOverShard,
    BecomeLeader,
    TransferQuota,
    /// Recording a rental before the call to the cloud.
    RecordRental,
    /// Calling the cloud to rent machines.
    RentMachines,
    /// Writing the key that allows the node to renew worker leases for a shard's owner.
    ProxyLease,
    /// Writing slices, which are records of tasks.
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

    /// Returns the crash point that a node reaches by sending this output, if there is one.
    fn of(node: &str, output: &Output) -> Option<CrashPoint> {
        match output {
            Output::Store(_, StoreRequest::List { .. }) => Some(CrashPoint::ReadRecords),
            Output::Store(_, StoreRequest::GrantLease { .. }) => Some(CrashPoint::GrantLease),
            Output::Store(_, StoreRequest::Transaction(transaction)) => CrashPoint::of_transaction(node, transaction),
            Output::Cloud(_, CloudCall::Rent(_)) => Some(CrashPoint::RentMachines),
            _ => None,
        }
    }

    /// Returns the crash point of the first change that has one.
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

/// A crash that happens when the node reaches the crash point. Times are in milliseconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlannedCrash {
    pub(super) node: usize,
    pub(super) point: CrashPoint,
    pub(super) restart_after: u64,
    /// Delay after which the call that it just sent is executed; never if None.
    pub(super) late: Option<u64>,
}

impl SimulatedCluster {
    /// Crashes a node if a crash is planned for this output; returns whether it crashed.
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
            self.execute_later(node, output, late);
        }
        self.apply_fault(Fault::Crash { node, restart_after });
        true
    }

    /// Schedules a call of a crashing node to be executed later, with its answer discarded.
    fn execute_later(&mut self, node: usize, output: &Output, delay_ms: u64) {
        let caller = ProcessId::detached(node);
        let event = match output {
            Output::Store(id, call) => {
                ScheduledEvent::StoreCall(StoreCall { caller, id: *id, call: call.clone(), watch_until: 0 })
            }
            Output::Cloud(id, call) => ScheduledEvent::CloudCall { caller, id: *id, call: call.clone() },
            _ => return,
        };
        self.schedule(self.now + delay_ms, event);
    }
}
