//! Sends this controller's status to all peers: the whole of it whenever the core has a new one, and in
//! between short messages that only say how far the records have come. The newest status replaces those
//! that a slow peer has not taken yet, so that nothing queues up.

use super::{Client, MESSAGE_TIMEOUT};
use crate::protocol::peer::PeerStatus;
use crate::units::Revision;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Pause after a peer did not take a status.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The newest whole status, and how far the records have come since.
#[derive(Clone, Default)]
pub(super) struct LatestStatus {
    /// Counts whole statuses; 0: there is none yet.
    number: u64,
    status: Arc<PeerStatus>,
    revision: u64,
}

impl LatestStatus {
    /// The message for a peer that took the whole status of this number last: all of
    /// it only if it is new to that peer.
    fn message_after(&self, number: u64) -> PeerStatus {
        let whole = &*self.status;
        if self.number != number {
            return PeerStatus { revision: self.revision, ..whole.clone() };
        }
        PeerStatus {
            from: whole.from.clone(),
            revision: self.revision,
            state_reachable: whole.state_reachable,
            ..PeerStatus::default()
        }
    }
}

/// The event loop's side: sets what is sent to all peers. Never waits.
pub struct StatusBroadcaster(watch::Sender<LatestStatus>);

impl StatusBroadcaster {
    /// A broadcaster, and what [`send_statuses`] watches for each peer.
    pub(super) fn new() -> (StatusBroadcaster, watch::Receiver<LatestStatus>) {
        let (sender, latest) = watch::channel(LatestStatus::default());
        (StatusBroadcaster(sender), latest)
    }

    /// Sends a whole status.
    pub fn broadcast_status(&self, status: PeerStatus) {
        self.0.send_modify(|latest| {
            latest.number += 1;
            latest.revision = latest.revision.max(status.revision);
            latest.status = Arc::new(status);
        });
    }

    /// Sends how far the records have come.
    pub fn hint_revision(&self, revision: Revision) {
        self.0.send_modify(|latest| latest.revision = latest.revision.max(revision.0));
    }
}

/// Sends the newest status to one peer whenever it changes, until the broadcaster is gone.
pub(super) async fn send_statuses(peer: SocketAddr, mut client: Client, mut latest: watch::Receiver<LatestStatus>) {
    let mut sent_number = 0;
    while latest.changed().await.is_ok() {
        let status = latest.borrow_and_update().clone();
        if status.number == 0 {
            // No whole status yet, without which a hint has no sender.
            continue;
        }
        let message = status.message_after(sent_number);
        match tokio::time::timeout(MESSAGE_TIMEOUT, client.tell(message)).await {
            Ok(Ok(_)) => {
                sent_number = status.number;
                continue;
            }
            Ok(Err(error)) => tracing::debug!(%peer, %error, "cannot send status to a peer"),
            Err(_) => tracing::debug!(%peer, "timed out sending status to a peer"),
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

#[cfg(test)]
mod tests;
