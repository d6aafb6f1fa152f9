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
use crate::units::{Seq, Session};

/// What tells whether a machine hears this owner.
#[derive(Debug, Clone, Copy)]
pub(super) struct Hearing {
    /// When it last showed that an answer had come; none: not yet, and it was
    /// given up before.
    heard: Option<Time>,
    /// When the current session was first seen.
    session_since: Time,
    /// When it reported last.
    last: Time,
}

impl Hearing {
    /// Of a machine that reports for the first time. One that is not known to
    /// have been given up before is trusted for a lease.
    pub fn new(now: Time, given_up: bool) -> Hearing {
        Hearing { heard: (!given_up).then_some(now), session_since: now, last: now }
    }

    /// Takes in a report that is newer than the last one; true if it shows
    /// that an answer came.
    pub fn reported(
        &mut self,
        now: Time,
        last: (Session, Seq),
        report: (Session, Seq),
        others: bool,
        lease: Span,
    ) -> bool {
        self.last = now;
        if report.0 != last.0 {
            self.session_since = now;
            return false;
        }
        let next = others && report.1 .0 == last.1 .0 + 1;
        let shown = next || now.since(self.session_since) > lease;
        if shown {
            self.heard = Some(now);
        }
        shown
    }

    /// True if what is sent there would not be carried out, as far as is known. A
    /// machine that does not report either is silent, which is another matter.
    pub fn is_deaf(&self, now: Time, lease: Span) -> bool {
        self.heard.is_none_or(|at| now.since(at) > lease && self.last > at)
    }
}

impl Core {
    /// True if a machine of ours reports but does not hear.
    pub(super) fn is_deaf(&self, machine: &mine::Machine) -> bool {
        machine.hearing.is_deaf(self.now, self.timing.worker_lease)
    }

    /// Notes since when machines hear nothing, and gives up for good what has
    /// heard nothing for so long that no earlier owner's answers can matter.
    pub(super) fn judge_hearing(&mut self) {
        let (now, lease) = (self.now, self.timing.worker_lease);
        let long = self.timing.horizon + lease + lease;
        for mine in self.mine.values_mut().filter(|m| m.ready) {
            let reports = |m: &mine::Machine| now.since(m.last_report) <= long;
            let deaf = |name: &MachineId| mine.machines.get(name).is_some_and(|m| m.hearing.is_deaf(now, lease));
            mine.deaf
                .retain(|name, since| mine.machines.get(name).map_or(now.since(*since) < long + long, |_| deaf(name)));
            for (name, machine) in mine.machines.iter_mut() {
                if !machine.hearing.is_deaf(now, lease) || !reports(machine) {
                    continue;
                }
                let since = *mine.deaf.entry(name.clone()).or_insert_with(|| {
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

    fn at(session: u64, seq: u64) -> (Session, Seq) {
        (Session(session), Seq(seq))
    }

    #[test]
    fn only_the_next_number_of_a_session_shows_that_an_answer_came() {
        let lease = Span(10_000);
        let mut hearing = Hearing::new(Time(0), true);
        assert!(hearing.is_deaf(Time(0), lease));
        // It tried another node in between, and its lease ran out.
        assert!(!hearing.reported(Time(5000), at(1, 4), at(1, 6), true, lease));
        assert!(!hearing.reported(Time(10_000), at(1, 6), at(2, 7), true, lease));
        assert!(hearing.is_deaf(Time(10_000), lease));
        assert!(hearing.reported(Time(11_000), at(2, 7), at(2, 8), true, lease));
        // Silent since; then it reports after its lease.
        assert!(!hearing.is_deaf(Time(22_000), lease));
        assert!(!hearing.reported(Time(22_000), at(2, 8), at(3, 11), true, lease));
        assert!(hearing.is_deaf(Time(22_000), lease));
        // Alone there is no other node to try.
        let mut alone = Hearing::new(Time(0), true);
        assert!(!alone.reported(Time(1000), at(1, 1), at(1, 2), false, lease));
        assert!(alone.reported(Time(11_000), at(1, 2), at(1, 3), false, lease));
    }
}
