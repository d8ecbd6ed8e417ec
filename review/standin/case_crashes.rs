//! A job of which one task loses its worker five times within half a minute, while the others are at
//! work on sound workers: one that lasts, or one whose tasks each take 40 s.

use std::time::Duration;

use crate::record::Record;
use crate::{Deployment, POOL, PREFIX, Verdict, wait_until};

const JOB: &str = "5c0e7a21d94b36f8";
const TASKS: u64 = 7;
const MAY_MISS: usize = 1;
const CRASHES: usize = 5;
/// Time from the start of the task until its worker crashes, and until that is up again.
const WORK: Duration = Duration::from_millis(1_500);
const DOWN: Duration = Duration::from_millis(1_000);

/// Time from the start of the case after which no worker crashes.
const CRASHES_END_S: f64 = 70.0;

fn task(index: u64) -> String {
    format!("{JOB}.0.0.{index}")
}

/// The job that lasts: no more of its tasks may be stopped than may be missing.
pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let fields = format!("\"est-ms\":900,\"long-running\":true,\"may-miss\":{MAY_MISS}");
    let (state, crashes) = match crash(record, has_trouble, 900_000, &fields) {
        Ok(seen) => seen,
        Err(text) => return Verdict::NotRun(text),
    };
    let is_stopped = |index: &u64| record.has(&[&format!("{} run", task(*index)), "ends stopped"]);
    let stopped = (1..TASKS).filter(is_stopped).count();
    let text = format!(
        "after {crashes} crashes the job is shown as {state:?}, and {stopped} of its other tasks \
         were stopped at work on sound workers, {MAY_MISS} may be"
    );
    match (stopped > MAY_MISS, state.as_deref()) {
        (true, _) => Verdict::Broken(text),
        (false, Some("running")) => Verdict::Held(text),
        (false, _) => Verdict::NotRun(text),
    }
}

/// The job that ends: it may be shown as failed only after failed runs.
pub fn play_batch(record: &Record, has_trouble: bool) -> Verdict {
    let (state, crashes) = match crash(record, has_trouble, 40_000, "\"est-ms\":40000") {
        Ok(seen) => seen,
        Err(text) => return Verdict::NotRun(text),
    };
    let failed = record.count(&[JOB, "ends failed"]);
    let text = format!("after {crashes} crashes and {failed} failed runs it is shown as {state:?}");
    match (state.as_deref(), failed) {
        (Some("failed"), 0) => Verdict::Broken(text),
        (Some("running" | "completed"), _) => Verdict::Held(text),
        _ => Verdict::NotRun(text),
    }
}

/// Plays the crashes; state of the job after them, and their number.
fn crash(
    record: &Record,
    has_trouble: bool,
    task_ms: u64,
    fields: &str,
) -> Result<(Option<String>, usize), String> {
    // One of at least seven workers of the service is down at a time: 0.143, within the share of 0.15.
    let machines = ["m-1", "m-2", "m-3", "m-4", "m-5", "m-6", "m-7", "m-8", "m-9"];
    let opened = Deployment::open(record, 3, |site| {
        machines.iter().for_each(|name| site.add_machine(name, POOL, 16_000, false));
    });
    let Some(deployment) = opened else {
        return Err("the entries were not ready in 15 s".to_owned());
    };
    std::thread::sleep(Duration::from_secs(1));
    let body = format!(
        "{{\"spec\":\"ms={task_ms}\",\"steps\":[{{\"count\":{TASKS},\"cpu\":16000,\"mem-mb\":1024,\
         {fields}}}]}}"
    );
    match deployment.client("POST", &format!("{PREFIX}{JOB}"), &body) {
        Some((status, _)) if (200..300).contains(&status) => {}
        other => return Err(format!("the job was not accepted: {other:?}")),
    }
    let site = &deployment.site;
    let all_run = || (0..TASKS).all(|index| site.worker_of(&task(index)).is_some());
    if !wait_until(Duration::from_secs(5), all_run) {
        return Err("the tasks were not started".to_owned());
    }
    // The other tasks have been at work for a while.
    std::thread::sleep(Duration::from_secs(3));
    let mut crashes = 0;
    while has_trouble && crashes < CRASHES && record.seconds() < CRASHES_END_S {
        let mut found = None;
        let has_run = wait_until(Duration::from_secs(20), || {
            found = site.worker_of(&task(0));
            found.is_some()
        });
        if !has_run {
            break;
        }
        std::thread::sleep(WORK);
        if let Some((machine, life)) = found
            && site.worker_of(&task(0)) == Some((machine.clone(), life))
        {
            site.crash(&machine, DOWN);
            crashes += 1;
        }
    }
    record.line(&format!("{crashes} crashes"));
    std::thread::sleep(Duration::from_secs(10));
    Ok((deployment.state(JOB), crashes))
}
