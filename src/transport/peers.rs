//! What controllers tell one another, by gRPC: one thread with a runtime of
//! its own, which nothing else in the program sees.

use super::events::Event;
use crate::coordination::Input;
use crate::protocol::peer::peer_client::PeerClient;
use crate::protocol::peer::peer_server::{Peer, PeerServer};
use crate::protocol::peer::{Heard, Note};
use crate::units::Revision;
use std::net::SocketAddr;
use std::sync::mpsc::SyncSender;
use std::sync::Arc;
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

/// What is to be told: the newest whole note, and how far the records have
/// come since.
#[derive(Clone, Default)]
struct News {
    /// Counts whole notes.
    number: u64,
    note: Arc<Note>,
    revision: u64,
}

/// Puts notes on their way to all peers.
pub struct Notes(watch::Sender<News>);

impl Notes {
    pub fn tell(&self, note: Note) {
        self.0.send_modify(|news| {
            news.number += 1;
            news.revision = news.revision.max(note.revision);
            news.note = Arc::new(note);
        });
    }

    pub fn nudge(&self, revision: Revision) {
        self.0.send_modify(|news| news.revision = news.revision.max(revision.0));
    }
}

impl News {
    /// The note for a peer that got the whole one of this number last: all of
    /// it only if it is new.
    fn after(&self, number: u64) -> Note {
        let whole = &*self.note;
        if self.number != number {
            return Note { revision: self.revision, ..whole.clone() };
        }
        Note {
            from: whole.from.clone(),
            revision: self.revision,
            state_reachable: whole.state_reachable,
            ..Note::default()
        }
    }
}

/// Passes the newest note on to one peer; notes that another one overtakes
/// are not sent.
async fn talk(addr: SocketAddr, mut notes: watch::Receiver<News>) {
    let Ok(endpoint) = Endpoint::from_shared(format!("http://{addr}")) else { return };
    let channel = endpoint
        .connect_timeout(Duration::from_millis(700))
        .timeout(TIMEOUT)
        .tcp_nodelay(true)
        .initial_stream_window_size(64 * 1024)
        .connect_lazy();
    let mut client = PeerClient::new(channel).max_decoding_message_size(256 * 1024);
    let mut heard = 0;
    while notes.changed().await.is_ok() {
        let news = notes.borrow_and_update().clone();
        if news.number == 0 {
            // Nothing to say yet about this node.
            continue;
        }
        let told = tokio::time::timeout(TIMEOUT, client.tell(news.after(heard))).await;
        if matches!(told, Ok(Ok(_))) {
            heard = news.number;
        } else {
            tracing::debug!("{addr} does not hear us");
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }
}

/// Starts the thread; what the returned sender is told goes to all peers.
pub fn start(listen: SocketAddr, peers: Vec<SocketAddr>, engine: SyncSender<Event>) -> std::io::Result<Notes> {
    let (notes, told) = watch::channel(News::default());
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
    Ok(Notes(notes))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Each nudge carried the ages of a whole fleet; a peer that missed the
    /// whole note must still get it, however many nudges come between.
    #[test]
    fn a_nudge_is_short_but_never_takes_a_notes_place() {
        let (sender, mut receiver) = watch::channel(News::default());
        let notes = Notes(sender);
        let whole = Note { from: "n0".into(), revision: 5, faulty: vec!["i-000001".into()], ..Note::default() };
        notes.tell(whole.clone());
        notes.nudge(Revision(9));
        let news = receiver.borrow_and_update().clone();
        assert_eq!(news.after(0), Note { revision: 9, ..whole });
        assert_eq!(news.after(1), Note { from: "n0".into(), revision: 9, ..Note::default() });
        notes.nudge(Revision(7));
        assert_eq!(receiver.borrow_and_update().after(1).revision, 9);
    }
}
