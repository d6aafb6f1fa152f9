//! What the operators want of each class, read out of the settings once: rounds
//! ask for it for every waiting job.

use crate::settings::Objective;
use crate::storage::names::{InternedName, NameInterner};

/// The aims of one class.
#[derive(Debug)]
struct ClassObjectives {
    class: InternedName,
    /// The shortest time within which tasks are to start, in seconds.
    start_within_s: f64,
    /// Times within which jobs are to be finished, in seconds, rising.
    finish_within_s: Vec<f64>,
}

/// The aims of all classes that have any.
#[derive(Debug, Default)]
pub(crate) struct Objectives(Vec<ClassObjectives>);

impl Objectives {
    pub fn read(objectives: &[Objective], names: &mut NameInterner) -> Objectives {
        let mut by_class: Vec<ClassObjectives> = vec![];
        for objective in objectives {
            let (Some(class), Some(within_s)) = (&objective.class, objective.within_s) else { continue };
            let class = names.intern(class);
            let at = by_class.iter().position(|a| a.class == class).unwrap_or_else(|| {
                by_class.push(ClassObjectives { class, start_within_s: f64::INFINITY, finish_within_s: vec![] });
                by_class.len() - 1
            });
            match objective.kind.as_str() {
                "wait" => by_class[at].start_within_s = by_class[at].start_within_s.min(within_s),
                "finished" => by_class[at].finish_within_s.push(within_s),
                _ => {}
            }
        }
        by_class.iter_mut().for_each(|a| a.finish_within_s.sort_by(f64::total_cmp));
        Objectives(by_class)
    }

    fn of(&self, class: &InternedName) -> Option<&ClassObjectives> {
        self.0.iter().find(|a| a.class == *class)
    }

    /// True if an aim wants tasks of the class to start within less than `provisioning_s`.
    /// An aim on longer waits is no claim on the reserve: such a class would eat it.
    pub fn start_before(&self, class: &InternedName, provisioning_s: f64) -> bool {
        self.of(class).is_some_and(|a| a.start_within_s < provisioning_s)
    }

    /// The least of the times for finishing that is not below `soonest_s`, else
    /// the last of them; none if there are none.
    pub fn finish_within_s(&self, class: &InternedName, soonest_s: f64) -> Option<f64> {
        let times = &self.of(class)?.finish_within_s;
        times.iter().find(|within| **within >= soonest_s).or(times.last()).copied()
    }
}

#[cfg(test)]
mod tests;
