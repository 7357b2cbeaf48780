//! `comfreyhold timeline --config FILE [--kind KIND]... [--process NAME]... [--from MS] [--to MS]`
//!
//! Prints the events of all processes in causal order. Names the processes that don't respond, and how many
//! older events each process has dropped.

use crate::config::{CommonArgs, Deployment, common_args};
use crate::error::CliError;
use crate::http;
use bpaf::Bpaf;
use comfreyhold_membership::timeline::{EventFilter, RingDump, Timeline};
use comfreyhold_types::api::TimelineReply;
use comfreyhold_types::prelude::{Event, EventKind, InstanceId};
use std::collections::BTreeMap;

/// Arguments of `timeline`.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    #[bpaf(external)]
    common_args: CommonArgs,
    /// Only events of this kind; may be repeated
    #[bpaf(argument("KIND"))]
    kind: Vec<EventKind>,
    /// Only events of the process with this name; may be repeated
    #[bpaf(argument("NAME"))]
    process: Vec<String>,
    /// Only events at or after this time, in milliseconds since the Unix epoch
    #[bpaf(argument("MS"))]
    from: Option<u64>,
    /// Only events at or before this time, in milliseconds since the Unix epoch
    #[bpaf(argument("MS"))]
    to: Option<u64>,
}

/// Merges and prints the events that the processes return.
pub fn run(args: &Args) -> Result<(), CliError> {
    let deployment = Deployment::load(&args.common_args)?;
    let members = deployment.members.iter();
    let names: ProcessNames =
        members.clone().map(|member| (member.instance, member.name.clone())).collect();
    let filter = event_filter(args, &names)?;
    let request = async { Ok(http::get_from_each::<TimelineReply>(members, "/v1/timeline").await) };
    let mut dumps = Vec::new();
    for (member, result) in http::block_on(request)? {
        match result {
            Ok(TimelineReply { instance, dropped, events, .. }) => {
                dumps.push(RingDump { instance, dropped, events });
            }
            Err(reason) => println!("{}: no answer: {reason}", member.name),
        }
    }
    let expected = names.keys().copied().collect();
    let timeline = Timeline::merge(&dumps, &expected, &filter);
    for (instance, dropped) in &timeline.dropped {
        println!("{}: {dropped} older events were dropped", name_of(*instance, &names));
    }
    for event in &timeline.events {
        println!("{}", format_event(event, &names));
    }
    Ok(())
}

type ProcessNames = BTreeMap<InstanceId, String>;

fn name_of(instance: InstanceId, names: &ProcessNames) -> &str {
    names.get(&instance).map_or("?", String::as_str)
}

fn event_filter(args: &Args, names: &ProcessNames) -> Result<EventFilter, CliError> {
    let instance_of = |name: &String| {
        let found = names.iter().find(|(_, known)| *known == name);
        let unknown_process = || CliError::Argument(format!("no process is named {name}"));
        found.map(|(instance, _)| *instance).ok_or_else(unknown_process)
    };
    Ok(EventFilter {
        kinds: args.kind.iter().copied().collect(),
        instances: args.process.iter().map(instance_of).collect::<Result<_, _>>()?,
        from_ms: args.from,
        to_ms: args.to,
    })
}

fn format_event(event: &Event, names: &ProcessNames) -> String {
    let fields: Vec<_> =
        event.fields.iter().map(|(name, value)| format!("{name}={value}")).collect();
    format!(
        "{}.{:04} {:<12} {} term={} revision={} {} {}",
        event.stamp.wall_ms,
        event.stamp.counter,
        name_of(event.instance, names),
        event.domain,
        event.term.0,
        event.revision.0,
        event.kind,
        fields.join(" ")
    )
}
