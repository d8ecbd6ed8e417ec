//! How the memory of a process bounds what it takes in.

/// Largest submission that is ordinary, in bytes.
pub const ORDINARY_BYTES: usize = 16 << 10;
/// Part of the memory, as a divisor, for accepted jobs.
const KEPT_MEMORY_DIVISOR: usize = 8;
/// Part of the memory, as a divisor, for submissions that wait for the log in one queue.
const WAITING_MEMORY_DIVISOR: usize = 16;

/// Memory and descriptors of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory, in bytes.
    pub memory: usize,
    /// Descriptors.
    pub descriptors: usize,
}

impl ProcessLimits {
    /// Bytes of accepted jobs up to which jobs larger than ordinary ones are accepted.
    pub fn kept_jobs(&self) -> usize {
        self.memory / KEPT_MEMORY_DIVISOR
    }

    /// Bytes of submissions that may wait for the log in one queue.
    pub fn waiting_jobs(&self) -> usize {
        self.memory / WAITING_MEMORY_DIVISOR
    }
}
