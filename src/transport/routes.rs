//! What the requests of users and workers ask for, and how replies are written.

use super::events::Asked;
use super::http::{Connection, HttpError};
use crate::coordination::{ClientRequest, Response};
use crate::protocol::users::{is_valid_job_id, JobSpec, JobStatus, Malformed};
use crate::protocol::workers::{Heartbeat, HeartbeatResponse, Redirect};
use crate::units::JobId;
use serde::Serialize;
use std::time::Duration;

/// Workers report here; everything else is asked by users.
const REPORTS: &str = "/hello";

/// What a request asks for, or the answer it gets at once.
pub enum Routed {
    ClientRequest(Asked),
    Answer(u16, String),
}

fn problem(status: u16, reason: &str) -> Routed {
    Routed::Answer(status, serde_json::json!({ "error": reason }).to_string())
}

/// Reads a request.
pub fn route(method: &str, target: &str, body: &[u8]) -> Routed {
    let path = target.split('?').next().unwrap_or("");
    let allow = |wanted: &str, routed: &dyn Fn() -> Routed| {
        if method == wanted {
            routed()
        } else {
            problem(405, "method not allowed")
        }
    };
    match path {
        "/up" => return allow("GET", &|| Routed::ClientRequest(Asked::User(ClientRequest::Health))),
        REPORTS => {
            return allow("POST", &|| match serde_json::from_slice::<Heartbeat>(body) {
                Ok(heartbeat) => Routed::ClientRequest(Asked::Heartbeat(Box::new(heartbeat))),
                Err(error) => {
                    tracing::warn!("a report makes no sense: {error}");
                    problem(400, "not a report")
                }
            })
        }
        "/v2/runs" => {
            return allow("POST", &|| match JobSpec::parse(body) {
                Ok(spec) => Routed::ClientRequest(Asked::User(ClientRequest::Submit(Box::new(spec)))),
                Err(Malformed { id: Some(id), reason }) => {
                    Routed::ClientRequest(Asked::User(ClientRequest::Malformed { id, reason }))
                }
                Err(Malformed { id: None, reason }) => problem(400, &reason),
            })
        }
        _ => {}
    }
    let Some(rest) = path.strip_prefix("/v2/runs/") else { return problem(404, "no such path") };
    let (id, cancel) = match rest.split_once('/') {
        None => (rest, false),
        Some((id, "withdraw")) => (id, true),
        Some(_) => return problem(404, "no such path"),
    };
    let known = is_valid_job_id(id);
    allow(if cancel { "POST" } else { "GET" }, &|| match (known, cancel) {
        (false, true) => problem(400, "not a job id"),
        (false, false) => problem(404, "no such job"),
        (true, true) => Routed::ClientRequest(Asked::User(ClientRequest::Cancel(JobId::new(id)))),
        (true, false) => Routed::ClientRequest(Asked::User(ClientRequest::Query(JobId::new(id)))),
    })
}

fn json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

/// Status, body and `Retry-After` of a reply.
pub fn render(response: &Response) -> (u16, String, Option<u32>) {
    match response {
        Response::Healthy => (200, "{}".into(), None),
        Response::Job { status, id, state, progress } => {
            let (done, running) = progress.map(|tasks| (tasks.done, tasks.running)).unzip();
            (status.http_status(), json(&JobStatus { id, state: *state, done, running }), None)
        }
        Response::Error(refusal) => {
            let body = serde_json::json!({ "error": refusal.to_string() }).to_string();
            (refusal.http_status(), body, refusal.retry_after_s())
        }
        Response::Commands { token, commands } => (200, json(&HeartbeatResponse { token: *token, commands }), None),
        Response::Redirect(node) => (421, json(&Redirect { report_to: node.as_ref().map(|n| n.as_str()) }), None),
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        _ => "Service Unavailable",
    }
}

/// True for a request that only workers make.
pub fn of_worker(target: &str) -> bool {
    target.split('?').next() == Some(REPORTS)
}

/// Writes a whole response; with `close` the connection ends after it.
pub fn write(
    connection: &mut Connection,
    status: u16,
    body: &str,
    retry: Option<u32>,
    close: bool,
    within: Duration,
) -> Result<(), HttpError> {
    let retry = retry.map(|s| format!("Retry-After: {s}\r\n")).unwrap_or_default();
    let close = if close { "Connection: close\r\n" } else { "" };
    let text = format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: application/json\r\n{retry}{close}Content-Length: {}\r\n\r\n{body}",
        reason(status),
        body.len()
    );
    connection.write(text.as_bytes(), within)
}
