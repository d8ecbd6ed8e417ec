//! An in-memory job log that can be compacted to the newest record of each key.

use std::collections::BTreeMap;

use ibisweir::jobs::ports::LogBatch;
use ibisweir::jobs::record::KeyedRecord;

/// The job log.
#[derive(Debug, Default)]
pub struct SiteLog {
    records: Vec<(u64, KeyedRecord)>,
    /// Offset after the last record.
    pub end: u64,
    /// Oldest offset that can still be read.
    first: u64,
    /// Highest term that has written.
    pub epoch: u64,
}

impl SiteLog {
    /// Appends records; returns the offset of the first.
    pub fn append(&mut self, records: Vec<KeyedRecord>) -> u64 {
        let offset = self.end;
        for record in records {
            self.records.push((self.end, record));
            self.end += 1;
        }
        offset
    }

    /// Drops all but the newest record of each key.
    pub fn compact(&mut self) {
        self.records = self.newest();
        self.first = self.end;
    }

    /// Newest record of each key, in the order of their offsets.
    pub fn newest(&self) -> Vec<(u64, KeyedRecord)> {
        let mut newest: BTreeMap<&str, &(u64, KeyedRecord)> = BTreeMap::new();
        for record in &self.records {
            newest.insert(&record.1.key, record);
        }
        let mut newest: Vec<_> = newest.into_values().cloned().collect();
        newest.sort_by_key(|(offset, _)| *offset);
        newest
    }

    /// Records from an offset on; `None` if some of them were compacted away.
    pub fn read(&self, from: u64) -> Option<LogBatch> {
        if from < self.first {
            return None;
        }
        let records = self.records.iter().filter(|(offset, _)| *offset >= from);
        Some(LogBatch { end: self.end, next: self.end, records: records.cloned().collect() })
    }
}
