//! One connection of either side: reads and writes whole messages, each by a deadline.

use crate::head::{parse_request_head, parse_response_head, Head, ParsedHead, HEAD_LIMIT};
use crate::{HttpError, MalformedMessage};
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Bytes read from the socket at once.
const READ_BYTES: usize = 4096;

/// Ends each chunk of a body.
const CHUNK_END: &[u8] = b"\r\n";

/// A connection with what was read but not used yet.
pub struct Connection {
    stream: Arc<TcpStream>,
    buffer: Vec<u8>,
    /// The time-outs that are set on the socket.
    read_timeout: Option<Duration>,
    write_timeout: Option<Duration>,
}

/// True if the time-out set on a socket is good enough for the time that is left: no shorter, and not
/// much longer. Setting it anew for every message costs a system call each.
fn is_close_enough(set: Option<Duration>, left: Duration) -> bool {
    set.is_some_and(|set| set >= left && set <= left + left / 16 + Duration::from_millis(2))
}

impl Connection {
    /// A connection over an open socket.
    pub fn new(stream: impl Into<Arc<TcpStream>>) -> Self {
        let stream = stream.into();
        // Without it messages are only slower; a socket that has failed says so at the first read.
        stream.set_nodelay(true).ok();
        Connection { stream, buffer: Vec::new(), read_timeout: None, write_timeout: None }
    }

    /// Reads one request. It may take `idle` to begin, and `whole` to arrive once it
    /// has; its body may have `limit` bytes.
    ///
    /// # Errors
    ///
    /// If the time is over, the other side closes, or what arrives is not HTTP or
    /// too large. Nothing more can be read from the connection then.
    pub fn read_request(
        &mut self,
        idle: Duration,
        whole: Duration,
        limit: usize,
    ) -> Result<(Head, Vec<u8>), HttpError> {
        let deadline = self.await_message(idle, whole)?;
        let head = self.read_head(parse_request_head, deadline)?;
        let body = self.read_body(&head, Some(0), deadline, limit)?;
        Ok((head, body))
    }

    /// Reads one response, which has to say its length. It may take `timeout` to begin, and
    /// as long to arrive once it has; its body may have `limit` bytes.
    ///
    /// # Errors
    ///
    /// As [`Connection::read_request`].
    pub(crate) fn read_response(&mut self, timeout: Duration, limit: usize) -> Result<(Head, Vec<u8>), HttpError> {
        let deadline = self.await_message(timeout, timeout)?;
        let head = self.read_head(parse_response_head, deadline)?;
        let default_length = (head.status == 204).then_some(0);
        let body = self.read_body(&head, default_length, deadline, limit)?;
        Ok((head, body))
    }

    /// Reads one response by `deadline`, however slowly its bytes come. Without
    /// a length it goes on until the other side closes.
    ///
    /// # Errors
    ///
    /// As [`Connection::read_request`].
    pub fn read_response_by(&mut self, deadline: Instant, limit: usize) -> Result<(Head, Vec<u8>), HttpError> {
        let head = self.read_head(parse_response_head, deadline)?;
        if head.chunked {
            let body = self.read_chunks(deadline, limit)?;
            return Ok((head, body));
        }
        let has_no_body = head.status == 204 || head.status == 304;
        let expected = if has_no_body { Some(0) } else { head.length };
        while expected.is_none_or(|length| self.buffer.len() < length) {
            if expected.unwrap_or(0).max(self.buffer.len()) > limit {
                return Err(HttpError::TooLarge);
            }
            match self.fill(deadline) {
                Err(HttpError::Closed) if expected.is_none() => break,
                other => other?,
            }
        }
        let length = expected.unwrap_or(self.buffer.len());
        if length > limit {
            return Err(HttpError::TooLarge);
        }
        Ok((head, self.buffer.drain(..length).collect()))
    }

    /// Writes all of `bytes`; each piece may take `timeout`.
    ///
    /// # Errors
    ///
    /// If the other side takes nothing for that long, or is gone.
    pub fn write(&mut self, bytes: &[u8], timeout: Duration) -> Result<(), HttpError> {
        if !is_close_enough(self.write_timeout, timeout) {
            self.stream.set_write_timeout(Some(timeout))?;
            self.write_timeout = Some(timeout);
        }
        (&*self.stream).write_all(bytes)?;
        Ok(())
    }

    /// Waits until a message has begun; returns the deadline for all of it.
    fn await_message(&mut self, idle: Duration, whole: Duration) -> Result<Instant, HttpError> {
        if self.buffer.is_empty() {
            self.fill(Instant::now() + idle)?;
        }
        Ok(Instant::now() + whole)
    }

    /// Reads more by `deadline`.
    fn fill(&mut self, deadline: Instant) -> Result<(), HttpError> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::Error::from(io::ErrorKind::TimedOut).into());
        }
        if !is_close_enough(self.read_timeout, left) {
            let timeout = Some(left.max(Duration::from_millis(1)));
            self.stream.set_read_timeout(timeout)?;
            self.read_timeout = timeout;
        }
        let mut piece = [0u8; READ_BYTES];
        match (&*self.stream).read(&mut piece) {
            Ok(0) => Err(HttpError::Closed),
            Ok(length) => {
                self.buffer.extend_from_slice(&piece[..length]);
                Ok(())
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => Ok(()),
            Err(error) => Err(error.into()),
        }
    }

    fn read_head(&mut self, parse: fn(&[u8]) -> ParsedHead, deadline: Instant) -> Result<Head, HttpError> {
        loop {
            if let Some((head, used)) = parse(&self.buffer)? {
                self.buffer.drain(..used);
                return Ok(head);
            }
            self.fill(deadline)?;
        }
    }

    /// Reads the body after this head; one that says no length has the default one, if there is one.
    fn read_body(
        &mut self,
        head: &Head,
        default_length: Option<usize>,
        deadline: Instant,
        limit: usize,
    ) -> Result<Vec<u8>, HttpError> {
        let body = if head.chunked {
            self.read_chunks(deadline, limit)?
        } else {
            let length = head.length.or(default_length).ok_or(MalformedMessage::NoLength)?;
            self.read_exactly(length, deadline, limit)?
        };
        if self.buffer.is_empty() {
            // Idle connections hold no memory.
            self.buffer = Vec::new();
        }
        Ok(body)
    }

    fn read_exactly(&mut self, length: usize, deadline: Instant, limit: usize) -> Result<Vec<u8>, HttpError> {
        if length > limit {
            return Err(HttpError::TooLarge);
        }
        while self.buffer.len() < length {
            self.fill(deadline)?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn read_chunks(&mut self, deadline: Instant, limit: usize) -> Result<Vec<u8>, HttpError> {
        let mut body = vec![];
        loop {
            let (start, size) = self.read_chunk_size(deadline, limit)?;
            if size > limit || body.len() + size > limit {
                return Err(HttpError::TooLarge);
            }
            let end = start + size + CHUNK_END.len();
            while self.buffer.len() < end {
                self.fill(deadline)?;
            }
            body.extend_from_slice(&self.buffer[start..start + size]);
            self.buffer.drain(..end);
            if size == 0 {
                return Ok(body);
            }
        }
    }

    /// Where the next chunk begins in the buffer, and its bytes; 0 for the last one.
    fn read_chunk_size(&mut self, deadline: Instant, limit: usize) -> Result<(usize, usize), HttpError> {
        let (start, size) = loop {
            match httparse::parse_chunk_size(&self.buffer) {
                Ok(httparse::Status::Complete(found)) => break found,
                Ok(httparse::Status::Partial) if self.buffer.len() < HEAD_LIMIT + limit => self.fill(deadline)?,
                _ => return Err(MalformedMessage::Chunk.into()),
            }
        };
        let size = usize::try_from(size).map_err(|_| HttpError::TooLarge)?;
        Ok((start, size))
    }
}
