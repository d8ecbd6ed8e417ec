//! A job whose tasks are being scheduled, and its conversion to and from the logged progress.
//!
//! A leader in a burst ranks thousands of waiting jobs in each round of placement, while few of them
//! have changed since the last one. What these decisions need of a step, an occurrence or a job is
//! therefore computed on first use and kept until the step is next accessed for a change. Every
//! change goes through [`JobRun::step_mut`] or [`JobRun::task_mut`], which drop the kept values.

use std::cell::{Cell, OnceCell};
use std::collections::BTreeMap;
use std::sync::Arc;

use crate::decide::start_rate::START_TIME_MAX_MS;
use crate::jobs::job_table::LoggedJob;
use crate::jobs::model::{JobId, JobState, JobSubmission, StepSpec, TASKS_MAX, TaskKey};
use crate::jobs::record::{JobProgress, LossCount, TaskProgress, TaskRestarts};
use crate::scheduler::downtime::LastAlive;
use crate::scheduler::rank::RankInputs;
use crate::scheduler::stragglers::{RuntimeSample, sample_ms};

/// Throttle that a new leader assumes for a run that it inherits, in percent of full speed: the
/// value set by its predecessor is not known.
const INHERITED_THROTTLE: u32 = 50;

/// Phase of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// Placed, but not logged yet: no start may be sent.
    Planned,
    /// Logged; the start was sent or will be, and has no answer yet.
    Starting,
    /// The worker has confirmed the run.
    Running,
    /// Read from the log by a new leader; the worker has not confirmed it to this leader yet.
    Inherited,
    /// A stop was sent or will be.
    Stopping,
}

/// One run of a task that may be alive.
#[derive(Clone, Debug)]
pub struct LiveRun {
    /// Worker of the run.
    pub worker: Arc<str>,
    /// Run number.
    pub run: u32,
    /// Phase of the run.
    pub phase: RunPhase,
    /// When the run entered its phase, in milliseconds.
    pub phase_since_ms: u64,
    /// When this leader placed the run or read it from the log, in milliseconds.
    pub placed_ms: u64,
    /// Position in the order in which this leader placed runs; 0 for those of an earlier leader.
    pub order: u64,
    /// When the start or stop may be sent again, in milliseconds.
    pub retry_ms: u64,
    /// Latest progress that the worker reported, in percent.
    pub percent: u32,
    /// When the progress last rose, in milliseconds.
    pub progress_ms: u64,
    /// When the run was first confirmed, in milliseconds.
    pub begun_ms: u64,
    /// When the worker answered the start or stop of this phase, in milliseconds.
    pub answered_ms: Option<u64>,
    /// Whether a start was handed out to be sent.
    pub is_sent: bool,
    /// When a start was first handed out to be sent, in milliseconds; 0 if none was by this leader.
    pub first_sent_ms: u64,
    /// Whether the worker has listed the run as running.
    pub is_listed: bool,
    /// When the worker last listed the run, in milliseconds.
    pub last_listed_ms: u64,
    /// Whether the loss of a worker that may have had this run was counted.
    pub is_loss_counted: bool,
    /// Whether a start had no answer: it may still be carried out seconds later.
    pub is_in_doubt: bool,
    /// Start attempts that were handed out to be sent and whose outcome is not known yet.
    pub open_tries: u32,
    /// Stops that were handed out to be sent.
    pub stops: u32,
    /// Share of its full speed that the run may use, in percent.
    pub throttle: u32,
    /// When the throttle was last sent, in milliseconds.
    pub throttled_ms: u64,
    /// Whether a throttle had no answer: it may be carried out after newer ones.
    pub is_throttle_in_doubt: bool,
}

impl LiveRun {
    /// A run that is placed now.
    pub fn planned(worker: Arc<str>, run: u32, now: u64) -> LiveRun {
        LiveRun {
            worker,
            run,
            phase: RunPhase::Planned,
            phase_since_ms: now,
            placed_ms: now,
            order: 0,
            retry_ms: now,
            percent: 0,
            progress_ms: now,
            begun_ms: 0,
            answered_ms: None,
            is_sent: false,
            first_sent_ms: 0,
            is_listed: false,
            last_listed_ms: 0,
            is_loss_counted: false,
            is_in_doubt: false,
            open_tries: 0,
            stops: 0,
            throttle: 100,
            throttled_ms: 0,
            is_throttle_in_doubt: false,
        }
    }

    /// Whether an attempt of its start may still be carried out, whatever became of the others.
    pub fn may_start_late(&self) -> bool {
        self.is_in_doubt || self.open_tries > 0
    }

    /// When its start was first handed out, in milliseconds, or its placement if this leader did not.
    pub(crate) fn sent_ms(&self) -> u64 {
        match self.first_sent_ms {
            0 => self.placed_ms,
            sent_ms => sent_ms,
        }
    }

    /// Whether it was placed and no worker has confirmed it.
    pub fn is_booked(&self) -> bool {
        matches!(self.phase, RunPhase::Planned | RunPhase::Starting)
    }

    /// Whether it is at work, by what its worker has told this leader.
    pub fn is_at_work(&self) -> bool {
        match self.phase {
            RunPhase::Planned | RunPhase::Starting => false,
            RunPhase::Inherited => self.is_listed,
            RunPhase::Running | RunPhase::Stopping => true,
        }
    }

    /// Enters a phase.
    pub fn enter(&mut self, phase: RunPhase, now: u64) {
        self.phase = phase;
        self.phase_since_ms = now;
        self.retry_ms = now;
        self.answered_ms = None;
        self.stops = 0;
    }
}

/// State of a task.
#[derive(Clone, Debug, Default)]
pub struct TaskRun {
    /// Highest run number given out.
    pub run: u32,
    /// Runs that ended in failure.
    pub failures: u32,
    /// Whether the task is done.
    pub is_done: bool,
    /// Runs that may be alive.
    pub live: Vec<LiveRun>,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
    /// Earliest time of the next start, in milliseconds.
    pub not_before_ms: u64,
    /// When the task became ready to be placed or its last run ended, in milliseconds.
    pub waiting_since_ms: u64,
    /// Times that the task was moved for being slow or stalled.
    pub moves: u32,
    /// Run time of the last run, in milliseconds; set once the task is done.
    pub took_ms: Option<u64>,
    /// Latest run that counts as failed.
    pub failed_run: u32,
    /// Workers on which the task failed.
    pub failed_on: Vec<Arc<str>>,
    /// Workers that were lost while they ran the task.
    pub losses: LossCount,
    /// Whether a run of it is known to have begun.
    pub has_begun: bool,
    /// Until when a run of it was at work under this leader, in milliseconds; 0 if none was.
    pub worked_ms: u64,
    /// When the task was last serving, in milliseconds; services only.
    pub last_serving_ms: u64,
    /// When the last run was last known to be alive.
    pub last_alive: Option<LastAlive>,
}

impl TaskRun {
    /// Notes that a run has begun; returns whether none was known to have begun before.
    pub(crate) fn begin(&mut self) -> bool {
        !std::mem::replace(&mut self.has_begun, true)
    }

    /// Whether the task has a run that may be alive.
    pub fn has_live_run(&self) -> bool {
        !self.live.is_empty()
    }

    /// Whether a service task is serving: running, with its startup complete.
    pub fn is_serving(&self) -> bool {
        self.live.iter().any(|live| live.phase == RunPhase::Running && live.percent >= 100)
    }
}

/// Counts over the tasks of a step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StepCounts {
    /// Tasks that are not done and have no run that may be alive.
    pub waiting: usize,
    /// Runs that may be alive.
    pub live: usize,
    /// Those of them that were placed and that no worker has confirmed.
    pub booked: usize,
    /// When a run last entered its phase, in milliseconds; `None` if there is no run.
    pub phase_since_ms: Option<u64>,
    /// Earliest time at which every waiting task may start, in milliseconds.
    pub startable_ms: u64,
    /// Whether a waiting task has lost a worker.
    pub has_losses: bool,
    /// Those that are at work, by their workers' word.
    pub at_work: usize,
    /// Those that an earlier leader placed and that no worker has confirmed.
    pub inherited: usize,
    /// When a run that no worker has confirmed was last placed, in milliseconds; `None` for none.
    pub placed_ms: Option<u64>,
    /// Until when a run was at work under this leader, in milliseconds; 0 if none was.
    pub worked_ms: u64,
}

impl StepCounts {
    fn of(tasks: &[TaskRun]) -> StepCounts {
        let mut counts = StepCounts::default();
        for task in tasks {
            if !task.is_done && !task.has_live_run() {
                counts.waiting += 1;
                counts.startable_ms = counts.startable_ms.max(task.not_before_ms);
                counts.has_losses |= task.losses != LossCount::default();
            }
            counts.live += task.live.len();
            counts.booked += task.live.iter().filter(|live| live.is_booked()).count();
            for live in &task.live {
                if live.is_at_work() {
                    counts.at_work += 1;
                } else if live.is_booked() {
                    counts.placed_ms = counts.placed_ms.max(Some(live.placed_ms));
                } else {
                    counts.inherited += 1;
                }
            }
            counts.worked_ms = counts.worked_ms.max(task.worked_ms);
            let newest_ms = task.live.iter().map(|live| live.phase_since_ms).max();
            counts.phase_since_ms = counts.phase_since_ms.max(newest_ms);
        }
        counts
    }
}

/// State of a step in one occurrence.
#[derive(Clone, Debug)]
pub struct StepRun {
    /// Tasks of the step.
    pub tasks: Vec<TaskRun>,
    /// Number of tasks that are done.
    pub done: usize,
    counts: Cell<Option<StepCounts>>,
    runtimes: OnceCell<RuntimeSample>,
}

impl StepRun {
    fn new(spec: &StepSpec) -> StepRun {
        let count = usize::try_from(spec.count).unwrap_or(0);
        StepRun {
            tasks: vec![TaskRun::default(); count],
            done: 0,
            counts: Cell::default(),
            runtimes: OnceCell::new(),
        }
    }

    /// Counts over the tasks.
    pub fn counts(&self) -> StepCounts {
        let counts = self.counts.get().unwrap_or_else(|| StepCounts::of(&self.tasks));
        debug_assert_eq!(counts, StepCounts::of(&self.tasks));
        self.counts.set(Some(counts));
        counts
    }

    /// Run times of the tasks that are done or well under way.
    pub fn runtimes(&self) -> &RuntimeSample {
        let sample = self.runtimes.get_or_init(|| RuntimeSample::of(&self.tasks));
        debug_assert_eq!(*sample, RuntimeSample::of(&self.tasks));
        sample
    }

    /// Median run time of the tasks that are done or well under way, except the one at `index`;
    /// `None` if there are too few.
    pub fn median_without(&self, index: usize) -> Option<u64> {
        self.runtimes().median_without(self.tasks.get(index).and_then(sample_ms))
    }

    fn forget_counts(&mut self) {
        self.counts.set(None);
        self.runtimes.take();
    }

    /// Whether every task is done.
    pub fn is_done(&self) -> bool {
        self.done >= self.tasks.len()
    }

    /// Marks a task done; returns whether it was not done before.
    pub fn finish(&mut self, index: usize) -> bool {
        self.forget_counts();
        let Some(task) = self.tasks.get_mut(index) else { return false };
        if std::mem::replace(&mut task.is_done, true) {
            return false;
        }
        self.done += 1;
        true
    }
}

/// One run of all steps of a job.
#[derive(Clone, Debug)]
pub struct OccurrenceRun {
    /// Steps, in the order of the job's spec.
    pub steps: Vec<StepRun>,
    rank_inputs: Cell<Option<RankInputs>>,
}

impl OccurrenceRun {
    fn new(submission: &JobSubmission) -> OccurrenceRun {
        let steps = submission.spec.steps.iter().map(StepRun::new).collect();
        OccurrenceRun { steps, rank_inputs: Cell::default() }
    }

    /// What its rank depends on beside the time, as kept by [`OccurrenceRun::keep_rank_inputs`].
    pub(crate) fn rank_inputs(&self) -> Option<RankInputs> {
        self.rank_inputs.get()
    }

    /// Keeps what its rank depends on until a step changes.
    pub(crate) fn keep_rank_inputs(&self, inputs: RankInputs) {
        self.rank_inputs.set(Some(inputs));
    }

    /// Whether every step before this one is done.
    pub fn may_begin(&self, spec: &StepSpec) -> bool {
        let is_step_done =
            |before: &u16| self.steps.get(usize::from(*before)).is_some_and(StepRun::is_done);
        spec.after.iter().all(is_step_done)
    }

    /// Whether every step is done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(StepRun::is_done)
    }
}

/// A job that is not finished, or of which runs may still be alive.
#[derive(Clone, Debug)]
pub struct JobRun {
    /// Id of the job.
    pub id: JobId,
    /// The submission as accepted.
    pub submission: Arc<JobSubmission>,
    /// State for callers; the log gets it with the next progress record.
    pub state: JobState,
    /// When the job arrived, in milliseconds of the leader's steady clock.
    pub arrived_ms: u64,
    /// When the state became final, in milliseconds since the epoch.
    pub ended_wall_ms: u64,
    /// Occurrences that have begun and are not done.
    pub occurrences: BTreeMap<u32, OccurrenceRun>,
    /// First occurrence that has not begun.
    pub next_occurrence: u32,
    /// Whether the job arrived beyond its organisation's share.
    pub is_beyond_share: bool,
    /// Whether the log lacks that a task has started.
    pub is_begin_unlogged: bool,
    /// Whether a step that may begin has waiting tasks.
    has_ready_step: Cell<Option<bool>>,
}

impl JobRun {
    /// Restores a job from its logged submission and progress; `None` if the log lacks the
    /// submission or a state.
    pub fn restore(id: JobId, job: &LoggedJob, arrived_ms: u64) -> Option<JobRun> {
        let submission = job.submission.clone()?;
        let mut run = JobRun {
            id,
            state: job.state()?,
            submission,
            arrived_ms,
            ended_wall_ms: 0,
            occurrences: BTreeMap::new(),
            next_occurrence: 0,
            is_beyond_share: false,
            is_begin_unlogged: false,
            has_ready_step: Cell::default(),
        };
        if let Some(progress) = &job.progress {
            run.apply(progress);
        }
        Some(run)
    }

    /// Notes that a worker has started a task; returns whether none was known to have started.
    pub(crate) fn begin(&mut self) -> bool {
        let is_first = self.state == JobState::Queued;
        if is_first {
            self.state = JobState::Running;
            self.is_begin_unlogged = true;
        }
        is_first
    }

    fn apply(&mut self, progress: &JobProgress) {
        self.ended_wall_ms = progress.ended_ms;
        self.next_occurrence = progress.occurrences_done;
        self.restore_occurrences(progress);
        for (occurrence, step) in &progress.steps_done {
            let submission = self.submission.clone();
            let entry = self.occurrence(*occurrence, &submission);
            if let Some(step) = entry.steps.get_mut(usize::from(*step)) {
                for index in 0..step.tasks.len() {
                    step.finish(index);
                }
            }
        }
        for logged in &progress.tasks {
            self.apply_task(logged, &progress.workers);
        }
        for logged in &progress.restarts {
            let key = self.restarts_key(logged);
            if let Some(task) = self.task_mut(&key) {
                task.losses = logged.losses;
                task.has_begun |= logged.losses.total > 0;
                task.moves = logged.moves;
            }
        }
        for (position, run) in &progress.failed_runs {
            if let Some(task) = self.logged_task_mut(progress, *position) {
                task.failed_run = *run;
            }
        }
        for (position, run) in &progress.lost_runs {
            let task = self.logged_task_mut(progress, *position);
            let live = task.and_then(|task| task.live.iter_mut().find(|live| live.run == *run));
            if let Some(live) = live {
                live.is_loss_counted = true;
            }
        }
    }

    /// Restores the occurrences that have begun. A record names only those of which a task has
    /// started, which a later occurrence can do before an earlier one; as they begin in order, all
    /// before the last that is named have begun as well.
    fn restore_occurrences(&mut self, progress: &JobProgress) {
        let submission = self.submission.clone();
        let steps = progress.steps_done.iter().map(|(occurrence, _)| *occurrence);
        let tasks = progress.tasks.iter().map(|task| task.occurrence);
        let begun = steps.chain(tasks).max().map_or(0, |last| last.saturating_add(1));
        for number in progress.occurrences_done..begun.min(submission.spec.occurrences()) {
            self.occurrence(number, &submission);
        }
    }

    /// Restores when the tasks' runs were last known to be alive.
    pub(crate) fn restore_last_alive(&mut self, job: &LoggedJob, now: u64, wall_ms: u64) {
        let Some(progress) = &job.progress else { return };
        for (position, logged) in progress.restarts.iter().enumerate() {
            let logged_ms = progress.last_alive_ms.get(position).copied().unwrap_or_default();
            if logged_ms == 0 && logged.losses.total == 0 {
                continue;
            }
            let key = self.restarts_key(logged);
            if let Some(task) = self.task_mut(&key) {
                task.last_alive = Some(LastAlive::restore(logged_ms, now, wall_ms));
            }
        }
    }

    fn restarts_key(&self, logged: &TaskRestarts) -> TaskKey {
        let TaskRestarts { occurrence, step, index, .. } = *logged;
        TaskKey { job: self.id, occurrence, step, index }
    }

    /// The task at a position of the logged list.
    fn logged_task_mut(&mut self, progress: &JobProgress, position: u16) -> Option<&mut TaskRun> {
        let TaskProgress { occurrence, step, index, .. } =
            *progress.tasks.get(usize::from(position))?;
        self.task_mut(&TaskKey { job: self.id, occurrence, step, index })
    }

    fn apply_task(&mut self, logged: &TaskProgress, workers: &[Arc<str>]) {
        let submission = self.submission.clone();
        let entry = self.occurrence(logged.occurrence, &submission);
        let Some(step) = entry.steps.get_mut(usize::from(logged.step)) else { return };
        let index = usize::try_from(logged.index).unwrap_or(usize::MAX);
        if logged.is_done {
            step.finish(index);
        }
        let Some(task) = step.tasks.get_mut(index) else { return };
        task.run = logged.run;
        task.failures = logged.failures;
        task.checkpoint.clone_from(&logged.checkpoint);
        task.has_begun = logged.failures > 0 || !logged.checkpoint.is_empty();
        for (position, run) in &logged.live {
            let Some(worker) = workers.get(usize::from(*position)) else { continue };
            let mut live = LiveRun::planned(worker.clone(), *run, 0);
            live.phase = RunPhase::Inherited;
            (live.throttle, live.is_throttle_in_doubt) = (INHERITED_THROTTLE, true);
            task.live.push(live);
        }
    }

    fn occurrence(&mut self, number: u32, submission: &JobSubmission) -> &mut OccurrenceRun {
        self.has_ready_step.set(None);
        self.next_occurrence = self.next_occurrence.max(number + 1);
        self.occurrences.entry(number).or_insert_with(|| OccurrenceRun::new(submission))
    }

    /// Begins the occurrences that are due, as far as the bound on tasks allows; returns whether
    /// there were any. Occurrences that come faster than they are done wait for earlier ones.
    pub fn begin_due(&mut self, wall_ms: u64) -> bool {
        let mut has_begun = false;
        let submission = self.submission.clone();
        let tasks = submission.spec.task_count();
        while self.next_occurrence < submission.spec.occurrences()
            && (self.occurrences.len() + 1).saturating_mul(tasks) <= TASKS_MAX
            && submission.spec.due_ms(self.next_occurrence) <= wall_ms
        {
            self.occurrence(self.next_occurrence, &submission);
            has_begun = true;
        }
        has_begun
    }

    /// The progress record for the log.
    pub fn progress(&self, term: u64) -> JobProgress {
        let mut progress = JobProgress {
            term,
            state: self.state,
            ended_ms: self.ended_wall_ms,
            occurrences_done: 0,
            steps_done: Vec::new(),
            tasks: Vec::new(),
            workers: Vec::new(),
            restarts: Vec::new(),
            last_alive_ms: Vec::new(),
            failed_runs: Vec::new(),
            lost_runs: Vec::new(),
        };
        progress.occurrences_done =
            self.occurrences.keys().next().copied().unwrap_or(self.next_occurrence);
        for (occurrence, run) in &self.occurrences {
            for (position, step) in run.steps.iter().enumerate() {
                let position = u16::try_from(position).unwrap_or(u16::MAX);
                let has_no_runs = step.tasks.iter().all(|task| task.live.is_empty());
                if step.is_done() && has_no_runs {
                    progress.steps_done.push((*occurrence, position));
                    // The end of an earlier run may become known after that of the last one, and
                    // must not be acknowledged.
                    write_tasks(&mut progress, *occurrence, position, step, |task| task.run > 1);
                    continue;
                }
                let has_begun = |task: &TaskRun| task.run > 0 || task.is_done;
                write_tasks(&mut progress, *occurrence, position, step, has_begun);
            }
        }
        progress
    }

    /// A task by its key.
    pub fn task(&self, key: &TaskKey) -> Option<&TaskRun> {
        self.step(key)?.tasks.get(usize::try_from(key.index).ok()?)
    }

    /// A mutable task by its key.
    pub fn task_mut(&mut self, key: &TaskKey) -> Option<&mut TaskRun> {
        let index = usize::try_from(key.index).ok()?;
        self.step_mut(key)?.tasks.get_mut(index)
    }

    /// The step of a task.
    pub fn step(&self, key: &TaskKey) -> Option<&StepRun> {
        self.occurrences.get(&key.occurrence)?.steps.get(usize::from(key.step))
    }

    /// The mutable step of a task.
    pub fn step_mut(&mut self, key: &TaskKey) -> Option<&mut StepRun> {
        self.has_ready_step.set(None);
        let run = self.occurrences.get_mut(&key.occurrence)?;
        run.rank_inputs.set(None);
        let step = run.steps.get_mut(usize::from(key.step))?;
        step.forget_counts();
        Some(step)
    }

    /// Whether a step that may begin has waiting tasks.
    pub fn has_ready_step(&self) -> bool {
        let has_ready_step = self.has_ready_step.get().unwrap_or_else(|| self.find_ready_step());
        debug_assert_eq!(has_ready_step, self.find_ready_step());
        self.has_ready_step.set(Some(has_ready_step));
        has_ready_step
    }

    fn find_ready_step(&self) -> bool {
        self.occurrences.values().any(|run| {
            let mut steps = self.submission.spec.steps.iter().zip(&run.steps);
            steps.any(|(spec, step)| step.counts().waiting > 0 && run.may_begin(spec))
        })
    }

    /// Whether a run of the job may be alive.
    pub fn has_live_run(&self) -> bool {
        let mut steps = self.occurrences.values().flat_map(|run| &run.steps);
        steps.any(|step| step.counts().live > 0)
    }

    /// Whether a run of the job is at work, by its worker's word.
    pub(crate) fn is_at_work(&self) -> bool {
        let mut steps = self.occurrences.values().flat_map(|run| &run.steps);
        steps.any(|step| step.counts().at_work > 0)
    }

    /// Since when nothing of the job has been at work, by the word of workers to a leader since
    /// `opened_ms`, in milliseconds; `None` if something is.
    ///
    /// A start that is on its way counts as work for as long as a start may take: later it may be lost,
    /// or wait for a worker that is gone. The log does not tell when a run under an earlier leader has
    /// ended, so a job that has nothing at work counts from its arrival.
    pub(crate) fn idle_since_ms(&self, opened_ms: u64, now: u64) -> Option<u64> {
        let mut since_ms = self.arrived_ms;
        for step in self.occurrences.values().flat_map(|run| &run.steps) {
            let StepCounts { at_work, inherited, placed_ms, worked_ms, .. } = step.counts();
            let inherited_ms = (inherited > 0).then_some(opened_ms);
            let is_starting = |placed_ms: u64| now < placed_ms + START_TIME_MAX_MS;
            if at_work > 0 || placed_ms.max(inherited_ms).is_some_and(is_starting) {
                return None;
            }
            since_ms = since_ms.max(worked_ms);
        }
        Some(since_ms)
    }

    /// The spec of a task's step.
    pub fn spec(&self, key: &TaskKey) -> Option<&StepSpec> {
        self.submission.spec.steps.get(usize::from(key.step))
    }

    /// A task that has lost as many workers as a task may, if there is one.
    pub(crate) fn exhausted_task(&self) -> Option<TaskKey> {
        for (occurrence, run) in &self.occurrences {
            for (position, step) in run.steps.iter().enumerate() {
                let is_exhausted = |task: &TaskRun| !task.is_done && task.losses.is_exhausted();
                if let Some(index) = step.tasks.iter().position(is_exhausted) {
                    return Some(self.key(*occurrence, position, index));
                }
            }
        }
        None
    }

    /// Loss counts of the tasks that are not done.
    pub(crate) fn open_losses(&self) -> impl Iterator<Item = &LossCount> {
        let steps = self.occurrences.values().flat_map(|run| &run.steps);
        let open = steps.flat_map(|step| &step.tasks).filter(|task| !task.is_done);
        open.map(|task| &task.losses)
    }

    /// Every task with a run that may be alive.
    pub fn live_tasks(&self) -> Vec<TaskKey> {
        let mut keys = Vec::new();
        for (occurrence, run) in &self.occurrences {
            for (step, step_run) in run.steps.iter().enumerate() {
                for (index, task) in step_run.tasks.iter().enumerate() {
                    if task.has_live_run() {
                        keys.push(self.key(*occurrence, step, index));
                    }
                }
            }
        }
        keys
    }

    /// Key of a task by its position.
    pub fn key(&self, occurrence: u32, step: usize, index: usize) -> TaskKey {
        TaskKey {
            job: self.id,
            occurrence,
            step: u16::try_from(step).unwrap_or(u16::MAX),
            index: u32::try_from(index).unwrap_or(u32::MAX),
        }
    }

    /// Drops occurrences that are done; returns whether the whole job is done.
    pub fn sweep(&mut self) -> bool {
        let submission = self.submission.clone();
        self.has_ready_step.set(None);
        let is_finished = |run: &OccurrenceRun| {
            let has_no_runs = run.steps.iter().all(|step| step.counts().live == 0);
            run.is_done() && has_no_runs
        };
        // Only from the front: the log keeps the number of leading occurrences that are done.
        if submission.spec.schedule.is_some() {
            while let Some(first) = self.occurrences.first_entry() {
                if !is_finished(first.get()) || self.next_occurrence <= *first.key() {
                    break;
                }
                first.remove();
            }
        }
        self.next_occurrence >= submission.spec.occurrences()
            && self.occurrences.values().all(OccurrenceRun::is_done)
    }
}

/// Writes the tasks of a step for which `is_written` holds.
fn write_tasks(
    progress: &mut JobProgress,
    occurrence: u32,
    step: u16,
    run: &StepRun,
    is_written: impl Fn(&TaskRun) -> bool,
) {
    for (index, task) in run.tasks.iter().enumerate().filter(|(_, task)| is_written(task)) {
        let index = u32::try_from(index).unwrap_or(u32::MAX);
        let (losses, moves) = (task.losses, task.moves);
        let has_restarts = losses.total + moves > 0 || task.last_alive.is_some();
        if has_restarts && !task.is_done {
            progress.restarts.push(TaskRestarts { occurrence, step, index, losses, moves });
            progress.last_alive_ms.push(task.last_alive.map_or(0, |last_alive| last_alive.wall_ms));
        }
        let position = u16::try_from(progress.tasks.len()).unwrap_or(u16::MAX);
        progress.failed_runs.extend((task.failed_run > 0).then_some((position, task.failed_run)));
        let lost = task.live.iter().filter(|live| live.is_loss_counted);
        progress.lost_runs.extend(lost.map(|live| (position, live.run)));
        let live = task
            .live
            .iter()
            .map(|live| (worker_position(&mut progress.workers, &live.worker), live.run))
            .collect();
        progress.tasks.push(TaskProgress {
            occurrence,
            step,
            index,
            run: task.run,
            failures: task.failures,
            is_done: task.is_done,
            live,
            checkpoint: if task.is_done { String::new() } else { task.checkpoint.clone() },
        });
    }
}

fn worker_position(workers: &mut Vec<Arc<str>>, worker: &Arc<str>) -> u16 {
    let position = workers.iter().position(|known| known == worker).unwrap_or_else(|| {
        workers.push(worker.clone());
        workers.len() - 1
    });
    u16::try_from(position).unwrap_or(u16::MAX)
}
