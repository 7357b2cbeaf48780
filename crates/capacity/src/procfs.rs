//! Processor time and memory of processes, as the kernel counts them.

use anyhow::{Context as _, Result};
use std::time::Duration;

/// Kernel clock ticks per second in `/proc/PID/stat`; 100 on Linux.
const TICKS_PER_S: u64 = 100;

/// Processor time of a repeated measurement.
const ENOUGH: Duration = Duration::from_millis(200);

/// Processor time of the calling thread. Time in which other processes run doesn't count.
pub fn thread_cpu() -> Result<Duration> {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat")?;
    let first = text.split_whitespace().next().context("schedstat is empty")?;
    Ok(Duration::from_nanos(first.parse()?))
}

/// Processor time of a process, user and system.
pub fn process_cpu(pid: u32) -> Result<Duration> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let rest = text.rsplit_once(')').context("stat has no name")?.1;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |index: usize| -> Result<u64> { Ok(fields.get(index).context("stat")?.parse()?) };
    Ok(Duration::from_millis((ticks(11)? + ticks(12)?) * 1_000 / TICKS_PER_S))
}

/// Resident memory of a process in KB.
pub fn resident_kb(pid: u32) -> Result<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).context("no VmRSS")?;
    Ok(line.trim().trim_end_matches("kB").trim().parse()?)
}

/// Runs a function `rounds` times and returns the processor time of one round. The kernel brings the
/// time of a running thread up to date every few milliseconds, so the rounds together should take more
/// than 50 ms.
pub fn per_round(rounds: u32, mut work: impl FnMut()) -> Result<Duration> {
    let before = thread_cpu()?;
    for _ in 0..rounds {
        work();
    }
    Ok((thread_cpu()? - before) / rounds.max(1))
}

/// Repeats a function until it has taken enough processor time, and returns the time of one round.
pub fn repeated(mut work: impl FnMut()) -> Result<Duration> {
    let before = thread_cpu()?;
    let mut rounds = 0;
    loop {
        for _ in 0..10 {
            work();
        }
        rounds += 10;
        let spent = thread_cpu()? - before;
        if spent >= ENOUGH {
            return Ok(spent / rounds);
        }
    }
}

/// Resident memory that a value takes, in KB, while it is alive.
pub fn resident_of<T>(make: impl FnOnce() -> T) -> Result<(T, u64)> {
    let own = std::process::id();
    let before = resident_kb(own)?;
    let value = make();
    Ok((value, resident_kb(own)?.saturating_sub(before)))
}
