//! How many connections workers had at once of late.

use super::Millis;

/// The peak halves in this time unless it is reached again, in milliseconds.
const HALF_LIFE_MS: f64 = 60_000.0;

/// The largest recent number of workers' connections, which decays with time.
#[derive(Debug, Default)]
pub struct WorkerPeak {
    connections: f64,
    reached_at: Millis,
}

impl WorkerPeak {
    /// What is left of the peak now.
    pub fn decayed(&self, now: Millis) -> f64 {
        let half_lives = now.since(self.reached_at) as f64 / HALF_LIFE_MS;
        self.connections * 0.5f64.powf(half_lives)
    }

    /// Workers have so many connections now.
    pub fn record(&mut self, connections: usize, now: Millis) {
        let connections = connections as f64;
        if connections >= self.decayed(now) {
            *self = WorkerPeak { connections, reached_at: now };
        }
    }
}
