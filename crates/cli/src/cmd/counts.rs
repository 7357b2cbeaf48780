//! `comfreyhold counts --config FILE [--json]`
//!
//! Prints how many requests of each service ended with which result code, summed over all instances, and
//! the known gaps in these counts. The first control daemon that responds provides them.

use crate::config::{CommonArgs, Deployment, common_args};
use crate::error::CliError;
use crate::http;
use bpaf::Bpaf;
use comfreyhold_daemon::settings::Role;
use comfreyhold_types::api::CountsReply;

/// Arguments of `counts`.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    #[bpaf(external)]
    common_args: CommonArgs,
    /// Print the counts and gaps as JSON
    json: bool,
}

/// Prints the counts of the first control daemon that responds.
pub fn run(args: &Args) -> Result<(), CliError> {
    let deployment = Deployment::load(&args.common_args)?;
    let members = deployment.members_with_role(Role::Control);
    let request = async { Ok(http::get_from_each::<CountsReply>(members, "/v1/counts").await) };
    let mut reasons = Vec::new();
    for (member, result) in http::block_on(request)? {
        match result {
            Ok(reply) => return print_counts(&reply, args.json),
            Err(reason) => reasons.push(format!("{}: {reason}", member.name)),
        }
    }
    Err(CliError::NoResponse { role: "control daemon".to_owned(), reasons: reasons.join("; ") })
}

fn print_counts(reply: &CountsReply, json: bool) -> Result<(), CliError> {
    if json {
        println!("{}", serde_json::to_string(reply)?);
        return Ok(());
    }
    println!("{:<32} {:>6} {:>12}", "service", "code", "count");
    for row in &reply.rows {
        println!("{:<32} {:>6} {:>12}", row.service, row.code, row.count);
    }
    for gap in &reply.gaps {
        println!("gap: {gap}");
    }
    Ok(())
}
