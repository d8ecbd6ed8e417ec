//! The leader's digest of the backlog.

mod support;

use std::time::Duration;

use ibisweir::decide::admission::{LineDigest, PoolLine, StartLine, size_class};
use ibisweir::decide::lateness::LastingLateness;
use ibisweir::jobs::flow::FlowPace;
use ibisweir::jobs::model::{ExitKind, ResourceVector, StepSpec};
use ibisweir::jobs::site::{QueueSpec, SiteConfig};
use ibisweir::scheduler::line::LineReport;
use support::sim::{
    POOL, QUEUE, STANDBY, SchedulerSim, config, job, job_id, queue, service_step, step, task, vm,
    worker,
};

/// One worker of eight cores, its VM, and a leader that computes digests.
fn open_site(config: SiteConfig) -> SchedulerSim {
    let mut sim = SchedulerSim::open(config, vec![worker("w0", "r0")]);
    sim.scheduler.enable_line(true);
    list_vms(&mut sim);
    sim
}

fn list_vms(sim: &mut SchedulerSim) {
    sim.scheduler.update_vms(vec![vm(&worker("w0", "r0"), POOL)], sim.now, sim.now);
}

/// Advances by an interval of the planning of pools; the VM list stays fresh.
fn plan(sim: &mut SchedulerSim) -> LineReport {
    list_vms(sim);
    sim.advance(100);
    sim.scheduler.line_report(sim.now).expect("a digest")
}

fn pool(report: &LineReport) -> Option<&PoolLine> {
    report.digest.pool(POOL)
}

/// Guards against a digest that tells other work than what waits, has begun and arrives.
#[test]
fn the_digest_tells_what_waits_has_begun_and_arrives() {
    let mut sim = open_site(config());
    sim.submit(1, job(vec![StepSpec { estimate_ms: 60_000, ..step(8) }]));
    sim.submit(2, job(vec![step(4), StepSpec { after: vec![0], ..step(4) }]));
    let report = plan(&mut sim);
    assert_eq!(LineDigest::decode(&report.body).as_ref(), Some(&*report.digest));
    let line = pool(&report).expect("work waits");
    assert_eq!((line.capacity, line.coming), (8_000, 0));
    assert!((470_000..=480_000).contains(&line.begun), "{}", line.begun);
    assert_eq!(line.largest_free.cpu, 0);
    let [group] = &line.priorities[..] else { panic!("one priority") };
    let [class, running] = &group.classes[..] else { panic!("two classes: {group:?}") };
    assert_eq!((class.class, class.in_time, class.late), (size_class(8_000), 8_000, 0));
    assert_eq!((class.least, class.most, class.arriving), (8_000, 8_000, 8_000));
    assert_eq!((running.class, running.in_time), (size_class(480_000), 0));
    assert_eq!(running.arriving, 480_000);
    assert_eq!(line.models[0].expected_ms(1_000), 1_000);
    // The waiting job becomes late after its objective, and then loses its value.
    sim.advance(3_200);
    let report = plan(&mut sim);
    let class = pool(&report).expect("work waits").priorities[0].classes[0];
    assert_eq!((class.in_time, class.late, class.arriving), (0, 8_000, 0));
    sim.advance(12_000);
    let report = plan(&mut sim);
    let group = &pool(&report).expect("work waits").priorities[0];
    assert_eq!((group.classes.len(), group.behind), (0, 8_000));
}

/// Guards against rejections for a pool without waiting work, by a digest that names it.
#[test]
fn pools_without_waiting_work_are_left_out() {
    let mut sim = open_site(config());
    assert!(pool(&plan(&mut sim)).is_none());
    sim.submit(1, job(vec![step(8)]));
    assert!(pool(&plan(&mut sim)).is_none(), "all of it runs");
    sim.submit(2, job(vec![step(1)]));
    assert!(pool(&plan(&mut sim)).is_some());
    (0..8).for_each(|index| sim.end(task(job_id(1), 0, index), ExitKind::Done));
    assert!(pool(&plan(&mut sim)).is_none(), "the waiting job runs");
}

/// Guards against work in the digest that delays no other job: services, best-effort tasks, tasks
/// that need a label.
#[test]
fn work_that_says_nothing_about_waits_is_left_out() {
    let mut sim = open_site(config());
    sim.submit(2, job(vec![service_step(3)]));
    assert!(pool(&plan(&mut sim)).is_none(), "two of its tasks find no worker");
    let mut sim = open_site(config());
    sim.submit(1, job(vec![step(8)]));
    let labelled = StepSpec { required_label: Some("other".to_owned()), ..step(2) };
    sim.submit(3, job(vec![labelled]));
    let vast = ResourceVector { cpu: 100, memory: 90_000, accelerators: 0 };
    sim.submit(4, job(vec![StepSpec { is_best_effort: true, need: vast, ..step(2) }]));
    assert!(pool(&plan(&mut sim)).is_none());
}

/// Guards against digests that are computed more often than pools are planned, and against numbers
/// that do not increase.
#[test]
fn a_digest_is_computed_at_most_ten_times_a_second() {
    let mut sim = open_site(config());
    let first = plan(&mut sim).digest.number;
    for _ in 0..100 {
        sim.advance(10);
        list_vms(&mut sim);
    }
    let last = plan(&mut sim).digest.number;
    assert!(last > first && last - first <= 11, "{}", last - first);
}

/// Guards against a leader that goes on sending a digest that it does not renew: without a VM list
/// the capacity that is coming is unknown.
#[test]
fn without_a_vm_list_there_is_no_digest() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w0", "r0")]);
    sim.scheduler.enable_line(true);
    sim.submit(1, job(vec![step(80)]));
    sim.advance(1_000);
    assert!(sim.scheduler.line_report(sim.now).is_none());
    plan(&mut sim);
    let (now, report) = (sim.now, sim.scheduler.line_report(sim.now).expect("a digest"));
    assert!(sim.scheduler.line_report(report.computed_ms + 499).is_some());
    assert!(sim.scheduler.line_report(now + 500).is_none());
}

/// Guards against rejections by a new leader that has not reached its workers yet, and against
/// capacity that is forgotten because a worker does not answer for a moment.
#[test]
fn a_leader_that_knows_no_capacity_names_no_pool() {
    let mut sim = open_site(config());
    sim.submit(1, job(vec![step(80)]));
    assert!(pool(&plan(&mut sim)).is_some());
    sim.are_renewals_muted = true;
    sim.take_over(2, config());
    sim.scheduler.enable_line(true);
    let report = plan(&mut sim);
    assert_eq!(report.digest.term, 2);
    assert!(pool(&report).is_none(), "{:?}", pool(&report));
}

/// Guards against rejections while standby VMs can be called for.
#[test]
fn standby_vms_are_capacity_that_is_coming() {
    let mut sim = open_site(config());
    sim.submit(1, job(vec![step(80)]));
    let mut standby = vm(&worker("s0", "r1"), STANDBY);
    standby.worker = "".into();
    sim.scheduler.update_vms(vec![vm(&worker("w0", "r0"), POOL), standby], sim.now, sim.now);
    sim.advance(200);
    let report = sim.scheduler.line_report(sim.now).expect("a digest");
    let line = pool(&report).expect("work waits");
    assert_eq!((line.capacity, line.coming), (8_000, 8_000));
}

/// Guards against work of a lower priority that counts as ahead of a higher one.
#[test]
fn priorities_are_kept_apart() {
    let low = QueueSpec { priority: 3, ..queue("low", POOL) };
    let mut config = config();
    config.queues.push(low);
    let mut sim = open_site(config);
    sim.submit(1, job(vec![step(80)]));
    let mut submission = support::sim::submission(job(vec![step(2)]));
    submission.queue = "low".into();
    sim.append(&ibisweir::jobs::record::JobRecord::Submitted(job_id(2), submission.into()));
    let report = plan(&mut sim);
    let line = pool(&report).expect("work waits");
    let priorities: Vec<u32> = line.priorities.iter().map(|group| group.priority).collect();
    assert_eq!(priorities, [0, 3]);
    assert_eq!(line.priorities[1].classes[0].in_time, 2_000);
    let names: Vec<&str> = line.models.iter().map(|model| &*model.queue).collect();
    assert!(names.contains(&QUEUE) && names.contains(&"low"));
}

/// Guards against a leader that spends processor time on digests that nobody wants.
#[test]
fn no_digest_is_computed_unless_it_is_wanted() {
    let mut sim = open_site(config());
    sim.scheduler.enable_line(false);
    sim.submit(1, job(vec![step(80)]));
    list_vms(&mut sim);
    sim.advance(300);
    assert!(sim.scheduler.line_report(sim.now).is_none());
}

/// Guards against rejections by a leader with processor to spare, or of work that waits for capacity;
/// and against a digest that does not tell of the starts that wait for a leader short of processor.
#[test]
fn the_digest_tells_of_waiting_starts_while_the_loop_is_late() {
    let mut sim = open_site(config());
    sim.submit(1, job(vec![StepSpec { estimate_ms: 60_000, ..step(8) }]));
    sim.submit(2, job(vec![step(12), StepSpec { after: vec![0], ..step(3) }]));
    let waiting = |sim: &mut SchedulerSim| plan(sim).digest.starts;
    sim.scheduler.set_lasting_lateness(60);
    (0..8).for_each(|_| assert_eq!(waiting(&mut sim), None, "its pool is full"));
    // Four starts are on their way, as many as may be, and hold half of the pool.
    sim.is_lane_held = true;
    sim.scheduler.set_pace(FlowPace { starts_max: Some(4), ..FlowPace::default() });
    (0..8).for_each(|index| sim.end(task(job_id(1), 0, index), ExitKind::Done));
    (0..10).for_each(|_| drop(plan(&mut sim)));
    assert_eq!(waiting(&mut sim), Some(StartLine { waiting: 12, rate: 8 }));
    sim.scheduler.set_lasting_lateness(0);
    assert_eq!(waiting(&mut sim), None, "the loop is not late");
    // Nothing has begun for five seconds.
    sim.scheduler.set_lasting_lateness(60);
    (0..60).for_each(|_| drop(plan(&mut sim)));
    assert_eq!(waiting(&mut sim), None);
}

/// Guards against a leader that counts as short of processor after a single stall, and against one
/// that does not although its loop stays late.
#[test]
fn a_loop_counts_as_late_once_it_has_been_for_two_seconds() {
    let mut lateness = LastingLateness::default();
    let mut now = 10_000;
    let mut wake = |late_ms: u64| {
        now += 20 + late_ms;
        lateness.record_wake(Duration::from_millis(late_ms), now);
        lateness.lasting_ms()
    };
    assert!((0..100).all(|_| wake(1) <= 1));
    assert!(wake(5_000) <= 1);
    assert!((0..200).all(|_| wake(1) <= 1));
    let late: Vec<u64> = (0..100).map(|_| wake(60)).collect();
    assert!(late[..10].iter().all(|delay_ms| *delay_ms <= 1), "{late:?}");
    assert!(late[60..].iter().all(|delay_ms| *delay_ms >= 50), "{late:?}");
    assert!((0..20).all(|_| wake(2_500) > 50), "a loop that wakes less than once in a window");
    assert!((0..150).map(|_| wake(1)).last() <= Some(1));
}
