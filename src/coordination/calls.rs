//! Calls on the outside: what each answer is for, and what it changes.

use super::allowances::is_gift;
use super::queries::Question;
use super::*;
use crate::bookkeeping::view::Changed;

/// What a call's answer will be used for.
#[derive(Debug)]
pub(super) enum Pending {
    /// Records in pages: those seen, the first page's revision, and when it was asked for.
    Load {
        seen: BTreeSet<String>,
        first: Option<Revision>,
        since: Time,
    },
    Watch,
    /// Whether anybody keeps machines of the part.
    Compare(PartId),
    Grant,
    Renew(LeaseId),
    /// A transaction whose outcome the watch or a conflict read shows.
    Simple(Txn),
    /// A gift of allowance sent once more: the first got no answer.
    GiftAgain(Txn),
    PartTxn {
        part: PartId,
        txn: Txn,
    },
    /// Reads a key that a conflict named.
    Reread {
        key: String,
        part: Option<PartId>,
    },
    SubmitWrite {
        request: RequestId,
        txn: Txn,
        spec: Box<JobSpec>,
    },
    SubmitRead {
        request: RequestId,
        job: JobRef,
        fresh: bool,
    },
    /// How far the records have come; these questions wait for it.
    Probe(Vec<Question>),
    /// Whether a job that has no record ended long ago; `known` if it was accepted once.
    Past {
        request: RequestId,
        job: JobRef,
        known: bool,
    },
    Refusing(refusing::Refusing),
    /// Names of a submission, one after the other.
    Names(following::Names),
    /// A job that waiting ones name and that was put away.
    LookUp(JobRef),
    CancelRead {
        request: RequestId,
        job: JobRef,
        tries: u32,
    },
    CancelWrite {
        request: RequestId,
        job: JobRef,
        txn: Txn,
        tries: u32,
    },
    RentName {
        rent: buying::Rent,
        txn: Txn,
    },
    Rent(buying::Rent),
    Return(Vec<MachineId>),
    List {
        seen: Vec<crate::protocol::cloud::Listed>,
    },
    Catalog,
}

/// Gifts of allowance that got no answer, and reads that are to tell of them.
#[derive(Debug, Default)]
pub(super) struct InDoubt {
    gifts: Vec<Txn>,
    reads: Vec<(String, Option<PartId>)>,
}

#[derive(Debug)]
pub(super) struct Call {
    pub(super) what: Pending,
    pub(super) sent: Time,
}

pub(super) fn change_key(change: &Change) -> &str {
    match change {
        Change::Put { put, .. } => put,
        Change::Delete { delete } => delete,
    }
}

impl Core {
    pub(super) fn call_state(&mut self, call: StateCall, what: Pending) {
        let id = self.new_call(what);
        self.out.push(Output::State(id, call));
    }

    pub(super) fn call_cloud(&mut self, call: CloudCall, what: Pending) {
        let id = self.new_call(what);
        self.out.push(Output::Cloud(id, call));
    }

    pub(super) fn new_call(&mut self, what: Pending) -> CallId {
        self.last_call += 1;
        let id = CallId(self.last_call);
        self.calls.insert(id, Call { what, sent: self.now });
        id
    }

    /// A transaction on keys that nobody else in this node is changing.
    /// What would never be taken is not sent.
    pub(super) fn simple_txn(&mut self, txn: Txn) {
        let too_large = |c: &&Change| matches!(c, Change::Put { value, .. } if !self.fits_value(value));
        if let Some(key) = txn.changes.iter().find(too_large).map(change_key) {
            if self.too_large.insert(key.to_string()) {
                tracing::error!("record {key} does not fit into one value and is not written");
            }
            return;
        }
        let cost = txn.changes.len() as f64;
        self.reads.force(self.now, 1.0);
        self.writes.force(self.now, cost);
        for change in &txn.changes {
            self.busy_keys.insert(change_key(change).to_string());
        }
        self.call_state(StateCall::Txn(txn.clone()), Pending::Simple(txn));
    }

    pub(super) fn state_answer(&mut self, id: CallId, answer: StateAnswer) {
        let Some(Call { what, sent }) = self.calls.remove(&id) else { return };
        if !matches!(answer, StateAnswer::Unknown | StateAnswer::Refused) {
            self.last_state_answer = Some(self.now);
        }
        if let StateAnswer::Rejected(why) = &answer {
            tracing::error!("the state service rejects {what:?}: {why}");
        }
        match what {
            Pending::Load { seen, first, since } => self.load_answer(seen, first, since, answer),
            Pending::Watch => self.watch_answer(sent, answer),
            Pending::Compare(part) => self.compared(part, answer),
            Pending::Grant => self.grant_answer(answer),
            Pending::Renew(lease) => self.renew_answer(lease, answer),
            Pending::Simple(txn) if matches!(answer, StateAnswer::Unknown) && is_gift(&txn) => {
                self.in_doubt.gifts.push(txn);
            }
            Pending::Simple(txn) => self.simple_answer(txn, answer),
            Pending::GiftAgain(txn) if matches!(answer, StateAnswer::Unknown | StateAnswer::Refused) => {
                self.in_doubt.gifts.push(txn);
            }
            Pending::GiftAgain(txn) => self.simple_answer(txn, answer),
            Pending::PartTxn { part, txn } => self.part_txn_answer(part, txn, answer),
            Pending::Reread { key, part } => self.reread_answer(key, part, answer),
            Pending::SubmitWrite { request, txn, spec } => self.submit_written(request, txn, spec, answer),
            Pending::SubmitRead { request, job, fresh } => self.submit_read(request, job, fresh, answer),
            Pending::Past { request, job, known } => self.past_answer(request, job, known, answer),
            Pending::Refusing(refusing) => self.looked_before_refusing(refusing, answer),
            Pending::Names(names) => self.name_read(names, answer),
            Pending::LookUp(job) => self.looked_up(job, answer),
            Pending::Probe(questions) => self.probed(questions, answer),
            Pending::CancelRead { request, job, tries } => self.cancel_read(request, job, tries, answer),
            Pending::CancelWrite { request, job, txn, tries } => self.cancel_written(request, job, txn, tries, answer),
            Pending::RentName { rent, txn } => self.rent_named(rent, txn, answer),
            Pending::Rent(_) | Pending::Return(_) | Pending::List { .. } | Pending::Catalog => {}
        }
    }

    fn simple_answer(&mut self, txn: Txn, answer: StateAnswer) {
        for change in &txn.changes {
            self.busy_keys.remove(change_key(change));
        }
        match answer {
            StateAnswer::Committed(revision) => self.committed(&txn, revision),
            // It counts as given until all that it names has been read.
            StateAnswer::Conflict(_) if is_gift(&txn) => {
                return self.reread(txn.conditions.into_iter().map(|c| c.key).collect(), None);
            }
            StateAnswer::Conflict(failed) => self.reread(failed, None),
            StateAnswer::LeaseGone => self.lease_gone_elsewhere(&txn),
            _ => {}
        }
        let parts = txn.changes.iter().filter_map(|c| match records::Key::read(change_key(c)) {
            Some(records::Key::Allowance(part)) => Some(part),
            _ => None,
        });
        self.end_gifts(&parts.collect::<Vec<_>>());
    }

    /// Asks again what became of gifts. One that got no answer may still be carried
    /// out: it counts as given until its repetition says what became of it, and that
    /// the repetition was refused says nothing about the first.
    pub(super) fn ask_about_gifts(&mut self) {
        if self.now < self.retry_state_at {
            return;
        }
        for txn in std::mem::take(&mut self.in_doubt.gifts) {
            self.reads.force(self.now, 1.0);
            self.writes.force(self.now, txn.changes.len() as f64);
            self.call_state(StateCall::Txn(txn.clone()), Pending::GiftAgain(txn));
        }
        for (key, part) in std::mem::take(&mut self.in_doubt.reads) {
            self.reads.force(self.now, 1.0);
            self.call_state(StateCall::Get { key: key.clone() }, Pending::Reread { key, part });
        }
    }

    /// Takes a committed transaction's changes into the view.
    pub(super) fn committed(&mut self, txn: &Txn, revision: Revision) {
        for change in &txn.changes {
            let changed = match change {
                Change::Put { put, value, .. } => self.view.apply(put, Some(value.clone()), revision),
                Change::Delete { delete } => self.view.apply(delete, None, revision),
            };
            self.changed(changed);
        }
    }

    pub(super) fn reread(&mut self, keys: Vec<String>, part: Option<PartId>) {
        for key in keys {
            self.reads.force(self.now, 1.0);
            self.call_state(StateCall::Get { key: key.clone() }, Pending::Reread { key, part });
        }
    }

    pub(super) fn reread_answer(&mut self, key: String, part: Option<PartId>, answer: StateAnswer) {
        if let (Some(records::Key::Allowance(_)), true) =
            (records::Key::read(&key), matches!(answer, StateAnswer::Unknown | StateAnswer::Refused))
        {
            // What became of a gift must be known before allowance is used again.
            return self.in_doubt.reads.push((key, part));
        }
        let changed = match answer {
            StateAnswer::Found(item) => self.view.apply(&key, Some(item.value), item.version),
            StateAnswer::Missing(at) => self.view.apply(&key, None, at),
            _ => Changed::Nothing,
        };
        self.changed(changed);
        if let Some(records::Key::Allowance(part)) = records::Key::read(&key) {
            self.end_gifts(&[part]);
        }
        if let Some(mine) = part.and_then(|p| self.mine.get_mut(&p)) {
            mine.rereads = mine.rereads.saturating_sub(1);
        }
    }

    /// Acts on news in the view.
    pub(super) fn changed(&mut self, what: Changed) {
        match what {
            Changed::Owner(part) => self.owner_changed(part),
            Changed::Job(job, news) => self.job_changed(&job, news),
            Changed::Slice(job, slice) => self.slice_changed(&job, slice),
            Changed::Keep(part) => self.keep_changed(part),
            Changed::Fleet => self.fleet_changed(),
            Changed::Other => self.catalog_changed(),
            Changed::JobGone(job) => self.chains.lost(&job),
            Changed::Node(node) => self.node_changed(&node),
            Changed::Leader | Changed::Nothing => {}
        }
    }
}
