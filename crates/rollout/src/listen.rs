//! The operators' listener: HTTP and JSON, a thread a connection, as many as
//! the settings allow.

use crate::commands::{OperatorRequest, OperatorResponse};
use crate::events::Event;
use crate::file::{schema, valid_name, Problems, RollOut};
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

const STACK: usize = 256 * 1024;
const BODY_LIMIT: usize = 64 * 1024;
const IDLE: Duration = Duration::from_secs(30);
const WHOLE: Duration = Duration::from_secs(5);
const ANSWER_WITHIN: Duration = Duration::from_secs(8);

/// What a request asks for, or the answer it gets at once.
#[derive(Debug, PartialEq)]
pub enum Routed {
    /// A request for the command handler.
    OperatorRequest(OperatorRequest),
    /// The metrics in text format.
    Metrics,
    /// A response that needs nobody else.
    Answer(OperatorResponse),
}

/// Reads a request.
pub fn route(method: &str, target: &str, body: &[u8]) -> Routed {
    let path = target.split('?').next().unwrap_or("");
    let not_found = || Routed::Answer(OperatorResponse::problem(404, "no such path"));
    let pieces: Vec<&str> = path.trim_matches('/').split('/').collect();
    let (wanted, routed) = match pieces.as_slice() {
        ["metrics"] => ("GET", Routed::Metrics),
        ["v1", "schema"] => {
            ("GET", Routed::Answer(OperatorResponse { status: 200, body: schema(), retry_after_s: None }))
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
                    Routed::Answer(OperatorResponse { status: 400, body, retry_after_s: None })
                }
            };
        }
        ["v1", "rollouts"] => ("GET", Routed::OperatorRequest(OperatorRequest::List)),
        ["v1", "rollouts", name, ..] if !valid_name(name) => return not_found(),
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
    if method == wanted {
        routed
    } else {
        Routed::Answer(OperatorResponse::problem(405, "method not allowed"))
    }
}

fn write(
    connection: &mut Connection,
    reply: (u16, &str, String),
    retry: Option<u32>,
    close: bool,
) -> Result<(), HttpError> {
    let (status, kind, body) = reply;
    let retry = retry.map(|s| format!("Retry-After: {s}\r\n")).unwrap_or_default();
    let close = if close { "Connection: close\r\n" } else { "" };
    let head = format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: {kind}\r\n{retry}{close}Content-Length: {}\r\n\r\n",
        if status < 400 { "OK" } else { "Refused" },
        body.len()
    );
    connection.write((head + &body).as_bytes(), WHOLE)
}

fn serve(stream: TcpStream, events: &SyncSender<Event>, metrics: &Metrics) -> Result<(), HttpError> {
    let mut connection = Connection::new(stream);
    loop {
        let (head, body): (Head, Vec<u8>) = match connection.read_request(IDLE, WHOLE, BODY_LIMIT) {
            Ok(message) => message,
            Err(error @ (HttpError::TooLarge | HttpError::Malformed(_))) => {
                let body = json!({ "error": error.to_string() }).to_string();
                return write(&mut connection, (400, "application/json", body), None, true);
            }
            Err(error) => return Err(error),
        };
        let reply = match route(&head.method, &head.path, &body) {
            Routed::Answer(reply) => reply,
            Routed::Metrics => {
                write(&mut connection, (200, "text/plain; version=0.0.4", metrics.text()), None, head.close)?;
                if head.close {
                    return Ok(());
                }
                continue;
            }
            Routed::OperatorRequest(request) => {
                let (to, responses) = sync_channel(1);
                let sent = events.try_send(Event::OperatorRequest(request, to)).is_ok();
                let reply = if sent {
                    responses.recv_timeout(ANSWER_WITHIN).ok()
                } else {
                    Some(OperatorResponse::later("overloaded"))
                };
                reply.unwrap_or_else(|| {
                    OperatorResponse::problem(504, "no answer in time: it is not known whether this was carried out")
                })
            }
        };
        write(
            &mut connection,
            (reply.status, "application/json", reply.body.to_string()),
            reply.retry_after_s,
            head.close,
        )?;
        if head.close {
            return Ok(());
        }
    }
}

/// Listens for as long as the process lives.
///
/// # Errors
///
/// If the address can't be had.
pub(crate) fn start(settings: &Settings, events: &SyncSender<Event>, metrics: Arc<Metrics>) -> std::io::Result<()> {
    let listener = tillercleat_http::listen(settings.listen)?;
    let (most, events) = (settings.connections, events.clone());
    let open = Arc::new(AtomicUsize::new(0));
    let accept = move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            };
            if open.fetch_add(1, Ordering::SeqCst) >= most {
                open.fetch_sub(1, Ordering::SeqCst);
                let body = json!({"error": "too many connections"}).to_string();
                let _ = write(&mut Connection::new(stream), (503, "application/json", body), Some(1), true);
                continue;
            }
            let (its_open, events, metrics) = (open.clone(), events.clone(), metrics.clone());
            let thread = std::thread::Builder::new().name("operator".into()).stack_size(STACK).spawn(move || {
                if let Err(error) = serve(stream, &events, &metrics) {
                    tracing::debug!(%error, "closed operator connection");
                }
                its_open.fetch_sub(1, Ordering::SeqCst);
            });
            if thread.is_err() {
                open.fetch_sub(1, Ordering::SeqCst);
            }
        }
    };
    std::thread::Builder::new().name("operators".into()).stack_size(STACK).spawn(accept).map(drop)
}

#[cfg(test)]
mod tests;
