//! What the job log keeps of a job can be read back, also as earlier versions wrote it.

mod support;

use std::sync::Arc;

use ibisweir::jobs::model::JobState;
use ibisweir::jobs::record::{JobProgress, JobRecord, LossCount, TaskProgress, TaskSetbacks};
use support::stage::job_id;

fn progress(setbacks: Vec<TaskSetbacks>) -> JobProgress {
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
        setbacks,
    }
}

#[test]
fn setbacks_of_a_task_are_read_back() {
    let losses = LossCount { all: 2, at_start: 1 };
    let setbacks = vec![TaskSetbacks { occurrence: 0, step: 0, index: 3, losses, moves: 1 }];
    let record = JobRecord::Progress(job_id(1), Arc::new(progress(setbacks)));
    let keyed = record.encode().expect("a record");
    assert_eq!(JobRecord::decode(&keyed.key, &keyed.value), Some(record));
}

/// An entry of this version takes over from one that kept no count of lost workers. Its records end before that
/// list. Taken for malformed, they would hide every run that is alive, and callers' tasks would run twice.
#[test]
fn a_record_from_before_setbacks_were_kept_is_read_as_one_without() {
    let record = JobRecord::Progress(job_id(1), Arc::new(progress(Vec::new())));
    let keyed = record.encode().expect("a record");
    let (last, before) = keyed.value.split_last().expect("not empty");
    assert_eq!(*last, 0, "the empty list is one byte");
    assert_eq!(JobRecord::decode(&keyed.key, before), Some(record));
}
