//! File access behind a trait, so that tests can inject faults.

use super::StoreError;
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Access to the files of one folder.
///
/// # Errors
/// Every method returns the error of the operating system.
pub trait Folder {
    /// Returns the names of all files.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Returns the whole content of a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Creates or replaces a file, without a sync.
    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Appends to a file, without a sync.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Truncates a file to a length in bytes, without a sync.
    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()>;
    /// Makes the content of a file durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Renames a file, replacing any file of the new name.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes creations, renames and removals durable.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// File that is locked while the folder is in use.
const LOCK_FILE: &str = "lock";

/// A folder of the file system, locked against other processes.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    /// Files opened for appending, by name.
    open_files: BTreeMap<String, File>,
    _lock: File,
}

impl DataFolder {
    /// Opens a folder, creates it if it is missing, and locks it until the value is dropped.
    ///
    /// # Errors
    /// `InUse` when another process holds the lock, and `Folder` for any other error.
    pub fn open(path: &Path) -> Result<Self, StoreError> {
        fs::create_dir_all(path).map_err(StoreError::Folder)?;
        if let Some(parent) = path.parent().filter(|parent| !parent.as_os_str().is_empty()) {
            File::open(parent).and_then(|dir| dir.sync_all()).map_err(StoreError::Folder)?;
        }
        let mut options = OpenOptions::new();
        options.create(true).write(true).truncate(false);
        let lock = options.open(path.join(LOCK_FILE)).map_err(StoreError::Folder)?;
        match lock.try_lock() {
            Ok(()) => Ok(Self { path: path.to_owned(), open_files: BTreeMap::new(), _lock: lock }),
            Err(TryLockError::WouldBlock) => Err(StoreError::InUse),
            Err(TryLockError::Error(error)) => Err(StoreError::Folder(error)),
        }
    }

    fn open_for_append(&mut self, name: &str) -> io::Result<&mut File> {
        let path = self.path.join(name);
        match self.open_files.entry(name.to_owned()) {
            std::collections::btree_map::Entry::Occupied(entry) => Ok(entry.into_mut()),
            std::collections::btree_map::Entry::Vacant(entry) => {
                Ok(entry.insert(OpenOptions::new().append(true).open(path)?))
            }
        }
    }
}

impl Folder for DataFolder {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            names.extend(entry?.file_name().into_string().ok());
        }
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.open_files.remove(name);
        File::create(self.path.join(name))?.write_all(bytes)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.open_for_append(name)?.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        self.open_for_append(name)?.set_len(len)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.open_for_append(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open_files.remove(from);
        self.open_files.remove(to);
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open_files.remove(name);
        fs::remove_file(self.path.join(name))
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
