//! Counters of all processes, merged and kept on the control instance's disk.

use crate::context::{Context, lock};
use anyhow::Context as _;
use comfreyhold_membership::counters::{CountReport, CounterMessage, MergedCounters};
use comfreyhold_types::prelude::*;
use comfreyhold_wire::envelope::Topic;
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::Duration;

/// Time between two writes of changed counters.
pub const WRITE_INTERVAL: Duration = Duration::from_millis(500);

const FILE_NAME: &str = "counts.json";

#[derive(Default)]
struct Merged {
    counts: MergedCounters,
    dirty: bool,
    /// Reports that the next write covers, by sender.
    unsynced: BTreeMap<InstanceId, u64>,
    /// Reports whose confirmation may be sent.
    synced: BTreeMap<InstanceId, u64>,
}

/// The merged counters and their file.
pub struct CountStore {
    folder: PathBuf,
    merged: Mutex<Merged>,
}

impl CountStore {
    /// Opens the counters in a data folder.
    ///
    /// # Errors
    /// The file can't be read or is not valid.
    pub fn open(folder: &Path) -> anyhow::Result<Self> {
        let path = folder.join(FILE_NAME);
        let counts = match fs::read(&path) {
            Ok(text) => {
                MergedCounters::from_json(&text).with_context(|| path.display().to_string())?
            }
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => MergedCounters::default(),
            Err(error) => return Err(error).with_context(|| path.display().to_string()),
        };
        let merged = Merged { counts, ..Merged::default() };
        Ok(Self { folder: folder.to_owned(), merged: Mutex::new(merged) })
    }

    /// Merges a report. It is confirmed once it is on disk.
    pub fn merge(&self, from: InstanceId, report: &CountReport) {
        let mut merged = lock(&self.merged);
        merged.counts.merge_report(report);
        merged.dirty = true;
        merged.unsynced.insert(from, report.number);
    }

    /// The merged counters.
    #[must_use]
    pub fn counts(&self) -> MergedCounters {
        lock(&self.merged).counts.clone()
    }

    /// Writes changed counters and syncs them.
    ///
    /// # Errors
    /// The file can't be written; the reports stay unconfirmed and are sent again.
    pub fn write(&self) -> anyhow::Result<()> {
        let (text, covered) = {
            let mut merged = lock(&self.merged);
            if !merged.dirty {
                return Ok(());
            }
            merged.dirty = false;
            (merged.counts.to_json()?, std::mem::take(&mut merged.unsynced))
        };
        let written = write_synced(&self.folder, &text);
        let mut merged = lock(&self.merged);
        match written {
            Ok(()) => {
                merged.synced.extend(covered);
                Ok(())
            }
            Err(error) => {
                merged.dirty = true;
                Err(error).context("counters can't be written")
            }
        }
    }

    /// Confirms the reports that are on disk.
    pub fn send_confirmations(&self, cx: &Context) {
        let synced = std::mem::take(&mut lock(&self.merged).synced);
        for (to, number) in synced {
            cx.send(to, Topic::Counters, &CounterMessage::Confirm { number });
        }
    }
}

/// Replaces the file as a whole: a crash leaves either the old or the new one.
fn write_synced(folder: &Path, text: &[u8]) -> std::io::Result<()> {
    let temporary = folder.join("counts.json.new");
    let mut f = File::create(&temporary)?;
    f.write_all(text)?;
    f.sync_all()?;
    fs::rename(&temporary, folder.join(FILE_NAME))?;
    File::open(folder)?.sync_all()
}
