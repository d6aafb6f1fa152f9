//! Schedules the core's ticks. Owned by the event loop; reads no clock: the caller passes the current time.
//!
//! The core detects missed deadlines in its ticks. After a pause of the whole process (a suspended
//! container, a host without processor time), messages that arrived meanwhile are still unread in the
//! sockets, and their senders would appear overdue. The first tick after such a pause is therefore
//! postponed until the messages have been read.

use crate::units::Millis;
use std::time::{Duration, Instant};

/// Minimum gap between two iterations of the event loop that counts as a pause of the process. The gap is
/// far shorter while the process runs.
const MIN_PROCESS_PAUSE: Duration = Duration::from_millis(500);

/// How long the first tick after a pause is postponed. The connections' threads resume at the same time as
/// the event loop and need this time to queue the messages from their sockets.
const BACKLOG_DELAY: Duration = Duration::from_millis(60);

/// Maximum delay of a tick; a later tick is handled before queued events.
const MAX_TICK_DELAY: Duration = Duration::from_millis(100);

/// The time of the next tick, and whether it is postponed after a pause.
pub struct TickSchedule {
    next_tick: Instant,
    last_iteration: Instant,
    /// True from a pause until the first tick after it.
    reading_backlog: bool,
}

impl TickSchedule {
    /// Creates a schedule whose first tick is due at `now`.
    pub fn new(now: Instant) -> TickSchedule {
        TickSchedule { next_tick: now, last_iteration: now, reading_backlog: false }
    }

    /// Returns how long to wait for events before the next tick; zero if it is due.
    pub fn time_until_tick(&self, now: Instant) -> Duration {
        self.next_tick.saturating_duration_since(now)
    }

    /// Called when no event arrived before the tick was due. Returns false, and postpones the tick, if the
    /// process has paused since the last iteration.
    pub fn is_tick_due(&mut self, now: Instant) -> bool {
        if self.has_paused(now) {
            self.postpone_tick(now);
            return false;
        }
        self.reading_backlog = false;
        true
    }

    /// Schedules the next tick `interval` after `now`.
    pub fn schedule_next_tick(&mut self, now: Instant, interval: Millis) {
        self.next_tick = now + Duration::from_millis(interval.0);
    }

    /// Called after each handled input. Returns true if a tick must be handled before queued events, since a
    /// steady stream of events must not delay ticks indefinitely.
    pub fn finish_iteration(&mut self, now: Instant) -> bool {
        if self.has_paused(now) {
            self.postpone_tick(now);
        }
        self.last_iteration = now;
        let overdue = now > self.next_tick + MAX_TICK_DELAY;
        if overdue {
            self.reading_backlog = false;
            self.next_tick = now;
        }
        overdue
    }

    fn has_paused(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_iteration) >= MIN_PROCESS_PAUSE && !self.reading_backlog
    }

    fn postpone_tick(&mut self, now: Instant) {
        self.reading_backlog = true;
        self.next_tick = now + BACKLOG_DELAY;
    }
}

#[cfg(test)]
mod tests;
