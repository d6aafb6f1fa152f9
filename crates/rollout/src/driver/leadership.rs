//! Leader election with a leased key. Every write of a driver is conditional on
//! the revision of that key, so that a driver whose lease expired while it was
//! suspended or cut off can't change anything.

use super::{service_key, Driver, LeaderLease, Note, PendingCall, DRIVER_KEY, RETRY_DELAY, SERVICES};
use crate::ports::{Answer, Call, Commit};
use crate::units::{LeaseId, Millis, Revision};

/// Longest time that a watch waits for changes.
const WATCH_TIMEOUT: Millis = Millis(10_000);

/// This node's state in the leader election.
#[derive(Debug)]
pub(super) enum Leadership {
    /// Another node is the leader, or none is.
    Standby { read_lease_at: Millis },
    /// Reading or writing the leader lease.
    Acquiring,
    /// This node holds the leader lease and is reading the records.
    Loading {
        lease_revision: Revision,
        lease: LeaseId,
        after: Option<String>,
        listed_keys: Vec<String>,
        listed_revision: Option<Revision>,
        list_pending: bool,
        retry_at: Millis,
    },
    /// This node is the leader.
    Leading {
        lease_revision: Revision,
        lease: LeaseId,
        renew_pending: bool,
        renew_at: Millis,
        watched_revision: Revision,
        watch_pending: bool,
        watch_at: Millis,
    },
}

impl Default for Leadership {
    fn default() -> Self {
        Leadership::Standby { read_lease_at: Millis(0) }
    }
}

impl Leadership {
    fn load(lease_revision: Revision, lease: LeaseId, now: Millis) -> Leadership {
        Leadership::Loading {
            lease_revision,
            lease,
            after: None,
            listed_keys: vec![],
            listed_revision: None,
            list_pending: false,
            retry_at: now,
        }
    }
}

impl Driver {
    pub(super) fn update_leadership(&mut self) {
        let (now, quarter) = (self.now, Millis(self.config.ttl.0 / 4));
        match &mut self.leadership {
            Leadership::Standby { read_lease_at } if now >= *read_lease_at => {
                self.leadership = Leadership::Acquiring;
                self.call(Call::Get { key: DRIVER_KEY.into() }, PendingCall::ReadLease);
            }
            Leadership::Leading { lease, renew_pending, renew_at, .. } if !*renew_pending && now >= *renew_at => {
                *renew_pending = true;
                *renew_at = now + quarter;
                let lease = *lease;
                self.call(Call::Renew { lease }, PendingCall::RenewLease(now));
            }
            Leadership::Loading { after, list_pending, retry_at, .. } if !*list_pending && now >= *retry_at => {
                *list_pending = true;
                let after = after.clone();
                self.call(Call::List { prefix: SERVICES.into(), after }, PendingCall::LoadServices);
            }
            _ => {}
        }
    }

    /// Returns the revision of the leader lease, on which all writes are
    /// conditional; `None` unless this node is the leader.
    pub(super) fn lease_revision(&self) -> Option<Revision> {
        match self.leadership {
            Leadership::Leading { lease_revision, .. } => Some(lease_revision),
            _ => None,
        }
    }

    pub(super) fn watch(&mut self) {
        let now = self.now;
        if let Leadership::Leading { watched_revision, watch_pending, watch_at, .. } = &mut self.leadership {
            if !*watch_pending && now >= *watch_at {
                *watch_pending = true;
                let after = *watched_revision;
                let call = Call::Watch { prefix: SERVICES.into(), after, wait: WATCH_TIMEOUT };
                self.call(call, PendingCall::Watch);
            }
        }
    }

    /// Gives up leadership. Calls that are still pending are harmless, because
    /// writes are conditional and effects are idempotent.
    pub(super) fn step_down(&mut self) {
        if !matches!(self.leadership, Leadership::Standby { .. } | Leadership::Acquiring) {
            self.note(Note::SteppedDown);
        }
        self.leadership = Leadership::Standby { read_lease_at: self.now + RETRY_DELAY };
        self.services.clear();
        self.service_of.clear();
        self.running_checks.clear();
        self.calls.clear();
        self.polling = false;
    }

    pub(super) fn leadership_answer(&mut self, pending: PendingCall, answer: Answer) {
        match pending {
            PendingCall::ReadLease => self.lease_read(answer),
            PendingCall::GrantLease => match answer {
                Answer::Granted(lease) => {
                    self.granted_lease = Some(lease);
                    let lease_revision = LeaderLease {
                        node: self.config.node.clone(),
                        listen: self.config.listen.clone(),
                        lease: lease.0,
                    };
                    let commit = Commit {
                        conditions: vec![(DRIVER_KEY.into(), self.replaced_revision)],
                        key: DRIVER_KEY.into(),
                        value: serde_json::to_value(lease_revision).unwrap_or_default(),
                        lease: Some(lease),
                    };
                    self.call(Call::Commit(commit), PendingCall::WriteLease);
                }
                _ => self.leadership = Leadership::Standby { read_lease_at: self.now + RETRY_DELAY },
            },
            // Reading the key again shows whether the write succeeded.
            PendingCall::WriteLease => self.leadership = Leadership::Standby { read_lease_at: self.now },
            PendingCall::RenewLease(sent_at) => self.renew_answer(sent_at, &answer),
            PendingCall::LoadServices => self.load_answer(answer),
            PendingCall::Watch => self.watch_answer(answer),
            _ => {}
        }
    }

    fn lease_read(&mut self, answer: Answer) {
        match answer {
            Answer::Missing => self.grant(Revision(0)),
            Answer::Found(item) => {
                let lease_revision = serde_json::from_value::<LeaderLease>(item.value).ok();
                match lease_revision.filter(|c| c.node == self.config.node && c.listen == self.config.listen) {
                    Some(lease_revision) if self.granted_lease == Some(LeaseId(lease_revision.lease)) => {
                        self.leadership = Leadership::load(item.revision, LeaseId(lease_revision.lease), self.now);
                    }
                    // An earlier process of this node holds the lease. It is
                    // replaced: writes of that process that are still in flight
                    // then fail, and new job ids differ from its ids.
                    Some(_) => self.grant(item.revision),
                    None => {
                        self.leadership =
                            Leadership::Standby { read_lease_at: self.now + Millis(self.config.ttl.0 / 3) }
                    }
                }
            }
            _ => self.leadership = Leadership::Standby { read_lease_at: self.now + RETRY_DELAY },
        }
    }

    fn grant(&mut self, replaced: Revision) {
        self.replaced_revision = replaced;
        self.call(Call::Grant { ttl: self.config.ttl }, PendingCall::GrantLease);
    }

    fn renew_answer(&mut self, sent_at: Millis, answer: &Answer) {
        let quarter = Millis(self.config.ttl.0 / 4);
        let mut lease_gone = false;
        if let Leadership::Leading { renew_pending, renew_at, .. } = &mut self.leadership {
            *renew_pending = false;
            match answer {
                Answer::Renewed => *renew_at = sent_at + quarter,
                Answer::LeaseGone => lease_gone = true,
                _ => *renew_at = self.now + Millis(RETRY_DELAY.0 / 2),
            }
        }
        if lease_gone {
            self.step_down();
        }
    }

    fn load_answer(&mut self, answer: Answer) {
        let now = self.now;
        let Leadership::Loading { lease_revision, lease, after, listed_keys, listed_revision, list_pending, retry_at } =
            &mut self.leadership
        else {
            return;
        };
        *list_pending = false;
        let Answer::Page { items, more, revision: page_revision } = answer else {
            *retry_at = now + RETRY_DELAY;
            return;
        };
        // The watch starts at the revision of the first page, so that it returns
        // changes during the listing.
        let from = *listed_revision.get_or_insert(page_revision);
        *after = items.last().map(|item| item.key.clone());
        listed_keys.extend(items.iter().map(|item| item.key.clone()));
        let (lease_revision, lease) = (*lease_revision, *lease);
        let all_keys = (!more || items.is_empty()).then(|| std::mem::take(listed_keys));
        for item in items {
            self.apply_value(&item.key, Some(item.value), item.revision);
        }
        if let Some(listed_keys) = all_keys {
            self.services.retain(|name, _| listed_keys.contains(&service_key(name)));
            self.leadership = Leadership::Leading {
                lease_revision,
                lease,
                renew_pending: false,
                renew_at: now,
                watched_revision: from,
                watch_pending: false,
                watch_at: now,
            };
            self.note(Note::BecameLeader(lease_revision));
        }
    }

    fn watch_answer(&mut self, answer: Answer) {
        let now = self.now;
        let Leadership::Leading { lease_revision, lease, watched_revision, watch_pending, watch_at, .. } =
            &mut self.leadership
        else {
            return;
        };
        *watch_pending = false;
        match answer {
            Answer::Changes { revision, changed } => {
                *watched_revision = revision.max(*watched_revision);
                *watch_at = now;
                for (key, value, revision) in changed {
                    self.apply_value(&key, value, revision);
                }
            }
            Answer::TooOld => {
                self.leadership = Leadership::load(*lease_revision, *lease, now);
            }
            _ => *watch_at = now + RETRY_DELAY,
        }
    }
}
