//! Runs the core: feeds it what comes in, and carries out what it says.

use super::events::{Asked, Event};
use super::outside::{self, Outside};
use super::rollouts::Controller;
use super::{peers, server};
use crate::coordination::{Core, Input, Output, Response};
use crate::settings::{Settings, Tuning};
use crate::units::{MonotonicTime, RequestId};
use std::collections::{HashMap, VecDeque};
use std::sync::mpsc::{sync_channel, RecvTimeoutError, SyncSender};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tillercleat_connection_limits::{BudgetError, Limits, ReservedResources, ResourceBudget};
use tillercleat_rollout::settings::Settings as Rollouts;

/// Events that may wait for the core at the least; a connection that finds the
/// queue full is refused. After a standstill each connection has one.
const QUEUE: usize = 1024;

/// Ticks come far more often; a longer turn means that the process stood still.
const STOOD_STILL: Duration = Duration::from_millis(500);

/// How long it then listens before its next tick.
const HEAR_FIRST: Duration = Duration::from_millis(60);

/// Threads that are neither callers nor connections: the core's, the
/// listener's and the peers', and some to spare for what libraries start.
const OTHER_THREADS: usize = 8;

/// Sockets of this process's own beside those to and from each peer.
const OWN_SOCKETS: usize = 24;
const SOCKETS_A_PEER: usize = 4;

/// What users and workers may have of threads, sockets and memory.
///
/// # Errors
///
/// If the limits leave too little for them.
pub fn resource_budget(
    settings: &Settings,
    tuning: &Tuning,
    rollouts: Option<&Rollouts>,
) -> Result<ResourceBudget, BudgetError> {
    let limits = &settings.cluster.process_limits;
    let limits = Limits { threads: tuning.threads, sockets: limits.fd_limit, memory_mib: limits.ram_mb };
    let for_rollouts = rollouts.map_or(0, Rollouts::threads);
    let own = ReservedResources {
        threads: OTHER_THREADS + outside::THREADS + for_rollouts,
        sockets: OWN_SOCKETS + SOCKETS_A_PEER * settings.peers.len() + for_rollouts,
    };
    ResourceBudget::new(limits, own)
}

/// Serves until the process is killed; roll-outs too, if they are turned on.
///
/// # Errors
///
/// If an address can't be had, a thread can't be started, or the limits leave
/// too little.
pub fn run(settings: Settings, tuning: Tuning, rollouts: Option<Rollouts>) -> std::io::Result<()> {
    let resource_budget = resource_budget(&settings, &tuning, rollouts.as_ref()).map_err(std::io::Error::other)?;
    let (engine, events) = sync_channel(QUEUE.max(resource_budget.connections));
    let listener = super::http::listen(settings.client_listen)?;
    let outside = Outside::new(&engine, settings.services.state, settings.services.cloud)?;
    let peer_addrs = settings.peers.iter().map(|p| p.addr).collect();
    let (notes, asker) = peers::start(settings.peer_listen, peer_addrs, engine.clone(), rollouts.is_some())?;
    if let Some(rollouts) = rollouts {
        let site = Arc::new(Controller::new(engine.clone(), asker, settings.services.state));
        let value_bytes = (settings.cluster.state.least().value_kb * 1024.0) as usize;
        tillercleat_rollout::runtime::start(&rollouts, &settings.node, value_bytes, site)?;
    }
    tracing::info!("room for {} connections", resource_budget.connections);
    std::thread::Builder::new()
        .name("listen".into())
        .stack_size(128 * 1024)
        .spawn(move || server::listen(listener, resource_budget, engine))?;

    let begin = Instant::now();
    let mut core = Core::new(settings, tuning);
    let mut waiting: HashMap<RequestId, SyncSender<Response>> = HashMap::new();
    let mut last_request = 0;
    let mut next_tick = begin;
    let mut again: VecDeque<Input> = VecDeque::new();
    let mut last_turn = begin;
    // After a standstill: no tick before what arrived meanwhile is taken in.
    let mut hear_until: Option<Instant> = None;
    loop {
        let input = if let Some(input) = again.pop_front() {
            input
        } else {
            match events.recv_timeout(next_tick.saturating_duration_since(Instant::now())) {
                Ok(Event::Input(input)) => input,
                Ok(Event::Replicas(jobs, to)) => {
                    to(core.replicas(&jobs));
                    continue;
                }
                Ok(Event::Asked(asked, answer)) => {
                    last_request += 1;
                    let id = RequestId(last_request);
                    waiting.insert(id, answer);
                    match asked {
                        Asked::User(ask) => Input::ClientRequest(id, ask),
                        Asked::Heartbeat(heartbeat) => Input::Heartbeat(id, *heartbeat),
                    }
                }
                Err(RecvTimeoutError::Timeout) if last_turn.elapsed() >= STOOD_STILL && hear_until.is_none() => {
                    // The connections' threads wake as late as this one: they
                    // get a moment to hand in what lay in their sockets, so that
                    // it is heard before anything is held to be overdue.
                    hear_until = Some(Instant::now() + HEAR_FIRST);
                    next_tick = Instant::now() + HEAR_FIRST;
                    continue;
                }
                Err(RecvTimeoutError::Timeout) => {
                    hear_until = None;
                    next_tick = Instant::now() + Duration::from_millis(core.next_tick().0);
                    Input::Tick
                }
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            }
        };
        let now = MonotonicTime(begin.elapsed().as_millis() as u64 + 1);
        let time_of_day_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
        for output in core.handle(now, time_of_day_ms, input) {
            match output {
                Output::Response(id, response) => {
                    if let Some(answer) = waiting.remove(&id) {
                        let _ = answer.try_send(response);
                    }
                }
                Output::State(id, call) => again.extend(outside.state(id, call)),
                Output::Cloud(id, call) => again.extend(outside.cloud(id, call)),
                Output::BroadcastStatus(status) => notes.tell(status),
                Output::RevisionHint(revision) => notes.nudge(revision),
            }
        }
        // A steady stream of events must not keep the clock from ticking.
        let turn = Instant::now();
        if turn.duration_since(last_turn) >= STOOD_STILL && hear_until.is_none() {
            hear_until = Some(turn + HEAR_FIRST);
            next_tick = turn + HEAR_FIRST;
        }
        last_turn = turn;
        if turn > next_tick + Duration::from_millis(100) {
            hear_until = None;
            next_tick = Instant::now();
            again.push_back(Input::Tick);
        }
    }
}
