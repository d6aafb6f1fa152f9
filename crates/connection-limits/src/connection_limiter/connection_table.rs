//! Table of open connections, with the indexes and counts that the limiter queries. Connection states and
//! indexes change only together, in `insert`, `update` and `remove`, so they always agree.

use super::{ConnectionId, Millis, Role, State};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

/// Connections ordered by the time at which they entered their current state.
type BySince = BTreeSet<(Millis, ConnectionId)>;

#[derive(Debug, Clone, Copy)]
struct Connection {
    state: State,
    /// When the connection entered `state`.
    since: Millis,
    from: IpAddr,
}

/// All connections that are open or closing.
#[derive(Debug, Default)]
pub struct ConnectionTable {
    connections: BTreeMap<ConnectionId, Connection>,
    unidentified: BySince,
    /// The entries of `unidentified`, grouped by remote address. Contains no empty sets.
    unidentified_by_address: BTreeMap<IpAddr, BySince>,
    idle_users: BySince,
    users: usize,
    workers: usize,
}

impl ConnectionTable {
    /// Returns the number of connections in any state.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns the number of user connections, including those that are closing.
    pub fn users(&self) -> usize {
        self.users
    }

    /// Returns the number of worker connections, including those that are closing.
    pub fn workers(&self) -> usize {
        self.workers
    }

    /// Returns the number of connections that have not made a request yet.
    pub fn unidentified(&self) -> usize {
        self.unidentified.len()
    }

    /// Returns the number of unidentified connections from one address.
    pub fn unidentified_from(&self, from: IpAddr) -> usize {
        self.unidentified_by_address.get(&from).map_or(0, BTreeSet::len)
    }

    /// Returns the unidentified connection that has been open longest, and when it was accepted.
    pub fn oldest_unidentified(&self) -> Option<(Millis, ConnectionId)> {
        self.unidentified.first().copied()
    }

    /// Returns the unidentified connection from one address that has been open longest, and when it was accepted.
    pub fn oldest_unidentified_from(&self, from: IpAddr) -> Option<(Millis, ConnectionId)> {
        self.unidentified_by_address.get(&from)?.first().copied()
    }

    /// Returns the user connection that has been idle longest.
    pub fn longest_idle_user(&self) -> Option<ConnectionId> {
        self.idle_users.first().map(|(_, id)| *id)
    }

    /// Returns the state of a connection, or `None` if it has ended.
    pub fn state(&self, id: ConnectionId) -> Option<State> {
        self.connections.get(&id).map(|connection| connection.state)
    }

    /// Adds a newly accepted connection as unidentified.
    pub fn insert(&mut self, id: ConnectionId, from: IpAddr, now: Millis) {
        let connection = Connection { state: State::Unidentified, since: now, from };
        self.connections.insert(id, connection);
        self.index(id, connection);
    }

    /// Replaces the state of a connection by `next` of that state. Does nothing if the connection has ended.
    pub fn update(&mut self, id: ConnectionId, next: impl FnOnce(State) -> State, now: Millis) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let before = *connection;
        let after = Connection { state: next(before.state), since: now, ..before };
        *connection = after;
        self.unindex(id, before);
        self.index(id, after);
    }

    /// Removes a connection that has ended. Does nothing if it was removed before.
    pub fn remove(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.remove(&id) {
            self.unindex(id, connection);
        }
    }

    fn index(&mut self, id: ConnectionId, Connection { state, since, from }: Connection) {
        match state.role() {
            Some(Role::User) => self.users += 1,
            Some(Role::Worker) => self.workers += 1,
            None => {}
        }
        match state {
            State::Unidentified => {
                self.unidentified.insert((since, id));
                self.unidentified_by_address.entry(from).or_default().insert((since, id));
            }
            State::Idle(Role::User) => {
                self.idle_users.insert((since, id));
            }
            State::Busy(_) | State::Idle(Role::Worker) | State::Closing(_) => {}
        }
    }

    fn unindex(&mut self, id: ConnectionId, Connection { state, since, from }: Connection) {
        match state.role() {
            Some(Role::User) => self.users -= 1,
            Some(Role::Worker) => self.workers -= 1,
            None => {}
        }
        match state {
            State::Unidentified => {
                self.unidentified.remove(&(since, id));
                self.unindex_address(id, since, from);
            }
            State::Idle(Role::User) => {
                self.idle_users.remove(&(since, id));
            }
            State::Busy(_) | State::Idle(Role::Worker) | State::Closing(_) => {}
        }
    }

    fn unindex_address(&mut self, id: ConnectionId, since: Millis, from: IpAddr) {
        let Some(connections) = self.unidentified_by_address.get_mut(&from) else { return };
        connections.remove(&(since, id));
        if connections.is_empty() {
            self.unidentified_by_address.remove(&from);
        }
    }
}
