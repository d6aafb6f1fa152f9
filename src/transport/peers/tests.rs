use super::*;

/// Each nudge carried the ages of a whole fleet; a peer that missed the
/// whole note must still get it, however many nudges come between.
#[test]
fn a_nudge_is_short_but_never_takes_a_notes_place() {
    let (sender, mut receiver) = watch::channel(JobChange::default());
    let notes = Notes(sender);
    let whole = PeerStatus {
        from: "n0".into(),
        revision: 5,
        faulty_machines: vec!["i-000001".into()],
        ..PeerStatus::default()
    };
    notes.tell(whole.clone());
    notes.nudge(Revision(9));
    let news = receiver.borrow_and_update().clone();
    assert_eq!(news.after(0), PeerStatus { revision: 9, ..whole });
    assert_eq!(news.after(1), PeerStatus { from: "n0".into(), revision: 9, ..PeerStatus::default() });
    notes.nudge(Revision(7));
    assert_eq!(receiver.borrow_and_update().after(1).revision, 9);
}
