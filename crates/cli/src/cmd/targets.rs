//! `comfreyhold targets --config FILE`
//!
//! Shows the declared and the announced targets, as the first entry that responds sees them.

use crate::config::{CommonArgs, Deployment, common_args};
use crate::error::CliError;
use crate::http;
use bpaf::Bpaf;
use comfreyhold_daemon::settings::Role;
use comfreyhold_types::api::TargetReply;

/// Arguments of `targets`.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    #[bpaf(external)]
    common_args: CommonArgs,
}

/// Prints the targets that the first responding entry reports.
pub fn run(args: &Args) -> Result<(), CliError> {
    let deployment = Deployment::load(&args.common_args)?;
    let members = deployment.members_with_role(Role::Entry);
    let request =
        async { Ok(http::get_from_each::<Vec<TargetReply>>(members, "/v1/targets").await) };
    let mut reasons = Vec::new();
    for (member, result) in http::block_on(request)? {
        match result {
            Ok(targets) => {
                print_targets(&targets);
                return Ok(());
            }
            Err(reason) => reasons.push(format!("{}: {reason}", member.name)),
        }
    }
    Err(CliError::NoResponse { role: "entry".to_owned(), reasons: reasons.join("; ") })
}

fn print_targets(targets: &[TargetReply]) {
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
