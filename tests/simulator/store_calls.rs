//! Calls of controllers to the store, and what goes wrong on their way.

use super::*;

/// How long controllers wait for an answer of the state service.
pub(super) const STORE_TIMEOUT_MS: u64 = 1500;

impl SimulatedCluster {
    pub(super) fn state_call(&mut self, node: usize, incarnation: u32, id: CallId, call: StateCall, deadline: u64) {
        let answer_at = |cluster: &SimulatedCluster| cluster.now + 3;
        if self.now < self.store_outage_until[node] {
            // Open watches wait; everything else is refused.
            if matches!(call, StateCall::Watch { .. }) && self.now < deadline {
                return self.schedule(self.now + 100, ScheduledEvent::State(node, incarnation, id, call, deadline));
            }
            return self.schedule(
                answer_at(self),
                ScheduledEvent::ToNode(node, incarnation, Input::State(id, StateAnswer::Refused)),
            );
        }
        let (until, late) = self.store_answers_lost[node];
        if self.now < until {
            if late > 0 && matches!(call, StateCall::Transaction(_)) {
                // Carried out late; the answer never comes.
                self.schedule(self.now + late, ScheduledEvent::State(node, u32::MAX, id, call, 0));
            }
            return self.schedule(
                self.now + 1500,
                ScheduledEvent::ToNode(node, incarnation, Input::State(id, StateAnswer::Unknown)),
            );
        }
        let (until, share) = self.delayed_transactions;
        if self.now < until
            && matches!(call, StateCall::Transaction(_))
            && incarnation != u32::MAX
            && self.random.below(100) < share
        {
            let late = 2000 + self.random.below(10_000);
            self.schedule(self.now + late, ScheduledEvent::State(node, u32::MAX, id, call, 0));
            return self.schedule(
                self.now + 1500,
                ScheduledEvent::ToNode(node, incarnation, Input::State(id, StateAnswer::Unknown)),
            );
        }
        if let StateCall::Transaction(transaction) = &call {
            // Carried out late, it would undo what is newer.
            if !transaction.changes.is_empty() && transaction.conditions.is_empty() {
                self.violations.push(format!("unconditional: {:?} at {}", transaction.changes, self.now));
            }
        }
        if let StateCall::Watch { after, .. } = &call {
            self.store.expire(self.now);
            if self.store.revision <= after.0 && self.now < deadline {
                return self.schedule(self.now + 20, ScheduledEvent::State(node, incarnation, id, call, deadline));
            }
        }
        let answer = self.store.run(self.now, call);
        self.schedule(answer_at(self), ScheduledEvent::ToNode(node, incarnation, Input::State(id, answer)));
    }
}
