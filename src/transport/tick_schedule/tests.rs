use super::*;

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

#[test]
fn a_tick_is_due_at_its_scheduled_time() {
    let start = Instant::now();
    let mut schedule = TickSchedule::new(start);
    assert_eq!(schedule.time_until_tick(start), Duration::ZERO);
    assert!(schedule.is_tick_due(start));
    schedule.schedule_next_tick(start, Millis(50));
    assert!(!schedule.finish_iteration(after(start, 1)));
    assert_eq!(schedule.time_until_tick(after(start, 10)), Duration::from_millis(40));
    assert!(schedule.is_tick_due(after(start, 50)));
}

/// Guards against treating workers as lost while their heartbeats are still unread in the sockets.
#[test]
fn postpones_the_first_tick_after_a_process_pause() {
    let start = Instant::now();
    let mut schedule = TickSchedule::new(start);
    assert!(!schedule.is_tick_due(after(start, 800)));
    assert_eq!(schedule.time_until_tick(after(start, 800)), BACKLOG_DELAY);
    assert!(schedule.is_tick_due(after(start, 860)));
}

#[test]
fn a_steady_stream_of_events_does_not_starve_ticks() {
    let start = Instant::now();
    let mut schedule = TickSchedule::new(start);
    schedule.schedule_next_tick(start, Millis(50));
    assert!(!schedule.finish_iteration(after(start, 150)));
    assert!(schedule.finish_iteration(after(start, 151)));
}
