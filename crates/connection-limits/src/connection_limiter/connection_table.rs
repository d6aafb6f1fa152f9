//! The open connections and the orders in which the limiter asks for them. Its indexes always agree with
//! the connections' states: both change only together, in `insert`, `update` and `remove`.

use super::{ConnectionId, Millis, Role, State};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

/// Connections by the moment since when they have been in their state.
type BySince = BTreeSet<(Millis, ConnectionId)>;

/// One connection.
#[derive(Debug, Clone, Copy)]
struct Connection {
    state: State,
    since: Millis,
    from: IpAddr,
}

/// All connections that are open or closing.
#[derive(Debug, Default)]
pub struct ConnectionTable {
    connections: BTreeMap<ConnectionId, Connection>,
    unidentified: BySince,
    /// The same by where they come from; no set is empty.
    unidentified_by_address: BTreeMap<IpAddr, BySince>,
    idle_users: BySince,
    users: usize,
    workers: usize,
}

impl ConnectionTable {
    /// All connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Connections of users.
    pub fn users(&self) -> usize {
        self.users
    }

    /// Connections of workers.
    pub fn workers(&self) -> usize {
        self.workers
    }

    /// Connections that have not made a request yet.
    pub fn unidentified(&self) -> usize {
        self.unidentified.len()
    }

    /// Of these, those from one address.
    pub fn unidentified_from(&self, from: IpAddr) -> usize {
        self.unidentified_by_address.get(&from).map_or(0, BTreeSet::len)
    }

    /// The connection that has been without a request for longest, and since when.
    pub fn longest_unidentified(&self) -> Option<(Millis, ConnectionId)> {
        self.unidentified.first().copied()
    }

    /// The same among those from one address.
    pub fn longest_unidentified_from(&self, from: IpAddr) -> Option<(Millis, ConnectionId)> {
        self.unidentified_by_address.get(&from)?.first().copied()
    }

    /// The user's connection that has been idle for longest.
    pub fn longest_idle_user(&self) -> Option<ConnectionId> {
        self.idle_users.first().map(|(_, id)| *id)
    }

    /// The state of a connection; none if it has ended.
    pub fn state(&self, id: ConnectionId) -> Option<State> {
        self.connections.get(&id).map(|connection| connection.state)
    }

    /// Adds a connection that has made no request.
    pub fn insert(&mut self, id: ConnectionId, from: IpAddr, now: Millis) {
        let connection = Connection { state: State::Unidentified, since: now, from };
        self.connections.insert(id, connection);
        self.index(id, connection);
    }

    /// Changes the state of a connection, if it has not ended.
    pub fn update(&mut self, id: ConnectionId, next: impl FnOnce(State) -> State, now: Millis) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let before = *connection;
        let after = Connection { state: next(before.state), since: now, ..before };
        *connection = after;
        self.unindex(id, before);
        self.index(id, after);
    }

    /// Removes a connection that has ended; does nothing if that is known already.
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
