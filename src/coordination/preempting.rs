//! Stopping tasks to make room for others: for a higher priority, or so that
//! a team gets its guarantee.

use super::openings::{fits, shift};
use super::part::TaskKey;
use super::rounds::{needs, Short};
use super::*;
use crate::bookkeeping::view::Job;
use crate::protocol::users::Priority;

/// Tasks stopped in one round at the most.
const MOST_STOPS: usize = 24;
/// A task that ends within this time is not worth stopping.
const NEARLY_DONE_S: f64 = 5.0;
/// How long a team within its guarantee waits for room before it is made.
const TAKE_BACK_S: f64 = 20.0;

/// A task that may be stopped for another.
struct Victim {
    key: TaskKey,
    /// Work that stopping it loses, in core seconds.
    loss: f64,
    priority: Priority,
    grace_s: f64,
    need: [f64; 3],
}

impl Core {
    /// Stops lesser tasks where that lets waiting tasks start sooner.
    pub(super) fn make_room(&mut self, part: PartId, short: &[Short]) {
        if short.is_empty() {
            return;
        }
        let guaranteed = self.guaranteed_jobs();
        let mut stops: Vec<(TaskKey, f64)> = vec![];
        let mut coming: Vec<[f64; 3]> = vec![];
        let seats = self.seats(part);
        for seat in &seats {
            coming.push(self.room_coming(part, seat.name, seat.openings.free));
        }
        for lack in short {
            let Some(job) = self.view.jobs.get(&lack.job) else { continue };
            let within = guaranteed.contains(&lack.job);
            if !self.worth_stopping_for(job, lack.wait_s, within) {
                continue;
            }
            let need = needs(&job.record);
            let spread = self.spread(part, &lack.job, job);
            for _ in 0..lack.tasks {
                if stops.len() >= MOST_STOPS {
                    break;
                }
                let allowed = |at: &usize| self.allowed(job, &seats[*at], &spread);
                // Room that is free or on its way already serves first.
                if let Some(at) = (0..seats.len()).filter(allowed).find(|at| fits(&coming[*at], &need)) {
                    shift(&mut coming[at], &need, -1.0);
                    continue;
                }
                let best = (0..seats.len())
                    .filter(allowed)
                    .filter_map(|at| {
                        let victims = self.victims(part, seats[at].name, job, within, &guaranteed, &stops);
                        cheapest(victims, coming[at], &need).map(|(loss, chosen)| (loss, at, chosen))
                    })
                    .min_by(|a, b| a.0.total_cmp(&b.0));
                let Some((_, at, chosen)) = best else { break };
                for victim in chosen {
                    shift(&mut coming[at], &victim.need, 1.0);
                    stops.push((victim.key, victim.grace_s));
                }
                shift(&mut coming[at], &need, -1.0);
            }
        }
        drop(seats);
        if let Some(mine) = self.mine.get_mut(&part) {
            for (key, grace_s) in stops {
                tracing::debug!("stopping {}/{} to make room", key.0, key.1);
                mine.stopping.entry(key).or_insert(grace_s);
            }
        }
    }

    /// Work that would only be late anyway, or can still wait, stops nobody.
    fn worth_stopping_for(&self, job: &Job, wait_s: f64, within: bool) -> bool {
        let spec = &job.record.spec;
        if spec.priority >= Priority::High {
            return wait_s > NEARLY_DONE_S;
        }
        // Taking back what others borrow costs their work: only where room
        // does not come by itself.
        if within {
            return wait_s > TAKE_BACK_S;
        }
        let run = self.learned.run_time(&spec.class, spec.estimate_s);
        let spare = self.allowed_s(job) - self.age_s(job) - run;
        spare > -5.0 && wait_s + 15.0 > spare && wait_s > NEARLY_DONE_S
    }

    /// Room on a machine once the tasks being stopped are gone.
    fn room_coming(&self, part: PartId, machine: &MachineId, mut free: [f64; 3]) -> [f64; 3] {
        let Some(mine) = self.mine.get(&part) else { return free };
        for key in mine.on.get(machine).into_iter().flatten().filter(|k| mine.stopping.contains_key(*k)) {
            if let Some(job) = self.view.jobs.get(&key.0) {
                shift(&mut free, &needs(&job.record), 1.0);
            }
        }
        free
    }

    fn victims(
        &self,
        part: PartId,
        machine: &MachineId,
        claimant: &Job,
        within: bool,
        guaranteed: &BTreeSet<JobRef>,
        stops: &[(TaskKey, f64)],
    ) -> Vec<Victim> {
        let Some(mine) = self.mine.get(&part) else { return vec![] };
        let mut victims = vec![];
        for key in mine.on.get(machine).into_iter().flatten() {
            if mine.stopping.contains_key(key) || stops.iter().any(|(k, _)| k == key) {
                continue;
            }
            let Some(job) = self.view.jobs.get(&key.0) else { continue };
            let spec = &job.record.spec;
            let lesser = spec.priority < claimant.record.spec.priority;
            // Borrowed beyond the other team's own guarantee.
            let borrowed = within && spec.team != claimant.record.spec.team && !guaranteed.contains(&key.0);
            if !(lesser || borrowed) || self.rest_of(mine, job, key) < NEARLY_DONE_S {
                continue;
            }
            let ran = mine.running_since.get(key).map_or(0.0, |at| self.now.since(*at).as_secs());
            let saves = spec.checkpoint_s > 0.0 && ran > 1.0;
            victims.push(Victim {
                key: key.clone(),
                loss: if saves { spec.save_s } else { ran } * spec.cpus + 1.0,
                priority: spec.priority,
                grace_s: if saves { spec.save_s.max(1.0) * 1.5 } else { 0.0 },
                need: needs(&job.record),
            });
        }
        victims
    }
}

/// The victims whose end makes room at the least loss, the lowest priority
/// first; none if all of them together do not.
fn cheapest(mut victims: Vec<Victim>, mut room: [f64; 3], need: &[f64; 3]) -> Option<(f64, Vec<Victim>)> {
    victims.sort_by(|a, b| a.priority.cmp(&b.priority).then(a.loss.total_cmp(&b.loss)));
    let mut chosen = vec![];
    let mut loss = 0.0;
    for victim in victims {
        if fits(&room, need) {
            break;
        }
        shift(&mut room, &victim.need, 1.0);
        loss += victim.loss;
        chosen.push(victim);
    }
    fits(&room, need).then_some((loss, chosen))
}
