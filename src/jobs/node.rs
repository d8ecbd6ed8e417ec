//! State that the loops and listeners of one entry share on the job side.
//!
//! [`JobNode`] holds the configuration in force, the replica of the job log, the leader's address,
//! the scheduler while this entry leads, and the times by which it judges whether the log and the
//! leader still answer.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::{ArcSwap, ArcSwapOption};
use bytes::Bytes;
use slog::{Logger, info};
use tokio::sync::{Notify, oneshot};

use crate::clock::ProcessClock;
use crate::decide::admission::{DIGEST_AGE_MAX_MS, DigestSlot, LineDigest, StartLine};
use crate::decide::executor::{ExecutorOffer, ExecutorTable};
use crate::decide::intake::KeptBytes;
use crate::decide::leadership::claim_delay_ms;
use crate::decide::replica::{ReplicaList, ReplicaPlanner};
use crate::jobs::attempts::OpenAttempts;
use crate::jobs::job_table::JobTable;
use crate::jobs::metrics::JobMetrics;
use crate::jobs::record::JobRecord;
use crate::jobs::site::{MaintenanceWave, SiteConfig, SiteSettings};
use crate::jobs::timeout_estimator::CommandTimeout;
use crate::scheduler::Scheduler;
use crate::scheduler::line::{RejectionReason, RelayRejection};

/// Age of the log's last answer from which an entry is not ready, in milliseconds: other entries of
/// its data centre may still reach the log.
const LOG_ANSWER_AGE_MAX_MS: u64 = 2_500;

/// Time without a renewal after which the leader counts as silent, in milliseconds: two renewal
/// intervals.
const LEADER_TIMEOUT_MS: u64 = 900;
/// Time without an answer after which the log counts as unreachable, in milliseconds. The
/// followers' reads are answered at least every 700 ms, and up to 300 ms later if the log is slow.
const LOG_TIMEOUT_MS: u64 = 1_200;
/// Age from which jobs are no longer counted from the replica, in milliseconds. Callers are
/// promised a count that is at most 2 s old, and followers that keep up reach the log's end every
/// 900 ms.
const CURRENT_AGE_MAX_MS: u64 = 1_600;
/// Time for which an append of this entry shows that no other entry writes, in milliseconds. If
/// another one has appended meanwhile, the next own append leaves a gap after the applied offset.
const OWN_APPEND_AGE_MAX_MS: u64 = 600;
/// Time for which the finding that another entry reads the log is valid, in milliseconds: two
/// queries.
const PEER_READ_AGE_MAX_MS: u64 = 1_500;
/// Time for which the finding that the leader's address is closed is valid, in milliseconds: longer
/// than the renewal timeout that then applies.
const CLOSED_AGE_MAX_MS: u64 = 2_000;

/// Records that were handed to the scheduler.
pub struct RelayReceipt {
    /// Completes once they are stored in the log, with the encoded digest of the backlog, which is
    /// empty if there is none. If the sender is dropped instead, the leadership has ended and they may
    /// be stored or not.
    pub stored: oneshot::Receiver<Bytes>,
    /// Submissions that the leader can't begin in time. Nothing of them is stored.
    pub rejections: Vec<RelayRejection>,
}

impl RelayReceipt {
    /// A receipt of all records.
    pub fn whole(stored: oneshot::Receiver<Bytes>) -> RelayReceipt {
        RelayReceipt { stored, rejections: Vec::new() }
    }
}

/// A large batch of another entry while it arrives.
pub struct ArrivingBatch<'a> {
    node: &'a JobNode,
    bytes: usize,
}

impl Drop for ArrivingBatch<'_> {
    fn drop(&mut self) {
        self.node.arriving_bytes.fetch_sub(self.bytes, Ordering::AcqRel);
    }
}

/// State shared by the loops and listeners of one entry.
pub struct JobNode {
    /// Settings of the process.
    pub settings: SiteSettings,
    /// Clock of the process.
    pub clock: ProcessClock,
    /// Counters and histograms.
    pub metrics: Arc<JobMetrics>,
    /// Logger of the process.
    pub logger: Logger,
    /// Wakes the leader's loop.
    pub wake: Notify,
    /// Random number drawn at the start of the process.
    pub incarnation: u64,
    /// Wakes starts that wait for capacity of an executor.
    pub executor_freed: Notify,
    executors: Mutex<ExecutorTable>,
    command_timeout: Mutex<CommandTimeout>,
    planner: Mutex<ReplicaPlanner>,
    replicas: ArcSwap<ReplicaList>,
    /// Whether this entry keeps a replica of the job log, whole or not yet.
    is_replica: AtomicBool,
    /// Number of the present replica; reads for an earlier one are discarded.
    replica_epoch: AtomicU64,
    append_ms: AtomicU64,
    leader_seen_ms: AtomicU64,
    config: ArcSwapOption<SiteConfig>,
    /// Start of the latest read that confirmed the configuration in force to be the newest, plus
    /// one; 0 for none.
    config_confirmed_ms: AtomicU64,
    /// Other entries that can be asked to confirm the configuration.
    peers: ArcSwap<Vec<SocketAddr>>,
    peer_read_log_ms: AtomicU64,
    job_table: Mutex<JobTable>,
    applied_offset: AtomicU64,
    /// Ends of this entry's appends beyond the applied offset, by the offset where each begins.
    own_ranges: Mutex<BTreeMap<u64, u64>>,
    own_append_ms: AtomicU64,
    /// Time as of which the replica held the whole job log, in milliseconds.
    jobs_read_ms: AtomicU64,
    is_loaded: AtomicBool,
    waves: Mutex<BTreeMap<u64, MaintenanceWave>>,
    scheduler: Mutex<Option<Scheduler>>,
    leader: ArcSwapOption<SocketAddr>,
    leader_closed_ms: AtomicU64,
    /// How late the loop of this entry as leader is beyond what is usual, in milliseconds.
    loop_delay_ms: AtomicU64,
    relay_waiters: Mutex<HashMap<u64, oneshot::Sender<Bytes>>>,
    /// Bytes of large batches from other entries that arrive now.
    arriving_bytes: AtomicUsize,
    /// The newest digest of the backlog that the leader has sent.
    line: Mutex<DigestSlot>,
    attempts: Mutex<OpenAttempts>,
    next_token: AtomicU64,
    log_answer_ms: AtomicU64,
    last_store_ms: AtomicU64,
    current_ms: AtomicU64,
    is_stopping: AtomicBool,
}

impl JobNode {
    /// Creates the state of an entry that has read nothing yet.
    pub fn new(settings: SiteSettings, metrics: Arc<JobMetrics>, logger: Logger) -> JobNode {
        metrics.noted.set_logger(&logger);
        JobNode {
            settings,
            clock: ProcessClock::start(),
            metrics,
            logger,
            wake: Notify::new(),
            incarnation: rand::random(),
            executor_freed: Notify::new(),
            executors: Mutex::default(),
            command_timeout: Mutex::default(),
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
            loop_delay_ms: AtomicU64::new(0),
            relay_waiters: Mutex::new(HashMap::new()),
            arriving_bytes: AtomicUsize::new(0),
            line: Mutex::default(),
            attempts: Mutex::default(),
            next_token: AtomicU64::new(0),
            log_answer_ms: AtomicU64::new(0),
            last_store_ms: AtomicU64::new(0),
            current_ms: AtomicU64::new(0),
            is_stopping: AtomicBool::new(false),
        }
    }

    /// Time of the steady clock, in milliseconds.
    pub fn now(&self) -> u64 {
        self.clock.steady_ms()
    }

    /// Configuration in force; `None` until one is read.
    pub fn config(&self) -> Option<Arc<SiteConfig>> {
        self.config.load_full()
    }

    /// Puts a configuration in force. Reads may overlap, so one that is not newer than the one in
    /// force is ignored. Returns whether it was newer.
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

    /// Records that a read that began at `began_ms` reached the end of the operators' records, and
    /// that all of them are in force here.
    pub fn record_config_read(&self, began_ms: u64) {
        self.config_confirmed_ms.fetch_max(began_ms + 1, Ordering::AcqRel);
    }

    /// Start of the latest read that confirmed the configuration, in milliseconds.
    pub fn config_confirmed_ms(&self) -> Option<u64> {
        self.config_confirmed_ms.load(Ordering::Acquire).checked_sub(1)
    }

    /// Time since the start of that read, in milliseconds.
    pub fn config_age_ms(&self) -> Option<u64> {
        let confirmed = self.config_confirmed_ms()?;
        Some(self.now().saturating_sub(confirmed))
    }

    /// The configuration by which API keys may be honoured now; `None` if no key may be.
    ///
    /// The time of the read is loaded first. The configuration that it confirmed was in force
    /// before the read was recorded, so the configuration loaded afterwards is as new or newer.
    pub fn honoured_config(&self) -> Option<Arc<SiteConfig>> {
        let confirmed = self.config_confirmed_ms();
        let rule = &self.settings.bounds.revocation;
        if !rule.may_honour(confirmed, self.now()) {
            return None;
        }
        self.config()
    }

    /// Other entries that can be asked to confirm the configuration.
    pub fn peers(&self) -> Arc<Vec<SocketAddr>> {
        self.peers.load_full()
    }

    /// Replaces the addresses of other entries; this entry's own address is left out.
    pub fn set_peers(&self, peers: Vec<SocketAddr>) {
        let own = self.settings.peer;
        self.peers.store(Arc::new(peers.into_iter().filter(|peer| *peer != own).collect()));
    }

    /// Timeout of starts and throttles that this entry sends to workers.
    pub fn command_timeout(&self) -> MutexGuard<'_, CommandTimeout> {
        self.command_timeout.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Entries that execute starts on behalf of this one while it leads.
    pub fn executors(&self) -> MutexGuard<'_, ExecutorTable> {
        self.executors.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Plan of the entries that keep a replica of the job log, used while this entry leads.
    pub fn planner(&self) -> MutexGuard<'_, ReplicaPlanner> {
        self.planner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Plans which entries keep a replica of the job log; this entry, which leads, is one of them.
    pub fn plan_replicas(&self) -> ReplicaList {
        let own = ExecutorOffer { claim_delay_ms: 0, ..self.offer() };
        let now = self.now();
        let mut planner = self.planner();
        planner.record_offer(&own, now);
        planner.plan(now).clone()
    }

    /// This entry's offer to execute starts for the leader.
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

    /// Entries that keep a replica of the job log.
    pub fn replicas(&self) -> Arc<ReplicaList> {
        self.replicas.load_full()
    }

    /// Sets which entries keep a replica of the job log, and whether this entry is one of them. If
    /// it no longer is, its replica is dropped.
    pub fn set_replicas(&self, replicas: &ReplicaList, is_replica: bool) {
        if **self.replicas.load() != *replicas {
            self.replicas.store(Arc::new(replicas.clone()));
        }
        if self.is_replica.swap(is_replica, Ordering::AcqRel) && !is_replica {
            self.drop_replica();
        }
    }

    /// Whether this entry keeps a replica of the job log, whole or not yet.
    pub fn is_replica(&self) -> bool {
        self.is_replica.load(Ordering::Acquire)
    }

    /// Whether this entry's replica is whole, though it may lag behind the log.
    pub fn has_replica(&self) -> bool {
        self.is_replica() && self.is_loaded.load(Ordering::Acquire)
    }

    /// Whether queries about jobs go to other entries: this one keeps no replica and knows who
    /// does. An entry that is still reading its replica answers from it, because when all entries
    /// restart at once, none has an answer for the others.
    pub fn asks_replicas(&self) -> bool {
        !self.is_replica() && !self.replicas.load().is_empty()
    }

    /// Sets the time that the log takes for an append, and when a leader was last seen, both in
    /// milliseconds.
    pub fn set_append_ms(&self, append_ms: u64, leader_seen_ms: Option<u64>) {
        self.append_ms.store(append_ms, Ordering::Relaxed);
        self.leader_seen_ms.store(leader_seen_ms.unwrap_or(0), Ordering::Relaxed);
    }

    /// Whether no leader was seen for so long that it is probably gone. A leader that is merely
    /// slow, and may remain so, does not count as silent.
    pub fn is_leader_silent(&self) -> bool {
        self.now() > self.leader_seen_ms.load(Ordering::Relaxed) + LEADER_TIMEOUT_MS
    }

    /// Queueing delay of appends if each entry made one of its own, in milliseconds.
    pub fn own_queue_delay_ms(&self) -> u64 {
        u64::from(self.replicas.load().entries) * self.append_ms.load(Ordering::Relaxed)
    }

    /// Number of the present replica of the job log; it grows when a replica is dropped.
    pub fn replica_epoch(&self) -> u64 {
        self.replica_epoch.load(Ordering::Acquire)
    }

    /// Drops the replica of the job log. Reads in flight for it are no longer applied.
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

    /// The jobs known from the log.
    pub fn job_table(&self) -> MutexGuard<'_, JobTable> {
        self.job_table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a snapshot: the newest record of each key, as of when the log ended at `end` or
    /// later.
    ///
    /// Records that the leader stored for this entry meanwhile, at offsets unknown here, are either
    /// in the snapshot or among the records read from `end` on.
    pub fn fold_snapshot(&self, records: &[(u64, JobRecord)], end: u64) {
        let mut table = self.job_table();
        // Another reader has got further: a job whose drop it has read must not come back.
        if self.applied_offset() >= end {
            return;
        }
        let new = table.apply_snapshot(records, end);
        table.note_finished(&new, self.now());
        self.advance_to(end);
        table.forget_drops(self.applied_offset());
        // While the table is locked: once others see the applied offset, the scheduler's view of
        // the jobs counts as up to date.
        self.apply_to_scheduler(&new);
    }

    /// Applies records that were read up to `next`, from an offset that had been applied already.
    ///
    /// Reads overlap: of two that began at the same offset, the one answered later may contain
    /// fewer records. Records before the applied offset are skipped. Applied again, an old record
    /// would undo a newer one, such as the drop of a job, and the job would run once more.
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
        // While the table is locked: once others see the applied offset, the scheduler's view of
        // the jobs counts as up to date.
        self.apply_to_scheduler(&new);
    }

    /// Applies records that this entry has appended at `offset`; the scheduler knows them already.
    ///
    /// They need not be read back, even if records of other entries precede them: the applied
    /// offset moves past them as soon as those are read. Reading back its own records would take a
    /// leader half of the incoming traffic on a 2 Mbit/s link.
    ///
    /// Returns whether everything that the log held before them is applied.
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

    /// Records that everything the job log held at `as_of_ms`, in milliseconds, is applied here and
    /// known to the scheduler.
    pub fn record_jobs_read(&self, as_of_ms: u64) {
        self.jobs_read_ms.fetch_max(as_of_ms, Ordering::AcqRel);
        self.with_scheduler(|scheduler| scheduler.jobs_read(as_of_ms));
    }

    /// Latest time as of which the replica held the whole job log, in milliseconds.
    pub fn jobs_read_ms(&self) -> u64 {
        self.jobs_read_ms.load(Ordering::Acquire)
    }

    /// Moves the applied offset to `end` and past own appends that follow it without a gap. Returns
    /// whether no own append is left beyond it.
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

    /// Whether this entry leads and its own appends show that no other entry writes: one was
    /// applied a moment ago that left no gap after the applied offset.
    pub fn is_sole_writer(&self) -> bool {
        let own = self.own_append_ms.load(Ordering::Acquire);
        own > 0 && self.now() < own + OWN_APPEND_AGE_MAX_MS && self.with_scheduler(|_| ()).is_some()
    }

    /// Applies callers' records that are stored in the log, at whatever offset. An entry without a
    /// replica only passes them to the scheduler, since it would never read the jobs' later
    /// records.
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

    /// Marks the replica as whole: it holds the newest record of each key, so this entry may lead.
    pub fn set_loaded(&self) {
        self.is_loaded.store(true, Ordering::Release);
    }

    /// Whether this entry could lead at once. One that must read the whole log first would keep the
    /// leadership from entries that need not.
    pub fn may_lead(&self) -> bool {
        self.is_loaded.load(Ordering::Acquire) && self.config().is_some()
    }

    /// Offset before which all records of the job log are applied.
    pub fn applied_offset(&self) -> u64 {
        self.applied_offset.load(Ordering::Acquire)
    }

    /// Adds a maintenance wave, or replaces the one of the same number.
    pub fn add_wave(&self, wave: MaintenanceWave) {
        let done = self.job_table().maintained(wave.number);
        let now = self.now();
        self.waves().insert(wave.number, wave.clone());
        self.with_scheduler(|scheduler| scheduler.add_wave(wave, done, now));
    }

    /// All maintenance waves that were read, by number.
    pub fn waves(&self) -> MutexGuard<'_, BTreeMap<u64, MaintenanceWave>> {
        self.waves.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs `edit` on the scheduler if this entry leads; `None` if it does not.
    pub fn with_scheduler<R>(&self, edit: impl FnOnce(&mut Scheduler) -> R) -> Option<R> {
        let mut scheduler = self.scheduler.lock().unwrap_or_else(PoisonError::into_inner);
        scheduler.as_mut().map(edit)
    }

    /// Address of the leader, if it is another entry.
    pub fn leader(&self) -> Option<SocketAddr> {
        self.leader.load().as_ref().map(|address| **address)
    }

    /// Sets how late the leader's loop is beyond what is usual, in milliseconds.
    pub fn set_loop_delay(&self, delay_ms: u64) {
        self.loop_delay_ms.store(delay_ms, Ordering::Relaxed);
    }

    /// How late the leader's loop is beyond what is usual, in milliseconds.
    pub fn loop_delay_ms(&self) -> u64 {
        self.loop_delay_ms.load(Ordering::Relaxed)
    }

    /// Records that the leader's address was found closed.
    pub fn record_leader_closed(&self) {
        self.leader_closed_ms.store(self.now().max(1), Ordering::Relaxed);
    }

    /// Whether the leader's address was found closed a short time ago.
    pub fn is_leader_closed(&self) -> bool {
        let closed = self.leader_closed_ms.load(Ordering::Relaxed);
        closed > 0 && self.now() < closed + CLOSED_AGE_MAX_MS
    }

    /// Sets the leader's address; `None` if no leader is known.
    pub fn set_leader(&self, address: Option<SocketAddr>) {
        let other = address.filter(|address| *address != self.settings.peer);
        if self.leader() != other {
            self.line_slot().forget_starts();
        }
        self.leader.store(other.map(Arc::new));
    }

    /// Hands records to the scheduler if this entry leads; `None` if it does not. The receiver is that
    /// of a [`RelayReceipt`].
    pub fn relay(&self, records: Vec<JobRecord>) -> Option<oneshot::Receiver<Bytes>> {
        self.relay_as(records, false).map(|receipt| receipt.stored)
    }

    /// The same for records of which the leader may reject some.
    pub fn relay_admitted(&self, records: Vec<JobRecord>) -> Option<RelayReceipt> {
        self.relay_as(records, true)
    }

    fn relay_as(&self, records: Vec<JobRecord>, may_reject: bool) -> Option<RelayReceipt> {
        let token = self.next_token.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        let now = self.now();
        let kept_room = self.kept_room();
        // Inserted before the scheduler knows the token, so that no commit can come first.
        self.relay_waiters().insert(token, sender);
        let rejections = self.with_scheduler(|scheduler| {
            if scheduler.is_deposed() {
                return None;
            }
            let (records, rejections) = match may_reject {
                true => {
                    let waiting = scheduler.waiting_bytes();
                    let mut room = kept_room.left(waiting);
                    let waiting_max = self.settings.limits.waiting_jobs();
                    room.large = room.large.min(waiting_max.saturating_sub(waiting.large));
                    scheduler.reject_relayed(records, now, room)
                }
                false => (records, Vec::new()),
            };
            let owed = scheduler.owed_starts(now);
            scheduler.relay(token, records, now);
            Some((rejections, owed))
        });
        let Some((rejections, owed)) = rejections.flatten() else {
            self.relay_waiters().remove(&token);
            return None;
        };
        let count = |reason| rejections.iter().filter(|one| one.reason == reason).count();
        let (starts, memory) = (count(RejectionReason::Starts), count(RejectionReason::Memory));
        if starts > 0 {
            info!(self.logger, "submissions rejected for starts that are owed";
                "rejected" => starts, "tasks" => owed.tasks, "jobs" => owed.jobs,
                "rate" => owed.rate);
        }
        if memory > 0 {
            info!(self.logger, "submissions rejected for the memory of accepted jobs";
                "rejected" => memory, "room" => kept_room.all, "large_room" => kept_room.large);
        }
        self.wake.notify_one();
        Some(RelayReceipt { stored: receiver, rejections })
    }

    /// Admits a large batch of another entry that is about to arrive, unless too many do so now.
    pub fn admit_batch(&self, bytes: usize) -> Option<ArrivingBatch<'_>> {
        let arriving = self.arriving_bytes.fetch_add(bytes, Ordering::AcqRel) + bytes;
        let batch = ArrivingBatch { node: self, bytes };
        // The only one is admitted whatever its size.
        (arriving <= self.settings.limits.waiting_jobs().max(bytes)).then_some(batch)
    }

    /// Memory that more accepted jobs may take here.
    pub fn kept_room(&self) -> KeptBytes {
        self.settings.limits.kept_jobs().left(self.job_table().kept())
    }

    /// Notifies the waiters of these batches that the log has stored them.
    pub fn complete_relays(&self, tokens: &[u64]) {
        if tokens.is_empty() {
            return;
        }
        let digest = self.line_body();
        let mut relay_waiters = self.relay_waiters();
        for sender in tokens.iter().filter_map(|token| relay_waiters.remove(token)) {
            // A waiter that is gone needs no answer.
            let _ = sender.send(digest.clone());
        }
    }

    /// Takes the digest of the backlog from the body of the leader's answer. Returns whether there
    /// is one that is newer than the entry's.
    pub fn receive_line(&self, body: &[u8]) -> bool {
        if !self.settings.admission {
            return false;
        }
        let now = self.now();
        LineDigest::decode(body).is_some_and(|digest| self.line_slot().receive(digest, now))
    }

    /// The digest of the backlog that may be used now, and its age in milliseconds. An entry that
    /// leads uses its own.
    pub fn line(&self) -> Option<(Arc<LineDigest>, u64)> {
        self.usable_line(DigestSlot::usable)
    }

    /// The digest that may be used for what it tells of starts, and its age in milliseconds.
    pub fn start_line(&self) -> Option<(Arc<LineDigest>, u64)> {
        self.usable_line(DigestSlot::usable_for_starts)
    }

    fn usable_line(
        &self,
        usable: impl Fn(&DigestSlot, u64) -> Option<(Arc<LineDigest>, u64)>,
    ) -> Option<(Arc<LineDigest>, u64)> {
        if !self.settings.admission {
            return None;
        }
        let now = self.now();
        let own = self.with_scheduler(|scheduler| {
            let report = (!scheduler.is_deposed()).then(|| scheduler.line_report(now)).flatten()?;
            let age_ms = now.saturating_sub(report.computed_ms);
            (age_ms < DIGEST_AGE_MAX_MS).then_some((report.digest, age_ms))
        });
        match own {
            Some(own) => own,
            None => usable(&self.line_slot(), now),
        }
    }

    /// Encoding of the newest digest of this leader, empty if there is none.
    pub fn line_body(&self) -> Bytes {
        let now = self.now();
        let report = self.with_scheduler(|scheduler| scheduler.line_report(now)).flatten();
        report.map(|report| report.body).unwrap_or_default()
    }

    /// What the last leader owed when it was last heard of, if it was short of starts.
    pub fn last_start_line(&self) -> Option<StartLine> {
        self.line_slot().last_line(self.now())
    }

    /// Whether a leader's digest came lately, whatever it told.
    pub fn has_recent_line(&self) -> bool {
        self.line_slot().has_recent(self.now())
    }

    fn line_slot(&self) -> MutexGuard<'_, DigestSlot> {
        self.line.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Submissions that this entry has sent and whose outcome is not known.
    pub fn attempts(&self) -> MutexGuard<'_, OpenAttempts> {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn relay_waiters(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<Bytes>>> {
        self.relay_waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the scheduler when this entry starts to lead, and removes it when it stops.
    pub fn set_scheduler(&self, mut scheduler: Option<Scheduler>) {
        match &mut scheduler {
            Some(scheduler) => scheduler.enable_line(self.settings.admission),
            None => self.relay_waiters().clear(),
        }
        *self.scheduler.lock().unwrap_or_else(PoisonError::into_inner) = scheduler;
    }

    /// Records that the log has answered a call of this entry.
    pub fn record_log_answer(&self) {
        self.log_answer_ms.store(self.now().max(1), Ordering::Release);
    }

    /// Time since the log last answered, in milliseconds; `None` if it never did.
    pub fn log_age_ms(&self) -> Option<u64> {
        match self.log_answer_ms.load(Ordering::Acquire) {
            0 => None,
            answered => Some(self.now().saturating_sub(answered)),
        }
    }

    /// Records that the replica holds everything that the log held when it was last read.
    pub fn set_current(&self) {
        self.current_ms.store(self.now().max(1), Ordering::Release);
    }

    /// Whether the replica holds what the log held a moment ago. One that is being read after a
    /// restart, or that falls further behind with each read, could count a tenth of the waiting
    /// jobs.
    pub fn is_current(&self) -> bool {
        let current = self.current_ms.load(Ordering::Acquire);
        current > 0 && self.now() < current + CURRENT_AGE_MAX_MS
    }

    /// Whether this entry may offer itself to the leader.
    pub fn may_offer(&self) -> bool {
        !self.is_stopping() && self.config().is_some()
    }

    /// Records that a caller's record has reached the log, directly or through the leader, or that
    /// the leader has shown that it would store one.
    pub fn record_store(&self) {
        self.last_store_ms.store(self.now().max(1), Ordering::Relaxed);
    }

    /// Whether nothing reaches the log from here: neither does it answer, nor does the leader store
    /// records for this entry. Callers are then refused at once, while they still have time to try
    /// another entry; a second of waiting would not change the result.
    pub fn is_log_unreachable(&self) -> bool {
        let stored = self.last_store_ms.load(Ordering::Relaxed);
        let last = stored.max(self.log_answer_ms.load(Ordering::Acquire));
        self.now() > last + LOG_TIMEOUT_MS
    }

    /// Whether this entry's own calls to the log go unanswered.
    pub fn is_log_silent(&self) -> bool {
        self.now() > self.log_answer_ms.load(Ordering::Acquire) + LOG_TIMEOUT_MS
    }

    /// Records that another entry reads the log while this one can't.
    pub fn record_log_read_by_peer(&self) {
        self.peer_read_log_ms.store(self.now().max(1), Ordering::Relaxed);
    }

    /// Whether the log does not answer this entry, while another was found a moment ago to read it.
    pub fn is_cut_off_from_log(&self) -> bool {
        let read = self.peer_read_log_ms.load(Ordering::Relaxed);
        read > 0 && self.now() < read + PEER_READ_AGE_MAX_MS && self.is_log_silent()
    }

    /// Begins the stop: from now on the entry is not ready.
    pub fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::Release);
    }

    /// Whether a stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    /// Whether the entry is ready for callers.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping()
            && self.config().is_some()
            && self.log_age_ms().is_some_and(|age| age < LOG_ANSWER_AGE_MAX_MS)
    }

    /// Updates the gauges of the metrics.
    pub fn update_gauges(&self) {
        let gauge = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        let size = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        let metrics = &self.metrics;
        metrics.update_traffic();
        metrics.log_age_ms.set(self.log_age_ms().map_or(-1, gauge));
        metrics.config_version.set(self.config().map_or(0, |config| gauge(config.version)));
        let stats = self.with_scheduler(|scheduler| scheduler.stats());
        metrics.line_digest_age_ms.set(self.line().map_or(-1, |(_, age_ms)| gauge(age_ms)));
        metrics.replica.set(i64::from(self.has_replica()));
        metrics.leading.set(i64::from(stats.is_some()));
        let stats = stats.unwrap_or_default();
        metrics.kept_bytes.set(size(self.job_table().kept().all));
        let waiting = self.with_scheduler(|scheduler| scheduler.waiting_bytes());
        metrics.waiting_large_bytes.set(size(waiting.unwrap_or_default().large));
        metrics.open_jobs.set(size(stats.jobs));
        metrics.live_runs.set(size(stats.runs));
        let now = self.now();
        let view_age_ms = self.with_scheduler(|scheduler| scheduler.view_age_ms(now));
        metrics.view_age_ms.set(view_age_ms.map_or(-1, gauge));
        let status = self.with_scheduler(|scheduler| scheduler.start_status(now));
        metrics.start_report.set(&status.unwrap_or_default());
        metrics.silent_workers.set(size(stats.silent));
        metrics.held_vms.set(size(stats.held_vms));
        metrics.executors.set(size(self.executors().counts(self.now()).0));
        metrics.config_age_ms.set(self.config_age_ms().map_or(-1, gauge));
        let organisations = self.with_scheduler(|scheduler| scheduler.organisation_overviews());
        let organisations = organisations.unwrap_or_default();
        let counts = organisations.iter().map(|(name, one)| (&**name, one.runs, one.waiting));
        metrics.set_organisations(counts);
    }
}
