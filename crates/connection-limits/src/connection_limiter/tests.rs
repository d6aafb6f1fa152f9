use super::*;
use crate::{Limits, ReservedResources};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn resource_budget() -> ResourceBudget {
    let limits = Limits { threads: 60, sockets: 100, memory_mib: 100.0 };
    ResourceBudget::new(limits, ReservedResources { threads: 20, sockets: 40 }).unwrap()
}

fn address(n: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, n])
}

#[derive(Debug, Clone)]
enum Step {
    Arrive(u8),
    Ask(usize, Role),
    Answer(usize),
    End(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let role = prop_oneof![Just(Role::User), Just(Role::Worker)];
    prop_oneof![
        4 => (0u8..6).prop_map(Step::Arrive),
        4 => (0usize..64, role).prop_map(|(pick, role)| Step::Ask(pick, role)),
        3 => (0usize..64).prop_map(Step::Answer),
        2 => (0usize..64).prop_map(Step::End),
        1 => (0u64..1500).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(21),
        failure_persistence: None,
        ..Default::default()
    })]
    /// The budget holds whatever comes; a worker's connection is never
    /// closed or refused, and none is refused for lack of room while a user's
    /// or a silent unidentified one could be closed instead.
    #[test]
    fn the_budget_holds_and_users_go_before_workers(steps in proptest::collection::vec(step(), 1..400)) {
        let mut connection_limiter = ConnectionLimiter::new(resource_budget());
        let mut now = Millis(0);
        // What the model knows of each: who made requests, whether one is being
        // served, since when, and whether it is to be closed.
        let mut open: BTreeMap<ConnectionId, (Option<Role>, bool, Millis, bool)> = BTreeMap::new();
        for step in steps {
            let pick = |n: usize| open.keys().nth(n % open.len().max(1)).copied();
            match step {
                Step::Arrive(from) => {
                    let arrival = connection_limiter.admit(address(from), now);
                    if let Some(id) = arrival.evict {
                        let one = open.get_mut(&id).expect("a connection that is open");
                        prop_assert!(one.0 != Some(Role::Worker) && !one.1 && !one.3, "{one:?} evicted");
                        one.3 = true;
                    }
                    match arrival.admitted {
                        Ok(id) => prop_assert!(open.insert(id, (None, false, now, false)).is_none()),
                        Err(RefusalReason::Full) => {
                            let may_be_closed = |c: &&(Option<Role>, bool, Millis, bool)| {
                                let quiet = now.0 - c.2.0 >= UNIDENTIFIED_GRACE_MS;
                                !c.3 && (c.0.is_none() && quiet || c.0 == Some(Role::User) && !c.1)
                            };
                            prop_assert!(arrival.evict.is_some() || !open.values().any(|c| may_be_closed(&c)));
                        }
                        Err(RefusalReason::TooManyUnidentified) => {
                            let silent = open.values().filter(|c| c.0.is_none() && !c.3).count();
                            prop_assert!(silent >= resource_budget().max_unidentified / 2);
                        }
                        Err(RefusalReason::ReservedForWorkers) => prop_assert!(false, "no request of a user has arrived"),
                    }
                }
                Step::Ask(n, by) => {
                    let Some(id) = pick(n) else { continue };
                    let one = open[&id];
                    if one.1 || one.0.is_some_and(|role| role != by) {
                        continue;
                    }
                    let users = open.values().filter(|c| c.0 == Some(Role::User)).count();
                    match connection_limiter.request_started(id, by, now) {
                        ConnectionAction::Refuse(_) => {
                            prop_assert_eq!(by, Role::User);
                            open.insert(id, (Some(by), true, now, true));
                        }
                        ConnectionAction::CloseAfter => prop_assert!(one.3 || by == Role::User),
                        ConnectionAction::KeepOpen => {}
                    }
                    if !open[&id].3 {
                        open.insert(id, (Some(by), true, now, false));
                        let held = users + usize::from(by == Role::User && one.0.is_none());
                        prop_assert!(by == Role::Worker || held <= resource_budget().max_connections - resource_budget().min_reserved_for_workers);
                    }
                }
                Step::Answer(n) => {
                    let Some(id) = pick(n) else { continue };
                    connection_limiter.response_sent(id, now);
                    if let Some(one) = open.get_mut(&id).filter(|c| c.1 && !c.3) {
                        *one = (one.0, false, now, false);
                    }
                }
                Step::End(n) => {
                    let Some(id) = pick(n) else { continue };
                    connection_limiter.closed(id);
                    open.remove(&id);
                }
                Step::Wait(ms) => now = Millis(now.0 + ms),
            }
            prop_assert_eq!(connection_limiter.open(), open.len());
            prop_assert!(connection_limiter.open() <= resource_budget().max_connections);
        }
    }
}

/// Half-open connections took every thread, and workers found none.
#[test]
fn a_flood_of_connections_from_one_address_leaves_room_for_others() {
    let mut connection_limiter = ConnectionLimiter::new(resource_budget());
    let flood = (0..1000).filter(|_| connection_limiter.admit(address(1), Millis(10)).admitted.is_ok()).count();
    assert_eq!(flood, resource_budget().max_unidentified / 2);
    let worker = connection_limiter.admit(address(2), Millis(11)).admitted.unwrap();
    assert_eq!(connection_limiter.request_started(worker, Role::Worker, Millis(12)), ConnectionAction::KeepOpen);
    // Silent for long enough, each is closed for the next.
    let later = connection_limiter.admit(address(1), Millis(600));
    assert!(later.admitted.is_ok() && later.evict.is_some());
}

/// Workers that lost their shard's owner come back all at once: users must not have
/// taken their places meanwhile.
#[test]
fn the_recent_peak_of_workers_stays_reserved_for_them() {
    let mut connection_limiter = ConnectionLimiter::new(resource_budget());
    let mut ids = vec![];
    for n in 0..20u8 {
        let id = connection_limiter.admit(address(n), Millis(0)).admitted.unwrap();
        assert_eq!(connection_limiter.request_started(id, Role::Worker, Millis(0)), ConnectionAction::KeepOpen);
        ids.push(id);
    }
    assert_eq!(connection_limiter.reserved_for_workers(Millis(0)), 25);
    ids.into_iter().for_each(|id| connection_limiter.closed(id));
    assert_eq!(connection_limiter.reserved_for_workers(Millis(1000)), 24);
    assert_eq!(connection_limiter.reserved_for_workers(Millis(600_000)), resource_budget().min_reserved_for_workers);
}
