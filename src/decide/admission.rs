//! Whether an entry accepts a submission although its pool's backlog is long.
//!
//! The load that this answers is a burst that asks for several times the capacity of a pool for
//! some seconds. Each job that is stored costs the leader processor time, and a job that can't be
//! done while it has value holds capacity that another one needs. Such a job is rejected before it
//! is stored, with the time after which a retry is likely to succeed.
//!
//! The leader sends a digest of the backlog with its answers. The decision takes the optimistic
//! side of everything that is uncertain: half of the work ahead counts, capacity that is coming
//! counts as if it were there, and arrivals count for one second only. A job is rejected only if
//! it can neither begin while it goes before late jobs, nor end while it has value behind them.
//! This is the order of [`crate::scheduler::rank`].
//!
//! A leader may begin fewer tasks than its pools have capacity for. What it accepts beyond that waits
//! however much capacity is free, and delays all that was accepted before. While starts are slow
//! ([`crate::decide::start_rate`]), submissions are rejected beyond what begins in time
//! ([`reject_beyond_starts`]): by the leader, as entries relay them, and by entries themselves, since
//! the digest tells how many tasks have not begun and how many begin in a second.
//!
//! All arithmetic saturates, because declared run times and sizes are of any magnitude.

use std::cmp::Ordering;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::jobs::model::{JobSpec, ResourceVector, StepSpec};
use crate::jobs::site::QueueSpec;

/// Version of the digest's format.
pub const DIGEST_VERSION: u8 = 3;
/// Largest encoded digest, in bytes.
pub const DIGEST_BYTES_MAX: usize = 4_096;
/// Time for which an entry uses what a digest tells of starts, in milliseconds. Entries that reject
/// relay nothing and get a digest only with the answers to their offers, one or two seconds apart.
pub const START_LINE_AGE_MAX_MS: u64 = 3_000;
/// Time for which it is of use once that leader is gone, in milliseconds: a digest that came with an offer,
/// and the time until a successor leads.
const LAST_LINE_AGE_MAX_MS: u64 = 2 * START_LINE_AGE_MAX_MS;
/// Longest time in which a leader whose starts are slow must be able to begin all accepted tasks, in
/// milliseconds; users count a job that has capacity and does not begin as lost after 3 s.
pub const START_WAIT_MAX_MS: u64 = 3_000;
/// Longest time in which each job of which nothing is at work gets a start, in milliseconds: the other
/// half passes before a job has a turn ahead of the order.
const TURN_WAIT_MAX_MS: u64 = START_WAIT_MAX_MS / 2;
/// Number of classes of job sizes.
pub const SIZE_CLASSES: u8 = 16;
/// Time for which an entry uses a digest, in milliseconds.
pub const DIGEST_AGE_MAX_MS: u64 = 1_000;
/// Upper bound of the smallest size class, in core-milliseconds.
const CLASS_BASE: u64 = 1_000;
/// Share of the work ahead that counts, as a divisor.
const AHEAD_DIVISOR: u64 = 2;
/// Time for which work is assumed to go on arriving, in milliseconds: a burst may end at any time.
const ARRIVAL_HORIZON_MS: u64 = 1_000;
/// Share of the expected critical path that a job takes at least, in percent. The leader orders
/// jobs by the same share.
const PATH_PERCENT: u64 = 70;
/// A job has value up to this multiple of its objective.
const VALUE_FACTOR: u64 = 3;
/// Bounds of the time after which a rejected caller may retry, in whole seconds.
const RETRY_MIN_S: u64 = 1;
const RETRY_MAX_S: u64 = 8;
/// Fewest seconds over which retries are spread, beside the first.
const RETRY_SPREAD_S: u64 = 3;
/// Fixed-point unit of a model's slope.
const SLOPE_UNIT: u64 = 1_000_000;

/// Backlog of a site as its leader sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LineDigest {
    /// Version of the format; the first byte of the encoding.
    pub version: u8,
    /// Term of the leader.
    pub term: u64,
    /// Number of the digest; increases within a term.
    pub number: u64,
    /// Starts that the leader owes; `None` unless they are slow, or were a short time ago.
    pub starts: Option<StartLine>,
    /// Pools in which work waits.
    pub pools: Vec<PoolLine>,
}

/// Starts that a leader has still to bring about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartLine {
    /// Tasks of accepted jobs that have not begun, whatever they wait for.
    pub waiting: u64,
    /// Tasks that begin for the first time in a second.
    pub rate: u64,
    /// Whether starts are slow; otherwise full pools hold the tasks back, and the rate is that which lasted
    /// when they were, or nothing while it is unknown.
    pub is_slow: bool,
}

impl StartLine {
    /// Whether a leader that took over a backlog has not begun enough to know its rate.
    pub fn is_rate_unknown(&self) -> bool {
        self.rate == 0 && !self.is_slow
    }

    /// Time in which all that waits begins, in milliseconds.
    pub fn drain_ms(&self) -> u64 {
        drain_ms(self.waiting, self.rate)
    }
}

/// Backlog of one pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolLine {
    /// Name of the pool.
    pub pool: Arc<str>,
    /// Work that has begun and is not done, in core-milliseconds.
    pub begun: u64,
    /// Capacity of the workers in use, in core-milliseconds a second.
    pub capacity: u64,
    /// Capacity that may be in use within two seconds.
    pub coming: u64,
    /// Largest free amount of each resource on any worker.
    pub largest_free: ResourceVector,
    /// Run times of the queues that have waiting work.
    pub models: Vec<QueueModel>,
    /// Waiting work by priority.
    pub priorities: Vec<PriorityLine>,
}

/// Expected run time of a queue's tasks as a linear function of the declared one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueModel {
    /// Name of the queue.
    pub queue: Arc<str>,
    /// Run time at a declared time of zero, in milliseconds.
    pub offset_ms: i64,
    /// Growth with the declared time, in millionths.
    pub slope: u64,
}

/// Waiting work of one priority.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PriorityLine {
    /// The priority; 0 is the highest.
    pub priority: u32,
    /// Work of jobs behind every new job of this priority: beyond a share, or of no value any more.
    pub behind: u64,
    /// Size classes with work.
    pub classes: Vec<ClassLine>,
}

/// Waiting work of one priority and size class, in core-milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassLine {
    /// Position of the class, from 0.
    pub class: u8,
    /// Work of jobs that can still meet their objective.
    pub in_time: u64,
    /// Work of jobs that can't, and still have value.
    pub late: u64,
    /// Work of jobs that arrived within the last second.
    pub arriving: u64,
    /// Remaining work of the smallest waiting job.
    pub least: u64,
    /// Remaining work of the largest waiting job.
    pub most: u64,
}

/// Size class of a job: each class is twice the previous one.
pub fn size_class(work: u64) -> u8 {
    let doublings = (work / CLASS_BASE).checked_ilog2().map_or(0, |log| log + 1);
    u8::try_from(doublings).unwrap_or(u8::MAX).min(SIZE_CLASSES - 1)
}

/// Work of `count` tasks of a step that take `task_ms` each, in core-milliseconds.
pub fn task_work(spec: &StepSpec, count: u64, task_ms: u64) -> u64 {
    let cores = spec.need.cpu.max(1).saturating_mul(count);
    let work = u128::from(cores) * u128::from(task_ms) / 1_000;
    u64::try_from(work).unwrap_or(u64::MAX)
}

/// Whether work of this step is compared with the capacity of the whole pool.
pub fn is_counted(spec: &StepSpec) -> bool {
    // Services displace others, best-effort tasks reserve no processor, and a label restricts a
    // step to workers whose capacity the digest does not tell.
    !spec.is_service && !spec.is_best_effort && spec.required_label.is_none()
}

impl LineDigest {
    /// Decodes an answer's body. Returns `None` for an empty one, as an earlier build sends, and
    /// for one that is malformed, too large or of another version.
    pub fn decode(body: &[u8]) -> Option<LineDigest> {
        if body.first() != Some(&DIGEST_VERSION) || body.len() > DIGEST_BYTES_MAX {
            return None;
        }
        postcard::from_bytes(body).ok()
    }

    /// Encodes the digest. Pools beyond the largest size are left out, those with the least waiting
    /// work first; submissions to them are accepted.
    pub fn encode(mut self) -> (LineDigest, Vec<u8>) {
        self.pools.sort_by_key(|pool| std::cmp::Reverse(pool.waiting()));
        let pools = std::mem::take(&mut self.pools);
        // Numbers take ten bytes each at most: term, number, count of pools and the two of the starts.
        // The version and the mark of the starts take one byte each.
        let mut bytes = 52;
        for pool in pools {
            let size = postcard::to_stdvec(&pool).map_or(usize::MAX, |pool| pool.len());
            if size <= DIGEST_BYTES_MAX.saturating_sub(bytes) {
                bytes += size;
                self.pools.push(pool);
            }
        }
        let body = postcard::to_stdvec(&self).unwrap_or_default();
        (self, body)
    }

    /// The backlog of a pool, if work waits there.
    pub fn pool(&self, name: &str) -> Option<&PoolLine> {
        self.pools.iter().find(|pool| &*pool.pool == name)
    }

    fn order(&self) -> (u64, u64) {
        (self.term, self.number)
    }
}

impl PoolLine {
    /// Work that waits, in core-milliseconds.
    pub fn waiting(&self) -> u64 {
        let waiting = self.priorities.iter().map(PriorityLine::waiting);
        waiting.fold(0, u64::saturating_add)
    }
}

impl PriorityLine {
    fn waiting(&self) -> u64 {
        let classes = self.classes.iter().map(|class| class.in_time.saturating_add(class.late));
        classes.fold(self.behind, u64::saturating_add)
    }

    fn arriving(&self) -> u64 {
        self.classes.iter().map(|class| class.arriving).fold(0, u64::saturating_add)
    }
}

impl QueueModel {
    /// Expected run time of tasks declared to take `declared_ms`, in milliseconds.
    pub fn expected_ms(&self, declared_ms: u64) -> u64 {
        let grown = u128::from(declared_ms) * u128::from(self.slope) / u128::from(SLOPE_UNIT);
        let grown = u64::try_from(grown).unwrap_or(u64::MAX);
        grown.saturating_add_signed(self.offset_ms).max(1)
    }

    /// The model that follows `expected_ms`, a linear function that may be clamped at small times.
    #[allow(clippy::cast_possible_truncation, clippy::cast_precision_loss)]
    #[allow(clippy::cast_sign_loss)]
    pub fn sample(queue: Arc<str>, expected_ms: impl Fn(u64) -> u64) -> QueueModel {
        // Far from the clamp, and far below 2^53, up to which a float is exact.
        const SAMPLE_MS: u64 = 1_000_000_000;
        let (near, far) = (expected_ms(SAMPLE_MS), expected_ms(2 * SAMPLE_MS));
        let slope = far.saturating_sub(near) as f64 / SAMPLE_MS as f64;
        let offset_ms = (near as f64 - slope * SAMPLE_MS as f64).round() as i64;
        QueueModel { queue, offset_ms, slope: (slope * SLOPE_UNIT as f64).round() as u64 }
    }
}

/// The newest digest that an entry has received, and when.
#[derive(Clone, Debug, Default)]
pub struct DigestSlot {
    newest: Option<(Arc<LineDigest>, u64)>,
    /// Starts that the newest digest told of, and when that came, in milliseconds.
    last_line: Option<(StartLine, u64)>,
}

impl DigestSlot {
    /// Takes a digest unless it is older than one that was received; returns whether it was newer.
    /// A digest that is received again keeps its first time.
    pub fn receive(&mut self, digest: LineDigest, now: u64) -> bool {
        let is_newer =
            self.newest.as_ref().is_none_or(|(newest, _)| newest.order() < digest.order());
        if is_newer {
            self.last_line = digest.starts.map(|line| (line, now));
            self.newest = Some((Arc::new(digest), now));
        }
        is_newer
    }

    /// The digest and its age in milliseconds, while it may be used.
    pub fn usable(&self, now: u64) -> Option<(Arc<LineDigest>, u64)> {
        self.younger_than(DIGEST_AGE_MAX_MS, now)
    }

    /// The same, while it may be used for what it tells of starts.
    pub fn usable_for_starts(&self, now: u64) -> Option<(Arc<LineDigest>, u64)> {
        self.younger_than(START_LINE_AGE_MAX_MS, now)
    }

    /// Forgets what the digest tells of starts, as the leader that sent it has been replaced.
    pub fn forget_starts(&mut self) {
        if let Some((digest, _)) = &mut self.newest
            && digest.starts.is_some()
        {
            Arc::make_mut(digest).starts = None;
        }
    }

    /// Whether a leader was heard of lately, whatever it told.
    pub fn has_recent(&self, now: u64) -> bool {
        self.newest
            .as_ref()
            .is_some_and(|(_, received_ms)| now < received_ms + LAST_LINE_AGE_MAX_MS)
    }

    /// What a leader that was short of starts owed when it was last heard of, whether it still leads or not.
    pub fn last_line(&self, now: u64) -> Option<StartLine> {
        let (line, received_ms) = self.last_line?;
        (now < received_ms + LAST_LINE_AGE_MAX_MS).then_some(line)
    }

    fn younger_than(&self, age_max_ms: u64, now: u64) -> Option<(Arc<LineDigest>, u64)> {
        let (digest, received_ms) = self.newest.as_ref()?;
        let age_ms = now.checked_sub(*received_ms)?;
        (age_ms < age_max_ms).then(|| (digest.clone(), age_ms))
    }
}

/// What the decision needs to know about a job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobDemand {
    /// The job's id as a number; among jobs of equal work the smallest goes first.
    pub order: u64,
    /// Priority of its queue.
    pub priority: u32,
    /// Its work, in core-milliseconds.
    pub work: u64,
    /// Its expected critical path, in milliseconds.
    pub path_ms: u64,
    /// Its objective, in milliseconds after its arrival.
    pub objective_ms: u64,
    /// Reservations of the steps that are ready at once.
    pub ready: Vec<ResourceVector>,
}

impl JobDemand {
    /// The demand of a job that may be rejected. Returns `None` for one that never is: a service, a
    /// scheduled job, one that the pool's capacity says nothing about, one without an objective,
    /// and one of unknown run time.
    pub fn of(spec: &JobSpec, order: u64, queue: &QueueSpec, line: &PoolLine) -> Option<JobDemand> {
        let is_exempt = spec.schedule.is_some() || queue.objective_ms == 0;
        if is_exempt || !spec.steps.iter().all(|step| is_counted(step) && step.estimate_ms > 0) {
            return None;
        }
        let model = line.models.iter().find(|model| model.queue == queue.name)?;
        let (mut work, mut path_ms) = (0_u64, 0);
        let mut ends: Vec<u64> = Vec::with_capacity(spec.steps.len());
        for step in &spec.steps {
            let task_ms = model.expected_ms(step.estimate_ms);
            work = work.saturating_add(task_work(step, u64::from(step.count), task_ms));
            let earlier = step.after.iter().filter_map(|before| ends.get(usize::from(*before)));
            let end = earlier.copied().max().unwrap_or(0).saturating_add(task_ms);
            ends.push(end);
            path_ms = path_ms.max(end);
        }
        let ready = spec.steps.iter().filter(|step| step.after.is_empty());
        Some(JobDemand {
            order,
            priority: queue.priority,
            work,
            path_ms,
            objective_ms: stretched(path_ms, queue.stretch).saturating_add(queue.objective_ms),
            ready: ready.map(StepSpec::reservation).collect(),
        })
    }

    fn class(&self) -> u8 {
        size_class(self.work)
    }

    /// Part of `work` in the job's own class that goes before it. The smallest job goes first; the
    /// jobs of a class are taken to be spread evenly between its smallest and its largest.
    fn share_ahead(&self, line: &ClassLine, work: u64) -> u64 {
        let (part, whole) = match line.most.checked_sub(line.least) {
            _ if self.work > line.most => (1, 1),
            _ if self.work < line.least => (0, 1),
            None | Some(0) => (self.order, u64::MAX),
            Some(span) => (self.work - line.least, span),
        };
        let ahead = u128::from(work) * u128::from(part) / u128::from(whole);
        u64::try_from(ahead).unwrap_or(u64::MAX)
    }
}

/// Why a job is rejected, and when its caller may retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineRejection {
    /// Work ahead of the job, in core-milliseconds.
    pub work_ahead: u64,
    /// Capacity that is there or coming, in core-milliseconds a second.
    pub capacity: u64,
    /// When the job would end at the earliest, in milliseconds from now.
    pub end_ms: u64,
    /// When it would have no value any more, in milliseconds from now.
    pub value_end_ms: u64,
    /// Whole seconds after which the caller may retry.
    pub retry_s: u64,
}

/// Work ahead of a job.
#[derive(Clone, Copy, Debug, Default)]
struct WorkAhead {
    /// Waiting and begun, in core-milliseconds.
    present: u64,
    /// Arriving, in core-milliseconds a second.
    arriving: u64,
}

impl WorkAhead {
    fn add(&mut self, present: u64, arriving: u64) {
        self.present = self.present.saturating_add(present);
        self.arriving = self.arriving.saturating_add(arriving);
    }

    /// Work ahead of a job while it can meet its objective, and once it can't. Until then, smaller
    /// jobs that can meet theirs go first; after that, all jobs that can, and smaller late ones.
    /// Arrivals count only then: if they ended now, the job could still be in time.
    fn of(job: &JobDemand, line: &PoolLine) -> (WorkAhead, WorkAhead) {
        let (mut in_time, mut late) = (WorkAhead::default(), WorkAhead::default());
        in_time.add(line.begun, 0);
        late.add(line.begun, 0);
        for group in line.priorities.iter().filter(|group| group.priority <= job.priority) {
            if group.priority < job.priority {
                in_time.add(group.waiting(), 0);
                late.add(group.waiting(), group.arriving());
                continue;
            }
            for class in &group.classes {
                late.add(class.in_time, class.arriving);
                let before = |work| match class.class.cmp(&job.class()) {
                    Ordering::Less => work,
                    Ordering::Equal => job.share_ahead(class, work),
                    Ordering::Greater => 0,
                };
                in_time.add(before(class.in_time), 0);
                late.add(before(class.late), 0);
            }
        }
        (in_time, late)
    }

    /// When a job behind this work ends, in milliseconds from now, if a part of the work counts. It
    /// takes `path_ms`, and must end by `limit_ms`: what arrives after it must have begun is not
    /// ahead of it.
    fn end_ms(self, present_divisor: u64, capacity: u64, path_ms: u64, limit_ms: u64) -> u64 {
        let horizon_ms = limit_ms.saturating_sub(path_ms).min(ARRIVAL_HORIZON_MS);
        let arriving = self.arriving / 1_000 * horizon_ms / AHEAD_DIVISOR;
        let work = (self.present / present_divisor).saturating_add(arriving);
        drain_ms(work, capacity).saturating_add(path_ms)
    }
}

/// Decides on a job; `None` accepts it.
pub fn reject(job: &JobDemand, line: &PoolLine) -> Option<LineRejection> {
    let has_free_capacity = job.ready.iter().any(|need| line.largest_free.covers(need));
    if has_free_capacity || line.waiting() == 0 || job.path_ms == 0 || job.objective_ms == 0 {
        return None;
    }
    let (in_time, late) = WorkAhead::of(job, line);
    let capacity = line.capacity.saturating_add(line.coming);
    let path_ms = job.path_ms / 100 * PATH_PERCENT + job.path_ms % 100 * PATH_PERCENT / 100;
    if in_time.end_ms(1, capacity, path_ms, job.objective_ms) <= job.objective_ms {
        return None;
    }
    let value_end_ms = job.objective_ms.saturating_mul(VALUE_FACTOR);
    let end_ms = late.end_ms(AHEAD_DIVISOR, capacity, path_ms, value_end_ms);
    (end_ms > value_end_ms).then(|| LineRejection {
        work_ahead: late.present,
        capacity,
        end_ms,
        value_end_ms,
        retry_s: retry_s(job.order, drain_ms(late.present, capacity)),
    })
}

/// Whether a job's start may be put off: services and scheduled jobs are promised for a time, and
/// best-effort tasks wait for leftover capacity anyway.
pub fn is_deferrable(spec: &JobSpec) -> bool {
    let is_prompt = |step: &StepSpec| step.is_service || step.is_best_effort;
    spec.schedule.is_none() && !spec.steps.iter().any(is_prompt)
}

/// Seconds after which the caller of a job may retry because the leader can't begin in time what it
/// has accepted; `None` accepts the job. `order` is the job's id as a number.
///
/// Where full pools hold the tasks back, what has begun leaves as soon, so that a job ends in twice the
/// time.
pub fn reject_beyond_starts(line: &StartLine, order: u64) -> Option<u64> {
    let drain_ms = line.drain_ms();
    // It is known within seconds.
    if line.is_rate_unknown() && drain_ms > 0 {
        return Some(retry_s(order, 0));
    }
    let wait_max_ms = if line.is_slow { START_WAIT_MAX_MS } else { 2 * START_WAIT_MAX_MS };
    (drain_ms > wait_max_ms).then(|| retry_s(order, drain_ms))
}

/// Seconds after which the caller of a job may retry because nobody leads and the last leader was short of
/// starts: nothing begins until the next one does, and no entry knows what the others accept meanwhile.
pub fn retry_without_leader_s(line: &StartLine, order: u64) -> u64 {
    retry_s(order, line.drain_ms().max(START_WAIT_MAX_MS))
}

/// Seconds after which the caller of a job may retry because not each of the `idle_jobs`, of which
/// nothing is at work, has a turn in time; `None` accepts the job. `rate` is that of starts, in a second.
pub fn reject_beyond_turns(idle_jobs: u64, rate: u64, order: u64) -> Option<u64> {
    let turn_ms = drain_ms(idle_jobs, rate);
    (turn_ms > TURN_WAIT_MAX_MS).then(|| retry_s(order, turn_ms))
}

/// Time in which work is done at a capacity, in milliseconds.
fn drain_ms(work: u64, capacity: u64) -> u64 {
    match (work, capacity) {
        (0, _) => 0,
        (_, 0) => u64::MAX,
        (work, capacity) => {
            let time_ms = u128::from(work) * 1_000 / u128::from(capacity);
            u64::try_from(time_ms).unwrap_or(u64::MAX)
        }
    }
}

/// Seconds after which a caller may retry. The work ahead is forecast to take `drain_ms`; half of
/// it counts in the decision, so retries succeed from about half of this time on. They are spread
/// over the rest by the job's id, so that they do not all arrive in the same second.
fn retry_s(order: u64, drain_ms: u64) -> u64 {
    let drained_s = drain_ms.div_ceil(1_000).clamp(RETRY_MIN_S, RETRY_MAX_S);
    let last = drained_s.max(RETRY_MIN_S + RETRY_SPREAD_S);
    let first = (drained_s / 2).clamp(RETRY_MIN_S, last - RETRY_SPREAD_S);
    first + xxh3_64(&order.to_le_bytes()) % (last - first + 1)
}

/// The cast saturates.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, clippy::cast_precision_loss)]
fn stretched(path_ms: u64, stretch: f64) -> u64 {
    (path_ms as f64 * stretch.max(1.0)) as u64
}
