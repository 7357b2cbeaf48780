//! Fault cases of the data folder.

#![allow(clippy::unwrap_used, reason = "helpers of tests fail by panic")]

#[path = "support/memory.rs"]
mod memory;

use comfreyhold_consensus::disk::{DataFolder, LogStore, StoreError};
use comfreyhold_consensus::durable::{Durable, WriteBatch};
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

/// Starts a control instance that forms a deployment of its own.
fn single(durable: Durable, start: u64, now: Instant) -> LogReplica {
    let me = Voter { instance: InstanceId(1), disk: 9 };
    let mut settings = ReplicaSettings::new(me, Incarnation(start), [me.instance].into());
    settings.may_form_voters = true;
    settings.snapshot_every = 6;
    settings.keep_entries = 2;
    LogReplica::new(settings, durable, rng(), now).unwrap()
}

/// The batches that an instance writes while it accepts `count` proposals.
fn batches(count: u64) -> Vec<WriteBatch> {
    let mut now = Instant::now();
    let mut node = single(Durable::default(), 1, now);
    let mut written = Vec::new();
    for request in 0..count + 10 {
        now += Duration::from_secs(1);
        let mut events = vec![Event::Tick];
        if request >= 10 {
            events.push(Event::Propose { request: RequestId(request), command: Command::Noop });
        }
        while let Some(event) = events.pop() {
            for action in node.handle(now, event) {
                if let Action::Persist { seq, batch } = action {
                    written.push(batch);
                    events.push(Event::Persisted(seq));
                }
            }
        }
    }
    assert!(node.state().revision.0 >= count);
    written
}

/// Content after each number of batches.
fn contents(batches: &[WriteBatch]) -> Vec<Durable> {
    let mut contents = vec![Durable::default()];
    for batch in batches {
        let mut next = contents.last().unwrap().clone();
        next.apply(batch);
        contents.push(next);
    }
    contents
}

fn stored(batches: &[WriteBatch]) -> MemoryFolder {
    let mut store = open(MemoryFolder::default()).unwrap();
    for batch in batches {
        store.persist(batch).unwrap();
    }
    store.into_folder()
}

/// Guards against a restart that finds anything else than what was written.
#[test]
fn content_survives_a_restart() {
    let batches = batches(20);
    assert!(batches.iter().any(|batch| batch.snapshot.is_some()));
    for count in 0..=batches.len() {
        let store = open(stored(&batches[..count]).crash(0)).unwrap();
        assert_eq!(store.content(), &contents(&batches)[count]);
    }
}

/// Guards against an acknowledged write that is lost, or a failed one that is taken for done, with a
/// fault at every operation and a crash that keeps any part of the unsynced bytes.
#[test]
fn faults_at_every_operation() {
    let batches = batches(15);
    let contents = contents(&batches);
    let operations = stored(&batches).operations;
    for at in 0..operations {
        for fault in [Fault::FullDisk, Fault::FailedSync] {
            for kept in [0, 3, 20, 100_000] {
                let mut folder = MemoryFolder::default();
                folder.fault = Some((at, fault));
                let Ok(mut store) = open(folder) else { continue };
                let results: Vec<_> = batches.iter().map(|batch| store.persist(batch)).collect();
                let done = results.iter().take_while(|result| result.is_ok()).count();
                let expected = match fault {
                    Fault::FullDisk => ResultCode::DiskFull,
                    Fault::FailedSync => ResultCode::SyncFailed,
                };
                for result in &results[done..] {
                    assert_eq!(result.as_ref().unwrap_err().code(), expected, "operation {at}");
                }
                let reopened = open(store.into_folder().crash(kept)).unwrap();
                let found = reopened.content();
                let in_doubt = contents.get(done + 1);
                assert!(*found == contents[done] || Some(found) == in_doubt, "operation {at}");
            }
        }
    }
}

fn segment(folder: &MemoryFolder) -> String {
    use comfreyhold_consensus::disk::Folder;
    folder.list().unwrap().into_iter().find(|name| name.starts_with("log-")).unwrap()
}

proptest! {
    /// Guards against a segment cut anywhere being read as something that was never written.
    #[test]
    fn any_cut(count in 1_usize..40, share in 0.0_f64..1.0) {
        let batches = batches(30);
        let batches = &batches[..count.min(batches.len())];
        let mut folder = stored(batches);
        let name = segment(&folder);
        let file = folder.file(&name);
        file.truncate((file.len() as f64 * share) as usize);
        match open(folder) {
            Ok(store) => prop_assert!(contents(batches).contains(store.content())),
            Err(error) => prop_assert_eq!(error.code(), ResultCode::LogCorrupt),
        }
    }

    /// Guards against a flipped byte in any file being read as a valid entry, and against damage before
    /// the tail being taken for an incomplete write.
    #[test]
    fn any_flipped_byte(count in 1_usize..40, which in 0_usize..3, share in 0.0_f64..1.0, bits in 1_u8..=255) {
        use comfreyhold_consensus::disk::Folder;
        let batches = batches(30);
        let batches = &batches[..count.min(batches.len())];
        let mut folder = stored(batches);
        let names = folder.list().unwrap();
        let name = &names[which % names.len()];
        let file = folder.file(name);
        let at = (file.len() as f64 * share) as usize;
        file[at] ^= bits;
        let (frames, _) = comfreyhold_consensus::disk::read_records(file);
        let valid = frames.len();
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

/// Guards against two processes that write to one folder, and against a folder that changes its
/// identity.
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

/// Guards against a restarted daemon whose messages all others drop as those of its earlier process, since its
/// time of day was set back meanwhile.
#[test]
fn start_numbers_grow_although_the_time_of_day_goes_back() {
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

/// Guards against an instance that goes on to accept proposals after its disk has failed.
#[test]
fn storage_fault_stops_the_instance() {
    let now = Instant::now() + Duration::from_secs(60);
    let mut node = single(contents(&batches(5)).pop().unwrap(), 2, now);
    node.handle(now, Event::StorageFault(ResultCode::SyncFailed));
    let request = RequestId(1);
    let actions = node.handle(now, Event::Propose { request, command: Command::Noop });
    assert!(matches!(actions[..], [Action::Refused { code: ResultCode::SyncFailed, .. }]));
    assert_eq!(node.handle(now + Duration::from_secs(60), Event::Tick), []);
}
