//! How much an append takes in by what the link has carried.

use std::time::Duration;

use ibisweir::decide::append_limit::{APPEND_BYTES_MAX, APPEND_BYTES_MIN, AppendLimit, SentBody};

/// Time of the log itself.
const LOG_TIME: Duration = Duration::from_millis(4);

/// An append that was answered after `after`, all of which stood in a buffer at once.
fn answered(bytes: usize, after: Duration) -> SentBody {
    SentBody { bytes, took: Duration::ZERO, answered: Some(after) }
}

/// Sends full appends over a link of so many bytes a millisecond; the last room.
fn settle(room: &mut AppendLimit, rate: usize, appends: usize) -> usize {
    for _ in 0..appends {
        let bytes = room.bytes();
        let took = u64::try_from(bytes * 1_000 / rate).expect("a short time");
        room.learn(answered(200, LOG_TIME));
        room.learn(answered(bytes, LOG_TIME + Duration::from_micros(took)));
    }
    room.bytes()
}

/// Guards against starts that wait seconds behind one append on a narrow link.
#[test]
fn an_append_takes_what_its_link_carries_in_a_short_time() {
    for rate in [100, 250, 1_250, 25_000] {
        let mut room = AppendLimit::default();
        let bytes = settle(&mut room, rate, 10);
        assert!(bytes <= (rate * 200).min(APPEND_BYTES_MAX), "{bytes} at {rate}");
        assert!(bytes >= (rate * 50).min(APPEND_BYTES_MAX), "{bytes} at {rate}");
    }
}

/// Guards against an append that stays large for many tries on a link that has become narrow.
#[test]
fn one_slow_append_tells_of_a_link_that_has_become_narrow() {
    let mut room = AppendLimit::default();
    assert_eq!(settle(&mut room, 25_000, 10), APPEND_BYTES_MAX);
    assert!(settle(&mut room, 250, 1) <= 50_000);
}

/// Guards against appends that stay small once a link carries much again.
#[test]
fn appends_grow_again_with_their_link() {
    let mut room = AppendLimit::default();
    settle(&mut room, 10, 10);
    assert_eq!(room.bytes(), APPEND_BYTES_MIN);
    assert_eq!(settle(&mut room, 25_000, 10), APPEND_BYTES_MAX);
}

/// Guards against a slow log that is taken for a narrow link: the more appends, the longer all wait.
#[test]
fn appends_do_not_shrink_for_good_as_the_log_turns_slow() {
    let mut room = AppendLimit::default();
    settle(&mut room, 25_000, 10);
    for _ in 0..20 {
        room.learn(answered(200, Duration::from_millis(300)));
        room.learn(answered(room.bytes(), Duration::from_millis(320)));
    }
    assert_eq!(room.bytes(), APPEND_BYTES_MAX);
}

/// Guards against appends without end on a link that takes nothing, each as large as the one before.
#[test]
fn a_full_append_without_an_answer_makes_the_next_one_smaller() {
    let mut room = AppendLimit::default();
    let before = room.bytes();
    room.learn(SentBody { bytes: before, took: Duration::ZERO, answered: None });
    assert_eq!(room.bytes(), before / 2);
}

/// Guards against small appends on a wide link, as small ones tell nothing of it, and no connection at all even less.
#[test]
fn an_append_that_was_not_full_changes_nothing() {
    let mut room = AppendLimit::default();
    let before = room.bytes();
    room.learn(answered(200, LOG_TIME));
    room.learn(SentBody { bytes: 200, took: Duration::ZERO, answered: None });
    room.learn(SentBody::default());
    assert_eq!(room.bytes(), before);
}

/// Guards against an append that is given the same short time again and again, though no try of it gets through.
#[test]
fn an_append_has_more_time_after_each_loss() {
    let mut room = AppendLimit::default();
    let bytes = room.bytes();
    let before = room.send_timeout(bytes).after_send;
    room.learn(SentBody { bytes, took: Duration::ZERO, answered: None });
    assert_eq!(room.send_timeout(bytes).after_send, before * 2);
    for _ in 0..20 {
        room.learn(SentBody { bytes, took: Duration::ZERO, answered: None });
    }
    assert!(
        room.send_timeout(APPEND_BYTES_MAX).after_send < Duration::from_secs(10),
        "the log may be back long before"
    );
    room.learn(answered(bytes, LOG_TIME));
    assert!(
        room.send_timeout(APPEND_BYTES_MIN).after_send <= Duration::from_millis(200),
        "an answer ends it"
    );
}
