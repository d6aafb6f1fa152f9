//! The events of a run in virtual time. The cluster schedules them and handles them one after
//! the other; of events at the same time, the one that was scheduled first comes first.

use super::probes::ProbeSubmission;
use super::store_calls::StoreCall;
use super::workers::WorkerAnswer;
use super::Fault;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use tillercleat::coordination::{CloudCall, Input};
use tillercleat::protocol::users::JobSpec;
use tillercleat::protocol::workers::Heartbeat;
use tillercleat::units::{CallId, JobId};

/// The incarnation of no process: what is sent to it is dropped.
const NO_INCARNATION: u32 = u32::MAX;

/// One process of a controller: the node, and how often it was started or ended before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ProcessId {
    pub(super) node: usize,
    pub(super) incarnation: u32,
}

impl ProcessId {
    /// A caller that no longer waits for its answer.
    pub(super) fn gone(node: usize) -> ProcessId {
        ProcessId { node, incarnation: NO_INCARNATION }
    }

    pub(super) fn is_gone(self) -> bool {
        self.incarnation == NO_INCARNATION
    }
}

/// What is to happen at some time.
pub(super) enum ScheduledEvent {
    /// A controller's clock ticks.
    Tick(ProcessId),
    DeliverInput {
        to: ProcessId,
        input: Input,
    },
    StoreCall(StoreCall),
    CloudCall {
        caller: ProcessId,
        id: CallId,
        call: CloudCall,
    },
    /// A worker's next heartbeat is due.
    HeartbeatDue {
        worker: usize,
    },
    /// The heartbeat of this number got no answer: the worker tries the next node.
    HeartbeatFailed {
        worker: usize,
        number: u64,
    },
    DeliverHeartbeat {
        to: ProcessId,
        worker: usize,
        heartbeat: Heartbeat,
    },
    /// A delayed or duplicated heartbeat reaches any node.
    DeliverStrayHeartbeat {
        worker: usize,
        heartbeat: Heartbeat,
    },
    DeliverAnswer(WorkerAnswer),
    StartController {
        node: usize,
    },
    ApplyFault(Fault),
    Submit {
        spec: JobSpec,
        retries: u32,
    },
    Cancel {
        job: JobId,
        retries: u32,
    },
    /// A question that its user repeats until it is answered.
    Poll {
        job: JobId,
    },
    /// A question that nobody repeats.
    QueryOnce {
        job: JobId,
    },
    SendProbe(ProbeSubmission),
    /// The next of the probe requests, which go on until then.
    NextProbe {
        until: u64,
        number: u64,
    },
    HangWorker {
        worker: usize,
        for_ms: u64,
    },
}

impl ScheduledEvent {
    /// The node that receives it, if it is one that waits while the node is paused.
    pub(super) fn receiver(&self) -> Option<usize> {
        match self {
            ScheduledEvent::Tick(to)
            | ScheduledEvent::DeliverInput { to, .. }
            | ScheduledEvent::DeliverHeartbeat { to, .. } => Some(to.node),
            _ => None,
        }
    }
}

/// Events by time.
#[derive(Default)]
pub(super) struct EventQueue {
    last_number: u64,
    /// Times (milliseconds) and numbers of the events.
    order: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, ScheduledEvent>,
}

impl EventQueue {
    pub(super) fn schedule(&mut self, at: u64, event: ScheduledEvent) {
        self.last_number += 1;
        self.order.push(Reverse((at, self.last_number)));
        self.events.insert(self.last_number, event);
    }

    /// The next event, with its time, unless that is later than `until`.
    pub(super) fn next(&mut self, until: u64) -> Option<(u64, ScheduledEvent)> {
        let Reverse((at, number)) = self.order.peek().copied().filter(|next| next.0 .0 <= until)?;
        self.order.pop();
        let event = self.events.remove(&number).expect("each number in the order has its event");
        Some((at, event))
    }
}
