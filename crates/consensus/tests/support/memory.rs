//! A folder in memory that loses unsynced writes at a crash and fails on demand.

use comfreyhold_consensus::disk::Folder;
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};

#[derive(Clone, Default)]
struct Inode {
    bytes: Vec<u8>,
    synced: Vec<u8>,
}

/// Fault that the operation with a number meets; every later one fails alike.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    FullDisk,
    FailedSync,
}

#[derive(Clone, Default)]
pub struct MemoryFolder {
    inodes: Vec<Inode>,
    names: BTreeMap<String, usize>,
    synced_names: BTreeMap<String, usize>,
    pub fault: Option<(usize, Fault)>,
    pub operations: usize,
}

impl MemoryFolder {
    /// The folder after a crash: of what was not synced, `kept` bytes of each file remain.
    pub fn crash(&self, kept: usize) -> Self {
        let mut after = Self { names: self.synced_names.clone(), ..Self::default() };
        after.synced_names = after.names.clone();
        for inode in &self.inodes {
            let common = inode.bytes.starts_with(&inode.synced);
            let synced = inode.synced.len();
            let end = (synced + kept).min(inode.bytes.len());
            let bytes = if common { &inode.bytes[..end] } else { &inode.synced[..] };
            after.inodes.push(Inode { bytes: bytes.to_vec(), synced: bytes.to_vec() });
        }
        after
    }

    pub fn file(&mut self, name: &str) -> &mut Vec<u8> {
        let inode = self.names[name];
        &mut self.inodes[inode].bytes
    }

    fn meets(&mut self, fault: Fault) -> bool {
        self.operations += 1;
        self.fault.is_some_and(|(at, kind)| self.operations > at && kind == fault)
    }

    fn find(&self, name: &str) -> Result<usize> {
        self.names.get(name).copied().ok_or(ErrorKind::NotFound.into())
    }
}

impl Folder for MemoryFolder {
    fn list(&self) -> Result<Vec<String>> {
        Ok(self.names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> Result<Vec<u8>> {
        Ok(self.inodes[self.find(name)?].bytes.clone())
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.names.insert(name.to_owned(), self.inodes.len());
        self.inodes.push(Inode::default());
        self.append(name, bytes)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        let full = self.meets(Fault::FullDisk);
        let written = if full { &bytes[..bytes.len() / 2] } else { bytes };
        self.file(name).extend_from_slice(written);
        if full { Err(Error::from(ErrorKind::StorageFull)) } else { Ok(()) }
    }

    fn truncate(&mut self, name: &str, len: u64) -> Result<()> {
        self.file(name).truncate(usize::try_from(len).unwrap());
        Ok(())
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        if self.meets(Fault::FailedSync) {
            return Err(Error::other("injected"));
        }
        let inode = self.find(name)?;
        self.inodes[inode].synced = self.inodes[inode].bytes.clone();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        let inode = self.find(from)?;
        self.names.remove(from);
        self.names.insert(to.to_owned(), inode);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> Result<()> {
        self.names.remove(name);
        Ok(())
    }

    fn sync_folder(&mut self) -> Result<()> {
        if self.meets(Fault::FailedSync) {
            return Err(Error::other("injected"));
        }
        self.synced_names = self.names.clone();
        Ok(())
    }
}

/// A folder that is only lent to a store, so that it can be looked at after the store has failed.
impl Folder for &mut MemoryFolder {
    fn list(&self) -> Result<Vec<String>> {
        (**self).list()
    }

    fn read(&self, name: &str) -> Result<Vec<u8>> {
        (**self).read(name)
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        (**self).write(name, bytes)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        (**self).append(name, bytes)
    }

    fn truncate(&mut self, name: &str, len: u64) -> Result<()> {
        (**self).truncate(name, len)
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        (**self).sync(name)
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        (**self).rename(from, to)
    }

    fn remove(&mut self, name: &str) -> Result<()> {
        (**self).remove(name)
    }

    fn sync_folder(&mut self) -> Result<()> {
        (**self).sync_folder()
    }
}
