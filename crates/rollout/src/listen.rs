//! The operators' listener: HTTP with JSON bodies. Each connection has its own
//! thread; the settings limit the number of connections.

use crate::commands::{OperatorRequest, OperatorResponse};
use crate::events::Event;
use crate::file::{is_valid_name, schema, Problems, RollOut};
use crate::metrics::Metrics;
use crate::record::Command;
use crate::settings::Settings;
use serde_json::json;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{sync_channel, SyncSender};
use std::sync::Arc;
use std::time::Duration;
use tillercleat_http::{Connection, Head, HttpError};

const STACK_BYTES: usize = 256 * 1024;
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Limit for the wait until the next request of a connection begins.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Limit for receiving a request once it has begun, and for each write of a response.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Limit for the command handler's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);

/// How to respond to a request.
#[derive(Debug, PartialEq)]
pub enum Routed {
    /// Ask the command handler.
    OperatorRequest(OperatorRequest),
    /// Respond with the metrics in text format.
    Metrics,
    /// Respond at once.
    Immediate(OperatorResponse),
}

/// Routes a request by its method and path; validates the roll-out that a `POST` brings.
pub fn route(method: &str, target: &str, body: &[u8]) -> Routed {
    let path = target.split('?').next().unwrap_or("");
    let not_found = || Routed::Immediate(OperatorResponse::error(404, "no such path"));
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    let (allowed_method, routed) = match segments.as_slice() {
        ["metrics"] => ("GET", Routed::Metrics),
        ["v1", "schema"] => {
            ("GET", Routed::Immediate(OperatorResponse { status: 200, body: schema(), retry_after_s: None }))
        }
        ["v1", "rollouts"] if method == "POST" => {
            return match RollOut::from_json(body) {
                Ok(file) => Routed::OperatorRequest(OperatorRequest::Command(
                    file.service.clone(),
                    Command::Start(Box::new(file)),
                )),
                Err(Problems(problems)) => {
                    let why = "the roll-out is not valid";
                    let body = json!({ "error": why, "problems": problems });
                    Routed::Immediate(OperatorResponse { status: 400, body, retry_after_s: None })
                }
            };
        }
        ["v1", "rollouts"] => ("GET", Routed::OperatorRequest(OperatorRequest::List)),
        ["v1", "rollouts", name, ..] if !is_valid_name(name) => return not_found(),
        ["v1", "rollouts", name] => ("GET", Routed::OperatorRequest(OperatorRequest::Status((*name).into()))),
        ["v1", "rollouts", name, verb] => {
            let command = match *verb {
                "pause" => Command::Pause,
                "resume" => Command::Resume,
                "abort" => Command::Abort,
                "revert" => Command::Revert,
                _ => return not_found(),
            };
            ("POST", Routed::OperatorRequest(OperatorRequest::Command((*name).into(), command)))
        }
        _ => return not_found(),
    };
    if method == allowed_method {
        routed
    } else {
        Routed::Immediate(OperatorResponse::error(405, "method not allowed"))
    }
}

/// Writes a response, given as status, content type and body.
fn write_response(
    connection: &mut Connection,
    response: (u16, &str, String),
    retry_after_s: Option<u32>,
    close: bool,
) -> Result<(), HttpError> {
    let (status, content_type, body) = response;
    let retry_after = retry_after_s.map(|s| format!("Retry-After: {s}\r\n")).unwrap_or_default();
    let close = if close { "Connection: close\r\n" } else { "" };
    let head = format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: {content_type}\r\n{retry_after}{close}Content-Length: {}\r\n\r\n",
        if status < 400 { "OK" } else { "Refused" },
        body.len()
    );
    connection.write((head + &body).as_bytes(), MESSAGE_TIMEOUT)
}

/// Serves requests until the client closes the connection or an error ends it.
fn serve_connection(stream: TcpStream, events: &SyncSender<Event>, metrics: &Metrics) -> Result<(), HttpError> {
    let mut connection = Connection::new(stream);
    loop {
        let (head, body): (Head, Vec<u8>) = match connection.read_request(IDLE_TIMEOUT, MESSAGE_TIMEOUT, MAX_BODY_BYTES)
        {
            Ok(message) => message,
            Err(error @ (HttpError::TooLarge | HttpError::Malformed(_))) => {
                let body = json!({ "error": error.to_string() }).to_string();
                return write_response(&mut connection, (400, "application/json", body), None, true);
            }
            Err(error) => return Err(error),
        };
        let response = match route(&head.method, &head.path, &body) {
            Routed::Immediate(response) => response,
            Routed::Metrics => {
                write_response(&mut connection, (200, "text/plain; version=0.0.4", metrics.text()), None, head.close)?;
                if head.close {
                    return Ok(());
                }
                continue;
            }
            Routed::OperatorRequest(request) => {
                let (response_sender, responses) = sync_channel(1);
                let queued = events.try_send(Event::OperatorRequest(request, response_sender)).is_ok();
                let response = if queued {
                    responses.recv_timeout(RESPONSE_TIMEOUT).ok()
                } else {
                    Some(OperatorResponse::unavailable("overloaded"))
                };
                response.unwrap_or_else(|| {
                    OperatorResponse::error(504, "no answer in time: it is not known whether this was carried out")
                })
            }
        };
        write_response(
            &mut connection,
            (response.status, "application/json", response.body.to_string()),
            response.retry_after_s,
            head.close,
        )?;
        if head.close {
            return Ok(());
        }
    }
}

/// Starts the threads that accept and serve connections until the process ends.
///
/// # Errors
///
/// If the address can't be bound or the accepting thread can't be started.
pub(crate) fn start(settings: &Settings, events: &SyncSender<Event>, metrics: Arc<Metrics>) -> std::io::Result<()> {
    let listener = tillercleat_http::listen(settings.listen)?;
    let (max_connections, events) = (settings.connections, events.clone());
    let open_connections = Arc::new(AtomicUsize::new(0));
    let accept = move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            };
            if open_connections.fetch_add(1, Ordering::SeqCst) >= max_connections {
                open_connections.fetch_sub(1, Ordering::SeqCst);
                let body = json!({"error": "too many connections"}).to_string();
                let _ = write_response(&mut Connection::new(stream), (503, "application/json", body), Some(1), true);
                continue;
            }
            let (open_counter, events, metrics) = (open_connections.clone(), events.clone(), metrics.clone());
            let thread = std::thread::Builder::new().name("operator".into()).stack_size(STACK_BYTES).spawn(move || {
                if let Err(error) = serve_connection(stream, &events, &metrics) {
                    tracing::debug!(%error, "closed operator connection");
                }
                open_counter.fetch_sub(1, Ordering::SeqCst);
            });
            if thread.is_err() {
                open_connections.fetch_sub(1, Ordering::SeqCst);
            }
        }
    };
    std::thread::Builder::new().name("operators".into()).stack_size(STACK_BYTES).spawn(accept).map(drop)
}

#[cfg(test)]
mod tests;
