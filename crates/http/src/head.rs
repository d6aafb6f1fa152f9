//! Parses the head of a message: its first line and its headers. Pure functions.

use crate::{HttpError, MalformedMessage};
use httparse::Status;

/// The most bytes of a head.
pub(crate) const HEAD_LIMIT: usize = 16 * 1024;

/// The most headers of a message.
const MAX_HEADERS: usize = 48;

/// A message's head as far as it matters here.
#[derive(Debug, Default, PartialEq)]
pub struct Head {
    /// Of a request; empty in a response.
    pub method: String,
    /// Target of a request, with its query; empty in a response.
    pub path: String,
    /// Of a response; 0 in a request.
    pub status: u16,
    /// Bytes of the body, if the head says so.
    pub length: Option<usize>,
    /// The body comes in chunks, whatever `length` says.
    pub chunked: bool,
    /// The other side closes the connection after this message.
    pub close: bool,
}

/// A head and its length in bytes; none if it is not whole yet.
pub(crate) type ParsedHead = Result<Option<(Head, usize)>, HttpError>;

/// Reads a request's head from the front of `bytes`.
pub(crate) fn parse_request_head(bytes: &[u8]) -> ParsedHead {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let Status::Complete(used) = parsed.parse(bytes).map_err(malformed)? else { return incomplete(bytes) };
    let method = parsed.method.unwrap_or("").to_string();
    let path = parsed.path.unwrap_or("").to_string();
    let head = Head { method, path, ..Head::default() };
    Ok(Some((head.with_headers(parsed.version, parsed.headers)?, used)))
}

/// Reads a response's head from the front of `bytes`.
pub(crate) fn parse_response_head(bytes: &[u8]) -> ParsedHead {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let Status::Complete(used) = parsed.parse(bytes).map_err(malformed)? else { return incomplete(bytes) };
    let head = Head { status: parsed.code.unwrap_or(0), ..Head::default() };
    Ok(Some((head.with_headers(parsed.version, parsed.headers)?, used)))
}

fn malformed(error: httparse::Error) -> HttpError {
    MalformedMessage::Head(error).into()
}

/// More bytes are needed, unless there are too many already.
fn incomplete(bytes: &[u8]) -> ParsedHead {
    if bytes.len() > HEAD_LIMIT {
        return Err(HttpError::TooLarge);
    }
    Ok(None)
}

impl Head {
    /// Adds what the version and the headers say of the body and the connection.
    fn with_headers(mut self, version: Option<u8>, headers: &[httparse::Header]) -> Result<Head, HttpError> {
        // HTTP/1.0 closes after every message.
        self.close = version == Some(0);
        for header in headers {
            let value = std::str::from_utf8(header.value).unwrap_or("").trim();
            if header.name.eq_ignore_ascii_case("content-length") {
                self.set_length(value)?;
            } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
                self.chunked = value.to_ascii_lowercase().contains("chunked");
            } else if header.name.eq_ignore_ascii_case("connection") {
                self.close |= value.eq_ignore_ascii_case("close");
            }
        }
        Ok(self)
    }

    fn set_length(&mut self, value: &str) -> Result<(), MalformedMessage> {
        let length = value.parse().map_err(|_| MalformedMessage::ContentLength)?;
        if self.length.is_some_and(|earlier| earlier != length) {
            return Err(MalformedMessage::ConflictingContentLengths);
        }
        self.length = Some(length);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
