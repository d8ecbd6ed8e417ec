//! The only worker in the rack of a job's data is lost for good: the job may run on any other rack,
//! where all workers are idle.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::record::Record;
use crate::site::{Site, config, wait_for};

const JOB: &str = "/deeds/00000000000000f1";
const TASK: &str = "00000000000000f1.0.0.0";
const BODY: &str = "{\"spec\":\"deed\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":256,\
                    \"est-ms\":20000,\"preferred-rack\":\"r1-1\"}]}";
/// Time for each step of the case.
const STEP: Duration = Duration::from_secs(15);
/// `finish_s`: jobs are asked for so long after the end of the traffic.
const FINISH: Duration = Duration::from_secs(14);
/// Time for which nothing of a job that could run may be running then.
const IDLE: Duration = Duration::from_secs(3);

/// Runs the case; without trouble, the worker stays.
pub fn run(folder: &Path, has_trouble: bool) -> Verdict {
    let Ok(record) = Record::open(&folder.join("record.txt")) else { return Verdict::NotRun };
    let record = Arc::new(record);
    let verdict = play(&record, has_trouble).unwrap_or(Verdict::NotRun);
    record.line(match verdict {
        Verdict::Broken => "LOST is broken: nothing of the job ran, and seven workers were idle",
        Verdict::Held => "the rule held",
        Verdict::NotRun => "the case couldn't run",
    });
    verdict
}

fn play(record: &Arc<Record>, has_trouble: bool) -> Option<Verdict> {
    let machines = [
        ("m-0", "r1-1"),
        ("m-1", "r1-2"),
        ("m-2", "r1-2"),
        ("m-3", "r1-2"),
        ("m-4", "r1-2"),
        ("m-5", "r1-3"),
        ("m-6", "r1-3"),
        ("m-7", "r1-3"),
    ];
    let site = Site::open(record.clone(), &config(1, true), &machines, 3).ok()?;
    let held = |is_so: bool| is_so.then_some(());
    held(wait_for(STEP, || site.is_ready() && site.leader().is_some()))?;
    let first = site.alive().next()?;
    let workers = site.workers.lock().unwrap().clone();
    if has_trouble {
        site.lose(workers.iter().find(|worker| worker.rack == "r1-1")?);
    }
    let is_taken = || site.call(first, "POST", JOB, BODY).is_some_and(|(code, _)| code == 200);
    held(wait_for(STEP, is_taken))?;
    let accepted = Instant::now();
    let state = || site.call(first, "GET", JOB, "").map(|(_, body)| body).unwrap_or_default();
    let has_begun = wait_for(FINISH + IDLE, || site.run_of(TASK).is_some());
    state();
    if !has_begun {
        return Some(Verdict::Broken);
    }
    held(accepted.elapsed() < FINISH + IDLE)?;
    site.run_of(TASK)?.0.end_task(TASK, "done");
    held(wait_for(STEP, || state().contains("completed")))?;
    Some(Verdict::Held)
}
