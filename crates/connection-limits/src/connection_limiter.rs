//! State machine that keeps connections within the budget. The listener calls it for each accepted
//! connection, and each connection's thread reports its requests. It does no I/O: the caller closes
//! the connections that it selects.

mod connection_table;
mod worker_peak;

use crate::ResourceBudget;
use connection_table::ConnectionTable;
use std::net::IpAddr;
use worker_peak::WorkerPeak;

/// Time after its arrival before a silent connection may be closed to admit another. Clients normally
/// send their first request immediately.
const UNIDENTIFIED_GRACE_MS: u64 = 500;

/// Connections reserved for workers, as a multiple of their recent peak: workers reconnect all at once.
const PEAK_MARGIN_FACTOR: f64 = 1.25;

/// Upper bound on the share of all connections that is reserved for workers.
const MAX_WORKER_SHARE: f64 = 0.75;

/// Time in milliseconds since a fixed origin that the caller chooses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the milliseconds elapsed since `earlier`, or 0 if `earlier` is in the future.
    fn since(self, earlier: Millis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Identifies a connection. Ids are never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Kind of client that makes requests over a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// A user or a health check.
    User,
    /// The agent on a machine.
    Worker,
}

/// Reason to refuse a connection or a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The budget is used up. A connection that is evicted for this one counts until it has ended.
    Full,
    /// Too many connections have not made a request yet.
    TooManyUnidentified,
    /// Users hold all connections except those reserved for workers.
    ReservedForWorkers,
}

/// Decision about a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Admission {
    /// Id of the admitted connection. If it is refused, the caller responds immediately that the
    /// server is full and closes the connection.
    pub admitted: Result<ConnectionId, RefusalReason>,
    /// Another connection that the caller must close now.
    pub evict: Option<ConnectionId>,
}

/// Decision about a connection on which a request has arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionAction {
    /// Serve the request and wait for the next one.
    KeepOpen,
    /// Serve the request, then close the connection.
    CloseAfter,
    /// Respond immediately that the server is full, then close the connection.
    Refuse(RefusalReason),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Has not made a request yet.
    Unidentified,
    /// A request is being served.
    Busy(Role),
    /// Between requests.
    Idle(Role),
    /// Selected to be closed. Counts against the budget until it has ended.
    Closing(Option<Role>),
}

impl State {
    /// Returns the role of the client, or `None` if it has not made a request.
    fn role(self) -> Option<Role> {
        match self {
            State::Unidentified => None,
            State::Busy(role) | State::Idle(role) => Some(role),
            State::Closing(role) => role,
        }
    }
}

/// Decides which connections may stay open.
#[derive(Debug)]
pub struct ConnectionLimiter {
    budget: ResourceBudget,
    connections: ConnectionTable,
    last_id: u64,
    worker_peak: WorkerPeak,
}

impl ConnectionLimiter {
    /// Creates a limiter without connections.
    pub fn new(budget: ResourceBudget) -> ConnectionLimiter {
        ConnectionLimiter {
            budget,
            connections: ConnectionTable::default(),
            last_id: 0,
            worker_peak: WorkerPeak::default(),
        }
    }

    /// Returns the number of connections that are open or closing; at most `max_connections` of the budget.
    pub fn open(&self) -> usize {
        self.connections.len()
    }

    /// Returns the number of connections reserved for workers at `now`: their decayed recent peak plus a
    /// margin, at least the budget's minimum and at most `MAX_WORKER_SHARE` of all connections.
    pub fn reserved_for_workers(&self, now: Millis) -> usize {
        let needed = self.worker_peak.decayed(now).max(self.connections.workers() as f64);
        let max_reserved = (self.budget.max_connections as f64 * MAX_WORKER_SHARE) as usize;
        ((needed * PEAK_MARGIN_FACTOR) as usize).max(self.budget.min_reserved_for_workers).min(max_reserved)
    }

    /// Decides about a new connection from this address.
    pub fn admit(&mut self, from: IpAddr, now: Millis) -> Admission {
        let evict = match self.connection_to_evict(from, now) {
            Ok(evict) => evict,
            Err(reason) => return Admission { admitted: Err(reason), evict: None },
        };
        if let Some(id) = evict {
            self.connections.update(id, |state| State::Closing(state.role()), now);
        }
        if self.connections.len() >= self.budget.max_connections {
            // The evicted connection still counts, so only a later connection can take its place.
            return Admission { admitted: Err(RefusalReason::Full), evict };
        }
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        self.connections.insert(id, from, now);
        Admission { admitted: Ok(id), evict }
    }

    /// Selects the connection to close, if any, in order to admit one from this address. Fails if too many
    /// connections are unidentified and none of them is past its grace period.
    fn connection_to_evict(&self, from: IpAddr, now: Millis) -> Result<Option<ConnectionId>, RefusalReason> {
        let past_grace = |oldest: Option<(Millis, ConnectionId)>| {
            oldest.filter(|(since, _)| now.since(*since) >= UNIDENTIFIED_GRACE_MS).map(|(_, id)| id)
        };
        let required = |evict: Option<ConnectionId>| evict.map(Some).ok_or(RefusalReason::TooManyUnidentified);
        // A single address may not use up the limit for all others.
        let max_from_address = (self.budget.max_unidentified / 2).max(1);
        if self.connections.unidentified_from(from) >= max_from_address {
            return required(past_grace(self.connections.oldest_unidentified_from(from)));
        }
        if self.connections.unidentified() >= self.budget.max_unidentified {
            return required(past_grace(self.connections.oldest_unidentified()));
        }
        if self.connections.len() >= self.budget.eviction_threshold {
            return Ok(past_grace(self.connections.oldest_unidentified()).or(self.connections.longest_idle_user()));
        }
        Ok(None)
    }

    /// Decides about a connection on which a complete request has arrived.
    pub fn request_started(&mut self, id: ConnectionId, role: Role, now: Millis) -> ConnectionAction {
        if self.connections.state(id).is_none_or(|state| matches!(state, State::Closing(_))) {
            return ConnectionAction::CloseAfter;
        }
        self.connections.update(id, |_| State::Busy(role), now);
        match role {
            Role::Worker => {
                self.worker_peak.record(self.connections.workers(), now);
                ConnectionAction::KeepOpen
            }
            Role::User => self.user_request_started(id, now),
        }
    }

    fn user_request_started(&mut self, id: ConnectionId, now: Millis) -> ConnectionAction {
        let max_users = self.budget.max_connections - self.reserved_for_workers(now);
        if self.connections.users() > max_users {
            self.connections.update(id, |state| State::Closing(state.role()), now);
            return ConnectionAction::Refuse(RefusalReason::ReservedForWorkers);
        }
        if self.is_nearly_full() {
            return ConnectionAction::CloseAfter;
        }
        ConnectionAction::KeepOpen
    }

    /// True if more than three quarters of all connections are open. User connections are then closed after
    /// each response.
    fn is_nearly_full(&self) -> bool {
        self.connections.len() * 4 > self.budget.max_connections * 3
    }

    /// Records that the response was sent and the connection stays open.
    pub fn response_sent(&mut self, id: ConnectionId, now: Millis) {
        if let Some(State::Busy(role)) = self.connections.state(id) {
            self.connections.update(id, |_| State::Idle(role), now);
        }
    }

    /// Records that the connection and its thread have ended.
    pub fn closed(&mut self, id: ConnectionId) {
        self.connections.remove(id);
    }
}

#[cfg(test)]
mod tests;
