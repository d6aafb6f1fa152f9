//! Operators' objectives for each job class, read from the settings at startup.
//!
//! The pending queue and the quick-start reserve query them for each pending job in each scheduling
//! cycle. This module does not measure whether an objective is met.

use crate::settings::Objective;
use crate::storage::names::{InternedName, NameInterner};

/// `kind` of an objective, in the platform's settings, on the time until tasks start.
const START_KIND: &str = "wait";

/// `kind` of an objective on the time until jobs are complete.
const FINISH_KIND: &str = "finished";

/// Objectives of one job class.
#[derive(Debug)]
struct ClassObjectives {
    class: InternedName,
    /// Shortest time in seconds within which tasks must start; infinite without such an objective.
    start_within_s: f64,
    /// Times in seconds within which jobs must be complete, in ascending order.
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
            // Other kinds do not affect scheduling.
            _ => {}
        }
    }
}

/// Objectives of all classes that have any.
#[derive(Debug, Default)]
pub(crate) struct Objectives(Vec<ClassObjectives>);

impl Objectives {
    /// Collects the objectives by class. Objectives without a class or a time do not apply to
    /// single jobs and are skipped.
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

    /// True if an objective requires tasks of the class to start in less than `provisioning_s`
    /// seconds. Classes with objectives on longer waits get no access to the quick-start reserve,
    /// which they would use up.
    pub fn requires_start_before(&self, class: &InternedName, provisioning_s: f64) -> bool {
        self.of(class).is_some_and(|objectives| objectives.start_within_s < provisioning_s)
    }

    /// Returns the shortest completion time of the class in seconds that is at least
    /// `earliest_completion_s`, or the longest one if all are below it; `None` if the class has no
    /// such objective.
    pub fn finish_within_s(&self, class: &InternedName, earliest_completion_s: f64) -> Option<f64> {
        let times_s = &self.of(class)?.finish_within_s;
        times_s.iter().find(|within_s| **within_s >= earliest_completion_s).or(times_s.last()).copied()
    }
}

#[cfg(test)]
mod tests;
