//! Cores that work wants: of the jobs there are, and of those that will come
//! as they have come of late.

use crate::coordination::scheduling::resources::Resources;
use crate::coordination::Core;
use crate::protocol::cloud::MachineType;
use crate::protocol::users::JobKind;
use crate::storage::cache::Job;
use crate::storage::records::JobOutcome;
use crate::units::ShardId;
use std::collections::BTreeMap;

/// How far back the usual load is learned from, in seconds.
const USUAL_S: f64 = 150.0;

/// Tasks that one core is expected to run one after the other at the most.
const MOST_WAVES: f64 = 4.0;

/// Room kept for the ups of the usual load.
const USUAL_HEADROOM: f64 = 1.1;

/// Room kept for the ups of work that presses, in standard deviations of it.
const SWING_HEADROOM: f64 = 0.5;

/// GPUs or not, machine types, zone, and whether spot machines will do.
type Constraints = (bool, Option<Vec<String>>, Option<String>, bool);

/// Cores that a group of jobs with the same constraints wants.
pub(crate) struct Demand {
    pub(crate) cpus: f64,
    /// Of these, what cannot wait for cheap room: worth ordinary prices.
    pub(crate) urgent: f64,
    pub(crate) shape: Resources,
    /// Image size and run time, weighted by cores.
    pub(crate) fetch_gb: f64,
    pub(crate) run_s: f64,
    pub(crate) types: Option<Vec<String>>,
    pub(crate) zone: Option<String>,
    pub(crate) spot: bool,
    /// Only machines of this shard will do, and only with room for a whole task.
    pub(crate) shard: Option<ShardId>,
}

/// Standard deviation of the cores that jobs keep busy which come by chance,
/// given the cores and run times of those that came within `time`: work that
/// cannot wait for a machine to boot needs room for its ups, and the ups of a
/// few large jobs are higher than those of many small ones.
fn swing(jobs: &[(f64, f64)], time: f64) -> f64 {
    (jobs.iter().map(|(cpus, run)| cpus * cpus * run).sum::<f64>() / time.max(1.0)).sqrt()
}

impl Core {
    /// Cores wanted over the time a new machine takes to be of use: for each
    /// task the share of that time it needs a core, waiting work spread over
    /// the time it has left. What ends sooner frees room by itself.
    pub(crate) fn demand(&self) -> Vec<Demand> {
        let provisioning_times = &self.fleet.provisioning_times;
        let usual_s = |t: &MachineType| {
            t.zones.iter().map(|z| provisioning_times.usual_s(&t.name, z, t.provisioning_s)).fold(0.0, f64::max)
        };
        // Quick spells are not relied on, and slow ones not planned for without bound.
        let boot = self
            .catalog
            .types()
            .map(|t| usual_s(t).clamp(t.provisioning_s, 4.0 * t.provisioning_s))
            .fold(0.0, f64::max);
        let ahead = boot + 10.0;
        let mut groups: BTreeMap<Constraints, Demand> = BTreeMap::new();
        for id in &self.cache.active {
            let Some(job) = self.cache.jobs.get(id).filter(|j| j.holds_machines()) else { continue };
            let spec = &job.record.spec;
            let (done, on) = job.counts();
            // Work that fails wherever it runs has no use for more machines.
            if on == 0 && self.fails_everywhere(id) {
                continue;
            }
            let waiting = if job.record.end.is_some() { 0 } else { spec.task_count.saturating_sub(done + on) };
            let run = self.estimates.run_time(job).max(1.0);
            let left = self.allowed_s(job) - self.age_s(job);
            let (share_on, share_waiting) = if spec.kind == JobKind::Array {
                {
                    // Tasks one after the other that fit into the time left.
                    let waves = ((left - 5.0) / (run * 1.2 + 5.0)).floor().clamp(1.0, MOST_WAVES);
                    ((run * 0.6 / ahead).min(1.0), (run / ahead).min(1.0) / waves)
                }
            } else {
                (1.0, 1.0)
            };
            let team = self.settings.cluster.teams.iter().find(|t| t.name == spec.team);
            let cap = team.map_or(0.0, |t| t.cpus_max);
            let mut cpus = (f64::from(on) * share_on + f64::from(waiting) * share_waiting) * spec.cpus;
            if waiting > 0 {
                // However much time it has, something must be there to run it.
                cpus = cpus.max(spec.cpus);
            }
            if cap > 0.0 {
                cpus = cpus.min(cap);
            }
            let key = (spec.gpus > 0.0, spec.types.clone(), spec.zone.clone(), spec.spot_allowed);
            let group = groups.entry(key).or_insert(Demand {
                cpus: 0.0,
                urgent: 0.0,
                shape: Resources::default(),
                fetch_gb: 0.0,
                run_s: 0.0,
                types: spec.types.clone(),
                zone: spec.zone.clone(),
                spot: spec.spot_allowed,
                shard: None,
            });
            group.cpus += cpus;
            if !spec.spot_allowed || self.cannot_wait_for_room(job, left, ahead) {
                group.urgent += cpus;
            }
            group.fetch_gb += cpus * spec.image_gb;
            group.run_s += cpus * run;
            group.shape = group.shape.max(Resources::of_task(spec));
        }
        // What the work of late has kept busy on average is likely to be
        // wanted again: buying for it ahead saves late starts and churn.
        let (usual, swing) = self.usual_cpus(ahead);
        let usual = usual * USUAL_HEADROOM + swing * SWING_HEADROOM;
        // A load that spot machines cannot carry for good needs ordinary ones.
        let usual_urgent = usual;
        let now: f64 = groups.values().map(|g| g.cpus).sum();
        let now_urgent: f64 = groups.values().map(|g| g.urgent).sum();
        tracing::debug!("demand: {now:.0} cores now, {now_urgent:.0} pressing, usual {usual:.0} with swing {swing:.0}");
        if let Some(group) = groups.values_mut().max_by(|a, b| a.cpus.total_cmp(&b.cpus)) {
            group.cpus += (usual - now).max(0.0);
            group.urgent += (usual_urgent - now_urgent).max(0.0);
        }
        // Headroom for what must start at once, in every shard.
        if let Some(group) = groups.values_mut().max_by(|a, b| a.cpus.total_cmp(&b.cpus)) {
            let each = group.cpus / f64::from(self.shard_count);
            group.cpus += self.reserve(each) * f64::from(self.shard_count);
        }
        let mut demand: Vec<Demand> = groups.into_values().filter(|d| d.cpus > 0.0).collect();
        demand.extend(self.unplaceable_demand());
        // The most constrained first: they take the machines that suit them.
        demand.sort_by_key(|d| (d.shard.is_none(), d.types.is_none(), d.zone.is_none(), d.spot));
        demand
    }

    /// True if a job with so much time left could not wait for a machine to
    /// come free and still be in time.
    pub(crate) fn cannot_wait_for_room(&self, job: &Job, left: f64, ahead: f64) -> bool {
        let spec = &job.record.spec;
        let run = self.estimates.run_time(job);
        spec.kind != JobKind::Array || left < run * 2.2 + ahead
    }

    /// Cores that the jobs of the last while keep busy on average, and how far
    /// those of jobs that press from the start swing about theirs.
    pub(crate) fn usual_cpus(&self, ahead: f64) -> (f64, f64) {
        let mut all = 0.0;
        let mut pressing = vec![];
        let mut oldest: f64 = 0.0;
        for (id, job) in &self.cache.jobs {
            let (spec, age) = (&job.record.spec, self.age_s(job));
            // What failed wherever it ran, or was cancelled, keeps nothing busy.
            if job.record.end == Some(JobOutcome::Cancelled) || job.record.waits() || self.fails_everywhere(id) {
                continue;
            }
            if age < USUAL_S && spec.kind == JobKind::Array {
                let (cpus, run) = (spec.cpus * f64::from(spec.task_count), self.estimates.run_time(job));
                all += cpus * run;
                if self.cannot_wait_for_room(job, self.allowed_s(job), ahead) {
                    pressing.push((cpus, run));
                }
                oldest = oldest.max(age);
            }
        }
        let time = oldest.max(USUAL_S / 3.0);
        (all / time, swing(&pressing, time))
    }
}

#[cfg(test)]
mod tests;
