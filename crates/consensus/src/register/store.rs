//! The folder of one voter: an append-only file of its promises and values, compacted as it grows.

use super::acceptor::{Acceptor, Decision, Write};
use super::{AddressedRequest, DiskId, RegisterResponse};
use crate::disk::{Folder, ReadEnd, StoreError, encode_record, read_records};
use std::io;

/// Name of the file.
pub const REGISTER_FILE: &str = "register";
const TEMPORARY: &str = "register.tmp";

/// Length at which the file is written anew with its newest records only, in bytes. It bounds the time
/// that a start needs to read the file, and the space on a small disk.
const COMPACT_BYTES: u64 = 4 * 1024 * 1024;

/// A voter with its folder.
pub struct VoterStore<F> {
    folder: F,
    acceptor: Acceptor,
    bytes: u64,
    /// Whether a failed write may have left bytes behind the last whole record.
    dirty: bool,
}

impl<F: Folder> VoterStore<F> {
    /// Opens a folder. One without a file gets the identity `new`.
    ///
    /// # Errors
    /// The folder can't be read or written, or its file is damaged.
    pub fn open(folder: F, new: DiskId) -> Result<Self, StoreError> {
        let mut store = Self { folder, acceptor: Acceptor::default(), bytes: 0, dirty: false };
        let names = store.folder.list().map_err(StoreError::Folder)?;
        if names.iter().any(|name| name == REGISTER_FILE) {
            store.recover()?;
            // An earlier start may have failed between the file's rename and the sync of its name.
            store.folder.sync_folder().map_err(StoreError::sync)?;
        }
        // A file without a whole record was created by a start that ended before its first sync.
        if store.acceptor.disk() == DiskId::default() {
            store.acceptor.apply(Write::Identity(new));
            store.compact()?;
        }
        Ok(store)
    }

    /// The voter's state.
    #[must_use]
    pub fn acceptor(&self) -> &Acceptor {
        &self.acceptor
    }

    /// The files, for tests that inject faults.
    pub fn folder_mut(&mut self) -> &mut F {
        &mut self.folder
    }

    /// The files, for tests that inspect them.
    #[must_use]
    pub fn into_folder(self) -> F {
        self.folder
    }

    /// Answers a request, after syncing what the answer depends on. A write that fails is answered as
    /// unavailable, and tried again with the next request.
    pub fn handle(&mut self, addressed: &AddressedRequest) -> RegisterResponse {
        let Decision { write, response } = self.acceptor.decide(addressed);
        let Some(write) = write else { return response };
        match self.persist(&write) {
            Ok(()) => {
                self.acceptor.apply(write);
                response
            }
            Err(error) => {
                log::error!("register: write failed: {error}");
                RegisterResponse::Unavailable
            }
        }
    }

    fn persist(&mut self, write: &Write) -> Result<(), StoreError> {
        if self.dirty {
            self.folder.truncate(REGISTER_FILE, self.bytes).map_err(StoreError::write)?;
            self.folder.sync(REGISTER_FILE).map_err(StoreError::sync)?;
            self.dirty = false;
        }
        if self.bytes > COMPACT_BYTES {
            self.compact()?;
        }
        let bytes = encode(write)?;
        self.dirty = true;
        self.folder.append(REGISTER_FILE, &bytes).map_err(StoreError::write)?;
        self.folder.sync(REGISTER_FILE).map_err(StoreError::sync)?;
        self.dirty = false;
        self.bytes += bytes.len() as u64;
        Ok(())
    }

    fn compact(&mut self) -> Result<(), StoreError> {
        let mut bytes = encode(&Write::Identity(self.acceptor.disk()))?;
        if let Some(value) = self.acceptor.accepted() {
            bytes.extend(encode(&Write::Value(value.clone()))?);
        }
        bytes.extend(encode(&Write::Promise(self.acceptor.promised()))?);
        self.folder.write(TEMPORARY, &bytes).map_err(StoreError::write)?;
        self.folder.sync(TEMPORARY).map_err(StoreError::sync)?;
        self.folder.rename(TEMPORARY, REGISTER_FILE).map_err(StoreError::write)?;
        self.folder.sync_folder().map_err(StoreError::sync)?;
        self.bytes = bytes.len() as u64;
        Ok(())
    }

    fn recover(&mut self) -> Result<(), StoreError> {
        let bytes = self.folder.read(REGISTER_FILE).map_err(StoreError::Folder)?;
        let (frames, end) = read_records(&bytes);
        if let ReadEnd::Corrupt(offset) = end {
            return Err(corrupt(offset));
        }
        for (offset, payload) in frames {
            let write = postcard::from_bytes(payload).map_err(|_| corrupt(offset))?;
            self.acceptor.apply(write);
        }
        self.bytes = bytes.len() as u64;
        if let ReadEnd::Torn(offset) = end {
            self.bytes = offset as u64;
            self.dirty = true;
        }
        Ok(())
    }
}

fn encode(write: &Write) -> Result<Vec<u8>, StoreError> {
    let payload = postcard::to_stdvec(write);
    let payload = payload.map_err(|error| StoreError::Folder(io::Error::other(error)))?;
    Ok(encode_record(&payload))
}

fn corrupt(offset: usize) -> StoreError {
    StoreError::Corrupt { file: REGISTER_FILE.to_owned(), offset: offset as u64 }
}
