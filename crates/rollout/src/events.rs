//! What reaches the thread that owns the state machines, from its callers, its
//! checks and the operators' listener.

use crate::commands::{OperatorRequest, OperatorResponse};
use crate::ports::{Answer, Verdict};
use crate::units::{CallId, CheckId};
use std::sync::mpsc::SyncSender;

pub(crate) enum Event {
    Answer(Box<(CallId, Answer)>),
    CommandAnswer(Box<(CallId, Answer)>),
    Verdict(CheckId, Verdict),
    OperatorRequest(OperatorRequest, SyncSender<OperatorResponse>),
}
