//! Starts a controller: divides the process's limits, opens sockets, starts all threads and runs the event
//! loop. Called only by `main`.

use super::event_loop::EventLoop;
use super::external_clients::{self, ExternalClients};
use super::rollouts::LocalController;
use super::{http, peers, server};
use crate::coordination::Core;
use crate::settings::{Settings, Tuning};
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::sync_channel;
use std::sync::Arc;
use tillercleat_connection_limits::{BudgetError, Limits, ReservedResources, ResourceBudget};
use tillercleat_rollout::settings::Settings as RolloutSettings;

/// Minimum capacity of the event queue; requests are refused while it is full. The queue is enlarged to
/// hold one event of each connection, because that many arrive at once after a pause of the process.
const MIN_EVENT_QUEUE_LEN: usize = 1024;

/// Threads that neither serve connections nor execute calls: the event loop's, the listener's and the
/// peers' thread, plus a reserve for threads started by libraries.
const RESERVED_THREADS: usize = 8;

/// Sockets reserved for this process, besides those to and from each peer.
const RESERVED_SOCKETS: usize = 24;

/// Sockets reserved for the connections to and from each peer.
const SOCKETS_PER_PEER: usize = 4;

/// Stack size of the `listen` thread.
const LISTENER_STACK_BYTES: usize = 128 * 1024;

/// Bytes per KiB, the unit of the platform's limit on the size of values.
const BYTES_PER_KIB: f64 = 1024.0;

/// An error that prevents a controller from starting.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The process's limits leave too few resources for connections.
    #[error(transparent)]
    Budget(#[from] BudgetError),
    /// The address for users and workers cannot be listened on.
    #[error("cannot listen on {addr} for users and workers: {source}")]
    Listen {
        /// The listen address from the settings.
        addr: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// A thread could not be started, or a resource that it needs could not be acquired.
    #[error("cannot start {component}: {source}")]
    Start {
        /// The component that failed to start.
        component: &'static str,
        /// The operating system's error.
        source: io::Error,
    },
}

impl RunError {
    /// Returns a function for `map_err` that wraps an error while starting `component`.
    fn starting(component: &'static str) -> impl Fn(io::Error) -> RunError {
        move |source| RunError::Start { component, source }
    }
}

/// Returns the threads, sockets and memory available for connections of users and workers.
///
/// # Errors
///
/// If the process's limits leave too few resources for these connections.
pub fn resource_budget(
    settings: &Settings,
    tuning: &Tuning,
    rollouts: Option<&RolloutSettings>,
) -> Result<ResourceBudget, BudgetError> {
    let limits = &settings.cluster.process_limits;
    let limits = Limits { threads: tuning.threads, sockets: limits.fd_limit, memory_mib: limits.ram_mb };
    let for_rollouts = rollouts.map_or(0, RolloutSettings::threads);
    let reserved = ReservedResources {
        threads: RESERVED_THREADS + external_clients::THREADS + for_rollouts,
        sockets: RESERVED_SOCKETS + SOCKETS_PER_PEER * settings.peers.len() + for_rollouts,
    };
    ResourceBudget::new(limits, reserved)
}

/// Runs a controller until the process is killed. Takes part in roll-outs if `rollouts` has their settings.
///
/// # Errors
///
/// If the client address can't be listened on, a thread can't be started, or the limits leave too few
/// resources.
pub fn run(settings: Settings, tuning: Tuning, rollouts: Option<RolloutSettings>) -> Result<(), RunError> {
    let budget = resource_budget(&settings, &tuning, rollouts.as_ref())?;
    let (events, event_queue) = sync_channel(MIN_EVENT_QUEUE_LEN.max(budget.max_connections));
    let client_listener = http::listen(settings.client_listen)
        .map_err(|source| RunError::Listen { addr: settings.client_listen, source })?;
    let external_clients = ExternalClients::start(&events, settings.services.state, settings.services.cloud)
        .map_err(RunError::starting("the threads for calls on the store and the cloud"))?;
    let peer_addrs = settings.peers.iter().map(|peer| peer.addr).collect();
    let peers = peers::start(settings.peer_listen, peer_addrs, events.clone(), rollouts.is_some())
        .map_err(RunError::starting("the thread for other controllers"))?;
    if let Some(rollouts) = &rollouts {
        let controller = LocalController::new(events.clone(), peers.queries, settings.services.state);
        let value_bytes = (settings.cluster.state.strictest().value_kb * BYTES_PER_KIB) as usize;
        tillercleat_rollout::runtime::start(rollouts, &settings.node, value_bytes, Arc::new(controller))
            .map_err(RunError::starting("roll-outs"))?;
    }
    tracing::info!(connections = budget.max_connections, "accepting connections");
    std::thread::Builder::new()
        .name("listen".into())
        .stack_size(LISTENER_STACK_BYTES)
        .spawn(move || server::listen(&client_listener, budget, &events))
        .map_err(RunError::starting("the listener for users and workers"))?;
    EventLoop::new(Core::new(settings, tuning), external_clients, peers.status_broadcaster).run(&event_queue);
    Ok(())
}
