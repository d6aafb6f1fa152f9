use super::*;
use proptest::prelude::*;

fn task() -> impl Strategy<Value = TaskRecord> {
    prop_oneof![
        (0u64..9).prop_map(|a| TaskRecord::Pending(Attempt(a))),
        (1u64..9, 0u32..999).prop_map(|(a, m)| TaskRecord::Placed(Attempt(a), MachineId::new(&format!("i-{m:06}")))),
        Just(TaskRecord::Done),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(12), failure_persistence: None, ..Default::default() })]
    #[test]
    fn slices_round_trip_through_both_stored_forms(tasks in proptest::collection::vec(task(), 0..100)) {
        let slice = SliceRecord { tasks };
        let text = serde_json::to_string(&slice).unwrap();
        prop_assert_eq!(serde_json::from_str::<SliceRecord>(&text).unwrap(), slice.clone());
        prop_assert_eq!(serde_json::from_value::<SliceRecord>(slice.compact().unwrap()).unwrap(), slice);
    }

    #[test]
    fn parsing_malformed_slices_does_not_panic(n in 0usize..200_000, a in any::<usize>(), b in any::<usize>(), z in ".{0,40}") {
        let text = format!(r#"{{"n":{n},"d":[[{a},{b}]],"t":[[{b},1,null]]}}"#);
        let _ = serde_json::from_str::<SliceRecord>(&text);
        let text = serde_json::json!({"n": n % 500, "z": format!("{z} {a}:")});
        let _ = serde_json::from_value::<SliceRecord>(text);
    }
}
