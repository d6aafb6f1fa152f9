//! Stopping tasks to make room for others: for a higher priority, or so that
//! a team gets its guarantee.

use crate::coordination::scheduling::pending_queue::JobSet;
use crate::coordination::scheduling::resources::Resources;
use crate::coordination::scheduling::scheduling_cycle::Short;
use crate::coordination::shards::owned_shard::TaskKey;
use crate::coordination::Core;
use crate::protocol::users::Priority;
use crate::storage::cache::Job;
use crate::units::{MachineId, ShardId};

/// Tasks stopped in one round at the most.
const MOST_STOPS: usize = 24;
/// Jobs that room is made for in one round at the most.
const MOST_CLAIMS: usize = 32;
/// A task that ends within this time is not worth stopping.
const NEARLY_DONE_S: f64 = 5.0;
/// How long a team within its guarantee waits for room before it is made.
const TAKE_BACK_S: f64 = 20.0;

/// A task that may be stopped for another.
struct Victim<'a> {
    key: &'a TaskKey,
    /// Work that stopping it loses, in core seconds.
    loss: f64,
    priority: Priority,
    team: &'a str,
    /// Within its own team's guarantee.
    guaranteed: bool,
    grace_s: f64,
    need: Resources,
    /// Chosen for another job already.
    taken: bool,
}

impl Victim<'_> {
    /// True if it has to make room for a job, which is within its guarantee or not.
    fn yields_to(&self, claimant: &Job, within: bool) -> bool {
        let spec = &claimant.record.spec;
        let lesser = self.priority < claimant.priority();
        // Borrowed beyond the other team's own guarantee.
        let borrowed = within && self.team != spec.team && !self.guaranteed;
        !self.taken && (lesser || borrowed)
    }
}

impl Core {
    /// Stops lesser tasks where that lets waiting tasks start sooner.
    pub(crate) fn make_room(&mut self, shard: ShardId, short: &[Short], guaranteed: &JobSet) {
        let worth = |lack: &&Short| {
            let job = self.cache.jobs.get(&lack.job);
            job.is_some_and(|job| self.worth_stopping_for(job, lack.wait_s, guaranteed.contains(&lack.job)))
        };
        let short: Vec<&Short> = short.iter().filter(worth).take(MOST_CLAIMS).collect();
        if short.is_empty() {
            return;
        }
        let mut stops: Vec<(TaskKey, f64)> = vec![];
        let seats = self.seats(shard);
        let mut coming: Vec<Resources> =
            seats.iter().map(|seat| self.room_coming(shard, seat.name, seat.openings.free)).collect();
        // Looked up once for all that claim room, not for each of them.
        let mut victims: Vec<Vec<Victim>> = seats.iter().map(|s| self.victims(shard, s.name, guaranteed)).collect();
        for lack in short {
            let Some(job) = self.cache.jobs.get(&lack.job) else { continue };
            let within = guaranteed.contains(&lack.job);
            let need = Resources::of_task(&job.record.spec);
            let spread = self.spread(shard, &lack.job, job);
            for _ in 0..lack.tasks {
                if stops.len() >= MOST_STOPS {
                    break;
                }
                let allowed = |at: &usize| self.allowed(job, &seats[*at], &spread);
                // Room that is free or on its way already serves first.
                if let Some(at) = (0..seats.len()).filter(|at| need.fits_into(&coming[*at])).find(allowed) {
                    coming[at] -= need;
                    continue;
                }
                let best = (0..seats.len())
                    .filter(allowed)
                    .filter_map(|at| {
                        let chosen = cheapest(&victims[at], coming[at], &need, |v| v.yields_to(job, within))?;
                        Some((chosen.0, at, chosen.1))
                    })
                    .min_by(|a, b| a.0.total_cmp(&b.0));
                let Some((_, at, chosen)) = best else { break };
                for index in chosen {
                    let victim = &mut victims[at][index];
                    victim.taken = true;
                    coming[at] += victim.need;
                    stops.push((victim.key.clone(), victim.grace_s));
                }
                coming[at] -= need;
            }
        }
        drop((victims, seats));
        if let Some(owned_shard) = self.owned_shards.get_mut(&shard) {
            for (key, grace_s) in stops {
                tracing::debug!("stopping {}/{} to make room", key.0, key.1);
                owned_shard.stopping.entry(key).or_insert(grace_s);
            }
        }
    }

    /// Work that would only be late anyway, or can still wait, stops nobody.
    fn worth_stopping_for(&self, job: &Job, wait_s: f64, within: bool) -> bool {
        if job.priority() >= Priority::High {
            return wait_s > NEARLY_DONE_S;
        }
        // Taking back what others borrow costs their work: only where room
        // does not come by itself.
        if within {
            return wait_s > TAKE_BACK_S;
        }
        let run = self.estimates.run_time(job);
        let spare = self.allowed_s(job) - self.age_s(job) - run;
        spare > -5.0 && wait_s + 15.0 > spare && wait_s > NEARLY_DONE_S
    }

    /// Room on a machine once the tasks being stopped are gone.
    fn room_coming(&self, shard: ShardId, machine: &MachineId, mut free: Resources) -> Resources {
        let Some(owned_shard) = self.owned_shards.get(&shard) else { return free };
        for key in owned_shard
            .placed_tasks
            .get(machine)
            .into_iter()
            .flatten()
            .filter(|k| owned_shard.stopping.contains_key(*k))
        {
            if let Some(job) = self.cache.jobs.get(&key.0) {
                free += Resources::of_task(&job.record.spec);
            }
        }
        free
    }

    /// Tasks of a machine that may be stopped at all: the lowest priority and
    /// the least loss first.
    fn victims(&self, shard: ShardId, machine: &MachineId, guaranteed: &JobSet) -> Vec<Victim<'_>> {
        let Some(owned_shard) = self.owned_shards.get(&shard) else { return vec![] };
        let mut victims = vec![];
        for key in owned_shard
            .placed_tasks
            .get(machine)
            .into_iter()
            .flatten()
            .filter(|k| !owned_shard.stopping.contains_key(*k))
        {
            let Some(job) = self.cache.jobs.get(&key.0) else { continue };
            let spec = &job.record.spec;
            if self.remaining_s(owned_shard, job, key) < NEARLY_DONE_S {
                continue;
            }
            let ran = owned_shard.running_since.get(key).map_or(0.0, |at| self.now.since(*at).as_secs());
            let saves = spec.checkpoint_interval_s > 0.0 && ran > 1.0;
            victims.push(Victim {
                key,
                loss: if saves { spec.checkpoint_save_s } else { ran } * spec.cpus + 1.0,
                priority: job.priority(),
                team: &spec.team,
                guaranteed: guaranteed.contains(&key.0),
                grace_s: if saves { spec.checkpoint_save_s.max(1.0) * 1.5 } else { 0.0 },
                need: Resources::of_task(&job.record.spec),
                taken: false,
            });
        }
        victims.sort_by(|a, b| a.priority.cmp(&b.priority).then(a.loss.total_cmp(&b.loss)));
        victims
    }
}

/// Of victims in their order, those whose end makes room, and what that loses;
/// none if all of them together do not.
fn cheapest(
    victims: &[Victim],
    mut room: Resources,
    need: &Resources,
    yields: impl Fn(&Victim) -> bool,
) -> Option<(f64, Vec<usize>)> {
    let mut chosen = vec![];
    let mut loss = 0.0;
    for (index, victim) in victims.iter().enumerate().filter(|(_, v)| yields(v)) {
        if need.fits_into(&room) {
            break;
        }
        room += victim.need;
        loss += victim.loss;
        chosen.push(index);
    }
    need.fits_into(&room).then_some((loss, chosen))
}
