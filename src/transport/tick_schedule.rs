//! When the core gets its next tick. Owned by the event loop; holds no clock of its own: each function is
//! given the present moment.
//!
//! A tick is where the core notices that something is overdue. After a pause of the whole process (a
//! suspended container, a host without processor time) what arrived meanwhile still lies in the sockets,
//! and would seem overdue. So the first tick after such a pause is put off until it has been read.

use crate::units::Millis;
use std::time::{Duration, Instant};

/// Turns of the event loop follow each other far more closely; a longer gap means that the process
/// did not run.
const PROCESS_PAUSE: Duration = Duration::from_millis(500);

/// How long the first tick after a pause is put off, so that the connections' threads, which wake as
/// late as the event loop, can hand in what lay in their sockets.
const BACKLOG_TIME: Duration = Duration::from_millis(60);

/// How late a tick may be before it goes ahead of waiting events.
const MAX_TICK_DELAY: Duration = Duration::from_millis(100);

/// The moment of the next tick, and whether it is put off after a pause.
pub struct TickSchedule {
    next_tick: Instant,
    last_turn: Instant,
    /// True from a pause until the tick that follows it.
    reading_backlog: bool,
}

impl TickSchedule {
    /// A schedule whose first tick is due now.
    pub fn new(now: Instant) -> TickSchedule {
        TickSchedule { next_tick: now, last_turn: now, reading_backlog: false }
    }

    /// How long to wait for events before the next tick; zero if it is due.
    pub fn time_until_tick(&self, now: Instant) -> Duration {
        self.next_tick.saturating_duration_since(now)
    }

    /// No event came until the tick was due. False if the process paused meanwhile: the tick is put off.
    pub fn is_tick_due(&mut self, now: Instant) -> bool {
        if self.has_paused(now) {
            self.put_off_tick(now);
            return false;
        }
        self.reading_backlog = false;
        true
    }

    /// Sets the time of the next tick.
    pub fn schedule_next_tick(&mut self, now: Instant, interval: Millis) {
        self.next_tick = now + Duration::from_millis(interval.0);
    }

    /// An input was handled. True if a tick has to go ahead of waiting events: a steady stream of them
    /// must not keep the core's clock from moving.
    pub fn end_turn(&mut self, now: Instant) -> bool {
        if self.has_paused(now) {
            self.put_off_tick(now);
        }
        self.last_turn = now;
        let overdue = now > self.next_tick + MAX_TICK_DELAY;
        if overdue {
            self.reading_backlog = false;
            self.next_tick = now;
        }
        overdue
    }

    fn has_paused(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_turn) >= PROCESS_PAUSE && !self.reading_backlog
    }

    fn put_off_tick(&mut self, now: Instant) {
        self.reading_backlog = true;
        self.next_tick = now + BACKLOG_TIME;
    }
}

#[cfg(test)]
mod tests;
