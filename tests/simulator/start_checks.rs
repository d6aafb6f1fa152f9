//! Checks made whenever a worker starts a task: the task runs on no other worker, its dependencies
//! are done, the machine is allowed, and the team stays within its quota.

use super::worker_heartbeats::SMALL_FLEET;
use super::workers::{Worker, WorkerTask};
use super::SimulatedCluster;
use std::collections::BTreeSet;
use tillercleat::protocol::users::JobSpec;
use tillercleat::protocol::workers::TaskName;
use tillercleat::units::JobId;

/// Tolerance for rounding errors in sums of cores and of memory (GB).
pub(super) const ROUNDING_TOLERANCE: f64 = 1e-6;

impl SimulatedCluster {
    /// Runs all checks for a task that starts on the worker `index`.
    pub(super) fn check_start(&mut self, index: usize, task: &TaskName) {
        self.count_start(&task.job);
        let earlier = self.checks.placements.get(task).cloned().unwrap_or_default();
        let spread = self.workers_of_zone_constrained_job(&task.job);
        // A team's usage is summed over all workers, so large fleets check it only once a second.
        let check_quota = self.workers.len() < SMALL_FLEET || self.checks.quota_checked_s < self.now / 1000;
        let all = if check_quota { 0..self.workers.len() } else { 0..0 };
        if check_quota {
            self.checks.quota_checked_s = self.now / 1000;
        }
        // Bring these workers up to date first: their leases may have expired since their last event.
        for other in all.chain(earlier.iter().copied()).chain(spread.iter().copied()) {
            self.advance_worker(other);
        }
        self.check_runs_once(index, task, &earlier);
        if !earlier.contains(&index) {
            self.checks.placements.entry(task.clone()).or_default().push(index);
        }
        let Some(job) = self.jobs.get(&task.job) else {
            return self.violations.push(format!("invented start: {}", task.job));
        };
        let spec = job.spec.clone();
        self.check_dependencies_done(task, &spec);
        self.check_place(index, task, &spec, &spread);
        if check_quota {
            self.check_quota(&spec);
        }
        self.check_not_cancelled(task);
    }

    fn count_start(&mut self, id: &JobId) {
        self.statistics.starts += 1;
        *self.statistics.starts_by_job.entry(id.clone()).or_default() += 1;
        if let Some(job) = self.jobs.get_mut(id) {
            job.first_start_at.get_or_insert(self.now);
            job.last_start_at = self.now;
        }
    }

    /// Returns all workers that ever started a task of a job that must stay in one zone or be spread
    /// over zones; none for other jobs.
    fn workers_of_zone_constrained_job(&self, id: &JobId) -> BTreeSet<usize> {
        let zone_constrained = self.jobs.get(id).is_some_and(|job| job.spec.one_zone || job.spec.apart);
        if !zone_constrained {
            return BTreeSet::new();
        }
        self.placements_of(id).flat_map(|(_, workers)| workers.iter().copied()).collect()
    }

    /// Returns the tasks of a job with all workers that ever received a start command for them.
    pub(super) fn placements_of(&self, id: &JobId) -> impl Iterator<Item = (&TaskName, &Vec<usize>)> {
        let task = |index| TaskName { job: id.clone(), index };
        self.checks.placements.range(task(0)..=task(u32::MAX))
    }

    fn check_runs_once(&mut self, index: usize, task: &TaskName, earlier: &[usize]) {
        let runs = |other: &usize| {
            let worker = &self.workers[*other];
            *other != index && worker.alive && worker.runs(task)
        };
        if earlier.iter().any(runs) {
            self.violations.push(format!("ran_twice: {}/{} at {}", task.job, task.index, self.now));
        }
    }

    fn check_dependencies_done(&mut self, task: &TaskName, spec: &JobSpec) {
        let undone = |id: &&JobId| self.jobs.get(*id).is_none_or(|job| !job.is_done());
        if let Some(id) = spec.dependencies.iter().find(undone) {
            let (job, index, now) = (&task.job, task.index, self.now);
            self.violations.push(format!("too_early: {job}/{index} at {now}, {id} is not done"));
        }
    }

    /// Checks that the job may use the machine, also in view of the zones of its other tasks.
    fn check_place(&mut self, index: usize, task: &TaskName, spec: &JobSpec, spread: &BTreeSet<usize>) {
        let (job, number, now) = (&task.job, task.index, self.now);
        let worker = &self.workers[index];
        if !self.is_allowed_on(spec, worker) {
            self.violations.push(format!("wrong_place: {job}/{number} at {now}"));
        }
        let workers = spread.iter().map(|other| &self.workers[*other]).filter(|worker| worker.alive);
        let zones: Vec<usize> =
            workers.flat_map(|worker| std::iter::repeat_n(worker.zone, worker.running_tasks_of(job))).collect();
        if !zone_allows_task(spec, self.workers[index].zone, &zones) {
            self.violations.push(format!("wrong_place by zone: {job}/{number} at {now}"));
        }
    }

    /// Returns whether the job may run in the machine's zone and, for a spot machine, on spot.
    pub(super) fn is_allowed_on(&self, spec: &JobSpec, worker: &Worker) -> bool {
        let zone_allowed = spec.zone.as_deref().is_none_or(|zone| zone == self.config.zones[worker.zone]);
        zone_allowed && (spec.spot_allowed || !worker.spot)
    }

    /// Returns the maximum number of cores that a team may use; 0 if unlimited.
    pub(super) fn team_limit(&self, team: &str) -> f64 {
        self.settings[0].cluster.teams.iter().find(|known| known.name == team).map_or(0.0, |known| known.cpus_max)
    }

    fn check_quota(&mut self, spec: &JobSpec) {
        let limit = self.team_limit(&spec.team);
        if limit <= 0.0 {
            return;
        }
        let workers = self.workers.iter().filter(|worker| worker.alive);
        let running = workers.flat_map(|worker| &worker.tasks).filter(|(_, task)| WorkerTask::is_running(task));
        let specs = running.filter_map(|(name, _)| self.jobs.get(&name.job).map(|job| &job.spec));
        let used: f64 = specs.filter(|other| other.team == spec.team).map(|other| other.cpus).sum();
        if used + spec.cpus > limit + ROUNDING_TOLERANCE {
            self.violations.push(format!("quota: {} of {limit} at {}", used + spec.cpus, self.now));
        }
    }

    fn check_not_cancelled(&mut self, task: &TaskName) {
        let Some(cancelled_at) = self.jobs.get(&task.job).and_then(super::Job::cancelled_at) else { return };
        self.statistics.starts_after_cancellation += 1;
        if self.now > cancelled_at + self.config.cancel_ms {
            self.violations.push(format!("ran_cancelled: {}/{} starts at {}", task.job, task.index, self.now));
        }
    }
}

/// Returns whether a job may run one more task in `zone`, given the zones of its running tasks. A
/// one-zone job keeps all tasks in one zone; a spread job has at most half of them in any zone.
pub(super) fn zone_allows_task(spec: &JobSpec, zone: usize, zones: &[usize]) -> bool {
    let together = zones.iter().filter(|other| **other == zone).count();
    let half = spec.task_count.div_ceil(2) as usize;
    !(spec.one_zone && together < zones.len() || spec.apart && together >= half)
}
