use super::*;
use crate::coordination::store_client::pending_requests::PendingRequest;
use crate::coordination::{CloudResponse, Input};

/// A shrinking fleet returned more machines than the record has room for. The lagging list still named
/// them, and they counted as capacity again.
#[test]
fn lagging_list_does_not_restore_returned_machines() {
    let mut core = crate::coordination::tests::core();
    core.handle(MonotonicTime(1000), 0, Input::Tick);
    let names: Vec<MachineId> = (0..400).map(|n| MachineId::new(&format!("i-{n:06}"))).collect();
    for some in names.chunks(50) {
        let call = core.store.register(PendingRequest::Return(some.to_vec()), core.now);
        core.handle_cloud_response(call, CloudResponse::Returned);
        core.write_fleet_record();
        while core.fleet.inventory.confirmed_returns.len() > 10 {
            core.fleet.inventory.confirmed_returns.pop_first();
        }
    }
    let listed = |machine: &MachineId| ListedMachine {
        machine: machine.clone(),
        machine_type: "m".into(),
        zone: "a".into(),
        spot: false,
        state: ListedMachineState::Running,
        age_s: 90.0,
    };
    let machines = names.iter().map(listed).collect();
    let page = CloudResponse::Page(crate::protocol::cloud::MachinePage { machines, truncated: false });
    core.handle_list_response(vec![], page);
    assert_eq!(core.fleet.inventory.machines.len(), 0);
}
