//! Parses the head of an HTTP message: its start line and headers.

use crate::{HttpError, MalformedMessage};
use httparse::Status;

/// Maximum size of a head that is still incomplete.
pub(crate) const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Maximum number of headers in a message.
const MAX_HEADERS: usize = 48;

/// Parsed head of a request or response. Headers that do not affect framing are discarded.
#[derive(Debug, Default, PartialEq)]
pub struct Head {
    /// Method of a request; empty in a response.
    pub method: String,
    /// Target of a request, including the query string; empty in a response.
    pub path: String,
    /// Status code of a response; 0 in a request.
    pub status: u16,
    /// Value of `Content-Length` in bytes, if the header is present.
    pub content_length: Option<usize>,
    /// True if the body uses the chunked transfer encoding, which overrides `content_length`.
    pub chunked: bool,
    /// True if the peer closes the connection after this message.
    pub close: bool,
}

/// Parsed head and its size in bytes, or `None` if more bytes are needed.
pub(crate) type ParsedHead = Result<Option<(Head, usize)>, HttpError>;

/// Parses the head of a request at the start of `bytes`.
pub(crate) fn parse_request_head(bytes: &[u8]) -> ParsedHead {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let Status::Complete(head_len) = parsed.parse(bytes).map_err(malformed)? else { return incomplete(bytes) };
    let method = parsed.method.unwrap_or("").to_string();
    let path = parsed.path.unwrap_or("").to_string();
    let head = Head { method, path, ..Head::default() };
    Ok(Some((head.with_headers(parsed.version, parsed.headers)?, head_len)))
}

/// Parses the head of a response at the start of `bytes`.
pub(crate) fn parse_response_head(bytes: &[u8]) -> ParsedHead {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let Status::Complete(head_len) = parsed.parse(bytes).map_err(malformed)? else { return incomplete(bytes) };
    let head = Head { status: parsed.code.unwrap_or(0), ..Head::default() };
    Ok(Some((head.with_headers(parsed.version, parsed.headers)?, head_len)))
}

fn malformed(error: httparse::Error) -> HttpError {
    MalformedMessage::Head(error).into()
}

/// Result for an incomplete head: more bytes are needed, unless the maximum is exceeded.
fn incomplete(bytes: &[u8]) -> ParsedHead {
    if bytes.len() > MAX_HEAD_BYTES {
        return Err(HttpError::TooLarge);
    }
    Ok(None)
}

impl Head {
    /// Sets the fields that depend on the HTTP version and the headers.
    fn with_headers(mut self, version: Option<u8>, headers: &[httparse::Header]) -> Result<Head, HttpError> {
        // HTTP/1.0 closes the connection after every message by default.
        self.close = version == Some(0);
        for header in headers {
            let value = std::str::from_utf8(header.value).unwrap_or("").trim();
            if header.name.eq_ignore_ascii_case("content-length") {
                self.set_content_length(value)?;
            } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
                self.chunked = value.to_ascii_lowercase().contains("chunked");
            } else if header.name.eq_ignore_ascii_case("connection") {
                self.close |= value.eq_ignore_ascii_case("close");
            }
        }
        Ok(self)
    }

    fn set_content_length(&mut self, value: &str) -> Result<(), MalformedMessage> {
        let content_length = value.parse().map_err(|_| MalformedMessage::ContentLength)?;
        if self.content_length.is_some_and(|earlier| earlier != content_length) {
            return Err(MalformedMessage::ConflictingContentLengths);
        }
        self.content_length = Some(content_length);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
