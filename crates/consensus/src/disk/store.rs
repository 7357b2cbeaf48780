//! The store: a segment of records, one per batch, and snapshot files.
//!
//! Each segment starts with a checkpoint of everything that is not in a snapshot file. A snapshot, or a
//! segment that has grown too long, starts a new segment under a temporary name that is renamed once
//! synced; the older segment is removed after that. So the segment with the highest number is whole up
//! to its tail.

use super::record::{ReadEnd, encode_record, read_records};
use super::{Folder, StoreError};
use crate::durable::{Durable, HardState, Snapshot, WriteBatch};
use crate::message::{LogEntry, Marks, Position};
use comfreyhold_types::codes::ResultCode;
use comfreyhold_types::keys::{Incarnation, Revision};
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::io;
use std::sync::Arc;

/// Length of a segment after which a new one starts, in bytes.
const SEGMENT_BYTES: u64 = 4 * 1024 * 1024;

const DISK_ID_FILE: &str = "disk-id";
const START_FILE: &str = "start";
const TEMPORARY: &str = "new";
const SEGMENT_PREFIX: &str = "log-";
const SNAPSHOT_PREFIX: &str = "snapshot-";

#[derive(Serialize, Deserialize)]
struct Record {
    /// Counts the records of a segment, so that a missing or repeated one is noticed.
    seq: u64,
    content: Content,
}

#[derive(Serialize, Deserialize)]
enum Content {
    Checkpoint {
        hard: HardState,
        snapshot: Option<u64>,
        at: Position,
        first: Revision,
        entries: Vec<LogEntry>,
        marks: Marks,
    },
    Change {
        hard: Option<HardState>,
        truncate: Option<Revision>,
        entries: Option<(Revision, Vec<LogEntry>)>,
        marks: Option<Marks>,
    },
}

/// An open data folder.
#[derive(Debug)]
pub struct LogStore<F> {
    folder: F,
    disk_id: u64,
    content: Durable,
    segment: u64,
    segment_bytes: u64,
    records: u64,
    snapshot_file: Option<u64>,
    stopped: Option<ResultCode>,
}

impl<F: Folder> LogStore<F> {
    /// Opens a folder, giving a new one a random identity. A torn tail is cut; nothing else is changed
    /// when the folder is damaged.
    ///
    /// # Errors
    /// `Corrupt` for damage before the tail, and errors of the file system.
    pub fn open(folder: F, rng: &mut impl Rng) -> Result<Self, StoreError> {
        let mut store = Self {
            folder,
            disk_id: 0,
            content: Durable::default(),
            segment: 0,
            segment_bytes: 0,
            records: 0,
            snapshot_file: None,
            stopped: None,
        };
        let names = store.folder.list().map_err(StoreError::Folder)?;
        let newest = names.iter().filter_map(|name| number(name, SEGMENT_PREFIX)).max();
        let known = names.iter().any(|name| name == DISK_ID_FILE);
        match (known, newest) {
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

    /// Random identity of the folder.
    #[must_use]
    pub fn disk_id(&self) -> u64 {
        self.disk_id
    }

    /// Content of the folder.
    #[must_use]
    pub fn content(&self) -> &Durable {
        &self.content
    }

    /// Gives the process that has opened the folder its start number: the time of day in milliseconds, or one more
    /// than the last start had if the time of day has been set back since. Others drop messages of a lower number
    /// than they have heard. A number that can't be written is used all the same; only a start after a further
    /// step back of the time could repeat it.
    ///
    /// # Errors
    /// The last start's number can't be read.
    pub fn next_incarnation(&mut self, wall_millis: u64) -> Result<Incarnation, StoreError> {
        let last = match self.folder.read(START_FILE) {
            Ok(bytes) => <[u8; 8]>::try_from(bytes).ok().map(u64::from_le_bytes),
            Err(error) if error.kind() == io::ErrorKind::NotFound => None,
            Err(error) => return Err(StoreError::Folder(error)),
        };
        let least = last.map_or(0, |last| last.saturating_add(1));
        if wall_millis < least {
            log::warn!("the time of day is behind that of the last start");
        }
        let start = wall_millis.max(least);
        if let Err(error) = self.create(START_FILE, &start.to_le_bytes()) {
            log::warn!("the start number {start} can't be written: {error}");
        }
        Ok(Incarnation(start))
    }

    /// Length of the current segment, in bytes.
    #[must_use]
    pub fn segment_bytes(&self) -> u64 {
        self.segment_bytes
    }

    /// The files, for tests that inspect them.
    #[must_use]
    pub fn into_folder(self) -> F {
        self.folder
    }

    /// Writes and syncs a batch. After an error, the store accepts nothing more: what a failed write or
    /// sync left on the disk is unknown until the folder is opened again.
    ///
    /// # Errors
    /// `DiskFull`, `Sync` and other errors of the file system; `Stopped` after an earlier one.
    pub fn persist(&mut self, batch: &WriteBatch) -> Result<(), StoreError> {
        if let Some(code) = self.stopped {
            return Err(StoreError::Stopped(code));
        }
        let result = self.write_batch(batch);
        if let Err(error) = &result {
            self.stopped = Some(error.code());
        }
        result
    }

    fn write_batch(&mut self, batch: &WriteBatch) -> Result<(), StoreError> {
        self.content.apply(batch);
        if batch.snapshot.is_some() {
            self.write_snapshot()?;
        }
        if batch.snapshot.is_some() || self.segment_bytes > SEGMENT_BYTES {
            self.start_segment()?;
            self.remove_obsolete();
            return Ok(());
        }
        let content = Content::Change {
            hard: batch.hard,
            truncate: batch.truncate,
            entries: batch.entries.clone(),
            marks: batch.marks.clone(),
        };
        let bytes = encode(self.records, content)?;
        let name = segment_name(self.segment);
        self.folder.append(&name, &bytes).map_err(StoreError::write)?;
        self.folder.sync(&name).map_err(StoreError::sync)?;
        self.records += 1;
        self.segment_bytes += bytes.len() as u64;
        Ok(())
    }

    fn write_snapshot(&mut self) -> Result<(), StoreError> {
        let number = self.segment + 1;
        let bytes = encode_record(&self.content.snapshot.bytes);
        self.create(&snapshot_name(number), &bytes)?;
        self.snapshot_file = Some(number);
        Ok(())
    }

    fn start_segment(&mut self) -> Result<(), StoreError> {
        let content = Content::Checkpoint {
            hard: self.content.hard,
            snapshot: self.snapshot_file,
            at: self.content.snapshot.at,
            first: self.content.first,
            entries: self.content.entries.clone(),
            marks: self.content.marks.clone(),
        };
        let bytes = encode(0, content)?;
        self.create(&segment_name(self.segment + 1), &bytes)?;
        self.segment += 1;
        self.segment_bytes = bytes.len() as u64;
        self.records = 1;
        Ok(())
    }

    /// Creates a file that is either whole or absent after a crash.
    fn create(&mut self, name: &str, bytes: &[u8]) -> Result<(), StoreError> {
        self.folder.write(TEMPORARY, bytes).map_err(StoreError::write)?;
        self.folder.sync(TEMPORARY).map_err(StoreError::sync)?;
        self.folder.rename(TEMPORARY, name).map_err(StoreError::write)?;
        self.folder.sync_folder().map_err(StoreError::sync)
    }

    fn create_disk_id(&mut self, rng: &mut impl Rng) -> Result<(), StoreError> {
        self.disk_id = rng.next_u64();
        let bytes = encode_record(&self.disk_id.to_le_bytes());
        self.create(DISK_ID_FILE, &bytes)
    }

    fn read_disk_id(&mut self) -> Result<(), StoreError> {
        let payload = self.read_whole(DISK_ID_FILE)?;
        let id: [u8; 8] = payload.try_into().map_err(|_| corrupt(DISK_ID_FILE, 0))?;
        self.disk_id = u64::from_le_bytes(id);
        Ok(())
    }

    /// Reads a file that consists of one record.
    fn read_whole(&self, name: &str) -> Result<Vec<u8>, StoreError> {
        let bytes = match self.folder.read(name) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Err(corrupt(name, 0)),
            result => result.map_err(StoreError::Folder)?,
        };
        match read_records(&bytes) {
            (frames, ReadEnd::Clean) if frames.len() == 1 => Ok(frames[0].1.to_vec()),
            _ => Err(corrupt(name, 0)),
        }
    }

    fn recover(&mut self, segment: u64) -> Result<(), StoreError> {
        let name = segment_name(segment);
        let bytes = self.folder.read(&name).map_err(StoreError::Folder)?;
        let (frames, end) = read_records(&bytes);
        if let ReadEnd::Corrupt(offset) = end {
            return Err(corrupt(&name, offset));
        }
        if frames.is_empty() {
            return Err(corrupt(&name, 0));
        }
        for (index, (offset, payload)) in frames.iter().enumerate() {
            let replayed = self.replay(index as u64, payload)?;
            replayed.then_some(()).ok_or_else(|| corrupt(&name, *offset))?;
        }
        self.segment = segment;
        self.records = frames.len() as u64;
        self.segment_bytes = bytes.len() as u64;
        if let ReadEnd::Torn(offset) = end {
            self.cut_tail(&name, offset as u64)?;
        }
        Ok(())
    }

    fn cut_tail(&mut self, name: &str, len: u64) -> Result<(), StoreError> {
        log::warn!("{name}: cutting an incomplete record at byte {len}");
        self.folder.truncate(name, len).map_err(StoreError::write)?;
        self.folder.sync(name).map_err(StoreError::sync)?;
        self.segment_bytes = len;
        Ok(())
    }

    /// Applies a record. Returns false when it does not fit what precedes it.
    fn replay(&mut self, seq: u64, payload: &[u8]) -> Result<bool, StoreError> {
        let Ok(record) = postcard::from_bytes::<Record>(payload) else { return Ok(false) };
        if record.seq != seq {
            return Ok(false);
        }
        match record.content {
            Content::Checkpoint { hard, snapshot, at, first, entries, marks } => {
                if seq != 0 {
                    return Ok(false);
                }
                self.snapshot_file = snapshot;
                let snapshot = self.read_snapshot(snapshot, at)?;
                self.content = Durable { hard, snapshot, first, entries, marks };
                Ok(true)
            }
            Content::Change { hard, truncate, entries, marks } => {
                let follows = seq != 0 && self.follows(truncate, entries.as_ref());
                let batch = WriteBatch { hard, snapshot: None, truncate, entries, marks };
                self.content.apply(&batch);
                Ok(follows)
            }
        }
    }

    fn follows(
        &self,
        truncate: Option<Revision>,
        entries: Option<&(Revision, Vec<LogEntry>)>,
    ) -> bool {
        let Some((first, _)) = entries else { return true };
        let content = &self.content;
        let next = if content.entries.is_empty() {
            content.snapshot.at.index.next()
        } else {
            Revision(content.first.0 + content.entries.len() as u64)
        };
        *first == truncate.map_or(next, |from| from.min(next))
    }

    fn read_snapshot(&self, file: Option<u64>, at: Position) -> Result<Snapshot, StoreError> {
        let Some(number) = file else { return Ok(Snapshot::default()) };
        let name = snapshot_name(number);
        let snapshot = Snapshot { at, bytes: Arc::new(self.read_whole(&name)?) };
        match snapshot.decode() {
            Some(_) => Ok(snapshot),
            None => Err(corrupt(&name, 0)),
        }
    }

    /// Removes files that the current segment replaces. A file that stays is removed at the next start.
    fn remove_obsolete(&mut self) {
        let segment = segment_name(self.segment);
        let snapshot = self.snapshot_file.map(snapshot_name);
        for name in self.folder.list().unwrap_or_default() {
            let own = name.starts_with(SEGMENT_PREFIX) || name.starts_with(SNAPSHOT_PREFIX);
            let needed = name == segment || Some(&name) == snapshot.as_ref();
            if ((own && !needed) || name == TEMPORARY)
                && let Err(error) = self.folder.remove(&name)
            {
                log::warn!("{name}: obsolete file not removed: {error}");
            }
        }
    }
}

fn encode(seq: u64, content: Content) -> Result<Vec<u8>, StoreError> {
    let payload = postcard::to_stdvec(&Record { seq, content });
    let payload = payload.map_err(|error| StoreError::Folder(io::Error::other(error)))?;
    Ok(encode_record(&payload))
}

fn corrupt(file: &str, offset: usize) -> StoreError {
    StoreError::Corrupt { file: file.to_owned(), offset: offset as u64 }
}

fn segment_name(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number:016}")
}

fn snapshot_name(number: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{number:016}")
}

fn number(name: &str, prefix: &str) -> Option<u64> {
    name.strip_prefix(prefix)?.parse().ok()
}
