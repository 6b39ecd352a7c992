//! Estimated waits for models that are requested while no backend server holds them.

use std::time::{Duration, Instant};

use foxtailhill::relay::AbsentModels;

const LOAD: Duration = Duration::from_secs(5);

/// Guards against a `Retry-After` of the full load time while the load is already in progress.
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

/// Guards against refusals while a load is overdue, as it may complete at any moment.
#[test]
fn overdue_load_has_no_expected_wait() {
    let mut absent = AbsentModels::new();
    let now = Instant::now();
    absent.expected_wait(&"m1".into(), LOAD, now);
    let overdue = absent.expected_wait(&"m1".into(), LOAD, now + Duration::from_secs(7));
    assert_eq!(overdue, Duration::ZERO);
}

/// Guards against an earlier absence that makes the load of a later one look overdue.
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
