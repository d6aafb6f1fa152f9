//! Counters of a run and queries on its results, such as how well jobs were served.

use super::users::Job;
use super::{CrashPoint, SimulatedCluster};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tillercleat::coordination::Input;
use tillercleat::protocol::state::StoreResponse;
use tillercleat::protocol::users::JobSpec;
use tillercleat::units::JobId;

/// Maximum time from submission to start of one of the largest jobs of a class (milliseconds).
const MAX_START_DELAY_OF_LARGEST_MS: u64 = 240_000;

/// Time that the controllers' cores took to handle inputs of one kind (nanoseconds).
#[derive(Debug, Clone, Copy, Default)]
pub struct Cost {
    pub count: u64,
    pub nanos: u64,
    /// Time of the most expensive input.
    pub max_nanos: u64,
}

/// Counters of a run.
#[derive(Default)]
pub struct Statistics {
    /// Time that the controllers took to handle their inputs, by kind of input.
    pub costs: BTreeMap<&'static str, Cost>,
    /// Task starts executed by workers.
    pub starts: usize,
    pub starts_by_job: BTreeMap<JobId, usize>,
    /// Task starts after a user was told that the job is cancelled.
    pub starts_after_cancellation: usize,
    /// Start commands in answers lost because of `DownlinkLost` or `ControllerAnswersLost` faults.
    pub undelivered_starts: usize,
    /// Number of crashes at each planned crash point.
    pub reached_crash_points: BTreeMap<CrashPoint, usize>,
    /// Number of 503 answers to users.
    pub unavailable_answers: usize,
    /// Number of probe requests that got a final answer.
    pub probe_answers: usize,
    /// When the most recent task succeeded (milliseconds); 0 if none has.
    pub last_completion: u64,
}

impl Statistics {
    pub(super) fn add_cost(&mut self, kind: &'static str, took: Duration) {
        let nanos = took.as_nanos() as u64;
        let cost = self.costs.entry(kind).or_default();
        cost.count += 1;
        cost.nanos += nanos;
        cost.max_nanos = cost.max_nanos.max(nanos);
    }
}

/// Returns the kind under which an input's cost is counted.
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

/// Number of jobs of a class or team that were submitted, started and done.
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

    /// True if at least half of the jobs started and at least half are done. Operators consider a day
    /// with less than that failed.
    pub fn meets_target(&self) -> bool {
        2 * self.started >= self.submitted && 2 * self.done >= self.submitted
    }
}

impl SimulatedCluster {
    /// Returns the accepted jobs that were reported neither done nor cancelled.
    pub fn open_jobs(&self) -> Vec<&JobId> {
        self.jobs.iter().filter(|(_, job)| job.is_open()).map(|(id, _)| id).collect()
    }

    /// Lists the accepted jobs that depend on a cancelled one but were not reported as cancelled.
    pub fn dependents_not_cancelled(&self) -> Vec<String> {
        let not_cancelled =
            |job: &Job| job.accepted && job.dependency_cancelled_at.is_some() && job.cancel_reported_at.is_none();
        self.jobs.iter().filter(|(_, job)| not_cancelled(job)).map(|(id, _)| format!("waits on: {id}")).collect()
    }

    /// True if all tasks of a job are done.
    pub fn is_done(&self, id: &JobId) -> bool {
        self.jobs.get(id).is_some_and(Job::is_done)
    }

    /// Counts the rented machines that currently receive no answers.
    pub fn machines_without_downlink(&self) -> usize {
        self.workers.iter().filter(|worker| worker.alive && self.now < worker.downlink_lost_until).count()
    }

    /// Returns the number of start commands in answers lost because of `DownlinkLost` or
    /// `ControllerAnswersLost` faults.
    pub fn undelivered_starts(&self) -> usize {
        self.statistics.undelivered_starts
    }

    /// Returns the longest time that an accepted job waited, or has waited so far, for its first start
    /// (milliseconds).
    pub fn longest_wait(&self) -> u64 {
        let accepted = self.jobs.values().filter(|job| job.accepted);
        accepted.map(|job| job.first_start_at.unwrap_or(self.now) - job.submitted_at).max().unwrap_or(0)
    }

    /// Returns when the most recent task succeeded (milliseconds); 0 if none has.
    pub fn last_completion(&self) -> u64 {
        self.statistics.last_completion
    }

    /// Returns the largest jobs of each class: the 10% with the most cores in total and the 10% with
    /// the most tasks.
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

    /// Counts the jobs submitted by the time `by` (milliseconds), by class, by team, and for the
    /// largest jobs of each class. Cancelled and failing jobs are not counted.
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
                // The largest jobs must start in time, unless they have dependencies.
                let in_time =
                    |waited: u64| waited <= MAX_START_DELAY_OF_LARGEST_MS || !job.spec.dependencies.is_empty();
                let started = waited.is_some_and(in_time);
                served.entry(format!("largest of {}", job.spec.class)).or_default().add(started, job.is_done());
            }
        }
        served
    }

    /// Lists the classes and teams for which less than half of the jobs submitted by the time `by`
    /// (milliseconds) started or are done.
    pub fn underserved(&self, by: u64) -> Vec<String> {
        let below_target =
            |(name, served): (String, Served)| (!served.meets_target()).then(|| format!("{name}: {served:?}"));
        self.served(by).into_iter().filter_map(below_target).collect()
    }

    /// Lists everything that must not be left at the end of a day on which all work can be done:
    /// invariant violations, open jobs, and underserved classes and teams.
    pub fn problems(&self) -> Vec<String> {
        let left = self.open_jobs().into_iter().map(|id| format!("left: {id}"));
        self.violations.iter().cloned().chain(left).chain(self.underserved(u64::MAX)).collect()
    }

    /// Counts the jobs whose users were told that they are accepted.
    pub fn accepted_jobs(&self) -> usize {
        self.jobs.values().filter(|job| job.accepted).count()
    }

    /// Counts the machines that are currently rented.
    pub fn running_machines(&self) -> usize {
        self.workers.iter().filter(|worker| worker.alive).count()
    }

    /// Counts all machines so far: rented ones and those that ran from the start.
    pub fn rented_machines(&self) -> usize {
        self.workers.len()
    }

    /// Counts the machines that are gone, returned or lost, and were not faulty.
    pub fn healthy_machines_returned(&self) -> usize {
        self.workers.iter().filter(|worker| !worker.faulty && !worker.alive).count()
    }

    /// Counts the faulty machines that are still rented.
    pub fn faulty_machines_kept(&self) -> usize {
        self.workers.iter().filter(|worker| worker.faulty && worker.alive).count()
    }

    /// Counts the keys in the store with a prefix.
    pub fn count_keys(&self, prefix: &str) -> usize {
        self.store.count_keys(prefix)
    }

    /// Counts the lease expirations of workers whose machines are still rented.
    pub fn expired_worker_leases(&self) -> u64 {
        self.workers.iter().filter(|worker| worker.alive).map(|worker| worker.agent_epoch - 1).sum()
    }
}
