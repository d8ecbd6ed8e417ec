//! A queue is added, and the connection on which the leader waits for what operators write goes
//! silent just before: for two seconds the leader does not know the queue that other entries accept
//! jobs for. A task of such a job fails once.

use std::time::Duration;

use crate::record::Record;
use crate::{ATTEMPTS, Deployment, POOL, PREFIX, Verdict, config, wait_until};

const JOB: &str = "5c0e7a21d94b36f8";
/// As many as the site has: one connection of one of them goes silent.
const ENTRIES: u8 = 9;
/// Prefix of the queue that is added.
const ADDED: &str = "/more/";

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let machines = ["m-1", "m-2"];
    let opened = Deployment::open(record, ENTRIES, |site| {
        machines.iter().for_each(|name| site.add_machine(name, POOL, 16_000, false));
    });
    let Some(deployment) = opened else {
        return Verdict::NotRun("the entries were not ready in 15 s".to_owned());
    };
    std::thread::sleep(Duration::from_secs(1));
    let Some(leader) = deployment.leader() else {
        return Verdict::NotRun("no entry says that it leads".to_owned());
    };
    if has_trouble && !deployment.silence(leader) {
        return Verdict::NotRun("the leader did not wait for what operators write".to_owned());
    }
    record.line("operator: version 8 adds a queue");
    deployment.store.put("keyed.op", "config", &config(8, &[PREFIX, ADDED]).to_string());
    std::thread::sleep(Duration::from_millis(200));
    let body = "{\"spec\":\"fails-once ms=300\",\"steps\":[{\"count\":1,\"cpu\":16000,\
                \"mem-mb\":1024,\"est-ms\":300}]}";
    // The client's connection is with another entry than the one that leads.
    match deployment.client_at(leader + 1, "POST", &format!("{ADDED}{JOB}"), body) {
        Some((status, _)) if (200..300).contains(&status) => {}
        other => return Verdict::NotRun(format!("the job was not accepted: {other:?}")),
    }
    let mut state = None;
    wait_until(Duration::from_secs(20), || {
        state = deployment.state_at(leader + 1, ADDED, JOB);
        matches!(state.as_deref(), Some("completed" | "failed" | "cancelled" | "410"))
    });
    std::thread::sleep(Duration::from_secs(5));
    let failed = record.count(&[JOB, "ends failed"]);
    let text = format!("the job is shown as {state:?} after {failed} failed runs of {ATTEMPTS}");
    match state.as_deref() {
        Some("completed") => Verdict::Held(text),
        Some("failed") if (failed as u64) < ATTEMPTS => Verdict::Broken(text),
        _ => Verdict::NotRun(text),
    }
}
