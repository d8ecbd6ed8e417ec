//! Records of the job log can be decoded, also in the form that earlier versions wrote.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;

use ibisweir::decide::access::OrganisationDigest;
use ibisweir::jobs::model::{JobState, OCCURRENCES_MAX, TASKS_MAX};
use ibisweir::jobs::record::{
    JobProgress, JobRecord, KeyedRecord, LossCount, LostVm, TaskProgress, TaskRestarts,
};
use support::sim::{job_id, site_settings, task};

fn progress(restarts: Vec<TaskRestarts>) -> JobProgress {
    let task = TaskProgress {
        occurrence: 0,
        step: 0,
        index: 3,
        run: 2,
        failures: 1,
        is_done: false,
        live: vec![(0, 2)],
        checkpoint: "0af".to_owned(),
    };
    JobProgress {
        term: 7,
        state: JobState::Running,
        ended_ms: 0,
        occurrences_done: 0,
        steps_done: vec![(0, 1)],
        tasks: vec![task],
        workers: vec!["w1".into()],
        last_alive_ms: vec![1_700; restarts.len()],
        restarts,
        failed_runs: Vec::new(),
        lost_runs: Vec::new(),
    }
}

#[test]
fn restart_counts_of_a_task_can_be_decoded() {
    let losses = LossCount { total: 2, at_start: 1 };
    let restarts = vec![TaskRestarts { occurrence: 0, step: 0, index: 3, losses, moves: 1 }];
    let record = JobRecord::Progress(job_id(1), Arc::new(progress(restarts)));
    let keyed = record.encode().expect("a record");
    assert_eq!(JobRecord::decode(&keyed.key, &keyed.value), Some(record));
}

/// Guards against a successor that does not know the losses of a pool because their record can't be
/// decoded.
#[test]
fn losses_of_a_pool_can_be_decoded() {
    let address = SocketAddr::from(([127, 0, 0, 2], 9_000));
    let lost = LostVm { address, lost_ms: 1_700, running_tasks: vec![task(job_id(4), 0, 1)] };
    let record = JobRecord::Losses("render".into(), Arc::new(vec![lost]));
    let keyed = record.encode().expect("a record");
    assert_eq!(keyed.key, "lrender");
    assert_eq!(JobRecord::decode(&keyed.key, &keyed.value), Some(record));
}

/// Guards against tasks that run twice: this version takes over from one that kept no restart
/// counts, whose records end before that list. If they were rejected as malformed, all live runs
/// would be unknown.
#[test]
fn a_record_without_restart_counts_can_be_decoded() {
    let record = JobRecord::Progress(job_id(1), Arc::new(progress(Vec::new())));
    let keyed = record.encode().expect("a record");
    let (before, empty_lists) = keyed.value.split_at(keyed.value.len() - 2);
    assert_eq!(empty_lists, [0, 0], "each empty list is one byte");
    assert_eq!(JobRecord::decode(&keyed.key, before), Some(record.clone()));
    let (earliest, empty_lists) = keyed.value.split_at(keyed.value.len() - 4);
    assert_eq!(empty_lists, [0; 4], "each empty list is one byte");
    assert_eq!(JobRecord::decode(&keyed.key, earliest), Some(record));
}

/// Guards against a successor that does not know the jobs of which an earlier version wrote
/// records, and against an entry of that version that does not know those of this one.
#[test]
fn a_record_without_the_times_of_last_runs_can_be_decoded() {
    let losses = LossCount { total: 2, at_start: 1 };
    let restarts = vec![TaskRestarts { occurrence: 0, step: 0, index: 3, losses, moves: 1 }];
    let without_times = JobProgress { last_alive_ms: Vec::new(), ..progress(restarts) };
    let record = JobRecord::Progress(job_id(1), Arc::new(without_times));
    let keyed = record.encode().expect("a record");
    let (last, before) = keyed.value.split_last().expect("not empty");
    assert_eq!(*last, 0, "the empty list is one byte");
    assert_eq!(JobRecord::decode(&keyed.key, before), Some(record.clone()));
    let (earlier, empty_lists) = keyed.value.split_at(keyed.value.len() - 3);
    assert_eq!(empty_lists, [0; 3], "each empty list is one byte");
    assert_eq!(JobRecord::decode(&keyed.key, earlier), Some(record.clone()));
    // That version ignores the lists as trailing bytes.
    let longer = [&keyed.value[..], &[1, 7]].concat();
    assert_eq!(JobRecord::decode(&keyed.key, &longer), Some(record));
}

/// Guards against a failed run of a gang or a lost worker that a successor counts again, and against
/// records of earlier versions, without these lists, that can't be decoded.
#[test]
fn a_record_with_counted_runs_can_be_decoded_and_one_without() {
    let with_counted_runs =
        JobProgress { failed_runs: vec![(0, 2)], lost_runs: vec![(0, 2)], ..progress(Vec::new()) };
    let record = JobRecord::Progress(job_id(1), Arc::new(with_counted_runs));
    let keyed = record.encode().expect("a record");
    assert_eq!(JobRecord::decode(&keyed.key, &keyed.value), Some(record));
    let record = JobRecord::Progress(job_id(1), Arc::new(progress(Vec::new())));
    let keyed = record.encode().expect("a record");
    let before = &keyed.value[..keyed.value.len() - 2];
    assert_eq!(JobRecord::decode(&keyed.key, before), Some(record));
}

/// Guards against an incompatible cancellation record. Without API keys it must be the same as in
/// earlier versions, so that each version reads those of the other.
#[test]
fn a_cancellation_is_encoded_as_in_earlier_versions() {
    let keyed = JobRecord::Cancelled(job_id(1)).encode().expect("a record");
    let before = KeyedRecord { key: "x0000000000000001".to_owned(), value: vec![1] };
    assert_eq!(keyed, before);
    assert_eq!(JobRecord::decode(&keyed.key, &keyed.value), Some(JobRecord::Cancelled(job_id(1))));
}

/// Guards against a cancellation of one organisation that replaces another's, or is never dropped.
#[test]
fn a_cancellation_with_an_organisation_digest_has_its_own_key() {
    let name = |name: &str| OrganisationDigest::of(Some(&name.into()));
    let digests =
        [OrganisationDigest::of(None), name("east"), name("a name, of \"several\" words & more")];
    let mut keys = vec![JobRecord::Cancelled(job_id(1)).encode().expect("a record").key];
    for digest in digests {
        let record = JobRecord::CancelledBy(job_id(1), digest);
        let keyed = record.encode().expect("a record");
        assert_eq!(JobRecord::decode(&keyed.key, &keyed.value), Some(record));
        let drop = JobRecord::drop_tombstone(job_id(1), digest);
        assert_eq!(drop.key, keyed.key);
        let dropped = JobRecord::TombstoneDropped(job_id(1), digest);
        assert_eq!(JobRecord::decode(&drop.key, &drop.value), Some(dropped));
        assert!(!keys.contains(&keyed.key));
        keys.push(keyed.key);
    }
    for key in ["x0000000000000001.", "x0000000000000001.12", "x1.0000000000000000"] {
        assert_eq!(JobRecord::decode(key, &[1]), None, "{key}");
    }
}

/// Guards against a takeover from the version before in which jobs are read wrongly: bytes that it
/// wrote.
#[test]
fn a_record_that_the_version_before_wrote_can_be_decoded() {
    let written = [
        7, 1, 0, 2, 1, 2, 1, 2, 4, 0, 0, 2, 1, 0, 1, 0, 2, 3, 48, 97, 102, 4, 0, 1, 1, 0, 1, 0, 3,
        48, 97, 102, 1, 2, 119, 49, 1, 4, 0, 0, 2, 1, 1, 1, 164, 13,
    ];
    let task = |index, run, failures, is_done, live| TaskProgress {
        occurrence: 4,
        step: 0,
        index,
        run,
        failures,
        is_done,
        live,
        checkpoint: "0af".to_owned(),
    };
    let losses = LossCount { total: 2, at_start: 1 };
    let expected = JobProgress {
        occurrences_done: 2,
        steps_done: vec![(2, 1)],
        tasks: vec![task(0, 2, 1, false, vec![(0, 2)]), task(1, 1, 0, true, Vec::new())],
        ..progress(vec![TaskRestarts { occurrence: 4, step: 0, index: 0, losses, moves: 1 }])
    };
    let decoded = JobRecord::decode("p0000000000000001", &written);
    assert_eq!(decoded, Some(JobRecord::Progress(job_id(1), Arc::new(expected))));
}

/// Guards against a progress record that the log refuses for its size, which would block every later
/// commit: the largest job, with every list full and each task on a worker of its own.
#[test]
fn the_progress_of_the_largest_job_fits_into_a_record() {
    let tasks = u32::try_from(TASKS_MAX).expect("few");
    let (occurrence, step, run) = (OCCURRENCES_MAX, 255, 1_000);
    let losses = LossCount { total: 4, at_start: 2 };
    let counted_runs: Vec<(u16, u32)> =
        (0..tasks).map(|index| (u16::try_from(index).expect("few"), run)).collect();
    let largest = JobProgress {
        tasks: (0..tasks)
            .map(|index| TaskProgress {
                occurrence,
                step,
                index,
                run,
                failures: 2,
                is_done: false,
                live: vec![(u16::try_from(index).expect("few"), run)],
                checkpoint: "0123456789abcdef".to_owned(),
            })
            .collect(),
        workers: (0..tasks).map(|index| format!("{index:026}@1700000000000").into()).collect(),
        restarts: (0..tasks)
            .map(|index| TaskRestarts { occurrence, step, index, losses, moves: 2 })
            .collect(),
        last_alive_ms: vec![1_700_000_000_000; TASKS_MAX],
        failed_runs: counted_runs.clone(),
        lost_runs: counted_runs,
        ..progress(Vec::new())
    };
    let record = JobRecord::Progress(job_id(1), Arc::new(largest)).encode().expect("a record");
    let bytes = record.key.len() + record.value.len();
    assert!(bytes <= site_settings().record_bytes_max, "{bytes} bytes");
}
