//! Storage of one voter: an append-only file of its promises and values, compacted as it grows.

use super::acceptor::{Acceptor, AcceptorWrite, Decision};
use super::{AddressedRequest, DiskId, RegisterResponse};
use crate::disk::{Folder, ReadEnd, StoreError, encode_record, read_records};
use std::io;

/// Name of the file that holds the state of the voter.
pub const REGISTER_FILE: &str = "register";
const TEMPORARY_FILE: &str = "register.tmp";

/// Length beyond which the file is rewritten with the newest records only, in bytes. It bounds the time that a
/// start needs to read the file, and the space used on a small disk.
const MAX_FILE_BYTES: u64 = 4 * 1024 * 1024;

/// A voter and its data folder.
pub struct VoterStore<F> {
    folder: F,
    acceptor: Acceptor,
    /// Length of the file up to the end of its last complete record, in bytes.
    file_bytes: u64,
    /// Whether a failed write may have left bytes after the last complete record.
    may_have_torn_tail: bool,
}

impl<F: Folder> VoterStore<F> {
    /// Opens a data folder. One without the file gets the identity `new_disk`.
    ///
    /// # Errors
    /// The folder can't be read or written, or its file is damaged.
    pub fn open(folder: F, new_disk: DiskId) -> Result<Self, StoreError> {
        let mut store = Self {
            folder,
            acceptor: Acceptor::default(),
            file_bytes: 0,
            may_have_torn_tail: false,
        };
        let names = store.folder.list().map_err(StoreError::Folder)?;
        if names.iter().any(|name| name == REGISTER_FILE) {
            store.recover()?;
            // An earlier start may have failed after the rename of the file and before the sync of the folder.
            store.folder.sync_folder().map_err(StoreError::from_sync)?;
        }
        // A file without a complete record is left by a start that ended before its first sync.
        if store.acceptor.disk() == DiskId::default() {
            store.acceptor.apply(AcceptorWrite::Identity(new_disk));
            store.compact()?;
        }
        Ok(store)
    }

    /// State of the voter.
    #[must_use]
    pub fn acceptor(&self) -> &Acceptor {
        &self.acceptor
    }

    /// Folder of the voter, for tests that inject faults.
    pub fn folder_mut(&mut self) -> &mut F {
        &mut self.folder
    }

    /// Returns the folder, for tests that inspect its files.
    #[must_use]
    pub fn into_folder(self) -> F {
        self.folder
    }

    /// Handles a request and returns the response, after syncing the change that it depends on. The response is
    /// `Unavailable` when the write fails; the next request tries to write again.
    pub fn handle(&mut self, addressed: &AddressedRequest) -> RegisterResponse {
        let Decision { write, response } = self.acceptor.decide(addressed);
        let Some(write) = write else { return response };
        match self.persist(&write) {
            Ok(()) => {
                self.acceptor.apply(write);
                response
            }
            Err(error) => {
                log::error!("register: a change could not be written: {error}");
                RegisterResponse::Unavailable
            }
        }
    }

    fn persist(&mut self, write: &AcceptorWrite) -> Result<(), StoreError> {
        if self.may_have_torn_tail {
            self.folder.truncate(REGISTER_FILE, self.file_bytes).map_err(StoreError::from_write)?;
            self.folder.sync(REGISTER_FILE).map_err(StoreError::from_sync)?;
            self.may_have_torn_tail = false;
        }
        if self.file_bytes > MAX_FILE_BYTES {
            self.compact()?;
        }
        let bytes = encode_write(write)?;
        self.may_have_torn_tail = true;
        self.folder.append(REGISTER_FILE, &bytes).map_err(StoreError::from_write)?;
        self.folder.sync(REGISTER_FILE).map_err(StoreError::from_sync)?;
        self.may_have_torn_tail = false;
        self.file_bytes += bytes.len() as u64;
        Ok(())
    }

    fn compact(&mut self) -> Result<(), StoreError> {
        let mut bytes = encode_write(&AcceptorWrite::Identity(self.acceptor.disk()))?;
        if let Some(value) = self.acceptor.accepted() {
            bytes.extend(encode_write(&AcceptorWrite::Value(value.clone()))?);
        }
        bytes.extend(encode_write(&AcceptorWrite::Promise(self.acceptor.promised()))?);
        self.folder.write(TEMPORARY_FILE, &bytes).map_err(StoreError::from_write)?;
        self.folder.sync(TEMPORARY_FILE).map_err(StoreError::from_sync)?;
        self.folder.rename(TEMPORARY_FILE, REGISTER_FILE).map_err(StoreError::from_write)?;
        self.folder.sync_folder().map_err(StoreError::from_sync)?;
        self.file_bytes = bytes.len() as u64;
        Ok(())
    }

    fn recover(&mut self) -> Result<(), StoreError> {
        let bytes = self.folder.read(REGISTER_FILE).map_err(StoreError::Folder)?;
        let (records, end) = read_records(&bytes);
        if let ReadEnd::Corrupt(offset) = end {
            return Err(corrupt_error(offset));
        }
        for (offset, payload) in records {
            let write = postcard::from_bytes(payload).map_err(|_| corrupt_error(offset))?;
            self.acceptor.apply(write);
        }
        self.file_bytes = bytes.len() as u64;
        if let ReadEnd::Torn(offset) = end {
            self.file_bytes = offset as u64;
            self.may_have_torn_tail = true;
        }
        Ok(())
    }
}

fn encode_write(write: &AcceptorWrite) -> Result<Vec<u8>, StoreError> {
    let payload = postcard::to_stdvec(write);
    let payload = payload.map_err(|error| StoreError::Folder(io::Error::other(error)))?;
    Ok(encode_record(&payload))
}

fn corrupt_error(offset: usize) -> StoreError {
    StoreError::Corrupt { file: REGISTER_FILE.to_owned(), offset: offset as u64 }
}
