//! One worker of ten refuses starts while the others are full: a job that waits for it has not
//! begun, and is to be counted as pending.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::json::Json;
use crate::record::Record;
use crate::site::{Site, wait_for};

const BULK: &str = "/deeds/00000000000000b1";
const BULK_BODY: &str = "{\"spec\":\"bulk\",\"steps\":[{\"count\":9,\"cpu\":12000,\"mem-mb\":256,\
                         \"est-ms\":60000}]}";
const JOB: &str = "/holds/00000000000000c1";
const TASK: &str = "00000000000000c1.0.0.0";
const BODY: &str = "{\"spec\":\"hold\",\"steps\":[{\"count\":1,\"cpu\":8000,\"mem-mb\":256,\
                    \"est-ms\":1000}]}";
/// Time for each step of the case.
const STEP: Duration = Duration::from_secs(15);
/// `visible_ms` and 2 s: from then on a waiting job has to be counted.
const COUNTED_AFTER: Duration = Duration::from_millis(5_000);
/// Longest time for which the worker refuses starts.
const SHED_TIME: Duration = Duration::from_millis(6_500);

/// Runs the case; without trouble, no worker refuses starts.
pub fn run(folder: &Path, has_trouble: bool) -> Verdict {
    let Ok(record) = Record::open(&folder.join("record.txt")) else { return Verdict::NotRun };
    let record = Arc::new(record);
    let verdict = play(&record, has_trouble).unwrap_or(Verdict::NotRun);
    record.line(match verdict {
        Verdict::Broken => "MIXED is broken: a queue with one job that has not begun shows none",
        Verdict::Held => "the rule held",
        Verdict::NotRun => "the case couldn't run",
    });
    verdict
}

fn pending(site: &Site) -> Vec<Option<u64>> {
    let count = |answer: (u16, String)| Json::parse(&answer.1)?.number("pending");
    site.alive().map(|entry| site.call(entry, "GET", "/holds/", "").and_then(count)).collect()
}

fn play(record: &Arc<Record>, has_trouble: bool) -> Option<Verdict> {
    let machines = ["m-0", "m-1", "m-2", "m-3", "m-4", "m-5", "m-6", "m-7", "m-8", "m-9"];
    let site = Site::open(record.clone(), &crate::site::config(1, true), &machines, 3).ok()?;
    let held = |is_so: bool| is_so.then_some(());
    held(wait_for(STEP, || site.is_ready() && site.leader().is_some()))?;
    let first = site.alive().next()?;
    let is_taken = |path: &str, body: &str| {
        site.call(first, "POST", path, body).is_some_and(|(code, _)| code == 200)
    };
    held(wait_for(STEP, || is_taken(BULK, BULK_BODY)))?;
    let bulk: Vec<String> = (0..9).map(|index| format!("00000000000000b1.0.0.{index}")).collect();
    held(wait_for(STEP, || bulk.iter().all(|task| site.run_of(task).is_some())))?;
    let workers = site.workers.lock().unwrap().clone();
    let free = workers.iter().find(|worker| bulk.iter().all(|task| worker.run_of(task).is_none()))?;
    let shed = Instant::now();
    free.shed(has_trouble);
    held(is_taken(JOB, BODY))?;
    let accepted = Instant::now();
    let mut is_broken = false;
    if has_trouble {
        held(wait_for(STEP, || free.shed_of(TASK) > 0))?;
        std::thread::sleep((COUNTED_AFTER + Duration::from_millis(200)).saturating_sub(accepted.elapsed()));
        let counts = pending(&site);
        // An answer without a count, or one that came too late, shows nothing.
        held(shed.elapsed() < SHED_TIME && site.run_of(TASK).is_none())?;
        held(counts.iter().any(Option::is_some))?;
        is_broken = counts.contains(&Some(0));
        free.shed(false);
    }
    held(wait_for(STEP, || site.run_of(TASK).is_some()))?;
    for task in bulk.iter().map(String::as_str).chain([TASK]) {
        let (worker, _) = site.run_of(task)?;
        worker.end_task(task, "done");
    }
    held(wait_for(STEP, || {
        site.call(first, "GET", JOB, "").is_some_and(|(_, body)| body.contains("completed"))
    }))?;
    Some(if is_broken { Verdict::Broken } else { Verdict::Held })
}
