//! What a run cost and how jobs were served.

use super::*;

/// Processor time that the controllers' cores took for inputs of one kind.
#[derive(Debug, Clone, Copy, Default)]
pub struct Cost {
    pub count: u64,
    pub nanos: u64,
    pub most: u64,
}

impl Cost {
    pub(super) fn add(&mut self, nanos: u64) {
        self.count += 1;
        self.nanos += nanos;
        self.most = self.most.max(nanos);
    }
}

/// What costs are counted under.
pub(super) fn kind_of(input: &Input) -> &'static str {
    match input {
        Input::Tick => "tick",
        Input::ClientRequest(..) => "question",
        Input::Heartbeat(..) => "report",
        Input::State(_, StateAnswer::WatchEvents(_)) => "watch",
        Input::State(_, StateAnswer::Page(_)) => "page",
        Input::State(..) => "state",
        Input::Cloud(..) => "cloud",
        Input::PeerStatus(_) => "note",
    }
}

/// Within what time of its submission one of a class's largest jobs must begin.
pub(super) const MAX_START_DELAY_OF_LARGEST_MS: u64 = 240_000;

/// What happened in a run, counted.
#[derive(Default)]
pub struct Statistics {
    /// Processor time of the controllers' inputs, by kind.
    pub costs: BTreeMap<&'static str, Cost>,
    /// Starts of tasks that reached a worker.
    pub starts: usize,
    pub starts_by_job: BTreeMap<JobId, usize>,
    /// Starts after a user was told that their job is cancelled.
    pub starts_after_cancellation: usize,
    /// Starts sent to machines whose downlink is lost.
    pub undelivered_starts: usize,
    /// How often a controller ended at a planned crash point.
    pub reached_crash_points: BTreeMap<CrashPoint, usize>,
    /// Answers 503 to users.
    pub unavailable_answers: usize,
    /// Probe requests that got a final answer.
    pub probe_answers: usize,
    /// When the last task was done (milliseconds).
    pub last_completion: u64,
}

/// How the jobs of a class or team were served, of those that came early enough.
#[derive(Debug, Clone, Copy, Default)]
pub struct Served {
    pub submitted: usize,
    pub started: usize,
    pub done: usize,
}

impl Served {
    /// The operators call a day failed on which less than half is served.
    pub fn enough(&self) -> bool {
        2 * self.started >= self.submitted && 2 * self.done >= self.submitted
    }
}

impl SimulatedCluster {
    /// Jobs that were accepted and neither done nor cancelled in their users' eyes.
    pub fn open_jobs(&self) -> Vec<&JobId> {
        let open = |j: &Job| j.accepted && !j.done_reported && j.cancel_reported_at.is_none();
        self.jobs.iter().filter(|(_, j)| open(j)).map(|(id, _)| id).collect()
    }

    /// Jobs that follow a cancelled one and do not say so.
    pub fn dependents_not_cancelled(&self) -> Vec<String> {
        let waits = |j: &Job| j.accepted && j.dependency_cancelled_at.is_some() && j.cancel_reported_at.is_none();
        self.jobs.iter().filter(|(_, j)| waits(j)).map(|(id, _)| format!("waits on: {id}")).collect()
    }

    /// True if all tasks of a job have completed.
    pub fn is_done(&self, id: &JobId) -> bool {
        self.jobs.get(id).is_some_and(|j| j.finished_tasks.len() == j.spec.task_count as usize)
    }

    /// Machines that hear nothing and are paid for.
    pub fn machines_without_downlink(&self) -> usize {
        self.workers.iter().filter(|w| w.alive && self.now < w.downlink_lost_until).count()
    }

    /// Starts sent to machines that hear nothing.
    pub fn undelivered_starts(&self) -> usize {
        self.statistics.undelivered_starts
    }

    /// The longest that an accepted job waited for its first start.
    pub fn longest_wait(&self) -> u64 {
        let begun = self.jobs.values().filter(|j| j.accepted);
        begun.map(|j| j.first_start_at.unwrap_or(self.now) - j.submitted_at).max().unwrap_or(0)
    }

    /// When the last task was done.
    pub fn last_completion(&self) -> u64 {
        self.statistics.last_completion
    }

    /// The largest jobs of each class: its tenth with most cores times tasks,
    /// and that with most tasks.
    pub(super) fn largest(&self) -> BTreeSet<&JobId> {
        let mut classes: BTreeMap<&str, Vec<(&JobId, &JobSpec)>> = BTreeMap::new();
        for (id, job) in &self.jobs {
            classes.entry(&job.spec.class).or_default().push((id, &job.spec));
        }
        let mut largest = BTreeSet::new();
        for mut jobs in classes.into_values() {
            let tenth = jobs.len().div_ceil(10);
            jobs.sort_by_key(|(_, spec)| Reverse(spec.task_count));
            largest.extend(jobs.iter().take(tenth).map(|(id, _)| *id));
            jobs.sort_by(|(_, a), (_, b)| {
                (b.cpus * f64::from(b.task_count)).total_cmp(&(a.cpus * f64::from(a.task_count)))
            });
            largest.extend(jobs.iter().take(tenth).map(|(id, _)| *id));
        }
        largest
    }

    /// How jobs that came by `by` were served, by class and by team. Those that
    /// were cancelled or cannot succeed count nowhere.
    pub fn served(&self, by: u64) -> BTreeMap<String, Served> {
        let mut served: BTreeMap<String, Served> = BTreeMap::new();
        let largest = self.largest();
        for (id, job) in &self.jobs {
            if job.submitted_at > by || job.cancelled().is_some() || self.failing_jobs.contains(id) {
                continue;
            }
            let among = largest.contains(id).then(|| format!("largest of {}", job.spec.class));
            for name in
                [format!("class {}", job.spec.class), format!("team {}", job.spec.team)].into_iter().chain(among)
            {
                // The largest must begin in time, unless they wait for others.
                let largest = name.starts_with("largest") && job.spec.dependencies.is_empty();
                let within = if largest { MAX_START_DELAY_OF_LARGEST_MS } else { u64::MAX };
                let sum = served.entry(name).or_default();
                sum.submitted += 1;
                sum.started += usize::from(job.first_start_at.is_some_and(|at| at - job.submitted_at <= within));
                sum.done += usize::from(job.finished_tasks.len() == job.spec.task_count as usize);
            }
        }
        served
    }

    /// Classes and teams of which less than half was served, of what came by `by`.
    pub fn underserved(&self, by: u64) -> Vec<String> {
        let few = |(name, served): (String, Served)| (!served.enough()).then(|| format!("{name}: {served:?}"));
        self.served(by).into_iter().filter_map(few).collect()
    }

    /// All that must not be at the end of a day on which all work can be done:
    /// broken rules, jobs not done, classes and teams served too little.
    pub fn problems(&self) -> Vec<String> {
        let left = self.open_jobs().into_iter().map(|id| format!("left: {id}"));
        self.violations.iter().cloned().chain(left).chain(self.underserved(u64::MAX)).collect()
    }

    /// Jobs whose users were told that they are accepted.
    pub fn accepted_jobs(&self) -> usize {
        self.jobs.values().filter(|j| j.accepted).count()
    }

    /// Machines that are paid for.
    pub fn running_machines(&self) -> usize {
        self.workers.iter().filter(|w| w.alive).count()
    }

    /// Machines rented so far.
    pub fn rented_machines(&self) -> usize {
        self.workers.len()
    }

    /// Machines that were given back though they are not faulty.
    pub fn healthy_machines_returned(&self) -> usize {
        self.workers.iter().filter(|w| !w.faulty && !w.alive).count()
    }

    /// Faulty machines that are still paid for.
    pub fn faulty_machines_kept(&self) -> usize {
        self.workers.iter().filter(|w| w.faulty && w.alive).count()
    }

    /// Keys under a prefix.
    pub fn count_keys(&self, prefix: &str) -> usize {
        self.store.rows.keys().filter(|k| k.starts_with(prefix)).count()
    }

    /// Leases of living workers that have run out.
    pub fn expired_worker_leases(&self) -> u64 {
        self.workers.iter().filter(|w| w.alive).map(|w| w.agent_epoch - 1).sum()
    }
}
