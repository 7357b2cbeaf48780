//! `comfreyhold history --config FILE [SUBJECT]`
//!
//! Shows who published which version, at which revision. A subject is `profile/NAME`, `service/NAME` or
//! `domain/NUMBER`.

use crate::config::{Common, Deployment, common};
use crate::error::CliError;
use crate::http;
use bpaf::Bpaf;
use comfreyhold_types::api::HistoryReply;
use hyper::Method;

/// Arguments of `history`.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    #[bpaf(external)]
    common: Common,
    /// Show only this subject
    #[bpaf(positional("SUBJECT"))]
    subject: Option<String>,
}

/// Runs `history`.
pub fn run(args: &Args) -> Result<(), CliError> {
    let deployment = Deployment::load(&args.common)?;
    let ask = http::ask_leader(&deployment, Method::GET, "/v1/history", "");
    let reply: HistoryReply = http::read(&http::block_on(ask)?)?;
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
