//! Operators' commands, taken by any controller: each is one conditional write
//! of the service's record. Whoever drives learns of it from the record.

use crate::driver::{service_key, LeaderLease, DRIVER_KEY, SERVICES};
use crate::ports::{Answer, Call, Commit};
use crate::record::{Command, Phase, RolloutProgress, Service};
use crate::units::{CallId, RequestId, Revision};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// Tries of a command that meets other changes of its record.
const TRIES: u32 = 6;

/// What an operator asks.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorRequest {
    /// All services, without their members.
    List,
    /// One service by name, with its driver's observations where known.
    Status(String),
    /// A command on the service of this name.
    Command(String, Command),
}

/// What an operator is told.
#[derive(Debug, Clone, PartialEq)]
pub struct OperatorResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The JSON body.
    pub body: Value,
    /// Seconds after which to ask again, if it may be different then.
    pub retry_after_s: Option<u32>,
}

impl OperatorResponse {
    /// A final refusal, with its HTTP status and the reason.
    pub fn problem(status: u16, why: &str) -> OperatorResponse {
        OperatorResponse { status, body: json!({ "error": why }), retry_after_s: None }
    }

    /// Not carried out, but may be later.
    pub fn later(why: &str) -> OperatorResponse {
        OperatorResponse { status: 503, body: json!({ "error": why }), retry_after_s: Some(1) }
    }
}

#[derive(Debug)]
struct Waiting {
    request_id: RequestId,
    request: OperatorRequest,
    tries: u32,
    /// The record that was written, if one was.
    written: Option<Service>,
    /// Rows of a list so far.
    rows: Vec<Value>,
    /// The service's record, while its driver is asked for.
    found: Option<Service>,
}

/// What comes of an input: calls to make, and replies.
#[derive(Debug, Default)]
pub struct HandlerOutput {
    /// Calls to make; each answer goes to [`CommandHandler::answer`].
    pub calls: Vec<(CallId, Call)>,
    /// Responses to requests taken earlier, each sent once.
    pub replies: Vec<(RequestId, OperatorResponse)>,
}

/// The commands of one controller's operators.
#[derive(Debug)]
pub struct CommandHandler {
    value_bytes: usize,
    last_call: u64,
    waiting: BTreeMap<CallId, Waiting>,
}

impl CommandHandler {
    /// `value_bytes`: the most bytes of a record.
    pub fn new(value_bytes: usize) -> CommandHandler {
        CommandHandler { value_bytes, last_call: 0, waiting: BTreeMap::new() }
    }

    /// Takes a request.
    pub fn handle_request(&mut self, request_id: RequestId, request: OperatorRequest) -> HandlerOutput {
        let call = match &request {
            OperatorRequest::List => Call::List { prefix: SERVICES.into(), after: None },
            OperatorRequest::Status(name) | OperatorRequest::Command(name, _) => Call::Get { key: service_key(name) },
        };
        let mut output = HandlerOutput::default();
        let waiting = Waiting { request_id, request, tries: 0, written: None, rows: vec![], found: None };
        self.call(call, waiting, &mut output);
        output
    }

    fn call(&mut self, call: Call, waiting: Waiting, output: &mut HandlerOutput) {
        self.last_call += 1;
        let id = CallId(self.last_call);
        self.waiting.insert(id, waiting);
        output.calls.push((id, call));
    }

    /// Takes in the answer to a call.
    pub fn answer(&mut self, id: CallId, answer: Answer) -> HandlerOutput {
        let mut output = HandlerOutput::default();
        let Some(waiting) = self.waiting.remove(&id) else { return output };
        let request_id = waiting.request_id;
        let reply = match (&waiting.request, waiting.written.is_some()) {
            (_, true) => self.written(waiting, answer, &mut output),
            (OperatorRequest::List, _) => self.listed(waiting, answer, &mut output),
            (OperatorRequest::Status(_), _) => self.status(waiting, answer, &mut output),
            (OperatorRequest::Command(..), _) => self.read(waiting, answer, &mut output),
        };
        output.replies.extend(reply.map(|reply| (request_id, reply)));
        output
    }

    fn listed(&mut self, mut waiting: Waiting, answer: Answer, output: &mut HandlerOutput) -> Option<OperatorResponse> {
        let Answer::Page { items, more, .. } = answer else { return Some(unreachable()) };
        let after = items.last().map(|item| item.key.clone());
        for item in items {
            let name = item.key.strip_prefix(SERVICES).unwrap_or_default().to_string();
            if let Ok(service) = serde_json::from_value::<Service>(item.value) {
                let mut row = summary(&name, &service);
                row.as_object_mut().map(|row| row.remove("members"));
                waiting.rows.push(row);
            }
        }
        if more && after.is_some() {
            self.call(Call::List { prefix: SERVICES.into(), after }, waiting, output);
            return None;
        }
        Some(OperatorResponse { status: 200, body: json!({ "services": waiting.rows }), retry_after_s: None })
    }

    fn status(&mut self, mut waiting: Waiting, answer: Answer, output: &mut HandlerOutput) -> Option<OperatorResponse> {
        let OperatorRequest::Status(name) = &waiting.request else { return None };
        if let Some(service) = &waiting.found {
            let mut body = summary(name, service);
            if let Answer::Found(item) = answer {
                if let Ok(claim) = serde_json::from_value::<LeaderLease>(item.value) {
                    body["driver"] = json!({ "node": claim.node, "listen": claim.listen });
                }
            }
            return Some(OperatorResponse { status: 200, body, retry_after_s: None });
        }
        match answer {
            Answer::Missing => Some(OperatorResponse::problem(404, "no such service")),
            Answer::Found(item) => match serde_json::from_value::<Service>(item.value) {
                Err(error) => Some(OperatorResponse::problem(500, &format!("the record can't be read: {error}"))),
                Ok(service) => {
                    waiting.found = Some(service);
                    self.call(Call::Get { key: DRIVER_KEY.into() }, waiting, output);
                    None
                }
            },
            _ => Some(unreachable()),
        }
    }

    /// The record was read: the command is applied to it and written.
    fn read(&mut self, mut waiting: Waiting, answer: Answer, output: &mut HandlerOutput) -> Option<OperatorResponse> {
        let OperatorRequest::Command(name, command) = &waiting.request else { return None };
        let (service, stamp) = match answer {
            Answer::Found(item) => match serde_json::from_value::<Service>(item.value) {
                Ok(service) => (service, item.revision),
                Err(error) => {
                    return Some(OperatorResponse::problem(500, &format!("the record can't be read: {error}")))
                }
            },
            Answer::Missing if matches!(command, Command::Start(_)) => (Service::default(), Revision(0)),
            Answer::Missing => return Some(OperatorResponse::problem(404, "no such service")),
            _ => return Some(unreachable()),
        };
        let next = match service.command(command, self.value_bytes) {
            Ok(next) => next,
            Err(refusal) => return Some(OperatorResponse::problem(409, &refusal.to_string())),
        };
        let key = service_key(name);
        let value = serde_json::to_value(&next).unwrap_or_default();
        let commit = Commit { conditions: vec![(key.clone(), stamp)], key, value, lease: None };
        waiting.written = Some(next);
        self.call(Call::Commit(commit), waiting, output);
        None
    }

    fn written(
        &mut self,
        mut waiting: Waiting,
        answer: Answer,
        output: &mut HandlerOutput,
    ) -> Option<OperatorResponse> {
        let (OperatorRequest::Command(name, _), Some(service)) = (&waiting.request, waiting.written.take()) else {
            return None;
        };
        match answer {
            Answer::Committed(_) => {
                Some(OperatorResponse { status: 200, body: summary(name, &service), retry_after_s: None })
            }
            // Somebody changed the record meanwhile: judged anew by what it is now.
            Answer::Conflict if waiting.tries < TRIES => {
                waiting.tries += 1;
                let key = service_key(name);
                self.call(Call::Get { key }, waiting, output);
                None
            }
            Answer::Conflict => Some(OperatorResponse::later("the record changes all the time")),
            Answer::Refused => Some(unreachable()),
            _ => {
                Some(OperatorResponse::problem(504, "it is not known whether this was carried out: ask for the status"))
            }
        }
    }
}

fn unreachable() -> OperatorResponse {
    OperatorResponse::later("the state service can't be reached: nothing was changed")
}

/// A service as operators see it.
pub fn summary(name: &str, service: &Service) -> Value {
    let seconds = |ms: crate::units::Millis| ms.0 as f64 / 1000.0;
    let mut by_version: BTreeMap<&str, u32> = BTreeMap::new();
    for member in service.active_members() {
        *by_version.entry(service.version_name(member.version)).or_default() += member.replicas;
    }
    let rolling = service.rollout.as_ref().map(|r| {
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
    json!({"service": name, "state": state, "versions": by_version, "rollout": rolling, "members": members,
        "past": service.past})
}
