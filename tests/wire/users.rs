//! Golden tests of users' submissions and the responses to them.

use super::{assert_golden, path_of, round_trip_json, text};
use serde_json::{json, Value};
use tillercleat::protocol::users::{JobKind, JobSpec, JobState, JobStatus, Priority};
use tillercleat::units::JobId;

/// A job with every field set.
pub fn job_spec() -> JobSpec {
    JobSpec {
        id: JobId::new("wk-000412"),
        class: "plans".into(),
        team: "blue".into(),
        kind: JobKind::Gang,
        priority: Priority::High,
        task_count: 40,
        cpus: 1.5,
        gpus: 2.0,
        mem_gb: 3.25,
        image: "img-a".into(),
        image_gb: 0.5,
        types: Some(vec!["m8".into(), "g2".into()]),
        zone: Some("a".into()),
        one_zone: true,
        apart: true,
        spot_allowed: true,
        estimated_run_s: 60.0,
        checkpoint_interval_s: 5.0,
        checkpoint_save_s: 1.0,
        deadline_s: Some(600.0),
        dependencies: vec![],
    }
}

/// JSON of a submission of `job_spec` with dependencies.
fn submission() -> Value {
    serde_json::from_str(&std::fs::read_to_string(path_of("submission.json")).expect("a file")).expect("json")
}

#[test]
fn user_messages_keep_their_wire_format() {
    let parsed = JobSpec::parse(submission().to_string().as_bytes()).expect("a submission");
    let dependencies = vec![JobId::new("wk-000001"), JobId::new("wk-000002")];
    assert_eq!(parsed, JobSpec { dependencies, ..job_spec() });
    let kinds = [JobKind::Array, JobKind::Service, JobKind::Gang];
    let priorities = [Priority::Low, Priority::Normal, Priority::High, Priority::Critical];
    let states = [JobState::Queued, JobState::Running, JobState::Done, JobState::Cancelled];
    let id = &job_spec().id;
    let counted = JobStatus { id, state: JobState::Running, done: Some(3), running: Some(4) };
    let mut lines =
        vec![round_trip_json(&parsed), round_trip_json(&kinds), round_trip_json(&priorities), text(&counted)];
    lines.extend(states.map(|state| text(&JobStatus { id, state, done: None, running: None })));
    assert_golden("users.txt", &lines);
}

/// Invalid submissions are refused with the same error texts as before.
#[test]
fn malformed_submissions_get_the_same_reasons() {
    let whole = submission();
    let fields: Vec<String> = whole.as_object().expect("an object").keys().cloned().collect();
    let mut lines = vec![];
    let mut tried = |what: String, body: &str| {
        lines.push(match JobSpec::parse(body.as_bytes()) {
            Ok(spec) => format!("{what}: {}", text(&spec)),
            Err(malformed) => {
                format!(
                    "{what}: refused, {}: {}",
                    malformed.id.map_or("-".into(), |id| id.to_string()),
                    malformed.reason
                )
            }
        });
    };
    for field in &fields {
        let mut without = whole.clone();
        without.as_object_mut().expect("an object").remove(field);
        tried(format!("without {field}"), &without.to_string());
        for value in [json!(null), json!(-1), json!(""), json!("x"), json!(["x"]), json!(1e9)] {
            let mut with = whole.clone();
            with[field] = value.clone();
            tried(format!("{field} {value}"), &with.to_string());
        }
    }
    for body in ["", "{}", "[]", " \n[1]", "{\"ref\":\"wk-1\"}", "{\"ref\":\"wk-1\",\"ref\":\"wk-2\"}", "{\"ref\""] {
        tried(body.escape_default().to_string(), body);
    }
    let mut long = whole;
    long["rig"] = "é".repeat(300).into();
    tried("a long rig".into(), &long.to_string());
    assert_golden("refused.txt", &lines);
}
