//! Request counters that the entries have reported, merged and stored in the data folder.

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

/// Interval at which changed counters are written. Reports are confirmed only after the write, so that a crash
/// loses none of them.
pub const WRITE_INTERVAL: Duration = Duration::from_millis(500);

const FILE_NAME: &str = "counts.json";

#[derive(Default)]
struct CountState {
    counts: MergedCounters,
    /// Whether `counts` has changed since the last write.
    is_dirty: bool,
    /// Number of the last report of each sender that the next write covers.
    unsynced: BTreeMap<InstanceId, u64>,
    /// Number of the last report of each sender that is on disk and has yet to be confirmed.
    unconfirmed: BTreeMap<InstanceId, u64>,
}

/// Merged counters in memory, and the file that they are stored in.
pub struct CountStore {
    folder: PathBuf,
    state: Mutex<CountState>,
}

impl CountStore {
    /// Reads the counters in a data folder; they are empty when the folder has no file yet.
    ///
    /// # Errors
    /// The file can't be read or is malformed.
    pub fn open(folder: &Path) -> anyhow::Result<Self> {
        let path = folder.join(FILE_NAME);
        let counts = match fs::read(&path) {
            Ok(text) => {
                MergedCounters::from_json(&text).with_context(|| path.display().to_string())?
            }
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => MergedCounters::default(),
            Err(error) => return Err(error).with_context(|| path.display().to_string()),
        };
        let state = CountState { counts, ..CountState::default() };
        Ok(Self { folder: folder.to_owned(), state: Mutex::new(state) })
    }

    /// Merges a report, which is confirmed to its sender once it is on disk.
    pub fn merge(&self, from: InstanceId, report: &CountReport) {
        let mut state = lock(&self.state);
        state.counts.merge_report(report);
        state.is_dirty = true;
        state.unsynced.insert(from, report.number);
    }

    /// A copy of the merged counters.
    #[must_use]
    pub fn counts(&self) -> MergedCounters {
        lock(&self.state).counts.clone()
    }

    /// Writes changed counters and syncs them.
    ///
    /// # Errors
    /// The file can't be written. The reports stay unconfirmed, so that their senders send them again.
    pub fn write(&self) -> anyhow::Result<()> {
        let (text, covered) = {
            let mut state = lock(&self.state);
            if !state.is_dirty {
                return Ok(());
            }
            state.is_dirty = false;
            (state.counts.to_json()?, std::mem::take(&mut state.unsynced))
        };
        let result = write_synced(&self.folder, &text);
        let mut state = lock(&self.state);
        match result {
            Ok(()) => {
                state.unconfirmed.extend(covered);
                Ok(())
            }
            Err(error) => {
                state.is_dirty = true;
                Err(error).context("counters can't be written")
            }
        }
    }

    /// Confirms the reports that are on disk to their senders.
    pub fn send_confirmations(&self, cx: &Context) {
        let unconfirmed = std::mem::take(&mut lock(&self.state).unconfirmed);
        for (to, number) in unconfirmed {
            cx.send(to, Topic::Counters, &CounterMessage::Confirm { number });
        }
    }
}

/// Replaces the file by a synced rename, so that a crash leaves either the old or the new content.
fn write_synced(folder: &Path, text: &[u8]) -> std::io::Result<()> {
    let temporary_path = folder.join("counts.json.new");
    let mut f = File::create(&temporary_path)?;
    f.write_all(text)?;
    f.sync_all()?;
    fs::rename(&temporary_path, folder.join(FILE_NAME))?;
    File::open(folder)?.sync_all()
}
