//! The folder of a voter under full disks, failed syncs and losses of power.

#![allow(clippy::unwrap_used, reason = "helpers of tests fail by panic")]

#[path = "support/memory.rs"]
mod memory;

use comfreyhold_consensus::disk::StoreError;
use comfreyhold_consensus::register::store::{REGISTER_FILE, VoterStore};
use comfreyhold_consensus::register::{
    AddressedRequest, Ballot, DiskId, RegisterRequest, RegisterResponse, RegisterValue,
};
use comfreyhold_types::routes::{RoutePublication, SharedState};
use memory::{Fault, MemoryFolder};
use std::sync::Arc;

const DISK: DiskId = DiskId(7);

/// Length of a document that makes the file outgrow its limit after a few values, in bytes.
const LARGE: usize = 1_500_000;

fn open(folder: MemoryFolder) -> Result<VoterStore<MemoryFolder>, StoreError> {
    VoterStore::open(folder, DISK)
}

fn ballot(count: u64) -> Ballot {
    Ballot { count, ..Ballot::default() }
}

fn prepare(count: u64) -> AddressedRequest {
    let request = RegisterRequest::Prepare { ballot: ballot(count), known: Ballot::default() };
    AddressedRequest { to: DISK, request }
}

fn accept(count: u64, document: usize) -> AddressedRequest {
    let document = Arc::new(vec![u8::try_from(count).unwrap(); document]);
    let publication = Some(RoutePublication { document, ..RoutePublication::default() });
    let state = SharedState { change: count, publication, ..SharedState::default() };
    let value = RegisterValue { ballot: ballot(count), state, ..RegisterValue::default() };
    AddressedRequest { to: DISK, request: RegisterRequest::Accept(Arc::new(value)) }
}

/// What a voter has told others that it holds.
#[derive(Default)]
struct Told {
    promised: Ballot,
    accepted: Ballot,
}

impl Told {
    fn ask(&mut self, store: &mut VoterStore<MemoryFolder>, count: u64, document: usize) {
        if let RegisterResponse::Promised { .. } = store.handle(&prepare(2 * count)) {
            self.promised = ballot(2 * count);
        }
        if store.handle(&accept(2 * count, document)) == RegisterResponse::Accepted {
            self.accepted = ballot(2 * count);
        }
    }

    fn check(&self, folder: &MemoryFolder, what: &str) {
        for kept in [0, 1, 9, 100, 1_000_000] {
            let store = open(folder.crash(kept)).unwrap();
            let acceptor = store.acceptor();
            assert_eq!(acceptor.disk(), DISK, "{what}, {kept} bytes kept");
            assert!(acceptor.promised() >= self.promised, "{what}, {kept} bytes kept");
            assert!(acceptor.accepted_ballot() >= self.accepted, "{what}, {kept} bytes kept");
        }
    }
}

/// Guards against a promise or value that was told to others and is gone after a fault of the disk and a
/// loss of power, also while the file is written anew.
#[test]
fn nothing_told_is_lost_at_any_fault() {
    for fault in [Fault::FullDisk, Fault::FailedSync] {
        for at in 0..20 {
            let mut told = Told::default();
            let mut store = open(MemoryFolder::default()).unwrap();
            for count in 1..3 {
                told.ask(&mut store, count, LARGE);
            }
            store.folder_mut().operations = 0;
            store.folder_mut().fault = Some((at, fault));
            for count in 3..7 {
                told.ask(&mut store, count, LARGE);
            }
            let folder = store.into_folder();
            told.check(&folder, &format!("{fault:?} at {at}"));
        }
    }
}

/// Guards against a voter that stays out of use after the disk takes writes again, and against bytes of a
/// failed write before the next record.
#[test]
fn a_disk_that_recovers_is_used_again() {
    for fault in [Fault::FullDisk, Fault::FailedSync] {
        let mut store = open(MemoryFolder::default()).unwrap();
        store.folder_mut().fault = Some((0, fault));
        assert_eq!(store.handle(&prepare(2)), RegisterResponse::Unavailable, "{fault:?}");
        store.folder_mut().fault = None;
        let mut told = Told::default();
        told.ask(&mut store, 2, 10);
        assert_eq!(told.accepted, ballot(4), "{fault:?}");
        told.check(&store.into_folder(), &format!("{fault:?}"));
    }
}

/// Guards against a fault in the middle of writing the file anew that leaves a wrong length, after which
/// later records are lost or the file is damaged. Pattern: the disk fails for a while and the process runs on.
#[test]
fn a_fault_while_the_file_is_written_anew_does_not_damage_it() {
    for fault in [Fault::FullDisk, Fault::FailedSync] {
        for at in 0..14 {
            let mut store = open(MemoryFolder::default()).unwrap();
            let mut told = Told::default();
            for count in 1..4 {
                told.ask(&mut store, count, LARGE);
            }
            store.folder_mut().operations = 0;
            store.folder_mut().fault = Some((at, fault));
            told.ask(&mut store, 4, LARGE);
            told.ask(&mut store, 5, LARGE);
            store.folder_mut().fault = None;
            for count in 6..9 {
                told.ask(&mut store, count, 1_000);
            }
            assert_eq!(told.accepted, ballot(16), "{fault:?} at {at}");
            told.check(&store.into_folder(), &format!("{fault:?} at {at}"));
        }
    }
}

/// Guards against a new file whose name is lost with the power, after the first start failed to sync its
/// folder and a second one found the file there.
#[test]
fn the_name_of_a_new_file_is_synced_before_anything_is_told() {
    for at in 0..6 {
        let mut folder = MemoryFolder::default();
        folder.fault = Some((at, Fault::FailedSync));
        if let Err(error) = open_and_keep(&mut folder) {
            assert!(matches!(error, StoreError::Sync(_)), "{error}");
        }
        folder.fault = None;
        let mut store = open(folder).unwrap();
        let mut told = Told::default();
        told.ask(&mut store, 1, 10);
        told.check(&store.into_folder(), &format!("failed sync at {at}"));
    }
}

/// Opens a folder that outlives a failure.
fn open_and_keep(folder: &mut MemoryFolder) -> Result<(), StoreError> {
    let opened = VoterStore::open(&mut *folder, DISK);
    opened.map(|_| ())
}

/// Guards against a damaged file that is read as an older state.
#[test]
fn damage_before_the_last_record_is_reported() {
    let mut store = open(MemoryFolder::default()).unwrap();
    let mut told = Told::default();
    told.ask(&mut store, 1, 50);
    told.ask(&mut store, 2, 50);
    let mut folder = store.into_folder();
    folder.file(REGISTER_FILE)[20] ^= 1;
    assert!(matches!(open(folder), Err(StoreError::Corrupt { .. })));
}

/// Guards against a voter that answers for a folder that it has lost.
#[test]
fn requests_for_another_folder_are_not_answered() {
    let mut store = open(MemoryFolder::default()).unwrap();
    let request = AddressedRequest { to: DiskId(8), ..prepare(1) };
    assert_eq!(store.handle(&request), RegisterResponse::Unavailable);
}
