//! Bytes that this process sends and receives, by the call that they belong to: on a narrow link they tell which
//! calls take it from the others.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Calls that are told apart; what there is of others is counted as one.
const CALLS_MAX: usize = 48;
/// The name of the others.
const OTHERS: &str = "others";
/// The kind under which connections are counted: as calls, those that did not open as unanswered.
pub const CONNECTS: &str = "connect";

/// Bytes of all calls of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallTraffic {
    /// Exchanges that ended, answered or not.
    pub calls: u64,
    /// Exchanges without a whole answer.
    pub unanswered: u64,
    /// Bytes of bodies that were sent.
    pub sent: u64,
    /// Bytes of bodies that were received.
    pub received: u64,
}

impl CallTraffic {
    /// What has come since `before`.
    pub fn since(self, before: CallTraffic) -> CallTraffic {
        CallTraffic {
            calls: self.calls - before.calls,
            unanswered: self.unanswered - before.unanswered,
            sent: self.sent - before.sent,
            received: self.received - before.received,
        }
    }
}

/// Counts the bytes of calls by kind.
#[derive(Clone, Debug, Default)]
pub struct TrafficMeter(Arc<Mutex<BTreeMap<String, CallTraffic>>>);

impl TrafficMeter {
    /// Takes in an exchange by its path: how much was sent, and received if there was a whole answer.
    pub fn count(&self, path: &str, sent: usize, received: Option<usize>) {
        let bytes = |size: usize| u64::try_from(size).unwrap_or(u64::MAX);
        let mut calls = self.lock();
        let mut kind = kind(path);
        if calls.len() >= CALLS_MAX && !calls.contains_key(kind) {
            kind = OTHERS;
        }
        if !calls.contains_key(kind) {
            calls.insert(kind.to_owned(), CallTraffic::default());
        }
        let Some(traffic) = calls.get_mut(kind) else { return };
        traffic.calls += 1;
        traffic.unanswered += u64::from(received.is_none());
        traffic.sent += bytes(sent);
        traffic.received += bytes(received.unwrap_or(0));
    }

    /// Takes in that a connection was opened, or did not open in time.
    pub fn count_connect(&self, is_open: bool) {
        self.count(CONNECTS, 0, is_open.then_some(0));
    }

    /// What was counted, by kind of call.
    pub fn totals(&self) -> BTreeMap<String, CallTraffic> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, CallTraffic>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The kind of a call: its path up to a second segment or query parameter, which tell single things apart.
fn kind(path: &str) -> &str {
    let path = path.split('&').next().unwrap_or(path);
    let whole = path.find('?').unwrap_or(path.len());
    match path.get(1..whole).and_then(|rest| rest.find('/')) {
        Some(end) => &path[..=end],
        None => path,
    }
}
