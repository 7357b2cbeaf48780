//! `comfreyhold apply --config FILE [--operator NAME] DECLARATIONS...`
//!
//! Publishes each document of each file in order, and stops at the first refusal. A resend of the same
//! content under the same version gets the same answer. The table tells accepted from in effect.

use crate::config::{Common, Deployment, common, read_declarations};
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
    common: Common,
    /// Name that the publication is recorded under
    #[bpaf(argument("NAME"), env("USER"), fallback("operator".to_owned()))]
    operator: String,
    /// Declaration files in YAML
    #[bpaf(positional("DECLARATIONS"), some("give at least one file"))]
    files: Vec<PathBuf>,
}

/// Runs `apply`.
pub fn run(args: &Args) -> Result<(), CliError> {
    let deployment = Deployment::load(&args.common)?;
    let texts = read_files(&args.files, &args.operator)?;
    for text in texts {
        let reply = publish(&deployment, &args.operator, &text)?;
        print_results(&reply)?;
    }
    Ok(())
}

/// Reads and checks all files before anything is published.
fn read_files(files: &[PathBuf], operator: &str) -> Result<Vec<String>, CliError> {
    files.iter().map(|path| Ok(read_declarations(path, operator)?.0)).collect()
}

/// Sends documents to the leader.
pub fn publish(
    deployment: &Deployment,
    operator: &str,
    text: &str,
) -> Result<ApplyReply, CliError> {
    check_operator(operator)?;
    let path = format!("/v1/declarations?operator={operator}");
    let reply = http::block_on(http::ask_leader(deployment, Method::POST, &path, text))?;
    http::read(&reply)
}

/// Prints the answers, and fails when one is a refusal.
pub fn print_results(reply: &ApplyReply) -> Result<(), CliError> {
    for result in &reply.results {
        println!("{}", line(result));
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

fn line(result: &PublicationReply) -> String {
    let head = format!("{} version {}: {}", result.subject, result.version, result.message);
    match &result.effect {
        None => head,
        Some(effect) => format!("{head}; {}", describe_effect(effect)),
    }
}

fn describe_effect(effect: &EffectReport) -> String {
    let names = |list: &[comfreyhold_types::prelude::InstanceId]| {
        list.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
    };
    let mut text = format!("in effect on {} entries", effect.in_effect.len());
    if !effect.fenced.is_empty() {
        text += &format!("; unreachable and fenced: {}", names(&effect.fenced));
    }
    if !effect.waiting.is_empty() {
        text += &format!("; waiting for: {}", names(&effect.waiting));
    }
    if let Some(ms) = effect.complete_after_ms {
        text += &format!("; complete after {ms} ms");
    }
    text
}

fn check_operator(name: &str) -> Result<(), CliError> {
    comfreyhold_types::profile::check_name("operator", name)
        .map_err(|error| CliError::Argument(error.to_string()))
}
