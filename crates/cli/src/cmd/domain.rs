//! `comfreyhold domain --config FILE [--operator NAME] [--version N] out|in DOMAIN`
//!
//! Withdraws a failure domain from service (`out`) or restores it (`in`). Without `--version` the next
//! version number is read from the leader. If two operators do so at the same time, one publication is
//! accepted and the other fails with a version conflict.

use crate::cmd::apply;
use crate::config::{CommonArgs, Deployment, common_args};
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
    common_args: CommonArgs,
    /// Name of the operator, which the history records with the publication
    #[bpaf(argument("NAME"), env("USER"), fallback("operator".to_owned()))]
    operator: String,
    /// Version number of the publication; the next one where none is given
    #[bpaf(argument("N"))]
    version: Option<u64>,
    /// `out` to withdraw the failure domain, `in` to restore it
    #[bpaf(positional("STATE"))]
    state: DomainState,
    /// Name or number of the failure domain
    #[bpaf(positional("DOMAIN"))]
    domain: String,
}

/// Publishes the state of the failure domain and prints the result.
pub fn run(args: &Args) -> Result<(), CliError> {
    let deployment = Deployment::load(&args.common_args)?;
    let domain = deployment.find_domain(&args.domain)?;
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
    let request = http::call_leader(deployment, Method::GET, "/v1/declarations", "");
    let reply: DeclarationsReply = http::parse_body(&http::block_on(request)?)?;
    let versions = reply.state.versions.get(&format!("domain/{}", domain.0));
    let last = versions.and_then(|by_number| by_number.keys().next_back().copied()).unwrap_or(0);
    Ok(last + 1)
}
