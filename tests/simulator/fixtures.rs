//! Jobs as the tests write them down.

use serde_json::{json, Value};
use tillercleat::protocol::users::JobSpec;
use tillercleat::units::JobId;

/// The id of the job of this number.
pub fn job_id(number: usize) -> JobId {
    JobId::new(&format!("wk-{number:06}"))
}

/// A job of these fields; the required ones that they leave out have the plainest value.
pub fn job_spec(mut fields: Value) -> JobSpec {
    let plain =
        json!({"gpus": 0.0, "one_zone": false, "apart": false, "driftwood": false, "mark_s": 0.0, "stow_s": 0.0});
    let given = fields.as_object_mut().expect("fields of a job");
    for (name, value) in plain.as_object().expect("an object") {
        given.entry(name).or_insert(value.clone());
    }
    JobSpec::parse(fields.to_string().as_bytes()).expect("a valid job")
}
