//! Storage of a register voter under full disks, failed syncs and power losses.

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

/// Length of a document with which a few values exceed the length at which the file is compacted.
const LARGE_DOCUMENT_BYTES: usize = 1_500_000;

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

fn accept(count: u64, document_bytes: usize) -> AddressedRequest {
    let document = Arc::new(vec![u8::try_from(count).unwrap(); document_bytes]);
    let publication = Some(RoutePublication { document, ..RoutePublication::default() });
    let state = SharedState { change: count, publication, ..SharedState::default() };
    let value = RegisterValue { ballot: ballot(count), state, ..RegisterValue::default() };
    AddressedRequest { to: DISK, request: RegisterRequest::Accept(Arc::new(value)) }
}

/// What the responses of a voter have confirmed to others.
#[derive(Default)]
struct Acknowledged {
    promised: Ballot,
    accepted: Ballot,
}

impl Acknowledged {
    fn send_requests(
        &mut self,
        store: &mut VoterStore<MemoryFolder>,
        count: u64,
        document_bytes: usize,
    ) {
        if let RegisterResponse::Promised { .. } = store.handle(&prepare(2 * count)) {
            self.promised = ballot(2 * count);
        }
        if store.handle(&accept(2 * count, document_bytes)) == RegisterResponse::Accepted {
            self.accepted = ballot(2 * count);
        }
    }

    fn check_after_crash(&self, folder: &MemoryFolder, context: &str) {
        for kept in [0, 1, 9, 100, 1_000_000] {
            let store = open(folder.crash(kept)).unwrap();
            let acceptor = store.acceptor();
            assert_eq!(acceptor.disk(), DISK, "{context}, {kept} bytes kept");
            assert!(acceptor.promised() >= self.promised, "{context}, {kept} bytes kept");
            assert!(acceptor.accepted_ballot() >= self.accepted, "{context}, {kept} bytes kept");
        }
    }
}

/// Guards against losing a promise or value that a response has confirmed, when a disk fault is followed by a
/// power loss. The faults also hit the compaction of the file.
#[test]
fn promises_and_values_survive_a_fault_at_any_operation() {
    for fault in [Fault::FullDisk, Fault::FailedSync] {
        for at in 0..20 {
            let mut acknowledged = Acknowledged::default();
            let mut store = open(MemoryFolder::default()).unwrap();
            for count in 1..3 {
                acknowledged.send_requests(&mut store, count, LARGE_DOCUMENT_BYTES);
            }
            store.folder_mut().operations = 0;
            store.folder_mut().fault = Some((at, fault));
            for count in 3..7 {
                acknowledged.send_requests(&mut store, count, LARGE_DOCUMENT_BYTES);
            }
            let folder = store.into_folder();
            acknowledged.check_after_crash(&folder, &format!("{fault:?} at {at}"));
        }
    }
}

/// Guards against a voter that stays unavailable after the disk accepts writes again, and against bytes of a
/// failed write that stay before the next record.
#[test]
fn voter_resumes_after_its_disk_recovers() {
    for fault in [Fault::FullDisk, Fault::FailedSync] {
        let mut store = open(MemoryFolder::default()).unwrap();
        store.folder_mut().fault = Some((0, fault));
        assert_eq!(store.handle(&prepare(2)), RegisterResponse::Unavailable, "{fault:?}");
        store.folder_mut().fault = None;
        let mut acknowledged = Acknowledged::default();
        acknowledged.send_requests(&mut store, 2, 10);
        assert_eq!(acknowledged.accepted, ballot(4), "{fault:?}");
        acknowledged.check_after_crash(&store.into_folder(), &format!("{fault:?}"));
    }
}

/// Guards against a fault during the compaction that leaves a wrong file length in memory, after which later
/// records are lost or the file is damaged. The disk fails for a while and the process continues.
#[test]
fn fault_during_compaction_does_not_damage_the_file() {
    for fault in [Fault::FullDisk, Fault::FailedSync] {
        for at in 0..14 {
            let mut store = open(MemoryFolder::default()).unwrap();
            let mut acknowledged = Acknowledged::default();
            for count in 1..4 {
                acknowledged.send_requests(&mut store, count, LARGE_DOCUMENT_BYTES);
            }
            store.folder_mut().operations = 0;
            store.folder_mut().fault = Some((at, fault));
            acknowledged.send_requests(&mut store, 4, LARGE_DOCUMENT_BYTES);
            acknowledged.send_requests(&mut store, 5, LARGE_DOCUMENT_BYTES);
            store.folder_mut().fault = None;
            for count in 6..9 {
                acknowledged.send_requests(&mut store, count, 1_000);
            }
            assert_eq!(acknowledged.accepted, ballot(16), "{fault:?} at {at}");
            acknowledged.check_after_crash(&store.into_folder(), &format!("{fault:?} at {at}"));
        }
    }
}

/// Guards against losing a new file at a power loss because its name was never synced: the first start failed
/// to sync the folder, and the second one found the file in place.
#[test]
fn file_name_is_synced_before_the_first_response() {
    for at in 0..6 {
        let mut folder = MemoryFolder::default();
        folder.fault = Some((at, Fault::FailedSync));
        if let Err(error) = try_open(&mut folder) {
            assert!(matches!(error, StoreError::Sync(_)), "{error}");
        }
        folder.fault = None;
        let mut store = open(folder).unwrap();
        let mut acknowledged = Acknowledged::default();
        acknowledged.send_requests(&mut store, 1, 10);
        acknowledged.check_after_crash(&store.into_folder(), &format!("failed sync at {at}"));
    }
}

/// Opens a folder by reference, so that it can be used again after a failure.
fn try_open(folder: &mut MemoryFolder) -> Result<(), StoreError> {
    let opened = VoterStore::open(&mut *folder, DISK);
    opened.map(|_| ())
}

/// Guards against reading a damaged file as an older state.
#[test]
fn damage_before_the_last_record_is_reported() {
    let mut store = open(MemoryFolder::default()).unwrap();
    let mut acknowledged = Acknowledged::default();
    acknowledged.send_requests(&mut store, 1, 50);
    acknowledged.send_requests(&mut store, 2, 50);
    let mut folder = store.into_folder();
    folder.file_mut(REGISTER_FILE)[20] ^= 1;
    assert!(matches!(open(folder), Err(StoreError::Corrupt { .. })));
}

/// Guards against a voter that responds for a data folder that it has lost.
#[test]
fn requests_for_another_folder_are_not_answered() {
    let mut store = open(MemoryFolder::default()).unwrap();
    let request = AddressedRequest { to: DiskId(8), ..prepare(1) };
    assert_eq!(store.handle(&request), RegisterResponse::Unavailable);
}
