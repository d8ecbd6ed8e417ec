//! Entries, rows and records of the platform's services that can't be read, whoever wrote them. They are read again
//! and again, as long as they are there, so each is counted and logged once.

use std::collections::{BTreeMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use slog::{Logger, warn};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Entries that are known again; those before are counted once more when they are read again.
const KNOWN_MAX: usize = 4_096;
/// Characters of a name that are logged.
const NAME_MAX: usize = 64;

#[derive(Debug, Default)]
struct OddShared {
    logger: OnceLock<Logger>,
    table: Mutex<OddTable>,
}

#[derive(Debug, Default)]
struct OddTable {
    known: HashSet<u64>,
    totals: BTreeMap<&'static str, u64>,
}

/// Counts entries that can't be read, by what they were to be.
#[derive(Clone, Debug, Default)]
pub struct OddEntries(Arc<OddShared>);

impl OddEntries {
    /// Logs from now on; the first logger stays.
    pub fn set_logger(&self, logger: &Logger) {
        // Set twice only where a transport is shared.
        let _ = self.0.logger.set(logger.clone());
    }

    /// Takes in one of these bytes.
    pub fn note(&self, kind: &'static str, name: &str, bytes: &[u8]) {
        let seed = xxh3_64(name.as_bytes()) ^ xxh3_64(kind.as_bytes());
        let mut table = self.table();
        if table.known.len() >= KNOWN_MAX {
            table.known.clear();
        }
        if !table.known.insert(xxh3_64_with_seed(bytes, seed)) {
            return;
        }
        *table.totals.entry(kind).or_default() += 1;
        drop(table);
        if let Some(logger) = self.0.logger.get() {
            let shown: String = name.chars().take(NAME_MAX).collect();
            warn!(logger, "odd entry left out"; "kind" => kind, "key" => shown,
                "bytes" => bytes.len());
        }
    }

    /// Numbers of odd entries so far.
    pub fn totals(&self) -> BTreeMap<&'static str, u64> {
        self.table().totals.clone()
    }

    fn table(&self) -> MutexGuard<'_, OddTable> {
        self.0.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
