//! Orders of events in which a start or a cancelled job could outlast its time bound.

mod support;

use std::sync::{Arc, mpsc};
use std::thread;
use std::time::Duration;

use ibisweir::decide::access::OrganisationDigest;
use ibisweir::jobs::job_table::JobTable;
use ibisweir::jobs::model::JobState;
use ibisweir::jobs::node::JobNode;
use ibisweir::jobs::record::{JobProgress, JobRecord};
use ibisweir::scheduler::worker::WorkerState;
use ibisweir::scheduler::{Scheduler, SchedulerStart};
use support::fakes::{idle_node, lead};
use support::sim::{
    START_MS, SchedulerSim, WALL_OFFSET_MS, bounds, config, job, job_id, step, submission, task,
    worker,
};

/// Time given to a thread to proceed.
const TURN: Duration = Duration::from_millis(300);

/// Guards against a view of the jobs that counts as fresh before the scheduler has applied its
/// records: a reader has moved the job table's end past a cancellation and waits for the scheduler,
/// while an append of the leader is folded.
#[test]
fn the_job_view_is_not_fresh_before_the_scheduler_has_applied_it() {
    let node = idle_node();
    lead(&node);
    node.fold_appended(&[], 0, 0);
    let reader = node.clone();
    let committer = node.clone();
    let (sender, is_whole) = mpsc::channel();
    node.with_scheduler(|_| {
        let _reading = thread::spawn(move || {
            reader.fold_read(vec![(0, JobRecord::Cancelled(job_id(1)))], 1);
        });
        thread::sleep(TURN);
        thread::spawn(move || sender.send(committer.fold_appended(&[], 1, 1)));
        let outcome = is_whole.recv_timeout(TURN);
        assert_ne!(outcome, Ok(true), "the scheduler has not applied the cancellation");
    });
}

/// Guards against a start that was sent to one incarnation of a worker and is accepted by the next
/// one, whose clock starts at zero, long after the cancellation of its job was acknowledged.
#[test]
fn a_delayed_start_is_refused_by_the_next_incarnation_of_its_worker() {
    let mut sim = SchedulerSim::open_with_incarnations(config(), vec![worker("w1", "r1")]);
    sim.advance(20_000);
    sim.workers.get_mut("w1@0").expect("known").is_late = true;
    let id = sim.submit(1, job(vec![step(1)]));
    let next = sim.restart_worker("w1@0");
    // The leader is partitioned from it, and reads the cancellation.
    sim.are_renewals_muted = true;
    sim.workers.get_mut(&next).expect("known").started_ms = sim.now;
    sim.append(&JobRecord::Cancelled(id));
    sim.now += bounds().cancel_ms + 1_000;
    sim.deliver_late(&next);
    assert_eq!(sim.starts(task(id, 0, 0)), 0);
}

/// Guards against a start that may begin late on a worker whose clock stood still for a while,
/// because its clock readings since then are treated as answers that were long on their way.
#[test]
fn a_clock_reading_after_a_standstill_is_accepted() {
    let mut stood = WorkerState::new(worker("w0", "r0"), 0, 0);
    stood.sample_clock(50_000, 100_000);
    for seconds in 0..20 {
        let ms = seconds * 1_000;
        stood.sample_clock(50_100 + ms, 110_000 + ms);
    }
    let (now, deadline_ms) = (129_100, 131_000);
    let until = stood.start_until(5_800, deadline_ms, now).expect("its clock is known");
    assert!(until <= 50_100 + deadline_ms - 110_000, "{until}");
}

/// Guards against leases that are declared over too soon on such a worker: its clock reaches their
/// end later.
#[test]
fn leases_last_longer_on_a_worker_whose_clock_stood_still() {
    let mut stood = WorkerState::new(worker("w0", "r0"), 0, 0);
    stood.sample_clock_since(50_000, 100_000, 100_000);
    let until = stood.lease_until(5_800, 100_000).expect("its clock is known");
    stood.sample_clock_since(50_100, 103_000, 103_010);
    let left_ms = until - 50_100;
    assert!(stood.lease_bound_ms() >= 103_000 + left_ms, "{}", stood.lease_bound_ms());
}

/// Guards against a lease longer than the longest that a successor waits for: the worker was idle
/// and its clock is slow, and a worker counts a lease that arrives late from its arrival.
#[test]
fn a_lease_after_an_idle_time_keeps_to_the_maximum() {
    let mut idle = WorkerState::new(worker("w0", "r0"), 0, 0);
    idle.sample_clock_since(50_000, 100_000, 100_000);
    let shown_ms = 50_000 + 60_000 * 98 / 100;
    let until = idle.lease_until(5_800, 160_000).expect("its clock is known");
    assert!(until <= shown_ms + bounds().lease_max_ms, "{} ms", until - shown_ms);
}

/// Guards against an answer that was long on its way and is treated as a sign that the clock stood
/// still.
#[test]
fn a_late_answer_does_not_set_a_clock_back() {
    let mut late = WorkerState::new(worker("w0", "r0"), 0, 0);
    late.sample_clock_since(50_000, 100_000, 100_000);
    late.sample_clock_since(50_100, 100_050, 103_000);
    late.sample_clock_since(49_900, 99_800, 103_000);
    assert_eq!(late.lease_until(1_000, 104_000), Some(55_000));
}

/// Guards against a cancelled job that runs when its submission is repeated: the wall clock of a
/// new leader is ahead of its predecessor's, and the job would be dropped from the log at once.
#[test]
fn a_leader_whose_wall_clock_is_ahead_keeps_a_cancelled_job() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w0", "r0")]);
    let id = sim.submit(1, job(vec![step(1)]));
    sim.append(&JobRecord::Cancelled(id));
    sim.advance(1_000);
    let wall_ms = WALL_OFFSET_MS + sim.now + bounds().status_ms + 60_000;
    let start = SchedulerStart {
        term: 2,
        bounds: bounds(),
        config: Arc::new(config()),
        predecessor: None,
        confirmed_ms: sim.now,
        jobs_read_ms: sim.now,
        workers_read_ms: sim.now,
        now: sim.now,
        wall_ms,
    };
    let mut successor = Scheduler::open(start, &sim.job_table);
    successor.tick(sim.now, wall_ms);
    while let Some(batch) = successor.take_commit() {
        for record in &batch.decoded {
            sim.job_table.fold(record, sim.end);
            sim.end += 1;
        }
        successor.committed(&batch, sim.now);
    }
    let repeat = JobRecord::Submitted(id, Arc::new(submission(job(vec![step(1)]))));
    successor.apply_record(&repeat, sim.now);
    assert_eq!(successor.stats().jobs, 0, "it runs");
}

/// Commits all changes, and counts the records that drop jobs and tombstones from the log.
fn drops(scheduler: &mut Scheduler, now: u64) -> usize {
    let mut dropped = 0;
    while let Some(batch) = scheduler.take_commit() {
        let is_drop = |record: &&JobRecord| {
            matches!(record, JobRecord::Dropped(_) | JobRecord::TombstoneDropped(..))
        };
        dropped += batch.decoded.iter().filter(is_drop).count();
        scheduler.committed(&batch, now);
    }
    dropped
}

/// Guards against the same if the clock of the leader itself is set forward, for jobs and for
/// cancellations of unknown jobs.
#[test]
fn a_wall_clock_that_is_set_forward_drops_nothing() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w0", "r0")]);
    let id = sim.submit(1, job(vec![step(1)]));
    sim.append(&JobRecord::Cancelled(id));
    sim.append(&JobRecord::CancelledBy(job_id(2), OrganisationDigest::of(None)));
    sim.advance(1_000);
    let (now, kept_ms) = (sim.now, bounds().status_ms + 31_000);
    sim.scheduler.tick(now, WALL_OFFSET_MS + now + 10 * kept_ms);
    assert_eq!(drops(&mut sim.scheduler, now), 0);
    sim.scheduler.tick(now + kept_ms, WALL_OFFSET_MS + now);
    assert_eq!(drops(&mut sim.scheduler, now + kept_ms), 2, "both are old by now");
}

/// Guards against jobs that are kept forever because each new leader counts from its own start: it
/// must count from when its process learned that the job was over.
#[test]
fn a_successor_drops_jobs_that_it_has_long_known_to_be_over() {
    let node = idle_node();
    let progress = JobProgress {
        term: 1,
        state: JobState::Completed,
        ended_ms: 1,
        occurrences_done: 1,
        steps_done: Vec::new(),
        tasks: Vec::new(),
        workers: Vec::new(),
        restarts: Vec::new(),
        last_alive_ms: Vec::new(),
        failed_runs: Vec::new(),
        lost_runs: Vec::new(),
    };
    let records = vec![
        (0, JobRecord::Submitted(job_id(1), Arc::new(submission(job(vec![step(1)]))))),
        (1, JobRecord::Progress(job_id(1), Arc::new(progress))),
    ];
    node.fold_read(records, 2);
    lead_from_job_table(&node);
    let (now, kept_ms) = (node.now(), bounds().status_ms + 31_000);
    let dropped_at = |now: u64| {
        node.with_scheduler(|scheduler| {
            scheduler.confirm(now);
            scheduler.tick(now, WALL_OFFSET_MS + now);
            drops(scheduler, now)
        })
    };
    assert_eq!(dropped_at(now + kept_ms - 2_000), Some(0));
    assert_eq!(dropped_at(now + kept_ms), Some(1));
}

/// Makes an entry the leader with the state of its job table, long after it learned that state.
fn lead_from_job_table(node: &JobNode) {
    let late = node.now() + bounds().status_ms;
    let start = SchedulerStart {
        term: 2,
        bounds: bounds(),
        config: Arc::new(config()),
        predecessor: None,
        confirmed_ms: late,
        jobs_read_ms: late,
        workers_read_ms: late,
        now: late,
        wall_ms: WALL_OFFSET_MS + late,
    };
    let scheduler = Scheduler::open(start, &node.job_table());
    node.set_scheduler(Some(scheduler));
}

/// Guards against a cancellation that is acknowledged but missing from the log: an earlier one of
/// the same id is being dropped, and the drop is appended after the new one.
#[test]
fn a_cancellation_is_not_dropped_with_an_earlier_one() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w0", "r0")]);
    let id = job_id(1);
    sim.append(&JobRecord::Cancelled(id));
    sim.is_log_up = false;
    sim.advance(bounds().status_ms + 31_000);
    sim.scheduler.relay(7, vec![JobRecord::Cancelled(id)], sim.now);
    let mut job_table = JobTable::default();
    let mut end = START_MS;
    let mut is_acknowledged = false;
    while let Some(batch) = sim.scheduler.take_commit() {
        for record in &batch.decoded {
            job_table.fold(record, end);
            end += 1;
        }
        is_acknowledged |= batch.relayed.contains(&7);
        sim.scheduler.committed(&batch, sim.now);
    }
    assert!(is_acknowledged);
    assert!(job_table.get(id).is_some_and(|job| job.is_cancelled));
}

/// Guards against work that lapses because its only lease is that of its start: all other runs of
/// the worker are being stopped, so its leases were not renewed for a while.
#[test]
fn a_worker_with_only_stopping_runs_gets_a_lease_before_its_next_start() {
    let mut sim = SchedulerSim::open(config(), vec![worker("w0", "r0")]);
    let first = sim.submit(1, job(vec![step(1)]));
    sim.advance(1_000);
    sim.workers.get_mut("w0").expect("known").are_stops_lost = true;
    sim.append(&JobRecord::Cancelled(first));
    sim.advance(4_500);
    assert_eq!(sim.alive(task(first, 0, 0)), 1, "its stops are lost");
    sim.immediate_renewals.clear();
    sim.are_renewals_muted = true;
    sim.is_log_up = false;
    sim.submit(2, job(vec![step(1)]));
    let left_ms = sim.workers["w0"].lease_until_ms - sim.now;
    assert!(sim.immediate_renewals.contains(&"w0".into()), "{left_ms} ms are left");
}
