//! The events of a run in virtual time. The cluster handles them in order of time; events at the
//! same time are handled in the order in which they were scheduled.

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

/// Incarnation that no process has: messages to it are dropped.
const DETACHED_INCARNATION: u32 = u32::MAX;

/// One process of a controller: its node and the node's incarnation, which is incremented at each
/// start and crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ProcessId {
    pub(super) node: usize,
    pub(super) incarnation: u32,
}

impl ProcessId {
    /// Returns the id of a caller that no longer waits for an answer.
    pub(super) fn detached(node: usize) -> ProcessId {
        ProcessId { node, incarnation: DETACHED_INCARNATION }
    }

    pub(super) fn is_detached(self) -> bool {
        self.incarnation == DETACHED_INCARNATION
    }
}

/// An event of the simulation. Times are in milliseconds.
pub(super) enum ScheduledEvent {
    /// A controller handles its periodic tick.
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
    /// The heartbeat with this number got no answer; the worker tries the next node.
    HeartbeatFailed {
        worker: usize,
        number: u64,
    },
    DeliverHeartbeat {
        to: ProcessId,
        worker: usize,
        heartbeat: Heartbeat,
    },
    /// A delayed, duplicated or copied heartbeat arrives, at a random node if `to` is None.
    DeliverStrayHeartbeat {
        worker: usize,
        to: Option<usize>,
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
    /// A query that is repeated for as long as its user polls the job.
    Poll {
        job: JobId,
    },
    /// A query that is never repeated.
    QueryOnce {
        job: JobId,
    },
    SendProbe(ProbeSubmission),
    /// The next probe request is due; probes continue until the time `until`.
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
    /// Returns the receiving node if the event is postponed while that node is paused.
    pub(super) fn receiver(&self) -> Option<usize> {
        match self {
            ScheduledEvent::Tick(to)
            | ScheduledEvent::DeliverInput { to, .. }
            | ScheduledEvent::DeliverHeartbeat { to, .. } => Some(to.node),
            _ => None,
        }
    }
}

/// Pending events, ordered by time and then by order of scheduling.
#[derive(Default)]
pub(super) struct EventQueue {
    last_number: u64,
    /// Time (milliseconds) and sequence number of each event.
    order: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, ScheduledEvent>,
}

impl EventQueue {
    pub(super) fn schedule(&mut self, at: u64, event: ScheduledEvent) {
        self.last_number += 1;
        self.order.push(Reverse((at, self.last_number)));
        self.events.insert(self.last_number, event);
    }

    /// Removes and returns the next event and its time, or None if it is later than `until`.
    pub(super) fn next(&mut self, until: u64) -> Option<(u64, ScheduledEvent)> {
        let Reverse((at, number)) = self.order.peek().copied().filter(|next| next.0 .0 <= until)?;
        self.order.pop();
        let event = self.events.remove(&number).expect("each queued number has an event");
        Some((at, event))
    }
}
