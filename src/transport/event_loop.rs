//! The thread that owns the core: feeds it events, the current time and ticks, and executes its outputs.
//!
//! The loop blocks only while waiting for events. Responses, calls and peer messages go into bounded
//! queues. If a queue is full, a response is dropped (its receiver has its own deadline) and a call is
//! reported back to the core as refused.

use super::events::{Event, IncomingRequest};
use super::external_clients::ExternalClients;
use super::peers::StatusBroadcaster;
use super::tick_schedule::TickSchedule;
use crate::coordination::{Core, Input, Output, Response};
use crate::units::{MonotonicTime, RequestId};
use std::collections::{HashMap, VecDeque};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Response channels of the requests that the core has not answered yet.
#[derive(Default)]
struct PendingResponses {
    last_id: u64,
    senders: HashMap<RequestId, SyncSender<Response>>,
}

impl PendingResponses {
    /// Assigns an id to a request and stores the sender of its response.
    fn register(&mut self, response_sender: SyncSender<Response>) -> RequestId {
        self.last_id += 1;
        let id = RequestId(self.last_id);
        self.senders.insert(id, response_sender);
        id
    }

    /// Sends the response to the thread that waits for it; drops it if that thread has timed out.
    fn resolve(&mut self, id: RequestId, response: Response) {
        let Some(sender) = self.senders.remove(&id) else { return };
        if sender.try_send(response).is_err() {
            tracing::debug!(request = %id, "dropped a response: its request has timed out");
        }
    }
}

/// What the event loop does next.
enum Step {
    Handle(Input),
    /// The event was handled without an input for the core.
    Continue,
    /// All senders of events have been dropped.
    Stop,
}

/// The core and the destinations of its outputs.
pub struct EventLoop {
    core: Core,
    external_clients: ExternalClients,
    status_broadcaster: StatusBroadcaster,
    pending_responses: PendingResponses,
    /// Inputs created by the loop itself, handled before the next event: ticks and refused calls.
    queued_inputs: VecDeque<Input>,
    /// Origin of the core's monotonic clock.
    started_at: Instant,
    schedule: TickSchedule,
}

impl EventLoop {
    /// Creates a loop for a core that has not handled any input yet. The core's clock starts now.
    pub fn new(core: Core, external_clients: ExternalClients, status_broadcaster: StatusBroadcaster) -> EventLoop {
        let started_at = Instant::now();
        EventLoop {
            core,
            external_clients,
            status_broadcaster,
            pending_responses: PendingResponses::default(),
            queued_inputs: VecDeque::new(),
            started_at,
            schedule: TickSchedule::new(started_at),
        }
    }

    /// Handles events until all of their senders have been dropped.
    pub fn run(mut self, events: &Receiver<Event>) {
        loop {
            let step = match self.queued_inputs.pop_front() {
                Some(input) => Step::Handle(input),
                None => self.await_event(events),
            };
            match step {
                Step::Handle(input) => self.handle(input),
                Step::Continue => {}
                Step::Stop => return,
            }
        }
    }

    /// Waits for an event, at most until the next tick is due.
    fn await_event(&mut self, events: &Receiver<Event>) -> Step {
        match events.recv_timeout(self.schedule.time_until_tick(Instant::now())) {
            Ok(event) => self.accept(event),
            Err(RecvTimeoutError::Timeout) => self.tick_if_due(),
            Err(RecvTimeoutError::Disconnected) => Step::Stop,
        }
    }

    fn tick_if_due(&mut self) -> Step {
        let now = Instant::now();
        if !self.schedule.is_tick_due(now) {
            return Step::Continue;
        }
        self.schedule.schedule_next_tick(now, self.core.tick_interval());
        Step::Handle(Input::Tick)
    }

    fn accept(&mut self, event: Event) -> Step {
        match event {
            Event::Input(input) => Step::Handle(input),
            Event::ReplicaQuery { jobs, reply } => {
                reply(self.core.replicas(&jobs));
                Step::Continue
            }
            Event::Request { request, response_sender } => {
                let id = self.pending_responses.register(response_sender);
                Step::Handle(match request {
                    IncomingRequest::Client(request) => Input::ClientRequest(id, request),
                    IncomingRequest::Heartbeat(heartbeat) => Input::Heartbeat(id, *heartbeat),
                })
            }
        }
    }

    /// Passes one input to the core and executes the outputs.
    fn handle(&mut self, input: Input) {
        // Starts at 1, since 0 is the core's time before its first input.
        let now = MonotonicTime(self.started_at.elapsed().as_millis() as u64 + 1);
        for output in self.core.handle(now, time_of_day_ms(), input) {
            self.execute(output);
        }
        if self.schedule.finish_iteration(Instant::now()) {
            self.queued_inputs.push_back(Input::Tick);
        }
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Response(id, response) => self.pending_responses.resolve(id, response),
            Output::Store(id, call) => self.queued_inputs.extend(self.external_clients.call_store(id, call)),
            Output::Cloud(id, call) => self.queued_inputs.extend(self.external_clients.call_cloud(id, call)),
            Output::BroadcastStatus(status) => self.status_broadcaster.broadcast_status(status),
            Output::RevisionHint(revision) => self.status_broadcaster.broadcast_revision(revision),
        }
    }
}

/// Milliseconds since the Unix epoch by the system clock; 0 if the clock is set to an earlier time.
fn time_of_day_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
