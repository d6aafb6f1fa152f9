//! The workers: one on each rented machine, with its tasks and with a lease that it renews by
//! heartbeats. Sending and answering heartbeats is in `worker_heartbeats`.

use super::events::ScheduledEvent;
use super::faults::FaultWindow;
use super::SimulatedCluster;
use std::collections::BTreeMap;
use tillercleat::coordination::Response;
use tillercleat::protocol::workers::{Command, ExitReason, TaskName, TaskState};
use tillercleat::units::{Attempt, JobId, MachineId};

/// Run time of a task that fails (milliseconds).
const FAILING_RUN_MS: u64 = 1000;
/// Run time of a task whose job the simulation does not know (milliseconds).
const UNKNOWN_RUN_MS: u64 = 1000;
/// Minimum run time of a task and its random excess (percent of the job's estimate).
const MIN_RUN_PERCENT: u64 = 80;
const RUN_SPREAD_PERCENT: u64 = 60;

/// A task on a worker. It is kept after its end until a controller sends `Forget`.
pub(super) struct WorkerTask {
    pub(super) attempt: Attempt,
    pub(super) state: TaskState,
    pub(super) exit_reason: Option<ExitReason>,
    /// When it ends unless it is stopped earlier (milliseconds); `u64::MAX` for services.
    pub(super) ends_at: u64,
}

impl WorkerTask {
    pub(super) fn is_running(&self) -> bool {
        self.state != TaskState::Exited
    }
}

/// A heartbeat that has not been answered yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct HeartbeatInFlight {
    pub(super) number: u64,
    pub(super) sent_at: u64,
}

/// A controller's answer in transit to a worker.
pub(super) struct WorkerAnswer {
    pub(super) worker: usize,
    /// Number of the heartbeat that it answers; 0 for a stray heartbeat.
    pub(super) number: u64,
    /// The worker's epoch when the answer was sent.
    pub(super) agent_epoch: u64,
    pub(super) response: Response,
}

/// A worker and its machine. Times are in milliseconds.
pub(super) struct Worker {
    pub(super) name: MachineId,
    pub(super) machine_type: String,
    pub(super) zone: usize,
    pub(super) spot: bool,
    pub(super) rented_at: u64,
    pub(super) up_at: u64,
    /// Whether the machine is rented, neither lost nor returned.
    pub(super) alive: bool,
    pub(super) hung_until: u64,
    /// Answers to it are lost until this time.
    pub(super) downlink_lost_until: u64,
    /// Its heartbeats are lost until this time.
    pub(super) uplink_lost_until: u64,
    pub(super) delayed_answers: FaultWindow,
    /// Whether every task on it fails.
    pub(super) faulty: bool,
    pub(super) agent_epoch: u64,
    pub(super) heartbeat_number: u64,
    pub(super) token: u64,
    /// The node that it sends its heartbeats to.
    pub(super) node: usize,
    /// Start of its current lease: when it sent the last heartbeat that was answered, or when its
    /// epoch began.
    pub(super) lease_from: u64,
    pub(super) tasks: BTreeMap<TaskName, WorkerTask>,
    pub(super) in_flight: Option<HeartbeatInFlight>,
}

impl Worker {
    /// Marks the machine as lost or returned, together with its tasks.
    pub(super) fn terminate(&mut self) {
        self.alive = false;
        self.tasks.clear();
    }

    fn fail_task(&mut self, name: &TaskName) {
        if let Some(task) = self.tasks.get_mut(name) {
            task.state = TaskState::Exited;
            task.exit_reason = Some(ExitReason::Failed);
        }
    }

    pub(super) fn runs(&self, task: &TaskName) -> bool {
        self.tasks.get(task).is_some_and(WorkerTask::is_running)
    }

    /// Counts the running tasks of a job.
    pub(super) fn running_tasks_of(&self, job: &JobId) -> usize {
        self.tasks.iter().filter(|(name, task)| name.job == *job && task.is_running()).count()
    }

    fn has_attempt(&self, task: &TaskName, attempt: Attempt) -> bool {
        self.tasks.get(task).is_some_and(|on_worker| on_worker.attempt == attempt)
    }

    /// Kills all tasks and starts a new epoch, as a worker does when its lease expires.
    fn expire_lease(&mut self, now: u64) {
        self.agent_epoch += 1;
        self.lease_from = now;
        self.tasks.clear();
    }
}

impl SimulatedCluster {
    pub(super) fn add_worker(&mut self, machine_type: String, zone: usize, spot: bool, up_at: u64) -> MachineId {
        let index = self.workers.len();
        let name = MachineId::new(&format!("i-{index:06}"));
        let node = self.random_node();
        self.workers.push(Worker {
            name: name.clone(),
            machine_type,
            zone,
            spot,
            rented_at: self.now,
            up_at,
            alive: true,
            hung_until: 0,
            downlink_lost_until: 0,
            uplink_lost_until: 0,
            delayed_answers: FaultWindow::default(),
            faulty: false,
            agent_epoch: 1,
            heartbeat_number: 0,
            token: 0,
            node,
            lease_from: up_at,
            tasks: BTreeMap::new(),
            in_flight: None,
        });
        self.schedule(up_at, ScheduledEvent::HeartbeatDue { worker: index });
        name
    }

    /// Advances a worker to the current time: expires its lease and ends tasks that are due.
    pub(super) fn advance_worker(&mut self, index: usize) {
        let now = self.now;
        let worker = &mut self.workers[index];
        if now > worker.lease_from + self.config.lease_ms {
            worker.expire_lease(now);
        }
        if now < worker.hung_until {
            // The lease of a hanging worker expires, but its tasks' ends are not processed.
            return;
        }
        let faulty = worker.faulty;
        for (name, task) in worker.tasks.iter_mut().filter(|(_, task)| task.is_running() && task.ends_at <= now) {
            task.state = TaskState::Exited;
            self.checks.record_ended_task(now, index, &name.job);
            if faulty || self.failing_jobs.contains(&name.job) {
                task.exit_reason = Some(ExitReason::Failed);
                continue;
            }
            task.exit_reason = Some(ExitReason::Done);
            if let Some(job) = self.jobs.get_mut(&name.job) {
                job.finished_tasks.insert(name.index);
                self.statistics.last_completion = now;
            }
        }
    }

    /// Lets every nth running task fail, in order of machines and tasks.
    pub(super) fn fail_tasks(&mut self, every_nth: usize) {
        for index in 0..self.workers.len() {
            self.advance_worker(index);
        }
        let mut running = vec![];
        for (index, worker) in self.workers.iter().enumerate().filter(|(_, worker)| worker.alive) {
            let tasks = worker.tasks.iter().filter(|(_, task)| task.is_running());
            running.extend(tasks.map(|(name, _)| (index, name.clone())));
        }
        for (index, name) in running.into_iter().step_by(every_nth.max(1)) {
            self.checks.record_ended_task(self.now, index, &name.job);
            self.workers[index].fail_task(&name);
        }
    }

    /// Executes a controller's command on a worker.
    pub(super) fn execute_command(&mut self, index: usize, command: Command) {
        let worker = &mut self.workers[index];
        match command {
            Command::Start { task, attempt } if worker.has_attempt(&task, attempt) => {}
            Command::Start { task, attempt } => self.start_task(index, task, attempt),
            Command::Stop { task, attempt, .. } => {
                let stopped = worker.tasks.get_mut(&task).filter(|on_worker| on_worker.attempt == attempt);
                if let Some(on_worker) = stopped.filter(|on_worker| on_worker.is_running()) {
                    on_worker.state = TaskState::Exited;
                    on_worker.exit_reason = Some(ExitReason::Stopped);
                }
            }
            Command::Forget { task, attempt } => {
                if worker.has_attempt(&task, attempt) {
                    worker.tasks.remove(&task);
                }
            }
        }
    }

    fn start_task(&mut self, index: usize, task: TaskName, attempt: Attempt) {
        self.check_start(index, &task);
        let ends_at = self.task_end_time(index, &task.job);
        let started = WorkerTask { attempt, state: TaskState::Running, exit_reason: None, ends_at };
        let job = task.job.clone();
        self.workers[index].tasks.insert(task, started);
        if self.cancel_at_completion.affects(self.now, &mut self.random) {
            self.schedule_cancel_at_completion(&job);
        }
    }

    /// Returns when a task that the worker starts now will end: `u64::MAX` for tasks of services,
    /// which never end.
    fn task_end_time(&mut self, index: usize, job: &JobId) -> u64 {
        let run_ms = self.jobs.get(job).map_or(UNKNOWN_RUN_MS, |job| (job.spec.estimated_run_s * 1000.0) as u64);
        let percent = MIN_RUN_PERCENT + self.random.below(RUN_SPREAD_PERCENT);
        if run_ms == 0 {
            u64::MAX
        } else if self.workers[index].faulty || self.failing_jobs.contains(job) {
            self.now + FAILING_RUN_MS
        } else {
            self.now + run_ms * percent / 100
        }
    }
}
