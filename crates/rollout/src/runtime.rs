//! Threads of the roll-outs: one event loop that owns the driver and the command
//! handler, workers that make calls, and one worker per concurrent check.

use crate::check;
use crate::commands::{CommandHandler, HandlerOutput, OperatorRequest, OperatorResponse};
use crate::driver::{Driver, Note, Output};
use crate::events::Event;
use crate::listen;
use crate::metrics::Metrics;
use crate::ports::{Answer, Call, Probe, Verdict};
use crate::settings::{Settings, CALL_THREADS};
use crate::units::{CallId, CheckId, Millis, RequestId};
use serde_json::json;
use std::collections::HashMap;
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Calls that the controller makes on behalf of the roll-outs.
pub trait ControllerApi: Send + Sync + 'static {
    /// Makes a call and returns its outcome. Must return within bounded time.
    fn call(&self, call: &Call) -> Answer;
}

/// Capacity of the event loop's queue.
const MAX_QUEUED_EVENTS: usize = 512;

/// Capacity of each queue of calls; a call that finds its queue full is refused at once.
const MAX_QUEUED_CALLS: usize = 256;

const STACK_BYTES: usize = 256 * 1024;

/// The state machine that receives the answer to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Caller {
    Driver,
    CommandHandler,
}

type QueuedCall = (Caller, CallId, Call);

/// Starts the operators' listener, the event loop and their workers. A service's record may have up to
/// `max_record_bytes`.
///
/// # Errors
///
/// If the listener's address can't be bound, or a thread can't be started.
pub fn start(
    settings: &Settings,
    node: &str,
    max_record_bytes: usize,
    controller: Arc<dyn ControllerApi>,
) -> std::io::Result<()> {
    let (events, inbox) = sync_channel(MAX_QUEUED_EVENTS);
    let metrics = Arc::new(Metrics::default());
    listen::start(settings, &events, metrics.clone())?;
    let queue = |threads| spawn_call_workers(threads, &controller, &events);
    let queues = CallQueues { watch: queue(1)?, lease: queue(1)?, other: queue(CALL_THREADS)? };
    let checks = spawn_check_workers(settings.checks, &events, &metrics)?;
    let driver = Driver::new(settings.config(node));
    let event_loop = EventLoop {
        driver,
        commands: CommandHandler::new(max_record_bytes),
        queues,
        checks,
        metrics,
        pending_requests: HashMap::new(),
        last_request: 0,
        started_at: Instant::now(),
    };
    spawn("rollouts", move || event_loop.run(&inbox))
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> std::io::Result<()> {
    std::thread::Builder::new().name(name.into()).stack_size(STACK_BYTES).spawn(run).map(drop)
}

/// Spawns workers that take items from one shared queue, and returns the queue's sender. A worker ends when
/// the queue is closed or `work` returns false.
fn spawn_workers<T: Send + 'static>(
    name: &str,
    threads: usize,
    capacity: usize,
    work: impl Fn(T) -> bool + Clone + Send + 'static,
) -> std::io::Result<SyncSender<T>> {
    let (sender, items) = sync_channel::<T>(capacity);
    let items = Arc::new(Mutex::new(items));
    for _ in 0..threads {
        let (items, work) = (items.clone(), work.clone());
        spawn(name, move || loop {
            let item = items.lock().unwrap_or_else(PoisonError::into_inner).recv();
            if !item.is_ok_and(&work) {
                return;
            }
        })?;
    }
    Ok(sender)
}

fn spawn_call_workers(
    threads: usize,
    controller: &Arc<dyn ControllerApi>,
    events: &SyncSender<Event>,
) -> std::io::Result<SyncSender<QueuedCall>> {
    let (controller, events) = (controller.clone(), events.clone());
    spawn_workers("rollout-call", threads, MAX_QUEUED_CALLS, move |(caller, id, call): QueuedCall| {
        let answer = Box::new((id, controller.call(&call)));
        let event = if caller == Caller::Driver { Event::Answer(answer) } else { Event::CommandAnswer(answer) };
        events.send(event).is_ok()
    })
}

fn spawn_check_workers(
    threads: usize,
    events: &SyncSender<Event>,
    metrics: &Arc<Metrics>,
) -> std::io::Result<SyncSender<(CheckId, Probe)>> {
    let (events, metrics) = (events.clone(), metrics.clone());
    spawn_workers("rollout-check", threads, threads, move |(id, probe): (CheckId, Probe)| {
        let span = tracing::debug_span!("check", id = %probe.replica, addr = %probe.addr);
        let start = Instant::now();
        let verdict = check::run_check(&probe);
        metrics.record_check(&verdict, start.elapsed());
        span.in_scope(|| tracing::debug!(?verdict, took_s = start.elapsed().as_secs_f64(), "finished health check"));
        events.send(Event::Verdict(id, verdict)).is_ok()
    })
}

/// Queues of calls. Watches and lease calls each have a queue and a thread of their own,
/// so that other calls don't delay them.
struct CallQueues {
    watch: SyncSender<QueuedCall>,
    lease: SyncSender<QueuedCall>,
    other: SyncSender<QueuedCall>,
}

impl CallQueues {
    /// Queues a call. Returns false if its queue is full; the call is not made then.
    fn send(&self, caller: Caller, id: CallId, call: Call) -> bool {
        let queue = match call {
            Call::Watch { .. } => &self.watch,
            Call::Grant { .. } | Call::Renew { .. } => &self.lease,
            _ => &self.other,
        };
        queue.try_send((caller, id, call)).is_ok()
    }
}

/// The event loop, which owns the driver and the command handler.
struct EventLoop {
    driver: Driver,
    commands: CommandHandler,
    queues: CallQueues,
    checks: SyncSender<(CheckId, Probe)>,
    metrics: Arc<Metrics>,
    /// Operators' requests without a response yet: where to send it, and the service of a status request.
    pending_requests: HashMap<RequestId, (SyncSender<OperatorResponse>, Option<String>)>,
    last_request: u64,
    started_at: Instant,
}

impl EventLoop {
    fn run(mut self, inbox: &Receiver<Event>) {
        let tick = Duration::from_millis(Driver::TICK.0);
        let mut next_tick = Instant::now();
        loop {
            let event = inbox.recv_timeout(next_tick.saturating_duration_since(Instant::now()));
            let now = Millis(self.started_at.elapsed().as_millis() as u64 + 1);
            match event {
                Ok(Event::Answer(answer)) => {
                    let outputs = self.driver.answer(now, answer.0, answer.1);
                    self.execute(now, outputs);
                }
                Ok(Event::CommandAnswer(answer)) => {
                    let output = self.commands.answer(answer.0, answer.1);
                    self.deliver(output);
                }
                Ok(Event::Verdict(id, verdict)) => {
                    let outputs = self.driver.verdict(now, id, verdict);
                    self.execute(now, outputs);
                }
                Ok(Event::OperatorRequest(request, response_sender)) => {
                    self.last_request += 1;
                    let request_id = RequestId(self.last_request);
                    let status_of =
                        if let OperatorRequest::Status(name) = &request { Some(name.clone()) } else { None };
                    self.pending_requests.insert(request_id, (response_sender, status_of));
                    let output = self.commands.handle_request(request_id, request);
                    self.deliver(output);
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            // Checked after each event, so that a steady stream of events does not delay ticks.
            if Instant::now() >= next_tick {
                next_tick = Instant::now() + tick;
                let outputs = self.driver.tick(now);
                self.execute(now, outputs);
            }
        }
    }

    /// Queues the driver's calls and checks, and counts and logs its notes. If its queue is full, a call is
    /// answered as refused and a check as unreachable.
    fn execute(&mut self, now: Millis, outputs: Vec<Output>) {
        let mut outputs: std::collections::VecDeque<Output> = outputs.into();
        while let Some(output) = outputs.pop_front() {
            match output {
                Output::Call(id, call) => {
                    if !self.queues.send(Caller::Driver, id, call) {
                        outputs.extend(self.driver.answer(now, id, Answer::Refused));
                    }
                }
                Output::Probe(id, probe) => {
                    if let Err(TrySendError::Full(_)) = self.checks.try_send((id, probe)) {
                        let no_thread = Verdict::Unreachable("no thread was free for it".into());
                        outputs.extend(self.driver.verdict(now, id, no_thread));
                    }
                }
                Output::Note(note) => {
                    self.metrics.record_note(&note);
                    log(&note);
                }
            }
        }
    }

    /// Sends responses to operators, and queues the command handler's calls.
    fn deliver(&mut self, output: HandlerOutput) {
        let mut outputs = vec![output];
        while let Some(output) = outputs.pop() {
            for (request_id, mut response) in output.responses {
                if let Some((response_sender, service)) = self.pending_requests.remove(&request_id) {
                    if let Some(live) = service.and_then(|name| self.driver.service_status(&name)) {
                        response.body["live"] = json!(live);
                    }
                    let _ = response_sender.try_send(response);
                }
            }
            for (id, call) in output.calls {
                if !self.queues.send(Caller::CommandHandler, id, call) {
                    outputs.push(self.commands.answer(id, Answer::Refused));
                }
            }
        }
    }
}

/// Logs one line per change. The ids of its spans are the same on every controller that drives the roll-out.
fn log(note: &Note) {
    match note {
        Note::BecameLeader(claim) => tracing::info!(%claim, "became leader of roll-outs"),
        Note::SteppedDown => tracing::info!("lost leadership of roll-outs"),
        Note::Unreadable { service, why } => tracing::error!(%service, error = %why, "failed to read service record"),
        Note::Changed { service, number, step, event } => {
            let rollout_span = tracing::info_span!("rollout", id = %format_args!("{service}#{number}"));
            let _entered = rollout_span.enter();
            let step_span = tracing::info_span!("step", id = step + 1);
            step_span.in_scope(|| tracing::info!(?event, "changed rollout"));
        }
    }
}
