//! Stepping back from parts whose workers cannot reach this node.
//!
//! A controller may lose the workers alone: it renews its lease, the others
//! hear it and send its workers back to it, and their leases run out. So an
//! owner that all of its workers have fallen silent to, while the records and
//! its peers answer, takes itself off the list of nodes and hands its parts to
//! others before that. It comes back after a pause, longer each time, or as
//! soon as a worker reaches it. The same if workers reach it but none of them
//! hears it any more; then only a pause can tell whether that is over.

use super::*;

/// Fewer machines may fall silent together by chance.
const LEAST_MACHINES: usize = 3;

/// Pauses before it tries again: the first, and the last that doubling leads to.
const FIRST_PAUSE: Span = Span(30_000);
const LAST_PAUSE: Span = Span(240_000);

#[derive(Debug, Default)]
pub(super) struct Withdrawal {
    /// When a worker, any worker, was heard last.
    heard: Option<Time>,
    /// When one of our machines last showed that it hears.
    answered: Option<Time>,
    /// Workers that reported since one last showed that it hears, and since when.
    unanswered: BTreeSet<MachineId>,
    unanswered_since: Option<Time>,
    /// Since when, and until when at the latest.
    away: Option<(Time, Time)>,
    /// Workers do reach it, but do not hear it.
    mute: bool,
    pause: Span,
}

impl Withdrawal {
    pub fn heard(&mut self, now: Time) {
        self.heard = Some(now);
    }

    /// One of our machines reported, and showed or did not that it hears.
    pub fn reported(&mut self, now: Time, machine: &MachineId, hears: bool) {
        if hears {
            self.answered = Some(now);
            self.unanswered.clear();
            self.unanswered_since = None;
        } else {
            self.unanswered_since.get_or_insert(now);
            // Few will do.
            if self.unanswered.len() < LEAST_MACHINES {
                self.unanswered.insert(machine.clone());
            }
        }
    }
}

impl Core {
    pub(super) fn withdrawn(&self) -> bool {
        self.withdrawal.away.is_some()
    }

    /// If all workers of our parts fell silent or deaf, though nothing else did:
    /// whether they do reach us.
    fn out_of_reach(&self) -> Option<bool> {
        // Soon enough for a successor to answer within the workers' leases:
        // they wait 4 s for us, and a second before they ask the next node.
        let quiet =
            Span((self.timing.worker_lease.0 / 4).max((self.settings.cluster.workers.report_s * 2500.0) as u64));
        // A part taken over counts from then, with the machines that its records name.
        let owned = self.mine.values().map(|m| m.since).max();
        let heard = self.withdrawal.heard.max(owned).unwrap_or(self.now).max(self.resumed);
        let silent = self.now.since(heard) > quiet;
        if !silent && !self.unheard(quiet, owned) {
            return None;
        }
        let names = self.mine.values().flat_map(|m| m.on.keys().chain(m.machines.keys()));
        let machines = names.collect::<BTreeSet<_>>().len();
        let others = self.view.live().filter(|(node, _)| **node != self.me && self.heard_for(node, quiet)).count();
        (machines >= LEAST_MACHINES && others > 0 && self.state_fresh()).then_some(!silent)
    }

    /// True if workers reach this node, but none of them hears it.
    fn unheard(&self, quiet: Span, owned: Option<Time>) -> bool {
        // They report many times in that time, each time showing that they hear.
        if let Some(at) = self.withdrawal.answered.filter(|at| Some(*at) >= owned) {
            return self.now.since(at.max(self.resumed)) > quiet;
        }
        // They have not all come yet; two reports of one show that it hears.
        let pause = Span::secs(2.0 * self.settings.cluster.workers.report_s);
        let since = self.withdrawal.unanswered_since.map(|at| at.max(self.resumed));
        let several = self.withdrawal.unanswered.len() >= LEAST_MACHINES;
        several && since.is_some_and(|at| self.now.since(at) > quiet + pause)
    }

    pub(super) fn tend_withdrawal(&mut self) {
        let now = self.now;
        match self.withdrawal.away {
            None => {
                let Some(mute) = self.out_of_reach() else { return };
                self.withdrawal.mute = mute;
                let what = if self.withdrawal.mute { "no worker hears" } else { "no worker reaches" };
                tracing::info!("{what} this node: its parts go to others");
                let pause = Span((self.withdrawal.pause.0 * 2).clamp(FIRST_PAUSE.0, LAST_PAUSE.0));
                self.withdrawal.pause = pause;
                self.withdrawal.away = Some((now, now + pause));
            }
            Some((since, until)) => {
                let reached = !self.withdrawal.mute && self.withdrawal.heard.is_some_and(|at| at > since);
                if reached || now >= until {
                    tracing::info!("this node takes parts again");
                    self.withdrawal.away = None;
                    self.withdrawal.unanswered.clear();
                    self.withdrawal.unanswered_since = None;
                    self.withdrawal.pause = if reached { Span(0) } else { self.withdrawal.pause };
                    return;
                }
            }
        }
        let key = records::node_key(&self.me);
        let listed = self.view.nodes.get(&self.me).filter(|h| h.record.is_some()).map(|h| h.version);
        if let (Some(version), false) = (listed, self.busy_keys.contains(&key)) {
            let conditions = vec![Condition { key: key.clone(), version }];
            self.simple_txn(Txn { conditions, changes: vec![Change::delete(key)] });
        }
    }
}
