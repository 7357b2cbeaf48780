//! Logging through `log` and `fern`, as text or as JSON lines.

use crate::settings::{LogFormat, LogSettings};
use anyhow::Context;
use comfreyhold_types::clock::{Clock, SystemClock};
use fern::{Dispatch, FormatCallback};
use log::{LevelFilter, Record};
use serde_json::json;
use std::fmt::Arguments;

/// Installs the process's logger.
///
/// # Errors
/// The file can't be opened, or a logger is already installed.
pub fn install(cfg: &LogSettings, process: &str) -> anyhow::Result<()> {
    let level: LevelFilter = cfg.level.parse().context("log.level")?;
    let process = process.to_owned();
    let format = cfg.format;
    // Libraries log connection details at debug. These are wanted only at trace, so any other level limits the
    // libraries to warnings.
    let lib_level = if level == LevelFilter::Trace { level } else { level.min(LevelFilter::Warn) };
    let dispatch = Dispatch::new()
        .level(lib_level)
        .level_for("comfreyhold", level)
        .filter(move |meta| meta.target().starts_with("comfreyhold") || meta.level() <= lib_level)
        .format(move |out, message, record| match format {
            LogFormat::Text => write_text(out, &process, message, record),
            LogFormat::Json => write_json(out, &process, message, record),
        });
    let dispatch = ["daemon", "flow", "request", "membership", "consensus", "wire", "types"]
        .into_iter()
        .fold(dispatch, |d, package| d.level_for(format!("comfreyhold_{package}"), level));
    let dispatch = match &cfg.file {
        Some(path) => {
            let file = fern::log_file(path).with_context(|| path.display().to_string())?;
            dispatch.chain(file)
        }
        None => dispatch.chain(std::io::stderr()),
    };
    dispatch.apply().context("a logger is already installed")
}

fn write_text(
    out: FormatCallback<'_>,
    process: &str,
    message: &Arguments<'_>,
    record: &Record<'_>,
) {
    let time = SystemClock.wall_millis();
    out.finish(format_args!("{time} {} {process} {}: {message}", record.level(), record.target()));
}

fn write_json(
    out: FormatCallback<'_>,
    process: &str,
    message: &Arguments<'_>,
    record: &Record<'_>,
) {
    let line = json!({
        "time_ms": SystemClock.wall_millis(),
        "level": record.level().as_str(),
        "process": process,
        "target": record.target(),
        "message": message.to_string(),
    });
    out.finish(format_args!("{line}"));
}
