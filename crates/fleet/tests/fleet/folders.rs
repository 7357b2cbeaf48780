//! Data folders of control daemons.

use tempfile::TempDir;

/// File system in memory, which Linux systems have.
const MEMORY: &str = "/dev/shm";

/// Creates a data folder, in memory if possible. On a disk that other processes write to, a sync may take longer than the
/// daemons wait for it, and these tests are not about that.
pub fn data_folder() -> TempDir {
    tempfile::tempdir_in(MEMORY).or_else(|_| tempfile::tempdir()).unwrap()
}
