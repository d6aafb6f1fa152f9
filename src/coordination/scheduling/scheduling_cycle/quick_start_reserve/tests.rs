use super::*;

#[test]
fn machines_with_fast_image_fetch_hold_the_reserve() {
    assert!(holds_reserve(0.8, 0.8) && !holds_reserve(0.2, 0.8) && holds_reserve(0.0, 0.0));
}
