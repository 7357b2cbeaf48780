//! In-memory folder that loses unsynced writes in a crash and injects faults.

use comfreyhold_consensus::disk::Folder;
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};

#[derive(Clone, Default)]
struct Inode {
    bytes: Vec<u8>,
    synced: Vec<u8>,
}

/// Kind of fault to inject. The operation with the given number and all later ones fail.
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
    /// Returns the folder as it is after a crash, which keeps the first `kept` unsynced bytes of each file.
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

    pub fn file_mut(&mut self, name: &str) -> &mut Vec<u8> {
        let inode = self.names[name];
        &mut self.inodes[inode].bytes
    }

    fn next_operation_fails(&mut self, fault: Fault) -> bool {
        self.operations += 1;
        self.fault.is_some_and(|(at, injected)| self.operations > at && injected == fault)
    }

    fn inode_index(&self, name: &str) -> Result<usize> {
        self.names.get(name).copied().ok_or(ErrorKind::NotFound.into())
    }
}

impl Folder for MemoryFolder {
    fn list(&self) -> Result<Vec<String>> {
        Ok(self.names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> Result<Vec<u8>> {
        Ok(self.inodes[self.inode_index(name)?].bytes.clone())
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.names.insert(name.to_owned(), self.inodes.len());
        self.inodes.push(Inode::default());
        self.append(name, bytes)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        let full = self.next_operation_fails(Fault::FullDisk);
        let written = if full { &bytes[..bytes.len() / 2] } else { bytes };
        self.file_mut(name).extend_from_slice(written);
        if full { Err(Error::from(ErrorKind::StorageFull)) } else { Ok(()) }
    }

    fn truncate(&mut self, name: &str, len: u64) -> Result<()> {
        self.file_mut(name).truncate(usize::try_from(len).unwrap());
        Ok(())
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        if self.next_operation_fails(Fault::FailedSync) {
            return Err(Error::other("injected"));
        }
        let inode = self.inode_index(name)?;
        self.inodes[inode].synced = self.inodes[inode].bytes.clone();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        let inode = self.inode_index(from)?;
        self.names.remove(from);
        self.names.insert(to.to_owned(), inode);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> Result<()> {
        self.names.remove(name);
        Ok(())
    }

    fn sync_folder(&mut self) -> Result<()> {
        if self.next_operation_fails(Fault::FailedSync) {
            return Err(Error::other("injected"));
        }
        self.synced_names = self.names.clone();
        Ok(())
    }
}

/// Lets a store borrow a folder, so that a test can inspect it after the store has failed.
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
