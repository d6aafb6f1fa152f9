//! Calls of controllers to the store: how long they take, and the faults that they meet.

use super::events::{ProcessId, ScheduledEvent};
use super::faults::{FaultWindow, MIN_TRANSACTION_DELAY_MS, TRANSACTION_DELAY_SPREAD_MS};
use super::SimulatedCluster;
use tillercleat::coordination::Input;
use tillercleat::protocol::state::{StoreRequest, StoreResponse};
use tillercleat::units::CallId;

/// How long controllers wait for an answer of the store (milliseconds).
const TIMEOUT_MS: u64 = 1500;
/// How long an answer is on its way (milliseconds).
const ANSWER_MS: u64 = 3;
/// How long a call is on its way at least, and what it may take longer (milliseconds).
const MIN_CALL_MS: u64 = 3;
const CALL_SPREAD_MS: u64 = 6;
/// What a call's delay plus this must not exceed to be answered in time (milliseconds).
const CALL_MARGIN_MS: u64 = 10;
/// Pause between two looks of a watch that has nothing to say (milliseconds).
const WATCH_PAUSE_MS: u64 = 20;
/// The same while the store is out.
const OUTAGE_WATCH_PAUSE_MS: u64 = 100;

/// A call on its way to the store.
pub(super) struct StoreCall {
    pub(super) caller: ProcessId,
    pub(super) id: CallId,
    pub(super) call: StoreRequest,
    /// Until then a watch without news is not answered.
    pub(super) watch_until: u64,
}

impl StoreCall {
    fn is_transaction(&self) -> bool {
        matches!(self.call, StoreRequest::Transaction(_))
    }

    /// A watch that may wait for news.
    fn may_wait(&self, now: u64) -> bool {
        matches!(self.call, StoreRequest::Watch { .. }) && now < self.watch_until
    }

    /// The same call, whose answer goes to nobody.
    fn without_caller(self) -> StoreCall {
        StoreCall { caller: ProcessId::gone(self.caller.node), watch_until: 0, ..self }
    }
}

/// Answers to a node are lost until then.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LostAnswers {
    pub(super) until: u64,
    /// How much later its transactions are carried out; never if 0.
    pub(super) carried_out_after: u64,
}

/// What is wrong with the store, or with the way to it.
pub(super) struct StoreFaults {
    /// By node: until when it is refused.
    refused_until: Vec<u64>,
    /// By node.
    lost_answers: Vec<LostAnswers>,
    pub(super) delayed_transactions: FaultWindow,
    pub(super) slow: FaultWindow,
}

impl StoreFaults {
    pub(super) fn none(nodes: usize) -> StoreFaults {
        StoreFaults {
            refused_until: vec![0; nodes],
            lost_answers: vec![LostAnswers::default(); nodes],
            delayed_transactions: FaultWindow::default(),
            slow: FaultWindow::default(),
        }
    }

    /// Refuses all calls of a node until then, or longer if that is known already.
    pub(super) fn refuse_until(&mut self, node: usize, until: u64) {
        self.refused_until[node] = self.refused_until[node].max(until);
    }

    pub(super) fn lose_answers(&mut self, node: usize, lost: LostAnswers) {
        self.lost_answers[node] = lost;
    }
}

impl SimulatedCluster {
    /// Sends a controller's call to the store.
    pub(super) fn send_store_call(&mut self, caller: ProcessId, id: CallId, call: StoreRequest) {
        let now = self.now;
        let wait = if let StoreRequest::Watch { wait_ms, .. } = call { wait_ms } else { 0 };
        let usual = MIN_CALL_MS + self.random.below(CALL_SPREAD_MS);
        let delay = usual + self.store_faults.slow.delay_at(now, &mut self.random);
        let call = StoreCall { caller, id, call, watch_until: now + wait };
        // The caller waits no longer; the call is carried out all the same.
        if delay + CALL_MARGIN_MS > TIMEOUT_MS {
            self.answer_store_call(caller, id, StoreResponse::Unknown, TIMEOUT_MS);
            return self.schedule(now + delay, ScheduledEvent::StoreCall(call.without_caller()));
        }
        self.schedule(now + delay, ScheduledEvent::StoreCall(call));
    }

    /// Sends the store's answer, `after` as many milliseconds.
    fn answer_store_call(&mut self, to: ProcessId, id: CallId, answer: StoreResponse, after: u64) {
        let input = Input::Store(id, answer);
        self.schedule(self.now + after, ScheduledEvent::DeliverInput { to, input });
    }

    /// A call reaches the store, unless a fault keeps it from there.
    pub(super) fn handle_store_call(&mut self, call: StoreCall) {
        let now = self.now;
        let node = call.caller.node;
        if now < self.store_faults.refused_until[node] {
            // Open watches wait; everything else is refused.
            if call.may_wait(now) {
                return self.schedule(now + OUTAGE_WATCH_PAUSE_MS, ScheduledEvent::StoreCall(call));
            }
            return self.answer_store_call(call.caller, call.id, StoreResponse::Unavailable, ANSWER_MS);
        }
        let lost = self.store_faults.lost_answers[node];
        if now < lost.until {
            let late = (lost.carried_out_after > 0 && call.is_transaction()).then_some(lost.carried_out_after);
            return self.lose_answer(call, late);
        }
        let may_be_delayed = call.is_transaction() && !call.caller.is_gone();
        if may_be_delayed && self.store_faults.delayed_transactions.hits(now, &mut self.random) {
            let late = MIN_TRANSACTION_DELAY_MS + self.random.below(TRANSACTION_DELAY_SPREAD_MS);
            return self.lose_answer(call, Some(late));
        }
        self.carry_out(call);
    }

    /// The caller gets no answer; the call is carried out so much later, if at all.
    fn lose_answer(&mut self, call: StoreCall, carried_out_after: Option<u64>) {
        let (caller, id) = (call.caller, call.id);
        if let Some(late) = carried_out_after {
            self.schedule(self.now + late, ScheduledEvent::StoreCall(call.without_caller()));
        }
        self.answer_store_call(caller, id, StoreResponse::Unknown, TIMEOUT_MS);
    }

    fn carry_out(&mut self, call: StoreCall) {
        let now = self.now;
        self.check_conditions(&call.call);
        if let StoreRequest::Watch { after, .. } = &call.call {
            self.store.expire_leases(now);
            if self.store.revision <= after.0 && call.may_wait(now) {
                return self.schedule(now + WATCH_PAUSE_MS, ScheduledEvent::StoreCall(call));
            }
        }
        let answer = self.store.execute(now, call.call);
        self.answer_store_call(call.caller, call.id, answer, ANSWER_MS);
    }
}
