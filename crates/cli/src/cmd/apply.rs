//! `comfreyhold apply --config FILE [--operator NAME] DECLARATIONS...`
//!
//! Publishes each document of each file in order, and stops at the first refusal. Publishing the same
//! content under the same version again gets the same result. The output shows for each document at which
//! revision it was accepted, and on how many entries it is in effect.

use crate::config::{CommonArgs, Deployment, common_args, read_declarations};
use crate::error::CliError;
use crate::http;
use bpaf::Bpaf;
use comfreyhold_types::api::{ApplyReply, EffectReport, PublicationReply};
use comfreyhold_types::prelude::ResultCode;
use hyper::Method;
use std::path::PathBuf;

/// Arguments of `apply`.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    #[bpaf(external)]
    common_args: CommonArgs,
    /// Name of the operator, which the history records with the publications
    #[bpaf(argument("NAME"), env("USER"), fallback("operator".to_owned()))]
    operator: String,
    /// Declaration files in YAML
    #[bpaf(positional("DECLARATIONS"), some("give at least one file"))]
    files: Vec<PathBuf>,
}

/// Publishes all documents and prints their results.
pub fn run(args: &Args) -> Result<(), CliError> {
    let deployment = Deployment::load(&args.common_args)?;
    let texts = read_files(&args.files, &args.operator)?;
    for text in texts {
        let reply = publish(&deployment, &args.operator, &text)?;
        print_results(&reply)?;
    }
    Ok(())
}

/// Reads and checks all files, so that nothing is published if one is invalid.
fn read_files(files: &[PathBuf], operator: &str) -> Result<Vec<String>, CliError> {
    files.iter().map(|path| Ok(read_declarations(path, operator)?.0)).collect()
}

/// Sends the documents of a text to the leader.
pub fn publish(
    deployment: &Deployment,
    operator: &str,
    text: &str,
) -> Result<ApplyReply, CliError> {
    validate_operator(operator)?;
    let path = format!("/v1/declarations?operator={operator}");
    let response = http::block_on(http::call_leader(deployment, Method::POST, &path, text))?;
    http::parse_body(&response)
}

/// Prints the result of each publication. Fails with the first refusal; a pending outcome is none.
pub fn print_results(reply: &ApplyReply) -> Result<(), CliError> {
    for result in &reply.results {
        println!("{}", format_result(result));
    }
    let ok = ResultCode::Ok.number();
    let pending = ResultCode::OutcomePending.number();
    match reply.results.iter().find(|result| result.code != ok && result.code != pending) {
        None => Ok(()),
        Some(refused) => Err(CliError::PublicationRefused {
            code: refused.code,
            message: format!(
                "{} version {}: {}",
                refused.subject, refused.version, refused.message
            ),
        }),
    }
}

fn format_result(result: &PublicationReply) -> String {
    let outcome = format!("{} version {}: {}", result.subject, result.version, result.message);
    match &result.effect {
        None => outcome,
        Some(effect) => format!("{outcome}; {}", describe_effect(effect)),
    }
}

fn describe_effect(effect: &EffectReport) -> String {
    let join_ids = |ids: &[comfreyhold_types::prelude::InstanceId]| {
        ids.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
    };
    let mut text = format!("in effect on {} entries", effect.in_effect.len());
    if !effect.fenced.is_empty() {
        text += &format!("; unreachable and fenced: {}", join_ids(&effect.fenced));
    }
    if !effect.waiting.is_empty() {
        text += &format!("; waiting for: {}", join_ids(&effect.waiting));
    }
    if let Some(ms) = effect.complete_after_ms {
        text += &format!("; complete after {ms} ms");
    }
    text
}

fn validate_operator(name: &str) -> Result<(), CliError> {
    comfreyhold_types::profile::check_name("operator", name)
        .map_err(|error| CliError::Argument(error.to_string()))
}
