//! Events for the thread that owns the state machines. The calling threads, the
//! check threads and the operators' listener send them.

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
