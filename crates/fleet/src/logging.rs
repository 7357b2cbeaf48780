//! Structured logs: one JSON object a line on standard output. A separate thread writes them, so that a slow
//! or stalled reader of the output delays no decision.

use anyhow::Context;
use comfreyhold_types::clock::{Clock, SystemClock};
use fern::{Dispatch, Output};
use log::{LevelFilter, Record};
use serde_json::json;
use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

/// Log target of records whose message is the members of a JSON object, without the braces.
pub const DECISION_TARGET: &str = "decision";

/// Capacity of the queue to the writer. Lines that find it full are dropped and counted.
const MAX_QUEUED_LINES: usize = 4_096;

/// Time for which the writer collects lines before it writes them in one call, which keeps the number of
/// writes of a busy process low.
const BATCH_DELAY: Duration = Duration::from_millis(50);

/// Installs the process's logger.
///
/// # Errors
/// A logger is already installed, or the writer's thread can't be started.
pub fn install(instance: &str) -> anyhow::Result<()> {
    let (tx, rx) = sync_channel(MAX_QUEUED_LINES);
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&rx))
        .context("can't start the log writer thread")?;
    let instance = json!(instance).to_string();
    Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for(DECISION_TARGET, LevelFilter::Info)
        .level_for("comfreyhold_fleet", LevelFilter::Info)
        .level_for("comfreyhold_platform", LevelFilter::Info)
        .chain(Output::call(move |record| enqueue(&tx, format_line(&instance, record))))
        .apply()
        .context("a logger is already installed")
}

fn format_line(instance: &str, record: &Record<'_>) -> String {
    let time = SystemClock.wall_millis();
    let message = record.args().to_string();
    if record.target() == DECISION_TARGET {
        return format!("{{\"time_ms\":{time},\"instance\":{instance},{message}}}\n");
    }
    let (level, target) = (record.level().as_str(), record.target());
    let message = json!(message);
    format!(
        "{{\"time_ms\":{time},\"instance\":{instance},\"kind\":\"message\",\"level\":\"{level}\",\
         \"source\":\"{target}\",\"message\":{message}}}\n"
    )
}

fn enqueue(tx: &SyncSender<String>, line: String) {
    if tx.try_send(line).is_err() {
        count_dropped(1);
    }
}

/// Counts dropped lines in a metric, since a log line about them could be dropped too.
fn count_dropped(lines: u64) {
    metrics::counter!("log_lines_left_out").increment(lines);
}

fn write_lines(rx: &Receiver<String>) {
    let mut stdout = std::io::stdout();
    while let Ok(mut text) = rx.recv() {
        std::thread::sleep(BATCH_DELAY);
        while let Ok(line) = rx.try_recv() {
            text.push_str(&line);
        }
        if stdout.write_all(text.as_bytes()).and_then(|()| stdout.flush()).is_err() {
            count_dropped(text.lines().count() as u64);
        }
    }
}

/// Waits long enough for the writer to write the lines logged so far. Called before the process ends.
pub fn wait_for_writer() {
    std::thread::sleep(BATCH_DELAY * 2);
}
