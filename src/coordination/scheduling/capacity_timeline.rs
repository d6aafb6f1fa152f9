//! When a machine has room: what is free now, and what comes free when.

/// Cores, GPUs and memory.
pub(crate) type Amounts = [f64; 3];

pub(crate) fn fits(free: &Amounts, need: &Amounts) -> bool {
    free[0] + 1e-6 >= need[0] && free[1] + 1e-6 >= need[1] && free[2] + 1e-6 >= need[2]
}

pub(crate) fn shift(free: &mut Amounts, by: &Amounts, sign: f64) {
    free.iter_mut().zip(by).for_each(|(f, b)| *f += sign * b);
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Openings {
    pub free: Amounts,
    /// What is freed (or, if negative, booked) from when on; times rising.
    steps: Vec<(f64, Amounts)>,
    /// Steps up to the last one that books: after it, room only grows.
    booked: usize,
}

impl Openings {
    pub fn new(free: Amounts) -> Openings {
        Openings { free, steps: vec![], booked: 0 }
    }

    /// Takes what a task on the machine holds, until it ends. After the last
    /// of them comes `settle`.
    pub fn hold(&mut self, need: &Amounts, until: Option<f64>) {
        shift(&mut self.free, need, -1.0);
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
    pub fn wait(&self, need: &Amounts) -> Option<f64> {
        let mut free = self.free;
        let mut since = fits(&free, need).then_some(0.0);
        for (place, (at, freed)) in self.steps.iter().enumerate() {
            if since.is_some() && place >= self.booked {
                break;
            }
            shift(&mut free, freed, 1.0);
            since = if fits(&free, need) { since.or(Some(*at)) } else { None };
        }
        since
    }

    /// Books room from when there is some.
    pub fn book(&mut self, need: &Amounts, wait: f64, until: f64) {
        if wait > 0.0 {
            // Taken from when it is free: what is free now stays so.
            self.step(wait, need.map(|n| -n));
        } else {
            shift(&mut self.free, need, -1.0);
        }
        self.step(until, *need);
    }

    fn step(&mut self, at: f64, freed: Amounts) {
        let place = self.steps.partition_point(|(t, _)| *t <= at);
        self.steps.insert(place, (at, freed));
        if freed.iter().any(|amount| *amount < 0.0) {
            self.booked = self.booked.max(place);
            self.booked += 1;
        } else if place < self.booked {
            self.booked += 1;
        }
    }
}

#[cfg(test)]
mod tests;
