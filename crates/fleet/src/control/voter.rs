//! The voter of a control daemon, and the thread that owns its data folder. Disk accesses run on that thread,
//! so that a slow disk delays nothing else.

use comfreyhold_consensus::disk::{DataFolder, ReadEnd, StoreError, encode_record, read_records};
use comfreyhold_consensus::register::store::{REGISTER_FILE, VoterStore};
use comfreyhold_consensus::register::{
    AddressedRequest, Ballot, DiskId, RegisterRequest, RegisterResponse, RegisterValue,
};
use comfreyhold_types::announcement::Announcement;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError, mpsc};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Attempts to open the data folder. Together with the retry interval they cover the time for which a disk
/// is usually full or stalled.
const OPEN_ATTEMPTS: u32 = 60;

/// Interval between attempts to open the data folder.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Work for the disk thread.
enum DiskTask {
    HandleRequest { addressed: AddressedRequest, reply: oneshot::Sender<RegisterResponse> },
    SaveTargets { targets: Vec<Announcement>, reply: oneshot::Sender<bool> },
    AppendTargets { targets: Vec<Announcement>, reply: oneshot::Sender<bool> },
}

/// File with the targets known last: a record with all of them, and records with those that have left since. A
/// restarted daemon uses it until the targets announce themselves again, and works without it.
const TARGETS_FILE: &str = "targets";

const TEMPORARY_TARGETS_FILE: &str = "targets.tmp";

/// State that is synced to disk, for readers that need not wait for the disk thread.
#[derive(Clone, Default)]
struct SyncedState {
    disk: DiskId,
    promised: Ballot,
    accepted: Option<Arc<RegisterValue>>,
}

/// Handle to the voter of this process. Requests that write go to the disk thread; reads use the synced
/// state.
pub struct Voter {
    disk_tasks: mpsc::Sender<DiskTask>,
    synced: Arc<Mutex<SyncedState>>,
    /// Highest ballot for which a round has begun here, and when.
    last_round: Cell<Option<(Ballot, Instant)>>,
}

impl Voter {
    /// Opens the data folder and starts the disk thread. A damaged register file is moved aside, and the
    /// voter starts empty under an identity other than `new_id`, as after the loss of the folder.
    ///
    /// # Errors
    /// The folder can't be opened or written within the retries, or the thread can't be started.
    pub fn start(folder: &Path, new_id: DiskId) -> anyhow::Result<Self> {
        let mut store = open_with_retries(folder, new_id)?;
        let synced = Arc::new(Mutex::new(synced_state(&store)));
        let (tx, rx) = mpsc::channel::<DiskTask>();
        let path = folder.to_owned();
        let shared = Arc::clone(&synced);
        std::thread::Builder::new().name("disk".to_owned()).spawn(move || {
            // Bytes of a failed or interrupted write may be at the end of the file until it is written anew.
            let mut may_append = false;
            while let Ok(task) = rx.recv() {
                match task {
                    DiskTask::HandleRequest { addressed, reply } => {
                        let response = store.handle(&addressed);
                        *lock_synced(&shared) = synced_state(&store);
                        // The proposer may have timed out; the synced state stays valid.
                        let _ = reply.send(response);
                    }
                    DiskTask::SaveTargets { targets, reply } => {
                        let saved = count_failure(save_targets(&path, &targets));
                        may_append |= saved;
                        // The task that waits ends only with the process.
                        let _ = reply.send(saved);
                    }
                    DiskTask::AppendTargets { targets, reply } => {
                        let saved = may_append && count_failure(append_targets(&path, &targets));
                        may_append = saved;
                        // The task that waits may have timed out; the next save holds the targets too.
                        let _ = reply.send(saved);
                    }
                }
            }
        })?;
        Ok(Self { disk_tasks: tx, synced, last_round: Cell::new(None) })
    }

    /// Saves the targets for the next start, after earlier disk tasks. Returns whether they are synced to disk.
    pub async fn save_targets(&self, targets: Vec<Announcement>) -> bool {
        self.run_save(|reply| DiskTask::SaveTargets { targets, reply }).await
    }

    /// Adds targets that have left to the last save, which takes as long for any number of other targets. Returns
    /// whether they are synced to disk; without a save by this process they are not.
    pub async fn append_targets(&self, targets: Vec<Announcement>) -> bool {
        self.run_save(|reply| DiskTask::AppendTargets { targets, reply }).await
    }

    async fn run_save(&self, task: impl FnOnce(oneshot::Sender<bool>) -> DiskTask) -> bool {
        let (reply, saved) = oneshot::channel();
        if self.disk_tasks.send(task(reply)).is_err() {
            log::error!("the disk thread has ended");
            return false;
        }
        saved.await.unwrap_or(false)
    }

    /// Identity of the data folder.
    #[must_use]
    pub fn disk(&self) -> DiskId {
        lock_synced(&self.synced).disk
    }

    /// Newest accepted value that is synced to disk.
    #[must_use]
    pub fn accepted(&self) -> Option<Arc<RegisterValue>> {
        lock_synced(&self.synced).accepted.clone()
    }

    /// Highest promised ballot that is synced to disk.
    #[must_use]
    pub fn promised(&self) -> Ballot {
        lock_synced(&self.synced).promised
    }

    /// Highest ballot for which a proposer has begun a round with this voter, and when. `None` if there was none since the
    /// start of the process.
    #[must_use]
    pub fn last_round(&self) -> Option<(Ballot, Instant)> {
        self.last_round.get()
    }

    fn record_round(&self, ballot: Ballot) {
        if self.last_round.get().is_none_or(|(last, _)| ballot > last) {
            self.last_round.set(Some((ballot, Instant::now())));
        }
    }

    fn read_synced(&self, addressed: &AddressedRequest) -> RegisterResponse {
        let synced = lock_synced(&self.synced);
        match addressed.request {
            _ if synced.disk != addressed.to => RegisterResponse::Unavailable,
            RegisterRequest::Fetch => RegisterResponse::Fetched(synced.accepted.clone()),
            _ => {
                let accepted = synced.accepted.as_ref();
                RegisterResponse::Newest(accepted.map(|value| value.ballot).unwrap_or_default())
            }
        }
    }

    /// Handles a request of a proposer. The response is returned once the state that it depends on is synced.
    pub async fn handle_request(&self, addressed: AddressedRequest) -> RegisterResponse {
        if matches!(addressed.request, RegisterRequest::Read | RegisterRequest::Fetch) {
            // A write in progress has not been confirmed to any proposer yet, so the synced state is enough.
            return self.read_synced(&addressed);
        }
        if let RegisterRequest::Prepare { ballot, .. } = &addressed.request {
            self.record_round(*ballot);
        }
        let (tx, rx) = oneshot::channel();
        if self.disk_tasks.send(DiskTask::HandleRequest { addressed, reply: tx }).is_err() {
            return RegisterResponse::Unavailable;
        }
        rx.await.unwrap_or(RegisterResponse::Unavailable)
    }
}

/// Opens the data folder, with retries while the disk accepts no writes. A daemon that exited instead would
/// be restarted at once.
fn open_with_retries(folder: &Path, new_id: DiskId) -> anyhow::Result<VoterStore<DataFolder>> {
    for _ in 0..OPEN_ATTEMPTS {
        match open(folder, new_id) {
            Ok(store) => return Ok(store),
            Err(error) => log::error!("{}: {error:#}", folder.display()),
        }
        std::thread::sleep(OPEN_RETRY_INTERVAL);
    }
    open(folder, new_id)
}

fn open(folder: &Path, new_id: DiskId) -> anyhow::Result<VoterStore<DataFolder>> {
    match VoterStore::open(DataFolder::open(folder)?, new_id) {
        Err(StoreError::Corrupt { file, offset }) => {
            log::error!("{}: {file} is damaged at byte {offset}", folder.display());
            let aside = move_aside(folder)?;
            log::error!(
                "the damaged register file was moved to {}; this daemon starts empty",
                aside.display()
            );
            let replacement_id = DiskId(new_id.0.wrapping_add(rand::random::<u64>() | 1));
            Ok(VoterStore::open(DataFolder::open(folder)?, replacement_id)?)
        }
        result => Ok(result?),
    }
}

fn move_aside(folder: &Path) -> anyhow::Result<PathBuf> {
    let aside = folder.join("damaged");
    std::fs::create_dir_all(&aside)?;
    std::fs::rename(folder.join(REGISTER_FILE), aside.join(REGISTER_FILE))?;
    Ok(aside)
}

fn save_targets(folder: &Path, targets: &[Announcement]) -> anyhow::Result<()> {
    let bytes = encode_record(&postcard::to_stdvec(targets)?);
    let temporary = folder.join(TEMPORARY_TARGETS_FILE);
    let mut file = File::create(&temporary)?;
    file.write_all(&bytes)?;
    file.sync_data()?;
    std::fs::rename(&temporary, folder.join(TARGETS_FILE))?;
    File::open(folder)?.sync_all()?;
    Ok(())
}

fn append_targets(folder: &Path, targets: &[Announcement]) -> anyhow::Result<()> {
    let bytes = encode_record(&postcard::to_stdvec(targets)?);
    let mut file = File::options().append(true).open(folder.join(TARGETS_FILE))?;
    file.write_all(&bytes)?;
    Ok(file.sync_data()?)
}

/// Counts a failed save. Returns whether it succeeded.
fn count_failure(saved: anyhow::Result<()>) -> bool {
    if let Err(error) = &saved {
        metrics::counter!("target_saves_failed").increment(1);
        log::debug!("can't save the targets for the next start: {error:#}");
    }
    saved.is_ok()
}

/// Reads the targets saved by an earlier incarnation, the newest announcement of each. Returns none if the file is
/// missing or damaged. The last record may be incomplete: its targets were not acknowledged.
#[must_use]
pub fn saved_targets(folder: &Path) -> Vec<Announcement> {
    let Ok(bytes) = std::fs::read(folder.join(TARGETS_FILE)) else { return Vec::new() };
    let (records, end) = read_records(&bytes);
    let lists: Result<Vec<Vec<Announcement>>, _> =
        records.iter().map(|(_, record)| postcard::from_bytes(record)).collect();
    match (lists, end) {
        (Ok(lists), ReadEnd::Clean | ReadEnd::Torn(_)) => {
            let targets = lists.into_iter().flatten().map(|target| (target.id, target));
            targets.collect::<BTreeMap<_, _>>().into_values().collect()
        }
        _ => {
            log::warn!(
                "the file of saved targets is damaged; waiting for targets to announce themselves"
            );
            Vec::new()
        }
    }
}

fn synced_state(store: &VoterStore<DataFolder>) -> SyncedState {
    let acceptor = store.acceptor();
    SyncedState {
        disk: acceptor.disk(),
        promised: acceptor.promised(),
        accepted: acceptor.accepted().cloned(),
    }
}

fn lock_synced(synced: &Mutex<SyncedState>) -> std::sync::MutexGuard<'_, SyncedState> {
    synced.lock().unwrap_or_else(PoisonError::into_inner)
}
