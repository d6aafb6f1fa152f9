//! Probe requests: submissions that repeat a known job, unchanged or malformed, or that controllers
//! must reject. Each probe carries the HTTP status that is expected.

use super::events::ScheduledEvent;
use super::requests::PendingRequest;
use super::SimulatedCluster;
use serde_json::{json, Value};
use tillercleat::coordination::{ClientRequest, Input, Response};
use tillercleat::protocol::users::{JobSpec, MalformedSubmission};
use tillercleat::units::JobId;

/// Maximum number of retries of a probe that gets no final answer.
const MAX_RETRIES: u32 = 60;
/// Delay before a probe is retried (milliseconds).
const RETRY_MS: u64 = 1000;
/// Minimum interval between two probes and its random excess (milliseconds).
const MIN_PAUSE_MS: u64 = 100;
const PAUSE_SPREAD_MS: u64 = 900;

/// Fields that every submission must have.
const REQUIRED_FIELDS: [&str; 17] = [
    "haul",
    "crew",
    "rig",
    "rank",
    "loads",
    "cores",
    "gpus",
    "mem_gb",
    "kit",
    "image_gb",
    "one_zone",
    "apart",
    "driftwood",
    "reckon_s",
    "mark_s",
    "stow_s",
    "ref",
];

/// A submission's request body and the HTTP status that it must be answered with.
#[derive(Debug, Clone)]
pub(super) struct ProbeSubmission {
    id: JobId,
    body: String,
    expected_status: u16,
    retries: u32,
}

impl ProbeSubmission {
    fn new(id: &JobId, body: &Value, expected_status: u16) -> ProbeSubmission {
        ProbeSubmission { id: id.clone(), body: body.to_string(), expected_status, retries: 0 }
    }
}

/// Returns the request body of a submission, including its dependencies.
fn submission_body(spec: &JobSpec) -> Value {
    let mut fields = serde_json::to_value(spec).expect("a job serializes to JSON");
    fields["awaits"] = serde_json::to_value(&spec.dependencies).expect("ids serialize to JSON");
    fields
}

fn without(mut fields: Value, name: &str) -> Value {
    fields.as_object_mut().expect("a submission is an object").remove(name);
    fields
}

fn with(mut fields: Value, name: &str, value: Value) -> Value {
    fields[name] = value;
    fields
}

impl SimulatedCluster {
    /// Creates the next probe and schedules another one unless the time `until` has passed.
    pub(super) fn next_probe(&mut self, until: u64, number: u64) {
        self.create_probe(number);
        if self.now < until {
            let pause = MIN_PAUSE_MS + self.random.below(PAUSE_SPREAD_MS);
            self.schedule(self.now + pause, ScheduledEvent::NextProbe { until, number: number + 1 });
        }
    }

    /// Schedules one probe, derived from an accepted job. `number` selects the kind of probe.
    fn create_probe(&mut self, number: u64) {
        let accepted: Vec<JobId> = self.jobs.iter().filter(|(_, j)| j.accepted).map(|(id, _)| id.clone()).collect();
        if accepted.is_empty() {
            return;
        }
        let known = accepted[self.random.below(accepted.len() as u64) as usize].clone();
        let field = REQUIRED_FIELDS[self.random.below(REQUIRED_FIELDS.len() as u64) as usize];
        let fresh = JobId::new(&format!("wk-9{number:06}"));
        let fields = submission_body(&self.jobs[&known].spec);
        let probe = match number % 5 {
            0 => ProbeSubmission::new(&known, &fields, 200),
            1 => {
                // A repeated submission of a known job is acknowledged even if its fields are invalid.
                let fields = with(without(fields, field), "ref", known.as_str().into());
                ProbeSubmission::new(&known, &with(fields, "loads", 0.into()), 200)
            }
            2 => ProbeSubmission::new(&fresh, &without(with(fields, "ref", fresh.as_str().into()), field), 400),
            3 => {
                let fields = with(with(fields, "ref", fresh.as_str().into()), "awaits", Value::Null);
                let impossible = [("mem_gb", 9000.0.into()), ("hulls", json!([])), ("crew", "x".into())];
                let (name, value) = impossible[self.random.below(impossible.len() as u64) as usize].clone();
                ProbeSubmission::new(&fresh, &with(fields, name, value), 422)
            }
            _ => return self.cancel_done_job(),
        };
        self.schedule(self.now, ScheduledEvent::SendProbe(probe));
    }

    /// Cancels a random job that was reported as done.
    fn cancel_done_job(&mut self) {
        let done: Vec<JobId> = self.jobs.iter().filter(|(_, j)| j.done_reported).map(|(id, _)| id.clone()).collect();
        if !done.is_empty() {
            let job = done[self.random.below(done.len() as u64) as usize].clone();
            self.schedule(self.now, ScheduledEvent::Cancel { job, retries: 0 });
        }
    }

    /// Sends a probe to a random node, without correcting its body.
    pub(super) fn send_probe(&mut self, probe: ProbeSubmission) {
        let node = self.random_node();
        if !self.controllers[node].is_running() {
            return self.retry_probe(probe);
        }
        let request = match JobSpec::parse(probe.body.as_bytes()) {
            Ok(spec) => ClientRequest::Submit(Box::new(spec)),
            Err(MalformedSubmission { id: Some(id), reason }) => ClientRequest::Malformed { id, reason },
            // Without an id, the node's HTTP server answers with 400 by itself.
            Err(MalformedSubmission { id: None, .. }) => return self.check_probe_status(&probe, 400),
        };
        let id = self.requests.new_id();
        let (to, at) = (self.process(node), self.now + self.link_delay());
        self.requests.insert(node, id, PendingRequest::Probe(probe));
        self.schedule(at, ScheduledEvent::DeliverInput { to, input: Input::ClientRequest(id, request) });
    }

    pub(super) fn retry_probe(&mut self, probe: ProbeSubmission) {
        if probe.retries < MAX_RETRIES {
            let probe = ProbeSubmission { retries: probe.retries + 1, ..probe };
            self.schedule(self.now + RETRY_MS, ScheduledEvent::SendProbe(probe));
        }
    }

    pub(super) fn handle_probe_response(&mut self, probe: ProbeSubmission, response: Response) {
        match response {
            Response::Error(refusal) if refusal.http_status() == 503 => self.retry_probe(probe),
            Response::Error(refusal) => self.check_probe_status(&probe, refusal.http_status()),
            Response::Job { status, .. } => self.check_probe_status(&probe, status.http_status()),
            _ => {}
        }
    }

    fn check_probe_status(&mut self, probe: &ProbeSubmission, status: u16) {
        self.statistics.probe_answers += 1;
        let ProbeSubmission { id, body, expected_status, .. } = probe;
        if status != *expected_status {
            let rule = if *expected_status == 200 { "forgotten" } else { "accepted" };
            self.violations.push(format!("{rule}: {id} gets {status}, not {expected_status}: {body}"));
        }
    }
}
