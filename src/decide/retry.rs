//! The three outcomes of an attempt, and whether a retry may follow.
//!
//! The type enforces the rule: only `NotRun` may always be retried elsewhere. `Unknown` is retried
//! only for idempotent work, since the worker may have run the request; a settlement that is
//! reported as anything else would be charged twice.

use std::time::Duration;

/// Outcome of one attempt.
#[derive(Debug)]
pub enum AttemptOutcome<A> {
    /// The worker never received the request, or refused it before running it.
    NotRun(NotRunReason),
    /// The worker answered.
    Done(A),
    /// The request was handed to the connection and no complete answer arrived.
    Unknown(UnknownReason),
}

/// Why an attempt was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NotRunReason {
    /// The worker can't be reached.
    Connect,
    /// The worker reports another boot number than the fleet state has.
    WrongBoot,
    /// All connections in this entry's share are in use.
    NoConnection,
    /// The connection closed before the request was handed to it.
    Closed,
    /// The worker has no free slot.
    Busy,
    /// The worker is leaving.
    Leaving,
}

impl NotRunReason {
    /// Every reason, for metrics that list them all.
    pub const ALL: [NotRunReason; 6] = [
        NotRunReason::Connect,
        NotRunReason::WrongBoot,
        NotRunReason::NoConnection,
        NotRunReason::Closed,
        NotRunReason::Busy,
        NotRunReason::Leaving,
    ];

    /// Value of the metric label.
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

/// Why the outcome of an attempt is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UnknownReason {
    /// The connection ended after the request was handed to it.
    Lost,
    /// No progress within the time that nearly all runs take.
    Stalled,
    /// The deadline passed.
    Deadline,
    /// The answer was truncated or malformed.
    Cut,
}

impl UnknownReason {
    /// Every reason, for metrics that list them all.
    pub const ALL: [UnknownReason; 4] =
        [UnknownReason::Lost, UnknownReason::Stalled, UnknownReason::Deadline, UnknownReason::Cut];

    /// Value of the metric label.
    pub fn name(self) -> &'static str {
        match self {
            UnknownReason::Lost => "lost",
            UnknownReason::Stalled => "stalled",
            UnknownReason::Deadline => "deadline",
            UnknownReason::Cut => "cut",
        }
    }
}

/// Retry budget: allows retries in proportion to requests, so that retries can't feed an overload.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: f64,
    per_request: f64,
}

/// Retries that an idle entry may make at once.
const BUDGET_RESERVE: f64 = 20.0;

impl RetryBudget {
    /// A full budget that grows by `percent` hundredths of a retry per request.
    pub fn new(percent: u32) -> Self {
        RetryBudget { tokens: BUDGET_RESERVE, per_request: f64::from(percent) / 100.0 }
    }

    /// Credits the budget for one request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.per_request).min(BUDGET_RESERVE.max(self.per_request));
    }

    /// Withdraws one retry; false if less than one is left.
    pub fn try_withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// State of a request between two attempts.
#[derive(Clone, Copy, Debug)]
pub struct RetryState {
    /// Whether the request may be run twice.
    pub idempotent: bool,
    /// Attempts made.
    pub attempts: u32,
    /// Upper bound for attempts.
    pub attempts_max: u32,
    /// Time until the deadline.
    pub left: Duration,
    /// Usual duration of a run.
    pub typical: Duration,
}

/// Whether an attempt that was not run may be retried on another worker. It cost the worker
/// nothing, so only the number of attempts and the deadline bound it.
pub fn may_retry(state: &RetryState) -> bool {
    state.attempts < state.attempts_max && state.left > state.typical
}

/// Whether an attempt that may have run, or that failed, may be retried on another worker.
pub fn may_run_again(state: &RetryState, budget: &mut RetryBudget) -> bool {
    state.idempotent && may_retry(state) && budget.try_withdraw()
}
