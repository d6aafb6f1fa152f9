//! Workers' reports: what is on which machine, and what they are told.

use crate::coordination::heartbeats::reachability::Reachability;
use crate::coordination::membership::startup::Milestone;
use crate::coordination::shards::owned_shard::{CachedImage, Machine, ReportedTask, TaskKey};
use crate::coordination::{Core, Response};
use crate::protocol::workers::{Command, ExitReason, Heartbeat, TaskName, TaskState, TaskStatus};
use crate::storage::records::TaskRecord;
use crate::units::{AgentEpoch, Attempt, HeartbeatNumber, JobId, MachineId, Millis, MonotonicTime, RequestId, ShardId};
use std::collections::BTreeMap;

/// Machines remembered that were given up, by part.
const MOST_GIVEN_UP: usize = 1000;

/// The most commands of one answer; the next report fetches the rest.
pub(crate) const MAX_COMMANDS: usize = 200;

impl Core {
    pub(crate) fn handle_heartbeat(&mut self, request: RequestId, heartbeat: Heartbeat) {
        let shard = self.shard_of(&heartbeat.machine);
        self.membership.heartbeat_arrived(self.now);
        let Some(owned_shard) = self.owned_shards.get(&shard) else {
            let response = self.answer_foreign_heartbeat(shard, &heartbeat);
            return self.response(request, response);
        };
        if !self.may_answer_workers() || heartbeat.token > owned_shard.token {
            return self.response(request, Response::Redirect(None));
        }
        let fresh = self.note_machine(shard, &heartbeat);
        self.answer_heartbeat(shard, request, heartbeat, fresh);
    }

    /// False if cut off from the records for too long: workers' leases must be
    /// allowed to run out.
    pub(crate) fn may_answer_workers(&self) -> bool {
        self.store.last_read().is_some_and(|at| self.now.since(at) <= self.timing.store_isolation_limit)
    }

    /// Takes in what a report says of its machine; false if it came late.
    fn note_machine(&mut self, shard: ShardId, heartbeat: &Heartbeat) -> bool {
        let now = self.now;
        let Some(owned_shard) = self.owned_shards.get_mut(&shard) else { return false };
        let token = owned_shard.token;
        let number = heartbeat.id();
        let given_up = owned_shard.removed_machines.get(&heartbeat.machine).copied();
        if given_up.is_some_and(|last| number <= last) {
            // A copy from before: the machine's lease was over since then.
            return false;
        }
        let machine = owned_shard.machines.entry(heartbeat.machine.clone()).or_insert_with(|| Machine {
            addr: heartbeat.addr.clone(),
            kind: heartbeat.kind.clone(),
            zone: heartbeat.zone.clone(),
            spot: heartbeat.spot,
            agent_epoch: AgentEpoch(0),
            heartbeat_number: HeartbeatNumber(0),
            token_acknowledged: false,
            last_heartbeat: now,
            born: now,
            notice: None,
            reported_tasks: BTreeMap::new(),
            starts_sent: BTreeMap::new(),
            images: vec![],
            failed_jobs: BTreeMap::new(),
            faulty: false,
            reachability: Reachability::new(now, given_up.is_some()),
            cordoned_until: MonotonicTime(0),
        });
        // A copy renews nothing: the worker counts its lease from when it sent
        // the report, which was before the newer one came.
        let last = machine.heartbeat_id();
        if number <= last {
            return false;
        }
        // The answer we are about to give renews the worker's lease.
        machine.last_heartbeat = now;
        let others = !self.membership.peers().is_empty();
        let hears = machine.reachability.record_heartbeat(now, last, number, others, self.timing.worker_lease);
        self.membership.heartbeat_accepted(now, &heartbeat.machine, hears);
        if heartbeat.agent_epoch > machine.agent_epoch {
            machine.reported_tasks.clear();
            machine.starts_sent.clear();
        }
        machine.agent_epoch = heartbeat.agent_epoch;
        machine.heartbeat_number = heartbeat.heartbeat_number;
        machine.token_acknowledged = heartbeat.token == token;
        machine.notice = match (heartbeat.termination_notice_s, machine.notice) {
            (Some(_), Some(at)) => Some(at),
            (Some(s), None) => Some(now + Millis::secs(s)),
            (None, _) => None,
        };
        let before = std::mem::take(&mut machine.reported_tasks);
        for task in &heartbeat.tasks {
            let key = (task.task.job.clone(), task.task.index);
            let since = match before.get(&key) {
                Some(before) if before.attempt == task.attempt && before.state == task.state => before.since,
                _ => now,
            };
            if task.state == TaskState::Running
                && owned_shard.placed_tasks.get(&heartbeat.machine).is_some_and(|on| on.contains(&key))
            {
                owned_shard.running_since.entry(key.clone()).or_insert(now);
            }
            machine.reported_tasks.insert(key, ReportedTask { attempt: task.attempt, state: task.state, since });
        }
        true
    }

    /// Reconciles a report with the records and says what the worker is to do.
    pub(crate) fn commands(&mut self, shard: ShardId, heartbeat: &Heartbeat) -> Vec<Command> {
        let mut commands = vec![];
        for task in &heartbeat.tasks {
            if task.state == TaskState::Exited {
                self.take_exit(&heartbeat.machine, task);
            }
        }
        for task in &heartbeat.tasks {
            let key = (task.task.job.clone(), task.task.index);
            let holds = |record: Option<&TaskRecord>| matches!(record, Some(TaskRecord::Placed(a, m)) if *a == task.attempt && *m == heartbeat.machine);
            let wanted = holds(self.desired_task(&key));
            let durable = holds(self.durable_task(&key));
            let name = task.task.clone();
            let attempt = task.attempt;
            if task.state == TaskState::Exited {
                // The exit is durable, or the attempt was never the task's.
                let done = self.cache.jobs.get(&key.0).is_some_and(|j| !j.holds_machines());
                if (!durable || done) && !wanted {
                    commands.push(Command::Forget { task: name, attempt });
                }
                continue;
            }
            let ended = self.cache.jobs.get(&key.0).is_some_and(|j| j.record.end.is_some());
            if (!wanted && !durable) || ended {
                commands.push(Command::Stop { task: name, attempt, grace_s: 0.0 });
                continue;
            }
            let stop = self.owned_shards.get(&shard).and_then(|m| m.stopping.get(&key).copied());
            match stop {
                Some(_) if task.state == TaskState::Saving => {}
                Some(grace_s) => commands.push(Command::Stop { task: name, attempt, grace_s }),
                None => {}
            }
        }
        self.start_or_close(shard, heartbeat, &mut commands);
        commands.truncate(MAX_COMMANDS);
        commands
    }

    /// Handles tasks that should be on the machine but are not listed.
    fn start_or_close(&mut self, shard: ShardId, heartbeat: &Heartbeat, commands: &mut Vec<Command>) {
        let Some(owned_shard) = self.owned_shards.get(&shard) else { return };
        let Some(machine) = owned_shard.machines.get(&heartbeat.machine) else { return };
        let listed =
            |key: &TaskKey, attempt: Attempt| machine.reported_tasks.get(key).is_some_and(|l| l.attempt == attempt);
        let usable = machine.notice.is_none()
            && !machine.faulty
            && !self.is_downlink_lost(machine)
            && !self.draining(&heartbeat.machine);
        let startable = usable && !owned_shard.releasing && self.records_fresh();
        let (acked, sent) = (machine.token_acknowledged, &machine.starts_sent);
        let mut starts = vec![];
        let mut gone = vec![];
        for key in owned_shard.placed_tasks.get(&heartbeat.machine).into_iter().flatten() {
            let Some(TaskRecord::Placed(attempt, _)) = self.desired_task(key) else { continue };
            if listed(key, *attempt) {
                continue;
            }
            let durable = self.durable_task(key) == self.desired_task(key);
            let ended = self.cache.jobs.get(&key.0).is_some_and(|j| j.record.end.is_some());
            let stopped = owned_shard.stopping.contains_key(key);
            if ended || stopped || !usable || self.over_quota(shard, owned_shard, &key.0) {
                // Not on the machine, and nothing that could still put it
                // there: earlier owners' answers are void once the worker
                // has seen our token, and ours once a later report came.
                let ours_void = sent.get(key).is_none_or(|at| *at < heartbeat.id());
                if acked && ours_void {
                    gone.push((key.clone(), *attempt));
                }
            } else if durable && startable && commands.len() + starts.len() < MAX_COMMANDS {
                starts.push((key.clone(), *attempt));
            }
        }
        for (key, attempt) in gone {
            self.set_task(&key, TaskRecord::Pending(attempt));
        }
        if !starts.is_empty() {
            self.milestone_reached(Milestone::StartSent);
        }
        for (key, attempt) in starts {
            self.remember_image(shard, &heartbeat.machine, &key.0);
            if let Some(machine) =
                self.owned_shards.get_mut(&shard).and_then(|m| m.machines.get_mut(&heartbeat.machine))
            {
                machine.starts_sent.insert(key.clone(), heartbeat.id());
            }
            commands.push(Command::Start { task: TaskName { job: key.0, index: key.1 }, attempt });
        }
    }

    fn remember_image(&mut self, shard: ShardId, machine: &MachineId, job: &JobId) {
        let Some(job) = self.cache.jobs.get(job) else { return };
        let Some(m) = self.owned_shards.get_mut(&shard).and_then(|m| m.machines.get_mut(machine)) else { return };
        m.images.retain(|image| image.name != job.image);
        m.images.push(CachedImage { name: job.image.clone(), size_gb: job.record.spec.image_gb });
        let room = self.catalog.get(&m.kind).map_or(0.0, |t| t.cache_gb);
        while m.images.len() > 1 && m.images.iter().map(|image| image.size_gb).sum::<f64>() > room {
            m.images.remove(0);
        }
    }

    /// Takes an exit into what is wanted, once.
    fn take_exit(&mut self, machine: &MachineId, task: &TaskStatus) {
        let key = (task.task.job.clone(), task.task.index);
        let current =
            matches!(self.desired_task(&key), Some(TaskRecord::Placed(a, m)) if *a == task.attempt && m == machine);
        if !current {
            return;
        }
        let shard = self.shard_of(machine);
        let why = task.exit_reason.unwrap_or(ExitReason::Other);
        if why == ExitReason::Done {
            self.learn_run_time(shard, &key);
            self.set_task(&key, TaskRecord::Done);
        } else {
            self.set_task(&key, TaskRecord::Pending(task.attempt));
        }
        let Some(m) = self.owned_shards.get_mut(&shard).and_then(|m| m.machines.get_mut(machine)) else { return };
        match why {
            ExitReason::Done => m.failed_jobs.clear(),
            ExitReason::Error => {
                m.failed_jobs.insert(key.0.clone(), self.now);
                tracing::info!("task {}/{} failed on {machine}", key.0, key.1);
                self.note_error(&key, task.attempt);
                self.estimates.record_failure(&key.0, machine, self.now);
                self.update_faulty_machine(shard, machine);
            }
            _ => {}
        }
    }

    /// Everything that was on the machine is gone for certain.
    pub(crate) fn remove_lost_machine(&mut self, shard: ShardId, name: &MachineId) {
        let lost = !self.returned(name);
        let Some(owned_shard) = self.owned_shards.get_mut(&shard) else { return };
        let keys: Vec<TaskKey> = owned_shard.placed_tasks.get(name).into_iter().flatten().cloned().collect();
        if let Some(machine) = owned_shard.machines.remove(name) {
            owned_shard.removed_machines.insert(name.clone(), machine.heartbeat_id());
            if owned_shard.removed_machines.len() > MOST_GIVEN_UP {
                // Names rise: the first is the oldest, more or less.
                owned_shard.removed_machines.pop_first();
            }
            self.estimates.machine_gone(&machine, self.now, lost);
        }
        for key in keys {
            if let Some(TaskRecord::Placed(attempt, _)) = self.desired_task(&key).cloned() {
                self.set_task(&key, TaskRecord::Pending(attempt));
            }
        }
    }
}

impl std::ops::Add for Millis {
    type Output = Millis;
    fn add(self, other: Millis) -> Millis {
        Millis(self.0 + other.0)
    }
}

#[cfg(test)]
mod tests;
