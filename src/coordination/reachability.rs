//! Machines whose reports arrive while answers don't reach them.
//!
//! Such a machine kills its tasks at the end of each lease and goes on with the
//! next session, and its reports keep coming. Nothing that is sent to it is
//! carried out, so it is no room for anything until it shows that it hears. What
//! shows that: a worker stays with a node that it had an answer from, and its
//! reports are numbered; without an answer it tries the next node first. So a
//! report that follows the last one of the same session by one was sent after
//! an answer came. Where there is no other node to try, the number tells nothing,
//! and a session that outlives a lease shows the same.
//!
//! All of this decides where work goes, never what is proof: see `keeping`.

use super::*;
use crate::units::{AgentEpoch, HeartbeatNumber};

/// What tells whether a machine hears this owner.
#[derive(Debug, Clone, Copy)]
pub(super) struct Reachability {
    /// When it last showed that an answer had come; none: not yet, and it was
    /// given up before.
    heard: Option<MonotonicTime>,
    /// When the current session was first seen.
    session_since: MonotonicTime,
    /// When it reported last.
    last: MonotonicTime,
}

impl Reachability {
    /// Of a machine that reports for the first time. One that is not known to
    /// have been given up before is trusted for a lease.
    pub fn new(now: MonotonicTime, given_up: bool) -> Reachability {
        Reachability { heard: (!given_up).then_some(now), session_since: now, last: now }
    }

    /// Takes in a report that is newer than the last one; true if it shows
    /// that an answer came.
    pub fn reported(
        &mut self,
        now: MonotonicTime,
        last: (AgentEpoch, HeartbeatNumber),
        heartbeat: (AgentEpoch, HeartbeatNumber),
        others: bool,
        lease: Millis,
    ) -> bool {
        self.last = now;
        if heartbeat.0 != last.0 {
            self.session_since = now;
            return false;
        }
        let next = others && heartbeat.1 .0 == last.1 .0 + 1;
        let shown = next || now.since(self.session_since) > lease;
        if shown {
            self.heard = Some(now);
        }
        shown
    }

    /// True if what is sent there would not be carried out, as far as is known. A
    /// machine that does not report either is silent, which is another matter.
    pub fn is_downlink_lost(&self, now: MonotonicTime, lease: Millis) -> bool {
        self.heard.is_none_or(|at| now.since(at) > lease && self.last > at)
    }
}

impl Core {
    /// True if a machine of ours reports but does not hear.
    pub(super) fn is_downlink_lost(&self, machine: &owned_shard::Machine) -> bool {
        machine.reachability.is_downlink_lost(self.now, self.timing.worker_lease)
    }

    /// Notes since when machines hear nothing, and gives up for good what has
    /// heard nothing for so long that no earlier owner's answers can matter.
    pub(super) fn update_reachability(&mut self) {
        let (now, lease) = (self.now, self.timing.worker_lease);
        let long = self.timing.store_isolation_limit + lease + lease;
        for owned_shard in self.owned_shards.values_mut().filter(|m| m.ready) {
            let heartbeats = |m: &owned_shard::Machine| now.since(m.last_heartbeat) <= long;
            let downlink_lost = |name: &MachineId| {
                owned_shard.machines.get(name).is_some_and(|m| m.reachability.is_downlink_lost(now, lease))
            };
            owned_shard.downlink_lost.retain(|name, since| {
                owned_shard.machines.get(name).map_or(now.since(*since) < long + long, |_| downlink_lost(name))
            });
            for (name, machine) in owned_shard.machines.iter_mut() {
                if !machine.reachability.is_downlink_lost(now, lease) || !heartbeats(machine) {
                    continue;
                }
                let since = *owned_shard.downlink_lost.entry(name.clone()).or_insert_with(|| {
                    tracing::info!("{name} reports but hears nothing: it gets no work");
                    now
                });
                if now.since(since) > long && !machine.faulty {
                    tracing::info!("{name} has heard nothing for {:.0} s: it is given back", long.as_secs());
                    machine.faulty = true;
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(agent_epoch: u64, heartbeat_number: u64) -> (AgentEpoch, HeartbeatNumber) {
        (AgentEpoch(agent_epoch), HeartbeatNumber(heartbeat_number))
    }

    #[test]
    fn only_the_next_number_of_a_session_shows_that_an_answer_came() {
        let lease = Millis(10_000);
        let mut reachability = Reachability::new(MonotonicTime(0), true);
        assert!(reachability.is_downlink_lost(MonotonicTime(0), lease));
        // It tried another node in between, and its lease ran out.
        assert!(!reachability.reported(MonotonicTime(5000), at(1, 4), at(1, 6), true, lease));
        assert!(!reachability.reported(MonotonicTime(10_000), at(1, 6), at(2, 7), true, lease));
        assert!(reachability.is_downlink_lost(MonotonicTime(10_000), lease));
        assert!(reachability.reported(MonotonicTime(11_000), at(2, 7), at(2, 8), true, lease));
        // Silent since; then it reports after its lease.
        assert!(!reachability.is_downlink_lost(MonotonicTime(22_000), lease));
        assert!(!reachability.reported(MonotonicTime(22_000), at(2, 8), at(3, 11), true, lease));
        assert!(reachability.is_downlink_lost(MonotonicTime(22_000), lease));
        // Alone there is no other node to try.
        let mut alone = Reachability::new(MonotonicTime(0), true);
        assert!(!alone.reported(MonotonicTime(1000), at(1, 1), at(1, 2), false, lease));
        assert!(alone.reported(MonotonicTime(11_000), at(1, 2), at(1, 3), false, lease));
    }
}
