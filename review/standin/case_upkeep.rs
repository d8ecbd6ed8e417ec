//! An upkeep call that gets no response and is done seconds later, and a planned restart of the
//! process that sent it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::record::Record;
use crate::{Deployment, POOL, PREFIX, Verdict, wait_until};

const WAVE: u64 = 1;
const MACHINES: [&str; 2] = ["m-1", "m-2"];
const CAP: usize = 1;
const JOB: &str = "5c0e7a21d94b36f8";
/// The job keeps one of the two machines busy when the wave is asked for.
const TASK_MS: u64 = 600;
/// Delay of the call without a response; the bench's orders are carried out 2 to 12 s late.
const LATE: Duration = Duration::from_millis(2_200);

pub fn play(record: &Record, has_trouble: bool) -> Verdict {
    let opened = Deployment::open(record, 3, |site| {
        MACHINES.iter().for_each(|name| site.add_machine(name, POOL, 16_000, false));
    });
    let Some(mut deployment) = opened else {
        return Verdict::NotRun("the entries were not ready in 15 s".to_owned());
    };
    std::thread::sleep(Duration::from_secs(1));
    let body = format!(
        "{{\"spec\":\"ms={TASK_MS}\",\"steps\":[{{\"count\":1,\"cpu\":16000,\"mem-mb\":1024,\
         \"est-ms\":{TASK_MS}}}]}}"
    );
    match deployment.client("POST", &format!("{PREFIX}{JOB}"), &body) {
        Some((status, _)) if (200..300).contains(&status) => {}
        other => return Verdict::NotRun(format!("the job was not accepted: {other:?}")),
    }
    if !wait_until(Duration::from_secs(5), || record.has(&["starts", JOB])) {
        return Verdict::NotRun("the task was not started".to_owned());
    }
    let is_called = Arc::new(AtomicBool::new(false));
    if has_trouble {
        // Only the first upkeep call is late: one order of the three that the wave takes.
        let called = is_called.clone();
        let rule = move |_: &str, _: &str| (!called.swap(true, Ordering::SeqCst)).then_some(LATE);
        *deployment.site.late_upkeep.lock().unwrap() = Some(Arc::new(rule));
    }
    deployment.site.ask_wave(WAVE, &MACHINES, 20, CAP);
    if has_trouble {
        let has_come = wait_until(Duration::from_secs(10), || is_called.load(Ordering::SeqCst));
        let Some(leader) = deployment.leader().filter(|_| has_come) else {
            return Verdict::NotRun("no upkeep was ordered, or no entry leads".to_owned());
        };
        deployment.entries[leader].restart();
    }
    let is_over = || {
        let status = deployment.store.newest_value("keyed.status", &format!("wave/{WAVE}"));
        status.is_some_and(|status| status.contains("completed"))
    };
    let is_completed = wait_until(Duration::from_secs(40), is_over);
    std::thread::sleep(Duration::from_secs(4));
    let over = deployment.site.over_cap.lock().unwrap().clone();
    match (over.is_empty(), is_completed) {
        (false, _) => Verdict::Broken(format!(
            "the upkeep of {} began while {CAP} machine of its wave was down, cap {CAP}",
            over.join(", ")
        )),
        (true, true) => Verdict::Held("the wave is completed, and never over its cap".to_owned()),
        (true, false) => Verdict::NotRun("the wave was not completed in 40 s".to_owned()),
    }
}
