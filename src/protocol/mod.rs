//! The messages of every interface: users, workers, the store, the cloud and other controllers.
//!
//! Words of the wire appear here and nowhere else, as serde renames. Messages are types only: what they cause is
//! decided in `coordination`.

pub mod cloud;
pub mod state;
pub mod users;
pub mod workers;

/// Messages between controllers, generated from `proto/peer.proto`, which documents them.
// The code is not ours: tonic and prost write it without these.
#[allow(missing_docs, clippy::missing_errors_doc, clippy::too_many_lines, clippy::wildcard_imports)]
pub mod peer {
    tonic::include_proto!("tillercleat.peer.v1");
}

/// The most bytes a request body may have.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
