//! Checks that no job waits for long while a suitable machine has room for it and its team is below
//! its quota. Runs periodically after the end of all faults.

use super::start_checks::{zone_allows_task, ROUNDING_TOLERANCE};
use super::users::Job;
use super::workers::{Worker, WorkerTask};
use super::SimulatedCluster;
use std::collections::{BTreeMap, BTreeSet};
use tillercleat::protocol::users::JobSpec;
use tillercleat::units::JobId;

/// How long a job may wait while there is room for it (milliseconds).
const MAX_WAIT_MS: u64 = 90_000;
/// Maximum number of machines listed in a violation.
const MAX_LISTED_MACHINES: usize = 3;

/// A waiting job: since when (milliseconds) it has waited without any task start, and the machines
/// that have had room for it all that time.
pub(super) struct WaitingJob {
    since: u64,
    with_room: BTreeSet<usize>,
}

/// Cores and memory in use on a machine.
#[derive(Debug, Clone, Copy, Default)]
struct MachineUse {
    cpus: f64,
    mem_gb: f64,
}

/// Resources in use: cores by team, cores and memory by worker index.
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
    /// Reports jobs that have waited for too long while there was room for them.
    pub(super) fn check_waiting_jobs(&mut self) {
        let usage = self.usage();
        let waiting = self.jobs.iter().filter(|(id, job)| self.is_runnable(id, job));
        let mut waiting: BTreeMap<JobId, WaitingJob> =
            waiting.filter_map(|(id, job)| Some((id.clone(), self.find_waiting_job(id, job, &usage)?))).collect();
        for (id, WaitingJob { since, with_room }) in &mut waiting {
            if self.now > *since + MAX_WAIT_MS {
                let names = with_room.iter().map(|index| self.workers[*index].name.to_string());
                let names = names.take(MAX_LISTED_MACHINES).collect::<Vec<_>>().join(" ");
                self.violations.push(format!("left waiting: {id} since {since}, beside {names}"));
                // Reported again only after another full wait.
                *since = self.now;
            }
        }
        self.checks.waiting = waiting;
    }

    /// True if the job should run as soon as there is room for it.
    fn is_runnable(&self, id: &JobId, job: &Job) -> bool {
        let done = |id: &JobId| self.jobs.get(id).is_some_and(Job::is_done);
        let excluded = job.cancel_requested || job.cancelled_at().is_some() || self.failing_jobs.contains(id);
        job.accepted && !excluded && job.spec.dependencies.iter().all(done)
    }

    /// Returns the job's waiting state, or None unless it waits and some machine has room for it.
    fn find_waiting_job(&self, id: &JobId, job: &Job, usage: &Usage) -> Option<WaitingJob> {
        let zones = self.zones_of_running_tasks(id);
        if job.finished_tasks.len() + zones.len() >= job.spec.task_count as usize {
            return None;
        }
        let mut with_room = self.machines_with_room(&job.spec, &zones, usage);
        let before = self.checks.waiting.get(id).filter(|before| before.since > job.last_start_at);
        let before = before.filter(|before| !before.with_room.is_disjoint(&with_room));
        let since = before.map_or(self.now, |before| before.since);
        if let Some(before) = before {
            with_room.retain(|index| before.with_room.contains(index));
        }
        (!with_room.is_empty()).then_some(WaitingJob { since, with_room })
    }

    /// Returns the zone of each running task of a job.
    fn zones_of_running_tasks(&self, id: &JobId) -> Vec<usize> {
        let placed = self.placements_of(id).flat_map(|(task, workers)| workers.iter().map(move |index| (task, *index)));
        let running = placed.filter(|(task, index)| self.workers[*index].alive && self.workers[*index].runs(task));
        running.map(|(_, index)| self.workers[index].zone).collect()
    }

    /// Returns the resources in use. Those freed within the last few heartbeats still count, since
    /// the controllers may not have learned of it, or have placed the next tasks there already.
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
        for (index, worker) in self.workers.iter().enumerate().filter(|(_, worker)| worker.alive) {
            for (name, _) in worker.tasks.iter().filter(|(_, task)| WorkerTask::is_running(task)) {
                if let Some(job) = self.jobs.get(&name.job) {
                    usage.add(index, &job.spec);
                }
            }
        }
        usage
    }

    /// Returns the machines with room for one more task; none if the team's quota is exhausted.
    fn machines_with_room(&self, spec: &JobSpec, zones: &[usize], usage: &Usage) -> BTreeSet<usize> {
        let limit = self.team_limit(&spec.team);
        let team = usage.teams.get(&spec.team).copied().unwrap_or(0.0);
        if limit > 0.0 && team + spec.cpus > limit + ROUNDING_TOLERANCE {
            return BTreeSet::new();
        }
        let machines = self.workers.iter().zip(&usage.machines).enumerate();
        let fitting = machines.filter(|(_, (worker, used))| {
            self.is_serving(worker)
                && self.is_allowed_on(spec, worker)
                && zone_allows_task(spec, worker.zone, zones)
                && self.has_room(spec, worker, **used)
        });
        fitting.map(|(index, _)| index).collect()
    }

    /// True if the machine is not faulty and its worker sends heartbeats.
    fn is_serving(&self, worker: &Worker) -> bool {
        worker.alive && self.now > worker.up_at && !worker.faulty && self.now >= worker.hung_until
    }

    fn has_room(&self, spec: &JobSpec, worker: &Worker, used: MachineUse) -> bool {
        let Some(kind) = self.config.machine_types.iter().find(|kind| kind.name == worker.machine_type) else {
            return false;
        };
        spec.types.as_ref().is_none_or(|types| types.contains(&worker.machine_type))
            && used.cpus + spec.cpus <= kind.cpus + ROUNDING_TOLERANCE
            && used.mem_gb + spec.mem_gb <= kind.mem_gb + ROUNDING_TOLERANCE
    }
}
