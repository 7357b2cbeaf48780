//! `comfreyhold history --config FILE [SUBJECT]`
//!
//! Shows each published version with its revision and operator. A subject is `profile/NAME`,
//! `service/NAME` or `domain/NUMBER`.

use crate::config::{CommonArgs, Deployment, common_args};
use crate::error::CliError;
use crate::http;
use bpaf::Bpaf;
use comfreyhold_types::api::HistoryReply;
use hyper::Method;

/// Arguments of `history`.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    #[bpaf(external)]
    common_args: CommonArgs,
    /// Show only this subject: profile/NAME, service/NAME or domain/NUMBER
    #[bpaf(positional("SUBJECT"))]
    subject: Option<String>,
}

/// Prints the history that the leader returns, or the part of one subject.
pub fn run(args: &Args) -> Result<(), CliError> {
    let deployment = Deployment::load(&args.common_args)?;
    let request = http::call_leader(&deployment, Method::GET, "/v1/history", "");
    let reply: HistoryReply = http::parse_body(&http::block_on(request)?)?;
    println!("{:<40} {:>8} {:>10} operator", "subject", "version", "revision");
    for (subject, versions) in &reply.versions {
        if args.subject.as_ref().is_some_and(|wanted| wanted != subject) {
            continue;
        }
        for (version, record) in versions {
            println!("{subject:<40} {version:>8} {:>10} {}", record.revision.0, record.operator);
        }
    }
    Ok(())
}
