//! One worker of ten refuses starts while the others are full: the jobs that wait have not begun, and
//! are to be counted as pending.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::json::Json;
use crate::record::Record;
use crate::site::{Site, wait_for};

const BULK: &str = "/deeds/00000000000000b1";
const BULK_BODY: &str = "{\"spec\":\"bulk\",\"steps\":[{\"count\":9,\"cpu\":16000,\"mem-mb\":256,\
                         \"est-ms\":60000}]}";
/// Jobs that the tenth worker has room for.
const JOBS: [&str; 4] =
    ["00000000000000c1", "00000000000000c2", "00000000000000c3", "00000000000000c4"];
const BODY: &str = "{\"spec\":\"hold\",\"steps\":[{\"count\":1,\"cpu\":4000,\"mem-mb\":256,\
                    \"est-ms\":1000}]}";
/// Time for each step of the case.
const STEP: Duration = Duration::from_secs(15);
/// `visible_ms` and 2 s, and a little more: from then on a waiting job has to be counted.
const COUNTED_AFTER: Duration = Duration::from_millis(5_200);
/// Longest time for which the worker refuses starts.
const SHED_TIME: Duration = Duration::from_millis(6_500);

/// Runs the case; without trouble, no worker refuses starts.
pub fn run(folder: &Path, has_trouble: bool) -> Verdict {
    let Ok(record) = Record::open(&folder.join("record.txt")) else { return Verdict::NotRun };
    let record = Arc::new(record);
    let verdict = play(&record, has_trouble).unwrap_or(Verdict::NotRun);
    record.line(match verdict {
        Verdict::Broken => {
            "MIXED is broken: fewer than half of the jobs that have not begun are counted"
        }
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
    let machines = machines.map(|machine| (machine, "r1-1"));
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
    let free =
        workers.iter().find(|worker| bulk.iter().all(|task| worker.run_of(task).is_none()))?;
    let tasks = JOBS.map(|job| format!("{job}.0.0.0"));
    let shed = Instant::now();
    free.shed(has_trouble);
    held(JOBS.iter().all(|job| is_taken(&format!("/holds/{job}"), BODY)))?;
    let accepted = Instant::now();
    let mut is_broken = false;
    if has_trouble {
        held(wait_for(STEP, || tasks.iter().any(|task| free.shed_of(task) > 0)))?;
        // The rule counts jobs that were accepted for longer than this.
        std::thread::sleep(COUNTED_AFTER.saturating_sub(accepted.elapsed()));
        let counts = pending(&site);
        // None has begun all the while, and the worker is back in time.
        held(tasks.iter().all(|task| site.run_of(task).is_none()))?;
        held(shed.elapsed() < SHED_TIME && counts.iter().any(Option::is_some))?;
        let least = JOBS.len() as u64;
        is_broken = counts.iter().flatten().any(|count| count * 2 < least);
        free.shed(false);
    }
    // Each task ends once it runs, and the jobs are completed.
    let is_over = || {
        for task in bulk.iter().chain(&tasks) {
            if let Some((worker, _)) = site.run_of(task) {
                worker.end_task(task, "done");
            }
        }
        JOBS.iter().all(|job| {
            let answer = site.call(first, "GET", &format!("/holds/{job}"), "");
            answer.is_some_and(|(_, body)| body.contains("completed"))
        })
    };
    held(wait_for(STEP * 2, is_over))?;
    Some(if is_broken { Verdict::Broken } else { Verdict::Held })
}
