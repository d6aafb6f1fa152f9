//! The listener for users, workers and health checks: a thread a connection,
//! as many as the gate lets in.

use super::events::Event;
use super::http::{Connection, HttpError};
use super::routes::{of_worker, render, route, write, Routed};
use crate::protocol::BODY_LIMIT;
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, Shutdown, TcpListener, TcpStream};
use std::sync::mpsc::{sync_channel, SyncSender};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tillercleat_connection_limits::{ConnectionAction, ConnectionId, ConnectionLimiter, Millis, ResourceBudget, Role};

const STACK: usize = 128 * 1024;
/// How long a new connection may take to ask something.
const FIRST: Duration = Duration::from_secs(10);
const IDLE: Duration = Duration::from_secs(60);
const WHOLE: Duration = Duration::from_secs(5);
const ANSWER_WITHIN: Duration = Duration::from_millis(4500);
/// Refusals are written by the thread that accepts: it waits for nobody.
const REFUSE_WITHIN: Duration = Duration::from_millis(5);

/// The gate, and the sockets behind what it decides on.
struct Door {
    limiter: ConnectionLimiter,
    streams: HashMap<ConnectionId, Arc<TcpStream>>,
    begin: Instant,
}

impl Door {
    fn now(&self) -> Millis {
        Millis(self.begin.elapsed().as_millis() as u64)
    }
}

/// Lets connections in, and keeps count of them until their threads end.
#[derive(Clone)]
struct Front(Arc<Mutex<Door>>);

impl Front {
    fn new(resource_budget: ResourceBudget) -> Front {
        let door =
            Door { limiter: ConnectionLimiter::new(resource_budget), streams: HashMap::new(), begin: Instant::now() };
        Front(Arc::new(Mutex::new(door)))
    }

    /// A thread that panicked has changed nothing by halves.
    fn door(&self) -> MutexGuard<'_, Door> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a connection, if there is room, and closes another if need be.
    fn arrived(&self, stream: &Arc<TcpStream>) -> Option<ConnectionId> {
        let from = stream.peer_addr().map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |addr| addr.ip());
        let mut door = self.door();
        let now = door.now();
        let arrival = door.limiter.admit(from, now);
        if let Some(stream) = arrival.leave.and_then(|id| door.streams.get(&id)) {
            // Its thread wakes with an end of file, and ends.
            let _ = stream.shutdown(Shutdown::Both);
        }
        match arrival.taken {
            Ok(id) => {
                door.streams.insert(id, stream.clone());
                Some(id)
            }
            Err(why) => {
                tracing::debug!("a connection from {from} is refused: {why:?}");
                None
            }
        }
    }

    fn asked(&self, id: ConnectionId, by: Role) -> ConnectionAction {
        let mut door = self.door();
        let now = door.now();
        door.limiter.request_started(id, by, now)
    }

    fn answered(&self, id: ConnectionId) {
        let mut door = self.door();
        let now = door.now();
        door.limiter.response_sent(id, now);
    }

    fn ended(&self, id: ConnectionId) {
        let mut door = self.door();
        door.limiter.closed(id);
        door.streams.remove(&id);
    }
}

/// Tells a peer that there is no room, and when to come back.
fn refuse(stream: Arc<TcpStream>) {
    let body = r#"{"error":"too many connections"}"#;
    let _ = write(&mut Connection::new(stream), 503, body, Some(1), true, REFUSE_WITHIN);
}

fn serve(stream: Arc<TcpStream>, id: ConnectionId, front: &Front, engine: &SyncSender<Event>) -> Result<(), HttpError> {
    let mut connection = Connection::new(stream);
    let (answers, answered) = sync_channel(1);
    let mut patience = FIRST;
    loop {
        let (head, body) = match connection.read(true, patience, WHOLE, BODY_LIMIT) {
            Ok(message) => message,
            Err(error @ (HttpError::TooLarge | HttpError::Malformed(_))) => {
                let body = serde_json::json!({ "error": error.to_string() }).to_string();
                return write(&mut connection, 400, &body, None, true, WHOLE);
            }
            Err(error) => return Err(error),
        };
        patience = IDLE;
        let by = if of_worker(&head.path) { Role::Worker } else { Role::User };
        let last = match front.asked(id, by) {
            ConnectionAction::Open => false,
            ConnectionAction::Last => true,
            ConnectionAction::Refused(_) => {
                let body = r#"{"error":"too many connections"}"#;
                return write(&mut connection, 503, body, Some(1), true, WHOLE);
            }
        };
        let close = head.close || last;
        match route(&head.method, &head.path, &body) {
            Routed::Answer(status, body) => write(&mut connection, status, &body, None, close, WHOLE)?,
            Routed::ClientRequest(asked) => {
                let sent = engine.try_send(Event::Asked(asked, answers.clone())).is_ok();
                let response = if sent { answered.recv_timeout(ANSWER_WITHIN).ok() } else { None };
                let Some(response) = response else {
                    // Overloaded; a late answer must not be taken for the next one.
                    return write(&mut connection, 503, r#"{"error":"overloaded"}"#, Some(1), true, WHOLE);
                };
                let (status, body, retry) = render(&response);
                write(&mut connection, status, &body, retry, close, WHOLE)?;
            }
        }
        if close {
            return Ok(());
        }
        front.answered(id);
    }
}

/// Accepts connections for as long as the process lives.
pub fn listen(listener: TcpListener, resource_budget: ResourceBudget, engine: SyncSender<Event>) {
    let front = Front::new(resource_budget);
    for stream in listener.incoming() {
        let Ok(stream) = stream else {
            std::thread::sleep(Duration::from_millis(20));
            continue;
        };
        let stream = Arc::new(stream);
        let Some(id) = front.arrived(&stream) else {
            refuse(stream);
            continue;
        };
        let (its_front, its_stream, engine) = (front.clone(), stream.clone(), engine.clone());
        let thread = std::thread::Builder::new().stack_size(STACK).spawn(move || {
            if let Err(error) = serve(its_stream, id, &its_front, &engine) {
                tracing::debug!("a connection ended: {error}");
            }
            its_front.ended(id);
        });
        if let Err(error) = thread {
            tracing::warn!("no thread for a connection: {error}");
            front.ended(id);
            refuse(stream);
        }
    }
}

#[cfg(test)]
mod tests;
