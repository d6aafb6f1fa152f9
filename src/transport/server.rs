//! The HTTP server for users, workers and health checks. Each connection that the connection limiter admits
//! has its own thread. Every read and write has a deadline. Requests are queued for the event loop without
//! blocking, and the wait for their responses is bounded.

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

/// Stack size of each connection's thread.
const STACK_BYTES: usize = 128 * 1024;

/// How long the first request of a new connection may take to begin.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a connection may be idle between requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Deadline for receiving the rest of a request once it has begun, and for writing a response.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Deadline for a response from the core.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(4500);

/// Deadline for writing a refusal on the accepting thread, which a slow client must not block.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(5);

/// Delay after a failure to accept a connection, for instance when out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Error text of the 503 response that refuses a connection or a user's request.
const TOO_MANY_CONNECTIONS: &str = "too many connections";

/// Accepts connections until the process ends.
pub fn listen(listener: &TcpListener, budget: ResourceBudget, events: &EventSender) {
    let registry = ConnectionRegistry::new(budget);
    for stream in listener.incoming() {
        match stream {
            Ok(stream) => accept(Arc::new(stream), &registry, events),
            Err(error) => {
                tracing::warn!(%error, "failed to accept a connection");
                std::thread::sleep(ACCEPT_RETRY_DELAY);
            }
        }
    }
}

/// Starts a thread for a connection, or refuses the connection if it is not admitted or no thread can be started.
fn accept(stream: Arc<TcpStream>, registry: &ConnectionRegistry, events: &EventSender) {
    let Some(id) = registry.admit(&stream) else {
        refuse(stream);
        return;
    };
    if let Err(error) = spawn_connection(Arc::clone(&stream), id, registry.clone(), events.clone()) {
        tracing::warn!(%error, "failed to start a thread for a connection");
        registry.closed(id);
        refuse(stream);
    }
}

/// Sends a 503 response with a `Retry-After` header.
fn refuse(stream: Arc<TcpStream>) {
    let response = HttpResponse::unavailable(TOO_MANY_CONNECTIONS);
    if let Err(error) = response.write(&mut Connection::new(stream), true, REFUSAL_TIMEOUT) {
        tracing::debug!(%error, "failed to write a refusal to a connection");
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
            tracing::debug!(%error, "connection ended with an error");
        }
        registry.closed(id);
    };
    std::thread::Builder::new().name("connection".into()).stack_size(STACK_BYTES).spawn(serve_until_closed).map(drop)
}

/// Serves the requests of a connection in sequence until it is closed.
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

/// The response to a request and whether the connection must be closed after it.
struct Reply {
    response: HttpResponse,
    /// True if the core's response may still arrive: it would be mistaken for that of the next request.
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
            Routed::ForCore(request) => self.request_core(request).map(|response| HttpResponse::from(&response)),
        };
        match response {
            Some(response) => Reply { response, must_close: false },
            None => Reply { response: HttpResponse::unavailable("overloaded"), must_close: true },
        }
    }

    /// Returns the core's response; none if the event queue is full or the core does not respond in time.
    fn request_core(&self, request: IncomingRequest) -> Option<Response> {
        let event = Event::Request { request, response_sender: self.response_sender.clone() };
        if self.events.try_send(event).is_err() {
            tracing::debug!("refused a request: the event queue is full");
            return None;
        }
        let response = self.responses.recv_timeout(RESPONSE_TIMEOUT);
        response.inspect_err(|error| tracing::debug!(%error, "no response from the core to a request")).ok()
    }
}

#[cfg(test)]
mod tests;
