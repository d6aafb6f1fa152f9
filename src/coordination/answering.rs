//! Answers to reports that wait a moment for something worth saying.
//!
//! Starts travel only in answers to reports, and a worker with nothing new to
//! tell reports again after `report_s` only: a core that came free with one
//! report stood idle until the next, however soon its next task was written. So
//! an answer with nothing in it is held back for a moment. What makes that safe:
//!
//! - It is made when it is sent, from the records of that moment, and only if
//!   the node is still entitled to answer; a newer report of the machine takes
//!   the older one's place, which then starts nothing.
//! - A worker drops answers after 4 s and counts its lease from when it sent
//!   the report, as the owner does from when it came: neither changes.
//! - A worker with tasks tells of changes every half second at most, so that is
//!   as long as it is kept waiting; one without tasks has nothing to tell.

use super::mine::Machine;
use super::*;
use crate::protocol::workers::TaskState;

/// Workers tell of changes no more often than this.
const WORKER_PAUSE: Span = Span(450);

/// The longest that a worker without tasks waits: well within the 4 s after
/// which it would turn to another node, also if this one is slow.
const LONGEST: Span = Span(2000);

/// Room left before a machine counts as silent, for a report on its way.
const MARGIN: Span = Span(500);

/// Where workers report so often that the pause between reports is not this
/// many times theirs between changes, the next report comes about as soon.
const WORTHWHILE: f64 = 4.0;

/// Share of the pause between a worker's reports that its answer may take.
const SHARE: f64 = 0.75;

/// A report whose answer is held back.
#[derive(Debug)]
struct Held {
    request: RequestId,
    report: Report,
    until: Time,
}

/// Answers held back, one a machine.
#[derive(Debug, Default)]
pub(super) struct Answers {
    held: BTreeMap<MachineId, Held>,
    /// By when each is to be given.
    due: BTreeSet<(Time, MachineId)>,
    /// Machines for which there may be something to say now.
    touched: BTreeSet<MachineId>,
}

impl Answers {
    fn hold(&mut self, held: Held) {
        let machine = held.report.machine.clone();
        self.due.insert((held.until, machine.clone()));
        self.held.insert(machine, held);
    }

    fn take(&mut self, machine: &MachineId) -> Option<Held> {
        let held = self.held.remove(machine)?;
        self.due.remove(&(held.until, machine.clone()));
        Some(held)
    }

    /// Something about the machine's tasks has become durable.
    pub fn touch(&mut self, machine: &MachineId) {
        if self.held.contains_key(machine) {
            self.touched.insert(machine.clone());
        }
    }
}

impl Core {
    /// How long the answer to this machine's report may wait; none if there is
    /// nothing to wait for.
    fn patience(&self, part: PartId, machine: &Machine, report: &Report) -> Option<Span> {
        let mine = self.mine.get(&part)?;
        let report_ms = self.settings.cluster.workers.report_s * 1000.0;
        if report_ms < WORTHWHILE * WORKER_PAUSE.0 as f64 {
            return None;
        }
        // The worker's next report may come a whole pause and a quarter after the
        // answer: it must not count as silent by then.
        let before_silence = self.quiet().0 as f64 - 1.25 * report_ms - MARGIN.0 as f64;
        let within = |most: Span| Span(most.0.min((report_ms * SHARE).min(before_silence).max(0.0) as u64));
        let lives = report.tasks.iter().any(|t| t.state != TaskState::Exited);
        let usable =
            machine.acked && machine.notice.is_none() && !machine.faulty && !self.is_deaf(machine) && !mine.releasing;
        if !usable || self.draining(&report.machine) || !self.state_fresh() {
            return None;
        }
        let exits = report.tasks.iter().any(|t| t.state == TaskState::Exited);
        let unsent = mine.on.get(&report.machine).is_some_and(|on| on.iter().any(|k| !machine.listed.contains_key(k)));
        if !lives && !exits {
            return Some(within(LONGEST));
        }
        (exits || unsent).then(|| within(WORKER_PAUSE))
    }

    /// Answers a report of one of our machines, now or in a moment.
    pub(super) fn answer_report(&mut self, part: PartId, request: RequestId, report: Report, fresh: bool) {
        let Some(mine) = self.mine.get(&part) else { return };
        let (token, ready) = (mine.token, mine.ready);
        // A worker that asks again does not wait for the older answer any more.
        if let Some(older) = self.answers.take(&report.machine) {
            self.reply(older.request, Reply::Commands { token, commands: vec![] });
        }
        let commands = self.orders(part, &report, fresh, ready);
        if commands.is_empty() && fresh && ready {
            let machine = self.mine.get(&part).and_then(|m| m.machines.get(&report.machine));
            if let Some(patience) = machine.and_then(|m| self.patience(part, m, &report)) {
                let until = self.now + patience;
                return self.answers.hold(Held { request, report, until });
            }
        }
        self.reply(request, Reply::Commands { token, commands });
    }

    /// What a machine of ours is told. An owner whose records are not as new as its
    /// ownership yet renews the machine's lease too, so it stops what it knows to be over.
    fn orders(&mut self, part: PartId, report: &Report, newest: bool, ready: bool) -> Vec<Command> {
        match (newest, ready) {
            (true, true) => self.commands(part, report),
            (true, false) => self.stops_of_ended(report),
            (false, _) => vec![],
        }
    }

    /// Gives the answers that are due, and those that have something to say.
    pub(super) fn tend_answers(&mut self) {
        for machine in std::mem::take(&mut self.answers.touched) {
            self.give_answer(&machine, false);
        }
        while let Some((until, machine)) = self.answers.due.first().cloned() {
            if until > self.now {
                break;
            }
            self.give_answer(&machine, true);
        }
    }

    /// All answers for a part that is no longer ours are due.
    pub(super) fn release_answers(&mut self, part: PartId) {
        let of_part: Vec<MachineId> =
            self.answers.held.keys().filter(|name| self.part_of(name) == part).cloned().collect();
        for machine in of_part {
            if let Some(held) = self.answers.take(&machine) {
                self.answers.hold(Held { until: self.now, ..held });
            }
        }
    }

    fn give_answer(&mut self, machine: &MachineId, due: bool) {
        let Some(held) = self.answers.take(machine) else { return };
        let part = self.part_of(machine);
        let Some((token, ready)) = self.mine.get(&part).map(|m| (m.token, m.ready)) else {
            let reply = self.answer_stranger(part, &held.report);
            return self.reply(held.request, reply);
        };
        if !self.entitled() || held.report.token > token {
            return self.reply(held.request, Reply::Elsewhere(None));
        }
        // The part may have been lost and won again meanwhile: then this owner
        // has not heard of the machine, and knows nothing of what is on it.
        let newest = self.mine.get(&part).and_then(|m| m.machines.get(machine));
        let newest = newest.is_some_and(|m| (m.session, m.seq) == (held.report.session, held.report.seq));
        let commands = self.orders(part, &held.report, newest, ready);
        if commands.is_empty() && !due {
            return self.answers.hold(held);
        }
        self.reply(held.request, Reply::Commands { token, commands });
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::protocol::workers::{TaskName, TaskReport};
    use crate::units::{Attempt, Seq, Session};

    /// A new owner whose watch brought nothing any more went on renewing leases of
    /// machines on which a job ran that it knew to be cancelled.
    #[test]
    fn an_owner_whose_records_lag_stops_what_it_knows_to_be_over() {
        let mut core = super::super::tests::core();
        let record =
            super::super::tests::record(serde_json::json!({"plan": {"size": 16, "parts": [0]}, "end": "cancelled"}));
        let changed = core.view.apply("t/j/wk-000002", Some(record), Revision(5));
        core.changed(changed);
        core.last_read = Some(Time(0));
        for part in 0..2 {
            core.mine.insert(PartId(part), mine::Mine::new(Token(9), Time(0)));
        }
        let task = TaskReport {
            task: TaskName { job: JobRef::new("wk-000002"), index: 0 },
            attempt: Attempt(1),
            state: TaskState::Running,
            why: None,
            saved: None,
        };
        let report = Report {
            machine: MachineId::new("i-000001"),
            addr: String::new(),
            kind: "m".into(),
            zone: "a".into(),
            spot: false,
            session: Session(1),
            seq: Seq(4),
            token: Token(7),
            notice_s: None,
            tasks: vec![task],
        };
        core.report(RequestId(1), report);
        let told = |o: &Output| {
            matches!(o, Output::Reply(_, Reply::Commands { commands, .. })
            if matches!(commands[..], [Command::Stop { grace_s: 0.0, .. }]))
        };
        assert!(core.out.iter().any(told), "{:?}", core.out);
    }
}
