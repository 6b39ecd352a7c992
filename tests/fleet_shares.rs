//! Shares of fleet-wide limits that one daemon may use.

use foxtailhill::relay::ServiceConfig;
use foxtailhill::retry::RetryBudget;

/// Guards against idle connections of many daemons that together reach a server's connection limit: the server then
/// resets new connections together with the requests on them.
#[test]
fn idle_connections_leave_half_of_a_server_free() {
    let service = ServiceConfig {
        name: "desk".into(),
        max_connections: 430,
        cold_rate: 0.0,
        engine: None,
    };
    for daemons in [1, 7, 62, 320] {
        let idle = service.max_idle_connections(daemons) * daemons as usize;
        assert!(idle <= 215, "{idle} idle connections of {daemons} daemons");
    }
    assert_eq!(service.max_idle_connections(62), 3);
}

/// Guards against retries of a fleet that exceed their limit once the fleet has grown, and against a budget that keeps
/// the retries that it saved while the fleet was smaller.
#[test]
fn retry_budget_follows_the_number_of_daemons() {
    let budget = RetryBudget::bounded(20, 20);
    budget.set_capacity(2);
    let granted = (0..50).filter(|_| budget.try_retry()).count();
    assert_eq!(granted, 2);
    for _ in 0..1_000 {
        budget.count_request();
    }
    let granted = (0..50).filter(|_| budget.try_retry()).count();
    assert_eq!(granted, 2, "earned retries are kept up to the share");
    budget.set_capacity(4);
    for _ in 0..1_000 {
        budget.count_request();
    }
    let granted = (0..50).filter(|_| budget.try_retry()).count();
    assert_eq!(granted, 4);
}
