//! Which jobs wait, in what order they are served, and who is within a guarantee.

use super::queue::{serve_order, Contender};
use super::*;
use crate::bookkeeping::view::Job;
use crate::protocol::users::Priority;

/// Not of a high priority, not within a guarantee, the priority: less first.
type Precedence = (bool, bool, std::cmp::Reverse<Priority>);

impl Core {
    /// Jobs with work left, in the order they are served: priority first,
    /// then work within a guarantee, then the least time to spare. What cannot
    /// be in time with all that goes before it yields.
    pub(super) fn waiting_jobs(&self, guaranteed: &BTreeSet<JobRef>) -> Vec<JobRef> {
        let mut queue: Vec<Contender<Precedence, JobRef>> = vec![];
        let mut ours: BTreeSet<&JobRef> = BTreeSet::new();
        for id in &self.view.active {
            let Some(job) = self.view.jobs.get(id) else { continue };
            if job.record.end.is_some() || self.held_back(id, job) {
                continue;
            }
            if job.slices.iter().any(|s| s.idle() > 0) {
                ours.insert(id);
            }
            let spec = &job.record.spec;
            let run_s = self.learned.run_time(&spec.class, spec.estimate_s);
            let (done, on) = job.counts();
            let left = f64::from(spec.tasks.saturating_sub(done + on)) + f64::from(on) * 0.5;
            queue.push(Contender {
                rank: (spec.priority < Priority::High, !guaranteed.contains(id), std::cmp::Reverse(spec.priority)),
                left_s: (self.allowed_s(job) - self.age_s(job)).clamp(-1e6, 1e6),
                run_s,
                work: left * spec.cpus * run_s,
                at: job.record.at,
                id: id.clone(),
            });
        }
        if ours.is_empty() {
            return vec![];
        }
        let order = serve_order(queue, self.cluster_cpus());
        order.into_iter().filter(|id| ours.contains(id)).collect()
    }

    /// Cores of all parts, judged by ours: machines hash to parts evenly.
    fn cluster_cpus(&self) -> f64 {
        let machines = self.mine.values().flat_map(|m| m.machines.values());
        let ours: f64 = machines.filter_map(|m| self.catalog.get(&m.kind)).map(|t| t.cpus).sum();
        ours * f64::from(self.parts) / self.mine.len().max(1) as f64
    }

    /// Age of a job, estimated by the time of day.
    pub(super) fn age_s(&self, job: &Job) -> f64 {
        self.wall_ms.saturating_sub(job.record.at) as f64 / 1000.0
    }

    /// Time a job may take from its submission, as its user says, or the
    /// nearest of the aims that it can still meet.
    pub(super) fn allowed_s(&self, job: &Job) -> f64 {
        let spec = &job.record.spec;
        if let Some(deadline) = spec.deadline_s {
            return deadline;
        }
        let soonest = self.age_s(job) + 0.5 * self.learned.run_time(&spec.class, spec.estimate_s);
        let aims = self.settings.cluster.objectives.iter();
        let within =
            aims.filter(|o| o.class.as_deref() == Some(&spec.class) && o.kind == "finished").filter_map(|o| o.within_s);
        let (mut open, mut last) = (f64::INFINITY, f64::NEG_INFINITY);
        for within_s in within {
            last = last.max(within_s);
            if within_s >= soonest {
                open = open.min(within_s);
            }
        }
        match (open.is_finite(), last.is_finite()) {
            (true, _) => open,
            (false, true) => last,
            _ => 600.0 + spec.estimate_s * 3.0,
        }
    }

    /// Jobs that fit into their team's guarantee along with its earlier ones.
    pub(super) fn guaranteed_jobs(&self) -> BTreeSet<JobRef> {
        let teams = &self.settings.cluster.teams;
        let mut left: BTreeMap<&str, [f64; 2]> = teams
            .iter()
            .filter(|t| t.cpus > 0.0 || t.gpus > 0.0)
            .map(|t| (t.name.as_str(), [t.cpus, t.gpus]))
            .collect();
        if left.is_empty() {
            return BTreeSet::new();
        }
        let mut jobs: Vec<(&JobRef, &Job)> = self
            .view
            .active
            .iter()
            .filter_map(|id| Some((id, self.view.jobs.get(id)?)))
            .filter(|(id, j)| {
                j.record.end.is_none() && left.contains_key(j.record.spec.team.as_str()) && !self.suspect(id)
            })
            .collect();
        jobs.sort_by(|(a_id, a), (b_id, b)| (a.record.at, a_id).cmp(&(b.record.at, b_id)));
        let mut within = BTreeSet::new();
        for (id, job) in jobs {
            let spec = &job.record.spec;
            let Some(room) = left.get_mut(spec.team.as_str()) else { continue };
            let tasks = f64::from(spec.tasks);
            room[0] -= spec.cpus * tasks;
            room[1] -= spec.gpus * tasks;
            if room[0] >= -1e-6 && room[1] >= -1e-6 {
                within.insert(id.clone());
            }
        }
        within
    }
}
