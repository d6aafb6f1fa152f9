//! Sends the status of this controller to all peers: the full status whenever the core has a new one, and
//! in between short messages that only carry the latest revision of the records. A newer status replaces
//! the ones that a slow peer has not received yet, so no messages queue up.

use super::{Client, MESSAGE_TIMEOUT};
use crate::protocol::peer::PeerStatus;
use crate::units::Revision;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Delay after a status could not be sent to a peer.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The latest full status and the latest revision of the records.
#[derive(Clone, Default)]
pub(super) struct LatestStatus {
    /// Number of full statuses so far; 0 before the first one.
    sequence: u64,
    status: Arc<PeerStatus>,
    revision: u64,
}

impl LatestStatus {
    /// Returns the message for a peer that last received the full status with this sequence number. Contains
    /// the full status only if it is new to that peer.
    fn message_after(&self, sequence: u64) -> PeerStatus {
        let full = &*self.status;
        if self.sequence != sequence {
            return PeerStatus { revision: self.revision, ..full.clone() };
        }
        PeerStatus {
            from: full.from.clone(),
            revision: self.revision,
            state_reachable: full.state_reachable,
            ..PeerStatus::default()
        }
    }
}

/// Used by the event loop to set the status that is sent to all peers. Never blocks.
pub struct StatusBroadcaster(watch::Sender<LatestStatus>);

impl StatusBroadcaster {
    /// Creates a broadcaster and the receiver that [`send_statuses`] watches for each peer.
    pub(super) fn new() -> (StatusBroadcaster, watch::Receiver<LatestStatus>) {
        let (sender, latest) = watch::channel(LatestStatus::default());
        (StatusBroadcaster(sender), latest)
    }

    /// Sends a full status to all peers.
    pub fn broadcast_status(&self, status: PeerStatus) {
        self.0.send_modify(|latest| {
            latest.sequence += 1;
            latest.revision = latest.revision.max(status.revision);
            latest.status = Arc::new(status);
        });
    }

    /// Sends the latest revision of the records to all peers.
    pub fn broadcast_revision(&self, revision: Revision) {
        self.0.send_modify(|latest| latest.revision = latest.revision.max(revision.0));
    }
}

/// Sends the latest status to one peer whenever it changes, until the broadcaster is dropped.
pub(super) async fn send_statuses(peer: SocketAddr, mut client: Client, mut latest: watch::Receiver<LatestStatus>) {
    let mut sent_sequence = 0;
    while latest.changed().await.is_ok() {
        let status = latest.borrow_and_update().clone();
        if status.sequence == 0 {
            // The sender's name comes from the full status; without one, a hint would not name its sender.
            continue;
        }
        let message = status.message_after(sent_sequence);
        match tokio::time::timeout(MESSAGE_TIMEOUT, client.tell(message)).await {
            Ok(Ok(_)) => {
                sent_sequence = status.sequence;
                continue;
            }
            Ok(Err(error)) => tracing::debug!(%peer, %error, "failed to send the status to a peer"),
            Err(_) => tracing::debug!(%peer, "timed out sending the status to a peer"),
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

#[cfg(test)]
mod tests;
