//! `comfreyhold explain --flow CALLER>SERVICE [--seq N] FILE...`
//!
//! Shows what the processes have logged about one flow, with what the entry believed about its target and
//! the declarations at that moment. The files hold the processes' standard output; text before the JSON
//! object of a line is passed over.

use crate::error::CliError;
use bpaf::Bpaf;
use serde_json::{Map, Value};
use std::path::{Path, PathBuf};

/// Kinds of lines that tell what an entry believes, shown once before the flow's first line.
const BELIEFS: [&str; 4] = ["start", "declarations", "readiness", "stalled"];

/// Arguments of `explain`.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    /// The flow: both addresses and ports, as in 100.64.0.7:40001>198.18.0.1:443
    #[bpaf(argument("CALLER>SERVICE"))]
    flow: String,
    /// Only openings with this number, where ports were used again
    #[bpaf(argument("N"))]
    seq: Option<u64>,
    /// Logs of the processes
    #[bpaf(positional("FILE"), some("give at least one file"))]
    files: Vec<PathBuf>,
}

/// One line of a log.
struct Line {
    time_ms: u64,
    instance: String,
    kind: String,
    fields: Map<String, Value>,
}

/// Runs `explain`.
pub fn run(args: &Args) -> Result<(), CliError> {
    let mut lines = Vec::new();
    for path in &args.files {
        lines.extend(read(path)?);
    }
    lines.sort_by_key(|line| line.time_ms);
    let about: Vec<usize> = (0..lines.len()).filter(|at| is_about(&lines[*at], args)).collect();
    let Some(first) = about.first().copied() else {
        let message = format!("no line about {} in {} lines", args.flow, lines.len());
        return Err(CliError::Argument(message));
    };
    for belief in beliefs(&lines, first, target_of(&lines, &about)) {
        println!("{}", show(&lines[belief], "before "));
    }
    for at in about {
        println!("{}", show(&lines[at], ""));
    }
    Ok(())
}

fn read(path: &Path) -> Result<Vec<Line>, CliError> {
    let bytes =
        std::fs::read(path).map_err(|source| CliError::Read { path: path.to_owned(), source })?;
    Ok(String::from_utf8_lossy(&bytes).lines().filter_map(parse).collect())
}

/// Lines that are no decision of a process, such as the last one of a killed process, are passed over.
fn parse(line: &str) -> Option<Line> {
    let object = &line[line.find('{')?..];
    let mut fields: Map<String, Value> = serde_json::from_str(object).ok()?;
    let time_ms = fields.remove("time_ms")?.as_u64()?;
    let text = |value: Value| value.as_str().map(str::to_owned);
    let instance = text(fields.remove("instance")?)?;
    let kind = text(fields.remove("kind")?)?;
    Some(Line { time_ms, instance, kind, fields })
}

fn is_about(line: &Line, args: &Args) -> bool {
    let flow = line.fields.get("flow").and_then(Value::as_str) == Some(&args.flow);
    let seq = line.fields.get("seq").and_then(Value::as_u64);
    flow && args.seq.is_none_or(|wanted| seq == Some(wanted))
}

/// The target of the flow's last opening.
fn target_of(lines: &[Line], about: &[usize]) -> Option<String> {
    let named = about.iter().rev().find_map(|at| lines[*at].fields.get("target"));
    named.and_then(Value::as_str).map(str::to_owned)
}

/// The last lines before `first`, in their order, that tell what its entry believed.
fn beliefs(lines: &[Line], first: usize, target: Option<String>) -> Vec<usize> {
    let instance = &lines[first].instance;
    let own: Vec<usize> = (0..first).filter(|at| lines[*at].instance == *instance).collect();
    // What an earlier start believed is gone.
    let start = own.iter().rposition(|at| lines[*at].kind == "start").unwrap_or_default();
    let last = |wanted: &dyn Fn(&Line) -> bool| {
        own[start..].iter().copied().rev().find(|at| wanted(&lines[*at]))
    };
    let mut found: Vec<usize> =
        BELIEFS.iter().filter_map(|kind| last(&|line| line.kind == *kind)).collect();
    found.extend(target.and_then(|target| {
        last(&|line| {
            let named = line.fields.get("target").and_then(Value::as_str);
            line.kind == "target" && named == Some(target.as_str())
        })
    }));
    found.sort_unstable();
    found
}

fn show(line: &Line, prefix: &str) -> String {
    let fields = Value::Object(line.fields.clone());
    format!("{} {} {prefix}{} {fields}", line.time_ms, line.instance, line.kind)
}
