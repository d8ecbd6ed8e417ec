//! What the parts of one entry share on the job side.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::{ArcSwap, ArcSwapOption};
use slog::Logger;
use tokio::sync::{Notify, oneshot};

use crate::clock::ProcessClock;
use crate::decide::executor::{ExecutorOffer, ExecutorTable};
use crate::decide::leadership::claim_delay_ms;
use crate::decide::replica::{ReplicaList, ReplicaPlanner};
use crate::jobs::job_table::JobTable;
use crate::jobs::metrics::JobMetrics;
use crate::jobs::record::JobRecord;
use crate::jobs::site::{MaintenanceWave, SiteConfig, SiteSettings};
use crate::scheduler::Scheduler;

/// Age of the last answer of the log, in milliseconds, from which an entry is not ready: the others
/// of its data centre may still advance_to it.
const LOG_ANSWER_AGE_MAX_MS: u64 = 2_500;

/// Time without a renewal after which a leader counts as silent, in milliseconds: two renewals.
const LEADER_TIMEOUT_MS: u64 = 900;
/// Silence after which the log counts as away, in milliseconds: the followers' reads are answered at
/// least every 700 ms, a slow log's 300 ms later.
const LOG_TIMEOUT_MS: u64 = 1_200;
/// Age from which the book is not counted from, in milliseconds: callers are promised a count that is 2 s old
/// at most, and the followers come to the log's end every 900 ms where they keep up.
const CURRENT_AGE_MAX_MS: u64 = 1_600;
/// Time for which an append of our own shows that nobody else writes, in milliseconds: what others append
/// meanwhile shows at the next one, as that does not follow on what the book has.
const OWN_APPEND_AGE_MAX_MS: u64 = 600;
/// Time for which it counts that another entry was found to read the log, in milliseconds: two questions.
const PEER_READ_AGE_MAX_MS: u64 = 1_500;
/// Time for which it counts that the leader's address was found closed, in milliseconds: longer than
/// the silence after which it is acted on.
const CLOSED_AGE_MAX_MS: u64 = 2_000;

/// State shared by the loops of one entry.
pub struct JobNode {
    /// Settings of the process.
    pub settings: SiteSettings,
    /// Its clock.
    pub clock: ProcessClock,
    /// Counters and histograms.
    pub metrics: Arc<JobMetrics>,
    /// Log lines.
    pub logger: Logger,
    /// Wakes the leader's loop.
    pub wake: Notify,
    /// Drawn at the start of the process.
    pub incarnation: u64,
    executors: Mutex<ExecutorTable>,
    planner: Mutex<ReplicaPlanner>,
    replicas: ArcSwap<ReplicaList>,
    /// Whether this entry is to keep a copy of the job log.
    is_replica: AtomicBool,
    /// Number of the present copy; a reading for an earlier one is void.
    replica_epoch: AtomicU64,
    append_ms: AtomicU64,
    leader_seen_ms: AtomicU64,
    config: ArcSwapOption<SiteConfig>,
    /// When the newest reading began that showed the configuration in force to be the newest, plus one; 0 for
    /// none.
    config_confirmed_ms: AtomicU64,
    /// Other entries that can be asked how old their reading is.
    peers: ArcSwap<Vec<SocketAddr>>,
    peer_read_log_ms: AtomicU64,
    job_table: Mutex<JobTable>,
    applied_offset: AtomicU64,
    /// Appends of our own beyond the book's end, by their offset, and their ends.
    own_ranges: Mutex<BTreeMap<u64, u64>>,
    own_append_ms: AtomicU64,
    /// When the job log held no more than the book has, in milliseconds.
    jobs_read_ms: AtomicU64,
    is_loaded: AtomicBool,
    waves: Mutex<BTreeMap<u64, MaintenanceWave>>,
    scheduler: Mutex<Option<Scheduler>>,
    leader: ArcSwapOption<SocketAddr>,
    leader_closed_ms: AtomicU64,
    relay_waiters: Mutex<HashMap<u64, oneshot::Sender<()>>>,
    next_token: AtomicU64,
    log_answer_ms: AtomicU64,
    last_store_ms: AtomicU64,
    current_ms: AtomicU64,
    is_stopping: AtomicBool,
}

impl JobNode {
    /// An entry that knows nothing yet.
    pub fn new(settings: SiteSettings, metrics: Arc<JobMetrics>, logger: Logger) -> JobNode {
        JobNode {
            settings,
            clock: ProcessClock::start(),
            metrics,
            logger,
            wake: Notify::new(),
            incarnation: rand::random(),
            executors: Mutex::default(),
            planner: Mutex::default(),
            replicas: ArcSwap::default(),
            is_replica: AtomicBool::new(true),
            replica_epoch: AtomicU64::new(0),
            append_ms: AtomicU64::new(0),
            leader_seen_ms: AtomicU64::new(0),
            config: ArcSwapOption::empty(),
            config_confirmed_ms: AtomicU64::new(0),
            peers: ArcSwap::default(),
            peer_read_log_ms: AtomicU64::new(0),
            job_table: Mutex::new(JobTable::default()),
            applied_offset: AtomicU64::new(0),
            own_ranges: Mutex::default(),
            own_append_ms: AtomicU64::new(0),
            jobs_read_ms: AtomicU64::new(0),
            is_loaded: AtomicBool::new(false),
            waves: Mutex::new(BTreeMap::new()),
            scheduler: Mutex::new(None),
            leader: ArcSwapOption::empty(),
            leader_closed_ms: AtomicU64::new(0),
            relay_waiters: Mutex::new(HashMap::new()),
            next_token: AtomicU64::new(0),
            log_answer_ms: AtomicU64::new(0),
            last_store_ms: AtomicU64::new(0),
            current_ms: AtomicU64::new(0),
            is_stopping: AtomicBool::new(false),
        }
    }

    /// Milliseconds of the steady clock.
    pub fn now(&self) -> u64 {
        self.clock.steady_ms()
    }

    /// Configuration in force, once one was read.
    pub fn config(&self) -> Option<Arc<SiteConfig>> {
        self.config.load_full()
    }

    /// Takes a configuration; an older one than that in force is ignored, as reads may overlap.
    pub fn set_config(&self, config: SiteConfig) -> bool {
        let is_newer = self.config().is_none_or(|own| own.version < config.version);
        if is_newer {
            let config = Arc::new(config);
            self.config.store(Some(config.clone()));
            self.with_scheduler(|scheduler| scheduler.set_config(config));
            self.wake.notify_one();
        }
        is_newer
    }

    /// A reading that began at `began_ms` has come to the end of what operators wrote, and all of it is in
    /// force here.
    pub fn record_config_read(&self, began_ms: u64) {
        self.config_confirmed_ms.fetch_max(began_ms + 1, Ordering::AcqRel);
    }

    /// When the newest such reading began, in milliseconds.
    pub fn config_confirmed_ms(&self) -> Option<u64> {
        self.config_confirmed_ms.load(Ordering::Acquire).checked_sub(1)
    }

    /// Age of the newest such reading, in milliseconds.
    pub fn config_age_ms(&self) -> Option<u64> {
        let confirmed = self.config_confirmed_ms()?;
        Some(self.now().saturating_sub(confirmed))
    }

    /// The configuration by which keys may be honoured now; nothing if none may be.
    ///
    /// The reading is looked at first: what it has shown was in force before it counted, so the configuration
    /// that is loaded after it is as new or newer.
    pub fn honoured_config(&self) -> Option<Arc<SiteConfig>> {
        let confirmed = self.config_confirmed_ms();
        let rule = &self.settings.bounds.revocation;
        if !rule.may_honour(confirmed, self.now()) {
            return None;
        }
        self.config()
    }

    /// Other entries that can be asked how old their reading is.
    pub fn peers(&self) -> Arc<Vec<SocketAddr>> {
        self.peers.load_full()
    }

    /// Takes the addresses of other entries.
    pub fn set_peers(&self, peers: Vec<SocketAddr>) {
        let own = self.settings.peer;
        self.peers.store(Arc::new(peers.into_iter().filter(|peer| *peer != own).collect()));
    }

    /// Entries that carry out starts for this one while it leads.
    pub fn executors(&self) -> MutexGuard<'_, ExecutorTable> {
        self.executors.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Who keeps a copy of the job log, as this entry plans it while it leads.
    pub fn planner(&self) -> MutexGuard<'_, ReplicaPlanner> {
        self.planner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Plans who keeps a copy of the job log; this entry, which leads, is among them.
    pub fn plan_replicas(&self) -> ReplicaList {
        let own = ExecutorOffer { claim_delay_ms: 0, ..self.offer() };
        let now = self.now();
        let mut planner = self.planner();
        planner.record_offer(&own, now);
        planner.plan(now).clone()
    }

    /// What this entry offers to the leader.
    pub fn offer(&self) -> ExecutorOffer {
        let settings = &self.settings;
        ExecutorOffer {
            address: settings.peer,
            incarnation: self.incarnation,
            centre: settings.centre.clone(),
            processor: settings.processor,
            clock_ms: self.now(),
            claim_delay_ms: claim_delay_ms(settings.processor, settings.link),
            has_replica: self.has_replica() && !self.is_log_silent(),
        }
    }

    /// Entries that keep a copy of the job log.
    pub fn replicas(&self) -> Arc<ReplicaList> {
        self.replicas.load_full()
    }

    /// Takes who keeps a copy of the job log, and whether this entry does.
    pub fn set_replicas(&self, replicas: &ReplicaList, is_replica: bool) {
        if **self.replicas.load() != *replicas {
            self.replicas.store(Arc::new(replicas.clone()));
        }
        if self.is_replica.swap(is_replica, Ordering::AcqRel) && !is_replica {
            self.drop_replica();
        }
    }

    /// Whether this entry is to keep a copy of the job log.
    pub fn is_replica(&self) -> bool {
        self.is_replica.load(Ordering::Acquire)
    }

    /// Whether its copy is whole, if not always up to date.
    pub fn has_replica(&self) -> bool {
        self.is_replica() && self.is_loaded.load(Ordering::Acquire)
    }

    /// Whether what is asked of this entry's jobs is for others to answer: it is not to keep a copy, and knows who does.
    /// One that is still reading its copy answers by that: where all restart at once, none has anything to tell the others.
    pub fn asks_replicas(&self) -> bool {
        !self.is_replica() && !self.replicas.load().is_empty()
    }

    /// Takes the time that the log takes for an append, and when a leader was last seen, in milliseconds.
    pub fn set_append_ms(&self, append_ms: u64, leader_seen_ms: Option<u64>) {
        self.append_ms.store(append_ms, Ordering::Relaxed);
        self.leader_seen_ms.store(leader_seen_ms.unwrap_or(0), Ordering::Relaxed);
    }

    /// Whether no leader was seen for so long that it is likely gone. One that is only slow may stay so.
    pub fn is_leader_silent(&self) -> bool {
        self.now() > self.leader_seen_ms.load(Ordering::Relaxed) + LEADER_TIMEOUT_MS
    }

    /// Time that appends would stand in line if each entry made one of its own, in milliseconds.
    pub fn own_queue_delay_ms(&self) -> u64 {
        u64::from(self.replicas.load().entries) * self.append_ms.load(Ordering::Relaxed)
    }

    /// Number of the present copy of the job log.
    pub fn replica_epoch(&self) -> u64 {
        self.replica_epoch.load(Ordering::Acquire)
    }

    /// Forgets the copy of the job log. What is being read for it is not folded any more.
    fn drop_replica(&self) {
        let mut table = self.job_table();
        self.replica_epoch.fetch_add(1, Ordering::AcqRel);
        self.is_loaded.store(false, Ordering::Release);
        self.applied_offset.store(0, Ordering::Release);
        self.current_ms.store(0, Ordering::Release);
        self.own_append_ms.store(0, Ordering::Release);
        self.own_ranges().clear();
        *table = JobTable::default();
    }

    /// The job book.
    pub fn job_table(&self) -> MutexGuard<'_, JobTable> {
        self.job_table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Folds the newest record of each key, as they were when the log ended at `end` or later.
    ///
    /// What this entry had stored through the leader meanwhile, at an offset that it does not know, is among them
    /// or is read on from `end`.
    pub fn fold_snapshot(&self, records: &[(u64, JobRecord)], end: u64) {
        let mut table = self.job_table();
        // Another reader has come further: a job that it saw being dropped must not come back.
        if self.applied_offset() >= end {
            return;
        }
        let new = table.apply_snapshot(records, end);
        table.note_finished(&new, self.now());
        self.advance_to(end);
        table.forget_drops(self.applied_offset());
        // Before anybody else finds the book as far: by that the view of the jobs counts as new.
        self.apply_to_scheduler(&new);
    }

    /// Folds what was read from an offset that the book had reached up to `next`.
    ///
    /// Reads overlap: of two that began at the same offset, the one that is answered later may have
    /// seen less. What the book has already is passed over; folded again, an old record would undo a
    /// newer one, such as the dropping of a job, which would then run once more.
    pub fn fold_read(&self, records: Vec<(u64, JobRecord)>, next: u64) {
        let mut table = self.job_table();
        let end = self.applied_offset();
        let new: Vec<(u64, JobRecord)> =
            records.into_iter().filter(|(offset, _)| *offset >= end).collect();
        for (offset, record) in &new {
            table.fold(record, *offset);
        }
        table.note_finished(&new, self.now());
        self.advance_to(next);
        table.forget_drops(self.applied_offset());
        // Before anybody else finds the book as far: by that the view of the jobs counts as new.
        self.apply_to_scheduler(&new);
    }

    /// Folds what this entry has appended at `offset`; the scheduler knows it.
    ///
    /// It need not be read back, also where records of others lie before it: the book reaches on over it as
    /// soon as those were read. A leader that reads back what it writes spends half of what comes in on a
    /// link of 2 Mbit/s on it.
    ///
    /// Returns whether the book has all that the log held before them.
    pub fn fold_appended(&self, records: &[JobRecord], offset: u64, end: u64) -> bool {
        let mut table = self.job_table();
        let own: Vec<(u64, JobRecord)> = (offset..).zip(records.iter().cloned()).collect();
        for (offset, record) in &own {
            table.fold(record, *offset);
        }
        table.note_finished(&own, self.now());
        self.own_ranges().insert(offset, end);
        let is_whole = self.advance_to(offset.min(self.applied_offset()));
        table.forget_drops(self.applied_offset());
        let own_append_ms = if is_whole { self.now().max(1) } else { 0 };
        self.own_append_ms.store(own_append_ms, Ordering::Release);
        if is_whole {
            self.set_current();
        }
        is_whole
    }

    /// The book has all that the job log held at `shown_ms`, and the scheduler has been told of it.
    pub fn record_jobs_read(&self, as_of_ms: u64) {
        self.jobs_read_ms.fetch_max(as_of_ms, Ordering::AcqRel);
        self.with_scheduler(|scheduler| scheduler.jobs_read(as_of_ms));
    }

    /// When the job log last held no more than the book has, in milliseconds.
    pub fn jobs_read_ms(&self) -> u64 {
        self.jobs_read_ms.load(Ordering::Acquire)
    }

    /// The book has all before `end`, and what this entry has appended from there on; returns whether that
    /// leaves nothing of our own beyond it.
    fn advance_to(&self, end: u64) -> bool {
        let mut ranges = self.own_ranges();
        let mut reached = self.applied_offset.fetch_max(end, Ordering::AcqRel).max(end);
        while let Some(range) = ranges.first_entry().filter(|range| *range.key() <= reached) {
            reached = reached.max(range.remove());
        }
        self.applied_offset.fetch_max(reached, Ordering::AcqRel);
        ranges.is_empty()
    }

    fn own_ranges(&self) -> MutexGuard<'_, BTreeMap<u64, u64>> {
        self.own_ranges.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this entry leads and its own appends show that nobody else writes: one is folded a moment ago
    /// that followed on what the book has.
    pub fn is_sole_writer(&self) -> bool {
        let own = self.own_append_ms.load(Ordering::Acquire);
        own > 0 && self.now() < own + OWN_APPEND_AGE_MAX_MS && self.with_scheduler(|_| ()).is_some()
    }

    /// Folds records of callers that are on the log, wherever that is. Without a copy of the log nothing would ever
    /// tell what becomes of them.
    pub fn fold(&self, records: &[(u64, JobRecord)]) {
        if self.is_replica() {
            let mut table = self.job_table();
            for (offset, record) in records {
                table.fold(record, *offset);
            }
            table.note_finished(records, self.now());
        }
        self.apply_to_scheduler(records);
    }

    fn apply_to_scheduler(&self, records: &[(u64, JobRecord)]) {
        let now = self.now();
        self.with_scheduler(|scheduler| {
            for (_, record) in records {
                scheduler.apply_record(record, now);
            }
        });
        self.wake.notify_one();
    }

    /// The book holds the newest record of each key: this entry may lead.
    pub fn set_loaded(&self) {
        self.is_loaded.store(true, Ordering::Release);
    }

    /// Whether this entry could lead at once: one that must read the whole log first would keep the
    /// leadership from those that need not.
    pub fn may_lead(&self) -> bool {
        self.is_loaded.load(Ordering::Acquire) && self.config().is_some()
    }

    /// Offset up to which the book tells everything.
    pub fn applied_offset(&self) -> u64 {
        self.applied_offset.load(Ordering::Acquire)
    }

    /// Takes a wave.
    pub fn add_wave(&self, wave: MaintenanceWave) {
        let done = self.job_table().maintained(wave.number);
        let now = self.now();
        self.waves().insert(wave.number, wave.clone());
        self.with_scheduler(|scheduler| scheduler.add_wave(wave, done, now));
    }

    /// Every wave that was read.
    pub fn waves(&self) -> MutexGuard<'_, BTreeMap<u64, MaintenanceWave>> {
        self.waves.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs `edit` on the scheduler if this entry leads.
    pub fn with_scheduler<R>(&self, edit: impl FnOnce(&mut Scheduler) -> R) -> Option<R> {
        let mut scheduler = self.scheduler.lock().unwrap_or_else(PoisonError::into_inner);
        scheduler.as_mut().map(edit)
    }

    /// Where the leader is reached, if it is another entry.
    pub fn leader(&self) -> Option<SocketAddr> {
        self.leader.load().as_ref().map(|address| **address)
    }

    /// The leader's address was found closed.
    pub fn record_leader_closed(&self) {
        self.leader_closed_ms.store(self.now().max(1), Ordering::Relaxed);
    }

    /// Whether the leader's address was found closed lately.
    pub fn is_leader_closed(&self) -> bool {
        let closed = self.leader_closed_ms.load(Ordering::Relaxed);
        closed > 0 && self.now() < closed + CLOSED_AGE_MAX_MS
    }

    /// Takes the leader's address from the leadership stream.
    pub fn set_leader(&self, address: Option<SocketAddr>) {
        let other = address.filter(|address| *address != self.settings.peer);
        self.leader.store(other.map(Arc::new));
    }

    /// Hands records to the scheduler if this entry leads. The receiver hears when the log has them;
    /// if it hears nothing, the leadership ended first and they may be on the log or not.
    pub fn relay(&self, records: Vec<JobRecord>) -> Option<oneshot::Receiver<()>> {
        let token = self.next_token.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        let now = self.now();
        // In place before the scheduler knows the token, so that no commit can come first.
        self.relay_waiters().insert(token, sender);
        let is_taken = self.with_scheduler(|scheduler| {
            let leads = !scheduler.is_deposed();
            if leads {
                scheduler.relay(token, records, now);
            }
            leads
        });
        if is_taken != Some(true) {
            self.relay_waiters().remove(&token);
            return None;
        }
        self.wake.notify_one();
        Some(receiver)
    }

    /// Tells those that relayed these batches that the log has them.
    pub fn complete_relays(&self, tokens: &[u64]) {
        let mut relay_waiters = self.relay_waiters();
        for sender in tokens.iter().filter_map(|token| relay_waiters.remove(token)) {
            // One that went away meanwhile needs no answer.
            let _ = sender.send(());
        }
    }

    fn relay_waiters(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<()>>> {
        self.relay_waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins or ends leading.
    pub fn set_scheduler(&self, scheduler: Option<Scheduler>) {
        if scheduler.is_none() {
            self.relay_waiters().clear();
        }
        *self.scheduler.lock().unwrap_or_else(PoisonError::into_inner) = scheduler;
    }

    /// The log has answered.
    pub fn record_log_answer(&self) {
        self.log_answer_ms.store(self.now().max(1), Ordering::Release);
    }

    /// Time since the log last answered, in milliseconds; nothing if it never did.
    pub fn log_age_ms(&self) -> Option<u64> {
        match self.log_answer_ms.load(Ordering::Acquire) {
            0 => None,
            answered => Some(self.now().saturating_sub(answered)),
        }
    }

    /// The book has all that the log had when it was last read.
    pub fn set_current(&self) {
        self.current_ms.store(self.now().max(1), Ordering::Release);
    }

    /// Whether the book tells what the log held a moment ago. One that is being read after a restart, or is
    /// further behind with each read, would tell callers of a tenth of the jobs that wait.
    pub fn is_current(&self) -> bool {
        let current = self.current_ms.load(Ordering::Acquire);
        current > 0 && self.now() < current + CURRENT_AGE_MAX_MS
    }

    /// Whether to offer this entry to the leader.
    pub fn may_offer(&self) -> bool {
        !self.is_stopping() && self.config().is_some()
    }

    /// A record of a caller has reached the log, by whatever way, or the leader has shown that it would store one.
    pub fn record_store(&self) {
        self.last_store_ms.store(self.now().max(1), Ordering::Relaxed);
    }

    /// Whether nothing reaches the log from here: it does not answer, nor does the leader store for
    /// us. A caller is then refused at once, while it still has time to try another entry; waiting
    /// would only show the same a second later.
    pub fn is_log_unreachable(&self) -> bool {
        let stored = self.last_store_ms.load(Ordering::Relaxed);
        let last = stored.max(self.log_answer_ms.load(Ordering::Acquire));
        self.now() > last + LOG_TIMEOUT_MS
    }

    /// Whether this entry's own calls to the log go unanswered.
    pub fn is_log_silent(&self) -> bool {
        self.now() > self.log_answer_ms.load(Ordering::Acquire) + LOG_TIMEOUT_MS
    }

    /// Another entry reads the log, and this one can't.
    pub fn record_log_read_by_peer(&self) {
        self.peer_read_log_ms.store(self.now().max(1), Ordering::Relaxed);
    }

    /// Whether the log is silent here, and others were found a moment ago to read it.
    pub fn is_cut_off_from_log(&self) -> bool {
        let read = self.peer_read_log_ms.load(Ordering::Relaxed);
        read > 0 && self.now() < read + PEER_READ_AGE_MAX_MS && self.is_log_silent()
    }

    /// Stops being ready.
    pub fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::Release);
    }

    /// Whether a stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping()
            && self.config().is_some()
            && self.log_age_ms().is_some_and(|age| age < LOG_ANSWER_AGE_MAX_MS)
    }

    /// Brings the gauges up to date.
    pub fn update_gauges(&self) {
        let gauge = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        let size = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        let metrics = &self.metrics;
        metrics.update_traffic();
        metrics.log_age_ms.set(self.log_age_ms().map_or(-1, gauge));
        metrics.config_version.set(self.config().map_or(0, |config| gauge(config.version)));
        let stats = self.with_scheduler(|scheduler| scheduler.stats());
        metrics.replica.set(i64::from(self.has_replica()));
        metrics.leading.set(i64::from(stats.is_some()));
        let stats = stats.unwrap_or_default();
        metrics.open_jobs.set(size(stats.jobs));
        metrics.live_runs.set(size(stats.runs));
        let now = self.now();
        let view_age_ms = self.with_scheduler(|scheduler| scheduler.view_age_ms(now));
        metrics.view_age_ms.set(view_age_ms.map_or(-1, gauge));
        metrics.silent_workers.set(size(stats.silent));
        metrics.executors.set(size(self.executors().counts(self.now()).0));
        metrics.config_age_ms.set(self.config_age_ms().map_or(-1, gauge));
        let organisations = self.with_scheduler(|scheduler| scheduler.organisation_overviews());
        let organisations = organisations.unwrap_or_default();
        let counts = organisations.iter().map(|(name, one)| (&**name, one.runs, one.waiting));
        metrics.set_organisations(counts);
    }
}
