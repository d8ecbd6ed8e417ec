//! Harm to a site of many VMs while much waits, drawn by a seed of its own, in series and overlapping: workers that
//! are lost with all that they run, VMs that stay away, a log that is away and slow, links that are late, leaders
//! that are killed, frozen and cut off. All of it is taken back.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::index;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::jobs::proxy::LinkFault;
use crate::jobs::site::JobPlatform;
use crate::soak::entry::EntryProcess;
use crate::soak::late::leader;

/// Pause between two harms, in milliseconds.
const GAP_MS: Range<u64> = 300..1_800;
/// Time that most harms last, in milliseconds.
const LENGTH_MS: Range<u64> = 1_500..5_000;
/// Time for which the log is away once, in milliseconds.
const LOG_AWAY_MS: Range<u64> = 5_000..9_000;
/// Time for which VMs are away, in milliseconds.
const VM_AWAY_MS: Range<u64> = 2_000..12_000;
/// Time by which links and the log are late, in milliseconds.
const LATE_MS: Range<u64> = 25..600;
/// Time for which a process is frozen, in milliseconds.
const FREEZE_MS: Range<u64> = 1_000..4_000;
/// Share of VMs that are lost at a time.
const LOST_SHARE: Range<f64> = 0.02..0.12;
/// Share of links that are late at a time.
const LATE_SHARE: Range<f64> = 0.1..0.6;
/// Kinds of harm that are drawn from.
const KINDS: u32 = 10;

/// Does harm until `end`, and takes all back; how many harms there were. The links are left `usual`.
pub async fn inject(
    mut random: StdRng,
    end: Instant,
    usual: LinkFault,
    platform: Arc<JobPlatform>,
    entries: Vec<Arc<EntryProcess>>,
) -> usize {
    let begun = Instant::now();
    let mut under_way = JoinSet::new();
    let log_away = begun + (end - begun).mul_f64(random.random_range(0.15..0.5));
    let log_length = Duration::from_millis(random.random_range(LOG_AWAY_MS));
    let is_silent = random.random_bool(0.5);
    let log_platform = platform.clone();
    under_way.spawn(async move {
        tokio::time::sleep_until(log_away).await;
        log_platform.log().set_faults(|faults| {
            (faults.is_down, faults.is_silent) = (true, is_silent);
        });
        tokio::time::sleep_until((log_away + log_length).min(end)).await;
        log_platform.log().set_faults(|faults| faults.is_down = false);
    });
    let mut count = 1;
    loop {
        let pause = Duration::from_millis(random.random_range(GAP_MS));
        if Instant::now() + pause >= end {
            break;
        }
        sleep(pause).await;
        let harm = DrawnHarm::draw(&mut random, usual, &platform, entries.len());
        let (platform, entries) = (platform.clone(), entries.clone());
        under_way.spawn(async move { harm.run(end, &platform, &entries).await });
        count += 1;
    }
    while under_way.join_next().await.is_some() {}
    platform.log().set_faults(|faults| *faults = Default::default());
    for linked in platform.vms() {
        linked.link.set(usual);
    }
    for entry in &entries {
        entry.log_link.set(usual);
        entry.signal("-CONT").await;
    }
    count
}

/// One harm.
#[derive(Debug)]
struct DrawnHarm {
    kind: u32,
    lasting: Duration,
    late: Duration,
    freeze: Duration,
    /// VMs that are lost, and for how long.
    lost: Vec<usize>,
    away: Duration,
    /// VMs and entries whose links are late.
    late_vms: Vec<usize>,
    late_entries: Vec<usize>,
    entry: usize,
    usual: LinkFault,
}

impl DrawnHarm {
    fn draw(
        random: &mut StdRng,
        usual: LinkFault,
        platform: &JobPlatform,
        entries: usize,
    ) -> DrawnHarm {
        let vms = platform.vms().len();
        let time = |random: &mut StdRng, range| Duration::from_millis(random.random_range(range));
        let lost_share = random.random_range(LOST_SHARE);
        let late_share = random.random_range(LATE_SHARE);
        DrawnHarm {
            kind: random.random_range(0..KINDS),
            lasting: time(random, LENGTH_MS),
            late: time(random, LATE_MS),
            freeze: time(random, FREEZE_MS),
            lost: some_of(random, vms, lost_share),
            away: time(random, VM_AWAY_MS),
            late_vms: some_of(random, vms, late_share),
            late_entries: some_of(random, entries, late_share),
            entry: random.random_range(0..entries),
            usual,
        }
    }

    async fn run(self, end: Instant, platform: &JobPlatform, entries: &[Arc<EntryProcess>]) {
        let left = end.saturating_duration_since(Instant::now());
        let lasting = self.lasting.min(left);
        let late = LinkFault::Late(self.late);
        let vms = platform.vms();
        match self.kind {
            0 | 1 => self.lost.iter().for_each(|vm| vms[*vm].vm.crash()),
            2 => self.lost.iter().for_each(|vm| vms[*vm].vm.lose(self.away.min(left))),
            3 => {
                platform.log().set_faults(|faults| faults.delay = self.late);
                sleep(lasting).await;
                platform.log().set_faults(|faults| faults.delay = Duration::ZERO);
            }
            4 => {
                self.late_entries.iter().for_each(|entry| entries[*entry].log_link.set(late));
                sleep(lasting).await;
                self.late_entries.iter().for_each(|entry| entries[*entry].log_link.set(self.usual));
            }
            5 => {
                self.late_vms.iter().for_each(|vm| vms[*vm].link.set(late));
                sleep(lasting).await;
                self.late_vms.iter().for_each(|vm| vms[*vm].link.set(self.usual));
            }
            6 => {
                if let Some(leader) = leader(entries).await {
                    freeze(leader, self.freeze.min(left)).await;
                }
            }
            7 => {
                if let Some(leader) = leader(entries).await {
                    leader.signal("-KILL").await;
                }
            }
            8 => {
                if let Some(leader) = leader(entries).await {
                    leader.log_link.set(LinkFault::Cut);
                    sleep(lasting).await;
                    leader.log_link.set(self.usual);
                }
            }
            _ => freeze(&entries[self.entry], self.freeze.min(left)).await,
        }
    }
}

/// A share of so many, one at least.
fn some_of(random: &mut StdRng, all: usize, share: f64) -> Vec<usize> {
    let all_count = f64::from(u32::try_from(all).unwrap_or(u32::MAX));
    let count = (0..all).take_while(|n| (*n as f64) < all_count * share).count();
    index::sample(random, all, count.max(1).min(all)).into_vec()
}

async fn freeze(entry: &EntryProcess, lasting: Duration) {
    entry.signal("-STOP").await;
    sleep(lasting).await;
    entry.signal("-CONT").await;
}
