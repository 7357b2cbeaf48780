//! The thread that owns a control daemon's folder, so that a slow disk delays nothing else.

use comfreyhold_consensus::disk::{DataFolder, ReadEnd, StoreError, encode_record, read_records};
use comfreyhold_consensus::register::store::{REGISTER_FILE, VoterStore};
use comfreyhold_consensus::register::{
    AddressedRequest, Ballot, DiskId, RegisterRequest, RegisterResponse, RegisterValue,
};
use comfreyhold_types::announcement::Announcement;
use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError, mpsc};
use std::time::Duration;
use tokio::sync::oneshot;

/// Attempts to open a folder. With the pause they last longer than a disk is usually full or stalled.
const OPEN_ATTEMPTS: u32 = 60;

/// Pause between them.
const OPEN_PAUSE: Duration = Duration::from_millis(500);

enum Task {
    Answer { addressed: AddressedRequest, reply: oneshot::Sender<RegisterResponse> },
    SaveTargets(Vec<Announcement>),
}

/// File with the targets that were known last. It is only a help for the next start.
const TARGETS_FILE: &str = "targets";

const TARGETS_TEMPORARY: &str = "targets.tmp";

/// What is synced, for readers that need not wait for the disk.
#[derive(Clone, Default)]
struct Synced {
    disk: DiskId,
    promised: Ballot,
    accepted: Option<Arc<RegisterValue>>,
}

/// Access to the voter of this process.
pub struct Voter {
    tasks: mpsc::Sender<Task>,
    synced: Arc<Mutex<Synced>>,
}

impl Voter {
    /// Opens a folder and starts the thread. A damaged folder is set aside and counts as lost.
    ///
    /// # Errors
    /// The folder can't be opened or written, or the thread can't be started.
    pub fn start(folder: &Path, new: DiskId) -> anyhow::Result<Self> {
        let mut store = open_patiently(folder, new)?;
        let synced = Arc::new(Mutex::new(state_of(&store)));
        let (tx, rx) = mpsc::channel::<Task>();
        let path = folder.to_owned();
        let shared = Arc::clone(&synced);
        std::thread::Builder::new().name("disk".to_owned()).spawn(move || {
            while let Ok(task) = rx.recv() {
                match task {
                    Task::Answer { addressed, reply } => {
                        let response = store.handle(&addressed);
                        *lock(&shared) = state_of(&store);
                        // The asker may have given up; what was synced stays.
                        let _ = reply.send(response);
                    }
                    Task::SaveTargets(targets) => {
                        if let Err(error) = save_targets(&path, &targets) {
                            log::warn!("targets not saved for the next start: {error:#}");
                        }
                    }
                }
            }
        })?;
        Ok(Self { tasks: tx, synced })
    }

    /// Saves the targets for the next start, after what the disk has to do before.
    pub fn save_targets(&self, targets: Vec<Announcement>) {
        if self.tasks.send(Task::SaveTargets(targets)).is_err() {
            log::error!("the disk thread has ended");
        }
    }

    /// Identity of the folder.
    #[must_use]
    pub fn disk(&self) -> DiskId {
        lock(&self.synced).disk
    }

    /// The newest value on the disk.
    #[must_use]
    pub fn accepted(&self) -> Option<Arc<RegisterValue>> {
        lock(&self.synced).accepted.clone()
    }

    /// The highest ballot promised.
    #[must_use]
    pub fn promised(&self) -> Ballot {
        lock(&self.synced).promised
    }

    fn read(&self, addressed: &AddressedRequest) -> RegisterResponse {
        let synced = lock(&self.synced);
        match addressed.request {
            _ if synced.disk != addressed.to => RegisterResponse::Unavailable,
            RegisterRequest::Fetch => RegisterResponse::Fetched(synced.accepted.clone()),
            _ => {
                let accepted = synced.accepted.as_ref();
                RegisterResponse::Newest(accepted.map(|value| value.ballot).unwrap_or_default())
            }
        }
    }

    /// Answers a request once what the answer depends on is synced.
    pub async fn answer(&self, addressed: AddressedRequest) -> RegisterResponse {
        if matches!(addressed.request, RegisterRequest::Read | RegisterRequest::Fetch) {
            // A write that is under way was not confirmed to anyone yet.
            return self.read(&addressed);
        }
        let (tx, rx) = oneshot::channel();
        if self.tasks.send(Task::Answer { addressed, reply: tx }).is_err() {
            return RegisterResponse::Unavailable;
        }
        rx.await.unwrap_or(RegisterResponse::Unavailable)
    }
}

/// Waits while the disk takes no writes: a daemon that ended instead would be started again at once.
fn open_patiently(folder: &Path, new: DiskId) -> anyhow::Result<VoterStore<DataFolder>> {
    for _ in 0..OPEN_ATTEMPTS {
        match open(folder, new) {
            Ok(store) => return Ok(store),
            Err(error) => log::error!("{}: {error:#}", folder.display()),
        }
        std::thread::sleep(OPEN_PAUSE);
    }
    open(folder, new)
}

fn open(folder: &Path, new: DiskId) -> anyhow::Result<VoterStore<DataFolder>> {
    match VoterStore::open(DataFolder::open(folder)?, new) {
        Err(StoreError::Corrupt { file, offset }) => {
            log::error!("{}: {file} is damaged at byte {offset}", folder.display());
            let aside = set_aside(folder)?;
            log::error!("the damaged folder is now {}; this daemon starts empty", aside.display());
            let unlike = DiskId(new.0.wrapping_add(rand::random::<u64>() | 1));
            Ok(VoterStore::open(DataFolder::open(folder)?, unlike)?)
        }
        result => Ok(result?),
    }
}

fn set_aside(folder: &Path) -> anyhow::Result<PathBuf> {
    let aside = folder.join("damaged");
    std::fs::create_dir_all(&aside)?;
    std::fs::rename(folder.join(REGISTER_FILE), aside.join(REGISTER_FILE))?;
    Ok(aside)
}

fn save_targets(folder: &Path, targets: &[Announcement]) -> anyhow::Result<()> {
    let bytes = encode_record(&postcard::to_stdvec(targets)?);
    let temporary = folder.join(TARGETS_TEMPORARY);
    let mut file = File::create(&temporary)?;
    file.write_all(&bytes)?;
    file.sync_data()?;
    std::fs::rename(&temporary, folder.join(TARGETS_FILE))?;
    File::open(folder)?.sync_all()?;
    Ok(())
}

/// The targets that an earlier start has saved; none if there is no whole file.
#[must_use]
pub fn saved_targets(folder: &Path) -> Vec<Announcement> {
    let Ok(bytes) = std::fs::read(folder.join(TARGETS_FILE)) else { return Vec::new() };
    match read_records(&bytes) {
        (frames, ReadEnd::Clean) if frames.len() == 1 => {
            postcard::from_bytes(frames[0].1).unwrap_or_default()
        }
        _ => {
            log::warn!("the saved targets are incomplete; targets will announce themselves");
            Vec::new()
        }
    }
}

fn state_of(store: &VoterStore<DataFolder>) -> Synced {
    let acceptor = store.acceptor();
    Synced {
        disk: acceptor.disk(),
        promised: acceptor.promised(),
        accepted: acceptor.accepted().cloned(),
    }
}

fn lock(synced: &Mutex<Synced>) -> std::sync::MutexGuard<'_, Synced> {
    synced.lock().unwrap_or_else(PoisonError::into_inner)
}
