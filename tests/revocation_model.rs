//! Model of entries that honour API keys based on reads of a log. Each seed generates one history
//! of reads, pages, queries between entries, pauses, restarts, partitions and clocks of different
//! speeds, with one key that is revoked.
//!
//! In each history, no entry may serve a request whose last byte was sent later than the bound
//! after the acknowledgement of the revocation. The model keeps the start times of the reads
//! itself; the product's rule decides whether they honour a key.
//!
//! Every part of the rule is necessary: without any one of them, the model finds a history that
//! breaks the rule.

use std::collections::HashSet;

use ibisweir::decide::access::RevocationRule;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const RULE: RevocationRule = RevocationRule { is_strict: true, bound_ms: 5_000 };
/// Histories of the complete rule in CI; set `IBISWEIR_TEST_RUNS` to run more.
const RUNS: u64 = 600;
/// Histories within which an omitted part must show.
const RUNS_WITHOUT: u64 = 2_000;
/// Length of a history, in milliseconds.
const LENGTH_MS: u64 = 40_000;
const ENTRIES: usize = 3;

/// A part of the rule that is omitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Without {
    Nothing,
    /// Reads count from the arrival of their answer instead of their start.
    StartOfRead,
    /// A restarted process counts its pages of the newest records as a read, from the start of the
    /// last page.
    Restart,
    /// The key is checked when the head has arrived, and not again when the body has.
    SecondCheck,
    /// Another entry's age counts from the arrival of its answer.
    StartOfQuery,
}

/// A pending operation of an entry.
#[derive(Clone, Copy, Debug)]
enum PendingRead {
    /// A read of the log: when it began, and whether it contains the revocation.
    Log { began: u64, is_revoked: bool },
    /// Pages of the newest records: when the last one began, and whether the page with the
    /// configuration contained the revocation.
    Pages { last_began: u64, is_revoked: bool },
    /// A query to another entry: when it was sent, and the answer.
    Query { sent: u64, answer: Option<(u64, bool)> },
}

/// An entry; its times are those of its own clock.
#[derive(Clone, Debug)]
struct Entry {
    /// Speed of its clock, in thousandths.
    rate: u64,
    /// It is paused until then, by true time.
    paused_until: u64,
    confirmed: Option<u64>,
    /// Whether its current configuration lacks the key.
    is_revoked: bool,
    pending: Option<(u64, PendingRead)>,
    is_restarting: bool,
    /// When the last byte is sent of a request whose head was accepted.
    request: Option<u64>,
}

impl Entry {
    fn clock(&self, now: u64) -> u64 {
        now * self.rate / 1_000
    }

    fn may_honour(&self, now: u64) -> bool {
        !self.is_revoked && RULE.may_honour(self.confirmed, self.clock(now))
    }
}

struct Model {
    random: StdRng,
    without: Without,
    entries: Vec<Entry>,
    revoked_at: u64,
    /// A request that was served too late.
    violation: Option<String>,
}

impl Model {
    fn open(seed: u64, without: Without) -> Model {
        let mut random = StdRng::seed_from_u64(seed);
        let entries = (0..ENTRIES).map(|_| Entry {
            rate: random.random_range(980..=1_020),
            paused_until: 0,
            confirmed: None,
            is_revoked: false,
            pending: None,
            is_restarting: true,
            request: None,
        });
        let entries = entries.collect();
        let revoked_at = random.random_range(5_000..25_000);
        Model { random, without, entries, revoked_at, violation: None }
    }

    fn run(mut self) -> Option<String> {
        let mut now = 0;
        while now < LENGTH_MS && self.violation.is_none() {
            now += self.random.random_range(1..60);
            for position in 0..ENTRIES {
                self.step(position, now);
            }
        }
        self.violation
    }

    fn step(&mut self, position: usize, now: u64) {
        if now < self.entries[position].paused_until {
            return;
        }
        match self.random.random_range(0..400) {
            0 => self.entries[position].paused_until = now + self.random.random_range(100..9_000),
            1 => self.restart(position),
            _ => {}
        }
        if now < self.entries[position].paused_until {
            return;
        }
        match self.entries[position].pending {
            Some((due, pending)) if now >= due => self.complete(position, pending, now),
            Some(_) => {}
            None => self.begin(position, now),
        }
        self.call(position, now);
    }

    /// A restarted process knows the configuration only from its reads.
    fn restart(&mut self, position: usize) {
        let entry = &mut self.entries[position];
        (entry.confirmed, entry.pending, entry.request) = (None, None, None);
        entry.is_revoked = false;
        entry.is_restarting = true;
    }

    /// The log evaluates a read at some time between its start and its answer.
    fn begin(&mut self, position: usize, now: u64) {
        let (to_log, back) = (self.delay(), self.delay());
        let evaluated = now + to_log;
        let clock = self.entries[position].clock(now);
        let pending = if self.entries[position].is_restarting {
            let pages = self.random.random_range(0..6_000);
            let is_revoked = evaluated >= self.revoked_at;
            let last_began = self.entries[position].clock(now + pages);
            (now + pages + back, PendingRead::Pages { last_began, is_revoked })
        } else if self.random.random_range(0..3) == 0 {
            self.query(position, now, evaluated, back)
        } else {
            let is_revoked = evaluated >= self.revoked_at;
            (evaluated + back, PendingRead::Log { began: clock, is_revoked })
        };
        self.entries[position].pending = Some(pending);
    }

    /// Another entry answers with what it has confirmed when the query reaches it.
    fn query(&mut self, position: usize, now: u64, reached: u64, back: u64) -> (u64, PendingRead) {
        let other = (position + self.random.random_range(1..ENTRIES)) % ENTRIES;
        let other = &self.entries[other];
        let is_there = reached >= other.paused_until && !other.is_restarting;
        let clock = other.clock(reached);
        // What it has confirmed by now is no newer than what it will have confirmed when the query
        // arrives.
        let answer = other.confirmed.filter(|_| is_there);
        let answer = answer.map(|confirmed| (clock.saturating_sub(confirmed), other.is_revoked));
        (reached + back, PendingRead::Query { sent: self.entries[position].clock(now), answer })
    }

    fn delay(&mut self) -> u64 {
        match self.random.random_range(0..10) {
            0 => self.random.random_range(0..6_000),
            1..4 => self.random.random_range(0..800),
            _ => self.random.random_range(0..20),
        }
    }

    fn complete(&mut self, position: usize, pending: PendingRead, now: u64) {
        let without = self.without;
        let entry = &mut self.entries[position];
        entry.pending = None;
        let answered = entry.clock(now);
        let (confirmed, is_revoked) = match pending {
            PendingRead::Log { began, is_revoked } => {
                let confirmed = if without == Without::StartOfRead { answered } else { began };
                (Some(confirmed), is_revoked)
            }
            PendingRead::Pages { last_began, is_revoked } => {
                entry.is_restarting = false;
                ((without == Without::Restart).then_some(last_began), is_revoked)
            }
            PendingRead::Query { sent, answer } => {
                let Some((age, is_revoked)) = answer else { return };
                let from = if without == Without::StartOfQuery { answered } else { sent };
                (from.checked_sub(age), is_revoked)
            }
        };
        // The configuration first, and never back to an older one.
        entry.is_revoked |= is_revoked;
        entry.confirmed = entry.confirmed.max(confirmed);
    }

    /// A caller with the key sends the head of a request, and its last byte some time later.
    fn call(&mut self, position: usize, now: u64) {
        let last_byte = now + self.delay();
        let may_honour = self.entries[position].may_honour(now);
        let entry = &mut self.entries[position];
        let Some(sent) = entry.request else {
            entry.request = may_honour.then_some(last_byte);
            return;
        };
        if now < sent {
            return;
        }
        entry.request = None;
        let is_served = self.without == Without::SecondCheck || may_honour;
        if is_served && sent > self.revoked_at + RULE.bound_ms {
            let late = sent - self.revoked_at;
            self.violation = Some(format!("served {late} ms after the revocation: {entry:?}"));
        }
    }
}

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// The first history that breaks the rule, among the given number.
fn violation(without: Without, runs: u64) -> Option<(u64, String)> {
    let first = number("IBISWEIR_TEST_SEED", 1);
    let mut seeds = first..first + number("IBISWEIR_TEST_RUNS", runs);
    seeds.find_map(|seed| Some((seed, Model::open(seed, without).run()?)))
}

#[test]
fn no_entry_serves_a_key_for_longer_than_the_bound_after_its_revocation() {
    assert_eq!(violation(Without::Nothing, RUNS), None);
}

#[test]
fn each_part_of_the_rule_is_needed() {
    let parts =
        [Without::StartOfRead, Without::Restart, Without::SecondCheck, Without::StartOfQuery];
    let found: HashSet<Without> =
        parts.into_iter().filter(|part| violation(*part, RUNS_WITHOUT).is_some()).collect();
    assert_eq!(found, HashSet::from(parts), "the model does not see a fault");
}
