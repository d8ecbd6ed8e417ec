//! When an entry may claim the leadership.

use std::net::SocketAddr;

use ibisweir::decide::leadership::{
    CLOSED_RENEWAL_TIMEOUT_MS, HolderId, LeadershipAct, LeadershipRecord, LeadershipView,
    PredecessorEnd, PreviousLeader, RENEWAL_TIMEOUT_MS, claim_delay_ms,
};
use ibisweir::decide::replica::ReplicaList;

fn holder(name: &str, incarnation: u64) -> HolderId {
    HolderId { name: name.into(), incarnation, delay_ms: 0 }
}

fn record(act: LeadershipAct, name: &str, incarnation: u64) -> LeadershipRecord {
    let address = SocketAddr::from(([127, 0, 0, 1], 7_000));
    LeadershipRecord {
        act,
        holder: name.into(),
        incarnation,
        address,
        replicas: ReplicaList::default(),
        append_ms: 0,
    }
}

/// A view that has read a claim of `a` at 1000 ms.
fn led_by_a() -> LeadershipView {
    let mut view = LeadershipView::default();
    view.apply(4, &record(LeadershipAct::Claim, "a", 1), 1_000);
    view.record_read(5, 1_000);
    view
}

/// The leader dies. Others claim after a timeout that covers three renewals, and not earlier.
#[test]
fn a_claim_waits_for_the_renewal_timeout() {
    let view = led_by_a();
    let b = holder("b", 2);
    assert_eq!(view.claim_in_ms(&b, false, 1_000), Some(RENEWAL_TIMEOUT_MS));
    assert_eq!(view.claim_in_ms(&b, false, 1_000 + RENEWAL_TIMEOUT_MS), Some(0));
    assert_eq!(view.term, 5);
}

/// The log is unreachable for seconds for all entries. When it is back, the leader gets time to
/// renew, because the log was silent and not the leader.
#[test]
fn the_renewal_timeout_does_not_run_while_the_log_is_unreachable() {
    let mut view = led_by_a();
    let b = holder("b", 2);
    view.record_read_failure();
    assert_eq!(view.claim_in_ms(&b, false, 9_000), None);
    view.record_read(5, 9_000);
    assert_eq!(view.claim_in_ms(&b, false, 9_000), Some(RENEWAL_TIMEOUT_MS));
}

/// All processes lose power, and the previous leader's process is restarted. Nobody else can lead,
/// and callers should not wait for the renewal timeout.
#[test]
fn a_restarted_holder_claims_at_once() {
    let view = led_by_a();
    assert_eq!(view.claim_in_ms(&holder("a", 2), false, 1_000), Some(0));
    assert_eq!(view.claim_in_ms(&holder("a", 1), false, 1_000), Some(RENEWAL_TIMEOUT_MS));
}

/// The leader's process was killed, and an entry that relayed a caller's job found its address
/// closed. Only a renewal in flight is still awaited.
#[test]
fn a_closed_address_shortens_the_renewal_timeout() {
    let view = led_by_a();
    let b = holder("b", 2);
    assert_eq!(view.claim_in_ms(&b, true, 1_000), Some(CLOSED_RENEWAL_TIMEOUT_MS));
}

/// A leader that stops announces it, so its successor need not wait.
#[test]
fn a_resignation_frees_the_leadership_at_once() {
    let mut view = led_by_a();
    view.apply(5, &record(LeadershipAct::Resign, "a", 1), 2_000);
    assert_eq!(view.claim_in_ms(&holder("b", 2), false, 2_000), Some(0));
    assert_eq!(view.address, None);
    assert!(!view.is_held_by(&holder("a", 1)));
}

/// The leader dies on a site with different VMs. A VM with a tenth of a core would be overloaded by
/// the jobs of 350 workers, so it claims only if none of the fit VMs does.
#[test]
fn a_weak_vm_claims_after_the_fit_ones() {
    assert_eq!(claim_delay_ms(250, 1_000), 0);
    let delay_ms = claim_delay_ms(120, 10);
    assert!(delay_ms > claim_delay_ms(500, 10) && claim_delay_ms(500, 10) > 0);
    let view = led_by_a();
    let weak = HolderId { delay_ms, ..holder("b", 2) };
    assert_eq!(view.claim_in_ms(&weak, false, 1_000), Some(RENEWAL_TIMEOUT_MS + delay_ms));
    assert_eq!(view.claim_in_ms(&weak, false, 1_000 + RENEWAL_TIMEOUT_MS + delay_ms), Some(0));
}

/// Two processes claim at once. The log accepts the first, and the second reads who has won.
#[test]
fn the_loser_of_a_race_learns_the_winner_by_reading_on() {
    let mut view = LeadershipView::default();
    view.record_read(0, 500);
    view.apply(0, &record(LeadershipAct::Claim, "b", 2), 600);
    assert!(view.is_held_by(&holder("b", 2)));
    assert!(!view.is_held_by(&holder("a", 1)));
    assert_eq!(view.term, 1);
}

/// A new leader must know whether a command of the previous one may still be in flight. Only a
/// resignation, or the end of its own earlier process, rules that out; a missing renewal does not.
/// A leader that was never seen leaves nothing to wait for.
#[test]
fn only_a_resignation_or_a_restart_proves_that_the_previous_leader_has_ended() {
    let view = led_by_a();
    let seen = |end| Some(PreviousLeader { seen_ms: 1_000, end });
    assert_eq!(view.predecessor(&holder("b", 2)), seen(PredecessorEnd::Unknown));
    assert_eq!(view.predecessor(&holder("a", 2)), seen(PredecessorEnd::Restarted));
    assert_eq!(LeadershipView::default().predecessor(&holder("b", 2)), None);

    let mut resigned = led_by_a();
    resigned.apply(5, &record(LeadershipAct::Resign, "a", 1), 2_000);
    let previous = PreviousLeader { seen_ms: 2_000, end: PredecessorEnd::Resigned };
    assert_eq!(resigned.predecessor(&holder("b", 2)), Some(previous));
}
