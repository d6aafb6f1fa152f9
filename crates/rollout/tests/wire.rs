//! Golden tests of the formats of roll-outs: stored records, settings, roll-out files, and answers
//! of the operators' listener. The files under `tests/wire` hold only external names, so renaming
//! an identifier changes this file but no golden file. The exception is the published schema, which
//! contains type names and doc comments.

use serde::{de::DeserializeOwned, Serialize};
use std::fmt::Debug;
use std::path::PathBuf;
use std::time::Duration;
use tillercleat_rollout::commands::{summary, OperatorRequest};
use tillercleat_rollout::driver::{service_key, LeaderLease, Note, DRIVER_KEY, ROOT, SERVICES};
use tillercleat_rollout::file::*;
use tillercleat_rollout::listen::{route, Routed};
use tillercleat_rollout::metrics::Metrics;
use tillercleat_rollout::ports::Verdict;
use tillercleat_rollout::reconcile::Event;
use tillercleat_rollout::record::*;
use tillercleat_rollout::settings::Settings;
use tillercleat_rollout::units::{JobId, Millis, VersionNumber};

fn golden_path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/wire").join(name)
}

fn write_temporary(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("a temporary file");
    path
}

/// Compares lines with a golden file. If they differ, writes the new text to `CARGO_TARGET_TMPDIR` for
/// inspection and panics with the first difference.
fn assert_golden(name: &str, lines: &[String]) {
    let new = lines.join("\n") + "\n";
    let golden = std::fs::read_to_string(golden_path(name)).unwrap_or_default();
    if new == golden {
        return;
    }
    write_temporary(&format!("rollout-{name}"), &new);
    let differs = golden.lines().zip(new.lines()).position(|(golden, new)| golden != new);
    let at = differs.unwrap_or(golden.lines().count().min(new.lines().count()));
    panic!("{name}:{}: {:?} became {:?}", at + 1, golden.lines().nth(at), new.lines().nth(at));
}

/// Returns the key and stored form of a record, after checking that it reads back as the same record.
fn stored<T: Serialize + DeserializeOwned + PartialEq + Debug>(key: &str, record: &T) -> String {
    let value = serde_json::to_value(record).expect("a value");
    assert_eq!(serde_json::from_value::<T>(value.clone()).expect("a record"), *record);
    format!("{key} {value}")
}

fn job() -> Job {
    Job {
        class: "service".into(),
        team: "plan".into(),
        priority: Priority::High,
        cpus: 1.5,
        gpus: 2.0,
        mem_gb: 3.25,
        image: "routeplan-v2".into(),
        image_gb: 0.5,
        types: Some(vec!["m8".into(), "g2".into()]),
        zone: Some("a".into()),
        spot: true,
    }
}

fn check() -> Check {
    Check {
        kind: CheckKind::Http,
        port: 8080,
        port_step: 1,
        method: "HEAD".into(),
        path: "/health".into(),
        status: vec![200, 204],
        body: Some("well".into()),
        interval_s: 0.5,
        timeout_s: 1.5,
        successes: 3,
        failures_allowed: 4,
    }
}

fn roll_out() -> RollOut {
    let first = Step { replicas: Some(2), share: None, zone: Some("a".into()), bake_s: 60.5, deadline_s: 600.5 };
    let last = Step { replicas: None, share: Some(1.0), zone: None, bake_s: 0.0, deadline_s: 700.0 };
    RollOut {
        service: "routeplan".into(),
        version: "v2".into(),
        replicas: 10,
        group: 2,
        on_failure: OnFailure::Halt,
        max_unavailable: 3,
        max_surplus: 4,
        job: job(),
        check: check(),
        steps: vec![first, last],
    }
}

/// Roll-out in progress with every field set.
fn rollout() -> Rollout {
    let step = |target, zone: Option<&str>| StepPlan {
        target,
        zone: zone.map(String::from),
        bake: Millis(60_500),
        deadline: Millis(600_500),
    };
    Rollout {
        number: 5,
        to: VersionNumber(2),
        steps: vec![step(2, Some("a")), step(10, None)],
        on_failure: OnFailure::Halt,
        floor: 7,
        ceiling: 14,
        initial_replicas: 10,
        step: 1,
        phase: Phase::Baking,
        progress: RolloutProgress::InProgress,
        spent: Millis(1200),
        baked: Millis(700),
        reason: Some("step 1 failed".into()),
    }
}

/// Service record with every field set.
fn service() -> Service {
    let version = |name: &str, job, check| Version { name: name.into(), replicas: 10, group: 2, job, check };
    let plain_job = Job { types: None, zone: None, ..job() };
    let plain_check = Check { body: None, ..check() };
    let member = |id: &str, version, zone: Option<&str>, retiring| Member {
        job: JobId(id.into()),
        version: VersionNumber(version),
        replicas: 2,
        step: 1,
        zone: zone.map(String::from),
        retiring,
    };
    let outcome = |number, progress, reason: Option<&str>| Outcome {
        number,
        version: "v1".into(),
        progress,
        reason: reason.map(String::from),
    };
    Service {
        base: Some(VersionNumber(1)),
        versions: [
            (VersionNumber(1), version("v1", plain_job, plain_check)),
            (VersionNumber(2), version("v2", job(), check())),
        ]
        .into(),
        members: vec![member("wk-9000001", 1, None, true), member("wk-9000002", 2, Some("a"), false)],
        rollout: Some(rollout()),
        past: vec![
            outcome(4, RolloutProgress::Reverted, Some("step 2 failed")),
            outcome(3, RolloutProgress::Completed, None),
        ],
        last_version: VersionNumber(2),
        last_number: 5,
    }
}

#[test]
fn records_keep_their_keys_and_stored_form() {
    let leader_lease = LeaderLease { node: "n1".into(), listen: "127.0.0.1:8090".into(), lease: 7 };
    let joined = |words: &[String]| words.join(" ");
    let progress_values = [
        RolloutProgress::InProgress,
        RolloutProgress::Paused,
        RolloutProgress::Halted,
        RolloutProgress::Completed,
        RolloutProgress::Reverted,
    ];
    let lines = [
        joined(&[ROOT.into(), DRIVER_KEY.into(), SERVICES.into()]),
        stored(DRIVER_KEY, &leader_lease),
        stored(&service_key("routeplan"), &service()),
        stored(&service_key("empty"), &Service::default()),
        joined(&progress_values.map(|progress| stored("", &progress))),
        joined(&[Phase::ScalingUp, Phase::Baking, Phase::Reverting].map(|phase| stored("", &phase))),
        joined(&[OnFailure::Revert, OnFailure::Halt].map(|action| stored("", &action))),
        joined(
            &[Priority::Low, Priority::Normal, Priority::High, Priority::Critical]
                .map(|priority| stored("", &priority)),
        ),
        joined(&[CheckKind::Http, CheckKind::Tcp, CheckKind::Up].map(|kind| stored("", &kind))),
    ];
    assert_golden("records.txt", &lines);
}

#[test]
fn settings_accept_every_key_and_refuse_unknown_keys() {
    let expected = Settings {
        listen: "127.0.0.1:8090".parse().expect("an address"),
        lease_s: 11.5,
        checks: 9,
        connections: 17,
        first_digits: "98".into(),
    };
    assert_eq!(Settings::load(&golden_path("settings.toml")).expect("settings"), expected);
    let text = std::fs::read_to_string(golden_path("settings.toml")).expect("a file");
    for key in text.lines().filter_map(|line| line.split(" = ").next()) {
        let path = write_temporary("rollout-settings-unknown.toml", &format!("{text}{key}x = 1\n"));
        let error = Settings::load(&path).expect_err("an unknown key").to_string();
        assert!(error.contains(&format!("unknown field `{key}x`")), "{error}");
    }
    let minimal = Settings::load(&write_temporary("rollout-settings-least.toml", "listen = \"127.0.0.1:8090\"\n"))
        .expect("settings");
    let defaults = Settings { lease_s: 10.0, checks: 8, connections: 16, first_digits: "9".into(), ..expected };
    assert_eq!(minimal, defaults);
}

#[test]
fn roll_out_files_accept_every_key_and_refuse_unknown_keys() {
    let text = std::fs::read_to_string(golden_path("rollout.toml")).expect("a file");
    assert_eq!(RollOut::from_toml(&text).expect("a roll-out"), roll_out());
    let json = serde_json::to_string(&roll_out()).expect("json");
    assert_eq!(RollOut::from_json(json.as_bytes()).expect("a roll-out"), roll_out());
    for (at, line) in text.lines().enumerate().filter(|(_, line)| line.contains(" = ")) {
        let key = line.split(" = ").next().expect("a key");
        let mut lines: Vec<String> = text.lines().map(String::from).collect();
        lines.insert(at + 1, format!("{key}x = 1"));
        let error = RollOut::from_toml(&lines.join("\n")).expect_err("an unknown key").to_string();
        assert!(error.contains(&format!("unknown field `{key}x`")), "{error}");
    }
    let minimal = std::fs::read_to_string(golden_path("rollout-least.toml")).expect("a file");
    let minimal = RollOut::from_toml(&minimal).expect("a roll-out");
    assert_golden("rollouts.txt", &[json, serde_json::to_string(&minimal).expect("json")]);
}

#[test]
fn operator_routes_and_answers_keep_their_form() {
    let file = serde_json::to_string(&roll_out()).expect("json");
    let command_request = |command| Routed::OperatorRequest(OperatorRequest::Command("routeplan".into(), command));
    let commands = [
        ("", file.as_str(), Command::Start(Box::new(roll_out()))),
        ("/routeplan/pause", "", Command::Pause),
        ("/routeplan/resume", "", Command::Resume),
        ("/routeplan/abort", "", Command::Abort),
        ("/routeplan/revert", "", Command::Revert),
    ];
    for (path, body, command) in commands {
        assert_eq!(route("POST", &format!("/v1/rollouts{path}"), body.as_bytes()), command_request(command), "{path}");
    }
    assert_eq!(route("GET", "/v1/rollouts", b""), Routed::OperatorRequest(OperatorRequest::List));
    assert_eq!(
        route("GET", "/v1/rollouts/routeplan", b""),
        Routed::OperatorRequest(OperatorRequest::Status("routeplan".into()))
    );
    assert_eq!(route("GET", "/metrics", b""), Routed::Metrics);
    let mut lines =
        vec![summary("routeplan", &service()).to_string(), summary("empty", &Service::default()).to_string()];
    for (method, path, body) in [
        ("GET", "/", ""),
        ("GET", "/v1/rollouts/a/pause", ""),
        ("POST", "/v1/rollouts/a/explode", ""),
        ("POST", "/v1/rollouts", "{}"),
        ("POST", "/v1/rollouts", &file.replace("\"group\":2", "\"group\":0").replace("8080", "0")),
    ] {
        let Routed::Immediate(response) = route(method, path, body.as_bytes()) else { panic!("{path}: no answer") };
        lines.push(format!("{method} {path}: {} {}", response.status, response.body));
    }
    assert_golden("operators.txt", &lines);
}

#[test]
fn metrics_keep_their_names_and_labels() {
    // The order of the labels of a counter is not fixed, so each registry gets one label of each counter.
    let metrics_text = |verdict: Verdict, step: Event, end: RolloutProgress| {
        let metrics = Metrics::default();
        metrics.record_check(&verdict, Duration::from_millis(3));
        for event in [step, Event::Ended(end)] {
            metrics.record_note(&Note::Changed { service: "routeplan".into(), number: 5, step: 1, event });
        }
        metrics.text()
    };
    let failed = || Event::StepFailed { step: 1, reason: "late".into() };
    let texts = [
        metrics_text(Verdict::Pass, Event::StepPassed(1), RolloutProgress::Completed),
        metrics_text(Verdict::Fail("500".into()), failed(), RolloutProgress::Reverted),
        metrics_text(Verdict::Unreachable("refused".into()), failed(), RolloutProgress::Halted),
    ];
    let lines: Vec<String> = texts.iter().flat_map(|text| text.lines().map(String::from)).collect();
    assert_golden("metrics.txt", &lines);
}

/// The schema is served to operators. It is generated from type names and doc comments, so changing
/// those changes the schema.
#[test]
fn published_schema_is_unchanged() {
    let Routed::Immediate(response) = route("GET", "/v1/schema", b"") else { panic!("no answer") };
    assert_eq!((response.status, &response.body), (200, &schema()));
    assert_golden("schema.json", &[serde_json::to_string_pretty(&response.body).expect("json")]);
}
