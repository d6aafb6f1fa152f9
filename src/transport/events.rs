//! What reaches the core, from whatever side: the one thing that listeners,
//! callers and the engine all know.

use crate::coordination::{Ask, Input, Reply};
use crate::protocol::workers::Report;
use std::sync::mpsc::SyncSender;

/// A request that wants an answer.
pub enum Asked {
    User(Ask),
    Report(Box<Report>),
}

/// Something for the core, with the way back for its answer if it wants one.
pub enum Event {
    Asked(Asked, SyncSender<Reply>),
    Input(Input),
}
