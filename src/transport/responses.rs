//! Converts the core's responses to HTTP responses and writes these to connections.

use super::http::{Connection, HttpError};
use crate::coordination::Response;
use crate::protocol::users::JobStatus;
use crate::protocol::workers::{HeartbeatResponse, Redirect};
use serde::Serialize;
use std::time::Duration;

/// An HTTP response with a JSON body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpResponse {
    status: u16,
    body: String,
    /// Value of the `Retry-After` header in seconds; no header if absent.
    retry_after_s: Option<u32>,
}

impl HttpResponse {
    fn new(status: u16, body: &impl Serialize) -> HttpResponse {
        let body = serde_json::to_string(body).expect("a struct of strings and numbers always has a JSON form");
        HttpResponse { status, body, retry_after_s: None }
    }

    /// An error response that states the reason.
    pub fn error(status: u16, reason: &str) -> HttpResponse {
        HttpResponse::new(status, &serde_json::json!({ "error": reason }))
    }

    /// A 503 response for lack of capacity; the client may retry after one second.
    pub fn unavailable(reason: &str) -> HttpResponse {
        HttpResponse { retry_after_s: Some(1), ..HttpResponse::error(503, reason) }
    }

    /// Writes the response; `timeout` applies to each write to the socket. If `close` is true, the response
    /// tells the client that the connection is closed after it.
    ///
    /// # Errors
    ///
    /// If the client accepts no data within `timeout` or has disconnected.
    pub fn write(&self, connection: &mut Connection, close: bool, timeout: Duration) -> Result<(), HttpError> {
        let retry_after = self.retry_after_s.map(|seconds| format!("Retry-After: {seconds}\r\n")).unwrap_or_default();
        let close = if close { "Connection: close\r\n" } else { "" };
        let HttpResponse { status, body, .. } = self;
        let reason = reason_phrase(*status);
        let length = body.len();
        let text = format!(
            "HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\n{retry_after}{close}\
             Content-Length: {length}\r\n\r\n{body}"
        );
        connection.write(text.as_bytes(), timeout)
    }
}

impl From<&Response> for HttpResponse {
    fn from(response: &Response) -> HttpResponse {
        match response {
            Response::Healthy => HttpResponse::new(200, &serde_json::json!({})),
            Response::Job { status, id, state, progress } => {
                let (done, running) = progress.map(|tasks| (tasks.done, tasks.running)).unzip();
                HttpResponse::new(status.http_status(), &JobStatus { id, state: *state, done, running })
            }
            Response::Error(refusal) => HttpResponse {
                retry_after_s: refusal.retry_after_s(),
                ..HttpResponse::error(refusal.http_status(), &refusal.to_string())
            },
            Response::Commands { token, commands } => {
                HttpResponse::new(200, &HeartbeatResponse { token: *token, commands })
            }
            Response::Redirect(node) => {
                HttpResponse::new(421, &Redirect { report_to: node.as_ref().map(|node| node.as_str()) })
            }
        }
    }
}

fn reason_phrase(status: u16) -> &'static str {
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
