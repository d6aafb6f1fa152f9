//! Calls of controllers to the store, and what goes wrong on their way.

use super::*;

/// How long controllers wait for an answer of the state service.
pub(super) const STATE_PATIENCE: u64 = 1500;

impl World {
    pub(super) fn state_call(&mut self, node: usize, life: u32, id: CallId, call: StateCall, deadline: u64) {
        let answer_at = |world: &World| world.now + 3;
        if self.now < self.state_out[node] {
            // Open watches wait; everything else is refused.
            if matches!(call, StateCall::Watch { .. }) && self.now < deadline {
                return self.at(self.now + 100, Due::State(node, life, id, call, deadline));
            }
            return self.at(answer_at(self), Due::ToNode(node, life, Input::State(id, StateAnswer::Refused)));
        }
        let (until, late) = self.silent[node];
        if self.now < until {
            if late > 0 && matches!(call, StateCall::Transaction(_)) {
                // Carried out late; the answer never comes.
                self.at(self.now + late, Due::State(node, u32::MAX, id, call, 0));
            }
            return self.at(self.now + 1500, Due::ToNode(node, life, Input::State(id, StateAnswer::Unknown)));
        }
        let (until, share) = self.late_writes;
        if self.now < until && matches!(call, StateCall::Transaction(_)) && life != u32::MAX && self.random(100) < share
        {
            let late = 2000 + self.random(10_000);
            self.at(self.now + late, Due::State(node, u32::MAX, id, call, 0));
            return self.at(self.now + 1500, Due::ToNode(node, life, Input::State(id, StateAnswer::Unknown)));
        }
        if let StateCall::Transaction(transaction) = &call {
            // Carried out late, it would undo what is newer.
            if !transaction.changes.is_empty() && transaction.conditions.is_empty() {
                self.broken.push(format!("unconditional: {:?} at {}", transaction.changes, self.now));
            }
        }
        if let StateCall::Watch { after, .. } = &call {
            self.state.expire(self.now);
            if self.state.revision <= after.0 && self.now < deadline {
                return self.at(self.now + 20, Due::State(node, life, id, call, deadline));
            }
        }
        let answer = self.state.run(self.now, call);
        self.at(answer_at(self), Due::ToNode(node, life, Input::State(id, answer)));
    }
}
