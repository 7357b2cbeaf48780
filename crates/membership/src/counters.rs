//! Grow-only counters per (instance, incarnation, service, outcome), merged by maximum.

use comfreyhold_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// One start of one process.
pub type Process = (InstanceId, Incarnation);

/// What a counter counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CounterKey {
    /// The process that counts.
    pub instance: InstanceId,
    /// Its start number.
    pub incarnation: Incarnation,
    /// The service that was asked for.
    pub service: ServiceId,
    /// How the requests ended.
    pub outcome: ResultCode,
}

/// A counter with its value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CounterRow {
    /// What is counted.
    pub key: CounterKey,
    /// How many so far.
    pub value: u64,
}

/// Mark of a graceful stop: nothing follows it under this incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FinalMark {
    /// The process that stopped.
    pub process: Process,
    /// Sum of all its counters, which shows whether a row is missing.
    pub total: u64,
}

/// Counters that changed since the last confirmed report. Values are totals, so a repeated or late
/// report does no harm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountReport {
    /// Number to confirm.
    pub number: u64,
    /// The process that reports.
    pub process: Process,
    /// Changed counters.
    pub rows: Vec<CounterRow>,
    /// Set once the process stops gracefully.
    pub final_mark: Option<FinalMark>,
}

/// Messages about counters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CounterMessage {
    /// From a process to the control instances.
    Report(CountReport),
    /// From a control instance, once the report is merged.
    Confirm {
        /// Number of the report.
        number: u64,
    },
}

/// The counters of this process, with what one receiver has not confirmed yet.
#[derive(Clone, Debug)]
pub struct LocalCounters {
    process: Process,
    values: BTreeMap<(ServiceId, ResultCode), u64>,
    unconfirmed: BTreeSet<(ServiceId, ResultCode)>,
    sent: BTreeMap<(ServiceId, ResultCode), u64>,
    number: u64,
    stopped: bool,
    final_confirmed: bool,
}

impl LocalCounters {
    /// Creates empty counters for this start of the process.
    #[must_use]
    pub fn new(instance: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            process: (instance, incarnation),
            values: BTreeMap::new(),
            unconfirmed: BTreeSet::new(),
            sent: BTreeMap::new(),
            number: 0,
            stopped: false,
            final_confirmed: false,
        }
    }

    /// Counts finished requests.
    pub fn add(&mut self, service: ServiceId, outcome: ResultCode, count: u64) {
        *self.values.entry((service, outcome)).or_default() += count;
        self.unconfirmed.insert((service, outcome));
    }

    /// Marks the graceful stop. The next report carries the final mark.
    pub fn stop(&mut self) {
        self.stopped = true;
    }

    /// Whether the receiver has confirmed every counter and, after a stop, the final mark.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.unconfirmed.is_empty() && (!self.stopped || self.final_confirmed)
    }

    /// The report to send now, or `None` when everything is confirmed.
    pub fn report(&mut self) -> Option<CountReport> {
        if self.is_confirmed() {
            return None;
        }
        self.number += 1;
        self.sent = self.unconfirmed.iter().map(|key| (*key, self.values[key])).collect();
        let rows = self.sent.iter().map(|(key, value)| self.row(*key, *value)).collect();
        let total = self.values.values().sum();
        let final_mark = self.stopped.then_some(FinalMark { process: self.process, total });
        Some(CountReport { number: self.number, process: self.process, rows, final_mark })
    }

    /// Takes in a confirmation. Only the newest report counts, since it includes all older ones.
    pub fn confirm(&mut self, number: u64) {
        if number != self.number {
            return;
        }
        for (key, value) in std::mem::take(&mut self.sent) {
            if self.values[&key] == value {
                self.unconfirmed.remove(&key);
            }
        }
        self.final_confirmed = self.stopped;
    }

    /// All counters in the merged form.
    #[must_use]
    pub fn counts(&self) -> MergedCounters {
        let mut counts = MergedCounters::default();
        for (key, value) in &self.values {
            counts.raise(self.row(*key, *value));
        }
        counts
    }

    fn row(&self, (service, outcome): (ServiceId, ResultCode), value: u64) -> CounterRow {
        let (instance, incarnation) = self.process;
        CounterRow { key: CounterKey { instance, incarnation, service, outcome }, value }
    }
}

/// A counter file that can't be read or written.
#[derive(Debug, Error)]
#[error("counters: {0}")]
pub struct CountsError(#[from] serde_json::Error);

#[derive(Serialize, Deserialize)]
struct CountsFile {
    rows: Vec<CounterRow>,
    processes: BTreeSet<Process>,
    finals: Vec<FinalMark>,
}

/// Merged counters of all processes. The merge is commutative, associative and idempotent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergedCounters {
    values: BTreeMap<CounterKey, u64>,
    processes: BTreeSet<Process>,
    finals: BTreeMap<Process, u64>,
}

impl MergedCounters {
    /// Merges one report.
    pub fn merge_report(&mut self, report: &CountReport) {
        self.processes.insert(report.process);
        report.rows.iter().for_each(|row| self.raise(*row));
        report.final_mark.iter().for_each(|mark| self.finish(*mark));
    }

    /// Merges the counters of another control instance.
    pub fn merge(&mut self, other: &Self) {
        self.processes.extend(&other.processes);
        for (key, value) in &other.values {
            self.raise(CounterRow { key: *key, value: *value });
        }
        for (process, total) in &other.finals {
            self.finish(FinalMark { process: *process, total: *total });
        }
    }

    /// Value of one counter; 0 when nothing was counted.
    #[must_use]
    pub fn value(&self, key: CounterKey) -> u64 {
        self.values.get(&key).copied().unwrap_or(0)
    }

    /// All counters in the order of their keys.
    pub fn rows(&self) -> impl Iterator<Item = CounterRow> {
        self.values.iter().map(|(key, value)| CounterRow { key: *key, value: *value })
    }

    /// Sums over all processes.
    #[must_use]
    pub fn totals(&self) -> BTreeMap<(ServiceId, ResultCode), u64> {
        let mut totals = BTreeMap::new();
        for (key, value) in &self.values {
            *totals.entry((key.service, key.outcome)).or_default() += value;
        }
        totals
    }

    /// Processes whose last counts may be missing: no final mark and no longer running, or fewer
    /// counted than the final mark says.
    #[must_use]
    pub fn incomplete_processes(&self, running: &BTreeSet<Process>) -> Vec<Process> {
        let is_gap = |process: &&Process| match self.finals.get(process) {
            Some(total) => self.sum(**process) < *total,
            None => !running.contains(process),
        };
        self.processes.iter().filter(is_gap).copied().collect()
    }

    /// The counters as a JSON document.
    ///
    /// # Errors
    /// When the encoder fails.
    pub fn to_json(&self) -> Result<Vec<u8>, CountsError> {
        let to_mark =
            |(process, total): (&Process, &u64)| FinalMark { process: *process, total: *total };
        let finals = self.finals.iter().map(to_mark).collect();
        let rows = self.rows().collect();
        let file = CountsFile { rows, processes: self.processes.clone(), finals };
        Ok(serde_json::to_vec(&file)?)
    }

    /// Reads what `to_json` wrote.
    ///
    /// # Errors
    /// When the document is not of this form.
    pub fn from_json(text: &[u8]) -> Result<Self, CountsError> {
        let file: CountsFile = serde_json::from_slice(text)?;
        let mut counts = Self { processes: file.processes, ..Self::default() };
        file.rows.into_iter().for_each(|row| counts.raise(row));
        file.finals.into_iter().for_each(|mark| counts.finish(mark));
        Ok(counts)
    }

    fn raise(&mut self, row: CounterRow) {
        self.processes.insert((row.key.instance, row.key.incarnation));
        let value = self.values.entry(row.key).or_default();
        *value = row.value.max(*value);
    }

    fn finish(&mut self, mark: FinalMark) {
        self.processes.insert(mark.process);
        let total = self.finals.entry(mark.process).or_default();
        *total = mark.total.max(*total);
    }

    fn sum(&self, process: Process) -> u64 {
        let of_process = |key: &&CounterKey| (key.instance, key.incarnation) == process;
        self.values.keys().filter(of_process).map(|key| self.values[key]).sum()
    }
}
