//! What is checked at each start, and of cancelled jobs.

use super::*;

impl SimulatedCluster {
    /// Checks what must hold when a task starts.
    pub(super) fn check_start(&mut self, index: usize, key: &(JobId, u32)) {
        self.statistics.starts += 1;
        if let Some(job) = self.jobs.get_mut(&key.0) {
            job.first_start_at.get_or_insert(self.now);
            job.last_start_at = self.now;
        }
        *self.statistics.starts_by_job.entry(key.0.clone()).or_default() += 1;
        // Workers act on their leases also while nobody looks.
        let small = self.workers.len() < 100;
        let before = self.placements.entry(key.clone()).or_default().clone();
        let job_on: BTreeSet<usize> = match self.jobs.get(&key.0) {
            Some(job) if job.spec.one_zone || job.spec.apart => {
                let range = (key.0.clone(), 0)..=(key.0.clone(), u32::MAX);
                self.placements.range(range).flat_map(|(_, on)| on.iter().copied()).collect()
            }
            _ => BTreeSet::new(),
        };
        // The team's use is summed over all workers: in a large cluster once a second.
        let sum_up = small || self.quotas_checked_s < self.now / 1000;
        let all = if sum_up { 0..self.workers.len() } else { 0..0 };
        if sum_up {
            self.quotas_checked_s = self.now / 1000;
        }
        for other in all.chain(before.iter().copied()).chain(job_on.iter().copied()).collect::<Vec<_>>() {
            self.advance_worker(other);
        }
        let running = |w: &Worker| w.tasks.get(key).is_some_and(|t| t.state != TaskState::Exited);
        let twice = before.iter().any(|at| *at != index && self.workers[*at].alive && running(&self.workers[*at]));
        if twice {
            self.violations.push(format!("ran_twice: {}/{} at {}", key.0, key.1, self.now));
        }
        if !before.contains(&index) {
            self.placements.entry(key.clone()).or_default().push(index);
        }
        let Some(job) = self.jobs.get(&key.0) else {
            return self.violations.push(format!("invented start: {}", key.0));
        };
        let undone =
            |name: &JobId| self.jobs.get(name).is_none_or(|j| j.finished_tasks.len() < j.spec.task_count as usize);
        if let Some(name) = job.spec.dependencies.iter().find(|name| undone(name)) {
            self.violations.push(format!("too_early: {}/{} at {}, {name} is not done", key.0, key.1, self.now));
        }
        let spec = &job.spec;
        let worker = &self.workers[index];
        let zone_ok = spec.zone.as_deref().is_none_or(|z| z == self.config.zones[worker.zone]);
        if !zone_ok || (worker.spot && !spec.spot_allowed) {
            self.violations.push(format!("wrong_place: {}/{} at {}", key.0, key.1, self.now));
        }
        let zones = |of: &JobId| -> Vec<usize> {
            let live = job_on.iter().map(|at| &self.workers[*at]).filter(|w| w.alive);
            live.flat_map(|w| {
                w.tasks.iter().filter(|(k, t)| k.0 == *of && t.state != TaskState::Exited).map(|_| w.zone)
            })
            .collect()
        };
        let others = zones(&key.0);
        let together = others.iter().filter(|z| **z == worker.zone).count();
        let half = spec.task_count.div_ceil(2) as usize;
        if spec.one_zone && together < others.len() || spec.apart && together >= half {
            self.violations.push(format!("wrong_place by zone: {}/{} at {}", key.0, key.1, self.now));
        }
        let limit = self.settings[0].cluster.teams.iter().find(|t| t.name == spec.team).map_or(0.0, |t| t.cpus_max);
        if limit > 0.0 && sum_up {
            let cpus: f64 = self
                .workers
                .iter()
                .filter(|w| w.alive)
                .flat_map(|w| w.tasks.iter())
                .filter(|(_, t)| t.state != TaskState::Exited)
                .filter_map(|(k, _)| self.jobs.get(&k.0).filter(|j| j.spec.team == spec.team).map(|j| j.spec.cpus))
                .sum();
            if cpus + spec.cpus > limit + 1e-6 {
                self.violations.push(format!("quota: {} of {limit} at {}", cpus + spec.cpus, self.now));
            }
        }
        self.statistics.starts_after_cancellation += usize::from(job.cancelled().is_some());
        if job.cancelled().is_some_and(|at| self.now > at + self.config.cancel_ms) {
            self.violations.push(format!("ran_cancelled: {}/{} starts at {}", key.0, key.1, self.now));
        }
    }

    pub(super) fn check_cancelled(&mut self) {
        for at in 0..self.workers.len() {
            if self.workers[at].alive {
                self.advance_worker(at);
            }
        }
        for worker in self.workers.iter().filter(|w| w.alive) {
            for (key, task) in &worker.tasks {
                let told = self.jobs.get(&key.0).and_then(Job::cancelled);
                if task.state != TaskState::Exited && told.is_some_and(|at| self.now > at + self.config.cancel_ms) {
                    self.violations.push(format!("ran_cancelled: {}/{} at {}", key.0, key.1, self.now));
                }
            }
        }
    }
}
