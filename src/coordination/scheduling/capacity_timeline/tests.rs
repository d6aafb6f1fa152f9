use super::*;

const ONE: Resources = Resources { cpus: 1.0, gpus: 0.0, mem_gb: 2.0 };
const ALL: Resources = Resources { cpus: 2.0, gpus: 0.0, mem_gb: 8.0 };

fn busy() -> Openings {
    let mut openings = Openings::new(ALL);
    openings.hold(&ONE, Some(3.0));
    openings.hold(&ONE, Some(5.0));
    openings.settle();
    openings
}

/// Each core that comes free was promised to any number of waiting tasks:
/// they all waited for it while whole machines stood idle.
#[test]
fn a_booked_opening_is_not_offered_again() {
    let mut openings = busy();
    assert_eq!(openings.wait(&ONE), Some(3.0));
    openings.book(&ONE, 3.0, 13.0);
    assert_eq!(openings.wait(&ONE), Some(5.0));
    openings.book(&ONE, 5.0, 15.0);
    assert_eq!(openings.wait(&ONE), Some(13.0));
}

#[test]
fn room_now_is_no_wait_and_services_never_leave() {
    let _openings = busy();
    assert_eq!(Openings::new(ALL).wait(&ONE), Some(0.0));
    let mut full = Openings::new(ONE);
    full.hold(&ONE, None);
    assert_eq!(full.wait(&ONE), None);
}
