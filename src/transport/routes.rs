//! Parses HTTP requests of users, workers and health checks into requests for the core. Pure functions,
//! called by the connections' threads.

use super::events::IncomingRequest;
use super::responses::HttpResponse;
use crate::coordination::ClientRequest;
use crate::protocol::users::{is_valid_job_id, JobSpec, MalformedSubmission};
use crate::protocol::workers::Heartbeat;
use crate::units::JobId;

/// Path for the heartbeats of workers; all other paths are for users and health checks.
const HEARTBEAT_PATH: &str = "/hello";

const HEALTH_PATH: &str = "/up";

const JOBS_PATH: &str = "/v2/runs";

/// Last segment of the path of a cancellation.
const CANCEL_SEGMENT: &str = "withdraw";

/// How a request is answered.
pub enum Routed {
    /// The core handles the request.
    ForCore(IncomingRequest),
    /// The response is known without the core.
    Immediate(HttpResponse),
}

impl Routed {
    fn client(request: ClientRequest) -> Routed {
        Routed::ForCore(IncomingRequest::Client(request))
    }

    fn error(status: u16, reason: &str) -> Routed {
        Routed::Immediate(HttpResponse::error(status, reason))
    }
}

/// The endpoint of a path. Job ids are not validated.
#[derive(Clone, Copy)]
enum Endpoint<'a> {
    Health,
    Heartbeat,
    Submission,
    Job(&'a str),
    Cancellation(&'a str),
}

impl<'a> Endpoint<'a> {
    /// None if the path is unknown.
    fn from_path(path: &'a str) -> Option<Endpoint<'a>> {
        match path {
            HEALTH_PATH => return Some(Endpoint::Health),
            HEARTBEAT_PATH => return Some(Endpoint::Heartbeat),
            JOBS_PATH => return Some(Endpoint::Submission),
            _ => {}
        }
        let job = path.strip_prefix(JOBS_PATH)?.strip_prefix('/')?;
        match job.split_once('/') {
            None => Some(Endpoint::Job(job)),
            Some((job, CANCEL_SEGMENT)) => Some(Endpoint::Cancellation(job)),
            Some(_) => None,
        }
    }

    /// The only method that the endpoint allows.
    fn method(self) -> &'static str {
        match self {
            Endpoint::Health | Endpoint::Job(_) => "GET",
            Endpoint::Heartbeat | Endpoint::Submission | Endpoint::Cancellation(_) => "POST",
        }
    }
}

fn path_of(target: &str) -> &str {
    target.split_once('?').map_or(target, |(path, _)| path)
}

/// Parses a request. The query string is ignored.
pub fn route(method: &str, target: &str, body: &[u8]) -> Routed {
    let Some(endpoint) = Endpoint::from_path(path_of(target)) else { return Routed::error(404, "no such path") };
    if method != endpoint.method() {
        return Routed::error(405, "method not allowed");
    }
    match endpoint {
        Endpoint::Health => Routed::client(ClientRequest::Health),
        Endpoint::Heartbeat => heartbeat(body),
        Endpoint::Submission => submission(body),
        Endpoint::Job(id) if is_valid_job_id(id) => Routed::client(ClientRequest::Query(JobId::new(id))),
        Endpoint::Job(_) => Routed::error(404, "no such job"),
        Endpoint::Cancellation(id) if is_valid_job_id(id) => Routed::client(ClientRequest::Cancel(JobId::new(id))),
        Endpoint::Cancellation(_) => Routed::error(400, "not a job id"),
    }
}

fn heartbeat(body: &[u8]) -> Routed {
    match serde_json::from_slice::<Heartbeat>(body) {
        Ok(heartbeat) => Routed::ForCore(IncomingRequest::Heartbeat(Box::new(heartbeat))),
        Err(error) => {
            tracing::warn!(%error, "failed to parse a heartbeat");
            Routed::error(400, "not a report")
        }
    }
}

/// Parses a submission. A malformed one is still passed to the core if its job id can be read, since the
/// job may be known.
fn submission(body: &[u8]) -> Routed {
    match JobSpec::parse(body) {
        Ok(spec) => Routed::client(ClientRequest::Submit(Box::new(spec))),
        Err(MalformedSubmission { id: Some(id), reason }) => Routed::client(ClientRequest::Malformed { id, reason }),
        Err(MalformedSubmission { id: None, reason }) => Routed::error(400, &reason),
    }
}

/// True if only workers send requests to this target.
pub fn is_from_worker(target: &str) -> bool {
    path_of(target) == HEARTBEAT_PATH
}
