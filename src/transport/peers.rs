//! gRPC messages between controllers. One thread runs an asynchronous runtime that the rest of the program
//! does not use. It serves requests of other controllers ([`service`]), sends them the status of this one
//! ([`status_broadcast`]) and queries them ([`queries`]). Every message has a deadline. Messages are not
//! resent: each one is a hint that the next one replaces.

mod queries;
mod service;
mod status_broadcast;

pub use queries::PeerQueries;
pub use service::replica_message;
pub use status_broadcast::StatusBroadcaster;

use super::events::EventSender;
use crate::protocol::peer::peer_client::PeerClient;
use queries::PeerQuery;
use service::PeerService;
use status_broadcast::LatestStatus;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tonic::transport::{Channel, Endpoint};

/// Stack size of the `peers` thread.
const STACK_BYTES: usize = 512 * 1024;

/// Deadline for sending a message to a peer and for serving a message from a peer.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Deadline for connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum size of a message from a peer.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;

/// Initial HTTP/2 flow-control window of each stream.
const STREAM_WINDOW_BYTES: u32 = 64 * 1024;

/// A gRPC client for one peer; connects when it is first used.
type Client = PeerClient<Channel>;

/// The address of a peer and the client for it.
struct PeerConnection {
    addr: SocketAddr,
    client: Client,
}

impl PeerConnection {
    /// None if the address cannot be turned into a URL.
    fn new(addr: SocketAddr) -> Option<PeerConnection> {
        let endpoint = Endpoint::from_shared(format!("http://{addr}"))
            .inspect_err(|error| tracing::error!(peer = %addr, %error, "invalid peer address"))
            .ok()?;
        let channel = endpoint
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(MESSAGE_TIMEOUT)
            .tcp_nodelay(true)
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .connect_lazy();
        let client = PeerClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
        Some(PeerConnection { addr, client })
    }
}

/// Handles with which other threads reach the peers.
pub struct PeerHandles {
    /// Sends the status of this controller to all peers.
    pub status_broadcaster: StatusBroadcaster,
    /// Queries all peers.
    pub queries: PeerQueries,
}

/// Starts the `peers` thread, which listens on `listen` and connects to `peers`. Queries for roll-outs are
/// answered only if `rollouts_enabled` is true.
///
/// # Errors
///
/// If the runtime or the thread can't be started. A failure to listen on the address is not returned: it
/// is logged and retried.
pub fn start(
    listen: SocketAddr,
    peers: Vec<SocketAddr>,
    events: EventSender,
    rollouts_enabled: bool,
) -> io::Result<PeerHandles> {
    let (status_broadcaster, latest_status) = StatusBroadcaster::new();
    let (queries, query_queue) = PeerQueries::new();
    let service = PeerService::new(events, rollouts_enabled);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().enable_time().build()?;
    std::thread::Builder::new().name("peers".into()).stack_size(STACK_BYTES).spawn(move || {
        let tasks = tokio::task::LocalSet::new();
        tasks.block_on(&runtime, run(listen, peers, service, latest_status, query_queue));
    })?;
    Ok(PeerHandles { status_broadcaster, queries })
}

/// Serves and calls peers until the process ends.
async fn run(
    listen: SocketAddr,
    peers: Vec<SocketAddr>,
    service: PeerService,
    latest_status: watch::Receiver<LatestStatus>,
    query_queue: mpsc::Receiver<PeerQuery>,
) {
    let connections: Vec<_> = peers.into_iter().filter_map(PeerConnection::new).collect();
    for peer in &connections {
        let client = peer.client.clone();
        tokio::task::spawn_local(status_broadcast::send_statuses(peer.addr, client, latest_status.clone()));
    }
    let clients = connections.into_iter().map(|peer| peer.client).collect();
    tokio::task::spawn_local(queries::serve_queries(clients, query_queue));
    service.serve(listen).await;
}
