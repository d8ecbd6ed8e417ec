//! Run times that are learned from observations.

mod support;

use ibisweir::jobs::model::{ExitKind, StepSpec};
use ibisweir::scheduler::runtime::RuntimeModel;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use support::sim::{SchedulerSim, config, job, step, task, worker};

fn random() -> StdRng {
    StdRng::seed_from_u64(7)
}

/// Before the first observation, declared times are used as they are.
#[test]
fn declared_times_are_used_until_a_step_is_done() {
    assert_eq!(RuntimeModel::default().expected_ms(1_234), 1_234);
}

/// Declared times that are right are followed, also far from the observed ones.
#[test]
fn correct_declarations_are_followed() {
    let mut model = RuntimeModel::default();
    let mut random = random();
    for _ in 0..100 {
        let declared = random.random_range(400..1_200);
        model.record(declared, declared);
    }
    let expected = model.expected_ms(2_000);
    assert!((1_900..=2_100).contains(&expected), "{expected}");
}

/// Declared times without any relation to observed ones are not followed: every step is expected to
/// take the mean.
#[test]
fn unrelated_declarations_are_not_followed() {
    let mut model = RuntimeModel::default();
    let mut random = random();
    for _ in 0..200 {
        model.record(random.random_range(100..2_000), random.random_range(700..900));
    }
    for declared in [100, 2_000] {
        let expected = model.expected_ms(declared);
        assert!((650..=950).contains(&expected), "{expected} for {declared}");
    }
}

/// Equal declared times give no slope; such steps are expected to take what earlier ones took.
#[test]
fn equal_declarations_are_corrected_by_observed_times() {
    let mut model = RuntimeModel::default();
    for _ in 0..60 {
        model.record(500, 1_500);
    }
    assert!(model.expected_ms(500) > 1_300, "{}", model.expected_ms(500));
}

/// Guards against declared run times that are too short. A queue asks for more than its pool holds,
/// and its callers declare a tenth of the time that their tasks take: every job soon looks late,
/// and the pool would serve late jobs and those still in time alike. After a few observed steps, a
/// job that is still in time goes first.
#[test]
fn a_job_that_is_in_time_goes_first_though_its_declaration_says_otherwise() {
    let declared = |count| StepSpec { estimate_ms: 100, ..step(count) };
    let mut sim = SchedulerSim::open(config(), vec![worker("w0", "r0")]);
    for id in 1..=20 {
        let observed = sim.submit(id, job(vec![declared(1)]));
        sim.advance(1_000);
        sim.end(task(observed, 0, 0), ExitKind::Done);
        sim.advance(60);
    }
    // All capacity is in use for 1.5 s, in which two jobs arrive.
    let blocker = sim.submit(30, job(vec![declared(8)]));
    sim.advance(200);
    let first = sim.submit(31, job(vec![declared(8)]));
    sim.advance(1_300);
    let second = sim.submit(32, job(vec![StepSpec { estimate_ms: 101, ..declared(8) }]));
    for index in 0..8 {
        sim.end(task(blocker, 0, index), ExitKind::Done);
    }
    sim.advance(60);
    // The first is still in time by observed run times; by its declaration it is late.
    assert_eq!(sim.alive(task(first, 0, 0)), 1);
    assert_eq!(sim.alive(task(second, 0, 0)), 0);
}
