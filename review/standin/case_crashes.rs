//! A job of which one task loses its worker five times within half a minute, while the others are at
//! work on sound workers: one that lasts, or one whose tasks each take 40 s.

use std::time::{Duration, Instant};

use crate::record::Record;
use crate::site::Span;
use crate::{Deployment, POOL, PREFIX, Verdict, wait_until};

const JOB: &str = "5c0e7a21d94b36f8";
const TASKS: u64 = 7;
const MAY_MISS: usize = 1;
const CRASHES: usize = 5;
/// Time from the start of the task until its worker crashes, and until that is up again.
const WORK: Duration = Duration::from_millis(1_500);
const DOWN: Duration = Duration::from_millis(1_000);
/// Least number of workers of which one may be down: 0.143 is within the share of 0.15.
const WORKERS_MIN: usize = 7;
/// The bound `notice-ms` of the site.
const NOTICE: Duration = Duration::from_millis(4_500);
/// Time from the start of the case after which no worker crashes.
const CRASHES_END_S: f64 = 70.0;

fn task(index: u64) -> String {
    format!("{JOB}.0.0.{index}")
}

/// The job that lasts: no more of its tasks may be stopped than may be missing.
pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let fields = format!("\"est-ms\":900,\"long-running\":true,\"may-miss\":{MAY_MISS}");
    let seen = match crash(record, has_trouble, "lasts ms=900", &fields) {
        Ok(seen) => seen,
        Err(text) => return Verdict::NotRun(text),
    };
    let broken = over_budget(&seen.history);
    let text = format!(
        "after {} crashes the job is shown as {:?}; {} tasks at work on sound workers were stopped \
         while {MAY_MISS} or more others were away",
        seen.crashes,
        seen.state,
        broken.len()
    );
    match (broken.is_empty(), seen.state.as_deref()) {
        (false, _) => Verdict::Broken(text),
        (true, Some("running")) => Verdict::Held(text),
        (true, _) => Verdict::NotRun(text),
    }
}

/// Tasks that a stop has ended at work while as many others as may be missing were away: ended by a
/// stop and not at work since, or not at work for `notice-ms`. No worker drains in this case.
fn over_budget(history: &[Span]) -> Vec<String> {
    let mut broken = Vec::new();
    for span in history {
        let Some(stop) = span.ended.filter(|end| end.how == "stopped" && end.at >= span.at_work)
        else {
            continue;
        };
        let is_away = |other: &String| {
            let runs = || history.iter().filter(|run| run.task == *other);
            let is_up = |run: &Span, from: Instant| {
                run.at_work <= stop.at
                    && run.ended.is_none_or(|end| {
                        end.order > stop.order || end.at >= from && end.at > run.at_work
                    })
            };
            let is_at_work = runs().any(|run| is_up(run, stop.at + NOTICE));
            let last = runs().filter_map(|run| run.ended).filter(|end| end.order < stop.order);
            let was_stopped = last.max_by_key(|end| end.order).is_some_and(|e| e.how == "stopped");
            let was_lately = runs().any(|run| is_up(run, stop.at - NOTICE));
            !is_at_work && was_stopped || !was_lately
        };
        let others = (0..TASKS).map(task).filter(|other| *other != span.task);
        if others.filter(is_away).count() >= MAY_MISS {
            broken.push(span.task.clone());
        }
    }
    broken
}

/// The job that ends: it may be shown as failed only after failed runs.
pub fn play_batch(record: &Record, has_trouble: bool) -> Verdict {
    let Seen { state, crashes, .. } =
        match crash(record, has_trouble, "ms=40000", "\"est-ms\":40000") {
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

/// What was seen.
struct Seen {
    state: Option<String>,
    crashes: usize,
    history: Vec<Span>,
}

/// Plays the crashes.
fn crash(record: &Record, has_trouble: bool, spec: &str, fields: &str) -> Result<Seen, String> {
    let machines = ["m-1", "m-2", "m-3", "m-4", "m-5", "m-6", "m-7", "m-8", "m-9"];
    let opened = Deployment::open(record, 3, |site| {
        machines.iter().for_each(|name| site.add_machine(name, POOL, 16_000, false));
    });
    let Some(deployment) = opened else {
        return Err("the entries were not ready in 15 s".to_owned());
    };
    std::thread::sleep(Duration::from_secs(1));
    let body = format!(
        "{{\"spec\":\"{spec}\",\"steps\":[{{\"count\":{TASKS},\"cpu\":16000,\"mem-mb\":1024,\
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
            let workers = site.pool_size(POOL);
            if workers < WORKERS_MIN {
                return Err(format!("the service has {workers} workers: one is over the share"));
            }
            record.line(&format!("one of {workers} workers of the service crashes"));
            site.crash(&machine, DOWN);
            crashes += 1;
        }
    }
    record.line(&format!("{crashes} crashes"));
    std::thread::sleep(Duration::from_secs(10));
    let history = site.history();
    Ok(Seen { state: deployment.state(JOB), crashes, history })
}
