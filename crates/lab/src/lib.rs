//! Test environment of the daemons: simulated targets, packet fabric, fault-injecting proxy, load
//! generator and local deployments. All of them listen on loopback addresses.

pub mod account;
pub mod binaries;
pub mod checks;
pub mod daemon_settings;
pub mod deployments;
pub mod echo;
pub mod emulator;
pub mod fabric;
pub mod flow_load;
pub mod http;
pub mod lifetime;
pub mod links;
pub mod load;
pub mod packet;
pub mod plot;
pub mod ports;
pub mod proxy;
pub mod proxy_control;
pub mod report;
pub mod request_load;
pub mod runlog;
pub mod scenario;
pub mod service_time;
pub mod target;
pub mod target_http;
pub mod target_tasks;
pub mod trial;
pub mod trial_report;
pub mod trial_run;
pub mod up;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

/// Locks a mutex. The data stays readable when another thread panicked while it held the lock.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Wall-clock time in microseconds since the Unix epoch, comparable between processes on the same
/// computer.
#[must_use]
pub fn wall_us() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}
