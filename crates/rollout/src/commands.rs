//! Handles operators' requests on any controller. A command is one conditional
//! write of the service's record; the driver learns of it by watching the record.

use crate::driver::{service_key, LeaderLease, DRIVER_KEY, SERVICES};
use crate::ports::{Answer, Call, Commit};
use crate::record::{Command, Phase, RolloutProgress, Service};
use crate::units::{CallId, RequestId, Revision};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// Maximum number of retries of a command whose conditional write conflicts with another change of the record.
const MAX_CONFLICT_RETRIES: u32 = 6;

/// A request of an operator.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorRequest {
    /// All services, without their members.
    List,
    /// One service by name, with the leader lease if there is one.
    Status(String),
    /// A command on the service of this name.
    Command(String, Command),
}

/// The response to an operator's request.
#[derive(Debug, Clone, PartialEq)]
pub struct OperatorResponse {
    /// HTTP status code.
    pub status: u16,
    /// JSON body; an object with the key `error` if the request failed.
    pub body: Value,
    /// Seconds after which the client may retry; set only if the request was not carried out.
    pub retry_after_s: Option<u32>,
}

impl OperatorResponse {
    /// Returns an error response that does not ask the client to retry.
    pub fn error(status: u16, why: &str) -> OperatorResponse {
        OperatorResponse { status, body: json!({ "error": why }), retry_after_s: None }
    }

    /// Returns a 503 response: the request was not carried out and may be retried.
    pub fn unavailable(why: &str) -> OperatorResponse {
        OperatorResponse { status: 503, body: json!({ "error": why }), retry_after_s: Some(1) }
    }
}

/// A request that waits for the answer to a call.
#[derive(Debug)]
struct PendingRequest {
    request_id: RequestId,
    request: OperatorRequest,
    retries: u32,
    /// New record that the pending call writes, if it is a write.
    new_record: Option<Service>,
    /// Summaries of the services listed so far.
    rows: Vec<Value>,
    /// Record of the service whose status was asked for, while the leader lease is read.
    service: Option<Service>,
}

/// Effects of one input: calls to make, and responses to send.
#[derive(Debug, Default)]
pub struct HandlerOutput {
    /// Calls to make; each answer goes to [`CommandHandler::answer`].
    pub calls: Vec<(CallId, Call)>,
    /// Responses to requests handled by this or an earlier input, each sent once.
    pub responses: Vec<(RequestId, OperatorResponse)>,
}

/// State machine that handles the requests of one controller's operators.
#[derive(Debug)]
pub struct CommandHandler {
    max_record_bytes: usize,
    last_call: u64,
    pending: BTreeMap<CallId, PendingRequest>,
}

impl CommandHandler {
    /// A handler that rejects commands whose record would exceed `max_record_bytes`.
    pub fn new(max_record_bytes: usize) -> CommandHandler {
        CommandHandler { max_record_bytes, last_call: 0, pending: BTreeMap::new() }
    }

    /// Starts to handle a request by reading the records that it concerns.
    pub fn handle_request(&mut self, request_id: RequestId, request: OperatorRequest) -> HandlerOutput {
        let call = match &request {
            OperatorRequest::List => Call::List { prefix: SERVICES.into(), after: None },
            OperatorRequest::Status(name) | OperatorRequest::Command(name, _) => Call::Get { key: service_key(name) },
        };
        let mut output = HandlerOutput::default();
        let pending = PendingRequest { request_id, request, retries: 0, new_record: None, rows: vec![], service: None };
        self.call(call, pending, &mut output);
        output
    }

    fn call(&mut self, call: Call, pending: PendingRequest, output: &mut HandlerOutput) {
        self.last_call += 1;
        let id = CallId(self.last_call);
        self.pending.insert(id, pending);
        output.calls.push((id, call));
    }

    /// Handles the answer to a call; does nothing if the call is not pending.
    pub fn answer(&mut self, id: CallId, answer: Answer) -> HandlerOutput {
        let mut output = HandlerOutput::default();
        let Some(pending) = self.pending.remove(&id) else { return output };
        let request_id = pending.request_id;
        let response = match (&pending.request, pending.new_record.is_some()) {
            (_, true) => self.handle_commit(pending, answer, &mut output),
            (OperatorRequest::List, _) => self.handle_page(pending, answer, &mut output),
            (OperatorRequest::Status(_), _) => self.handle_status(pending, answer, &mut output),
            (OperatorRequest::Command(..), _) => self.apply_command(pending, answer, &mut output),
        };
        output.responses.extend(response.map(|response| (request_id, response)));
        output
    }

    fn handle_page(
        &mut self,
        mut pending: PendingRequest,
        answer: Answer,
        output: &mut HandlerOutput,
    ) -> Option<OperatorResponse> {
        let Answer::Page { items, more, .. } = answer else { return Some(state_service_unreachable()) };
        let after = items.last().map(|item| item.key.clone());
        for item in items {
            let name = item.key.strip_prefix(SERVICES).unwrap_or_default().to_string();
            if let Ok(service) = serde_json::from_value::<Service>(item.value) {
                let mut row = summary(&name, &service);
                row.as_object_mut().map(|row| row.remove("members"));
                pending.rows.push(row);
            }
        }
        if more && after.is_some() {
            self.call(Call::List { prefix: SERVICES.into(), after }, pending, output);
            return None;
        }
        Some(OperatorResponse { status: 200, body: json!({ "services": pending.rows }), retry_after_s: None })
    }

    fn handle_status(
        &mut self,
        mut pending: PendingRequest,
        answer: Answer,
        output: &mut HandlerOutput,
    ) -> Option<OperatorResponse> {
        let OperatorRequest::Status(name) = &pending.request else { return None };
        if let Some(service) = &pending.service {
            let mut body = summary(name, service);
            if let Answer::Found(item) = answer {
                if let Ok(leader_lease) = serde_json::from_value::<LeaderLease>(item.value) {
                    body["driver"] = json!({ "node": leader_lease.node, "listen": leader_lease.listen });
                }
            }
            return Some(OperatorResponse { status: 200, body, retry_after_s: None });
        }
        match answer {
            Answer::Missing => Some(OperatorResponse::error(404, "no such service")),
            Answer::Found(item) => match serde_json::from_value::<Service>(item.value) {
                Err(error) => Some(OperatorResponse::error(500, &format!("the record can't be read: {error}"))),
                Ok(service) => {
                    pending.service = Some(service);
                    self.call(Call::Get { key: DRIVER_KEY.into() }, pending, output);
                    None
                }
            },
            _ => Some(state_service_unreachable()),
        }
    }

    /// Applies the command to the record that was read, and writes the new record if it has not
    /// changed since.
    fn apply_command(
        &mut self,
        mut pending: PendingRequest,
        answer: Answer,
        output: &mut HandlerOutput,
    ) -> Option<OperatorResponse> {
        let OperatorRequest::Command(name, command) = &pending.request else { return None };
        let (service, revision) = match answer {
            Answer::Found(item) => match serde_json::from_value::<Service>(item.value) {
                Ok(service) => (service, item.revision),
                Err(error) => return Some(OperatorResponse::error(500, &format!("the record can't be read: {error}"))),
            },
            Answer::Missing if matches!(command, Command::Start(_)) => (Service::default(), Revision(0)),
            Answer::Missing => return Some(OperatorResponse::error(404, "no such service")),
            _ => return Some(state_service_unreachable()),
        };
        let new_record = match service.command(command, self.max_record_bytes) {
            Ok(record) => record,
            Err(refusal) => return Some(OperatorResponse::error(409, &refusal.to_string())),
        };
        let key = service_key(name);
        let value = serde_json::to_value(&new_record).unwrap_or_default();
        let commit = Commit { conditions: vec![(key.clone(), revision)], key, value, lease: None };
        pending.new_record = Some(new_record);
        self.call(Call::Commit(commit), pending, output);
        None
    }

    fn handle_commit(
        &mut self,
        mut pending: PendingRequest,
        answer: Answer,
        output: &mut HandlerOutput,
    ) -> Option<OperatorResponse> {
        let (OperatorRequest::Command(name, _), Some(service)) = (&pending.request, pending.new_record.take()) else {
            return None;
        };
        match answer {
            Answer::Committed(_) => {
                Some(OperatorResponse { status: 200, body: summary(name, &service), retry_after_s: None })
            }
            // The record has changed since it was read: apply the command to the current one.
            Answer::Conflict if pending.retries < MAX_CONFLICT_RETRIES => {
                pending.retries += 1;
                let key = service_key(name);
                self.call(Call::Get { key }, pending, output);
                None
            }
            Answer::Conflict => Some(OperatorResponse::unavailable("the record changes all the time")),
            Answer::Refused => Some(state_service_unreachable()),
            _ => Some(OperatorResponse::error(504, "it is not known whether this was carried out: ask for the status")),
        }
    }
}

fn state_service_unreachable() -> OperatorResponse {
    OperatorResponse::unavailable("the state service can't be reached: nothing was changed")
}

/// Returns a service as it is shown to operators: its state, members, roll-out and past roll-outs.
pub fn summary(name: &str, service: &Service) -> Value {
    let seconds = |ms: crate::units::Millis| ms.0 as f64 / 1000.0;
    let mut by_version: BTreeMap<&str, u32> = BTreeMap::new();
    for member in service.active_members() {
        *by_version.entry(service.version_name(member.version)).or_default() += member.replicas;
    }
    let rollout = service.rollout.as_ref().map(|r| {
        let plan = r.plan();
        json!({
            "number": r.number,
            "to": service.version_name(r.to),
            "from": service.base.filter(|b| *b != r.to).map(|b| service.version_name(b)),
            "course": r.progress,
            "way": match r.phase { Phase::ScalingUp => "raising", Phase::Baking => "baking", Phase::Reverting => "reverting" },
            "step": r.step + 1,
            "steps": r.steps.len(),
            "target": plan.map(|p| p.target),
            "zone": plan.and_then(|p| p.zone.clone()),
            "spent_s": seconds(r.spent),
            "deadline_s": plan.map(|p| seconds(p.deadline)),
            "baked_s": seconds(r.baked),
            "bake_s": plan.map(|p| seconds(p.bake)),
            "never_below": r.floor,
            "never_above": r.ceiling,
            "reason": r.reason,
        })
    });
    let members: Vec<Value> = service
        .members
        .iter()
        .map(|m| {
            json!({"job": m.job, "version": service.version_name(m.version), "replicas": m.replicas,
                "step": m.step + 1, "zone": m.zone, "retiring": m.retiring})
        })
        .collect();
    let state = service.rollout.as_ref().map_or("none", |r| match (r.progress, r.phase) {
        (RolloutProgress::InProgress, Phase::Reverting) => "reverting",
        (RolloutProgress::InProgress, _) => "rolling",
        (RolloutProgress::Paused, _) => "paused",
        (RolloutProgress::Halted, _) => "halted",
        (RolloutProgress::Completed, _) => "done",
        (RolloutProgress::Reverted, _) => "reverted",
    });
    json!({"service": name, "state": state, "versions": by_version, "rollout": rollout, "members": members,
        "past": service.past})
}
