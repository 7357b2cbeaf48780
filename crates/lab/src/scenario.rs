//! Helpers of scenario tests: child processes, which are ended by their id, and waiting for
//! conditions.

use crate::lifetime::StartLine;
use anyhow::{Context as _, Result, anyhow, bail};
use std::ffi::OsStr;
use std::fs::File;
use std::future::Future;
use std::io::{ErrorKind, Write as _};
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt as _, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};

/// Limit for all threads of a process to pause after the signal `STOP`.
const PAUSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Limit for conditions that hold within a second on an idle computer; a busy one takes longer.
pub const WAIT_LIMIT: Duration = Duration::from_secs(30);

const POLL_PERIOD: Duration = Duration::from_millis(20);

/// A child process of a scenario. It is killed when dropped.
pub struct Process {
    name: String,
    child: Child,
    log: PathBuf,
    start_line: StartLine,
    killed: bool,
}

impl Process {
    /// Starts a program and waits for its start line. Its standard error goes to `NAME.log` in the
    /// folder.
    ///
    /// # Errors
    /// The program can't be started, ends early, or prints no start line within the limit.
    pub async fn start<S: AsRef<OsStr>>(
        name: &str,
        program: &Path,
        args: impl IntoIterator<Item = S>,
        folder: &Path,
    ) -> Result<Self> {
        let log = folder.join(format!("{name}.log"));
        let stderr = File::create(&log).with_context(|| format!("create {}", log.display()))?;
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(stderr)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("start {}", program.display()))?;
        let stdout = child.stdout.take().context("standard output is not piped")?;
        let mut lines = BufReader::new(stdout).lines();
        let first = tokio::time::timeout(WAIT_LIMIT, lines.next_line()).await;
        let Ok(Ok(Some(line))) = first else {
            let _ = child.start_kill();
            bail!("{name} printed no start line; its log ends with:\n{}", last_lines(&log));
        };
        let start_line = serde_json::from_str(&line)
            .with_context(|| format!("{name} printed no valid start line: {line}"))?;
        // Keep reading, so that the process never blocks on a full pipe.
        tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        Ok(Self { name: name.to_owned(), child, log, start_line, killed: false })
    }

    /// The start line that the process printed.
    #[must_use]
    pub fn start_line(&self) -> &StartLine {
        &self.start_line
    }

    /// Name given to [`Process::start`].
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Process id; absent once the process has ended.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// File that receives its standard error.
    #[must_use]
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Sends a signal such as `TERM`, `STOP` or `CONT`. After `STOP` it returns only when all threads are
    /// stopped: on a busy computer the others keep running until the thread that handles the signal is
    /// scheduled.
    ///
    /// # Errors
    /// The process has ended, the signal can't be sent, or not all threads stop within the limit.
    pub async fn signal(&self, signal: &str) -> Result<()> {
        let id = self.id().with_context(|| format!("{} has ended", self.name))?;
        let args = [format!("-{signal}"), id.to_string()];
        let status = Command::new("kill").args(args).status().await?;
        if !status.success() {
            bail!("signal {signal} to {} failed: {status}", self.name);
        }
        if signal == "STOP" {
            let what = format!("{} is paused", self.name);
            wait_until(&what, PAUSE_TIMEOUT, || is_stopped(id)).await?;
        }
        Ok(())
    }

    /// Sends `TERM` to the process, and waits for its end.
    ///
    /// # Errors
    /// It does not end within the limit; it is then killed.
    pub async fn terminate(&mut self, limit: Duration) -> Result<ExitStatus> {
        if let Some(status) = self.child.try_wait()? {
            return Ok(status);
        }
        self.signal("TERM").await?;
        match tokio::time::timeout(limit, self.child.wait()).await {
            Ok(status) => Ok(status?),
            Err(_) => {
                self.child.kill().await?;
                bail!("{} did not stop within {limit:?} and was killed", self.name)
            }
        }
    }

    /// Waits for the process to end by itself.
    ///
    /// # Errors
    /// It does not end within the limit; it then keeps running.
    pub async fn wait(&mut self, limit: Duration) -> Result<ExitStatus> {
        match tokio::time::timeout(limit, self.child.wait()).await {
            Ok(status) => Ok(status?),
            Err(_) => bail!("{} did not end within {limit:?}", self.name),
        }
    }

    /// Kills the process without a clean stop, as a crash does.
    ///
    /// # Errors
    /// The process can't be killed.
    pub async fn kill(&mut self) -> Result<()> {
        self.child.kill().await?;
        self.killed = true;
        Ok(())
    }

    /// Whether [`Process::kill`] ended the process.
    #[must_use]
    pub fn was_killed(&self) -> bool {
        self.killed
    }
}

fn last_lines(log: &Path) -> String {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(10)..].join("\n")
}

/// Polls until the condition returns a value. `what` describes the condition in the error.
///
/// # Errors
/// The condition returns no value within the limit.
pub async fn wait_for<T, Fut>(
    what: &str,
    limit: Duration,
    mut condition: impl FnMut() -> Fut,
) -> Result<T>
where
    Fut: Future<Output = Option<T>>,
{
    let deadline = Instant::now() + limit;
    loop {
        if let Some(value) = condition().await {
            return Ok(value);
        }
        if Instant::now() >= deadline {
            bail!("{what}: condition not met within {limit:?}");
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

/// Polls until the condition holds. `what` describes the condition in the error.
///
/// # Errors
/// The condition does not hold within the limit.
pub async fn wait_until(
    what: &str,
    limit: Duration,
    mut condition: impl FnMut() -> bool,
) -> Result<()> {
    wait_for(what, limit, || std::future::ready(condition().then_some(()))).await
}

/// Starts a program whose standard output is full, so that it can't print its start line. Sends `TERM` once it accepts
/// connections at the address, then reads its output, and waits for its end.
///
/// # Errors
/// The program can't be started, accepts no connection or does not end within the limit.
pub async fn stop_before_start_line(
    mut command: Command,
    address: SocketAddr,
) -> Result<ExitStatus> {
    let (reader, output) = full_output()?;
    let mut child = command.stdin(Stdio::piped()).stdout(output).kill_on_drop(true).spawn()?;
    drop(command);
    let id = child.id().context("the program has ended")?;
    let connect = || async move { TcpStream::connect(address).await.ok() };
    drop(wait_for("the program accepts connections", WAIT_LIMIT, connect).await?);
    let status = Command::new("kill").args(["-TERM".to_owned(), id.to_string()]).status().await?;
    if !status.success() {
        bail!("signal TERM to process {id} failed: {status}");
    }
    let drain = std::thread::spawn(move || std::io::copy(&mut &reader, &mut std::io::sink()));
    let status = tokio::time::timeout(WAIT_LIMIT, child.wait()).await;
    let status = status.with_context(|| format!("no end within {WAIT_LIMIT:?}"))??;
    drain.join().map_err(|_| anyhow!("the thread that reads the output panicked"))??;
    Ok(status)
}

/// Returns an output to which a write blocks until the stream beside it is read.
fn full_output() -> std::io::Result<(UnixStream, Stdio)> {
    let (reader, mut writer) = UnixStream::pair()?;
    writer.set_nonblocking(true)?;
    let full = loop {
        if let Err(error) = writer.write(&[b' '; 4_096]) {
            break error;
        }
    };
    if full.kind() != ErrorKind::WouldBlock {
        return Err(full);
    }
    writer.set_nonblocking(false)?;
    Ok((reader, OwnedFd::from(writer).into()))
}

/// Whether all threads of a process are stopped, according to their `stat` files.
fn is_stopped(id: u32) -> bool {
    let Ok(threads) = std::fs::read_dir(format!("/proc/{id}/task")) else { return false };
    let stopped = |thread: std::io::Result<std::fs::DirEntry>| {
        let stat = thread.and_then(|thread| std::fs::read_to_string(thread.path().join("stat")));
        let state = stat.ok().and_then(|stat| Some(stat.rsplit_once(") ")?.1.starts_with('T')));
        state.unwrap_or(false)
    };
    threads.into_iter().all(stopped)
}
