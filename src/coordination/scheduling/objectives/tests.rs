use super::*;

fn objective(kind: &str, within_s: f64) -> Objective {
    Objective { kind: kind.into(), class: Some("lists".into()), within_s: Some(within_s), share: None }
}

#[test]
fn only_short_wait_objectives_require_a_quick_start() {
    let mut names = NameInterner::default();
    let (lists, rolls) = (names.intern("lists"), names.intern("rolls"));
    let quick = Objectives::from_settings(&[objective("wait", 180.0), objective("wait", 3.0)], &mut names);
    assert!(quick.requires_start_before(&lists, 15.0) && !quick.requires_start_before(&rolls, 15.0));
    assert!(!Objectives::from_settings(&[objective("wait", 180.0), objective("finished", 3.0)], &mut names)
        .requires_start_before(&lists, 15.0));
}

#[test]
fn completion_objective_is_the_nearest_that_can_still_be_met() {
    let mut names = NameInterner::default();
    let lists = names.intern("lists");
    let objectives =
        Objectives::from_settings(&[objective("finished", 180.0), objective("finished", 100.0)], &mut names);
    let allowed = |earliest_completion| objectives.finish_within_s(&lists, earliest_completion);
    assert_eq!((allowed(20.0), allowed(100.5), allowed(300.0)), (Some(100.0), Some(180.0), Some(180.0)));
    assert_eq!(objectives.finish_within_s(&names.intern("rolls"), 0.0), None);
}
