//! `comfreyhold timeline --config FILE [--kind KIND]... [--process NAME]... [--from MS] [--to MS]`
//!
//! Merges the events of all processes in causal order. Processes that don't answer are named.

use crate::config::{Common, Deployment, common};
use crate::error::CliError;
use crate::http;
use bpaf::Bpaf;
use comfreyhold_types::api::TimelineReply;
use comfreyhold_types::prelude::{Event, EventKind};
use std::collections::BTreeMap;

/// Arguments of `timeline`.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    #[bpaf(external)]
    common: Common,
    /// Only events of this kind; may be given again
    #[bpaf(argument("KIND"))]
    kind: Vec<EventKind>,
    /// Only events of this process; may be given again
    #[bpaf(argument("NAME"))]
    process: Vec<String>,
    /// Only events at or after this time, in milliseconds since the Unix epoch
    #[bpaf(argument("MS"))]
    from: Option<u64>,
    /// Only events at or before this time, in milliseconds since the Unix epoch
    #[bpaf(argument("MS"))]
    to: Option<u64>,
}

/// Runs `timeline`.
pub fn run(args: &Args) -> Result<(), CliError> {
    let deployment = Deployment::load(&args.common)?;
    let members = deployment.members.iter();
    let ask = async { Ok(http::ask_each::<TimelineReply>(members, "/v1/timeline").await) };
    let mut names = BTreeMap::new();
    let mut events = Vec::new();
    for (member, answer) in http::block_on(ask)? {
        names.insert(member.instance, member.name.clone());
        match answer {
            Ok(reply) => {
                if reply.dropped > 0 {
                    println!("{}: {} older events were dropped", member.name, reply.dropped);
                }
                events.extend(reply.events);
            }
            Err(reason) => println!("{}: no answer: {reason}", member.name),
        }
    }
    events.sort_by_key(|event| (event.stamp, event.instance));
    for event in events.iter().filter(|event| selected(args, event, &names)) {
        println!("{}", line(event, &names));
    }
    Ok(())
}

type Names = BTreeMap<comfreyhold_types::prelude::InstanceId, String>;

fn selected(args: &Args, event: &Event, names: &Names) -> bool {
    let name = names.get(&event.instance);
    let kind_ok = args.kind.is_empty() || args.kind.contains(&event.kind);
    let process_ok = args.process.is_empty() || name.is_some_and(|n| args.process.contains(n));
    let from_ok = args.from.is_none_or(|from| event.stamp.wall_ms >= from);
    let to_ok = args.to.is_none_or(|to| event.stamp.wall_ms <= to);
    kind_ok && process_ok && from_ok && to_ok
}

fn line(event: &Event, names: &Names) -> String {
    let fields: Vec<_> =
        event.fields.iter().map(|(name, value)| format!("{name}={value}")).collect();
    format!(
        "{}.{:04} {:<12} {} term={} revision={} {} {}",
        event.stamp.wall_ms,
        event.stamp.counter,
        names.get(&event.instance).map_or("?", String::as_str),
        event.domain,
        event.term.0,
        event.revision.0,
        event.kind,
        fields.join(" ")
    )
}
