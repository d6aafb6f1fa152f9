//! The state machine that keeps connections within their budget.

use crate::ResourceBudget;
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

/// A moment in milliseconds since any fixed one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Millis(pub u64);

/// One connection for as long as it lives; never used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Who asks over a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    User,
    Worker,
}

/// Why a connection is not taken, or a request not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The budget is used up, and nobody can be let go.
    Full,
    /// Too many that have not asked anything yet.
    Strangers,
    /// Users hold all but what is kept for workers.
    Users,
}

/// What becomes of a connection that has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Admission {
    /// Its name if it is taken; if not, it is to be answered at once that there
    /// is no room, and closed.
    pub taken: Result<ConnectionId, RefusalReason>,
    /// Another connection that is to be closed now.
    pub leave: Option<ConnectionId>,
}

/// What becomes of a connection when its request is there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionAction {
    /// Serve the request and wait for the next.
    Open,
    /// Serve the request and close.
    Last,
    /// Answer at once that there is no room, and close.
    Refused(RefusalReason),
}

/// A stranger that has said nothing for so long may be let go for another:
/// those who mean to ask do so at once.
const STRANGER_MS: u64 = 500;

/// The peak of workers' connections halves in this time, unless reached again.
const PEAK_HALVES_MS: u64 = 60_000;

/// Kept for workers beyond their latest peak: they come back all at once.
const PEAK_MARGIN: f64 = 1.25;

/// The most that is kept for workers however many came.
const MOST_KEPT: f64 = 0.75;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Has not asked anything yet.
    Stranger,
    /// Being answered.
    Busy(Role),
    /// Between requests.
    Idle(Role),
    /// Told to end.
    Leaving(Option<Role>),
}

/// One connection.
#[derive(Debug, Clone, Copy)]
struct Open {
    state: State,
    since: Millis,
    from: IpAddr,
}

/// Connections that are open, and who must go first.
#[derive(Debug)]
pub struct ConnectionLimiter {
    resource_budget: ResourceBudget,
    last: u64,
    open: BTreeMap<ConnectionId, Open>,
    /// Strangers and idle users, by how long they have been so.
    unidentified: BTreeSet<(Millis, ConnectionId)>,
    /// The same by where they come from: one address must not take the places
    /// of all others.
    by_address: BTreeMap<IpAddr, BTreeSet<(Millis, ConnectionId)>>,
    idle_users: BTreeSet<(Millis, ConnectionId)>,
    users: usize,
    workers: usize,
    /// The most workers' connections of late, and when that was.
    peak: (f64, Millis),
}

impl ConnectionLimiter {
    pub fn new(resource_budget: ResourceBudget) -> ConnectionLimiter {
        ConnectionLimiter {
            resource_budget,
            last: 0,
            open: BTreeMap::new(),
            unidentified: BTreeSet::new(),
            by_address: BTreeMap::new(),
            idle_users: BTreeSet::new(),
            users: 0,
            workers: 0,
            peak: (0.0, Millis(0)),
        }
    }

    /// Connections that are open or ending; never more than the budget.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Connections kept for workers now: what they needed of late.
    pub fn reserved_for_workers(&self, now: Millis) -> usize {
        let halves = now.0.saturating_sub(self.peak.1 .0) as f64 / PEAK_HALVES_MS as f64;
        let peak = self.peak.0 * 0.5f64.powf(halves);
        let most = (self.resource_budget.connections as f64 * MOST_KEPT) as usize;
        ((peak.max(self.workers as f64) * PEAK_MARGIN) as usize).max(self.resource_budget.workers).min(most)
    }

    fn users_may_have(&self, now: Millis) -> usize {
        self.resource_budget.connections - self.reserved_for_workers(now)
    }

    /// A connection has come.
    pub fn admit(&mut self, from: IpAddr, now: Millis) -> Admission {
        let of_it = self.by_address.get(&from);
        let leave = if of_it.is_some_and(|s| s.len() >= (self.resource_budget.unidentified / 2).max(1)) {
            let Some(id) = quiet(of_it, now) else {
                return Admission { taken: Err(RefusalReason::Strangers), leave: None };
            };
            Some(id)
        } else if self.unidentified.len() >= self.resource_budget.unidentified {
            let quiet = quiet(Some(&self.unidentified), now);
            let Some(id) = quiet else { return Admission { taken: Err(RefusalReason::Strangers), leave: None } };
            Some(id)
        } else if self.open.len() >= self.resource_budget.crowded {
            quiet(Some(&self.unidentified), now).or_else(|| self.idle_users.first().map(|(_, id)| *id))
        } else {
            None
        };
        if let Some(id) = leave {
            self.set(id, |state| State::Leaving(role(state)), now);
        }
        if self.open.len() >= self.resource_budget.connections {
            // The one that was told to go makes room for the next that comes.
            return Admission { taken: Err(RefusalReason::Full), leave };
        }
        self.last += 1;
        let id = ConnectionId(self.last);
        self.open.insert(id, Open { state: State::Stranger, since: now, from });
        self.count(id);
        Admission { taken: Ok(id), leave }
    }

    /// A whole request is there.
    pub fn request_started(&mut self, id: ConnectionId, by: Role, now: Millis) -> ConnectionAction {
        if self.open.get(&id).is_none_or(|open| matches!(open.state, State::Leaving(_))) {
            return ConnectionAction::Last;
        }
        self.set(id, |_| State::Busy(by), now);
        match by {
            Role::Worker => {
                if self.workers as f64 >= self.peak.0 * 0.5f64.powf(self.peak_age(now)) {
                    self.peak = (self.workers as f64, now);
                }
                ConnectionAction::Open
            }
            Role::User if self.users > self.users_may_have(now) => {
                self.set(id, |state| State::Leaving(role(state)), now);
                ConnectionAction::Refused(RefusalReason::Users)
            }
            // With few connections left, users' are not kept between requests.
            Role::User if self.open.len() * 4 > self.resource_budget.connections * 3 => ConnectionAction::Last,
            Role::User => ConnectionAction::Open,
        }
    }

    /// The request was answered, and the connection stays.
    pub fn response_sent(&mut self, id: ConnectionId, now: Millis) {
        if let Some(State::Busy(by)) = self.open.get(&id).map(|open| open.state) {
            self.set(id, |_| State::Idle(by), now);
        }
    }

    /// The connection has ended, and its thread with it.
    pub fn closed(&mut self, id: ConnectionId) {
        self.uncount(id);
        self.open.remove(&id);
    }

    fn peak_age(&self, now: Millis) -> f64 {
        now.0.saturating_sub(self.peak.1 .0) as f64 / PEAK_HALVES_MS as f64
    }

    fn set(&mut self, id: ConnectionId, next: impl FnOnce(State) -> State, now: Millis) {
        self.uncount(id);
        if let Some(open) = self.open.get_mut(&id) {
            open.state = next(open.state);
            open.since = now;
        }
        self.count(id);
    }

    fn count(&mut self, id: ConnectionId) {
        let Some(&Open { state, since, from }) = self.open.get(&id) else { return };
        match role(state) {
            Some(Role::User) => self.users += 1,
            Some(Role::Worker) => self.workers += 1,
            None => {}
        }
        match state {
            State::Stranger => {
                self.unidentified.insert((since, id));
                self.by_address.entry(from).or_default().insert((since, id));
            }
            State::Idle(Role::User) => {
                self.idle_users.insert((since, id));
            }
            _ => {}
        }
    }

    fn uncount(&mut self, id: ConnectionId) {
        let Some(&Open { state, since, from }) = self.open.get(&id) else { return };
        match role(state) {
            Some(Role::User) => self.users -= 1,
            Some(Role::Worker) => self.workers -= 1,
            None => {}
        }
        match state {
            State::Stranger => {
                self.unidentified.remove(&(since, id));
                if let Some(of_it) = self.by_address.get_mut(&from) {
                    of_it.remove(&(since, id));
                    if of_it.is_empty() {
                        self.by_address.remove(&from);
                    }
                }
            }
            State::Idle(Role::User) => {
                self.idle_users.remove(&(since, id));
            }
            _ => {}
        }
    }
}

/// The stranger that has been quiet for longest, if for long enough.
fn quiet(unidentified: Option<&BTreeSet<(Millis, ConnectionId)>>, now: Millis) -> Option<ConnectionId> {
    let (since, id) = unidentified?.first()?;
    (now.0.saturating_sub(since.0) >= STRANGER_MS).then_some(*id)
}

fn role(state: State) -> Option<Role> {
    match state {
        State::Stranger => None,
        State::Busy(by) | State::Idle(by) => Some(by),
        State::Leaving(by) => by,
    }
}

#[cfg(test)]
mod tests;
