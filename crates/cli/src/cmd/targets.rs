//! `comfreyhold targets --config FILE`
//!
//! Shows the targets that the entries know, as the first entry that answers sees them.

use crate::config::{Common, Deployment, common};
use crate::error::CliError;
use crate::http;
use bpaf::Bpaf;
use comfreyhold_daemon::settings::Role;
use comfreyhold_types::api::TargetReply;

/// Arguments of `targets`.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    #[bpaf(external)]
    common: Common,
}

/// Runs `targets`.
pub fn run(args: &Args) -> Result<(), CliError> {
    let deployment = Deployment::load(&args.common)?;
    let members = deployment.with_role(Role::Entry);
    let ask = async { Ok(http::ask_each::<Vec<TargetReply>>(members, "/v1/targets").await) };
    let mut reasons = Vec::new();
    for (member, answer) in http::block_on(ask)? {
        match answer {
            Ok(targets) => {
                print(&targets);
                return Ok(());
            }
            Err(reason) => reasons.push(format!("{}: {reason}", member.name)),
        }
    }
    Err(CliError::NoAnswer { role: "entry".to_owned(), reasons: reasons.join("; ") })
}

fn print(targets: &[TargetReply]) {
    println!(
        "{:<24} {:<24} {:<6} {:>5} {:>12} {:<9} {:<5} declared",
        "service", "address", "domain", "slots", "incarnation", "state", "live"
    );
    for TargetReply { target, live, declared } in targets {
        println!(
            "{:<24} {:<24} {:<6} {:>5} {:>12} {:<9} {:<5} {declared}",
            target.service,
            target.address.to_string(),
            target.domain.to_string(),
            target.slots,
            target.incarnation.0,
            target.state.to_string(),
            live
        );
    }
}
