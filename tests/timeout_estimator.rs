//! Timeouts of appends follow the response times of the log.

use std::time::Duration;

use ibisweir::jobs::timeout_estimator::TimeoutEstimator;

const LONGEST: Duration = Duration::from_millis(700);

fn estimator_after(answers: &[u64]) -> TimeoutEstimator {
    let mut estimator = TimeoutEstimator::new(LONGEST);
    for answer in answers {
        estimator.record_answer(Duration::from_millis(*answer));
    }
    estimator
}

/// A fast log loses an answer: the call is repeated after a fraction of the time that a slow log
/// may take.
#[test]
fn the_timeout_is_short_for_a_fast_log() {
    assert_eq!(TimeoutEstimator::new(LONGEST).timeout(), LONGEST, "no answer yet");
    assert!(estimator_after(&[5; 20]).timeout() <= Duration::from_millis(200));
}

/// The log becomes slow, with 240 ms an answer. The first calls time out too early, each one later
/// than the one before. Once an answer has come, the timeout is long enough for the following ones.
#[test]
fn the_timeout_grows_when_the_log_becomes_slow() {
    let mut estimator = estimator_after(&[5; 20]);
    let mut tries = 0;
    while estimator.timeout() < Duration::from_millis(240) {
        estimator.record_timeout();
        tries += 1;
        assert!(tries < 4, "the timeout never becomes long enough");
    }
    for _ in 0..3 {
        estimator.record_answer(Duration::from_millis(240));
    }
    assert!(estimator.timeout() > Duration::from_millis(240));
    for _ in 0..20 {
        estimator.record_timeout();
    }
    assert_eq!(estimator.timeout(), LONGEST);
}

/// The log is fast again: after a minute of its answers the timeout is short again.
#[test]
fn the_timeout_shrinks_when_the_log_is_fast_again() {
    let mut estimator = estimator_after(&[5; 20]);
    for _ in 0..20 {
        estimator.record_answer(Duration::from_millis(240));
    }
    for _ in 0..40 {
        estimator.record_answer(Duration::from_millis(5));
    }
    assert!(estimator.timeout() <= Duration::from_millis(200));
}
