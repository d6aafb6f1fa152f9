//! Which connections are open: the connection limiter, which decides on them, with the sockets behind its
//! decisions. Shared by the listener and the threads of connections, under one lock that is held for a
//! decision only, never during I/O.

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, Shutdown, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tillercleat_connection_limits::{
    Admission, ConnectionAction, ConnectionId, ConnectionLimiter, Millis, ResourceBudget, Role,
};

/// What the lock guards.
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

/// Counts connections from their arrival until their threads end; cheap to clone.
#[derive(Clone)]
pub struct ConnectionRegistry(Arc<Mutex<State>>);

impl ConnectionRegistry {
    /// A registry without connections.
    pub fn new(budget: ResourceBudget) -> ConnectionRegistry {
        let state =
            State { limiter: ConnectionLimiter::new(budget), streams: HashMap::new(), started_at: Instant::now() };
        ConnectionRegistry(Arc::new(Mutex::new(state)))
    }

    /// No function leaves the state inconsistent where it could panic.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a connection if there is room, and closes another if need be.
    pub fn admit(&self, stream: &Arc<TcpStream>) -> Option<ConnectionId> {
        let from = stream.peer_addr().map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |addr| addr.ip());
        let (admission, evicted) = self.decide(from, stream);
        if let Some(evicted) = evicted {
            // Its thread wakes with an end of file, and ends.
            if let Err(error) = evicted.shutdown(Shutdown::Both) {
                tracing::debug!(%error, "a connection to be closed has ended already");
            }
        }
        admission.admitted.inspect_err(|reason| tracing::debug!(%from, ?reason, "refused a connection")).ok()
    }

    /// Lets the limiter decide and registers the socket; returns that of the connection to be closed too.
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

    /// A whole request has arrived: whether it is served, and whether the connection stays.
    pub fn request_started(&self, id: ConnectionId, role: Role) -> ConnectionAction {
        let mut state = self.lock();
        let now = state.now();
        state.limiter.request_started(id, role, now)
    }

    /// The request was answered and the connection stays.
    pub fn response_sent(&self, id: ConnectionId) {
        let mut state = self.lock();
        let now = state.now();
        state.limiter.response_sent(id, now);
    }

    /// The connection's thread ends. Drops its socket, which closes it with the last handle.
    pub fn closed(&self, id: ConnectionId) {
        let mut state = self.lock();
        state.limiter.closed(id);
        state.streams.remove(&id);
    }
}
