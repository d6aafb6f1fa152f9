//! Events that other threads send to the event loop.

use crate::coordination::{ClientRequest, Input, Replica, Response};
use crate::protocol::workers::Heartbeat;
use crate::units::JobId;
use std::sync::mpsc::SyncSender;

/// Sender of the event loop's bounded queue. Threads that must not block use `try_send` and refuse the
/// request if the queue is full.
pub type EventSender = SyncSender<Event>;

/// An HTTP request that needs a response from the core.
pub enum IncomingRequest {
    /// Sent by a user or a health check.
    Client(ClientRequest),
    /// Sent by a worker.
    Heartbeat(Box<Heartbeat>),
}

/// One event for the event loop.
pub enum Event {
    /// A request with the sender for its response. The response is dropped if the receiver has timed out.
    Request {
        request: IncomingRequest,
        /// Has a capacity of one response; the event loop never blocks on it.
        response_sender: SyncSender<Response>,
    },
    /// An input for the core that needs no response.
    Input(Input),
    /// Queries the replicas of these jobs in the shards that this controller owns.
    ReplicaQuery {
        /// Ids of the services' jobs.
        jobs: Vec<JobId>,
        /// Called once with the replicas on the event loop's thread.
        reply: ReplicaReply,
    },
}

/// Receives the result of a replica query; must not block.
pub type ReplicaReply = Box<dyn FnOnce(Vec<Replica>) + Send>;
