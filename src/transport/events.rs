//! What other threads send to the event loop.

use crate::coordination::{ClientRequest, Input, Replica, Response};
use crate::protocol::workers::Heartbeat;
use crate::units::JobId;
use std::sync::mpsc::SyncSender;

/// The way into the event loop, bounded: whoever must not wait uses `try_send` and refuses if it is full.
pub type EventSender = SyncSender<Event>;

/// A request that came over HTTP and awaits a response of the core.
pub enum IncomingRequest {
    /// Of a user or a health check.
    Client(ClientRequest),
    /// Of a worker.
    Heartbeat(Box<Heartbeat>),
}

/// One event for the event loop.
pub enum Event {
    /// A request, and where its response goes. The response is dropped if nobody awaits it any more.
    Request {
        /// The request.
        request: IncomingRequest,
        /// Holds one response; the event loop never waits for room in it.
        response_sender: SyncSender<Response>,
    },
    /// An input that needs no response.
    Input(Input),
    /// The state of the replicas of these jobs, as far as this controller owns their shards.
    ReplicaQuery {
        /// Ids of services' jobs.
        jobs: Vec<JobId>,
        /// Called once with the replicas, on the event loop's thread.
        reply: ReplicaReply,
    },
}

/// Takes the answer to a replica query; must not block.
pub type ReplicaReply = Box<dyn FnOnce(Vec<Replica>) + Send>;
