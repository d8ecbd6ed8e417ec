//! What a leader has learned and its successor must know: run times of queues, and used shares.
//!
//! Guards against a leader that is lost in a burst. Its successor would begin with full token
//! buckets and declared run times in the middle of an overload: it would rank late jobs as in time,
//! and give the organisation that floods the site another burst.
//!
//! Where the setting asks for it, the leader writes the state to the job log, at most every [`WRITE_INTERVAL_MS`] and only what a
//! successor would otherwise restore differently. Each record holds a format version, the term and
//! the wall-clock time, then the state. The state is a hint: a successor that can't use a record
//! begins as without one. All records together are bounded, since every entry with a replica keeps
//! them and reads them on links of 2 Mbit/s.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::jobs::job_table::{JobTable, LoggedJob};
use crate::jobs::model::JobId;
use crate::jobs::record::{LEARNED_VERSION, LearnedKey};
use crate::scheduler::organisation::OrganisationLedger;
use crate::scheduler::runtime::{RuntimeModel, RuntimeSummary};
use crate::scheduler::share::{ShareLimiter, TokenCount, has_changed};
use crate::scheduler::worker_table::NameMap;
use crate::scheduler::{Scheduler, SchedulerEvent};

/// Shortest time between two writes, in milliseconds. A burst lasts some ten seconds, so a lost
/// leader takes at most a fifth of it along.
pub const WRITE_INTERVAL_MS: u64 = 2_000;
/// Largest size of all records with their keys, in bytes.
pub const LEARNED_BYTES_MAX: usize = 8 << 10;
/// Part of it for the shares, in bytes: 64 names of 24 bytes with their counts.
const SHARES_BYTES_MAX: usize = 2 << 10;
/// Organisations in the record of the shares.
const ORGANISATIONS_MAX: usize = 64;
/// Largest time by which a record may be ahead of this entry's wall clock, in milliseconds: clocks
/// of VMs differ, and a leader that resigns is followed within a tenth of a second. Nothing is
/// refilled for such a record.
const CLOCK_SKEW_MS: u64 = 500;

/// Time before the oldest open job from which arrivals are counted against shares, in milliseconds.
const MARK_LOOKBACK_MS: u64 = 2_000;

/// Why a record was not restored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LearnedFault {
    /// Another build wrote it in a format of its own.
    OtherVersion,
    /// It can't be decoded, or holds what cannot have been observed.
    Unreadable,
    /// It was written in the future, by this entry's wall clock.
    FromFuture,
}

impl LearnedFault {
    /// Label in log lines and metrics.
    pub fn label(self) -> &'static str {
        match self {
            LearnedFault::OtherVersion => "other version",
            LearnedFault::Unreadable => "unreadable",
            LearnedFault::FromFuture => "from the future",
        }
    }
}

/// Who wrote a record, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LearnedHeader {
    term: u64,
    /// In milliseconds since the epoch.
    written_ms: u64,
}

fn encode<T: Serialize>(header: LearnedHeader, state: &T) -> Option<Arc<[u8]>> {
    let body = postcard::to_stdvec(&(header, state)).ok()?;
    Some([&[LEARNED_VERSION], &body[..]].concat().into())
}

/// Decodes a record and returns its age with it, in milliseconds.
fn decode<'a, T: Deserialize<'a>>(value: &'a [u8], wall_ms: u64) -> Result<(u64, T), LearnedFault> {
    let (version, body) = value.split_first().ok_or(LearnedFault::Unreadable)?;
    if *version != LEARNED_VERSION {
        return Err(LearnedFault::OtherVersion);
    }
    let ((header, state), rest): ((LearnedHeader, T), &[u8]) =
        postcard::take_from_bytes(body).map_err(|_| LearnedFault::Unreadable)?;
    if !rest.is_empty() {
        return Err(LearnedFault::Unreadable);
    }
    if header.written_ms > wall_ms.saturating_add(CLOCK_SKEW_MS) {
        return Err(LearnedFault::FromFuture);
    }
    Ok((wall_ms.saturating_sub(header.written_ms), state))
}

/// A queue's run times as they are on the log.
#[derive(Debug)]
struct LoggedFit {
    /// `None` if the record could not be used.
    summary: Option<RuntimeSummary>,
    bytes: usize,
}

/// What the log holds of the learned state, and when the next write is due.
#[derive(Debug, Default)]
pub(crate) struct LearnedLedger {
    /// Whether the setting asks for it.
    is_on: bool,
    fits: BTreeMap<Arc<str>, LoggedFit>,
    /// Tokens on the log, and when they were written by the steady clock.
    shares: (HashMap<Arc<str>, u64>, u64),
    next_write_ms: u64,
}

/// The state that is to be stored.
pub(crate) struct LearnedView<'a> {
    /// Run times by queue.
    pub runtimes: &'a NameMap<RuntimeModel>,
    /// Names of the configured queues.
    pub queues: BTreeSet<&'a str>,
    /// Used shares.
    pub shares: &'a ShareLimiter,
    /// Weights of the organisations.
    pub organisations: &'a OrganisationLedger,
}

impl LearnedLedger {
    /// Whether a write is due; the next one is due an interval later.
    pub fn take_due(&mut self, now: u64) -> bool {
        let is_due = now >= self.next_write_ms;
        if is_due {
            self.next_write_ms = now + WRITE_INTERVAL_MS;
        }
        is_due
    }

    /// Records that differ materially from what is on the log, which are taken to be written. An
    /// empty one drops its key.
    pub fn changes(
        &mut self,
        view: &LearnedView<'_>,
        term: u64,
        now: u64,
        wall_ms: u64,
    ) -> Vec<(LearnedKey, Arc<[u8]>)> {
        let header = LearnedHeader { term, written_ms: wall_ms };
        let mut changes = self.drop_removed(&view.queues);
        changes.extend(self.fit_changes(view, header));
        changes.extend(self.share_changes(view, header, now));
        changes
    }

    /// Bytes of the queues' records.
    fn fit_bytes(&self) -> usize {
        self.fits.values().map(|logged| logged.bytes).sum()
    }

    fn drop_removed(&mut self, queues: &BTreeSet<&str>) -> Vec<(LearnedKey, Arc<[u8]>)> {
        let removed = self.fits.extract_if(.., |name, _| !queues.contains(&**name));
        removed.map(|(name, _)| (LearnedKey::Queue(name), Arc::default())).collect()
    }

    /// A queue for which there is no room is not stored. Queues on the log keep their place, as a
    /// change of places with every write would cost more than it saves.
    fn fit_changes(
        &mut self,
        view: &LearnedView<'_>,
        header: LearnedHeader,
    ) -> Vec<(LearnedKey, Arc<[u8]>)> {
        let mut changes = Vec::new();
        let mut room = (LEARNED_BYTES_MAX - SHARES_BYTES_MAX).saturating_sub(self.fit_bytes());
        for (name, model) in view.runtimes.iter().filter(|(name, _)| view.queues.contains(&***name))
        {
            let Some(summary) = model.summary() else { continue };
            let logged = self.fits.get(name);
            let known = logged.and_then(|logged| logged.summary);
            if known.is_some_and(|known| !summary.differs_from(&known)) {
                continue;
            }
            let key = LearnedKey::Queue(name.clone());
            let Some(value) = encode(header, &summary) else { continue };
            let bytes = key.bytes() + value.len();
            let available = room + logged.map_or(0, |logged| logged.bytes);
            if bytes > available {
                continue;
            }
            room = available - bytes;
            self.fits.insert(name.clone(), LoggedFit { summary: Some(summary), bytes });
            changes.push((key, value));
        }
        changes
    }

    fn share_changes(
        &mut self,
        view: &LearnedView<'_>,
        header: LearnedHeader,
        now: u64,
    ) -> Option<(LearnedKey, Arc<[u8]>)> {
        let weight = |name: &str| view.organisations.weight(name);
        let mut counts = view.shares.lowest(weight, ORGANISATIONS_MAX, now);
        let (logged, written_ms) = &self.shares;
        let age_ms = now.saturating_sub(*written_ms);
        let is_changed = counts.iter().any(|count| {
            let known = logged.get(&count.organisation).copied().unwrap_or(u64::MAX);
            has_changed(count.tokens, known, weight(&count.organisation), age_ms)
        });
        if !is_changed {
            return None;
        }
        let value = loop {
            let pairs: Vec<(&str, u64)> =
                counts.iter().map(|count| (&*count.organisation, count.tokens)).collect();
            let value = encode(header, &pairs)?;
            if LearnedKey::Shares.bytes() + value.len() <= SHARES_BYTES_MAX {
                break value;
            }
            // Long names; those with the most tokens left need the record least.
            counts.truncate(counts.len() * 3 / 4);
        };
        let logged = counts.into_iter().map(|count| (count.organisation, count.tokens));
        self.shares = (logged.collect(), now);
        Some((LearnedKey::Shares, value))
    }
}

/// What became of the records when a leader took over.
#[derive(Debug, Default)]
struct RestoreReport {
    queues: usize,
    organisations: usize,
    /// Age of the newest record that was restored.
    age_ms: Option<u64>,
    rejected: BTreeMap<LearnedFault, usize>,
}

impl Scheduler {
    /// Restores what earlier leaders have learned, and stores from now on what this one learns.
    pub fn keep_learned(&mut self, job_table: &JobTable, now: u64, wall_ms: u64) {
        self.learned.is_on = true;
        self.restore_learned(job_table, now, wall_ms);
        self.restore_marks(job_table);
    }

    /// Restores what earlier leaders have learned. Organisations and weights are those of the
    /// configuration in force.
    fn restore_learned(&mut self, job_table: &JobTable, now: u64, wall_ms: u64) {
        self.learned.next_write_ms = now + WRITE_INTERVAL_MS;
        let mut report = RestoreReport::default();
        for (key, value) in job_table.learned() {
            let restored = match key {
                LearnedKey::Queue(name) => self.restore_fit(name, key, value, wall_ms),
                LearnedKey::Shares => {
                    let restored = self.restore_shares(value, now, wall_ms);
                    restored.map(|(age_ms, count)| {
                        report.organisations = count;
                        age_ms
                    })
                }
            };
            match restored {
                Ok(age_ms) => {
                    report.queues += usize::from(matches!(key, LearnedKey::Queue(_)));
                    report.age_ms = Some(report.age_ms.map_or(age_ms, |newest| newest.min(age_ms)));
                }
                Err(fault) => *report.rejected.entry(fault).or_default() += 1,
            }
        }
        if let Some(age_ms) = report.age_ms {
            let RestoreReport { queues, organisations, .. } = report;
            self.emit(SchedulerEvent::LearnedRestored { queues, organisations, age_ms });
        }
        for (fault, records) in report.rejected {
            self.emit(SchedulerEvent::LearnedRejected { reason: fault.label(), records });
        }
    }

    /// Marks the restored jobs that arrived beyond the shares of their organisations, as their
    /// arrivals on the log show. Without the marks, all that waits of an organisation that floods
    /// the site would count as within its share after a change of leaders.
    fn restore_marks(&mut self, job_table: &JobTable) {
        let open = job_table.iter().filter(|(id, _)| self.jobs.contains_key(id));
        let accepted_ms = |job: &LoggedJob| job.submission.as_ref().map(|job| job.accepted_ms);
        let Some(oldest_ms) = open.filter_map(|(_, job)| accepted_ms(job)).min() else { return };
        // Earlier arrivals have used tokens as well; by then all but the least shares have refilled.
        let since_ms = oldest_ms.saturating_sub(MARK_LOOKBACK_MS);
        let mut arrivals: Vec<(u64, JobId, Arc<str>)> = job_table
            .iter()
            .filter_map(|(id, job)| {
                let submission = job.submission.as_ref()?;
                Some((submission.accepted_ms, *id, submission.organisation.clone()?))
            })
            .filter(|(accepted_ms, ..)| *accepted_ms >= since_ms)
            .collect();
        arrivals.sort_unstable();
        let mut limiter = ShareLimiter::default();
        for (accepted_ms, id, organisation) in arrivals {
            let weight = self.organisations.weight(&organisation);
            let is_within = limiter.try_take_tokens(&organisation, weight, accepted_ms);
            if let Some(job) = self.jobs.get_mut(&id) {
                job.is_beyond_share = !is_within;
            }
        }
    }

    /// Run time that tasks of a queue are expected to take if they are declared to take
    /// `declared_ms`, in milliseconds.
    pub fn expected_runtime_ms(&self, queue: &str, declared_ms: u64) -> u64 {
        self.runtimes.get(queue).map_or(declared_ms, |model| model.expected_ms(declared_ms))
    }

    fn restore_fit(
        &mut self,
        name: &Arc<str>,
        key: &LearnedKey,
        value: &[u8],
        wall_ms: u64,
    ) -> Result<u64, LearnedFault> {
        let decoded = decode::<RuntimeSummary>(value, wall_ms).and_then(|(age_ms, summary)| {
            let model = RuntimeModel::restore(&summary).ok_or(LearnedFault::Unreadable)?;
            Ok((age_ms, summary, model))
        });
        let summary = decoded.as_ref().ok().map(|(_, summary, _)| *summary);
        // A record that can't be used takes its bytes on the log until it is replaced.
        let bytes = key.bytes() + value.len();
        self.learned.fits.insert(name.clone(), LoggedFit { summary, bytes });
        let (age_ms, _, model) = decoded?;
        self.runtimes.insert(name.clone(), model);
        Ok(age_ms)
    }

    /// Returns the age of the record and the number of organisations that it limits.
    fn restore_shares(
        &mut self,
        value: &[u8],
        now: u64,
        wall_ms: u64,
    ) -> Result<(u64, usize), LearnedFault> {
        let (age_ms, pairs) = decode::<Vec<(&str, u64)>>(value, wall_ms)?;
        let mut limited = 0;
        for (name, tokens) in pairs.into_iter().take(ORGANISATIONS_MAX) {
            // An organisation that was removed has no weight, and so no limit.
            let count = TokenCount { organisation: name.into(), tokens };
            let weight = self.organisations.weight(name);
            limited += usize::from(self.shares.restore(&count, weight, age_ms, now));
        }
        Ok((age_ms, limited))
    }

    /// Queues what has changed for the log, if a write is due.
    pub(crate) fn write_learned(&mut self, now: u64) {
        if !self.learned.is_on || !self.learned.take_due(now) {
            return;
        }
        let view = LearnedView {
            runtimes: &self.runtimes,
            queues: self.config.queues.iter().map(|queue| &*queue.name).collect(),
            shares: &self.shares,
            organisations: &self.organisations,
        };
        let changes = self.learned.changes(&view, self.term, now, self.wall_ms);
        if changes.is_empty() {
            return;
        }
        let (records, mut bytes) = (changes.len(), 0);
        for (key, value) in changes {
            bytes += key.bytes() + value.len();
            self.commits.queue_learned(key, value);
        }
        self.emit(SchedulerEvent::LearnedWritten { records, bytes });
    }
}
