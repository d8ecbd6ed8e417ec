//! The three outcomes of an attempt, and what may follow each.
//!
//! The type is the safeguard: only `NotRun` may go elsewhere freely. `Unknown` goes elsewhere only
//! for idempotent work, since the worker may have run it; told as anything else, a settlement would
//! be charged twice.

use std::time::Duration;

/// What became of one attempt.
#[derive(Debug)]
pub enum AttemptOutcome<A> {
    /// The worker never had it, or refused it before running it.
    NotRun(NotRunReason),
    /// The worker answered.
    Done(A),
    /// It was handed to the connection and no whole answer came.
    Unknown(UnknownReason),
}

/// Why an attempt was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NotRunReason {
    /// The worker can't be reached.
    Connect,
    /// The worker shows another boot number than the fold gave.
    WrongBoot,
    /// All connections of this entry's share are taken.
    NoConnection,
    /// The connection closed before the request was handed to it.
    Closed,
    /// The worker has no free slot.
    Busy,
    /// The worker is leaving.
    Leaving,
}

impl NotRunReason {
    /// Every reason.
    pub const ALL: [NotRunReason; 6] = [
        NotRunReason::Connect,
        NotRunReason::WrongBoot,
        NotRunReason::NoConnection,
        NotRunReason::Closed,
        NotRunReason::Busy,
        NotRunReason::Leaving,
    ];

    /// Name for metric labels.
    pub fn name(self) -> &'static str {
        match self {
            NotRunReason::Connect => "connect",
            NotRunReason::WrongBoot => "wrong_boot",
            NotRunReason::NoConnection => "no_connection",
            NotRunReason::Closed => "closed",
            NotRunReason::Busy => "busy",
            NotRunReason::Leaving => "leaving",
        }
    }
}

/// Why an outcome is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UnknownReason {
    /// The connection ended after the request was handed to it.
    Lost,
    /// No progress within the time that nearly all runs take.
    Stalled,
    /// The deadline passed.
    Deadline,
    /// The answer was cut or malformed.
    Cut,
}

impl UnknownReason {
    /// Every reason.
    pub const ALL: [UnknownReason; 4] =
        [UnknownReason::Lost, UnknownReason::Stalled, UnknownReason::Deadline, UnknownReason::Cut];

    /// Name for metric labels.
    pub fn name(self) -> &'static str {
        match self {
            UnknownReason::Lost => "lost",
            UnknownReason::Stalled => "stalled",
            UnknownReason::Deadline => "deadline",
            UnknownReason::Cut => "cut",
        }
    }
}

/// Retries allowed in proportion to requests, so that retries can't feed an overload.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: f64,
    per_request: f64,
}

/// Retries that a quiet entry may do at once.
const BUDGET_RESERVE: f64 = 20.0;

impl RetryBudget {
    /// A full budget that grows by `percent` hundredths of a retry a request.
    pub fn new(percent: u32) -> Self {
        RetryBudget { tokens: BUDGET_RESERVE, per_request: f64::from(percent) / 100.0 }
    }

    /// Notes a request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.per_request).min(BUDGET_RESERVE.max(self.per_request));
    }

    /// Takes one retry, if one is left.
    pub fn try_withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// What a request still has.
#[derive(Clone, Copy, Debug)]
pub struct RetryState {
    /// Whether it may be run twice.
    pub idempotent: bool,
    /// Attempts made.
    pub attempts: u32,
    /// Most attempts.
    pub attempts_max: u32,
    /// Time until the deadline.
    pub left: Duration,
    /// Time that a run usually takes.
    pub typical: Duration,
}

/// Whether an attempt that was not run may be made again elsewhere. It costs the worker nothing,
/// so only the number of attempts and the deadline bound it.
pub fn may_retry(state: &RetryState) -> bool {
    state.attempts < state.attempts_max && state.left > state.typical
}

/// Whether an attempt that may have run, or that failed, may be made again elsewhere.
pub fn may_run_again(state: &RetryState, budget: &mut RetryBudget) -> bool {
    state.idempotent && may_retry(state) && budget.try_withdraw()
}
