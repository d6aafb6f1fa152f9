//! What reaches the thread that owns the state machines, from its callers, its
//! checks and the operators' listener.

use crate::desk::{Ask, Reply};
use crate::ports::{Answer, Verdict};
use crate::units::{CallId, CheckId};
use std::sync::mpsc::SyncSender;

pub(crate) enum Event {
    Answer(Box<(CallId, Answer)>),
    DeskAnswer(Box<(CallId, Answer)>),
    Verdict(CheckId, Verdict),
    Ask(Ask, SyncSender<Reply>),
}
