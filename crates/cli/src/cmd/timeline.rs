//! `comfreyhold timeline --config FILE [--kind KIND]... [--process NAME]... [--from MS] [--to MS]`
//!
//! Merges the events of all processes in causal order. Processes that don't answer are named.

use crate::config::{Common, Deployment, common};
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
    let names: Names =
        members.clone().map(|member| (member.instance, member.name.clone())).collect();
    let filter = filter(args, &names)?;
    let ask = async { Ok(http::ask_each::<TimelineReply>(members, "/v1/timeline").await) };
    let mut dumps = Vec::new();
    for (member, answer) in http::block_on(ask)? {
        match answer {
            Ok(TimelineReply { instance, dropped, events, .. }) => {
                dumps.push(RingDump { instance, dropped, events });
            }
            Err(reason) => println!("{}: no answer: {reason}", member.name),
        }
    }
    let asked = names.keys().copied().collect();
    let timeline = Timeline::merge(&dumps, &asked, &filter);
    for (instance, dropped) in &timeline.dropped {
        println!("{}: {dropped} older events were dropped", name_of(*instance, &names));
    }
    for event in &timeline.events {
        println!("{}", line(event, &names));
    }
    Ok(())
}

type Names = BTreeMap<InstanceId, String>;

fn name_of(instance: InstanceId, names: &Names) -> &str {
    names.get(&instance).map_or("?", String::as_str)
}

fn filter(args: &Args, names: &Names) -> Result<EventFilter, CliError> {
    let instance_of = |name: &String| {
        let found = names.iter().find(|(_, known)| *known == name);
        let unknown = || CliError::Argument(format!("no process is named {name}"));
        found.map(|(instance, _)| *instance).ok_or_else(unknown)
    };
    Ok(EventFilter {
        kinds: args.kind.iter().copied().collect(),
        instances: args.process.iter().map(instance_of).collect::<Result<_, _>>()?,
        from_ms: args.from,
        to_ms: args.to,
    })
}

fn line(event: &Event, names: &Names) -> String {
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
