//! Who drives: a key that a lease keeps. Its revision is the claim; every write
//! of a driver is conditional on it, so that one whose lease ran out while it
//! was frozen or cut off changes nothing any more.

use super::{service_key, Claim, Driver, Note, Pending, BACK_OFF, DRIVER_KEY, SERVICES};
use crate::ports::{Answer, Call, Commit};
use crate::units::{LeaseId, Millis, Stamp};

/// How long a watch waits for news.
const WATCH_WAIT: Millis = Millis(10_000);

/// Where this node is on its way to driving.
#[derive(Debug)]
pub(super) enum Leadership {
    /// Somebody else drives, or nobody does yet.
    Standby { read_claim_at: Millis },
    /// A call on the way to a claim is under way.
    Claiming,
    /// The claim is ours; the records are being read.
    Loading {
        claim: Stamp,
        lease: LeaseId,
        after: Option<String>,
        listed_keys: Vec<String>,
        revision: Option<Stamp>,
        calling: bool,
        retry: Millis,
    },
    Driving {
        claim: Stamp,
        lease: LeaseId,
        renewing: bool,
        renew_at: Millis,
        watch: Stamp,
        watching: bool,
        watch_at: Millis,
    },
}

impl Default for Leadership {
    fn default() -> Self {
        Leadership::Standby { read_claim_at: Millis(0) }
    }
}

impl Leadership {
    fn load(claim: Stamp, lease: LeaseId, now: Millis) -> Leadership {
        Leadership::Loading {
            claim,
            lease,
            after: None,
            listed_keys: vec![],
            revision: None,
            calling: false,
            retry: now,
        }
    }
}

impl Driver {
    pub(super) fn update_leadership(&mut self) {
        let (now, quarter) = (self.now, Millis(self.config.ttl.0 / 4));
        match &mut self.leadership {
            Leadership::Standby { read_claim_at } if now >= *read_claim_at => {
                self.leadership = Leadership::Claiming;
                self.call(Call::Get { key: DRIVER_KEY.into() }, Pending::ReadClaim);
            }
            Leadership::Driving { lease, renewing, renew_at, .. } if !*renewing && now >= *renew_at => {
                *renewing = true;
                *renew_at = now + quarter;
                let lease = *lease;
                self.call(Call::Renew { lease }, Pending::Renew(now));
            }
            Leadership::Loading { after, calling, retry, .. } if !*calling && now >= *retry => {
                *calling = true;
                let after = after.clone();
                self.call(Call::List { prefix: SERVICES.into(), after }, Pending::Load);
            }
            _ => {}
        }
    }

    /// The claim that writes are conditional on, while this node drives.
    pub(super) fn claim(&self) -> Option<Stamp> {
        match self.leadership {
            Leadership::Driving { claim, .. } => Some(claim),
            _ => None,
        }
    }

    pub(super) fn watch(&mut self) {
        let now = self.now;
        if let Leadership::Driving { watch, watching, watch_at, .. } = &mut self.leadership {
            if !*watching && now >= *watch_at {
                *watching = true;
                let after = *watch;
                let call = Call::Watch { prefix: SERVICES.into(), after, wait: WATCH_WAIT };
                self.call(call, Pending::Watch);
            }
        }
    }

    /// Stops driving; whatever is on its way stays harmless.
    pub(super) fn step_down(&mut self) {
        if !matches!(self.leadership, Leadership::Standby { .. } | Leadership::Claiming) {
            self.note(Note::SteppedDown);
        }
        self.leadership = Leadership::Standby { read_claim_at: self.now + BACK_OFF };
        self.services.clear();
        self.service_of.clear();
        self.under_way.clear();
        self.calls.clear();
        self.polling = false;
    }

    pub(super) fn leadership_answer(&mut self, pending: Pending, answer: Answer) {
        match pending {
            Pending::ReadClaim => self.claim_read(answer),
            Pending::Grant => match answer {
                Answer::Granted(lease) => {
                    self.granted = Some(lease);
                    let claim =
                        Claim { node: self.config.node.clone(), listen: self.config.listen.clone(), lease: lease.0 };
                    let commit = Commit {
                        when: vec![(DRIVER_KEY.into(), self.claims_over)],
                        key: DRIVER_KEY.into(),
                        value: serde_json::to_value(claim).unwrap_or_default(),
                        lease: Some(lease),
                    };
                    self.call(Call::Commit(commit), Pending::Claim);
                }
                _ => self.leadership = Leadership::Standby { read_claim_at: self.now + BACK_OFF },
            },
            // Whatever came of it, the key tells.
            Pending::Claim => self.leadership = Leadership::Standby { read_claim_at: self.now },
            Pending::Renew(sent) => self.renewed(sent, &answer),
            Pending::Load => self.loaded(answer),
            Pending::Watch => self.watched(answer),
            _ => {}
        }
    }

    fn claim_read(&mut self, answer: Answer) {
        match answer {
            Answer::Missing => self.grant(Stamp(0)),
            Answer::Found(item) => {
                let claim = serde_json::from_value::<Claim>(item.value).ok();
                match claim.filter(|c| c.node == self.config.node && c.listen == self.config.listen) {
                    Some(claim) if self.granted == Some(LeaseId(claim.lease)) => {
                        self.leadership = Leadership::load(item.stamp, LeaseId(claim.lease), self.now);
                    }
                    // An earlier life of this node: claimed anew, so that its
                    // writes that are still on their way, and its ids, end here.
                    Some(_) => self.grant(item.stamp),
                    None => {
                        self.leadership =
                            Leadership::Standby { read_claim_at: self.now + Millis(self.config.ttl.0 / 3) }
                    }
                }
            }
            _ => self.leadership = Leadership::Standby { read_claim_at: self.now + BACK_OFF },
        }
    }

    fn grant(&mut self, over: Stamp) {
        self.claims_over = over;
        self.call(Call::Grant { ttl: self.config.ttl }, Pending::Grant);
    }

    fn renewed(&mut self, sent: Millis, answer: &Answer) {
        let quarter = Millis(self.config.ttl.0 / 4);
        let mut gone = false;
        if let Leadership::Driving { renewing, renew_at, .. } = &mut self.leadership {
            *renewing = false;
            match answer {
                Answer::Renewed => *renew_at = sent + quarter,
                Answer::LeaseGone => gone = true,
                _ => *renew_at = self.now + Millis(BACK_OFF.0 / 2),
            }
        }
        if gone {
            self.step_down();
        }
    }

    fn loaded(&mut self, answer: Answer) {
        let now = self.now;
        let Leadership::Loading { claim, lease, after, listed_keys, revision, calling, retry } = &mut self.leadership
        else {
            return;
        };
        *calling = false;
        let Answer::Page { items, more, revision: at } = answer else {
            *retry = now + BACK_OFF;
            return;
        };
        // News since the first page are read again from the watch.
        let from = *revision.get_or_insert(at);
        *after = items.last().map(|item| item.key.clone());
        listed_keys.extend(items.iter().map(|item| item.key.clone()));
        let (claim, lease) = (*claim, *lease);
        let all = (!more || items.is_empty()).then(|| std::mem::take(listed_keys));
        for item in items {
            self.adopt(&item.key, Some(item.value), item.stamp);
        }
        if let Some(listed_keys) = all {
            self.services.retain(|name, _| listed_keys.contains(&service_key(name)));
            self.leadership = Leadership::Driving {
                claim,
                lease,
                renewing: false,
                renew_at: now,
                watch: from,
                watching: false,
                watch_at: now,
            };
            self.note(Note::Drives(claim));
        }
    }

    fn watched(&mut self, answer: Answer) {
        let now = self.now;
        let Leadership::Driving { claim, lease, watch, watching, watch_at, .. } = &mut self.leadership else { return };
        *watching = false;
        match answer {
            Answer::Changes { revision, changed } => {
                *watch = revision.max(*watch);
                *watch_at = now;
                for (key, value, stamp) in changed {
                    self.adopt(&key, value, stamp);
                }
            }
            Answer::TooOld => {
                self.leadership = Leadership::load(*claim, *lease, now);
            }
            _ => *watch_at = now + BACK_OFF,
        }
    }
}
