//! `comfreyhold counts --config FILE`
//!
//! Prints how many requests of each service ended with which result, summed over all instances.

use crate::config::{Common, Deployment, common};
use crate::error::CliError;
use crate::http;
use bpaf::Bpaf;
use comfreyhold_daemon::settings::Role;
use comfreyhold_types::api::CountsReply;

/// Arguments of `counts`.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    #[bpaf(external)]
    common: Common,
    /// Print JSON
    json: bool,
}

/// Runs `counts`.
pub fn run(args: &Args) -> Result<(), CliError> {
    let deployment = Deployment::load(&args.common)?;
    let members = deployment.with_role(Role::Control);
    let ask = async { Ok(http::ask_each::<CountsReply>(members, "/v1/counts").await) };
    let mut reasons = Vec::new();
    for (member, answer) in http::block_on(ask)? {
        match answer {
            Ok(reply) => return print(&reply, args.json),
            Err(reason) => reasons.push(format!("{}: {reason}", member.name)),
        }
    }
    Err(CliError::NoAnswer { role: "control daemon".to_owned(), reasons: reasons.join("; ") })
}

fn print(reply: &CountsReply, json: bool) -> Result<(), CliError> {
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
