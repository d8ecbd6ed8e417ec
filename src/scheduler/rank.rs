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

impl RankTier {
    /// Word for logs.
    pub fn label(self) -> &'static str {
        match self {
            RankTier::Service => "service",
            RankTier::InTime => "in time",
            RankTier::BeyondShare => "beyond its share",
            RankTier::Late => "late",
            RankTier::Overdue => "overdue",
        }
    }
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
    /// Processor time left, in core-milliseconds; for what is overdue, when it was due, in
    /// milliseconds.
    pub work: u64,
}

/// Steps up to which the critical path is computed without an allocation.
const SHORT_PATH_STEPS: usize = 16;

/// Critical path through the steps, in milliseconds; `weight` gives the time that each step counts
/// for.
fn critical_path_ms(steps: &[StepSpec], weight: impl Fn(usize) -> u64) -> u64 {
    let (mut short, mut long) = ([0; SHORT_PATH_STEPS], Vec::new());
    let ends = match short.get_mut(..steps.len()) {
        Some(ends) => ends,
        None => {
            long.resize(steps.len(), 0);
            &mut long[..]
        }
    };
    for (position, step) in steps.iter().enumerate() {
        let (before_ends, _) = ends.split_at(position);
        let earlier = step.after.iter().filter_map(|before| before_ends.get(usize::from(*before)));
        let start = earlier.copied().max().unwrap_or(0);
        ends[position] = start + weight(position);
    }
    ends.iter().copied().max().unwrap_or(0)
}

/// What an occurrence's rank depends on beside the time, its queue and the state of its job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RankInputs {
    /// Run times that the values were computed with.
    model: RuntimeModel,
    /// Length of the critical path, in milliseconds.
    whole_path_ms: u64,
    /// Length of what is left of the critical path, in milliseconds; `None` if it depends on the
    /// time, since all open tasks of a step are under way.
    left_path_ms: Option<u64>,
    /// Processor time left, in core-milliseconds.
    work: u64,
    is_service: bool,
}

impl RankInputs {
    /// The kept inputs of an occurrence, renewed if a step or the run times have changed.
    fn of(steps: &[StepSpec], run: &OccurrenceRun, model: &RuntimeModel) -> RankInputs {
        let kept = run.rank_inputs().filter(|inputs| inputs.model == *model);
        let inputs = kept.unwrap_or_else(|| RankInputs::compute(steps, run, model));
        debug_assert_eq!(inputs, RankInputs::compute(steps, run, model));
        run.keep_rank_inputs(inputs);
        inputs
    }

    fn compute(steps: &[StepSpec], run: &OccurrenceRun, model: &RuntimeModel) -> RankInputs {
        let whole = |position: usize| step_ms(&steps[position], run.steps.get(position), model);
        let mut work = 0;
        for (position, (spec, step)) in steps.iter().zip(&run.steps).enumerate() {
            let tasks = u64::try_from(step.tasks.len() - step.done).unwrap_or(0);
            work += tasks * spec.need.cpu.max(1) * whole(position) / 1_000;
        }
        let has_waiting = |step: &StepRun| step.is_done() || step.counts().waiting > 0;
        let is_constant = run.steps.iter().all(has_waiting);
        RankInputs {
            model: *model,
            whole_path_ms: critical_path_ms(steps, whole),
            left_path_ms: is_constant.then(|| left_path_ms(steps, run, model, 0)),
            work,
            is_service: steps.iter().any(|step| step.is_service),
        }
    }
}

/// What is left of the critical path, in milliseconds.
fn left_path_ms(steps: &[StepSpec], run: &OccurrenceRun, model: &RuntimeModel, now: u64) -> u64 {
    let left = |position: usize| {
        let step = run.steps.get(position);
        let whole_ms = step_ms(&steps[position], step, model);
        step.map_or(0, |step| remaining_ms(step, whole_ms, now))
    };
    critical_path_ms(steps, left)
}

/// Run time of a step's tasks, in milliseconds: as shown by tasks that are done or well under way,
/// else as expected of the queue.
fn step_ms(spec: &StepSpec, run: Option<&StepRun>, model: &RuntimeModel) -> u64 {
    let observed_ms = run.and_then(|run| run.runtimes().median());
    observed_ms.unwrap_or_else(|| model.expected_ms(spec.estimate_ms))
}

/// Time that a step has left, in milliseconds, if its tasks take `whole_ms`.
fn remaining_ms(run: &StepRun, whole_ms: u64, now: u64) -> u64 {
    if run.is_done() {
        return 0;
    }
    let counts = run.counts();
    if counts.waiting > 0 {
        return whole_ms;
    }
    let elapsed_ms = counts.phase_since_ms.map_or(0, |since_ms| now.saturating_sub(since_ms));
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
    let inputs = RankInputs::of(steps, run, model);
    let RankInputs { whole_path_ms, work, is_service, .. } = inputs;
    let path_ms = inputs.left_path_ms.unwrap_or_else(|| left_path_ms(steps, run, model, now));
    let (objective, value_end) = deadlines(queue, whole_path_ms, due_ms);
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
    // The oldest first, so that what has begun ends before more is begun.
    let work = if tier == RankTier::Overdue { due_ms } else { work };
    JobRank { priority: queue.priority, tier, share: 0, work }
}
