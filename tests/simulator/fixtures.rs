//! Builders for the ids and specifications of test jobs.

use serde_json::{json, Value};
use tillercleat::protocol::users::JobSpec;
use tillercleat::units::JobId;

/// Returns the id of the job with this number.
pub fn job_id(number: usize) -> JobId {
    JobId::new(&format!("wk-{number:06}"))
}

/// Parses a job from its submission fields. Some required fields default to zero or false.
pub fn job_spec(mut fields: Value) -> JobSpec {
    let defaults =
        json!({"gpus": 0.0, "one_zone": false, "apart": false, "driftwood": false, "mark_s": 0.0, "stow_s": 0.0});
    let given = fields.as_object_mut().expect("fields of a job");
    for (name, value) in defaults.as_object().expect("an object") {
        given.entry(name).or_insert(value.clone());
    }
    JobSpec::parse(fields.to_string().as_bytes()).expect("a valid job")
}
