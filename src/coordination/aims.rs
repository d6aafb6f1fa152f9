//! What the operators want of each class, read out of the settings once: rounds
//! ask for it for every waiting job.

use crate::bookkeeping::names::{Label, Names};
use crate::settings::Objective;

/// The aims of one class.
#[derive(Debug)]
struct ClassAims {
    class: Label,
    /// The shortest time within which tasks are to start, in seconds.
    start_within_s: f64,
    /// Times within which jobs are to be finished, in seconds, rising.
    finish_within_s: Vec<f64>,
}

/// The aims of all classes that have any.
#[derive(Debug, Default)]
pub(super) struct Aims(Vec<ClassAims>);

impl Aims {
    pub fn read(objectives: &[Objective], names: &mut Names) -> Aims {
        let mut aims: Vec<ClassAims> = vec![];
        for objective in objectives {
            let (Some(class), Some(within_s)) = (&objective.class, objective.within_s) else { continue };
            let class = names.label(class);
            let at = aims.iter().position(|a| a.class == class).unwrap_or_else(|| {
                aims.push(ClassAims { class, start_within_s: f64::INFINITY, finish_within_s: vec![] });
                aims.len() - 1
            });
            match objective.kind.as_str() {
                "wait" => aims[at].start_within_s = aims[at].start_within_s.min(within_s),
                "finished" => aims[at].finish_within_s.push(within_s),
                _ => {}
            }
        }
        aims.iter_mut().for_each(|a| a.finish_within_s.sort_by(f64::total_cmp));
        Aims(aims)
    }

    fn of(&self, class: &Label) -> Option<&ClassAims> {
        self.0.iter().find(|a| a.class == *class)
    }

    /// True if an aim wants tasks of the class to start within less than `boot_s`.
    /// An aim on longer waits is no claim on the reserve: such a class would eat it.
    pub fn start_before(&self, class: &Label, boot_s: f64) -> bool {
        self.of(class).is_some_and(|a| a.start_within_s < boot_s)
    }

    /// The least of the times for finishing that is not below `soonest_s`, else
    /// the last of them; none if there are none.
    pub fn finish_within_s(&self, class: &Label, soonest_s: f64) -> Option<f64> {
        let times = &self.of(class)?.finish_within_s;
        times.iter().find(|within| **within >= soonest_s).or(times.last()).copied()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn aim(kind: &str, within_s: f64) -> Objective {
        Objective { kind: kind.into(), class: Some("lists".into()), within_s: Some(within_s), share: None }
    }

    #[test]
    fn the_reserve_is_for_short_waits() {
        let mut names = Names::default();
        let (lists, rolls) = (names.label("lists"), names.label("rolls"));
        let quick = Aims::read(&[aim("wait", 180.0), aim("wait", 3.0)], &mut names);
        assert!(quick.start_before(&lists, 15.0) && !quick.start_before(&rolls, 15.0));
        assert!(!Aims::read(&[aim("wait", 180.0), aim("finished", 3.0)], &mut names).start_before(&lists, 15.0));
    }

    #[test]
    fn a_job_goes_for_the_nearest_aim_that_it_can_still_meet() {
        let mut names = Names::default();
        let lists = names.label("lists");
        let aims = Aims::read(&[aim("finished", 180.0), aim("finished", 100.0)], &mut names);
        let allowed = |soonest| aims.finish_within_s(&lists, soonest);
        assert_eq!((allowed(20.0), allowed(100.5), allowed(300.0)), (Some(100.0), Some(180.0), Some(180.0)));
        assert_eq!(aims.finish_within_s(&names.label("rolls"), 0.0), None);
    }
}
