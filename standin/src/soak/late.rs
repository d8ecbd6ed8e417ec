//! Faults by which what was sent arrives late, drawn by a seed of their own: links that hold bytes back and deliver
//! them after the sender has given up, a log that does appends seconds later, entries that freeze while they lead or
//! have starts in hand, and leaders that are killed.
//!
//! Other entries reach an entry where it listens, so their links have no proxy. What they have sent to a frozen entry
//! stands in its sockets, and is delivered as late.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::jobs::proxy::LinkFault;
use crate::jobs::site::JobPlatform;
use crate::soak::entry::EntryProcess;
use crate::soak::faults::on_link;

/// Longest pause between two faults, in milliseconds.
const GAP_MS: u64 = 1_200;
/// Longest time that a fault lasts, in milliseconds.
const LENGTH_MS: u64 = 2_500;
/// Longest time for which bytes are held back, in milliseconds.
const HOLD_MS: std::ops::Range<u64> = 500..5_000;
/// Time for which an entry is frozen, in milliseconds.
const FREEZE_MS: std::ops::Range<u64> = 1_000..4_000;
/// VMs whose links hold bytes back at a time, where several do.
const LINKS: usize = 3;
/// Appends in a hundred that are late while the log is.
const LATE_PERCENT: u32 = 30;
/// Kinds of faults that are drawn from.
const KINDS: u32 = 9;

/// Injects such faults for `length`, and takes all back; how many there were.
pub async fn inject(
    mut random: StdRng,
    length: Duration,
    platform: Arc<JobPlatform>,
    entries: Vec<Arc<EntryProcess>>,
) -> usize {
    let begun = Instant::now();
    let mut under_way = JoinSet::new();
    let mut count = 0;
    while begun.elapsed() < length {
        sleep(Duration::from_millis(random.random_range(100..GAP_MS))).await;
        let late = LateFault {
            kind: random.random_range(0..KINDS),
            lasting: Duration::from_millis(random.random_range(200..LENGTH_MS)),
            hold: Duration::from_millis(random.random_range(HOLD_MS)),
            freeze: Duration::from_millis(random.random_range(FREEZE_MS)),
            entry: random.random_range(0..entries.len()),
            vm: random.random_range(0..platform.vms().len()),
        };
        let (platform, entries) = (platform.clone(), entries.clone());
        under_way.spawn(async move { late.run(&platform, &entries).await });
        count += 1;
    }
    while under_way.join_next().await.is_some() {}
    count
}

/// One fault.
#[derive(Debug)]
struct LateFault {
    kind: u32,
    lasting: Duration,
    hold: Duration,
    freeze: Duration,
    entry: usize,
    vm: usize,
}

impl LateFault {
    async fn run(self, platform: &JobPlatform, entries: &[Arc<EntryProcess>]) {
        let fault = LinkFault::Hold(self.hold);
        let entry = &entries[self.entry];
        let vms = platform.vms();
        match self.kind {
            0 | 1 => on_link(&vms[self.vm].link, fault, self.lasting).await,
            2 => {
                let links = || vms.iter().cycle().skip(self.vm).take(LINKS);
                links().for_each(|linked| linked.link.set(fault));
                sleep(self.lasting).await;
                links().for_each(|linked| linked.link.set(LinkFault::None));
            }
            3 => on_link(&entry.log_link, fault, self.lasting).await,
            4 => {
                platform.log().set_faults(|faults| faults.late_percent = LATE_PERCENT);
                sleep(self.lasting).await;
                platform.log().set_faults(|faults| faults.late_percent = 0);
            }
            5 | 6 => {
                if let Some(leader) = leader(entries).await {
                    self.freeze(leader).await;
                }
            }
            7 => {
                if let Some(leader) = leader(entries).await {
                    leader.signal("-KILL").await;
                }
            }
            _ => self.freeze(entry).await,
        }
    }

    async fn freeze(&self, entry: &EntryProcess) {
        entry.signal("-STOP").await;
        sleep(self.freeze).await;
        entry.signal("-CONT").await;
    }
}

/// The first entry that says that it leads.
pub(super) async fn leader(entries: &[Arc<EntryProcess>]) -> Option<&EntryProcess> {
    for entry in entries {
        if entry.leads().await {
            return Some(entry);
        }
    }
    None
}
