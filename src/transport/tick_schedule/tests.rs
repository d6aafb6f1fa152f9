use super::*;

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

#[test]
fn a_tick_is_due_when_its_time_has_come() {
    let start = Instant::now();
    let mut schedule = TickSchedule::new(start);
    assert_eq!(schedule.time_until_tick(start), Duration::ZERO);
    assert!(schedule.is_tick_due(start));
    schedule.schedule_next_tick(start, Millis(50));
    assert!(!schedule.end_turn(after(start, 1)));
    assert_eq!(schedule.time_until_tick(after(start, 10)), Duration::from_millis(40));
    assert!(schedule.is_tick_due(after(start, 50)));
}

/// Guards against treating workers as lost while their heartbeats are still unread in the sockets.
#[test]
fn the_first_tick_after_a_pause_waits_for_what_arrived_meanwhile() {
    let start = Instant::now();
    let mut schedule = TickSchedule::new(start);
    assert!(!schedule.is_tick_due(after(start, 800)));
    assert_eq!(schedule.time_until_tick(after(start, 800)), BACKLOG_TIME);
    assert!(schedule.is_tick_due(after(start, 860)));
}

#[test]
fn a_stream_of_events_does_not_hold_up_ticks() {
    let start = Instant::now();
    let mut schedule = TickSchedule::new(start);
    schedule.schedule_next_tick(start, Millis(50));
    assert!(!schedule.end_turn(after(start, 150)));
    assert!(schedule.end_turn(after(start, 151)));
}
