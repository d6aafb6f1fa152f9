//! Inputs and outputs of the core.
//!
//! The transport layer converts received messages into an [`Input`] and executes each [`Output`].
//! These types contain no decisions and are not wire formats, which are in `protocol`.

use crate::coordination::jobs::refusal::Refusal;
use crate::protocol::cloud::{Catalog, MachineIds, MachinePage, RentRequest};
use crate::protocol::peer::PeerStatus;
use crate::protocol::state::{StoreRequest, StoreResponse};
use crate::protocol::users::{JobSpec, JobState};
use crate::protocol::workers::{Command, Heartbeat};
use crate::units::{CallId, FencingToken, JobId, MachineId, NodeName, RequestId, Revision};

/// A request of a user or of the platform's health check.
#[derive(Debug, Clone)]
pub enum ClientRequest {
    /// Accept a job. Idempotent: a repeated submission returns the state of the job with the same id.
    Submit(Box<JobSpec>),
    /// An invalid submission. An earlier valid submission may have created a job with the same id.
    Malformed {
        /// Job id in the submission.
        id: JobId,
        /// Description of the error for the user.
        reason: String,
    },
    /// Return the state of a job.
    Query(JobId),
    /// Cancel a job.
    Cancel(JobId),
    /// Return whether this controller can accept submissions.
    Health,
}

/// A call to the cloud's machine rental API.
#[derive(Debug, Clone)]
pub enum CloudCall {
    /// List the available machine types.
    Catalog,
    /// List one page of the rented machines.
    List {
        /// Last machine of the previous page; `None` for the first page.
        after: Option<MachineId>,
    },
    /// Rent machines.
    Rent(RentRequest),
    /// Return machines to the cloud.
    Return(Vec<MachineId>),
}

/// The response to a [`CloudCall`].
#[derive(Debug, Clone)]
pub enum CloudResponse {
    /// The available machine types.
    Catalog(Catalog),
    /// One page of the rented machines.
    Page(MachinePage),
    /// The machines that were rented.
    Rented(MachineIds),
    /// The zone has no more machines of the type.
    NoCapacity,
    /// The machines have been returned.
    Returned,
    /// The cloud refused the call or did not respond. It may still execute the call later.
    Failed,
}

/// An event that the core handles.
#[derive(Debug)]
pub enum Input {
    /// Periodic tick; see [`crate::coordination::Core::tick_interval`].
    Tick,
    /// A user's request.
    ClientRequest(RequestId, ClientRequest),
    /// A worker's heartbeat.
    Heartbeat(RequestId, Heartbeat),
    /// The store's response to a call.
    Store(CallId, StoreResponse),
    /// The cloud's response to a call.
    Cloud(CallId, CloudResponse),
    /// The status broadcast by another controller.
    PeerStatus(PeerStatus),
}

/// Whether the job was accepted by this request or before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobResponseStatus {
    /// This request's submission was accepted.
    Accepted,
    /// An earlier request's submission was accepted.
    Known,
}

impl JobResponseStatus {
    /// HTTP status code of the response.
    pub fn http_status(self) -> u16 {
        match self {
            JobResponseStatus::Accepted => 201,
            JobResponseStatus::Known => 200,
        }
    }
}

/// Task counts of a job by progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobProgress {
    /// Number of completed tasks.
    pub done: u32,
    /// Number of tasks that are placed on machines.
    pub running: u32,
}

/// The response to a user's request or a worker's heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub enum Response {
    /// The state of a job.
    Job {
        /// Whether the job was accepted by this request.
        status: JobResponseStatus,
        /// Job id.
        id: JobId,
        /// State of the job.
        state: JobState,
        /// Task counts, if known.
        progress: Option<JobProgress>,
    },
    /// The request was refused.
    Error(Refusal),
    /// This controller can accept submissions.
    Healthy,
    /// Commands for a worker.
    Commands {
        /// Fencing token of the shard owner that sends the commands.
        token: FencingToken,
        /// Commands in the order of execution.
        commands: Vec<Command>,
    },
    /// The worker should send its heartbeats to this controller; `None` if it should try others.
    Redirect(Option<NodeName>),
}

/// An effect that the transport layer executes, in the order returned.
#[derive(Debug)]
pub enum Output {
    /// Respond to a request.
    Response(RequestId, Response),
    /// Call the store.
    Store(CallId, StoreRequest),
    /// Call the cloud.
    Cloud(CallId, CloudCall),
    /// Send this node's status to all other controllers.
    BroadcastStatus(PeerStatus),
    /// Notify all other controllers that the store has reached this revision.
    RevisionHint(Revision),
}
