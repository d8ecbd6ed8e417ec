//! Faults from outside, drawn by the seed: in series, overlapping, each taken back after a while.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::jobs::organisation::ORGANISATIONS;
use crate::jobs::proxy::LinkFault;
use crate::jobs::site::JobPlatform;
use crate::jobs::worker::VM_CPU;
use crate::soak::callers::CallerGroup;
use crate::soak::entry::EntryProcess;

/// Longest pause between two faults, in milliseconds.
const GAP_MS: u64 = 900;
/// Longest time that a fault lasts, in milliseconds.
const LENGTH_MS: u64 = 2_500;
/// Longest pause between two rooms that shrink, and longest time that one stays small, in milliseconds: longer than
/// the time that everybody has to take it in.
const ROOM_GAP_MS: u64 = 1_500;
const ROOM_MS: u64 = 7_000;
/// Longest pause between two workers that begin anew, and between two keys that are taken away, in milliseconds.
const REBIRTH_GAP_MS: u64 = 2_500;
const REVOKE_GAP_MS: u64 = 1_500;
/// Time between two looks at entries that have ended.
const LOOK_GAP: Duration = Duration::from_millis(200);
/// Kinds of faults that are drawn from.
const KINDS: u32 = 17;

/// Injects faults for `length`, then takes all back; how many there were.
pub async fn inject(
    mut random: StdRng,
    length: Duration,
    platform: &Arc<JobPlatform>,
    entries: &[Arc<EntryProcess>],
) -> usize {
    let begun = Instant::now();
    let mut under_way = JoinSet::new();
    let mut count = 0;
    while begun.elapsed() < length {
        sleep(Duration::from_millis(random.random_range(100..GAP_MS))).await;
        for entry in entries {
            entry.look_after().await;
        }
        let entry = entries[random.random_range(0..entries.len())].clone();
        let vm = random.random_range(0..platform.vms().len());
        let lasting = Duration::from_millis(random.random_range(200..LENGTH_MS));
        let kind = random.random_range(0..KINDS);
        count += 1;
        under_way.spawn(fault(kind, lasting, count, platform.clone(), entry, vm));
    }
    while under_way.join_next().await.is_some() {}
    platform.log().set_faults(|faults| *faults = Default::default());
    for linked in platform.vms() {
        linked.link.set(LinkFault::None);
        linked.vm.set_faults(|faults| *faults = Default::default());
    }
    for entry in entries {
        entry.log_link.set(LinkFault::None);
        entry.vm_link.set(LinkFault::None);
        entry.signal("-CONT").await;
    }
    count
}

/// Starts entries again that have ended, for `length`.
pub async fn look_after(length: Duration, entries: &[Arc<EntryProcess>]) {
    let begun = Instant::now();
    while begun.elapsed() < length {
        for entry in entries {
            entry.look_after().await;
        }
        sleep(LOOK_GAP).await;
    }
}

/// Ends leaderships until `end`, each after `gap` and a half more at most: the leading entry is killed, frozen for a
/// while, or stopped. How many were ended.
pub async fn change_leaders(
    mut random: StdRng,
    gap: Duration,
    end: Instant,
    entries: Vec<Arc<EntryProcess>>,
) -> usize {
    let mut count = 0;
    loop {
        let pause = gap.mul_f64(random.random_range(1.0..1.5));
        if Instant::now() + pause >= end {
            return count;
        }
        sleep(pause).await;
        let mut leader = None;
        for entry in &entries {
            if entry.leads().await {
                leader = Some(entry);
            }
        }
        let Some(leader) = leader else { continue };
        count += 1;
        match random.random_range(0..3) {
            0 => leader.signal("-KILL").await,
            1 => leader.signal("-TERM").await,
            _ => {
                leader.signal("-STOP").await;
                sleep(Duration::from_millis(random.random_range(500..LENGTH_MS))).await;
                leader.signal("-CONT").await;
            }
        }
    }
}

/// Lets rooms shrink and grow for `length`, drawn by a seed of their own.
pub async fn resize(mut random: StdRng, length: Duration, platform: Arc<JobPlatform>) {
    let begun = Instant::now();
    let mut under_way = JoinSet::new();
    while begun.elapsed() < length {
        sleep(Duration::from_millis(random.random_range(100..ROOM_GAP_MS))).await;
        let vm = random.random_range(0..platform.vms().len());
        let room = VM_CPU * random.random_range(1..8) / 8;
        let lasting = Duration::from_millis(random.random_range(200..ROOM_MS));
        let platform = platform.clone();
        under_way.spawn(async move {
            platform.vms()[vm].vm.set_room(room);
            sleep(lasting).await;
            platform.vms()[vm].vm.set_room(VM_CPU);
        });
    }
    while under_way.join_next().await.is_some() {}
}

/// Lets workers begin anew under their ids for `length`, drawn by a seed of its own.
pub async fn rebear(mut random: StdRng, length: Duration, platform: Arc<JobPlatform>) {
    let begun = Instant::now();
    while begun.elapsed() < length {
        sleep(Duration::from_millis(random.random_range(300..REBIRTH_GAP_MS))).await;
        let vm = random.random_range(0..platform.vms().len());
        platform.vms()[vm].vm.crash_and_begin_anew();
    }
}

/// Gives keys out and takes them away for `length`, drawn by a seed of its own; callers go on with each key on
/// every entry, and none may be served once its time is over.
pub async fn revoke(mut random: StdRng, length: Duration, callers: Arc<CallerGroup>) {
    let begun = Instant::now();
    let mut under_way = JoinSet::new();
    while begun.elapsed() < length {
        let organisation = random.random_range(0..ORGANISATIONS.len());
        let lasting = Duration::from_millis(random.random_range(100..LENGTH_MS));
        let (callers, seed) = (callers.clone(), random.random());
        under_way.spawn(async move { callers.outlast_key(organisation, lasting, seed).await });
        sleep(Duration::from_millis(random.random_range(300..REVOKE_GAP_MS))).await;
    }
    while under_way.join_next().await.is_some() {}
}

/// One fault, from its beginning to its end.
async fn fault(
    kind: u32,
    lasting: Duration,
    number: usize,
    platform: Arc<JobPlatform>,
    entry: Arc<EntryProcess>,
    vm: usize,
) {
    let linked = &platform.vms()[vm];
    let log = platform.log();
    match kind {
        0 | 1 => entry.signal("-KILL").await,
        2 => entry.signal("-TERM").await,
        3 => {
            // Stopped again while it stops, and told to read its settings.
            entry.signal("-HUP").await;
            entry.signal("-TERM").await;
            sleep(lasting).await;
            entry.signal("-TERM").await;
        }
        4 | 5 => {
            entry.signal("-STOP").await;
            sleep(lasting).await;
            entry.signal("-CONT").await;
        }
        6 => on_link(&entry.log_link, LinkFault::Cut, lasting).await,
        7 => on_link(&entry.log_link, LinkFault::CutBack, lasting).await,
        8 => on_link(&entry.log_link, LinkFault::Delay(lasting / 10), lasting).await,
        9 => {
            entry.log_link.silence_open();
            linked.link.silence_open();
        }
        10 => {
            entry.log_link.reset_open();
            linked.link.reset_open();
        }
        11 => on_link(&linked.link, LinkFault::CutBack, lasting).await,
        12 => {
            linked.vm.set_faults(|faults| faults.late_percent = 40);
            sleep(lasting).await;
            linked.vm.set_faults(|faults| faults.late_percent = 0);
        }
        13 => linked.vm.crash(),
        14 => {
            log.set_faults(|faults| {
                faults.is_down = true;
                faults.is_silent = number.is_multiple_of(2);
            });
            sleep(lasting).await;
            log.set_faults(|faults| faults.is_down = false);
        }
        15 => {
            log.set_faults(|faults| {
                faults.lost_percent = 25;
                faults.delay = lasting / 20;
            });
            sleep(lasting).await;
            log.set_faults(|faults| {
                faults.lost_percent = 0;
                faults.delay = Duration::ZERO;
            });
        }
        _ => {
            // The operators change things meanwhile.
            let number = u64::try_from(number).unwrap_or(0);
            platform.configure();
            platform.begin_wave(number);
            on_link(&entry.vm_link, LinkFault::CutForth, lasting).await;
        }
    }
}

pub(super) async fn on_link(
    link: &crate::jobs::proxy::FaultProxy,
    fault: LinkFault,
    lasting: Duration,
) {
    link.set(fault);
    sleep(lasting).await;
    link.set(LinkFault::None);
}
