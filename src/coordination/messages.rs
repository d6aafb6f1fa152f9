//! The messages that enter and leave the core.
//!
//! The transport layer turns what arrives on sockets into [`Input`] and carries out each [`Output`].
//! Nothing here decides anything, and none of these types is the form of a message on a wire: those
//! are in `protocol`.

use crate::coordination::jobs::refusal::Refusal;
use crate::protocol::cloud::{Catalog, MachineIds, MachinePage, RentRequest};
use crate::protocol::peer::PeerStatus;
use crate::protocol::state::{StoreRequest, StoreResponse};
use crate::protocol::users::{JobSpec, JobState};
use crate::protocol::workers::{Command, Heartbeat};
use crate::units::{CallId, FencingToken, JobId, MachineId, NodeName, RequestId, Revision};

/// What a user, or the platform's health check, asks for.
#[derive(Debug, Clone)]
pub enum ClientRequest {
    /// Accept a job, once: a repeated submission gets the state of the job that is known by its id.
    Submit(Box<JobSpec>),
    /// A submission that is not valid. Its job may be known all the same, from an earlier, valid one.
    Malformed {
        /// The job that the submission names.
        id: JobId,
        /// What is wrong with the submission, for its user.
        reason: String,
    },
    /// Tell the state of a job.
    Query(JobId),
    /// Cancel a job.
    Cancel(JobId),
    /// Tell whether this controller can take submissions.
    Health,
}

/// A call to the cloud that rents machines to us.
#[derive(Debug, Clone)]
pub enum CloudCall {
    /// The machine types on offer.
    Catalog,
    /// One page of the rented machines.
    List {
        /// The last machine of the page before; none for the first page.
        after: Option<MachineId>,
    },
    /// Rent machines.
    Rent(RentRequest),
    /// Give machines back.
    Return(Vec<MachineId>),
}

/// The answer to a [`CloudCall`].
#[derive(Debug, Clone)]
pub enum CloudResponse {
    /// The machine types on offer.
    Catalog(Catalog),
    /// One page of the rented machines.
    Page(MachinePage),
    /// The machines that were rented.
    Rented(MachineIds),
    /// The zone has no more machines of the type.
    NoCapacity,
    /// The machines were given back.
    Returned,
    /// Refused, or no answer: the call may still be carried out later.
    Failed,
}

/// What the core handles, one at a time.
#[derive(Debug)]
pub enum Input {
    /// Time passed.
    Tick,
    /// A user's request.
    ClientRequest(RequestId, ClientRequest),
    /// A worker's heartbeat.
    Heartbeat(RequestId, Heartbeat),
    /// The answer of the store to a call.
    Store(CallId, StoreResponse),
    /// The answer of the cloud to a call.
    Cloud(CallId, CloudResponse),
    /// The status of another controller.
    PeerStatus(PeerStatus),
}

/// Whether the request that is answered made the job known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobResponseStatus {
    /// This request's submission was accepted.
    Accepted,
    /// The job was accepted before.
    Known,
}

impl JobResponseStatus {
    /// The HTTP status of the response.
    pub fn http_status(self) -> u16 {
        match self {
            JobResponseStatus::Accepted => 201,
            JobResponseStatus::Known => 200,
        }
    }
}

/// How many tasks of a job are how far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobProgress {
    /// Tasks that are done.
    pub done: u32,
    /// Tasks that are on machines.
    pub running: u32,
}

/// The answer to a request of a user or to a heartbeat of a worker.
#[derive(Debug, Clone, PartialEq)]
pub enum Response {
    /// The state of a job.
    Job {
        /// Whether this request made the job known.
        status: JobResponseStatus,
        /// The job.
        id: JobId,
        /// How far the job has come.
        state: JobState,
        /// Counts of its tasks, if known.
        progress: Option<JobProgress>,
    },
    /// The request was not carried out.
    Error(Refusal),
    /// This controller can take submissions.
    Healthy,
    /// Commands for a worker.
    Commands {
        /// The fencing token of the owner that gives the commands.
        token: FencingToken,
        /// What the worker is to do, in this order.
        commands: Vec<Command>,
    },
    /// The worker should send its heartbeats to this controller, or try others if none is named.
    Redirect(Option<NodeName>),
}

/// What the core wants done, in this order.
#[derive(Debug)]
pub enum Output {
    /// Answer a request.
    Response(RequestId, Response),
    /// Call the store.
    Store(CallId, StoreRequest),
    /// Call the cloud.
    Cloud(CallId, CloudCall),
    /// Send this node's status to all other controllers.
    BroadcastStatus(PeerStatus),
    /// Tell all other controllers that the records have reached this revision.
    RevisionHint(Revision),
}
