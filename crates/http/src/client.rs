//! HTTP client that keeps its connection open between calls and never retries a call.

use crate::{Connection, HttpError};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Maximum size of a response body. The store does not limit the size of a watch response.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Time limit for connecting; a shorter timeout of the call takes precedence.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// HTTP client of one server.
pub struct Client {
    addr: SocketAddr,
    /// Connection kept open since the last call; `None` before the first call, after an error, and after the
    /// server asked to close it.
    connection: Option<Connection>,
}

impl Client {
    /// Creates a client that connects on its first call.
    pub fn new(addr: SocketAddr) -> Self {
        Client { addr, connection: None }
    }

    /// Sends a request with a JSON body and returns the status and body of the response. `timeout` applies
    /// to connecting, to each write, to the start of the response, and to the rest of it.
    ///
    /// # Errors
    ///
    /// If no response arrives in time, or it is not valid HTTP. The server may have processed the request.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<(u16, Vec<u8>), HttpError> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => Connection::new(TcpStream::connect_timeout(&self.addr, timeout.min(CONNECT_TIMEOUT))?),
        };
        connection.write(&self.encode_request(method, path, body), timeout)?;
        let (head, body) = connection.read_response(timeout, MAX_RESPONSE_BYTES)?;
        if !head.close {
            self.connection = Some(connection);
        }
        Ok((head.status, body))
    }

    /// Encodes a request.
    fn encode_request(&self, method: &str, path: &str, body: &[u8]) -> Vec<u8> {
        let (addr, content_length) = (self.addr, body.len());
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\n\
             Content-Length: {content_length}\r\n\r\n"
        );
        [head.as_bytes(), body].concat()
    }
}
