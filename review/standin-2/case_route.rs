//! A route is taken out of the configuration and put back, and the leader is killed in between: a
//! job that was accepted before may still fail as often as its queue allows.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crate::Verdict;
use crate::record::Record;
use crate::site::{Site, config, wait_for};

const TASK: &str = "00000000000000a1.0.0.0";
const JOB: &str = "/deeds/00000000000000a1";
const BODY: &str = "{\"spec\":\"deed\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":256,\
                    \"est-ms\":40000}]}";
/// Time for each step of the case.
const STEP: Duration = Duration::from_secs(15);

/// Runs the case; without trouble, the configuration stays and no process is killed.
pub fn run(folder: &Path, has_trouble: bool) -> Verdict {
    let Ok(record) = Record::open(&folder.join("record.txt")) else { return Verdict::NotRun };
    let record = Arc::new(record);
    let verdict = play(&record, has_trouble).unwrap_or(Verdict::NotRun);
    record.line(match verdict {
        Verdict::Broken => "LOST is broken: the job is shown as failed after one failed end of 3",
        Verdict::Held => "the rule held",
        Verdict::NotRun => "the case couldn't run",
    });
    verdict
}

fn play(record: &Arc<Record>, has_trouble: bool) -> Option<Verdict> {
    let site = Site::open(record.clone(), &config(1, true), &["m-1", "m-2"], 3).ok()?;
    let held = |is_so: bool| is_so.then_some(());
    held(wait_for(STEP, || site.is_ready() && site.leader().is_some()))?;
    let first = site.alive().next()?;
    held(wait_for(STEP, || site.call(first, "POST", JOB, BODY).is_some_and(|(code, _)| code == 200)))?;
    held(wait_for(STEP, || site.run_of(TASK).is_some()))?;
    let has_state = |state: &str| {
        site.alive().all(|entry| {
            let answer = site.call(entry, "GET", JOB, "");
            answer.is_some_and(|(code, body)| code == 200 && body.contains(state))
        })
    };
    held(wait_for(STEP, || has_state("running")))?;
    if has_trouble {
        site.configure(&config(5, false));
        let is_gone = || {
            site.alive().all(|entry| {
                site.call(entry, "GET", JOB, "").is_some_and(|(code, _)| code == 404)
            })
        };
        held(wait_for(STEP, is_gone))?;
        let fence = site.fence();
        site.kill(site.leader()?);
        held(wait_for(STEP, || site.fence() > fence && site.leader().is_some()))?;
    }
    let (worker, run) = site.run_of(TASK)?;
    worker.end_task(TASK, "failed");
    let (number, _) = worker.ends();
    held(wait_for(STEP, || worker.ends().1 >= number))?;
    if has_trouble {
        site.configure(&config(9, true));
        let is_back = || {
            site.alive().all(|entry| {
                site.call(entry, "GET", JOB, "").is_some_and(|(code, _)| code == 200)
            })
        };
        held(wait_for(STEP, is_back))?;
    }
    // The next run is due, and the job may be shown as anything but failed.
    let mut is_failed = false;
    let has_next = wait_for(STEP, || {
        is_failed |= site.alive().any(|entry| {
            site.call(entry, "GET", JOB, "").is_some_and(|(_, body)| body.contains("failed"))
        });
        is_failed || site.run_of(TASK).is_some_and(|(_, next)| next > run)
    });
    if is_failed {
        return Some(Verdict::Broken);
    }
    held(has_next)?;
    let (worker, _) = site.run_of(TASK)?;
    worker.end_task(TASK, "done");
    held(wait_for(STEP, || has_state("completed")))?;
    Some(Verdict::Held)
}
