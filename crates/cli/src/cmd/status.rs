//! `comfreyhold status --config FILE [--json]`
//!
//! Shows the state of every process. One that doesn't respond is listed with the reason.

use crate::config::{CommonArgs, Deployment, common_args};
use crate::error::CliError;
use crate::http;
use bpaf::Bpaf;
use comfreyhold_daemon::settings::Member;
use comfreyhold_types::api::StatusReply;

/// Arguments of `status`.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    #[bpaf(external)]
    common_args: CommonArgs,
    /// Print one JSON object per process and line
    json: bool,
}

/// Prints a line for each process.
pub fn run(args: &Args) -> Result<(), CliError> {
    let deployment = Deployment::load(&args.common_args)?;
    let members = deployment.members.iter();
    let request = async { Ok(http::get_from_each::<StatusReply>(members, "/v1/status").await) };
    let results = http::block_on(request)?;
    if !args.json {
        println!(
            "{:<16} {:<8} {:<6} {:>6} {:>9} {:<6} details",
            "name", "role", "domain", "term", "revision", "ready"
        );
    }
    for (member, result) in &results {
        match result {
            Ok(status) if args.json => println!("{}", serde_json::to_string(status)?),
            Ok(status) => println!("{}", format_status(status)),
            Err(reason) => println!("{}", format_failure(member, reason, args.json)),
        }
    }
    Ok(())
}

fn format_status(status: &StatusReply) -> String {
    let mut details: Vec<_> =
        status.details.iter().map(|(name, value)| format!("{name}={value}")).collect();
    let fenced: Vec<_> =
        status.entries.iter().filter(|(_, e)| !e.leased).map(|(id, _)| id.to_string()).collect();
    if !fenced.is_empty() {
        details.push(format!("unreachable={}", fenced.join(",")));
    }
    format!(
        "{:<16} {:<8} {:<6} {:>6} {:>9} {:<6} {}",
        status.name,
        status.role,
        status.domain.to_string(),
        status.term.0,
        status.revision.0,
        status.ready,
        details.join(" ")
    )
}

fn format_failure(member: &Member, reason: &str, json: bool) -> String {
    if json {
        return serde_json::json!({ "name": member.name, "no_answer": reason }).to_string();
    }
    format!("{:<16} {:<8} no answer: {reason}", member.name, member.role.to_string())
}
