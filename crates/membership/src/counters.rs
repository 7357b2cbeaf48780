//! Grow-only request counters per (instance, incarnation, service, outcome), merged by maximum.

use comfreyhold_types::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// One run of a process: its instance number and incarnation.
pub type ProcessRun = (InstanceId, Incarnation);

/// Identity of one counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CounterKey {
    /// Instance that counts.
    pub instance: InstanceId,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
    /// Service that the requests were sent to.
    pub service: ServiceId,
    /// Result of the requests.
    pub outcome: ResultCode,
}

/// A counter with its value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CounterRow {
    /// Identity of the counter.
    pub key: CounterKey,
    /// Number of requests since the process started.
    pub value: u64,
}

/// Mark of a graceful stop: the process counts nothing more under this incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FinalMark {
    /// The process that stopped.
    pub process: ProcessRun,
    /// Sum of all counters of the process, which reveals missing rows.
    pub total: u64,
}

/// Counters that changed since the last confirmed report. Values are totals, so a repeated or late
/// report changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountReport {
    /// Number that the receiver confirms.
    pub number: u64,
    /// The process that reports.
    pub process: ProcessRun,
    /// Counters that changed.
    pub rows: Vec<CounterRow>,
    /// Present once the process stops gracefully.
    pub final_mark: Option<FinalMark>,
}

/// Messages about counters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CounterMessage {
    /// From a process to a control instance.
    Report(CountReport),
    /// From a control instance that has merged the report.
    Confirm {
        /// Number of the report.
        number: u64,
    },
}

/// Counters of this process, with the changes that one receiver has not confirmed yet.
#[derive(Clone, Debug)]
pub struct LocalCounters {
    process: ProcessRun,
    values: BTreeMap<(ServiceId, ResultCode), u64>,
    unconfirmed: BTreeSet<(ServiceId, ResultCode)>,
    /// Values in the last report.
    reported: BTreeMap<(ServiceId, ResultCode), u64>,
    last_report_number: u64,
    is_stopped: bool,
    is_final_mark_confirmed: bool,
}

impl LocalCounters {
    /// Creates empty counters for one run of a process.
    #[must_use]
    pub fn new(instance: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            process: (instance, incarnation),
            values: BTreeMap::new(),
            unconfirmed: BTreeSet::new(),
            reported: BTreeMap::new(),
            last_report_number: 0,
            is_stopped: false,
            is_final_mark_confirmed: false,
        }
    }

    /// Adds `count` finished requests to a counter.
    pub fn add(&mut self, service: ServiceId, outcome: ResultCode, count: u64) {
        *self.values.entry((service, outcome)).or_default() += count;
        self.unconfirmed.insert((service, outcome));
    }

    /// Records the graceful stop. Later reports contain the final mark.
    pub fn stop(&mut self) {
        self.is_stopped = true;
    }

    /// Whether the receiver has confirmed every counter and, after a stop, the final mark.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.unconfirmed.is_empty() && (!self.is_stopped || self.is_final_mark_confirmed)
    }

    /// Creates the next report to send; `None` when everything is confirmed.
    pub fn report(&mut self) -> Option<CountReport> {
        if self.is_confirmed() {
            return None;
        }
        self.last_report_number += 1;
        self.reported = self.unconfirmed.iter().map(|key| (*key, self.values[key])).collect();
        let rows = self.reported.iter().map(|(key, value)| self.row(*key, *value)).collect();
        let total = self.values.values().sum();
        let final_mark = self.is_stopped.then_some(FinalMark { process: self.process, total });
        Some(CountReport {
            number: self.last_report_number,
            process: self.process,
            rows,
            final_mark,
        })
    }

    /// Handles a confirmation. Only that of the newest report has an effect, since this report includes all
    /// unconfirmed changes of the earlier ones.
    pub fn confirm(&mut self, number: u64) {
        if number != self.last_report_number {
            return;
        }
        for (key, value) in std::mem::take(&mut self.reported) {
            if self.values[&key] == value {
                self.unconfirmed.remove(&key);
            }
        }
        self.is_final_mark_confirmed = self.is_stopped;
    }

    /// All counters of this process in the merged form.
    #[must_use]
    pub fn counts(&self) -> MergedCounters {
        let mut counts = MergedCounters::default();
        for (key, value) in &self.values {
            counts.merge_row(self.row(*key, *value));
        }
        counts
    }

    fn row(&self, (service, outcome): (ServiceId, ResultCode), value: u64) -> CounterRow {
        let (instance, incarnation) = self.process;
        CounterRow { key: CounterKey { instance, incarnation, service, outcome }, value }
    }
}

/// Error of a counter document that can't be encoded or decoded.
#[derive(Debug, Error)]
#[error("counters: {0}")]
pub struct CountsError(#[from] serde_json::Error);

#[derive(Serialize, Deserialize)]
struct CountsFile {
    rows: Vec<CounterRow>,
    processes: BTreeSet<ProcessRun>,
    finals: Vec<FinalMark>,
}

/// Counters of all processes. The merge is commutative, associative and idempotent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergedCounters {
    values: BTreeMap<CounterKey, u64>,
    processes: BTreeSet<ProcessRun>,
    finals: BTreeMap<ProcessRun, u64>,
}

impl MergedCounters {
    /// Merges one report.
    pub fn merge_report(&mut self, report: &CountReport) {
        self.processes.insert(report.process);
        report.rows.iter().for_each(|row| self.merge_row(*row));
        report.final_mark.iter().for_each(|mark| self.merge_final_mark(*mark));
    }

    /// Merges the counters of another control instance.
    pub fn merge(&mut self, other: &Self) {
        self.processes.extend(&other.processes);
        for (key, value) in &other.values {
            self.merge_row(CounterRow { key: *key, value: *value });
        }
        for (process, total) in &other.finals {
            self.merge_final_mark(FinalMark { process: *process, total: *total });
        }
    }

    /// Value of one counter; 0 when no report has contained it.
    #[must_use]
    pub fn value(&self, key: CounterKey) -> u64 {
        self.values.get(&key).copied().unwrap_or(0)
    }

    /// All counters in the order of their keys.
    pub fn rows(&self) -> impl Iterator<Item = CounterRow> {
        self.values.iter().map(|(key, value)| CounterRow { key: *key, value: *value })
    }

    /// Sums over all processes, by service and outcome.
    #[must_use]
    pub fn totals(&self) -> BTreeMap<(ServiceId, ResultCode), u64> {
        let mut totals = BTreeMap::new();
        for (key, value) in &self.values {
            *totals.entry((key.service, key.outcome)).or_default() += value;
        }
        totals
    }

    /// Processes whose counters may be incomplete: those without a final mark that no longer run, and those
    /// whose counters add up to less than the final mark states.
    #[must_use]
    pub fn incomplete_processes(&self, running: &BTreeSet<ProcessRun>) -> Vec<ProcessRun> {
        let is_incomplete = |process: &&ProcessRun| match self.finals.get(process) {
            Some(total) => self.total_of(**process) < *total,
            None => !running.contains(process),
        };
        self.processes.iter().filter(is_incomplete).copied().collect()
    }

    /// Encodes the counters as a JSON document.
    ///
    /// # Errors
    /// Returns an error when the encoder fails.
    pub fn to_json(&self) -> Result<Vec<u8>, CountsError> {
        let to_mark =
            |(process, total): (&ProcessRun, &u64)| FinalMark { process: *process, total: *total };
        let finals = self.finals.iter().map(to_mark).collect();
        let rows = self.rows().collect();
        let file = CountsFile { rows, processes: self.processes.clone(), finals };
        Ok(serde_json::to_vec(&file)?)
    }

    /// Decodes a document written by `to_json`.
    ///
    /// # Errors
    /// Returns an error when the document does not have this form.
    pub fn from_json(text: &[u8]) -> Result<Self, CountsError> {
        let file: CountsFile = serde_json::from_slice(text)?;
        let mut counts = Self { processes: file.processes, ..Self::default() };
        file.rows.into_iter().for_each(|row| counts.merge_row(row));
        file.finals.into_iter().for_each(|mark| counts.merge_final_mark(mark));
        Ok(counts)
    }

    fn merge_row(&mut self, row: CounterRow) {
        self.processes.insert((row.key.instance, row.key.incarnation));
        let value = self.values.entry(row.key).or_default();
        *value = row.value.max(*value);
    }

    fn merge_final_mark(&mut self, mark: FinalMark) {
        self.processes.insert(mark.process);
        let total = self.finals.entry(mark.process).or_default();
        *total = mark.total.max(*total);
    }

    fn total_of(&self, process: ProcessRun) -> u64 {
        let of_process = |key: &&CounterKey| (key.instance, key.incarnation) == process;
        self.values.keys().filter(of_process).map(|key| self.values[key]).sum()
    }
}
