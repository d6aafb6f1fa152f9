//! HTTP/1.1 over blocking sockets, for both sides, with a deadline on every read
//! and a bound on every size. Used by the controllers, by roll-outs and by `tillerctl`; it knows nothing of
//! what the messages say.

mod client;
mod connection;
mod head;
mod listener;

pub use client::Client;
pub use connection::Connection;
pub use head::Head;
pub use listener::listen;

use std::io;

/// Why a message could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The socket failed, or the deadline has passed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// What arrived is not HTTP.
    #[error("not HTTP: {0}")]
    Malformed(#[from] MalformedMessage),
    /// The head or the body is larger than allowed.
    #[error("too large")]
    TooLarge,
    /// The other side closed the connection.
    #[error("closed")]
    Closed,
}

/// What is wrong with a message that is not HTTP.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MalformedMessage {
    /// The head can't be parsed.
    #[error("{0}")]
    Head(#[from] httparse::Error),
    /// The content length is not a number.
    #[error("content-length")]
    ContentLength,
    /// Two content lengths differ: the message could be read in two ways.
    #[error("content-length twice")]
    ConflictingContentLengths,
    /// A response that must have a body says neither how long it is nor that it comes in chunks.
    #[error("no length")]
    NoLength,
    /// The size of a chunk can't be parsed.
    #[error("chunk")]
    Chunk,
}
