//! A queue is removed while a job of it is open, the entries are restarted in turn, and the job's task
//! fails once. The queue is added again, so that the client can ask for the job.

use std::time::Duration;

use crate::record::Record;
use crate::{ATTEMPTS, Deployment, POOL, PREFIX, Verdict, config, wait_until};

const JOB: &str = "5c0e7a21d94b36f8";
/// Prefix of the queue that is removed.
const REMOVED: &str = "/more/";
/// Longer than the restarts of all entries take.
const TASK_MS: u64 = 14_000;

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let machines = ["m-1", "m-2"];
    let opened = Deployment::open(record, 3, |site| {
        machines.iter().for_each(|name| site.add_machine(name, POOL, 16_000, false));
    });
    let Some(mut deployment) = opened else {
        return Verdict::NotRun("the entries were not ready in 15 s".to_owned());
    };
    let configure = |deployment: &Deployment, version: u64, prefixes: &[&str]| {
        record.line(&format!("operator: version {version}, queues {prefixes:?}"));
        deployment.store.put("keyed.op", "config", &config(version, prefixes).to_string());
        std::thread::sleep(Duration::from_secs(2));
    };
    configure(&deployment, 8, &[PREFIX, REMOVED]);
    let body = format!(
        "{{\"spec\":\"fails-once ms={TASK_MS}\",\"steps\":[{{\"count\":1,\"cpu\":16000,\
         \"mem-mb\":1024,\"est-ms\":{TASK_MS}}}]}}"
    );
    match deployment.client("POST", &format!("{REMOVED}{JOB}"), &body) {
        Some((status, _)) if (200..300).contains(&status) => {}
        other => return Verdict::NotRun(format!("the job was not accepted: {other:?}")),
    }
    configure(&deployment, 9, &[PREFIX]);
    if has_trouble {
        deployment.entries.iter_mut().for_each(|entry| entry.restart());
    }
    if !wait_until(Duration::from_secs(20), || record.has(&[JOB, "ends failed"])) {
        return Verdict::NotRun("the task's first run did not fail".to_owned());
    }
    std::thread::sleep(Duration::from_secs(2));
    configure(&deployment, 10, &[PREFIX, REMOVED]);
    let mut state = None;
    wait_until(Duration::from_secs(30), || {
        state = deployment.state_at(0, REMOVED, JOB);
        matches!(state.as_deref(), Some("completed" | "failed" | "cancelled" | "410"))
    });
    let failed = record.count(&[JOB, "ends failed"]);
    let text = format!("the job is shown as {state:?} after {failed} failed runs of {ATTEMPTS}");
    match state.as_deref() {
        Some("completed") => Verdict::Held(text),
        Some("failed") if (failed as u64) < ATTEMPTS => Verdict::Broken(text),
        _ => Verdict::NotRun(text),
    }
}
