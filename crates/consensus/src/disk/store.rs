//! The store of the replicated log: a segment file with one record per batch, and a snapshot file.
//!
//! Each segment starts with a checkpoint of everything that is not in the snapshot file. A new snapshot, or
//! a segment longer than `MAX_SEGMENT_BYTES`, starts a new segment. It is written to a temporary file,
//! synced and renamed; the older segment is removed after that. The segment with the highest number is
//! therefore complete, except for a torn last record.

use super::record::{ReadEnd, encode_record, read_records};
use super::{Folder, StoreError};
use crate::durable::{DurableState, HardState, Snapshot, WriteBatch};
use crate::message::{LogEntry, Position, PromiseMarks};
use comfreyhold_types::codes::ResultCode;
use comfreyhold_types::keys::{Incarnation, Revision};
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::io;
use std::sync::Arc;

/// Length of a segment beyond which the next batch starts a new one, in bytes.
const MAX_SEGMENT_BYTES: u64 = 4 * 1024 * 1024;

/// File with the identity of the folder, as one record.
const DISK_ID_FILE: &str = "disk-id";
/// File with the incarnation of the last start (8 bytes, little-endian).
const INCARNATION_FILE: &str = "start";
/// Name under which a file is written until it is synced.
const TEMPORARY_FILE: &str = "new";
const SEGMENT_PREFIX: &str = "log-";
const SNAPSHOT_PREFIX: &str = "snapshot-";

/// One record of a segment.
#[derive(Serialize, Deserialize)]
struct LogRecord {
    /// Number of the record in its segment, from 0; it reveals a missing or repeated record.
    seq: u64,
    content: RecordContent,
}

#[derive(Serialize, Deserialize)]
enum RecordContent {
    /// First record of a segment: everything that is not in the snapshot file.
    Checkpoint {
        hard: HardState,
        /// Number of the snapshot file, if there is one.
        snapshot: Option<u64>,
        at: Position,
        first: Revision,
        entries: Vec<LogEntry>,
        marks: PromiseMarks,
    },
    /// One batch without a snapshot.
    Change {
        hard: Option<HardState>,
        truncate: Option<Revision>,
        entries: Option<(Revision, Vec<LogEntry>)>,
        marks: Option<PromiseMarks>,
    },
}

/// Store of one log replica in an open data folder.
#[derive(Debug)]
pub struct LogStore<F> {
    folder: F,
    disk_id: u64,
    content: DurableState,
    segment_number: u64,
    segment_bytes: u64,
    /// Records in the current segment.
    record_count: u64,
    /// Number of the current snapshot file; `None` before the first snapshot.
    snapshot_number: Option<u64>,
    /// Whether `content` has a newer snapshot than the snapshot file.
    is_snapshot_unwritten: bool,
    /// Result of the first write or sync that failed.
    fault: Option<ResultCode>,
}

impl<F: Folder> LogStore<F> {
    /// Opens a folder and recovers its content. A new folder gets a random identity. A torn last record is cut
    /// off; a folder with other damage is left as it is.
    ///
    /// # Errors
    /// `Corrupt` for damage other than a torn last record, and errors of the file system.
    pub fn open(folder: F, rng: &mut impl Rng) -> Result<Self, StoreError> {
        let mut store = Self {
            folder,
            disk_id: 0,
            content: DurableState::default(),
            segment_number: 0,
            segment_bytes: 0,
            record_count: 0,
            snapshot_number: None,
            is_snapshot_unwritten: false,
            fault: None,
        };
        let names = store.folder.list().map_err(StoreError::Folder)?;
        let newest = names.iter().filter_map(|name| parse_number(name, SEGMENT_PREFIX)).max();
        let has_identity = names.iter().any(|name| name == DISK_ID_FILE);
        match (has_identity, newest) {
            (true, _) => store.read_disk_id()?,
            (false, None) => store.create_disk_id(rng)?,
            (false, Some(_)) => {
                let missing = io::Error::new(io::ErrorKind::NotFound, "disk-id is missing");
                return Err(StoreError::Folder(missing));
            }
        }
        match newest {
            Some(segment) => store.recover(segment)?,
            None => store.start_segment()?,
        }
        store.remove_obsolete();
        Ok(store)
    }

    /// Identity of the folder, drawn at random when it was created.
    #[must_use]
    pub fn disk_id(&self) -> u64 {
        self.disk_id
    }

    /// Content of the folder, including the batches persisted since it was opened.
    #[must_use]
    pub fn content(&self) -> &DurableState {
        &self.content
    }

    /// Determines and stores the incarnation of this process: the wall clock in milliseconds, or the last
    /// incarnation plus one if the wall clock has been set back since. Peers drop messages of a lower incarnation
    /// than they have seen. An incarnation that can't be written is used all the same; only a start after another
    /// step back of the wall clock could repeat it.
    ///
    /// # Errors
    /// The last incarnation can't be read.
    pub fn next_incarnation(&mut self, wall_millis: u64) -> Result<Incarnation, StoreError> {
        let last = match self.folder.read(INCARNATION_FILE) {
            Ok(bytes) => <[u8; 8]>::try_from(bytes).ok().map(u64::from_le_bytes),
            Err(error) if error.kind() == io::ErrorKind::NotFound => None,
            Err(error) => return Err(StoreError::Folder(error)),
        };
        let min = last.map_or(0, |last| last.saturating_add(1));
        if wall_millis < min {
            log::warn!("the wall clock is behind that of the last start");
        }
        let incarnation = wall_millis.max(min);
        if let Err(error) = self.create_file(INCARNATION_FILE, &incarnation.to_le_bytes()) {
            log::warn!("incarnation {incarnation} can't be stored: {error}");
        }
        Ok(Incarnation(incarnation))
    }

    /// Length of the current segment, in bytes.
    #[must_use]
    pub fn segment_bytes(&self) -> u64 {
        self.segment_bytes
    }

    /// Folder of the store, for tests that inject faults.
    pub fn folder_mut(&mut self) -> &mut F {
        &mut self.folder
    }

    /// Returns the folder, for tests that inspect its files.
    #[must_use]
    pub fn into_folder(self) -> F {
        self.folder
    }

    /// Writes and syncs a batch. After an error the store accepts no further batch: what a failed write or
    /// sync has left on the disk is unknown until the folder is opened again, or until [`Self::resume`] has
    /// written everything anew.
    ///
    /// # Errors
    /// `DiskFull`, `Sync` and other errors of the file system; `Stopped` after an earlier one.
    pub fn persist(&mut self, batch: &WriteBatch) -> Result<(), StoreError> {
        if let Some(code) = self.fault {
            return Err(StoreError::Stopped(code));
        }
        let result = self.write_batch(batch);
        if let Err(error) = &result {
            self.fault = Some(error.code());
        }
        result
    }

    /// Takes in a batch that was issued before the fault was known. [`Self::resume`] writes it.
    pub fn keep_unwritten(&mut self, batch: &WriteBatch) {
        self.content.apply(batch);
        self.is_snapshot_unwritten |= batch.snapshot.is_some();
    }

    /// Writes and syncs everything to new files after [`StoreError::DiskFull`], the failed batch and those
    /// kept since included. The store then accepts batches again. The files written before stay as they are
    /// until the new ones are complete.
    ///
    /// # Errors
    /// `DiskFull` if there is still no room, and other errors of the file system; `Stopped` after a fault
    /// other than a full disk. The store stays stopped.
    pub fn resume(&mut self) -> Result<(), StoreError> {
        if let Some(code) = self.fault.filter(|code| *code != ResultCode::DiskFull) {
            return Err(StoreError::Stopped(code));
        }
        if self.is_snapshot_unwritten {
            self.write_snapshot()?;
        }
        self.start_segment()?;
        self.remove_obsolete();
        self.fault = None;
        Ok(())
    }

    fn write_batch(&mut self, batch: &WriteBatch) -> Result<(), StoreError> {
        self.keep_unwritten(batch);
        if self.is_snapshot_unwritten {
            self.write_snapshot()?;
        }
        if batch.snapshot.is_some() || self.segment_bytes > MAX_SEGMENT_BYTES {
            self.start_segment()?;
            self.remove_obsolete();
            return Ok(());
        }
        let content = RecordContent::Change {
            hard: batch.hard_state,
            truncate: batch.truncate_from,
            entries: batch.entries.clone(),
            marks: batch.marks.clone(),
        };
        let bytes = encode_log_record(self.record_count, content)?;
        let name = segment_name(self.segment_number);
        self.folder.append(&name, &bytes).map_err(StoreError::from_write)?;
        self.folder.sync(&name).map_err(StoreError::from_sync)?;
        self.record_count += 1;
        self.segment_bytes += bytes.len() as u64;
        Ok(())
    }

    fn write_snapshot(&mut self) -> Result<(), StoreError> {
        let number = self.segment_number + 1;
        let bytes = encode_record(&self.content.snapshot.bytes);
        self.create_file(&snapshot_name(number), &bytes)?;
        self.snapshot_number = Some(number);
        self.is_snapshot_unwritten = false;
        Ok(())
    }

    fn start_segment(&mut self) -> Result<(), StoreError> {
        let content = RecordContent::Checkpoint {
            hard: self.content.hard_state,
            snapshot: self.snapshot_number,
            at: self.content.snapshot.at,
            first: self.content.first_index,
            entries: self.content.entries.clone(),
            marks: self.content.marks.clone(),
        };
        let bytes = encode_log_record(0, content)?;
        self.create_file(&segment_name(self.segment_number + 1), &bytes)?;
        self.segment_number += 1;
        self.segment_bytes = bytes.len() as u64;
        self.record_count = 1;
        Ok(())
    }

    /// Creates or replaces a file atomically: after a crash it is complete, or as it was before.
    fn create_file(&mut self, name: &str, bytes: &[u8]) -> Result<(), StoreError> {
        self.folder.write(TEMPORARY_FILE, bytes).map_err(StoreError::from_write)?;
        self.folder.sync(TEMPORARY_FILE).map_err(StoreError::from_sync)?;
        self.folder.rename(TEMPORARY_FILE, name).map_err(StoreError::from_write)?;
        self.folder.sync_folder().map_err(StoreError::from_sync)
    }

    fn create_disk_id(&mut self, rng: &mut impl Rng) -> Result<(), StoreError> {
        self.disk_id = rng.next_u64();
        let bytes = encode_record(&self.disk_id.to_le_bytes());
        self.create_file(DISK_ID_FILE, &bytes)
    }

    fn read_disk_id(&mut self) -> Result<(), StoreError> {
        let payload = self.read_single_record(DISK_ID_FILE)?;
        let id: [u8; 8] = payload.try_into().map_err(|_| corrupt_error(DISK_ID_FILE, 0))?;
        self.disk_id = u64::from_le_bytes(id);
        Ok(())
    }

    /// Reads a file that must consist of one record.
    fn read_single_record(&self, name: &str) -> Result<Vec<u8>, StoreError> {
        let bytes = match self.folder.read(name) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => {
                return Err(corrupt_error(name, 0));
            }
            result => result.map_err(StoreError::Folder)?,
        };
        match read_records(&bytes) {
            (records, ReadEnd::Clean) if records.len() == 1 => Ok(records[0].1.to_vec()),
            _ => Err(corrupt_error(name, 0)),
        }
    }

    fn recover(&mut self, segment: u64) -> Result<(), StoreError> {
        let name = segment_name(segment);
        let bytes = self.folder.read(&name).map_err(StoreError::Folder)?;
        let (records, end) = read_records(&bytes);
        if let ReadEnd::Corrupt(offset) = end {
            return Err(corrupt_error(&name, offset));
        }
        if records.is_empty() {
            return Err(corrupt_error(&name, 0));
        }
        for (index, (offset, payload)) in records.iter().enumerate() {
            let replayed = self.replay(index as u64, payload)?;
            replayed.then_some(()).ok_or_else(|| corrupt_error(&name, *offset))?;
        }
        self.segment_number = segment;
        self.record_count = records.len() as u64;
        self.segment_bytes = bytes.len() as u64;
        if let ReadEnd::Torn(offset) = end {
            self.truncate_tail(&name, offset as u64)?;
        }
        Ok(())
    }

    fn truncate_tail(&mut self, name: &str, len: u64) -> Result<(), StoreError> {
        log::warn!("{name}: truncating an incomplete record at byte {len}");
        self.folder.truncate(name, len).map_err(StoreError::from_write)?;
        self.folder.sync(name).map_err(StoreError::from_sync)?;
        self.segment_bytes = len;
        Ok(())
    }

    /// Applies a record of the segment. Returns false when it can't follow the records before it.
    fn replay(&mut self, seq: u64, payload: &[u8]) -> Result<bool, StoreError> {
        let Ok(record) = postcard::from_bytes::<LogRecord>(payload) else { return Ok(false) };
        if record.seq != seq {
            return Ok(false);
        }
        match record.content {
            RecordContent::Checkpoint { hard, snapshot, at, first, entries, marks } => {
                if seq != 0 {
                    return Ok(false);
                }
                self.snapshot_number = snapshot;
                let snapshot = self.read_snapshot(snapshot, at)?;
                self.content =
                    DurableState { hard_state: hard, snapshot, first_index: first, entries, marks };
                Ok(true)
            }
            RecordContent::Change { hard, truncate, entries, marks } => {
                let is_valid = seq != 0 && self.continues_log(truncate, entries.as_ref());
                let batch = WriteBatch {
                    hard_state: hard,
                    snapshot: None,
                    truncate_from: truncate,
                    entries,
                    marks,
                };
                self.content.apply(&batch);
                Ok(is_valid)
            }
        }
    }

    /// Whether the entries of a record start right after those that its truncation leaves.
    fn continues_log(
        &self,
        truncate: Option<Revision>,
        entries: Option<&(Revision, Vec<LogEntry>)>,
    ) -> bool {
        let Some((first, _)) = entries else { return true };
        let content = &self.content;
        let next = if content.entries.is_empty() {
            content.snapshot.at.index.next()
        } else {
            Revision(content.first_index.0 + content.entries.len() as u64)
        };
        *first == truncate.map_or(next, |from| from.min(next))
    }

    fn read_snapshot(&self, file: Option<u64>, at: Position) -> Result<Snapshot, StoreError> {
        let Some(number) = file else { return Ok(Snapshot::default()) };
        let name = snapshot_name(number);
        let snapshot = Snapshot { at, bytes: Arc::new(self.read_single_record(&name)?) };
        match snapshot.decode() {
            Some(_) => Ok(snapshot),
            None => Err(corrupt_error(&name, 0)),
        }
    }

    /// Removes the files that the current segment replaces. A file that can't be removed now is removed later,
    /// at the latest when the folder is opened again.
    fn remove_obsolete(&mut self) {
        let segment = segment_name(self.segment_number);
        let snapshot = self.snapshot_number.map(snapshot_name);
        for name in self.folder.list().unwrap_or_default() {
            let is_owned = name.starts_with(SEGMENT_PREFIX) || name.starts_with(SNAPSHOT_PREFIX);
            let is_current = name == segment || Some(&name) == snapshot.as_ref();
            if ((is_owned && !is_current) || name == TEMPORARY_FILE)
                && let Err(error) = self.folder.remove(&name)
            {
                log::warn!("{name}: obsolete file can't be removed: {error}");
            }
        }
    }
}

fn encode_log_record(seq: u64, content: RecordContent) -> Result<Vec<u8>, StoreError> {
    let payload = postcard::to_stdvec(&LogRecord { seq, content });
    let payload = payload.map_err(|error| StoreError::Folder(io::Error::other(error)))?;
    Ok(encode_record(&payload))
}

fn corrupt_error(file: &str, offset: usize) -> StoreError {
    StoreError::Corrupt { file: file.to_owned(), offset: offset as u64 }
}

fn segment_name(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number:016}")
}

fn snapshot_name(number: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{number:016}")
}

fn parse_number(name: &str, prefix: &str) -> Option<u64> {
    name.strip_prefix(prefix)?.parse().ok()
}
