//! What is judged all along, in every test: jobs that nobody answers for, and work
//! that waits beside room.

use super::*;

/// How long after all troubles work may wait while there is room for it.
const LEFT_WAITING: u64 = 90_000;

/// Pause between two looks, in a small world and in a large one.
const EVERY: [u64; 2] = [2000, 10_000];

/// Work of a job that waits: since when without any start, beside machines that have
/// had room for it all the while.
pub(super) struct Waiting {
    since: u64,
    beside: BTreeSet<usize>,
}

/// What is used of a team, and of each machine: cores and memory. What came free a
/// report or two ago counts, as the next tasks are on their way to it.
struct Use {
    team: BTreeMap<String, f64>,
    machine: Vec<(f64, f64)>,
}

impl Use {
    fn add(&mut self, machine: usize, spec: &JobSpec) {
        *self.team.entry(spec.team.clone()).or_default() += spec.cpus;
        self.machine[machine].0 += spec.cpus;
        self.machine[machine].1 += spec.mem_gb;
    }
}

impl World {
    /// Looks now and then, once all troubles are over.
    pub(super) fn judge(&mut self) {
        let every = EVERY[usize::from(self.workers.len() > 100)];
        if self.now < self.judged + every || self.now < self.calm_from {
            return;
        }
        self.judged = self.now;
        self.judge_silence();
        if self.now >= self.over_from.max(self.calm_from) {
            self.judge_waiting();
        }
    }

    /// Open jobs whose users get no answer whatsoever, not even a refusal.
    fn judge_silence(&mut self) {
        let (now, calm) = (self.now, self.calm_from);
        let silent = |(id, j): &(&JobId, &Job)| {
            let asks = j.accepted && !j.done_told && j.cancel_told.is_none() && !self.given_up.contains(*id);
            asks && now > calm.max(j.answered) + FORGOTTEN
        };
        let silent: Vec<String> = self.jobs.iter().filter(silent).map(|(id, _)| id.to_string()).collect();
        self.broken.extend(silent.into_iter().map(|id| format!("forgotten: {id} is not answered at {now}")));
    }

    fn in_use(&mut self) -> Use {
        let (now, turnover) = (self.now, 1000 + self.shape.report_ms * 5 / 2);
        while self.left.front().is_some_and(|(at, ..)| at + turnover < now) {
            self.left.pop_front();
        }
        let mut used = Use { team: BTreeMap::new(), machine: vec![(0.0, 0.0); self.workers.len()] };
        for (_, at, id) in &self.left {
            if let Some(job) = self.jobs.get(id) {
                used.add(*at, &job.spec);
            }
        }
        for (at, worker) in self.workers.iter().enumerate().filter(|(_, w)| w.alive) {
            for (key, task) in &worker.tasks {
                let Some(job) = self.jobs.get(&key.0).filter(|_| task.state != TaskState::Exited) else { continue };
                used.add(at, &job.spec);
            }
        }
        used
    }

    /// Tasks of a job that are neither done nor on any machine; and where the others are.
    fn missing(&self, id: &JobId, job: &Job) -> (usize, Vec<usize>) {
        let range = (id.clone(), 0)..=(id.clone(), u32::MAX);
        let on: Vec<usize> = (self.placed.range(range))
            .flat_map(|(key, workers)| workers.iter().map(move |at| (key, *at)))
            .filter(|(key, at)| {
                let worker = &self.workers[*at];
                worker.alive && worker.tasks.get(*key).is_some_and(|t| t.state != TaskState::Exited)
            })
            .map(|(_, at)| self.workers[at].zone)
            .collect();
        ((job.spec.task_count as usize).saturating_sub(job.finished.len() + on.len()), on)
    }

    /// No job is left waiting while a machine that fits has room and its team is
    /// under its limit.
    fn judge_waiting(&mut self) {
        let used = self.in_use();
        let mut waiting = BTreeMap::new();
        for (id, job) in &self.jobs {
            let done =
                |name: &JobId| self.jobs.get(name).is_some_and(|j| j.finished.len() == j.spec.task_count as usize);
            let over = job.cancel_asked || job.cancelled().is_some() || self.mistaken.contains(id);
            if !job.accepted || over || !job.spec.dependencies.iter().all(done) {
                continue;
            }
            let (missing, zones) = self.missing(id, job);
            if missing == 0 {
                continue;
            }
            let mut beside = self.with_room(&job.spec, &zones, &used);
            let before = self.waiting.get(id).filter(|before| before.since > job.last_start);
            let mut since = self.now;
            if let Some(before) = before.filter(|before| !before.beside.is_disjoint(&beside)) {
                beside.retain(|at| before.beside.contains(at));
                since = before.since;
            }
            if !beside.is_empty() {
                waiting.insert(id.clone(), Waiting { since, beside });
            }
        }
        for (id, Waiting { since, beside }) in &mut waiting {
            if self.now > *since + LEFT_WAITING {
                let beside: Vec<_> = beside.iter().map(|at| self.workers[*at].name.to_string()).take(3).collect();
                self.broken.push(format!("left waiting: {id} since {since}, beside {}", beside.join(" ")));
                // Told once every time that it has waited for so long.
                *since = self.now;
            }
        }
        self.waiting = waiting;
    }

    /// Machines that have room for one more task, if its team may run it.
    fn with_room(&self, spec: &JobSpec, zones: &[usize], used: &Use) -> BTreeSet<usize> {
        let limit = self.settings[0].cluster.teams.iter().find(|t| t.name == spec.team).map_or(0.0, |t| t.cpus_max);
        let team = used.team.get(&spec.team).copied().unwrap_or(0.0);
        if limit > 0.0 && team + spec.cpus > limit + 1e-6 {
            return BTreeSet::new();
        }
        let half = spec.task_count.div_ceil(2) as usize;
        let fits = |worker: &Worker, (cpus, mem_gb): (f64, f64)| {
            let Some(kind) = self.shape.types.iter().find(|t| t.name == worker.kind) else { return false };
            let heartbeats = worker.alive && self.now > worker.up_at && !worker.faulty && self.now >= worker.hung_until;
            let allowed = spec.types.as_ref().is_none_or(|t| t.contains(&worker.kind))
                && spec.zone.as_ref().is_none_or(|z| *z == self.shape.zones[worker.zone])
                && (spec.spot_allowed || !worker.spot);
            let together = zones.iter().filter(|z| **z == worker.zone).count();
            let spread = !(spec.one_zone && together < zones.len() || spec.apart && together >= half);
            let room = cpus + spec.cpus <= kind.cpus + 1e-6 && mem_gb + spec.mem_gb <= kind.mem_gb + 1e-6;
            heartbeats && allowed && spread && room
        };
        let fitting = self.workers.iter().zip(&used.machine).enumerate().filter(|(_, (w, used))| fits(w, **used));
        fitting.map(|(at, _)| at).collect()
    }
}
