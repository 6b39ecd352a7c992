//! Rare models that are asked for while no backend server holds them.

use std::time::{Duration, Instant};

use foxtailhill::relay::AbsentModels;

const LOAD: Duration = Duration::from_secs(5);

/// Guards against a caller that is told to come back after the whole load time, however far the load is.
#[test]
fn wait_shrinks_while_the_model_loads() {
    let mut absent = AbsentModels::new();
    let now = Instant::now();
    let first = absent.expected_wait(&"m1".into(), LOAD, now);
    assert!(first > LOAD, "{first:?}");
    let later = absent.expected_wait(&"m1".into(), LOAD, now + Duration::from_secs(4));
    assert_eq!(later, first - Duration::from_secs(4));
    let other = absent.expected_wait(&"m2".into(), LOAD, now + Duration::from_secs(4));
    assert_eq!(other, first);
}

/// Guards against refusals for a model whose load is late: it may come at any moment.
#[test]
fn overdue_load_has_no_expected_wait() {
    let mut absent = AbsentModels::new();
    let now = Instant::now();
    absent.expected_wait(&"m1".into(), LOAD, now);
    let overdue = absent.expected_wait(&"m1".into(), LOAD, now + Duration::from_secs(7));
    assert_eq!(overdue, Duration::ZERO);
}

/// Guards against an old absence that makes the next one look overdue.
#[test]
fn wait_restarts_with_each_absence() {
    let mut absent = AbsentModels::new();
    let now = Instant::now();
    let first = absent.expected_wait(&"m1".into(), LOAD, now);
    absent.note_present(&"m1".into());
    let later = now + Duration::from_secs(7);
    assert_eq!(absent.expected_wait(&"m1".into(), LOAD, later), first);
    let much_later = later + Duration::from_secs(60);
    assert_eq!(absent.expected_wait(&"m1".into(), LOAD, much_later), first);
}
