//! Workers crash five times, each time under the same task of a long-running job: the other tasks of
//! the job are at work, and are not to be stopped.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Verdict;
use crate::record::Record;
use crate::site::{Site, config, wait_for};
use crate::worker::TASKS_LAST;

const JOB: &str = "/deeds/00000000000000d1";
const BODY: &str = "{\"spec\":\"deed\",\"steps\":[{\"count\":3,\"cpu\":1000,\"mem-mb\":256,\
                    \"est-ms\":900,\"long-running\":true,\"may-miss\":1,\"max-per-server\":1}]}";
const TASKS: [&str; 3] =
    ["00000000000000d1.0.0.0", "00000000000000d1.0.0.1", "00000000000000d1.0.0.2"];
/// Crashes of the worker that runs the first task.
const CRASHES: u32 = 5;
/// Time for each step of the case.
const STEP: Duration = Duration::from_secs(20);

/// Runs the case; without trouble, no worker crashes.
pub fn run(folder: &Path, has_trouble: bool) -> Verdict {
    let Ok(record) = Record::open(&folder.join("record.txt")) else { return Verdict::NotRun };
    let record = Arc::new(record);
    let verdict = play(&record, has_trouble).unwrap_or(Verdict::NotRun);
    record.line(match verdict {
        Verdict::Broken => "AVAIL is broken: a task at work was stopped while another was away",
        Verdict::Held => "the rule held",
        Verdict::NotRun => "the case couldn't run",
    });
    verdict
}

fn play(record: &Arc<Record>, has_trouble: bool) -> Option<Verdict> {
    TASKS_LAST.store(true, Ordering::Relaxed);
    let machines = ["m-0", "m-1", "m-2", "m-3", "m-4", "m-5", "m-6", "m-7"];
    let site = Site::open(record.clone(), &config(1, true), &machines, 3).ok()?;
    let held = |is_so: bool| is_so.then_some(());
    held(wait_for(STEP, || site.is_ready() && site.leader().is_some()))?;
    let first = site.alive().next()?;
    let state = || site.call(first, "GET", JOB, "").map(|(_, body)| body).unwrap_or_default();
    let is_taken = || site.call(first, "POST", JOB, BODY).is_some_and(|(code, _)| code == 200);
    held(wait_for(STEP, is_taken))?;
    held(wait_for(STEP, || TASKS.iter().all(|task| site.run_of(task).is_some())))?;
    let mut last = 0;
    for crash in 0..if has_trouble { CRASHES } else { 0 } {
        held(wait_for(STEP, || site.run_of(TASKS[0]).is_some_and(|(_, run)| run > last)))?;
        let (worker, run) = site.run_of(TASKS[0])?;
        last = run;
        // The leader has heard of the run.
        let holds = worker.holds();
        held(wait_for(STEP, || worker.holds() > holds + 1))?;
        site.crash(&worker, &format!("i-{:08x}", 0x100 + crash));
    }
    // The others run on, and the first task is started again.
    let stopped = || {
        let workers = site.workers.lock().unwrap();
        let stops = |task: &&str| workers.iter().map(|worker| worker.stopped_of(task)).sum::<u32>();
        TASKS[1..].iter().map(|task| stops(task)).sum::<u32>()
    };
    let mut is_broken = false;
    let has_next = wait_for(STEP, || {
        is_broken |= stopped() > 0 && site.run_of(TASKS[0]).is_none();
        is_broken || site.run_of(TASKS[0]).is_some_and(|(_, run)| run > last)
    });
    state();
    if is_broken {
        return Some(Verdict::Broken);
    }
    held(has_next && stopped() == 0 && state().contains("running"))?;
    Some(Verdict::Held)
}
