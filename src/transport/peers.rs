//! What controllers tell one another, by gRPC: one thread with a runtime of
//! its own, which nothing else in the program sees.

use super::engine::Event;
use crate::coordination::Input;
use crate::protocol::peer::peer_client::PeerClient;
use crate::protocol::peer::peer_server::{Peer, PeerServer};
use crate::protocol::peer::{Heard, Note};
use std::net::SocketAddr;
use std::sync::mpsc::SyncSender;
use std::time::Duration;
use tokio::sync::watch;
use tonic::transport::{Endpoint, Server};
use tonic::{Request, Response, Status};

const STACK: usize = 512 * 1024;
const TIMEOUT: Duration = Duration::from_millis(1500);

struct Ear {
    engine: SyncSender<Event>,
}

#[tonic::async_trait]
impl Peer for Ear {
    async fn tell(&self, request: Request<Note>) -> Result<Response<Heard>, Status> {
        let note = request.into_inner();
        let revision = note.revision;
        self.engine
            .try_send(Event::Input(Input::Note(note)))
            .map_err(|_| Status::resource_exhausted("too much to do"))?;
        Ok(Response::new(Heard { revision }))
    }
}

/// Passes the newest note on to one peer; notes that another one overtakes
/// are not sent.
async fn talk(addr: SocketAddr, mut notes: watch::Receiver<Note>) {
    let Ok(endpoint) = Endpoint::from_shared(format!("http://{addr}")) else { return };
    let channel = endpoint
        .connect_timeout(Duration::from_millis(700))
        .timeout(TIMEOUT)
        .tcp_nodelay(true)
        .initial_stream_window_size(64 * 1024)
        .connect_lazy();
    let mut client = PeerClient::new(channel).max_decoding_message_size(256 * 1024);
    while notes.changed().await.is_ok() {
        let note = notes.borrow_and_update().clone();
        let told = tokio::time::timeout(TIMEOUT, client.tell(note)).await;
        if !matches!(told, Ok(Ok(_))) {
            tracing::debug!("{addr} does not hear us");
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }
}

/// Starts the thread; what is put into the returned channel goes to all peers.
pub fn start(
    listen: SocketAddr,
    peers: Vec<SocketAddr>,
    engine: SyncSender<Event>,
) -> std::io::Result<watch::Sender<Note>> {
    let (notes, told) = watch::channel(Note::default());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().enable_time().build()?;
    std::thread::Builder::new().name("peers".into()).stack_size(STACK).spawn(move || {
        let local = tokio::task::LocalSet::new();
        local.block_on(&runtime, async move {
            for addr in peers {
                tokio::task::spawn_local(talk(addr, told.clone()));
            }
            loop {
                let ear = PeerServer::new(Ear { engine: engine.clone() }).max_decoding_message_size(256 * 1024);
                let served = Server::builder()
                    .concurrency_limit_per_connection(4)
                    .timeout(TIMEOUT)
                    .add_service(ear)
                    .serve(listen)
                    .await;
                tracing::error!("the listener for peers ended: {served:?}");
                tokio::time::sleep(Duration::from_millis(500)).await;
            }
        });
    })?;
    Ok(notes)
}
