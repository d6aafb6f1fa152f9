//! Reconciles heartbeats with the records of tasks: determines the commands for a worker, the tasks that have exited,
//! and the tasks that are certainly not on a machine.
//!
//! Called for recorded heartbeats and for lost machines. Changes the desired state of tasks. Start commands are sent
//! only for placements that are durable in the store.

use crate::coordination::membership::startup::Milestone;
use crate::coordination::shards::owned_shard::{CachedImage, Machine, TaskKey};
use crate::coordination::Core;
use crate::protocol::workers::{Command, ExitReason, Heartbeat, HeartbeatId, TaskName, TaskState, TaskStatus};
use crate::storage::records::TaskRecord;
use crate::units::{Attempt, JobId, MachineId, ShardId};

/// Maximum number of commands in one response. Further commands follow in the response to the next heartbeat.
pub(crate) const MAX_COMMANDS: usize = 200;

/// Maximum number of removed machines per shard whose newest heartbeat id is kept.
const MAX_REMOVED_MACHINES: usize = 1000;

/// One attempt to run a task.
struct TaskAttempt {
    key: TaskKey,
    attempt: Attempt,
}

/// Tasks that are placed on a machine but missing in its heartbeat.
#[derive(Default)]
struct UnreportedTasks {
    /// Tasks to start now.
    to_start: Vec<TaskAttempt>,
    /// Tasks that must no longer start on the machine and are certainly not on it.
    absent: Vec<TaskAttempt>,
}

/// Returns the cache key of a task in a heartbeat.
pub(super) fn task_key(task: &TaskStatus) -> TaskKey {
    (task.task.job.clone(), task.task.index)
}

impl Core {
    /// Applies the task exits in a heartbeat and returns the commands for its worker, at most [`MAX_COMMANDS`].
    pub(super) fn reconcile(&mut self, shard: ShardId, heartbeat: &Heartbeat) -> Vec<Command> {
        self.record_exits(shard, heartbeat);
        let command_for = |task| self.command_for_reported_task(shard, &heartbeat.machine, task);
        let mut commands: Vec<Command> = heartbeat.tasks.iter().filter_map(command_for).collect();
        let max_starts = MAX_COMMANDS.saturating_sub(commands.len());
        let unreported = self.unreported_tasks(shard, heartbeat, max_starts);
        for task in unreported.absent {
            self.set_task(&task.key, TaskRecord::Pending(task.attempt));
        }
        if !unreported.to_start.is_empty() {
            self.milestone_reached(Milestone::StartSent);
        }
        for task in unreported.to_start {
            commands.push(self.start_command(shard, heartbeat, task));
        }
        commands.truncate(MAX_COMMANDS);
        commands
    }

    /// True if the machine's own state allows it to get work.
    pub(super) fn is_usable(&self, name: &MachineId, machine: &Machine) -> bool {
        machine.termination_at.is_none()
            && !machine.faulty
            && !self.is_downlink_lost(machine)
            && !self.is_draining(name)
    }

    /// Removes a lost machine and makes its tasks pending again. The caller has established that none of its tasks
    /// can still run.
    pub(crate) fn remove_lost_machine(&mut self, shard: ShardId, name: &MachineId) {
        let unexpected = !self.is_returned(name);
        let Some(owned_shard) = self.owned_shards.get_mut(&shard) else { return };
        let keys: Vec<TaskKey> = owned_shard.placed_tasks.get(name).into_iter().flatten().cloned().collect();
        if let Some(machine) = owned_shard.machines.remove(name) {
            owned_shard.removed_machines.insert(name.clone(), machine.heartbeat_id());
            if owned_shard.removed_machines.len() > MAX_REMOVED_MACHINES {
                // The cloud numbers its machines, so the first name belongs to approximately the oldest one.
                owned_shard.removed_machines.pop_first();
            }
            self.estimates.record_lifetime(&machine, self.now, unexpected);
        }
        for key in keys {
            if let Some(TaskRecord::Placed(attempt, _)) = self.desired_task(&key).cloned() {
                self.set_task(&key, TaskRecord::Pending(attempt));
            }
        }
    }

    /// Returns the command for a task in a heartbeat, if one is needed.
    fn command_for_reported_task(&self, shard: ShardId, machine: &MachineId, task: &TaskStatus) -> Option<Command> {
        let key = task_key(task);
        let desired = is_attempt_on(self.desired_task(&key), task.attempt, machine);
        let durable = is_attempt_on(self.durable_task(&key), task.attempt, machine);
        let (name, attempt) = (task.task.clone(), task.attempt);
        if task.state == TaskState::Exited {
            // Forget only if the exit is durable or the attempt was never recorded for the task.
            let job_done = self.cache.jobs.get(&key.0).is_some_and(|job| !job.holds_machines());
            let may_forget = (!durable || job_done) && !desired;
            return may_forget.then_some(Command::Forget { task: name, attempt });
        }
        if (!desired && !durable) || self.has_job_ended(&key.0) {
            return Some(Command::Stop { task: name, attempt, grace_s: 0.0 });
        }
        let grace_s = *self.owned_shards.get(&shard)?.stopping.get(&key)?;
        let is_saving = task.state == TaskState::Saving;
        (!is_saving).then_some(Command::Stop { task: name, attempt, grace_s })
    }

    /// Returns the tasks that are placed on the machine but missing in its heartbeat, with at most `max_starts` tasks
    /// to start.
    fn unreported_tasks(&self, shard: ShardId, heartbeat: &Heartbeat, max_starts: usize) -> UnreportedTasks {
        let mut unreported = UnreportedTasks::default();
        let Some(owned_shard) = self.owned_shards.get(&shard) else { return unreported };
        let Some(machine) = owned_shard.machines.get(&heartbeat.machine) else { return unreported };
        let usable = self.is_usable(&heartbeat.machine, machine);
        let may_start = usable && !owned_shard.releasing && self.records_fresh();
        for key in owned_shard.placed_tasks.get(&heartbeat.machine).into_iter().flatten() {
            let Some(TaskRecord::Placed(attempt, _)) = self.desired_task(key) else { continue };
            if machine.reported_tasks.get(key).is_some_and(|reported| reported.attempt == *attempt) {
                continue;
            }
            let task = || TaskAttempt { key: key.clone(), attempt: *attempt };
            let must_not_start = self.has_job_ended(&key.0)
                || owned_shard.stopping.contains_key(key)
                || !usable
                || self.over_quota(shard, owned_shard, &key.0);
            if must_not_start {
                if is_certainly_absent(machine, key, heartbeat.id()) {
                    unreported.absent.push(task());
                }
                continue;
            }
            let is_durable = self.durable_task(key) == self.desired_task(key);
            if is_durable && may_start && unreported.to_start.len() < max_starts {
                unreported.to_start.push(task());
            }
        }
        unreported
    }

    /// Returns the start command for a task and records that it was sent in response to this heartbeat.
    fn start_command(&mut self, shard: ShardId, heartbeat: &Heartbeat, task: TaskAttempt) -> Command {
        let TaskAttempt { key, attempt } = task;
        self.record_image(shard, &heartbeat.machine, &key.0);
        let owned_shard = self.owned_shards.get_mut(&shard);
        if let Some(machine) = owned_shard.and_then(|owned_shard| owned_shard.machines.get_mut(&heartbeat.machine)) {
            machine.starts_sent.insert(key.clone(), heartbeat.id());
        }
        Command::Start { task: TaskName { job: key.0, index: key.1 }, attempt }
    }

    /// Records that the machine fetches the job's image, and removes its oldest images as long as its cache is
    /// over capacity.
    fn record_image(&mut self, shard: ShardId, machine: &MachineId, job: &JobId) {
        let Some(job) = self.cache.jobs.get(job) else { return };
        let Some(owned_shard) = self.owned_shards.get_mut(&shard) else { return };
        let Some(machine) = owned_shard.machines.get_mut(machine) else { return };
        machine.images.retain(|image| image.name != job.image);
        machine.images.push(CachedImage { name: job.image.clone(), size_gb: job.record.spec.image_gb });
        let cache_gb = self.catalog.get(&machine.machine_type).map_or(0.0, |machine_type| machine_type.cache_gb);
        while machine.images.len() > 1 && machine.images.iter().map(|image| image.size_gb).sum::<f64>() > cache_gb {
            machine.images.remove(0);
        }
    }

    /// Records the task exits in a heartbeat of a worker that has seen this owner's fencing token.
    ///
    /// After the end of an agent epoch the same attempt is started again on the same machine, so attempt and machine
    /// don't identify a run. A heartbeat of an earlier epoch may reach a new owner late and before any other of the
    /// machine. Once the worker has seen the token, only this owner can have started the attempt again, and then it
    /// knows a newer heartbeat and has dropped this one. Workers repeat exits, so none is missed.
    fn record_exits(&mut self, shard: ShardId, heartbeat: &Heartbeat) {
        let is_exited = |task: &&TaskStatus| task.state == TaskState::Exited;
        let exits: Vec<&TaskStatus> = heartbeat.tasks.iter().filter(is_exited).collect();
        let machine = self.owned_shards.get(&shard).and_then(|owned| owned.machines.get(&heartbeat.machine));
        if !exits.is_empty() && !machine.is_some_and(|machine| machine.token_acknowledged) {
            tracing::debug!(
                machine = %heartbeat.machine, agent_epoch = %heartbeat.agent_epoch,
                heartbeat_number = %heartbeat.heartbeat_number, token = %heartbeat.token, exits = exits.len(),
                "ignored task exits: the worker has not seen this owner's token"
            );
            return;
        }
        for task in exits {
            self.record_exit(&heartbeat.machine, task);
        }
    }

    /// Updates the desired state of a task that has exited. Heartbeats repeat the exit until it is durable; only the
    /// first one has an effect.
    fn record_exit(&mut self, machine: &MachineId, task: &TaskStatus) {
        let key = task_key(task);
        if !is_attempt_on(self.desired_task(&key), task.attempt, machine) {
            return;
        }
        let shard = self.shard_of(machine);
        let reason = task.exit_reason.unwrap_or(ExitReason::Other);
        if reason == ExitReason::Done {
            self.learn_run_time(shard, &key);
            self.set_task(&key, TaskRecord::Done);
        } else {
            self.set_task(&key, TaskRecord::Pending(task.attempt));
        }
        match reason {
            ExitReason::Done => self.record_task_success(shard, machine),
            ExitReason::Failed => self.record_task_failure(shard, machine, &key, task.attempt),
            _ => {}
        }
    }

    /// Clears the machine's failed jobs after a task has completed there, because the machine did not cause the earlier
    /// failures.
    fn record_task_success(&mut self, shard: ShardId, machine: &MachineId) {
        if let Some(machine) = self.owned_shards.get_mut(&shard).and_then(|shard| shard.machines.get_mut(machine)) {
            machine.failed_jobs.clear();
        }
    }

    /// Records a task that exited with an error. The cause may be the task or the machine: see
    /// `fleet::fault_attribution`.
    fn record_task_failure(&mut self, shard: ShardId, name: &MachineId, key: &TaskKey, attempt: Attempt) {
        let owned_shard = self.owned_shards.get_mut(&shard);
        let Some(machine) = owned_shard.and_then(|owned_shard| owned_shard.machines.get_mut(name)) else { return };
        machine.failed_jobs.insert(key.0.clone(), self.now);
        tracing::info!(job = %key.0, task = key.1, attempt = %attempt, machine = %name, "task failed");
        self.record_replica_failure(key, attempt);
        self.estimates.record_failure(&key.0, name, self.now);
        self.update_faulty_machine(shard, name);
    }

    /// True if the job is known and has been completed or cancelled.
    fn has_job_ended(&self, job: &JobId) -> bool {
        self.cache.jobs.get(job).is_some_and(|job| job.record.outcome.is_some())
    }
}

/// True if the record places this attempt of the task on this machine.
fn is_attempt_on(record: Option<&TaskRecord>, attempt: Attempt, machine: &MachineId) -> bool {
    matches!(record, Some(TaskRecord::Placed(placed, on)) if *placed == attempt && on == machine)
}

/// True if a task that is missing in this heartbeat can't be on the machine, nor be started there by a response in
/// transit. Responses of earlier owners are void after the worker has seen this owner's token. Responses of this
/// owner are void after a heartbeat newer than the one they answered has arrived.
fn is_certainly_absent(machine: &Machine, key: &TaskKey, heartbeat: HeartbeatId) -> bool {
    let starts_void = machine.starts_sent.get(key).is_none_or(|sent_with| *sent_with < heartbeat);
    machine.token_acknowledged && starts_void
}
