//! A scheduled job whose occurrences come a little faster than the pool runs them, and a planned
//! restart of the process that leads while one occurrence waits behind a later one.

use std::time::Duration;

use crate::json::Value;
use crate::record::Record;
use crate::{Deployment, POOL, PREFIX, Verdict, wait_until};

const JOB: &str = "5c0e7a21d94b36f8";
const OCCURRENCES: u64 = 7;
const INTERVAL_MS: u64 = 2_000;
const TASK_MS: u64 = 3_000;
/// Time from the start of the case by which the job has to be shown as over.
const END_S: f64 = 95.0;

fn task(occurrence: u64) -> String {
    format!("{JOB}.{occurrence}.0.0")
}

fn has_begun(record: &Record, occurrence: u64) -> bool {
    record.has(&["starts", &format!("{} run", task(occurrence))])
}

fn is_done(record: &Record, occurrence: u64) -> bool {
    record.has(&[&format!("{} run", task(occurrence)), "ends done"])
}

/// An occurrence that has not begun though a later one has.
fn overtaken(record: &Record) -> Option<u64> {
    (0..OCCURRENCES).find(|occurrence| {
        let later = occurrence + 1..OCCURRENCES;
        !has_begun(record, *occurrence) && later.into_iter().any(|l| has_begun(record, l))
    })
}

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let opened = Deployment::open(record, 3, |site| site.add_machine("m-1", POOL, 16_000, false));
    let Some(mut deployment) = opened else {
        return Verdict::NotRun("the entries were not ready in 15 s".to_owned());
    };
    std::thread::sleep(Duration::from_secs(1));
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    let first_ms = now.as_millis() as u64 + 500;
    let body = format!(
        "{{\"spec\":\"ms={TASK_MS}\",\"steps\":[{{\"count\":1,\"cpu\":16000,\"mem-mb\":1024,\
         \"est-ms\":{TASK_MS}}}],\"repeats\":{OCCURRENCES},\"first-ms\":{first_ms},\
         \"interval-ms\":{INTERVAL_MS}}}"
    );
    debug_assert!(Value::parse(&body).is_some());
    match deployment.client("POST", &format!("{PREFIX}{JOB}"), &body) {
        Some((status, _)) if (200..300).contains(&status) => {}
        other => return Verdict::NotRun(format!("the job was not accepted: {other:?}")),
    }
    if !wait_until(Duration::from_secs(30), || overtaken(record).is_some()) {
        return Verdict::NotRun("no occurrence was overtaken by a later one".to_owned());
    }
    let overtaken = overtaken(record).unwrap_or(0);
    record.line(&format!("occurrence {overtaken} waits while a later one has begun"));
    std::thread::sleep(Duration::from_millis(500));
    if has_trouble {
        let Some(leader) = deployment.leader() else {
            return Verdict::NotRun("no entry says that it leads".to_owned());
        };
        deployment.entries[leader].restart();
    }
    let mut state = None;
    while record.seconds() < END_S {
        state = deployment.state(JOB);
        if matches!(state.as_deref(), Some("completed" | "failed" | "cancelled" | "410")) {
            break;
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    // Nothing may run on after the job is over.
    std::thread::sleep(Duration::from_secs(5));
    let missing: Vec<u64> = (0..OCCURRENCES).filter(|k| !is_done(record, *k)).collect();
    match (state.as_deref(), missing.is_empty()) {
        (Some("completed"), true) => {
            Verdict::Held("completed, and each task ended done".to_owned())
        }
        (Some("completed"), false) => {
            let names: Vec<String> = missing.into_iter().map(task).collect();
            Verdict::Broken(format!("shown as completed, and never done: {}", names.join(", ")))
        }
        (state, _) => Verdict::Broken(format!("an accepted job is shown as {state:?}")),
    }
}
