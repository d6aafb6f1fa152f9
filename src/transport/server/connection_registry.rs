//! Registry of open connections: the connection limiter, which decides which to accept and which to close,
//! and their sockets. Shared by the listener and the connections' threads under one lock, which is held only
//! while the limiter decides, not during I/O.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, Shutdown, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tillercleat_connection_limits::{
    Admission, ConnectionAction, ConnectionId, ConnectionLimiter, Millis, ResourceBudget, Role,
};

/// State guarded by the registry's lock.
struct State {
    limiter: ConnectionLimiter,
    streams: HashMap<ConnectionId, Arc<TcpStream>>,
    started_at: Instant,
}

impl State {
    fn now(&self) -> Millis {
        Millis(self.started_at.elapsed().as_millis() as u64)
    }
}

/// Tracks connections from admission until their threads end; cheap to clone.
#[derive(Clone)]
pub struct ConnectionRegistry(Arc<Mutex<State>>);

impl ConnectionRegistry {
    /// Creates an empty registry.
    pub fn new(budget: ResourceBudget) -> ConnectionRegistry {
        let state =
            State { limiter: ConnectionLimiter::new(budget), streams: HashMap::new(), started_at: Instant::now() };
        ConnectionRegistry(Arc::new(Mutex::new(state)))
    }

    /// Ignores lock poisoning: no function leaves the state inconsistent where it could panic.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a connection if the limiter allows it, and shuts down the one that the limiter evicts for it,
    /// if any.
    pub fn admit(&self, stream: &Arc<TcpStream>) -> Option<ConnectionId> {
        let from = stream.peer_addr().map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |addr| addr.ip());
        let (admission, evicted) = self.decide(from, stream);
        if let Some(evicted) = evicted {
            // The evicted connection's thread reads an end of file and ends.
            if let Err(error) = evicted.shutdown(Shutdown::Both) {
                tracing::debug!(%error, "failed to shut down an evicted connection; it may have ended already");
            }
        }
        admission.admitted.inspect_err(|reason| tracing::debug!(%from, ?reason, "refused a connection")).ok()
    }

    /// Asks the limiter for a decision and registers the socket if admitted. Also returns the socket of the
    /// evicted connection.
    fn decide(&self, from: IpAddr, stream: &Arc<TcpStream>) -> (Admission, Option<Arc<TcpStream>>) {
        let mut state = self.lock();
        let now = state.now();
        let admission = state.limiter.admit(from, now);
        let evicted = admission.evict.and_then(|id| state.streams.get(&id).cloned());
        if let Ok(id) = admission.admitted {
            state.streams.insert(id, Arc::clone(stream));
        }
        (admission, evicted)
    }

    /// Records that a complete request has arrived. Returns whether to serve the request and whether to keep
    /// the connection open.
    pub fn request_started(&self, id: ConnectionId, role: Role) -> ConnectionAction {
        let mut state = self.lock();
        let now = state.now();
        state.limiter.request_started(id, role, now)
    }

    /// Records that the response was sent and the connection stays open.
    pub fn response_sent(&self, id: ConnectionId) {
        let mut state = self.lock();
        let now = state.now();
        state.limiter.response_sent(id, now);
    }

    /// Removes a connection whose thread ends. The socket is closed when its last handle is dropped.
    pub fn closed(&self, id: ConnectionId) {
        let mut state = self.lock();
        state.limiter.closed(id);
        state.streams.remove(&id);
    }
}
