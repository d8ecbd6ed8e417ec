//! The size limit of an append adapts to what the link has carried.

use std::time::Duration;

use ibisweir::decide::append_limit::{APPEND_BYTES_MAX, APPEND_BYTES_MIN, AppendLimit, SentBody};

/// Response time of the log itself.
const LOG_TIME: Duration = Duration::from_millis(4);

/// An append that was answered after `after` and fitted into a buffer as a whole.
fn answered(bytes: usize, after: Duration) -> SentBody {
    SentBody { bytes, took: Duration::ZERO, answered: Some(after) }
}

/// Sends full appends over a link of `rate` bytes per millisecond, and returns the resulting limit.
fn settle(limit: &mut AppendLimit, rate: usize, appends: usize) -> usize {
    for _ in 0..appends {
        let bytes = limit.bytes();
        let took = u64::try_from(bytes * 1_000 / rate).expect("a short time");
        limit.learn(answered(200, LOG_TIME));
        limit.learn(answered(bytes, LOG_TIME + Duration::from_micros(took)));
    }
    limit.bytes()
}

/// Guards against starts that wait for seconds behind one append on a narrow link.
#[test]
fn the_limit_follows_what_the_link_carries_in_a_short_time() {
    for rate in [100, 250, 1_250, 25_000] {
        let mut limit = AppendLimit::default();
        let bytes = settle(&mut limit, rate, 10);
        assert!(bytes <= (rate * 200).min(APPEND_BYTES_MAX), "{bytes} at {rate}");
        assert!(bytes >= (rate * 50).min(APPEND_BYTES_MAX), "{bytes} at {rate}");
    }
}

/// Guards against appends that stay large for many attempts after a link has become narrow.
#[test]
fn one_slow_append_lowers_the_limit_on_a_link_that_has_become_narrow() {
    let mut limit = AppendLimit::default();
    assert_eq!(settle(&mut limit, 25_000, 10), APPEND_BYTES_MAX);
    assert!(settle(&mut limit, 250, 1) <= 50_000);
}

/// Guards against appends that stay small after a link has become wide again.
#[test]
fn the_limit_grows_again_with_the_link() {
    let mut limit = AppendLimit::default();
    settle(&mut limit, 10, 10);
    assert_eq!(limit.bytes(), APPEND_BYTES_MIN);
    assert_eq!(settle(&mut limit, 25_000, 10), APPEND_BYTES_MAX);
}

/// Guards against mistaking a slow log for a narrow link: smaller appends mean more appends, and
/// longer waits for all.
#[test]
fn a_slow_log_does_not_lower_the_limit() {
    let mut limit = AppendLimit::default();
    settle(&mut limit, 25_000, 10);
    for _ in 0..20 {
        limit.learn(answered(200, Duration::from_millis(300)));
        limit.learn(answered(limit.bytes(), Duration::from_millis(320)));
    }
    assert_eq!(limit.bytes(), APPEND_BYTES_MAX);
}

/// Guards against endless appends of the same size on a link that carries nothing.
#[test]
fn a_full_append_without_an_answer_halves_the_limit() {
    let mut limit = AppendLimit::default();
    let before = limit.bytes();
    limit.learn(SentBody { bytes: before, took: Duration::ZERO, answered: None });
    assert_eq!(limit.bytes(), before / 2);
}

/// Guards against small appends on a wide link: a small append says little about the link, and a
/// missing connection even less.
#[test]
fn a_small_append_does_not_change_the_limit() {
    let mut limit = AppendLimit::default();
    let before = limit.bytes();
    limit.learn(answered(200, LOG_TIME));
    limit.learn(SentBody { bytes: 200, took: Duration::ZERO, answered: None });
    limit.learn(SentBody::default());
    assert_eq!(limit.bytes(), before);
}

/// Guards against an append that is retried with the same short timeout forever although no attempt
/// gets through.
#[test]
fn the_timeout_grows_with_each_lost_append() {
    let mut limit = AppendLimit::default();
    let bytes = limit.bytes();
    let before = limit.send_timeout(bytes).after_send;
    limit.learn(SentBody { bytes, took: Duration::ZERO, answered: None });
    assert_eq!(limit.send_timeout(bytes).after_send, before * 2);
    for _ in 0..20 {
        limit.learn(SentBody { bytes, took: Duration::ZERO, answered: None });
    }
    assert!(
        limit.send_timeout(APPEND_BYTES_MAX).after_send < Duration::from_secs(10),
        "the log may be reachable long before"
    );
    limit.learn(answered(bytes, LOG_TIME));
    assert!(
        limit.send_timeout(APPEND_BYTES_MIN).after_send <= Duration::from_millis(200),
        "an answer resets the timeout"
    );
}
