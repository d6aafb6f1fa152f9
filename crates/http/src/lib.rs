//! HTTP/1.1 over blocking sockets, for both sides, with a deadline on every read
//! and a bound on every size.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The most bytes of a request's or response's head.
const HEAD_LIMIT: usize = 16 * 1024;
const MOST_HEADERS: usize = 48;

/// How long an address that is still taken is waited for.
const TAKEN_FOR: Duration = Duration::from_secs(5);

/// Listens on an address. A process that is started again within a fraction of a
/// second may find it taken by its earlier life, which the system is still
/// clearing away: to end for that would be to end over and over.
///
/// # Errors
///
/// If the address can't be had, or not within some seconds.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let until = Instant::now() + TAKEN_FOR;
    loop {
        match TcpListener::bind(addr) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && Instant::now() < until => {
                std::thread::sleep(Duration::from_millis(20));
            }
            result => return result,
        }
    }
}

/// A message's head as far as it matters here.
#[derive(Debug, PartialEq)]
pub struct Head {
    pub method: String,
    pub path: String,
    pub status: u16,
    pub length: Option<usize>,
    pub chunked: bool,
    pub close: bool,
}

/// Why a message could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The socket failed, or the time was over.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// What came is not HTTP.
    #[error("not HTTP: {0}")]
    Malformed(String),
    /// The head or the body is larger than allowed.
    #[error("too large")]
    TooLarge,
    /// The other side ended the connection.
    #[error("closed")]
    Closed,
}

/// Reads a head from the front of `bytes`: its length, or none if it is not
/// whole yet.
pub fn parse_head(bytes: &[u8], request: bool) -> Result<Option<(Head, usize)>, HttpError> {
    let malformed = |e: httparse::Error| HttpError::Malformed(e.to_string());
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let (mut head, used, version) = if request {
        let mut parsed = httparse::Request::new(&mut headers);
        let httparse::Status::Complete(used) = parsed.parse(bytes).map_err(malformed)? else {
            return too_long(bytes);
        };
        let method = parsed.method.unwrap_or("").to_string();
        let path = parsed.path.unwrap_or("").to_string();
        (Head { method, path, status: 0, length: None, chunked: false, close: false }, used, parsed.version)
    } else {
        let mut parsed = httparse::Response::new(&mut headers);
        let httparse::Status::Complete(used) = parsed.parse(bytes).map_err(malformed)? else {
            return too_long(bytes);
        };
        let status = parsed.code.unwrap_or(0);
        let head =
            Head { method: String::new(), path: String::new(), status, length: None, chunked: false, close: false };
        (head, used, parsed.version)
    };
    head.close = version == Some(0);
    for header in headers.iter().take_while(|h| !h.name.is_empty()) {
        let value = std::str::from_utf8(header.value).unwrap_or("").trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            let length = value.parse().map_err(|_| HttpError::Malformed("content-length".into()))?;
            if head.length.is_some_and(|l| l != length) {
                return Err(HttpError::Malformed("content-length twice".into()));
            }
            head.length = Some(length);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            head.chunked = value.to_ascii_lowercase().contains("chunked");
        } else if header.name.eq_ignore_ascii_case("connection") {
            head.close |= value.eq_ignore_ascii_case("close");
        }
    }
    Ok(Some((head, used)))
}

fn too_long(bytes: &[u8]) -> Result<Option<(Head, usize)>, HttpError> {
    if bytes.len() > HEAD_LIMIT {
        Err(HttpError::TooLarge)
    } else {
        Ok(None)
    }
}

/// A connection with what was read but not used yet.
pub struct Connection {
    stream: Arc<TcpStream>,
    buffer: Vec<u8>,
    /// The time-outs that the socket has now.
    read_timeout: Option<Duration>,
    write_timeout: Option<Duration>,
}

/// True if a socket's time-out serves for what is left: no shorter, and not
/// much longer. Setting it anew for every message costs a system call each.
fn serves(set: Option<Duration>, left: Duration) -> bool {
    set.is_some_and(|set| set >= left && set <= left + left / 16 + Duration::from_millis(2))
}

impl Connection {
    pub fn new(stream: impl Into<Arc<TcpStream>>) -> Self {
        let stream = stream.into();
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new(), read_timeout: None, write_timeout: None }
    }

    /// Reads more by `deadline`.
    fn fill(&mut self, deadline: Instant) -> Result<(), HttpError> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::Error::from(io::ErrorKind::TimedOut).into());
        }
        if !serves(self.read_timeout, left) {
            let timeout = Some(left.max(Duration::from_millis(1)));
            self.stream.set_read_timeout(timeout)?;
            self.read_timeout = timeout;
        }
        let mut piece = [0u8; 4096];
        match (&*self.stream).read(&mut piece) {
            Ok(0) => Err(HttpError::Closed),
            Ok(n) => {
                self.buffer.extend_from_slice(&piece[..n]);
                Ok(())
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => Ok(()),
            Err(e) => Err(e.into()),
        }
    }

    /// Reads one message. A new one may take `idle` to begin, and `whole` to
    /// come in once it has; a body may have `limit` bytes.
    ///
    /// # Errors
    ///
    /// If the time is over, the other side closes, or what comes is not HTTP or
    /// too large. Nothing more can be read from the connection then.
    pub fn read(
        &mut self,
        request: bool,
        idle: Duration,
        whole: Duration,
        limit: usize,
    ) -> Result<(Head, Vec<u8>), HttpError> {
        if self.buffer.is_empty() {
            self.fill(Instant::now() + idle)?;
        }
        let deadline = Instant::now() + whole;
        let (head, used) = loop {
            match parse_head(&self.buffer, request)? {
                Some(found) => break found,
                None => self.fill(deadline)?,
            }
        };
        self.buffer.drain(..used);
        let body = if head.chunked {
            self.read_chunks(deadline, limit)?
        } else {
            let length = match head.length {
                Some(length) => length,
                None if request || head.status == 204 => 0,
                None => return Err(HttpError::Malformed("no length".into())),
            };
            if length > limit {
                return Err(HttpError::TooLarge);
            }
            while self.buffer.len() < length {
                self.fill(deadline)?;
            }
            self.buffer.drain(..length).collect()
        };
        if self.buffer.is_empty() {
            // Idle connections hold no memory.
            self.buffer = Vec::new();
        }
        Ok((head, body))
    }

    /// Reads one response by `deadline`, however slowly its bytes come. Without
    /// a length it goes on until the other side closes.
    ///
    /// # Errors
    ///
    /// As [`Connection::read`].
    pub fn read_response_by(&mut self, deadline: Instant, limit: usize) -> Result<(Head, Vec<u8>), HttpError> {
        let (head, used) = loop {
            match parse_head(&self.buffer, false)? {
                Some(found) => break found,
                None => self.fill(deadline)?,
            }
        };
        self.buffer.drain(..used);
        if head.chunked {
            let body = self.read_chunks(deadline, limit)?;
            return Ok((head, body));
        }
        let empty = head.status == 204 || head.status == 304;
        let wanted = if empty { Some(0) } else { head.length };
        while wanted.is_none_or(|length| self.buffer.len() < length) {
            if wanted.unwrap_or(0).max(self.buffer.len()) > limit {
                return Err(HttpError::TooLarge);
            }
            match self.fill(deadline) {
                Err(HttpError::Closed) if wanted.is_none() => break,
                other => other?,
            }
        }
        let length = wanted.unwrap_or(self.buffer.len());
        if length > limit {
            return Err(HttpError::TooLarge);
        }
        Ok((head, self.buffer.drain(..length).collect()))
    }

    fn read_chunks(&mut self, deadline: Instant, limit: usize) -> Result<Vec<u8>, HttpError> {
        let mut body = vec![];
        loop {
            let (start, size) = loop {
                match httparse::parse_chunk_size(&self.buffer) {
                    Ok(httparse::Status::Complete(found)) => break found,
                    Ok(httparse::Status::Partial) if self.buffer.len() < HEAD_LIMIT + limit => self.fill(deadline)?,
                    _ => return Err(HttpError::Malformed("chunk".into())),
                }
            };
            let size = usize::try_from(size).map_err(|_| HttpError::TooLarge)?;
            if size > limit || body.len() + size > limit {
                return Err(HttpError::TooLarge);
            }
            while self.buffer.len() < start + size + 2 {
                self.fill(deadline)?;
            }
            body.extend_from_slice(&self.buffer[start..start + size]);
            self.buffer.drain(..start + size + 2);
            if size == 0 {
                return Ok(body);
            }
        }
    }

    /// Writes all of `bytes`; each piece may take `timeout`.
    ///
    /// # Errors
    ///
    /// If the other side takes nothing for that long, or is gone.
    pub fn write(&mut self, bytes: &[u8], timeout: Duration) -> Result<(), HttpError> {
        if !serves(self.write_timeout, timeout) {
            self.stream.set_write_timeout(Some(timeout))?;
            self.write_timeout = Some(timeout);
        }
        (&*self.stream).write_all(bytes)?;
        Ok(())
    }
}

/// A client of one server that keeps its connection open between calls.
pub struct Client {
    addr: SocketAddr,
    connection: Option<Connection>,
}

/// The most bytes of an answer; the state service's watches have no limit of
/// their own.
const ANSWER_LIMIT: usize = 8 * 1024 * 1024;

impl Client {
    pub fn new(addr: SocketAddr) -> Self {
        Client { addr, connection: None }
    }

    /// Makes a call; any error means that it may or may not be carried out.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        body: &[u8],
        timeout: Duration,
    ) -> Result<(u16, Vec<u8>), HttpError> {
        let mut connection = match self.connection.take() {
            Some(open) => open,
            None => Connection::new(TcpStream::connect_timeout(&self.addr, timeout.min(Duration::from_secs(1)))?),
        };
        let mut bytes = format!(
            "{method} {path} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            self.addr,
            body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(body);
        connection.write(&bytes, timeout)?;
        let (head, body) = connection.read(false, timeout, timeout, ANSWER_LIMIT)?;
        if !head.close {
            self.connection = Some(connection);
        }
        Ok((head.status, body))
    }
}

#[cfg(test)]
mod tests;
