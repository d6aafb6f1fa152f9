//! Runs one health check against a replica. One deadline bounds the whole check,
//! however the replica behaves.

use crate::file::{Check, CheckKind};
use crate::ports::{Probe, Verdict};
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use tillercleat_http::{Connection, HttpError};

/// Maximum size of a response; a larger one fails the check.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// Runs a health check. Connecting, sending and reading share one deadline, which
/// is the check's timeout after the start. Redirects are not followed.
pub fn run_check(probe: &Probe) -> Verdict {
    let deadline = Instant::now() + Duration::from_secs_f64(probe.check.timeout_s.clamp(0.01, 60.0));
    let addr: SocketAddr = match probe.addr.parse() {
        Ok(addr) => addr,
        Err(_) => return Verdict::Fail(format!("{:?} is no address", probe.addr)),
    };
    let stream = match TcpStream::connect_timeout(&addr, remaining(deadline)) {
        Ok(stream) => stream,
        // A refusal or a reset is sent by the other end, so it counts against the replica. Any other error
        // may be caused by the network.
        Err(e) if matches!(e.kind(), ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset) => {
            return Verdict::Fail(format!("no connection: {e}"));
        }
        Err(e) => return Verdict::Unreachable(format!("no connection: {e}")),
    };
    match probe.check.kind {
        CheckKind::Tcp | CheckKind::Up => Verdict::Pass,
        CheckKind::Http => match check_http(Connection::new(stream), addr, &probe.check, deadline) {
            Ok(verdict) => verdict,
            Err(HttpError::Io(e)) if matches!(e.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock) => {
                Verdict::Fail("no whole answer in time".into())
            }
            Err(error) => Verdict::Fail(error.to_string()),
        },
    }
}

fn remaining(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1))
}

/// Sends the request of an HTTP check, and compares the response with the expected statuses and body.
fn check_http(
    mut connection: Connection,
    addr: SocketAddr,
    check: &Check,
    deadline: Instant,
) -> Result<Verdict, HttpError> {
    let request = format!(
        "{} {} HTTP/1.1\r\nHost: {addr}\r\nUser-Agent: tillercleat\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
        check.method, check.path
    );
    connection.write(request.as_bytes(), remaining(deadline))?;
    let (head, body) = connection.read_response_by(deadline, MAX_RESPONSE_BYTES)?;
    if !check.status.contains(&head.status) {
        return Ok(Verdict::Fail(format!("status {}", head.status)));
    }
    let expected = check.body.as_deref().unwrap_or_default().as_bytes();
    if !expected.is_empty() && !body.windows(expected.len()).any(|window| window == expected) {
        return Ok(Verdict::Fail("the body does not hold what it should".into()));
    }
    Ok(Verdict::Pass)
}

#[cfg(test)]
mod tests;
