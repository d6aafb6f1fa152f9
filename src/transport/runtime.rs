//! Starts a controller: divides the process's limits, opens sockets, starts all threads and becomes the
//! event loop. Called by `main` only.

use super::event_loop::EventLoop;
use super::external_clients::{self, ExternalClients};
use super::rollouts::ControllerSite;
use super::{http, peers, server};
use crate::coordination::Core;
use crate::settings::{Settings, Tuning};
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::sync_channel;
use std::sync::Arc;
use tillercleat_connection_limits::{BudgetError, Limits, ReservedResources, ResourceBudget};
use tillercleat_rollout::settings::Settings as RolloutSettings;

/// The least number of events that may wait for the event loop; a request that finds the queue full is
/// refused. It holds one event of each connection, as many come at once after a pause of the process.
const MIN_EVENT_QUEUE: usize = 1024;

/// Threads that neither serve connections nor make calls: the event loop's, the listener's and the
/// peers', and some to spare for what libraries start.
const OTHER_THREADS: usize = 8;

/// Sockets of this process's own, beside those to and from each peer.
const OWN_SOCKETS: usize = 24;

/// Sockets to and from each peer.
const SOCKETS_PER_PEER: usize = 4;

/// Stack of the listener's thread in bytes.
const LISTENER_STACK: usize = 128 * 1024;

/// Bytes in the KiB that the platform counts values in.
const BYTES_PER_KIB: f64 = 1024.0;

/// Why a controller cannot start.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The process's limits leave too little for connections.
    #[error(transparent)]
    Budget(#[from] BudgetError),
    /// The address for users and workers cannot be listened on.
    #[error("cannot listen on {addr} for users and workers: {source}")]
    Listen {
        /// The address from the settings.
        addr: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// A thread could not be started, or what it needs first could not be had.
    #[error("cannot start {what}: {source}")]
    Start {
        /// What was to be started.
        what: &'static str,
        /// What the system says.
        source: io::Error,
    },
}

impl RunError {
    /// An error while starting `what`, for `map_err`.
    fn starting(what: &'static str) -> impl Fn(io::Error) -> RunError {
        move |source| RunError::Start { what, source }
    }
}

/// What users and workers may have of threads, sockets and memory.
///
/// # Errors
///
/// If the limits leave too little for them.
pub fn resource_budget(
    settings: &Settings,
    tuning: &Tuning,
    rollouts: Option<&RolloutSettings>,
) -> Result<ResourceBudget, BudgetError> {
    let limits = &settings.cluster.process_limits;
    let limits = Limits { threads: tuning.threads, sockets: limits.fd_limit, memory_mib: limits.ram_mb };
    let for_rollouts = rollouts.map_or(0, RolloutSettings::threads);
    let reserved = ReservedResources {
        threads: OTHER_THREADS + external_clients::THREADS + for_rollouts,
        sockets: OWN_SOCKETS + SOCKETS_PER_PEER * settings.peers.len() + for_rollouts,
    };
    ResourceBudget::new(limits, reserved)
}

/// Serves until the process is killed; takes part in roll-outs if `rollouts` has their settings.
///
/// # Errors
///
/// If an address can't be had, a thread can't be started, or the limits leave
/// too little.
pub fn run(settings: Settings, tuning: Tuning, rollouts: Option<RolloutSettings>) -> Result<(), RunError> {
    let budget = resource_budget(&settings, &tuning, rollouts.as_ref())?;
    let (events, event_queue) = sync_channel(MIN_EVENT_QUEUE.max(budget.max_connections));
    let client_listener = http::listen(settings.client_listen)
        .map_err(|source| RunError::Listen { addr: settings.client_listen, source })?;
    let external_clients = ExternalClients::start(&events, settings.services.state, settings.services.cloud)
        .map_err(RunError::starting("the threads for calls on the store and the cloud"))?;
    let peer_addrs = settings.peers.iter().map(|peer| peer.addr).collect();
    let peers = peers::start(settings.peer_listen, peer_addrs, events.clone(), rollouts.is_some())
        .map_err(RunError::starting("the thread for other controllers"))?;
    if let Some(rollouts) = &rollouts {
        let site = ControllerSite::new(events.clone(), peers.queries, settings.services.state);
        let value_bytes = (settings.cluster.state.least().value_kb * BYTES_PER_KIB) as usize;
        tillercleat_rollout::runtime::start(rollouts, &settings.node, value_bytes, Arc::new(site))
            .map_err(RunError::starting("roll-outs"))?;
    }
    tracing::info!(connections = budget.max_connections, "accepting connections");
    std::thread::Builder::new()
        .name("listen".into())
        .stack_size(LISTENER_STACK)
        .spawn(move || server::listen(&client_listener, budget, &events))
        .map_err(RunError::starting("the listener for users and workers"))?;
    EventLoop::new(Core::new(settings, tuning), external_clients, peers.status_broadcaster).run(&event_queue);
    Ok(())
}
