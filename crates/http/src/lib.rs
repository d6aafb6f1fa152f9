//! HTTP/1.1 client and server connections over blocking sockets, with a deadline on every read and a
//! limit on every size. Used by the controllers, by roll-outs and by `tillerctl`. Message bodies are
//! opaque bytes.

mod client;
mod connection;
mod head;
mod listener;

pub use client::Client;
pub use connection::Connection;
pub use head::Head;
pub use listener::listen;

use std::io;

/// Error while reading or writing a message.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The socket failed, or the deadline passed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The received bytes are not valid HTTP.
    #[error("not HTTP: {0}")]
    Malformed(#[from] MalformedMessage),
    /// The head or the body is larger than allowed.
    #[error("too large")]
    TooLarge,
    /// The peer closed the connection.
    #[error("closed")]
    Closed,
}

/// Reason why a received message is not valid HTTP.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MalformedMessage {
    /// The head can't be parsed.
    #[error("{0}")]
    Head(#[from] httparse::Error),
    /// The value of `Content-Length` is not a number.
    #[error("content-length")]
    ContentLength,
    /// Two `Content-Length` headers differ, so the end of the message is ambiguous.
    #[error("content-length twice")]
    ConflictingContentLengths,
    /// A response that must have a body has neither a `Content-Length` nor a chunked encoding.
    #[error("no length")]
    NoLength,
    /// The size of a chunk can't be parsed.
    #[error("chunk")]
    Chunk,
}
