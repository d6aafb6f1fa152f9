//! When a machine has room: what is free now, and what comes free when.

use crate::coordination::scheduling::resources::Resources;

#[derive(Debug, Clone, Default)]
pub(crate) struct Openings {
    pub free: Resources,
    /// What is freed (or, if negative, booked) from when on; times rising.
    steps: Vec<(f64, Resources)>,
    /// Steps up to the last one that books: after it, room only grows.
    booked: usize,
}

impl Openings {
    pub fn new(free: Resources) -> Openings {
        Openings { free, steps: vec![], booked: 0 }
    }

    /// Takes what a task on the machine holds, until it ends. After the last
    /// of them comes `settle`.
    pub fn hold(&mut self, need: &Resources, until: Option<f64>) {
        self.free -= *need;
        if let Some(at) = until {
            self.steps.push((at, *need));
        }
    }

    /// Puts what was held in the order of time, once for all of it.
    pub fn settle(&mut self) {
        self.steps.sort_by(|a, b| a.0.total_cmp(&b.0));
    }

    /// Time from which there is room for good; none if never. Room that frees
    /// but is booked is not room: promised to every waiting task, one core
    /// would keep them all from machines that stand idle.
    pub fn wait(&self, need: &Resources) -> Option<f64> {
        let mut free = self.free;
        let mut since = need.fits_into(&free).then_some(0.0);
        for (place, (at, freed)) in self.steps.iter().enumerate() {
            if since.is_some() && place >= self.booked {
                break;
            }
            free += *freed;
            since = if need.fits_into(&free) { since.or(Some(*at)) } else { None };
        }
        since
    }

    /// Books room from when there is some.
    pub fn book(&mut self, need: &Resources, wait: f64, until: f64) {
        if wait > 0.0 {
            // Taken from when it is free: what is free now stays so.
            self.step(wait, -*need);
        } else {
            self.free -= *need;
        }
        self.step(until, *need);
    }

    fn step(&mut self, at: f64, freed: Resources) {
        let place = self.steps.partition_point(|(t, _)| *t <= at);
        self.steps.insert(place, (at, freed));
        if freed.any_negative() {
            self.booked = self.booked.max(place);
            self.booked += 1;
        } else if place < self.booked {
            self.booked += 1;
        }
    }
}

#[cfg(test)]
mod tests;
