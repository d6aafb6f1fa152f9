use super::*;

#[test]
fn the_reserve_is_on_machines_that_fetch_fast() {
    assert!(holds_reserve(0.8, 0.8) && !holds_reserve(0.2, 0.8) && holds_reserve(0.0, 0.0));
}
