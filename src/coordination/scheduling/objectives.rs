//! The operators' objectives for each class of jobs, read from the settings once at start.
//!
//! The pending queue and the reserve for quick starts ask for them, for each pending job in
//! each scheduling cycle. Whether an objective is met is not judged here.

use crate::settings::Objective;
use crate::storage::names::{InternedName, NameInterner};

/// The `kind` of an objective, in the platform's settings, on the time until tasks start.
const START_KIND: &str = "wait";

/// The `kind` of an objective on the time until jobs are complete.
const FINISH_KIND: &str = "finished";

/// The objectives of one class.
#[derive(Debug)]
struct ClassObjectives {
    class: InternedName,
    /// The shortest time within which tasks are to start, in seconds; infinite if none is
    /// asked for.
    start_within_s: f64,
    /// Times within which jobs are to be complete, in seconds, rising.
    finish_within_s: Vec<f64>,
}

impl ClassObjectives {
    fn new(class: InternedName) -> ClassObjectives {
        ClassObjectives { class, start_within_s: f64::INFINITY, finish_within_s: vec![] }
    }

    fn add(&mut self, kind: &str, within_s: f64) {
        match kind {
            START_KIND => self.start_within_s = self.start_within_s.min(within_s),
            FINISH_KIND => self.finish_within_s.push(within_s),
            // Other kinds ask nothing of the scheduler.
            _ => {}
        }
    }
}

/// The objectives of all classes that have any.
#[derive(Debug, Default)]
pub(crate) struct Objectives(Vec<ClassObjectives>);

impl Objectives {
    /// Reads the objectives out of the settings. Those without a class or a time say nothing
    /// about single jobs and are left out.
    pub fn from_settings(objectives: &[Objective], names: &mut NameInterner) -> Objectives {
        let mut by_class: Vec<ClassObjectives> = vec![];
        for objective in objectives {
            let (Some(class), Some(within_s)) = (&objective.class, objective.within_s) else { continue };
            let class = names.intern(class);
            let index = by_class.iter().position(|known| known.class == class).unwrap_or_else(|| {
                by_class.push(ClassObjectives::new(class));
                by_class.len() - 1
            });
            by_class[index].add(&objective.kind, within_s);
        }
        for class in &mut by_class {
            class.finish_within_s.sort_by(f64::total_cmp);
        }
        Objectives(by_class)
    }

    fn of(&self, class: &InternedName) -> Option<&ClassObjectives> {
        self.0.iter().find(|objectives| objectives.class == *class)
    }

    /// True if an objective asks that tasks of the class start within less than `provisioning_s`
    /// seconds. An objective on longer waits is no claim on the reserve for quick starts:
    /// such a class would use it up.
    pub fn requires_start_before(&self, class: &InternedName, provisioning_s: f64) -> bool {
        self.of(class).is_some_and(|objectives| objectives.start_within_s < provisioning_s)
    }

    /// The shortest of the times for completion, in seconds, that is not below `earliest_completion_s`,
    /// or else the longest of them; none if the class has none.
    pub fn finish_within_s(&self, class: &InternedName, earliest_completion_s: f64) -> Option<f64> {
        let times_s = &self.of(class)?.finish_within_s;
        times_s.iter().find(|within_s| **within_s >= earliest_completion_s).or(times_s.last()).copied()
    }
}

#[cfg(test)]
mod tests;
