//! The state machine that keeps connections within their budget. Called by the listener for each connection
//! that arrives and by each connection's thread; it never does I/O and never closes a connection itself.

mod connection_table;
mod worker_peak;

use crate::ResourceBudget;
use connection_table::ConnectionTable;
use std::net::IpAddr;
use worker_peak::WorkerPeak;

/// A connection that has been silent for so long after its arrival may be closed for another, in
/// milliseconds: clients that mean to ask something do so at once.
const UNIDENTIFIED_GRACE_MS: u64 = 500;

/// Places kept for workers, as a multiple of their latest peak: they come back all at once.
const PEAK_MARGIN: f64 = 1.25;

/// The largest share of all connections that is kept for workers.
const MAX_WORKER_SHARE: f64 = 0.75;

/// A moment in milliseconds since any fixed one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Millis(pub u64);

impl Millis {
    /// Milliseconds since an earlier moment; 0 if that lies ahead.
    fn since(self, earlier: Millis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// One connection for as long as it lives; never used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Who makes requests over a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// A user or a health check.
    User,
    /// The agent of a machine.
    Worker,
}

/// Why a connection is not accepted, or a request not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The budget is used up, and no connection may be closed for this one.
    Full,
    /// Too many connections have not made a request yet.
    TooManyUnidentified,
    /// Users hold all connections but those that are kept for workers.
    ReservedForWorkers,
}

/// What becomes of a connection that has arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Admission {
    /// Its id if it is admitted; if not, it is to be answered at once that there
    /// is no room, and closed.
    pub admitted: Result<ConnectionId, RefusalReason>,
    /// Another connection that is to be closed now.
    pub evict: Option<ConnectionId>,
}

/// What becomes of a connection when a request has arrived on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionAction {
    /// Serve the request and wait for the next.
    KeepOpen,
    /// Serve the request and close.
    CloseAfter,
    /// Answer at once that there is no room, and close.
    Refuse(RefusalReason),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Has not made a request yet.
    Unidentified,
    /// Its request is being served.
    Busy(Role),
    /// Between requests.
    Idle(Role),
    /// Is to be closed, and counts until it is.
    Closing(Option<Role>),
}

impl State {
    /// Who is behind the connection, as far as it is known.
    fn role(self) -> Option<Role> {
        match self {
            State::Unidentified => None,
            State::Busy(role) | State::Idle(role) => Some(role),
            State::Closing(role) => role,
        }
    }
}

/// Decides which connections are open.
#[derive(Debug)]
pub struct ConnectionLimiter {
    budget: ResourceBudget,
    connections: ConnectionTable,
    last_id: u64,
    worker_peak: WorkerPeak,
}

impl ConnectionLimiter {
    /// A limiter without connections.
    pub fn new(budget: ResourceBudget) -> ConnectionLimiter {
        ConnectionLimiter {
            budget,
            connections: ConnectionTable::default(),
            last_id: 0,
            worker_peak: WorkerPeak::default(),
        }
    }

    /// Connections that are open or closing; never more than the budget.
    pub fn open(&self) -> usize {
        self.connections.len()
    }

    /// Connections kept for workers now: what they needed of late and a margin, at
    /// least the budget's share and at most three quarters of all.
    pub fn reserved_for_workers(&self, now: Millis) -> usize {
        let needed = self.worker_peak.decayed(now).max(self.connections.workers() as f64);
        let most = (self.budget.max_connections as f64 * MAX_WORKER_SHARE) as usize;
        ((needed * PEAK_MARGIN) as usize).max(self.budget.min_reserved_for_workers).min(most)
    }

    /// A connection has arrived.
    pub fn admit(&mut self, from: IpAddr, now: Millis) -> Admission {
        let evict = match self.connection_to_evict(from, now) {
            Ok(evict) => evict,
            Err(reason) => return Admission { admitted: Err(reason), evict: None },
        };
        if let Some(id) = evict {
            self.connections.update(id, |state| State::Closing(state.role()), now);
        }
        if self.connections.len() >= self.budget.max_connections {
            // The evicted one makes room for the next that arrives.
            return Admission { admitted: Err(RefusalReason::Full), evict };
        }
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        self.connections.insert(id, from, now);
        Admission { admitted: Ok(id), evict }
    }

    /// Which connection is to be closed for one that arrives from this address, if any must be.
    fn connection_to_evict(&self, from: IpAddr, now: Millis) -> Result<Option<ConnectionId>, RefusalReason> {
        let silent = |longest: Option<(Millis, ConnectionId)>| {
            longest.filter(|(since, _)| now.since(*since) >= UNIDENTIFIED_GRACE_MS).map(|(_, id)| id)
        };
        let required = |silent: Option<ConnectionId>| silent.map(Some).ok_or(RefusalReason::TooManyUnidentified);
        // One address must not take the places of all others.
        let most_from_address = (self.budget.max_unidentified / 2).max(1);
        if self.connections.unidentified_from(from) >= most_from_address {
            return required(silent(self.connections.longest_unidentified_from(from)));
        }
        if self.connections.unidentified() >= self.budget.max_unidentified {
            return required(silent(self.connections.longest_unidentified()));
        }
        if self.connections.len() >= self.budget.eviction_threshold {
            return Ok(silent(self.connections.longest_unidentified()).or(self.connections.longest_idle_user()));
        }
        Ok(None)
    }

    /// A whole request has arrived.
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
        let most_users = self.budget.max_connections - self.reserved_for_workers(now);
        if self.connections.users() > most_users {
            self.connections.update(id, |state| State::Closing(state.role()), now);
            return ConnectionAction::Refuse(RefusalReason::ReservedForWorkers);
        }
        if self.is_nearly_full() {
            return ConnectionAction::CloseAfter;
        }
        ConnectionAction::KeepOpen
    }

    /// With three quarters of all connections open, those of users are not kept between requests.
    fn is_nearly_full(&self) -> bool {
        self.connections.len() * 4 > self.budget.max_connections * 3
    }

    /// The request was answered, and the connection stays.
    pub fn response_sent(&mut self, id: ConnectionId, now: Millis) {
        if let Some(State::Busy(role)) = self.connections.state(id) {
            self.connections.update(id, |_| State::Idle(role), now);
        }
    }

    /// The connection has ended, and its thread with it.
    pub fn closed(&mut self, id: ConnectionId) {
        self.connections.remove(id);
    }
}

#[cfg(test)]
mod tests;
