//! Calls of controllers to the store: their latencies and the faults that affect them.

use super::events::{ProcessId, ScheduledEvent};
use super::faults::{FaultWindow, MIN_TRANSACTION_DELAY_MS, TRANSACTION_DELAY_SPREAD_MS};
use super::SimulatedCluster;
use tillercleat::coordination::Input;
use tillercleat::protocol::state::{Change, StoreRequest, StoreResponse};
use tillercleat::units::{CallId, ShardId};

/// How long controllers wait for an answer from the store (milliseconds).
const TIMEOUT_MS: u64 = 1500;
/// Latency of an answer (milliseconds).
const ANSWER_MS: u64 = 3;
/// Minimum latency of a call and its random excess (milliseconds).
const MIN_CALL_MS: u64 = 3;
const CALL_SPREAD_MS: u64 = 6;
/// A call times out if its delay plus this margin exceeds the timeout (milliseconds).
const CALL_MARGIN_MS: u64 = 10;
/// Interval at which a watch without events checks for new ones (milliseconds).
const WATCH_PAUSE_MS: u64 = 20;
/// The same interval during an outage of the store (milliseconds).
const OUTAGE_WATCH_PAUSE_MS: u64 = 100;

/// A call in transit to the store.
pub(super) struct StoreCall {
    pub(super) caller: ProcessId,
    pub(super) id: CallId,
    pub(super) call: StoreRequest,
    /// A watch without events is not answered before this time (milliseconds); 0 for other calls.
    pub(super) watch_until: u64,
}

impl StoreCall {
    fn is_transaction(&self) -> bool {
        matches!(self.call, StoreRequest::Transaction(_))
    }

    /// True if the call is a watch that may still wait for events.
    fn may_wait(&self, now: u64) -> bool {
        matches!(self.call, StoreRequest::Watch { .. }) && now < self.watch_until
    }

    /// Returns the same call with its answer discarded.
    fn without_caller(self) -> StoreCall {
        StoreCall { caller: ProcessId::detached(self.caller.node), watch_until: 0, ..self }
    }
}

/// A fault that loses the store's answers to a node. Times are in milliseconds.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LostAnswers {
    pub(super) until: u64,
    /// Delay after which the node's transactions are executed; never if 0.
    pub(super) carried_out_after: u64,
}

/// Faults of the store and of the links to it.
pub(super) struct StoreFaults {
    /// Indexed by node: the end of the period in which its calls are refused (milliseconds).
    refused_until: Vec<u64>,
    /// Indexed by node.
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

    /// Refuses all calls of a node until the time `until` (milliseconds). Never shortens an earlier
    /// refusal.
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
        // The caller times out, but the store still executes the call.
        if delay + CALL_MARGIN_MS > TIMEOUT_MS {
            self.answer_store_call(caller, id, StoreResponse::Unknown, TIMEOUT_MS);
            return self.schedule(now + delay, ScheduledEvent::StoreCall(call.without_caller()));
        }
        self.schedule(now + delay, ScheduledEvent::StoreCall(call));
    }

    /// Sends the store's answer after a delay (milliseconds).
    fn answer_store_call(&mut self, to: ProcessId, id: CallId, answer: StoreResponse, delay_ms: u64) {
        let input = Input::Store(id, answer);
        self.schedule(self.now + delay_ms, ScheduledEvent::DeliverInput { to, input });
    }

    /// Executes a call that arrives at the store, or applies the fault that affects it.
    pub(super) fn handle_store_call(&mut self, call: StoreCall) {
        let now = self.now;
        let node = call.caller.node;
        if now < self.store_faults.refused_until[node] {
            // Open watches keep waiting; all other calls are refused.
            if call.may_wait(now) {
                return self.schedule(now + OUTAGE_WATCH_PAUSE_MS, ScheduledEvent::StoreCall(call));
            }
            return self.answer_store_call(call.caller, call.id, StoreResponse::Unavailable, ANSWER_MS);
        }
        let lost = self.store_faults.lost_answers[node];
        if now < lost.until {
            let delay_ms = (lost.carried_out_after > 0 && call.is_transaction()).then_some(lost.carried_out_after);
            return self.lose_answer(call, delay_ms);
        }
        let may_be_delayed = call.is_transaction() && !call.caller.is_detached();
        if may_be_delayed && self.store_faults.delayed_transactions.affects(now, &mut self.random) {
            let delay_ms = MIN_TRANSACTION_DELAY_MS + self.random.below(TRANSACTION_DELAY_SPREAD_MS);
            return self.lose_answer(call, Some(delay_ms));
        }
        self.execute_store_call(call);
    }

    /// Lets the caller time out. The call is executed after a delay (milliseconds), or never if None.
    fn lose_answer(&mut self, call: StoreCall, carried_out_after: Option<u64>) {
        let (caller, id) = (call.caller, call.id);
        if let Some(delay_ms) = carried_out_after {
            self.schedule(self.now + delay_ms, ScheduledEvent::StoreCall(call.without_caller()));
        }
        self.answer_store_call(caller, id, StoreResponse::Unknown, TIMEOUT_MS);
    }

    fn execute_store_call(&mut self, call: StoreCall) {
        let now = self.now;
        self.check_conditions(&call.call);
        if let StoreRequest::Watch { after, .. } = &call.call {
            self.store.expire_leases(now);
            if self.store.revision <= after.0 && call.may_wait(now) {
                return self.schedule(now + WATCH_PAUSE_MS, ScheduledEvent::StoreCall(call));
            }
        }
        let new_owners = new_shard_owners(&call.call);
        let answer = self.store.execute(now, call.call);
        if matches!(answer, StoreResponse::Committed(_)) {
            for (shard, owner) in new_owners {
                self.send_copied_heartbeats(shard, owner);
            }
        }
        self.answer_store_call(call.caller, call.id, answer, ANSWER_MS);
    }
}

/// Returns the shards to which a call assigns an owner, with the owner's index.
fn new_shard_owners(call: &StoreRequest) -> Vec<(ShardId, usize)> {
    let StoreRequest::Transaction(transaction) = call else { return vec![] };
    let new_owner = |change: &Change| {
        let Change::Put { key, value, .. } = change else { return None };
        let shard = key.strip_prefix("t/o/")?.parse().ok()?;
        let owner = value["node"].as_str()?.strip_prefix('n')?.parse().ok()?;
        Some((ShardId(shard), owner))
    };
    transaction.changes.iter().filter_map(new_owner).collect()
}
