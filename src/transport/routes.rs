//! Which request a method, path and body make: of users, workers or health checks. Pure functions, called
//! by the threads of connections.

use super::events::IncomingRequest;
use super::responses::HttpResponse;
use crate::coordination::ClientRequest;
use crate::protocol::users::{is_valid_job_id, JobSpec, MalformedSubmission};
use crate::protocol::workers::Heartbeat;
use crate::units::JobId;

/// Where workers send heartbeats; every other path is for users.
const HEARTBEAT_PATH: &str = "/hello";

const HEALTH_PATH: &str = "/up";

const JOBS_PATH: &str = "/v2/runs";

/// The last part of the path of a cancellation.
const CANCEL: &str = "withdraw";

/// What becomes of a request.
pub enum Routed {
    /// The core decides.
    ForCore(IncomingRequest),
    /// It is answered at once.
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

/// What a path stands for; a job id in it is not checked yet.
#[derive(Clone, Copy)]
enum Endpoint<'a> {
    Health,
    Heartbeat,
    Submission,
    Job(&'a str),
    Cancellation(&'a str),
}

impl<'a> Endpoint<'a> {
    /// None if there is no such path.
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
            Some((job, CANCEL)) => Some(Endpoint::Cancellation(job)),
            Some(_) => None,
        }
    }

    /// The one method that is allowed.
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

/// Reads a request; a query after the path is ignored.
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
            tracing::warn!(%error, "cannot read a heartbeat");
            Routed::error(400, "not a report")
        }
    }
}

/// A submission that makes no sense still goes to the core if its job id can be read: the job may be known.
fn submission(body: &[u8]) -> Routed {
    match JobSpec::parse(body) {
        Ok(spec) => Routed::client(ClientRequest::Submit(Box::new(spec))),
        Err(MalformedSubmission { id: Some(id), reason }) => Routed::client(ClientRequest::Malformed { id, reason }),
        Err(MalformedSubmission { id: None, reason }) => Routed::error(400, &reason),
    }
}

/// True for a request that only workers make.
pub fn is_from_worker(target: &str) -> bool {
    path_of(target) == HEARTBEAT_PATH
}
