//! `comfreyhold domain --config FILE [--operator NAME] [--version N] out|in DOMAIN`
//!
//! Takes a failure domain out of service or brings it back. Without `--version` the next number is
//! asked for; two operators who race then get one winner, and the other a conflict.

use crate::cmd::apply;
use crate::config::{Common, Deployment, common};
use crate::error::CliError;
use crate::http;
use bpaf::Bpaf;
use comfreyhold_types::api::DeclarationsReply;
use comfreyhold_types::declarations::DomainState;
use comfreyhold_types::prelude::DomainId;
use hyper::Method;

/// Arguments of `domain`.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    #[bpaf(external)]
    common: Common,
    /// Name that the publication is recorded under
    #[bpaf(argument("NAME"), env("USER"), fallback("operator".to_owned()))]
    operator: String,
    /// Version number of the publication
    #[bpaf(argument("N"))]
    version: Option<u64>,
    /// `out` or `in`
    #[bpaf(positional("STATE"))]
    state: DomainState,
    /// Name or number of the failure domain
    #[bpaf(positional("DOMAIN"))]
    domain: String,
}

/// Runs `domain`.
pub fn run(args: &Args) -> Result<(), CliError> {
    let deployment = Deployment::load(&args.common)?;
    let domain = deployment.domain(&args.domain)?;
    let version = match args.version {
        Some(version) => version,
        None => next_version(&deployment, domain)?,
    };
    let text =
        format!("kind: domain\nversion: {version}\ndomain: {}\nstate: {}\n", domain.0, args.state);
    let reply = apply::publish(&deployment, &args.operator, &text)?;
    apply::print_results(&reply)
}

fn next_version(deployment: &Deployment, domain: DomainId) -> Result<u64, CliError> {
    let ask = http::ask_leader(deployment, Method::GET, "/v1/declarations", "");
    let reply: DeclarationsReply = http::read(&http::block_on(ask)?)?;
    let versions = reply.state.versions.get(&format!("domain/{}", domain.0));
    let last = versions.and_then(|held| held.keys().next_back().copied()).unwrap_or(0);
    Ok(last + 1)
}
