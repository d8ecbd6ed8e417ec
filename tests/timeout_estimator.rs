//! Waits for the log follow its answers.

use std::time::Duration;

use ibisweir::jobs::timeout_estimator::TimeoutEstimator;

const LONGEST: Duration = Duration::from_millis(700);

fn gauge_after(answers: &[u64]) -> TimeoutEstimator {
    let mut gauge = TimeoutEstimator::new(LONGEST);
    for answer in answers {
        gauge.record_answer(Duration::from_millis(*answer));
    }
    gauge
}

/// The log answers in a few milliseconds and then loses an answer. The call is repeated after a
/// fraction of the time that a slow log may take.
#[test]
fn a_quick_log_is_not_waited_for_long() {
    assert_eq!(TimeoutEstimator::new(LONGEST).timeout(), LONGEST, "nothing is known yet");
    assert!(gauge_after(&[5; 20]).timeout() <= Duration::from_millis(200));
}

/// The log turns slow: 240 ms an answer. The first calls are given up too early, each next one later,
/// and once an answer has come the wait is long enough for those that follow.
#[test]
fn a_log_that_turns_slow_is_waited_for_longer() {
    let mut gauge = gauge_after(&[5; 20]);
    let mut tries = 0;
    while gauge.timeout() < Duration::from_millis(240) {
        gauge.record_timeout();
        tries += 1;
        assert!(tries < 4, "it never waits long enough");
    }
    for _ in 0..3 {
        gauge.record_answer(Duration::from_millis(240));
    }
    assert!(gauge.timeout() > Duration::from_millis(240));
    for _ in 0..20 {
        gauge.record_timeout();
    }
    assert_eq!(gauge.timeout(), LONGEST);
}

/// The log is quick again: a minute of its answers is enough to wait briefly again.
#[test]
fn a_log_that_is_quick_again_is_waited_for_briefly_again() {
    let mut gauge = gauge_after(&[5; 20]);
    for _ in 0..20 {
        gauge.record_answer(Duration::from_millis(240));
    }
    for _ in 0..40 {
        gauge.record_answer(Duration::from_millis(5));
    }
    assert!(gauge.timeout() <= Duration::from_millis(200));
}
