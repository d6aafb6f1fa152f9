//! Demand: the cores that the current jobs need, raised to the load expected from recent jobs.
//!
//! The leader computes it in each pass of the autoscaler, from jobs alone; `shortfall` matches it
//! with the machines.

use crate::coordination::scheduling::resources::Resources;
use crate::coordination::Core;
use crate::protocol::cloud::MachineType;
use crate::protocol::users::{JobKind, JobSpec};
use crate::storage::cache::Job;
use crate::storage::records::JobOutcome;
use crate::units::{JobId, ShardId};
use std::collections::BTreeMap;

/// Age up to which submitted jobs count towards the recent load.
const RECENT_LOAD_WINDOW_S: f64 = 150.0;

/// Upper bound on the tasks that one core is planned to run in sequence.
const MAX_TASKS_IN_SERIES: f64 = 4.0;

/// Headroom for peaks of the recent load.
const RECENT_LOAD_HEADROOM_FACTOR: f64 = 1.1;

/// Headroom for peaks of urgent work, in standard deviations of its load.
const URGENT_HEADROOM_DEVIATIONS: f64 = 0.5;

/// Upper bound on the planned boot time, as a multiple of the catalog's.
const MAX_BOOT_SLOWDOWN_FACTOR: f64 = 4.0;

/// Time from the end of a machine's boot until it runs tasks.
const FIRST_TASK_DELAY_S: f64 = 10.0;

/// Assumed time per task beyond its run time.
const TASK_OVERHEAD_S: f64 = 5.0;

/// Safety margin on run times when tasks are planned in sequence.
const RUN_TIME_MARGIN_FACTOR: f64 = 1.2;

/// Assumed share of its run time that a running task has left.
const REMAINING_RUN_SHARE: f64 = 0.6;

/// An array is urgent if the time to its deadline is less than this many run times plus the planning
/// window: it can't wait for a busy machine to become free.
const URGENT_RUN_TIME_FACTOR: f64 = 2.2;

/// Cores that a group of jobs with the same constraints needs.
pub(crate) struct Demand {
    /// Total, including the urgent cores.
    pub(crate) cpus: f64,
    /// Part of `cpus` for work that can't wait for spot machines and justifies on-demand prices.
    pub(crate) urgent_cpus: f64,
    /// Maximum of each resource over the tasks of the group.
    pub(crate) largest_task: Resources,
    /// Sum over jobs of cores times image size in gigabytes.
    pub(crate) weighted_image_gb: f64,
    /// Sum over jobs of cores times run time in seconds.
    pub(crate) weighted_run_s: f64,
    /// Machine types that may be used; any type if absent.
    pub(crate) types: Option<Vec<String>>,
    /// The only zone that may be used; any zone if absent.
    pub(crate) zone: Option<String>,
    /// True if spot machines may be used.
    pub(crate) spot_allowed: bool,
    /// If present, only machines of this shard count, and only those with room for a whole task.
    pub(crate) shard: Option<ShardId>,
}

impl Demand {
    /// Demand of one replica of a service in its shard.
    pub(crate) fn of_replica(spec: &JobSpec, zone: Option<String>, shard: ShardId) -> Demand {
        Demand {
            cpus: spec.cpus,
            urgent_cpus: spec.cpus,
            largest_task: Resources::of_task(spec),
            weighted_image_gb: spec.cpus * spec.image_gb,
            // A service has no run time: counts as one second.
            weighted_run_s: spec.cpus,
            types: spec.types.clone(),
            zone,
            spot_allowed: spec.spot_allowed,
            shard: Some(shard),
        }
    }

    /// Demand of a group without jobs.
    fn empty(constraints: &Constraints) -> Demand {
        Demand {
            cpus: 0.0,
            urgent_cpus: 0.0,
            largest_task: Resources::default(),
            weighted_image_gb: 0.0,
            weighted_run_s: 0.0,
            types: constraints.types.clone(),
            zone: constraints.zone.clone(),
            spot_allowed: constraints.spot_allowed,
            shard: None,
        }
    }

    fn add(&mut self, spec: &JobSpec, job: &JobDemand) {
        self.cpus += job.cpus;
        if job.urgent {
            self.urgent_cpus += job.cpus;
        }
        self.weighted_image_gb += job.cpus * spec.image_gb;
        self.weighted_run_s += job.cpus * job.run_s;
        self.largest_task = self.largest_task.max(Resources::of_task(spec));
    }
}

/// Restrictions on the machines of a job. Jobs with equal constraints form a group.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Constraints {
    needs_gpus: bool,
    types: Option<Vec<String>>,
    zone: Option<String>,
    spot_allowed: bool,
}

impl Constraints {
    fn of(spec: &JobSpec) -> Constraints {
        Constraints {
            needs_gpus: spec.gpus > 0.0,
            types: spec.types.clone(),
            zone: spec.zone.clone(),
            spot_allowed: spec.spot_allowed,
        }
    }
}

type DemandGroups = BTreeMap<Constraints, Demand>;

/// Demand of one job.
struct JobDemand {
    cpus: f64,
    run_s: f64,
    urgent: bool,
}

/// Average share of the planning window for which a running or a waiting task needs its cores.
struct CoreShares {
    running: f64,
    waiting: f64,
}

impl CoreShares {
    fn of(kind: JobKind, run_s: f64, left_s: f64, window_s: f64) -> CoreShares {
        if kind != JobKind::Array {
            return CoreShares { running: 1.0, waiting: 1.0 };
        }
        // Number of tasks that one core can run in sequence in the time left.
        let in_series = ((left_s - TASK_OVERHEAD_S) / (run_s * RUN_TIME_MARGIN_FACTOR + TASK_OVERHEAD_S)).floor();
        let in_series = in_series.clamp(1.0, MAX_TASKS_IN_SERIES);
        CoreShares {
            running: (run_s * REMAINING_RUN_SHARE / window_s).min(1.0),
            waiting: (run_s / window_s).min(1.0) / in_series,
        }
    }
}

/// Load of one recent job: cores of all its tasks together, and the run time of one task.
#[derive(Debug, Clone, Copy)]
struct JobLoad {
    cpus: f64,
    run_s: f64,
}

/// Cores that recently submitted jobs keep busy.
struct RecentLoad {
    /// Average number of cores.
    cpus: f64,
    /// Standard deviation of the cores of jobs that were urgent when they were submitted.
    urgent_deviation: f64,
}

/// Standard deviation of the cores kept busy by randomly arriving jobs, estimated from the jobs that
/// arrived within `time_s`. Work that can't wait for a machine to boot needs headroom for its peaks,
/// and a few large jobs have higher peaks than many small ones.
fn load_deviation(jobs: &[JobLoad], time_s: f64) -> f64 {
    (jobs.iter().map(|job| job.cpus * job.cpus * job.run_s).sum::<f64>() / time_s.max(1.0)).sqrt()
}

/// Returns the group that needs the most cores.
fn largest_group(groups: &mut DemandGroups) -> Option<&mut Demand> {
    groups.values_mut().max_by(|a, b| a.cpus.total_cmp(&b.cpus))
}

impl Core {
    /// Returns the demand over the planning window, the time until a new machine runs tasks. Each
    /// task counts with the share of that window in which it needs its cores, because a task that
    /// ends earlier frees them; waiting tasks are spread over the time left to their deadline.
    pub(super) fn demand(&self) -> Vec<Demand> {
        let window_s = self.planning_window_s();
        let mut groups = self.current_demand(window_s);
        self.add_recent_load(&mut groups, window_s);
        self.add_start_reserve(&mut groups);
        let mut demand: Vec<Demand> = groups.into_values().filter(|group| group.cpus > 0.0).collect();
        demand.extend(self.unplaceable_demand());
        // The most constrained groups come first, so that they get the few machines that suit them.
        demand.sort_by_key(|group| {
            (group.shard.is_none(), group.types.is_none(), group.zone.is_none(), group.spot_allowed)
        });
        demand
    }

    /// Returns the time in seconds until a machine rented now runs tasks, for the slowest type.
    fn planning_window_s(&self) -> f64 {
        // At least the catalog's time, because quick boots may not last; at most a multiple of it.
        let boot_s = |kind: &MachineType| {
            self.slowest_typical_boot_s(kind).clamp(kind.provisioning_s, MAX_BOOT_SLOWDOWN_FACTOR * kind.provisioning_s)
        };
        self.catalog.types().map(boot_s).fold(0.0, f64::max) + FIRST_TASK_DELAY_S
    }

    /// Returns the typical boot time of a type in its slowest zone.
    fn slowest_typical_boot_s(&self, kind: &MachineType) -> f64 {
        let times = &self.fleet.provisioning_times;
        kind.zones.iter().map(|zone| times.typical_s(&kind.name, zone, kind.provisioning_s)).fold(0.0, f64::max)
    }

    /// Returns the demand of the current jobs, grouped by constraints.
    fn current_demand(&self, window_s: f64) -> DemandGroups {
        let mut groups = DemandGroups::new();
        for id in &self.cache.active {
            let Some(job) = self.cache.jobs.get(id).filter(|job| job.holds_machines()) else { continue };
            let Some(job_demand) = self.job_demand(id, job, window_s) else { continue };
            let constraints = Constraints::of(&job.record.spec);
            let empty = Demand::empty(&constraints);
            groups.entry(constraints).or_insert(empty).add(&job.record.spec, &job_demand);
        }
        groups
    }

    /// Returns the demand of a job; none if it fails everywhere, since more machines would not help.
    fn job_demand(&self, id: &JobId, job: &Job, window_s: f64) -> Option<JobDemand> {
        let spec = &job.record.spec;
        let (done, running) = job.done_and_placed();
        if running == 0 && self.fails_everywhere(id) {
            return None;
        }
        let waiting = if job.record.outcome.is_some() { 0 } else { spec.task_count.saturating_sub(done + running) };
        let run_s = self.estimates.expected_run_s(job).max(1.0);
        let left_s = self.allowed_s(job) - self.age_s(job);
        let shares = CoreShares::of(spec.kind, run_s, left_s, window_s);
        let mut cpus = (f64::from(running) * shares.running + f64::from(waiting) * shares.waiting) * spec.cpus;
        if waiting > 0 {
            // At least one task must be able to run, however much time the job has.
            cpus = cpus.max(spec.cpus);
        }
        let limit = self.team_limit_cpus(&spec.team);
        if limit > 0.0 {
            cpus = cpus.min(limit);
        }
        let urgent = !spec.spot_allowed || self.cannot_wait_for_room(job, left_s, window_s);
        Some(JobDemand { cpus, run_s, urgent })
    }

    /// Maximum number of cores that a team may use; 0 if there is no limit.
    fn team_limit_cpus(&self, team: &str) -> f64 {
        let team = self.settings.cluster.teams.iter().find(|known| known.name == team);
        team.map_or(0.0, |team| team.cpus_max)
    }

    /// Raises demand to the recent load: it is likely to recur, and renting ahead avoids late starts
    /// and churn. All of it counts as urgent, because a load that spot machines can't carry
    /// permanently needs on-demand machines.
    fn add_recent_load(&self, groups: &mut DemandGroups, window_s: f64) {
        let recent = self.recent_load(window_s);
        let usual_cpus =
            recent.cpus * RECENT_LOAD_HEADROOM_FACTOR + recent.urgent_deviation * URGENT_HEADROOM_DEVIATIONS;
        let current_cpus: f64 = groups.values().map(|group| group.cpus).sum();
        let urgent_cpus: f64 = groups.values().map(|group| group.urgent_cpus).sum();
        tracing::debug!(
            current_cpus,
            urgent_cpus,
            usual_cpus,
            urgent_deviation_cpus = recent.urgent_deviation,
            "computed demand"
        );
        if let Some(group) = largest_group(groups) {
            group.cpus += (usual_cpus - current_cpus).max(0.0);
            group.urgent_cpus += (usual_cpus - urgent_cpus).max(0.0);
        }
    }

    /// Adds the capacity that every shard keeps free for work that must start at once.
    fn add_start_reserve(&self, groups: &mut DemandGroups) {
        if let Some(group) = largest_group(groups) {
            let shards = f64::from(self.shard_count);
            group.cpus += self.quick_start_reserve_cpus(group.cpus / shards) * shards;
        }
    }

    /// True if a job with `left_s` seconds to its deadline would miss it by waiting for a busy machine
    /// to become free. Always true for jobs other than arrays.
    fn cannot_wait_for_room(&self, job: &Job, left_s: f64, window_s: f64) -> bool {
        let run_s = self.estimates.expected_run_s(job);
        job.record.spec.kind != JobKind::Array || left_s < run_s * URGENT_RUN_TIME_FACTOR + window_s
    }

    /// Returns the load of the arrays submitted within the recent-load window.
    fn recent_load(&self, window_s: f64) -> RecentLoad {
        let mut core_seconds = 0.0;
        let mut urgent = vec![];
        let mut oldest_s: f64 = 0.0;
        for (id, job) in &self.cache.jobs {
            let age_s = self.age_s(job);
            let is_recent = age_s < RECENT_LOAD_WINDOW_S && job.record.spec.kind == JobKind::Array;
            if !is_recent || !self.counts_as_load(id, job) {
                continue;
            }
            let load = self.load_of(job);
            core_seconds += load.cpus * load.run_s;
            if self.cannot_wait_for_room(job, self.allowed_s(job), window_s) {
                urgent.push(load);
            }
            oldest_s = oldest_s.max(age_s);
        }
        let time_s = oldest_s.max(RECENT_LOAD_WINDOW_S / 3.0);
        RecentLoad { cpus: core_seconds / time_s, urgent_deviation: load_deviation(&urgent, time_s) }
    }

    /// False for jobs that were cancelled, wait for dependencies or fail everywhere.
    fn counts_as_load(&self, id: &JobId, job: &Job) -> bool {
        job.record.outcome != Some(JobOutcome::Cancelled)
            && !job.record.waits_for_dependencies()
            && !self.fails_everywhere(id)
    }

    fn load_of(&self, job: &Job) -> JobLoad {
        let spec = &job.record.spec;
        JobLoad { cpus: spec.cpus * f64::from(spec.task_count), run_s: self.estimates.expected_run_s(job) }
    }
}

#[cfg(test)]
mod tests;
