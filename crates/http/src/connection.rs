//! Client or server side of a connection. Reads whole messages by a deadline, and writes bytes with a timeout.

use crate::head::{parse_request_head, parse_response_head, Head, ParsedHead, MAX_HEAD_BYTES};
use crate::{HttpError, MalformedMessage};
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum number of bytes per read from the socket.
const READ_BUFFER_BYTES: usize = 4096;

/// Terminator of each chunk of a body.
const CHUNK_TERMINATOR: &[u8] = b"\r\n";

/// Connection with a buffer of received bytes that are not parsed yet.
pub struct Connection {
    stream: Arc<TcpStream>,
    buffer: Vec<u8>,
    /// Timeouts currently set on the socket.
    read_timeout: Option<Duration>,
    write_timeout: Option<Duration>,
}

/// True if the timeout set on a socket is at least the remaining time and at most slightly longer, so that
/// it can stay. Setting it for every message would cost a system call each.
fn can_keep_timeout(set: Option<Duration>, remaining: Duration) -> bool {
    set.is_some_and(|set| set >= remaining && set <= remaining + remaining / 16 + Duration::from_millis(2))
}

impl Connection {
    /// Creates a connection over an open socket.
    pub fn new(stream: impl Into<Arc<TcpStream>>) -> Self {
        let stream = stream.into();
        // An error can be ignored: without the option messages are only slower, and the first read on a failed
        // socket returns the error.
        stream.set_nodelay(true).ok();
        Connection { stream, buffer: Vec::new(), read_timeout: None, write_timeout: None }
    }

    /// Reads one request. Its first byte must arrive within `idle_timeout`, and the rest within
    /// `message_timeout` after that. The body may have up to `max_body_bytes`.
    ///
    /// # Errors
    ///
    /// If a timeout expires, the peer closes the connection, or the message is not valid HTTP or too large.
    /// After an error nothing more can be read from the connection.
    pub fn read_request(
        &mut self,
        idle_timeout: Duration,
        message_timeout: Duration,
        max_body_bytes: usize,
    ) -> Result<(Head, Vec<u8>), HttpError> {
        let deadline = self.wait_for_message(idle_timeout, message_timeout)?;
        let head = self.read_head(parse_request_head, deadline)?;
        let body = self.read_body(&head, Some(0), deadline, max_body_bytes)?;
        Ok((head, body))
    }

    /// Reads one response, whose body must have a `Content-Length` or be chunked unless the status is 204.
    /// Its first byte must arrive within `timeout`, and the rest within `timeout` after that. The body may
    /// have up to `max_body_bytes`.
    ///
    /// # Errors
    ///
    /// As [`Connection::read_request`].
    pub(crate) fn read_response(
        &mut self,
        timeout: Duration,
        max_body_bytes: usize,
    ) -> Result<(Head, Vec<u8>), HttpError> {
        let deadline = self.wait_for_message(timeout, timeout)?;
        let head = self.read_head(parse_response_head, deadline)?;
        let default_length = (head.status == 204).then_some(0);
        let body = self.read_body(&head, default_length, deadline, max_body_bytes)?;
        Ok((head, body))
    }

    /// Reads one response by `deadline`, which limits the time for the whole response. A body without a
    /// `Content-Length` ends when the peer closes the connection.
    ///
    /// # Errors
    ///
    /// As [`Connection::read_request`].
    pub fn read_response_by(&mut self, deadline: Instant, max_body_bytes: usize) -> Result<(Head, Vec<u8>), HttpError> {
        let head = self.read_head(parse_response_head, deadline)?;
        if head.chunked {
            let body = self.read_chunks(deadline, max_body_bytes)?;
            return Ok((head, body));
        }
        let has_no_body = head.status == 204 || head.status == 304;
        let expected = if has_no_body { Some(0) } else { head.content_length };
        while expected.is_none_or(|length| self.buffer.len() < length) {
            if expected.unwrap_or(0).max(self.buffer.len()) > max_body_bytes {
                return Err(HttpError::TooLarge);
            }
            match self.fill(deadline) {
                Err(HttpError::Closed) if expected.is_none() => break,
                other => other?,
            }
        }
        let length = expected.unwrap_or(self.buffer.len());
        if length > max_body_bytes {
            return Err(HttpError::TooLarge);
        }
        Ok((head, self.buffer.drain(..length).collect()))
    }

    /// Writes all of `bytes`. `timeout` applies to each write to the socket, not to the total.
    ///
    /// # Errors
    ///
    /// If the peer accepts no bytes for `timeout`, or has closed the connection.
    pub fn write(&mut self, bytes: &[u8], timeout: Duration) -> Result<(), HttpError> {
        if !can_keep_timeout(self.write_timeout, timeout) {
            self.stream.set_write_timeout(Some(timeout))?;
            self.write_timeout = Some(timeout);
        }
        (&*self.stream).write_all(bytes)?;
        Ok(())
    }

    /// Waits for the first byte of a message and returns the deadline for the whole message.
    fn wait_for_message(&mut self, idle_timeout: Duration, message_timeout: Duration) -> Result<Instant, HttpError> {
        if self.buffer.is_empty() {
            self.fill(Instant::now() + idle_timeout)?;
        }
        Ok(Instant::now() + message_timeout)
    }

    /// Reads more bytes into the buffer by `deadline`.
    fn fill(&mut self, deadline: Instant) -> Result<(), HttpError> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(io::Error::from(io::ErrorKind::TimedOut).into());
        }
        if !can_keep_timeout(self.read_timeout, remaining) {
            let timeout = Some(remaining.max(Duration::from_millis(1)));
            self.stream.set_read_timeout(timeout)?;
            self.read_timeout = timeout;
        }
        let mut received = [0u8; READ_BUFFER_BYTES];
        match (&*self.stream).read(&mut received) {
            Ok(0) => Err(HttpError::Closed),
            Ok(length) => {
                self.buffer.extend_from_slice(&received[..length]);
                Ok(())
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => Ok(()),
            Err(error) => Err(error.into()),
        }
    }

    fn read_head(&mut self, parse: fn(&[u8]) -> ParsedHead, deadline: Instant) -> Result<Head, HttpError> {
        loop {
            if let Some((head, head_len)) = parse(&self.buffer)? {
                self.buffer.drain(..head_len);
                return Ok(head);
            }
            self.fill(deadline)?;
        }
    }

    /// Reads the body that follows this head. `default_length` applies if the head gives no length; without
    /// either the message is malformed.
    fn read_body(
        &mut self,
        head: &Head,
        default_length: Option<usize>,
        deadline: Instant,
        max_body_bytes: usize,
    ) -> Result<Vec<u8>, HttpError> {
        let body = if head.chunked {
            self.read_chunks(deadline, max_body_bytes)?
        } else {
            let length = head.content_length.or(default_length).ok_or(MalformedMessage::NoLength)?;
            self.read_exactly(length, deadline, max_body_bytes)?
        };
        if self.buffer.is_empty() {
            // Frees the buffer so that idle connections hold no memory.
            self.buffer = Vec::new();
        }
        Ok(body)
    }

    fn read_exactly(&mut self, length: usize, deadline: Instant, max_body_bytes: usize) -> Result<Vec<u8>, HttpError> {
        if length > max_body_bytes {
            return Err(HttpError::TooLarge);
        }
        while self.buffer.len() < length {
            self.fill(deadline)?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn read_chunks(&mut self, deadline: Instant, max_body_bytes: usize) -> Result<Vec<u8>, HttpError> {
        let mut body = vec![];
        loop {
            let (start, size) = self.read_chunk_size(deadline, max_body_bytes)?;
            if size > max_body_bytes || body.len() + size > max_body_bytes {
                return Err(HttpError::TooLarge);
            }
            let end = start + size + CHUNK_TERMINATOR.len();
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

    /// Returns the offset of the next chunk's data in the buffer and its size in bytes; the last chunk has size 0.
    fn read_chunk_size(&mut self, deadline: Instant, max_body_bytes: usize) -> Result<(usize, usize), HttpError> {
        let (start, size) = loop {
            match httparse::parse_chunk_size(&self.buffer) {
                Ok(httparse::Status::Complete(chunk)) => break chunk,
                Ok(httparse::Status::Partial) if self.buffer.len() < MAX_HEAD_BYTES + max_body_bytes => {
                    self.fill(deadline)?
                }
                _ => return Err(MalformedMessage::Chunk.into()),
            }
        };
        let size = usize::try_from(size).map_err(|_| HttpError::TooLarge)?;
        Ok((start, size))
    }
}
