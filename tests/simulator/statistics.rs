//! What happened in a run, counted, and how well jobs were served: questions that tests ask.

use super::users::Job;
use super::{CrashPoint, SimulatedCluster};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tillercleat::coordination::Input;
use tillercleat::protocol::state::StoreResponse;
use tillercleat::protocol::users::JobSpec;
use tillercleat::units::JobId;

/// Within what time of its submission one of a class's largest jobs must start (milliseconds).
const MAX_START_DELAY_OF_LARGEST_MS: u64 = 240_000;

/// Processor time that the controllers' cores took for inputs of one kind (nanoseconds).
#[derive(Debug, Clone, Copy, Default)]
pub struct Cost {
    pub count: u64,
    pub nanos: u64,
    /// Of the costliest input.
    pub most: u64,
}

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

impl Statistics {
    pub(super) fn add_cost(&mut self, kind: &'static str, took: Duration) {
        let nanos = took.as_nanos() as u64;
        let cost = self.costs.entry(kind).or_default();
        cost.count += 1;
        cost.nanos += nanos;
        cost.most = cost.most.max(nanos);
    }
}

/// The kind that an input's cost is counted under.
pub(super) fn input_kind(input: &Input) -> &'static str {
    match input {
        Input::Tick => "tick",
        Input::ClientRequest(..) => "request",
        Input::Heartbeat(..) => "heartbeat",
        Input::Store(_, StoreResponse::WatchEvents(_)) => "watch",
        Input::Store(_, StoreResponse::Page(_)) => "page",
        Input::Store(..) => "store",
        Input::Cloud(..) => "cloud",
        Input::PeerStatus(_) => "peer",
    }
}

/// How the jobs of a class or team were served, of those that came early enough.
#[derive(Debug, Clone, Copy, Default)]
pub struct Served {
    pub submitted: usize,
    pub started: usize,
    pub done: usize,
}

impl Served {
    fn add(&mut self, started: bool, done: bool) {
        self.submitted += 1;
        self.started += usize::from(started);
        self.done += usize::from(done);
    }

    /// The operators call a day failed on which less than half is served.
    pub fn is_enough(&self) -> bool {
        2 * self.started >= self.submitted && 2 * self.done >= self.submitted
    }
}

impl SimulatedCluster {
    /// Jobs that were accepted and neither done nor cancelled in their users' eyes.
    pub fn open_jobs(&self) -> Vec<&JobId> {
        self.jobs.iter().filter(|(_, job)| job.is_open()).map(|(id, _)| id).collect()
    }

    /// Jobs that depend on a cancelled one and are not reported as cancelled.
    pub fn dependents_not_cancelled(&self) -> Vec<String> {
        let waits =
            |job: &Job| job.accepted && job.dependency_cancelled_at.is_some() && job.cancel_reported_at.is_none();
        self.jobs.iter().filter(|(_, job)| waits(job)).map(|(id, _)| format!("waits on: {id}")).collect()
    }

    /// True if all tasks of a job are done.
    pub fn is_done(&self, id: &JobId) -> bool {
        self.jobs.get(id).is_some_and(Job::is_done)
    }

    /// Machines that are paid for and that no answer reaches.
    pub fn machines_without_downlink(&self) -> usize {
        self.workers.iter().filter(|worker| worker.alive && self.now < worker.downlink_lost_until).count()
    }

    /// Starts sent to machines that no answer reaches.
    pub fn undelivered_starts(&self) -> usize {
        self.statistics.undelivered_starts
    }

    /// The longest that an accepted job waited for its first start (milliseconds).
    pub fn longest_wait(&self) -> u64 {
        let accepted = self.jobs.values().filter(|job| job.accepted);
        accepted.map(|job| job.first_start_at.unwrap_or(self.now) - job.submitted_at).max().unwrap_or(0)
    }

    /// When the last task was done (milliseconds).
    pub fn last_completion(&self) -> u64 {
        self.statistics.last_completion
    }

    /// The largest jobs of each class: its tenth with most cores times tasks, and that with most
    /// tasks.
    fn largest_jobs(&self) -> BTreeSet<&JobId> {
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

    /// How jobs that were submitted by a time were served, by class and by team. Those that were
    /// cancelled or cannot succeed count nowhere.
    pub fn served(&self, by: u64) -> BTreeMap<String, Served> {
        let mut served: BTreeMap<String, Served> = BTreeMap::new();
        let largest = self.largest_jobs();
        for (id, job) in &self.jobs {
            if job.submitted_at > by || job.cancelled_at().is_some() || self.failing_jobs.contains(id) {
                continue;
            }
            let waited = job.first_start_at.map(|at| at - job.submitted_at);
            served.entry(format!("class {}", job.spec.class)).or_default().add(waited.is_some(), job.is_done());
            served.entry(format!("team {}", job.spec.team)).or_default().add(waited.is_some(), job.is_done());
            if largest.contains(id) {
                // These must start in time, unless they wait for others.
                let in_time =
                    |waited: u64| waited <= MAX_START_DELAY_OF_LARGEST_MS || !job.spec.dependencies.is_empty();
                let started = waited.is_some_and(in_time);
                served.entry(format!("largest of {}", job.spec.class)).or_default().add(started, job.is_done());
            }
        }
        served
    }

    /// Classes and teams of which less than half was served, of what was submitted by a time.
    pub fn underserved(&self, by: u64) -> Vec<String> {
        let few = |(name, served): (String, Served)| (!served.is_enough()).then(|| format!("{name}: {served:?}"));
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
        self.jobs.values().filter(|job| job.accepted).count()
    }

    /// Machines that are paid for.
    pub fn running_machines(&self) -> usize {
        self.workers.iter().filter(|worker| worker.alive).count()
    }

    /// Machines rented so far.
    pub fn rented_machines(&self) -> usize {
        self.workers.len()
    }

    /// Machines that were given back though they are not faulty.
    pub fn healthy_machines_returned(&self) -> usize {
        self.workers.iter().filter(|worker| !worker.faulty && !worker.alive).count()
    }

    /// Faulty machines that are still paid for.
    pub fn faulty_machines_kept(&self) -> usize {
        self.workers.iter().filter(|worker| worker.faulty && worker.alive).count()
    }

    /// Keys of the store under a prefix.
    pub fn count_keys(&self, prefix: &str) -> usize {
        self.store.count_keys(prefix)
    }

    /// How often leases of workers ran out whose machines are still there.
    pub fn expired_worker_leases(&self) -> u64 {
        self.workers.iter().filter(|worker| worker.alive).map(|worker| worker.agent_epoch - 1).sum()
    }
}
