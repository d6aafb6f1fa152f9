use super::*;

/// Guards against a budget that ignores the thread limit: sockets and memory allowed 2,005 connections,
/// each with its own thread, in a process limited to 2,000 threads.
#[test]
fn thread_limit_caps_the_number_of_connections() {
    let limits = Limits { threads: 1800, sockets: 2382, memory_mib: 188.0 };
    let resource_budget = ResourceBudget::new(limits, ReservedResources { threads: 16, sockets: 40 }).unwrap();
    assert_eq!(resource_budget.max_connections, 1784);
    let small = Limits { memory_mib: 28.0, ..limits };
    assert_eq!(
        ResourceBudget::new(small, ReservedResources { threads: 16, sockets: 40 }).unwrap().max_connections,
        298
    );
}

#[test]
fn limits_too_low_for_any_connection_are_refused_with_the_reason() {
    let limits = Limits { threads: 20, sockets: 800, memory_mib: 56.0 };
    let error = ResourceBudget::new(limits, ReservedResources { threads: 16, sockets: 40 }).unwrap_err();
    assert_eq!(error, BudgetError::LimitTooLow { resource: Resource::Threads, limit: 20, reserved: 16 });
}
