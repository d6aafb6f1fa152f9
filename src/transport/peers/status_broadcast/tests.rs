use super::*;

/// Guards against hints that carry the machine ages of the whole fleet, and against a peer that never gets
/// the full status because hints followed it before the peer had received it.
#[test]
fn a_revision_hint_is_short_and_does_not_replace_an_unsent_full_status() {
    let (sender, mut receiver) = watch::channel(LatestStatus::default());
    let broadcaster = StatusBroadcaster(sender);
    let full = PeerStatus {
        from: "n0".into(),
        revision: 5,
        faulty_machines: vec!["i-000001".into()],
        ..PeerStatus::default()
    };
    broadcaster.broadcast_status(full.clone());
    broadcaster.broadcast_revision(Revision(9));
    let latest = receiver.borrow_and_update().clone();
    assert_eq!(latest.message_after(0), PeerStatus { revision: 9, ..full });
    assert_eq!(latest.message_after(1), PeerStatus { from: "n0".into(), revision: 9, ..PeerStatus::default() });
    broadcaster.broadcast_revision(Revision(7));
    assert_eq!(receiver.borrow_and_update().message_after(1).revision, 9);
}
