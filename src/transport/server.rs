//! The listener for users, workers and health checks: a thread for each connection, as many as the
//! connection limiter admits. Every read and write has a deadline. A request is handed to the event loop
//! without waiting for room, and its response is awaited for a bounded time.

mod connection_registry;

use super::events::{Event, EventSender, IncomingRequest};
use super::http::{Connection, Head, HttpError};
use super::responses::HttpResponse;
use super::routes::{is_from_worker, route, Routed};
use crate::coordination::Response;
use crate::protocol::MAX_BODY_BYTES;
use connection_registry::ConnectionRegistry;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use std::time::Duration;
use tillercleat_connection_limits::{ConnectionAction, ConnectionId, ResourceBudget, Role};

/// Stack of a connection's thread in bytes.
const STACK: usize = 128 * 1024;

/// How long a new connection may take to begin its first request.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a connection may be idle between requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// How long a request may take to arrive once it has begun, and a response to be taken.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);

/// How long the core may take to respond.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(4500);

/// Deadline of a refusal that the accepting thread writes itself: it must not wait for anybody.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(5);

/// Pause after a connection could not be accepted, for instance for lack of descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// Why a connection or a user's request is refused with 503.
const TOO_MANY_CONNECTIONS: &str = "too many connections";

/// Accepts connections for as long as the process lives.
pub fn listen(listener: &TcpListener, budget: ResourceBudget, events: &EventSender) {
    let registry = ConnectionRegistry::new(budget);
    for stream in listener.incoming() {
        match stream {
            Ok(stream) => accept(Arc::new(stream), &registry, events),
            Err(error) => {
                tracing::warn!(%error, "cannot accept a connection");
                std::thread::sleep(ACCEPT_RETRY);
            }
        }
    }
}

/// Starts a thread for a connection, or refuses it.
fn accept(stream: Arc<TcpStream>, registry: &ConnectionRegistry, events: &EventSender) {
    let Some(id) = registry.admit(&stream) else {
        refuse(stream);
        return;
    };
    if let Err(error) = spawn_connection(Arc::clone(&stream), id, registry.clone(), events.clone()) {
        tracing::warn!(%error, "no thread for a connection");
        registry.closed(id);
        refuse(stream);
    }
}

/// Tells a client that there is no room, and when to come back.
fn refuse(stream: Arc<TcpStream>) {
    let response = HttpResponse::unavailable(TOO_MANY_CONNECTIONS);
    if let Err(error) = response.write(&mut Connection::new(stream), true, REFUSAL_TIMEOUT) {
        tracing::debug!(%error, "cannot write a refusal");
    }
}

fn spawn_connection(
    stream: Arc<TcpStream>,
    id: ConnectionId,
    registry: ConnectionRegistry,
    events: EventSender,
) -> io::Result<()> {
    let serve_until_closed = move || {
        if let Err(error) = serve(stream, id, &registry, &events) {
            tracing::debug!(%error, "a connection ended");
        }
        registry.closed(id);
    };
    std::thread::Builder::new().name("connection".into()).stack_size(STACK).spawn(serve_until_closed).map(drop)
}

/// Serves requests one after the other until the connection ends.
fn serve(
    stream: Arc<TcpStream>,
    id: ConnectionId,
    registry: &ConnectionRegistry,
    events: &EventSender,
) -> Result<(), HttpError> {
    let mut connection = Connection::new(stream);
    let requests = RequestHandler::new(events.clone());
    let mut idle_timeout = FIRST_REQUEST_TIMEOUT;
    loop {
        let (head, body) = match connection.read_request(idle_timeout, MESSAGE_TIMEOUT, MAX_BODY_BYTES) {
            Ok(message) => message,
            Err(error @ (HttpError::TooLarge | HttpError::Malformed(_))) => {
                return HttpResponse::error(400, &error.to_string()).write(&mut connection, true, MESSAGE_TIMEOUT);
            }
            Err(error) => return Err(error),
        };
        idle_timeout = IDLE_TIMEOUT;
        let role = if is_from_worker(&head.path) { Role::Worker } else { Role::User };
        let keep_open = match registry.request_started(id, role) {
            ConnectionAction::KeepOpen => true,
            ConnectionAction::CloseAfter => false,
            ConnectionAction::Refuse(_) => {
                return HttpResponse::unavailable(TOO_MANY_CONNECTIONS).write(&mut connection, true, MESSAGE_TIMEOUT);
            }
        };
        let reply = requests.reply(&head, &body);
        let close = head.close || !keep_open || reply.must_close;
        reply.response.write(&mut connection, close, MESSAGE_TIMEOUT)?;
        if close {
            return Ok(());
        }
        registry.response_sent(id);
    }
}

/// What a request is answered with.
struct Reply {
    response: HttpResponse,
    /// The core's own response may still come, and must not be taken for that of the next request.
    must_close: bool,
}

/// Answers the requests of one connection, one at a time.
struct RequestHandler {
    events: EventSender,
    response_sender: SyncSender<Response>,
    responses: Receiver<Response>,
}

impl RequestHandler {
    fn new(events: EventSender) -> RequestHandler {
        let (response_sender, responses) = sync_channel(1);
        RequestHandler { events, response_sender, responses }
    }

    fn reply(&self, head: &Head, body: &[u8]) -> Reply {
        let response = match route(&head.method, &head.path, body) {
            Routed::Immediate(response) => Some(response),
            Routed::ForCore(request) => self.ask_core(request).map(|response| HttpResponse::from(&response)),
        };
        match response {
            Some(response) => Reply { response, must_close: false },
            None => Reply { response: HttpResponse::unavailable("overloaded"), must_close: true },
        }
    }

    /// The core's response; none if the event loop has no room for the request or takes too long.
    fn ask_core(&self, request: IncomingRequest) -> Option<Response> {
        let event = Event::Request { request, response_sender: self.response_sender.clone() };
        if self.events.try_send(event).is_err() {
            tracing::debug!("refused a request: too many events wait for the event loop");
            return None;
        }
        let response = self.responses.recv_timeout(RESPONSE_TIMEOUT);
        response.inspect_err(|error| tracing::debug!(%error, "no response of the core to a request")).ok()
    }
}

#[cfg(test)]
mod tests;
