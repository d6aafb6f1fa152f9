//! Golden tests of the requests to the cloud and its responses.

use super::{assert_golden, round_trip_json, text};
use serde_json::from_str;
use tillercleat::protocol::cloud::*;
use tillercleat::units::MachineId;

#[test]
fn cloud_messages_keep_their_wire_format() {
    let machine = MachineId::new("i-000001");
    let rent = RentRequest {
        request_id: "r-27".into(),
        machine_type: "m8".into(),
        zone: "a".into(),
        spot: true,
        count: MAX_MACHINES_PER_RENT,
    };
    let kind = MachineType {
        name: "m8".into(),
        cpus: 8.0,
        gpus: 2.0,
        mem_gb: 32.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.5,
        price: 1.25,
        spot_price: Some(0.4),
        provisioning_s: 5.0,
        zones: vec!["a".into(), "b".into()],
    };
    let least: MachineType = from_str(r#"{"sku":"m1","cores":1.0,"mem_gb":2.0,"hourly":0.5}"#).expect("a type");
    let listed = |state| ListedMachine {
        machine: machine.clone(),
        machine_type: "m8".into(),
        zone: "a".into(),
        spot: true,
        state,
        age_s: 12.5,
    };
    let machines =
        [ListedMachineState::Booting, ListedMachineState::Running, ListedMachineState::Failed].map(listed).to_vec();
    let page = r#"{"decks":[{"ref":"i-1","hull":"m8","berth":"a","trim":"failed"}]}"#;
    let bare: MachinePage = from_str(page).expect("a page");
    let lines = [
        text(&rent),
        round_trip_json(&MachineIds { machines: vec![machine.clone(), MachineId::new("i-000002")] }),
        round_trip_json(&Catalog { types: vec![kind, least] }),
        round_trip_json(&MachinePage { machines, truncated: true }),
        round_trip_json(&bare),
        format!("{MAX_MACHINES_PER_RENT} {MAX_MACHINES_PER_RETURN} {MAX_MACHINES_PER_PAGE}"),
    ];
    assert_golden("cloud.txt", &lines);
}
