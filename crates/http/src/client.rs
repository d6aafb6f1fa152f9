//! A client that keeps its connection open between calls. It never repeats a call.

use crate::{Connection, HttpError};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The most bytes of a response's body; the store sets no limit to what a watch returns.
const RESPONSE_LIMIT: usize = 8 * 1024 * 1024;

/// How long connecting may take, within the deadline of the call.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A client of one server.
pub struct Client {
    addr: SocketAddr,
    /// Open between calls; none after an error.
    connection: Option<Connection>,
}

impl Client {
    /// A client that connects when it is first used.
    pub fn new(addr: SocketAddr) -> Self {
        Client { addr, connection: None }
    }

    /// Makes a call with a JSON body; returns status and body of the response. Connecting, writing, and
    /// waiting for the response may take `timeout` each.
    ///
    /// # Errors
    ///
    /// If there is no response in time, or it is not HTTP. The server may or may not carry out the call.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<(u16, Vec<u8>), HttpError> {
        let mut connection = match self.connection.take() {
            Some(open) => open,
            None => Connection::new(TcpStream::connect_timeout(&self.addr, timeout.min(CONNECT_TIMEOUT))?),
        };
        connection.write(&self.request(method, path, body), timeout)?;
        let (head, body) = connection.read_response(timeout, RESPONSE_LIMIT)?;
        if !head.close {
            self.connection = Some(connection);
        }
        Ok((head.status, body))
    }

    /// The bytes of a request.
    fn request(&self, method: &str, path: &str, body: &[u8]) -> Vec<u8> {
        let (addr, length) = (self.addr, body.len());
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\n\
             Content-Length: {length}\r\n\r\n"
        );
        [head.as_bytes(), body].concat()
    }
}
