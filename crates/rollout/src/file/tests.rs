use super::*;
use proptest::prelude::*;

const VALID: &str = r#"
    service = "routeplan"
    version = "v2"
    replicas = 10
    group = 2
    max_unavailable = 0
    max_surplus = 2
    job = { class = "service", team = "plan", cpus = 2.0, mem_gb = 4.0, image = "routeplan-v2" }
    check = { kind = "http", port = 8080, path = "/health" }
    [[step]]
    replicas = 1
    bake_s = 60
    deadline_s = 600
    [[step]]
    share = 0.5
    deadline_s = 600
    [[step]]
    share = 1.0
    deadline_s = 600
"#;

#[test]
fn step_targets_are_rounded_up_to_whole_groups() {
    assert_eq!(RollOut::from_toml(VALID).unwrap().targets(), [2, 6, 10]);
}

/// A misspelt bound must not silently take its default: unknown keys are
/// rejected, and every problem names its field.
#[test]
fn problems_name_their_fields() {
    let problems_after = |from: &str, to: &str| {
        assert!(VALID.contains(from), "{from}");
        let problems = RollOut::from_toml(&VALID.replace(from, to)).unwrap_err();
        problems.to_string()
    };
    assert!(problems_after("max_surplus = 2", "max_surpluss = 2").contains("max_surpluss"));
    assert!(problems_after("max_surplus = 2", "max_surplus = 1").contains("max_surplus: this or"));
    assert!(problems_after("port = 8080", "port = 0").contains("check.port"));
    assert!(problems_after("bake_s = 60", "bake_s = 600").contains("step[0].deadline_s"));
    assert!(problems_after("bake_s = 60", "bake_s = nan").contains("step[0].bake_s"));
    assert!(problems_after("share = 1.0", "share = 0.9\nzone = \"\"").contains("step[2].zone"));
    assert!(problems_after("share = 1.0", "replicas = 8").contains("step: the last one"));
    assert!(problems_after("share = 0.5", "share = 0.1").contains("step[1]: must bring out more"));
    assert!(problems_after("cpus = 2.0", "cpus = inf").contains("job.cpus"));
    assert!(problems_after("\"routeplan\"", "\"../x\"").contains("service"));
    assert!(problems_after("version = \"v2\"", "version = 2").starts_with("line 3"));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(14), failure_persistence: None, ..Default::default() })]
    /// For arbitrary numbers, a file is either rejected or sound: its targets rise
    /// to all replicas, and its bounds allow at least one group to be replaced.
    #[test]
    fn an_accepted_file_is_sound(
        replicas in prop_oneof![0u32..20, any::<u32>()],
        group in prop_oneof![0u32..6, any::<u32>()],
        bounds in (0u32..8, 0u32..8),
        numbers in (any::<f64>(), any::<f64>(), any::<u16>(), any::<u16>()),
        steps in proptest::collection::vec((proptest::option::of(0u32..20), proptest::option::of(-0.5f64..1.5)), 0..5),
    ) {
        let mut file = RollOut::from_toml(VALID).unwrap();
        (file.replicas, file.group) = (replicas, group);
        (file.max_unavailable, file.max_surplus) = bounds;
        (file.check.port, file.check.port_step) = (numbers.2, numbers.3);
        let step = |(replicas, share)| Step { replicas, share, zone: None, bake_s: numbers.0, deadline_s: numbers.1 };
        file.steps = steps.into_iter().map(step).chain([Step { replicas: None, share: Some(1.0), zone: None, bake_s: 1.0, deadline_s: 2.0 }]).collect();
        let text = serde_json::to_vec(&file).unwrap();
        if let Ok(file) = RollOut::from_json(&text) {
            let targets = file.targets();
            prop_assert!(targets.windows(2).all(|pair| pair[0] < pair[1]));
            prop_assert!(targets.iter().all(|t| t % file.group == 0 || *t == file.replicas));
            prop_assert_eq!(targets.last(), Some(&file.replicas));
            prop_assert!(file.max_surplus >= file.group || file.max_unavailable >= file.group);
            let last_port = u32::from(file.check.port) + u32::from(file.check.port_step) * (file.group - 1);
            prop_assert!(last_port <= 65_535);
        }
    }

    #[test]
    fn parsing_arbitrary_text_never_panics(text in ".{0,200}") {
        let _ = (RollOut::from_toml(&text), RollOut::from_json(text.as_bytes()));
    }
}

#[test]
fn schema_contains_fields_of_every_type() {
    let text = schema().to_string();
    for field in ["service", "max_surplus", "on_failure", "failures_allowed", "bake_s", "spot"] {
        assert!(text.contains(field), "{field}");
    }
}
