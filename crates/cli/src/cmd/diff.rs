//! `comfreyhold diff --config FILE DECLARATIONS...`
//!
//! Shows for each document whether it is already accepted, would be accepted, or would be refused.

use crate::config::{Common, Deployment, common, read_declarations};
use crate::error::CliError;
use crate::http;
use bpaf::Bpaf;
use comfreyhold_types::api::DeclarationsReply;
use comfreyhold_types::declarations::{Outcome, Publication};
use comfreyhold_types::prelude::Declarations;
use hyper::Method;
use std::path::PathBuf;

/// Arguments of `diff`.
#[derive(Clone, Debug, Bpaf)]
pub struct Args {
    #[bpaf(external)]
    common: Common,
    /// Declaration files in YAML
    #[bpaf(positional("DECLARATIONS"), some("give at least one file"))]
    files: Vec<PathBuf>,
}

/// Runs `diff`.
pub fn run(args: &Args) -> Result<(), CliError> {
    let deployment = Deployment::load(&args.common)?;
    let ask = http::ask_leader(&deployment, Method::GET, "/v1/declarations", "");
    let reply: DeclarationsReply = http::read(&http::block_on(ask)?)?;
    let mut state = reply.state;
    for path in &args.files {
        for publication in read_declarations(path, "diff")?.1 {
            println!("{}", describe(&mut state, publication));
        }
    }
    Ok(())
}

/// Tries the publication on a copy of the state, so that later documents see earlier ones.
fn describe(state: &mut Declarations, publication: Publication) -> String {
    let head = format!("{} version {}", publication.content.subject(), publication.version);
    let revision = state.revision.next();
    let command = comfreyhold_types::prelude::Command::Publish(publication);
    match state.apply(revision, &command) {
        Outcome::Accepted(_) => format!("+ {head}: would be accepted"),
        Outcome::Duplicate(revision) => format!("= {head}: accepted at {revision}"),
        Outcome::Conflict { winner, revision } => {
            format!("! {head}: taken by {winner} at {revision} with other content")
        }
        Outcome::Gap { expected } => format!("! {head}: the next version is {expected}"),
        Outcome::Refused { reason, .. } => format!("! {head}: {reason}"),
    }
}
