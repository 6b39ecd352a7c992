//! Rules for whether a daemon's view of the configuration is current.

use std::time::{Duration, Instant};

use foxtailhill::currency::{MAX_VIEW_AGE, ViewCurrency, ViewState, current_at};
use foxtailhill::ids::LogOffset;
use foxtailhill::member::ViewEvidence;

fn evidence(list: Instant, reports: Vec<Option<(LogOffset, Instant)>>) -> ViewEvidence {
    ViewEvidence {
        list_seen_at: Some(list),
        reports,
    }
}

/// Guards against a view that counts as current although one daemon has not reported or has a newer configuration.
#[test]
fn without_the_log_a_view_is_current_if_no_daemon_has_newer_configuration() {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let own = LogOffset(7);
    let same = Some((LogOffset(7), now));
    let older = Some((LogOffset(3), later));
    let newer = Some((LogOffset(8), later));
    let all = evidence(later, vec![same, older]);
    assert_eq!(current_at(None, own, &all), Some(now));
    assert_eq!(
        current_at(None, own, &evidence(later, vec![same, None])),
        None
    );
    assert_eq!(
        current_at(None, own, &evidence(later, vec![same, newer])),
        None
    );
    let unlisted = ViewEvidence {
        list_seen_at: None,
        reports: vec![same],
    };
    assert_eq!(current_at(None, own, &unlisted), None);
    assert_eq!(current_at(Some(later), own, &unlisted), Some(later));
}

/// Guards against keys that are accepted after the grace period, or by a daemon whose view was never current.
#[test]
fn view_older_than_the_maximum_is_isolated() {
    let start = Instant::now();
    let grace = Duration::from_secs(5);
    let view = ViewCurrency::new();
    assert_eq!(view.state(start), ViewState::Starting);
    assert!(!view.state(start).accepts_keys(grace, start));
    view.observe(Some(start), LogOffset(1), &ViewEvidence::default());
    view.observe(None, LogOffset(1), &ViewEvidence::default());
    assert_eq!(view.state(start + MAX_VIEW_AGE), ViewState::Current);
    let isolated = start + MAX_VIEW_AGE + Duration::from_millis(1);
    assert_eq!(view.state(isolated), ViewState::Isolated { since: start });
    assert!(view.state(isolated).accepts_keys(grace, isolated));
    let end = start + MAX_VIEW_AGE + grace;
    assert!(!view.state(end).accepts_keys(grace, end));
}
