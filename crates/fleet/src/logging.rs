//! Structured logs: one JSON object a line on standard output, written by a thread of its own so that a
//! reader that is slow or stands still delays no decision.

use anyhow::Context;
use comfreyhold_types::clock::{Clock, SystemClock};
use fern::{Dispatch, Output};
use log::{LevelFilter, Record};
use serde_json::json;
use std::io::Write;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

/// Target of records whose message is the inside of a JSON object.
pub const DECISION_TARGET: &str = "decision";

/// Lines that wait for the writer; later ones are counted and left out.
const MAX_WAITING_LINES: usize = 4_096;

/// Time for which the writer gathers lines, so that a busy process pays for few writes.
const GATHER: Duration = Duration::from_millis(50);

/// Installs the process's logger.
///
/// # Errors
/// A logger is already installed, or the writer's thread can't be started.
pub fn install(instance: &str) -> anyhow::Result<()> {
    let (tx, rx) = sync_channel(MAX_WAITING_LINES);
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&rx))
        .context("the log writer can't be started")?;
    let instance = json!(instance).to_string();
    Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for(DECISION_TARGET, LevelFilter::Info)
        .level_for("comfreyhold_fleet", LevelFilter::Info)
        .level_for("comfreyhold_platform", LevelFilter::Info)
        .chain(Output::call(move |record| queue(&tx, line(&instance, record))))
        .apply()
        .context("a logger is already installed")
}

fn line(instance: &str, record: &Record<'_>) -> String {
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

fn queue(tx: &SyncSender<String>, line: String) {
    if tx.try_send(line).is_err() {
        count_left_out(1);
    }
}

/// Counts lines that are lost, since nothing can be logged about them.
fn count_left_out(lines: u64) {
    metrics::counter!("log_lines_left_out").increment(lines);
}

fn write_lines(rx: &Receiver<String>) {
    let mut stdout = std::io::stdout();
    while let Ok(mut text) = rx.recv() {
        std::thread::sleep(GATHER);
        while let Ok(line) = rx.try_recv() {
            text.push_str(&line);
        }
        if stdout.write_all(text.as_bytes()).and_then(|()| stdout.flush()).is_err() {
            count_left_out(text.lines().count() as u64);
        }
    }
}

/// Waits until what was logged so far is written, as far as `limit` allows.
pub fn wait_for_writer() {
    std::thread::sleep(GATHER * 2);
}
