//! Ends of controllers in the middle of what they do.

use super::*;

/// What a controller is in the middle of, told by what it asks of others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Moment {
    /// Reading all records.
    Reads,
    /// Its lease, and the key that shows it to the others.
    Leases,
    Announces,
    /// Ownership of a part for itself.
    Claims,
    /// A part on its way to another node.
    HandsOver,
    Leads,
    GivesAllowance,
    /// A rental's name, before the call, and the call.
    NamesRental,
    Rents,
    /// A key that lets it answer workers for an owner.
    Keeps,
    /// Tasks' records.
    Writes,
}

impl Moment {
    pub const ALL: [Moment; 11] = [
        Moment::Reads,
        Moment::Leases,
        Moment::Announces,
        Moment::Claims,
        Moment::HandsOver,
        Moment::Leads,
        Moment::GivesAllowance,
        Moment::NamesRental,
        Moment::Rents,
        Moment::Keeps,
        Moment::Writes,
    ];

    /// What a node does by sending this, if it is any of these.
    pub(super) fn of(node: &str, output: &Output) -> Option<Moment> {
        match output {
            Output::State(_, StateCall::List { .. }) => Some(Moment::Reads),
            Output::State(_, StateCall::Grant { .. }) => Some(Moment::Leases),
            Output::State(_, StateCall::Transaction(transaction)) => transaction.changes.iter().find_map(|change| {
                let Change::Put { put, value, .. } = change else { return None };
                Some(match put.split('/').nth(1)? {
                    "n" => Moment::Announces,
                    "o" if value["node"] == node => Moment::Claims,
                    "o" => Moment::HandsOver,
                    "l" => Moment::Leads,
                    "a" => Moment::GivesAllowance,
                    "f" => Moment::NamesRental,
                    "w" => Moment::Keeps,
                    "s" => Moment::Writes,
                    _ => return None,
                })
            }),
            Output::Cloud(_, CloudCall::Rent(_)) => Some(Moment::Rents),
            _ => None,
        }
    }
}

impl World {
    /// Ends a node that is to end when it sends this; true if it did.
    pub(super) fn springs(&mut self, node: usize, output: &Output) -> bool {
        let Some(moment) = Moment::of(&format!("n{node}"), output).filter(|_| !self.traps.is_empty()) else {
            return false;
        };
        let Some(at) = self.traps.iter().position(|trap| trap.0 == node && trap.1 == moment) else { return false };
        let (_, _, back_after, late) = self.traps.swap_remove(at);
        *self.sprung.entry(moment).or_default() += 1;
        // Nobody is left to take the answer.
        let gone = u32::MAX;
        match (output, late) {
            (Output::State(id, call), Some(late)) => {
                self.at(self.now + late, Due::State(node, gone, *id, call.clone(), 0));
            }
            (Output::Cloud(id, call), Some(late)) => {
                self.at(self.now + late, Due::Cloud(node, gone, *id, call.clone()))
            }
            _ => {}
        }
        self.strike(Fault::Crash { node, back_after });
        true
    }
}
