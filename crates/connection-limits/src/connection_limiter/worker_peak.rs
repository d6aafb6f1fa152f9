//! Tracks the recent peak number of simultaneous worker connections.

use super::Millis;

/// Time in which the recorded peak halves unless it is reached again.
const HALF_LIFE_MS: f64 = 60_000.0;

/// Largest recent number of worker connections, with exponential decay.
#[derive(Debug, Default)]
pub struct WorkerPeak {
    connections: f64,
    reached_at: Millis,
}

impl WorkerPeak {
    /// Returns the peak after its decay up to `now`.
    pub fn decayed(&self, now: Millis) -> f64 {
        let half_lives = now.since(self.reached_at) as f64 / HALF_LIFE_MS;
        self.connections * 0.5f64.powf(half_lives)
    }

    /// Records the current number of worker connections; replaces the decayed peak if it is at least as large.
    pub fn record(&mut self, connections: usize, now: Millis) {
        let connections = connections as f64;
        if connections >= self.decayed(now) {
            *self = WorkerPeak { connections, reached_at: now };
        }
    }
}
