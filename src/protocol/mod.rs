//! The messages of every interface. Wire words appear here and nowhere else.

pub mod cloud;
pub mod state;
pub mod users;
pub mod workers;

/// Messages between controllers, generated from `proto/peer.proto`.
pub mod peer {
    tonic::include_proto!("tillercleat.peer.v1");
}

/// The most bytes a request body may have.
pub const BODY_LIMIT: usize = 64 * 1024;
