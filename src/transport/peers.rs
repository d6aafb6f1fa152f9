//! Messages between controllers, by gRPC: one thread with an asynchronous runtime of its own, which
//! nothing else in the program sees. It serves other controllers ([`service`]), sends them this one's
//! status ([`status_broadcast`]) and asks them ([`queries`]). Every message has a deadline, and none is
//! repeated: each is a hint that the next one replaces.

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

/// Stack of the thread in bytes.
const STACK: usize = 512 * 1024;

/// Deadline of a message to a peer, and of serving one.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Deadline of a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// The most bytes of a message from a peer.
const MESSAGE_LIMIT: usize = 256 * 1024;

/// Flow-control window of a connection in bytes.
const STREAM_WINDOW: u32 = 64 * 1024;

/// A client of one peer, which connects when it is first used.
type Client = PeerClient<Channel>;

/// A peer and its client.
struct PeerConnection {
    addr: SocketAddr,
    client: Client,
}

impl PeerConnection {
    /// None if the address makes no URL.
    fn new(addr: SocketAddr) -> Option<PeerConnection> {
        let endpoint = Endpoint::from_shared(format!("http://{addr}"))
            .inspect_err(|error| tracing::error!(peer = %addr, %error, "cannot use the address of a peer"))
            .ok()?;
        let channel = endpoint
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(MESSAGE_TIMEOUT)
            .tcp_nodelay(true)
            .initial_stream_window_size(STREAM_WINDOW)
            .connect_lazy();
        let client = PeerClient::new(channel).max_decoding_message_size(MESSAGE_LIMIT);
        Some(PeerConnection { addr, client })
    }
}

/// The ways from other threads to the peers.
pub struct PeerHandles {
    /// Sends this controller's status to all peers.
    pub status_broadcaster: StatusBroadcaster,
    /// Asks all peers.
    pub queries: PeerQueries,
}

/// Starts the thread, which listens on `listen` and talks to `peers`. Queries of roll-outs are answered
/// only with `rollouts_enabled`.
///
/// # Errors
///
/// If the runtime or the thread can't be started. An address that can't be listened on is logged
/// and tried again.
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
    std::thread::Builder::new().name("peers".into()).stack_size(STACK).spawn(move || {
        let tasks = tokio::task::LocalSet::new();
        tasks.block_on(&runtime, run(listen, peers, service, latest_status, query_queue));
    })?;
    Ok(PeerHandles { status_broadcaster, queries })
}

/// Serves and calls peers for as long as the process lives.
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
