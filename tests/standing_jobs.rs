//! What the soak takes for an accepted job that stands still.

use std::time::Duration;

use ibisweir::jobs::model::JobId;
use ibisweir_standin::jobs::worker::VmUsage;
use ibisweir_standin::soak::standing::{OpenJob, STANDING_TIME, StandingWatch};
use tokio::time::Instant;

const GAP: Duration = Duration::from_millis(100);

/// Looks at one job on two VMs of 64 cores for `time`; how often it is told of.
fn looks(
    watch: &mut StandingWatch,
    from: Instant,
    time: Duration,
    live: usize,
    used: u64,
) -> usize {
    let id = JobId::parse("5c0e7a21d94b36f8").expect("an id");
    let job = OpenJob { id, pool: "north", cpu: 13_000, live, runs: 2 };
    let vm = VmUsage { pool: "north".to_owned(), room: 64_000, used };
    let times =
        (0..=time.as_millis() / GAP.as_millis()).map(|n| GAP * u32::try_from(n).unwrap_or(0));
    times
        .map(|time| {
            watch.look(from + time, std::slice::from_ref(&job), &[vm.clone(), vm.clone()]).len()
        })
        .sum()
}

#[test]
fn a_job_that_stands_is_told_of_once() {
    let (mut watch, now) = (StandingWatch::default(), Instant::now());
    assert_eq!(looks(&mut watch, now, STANDING_TIME - GAP, 0, 31_000), 0);
    assert_eq!(looks(&mut watch, now + STANDING_TIME, STANDING_TIME, 0, 31_000), 1);
}

#[test]
fn a_job_that_runs_or_whose_pool_is_half_in_use_does_not_stand() {
    for (live, used) in [(1, 0), (0, 32_000), (0, 60_000)] {
        let (mut watch, now) = (StandingWatch::default(), Instant::now());
        assert_eq!(looks(&mut watch, now, STANDING_TIME * 2, live, used), 0, "{live} {used}");
    }
}

/// Guards against jobs that are taken for standing as the soak itself did not look.
#[test]
fn a_job_does_not_stand_for_a_time_without_looks() {
    let (mut watch, now) = (StandingWatch::default(), Instant::now());
    assert_eq!(looks(&mut watch, now, STANDING_TIME - GAP, 0, 0), 0);
    assert_eq!(looks(&mut watch, now + STANDING_TIME * 2, STANDING_TIME - GAP, 0, 0), 0);
}
