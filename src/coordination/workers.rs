//! Workers' reports: what is on which machine, and what they are told.

use super::hearing::Hearing;
use super::mine::{Machine, TaskKey};
use super::*;
use crate::bookkeeping::records::TaskRecord;
use crate::protocol::workers::{TaskName, TaskReport, TaskState, Why};
use crate::units::{Attempt, Seq, Session};

/// Machines remembered that were given up, by part.
const MOST_GIVEN_UP: usize = 1000;

/// The most commands of one answer; the next report fetches the rest.
pub(super) const MOST_COMMANDS: usize = 200;

impl Core {
    pub(super) fn report(&mut self, request: RequestId, report: Report) {
        let part = self.part_of(&report.machine);
        self.withdrawal.heard(self.now);
        let Some(mine) = self.mine.get(&part) else {
            let reply = self.answer_stranger(part, &report);
            return self.reply(request, reply);
        };
        if !self.entitled() || report.token > mine.token {
            return self.reply(request, Reply::Elsewhere(None));
        }
        let fresh = self.note_machine(part, &report);
        self.answer_report(part, request, report, fresh);
    }

    /// False if cut off from the records for too long: workers' leases must be
    /// allowed to run out.
    pub(super) fn entitled(&self) -> bool {
        self.last_read.is_some_and(|at| self.now.since(at) <= self.timing.horizon)
    }

    /// Takes in what a report says of its machine; false if it came late.
    fn note_machine(&mut self, part: PartId, report: &Report) -> bool {
        let now = self.now;
        let Some(mine) = self.mine.get_mut(&part) else { return false };
        let token = mine.token;
        let number = (report.session, report.seq);
        let given_up = mine.given_up.get(&report.machine).copied();
        if given_up.is_some_and(|last| number <= last) {
            // A copy from before: the machine's lease was over since then.
            return false;
        }
        let machine = mine.machines.entry(report.machine.clone()).or_insert_with(|| Machine {
            addr: report.addr.clone(),
            kind: report.kind.clone(),
            zone: report.zone.clone(),
            spot: report.spot,
            session: Session(0),
            seq: Seq(0),
            acked: false,
            last_report: now,
            born: now,
            notice: None,
            listed: BTreeMap::new(),
            sent: BTreeMap::new(),
            images: vec![],
            failed_jobs: BTreeMap::new(),
            faulty: false,
            hearing: Hearing::new(now, given_up.is_some()),
            rests_until: Time(0),
        });
        // A copy renews nothing: the worker counts its lease from when it sent
        // the report, which was before the newer one came.
        let last = (machine.session, machine.seq);
        if number <= last {
            return false;
        }
        // The answer we are about to give renews the worker's lease.
        machine.last_report = now;
        let others = !self.peers.is_empty();
        let hears = machine.hearing.reported(now, last, number, others, self.timing.worker_lease);
        self.withdrawal.reported(now, &report.machine, hears);
        if report.session > machine.session {
            machine.listed.clear();
            machine.sent.clear();
        }
        machine.session = report.session;
        machine.seq = report.seq;
        machine.acked = report.token == token;
        machine.notice = match (report.notice_s, machine.notice) {
            (Some(_), Some(at)) => Some(at),
            (Some(s), None) => Some(now + Span::secs(s)),
            (None, _) => None,
        };
        let before = std::mem::take(&mut machine.listed);
        for task in &report.tasks {
            let key = (task.task.job.clone(), task.task.index);
            let since = match before.get(&key) {
                Some((attempt, state, since)) if *attempt == task.attempt && *state == task.state => *since,
                _ => now,
            };
            if task.state == TaskState::Running && mine.on.get(&report.machine).is_some_and(|on| on.contains(&key)) {
                mine.running_since.entry(key.clone()).or_insert(now);
            }
            machine.listed.insert(key, (task.attempt, task.state, since));
        }
        true
    }

    /// Reconciles a report with the records and says what the worker is to do.
    pub(super) fn commands(&mut self, part: PartId, report: &Report) -> Vec<Command> {
        let mut commands = vec![];
        for task in &report.tasks {
            if task.state == TaskState::Exited {
                self.take_exit(&report.machine, task);
            }
        }
        for task in &report.tasks {
            let key = (task.task.job.clone(), task.task.index);
            let holds = |record: Option<&TaskRecord>| matches!(record, Some(TaskRecord::On(a, m)) if *a == task.attempt && *m == report.machine);
            let wanted = holds(self.wanted(&key));
            let durable = holds(self.durable(&key));
            let name = task.task.clone();
            let attempt = task.attempt;
            if task.state == TaskState::Exited {
                // The exit is durable, or the attempt was never the task's.
                let done = self.view.jobs.get(&key.0).is_some_and(|j| !j.holds_machines());
                if (!durable || done) && !wanted {
                    commands.push(Command::Forget { task: name, attempt });
                }
                continue;
            }
            let ended = self.view.jobs.get(&key.0).is_some_and(|j| j.record.end.is_some());
            if (!wanted && !durable) || ended {
                commands.push(Command::Stop { task: name, attempt, grace_s: 0.0 });
                continue;
            }
            let stop = self.mine.get(&part).and_then(|m| m.stopping.get(&key).copied());
            match stop {
                Some(_) if task.state == TaskState::Saving => {}
                Some(grace_s) => commands.push(Command::Stop { task: name, attempt, grace_s }),
                None => {}
            }
        }
        self.start_or_close(part, report, &mut commands);
        commands.truncate(MOST_COMMANDS);
        commands
    }

    /// Handles tasks that should be on the machine but are not listed.
    fn start_or_close(&mut self, part: PartId, report: &Report, commands: &mut Vec<Command>) {
        let Some(mine) = self.mine.get(&part) else { return };
        let Some(machine) = mine.machines.get(&report.machine) else { return };
        let listed = |key: &TaskKey, attempt: Attempt| machine.listed.get(key).is_some_and(|l| l.0 == attempt);
        let usable =
            machine.notice.is_none() && !machine.faulty && !self.is_deaf(machine) && !self.draining(&report.machine);
        let startable = usable && !mine.releasing && self.state_fresh();
        let (acked, sent) = (machine.acked, &machine.sent);
        let mut starts = vec![];
        let mut gone = vec![];
        for key in mine.on.get(&report.machine).into_iter().flatten() {
            let Some(TaskRecord::On(attempt, _)) = self.wanted(key) else { continue };
            if listed(key, *attempt) {
                continue;
            }
            let durable = self.durable(key) == self.wanted(key);
            let ended = self.view.jobs.get(&key.0).is_some_and(|j| j.record.end.is_some());
            let stopped = mine.stopping.contains_key(key);
            if ended || stopped || !usable || self.over_allowance(part, mine, &key.0) {
                // Not on the machine, and nothing that could still put it
                // there: earlier owners' answers are void once the worker
                // has seen our token, and ours once a later report came.
                let ours_void = sent.get(key).is_none_or(|at| *at < (report.session, report.seq));
                if acked && ours_void {
                    gone.push((key.clone(), *attempt));
                }
            } else if durable && startable && commands.len() + starts.len() < MOST_COMMANDS {
                starts.push((key.clone(), *attempt));
            }
        }
        for (key, attempt) in gone {
            self.set_task(&key, TaskRecord::Idle(attempt));
        }
        if !starts.is_empty() {
            self.reached(Milestone::StartSent);
        }
        for (key, attempt) in starts {
            self.remember_image(part, &report.machine, &key.0);
            if let Some(machine) = self.mine.get_mut(&part).and_then(|m| m.machines.get_mut(&report.machine)) {
                machine.sent.insert(key.clone(), (report.session, report.seq));
            }
            commands.push(Command::Start { task: TaskName { job: key.0, index: key.1 }, attempt });
        }
    }

    fn remember_image(&mut self, part: PartId, machine: &MachineId, job: &JobRef) {
        let Some(job) = self.view.jobs.get(job) else { return };
        let Some(m) = self.mine.get_mut(&part).and_then(|m| m.machines.get_mut(machine)) else { return };
        m.images.retain(|(name, _)| *name != job.image);
        m.images.push((job.image.clone(), job.record.spec.image_gb));
        let room = self.catalog.get(&m.kind).map_or(0.0, |t| t.cache_gb);
        while m.images.len() > 1 && m.images.iter().map(|i| i.1).sum::<f64>() > room {
            m.images.remove(0);
        }
    }

    /// Takes an exit into what is wanted, once.
    fn take_exit(&mut self, machine: &MachineId, task: &TaskReport) {
        let key = (task.task.job.clone(), task.task.index);
        let current = matches!(self.wanted(&key), Some(TaskRecord::On(a, m)) if *a == task.attempt && m == machine);
        if !current {
            return;
        }
        let part = self.part_of(machine);
        let why = task.why.unwrap_or(Why::Other);
        if why == Why::Done {
            self.learn_run_time(part, &key);
            self.set_task(&key, TaskRecord::Done);
        } else {
            self.set_task(&key, TaskRecord::Idle(task.attempt));
        }
        let Some(m) = self.mine.get_mut(&part).and_then(|m| m.machines.get_mut(machine)) else { return };
        match why {
            Why::Done => m.failed_jobs.clear(),
            Why::Error => {
                m.failed_jobs.insert(key.0.clone(), self.now);
                tracing::info!("task {}/{} failed on {machine}", key.0, key.1);
                self.note_error(&key, task.attempt);
                self.learned.failures.failed(&key.0, machine, self.now);
                self.judge_machine(part, machine);
            }
            _ => {}
        }
    }

    /// Everything that was on the machine is gone for certain.
    pub(super) fn clear_machine(&mut self, part: PartId, name: &MachineId) {
        let lost = !self.returned(name);
        let Some(mine) = self.mine.get_mut(&part) else { return };
        let keys: Vec<TaskKey> = mine.on.get(name).into_iter().flatten().cloned().collect();
        if let Some(machine) = mine.machines.remove(name) {
            mine.given_up.insert(name.clone(), (machine.session, machine.seq));
            if mine.given_up.len() > MOST_GIVEN_UP {
                // Names rise: the first is the oldest, more or less.
                mine.given_up.pop_first();
            }
            self.learned.machine_gone(&machine, self.now, lost);
        }
        for key in keys {
            if let Some(TaskRecord::On(attempt, _)) = self.wanted(&key).cloned() {
                self.set_task(&key, TaskRecord::Idle(attempt));
            }
        }
    }
}

impl std::ops::Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0 + other.0)
    }
}

#[cfg(test)]
mod tests;
