//! Order in which jobs get capacity.
//!
//! Guards against bursts: for some seconds a queue asks for several times its mean, more than its
//! pool holds. Served in order of arrival, every job would wait for all work before it and miss its
//! objective. So jobs that can still meet their objective go before those that can't, and among
//! these the job with the least work left goes first: it frees its capacity soonest, and most jobs
//! are in time.

use crate::jobs::model::{JobState, StepSpec};
use crate::jobs::site::QueueSpec;
use crate::scheduler::job::{JobRun, OccurrenceRun, StepRun};
use crate::scheduler::runtime::RuntimeModel;
use crate::scheduler::stragglers::median_runtime_ms;

/// A job counts as able to meet its objective if this share of its expected remaining run time fits
/// before the objective, in percent: expected run times are off either way.
const FEASIBLE_PERCENT: u64 = 70;
/// A late job still has value up to this multiple of its objective.
const LATE_FACTOR: u64 = 3;

/// Urgency of an occurrence's tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RankTier {
    /// Services: each second of downtime counts.
    Service,
    /// Can meet the objective.
    InTime,
    /// Can meet the objective, but arrived beyond its organisation's share.
    BeyondShare,
    /// Late, but still of value.
    Late,
    /// Too late to be of value.
    Overdue,
}

/// Position in the order; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobRank {
    /// Priority of the queue.
    pub priority: u32,
    /// Urgency.
    pub tier: RankTier,
    /// Steps of a fair share that the organisation's running work has reached in the pool; 0 unless
    /// organisations compete there.
    pub share: u64,
    /// Processor time left, in core-milliseconds.
    pub work: u64,
}

/// Critical path through the steps, in milliseconds; `weight` gives the time that each step counts
/// for.
fn critical_path_ms(steps: &[StepSpec], weight: impl Fn(usize) -> u64) -> u64 {
    let mut ends: Vec<u64> = Vec::with_capacity(steps.len());
    for (position, step) in steps.iter().enumerate() {
        let earlier = step.after.iter().filter_map(|before| ends.get(usize::from(*before)));
        let start = earlier.copied().max().unwrap_or(0);
        ends.push(start + weight(position));
    }
    ends.into_iter().max().unwrap_or(0)
}

/// Run time of a step's tasks, in milliseconds: as shown by tasks that are done or well under way,
/// else as expected of the queue.
fn step_ms(spec: &StepSpec, run: Option<&StepRun>, model: &RuntimeModel) -> u64 {
    let observed_ms = run.and_then(|run| median_runtime_ms(run, None));
    observed_ms.unwrap_or_else(|| model.expected_ms(spec.estimate_ms))
}

/// Time that a step has left, in milliseconds, if its tasks take `whole_ms`.
fn remaining_ms(run: &StepRun, whole_ms: u64, now: u64) -> u64 {
    if run.is_done() {
        return 0;
    }
    let is_waiting = run.tasks.iter().any(|task| !task.is_done && !task.has_live_run());
    if is_waiting {
        return whole_ms;
    }
    let begun =
        run.tasks.iter().flat_map(|task| task.live.iter()).map(|live| live.phase_since_ms).max();
    let elapsed_ms = begun.map_or(0, |begun| now.saturating_sub(begun));
    // A task that exceeds its run time is assumed to be nearly done.
    whole_ms.saturating_sub(elapsed_ms).max(whole_ms / 10)
}

/// Time by which an occurrence should be done and time from which it has no value, in milliseconds
/// of the steady clock; `critical_path_ms` is the length of its critical path.
fn deadlines(queue: &QueueSpec, critical_path_ms: u64, due_ms: u64) -> (u64, u64) {
    let objective = stretched(critical_path_ms, queue.stretch) + queue.objective_ms;
    (due_ms + objective, due_ms + objective * LATE_FACTOR)
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, clippy::cast_precision_loss)]
fn stretched(path_ms: u64, stretch: f64) -> u64 {
    (path_ms as f64 * stretch.max(1.0)) as u64
}

/// Rank of an occurrence's tasks.
pub fn rank(
    job: &JobRun,
    queue: &QueueSpec,
    run: &OccurrenceRun,
    model: &RuntimeModel,
    due_ms: u64,
    now: u64,
) -> JobRank {
    let steps = &job.submission.spec.steps;
    let whole: Vec<u64> = steps
        .iter()
        .enumerate()
        .map(|(position, spec)| step_ms(spec, run.steps.get(position), model))
        .collect();
    let left = |position: usize| {
        run.steps.get(position).map_or(0, |step| remaining_ms(step, whole[position], now))
    };
    let path_ms = critical_path_ms(steps, left);
    let mut work = 0;
    for (position, (spec, step)) in steps.iter().zip(&run.steps).enumerate() {
        let tasks = u64::try_from(step.tasks.len() - step.done).unwrap_or(0);
        work += tasks * spec.need.cpu.max(1) * whole[position] / 1_000;
    }
    let whole_path_ms = critical_path_ms(steps, |position| whole[position]);
    let (objective, value_end) = deadlines(queue, whole_path_ms, due_ms);
    let is_service = steps.iter().any(|step| step.is_service);
    let tier = if is_service {
        RankTier::Service
    } else if now + path_ms * FEASIBLE_PERCENT / 100 <= objective {
        if job.is_beyond_share { RankTier::BeyondShare } else { RankTier::InTime }
    } else if now + path_ms <= value_end {
        RankTier::Late
    } else {
        RankTier::Overdue
    };
    debug_assert!(!job.state.is_final() || job.state == JobState::Running);
    JobRank { priority: queue.priority, tier, share: 0, work }
}
