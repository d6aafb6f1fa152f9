//! The listener for users, workers and health checks: a thread a connection,
//! of which there are only so many.

use super::engine::{Asked, Event};
use super::http::{Connection, HttpError};
use crate::coordination::{Ask, Reply};
use crate::protocol::users::{valid_job_ref, JobAnswer, JobSpec};
use crate::protocol::workers::{GoElsewhere, Report, ReportAnswer};
use crate::protocol::BODY_LIMIT;
use crate::units::JobRef;
use serde::Serialize;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{sync_channel, SyncSender};
use std::sync::Arc;
use std::time::Duration;

const STACK: usize = 128 * 1024;
const IDLE: Duration = Duration::from_secs(60);
const WHOLE: Duration = Duration::from_secs(5);
const ANSWER_WITHIN: Duration = Duration::from_millis(4500);

/// What a request asks for, or the answer it gets at once.
enum Routed {
    Ask(Asked),
    Answer(u16, String),
}

fn problem(status: u16, reason: &str) -> Routed {
    Routed::Answer(status, serde_json::json!({ "error": reason }).to_string())
}

fn route(method: &str, target: &str, body: &[u8]) -> Routed {
    let path = target.split('?').next().unwrap_or("");
    let allow = |wanted: &str, routed: &dyn Fn() -> Routed| {
        if method == wanted {
            routed()
        } else {
            problem(405, "method not allowed")
        }
    };
    match path {
        "/up" => return allow("GET", &|| Routed::Ask(Asked::User(Ask::Up))),
        "/hello" => {
            return allow("POST", &|| match serde_json::from_slice::<Report>(body) {
                Ok(report) => Routed::Ask(Asked::Report(Box::new(report))),
                Err(error) => {
                    tracing::warn!("a report makes no sense: {error}");
                    problem(400, "not a report")
                }
            })
        }
        "/v2/runs" => {
            return allow("POST", &|| match JobSpec::parse(body) {
                Ok(spec) => Routed::Ask(Asked::User(Ask::Submit(Box::new(spec)))),
                Err(reason) => problem(400, &reason),
            })
        }
        _ => {}
    }
    let Some(rest) = path.strip_prefix("/v2/runs/") else { return problem(404, "no such path") };
    let (id, cancel) = match rest.split_once('/') {
        None => (rest, false),
        Some((id, "withdraw")) => (id, true),
        Some(_) => return problem(404, "no such path"),
    };
    let known = valid_job_ref(id);
    allow(if cancel { "POST" } else { "GET" }, &|| match (known, cancel) {
        (false, true) => problem(400, "not a job id"),
        (false, false) => problem(404, "no such job"),
        (true, true) => Routed::Ask(Asked::User(Ask::Cancel(JobRef::new(id)))),
        (true, false) => Routed::Ask(Asked::User(Ask::Query(JobRef::new(id)))),
    })
}

fn json(value: &impl Serialize) -> String {
    serde_json::to_string(value).unwrap_or_default()
}

/// Status, body and `Retry-After` of a reply.
fn render(reply: &Reply) -> (u16, String, Option<u32>) {
    match reply {
        Reply::Up => (200, "{}".into(), None),
        Reply::Job { status, id, state, counts } => {
            let (done, running) = counts.unzip();
            (*status, json(&JobAnswer { id, state: *state, done, running }), None)
        }
        Reply::Problem { status, reason, retry_after_s } => {
            (*status, serde_json::json!({ "error": reason }).to_string(), *retry_after_s)
        }
        Reply::Commands { token, commands } => (200, json(&ReportAnswer { token: *token, commands }), None),
        Reply::Elsewhere(node) => (421, json(&GoElsewhere { report_to: node.as_ref().map(|n| n.as_str()) }), None),
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        _ => "Service Unavailable",
    }
}

fn write(
    connection: &mut Connection,
    status: u16,
    body: &str,
    retry: Option<u32>,
    close: bool,
) -> Result<(), HttpError> {
    let retry = retry.map(|s| format!("Retry-After: {s}\r\n")).unwrap_or_default();
    let close = if close { "Connection: close\r\n" } else { "" };
    let text = format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: application/json\r\n{retry}{close}Content-Length: {}\r\n\r\n{body}",
        reason(status),
        body.len()
    );
    connection.write(text.as_bytes(), WHOLE)
}

fn serve(stream: TcpStream, engine: &SyncSender<Event>, crowded: impl Fn() -> bool) -> Result<(), HttpError> {
    let mut connection = Connection::new(stream);
    let (answers, answered) = sync_channel(1);
    loop {
        let (head, body) = match connection.read(true, IDLE, WHOLE, BODY_LIMIT) {
            Ok(message) => message,
            Err(error @ (HttpError::TooLarge | HttpError::Malformed(_))) => {
                let body = serde_json::json!({ "error": error.to_string() }).to_string();
                return write(&mut connection, 400, &body, None, true);
            }
            Err(error) => return Err(error),
        };
        match route(&head.method, &head.path, &body) {
            Routed::Answer(status, body) => write(&mut connection, status, &body, None, head.close)?,
            Routed::Ask(asked) => {
                // With few connections left, users' are not kept between
                // requests: workers must find one however many users ask.
                let close = head.close || matches!(asked, Asked::User(_)) && crowded();
                let sent = engine.try_send(Event::Asked(asked, answers.clone())).is_ok();
                let reply = if sent { answered.recv_timeout(ANSWER_WITHIN).ok() } else { None };
                match reply {
                    Some(reply) => {
                        let (status, body, retry) = render(&reply);
                        write(&mut connection, status, &body, retry, close)?;
                        if close {
                            return Ok(());
                        }
                    }
                    // Overloaded; a late answer must not be taken for the next one.
                    None => return write(&mut connection, 503, r#"{"error":"overloaded"}"#, Some(1), true),
                }
            }
        }
        if head.close {
            return Ok(());
        }
    }
}

/// Accepts connections for as long as the process lives.
pub fn listen(listener: TcpListener, most: usize, engine: SyncSender<Event>) {
    let open = Arc::new(AtomicUsize::new(0));
    for stream in listener.incoming() {
        let Ok(stream) = stream else {
            std::thread::sleep(Duration::from_millis(20));
            continue;
        };
        if open.load(Ordering::Relaxed) >= most {
            let mut connection = Connection::new(stream);
            let _ = write(&mut connection, 503, r#"{"error":"too many connections"}"#, Some(1), true);
            continue;
        }
        open.fetch_add(1, Ordering::Relaxed);
        let (counter, engine) = (open.clone(), engine.clone());
        let thread = std::thread::Builder::new().stack_size(STACK).spawn(move || {
            let crowded = || counter.load(Ordering::Relaxed) > most / 4 * 3;
            if let Err(error) = serve(stream, &engine, crowded) {
                tracing::debug!("a connection ended: {error}");
            }
            counter.fetch_sub(1, Ordering::Relaxed);
        });
        if thread.is_err() {
            open.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::{Read, Write};

    /// Sends a request to a crowded node and says whether it may send another.
    fn kept_after(request: &str) -> bool {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (stream, _) = listener.accept().unwrap();
        let (engine, events) = sync_channel(4);
        std::thread::spawn(move || {
            while let Ok(Event::Asked(_, answer)) = events.recv() {
                let _ = answer.send(Reply::Up);
            }
        });
        std::thread::spawn(move || serve(stream, &engine, || true));
        client.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
        client.write_all(request.as_bytes()).unwrap();
        let mut answer = vec![];
        // Ends at once if the node closes, else when the time is over.
        client.read_to_end(&mut answer).is_err() && !answer.is_empty()
    }

    /// Users that kept their connections could leave none for workers.
    #[test]
    fn a_crowded_node_keeps_workers_connections_only() {
        let report = r#"{"deck":"i-1","endpoint":"a","hull":"h","berth":"z","watch":1,"tally":1}"#;
        let hello = format!("POST /hello HTTP/1.1\r\nContent-Length: {}\r\n\r\n{report}", report.len());
        assert!(kept_after(&hello));
        assert!(!kept_after("GET /up HTTP/1.1\r\n\r\n"));
    }
}
