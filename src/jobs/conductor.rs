//! Runs the scheduler while this entry leads, and connects it to the log, the workers and the VMs.
//!
//! One task ticks the scheduler and executes its actions; commands to workers go through their
//! lanes (`lanes.rs`). Other tasks commit decisions to the log, report wave statuses, send delegated
//! starts and follow the workers' stream. All of them end with the leadership.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use slog::{info, warn};
use tokio::sync::{Notify, mpsc};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, sleep, timeout};
use tokio::try_join;

use crate::decide::lateness::{LoopLateness, round_extra_ms};
use crate::decide::leadership::PreviousLeader;
use crate::jobs::decision_log;
use crate::jobs::delegate::StartDelegate;
use crate::jobs::follower::{TailReader, TailStep, fold_step, read_as_of_ms};
use crate::jobs::lanes::{LaneCommand, WorkerLanes};
use crate::jobs::leader_load::{LeaderLoad, PendingCommit};
use crate::jobs::metrics::count;
use crate::jobs::node::JobNode;
use crate::jobs::ports::{
    AppendCall, AppendOutcome, JobLog, LogTopic, PermitClient, VmClient, VmStamp, WorkerClient,
    WriterStamp,
};
use crate::jobs::record::KeyedRecord;
use crate::jobs::site::{WorkerEntry, worker_name};
use crate::jobs::timeout_estimator::TimeoutEstimator;
use crate::jobs::wave_reporter::WaveReporter;
use crate::scheduler::commit::CommitBatch;
use crate::scheduler::fleet::vm_list_pause_ms;
use crate::scheduler::{Scheduler, SchedulerAction, SchedulerStart, SchedulerStats};

/// Longest wait for an event before the next tick of the scheduler.
const TICK_INTERVAL_MAX: Duration = Duration::from_millis(50);
/// Pause between two ticks, so that one tick handles several events: jobs and exits come in bursts.
const TICK_PAUSE: Duration = Duration::from_millis(6);
/// Time between two log lines about waiting commands, in milliseconds.
const FLOW_LOG_INTERVAL_MS: u64 = 500;
/// Pause between two commits. Exits of a burst come a few milliseconds apart, and each append has a
/// cost, so one commit covers several of them. The pause is short compared with the shortest task.
const COMMIT_PAUSE: Duration = Duration::from_millis(8);
/// Largest addition to this pause, for the time that answers spend in a queue.
const COMMIT_PAUSE_GROWTH_MAX: Duration = Duration::from_millis(120);
/// Largest timeout of an append, after which it is repeated.
const APPEND_TIMEOUT: Duration = Duration::from_millis(700);
/// Age from which an unfinished commit is logged as slow, in milliseconds.
const SLOW_COMMIT_MS: u64 = 500;
/// Delay before an append or read is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Longest wait for records in one read of the workers' stream, and the pause between two reads.
const WORKERS_READ_WAIT: Duration = Duration::from_millis(700);
const WORKERS_READ_PAUSE: Duration = Duration::from_millis(120);
/// Writer name in the log; the epoch is the leader's term.
const WRITER: &str = "leader";

/// Decodes a worker's record, whose format the platform adapter defines; `None` if it is malformed
/// or a deletion.
pub type WorkerDecoder = fn(&KeyedRecord) -> Option<WorkerEntry>;
/// Encodes the status of a wave, from its number and whether it is complete, in the format of the
/// platform adapter; `None` if encoding fails.
pub type WaveEncoder = fn(u64, bool) -> Option<KeyedRecord>;

/// Clients and formats that a leader needs.
#[derive(Clone)]
pub struct ConductorParts<L, W, V, P> {
    /// Client of the log.
    pub log: L,
    /// Client for commands to workers.
    pub workers: W,
    /// Client of the VM service.
    pub vms: V,
    /// Client of the placement policy service.
    pub permits: P,
    /// Decoder for the records of the workers' stream.
    pub worker_decoder: WorkerDecoder,
    /// Encoder for wave statuses.
    pub wave_encoder: WaveEncoder,
}

/// A new term of this entry.
#[derive(Clone, Copy, Debug)]
pub struct LeaderTerm {
    /// Term number, which is also the epoch of its writers on the log.
    pub number: u64,
    /// The previous leader, as last seen.
    pub predecessor: Option<PreviousLeader>,
    /// When the append that confirmed this leadership was sent, in milliseconds.
    pub confirmed_ms: u64,
}

/// A running leader.
pub struct Conductor {
    node: Arc<JobNode>,
    main_task: AbortHandle,
    vm_commands: Arc<AtomicUsize>,
    is_closing: Arc<AtomicBool>,
    confirmed_ms: Arc<AtomicU64>,
}

impl Conductor {
    /// Starts the takeover and the term in a task of its own.
    pub fn spawn<L, W, V, P>(
        node: Arc<JobNode>,
        parts: ConductorParts<L, W, V, P>,
        term: LeaderTerm,
    ) -> Conductor
    where
        L: JobLog,
        W: WorkerClient,
        V: VmClient,
        P: PermitClient,
    {
        let (wave_reporter, statuses) = WaveReporter::open(
            parts.log.clone(),
            parts.wave_encoder,
            node.logger.clone(),
            term.number,
        );
        let (lanes, delegate) = WorkerLanes::open(node.clone(), parts.workers.clone());
        let run = LeaderRun {
            node: node.clone(),
            parts,
            term: term.number,
            sequence: Mutex::new(0),
            append_timeout: Mutex::new(TimeoutEstimator::new(APPEND_TIMEOUT)),
            lanes,
            commit_wake: Notify::new(),
            pending_commit: Mutex::default(),
            statuses,
            vm_commands: Arc::default(),
            is_closing: Arc::default(),
            confirmed_ms: Arc::new(AtomicU64::new(term.confirmed_ms)),
        };
        let (vm_commands, confirmed_ms) = (run.vm_commands.clone(), run.confirmed_ms.clone());
        let is_closing = run.is_closing.clone();
        let leading = Arc::new(run).lead(wave_reporter, delegate, term.predecessor);
        let main_task = tokio::spawn(leading).abort_handle();
        Conductor { node, main_task, vm_commands, is_closing, confirmed_ms }
    }

    /// Records that the log has confirmed the leadership by an append that was sent at `sent_ms`.
    /// Takes effect during the takeover too.
    pub fn confirm(&self, sent_ms: u64) {
        self.confirmed_ms.fetch_max(sent_ms, Ordering::AcqRel);
        self.node.with_scheduler(|scheduler| scheduler.confirm(sent_ms));
    }

    /// Lets no further command to a VM be sent while the leader is about to resign. Returns whether one still waits for
    /// its answer.
    pub fn close_vm_commands(&self, is_closing: bool) -> bool {
        self.is_closing.store(is_closing, Ordering::SeqCst);
        self.vm_commands.load(Ordering::SeqCst) > 0
    }

    /// Whether the term has ended by itself, because a higher term was seen.
    pub fn is_finished(&self) -> bool {
        self.main_task.is_finished()
    }

    /// Aborts all tasks of the term at once.
    pub fn stop(self) {
        self.main_task.abort();
    }
}

struct LeaderRun<L, W, V, P> {
    node: Arc<JobNode>,
    parts: ConductorParts<L, W, V, P>,
    term: u64,
    sequence: Mutex<u64>,
    append_timeout: Mutex<TimeoutEstimator>,
    lanes: Arc<WorkerLanes<W>>,
    commit_wake: Notify,
    /// The commit in flight.
    pending_commit: Mutex<Option<PendingCommit>>,
    statuses: mpsc::UnboundedSender<(u64, bool)>,
    /// Number of commands to VMs without an answer yet.
    vm_commands: Arc<AtomicUsize>,
    /// Whether no further one may be sent, as the leader is about to resign.
    is_closing: Arc<AtomicBool>,
    /// When the append of the newest confirmation was sent, in milliseconds.
    confirmed_ms: Arc<AtomicU64>,
}

impl<L, W, V, P> LeaderRun<L, W, V, P>
where
    L: JobLog,
    W: WorkerClient,
    V: VmClient,
    P: PermitClient,
{
    async fn lead(
        self: Arc<Self>,
        wave_reporter: WaveReporter<L>,
        delegate: StartDelegate,
        predecessor: Option<PreviousLeader>,
    ) {
        // The time before the first try counts: a try without an answer may have been stored, and a
        // later one is then answered with the end that the first had found.
        let raised_ms = self.node.now();
        let jobs = async {
            let end = self.raise_epoch().await.ok_or(())?;
            self.read_through(end).await;
            Ok::<u64, ()>(end)
        };
        // Workers are no concern of the epoch: on a long path each read in turn would delay all starts.
        let workers = async { Ok(self.first_workers().await) };
        let Ok((end, (tail, workers, workers_read_ms))) = try_join!(jobs, workers) else { return };
        let Some(config) = self.node.config() else { return };
        let start = SchedulerStart {
            term: self.term,
            bounds: self.node.settings.bounds,
            config,
            predecessor,
            confirmed_ms: self.confirmed_ms.load(Ordering::Acquire),
            jobs_read_ms: raised_ms.max(self.node.jobs_read_ms()),
            workers_read_ms,
            now: self.node.now(),
            wall_ms: self.node.clock.wall_ms(),
        };
        let stats = self.install(start, workers);
        info!(self.node.logger, "takeover complete"; "term" => self.term, "jobs" => stats.jobs,
            "runs" => stats.runs, "workers" => stats.workers, "offset" => end);
        // Dropping the set aborts all its tasks.
        let mut tasks = JoinSet::new();
        tasks.spawn(self.clone().commit());
        tasks.spawn(wave_reporter.run());
        tasks.spawn(delegate.run());
        tasks.spawn(self.clone().follow_workers(tail));
        self.run_ticks(&mut tasks).await;
        self.node.set_scheduler(None);
    }

    /// Opens the scheduler and installs it in the node.
    ///
    /// The job table stays locked until then: a record applied in between would reach no scheduler,
    /// and its job would wait for the next leader.
    fn install(&self, start: SchedulerStart, workers: Vec<WorkerEntry>) -> SchedulerStats {
        let (now, wall_ms) = (start.now, start.wall_ms);
        let waves = self.node.waves();
        let job_table = self.node.job_table();
        let mut scheduler = Scheduler::open(start, &job_table);
        scheduler.set_fair_shares(self.node.settings.has_fair_shares);
        scheduler.set_burst_holds(self.node.settings.holds_vms);
        match self.node.last_start_line() {
            Some(line) => scheduler.inherit_starts(&line, now),
            None if !self.node.has_recent_line() => scheduler.inherit_backlog(now),
            None => scheduler.inherit_unlimited(now),
        }
        if self.node.settings.keeps_learned {
            scheduler.keep_learned(&job_table, now, wall_ms);
        }
        scheduler.workers_listed(workers, now);
        for wave in waves.values() {
            scheduler.add_wave(wave.clone(), job_table.maintained(wave.number), now);
        }
        let stats = scheduler.stats();
        self.node.set_scheduler(Some(scheduler));
        stats
    }

    /// Fences earlier leaders out of the job log by raising its epoch to this term. Returns the end
    /// of the log, or `None` if a later leader has fenced this one.
    async fn raise_epoch(&self) -> Option<u64> {
        let call = self.append_call(Vec::new(), 0);
        loop {
            match self.append(&call).await {
                AppendOutcome::Done { end, .. } => {
                    *self.sequence() = 1;
                    return Some(end);
                }
                AppendOutcome::Fenced => return None,
                AppendOutcome::OutOfSequence => {
                    // An earlier try was stored.
                    *self.sequence() = 1;
                }
                AppendOutcome::EndMoved { .. }
                | AppendOutcome::Refused
                | AppendOutcome::Unknown => {}
            }
            sleep(RETRY_DELAY).await;
        }
    }

    fn sequence(&self) -> MutexGuard<'_, u64> {
        self.sequence.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn append_timeout(&self) -> MutexGuard<'_, TimeoutEstimator> {
        self.append_timeout.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn pending_commit(&self) -> MutexGuard<'_, Option<PendingCommit>> {
        self.pending_commit.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn append_call(&self, records: Vec<KeyedRecord>, sequence: u64) -> AppendCall {
        let stamp = WriterStamp { writer: WRITER.into(), epoch: self.term, sequence };
        AppendCall { topic: LogTopic::Jobs, records, expected_end: None, stamp: Some(stamp) }
    }

    async fn append(&self, call: &AppendCall) -> AppendOutcome {
        let started = Instant::now();
        let append_timeout = self.append_timeout().timeout_over(self.parts.log.round_trip());
        let outcome = self.parts.log.append(call, append_timeout).await;
        self.node.metrics.append_seconds.observe(started.elapsed().as_secs_f64());
        self.append_timeout().record_outcome(outcome, started.elapsed());
        if matches!(outcome, AppendOutcome::Done { .. }) {
            self.node.record_log_answer();
        }
        outcome
    }

    /// Reads the job log into the job table up to `end`, which covers all records of earlier leaders.
    async fn read_through(&self, end: u64) {
        let mut tail = TailReader::at(LogTopic::Jobs, self.node.applied_offset());
        while self.node.applied_offset() < end {
            let step = tail.next(&self.parts.log, Duration::ZERO).await;
            let has_records = match &step {
                TailStep::Snapshot(records) | TailStep::Records(records) => !records.is_empty(),
                TailStep::Failed => false,
            };
            fold_step(&self.node, step, tail.position());
            if !has_records && self.node.applied_offset() < end {
                sleep(RETRY_DELAY).await;
            }
        }
    }

    /// Reads all worker entries. Also returns the reader for the records that follow, and when the
    /// first page was requested, in milliseconds.
    async fn first_workers(&self) -> (TailReader, Vec<WorkerEntry>, u64) {
        let mut tail = TailReader::new(LogTopic::Workers);
        let mut asked_ms = self.node.now();
        loop {
            if !tail.has_partial_snapshot() {
                asked_ms = self.node.now();
            }
            if let TailStep::Snapshot(records) = tail.next(&self.parts.log, Duration::ZERO).await {
                return (tail, self.decode_workers(&records), asked_ms);
            }
            sleep(RETRY_DELAY).await;
        }
    }

    fn decode_workers(&self, records: &[(u64, KeyedRecord)]) -> Vec<WorkerEntry> {
        let decode = |(_, record): &(u64, KeyedRecord)| {
            let entry = (self.parts.worker_decoder)(record);
            if entry.is_none() && !record.value.is_empty() {
                self.node.metrics.noted.note("worker", &record.key, &record.value);
            }
            entry
        };
        records.iter().filter_map(decode).collect()
    }

    async fn follow_workers(self: Arc<Self>, mut tail: TailReader) {
        let mut asked_ms = self.node.now();
        loop {
            let sent_ms = self.node.now();
            if !tail.has_partial_snapshot() {
                asked_ms = sent_ms;
            }
            let step = tail.next(&self.parts.log, WORKERS_READ_WAIT).await;
            let now = self.node.now();
            match step {
                TailStep::Snapshot(records) => {
                    let entries = self.decode_workers(&records);
                    self.node.record_log_answer();
                    self.node.with_scheduler(|scheduler| {
                        scheduler.workers_listed(entries, now);
                        scheduler.workers_read(asked_ms);
                    });
                }
                TailStep::Records(records) => {
                    self.node.record_log_answer();
                    self.apply_worker_records(&records, now);
                    if tail.is_at_end() {
                        let shown_ms =
                            read_as_of_ms(records.is_empty(), sent_ms, WORKERS_READ_WAIT, now);
                        self.node.with_scheduler(|scheduler| scheduler.workers_read(shown_ms));
                    }
                }
                TailStep::Failed => {}
            }
            self.node.wake.notify_one();
            sleep(WORKERS_READ_PAUSE).await;
        }
    }

    fn apply_worker_records(&self, records: &[(u64, KeyedRecord)], now: u64) {
        for (_, record) in records {
            if record.value.is_empty() {
                let id: Arc<str> = record.key.as_str().into();
                self.node.with_scheduler(|scheduler| scheduler.worker_unlisted(&id, now));
                continue;
            }
            match (self.parts.worker_decoder)(record) {
                Some(entry) => {
                    self.node.with_scheduler(|scheduler| scheduler.worker_seen(entry, now));
                }
                // As in a snapshot, which does not list the worker then: it gets nothing new, and
                // its runs go on.
                None => {
                    self.node.metrics.noted.note("worker", &record.key, &record.value);
                    if worker_name(&record.key) == record.key {
                        let id: Arc<str> = record.key.as_str().into();
                        self.node.with_scheduler(|scheduler| scheduler.worker_unlisted(&id, now));
                    }
                }
            }
        }
    }

    /// Updates the metric of the command window, and logs the flow while commands wait.
    fn log_flow(&self) {
        let stats = self.lanes.flow().stats(self.node.now());
        let window = i64::try_from(stats.window).unwrap_or(i64::MAX);
        self.node.metrics.command_window.set(window);
        if stats.waiting > 0 {
            info!(self.node.logger, "starts are queued"; "window" => stats.window,
                "under_way" => stats.in_flight, "waiting" => stats.waiting,
                "line_ms" => stats.queue_delay_ms, "ended" => stats.ended);
        }
    }

    async fn run_ticks(self: &Arc<Self>, tasks: &mut JoinSet<()>) {
        let mut logged_ms = 0;
        let mut load = LeaderLoad::open(&self.node);
        let mut lateness = LoopLateness::default();
        loop {
            let now = self.node.now();
            let wall_ms = self.node.clock.wall_ms();
            let pace = self.lanes.flow().pace(now).delayed_by(lateness.delay_ms());
            if now >= logged_ms + FLOW_LOG_INTERVAL_MS {
                logged_ms = now;
                self.log_flow();
            }
            let start_timeout_ms = self.node.executors().longest_timeout_ms(now);
            let tick_result = self.node.with_scheduler(|scheduler| {
                scheduler.set_pace(pace);
                scheduler.set_start_timeout(start_timeout_ms);
                scheduler.tick(now, wall_ms);
                let age_ms = scheduler.confirmation_age_ms(now);
                (scheduler.take_actions(), scheduler.is_deposed(), age_ms)
            });
            let Some((actions, is_deposed, age_ms)) = tick_result else { return };
            load.record_confirmation_age(age_ms);
            if is_deposed {
                info!(self.node.logger, "higher term seen"; "term" => self.term);
                return;
            }
            for action in actions {
                self.execute(action, tasks);
            }
            self.commit_wake.notify_one();
            while tasks.try_join_next().is_some() {}
            let paused_at = Instant::now();
            sleep(TICK_PAUSE).await;
            let commit = *self.pending_commit();
            let late = paused_at.elapsed().saturating_sub(TICK_PAUSE);
            lateness.record_wake(u64::try_from(late.as_micros()).unwrap_or(u64::MAX));
            self.node.set_loop_delay(lateness.delay_ms());
            load.record_wake(&self.node, late, commit);
            // A timeout without a wake-up is the usual case.
            let _ = timeout(TICK_INTERVAL_MAX, self.node.wake.notified()).await;
        }
    }

    fn execute(self: &Arc<Self>, action: SchedulerAction, tasks: &mut JoinSet<()>) {
        match action {
            SchedulerAction::SendCommand(target, task, run) => {
                self.lanes.send(&target, LaneCommand::Run(task, run), tasks);
            }
            SchedulerAction::StopUntracked(target, call) => {
                self.lanes.send(&target, LaneCommand::Stop(call), tasks);
            }
            SchedulerAction::Throttle(target, call, percent) => {
                self.lanes.send(&target, LaneCommand::Throttle(call, percent), tasks);
            }
            SchedulerAction::StartRenewals(target) => self.lanes.watch(&target, tasks),
            SchedulerAction::RenewNow(worker) => self.lanes.wake(&worker),
            SchedulerAction::CancelCalls(worker) => self.lanes.forget(&worker),
            SchedulerAction::ListVms => {
                tasks.spawn(self.clone().list_vms());
            }
            SchedulerAction::CommandVm(command, fence) => {
                let leader = self.clone();
                tasks.spawn(async move {
                    let holder = leader.node.settings.node.clone();
                    let may_send = || leader.may_command_vms();
                    let stamp = VmStamp { holder, fence };
                    // Counted before the last look at whether it may be sent.
                    leader.vm_commands.fetch_add(1, Ordering::SeqCst);
                    let outcome = leader.parts.vms.command(&command, &stamp, may_send).await;
                    leader.vm_commands.fetch_sub(1, Ordering::SeqCst);
                    let now = leader.node.now();
                    leader.node.with_scheduler(|scheduler| {
                        scheduler.vm_commanded(&command, outcome, now);
                    });
                    leader.node.wake.notify_one();
                });
            }
            SchedulerAction::PublishWaveStatus(number, is_completed) => {
                // The reporter ends only when a later leader has replaced it.
                let _ = self.statuses.send((number, is_completed));
            }
            SchedulerAction::RequestPermits(step, workers) => {
                let leader = self.clone();
                tasks.spawn(async move {
                    let grant = leader.parts.permits.ask(&step, &workers).await;
                    let allowed = grant.as_ref().map(|grant| grant.allowed.len());
                    info!(leader.node.logger, "placement permits"; "step" => %step,
                        "asked" => workers.len(), "allowed" => allowed);
                    let now = leader.node.now();
                    leader
                        .node
                        .with_scheduler(|scheduler| scheduler.update_permits(step, grant, now));
                    leader.node.wake.notify_one();
                });
            }
            SchedulerAction::Event(event) => decision_log::write(&self.node, &event),
        }
    }

    fn may_command_vms(&self) -> bool {
        let now = self.node.now();
        let may = self.node.with_scheduler(|scheduler| scheduler.may_command_vms(now));
        may.unwrap_or(false) && !self.node.is_stopping() && !self.is_closing.load(Ordering::SeqCst)
    }

    async fn list_vms(self: Arc<Self>) {
        let asked_ms = self.node.now();
        let Some(vms) = self.parts.vms.list().await else {
            count(&self.node.metrics.vm_calls, "list_failed");
            warn!(self.node.logger, "VM list not available";
                "took_ms" => self.node.now().saturating_sub(asked_ms));
            return;
        };
        let now = self.node.now();
        let pause_ms = vm_list_pause_ms(vms.len(), self.node.settings.link)
            .max(round_extra_ms(self.node.loop_delay_ms()));
        self.node.with_scheduler(|scheduler| {
            scheduler.update_vms(vms, asked_ms, now);
            scheduler.pause_vm_list(pause_ms, now);
        });
        self.node.wake.notify_one();
    }

    /// Commits the scheduler's decisions, one append at a time.
    async fn commit(self: Arc<Self>) {
        loop {
            let limit = self.parts.log.append_limit();
            self.node.metrics.append_limit.set(i64::try_from(limit).unwrap_or(i64::MAX));
            let take_batch = |scheduler: &mut Scheduler| scheduler.take_commit_within(limit);
            let batch = self.node.with_scheduler(take_batch).flatten();
            let Some(batch) = batch else {
                self.commit_wake.notified().await;
                continue;
            };
            if !self.commit_batch(batch).await {
                self.node.with_scheduler(Scheduler::depose);
                self.node.wake.notify_one();
                return;
            }
            // Changes of one job in the same commit share a record. On a congested link a third of
            // the outgoing data are records, so longer pauses save traffic there.
            let queue_delay =
                Duration::from_millis(self.lanes.flow().stats(self.node.now()).queue_delay_ms);
            sleep(COMMIT_PAUSE + queue_delay.min(COMMIT_PAUSE_GROWTH_MAX)).await;
        }
    }

    /// Appends the batch until the log has stored it; false if a later leader has fenced this one.
    async fn commit_batch(&self, mut batch: CommitBatch) -> bool {
        let sequence = *self.sequence();
        if batch.records.is_empty() {
            self.committed(&batch);
            return true;
        }
        let sent_ms = self.node.now();
        let mut pending = PendingCommit { bytes: batch.bytes(), begun_ms: sent_ms, tries: 0 };
        // Each try sends the same call; a large commit is not copied for it.
        let call = self.append_call(std::mem::take(&mut batch.records), sequence);
        loop {
            pending.tries += 1;
            *self.pending_commit() = Some(pending);
            let outcome = self.append(&call).await;
            self.log_slow_commit(call.records.len(), pending);
            match outcome {
                AppendOutcome::Done { offset, end } => {
                    *self.sequence() = sequence + 1;
                    self.lanes.flow().record_commit(self.node.now().saturating_sub(sent_ms));
                    if self.node.fold_appended(&batch.decoded, offset, end) {
                        self.node.record_jobs_read(sent_ms);
                    }
                    self.committed(&batch);
                    return true;
                }
                AppendOutcome::Fenced | AppendOutcome::OutOfSequence => return false,
                AppendOutcome::EndMoved { .. }
                | AppendOutcome::Refused
                | AppendOutcome::Unknown => {}
            }
            self.node.metrics.append_repeats.inc();
            sleep(RETRY_DELAY).await;
        }
    }

    /// Logs a commit that takes long.
    fn log_slow_commit(&self, records: usize, pending: PendingCommit) {
        let age_ms = self.node.now().saturating_sub(pending.begun_ms);
        if age_ms < SLOW_COMMIT_MS {
            return;
        }
        info!(self.node.logger, "slow commit to the log"; "bytes" => pending.bytes,
            "records" => records, "tries" => pending.tries, "age_ms" => age_ms,
            "room" => self.parts.log.append_limit());
    }

    fn committed(&self, batch: &CommitBatch) {
        *self.pending_commit() = None;
        let now = self.node.now();
        self.node.with_scheduler(|scheduler| scheduler.committed(batch, now));
        self.node.complete_relays(&batch.relayed);
        self.node.wake.notify_one();
    }
}
