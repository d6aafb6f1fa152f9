//! Threads around the driver and the desk: one that owns both, a few that make
//! calls, and as many as checks may run at the same time.

use crate::check;
use crate::commands::{CommandHandler, HandlerOutput, OperatorRequest, OperatorResponse};
use crate::driver::{Driver, Note, Output};
use crate::events::Event;
use crate::listen;
use crate::metrics::Metrics;
use crate::ports::{Answer, Call, Probe, Verdict};
use crate::settings::{Settings, CALLERS};
use crate::units::{CallId, CheckId, Millis, RequestId};
use serde_json::json;
use std::collections::HashMap;
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The world around roll-outs, as a controller provides it.
pub trait ControllerApi: Send + Sync + 'static {
    /// Makes a call and waits for what comes of it, within bounded time.
    fn call(&self, call: &Call) -> Answer;
}

/// Messages waiting for the thread that owns the state machines.
const QUEUE: usize = 512;

/// Calls waiting for a caller; more are refused at once.
const MOST_CALLS: usize = 256;

const STACK: usize = 256 * 1024;

/// Whose call it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Caller {
    Driver,
    CommandHandler,
}

type Job = (Caller, CallId, Call);

/// Starts to take part in roll-outs; `value_bytes` bounds a service's record.
///
/// # Errors
///
/// If the listener's address can't be had, or a thread can't be started.
pub fn start(
    settings: &Settings,
    node: &str,
    value_bytes: usize,
    controller: Arc<dyn ControllerApi>,
) -> std::io::Result<()> {
    let (events, inbox) = sync_channel(QUEUE);
    let metrics = Arc::new(Metrics::default());
    listen::start(settings, &events, metrics.clone())?;
    let queue = |threads| calls(threads, &controller, &events);
    let queues = CallQueues { watch: queue(1)?, lease: queue(1)?, other: queue(CALLERS)? };
    let probes = checks(settings.checks, &events, &metrics)?;
    let driver = Driver::new(settings.config(node));
    let event_loop = EventLoop {
        driver,
        commands: CommandHandler::new(value_bytes),
        queues,
        probes,
        metrics,
        pending_requests: HashMap::new(),
        last_request: 0,
        begin: Instant::now(),
    };
    spawn("rollouts", move || event_loop.run(&inbox))
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> std::io::Result<()> {
    std::thread::Builder::new().name(name.into()).stack_size(STACK).spawn(run).map(drop)
}

/// Hands out what comes in to several threads, one piece to one of them.
fn share<T: Send + 'static>(
    name: &str,
    threads: usize,
    queue: usize,
    work: impl Fn(T) -> bool + Clone + Send + 'static,
) -> std::io::Result<SyncSender<T>> {
    let (sender, pieces) = sync_channel::<T>(queue);
    let pieces = Arc::new(Mutex::new(pieces));
    for _ in 0..threads {
        let (pieces, work) = (pieces.clone(), work.clone());
        spawn(name, move || loop {
            let next = pieces.lock().unwrap_or_else(PoisonError::into_inner).recv();
            if !next.is_ok_and(&work) {
                return;
            }
        })?;
    }
    Ok(sender)
}

fn calls(
    threads: usize,
    controller: &Arc<dyn ControllerApi>,
    events: &SyncSender<Event>,
) -> std::io::Result<SyncSender<Job>> {
    let (controller, events) = (controller.clone(), events.clone());
    share("rollout-call", threads, MOST_CALLS, move |(caller, id, call): Job| {
        let answer = Box::new((id, controller.call(&call)));
        let event = if caller == Caller::Driver { Event::Answer(answer) } else { Event::CommandAnswer(answer) };
        events.send(event).is_ok()
    })
}

fn checks(
    threads: usize,
    events: &SyncSender<Event>,
    metrics: &Arc<Metrics>,
) -> std::io::Result<SyncSender<(CheckId, Probe)>> {
    let (events, metrics) = (events.clone(), metrics.clone());
    share("rollout-check", threads, threads, move |(id, probe): (CheckId, Probe)| {
        let span = tracing::debug_span!("check", id = %probe.replica, addr = %probe.addr);
        let begin = Instant::now();
        let verdict = check::carry_out(&probe);
        metrics.checked(&verdict, begin.elapsed());
        span.in_scope(|| tracing::debug!(?verdict, took_s = begin.elapsed().as_secs_f64(), "finished health check"));
        events.send(Event::Verdict(id, verdict)).is_ok()
    })
}

/// Queues for calls: watches and renewals are held up by nothing else.
struct CallQueues {
    watch: SyncSender<Job>,
    lease: SyncSender<Job>,
    other: SyncSender<Job>,
}

impl CallQueues {
    /// Queues a call; what finds its queue full was not carried out.
    fn send(&self, caller: Caller, id: CallId, call: Call) -> bool {
        let queue = match call {
            Call::Watch { .. } => &self.watch,
            Call::Grant { .. } | Call::Renew { .. } => &self.lease,
            _ => &self.other,
        };
        queue.try_send((caller, id, call)).is_ok()
    }
}

/// The thread that owns the state machines.
struct EventLoop {
    driver: Driver,
    commands: CommandHandler,
    queues: CallQueues,
    probes: SyncSender<(CheckId, Probe)>,
    metrics: Arc<Metrics>,
    /// Requests of operators, and the service whose status they ask for.
    pending_requests: HashMap<RequestId, (SyncSender<OperatorResponse>, Option<String>)>,
    last_request: u64,
    begin: Instant,
}

impl EventLoop {
    fn run(mut self, inbox: &Receiver<Event>) {
        let tick = Duration::from_millis(Driver::TICK.0);
        let mut next = Instant::now();
        loop {
            let event = inbox.recv_timeout(next.saturating_duration_since(Instant::now()));
            let now = Millis(self.begin.elapsed().as_millis() as u64 + 1);
            match event {
                Ok(Event::Answer(answer)) => {
                    let outputs = self.driver.answer(now, answer.0, answer.1);
                    self.carry_out(now, outputs);
                }
                Ok(Event::CommandAnswer(answer)) => {
                    let output = self.commands.answer(answer.0, answer.1);
                    self.deliver(output);
                }
                Ok(Event::Verdict(id, verdict)) => {
                    let outputs = self.driver.verdict(now, id, verdict);
                    self.carry_out(now, outputs);
                }
                Ok(Event::OperatorRequest(request, to)) => {
                    self.last_request += 1;
                    let request_id = RequestId(self.last_request);
                    let of = if let OperatorRequest::Status(name) = &request { Some(name.clone()) } else { None };
                    self.pending_requests.insert(request_id, (to, of));
                    let output = self.commands.handle_request(request_id, request);
                    self.deliver(output);
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            // A steady stream of events must not keep the clock from ticking.
            if Instant::now() >= next {
                next = Instant::now() + tick;
                let outputs = self.driver.tick(now);
                self.carry_out(now, outputs);
            }
        }
    }

    fn carry_out(&mut self, now: Millis, outputs: Vec<Output>) {
        let mut outputs: std::collections::VecDeque<Output> = outputs.into();
        while let Some(output) = outputs.pop_front() {
            match output {
                Output::Call(id, call) => {
                    if !self.queues.send(Caller::Driver, id, call) {
                        outputs.extend(self.driver.answer(now, id, Answer::Refused));
                    }
                }
                Output::Probe(id, probe) => {
                    if let Err(TrySendError::Full(_)) = self.probes.try_send((id, probe)) {
                        let busy = Verdict::Unreachable("no thread was free for it".into());
                        outputs.extend(self.driver.verdict(now, id, busy));
                    }
                }
                Output::Note(note) => {
                    self.metrics.noted(&note);
                    log(&note);
                }
            }
        }
    }

    /// Sends replies to the operators, and queues the calls of commands.
    fn deliver(&mut self, output: HandlerOutput) {
        let mut outputs = vec![output];
        while let Some(output) = outputs.pop() {
            for (request, mut reply) in output.replies {
                if let Some((to, service)) = self.pending_requests.remove(&request) {
                    if let Some(live) = service.and_then(|name| self.driver.service_status(&name)) {
                        reply.body["live"] = json!(live);
                    }
                    let _ = to.try_send(reply);
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

/// One line a change, within spans whose ids stay the same wherever it is driven.
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
