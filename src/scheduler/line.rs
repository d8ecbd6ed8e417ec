//! Digest of the backlog of each pool, which entries use to reject submissions.
//!
//! The planning of the pools visits every job ten times a second. The digest is summed up in the
//! same visit and sealed after the next placement, when tasks that found capacity have taken it. It
//! is encoded once; all answers until the next one share the bytes. Without a fresh VM list pools
//! are not planned: then there is no digest, and nothing is rejected, since the capacity that is
//! coming is unknown.
//!
//! Whatever the leader can't tell is left out, so that entries reject too little rather than too
//! much: services, best-effort tasks, tasks that need a label, tasks that a cap holds back, and
//! pools of which no capacity is known. Workers that do not answer yet count as capacity that is
//! coming, and so do the VMs of the standby pool, which demand calls for within a tenth of a second.
//!
//! Beside this the leader keeps count of the tasks that it owes a start, and rejects relayed submissions
//! itself while its starts are slow: by the digest alone, entries would go on accepting for as long as it
//! takes to reach them.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use bytes::Bytes;

use crate::decide::admission::{
    ClassLine, DIGEST_VERSION, LineDigest, PoolLine, PriorityLine, QueueModel, START_WAIT_MAX_MS,
    StartLine, is_counted, is_deferrable, reject_beyond_starts, reject_beyond_turns, size_class,
    task_work,
};
use crate::decide::intake::KeptBytes;
use crate::decide::lateness::round_extra_ms;
use crate::decide::progress_rate::ProgressMeter;
use crate::decide::start_rate::{SLOW_QUEUE_MS, StartMeter};
use crate::jobs::model::{JobId, JobSpec, JobSubmission, StepSpec};
use crate::jobs::record::JobRecord;
use crate::jobs::site::{QueueSpec, VmState};
use crate::scheduler::Scheduler;
use crate::scheduler::job::{JobRun, RunPhase, StepRun};
use crate::scheduler::rank::{JobRank, RankTier};
use crate::scheduler::runtime::RuntimeModel;
use crate::scheduler::start_log::OwedTasks;

/// Age from which the leader sends a digest no more, in milliseconds. A loop that is slower than
/// this has not planned the pools for several intervals.
const SEND_AGE_MAX_MS: u64 = 500;
/// Time after which a caller may retry for whose job accepted ones leave no room, in seconds.
const KEPT_RETRY_S: u64 = 5;
/// Window in which arrivals are counted, in milliseconds: rates are per second.
const ARRIVAL_WINDOW_MS: u64 = 1_000;
/// Age from which the count of tasks that have not begun is used no more, in milliseconds: without a VM
/// list nothing renews it.
const COUNT_AGE_MAX_MS: u64 = 3_000;
/// Time for which a leader goes by what it has begun since it took over, in milliseconds: by then it has been short of
/// starts, or was not.
const BACKLOG_TIME_MS: u64 = 30_000;
/// Starts a second that such a leader counts on before it has begun as many, where full pools hold tasks back.
const UNKNOWN_RATE: u64 = 100;
/// Time from its first begin until a leader knows its rate, in milliseconds: the shortest mean of
/// [`ProgressMeter`].
const RATE_KNOWN_MS: u64 = 500;
/// Longest time for which a leader waits for its first begin, in milliseconds: starts that it holds up count as
/// slow by then.
const UNKNOWN_TIME_MS: u64 = START_WAIT_MAX_MS;
/// Starts a second that any leader brings about.
const LEAST_RATE: u64 = 16;
/// Queues of a pool whose run times the digest holds; submissions to others are accepted.
const MODELS_MAX: usize = 16;

/// A digest as the leader sends it.
#[derive(Clone, Debug)]
pub struct LineReport {
    /// The digest.
    pub digest: Arc<LineDigest>,
    /// Its encoding.
    pub body: Bytes,
    /// When it was computed, in milliseconds.
    pub computed_ms: u64,
}

/// State from which digests are computed.
#[derive(Debug, Default)]
pub(crate) struct LineTracker {
    is_enabled: bool,
    number: u64,
    arrivals: HashMap<ArrivalKey, RateWindow>,
    /// Tasks that began.
    pub starts: StartMeter,
    /// Those of them that are progress.
    pub progress: ProgressMeter,
    /// What a leader that took over knows of its rate, until nothing is owed.
    takeover: Option<Takeover>,
    /// Tasks of accepted jobs that have not begun: as of the last planning of the pools, and what has
    /// come and begun since.
    unbegun: u64,
    /// Those of the last planning, by what they waited for.
    owed: OwedTasks,
    /// Jobs of which nothing is at work, likewise.
    idle_jobs: u64,
    /// When the pools were last planned, in milliseconds.
    planned_ms: u64,
    /// Sums of the latest planning of the pools, until they are sealed.
    sums: Option<LineSums>,
    report: Option<LineReport>,
}

/// What a leader has begun since it took over.
#[derive(Clone, Copy, Debug)]
struct Takeover {
    /// When it took over, in milliseconds.
    at_ms: u64,
    /// When the first task has begun, in milliseconds, and how many have.
    first_begin_ms: Option<u64>,
    begun: u64,
    /// Starts that were handed out.
    sent: u64,
    /// Whether the starts that wait to be handed out need a bound, as the leader has no rate of its own.
    is_queue_bounded: bool,
    /// Rate that its predecessor told, in starts a second; 0 for none.
    told_rate: u64,
    /// Whether it took over tasks that are owed a start, and nothing was heard of its predecessor.
    is_untold: bool,
}

impl Takeover {
    /// Whether there is a rate to go by: that of its predecessor, or its own.
    fn is_rate_known(&self, now: u64) -> bool {
        self.told_rate > 0 || self.has_own_rate(now)
    }

    /// Whether it has had the time to see what it begins.
    fn has_own_rate(&self, now: u64) -> bool {
        self.first_begin_ms.is_some_and(|begin_ms| now >= begin_ms + RATE_KNOWN_MS)
            || now >= self.at_ms + UNKNOWN_TIME_MS
    }

    /// The least that it begins in a second, as long as its rate is not known.
    fn least_rate(&self) -> u64 {
        self.begun.saturating_mul(1_000 / RATE_KNOWN_MS).max(LEAST_RATE)
    }
}

/// Pool, priority and size class of arrivals.
type ArrivalKey = (Arc<str>, u32, u8);

/// Amounts, such as work that arrived, in the current window and in the one before.
#[derive(Clone, Copy, Debug, Default)]
struct RateWindow {
    begun_ms: u64,
    current: u64,
    previous: u64,
}

impl RateWindow {
    fn add(&mut self, amount: u64, now: u64) {
        self.advance(now);
        self.current = self.current.saturating_add(amount);
    }

    fn advance(&mut self, now: u64) {
        let age_ms = now.saturating_sub(self.begun_ms);
        if age_ms < ARRIVAL_WINDOW_MS {
            return;
        }
        let is_next = age_ms < 2 * ARRIVAL_WINDOW_MS;
        self.previous = if is_next { self.current } else { 0 };
        self.current = 0;
        self.begun_ms = now - age_ms % ARRIVAL_WINDOW_MS;
    }

    /// Amount of about the last second. Of the earlier window, the part that is less than a second
    /// old counts.
    fn rate(&mut self, now: u64) -> u64 {
        self.advance(now);
        let left_ms = ARRIVAL_WINDOW_MS.saturating_sub(now.saturating_sub(self.begun_ms));
        let earlier = u128::from(self.previous) * u128::from(left_ms) / 1_000;
        self.current.saturating_add(u64::try_from(earlier).unwrap_or(u64::MAX))
    }
}

/// Work of one job, summed up step by step.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct JobWork {
    waiting: u64,
    begun: u64,
    /// Tasks that have not begun.
    owed: OwedTasks,
}

/// What a task that is not placed waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OwedWait {
    /// Its turn.
    Ready,
    /// Room on a worker.
    PoolFull,
    /// An earlier step.
    LaterStep,
}

impl JobWork {
    /// Adds a step of which `waiting` tasks wait for capacity.
    pub(crate) fn add_step(
        &mut self,
        spec: &StepSpec,
        step: &StepRun,
        waiting: usize,
        model: &RuntimeModel,
        now: u64,
    ) {
        if spec.is_service || spec.is_best_effort {
            return;
        }
        let task_ms = model.expected_ms(spec.estimate_ms);
        if is_counted(spec) {
            let count = u64::try_from(waiting).unwrap_or(u64::MAX);
            self.waiting = self.waiting.saturating_add(task_work(spec, count, task_ms));
        }
        for live in step.tasks.iter().flat_map(|task| &task.live) {
            let left_ms = match live.phase {
                RunPhase::Running => task_ms.saturating_sub(now.saturating_sub(live.begun_ms)),
                RunPhase::Planned | RunPhase::Starting => {
                    let part = match live.is_sent {
                        true => &mut self.owed.sent,
                        false => &mut self.owed.placed,
                    };
                    *part = part.saturating_add(1);
                    task_ms
                }
                // A new leader does not know how long a run has lasted.
                RunPhase::Inherited | RunPhase::Stopping => 0,
            };
            let left = task_work(spec, 1, left_ms);
            self.begun = self.begun.saturating_add(left);
        }
    }
}

impl JobWork {
    /// Whether a task has not begun.
    pub(crate) fn owes_starts(&self) -> bool {
        self.owed.total() > 0
    }

    /// Adds the tasks of a step that wait for capacity or for an earlier step.
    pub(crate) fn add_starts(&mut self, spec: &StepSpec, waiting: usize, wait: OwedWait) {
        if !is_counted(spec) {
            return;
        }
        let part = match wait {
            OwedWait::Ready => &mut self.owed.ready,
            OwedWait::PoolFull => &mut self.owed.pool_full,
            OwedWait::LaterStep => &mut self.owed.later_step,
        };
        *part = part.saturating_add(u64::try_from(waiting).unwrap_or(u64::MAX));
    }

    /// Adds the tasks of a step that a cap holds back: nothing is owed to them.
    pub(crate) fn add_capped(&mut self, spec: &StepSpec, tasks: usize) {
        if is_counted(spec) {
            let tasks = u64::try_from(tasks).unwrap_or(u64::MAX);
            self.owed.capped = self.owed.capped.saturating_add(tasks);
        }
    }
}

/// Sums of one planning of the pools.
#[derive(Debug, Default)]
pub(crate) struct LineSums {
    pools: BTreeMap<Arc<str>, PoolSums>,
    /// Tasks that have not begun.
    owed: OwedTasks,
    /// Jobs of which nothing is at work.
    idle_jobs: u64,
    /// Whether nothing is known of the pools, but what is owed.
    is_partial: bool,
}

#[derive(Debug, Default)]
struct PoolSums {
    begun: u64,
    priorities: BTreeMap<u32, PrioritySums>,
    models: Vec<QueueModel>,
}

#[derive(Debug, Default)]
struct PrioritySums {
    behind: u64,
    classes: BTreeMap<u8, ClassLine>,
}

impl LineSums {
    /// Keeps what is owed alone: of the pools too little is known.
    pub(crate) fn forget_pools(&mut self) {
        self.pools.clear();
        self.is_partial = true;
    }

    /// Counts a job that is owed starts and of which nothing is at work.
    pub(crate) fn add_idle_job(&mut self) {
        self.idle_jobs += 1;
    }

    /// Adds an occurrence of a job.
    pub(crate) fn add_job(
        &mut self,
        queue: &QueueSpec,
        rank: &JobRank,
        work: JobWork,
        model: &RuntimeModel,
    ) {
        self.owed.add(&work.owed);
        if work.waiting == 0 && work.begun == 0 && work.owed.total() == 0 {
            return;
        }
        if !self.pools.contains_key(&queue.service) {
            self.pools.insert(queue.service.clone(), PoolSums::default());
        }
        let Some(pool) = self.pools.get_mut(&queue.service) else { return };
        pool.begun = pool.begun.saturating_add(work.begun);
        if work.waiting == 0 {
            return;
        }
        let is_known = pool.models.iter().any(|known| known.queue == queue.name);
        if !is_known && pool.models.len() < MODELS_MAX {
            let expected_ms = |declared_ms| model.expected_ms(declared_ms);
            pool.models.push(QueueModel::sample(queue.name.clone(), expected_ms));
        }
        let sums = pool.priorities.entry(rank.priority).or_default();
        let is_late = match rank.tier {
            RankTier::Service | RankTier::InTime => false,
            RankTier::Late => true,
            RankTier::BeyondShare | RankTier::Overdue => {
                sums.behind = sums.behind.saturating_add(work.waiting);
                return;
            }
        };
        let number = size_class(rank.work);
        let class = sums.classes.entry(number).or_insert(ClassLine {
            class: number,
            least: u64::MAX,
            ..ClassLine::default()
        });
        class.least = class.least.min(rank.work);
        class.most = class.most.max(rank.work);
        let sum = if is_late { &mut class.late } else { &mut class.in_time };
        *sum = sum.saturating_add(work.waiting);
    }
}

impl LineTracker {
    /// Empty sums for a visit of all jobs; `None` if no digest is wanted.
    pub(crate) fn open_sums(&self) -> Option<LineSums> {
        self.is_enabled.then(LineSums::default)
    }

    /// Keeps the sums of a visit until they are sealed.
    pub(crate) fn set_sums(&mut self, sums: Option<LineSums>, now: u64) {
        if let Some(sums) = &sums {
            self.planned_ms = now;
            self.owed = sums.owed;
            self.unbegun = sums.owed.total();
            self.idle_jobs = sums.idle_jobs;
            self.takeover.take_if(|takeover| self.unbegun == 0 && takeover.has_own_rate(now));
        }
        self.sums = sums;
    }

    /// Tasks that were owed a start when the pools were last planned.
    pub(crate) fn owed_tasks(&self) -> OwedTasks {
        self.owed
    }

    /// Ends the intervals of the rates before this time.
    pub(crate) fn advance(&mut self, now: u64) {
        self.starts.advance(now);
        self.progress.advance(now);
        if let Some(takeover) = &mut self.takeover {
            takeover.is_queue_bounded = !takeover.has_own_rate(now);
        }
    }

    /// Counts a start that was handed out this long after the log had its run, in milliseconds.
    pub(crate) fn record_sent(&mut self, wait_ms: u64, now: u64) {
        self.starts.record_sent(wait_ms, now);
        if let Some(takeover) = &mut self.takeover {
            takeover.sent += 1;
        }
    }

    /// Takes back the count of a start that was handed out and came back.
    pub(crate) fn record_unsent(&mut self, now: u64) {
        self.starts.record_returned(now);
        if let Some(takeover) = &mut self.takeover {
            takeover.sent = takeover.sent.saturating_sub(1);
        }
    }

    /// Most starts that may wait to be handed out until a new leader knows its rate: as many as it has handed
    /// out. What was placed first would go before jobs that have stood longer, and whose starts went with the
    /// leader before.
    pub(crate) fn first_queued_max(&self) -> Option<usize> {
        let takeover = self.takeover.filter(|takeover| takeover.is_queue_bounded)?;
        let told = takeover.told_rate * SLOW_QUEUE_MS / 1_000;
        usize::try_from(takeover.sent.max(told).max(LEAST_RATE)).ok()
    }

    /// Counts a task that has begun this long after its start was handed out, in milliseconds, and whether it
    /// counted as owed.
    pub(crate) fn record_begin(&mut self, is_owed: bool, is_first: bool, path_ms: u64, now: u64) {
        self.starts.record_begin(path_ms, now);
        if !is_owed {
            return;
        }
        self.unbegun = self.unbegun.saturating_sub(1);
        if let Some(takeover) = &mut self.takeover {
            takeover.first_begin_ms.get_or_insert(now);
            takeover.begun += 1;
        }
        if is_first {
            self.progress.record_begin(now);
        }
    }

    /// Counts a task of a step that had begun and has to begin again.
    pub(crate) fn record_returned(&mut self, spec: &StepSpec) {
        if is_counted(spec) {
            self.unbegun = self.unbegun.saturating_add(1);
        }
    }

    /// Counts the tasks of a job that was accepted.
    pub(crate) fn record_accepted(&mut self, spec: &JobSpec) {
        let counted = spec.steps.iter().filter(|step| is_counted(step));
        let tasks = counted.map(|step| u64::from(step.count)).fold(0, u64::saturating_add);
        self.unbegun = self.unbegun.saturating_add(tasks);
        self.idle_jobs = self.idle_jobs.saturating_add(1);
    }

    /// Counts the work of a job that arrived.
    pub(crate) fn record_arrival(
        &mut self,
        queue: &QueueSpec,
        spec: &JobSpec,
        model: &RuntimeModel,
        now: u64,
    ) {
        if !self.is_enabled {
            return;
        }
        let counted = spec.steps.iter().filter(|step| is_counted(step));
        let work = counted
            .map(|step| task_work(step, u64::from(step.count), model.expected_ms(step.estimate_ms)))
            .fold(0, u64::saturating_add);
        let key = (queue.service.clone(), queue.priority, size_class(work));
        self.arrivals.entry(key).or_default().add(work, now);
    }
}

/// Why the leader rejects a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// It can't be begun in time.
    Starts,
    /// Accepted jobs leave no room for it.
    Memory,
}

/// A submission that the leader rejects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayRejection {
    /// Its position in the batch.
    pub position: usize,
    /// Seconds after which its caller may retry.
    pub retry_s: u64,
    /// Why it is rejected.
    pub reason: RejectionReason,
}

/// What a leader owes to accepted jobs, and how fast it brings it about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwedStarts {
    /// Tasks that have not begun.
    pub tasks: u64,
    /// Jobs of which nothing is at work.
    pub jobs: u64,
    /// Tasks that begin for the first time in a second, if that is known.
    pub rate: Option<u64>,
}

/// Capacity of a pool's workers.
#[derive(Clone, Copy, Debug, Default)]
struct PoolCapacity {
    present: u64,
    coming: u64,
    largest_free: crate::jobs::model::ResourceVector,
}

impl Scheduler {
    /// Sets whether digests of the backlog are computed.
    pub fn enable_line(&mut self, is_enabled: bool) {
        self.line.is_enabled = is_enabled;
    }

    /// The newest digest, unless it is too old to be sent.
    pub fn line_report(&self, now: u64) -> Option<LineReport> {
        let report = self.line.report.as_ref()?;
        // Pools are planned less often while the loop is late.
        let age_max_ms = SEND_AGE_MAX_MS + round_extra_ms(self.pace.loop_delay_ms);
        (now < report.computed_ms + age_max_ms).then(|| report.clone())
    }

    /// Computes and encodes a digest, if the pools were planned since the last one.
    pub(crate) fn seal_line(&mut self, now: u64) {
        let Some(sums) = self.line.sums.take() else { return };
        let capacities = self.pool_capacities(&sums, now);
        let starts = self.start_line(now);
        if sums.is_partial && starts.is_none() {
            return;
        }
        self.line.arrivals.retain(|_, window| window.rate(now) > 0);
        let mut pools = Vec::new();
        for (name, sums) in sums.pools {
            let capacity = capacities.get(&name).copied().unwrap_or_default();
            // While no capacity is known, as after a takeover, nothing can be said about waits.
            if sums.priorities.is_empty() || capacity.present == 0 {
                continue;
            }
            pools.push(self.pool_line(name, sums, capacity, now));
        }
        self.line.number += 1;
        let (term, number) = (self.term, self.line.number);
        let digest = LineDigest { version: DIGEST_VERSION, term, number, starts, pools };
        let (digest, body) = digest.encode();
        self.line.report = Some(LineReport {
            digest: Arc::new(digest),
            body: Bytes::from(body),
            computed_ms: now,
        });
    }

    /// What waits for starts while they are slow, or were a short time ago, in all pools: what a full one holds
    /// back is owed as well. A rate of nothing is the worst answer, not an unknown one: what is owed then takes
    /// for ever.
    fn start_line(&self, now: u64) -> Option<StartLine> {
        let waiting = self.line.unbegun;
        if self.line.starts.is_slow() {
            let rate = self.line.progress.rate();
            return Some(StartLine { waiting, rate, is_slow: true });
        }
        // Pools hold the tasks back now; once they have room, the leader will.
        if let Some(rate) = self.line.starts.short_rate() {
            return Some(StartLine { waiting, rate, is_slow: false });
        }
        let is_recent = |takeover: &Takeover| now < takeover.at_ms + BACKLOG_TIME_MS;
        self.takeover_line(&self.line.takeover.filter(is_recent)?, now)
    }

    /// What waits under a leader that took over, by what it has begun since.
    fn takeover_line(&self, takeover: &Takeover, now: u64) -> Option<StartLine> {
        let waiting = self.line.unbegun;
        let open = waiting.saturating_sub(self.line.owed.later_step);
        if !takeover.is_rate_known(now) {
            let line = StartLine { waiting: open, rate: takeover.least_rate(), is_slow: true };
            let is_beyond = line.drain_ms() > START_WAIT_MAX_MS;
            return is_beyond.then_some(StartLine { waiting, rate: 0, is_slow: false });
        }
        // It can begin as many as it has begun in time, and maybe no more.
        let rate = self.line.progress.best_rate();
        let held = open.saturating_sub(self.line.owed.pool_full);
        let line = StartLine { waiting: held, rate: rate.max(LEAST_RATE), is_slow: true };
        if line.drain_ms() > START_WAIT_MAX_MS {
            return Some(line);
        }
        let rate = rate.max(UNKNOWN_RATE);
        takeover.is_untold.then_some(StartLine { waiting, rate, is_slow: false })
    }

    /// Goes by the starts of a predecessor that was short of them until this leader knows its own, and counts
    /// what is owed before the pools are planned.
    pub fn inherit_starts(&mut self, line: &StartLine, now: u64) {
        if line.is_slow {
            self.line.starts.inherit(line.rate, now);
            self.line.progress.inherit(line.rate, now);
        } else if !line.is_rate_unknown() {
            self.line.starts.inherit_short(line.rate, now);
        }
        self.record_takeover(!line.is_rate_unknown(), line.rate, now);
    }

    /// Accepts little beside the jobs that were restored until a rate of starts is known: nothing was heard of
    /// the predecessor's.
    pub fn inherit_backlog(&mut self, now: u64) {
        self.record_takeover(false, 0, now);
    }

    /// The same after a predecessor that was heard of and was not short of starts: what this leader begins is
    /// known only once it has begun some.
    pub fn inherit_unlimited(&mut self, now: u64) {
        self.record_takeover(true, 0, now);
    }

    fn record_takeover(&mut self, is_told: bool, told_rate: u64, now: u64) {
        self.count_restored(now);
        let is_untold = !is_told && self.line.unbegun > 0;
        self.line.takeover = Some(Takeover {
            at_ms: now,
            first_begin_ms: None,
            begun: 0,
            sent: 0,
            is_queue_bounded: true,
            told_rate,
            is_untold,
        });
    }

    /// Counts what is owed to the jobs that were restored, before the pools are planned.
    fn count_restored(&mut self, now: u64) {
        let (mut tasks, mut idle_jobs) = (0_u64, 0_u64);
        for job in self.jobs.values().filter(|job| !job.state.is_final()) {
            let owed = unbegun_tasks(job);
            tasks = tasks.saturating_add(owed);
            idle_jobs += u64::from(owed > 0 && !job.has_live_run());
        }
        (self.line.unbegun, self.line.idle_jobs, self.line.planned_ms) = (tasks, idle_jobs, now);
    }

    /// Takes the submissions out of a batch that this leader can't begin in time. Jobs that are known
    /// stay: a caller that has lost the answer submits them again.
    pub fn reject_unbegun(
        &mut self,
        records: Vec<JobRecord>,
        now: u64,
    ) -> (Vec<JobRecord>, Vec<RelayRejection>) {
        self.reject_relayed(records, now, KeptBytes { all: usize::MAX, large: usize::MAX })
    }

    /// The same, and those for which `room` is not enough.
    pub fn reject_relayed(
        &mut self,
        records: Vec<JobRecord>,
        now: u64,
        mut room: KeptBytes,
    ) -> (Vec<JobRecord>, Vec<RelayRejection>) {
        let is_line_usable = self.line.is_enabled && now < self.line.planned_ms + COUNT_AGE_MAX_MS;
        let (mut accepted, mut rejections) = (Vec::with_capacity(records.len()), Vec::new());
        for (position, record) in records.into_iter().enumerate() {
            let kept = record.kept();
            let rejected = match &record {
                JobRecord::Submitted(job, _) if !room.covers(kept) => {
                    (!self.knows(*job)).then_some((KEPT_RETRY_S, RejectionReason::Memory))
                }
                JobRecord::Submitted(job, submission) if is_line_usable => {
                    let retry_s = self.start_retry_s(*job, submission, now);
                    retry_s.map(|retry_s| (retry_s, RejectionReason::Starts))
                }
                _ => None,
            };
            match rejected {
                Some((retry_s, reason)) => {
                    rejections.push(RelayRejection { position, retry_s, reason });
                }
                None => {
                    room = room.left(kept);
                    // Jobs of the same batch count as ahead of the next.
                    if is_line_usable && let JobRecord::Submitted(_, submission) = &record {
                        self.line.record_accepted(&submission.spec);
                    }
                    accepted.push(record);
                }
            }
        }
        self.begins.record_rejected(rejections.len());
        (accepted, rejections)
    }

    /// What is owed to accepted jobs, for log lines.
    pub fn owed_starts(&self, now: u64) -> OwedStarts {
        let rate = self.start_line(now).map(|line| line.rate);
        OwedStarts { tasks: self.line.unbegun, jobs: self.line.idle_jobs, rate }
    }

    fn knows(&self, job: JobId) -> bool {
        self.jobs.contains_key(&job) || self.finished.contains_key(&job)
    }

    fn start_retry_s(&self, job: JobId, submission: &JobSubmission, now: u64) -> Option<u64> {
        if self.knows(job) || !is_deferrable(&submission.spec) {
            return None;
        }
        let order = job.number();
        let line = self.start_line(now)?;
        reject_beyond_starts(&line, order)
            .or_else(|| reject_beyond_turns(self.line.idle_jobs, line.rate, order))
    }

    fn pool_line(
        &mut self,
        pool: Arc<str>,
        mut sums: PoolSums,
        capacity: PoolCapacity,
        now: u64,
    ) -> PoolLine {
        for ((_, priority, class), window) in
            self.line.arrivals.iter_mut().filter(|((service, ..), _)| *service == pool)
        {
            let classes = &mut sums.priorities.entry(*priority).or_default().classes;
            let line = classes
                .entry(*class)
                .or_insert_with(|| ClassLine { class: *class, ..ClassLine::default() });
            line.arriving = window.rate(now);
        }
        let priorities = sums.priorities.into_iter().map(|(priority, sums)| PriorityLine {
            priority,
            behind: sums.behind,
            classes: sums.classes.into_values().collect(),
        });
        PoolLine {
            pool,
            begun: sums.begun,
            capacity: capacity.present,
            coming: capacity.coming,
            largest_free: capacity.largest_free,
            models: sums.models,
            priorities: priorities.collect(),
        }
    }

    /// Capacity of the pools with waiting work.
    fn pool_capacities(&self, sums: &LineSums, now: u64) -> HashMap<Arc<str>, PoolCapacity> {
        let has_waiting = |(_, sums): &(&Arc<str>, &PoolSums)| !sums.priorities.is_empty();
        let spare = self.spare_capacity();
        let mut capacities: HashMap<Arc<str>, PoolCapacity> = sums
            .pools
            .iter()
            .filter(has_waiting)
            .map(|(pool, _)| {
                let coming = self.moving_capacity(pool).saturating_add(spare);
                (pool.clone(), PoolCapacity { coming, ..PoolCapacity::default() })
            })
            .collect();
        if capacities.is_empty() {
            return capacities;
        }
        for worker in self.workers.values().filter(|worker| worker.is_listed) {
            let Some(pool) = capacities.get_mut(&worker.entry.service) else { continue };
            let cpu = worker.entry.capacity.cpu;
            if worker.is_available(now) {
                pool.present = pool.present.saturating_add(cpu);
                pool.largest_free = pool.largest_free.component_max(&worker.free());
            } else if !worker.entry.is_draining && !worker.is_reserved {
                pool.coming = pool.coming.saturating_add(cpu);
            }
        }
        capacities
    }

    /// Capacity of the VMs that are on their way to a pool.
    fn moving_capacity(&self, pool: &str) -> u64 {
        let moving =
            self.fleet.operations.iter().filter(|(_, operation)| operation.is_for_pool(pool));
        let vms = moving.filter_map(|(vm, _)| self.fleet.vms.get(vm));
        vms.map(|vm| vm.capacity.cpu).fold(0, u64::saturating_add)
    }

    /// Capacity of the VMs that any pool can call for.
    fn spare_capacity(&self) -> u64 {
        let is_standby = |pool: &str| self.config.pool(pool).is_some_and(|pool| pool.is_standby);
        let spare = self.fleet.vms.values().filter(|vm| {
            vm.state == VmState::Up
                && is_standby(&vm.pool)
                && !self.fleet.operations.contains_key(&vm.vm)
        });
        spare.map(|vm| vm.capacity.cpu).fold(0, u64::saturating_add)
    }
}

/// Tasks of a job that have no run, of steps that count.
fn unbegun_tasks(job: &JobRun) -> u64 {
    let spec = &job.submission.spec;
    let counted = |steps: &[StepRun]| -> u64 {
        let steps = spec.steps.iter().zip(steps).filter(|(spec, _)| is_counted(spec));
        steps.map(|(_, step)| u64::try_from(step.counts().waiting).unwrap_or(u64::MAX)).sum()
    };
    if job.occurrences.is_empty() && spec.schedule.is_none() {
        let counted = spec.steps.iter().filter(|step| is_counted(step));
        return counted.map(|step| u64::from(step.count)).sum();
    }
    job.occurrences.values().map(|run| counted(&run.steps)).sum()
}
