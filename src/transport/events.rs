//! What reaches the core, from whatever side: the one thing that listeners,
//! callers and the engine all know.

use crate::coordination::{ClientRequest, Input, Replica, Response};
use crate::protocol::workers::Heartbeat;
use crate::units::JobId;
use std::sync::mpsc::SyncSender;

/// A request that wants an answer.
pub enum Asked {
    User(ClientRequest),
    Heartbeat(Box<Heartbeat>),
}

/// Something for the core, with the way back for its answer if it wants one.
pub enum Event {
    Asked(Asked, SyncSender<Response>),
    Input(Input),
    /// How the replicas of these jobs fare, as far as this node owns them.
    Replicas(Vec<JobId>, ReplicasTo),
}

/// Where replicas are told to; must not block.
pub type ReplicasTo = Box<dyn FnOnce(Vec<Replica>) + Send>;
