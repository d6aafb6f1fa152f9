//! No job waits for long while a machine that fits has room for it and its team is below its
//! limit: looked at now and then, once all faults are over.

use super::start_checks::{may_join, ROUNDING};
use super::users::Job;
use super::workers::{Worker, WorkerTask};
use super::SimulatedCluster;
use std::collections::{BTreeMap, BTreeSet};
use tillercleat::protocol::users::JobSpec;
use tillercleat::units::JobId;

/// How long work may wait while there is room for it (milliseconds).
const MAX_WAIT_MS: u64 = 90_000;
/// How many machines a violation names.
const MACHINES_NAMED: usize = 3;

/// A job that waits: since when without any start, and the machines that have had room for it
/// all the while.
pub(super) struct WaitingJob {
    since: u64,
    with_room: BTreeSet<usize>,
}

/// Cores and memory that are used of a machine.
#[derive(Debug, Clone, Copy, Default)]
struct MachineUse {
    cpus: f64,
    mem_gb: f64,
}

/// What is used of teams (cores), and of each machine.
struct Usage {
    teams: BTreeMap<String, f64>,
    machines: Vec<MachineUse>,
}

impl Usage {
    fn add(&mut self, worker: usize, spec: &JobSpec) {
        *self.teams.entry(spec.team.clone()).or_default() += spec.cpus;
        self.machines[worker].cpus += spec.cpus;
        self.machines[worker].mem_gb += spec.mem_gb;
    }
}

impl SimulatedCluster {
    /// No job is left waiting while a machine that fits has room and its team is under its limit.
    pub(super) fn check_waiting_jobs(&mut self) {
        let usage = self.usage();
        let waiting = self.jobs.iter().filter(|(id, job)| self.may_run(id, job));
        let mut waiting: BTreeMap<JobId, WaitingJob> =
            waiting.filter_map(|(id, job)| Some((id.clone(), self.waits_beside_room(id, job, &usage)?))).collect();
        for (id, WaitingJob { since, with_room }) in &mut waiting {
            if self.now > *since + MAX_WAIT_MS {
                let names = with_room.iter().map(|at| self.workers[*at].name.to_string());
                let names = names.take(MACHINES_NAMED).collect::<Vec<_>>().join(" ");
                self.violations.push(format!("left waiting: {id} since {since}, beside {names}"));
                // Reported once each time that it has waited for so long.
                *since = self.now;
            }
        }
        self.checks.waiting = waiting;
    }

    /// A job that should run if there is room for it.
    fn may_run(&self, id: &JobId, job: &Job) -> bool {
        let done = |id: &JobId| self.jobs.get(id).is_some_and(Job::is_done);
        let over = job.cancel_requested || job.cancelled_at().is_some() || self.failing_jobs.contains(id);
        job.accepted && !over && job.spec.dependencies.iter().all(done)
    }

    /// Since when the job waits and which machines had room for it, if it waits and any has.
    fn waits_beside_room(&self, id: &JobId, job: &Job, usage: &Usage) -> Option<WaitingJob> {
        let zones = self.zones_of_running_tasks(id);
        if job.finished_tasks.len() + zones.len() >= job.spec.task_count as usize {
            return None;
        }
        let mut with_room = self.machines_with_room(&job.spec, &zones, usage);
        let before = self.checks.waiting.get(id).filter(|before| before.since > job.last_start_at);
        let before = before.filter(|before| !before.with_room.is_disjoint(&with_room));
        let since = before.map_or(self.now, |before| before.since);
        if let Some(before) = before {
            with_room.retain(|at| before.with_room.contains(at));
        }
        (!with_room.is_empty()).then_some(WaitingJob { since, with_room })
    }

    /// The zone of each task of a job that runs.
    fn zones_of_running_tasks(&self, id: &JobId) -> Vec<usize> {
        let placed = self.placements_of(id).flat_map(|(task, workers)| workers.iter().map(move |at| (task, *at)));
        let running = placed.filter(|(task, at)| self.workers[*at].alive && self.workers[*at].runs(task));
        running.map(|(_, at)| self.workers[at].zone).collect()
    }

    /// What is used now. What came free a heartbeat or two ago counts as well: the next tasks
    /// are on their way to it.
    fn usage(&mut self) -> Usage {
        let turnover_ms = 1000 + self.config.heartbeat_ms * 5 / 2;
        while self.checks.recently_ended.front().is_some_and(|ended| ended.at + turnover_ms < self.now) {
            self.checks.recently_ended.pop_front();
        }
        let mut usage = Usage { teams: BTreeMap::new(), machines: vec![MachineUse::default(); self.workers.len()] };
        for ended in &self.checks.recently_ended {
            if let Some(job) = self.jobs.get(&ended.job) {
                usage.add(ended.worker, &job.spec);
            }
        }
        for (at, worker) in self.workers.iter().enumerate().filter(|(_, worker)| worker.alive) {
            for (name, _) in worker.tasks.iter().filter(|(_, task)| WorkerTask::is_running(task)) {
                if let Some(job) = self.jobs.get(&name.job) {
                    usage.add(at, &job.spec);
                }
            }
        }
        usage
    }

    /// Machines that have room for one more task, if its team may run it.
    fn machines_with_room(&self, spec: &JobSpec, zones: &[usize], usage: &Usage) -> BTreeSet<usize> {
        let limit = self.team_limit(&spec.team);
        let team = usage.teams.get(&spec.team).copied().unwrap_or(0.0);
        if limit > 0.0 && team + spec.cpus > limit + ROUNDING {
            return BTreeSet::new();
        }
        let machines = self.workers.iter().zip(&usage.machines).enumerate();
        let fitting = machines.filter(|(_, (worker, used))| {
            self.serves(worker)
                && self.is_allowed_on(spec, worker)
                && may_join(spec, worker.zone, zones)
                && self.has_room(spec, worker, **used)
        });
        fitting.map(|(at, _)| at).collect()
    }

    /// A sound machine whose worker sends heartbeats.
    fn serves(&self, worker: &Worker) -> bool {
        worker.alive && self.now > worker.up_at && !worker.faulty && self.now >= worker.hung_until
    }

    fn has_room(&self, spec: &JobSpec, worker: &Worker, used: MachineUse) -> bool {
        let Some(kind) = self.config.machine_types.iter().find(|kind| kind.name == worker.kind) else { return false };
        spec.types.as_ref().is_none_or(|types| types.contains(&worker.kind))
            && used.cpus + spec.cpus <= kind.cpus + ROUNDING
            && used.mem_gb + spec.mem_gb <= kind.mem_gb + ROUNDING
    }
}
