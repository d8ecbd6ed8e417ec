//! Orders of events in which a task of a cancelled job could begin later than is promised.

mod support;

use support::cancel_site::{CancelSite, HOP_MS};
use support::sim::{job_id, step};

/// Time in which the first entry comes to lead, in milliseconds.
const SETTLE_MS: u64 = 1_000;
/// Time in which all that is under way arrives, in milliseconds.
const REST_MS: u64 = 15_000;

/// A site whose entry 0 leads.
async fn led_site(workers: usize) -> CancelSite {
    let mut site = CancelSite::open(1, 3, workers);
    site.run(SETTLE_MS).await;
    assert_eq!(site.leader(), Some(0));
    site
}

/// Runs on, and checks that the cancellation was acknowledged and that nothing began too late.
async fn expect_nothing_late(mut site: CancelSite) {
    site.run(REST_MS).await;
    assert!(site.jobs[&job_id(1)].acknowledged_ms.is_some(), "the caller was told");
    if let Some(fault) = site.first_fault() {
        panic!("{fault}");
    }
}

/// Guards against a start that the network delivers seconds after it was sent, where no stop gets through.
#[tokio::test(start_paused = true)]
async fn a_start_that_is_under_way_for_seconds_does_not_begin() {
    let mut site = led_site(1).await;
    site.delays.start_ms = 4_000..=4_000;
    site.lost_stops = 100;
    site.submit(1, 1, vec![step(1)]);
    site.run(100).await;
    site.cancel(2, job_id(1));
    expect_nothing_late(site).await;
}

/// Guards against the same start when another entry carries it out for the leader.
#[tokio::test(start_paused = true)]
async fn a_start_of_an_executor_that_is_under_way_for_seconds_does_not_begin() {
    for (batch_ms, start_ms) in [(1_000, 2_500), (HOP_MS, 4_000)] {
        let mut site = led_site(1).await;
        site.delegated = 100;
        site.delays.batch_ms = batch_ms..=batch_ms;
        site.delays.start_ms = start_ms..=start_ms;
        site.lost_stops = 100;
        site.submit(1, 1, vec![step(1)]);
        site.run(100).await;
        site.cancel(2, job_id(1));
        expect_nothing_late(site).await;
    }
}

/// Guards against "no such job" for a job whose submission another entry is still putting on the log.
#[tokio::test(start_paused = true)]
async fn a_job_that_is_unknown_when_it_is_cancelled_does_not_start() {
    let mut site = led_site(1).await;
    site.entries[1].reaches_leader = false;
    site.entries[1].appends_ms = 4_000..=4_000;
    site.submit(1, 1, vec![step(1)]);
    site.run(100).await;
    site.cancel(2, job_id(1));
    expect_nothing_late(site).await;
}

/// Guards against a new leader that takes seconds to read the workers and counts its view of the jobs from then.
#[tokio::test(start_paused = true)]
async fn a_leader_whose_takeover_takes_seconds_starts_nothing_cancelled_meanwhile() {
    let mut site = led_site(1).await;
    site.entries[0].frozen_until_ms = u64::MAX;
    site.delays.takeover_ms = 4_000..=4_000;
    site.submit(2, 1, vec![step(1)]);
    while site.leader() == Some(0) {
        site.run(20).await;
    }
    assert_eq!(site.leader(), Some(1));
    site.entries[1].reads_ms = 9_000..=9_000;
    site.run(100).await;
    site.cancel(2, job_id(1));
    expect_nothing_late(site).await;
}
