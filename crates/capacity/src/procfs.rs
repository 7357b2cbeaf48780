//! Processor time and resident memory of processes, read from `/proc`.

use anyhow::{Context as _, Result};
use std::time::Duration;

/// Kernel clock ticks per second in `/proc/PID/stat`; 100 on Linux.
const TICKS_PER_S: u64 = 100;

/// Processor time that `cpu_per_call` measures for at least.
const MIN_MEASURED_CPU: Duration = Duration::from_millis(200);

/// Processor time of the calling thread. Time in which the thread isn't scheduled doesn't count.
pub fn thread_cpu() -> Result<Duration> {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat")?;
    let first = text.split_whitespace().next().context("schedstat is empty")?;
    Ok(Duration::from_nanos(first.parse()?))
}

/// Processor time of a process in user and system mode, in steps of one kernel clock tick.
pub fn process_cpu(pid: u32) -> Result<Duration> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let rest = text.rsplit_once(')').context("stat has no name")?.1;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks = |index: usize| -> Result<u64> {
        Ok(fields.get(index).context("stat has too few fields")?.parse()?)
    };
    Ok(Duration::from_millis((ticks(11)? + ticks(12)?) * 1_000 / TICKS_PER_S))
}

/// Resident memory of a process in KB.
pub fn resident_kb(pid: u32) -> Result<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).context("no VmRSS")?;
    Ok(line.trim().trim_end_matches("kB").trim().parse()?)
}

/// Runs a function `rounds` times and returns the mean processor time of a round. The kernel updates the
/// counter of a running thread only every few milliseconds, so all rounds together should take more than
/// 50 ms.
pub fn cpu_per_round(rounds: u32, mut work: impl FnMut()) -> Result<Duration> {
    let before = thread_cpu()?;
    for _ in 0..rounds {
        work();
    }
    Ok((thread_cpu()? - before) / rounds.max(1))
}

/// Repeats a function until it has used `MIN_MEASURED_CPU`, and returns the mean processor time of a call.
pub fn cpu_per_call(mut work: impl FnMut()) -> Result<Duration> {
    let before = thread_cpu()?;
    let mut rounds = 0;
    loop {
        for _ in 0..10 {
            work();
        }
        rounds += 10;
        let cpu = thread_cpu()? - before;
        if cpu >= MIN_MEASURED_CPU {
            return Ok(cpu / rounds);
        }
    }
}

/// Creates a value and returns it with the growth of this process's resident memory, in KB. Memory that
/// the allocator reuses isn't in it.
pub fn resident_growth_kb<T>(create: impl FnOnce() -> T) -> Result<(T, u64)> {
    let pid = std::process::id();
    let before = resident_kb(pid)?;
    let value = create();
    Ok((value, resident_kb(pid)?.saturating_sub(before)))
}
