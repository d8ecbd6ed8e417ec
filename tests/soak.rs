//! Entries as processes, under drawn faults from outside: signals, broken links, a platform that fails.

mod support;

use support::process::run_standin;

/// Callers hand jobs in while entries are killed, stopped, frozen and cut off, and the platform fails
/// in every way that it is known for. What was accepted ends once, what was refused never runs, what
/// is shown as completed is done. The seed draws the faults; a run with others is a command away.
#[test]
fn a_short_soak_keeps_every_promise() {
    let daemon = env!("CARGO_BIN_EXE_ibisweird");
    let run = run_standin(&["soak", "--seed", "1", "--seconds", "6", "--daemon", daemon]);
    assert_eq!(run.status, Some(0), "{}{}", run.out, run.err);
}
