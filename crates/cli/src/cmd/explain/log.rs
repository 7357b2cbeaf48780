//! `comfreyhold explain --flow CALLER>SERVICE [--seq N] FILE...`
//!
//! Shows the log lines of all processes about one flow. Before them it shows the state that the flow's
//! first entry had logged by then, such as its declarations and the state of the flow's target. The files
//! hold the processes' standard output. Text before the JSON object of a line is skipped.

use crate::error::CliError;
use bpaf::Bpaf;
use serde_json::{Map, Value};
use std::path::{Path, PathBuf};

/// Kinds of log lines that record an entry's state. The last one of each kind is shown before the flow's
/// first line.
const STATE_KINDS: [&str; 4] = ["start", "declarations", "readiness", "stalled"];

/// Arguments of `explain`.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// The flow: both addresses and ports, as in 100.64.0.7:40001>198.18.0.1:443
    #[bpaf(argument("CALLER>SERVICE"))]
    flow: String,
    /// Only lines with this sequence number, to distinguish flows that used the same ports
    #[bpaf(argument("N"))]
    seq: Option<u64>,
    /// Log files of the processes
    #[bpaf(positional("FILE"), some("give at least one file"))]
    files: Vec<PathBuf>,
}

/// A parsed log line. The fields that all lines have are taken out of `fields`.
struct LogLine {
    time_ms: u64,
    instance: String,
    kind: String,
    fields: Map<String, Value>,
}

/// Prints the state of the flow's entry and all lines about the flow, by time.
pub fn run(args: &Args) -> Result<(), CliError> {
    let mut lines = Vec::new();
    for path in &args.files {
        lines.extend(read_log(path)?);
    }
    lines.sort_by_key(|line| line.time_ms);
    let matching: Vec<usize> =
        (0..lines.len()).filter(|index| matches_flow(&lines[*index], args)).collect();
    let Some(first) = matching.first().copied() else {
        let message = format!("no log line about flow {} in {} lines", args.flow, lines.len());
        return Err(CliError::Argument(message));
    };
    for index in preceding_state(&lines, first, target_of(&lines, &matching)) {
        println!("{}", format_line(&lines[index], "before "));
    }
    for index in matching {
        println!("{}", format_line(&lines[index], ""));
    }
    Ok(())
}

fn read_log(path: &Path) -> Result<Vec<LogLine>, CliError> {
    let bytes =
        std::fs::read(path).map_err(|source| CliError::Read { path: path.to_owned(), source })?;
    Ok(String::from_utf8_lossy(&bytes).lines().filter_map(parse_line).collect())
}

/// Returns `None` for a line without a complete JSON object of the expected form, such as the last line of
/// a killed process.
fn parse_line(line: &str) -> Option<LogLine> {
    let object = &line[line.find('{')?..];
    let mut fields: Map<String, Value> = serde_json::from_str(object).ok()?;
    let time_ms = fields.remove("time_ms")?.as_u64()?;
    let to_text = |value: Value| value.as_str().map(str::to_owned);
    let instance = to_text(fields.remove("instance")?)?;
    let kind = to_text(fields.remove("kind")?)?;
    Some(LogLine { time_ms, instance, kind, fields })
}

fn matches_flow(line: &LogLine, args: &Args) -> bool {
    let is_flow = line.fields.get("flow").and_then(Value::as_str) == Some(&args.flow);
    let seq = line.fields.get("seq").and_then(Value::as_u64);
    is_flow && args.seq.is_none_or(|wanted| seq == Some(wanted))
}

/// The target that the last of the flow's lines names, if any does.
fn target_of(lines: &[LogLine], matching: &[usize]) -> Option<String> {
    let target = matching.iter().rev().find_map(|index| lines[*index].fields.get("target"));
    target.and_then(Value::as_str).map(str::to_owned)
}

/// Indexes of the last lines before `first`, in order, that record the state of its entry: one for each of
/// `STATE_KINDS`, and one for the target.
fn preceding_state(lines: &[LogLine], first: usize, target: Option<String>) -> Vec<usize> {
    let instance = &lines[first].instance;
    let earlier: Vec<usize> =
        (0..first).filter(|index| lines[*index].instance == *instance).collect();
    // A restart discards the state of the earlier incarnation.
    let start = earlier.iter().rposition(|index| lines[*index].kind == "start").unwrap_or_default();
    let last_matching = |predicate: &dyn Fn(&LogLine) -> bool| {
        earlier[start..].iter().copied().rev().find(|index| predicate(&lines[*index]))
    };
    let mut indexes: Vec<usize> =
        STATE_KINDS.iter().filter_map(|kind| last_matching(&|line| line.kind == *kind)).collect();
    indexes.extend(target.and_then(|target| {
        last_matching(&|line| {
            let named = line.fields.get("target").and_then(Value::as_str);
            line.kind == "target" && named == Some(target.as_str())
        })
    }));
    indexes.sort_unstable();
    indexes
}

fn format_line(line: &LogLine, prefix: &str) -> String {
    let fields = Value::Object(line.fields.clone());
    format!("{} {} {prefix}{} {fields}", line.time_ms, line.instance, line.kind)
}
