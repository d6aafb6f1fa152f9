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
    Connect(u8),
    Request(usize, Role),
    Respond(usize),
    Close(usize),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let role = prop_oneof![Just(Role::User), Just(Role::Worker)];
    prop_oneof![
        4 => (0u8..6).prop_map(Step::Connect),
        4 => (0usize..64, role).prop_map(|(pick, role)| Step::Request(pick, role)),
        3 => (0usize..64).prop_map(Step::Respond),
        2 => (0usize..64).prop_map(Step::Close),
        1 => (0u64..1500).prop_map(Step::Advance),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(21),
        failure_persistence: None,
        ..Default::default()
    })]
    /// For any sequence of events: the budget holds, worker connections are never evicted or refused,
    /// and no connection is refused as `Full` while an idle user or a silent unidentified connection
    /// could be evicted instead.
    #[test]
    fn the_budget_holds_and_workers_are_never_evicted_or_refused(steps in proptest::collection::vec(step(), 1..400)) {
        let mut connection_limiter = ConnectionLimiter::new(resource_budget());
        let mut now = Millis(0);
        // Model state of each open connection: its role once known, whether it is busy, the time of its
        // last state change, and whether it was selected to be closed.
        let mut open: BTreeMap<ConnectionId, (Option<Role>, bool, Millis, bool)> = BTreeMap::new();
        for step in steps {
            let pick = |n: usize| open.keys().nth(n % open.len().max(1)).copied();
            match step {
                Step::Connect(from) => {
                    let admission = connection_limiter.admit(address(from), now);
                    if let Some(id) = admission.evict {
                        let connection = open.get_mut(&id).expect("the evicted connection is open");
                        prop_assert!(
                            connection.0 != Some(Role::Worker) && !connection.1 && !connection.3,
                            "{connection:?} evicted"
                        );
                        connection.3 = true;
                    }
                    match admission.admitted {
                        Ok(id) => prop_assert!(open.insert(id, (None, false, now, false)).is_none()),
                        Err(RefusalReason::Full) => {
                            let may_be_evicted = |c: &&(Option<Role>, bool, Millis, bool)| {
                                let past_grace = now.0 - c.2.0 >= UNIDENTIFIED_GRACE_MS;
                                !c.3 && (c.0.is_none() && past_grace || c.0 == Some(Role::User) && !c.1)
                            };
                            prop_assert!(admission.evict.is_some() || !open.values().any(|c| may_be_evicted(&c)));
                        }
                        Err(RefusalReason::TooManyUnidentified) => {
                            let silent = open.values().filter(|c| c.0.is_none() && !c.3).count();
                            prop_assert!(silent >= resource_budget().max_unidentified / 2);
                        }
                        Err(RefusalReason::ReservedForWorkers) => prop_assert!(false, "no user request has arrived"),
                    }
                }
                Step::Request(n, role) => {
                    let Some(id) = pick(n) else { continue };
                    let connection = open[&id];
                    if connection.1 || connection.0.is_some_and(|known| known != role) {
                        continue;
                    }
                    let users = open.values().filter(|c| c.0 == Some(Role::User)).count();
                    match connection_limiter.request_started(id, role, now) {
                        ConnectionAction::Refuse(_) => {
                            prop_assert_eq!(role, Role::User);
                            open.insert(id, (Some(role), true, now, true));
                        }
                        ConnectionAction::CloseAfter => prop_assert!(connection.3 || role == Role::User),
                        ConnectionAction::KeepOpen => {}
                    }
                    if !open[&id].3 {
                        open.insert(id, (Some(role), true, now, false));
                        let held = users + usize::from(role == Role::User && connection.0.is_none());
                        prop_assert!(
                            role == Role::Worker
                                || held <= resource_budget().max_connections - resource_budget().min_reserved_for_workers
                        );
                    }
                }
                Step::Respond(n) => {
                    let Some(id) = pick(n) else { continue };
                    connection_limiter.response_sent(id, now);
                    if let Some(connection) = open.get_mut(&id).filter(|c| c.1 && !c.3) {
                        *connection = (connection.0, false, now, false);
                    }
                }
                Step::Close(n) => {
                    let Some(id) = pick(n) else { continue };
                    connection_limiter.closed(id);
                    open.remove(&id);
                }
                Step::Advance(ms) => now = Millis(now.0 + ms),
            }
            prop_assert_eq!(connection_limiter.open(), open.len());
            prop_assert!(connection_limiter.open() <= resource_budget().max_connections);
        }
    }
}

/// Guards against half-open connections that occupy all threads, so that workers cannot connect.
#[test]
fn a_flood_of_connections_from_one_address_leaves_room_for_others() {
    let mut connection_limiter = ConnectionLimiter::new(resource_budget());
    let flood = (0..1000).filter(|_| connection_limiter.admit(address(1), Millis(10)).admitted.is_ok()).count();
    assert_eq!(flood, resource_budget().max_unidentified / 2);
    let worker = connection_limiter.admit(address(2), Millis(11)).admitted.unwrap();
    assert_eq!(connection_limiter.request_started(worker, Role::Worker, Millis(12)), ConnectionAction::KeepOpen);
    // Past the grace period, the oldest silent connection is evicted for each new connection.
    let admission = connection_limiter.admit(address(1), Millis(600));
    assert!(admission.admitted.is_ok() && admission.evict.is_some());
}

/// Workers whose shard owner failed reconnect all at once, so users must not take up their connections
/// in the meantime.
#[test]
fn connections_of_the_recent_worker_peak_stay_reserved() {
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
