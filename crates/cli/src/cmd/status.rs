//! `comfreyhold status --config FILE [--json]`
//!
//! Shows the state of every process. A process that doesn't answer is named as such.

use crate::config::{Common, Deployment, common};
use crate::error::CliError;
use crate::http;
use bpaf::Bpaf;
use comfreyhold_daemon::settings::Member;
use comfreyhold_types::api::StatusReply;

/// Arguments of `status`.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    #[bpaf(external)]
    common: Common,
    /// Print JSON, one process a line
    json: bool,
}

/// Runs `status`.
pub fn run(args: &Args) -> Result<(), CliError> {
    let deployment = Deployment::load(&args.common)?;
    let members = deployment.members.iter();
    let ask = async { Ok(http::ask_each::<StatusReply>(members, "/v1/status").await) };
    let answers = http::block_on(ask)?;
    if !args.json {
        println!(
            "{:<16} {:<8} {:<6} {:>6} {:>9} {:<6} details",
            "name", "role", "domain", "term", "revision", "ready"
        );
    }
    for (member, answer) in &answers {
        match answer {
            Ok(status) if args.json => println!("{}", serde_json::to_string(status)?),
            Ok(status) => println!("{}", line(status)),
            Err(reason) => println!("{}", missing(member, reason, args.json)),
        }
    }
    Ok(())
}

fn line(status: &StatusReply) -> String {
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

fn missing(member: &Member, reason: &str, json: bool) -> String {
    if json {
        return serde_json::json!({ "name": member.name, "no_answer": reason }).to_string();
    }
    format!("{:<16} {:<8} no answer: {reason}", member.name, member.role.to_string())
}
