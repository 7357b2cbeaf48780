//! The data folder of the log under crashes, disk faults and damaged files.

#![allow(clippy::unwrap_used, reason = "helpers of tests fail by panic")]

#[path = "support/memory.rs"]
mod memory;

use comfreyhold_consensus::disk::{DataFolder, LogStore, StoreError};
use comfreyhold_consensus::durable::{DurableState, WriteBatch};
use comfreyhold_consensus::replica::{Action, Event, LogReplica, ReplicaSettings, RequestId};
use comfreyhold_types::declarations::Voter;
use comfreyhold_types::prelude::*;
use memory::{Fault, MemoryFolder};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::{Duration, Instant};

fn rng() -> StdRng {
    StdRng::seed_from_u64(7)
}

fn open(folder: MemoryFolder) -> Result<LogStore<MemoryFolder>, StoreError> {
    LogStore::open(folder, &mut rng())
}

/// Starts the replica of a deployment with one control instance.
fn single_replica(durable: DurableState, incarnation: u64, now: Instant) -> LogReplica {
    let me = Voter { instance: InstanceId(1), disk: 9 };
    let mut settings = ReplicaSettings::new(me, Incarnation(incarnation), [me.instance].into());
    settings.may_form_voters = true;
    settings.snapshot_interval = 6;
    settings.kept_entries = 2;
    LogReplica::new(settings, durable, rng(), now).unwrap()
}

/// Batches that a replica writes while it accepts `count` proposals.
fn batches(count: u64) -> Vec<WriteBatch> {
    let mut now = Instant::now();
    let mut replica = single_replica(DurableState::default(), 1, now);
    let mut written = Vec::new();
    for request in 0..count + 10 {
        now += Duration::from_secs(1);
        let mut events = vec![Event::Tick];
        if request >= 10 {
            events.push(Event::Propose { request: RequestId(request), command: Command::Noop });
        }
        while let Some(event) = events.pop() {
            for action in replica.handle(now, event) {
                if let Action::Persist { seq, batch } = action {
                    written.push(batch);
                    events.push(Event::Persisted(seq));
                }
            }
        }
    }
    assert!(replica.state().revision.0 >= count);
    written
}

/// Content of the folder after each prefix of the batches, the empty one first.
fn contents(batches: &[WriteBatch]) -> Vec<DurableState> {
    let mut contents = vec![DurableState::default()];
    for batch in batches {
        let mut next = contents.last().unwrap().clone();
        next.apply(batch);
        contents.push(next);
    }
    contents
}

/// Folder after all batches were written.
fn stored_folder(batches: &[WriteBatch]) -> MemoryFolder {
    let mut store = open(MemoryFolder::default()).unwrap();
    for batch in batches {
        store.persist(batch).unwrap();
    }
    store.into_folder()
}

/// Guards against a restart that finds other content than was written.
#[test]
fn content_survives_a_restart() {
    let batches = batches(20);
    assert!(batches.iter().any(|batch| batch.snapshot.is_some()));
    for count in 0..=batches.len() {
        let store = open(stored_folder(&batches[..count]).crash(0)).unwrap();
        assert_eq!(store.content(), &contents(&batches)[count]);
    }
}

/// Guards against losing a batch that was reported as synced, and against reporting a failed one as synced. A
/// fault hits each operation in turn, and a crash then keeps some or all of the unsynced bytes.
#[test]
fn synced_batches_survive_a_fault_at_every_operation() {
    let batches = batches(15);
    let contents = contents(&batches);
    let operations = stored_folder(&batches).operations;
    for at in 0..operations {
        for fault in [Fault::FullDisk, Fault::FailedSync] {
            for kept in [0, 3, 20, 100_000] {
                let mut folder = MemoryFolder::default();
                folder.fault = Some((at, fault));
                let Ok(mut store) = open(folder) else { continue };
                let results: Vec<_> = batches.iter().map(|batch| store.persist(batch)).collect();
                let synced = results.iter().take_while(|result| result.is_ok()).count();
                let expected = match fault {
                    Fault::FullDisk => ResultCode::DiskFull,
                    Fault::FailedSync => ResultCode::SyncFailed,
                };
                for result in &results[synced..] {
                    assert_eq!(result.as_ref().unwrap_err().code(), expected, "operation {at}");
                }
                let reopened = open(store.into_folder().crash(kept)).unwrap();
                let found = reopened.content();
                let with_failed_batch = contents.get(synced + 1);
                assert!(
                    *found == contents[synced] || Some(found) == with_failed_batch,
                    "operation {at}"
                );
            }
        }
    }
}

/// Guards against a store that stays stopped although its disk has room again, and against losing a batch that
/// was issued while the disk was full. The fault hits each operation in turn; after it, the rest is written.
#[test]
fn store_resumes_when_a_full_disk_has_room() {
    let batches = batches(15);
    let contents = contents(&batches);
    let operations = stored_folder(&batches).operations;
    for at in 1..operations {
        let mut store = open(MemoryFolder::default()).unwrap();
        store.folder_mut().fault = Some((at, Fault::FullDisk));
        let written = batches.iter().take_while(|batch| store.persist(batch).is_ok()).count();
        for batch in batches.iter().skip(written + 1).take(2) {
            store.keep_unwritten(batch);
        }
        let kept = (written + 3).min(batches.len());
        if written < batches.len() {
            assert_eq!(store.resume().unwrap_err().code(), ResultCode::DiskFull, "operation {at}");
        }
        store.folder_mut().fault = None;
        store.resume().unwrap();
        let reopened = open(store.folder_mut().crash(0)).unwrap();
        assert_eq!(*reopened.content(), contents[kept], "operation {at}");
        for batch in &batches[kept..] {
            store.persist(batch).unwrap();
        }
        let reopened = open(store.into_folder().crash(0)).unwrap();
        assert_eq!(Some(reopened.content()), contents.last(), "operation {at}");
    }
}

/// Guards against writing after a fault that leaves the content of the disk unknown.
#[test]
fn store_does_not_resume_after_a_failed_sync() {
    let batches = batches(5);
    let mut store = open(MemoryFolder::default()).unwrap();
    store.folder_mut().fault = Some((0, Fault::FailedSync));
    assert!(store.persist(&batches[0]).is_err());
    store.folder_mut().fault = None;
    assert_eq!(store.resume().unwrap_err().code(), ResultCode::SyncFailed);
}

fn segment_name(folder: &MemoryFolder) -> String {
    use comfreyhold_consensus::disk::Folder;
    folder.list().unwrap().into_iter().find(|name| name.starts_with("log-")).unwrap()
}

proptest! {
    /// Guards against reading a truncated segment as content that was never written.
    #[test]
    fn truncated_segment_is_recovered_or_reported(count in 1_usize..40, share in 0.0_f64..1.0) {
        let batches = batches(30);
        let batches = &batches[..count.min(batches.len())];
        let mut folder = stored_folder(batches);
        let name = segment_name(&folder);
        let file = folder.file_mut(&name);
        file.truncate((file.len() as f64 * share) as usize);
        match open(folder) {
            Ok(store) => prop_assert!(contents(batches).contains(store.content())),
            Err(error) => prop_assert_eq!(error.code(), ResultCode::LogCorrupt),
        }
    }

    /// Guards against reading a damaged byte in any file as valid, and against treating damage before the last
    /// record as an incomplete write.
    #[test]
    fn flipped_byte_is_dropped_with_the_last_batch_or_reported(
        count in 1_usize..40,
        file_choice in 0_usize..3,
        share in 0.0_f64..1.0,
        bits in 1_u8..=255,
    ) {
        use comfreyhold_consensus::disk::Folder;
        let batches = batches(30);
        let batches = &batches[..count.min(batches.len())];
        let mut folder = stored_folder(batches);
        let names = folder.list().unwrap();
        let name = &names[file_choice % names.len()];
        let file = folder.file_mut(name);
        let at = (file.len() as f64 * share) as usize;
        file[at] ^= bits;
        let (records, _) = comfreyhold_consensus::disk::read_records(file);
        let valid = records.len();
        match open(folder) {
            Ok(store) => {
                let contents = contents(batches);
                prop_assert!(name.starts_with("log-") && valid > 0);
                prop_assert_eq!(store.content(), &contents[contents.len() - 2]);
            }
            Err(error) => prop_assert_eq!(error.code(), ResultCode::LogCorrupt),
        }
    }
}

/// Guards against two processes that write to one folder, and against a folder whose identity changes.
#[test]
fn folder_is_locked_and_keeps_its_identity() {
    let path = tempfile::tempdir().unwrap();
    let path = path.path().join("data");
    let batches = batches(20);
    let mut store = LogStore::open(DataFolder::open(&path).unwrap(), &mut rng()).unwrap();
    assert!(matches!(DataFolder::open(&path), Err(StoreError::InUse)));
    for batch in &batches {
        store.persist(batch).unwrap();
    }
    let (id, content) = (store.disk_id(), store.content().clone());
    drop(store);
    let mut other = StdRng::seed_from_u64(8);
    let store = LogStore::open(DataFolder::open(&path).unwrap(), &mut other).unwrap();
    assert_eq!((store.disk_id(), store.content()), (id, &content));
}

/// Guards against an incarnation that doesn't grow when the wall clock was set back: the peers would drop all
/// messages of the restarted daemon as those of its earlier process.
#[test]
fn incarnations_grow_although_the_wall_clock_is_set_back() {
    let mut folder = MemoryFolder::default();
    for (wall_millis, expected) in [(5_000, 5_000), (4_000, 5_001), (4_000, 5_002), (9_000, 9_000)]
    {
        let mut store = open(folder).unwrap();
        assert_eq!(store.next_incarnation(wall_millis).unwrap(), Incarnation(expected));
        folder = store.into_folder().crash(0);
    }
    for fault in [Fault::FullDisk, Fault::FailedSync] {
        let mut faulty = folder.clone().crash(0);
        faulty.fault = Some((0, fault));
        assert_eq!(open(faulty).unwrap().next_incarnation(4_000).unwrap(), Incarnation(9_001));
    }
}

/// Guards against a replica that accepts proposals after its disk has failed.
#[test]
fn storage_fault_stops_the_instance() {
    let now = Instant::now() + Duration::from_secs(60);
    let mut replica = single_replica(contents(&batches(5)).pop().unwrap(), 2, now);
    replica.handle(now, Event::StorageFault(ResultCode::SyncFailed));
    let request = RequestId(1);
    let actions = replica.handle(now, Event::Propose { request, command: Command::Noop });
    assert!(matches!(actions[..], [Action::Refused { code: ResultCode::SyncFailed, .. }]));
    assert_eq!(replica.handle(now + Duration::from_secs(60), Event::Tick), []);
}
