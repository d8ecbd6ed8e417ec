//! A site of a few entries and workers on one log, in virtual time: all that happens between a submission and
//! a start. What a scheduler, a node, a desk's look-up, an executor and a worker decide is the product's; the
//! loops around them, which wait for the network, are events here, and each names the function whose rule it is.
//!
//! Delays are ranges that the test sets; each message draws its own.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use ibisweir::decide::executor::ExecutorOffer;
use ibisweir::decide::leadership::{
    PredecessorEnd, PreviousLeader, RENEWAL_INTERVAL_MS, RENEWAL_TIMEOUT_MS,
};
use ibisweir::jobs::follower::{TailStep, fold_step};
use ibisweir::jobs::model::JobId;
use ibisweir::jobs::node::JobNode;
use ibisweir::jobs::ports::LogBatch;
use ibisweir::jobs::site::{SiteConfig, SiteSettings, WorkerEntry, incarnation_id};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::cancel_callers::{StoreRequests, TakenRecord};
use super::cancel_leader::StartOrders;
use super::fakes::node_with;
use super::fixtures::{START_MS, bounds, config, site_settings, worker};
use super::sim_worker::SimWorker;
use super::site_log::SiteLog;

/// Wait of a follower's read for records, and the pause after records.
const READ_WAIT_MS: u64 = 700;
const FOLLOW_GAP_MS: u64 = 180;
/// Time of a call without trouble.
pub const HOP_MS: u64 = 2;
/// Time between two looks at who leads.
const LEADER_GAP_MS: u64 = 100;
/// Time between two offers of an executor.
const OFFER_INTERVAL_MS: u64 = 1_200;
/// An entry, by its position, and which of its processes.
pub type EntryLife = (usize, u32);
type Deed = Box<dyn FnOnce(&mut CancelSite)>;

/// What is due at a time.
pub enum SiteEvent {
    /// Something that happens at a process, or on the network or the log where none is named.
    Deed(Option<EntryLife>, Deed),
    /// Orders of a leader reach an executor.
    Orders(EntryLife, StartOrders),
}

/// An entry, and how well it reaches others.
pub struct SiteEntry {
    /// Its state.
    pub node: Arc<JobNode>,
    /// Number of its process.
    pub incarnation: u32,
    /// Who leads, as far as it knows.
    pub leader: Option<usize>,
    /// The term that it holds.
    pub term: Option<u64>,
    /// When its newest renewal of the leadership was sent, by its clock, in milliseconds.
    pub confirmed_ms: u64,
    /// Whether an append of its scheduler is under way.
    pub is_committing: bool,
    /// Lives of workers with a renewal under way.
    pub renewing: BTreeSet<Arc<str>>,
    /// Records of callers that it has taken as leader.
    pub taken: Vec<TakenRecord>,
    position: Option<u64>,
    /// Time that the answer to a read of its follower takes.
    pub reads_ms: RangeInclusive<u64>,
    /// Time that an append for a caller takes.
    pub appends_ms: RangeInclusive<u64>,
    /// Whether its calls reach the leader.
    pub reaches_leader: bool,
    /// Whether its calls reach the log.
    pub reaches_log: bool,
    /// Until when its process stands still.
    pub frozen_until_ms: u64,
}

/// A worker and its clock.
pub struct SiteWorker {
    /// How it is listed.
    pub entry: WorkerEntry,
    /// What it holds.
    pub body: SimWorker,
    /// By how much its clock is slow, in percent.
    pub slow_percent: u64,
}

impl SiteWorker {
    /// Its own clock, in milliseconds.
    pub fn clock_ms(&self, now: u64) -> u64 {
        START_MS + now * (100 - self.slow_percent) / 100
    }
}

/// What became of a job, for a failure's report.
#[derive(Debug, Default)]
pub struct JobStory {
    /// Events with their times.
    pub events: Vec<(u64, String)>,
    /// When a caller was first told that it is cancelled.
    pub acknowledged_ms: Option<u64>,
}

/// Times of messages that are not one entry's.
pub struct SiteDelays {
    /// A relay to the leader.
    pub relay_ms: RangeInclusive<u64>,
    /// An append of the leader.
    pub commit_ms: RangeInclusive<u64>,
    /// A start's wait in its lane.
    pub lane_ms: RangeInclusive<u64>,
    /// The answer to a renewal.
    pub renew_ms: RangeInclusive<u64>,
    /// A start's way from its sender to the worker.
    pub start_ms: RangeInclusive<u64>,
    /// A batch's way to its executor.
    pub batch_ms: RangeInclusive<u64>,
    /// A new leader's reading of the job log, and of the workers after it.
    pub takeover_ms: RangeInclusive<u64>,
    /// How long a task runs.
    pub run_ms: RangeInclusive<u64>,
}

/// The site.
pub struct CancelSite {
    /// Now, in milliseconds.
    pub now: u64,
    /// Entries.
    pub entries: Vec<SiteEntry>,
    /// Workers.
    pub workers: Vec<SiteWorker>,
    /// The job log.
    pub log: SiteLog,
    /// Jobs that callers know of.
    pub jobs: BTreeMap<JobId, JobStory>,
    /// Starts that came too late.
    pub faults: Vec<(JobId, String)>,
    /// Starts that workers carried out.
    pub starts: usize,
    /// Messages' times.
    pub delays: SiteDelays,
    /// Part of the starts and of the stops that are lost, in percent.
    pub lost_starts: u32,
    pub lost_stops: u32,
    /// Part of the starts that go through executors, in percent.
    pub delegated: u32,
    /// Whether callers need keys.
    pub needs_keys: bool,
    /// Draws.
    pub random: StdRng,
    holder: Option<EntryLife>,
    holder_term: u64,
    renewed_ms: u64,
    /// Records of callers on their way to the log.
    pub requests: StoreRequests,
    queue: BTreeMap<(u64, u64), SiteEvent>,
    next: u64,
}

impl CancelSite {
    /// A site without trouble.
    pub fn open(seed: u64, entries: usize, workers: usize) -> CancelSite {
        let born = |n: usize| {
            let entry = worker(&format!("w{n}"), &format!("r{}", n / 2));
            WorkerEntry { id: incarnation_id(&entry.id, Some(0)), ..entry }
        };
        let mut site = CancelSite {
            now: 0,
            entries: (0..entries).map(|n| open_entry(n, 0)).collect(),
            workers: (0..workers)
                .map(|n| SiteWorker { entry: born(n), body: SimWorker::default(), slow_percent: 0 })
                .collect(),
            log: SiteLog::default(),
            jobs: BTreeMap::new(),
            faults: Vec::new(),
            starts: 0,
            delays: SiteDelays {
                relay_ms: HOP_MS..=HOP_MS,
                commit_ms: 5..=5,
                lane_ms: 1..=1,
                renew_ms: HOP_MS..=HOP_MS,
                start_ms: HOP_MS..=HOP_MS,
                batch_ms: HOP_MS..=HOP_MS,
                takeover_ms: 10..=10,
                run_ms: 400..=400,
            },
            lost_starts: 0,
            lost_stops: 0,
            delegated: 0,
            needs_keys: false,
            random: StdRng::seed_from_u64(seed),
            holder: None,
            holder_term: 0,
            renewed_ms: 0,
            requests: StoreRequests::default(),
            queue: BTreeMap::new(),
            next: 0,
        };
        for entry in 0..entries {
            site.begin_loops((entry, 0));
        }
        site.later(50, CancelSite::expire_leases);
        site
    }

    fn begin_loops(&mut self, incarnation: EntryLife) {
        self.at_entry(1, incarnation, move |site| site.follow(incarnation));
        self.at_entry(5, incarnation, move |site| site.follow_leadership(incarnation));
        self.at_entry(300, incarnation, move |site| site.offer(incarnation));
    }

    /// Moves the time on.
    pub async fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while let Some(entry) = self.queue.first_entry().filter(|first| first.key().0 <= end) {
            let ((at, _), event) = entry.remove_entry();
            self.advance_to(at).await;
            let incarnation = match &event {
                SiteEvent::Deed(incarnation, _) => *incarnation,
                SiteEvent::Orders(incarnation, _) => Some(*incarnation),
            };
            if incarnation.is_some_and(|incarnation| !self.is_present(incarnation)) {
                continue;
            }
            let thaw = incarnation.map_or(0, |(entry, _)| self.entries[entry].frozen_until_ms);
            match event {
                event if thaw > self.now => self.push(thaw - self.now, event),
                SiteEvent::Deed(_, deed) => deed(self),
                SiteEvent::Orders(incarnation, orders) => self.carry_out(incarnation, orders).await,
            }
        }
        self.advance_to(end).await;
    }

    async fn advance_to(&mut self, at: u64) {
        if at > self.now {
            tokio::time::advance(Duration::from_millis(at - self.now)).await;
            self.now = at;
        }
    }

    fn is_present(&self, incarnation: EntryLife) -> bool {
        self.entries[incarnation.0].incarnation == incarnation.1
    }

    /// Puts an event on the list.
    pub fn push(&mut self, ms: u64, event: SiteEvent) {
        self.next += 1;
        self.queue.insert((self.now + ms, self.next), event);
    }

    /// Something that happens on the network, on the log or on a worker.
    pub fn later(&mut self, ms: u64, deed: impl FnOnce(&mut CancelSite) + 'static) {
        self.push(ms, SiteEvent::Deed(None, Box::new(deed)));
    }

    /// Something that a process does, when it runs.
    pub fn at_entry(
        &mut self,
        ms: u64,
        incarnation: EntryLife,
        deed: impl FnOnce(&mut CancelSite) + 'static,
    ) {
        self.push(ms, SiteEvent::Deed(Some(incarnation), Box::new(deed)));
    }

    /// A time of this range.
    pub fn draw(&mut self, range: &RangeInclusive<u64>) -> u64 {
        self.random.random_range(range.clone())
    }

    /// Whether something that happens in so many of a hundred cases does now.
    pub fn happens(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    /// Notes what became of a job.
    pub fn tell(&mut self, job: JobId, text: String) {
        let now = self.now;
        self.jobs.entry(job).or_default().events.push((now, text));
    }

    /// The first start that came too late, with all that happened to its job.
    pub fn first_fault(&self) -> Option<String> {
        let (id, fault) = self.faults.first()?;
        let story = &self.jobs[id];
        let lines: Vec<String> =
            story.events.iter().map(|(at, text)| format!("{at:>6} ms  {text}")).collect();
        let acknowledged = story.acknowledged_ms.unwrap_or_default();
        Some(format!("{fault}, acknowledged at {acknowledged} ms\n{}", lines.join("\n")))
    }

    /// State of an entry.
    pub fn node(&self, incarnation: EntryLife) -> Arc<JobNode> {
        self.entries[incarnation.0].node.clone()
    }

    /// The present process of an entry.
    pub fn incarnation(&self, entry: usize) -> EntryLife {
        (entry, self.entries[entry].incarnation)
    }

    /// The entry that holds the leadership.
    pub fn leader(&self) -> Option<usize> {
        self.holder.map(|(entry, _)| entry)
    }

    /// An entry's process ends, and another begins that knows nothing.
    pub fn restart(&mut self, entry: usize) {
        let incarnation = self.entries[entry].incarnation + 1;
        let before = std::mem::replace(&mut self.entries[entry], open_entry(entry, incarnation));
        let SiteEntry { reads_ms, appends_ms, reaches_leader, reaches_log, .. } = before;
        let next = &mut self.entries[entry];
        (next.reads_ms, next.appends_ms) = (reads_ms, appends_ms);
        (next.reaches_leader, next.reaches_log) = (reaches_leader, reaches_log);
        self.begin_loops((entry, incarnation));
    }

    /// Follows the job log: `JobFollower::step`.
    fn follow(&mut self, incarnation: EntryLife) {
        let node = self.node(incarnation);
        if node.is_sole_writer() || !self.entries[incarnation.0].reaches_log {
            self.at_entry(LEADER_GAP_MS, incarnation, move |site| site.follow(incarnation));
            return;
        }
        let reads_ms = self.entries[incarnation.0].reads_ms.clone();
        let Some(position) = self.entries[incarnation.0].position else {
            let (records, end) = (self.log.newest(), self.log.end);
            let ms = self.draw(&reads_ms);
            self.at_entry(ms, incarnation, move |site| {
                fold_step(&node, TailStep::Snapshot(records), end);
                node.set_loaded();
                site.entries[incarnation.0].position = Some(end);
                site.follow(incarnation);
            });
            return;
        };
        let from = position.max(node.applied_offset());
        self.entries[incarnation.0].position = Some(from);
        let (sent_ms, until) = (node.now(), self.now + READ_WAIT_MS);
        self.wait_for_records(incarnation, from, sent_ms, until);
    }

    fn wait_for_records(&mut self, incarnation: EntryLife, from: u64, sent_ms: u64, until: u64) {
        let reads_ms = self.entries[incarnation.0].reads_ms.clone();
        let ms = self.draw(&reads_ms);
        match self.log.read(from) {
            None => {
                self.entries[incarnation.0].position = None;
                self.at_entry(ms, incarnation, move |site| site.follow(incarnation));
            }
            Some(batch) if batch.records.is_empty() && self.now < until => {
                self.later(10, move |site| {
                    site.wait_for_records(incarnation, from, sent_ms, until)
                });
            }
            Some(batch) => {
                self.at_entry(ms, incarnation, move |site| {
                    site.take_read(incarnation, batch, sent_ms)
                });
            }
        }
    }

    fn take_read(&mut self, incarnation: EntryLife, batch: LogBatch, sent_ms: u64) {
        let node = self.node(incarnation);
        let is_empty = batch.records.is_empty();
        if self.entries[incarnation.0].reaches_log {
            let position = self.entries[incarnation.0].position.unwrap_or(0).max(batch.next);
            self.entries[incarnation.0].position = Some(position);
            fold_step(&node, TailStep::Records(batch.records), position);
            node.set_current();
            let waited_ms = if is_empty { READ_WAIT_MS } else { 0 };
            node.record_jobs_read(node.now().min(sent_ms + waited_ms));
        }
        let pause_ms = if is_empty { 1 } else { FOLLOW_GAP_MS };
        self.at_entry(pause_ms, incarnation, move |site| site.follow(incarnation));
    }

    /// Follows who leads, claims when nobody does, and renews: `LeadershipLoop::step`.
    fn follow_leadership(&mut self, incarnation: EntryLife) {
        let mut gap_ms = LEADER_GAP_MS;
        let (node, entry) = (self.node(incarnation), &self.entries[incarnation.0]);
        if entry.reaches_log {
            let is_holder = self.holder == Some(incarnation);
            let is_free = self.holder.is_none()
                || self.now > self.renewed_ms + RENEWAL_TIMEOUT_MS && !is_holder;
            if is_holder && entry.term.is_some() {
                let sent_ms = node.now();
                self.renewed_ms = self.now;
                gap_ms = RENEWAL_INTERVAL_MS;
                self.at_entry(HOP_MS, incarnation, move |site| {
                    site.entries[incarnation.0].confirmed_ms = sent_ms;
                    node.with_scheduler(|scheduler| scheduler.confirm(sent_ms));
                });
            } else if entry.term.is_some() {
                self.step_down(incarnation);
            } else if (is_free || is_holder) && node.may_lead() {
                self.claim(incarnation);
            }
            self.entries[incarnation.0].leader = self.leader();
        }
        self.at_entry(gap_ms, incarnation, move |site| site.follow_leadership(incarnation));
    }

    fn claim(&mut self, incarnation: EntryLife) {
        let node = self.node(incarnation);
        let seen_ms = node.now().saturating_sub(self.now - self.renewed_ms);
        let predecessor =
            self.holder.map(|_| PreviousLeader { seen_ms, end: PredecessorEnd::Unknown });
        self.holder_term += 1;
        let term = self.holder_term;
        (self.holder, self.renewed_ms) = (Some(incarnation), self.now);
        self.entries[incarnation.0].term = Some(term);
        let ids: Vec<JobId> = self.jobs.keys().copied().collect();
        for id in ids {
            self.tell(id, format!("entry {} claims, term {term}", incarnation.0));
        }
        self.at_entry(HOP_MS, incarnation, move |site| site.lead(incarnation, term, predecessor));
    }

    /// Offers an entry as executor: `OfferLoop::step` and `take_offer`.
    fn offer(&mut self, incarnation: EntryLife) {
        let node = self.node(incarnation);
        let leader = self.entries[incarnation.0].leader.filter(|leader| *leader != incarnation.0);
        if let Some(leader) = leader.filter(|_| self.entries[incarnation.0].reaches_leader) {
            let offer = ExecutorOffer {
                address: node.settings.peer,
                incarnation: node.incarnation,
                centre: node.settings.centre.clone(),
                processor: node.settings.processor,
                clock_ms: node.now(),
                claim_delay_ms: 0,
                has_replica: true,
            };
            let to = self.incarnation(leader);
            self.at_entry(HOP_MS, to, move |site| {
                let node = site.node(to);
                if node.with_scheduler(|_| ()).is_some() {
                    node.executors().record_offer(offer, node.now());
                }
            });
        }
        self.at_entry(OFFER_INTERVAL_MS, incarnation, move |site| site.offer(incarnation));
    }
}

/// Without a standby pool no VM leaves.
pub fn one_pool() -> SiteConfig {
    let mut config = config();
    config.pools.retain(|pool| !pool.is_standby);
    config
}

fn open_entry(number: usize, incarnation: u32) -> SiteEntry {
    let port = u16::try_from(number + 1).expect("a few entries");
    let settings = SiteSettings {
        node: format!("front-{number}").into(),
        peer: ([127, 0, 0, 1], port).into(),
        bounds: bounds(),
        ..site_settings()
    };
    let node = node_with(settings);
    node.set_config(one_pool());
    SiteEntry {
        node,
        incarnation,
        leader: None,
        term: None,
        confirmed_ms: 0,
        is_committing: false,
        renewing: BTreeSet::new(),
        taken: Vec::new(),
        position: None,
        reads_ms: HOP_MS..=HOP_MS,
        appends_ms: 4..=4,
        reaches_leader: true,
        reaches_log: true,
        frozen_until_ms: 0,
    }
}
