//! Demand: the cores that work asks for, of the jobs there are and of those that are expected from
//! the load of late.
//!
//! Computed by the leader in each pass of the autoscaler. It looks at jobs only: which machines meet
//! demand is for `shortfall`.

use crate::coordination::scheduling::resources::Resources;
use crate::coordination::Core;
use crate::protocol::cloud::MachineType;
use crate::protocol::users::{JobKind, JobSpec};
use crate::storage::cache::Job;
use crate::storage::records::JobOutcome;
use crate::units::{JobId, ShardId};
use std::collections::BTreeMap;

/// How far back the usual load is learned from, in seconds.
const USUAL_LOAD_WINDOW_S: f64 = 150.0;

/// Tasks that one core is expected to run one after the other at the most.
const MOST_TASKS_IN_SERIES: f64 = 4.0;

/// Room kept for peaks of the usual load, as a factor.
const USUAL_LOAD_HEADROOM: f64 = 1.1;

/// Room kept for peaks of urgent work, in standard deviations of it.
const URGENT_LOAD_DEVIATIONS: f64 = 0.5;

/// Boots slower than this many times the catalog's time are not planned for.
const MOST_BOOT_SLOWDOWN: f64 = 4.0;

/// What a machine takes beyond its boot until it is of use, in seconds.
const FIRST_START_S: f64 = 10.0;

/// What a task is taken to need beyond its run time, in seconds, and a margin on its run time.
const TASK_OVERHEAD_S: f64 = 5.0;
const RUN_TIME_MARGIN: f64 = 1.2;

/// The share of its run time that a running task is taken to need still.
const REMAINING_RUN_SHARE: f64 = 0.6;

/// A job with less time left than this many run times and a boot can't wait for a machine to come free.
const URGENT_RUN_TIMES: f64 = 2.2;

/// Cores that a group of jobs with the same constraints asks for.
pub(crate) struct Demand {
    /// All cores.
    pub(crate) cpus: f64,
    /// Of these, what can't wait for spot machines and is worth ordinary prices.
    pub(crate) urgent_cpus: f64,
    /// The most of each resource that any task of the group takes.
    pub(crate) largest_task: Resources,
    /// Sum over jobs of cores times image size in gigabytes.
    pub(crate) weighted_image_gb: f64,
    /// Sum over jobs of cores times run time in seconds.
    pub(crate) weighted_run_s: f64,
    /// The machine types that may be used; any if none are named.
    pub(crate) types: Option<Vec<String>>,
    /// The only zone that may be used, if one is named.
    pub(crate) zone: Option<String>,
    /// True if spot machines may be used.
    pub(crate) spot_allowed: bool,
    /// If given, only machines of this shard serve, and only with room for a whole task.
    pub(crate) shard: Option<ShardId>,
}

impl Demand {
    /// Room for one replica of a service in its shard.
    pub(crate) fn of_replica(spec: &JobSpec, zone: Option<String>, shard: ShardId) -> Demand {
        Demand {
            cpus: spec.cpus,
            urgent_cpus: spec.cpus,
            largest_task: Resources::of_task(spec),
            weighted_image_gb: spec.cpus * spec.image_gb,
            // A service has no run time: a second.
            weighted_run_s: spec.cpus,
            types: spec.types.clone(),
            zone,
            spot_allowed: spec.spot_allowed,
            shard: Some(shard),
        }
    }

    /// A group that asks for nothing yet.
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

/// Which machines a job may use. Jobs with equal constraints form a group.
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

/// What one job asks for.
struct JobDemand {
    cpus: f64,
    run_s: f64,
    urgent: bool,
}

/// The share of the planning window in which tasks of a job need their cores.
struct CoreShares {
    running: f64,
    waiting: f64,
}

impl CoreShares {
    fn of(kind: JobKind, run_s: f64, left_s: f64, window_s: f64) -> CoreShares {
        if kind != JobKind::Array {
            return CoreShares { running: 1.0, waiting: 1.0 };
        }
        // Tasks one after the other that fit into the time left.
        let in_series = ((left_s - TASK_OVERHEAD_S) / (run_s * RUN_TIME_MARGIN + TASK_OVERHEAD_S)).floor();
        let in_series = in_series.clamp(1.0, MOST_TASKS_IN_SERIES);
        CoreShares {
            running: (run_s * REMAINING_RUN_SHARE / window_s).min(1.0),
            waiting: (run_s / window_s).min(1.0) / in_series,
        }
    }
}

/// All tasks of a job that came of late.
#[derive(Debug, Clone, Copy)]
struct JobLoad {
    cpus: f64,
    run_s: f64,
}

/// What the jobs of late keep busy.
struct UsualLoad {
    /// Cores, on average.
    cpus: f64,
    /// Standard deviation of the cores of those that were urgent from their start.
    urgent_deviation: f64,
}

/// Standard deviation of the cores that jobs keep busy which come by chance, given those that came
/// within `time_s`. Work that can't wait for a machine to boot needs room for its peaks, and the
/// peaks of a few large jobs are higher than those of many small ones.
fn load_deviation(jobs: &[JobLoad], time_s: f64) -> f64 {
    (jobs.iter().map(|job| job.cpus * job.cpus * job.run_s).sum::<f64>() / time_s.max(1.0)).sqrt()
}

/// The group that asks for most cores.
fn largest_group(groups: &mut DemandGroups) -> Option<&mut Demand> {
    groups.values_mut().max_by(|a, b| a.cpus.total_cmp(&b.cpus))
}

impl Core {
    /// Cores asked for over the time that a new machine takes to be of use: for each task the share
    /// of that time in which it needs a core, waiting work spread over the time it has left. What
    /// ends sooner frees room by itself.
    pub(super) fn demand(&self) -> Vec<Demand> {
        let window_s = self.planning_window_s();
        let mut groups = self.current_demand(window_s);
        self.add_usual_load(&mut groups, window_s);
        self.add_start_reserve(&mut groups);
        let mut demand: Vec<Demand> = groups.into_values().filter(|group| group.cpus > 0.0).collect();
        demand.extend(self.unplaceable_demand());
        // The most constrained first: they take the machines that serve them.
        demand.sort_by_key(|group| {
            (group.shard.is_none(), group.types.is_none(), group.zone.is_none(), group.spot_allowed)
        });
        demand
    }

    /// How long a machine that is rented now takes to be of use, by the slowest type.
    fn planning_window_s(&self) -> f64 {
        // Quick spells are not relied on, and slow ones not planned for without bound.
        let boot_s = |kind: &MachineType| {
            self.slowest_usual_boot_s(kind).clamp(kind.provisioning_s, MOST_BOOT_SLOWDOWN * kind.provisioning_s)
        };
        self.catalog.types().map(boot_s).fold(0.0, f64::max) + FIRST_START_S
    }

    /// The usual boot of a type in the zone where it is slowest.
    fn slowest_usual_boot_s(&self, kind: &MachineType) -> f64 {
        let times = &self.fleet.provisioning_times;
        kind.zones.iter().map(|zone| times.usual_s(&kind.name, zone, kind.provisioning_s)).fold(0.0, f64::max)
    }

    /// What the jobs there are ask for, by constraints.
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

    /// What a job asks for; nothing if it fails wherever it runs, which more machines don't change.
    fn job_demand(&self, id: &JobId, job: &Job, window_s: f64) -> Option<JobDemand> {
        let spec = &job.record.spec;
        let (done, running) = job.done_and_placed();
        if running == 0 && self.fails_everywhere(id) {
            return None;
        }
        let waiting = if job.record.outcome.is_some() { 0 } else { spec.task_count.saturating_sub(done + running) };
        let run_s = self.estimates.run_time(job).max(1.0);
        let left_s = self.allowed_s(job) - self.age_s(job);
        let shares = CoreShares::of(spec.kind, run_s, left_s, window_s);
        let mut cpus = (f64::from(running) * shares.running + f64::from(waiting) * shares.waiting) * spec.cpus;
        if waiting > 0 {
            // However much time it has, something must be there to run it.
            cpus = cpus.max(spec.cpus);
        }
        let limit = self.team_limit_cpus(&spec.team);
        if limit > 0.0 {
            cpus = cpus.min(limit);
        }
        let urgent = !spec.spot_allowed || self.cannot_wait_for_room(job, left_s, window_s);
        Some(JobDemand { cpus, run_s, urgent })
    }

    /// The most cores that a team may use; 0 if there is no limit.
    fn team_limit_cpus(&self, team: &str) -> f64 {
        let team = self.settings.cluster.teams.iter().find(|known| known.name == team);
        team.map_or(0.0, |team| team.cpus_max)
    }

    /// Raises demand to what the work of late has kept busy: it is likely to be asked for again, and
    /// renting ahead saves late starts and churn. All of it counts as urgent: a load that spot
    /// machines can't carry for good needs ordinary ones.
    fn add_usual_load(&self, groups: &mut DemandGroups, window_s: f64) {
        let usual = self.usual_load(window_s);
        let usual_cpus = usual.cpus * USUAL_LOAD_HEADROOM + usual.urgent_deviation * URGENT_LOAD_DEVIATIONS;
        let current_cpus: f64 = groups.values().map(|group| group.cpus).sum();
        let urgent_cpus: f64 = groups.values().map(|group| group.urgent_cpus).sum();
        tracing::debug!(
            current_cpus,
            urgent_cpus,
            usual_cpus,
            urgent_deviation_cpus = usual.urgent_deviation,
            "computed demand"
        );
        if let Some(group) = largest_group(groups) {
            group.cpus += (usual_cpus - current_cpus).max(0.0);
            group.urgent_cpus += (usual_cpus - urgent_cpus).max(0.0);
        }
    }

    /// Adds the room that every shard keeps free for work that must start at once.
    fn add_start_reserve(&self, groups: &mut DemandGroups) {
        if let Some(group) = largest_group(groups) {
            let shards = f64::from(self.shard_count);
            group.cpus += self.quick_start_reserve_cpus(group.cpus / shards) * shards;
        }
    }

    /// True if a job with so much time left could not wait for a machine to come free and still be
    /// in time.
    fn cannot_wait_for_room(&self, job: &Job, left_s: f64, window_s: f64) -> bool {
        let run_s = self.estimates.run_time(job);
        job.record.spec.kind != JobKind::Array || left_s < run_s * URGENT_RUN_TIMES + window_s
    }

    /// What the arrays that were submitted of late keep busy.
    fn usual_load(&self, window_s: f64) -> UsualLoad {
        let mut core_seconds = 0.0;
        let mut urgent = vec![];
        let mut oldest_s: f64 = 0.0;
        for (id, job) in &self.cache.jobs {
            let age_s = self.age_s(job);
            let of_late = age_s < USUAL_LOAD_WINDOW_S && job.record.spec.kind == JobKind::Array;
            if !of_late || !self.keeps_machines_busy(id, job) {
                continue;
            }
            let load = self.load_of(job);
            core_seconds += load.cpus * load.run_s;
            if self.cannot_wait_for_room(job, self.allowed_s(job), window_s) {
                urgent.push(load);
            }
            oldest_s = oldest_s.max(age_s);
        }
        let time_s = oldest_s.max(USUAL_LOAD_WINDOW_S / 3.0);
        UsualLoad { cpus: core_seconds / time_s, urgent_deviation: load_deviation(&urgent, time_s) }
    }

    /// False for jobs that were cancelled, that wait for others, or that fail wherever they run.
    fn keeps_machines_busy(&self, id: &JobId, job: &Job) -> bool {
        job.record.outcome != Some(JobOutcome::Cancelled)
            && !job.record.waits_for_dependencies()
            && !self.fails_everywhere(id)
    }

    fn load_of(&self, job: &Job) -> JobLoad {
        let spec = &job.record.spec;
        JobLoad { cpus: spec.cpus * f64::from(spec.task_count), run_s: self.estimates.run_time(job) }
    }
}

#[cfg(test)]
mod tests;
